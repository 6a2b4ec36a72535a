//! Declarations: the operators' table as YAML files in one directory, meant for version control.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use error_stack::Report;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{self, RowError};
use crate::ids::{DomainId, Offset};
use crate::table::{
    AccountRow, DrainRow, Edit, GroupRow, Row, RowKey, ServiceRow, Table, VersionRow,
};
use crate::yaml::{self, Position};

/// An error in a declaration, with its file and position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclarationError {
    /// Path of the file; empty if the row is in no file.
    pub file: PathBuf,
    /// Position in the file.
    pub position: Position,
    /// Message that states the error and how to correct it.
    pub cause: String,
}

impl std::fmt::Display for DeclarationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.file.as_os_str().is_empty() {
            return f.write_str(&self.cause);
        }
        let file = self.file.display();
        match self.position.line {
            0 => write!(f, "{file}: {}", self.cause),
            _ => write!(f, "{file}:{}: {}", self.position, self.cause),
        }
    }
}

impl std::error::Error for DeclarationError {}

/// Rows that one file declares.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Declaration {
    /// Model groups by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub groups: BTreeMap<String, GroupRow>,
    /// Model versions by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<String, VersionRow>,
    /// Client accounts by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<String, AccountRow>,
    /// Plain services by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<String, ServiceRow>,
    /// Planned drains by the name of the endpoint VM.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub drains: BTreeMap<String, DrainRow>,
    /// Versions of the rows that the file was made from, as `get` writes them; a row that changed
    /// since then is a conflict. Files under version control leave them out.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub bases: BTreeMap<String, u64>,
}

impl Declaration {
    /// Parses one file; `file` is only named in errors.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not a declaration.
    pub fn parse(file: impl AsRef<Path>, text: &str) -> Result<Self, Report<DeclarationError>> {
        yaml::parse(text).map_err(|f| error(file.as_ref(), f.position, f.cause))
    }

    /// Adds a row, or replaces the row with this key. Does nothing if key and row are of different
    /// kinds.
    pub fn insert(&mut self, key: &RowKey, row: &Row) {
        match (key, row) {
            (RowKey::Group(id), Row::Group(row)) => {
                self.groups.insert(id.to_string(), row.clone());
            }
            (RowKey::Version(id), Row::Version(row)) => {
                self.versions.insert(id.to_string(), row.clone());
            }
            (RowKey::Account(id), Row::Account(row)) => {
                self.accounts.insert(id.to_string(), row.clone());
            }
            (RowKey::Service(id), Row::Service(row)) => {
                self.services.insert(id.to_string(), row.clone());
            }
            (RowKey::Drain(id), Row::Drain(row)) => {
                self.drains.insert(id.to_string(), row.clone());
            }
            _ => {}
        }
    }

    /// Returns the declared rows by key.
    pub fn rows(&self) -> BTreeMap<RowKey, Row> {
        let mut out = BTreeMap::new();
        for (id, row) in &self.groups {
            out.insert(RowKey::Group(id.as_str().into()), Row::Group(row.clone()));
        }
        for (id, row) in &self.versions {
            let key = RowKey::Version(id.as_str().into());
            out.insert(key, Row::Version(row.clone()));
        }
        for (id, row) in &self.accounts {
            let key = RowKey::Account(id.as_str().into());
            out.insert(key, Row::Account(row.clone()));
        }
        for (id, row) in &self.services {
            let key = RowKey::Service(id.as_str().into());
            out.insert(key, Row::Service(row.clone()));
        }
        for (id, row) in &self.drains {
            out.insert(RowKey::Drain(id.as_str().into()), Row::Drain(row.clone()));
        }
        out
    }
}

/// Rows that an operator declares in one or more files.
#[derive(Debug, Clone, Default)]
pub struct DeclaredTable {
    /// Declared rows by key.
    pub rows: BTreeMap<RowKey, Row>,
    /// Versions of the rows that the files were made from, where the files state them.
    pub bases: BTreeMap<RowKey, Offset>,
    sources: BTreeMap<RowKey, (PathBuf, Position)>,
    texts: BTreeMap<PathBuf, String>,
}

impl DeclaredTable {
    /// Adds the rows of one file.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not a declaration, or if a row is declared already.
    pub fn add(&mut self, file: &Path, text: &str) -> Result<(), Report<DeclarationError>> {
        let declaration = Declaration::parse(file, text)?;
        for (name, base) in &declaration.bases {
            let position = yaml::find(text, 1, name).unwrap_or_default();
            let key = name.parse().map_err(|e: String| error(file, position, e))?;
            self.bases.insert(key, Offset(*base));
        }
        for (key, row) in declaration.rows() {
            let position = row_position(text, &key);
            if let Some((first, at)) = self.sources.get(&key) {
                let cause = format!("`{key}` is declared in {}:{at} too", first.display());
                return Err(error(file, position, cause));
            }
            self.sources
                .insert(key.clone(), (file.to_owned(), position));
            self.rows.insert(key, row);
        }
        self.texts.insert(file.to_owned(), text.to_owned());
        Ok(())
    }

    /// Returns the edits that would create all declared rows in an empty table.
    pub fn all(&self) -> Vec<Edit> {
        upserts(&Table::default(), self)
    }

    /// Returns the errors in edits that come from these rows, with their positions.
    ///
    /// `vms` is the number of engine VMs of each failure domain; while it is empty, spans aren't
    /// checked.
    pub fn check(
        &self,
        table: &Table,
        edits: &[Edit],
        vms: &BTreeMap<DomainId, usize>,
    ) -> Vec<DeclarationError> {
        let errors = check::check(table, edits, vms);
        errors.iter().map(|f| self.locate(f)).collect()
    }

    fn locate(&self, error: &RowError) -> DeclarationError {
        let (file, row) = self.sources.get(&error.row).cloned().unwrap_or_default();
        let text = self.texts.get(&file).map_or("", String::as_str);
        let column = yaml::find(text, row.line, &error.column);
        let position = column.filter(|_| !error.column.is_empty()).unwrap_or(row);
        DeclarationError {
            file,
            position,
            cause: error.to_string(),
        }
    }
}

/// Reads every `.yaml` file of a directory.
///
/// # Errors
///
/// Fails if a file can't be read or parsed, if a row is declared twice, or if the directory
/// has no `.yaml` file, since an empty table would delete every row.
pub fn read_dir(dir: impl AsRef<Path>) -> Result<DeclaredTable, Report<DeclarationError>> {
    let dir = dir.as_ref();
    let unreadable = |e: std::io::Error| {
        let cause = format!("can't read the table: {e}");
        error(dir, Position::default(), cause)
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(unreadable)? {
        files.push(entry.map_err(unreadable)?.path());
    }
    files.retain(|f| f.extension().is_some_and(|e| e == "yaml"));
    files.sort();
    if files.is_empty() {
        let cause = "no `.yaml` file here; an empty table would delete every row".to_owned();
        return Err(error(dir, Position::default(), cause));
    }
    let mut declared_table = DeclaredTable::default();
    for file in files {
        add_file(&mut declared_table, &file)?;
    }
    Ok(declared_table)
}

/// Reads one file.
///
/// # Errors
///
/// Fails if the file can't be read or parsed.
pub fn read_file(file: impl AsRef<Path>) -> Result<DeclaredTable, Report<DeclarationError>> {
    let mut declared_table = DeclaredTable::default();
    add_file(&mut declared_table, file.as_ref())?;
    Ok(declared_table)
}

fn add_file(
    declared_table: &mut DeclaredTable,
    file: &Path,
) -> Result<(), Report<DeclarationError>> {
    let text = std::fs::read_to_string(file).map_err(|e| {
        let cause = format!("can't read the table: {e}");
        error(file, Position::default(), cause)
    })?;
    declared_table.add(file, &text)
}

/// Returns the edits that create or update the declared rows, leaving out rows that are equal
/// already.
pub fn upserts(table: &Table, declared: &DeclaredTable) -> Vec<Edit> {
    let mut edits = Vec::new();
    for (key, row) in &declared.rows {
        let entry = table.entry(key);
        if entry.and_then(|e| e.row.as_ref()) != Some(row) {
            let stated_base = declared.bases.get(key).copied();
            edits.push(Edit {
                key: key.clone(),
                base: stated_base.or(entry.map(|e| e.version)),
                row: Some(row.clone()),
            });
        }
    }
    edits
}

/// Returns the edits that turn `table` into what is declared, leaving out rows that are equal
/// already.
///
/// Drains are set and removed by `hemlock drain` and `hemlock undrain`, so drains that aren't
/// declared are kept.
pub fn diff(table: &Table, declared: &DeclaredTable) -> Vec<Edit> {
    let mut edits = upserts(table, declared);
    for (key, entry, _) in table.rows() {
        let kept = matches!(key, RowKey::Drain(_)) || declared.rows.contains_key(key);
        if !kept {
            edits.push(Edit {
                key: key.clone(),
                base: Some(entry.version),
                row: None,
            });
        }
    }
    edits
}

fn row_position(text: &str, key: &RowKey) -> Position {
    let shown = key.to_string();
    let (kind, name) = shown.split_once('/').unwrap_or_default();
    let start = yaml::find(text, 1, &format!("{kind}s")).unwrap_or_default();
    yaml::find(text, start.line, name).unwrap_or(start)
}

fn error(file: &Path, position: Position, cause: String) -> Report<DeclarationError> {
    Report::new(DeclarationError {
        file: file.to_owned(),
        position,
        cause,
    })
}
