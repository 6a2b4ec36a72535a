//! Entry VMs as announced on the `members` stream; liveness is left to gossip.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryId, Incarnation, Nonce, Offset};

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Base URL at which callers reach its gateway.
    pub gateway: String,
    /// Base URL of its agent.
    pub agent: String,
    /// UDP address of its agent's gossip.
    pub gossip: String,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it is leaving as planned.
    pub leaving: bool,
}

/// What a record of the `members` stream says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// An entry VM starts.
    Join(Member),
    /// An entry VM is leaving as planned.
    Leave(EntryId, Incarnation),
    /// An entry VM is gone.
    Remove(EntryId, Incarnation),
}

/// A record of the `members` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Tells this append apart.
    pub nonce: Nonce,
    /// What changes.
    pub change: MemberChange,
}

/// The folded members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Offset of the next record to fold.
    pub next: Offset,
    members: BTreeMap<EntryId, Member>,
    #[serde(default)]
    numbers: BTreeMap<EntryId, u64>,
}

impl Members {
    /// Folds the record at `offset`; a record of an older run is ignored.
    pub fn fold(&mut self, offset: Offset, record: &MemberRecord) {
        self.next = Offset(offset.0 + 1);
        match &record.change {
            MemberChange::Join(member) => self.join(offset, member),
            MemberChange::Leave(entry, run) => {
                if let Some(member) = self.current(entry, *run) {
                    member.leaving = true;
                }
            }
            MemberChange::Remove(entry, run) => {
                if self.current(entry, *run).is_some() {
                    self.members.remove(entry);
                    self.numbers.remove(entry);
                }
            }
        }
    }

    /// Lists the members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member.
    pub fn get(&self, entry: &EntryId) -> Option<&Member> {
        self.members.get(entry)
    }

    /// Returns the number that stands for a member in datagrams: one more than the offset of the
    /// record by which its present run joined.
    pub fn number(&self, entry: &EntryId) -> Option<u64> {
        self.numbers.get(entry).copied()
    }

    fn join(&mut self, offset: Offset, member: &Member) {
        let known = self.members.get(&member.entry);
        if known.is_none_or(|k| k.incarnation < member.incarnation) {
            self.members.insert(member.entry.clone(), member.clone());
            self.numbers.insert(member.entry.clone(), offset.0 + 1);
        }
    }

    fn current(&mut self, entry: &EntryId, run: Incarnation) -> Option<&mut Member> {
        self.members.get_mut(entry).filter(|m| m.incarnation == run)
    }
}
