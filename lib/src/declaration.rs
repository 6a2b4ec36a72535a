//! The table as operators declare it: YAML files in one directory, made to live in version control.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::table::{AccountRow, Edit, GroupRow, Row, RowKey, ServiceRow, Table, VersionRow};

/// Says what is wrong with a declaration, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclarationError {
    /// The file.
    pub file: PathBuf,
    /// Line within the file, counted from one; zero when the file as a whole is at fault.
    pub line: usize,
    /// What is wrong and how to mend it.
    pub cause: String,
}

impl std::fmt::Display for DeclarationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: {}", self.file.display(), self.line, self.cause)
    }
}

impl std::error::Error for DeclarationError {}

/// Rows that one file declares.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declaration {
    /// Model groups.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub groups: BTreeMap<String, GroupRow>,
    /// Model versions.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<String, VersionRow>,
    /// Client accounts.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<String, AccountRow>,
    /// Plain services.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<String, ServiceRow>,
}

impl Declaration {
    /// Parses one file.
    pub fn parse(file: impl AsRef<Path>, text: &str) -> Result<Self, Report<DeclarationError>> {
        serde_yaml_ng::from_str(text).map_err(|e| {
            let line = e.location().map_or(0, |l| l.line());
            fault(file.as_ref(), line, e.to_string())
        })
    }

    /// Returns the declared rows.
    pub fn rows(&self) -> BTreeMap<RowKey, Row> {
        let groups = self
            .groups
            .iter()
            .map(|(id, row)| (RowKey::Group(id.as_str().into()), Row::Group(row.clone())));
        let versions = self.versions.iter().map(|(id, row)| {
            (
                RowKey::Version(id.as_str().into()),
                Row::Version(row.clone()),
            )
        });
        let accounts = self.accounts.iter().map(|(id, row)| {
            (
                RowKey::Account(id.as_str().into()),
                Row::Account(row.clone()),
            )
        });
        let services = self.services.iter().map(|(id, row)| {
            (
                RowKey::Service(id.as_str().into()),
                Row::Service(row.clone()),
            )
        });
        groups
            .chain(versions)
            .chain(accounts)
            .chain(services)
            .collect()
    }
}

/// Reads every `.yaml` file of a directory; a row declared twice is an error.
pub fn open(dir: impl AsRef<Path>) -> Result<BTreeMap<RowKey, Row>, Report<DeclarationError>> {
    let dir = dir.as_ref();
    let unreadable = |e: std::io::Error| fault(dir, 0, format!("can't read the table: {e}"));
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(unreadable)? {
        files.push(entry.map_err(unreadable)?.path());
    }
    files.retain(|f| f.extension().is_some_and(|e| e == "yaml"));
    files.sort();
    let mut out = BTreeMap::new();
    for file in files {
        let text = std::fs::read_to_string(&file)
            .map_err(|e| fault(&file, 0, format!("can't read the table: {e}")))?;
        for (key, row) in Declaration::parse(&file, &text)?.rows() {
            if out.insert(key.clone(), row).is_some() {
                return Err(fault(&file, 0, format!("`{key}` is declared twice")));
            }
        }
    }
    Ok(out)
}

/// Returns the edits that turn `table` into what is declared, touching only rows that differ.
pub fn diff(table: &Table, declared: &BTreeMap<RowKey, Row>) -> Vec<Edit> {
    let mut edits = Vec::new();
    for (key, row) in declared {
        let entry = table.entry(key);
        if entry.and_then(|e| e.row.as_ref()) != Some(row) {
            let base = entry.map(|e| e.version);
            edits.push(Edit {
                key: key.clone(),
                base,
                row: Some(row.clone()),
            });
        }
    }
    for (key, entry, _) in table.rows() {
        if !declared.contains_key(key) {
            edits.push(Edit {
                key: key.clone(),
                base: Some(entry.version),
                row: None,
            });
        }
    }
    edits
}

fn fault(file: &Path, line: usize, cause: String) -> Report<DeclarationError> {
    Report::new(DeclarationError {
        file: file.to_owned(),
        line,
        cause,
    })
}
