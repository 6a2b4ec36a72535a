//! Rows of the table as operators read and write them.

use hemlock_lib::nearest::nearest;
use hemlock_lib::table::{Change, Edit, Entry, Row, RowKey, Table};
use serde_json::{Map, Value};

use crate::exit::{Exit, Failure};
use crate::timestamp;

/// Returns the columns of a row by name.
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

/// Makes a row of the kind of `like` from its columns.
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

/// Says what differs between two states of a row, column by column.
pub(crate) fn difference(old: Option<&Row>, new: Option<&Row>) -> String {
    let (Some(old), Some(new)) = (old, new) else {
        let shown = new.or(old).map(columns).unwrap_or_default();
        let all = shown.iter().map(|(k, v)| format!("{k}={v}"));
        return all.collect::<Vec<_>>().join(", ");
    };
    let (old, new) = (columns(old), columns(new));
    let changed = new.iter().filter(|(k, v)| old.get(*k) != Some(*v));
    let shown = changed.map(|(k, v)| match old.get(k) {
        Some(before) => format!("{k} {before} -> {v}"),
        None => format!("{k}={v}"),
    });
    shown.collect::<Vec<_>>().join(", ")
}

/// Names what an edit does.
pub(crate) fn verb(table: &Table, edit: &Edit) -> &'static str {
    let present = table.entry(&edit.key).is_some_and(|e| e.row.is_some());
    match (&edit.row, present) {
        (None, _) => "delete",
        (Some(_), false) => "add",
        (Some(_), true) => "change",
    }
}

/// Says who changed a row last.
pub(crate) fn origin(entry: &Entry) -> String {
    let at = timestamp::format_utc(entry.at_ms);
    format!("{} at offset {}, {at}", entry.author, entry.version)
}

/// Returns the last change of an entry and those that it keeps, the last one first.
pub(crate) fn changes(entry: &Entry) -> Vec<Change> {
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

/// Parses the name of a row.
pub(crate) fn key(text: &str) -> Result<RowKey, Failure> {
    text.parse().map_err(|e: String| Failure::usage(e))
}

/// Returns a row that exists, with its entry.
pub(crate) fn existing<'a>(
    table: &'a Table,
    key: &RowKey,
) -> Result<(&'a Entry, &'a Row), Failure> {
    let entry = table.entry(key);
    if let Some(found) = entry.and_then(|e| Some((e, e.row.as_ref()?))) {
        return Ok(found);
    }
    let known: Vec<String> = table.rows().map(|(k, ..)| k.to_string()).collect();
    let meant = nearest(&key.to_string(), known.iter().map(String::as_str));
    let meant = meant.map(|m| format!("; did you mean `{m}`?"));
    let cause = format!("no row `{key}`{}", meant.unwrap_or_default());
    Err(Failure::new(Exit::Refused, cause))
}
