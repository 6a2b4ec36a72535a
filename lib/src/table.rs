//! The operators' table: model groups, versions, client accounts, plain services and drains.
//!
//! The table is a fold over the `config` stream. Each edit names the row version it was made from,
//! so that of two racing edits all readers accept the first and refuse the second.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, GroupId, Nonce, Offset, ServiceId, VersionId, VmId};
use crate::nearest::nearest;

/// Maximum number of earlier changes of a row that its entry keeps.
const MAX_PAST_CHANGES: usize = 4;
/// Kinds of rows, as they are written in row keys.
const KINDS: [&str; 5] = ["group", "version", "account", "service", "drain"];

/// Key of a row of the table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RowKey {
    /// A model group.
    Group(GroupId),
    /// A model version.
    Version(VersionId),
    /// A client account.
    Account(AccountId),
    /// A plain service.
    Service(ServiceId),
    /// The planned drain of an endpoint VM.
    Drain(VmId),
}

impl std::fmt::Display for RowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Group(id) => write!(f, "group/{id}"),
            Self::Version(id) => write!(f, "version/{id}"),
            Self::Account(id) => write!(f, "account/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Drain(id) => write!(f, "drain/{id}"),
        }
    }
}

impl std::str::FromStr for RowKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, name) = text
            .split_once('/')
            .filter(|(_, name)| !name.is_empty())
            .ok_or_else(|| format!("`{text}` is not a row key; write KIND/NAME"))?;
        match kind {
            "group" => Ok(Self::Group(name.into())),
            "version" => Ok(Self::Version(name.into())),
            "account" => Ok(Self::Account(name.into())),
            "service" => Ok(Self::Service(name.into())),
            "drain" => Ok(Self::Drain(name.into())),
            _ => {
                let suggestion = nearest(kind, KINDS).map(|k| format!("; did you mean `{k}`?"));
                Err(format!(
                    "`{kind}` is no kind of row: {}{}",
                    KINDS.join(", "),
                    suggestion.unwrap_or_default()
                ))
            }
        }
    }
}

/// A model group: the replicas that serve one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GroupRow {
    /// Number of replicas that should serve.
    pub replicas: u32,
    /// Least number of serving replicas that a planned change leaves.
    #[serde(default)]
    pub minimum: u32,
    /// Weight of group downtime in placement.
    #[serde(default = "one")]
    pub downtime: f64,
    /// Weight of stranded accelerators in placement.
    #[serde(default = "one")]
    pub stranded: f64,
    /// Reserve VMs of each replica.
    #[serde(default)]
    pub reserve: u32,
    /// Requests that one replica runs at a time.
    #[serde(default = "slots")]
    pub slots: u32,
}

/// A model version of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionRow {
    /// Group of the version.
    pub group: GroupId,
    /// Weight of the version: its share of the group's work relative to other versions.
    pub weight: f64,
    /// Number of VMs that one replica spans.
    pub span: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccountRow {
    /// SHA-256 of the account's key in lower-case hexadecimal.
    pub key_hash: String,
    /// Weight of the account: its share of the work relative to other accounts.
    #[serde(default = "one")]
    pub weight: f64,
    /// Limit on requests a second.
    pub requests: f64,
    /// Limit on tokens a second, of prompts and answers.
    pub tokens: f64,
    /// Limit on open requests.
    pub concurrency: u32,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// Requests that one VM of the service runs at a time.
    #[serde(default = "slots")]
    pub slots: u32,
}

/// The planned drain of an endpoint VM: the VM ends its work and gets no more until the row is
/// deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DrainRow {
    /// Reason of the drain, for other operators.
    #[serde(default)]
    pub reason: String,
}

fn one() -> f64 {
    1.0
}

fn slots() -> u32 {
    16
}

/// The values of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Row {
    /// A model group.
    Group(GroupRow),
    /// A model version.
    Version(VersionRow),
    /// A client account.
    Account(AccountRow),
    /// A plain service.
    Service(ServiceRow),
    /// The planned drain of an endpoint VM.
    Drain(DrainRow),
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Key of the row.
    pub key: RowKey,
    /// Version of the row that the edit was made from; `None` if the row did not exist.
    pub base: Option<Offset>,
    /// New values; `None` deletes the row.
    pub row: Option<Row>,
}

/// A record of the `config` stream: edits that are accepted or refused together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Distinguishes this append from every other one.
    pub nonce: Nonce,
    /// Author of the change.
    pub author: String,
    /// Time of the change by the author's clock, in milliseconds since the Unix epoch; for display
    /// only.
    pub at_ms: u64,
    /// Edits of the record.
    pub edits: Vec<Edit>,
}

/// A row with the origin of its values.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the record that last changed the row.
    pub version: Offset,
    /// Author of the last change.
    pub author: String,
    /// Time of the change by its author's clock, in milliseconds since the Unix epoch; for display
    /// only.
    pub at_ms: u64,
    /// Values of the row; `None` if it is deleted.
    pub row: Option<Row>,
    /// Earlier changes, latest first; still older ones are only in version control.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub past: Vec<Change>,
}

/// A change of a row that a later change replaced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Offset of the record that made the change.
    pub version: Offset,
    /// Author of the change.
    pub author: String,
    /// Time of the change by its author's clock, in milliseconds since the Unix epoch; for display
    /// only.
    pub at_ms: u64,
    /// Values of the row; `None` if the change deleted it.
    pub row: Option<Row>,
}

/// Reason why a record was refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Refusal {
    /// A row was changed after the version that the edit was made from.
    Conflict {
        /// Key of the row.
        key: RowKey,
        /// Current entry of the row, if it has one.
        entry: Option<Box<Entry>>,
    },
}

/// The table, folded from the `config` stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Offset of the last record that changed the table, if any.
    pub changed: Option<Offset>,
    entries: BTreeMap<RowKey, Entry>,
}

impl Table {
    /// Folds the record at `offset`. All readers accept or refuse a record alike.
    ///
    /// # Errors
    ///
    /// Returns the conflict if an edit was not made from the current version of its row; no edit of
    /// the record is then applied.
    pub fn fold(&mut self, offset: Offset, record: &ConfigRecord) -> Result<(), Refusal> {
        self.next = Offset(offset.0 + 1);
        for edit in &record.edits {
            self.check_base(edit)?;
        }
        for edit in &record.edits {
            let past = self.entries.remove(&edit.key).map(past_changes);
            let entry = Entry {
                version: offset,
                author: record.author.clone(),
                at_ms: record.at_ms,
                row: edit.row.clone(),
                past: past.unwrap_or_default(),
            };
            self.entries.insert(edit.key.clone(), entry);
        }
        self.changed = Some(offset);
        Ok(())
    }

    /// Returns the entry of a row, even if the row is deleted.
    pub fn entry(&self, key: &RowKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Lists the entries of all rows, including deleted ones.
    pub fn entries(&self) -> impl Iterator<Item = (&RowKey, &Entry)> {
        self.entries.iter()
    }

    /// Lists the endpoint VMs with a planned drain.
    pub fn drains(&self) -> impl Iterator<Item = &VmId> {
        self.rows().filter_map(|(key, _, _)| match key {
            RowKey::Drain(vm) => Some(vm),
            _ => None,
        })
    }

    /// Lists the rows that aren't deleted.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Entry, &Row)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, entry, entry.row.as_ref()?)))
    }

    /// Lists the model groups.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &GroupRow)> {
        self.rows().filter_map(|(key, _, row)| match (key, row) {
            (RowKey::Group(id), Row::Group(row)) => Some((id, row)),
            _ => None,
        })
    }

    /// Lists the model versions.
    pub fn versions(&self) -> impl Iterator<Item = (&VersionId, &VersionRow)> {
        self.rows().filter_map(|(key, _, row)| match (key, row) {
            (RowKey::Version(id), Row::Version(row)) => Some((id, row)),
            _ => None,
        })
    }

    /// Lists the client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&AccountId, &AccountRow)> {
        self.rows().filter_map(|(key, _, row)| match (key, row) {
            (RowKey::Account(id), Row::Account(row)) => Some((id, row)),
            _ => None,
        })
    }

    /// Returns the row of a plain service.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRow> {
        match self
            .entries
            .get(&RowKey::Service(id.clone()))?
            .row
            .as_ref()?
        {
            Row::Service(row) => Some(row),
            _ => None,
        }
    }

    /// Returns the row of a model group.
    pub fn group(&self, id: &GroupId) -> Option<&GroupRow> {
        match self.entries.get(&RowKey::Group(id.clone()))?.row.as_ref()? {
            Row::Group(row) => Some(row),
            _ => None,
        }
    }

    fn check_base(&self, edit: &Edit) -> Result<(), Refusal> {
        let entry = self.entries.get(&edit.key);
        if entry.map(|e| e.version) == edit.base {
            return Ok(());
        }
        Err(Refusal::Conflict {
            key: edit.key.clone(),
            entry: entry.cloned().map(Box::new),
        })
    }
}

fn past_changes(entry: Entry) -> Vec<Change> {
    let last = Change {
        version: entry.version,
        author: entry.author,
        at_ms: entry.at_ms,
        row: entry.row,
    };
    let mut past = entry.past;
    past.insert(0, last);
    past.truncate(MAX_PAST_CHANGES);
    past
}
