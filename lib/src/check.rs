//! Validation of table edits before they are appended: values, references between rows, and whether
//! replicas fit in a failure domain.
//!
//! The agent checks edits against its copy of the table, so that mistakes are reported before the
//! append. Agreement doesn't rest on this check: two edits that are each valid may race, and the
//! fold accepts or refuses a record by the versions of its rows.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, GroupId};
use crate::nearest;
use crate::table::{AccountRow, Edit, GroupRow, Row, RowKey, ServiceRow, Table, VersionRow};

/// Hexadecimal digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// An error in an edit of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowError {
    /// Row that the edit changes.
    pub row: RowKey,
    /// Column that is invalid; empty when the whole row is.
    pub column: String,
    /// Message that states the error and how to correct it.
    pub cause: String,
}

impl std::fmt::Display for RowError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.column.as_str() {
            "" => write!(f, "{}: {}", self.row, self.cause),
            column => write!(f, "{} column {column}: {}", self.row, self.cause),
        }
    }
}

/// Checks edits against the table that would result from them, and returns the errors found.
///
/// `vms` is the number of engine VMs of each failure domain; while it is empty, spans and reserves
/// aren't checked.
pub fn check(table: &Table, edits: &[Edit], vms: &BTreeMap<DomainId, usize>) -> Vec<RowError> {
    let mut rows: BTreeMap<&RowKey, &Row> = table.rows().map(|(key, _, row)| (key, row)).collect();
    let mut checker = Checker {
        errors: Vec::new(),
        largest_domain: vms.values().copied().max(),
    };
    let mut seen = BTreeSet::new();
    for edit in edits {
        if !seen.insert(&edit.key) {
            checker.error(&edit.key, "", "is edited twice; keep one of the two edits");
        }
        match &edit.row {
            Some(row) => rows.insert(&edit.key, row),
            None => rows.remove(&edit.key),
        };
    }
    for edit in edits {
        checker.check_edit(&rows, edit);
    }
    checker.check_weights(table, &rows, edits);
    checker.errors
}

struct Checker {
    errors: Vec<RowError>,
    largest_domain: Option<usize>,
}

impl Checker {
    fn error(&mut self, row: &RowKey, column: &str, cause: impl Into<String>) {
        self.errors.push(RowError {
            row: row.clone(),
            column: column.to_owned(),
            cause: cause.into(),
        });
    }

    fn check_edit(&mut self, rows: &BTreeMap<&RowKey, &Row>, edit: &Edit) {
        let key = &edit.key;
        match (key, &edit.row) {
            (_, Some(_)) if !is_name(key) => {
                self.error(
                    key,
                    "",
                    "a name is made of letters, digits, `-`, `_` and `.`",
                );
            }
            (RowKey::Group(group), None) => self.check_unused(rows, key, group),
            (_, None) => {}
            (RowKey::Group(group), Some(Row::Group(row))) => {
                self.check_group(key, row);
                self.check_reserve(rows, key, group, row);
            }
            (RowKey::Version(_), Some(Row::Version(row))) => self.check_version(rows, key, row),
            (RowKey::Account(_), Some(Row::Account(row))) => self.check_account(rows, key, row),
            (RowKey::Service(_), Some(Row::Service(row))) => self.check_service(key, row),
            (RowKey::Drain(_), Some(Row::Drain(_))) => {}
            (_, Some(_)) => self.error(key, "", "the values are those of another kind of row"),
        }
    }

    fn check_group(&mut self, key: &RowKey, row: &GroupRow) {
        if row.minimum > row.replicas {
            let cause = format!(
                "the minimum {} is above the {} replicas wanted",
                row.minimum, row.replicas
            );
            self.error(key, "minimum", cause);
        }
        self.at_least_zero(key, "downtime", row.downtime);
        self.at_least_zero(key, "stranded", row.stranded);
        if row.downtime == 0.0 && row.stranded == 0.0 {
            let cause = "downtime and stranded are both zero; give one of them a weight";
            self.error(key, "downtime", cause);
        }
        self.at_least_one(key, "slots", row.slots);
    }

    fn check_reserve(
        &mut self,
        rows: &BTreeMap<&RowKey, &Row>,
        key: &RowKey,
        group: &GroupId,
        row: &GroupRow,
    ) {
        let span = versions(rows, group).map(|(_, v)| v.span).max();
        self.check_fit(key, "reserve", span.unwrap_or(1), row.reserve);
    }

    fn check_version(&mut self, rows: &BTreeMap<&RowKey, &Row>, key: &RowKey, row: &VersionRow) {
        self.at_least_zero(key, "weight", row.weight);
        self.at_least_one(key, "span", row.span);
        let Some(group) = find_group(rows, &row.group) else {
            let cause = format!("no group `{}`{}", row.group, suggestion(rows, &row.group));
            self.error(key, "group", cause);
            return;
        };
        self.check_fit(key, "span", row.span, group.reserve);
    }

    fn check_fit(&mut self, key: &RowKey, column: &str, span: u32, reserve: u32) {
        let needed = span as usize + reserve as usize;
        if let Some(largest_domain) = self.largest_domain.filter(|l| needed > *l) {
            let cause = format!(
                "a replica needs {span} serving and {reserve} reserve VMs, but the largest failure \
                 domain holds {largest_domain}"
            );
            self.error(key, column, cause);
        }
    }

    fn check_account(&mut self, rows: &BTreeMap<&RowKey, &Row>, key: &RowKey, row: &AccountRow) {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if row.key_hash.len() != HASH_DIGITS || !row.key_hash.bytes().all(digit) {
            let cause = "must be the SHA-256 of the key as 64 lower-case hexadecimal digits";
            self.error(key, "key_hash", cause);
        }
        let same = |(k, r): (&&RowKey, &&Row)| {
            let shared = matches!(r, Row::Account(a) if a.key_hash == row.key_hash);
            (shared && *k != key).then(|| k.to_string())
        };
        if let Some(other) = rows.iter().find_map(same) {
            self.error(key, "key_hash", format!("`{other}` has the same key"));
        }
        self.above_zero(key, "weight", row.weight);
        self.above_zero(key, "requests", row.requests);
        self.above_zero(key, "tokens", row.tokens);
        self.at_least_one(key, "concurrency", row.concurrency);
    }

    fn check_service(&mut self, key: &RowKey, row: &ServiceRow) {
        self.at_least_one(key, "slots", row.slots);
    }

    fn check_unused(&mut self, rows: &BTreeMap<&RowKey, &Row>, key: &RowKey, group: &GroupId) {
        let used = versions(rows, group).next().map(|(k, _)| k.to_string());
        if let Some(version) = used {
            let cause = format!(
                "`{version}` still belongs to this group; delete it first or in the same change"
            );
            self.error(key, "", cause);
        }
    }

    /// Adds an error for each group that the edits leave with versions of zero total weight.
    fn check_weights(&mut self, table: &Table, rows: &BTreeMap<&RowKey, &Row>, edits: &[Edit]) {
        for edit in edits {
            let Some(group) = group_of(table, edit) else {
                continue;
            };
            let mut weights = versions(rows, group).map(|(_, v)| v.weight).peekable();
            if weights.peek().is_some() && weights.sum::<f64>() == 0.0 {
                let cause = format!("the weights of the versions of `{group}` add up to zero");
                self.error(&edit.key, "weight", cause);
            }
        }
    }

    fn at_least_zero(&mut self, key: &RowKey, column: &str, value: f64) {
        if !(value.is_finite() && value >= 0.0) {
            self.error(key, column, format!("{value} is no number from 0 up"));
        }
    }

    fn above_zero(&mut self, key: &RowKey, column: &str, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            self.error(key, column, format!("{value} is no number above 0"));
        }
    }

    fn at_least_one(&mut self, key: &RowKey, column: &str, value: u32) {
        if value == 0 {
            self.error(key, column, "must be at least 1");
        }
    }
}

/// Returns the group whose version an edit adds, changes or deletes.
fn group_of<'a>(table: &'a Table, edit: &'a Edit) -> Option<&'a GroupId> {
    let known = table.entry(&edit.key).and_then(|e| e.row.as_ref());
    match edit.row.as_ref().or(known) {
        Some(Row::Version(row)) => Some(&row.group),
        _ => None,
    }
}

fn find_group<'a>(rows: &BTreeMap<&RowKey, &'a Row>, group: &GroupId) -> Option<&'a GroupRow> {
    match rows.get(&RowKey::Group(group.clone())) {
        Some(Row::Group(row)) => Some(row),
        _ => None,
    }
}

fn versions<'a>(
    rows: &BTreeMap<&'a RowKey, &'a Row>,
    group: &GroupId,
) -> impl Iterator<Item = (&'a RowKey, &'a VersionRow)> {
    rows.iter().filter_map(move |(key, row)| match row {
        Row::Version(row) if row.group == *group => Some((*key, row)),
        _ => None,
    })
}

/// Returns a suggestion for a misspelt group name, or an empty text if no group has a similar name.
fn suggestion(rows: &BTreeMap<&RowKey, &Row>, group: &GroupId) -> String {
    let groups = rows.keys().filter_map(|key| match key {
        RowKey::Group(id) => Some(id),
        _ => None,
    });
    nearest::nearest(group.as_str(), groups.map(GroupId::as_str))
        .map_or_else(String::new, |id| format!("; did you mean `{id}`?"))
}

fn is_name(key: &RowKey) -> bool {
    let text = key.to_string();
    let name = text.split_once('/').map_or("", |(_, name)| name);
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.chars().all(allowed)
}
