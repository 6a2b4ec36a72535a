//! Output formats: text in columns for people, JSON and YAML for programs.

use std::io::Write;

use serde::Serialize;

use crate::exit::{Exit, Failure};

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
    Yaml,
}

impl Format {
    /// Names of the formats on the command line.
    pub(crate) const NAMES: [&'static str; 3] = ["table", "json", "yaml"];

    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "json" => Self::Json,
            "yaml" => Self::Yaml,
            _ => Self::Table,
        }
    }
}

/// Writes `value` as JSON or YAML, or the text table that `table` returns.
///
/// # Errors
///
/// Fails with [`Exit::Failed`] if `value` can't be serialized or the output can't be written.
pub(crate) fn print(
    out: &mut dyn Write,
    format: Format,
    value: &impl Serialize,
    table: impl FnOnce() -> TextTable,
) -> Result<(), Failure> {
    let text = match format {
        Format::Table => table().render(),
        Format::Json => {
            let text = serde_json::to_string_pretty(value);
            text.map_err(|e| Failure::new(Exit::Failed, e.to_string()))? + "\n"
        }
        Format::Yaml => serde_yaml_ng::to_string(value)
            .map_err(|e| Failure::new(Exit::Failed, e.to_string()))?,
    };
    out.write_all(text.as_bytes())?;
    Ok(())
}

/// Text in one or more sections; the cells of each section are aligned in columns.
#[derive(Debug, Default)]
pub(crate) struct TextTable {
    lines: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a text table that starts with a line of headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let header = headings.iter().map(|h| h.to_uppercase()).collect();
        Self {
            lines: vec![header],
        }
    }

    /// Appends a line of cells.
    pub(crate) fn push_line(&mut self, cells: impl IntoIterator<Item = impl Into<String>>) {
        self.lines.push(cells.into_iter().map(Into::into).collect());
    }

    /// Starts a section: appends an empty line and a line of headings.
    pub(crate) fn start_section(&mut self, headings: &[&str]) {
        self.lines.push(Vec::new());
        self.push_line(headings.iter().map(|h| h.to_uppercase()));
    }

    fn render(&self) -> String {
        let mut text = String::new();
        let sections = self.lines.split(|line| line.is_empty());
        for (i, section) in sections.enumerate() {
            if i > 0 {
                text.push('\n');
            }
            render_section(section, &mut text);
        }
        text
    }
}

fn render_section(lines: &[Vec<String>], text: &mut String) {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| {
        lines
            .iter()
            .filter_map(|l| l.get(c))
            .map(|t| t.chars().count())
            .max()
    };
    let widths: Vec<usize> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    for line in lines {
        let mut rendered = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            rendered.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(rendered.trim_end());
        text.push('\n');
    }
}
