//! Text form of the rows of the table, which operators read and write.

use hemlock_lib::nearest::nearest;
use hemlock_lib::table::{Change, Edit, Entry, Row, RowKey, Table};
use serde_json::{Map, Value};

use crate::exit::{Exit, Failure};
use crate::timestamp;

/// Returns the values of a row by column name.
pub(crate) fn columns(row: &Row) -> Map<String, Value> {
    let value = match row {
        Row::Group(row) => serde_json::to_value(row),
        Row::Version(row) => serde_json::to_value(row),
        Row::Account(row) => serde_json::to_value(row),
        Row::Service(row) => serde_json::to_value(row),
        Row::Drain(row) => serde_json::to_value(row),
    };
    match value {
        Ok(Value::Object(columns)) => columns,
        _ => Map::new(),
    }
}

/// Builds a row of the same kind as `like` from values by column name.
///
/// # Errors
///
/// Fails if a value has the wrong type, or if a column is missing or unknown.
pub(crate) fn from_columns(like: &Row, columns: Map<String, Value>) -> Result<Row, String> {
    let value = Value::Object(columns);
    let row = match like {
        Row::Group(_) => serde_json::from_value(value).map(Row::Group),
        Row::Version(_) => serde_json::from_value(value).map(Row::Version),
        Row::Account(_) => serde_json::from_value(value).map(Row::Account),
        Row::Service(_) => serde_json::from_value(value).map(Row::Service),
        Row::Drain(_) => serde_json::from_value(value).map(Row::Drain),
    };
    row.map_err(|e| e.to_string())
}

/// Describes the columns that differ between two versions of a row, or all columns if there is only one
/// version.
pub(crate) fn describe_changes(old: Option<&Row>, new: Option<&Row>) -> String {
    let (Some(old), Some(new)) = (old, new) else {
        let described = new.or(old).map(columns).unwrap_or_default();
        let all = described.iter().map(|(k, v)| format!("{k}={v}"));
        return all.collect::<Vec<_>>().join(", ");
    };
    let (old, new) = (columns(old), columns(new));
    let changed = new.iter().filter(|(k, v)| old.get(*k) != Some(*v));
    let described = changed.map(|(k, v)| match old.get(k) {
        Some(before) => format!("{k} {before} -> {v}"),
        None => format!("{k}={v}"),
    });
    described.collect::<Vec<_>>().join(", ")
}

/// Returns the action of an edit: `delete`, `add` or `change`.
pub(crate) fn action(table: &Table, edit: &Edit) -> &'static str {
    let present = table.entry(&edit.key).is_some_and(|e| e.row.is_some());
    match (&edit.row, present) {
        (None, _) => "delete",
        (Some(_), false) => "add",
        (Some(_), true) => "change",
    }
}

/// Describes the last change of a row: its author, offset and time.
pub(crate) fn describe_last_change(entry: &Entry) -> String {
    let at = timestamp::format_utc(entry.at_ms);
    format!("{} at offset {}, {at}", entry.author, entry.version)
}

/// Returns the last change of an entry and the past changes that it keeps, newest first.
pub(crate) fn history(entry: &Entry) -> Vec<Change> {
    let last = Change {
        version: entry.version,
        author: entry.author.clone(),
        at_ms: entry.at_ms,
        row: entry.row.clone(),
    };
    let mut all = vec![last];
    all.extend(entry.past.iter().cloned());
    all
}

/// Parses the name of a row, such as `group/listwriter`.
///
/// # Errors
///
/// Fails with [`Exit::Usage`] if `text` is not the name of a row.
pub(crate) fn parse_key(text: &str) -> Result<RowKey, Failure> {
    text.parse().map_err(|e: String| Failure::usage(e))
}

/// Returns a row and its entry.
///
/// # Errors
///
/// Fails with [`Exit::Refused`] if there is no such row; the message suggests the nearest name.
pub(crate) fn find<'a>(table: &'a Table, key: &RowKey) -> Result<(&'a Entry, &'a Row), Failure> {
    let entry = table.entry(key);
    if let Some(existing) = entry.and_then(|e| Some((e, e.row.as_ref()?))) {
        return Ok(existing);
    }
    let known: Vec<String> = table.rows().map(|(k, ..)| k.to_string()).collect();
    let suggestion = nearest(&key.to_string(), known.iter().map(String::as_str));
    let suggestion = suggestion.map(|m| format!("; did you mean `{m}`?"));
    let cause = format!("no row `{key}`{}", suggestion.unwrap_or_default());
    Err(Failure::new(Exit::Refused, cause))
}
