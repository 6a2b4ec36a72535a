//! Entry VMs as announced on the `members` stream. Gossip determines which of them are alive.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryId, Incarnation, Nonce, Offset};

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry VM.
    pub entry: EntryId,
    /// Failure domain of the entry VM.
    pub domain: DomainId,
    /// Base URL at which callers reach the gateway.
    pub gateway: String,
    /// Base URL of the agent.
    pub agent: String,
    /// UDP address at which the agent receives gossip.
    pub gossip: String,
    /// Incarnation of the entry VM.
    pub incarnation: Incarnation,
    /// Whether the entry VM announced that it leaves.
    pub leaving: bool,
}

/// Change that a record of the `members` stream makes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// An entry VM started.
    Join(Member),
    /// An entry VM announces that it leaves.
    Leave(EntryId, Incarnation),
    /// An entry VM is removed.
    Remove(EntryId, Incarnation),
}

/// A record of the `members` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Nonce that distinguishes this append from all others.
    pub nonce: Nonce,
    /// The change.
    pub change: MemberChange,
}

/// Folded state of the `members` stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Offset of the next record to fold.
    pub next: Offset,
    members: BTreeMap<EntryId, Member>,
    #[serde(default)]
    numbers: BTreeMap<EntryId, u64>,
}

impl Members {
    /// Folds the record at `offset`; a record of an older incarnation is ignored.
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

    /// Iterates over the members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member, or `None` if the entry VM is unknown.
    pub fn get(&self, entry: &EntryId) -> Option<&Member> {
        self.members.get(entry)
    }

    /// Returns the number that identifies a member in datagrams: one more than the offset of the
    /// record by which its current incarnation joined.
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
