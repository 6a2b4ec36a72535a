//! Forms of output: a table for people, JSON and YAML for programs.

use std::io::Write;

use serde::Serialize;

use crate::exit::{Exit, Failure};

/// A form of output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
    Yaml,
}

impl Format {
    /// Names as the command line has them.
    pub(crate) const NAMES: [&'static str; 3] = ["table", "json", "yaml"];

    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "json" => Self::Json,
            "yaml" => Self::Yaml,
            _ => Self::Table,
        }
    }
}

/// Writes `value` as JSON or YAML, or the lines of `table`.
pub(crate) fn print(
    out: &mut dyn Write,
    format: Format,
    value: &impl Serialize,
    table: impl FnOnce() -> Sheet,
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

/// Lines of cells, aligned in columns.
#[derive(Debug, Default)]
pub(crate) struct Sheet {
    lines: Vec<Vec<String>>,
}

impl Sheet {
    /// Makes a sheet with a line of headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let upper = headings.iter().map(|h| h.to_uppercase()).collect();
        Self { lines: vec![upper] }
    }

    /// Adds a line.
    pub(crate) fn line(&mut self, cells: impl IntoIterator<Item = impl Into<String>>) {
        self.lines.push(cells.into_iter().map(Into::into).collect());
    }

    /// Adds an empty line and a line of headings.
    pub(crate) fn part(&mut self, headings: &[&str]) {
        self.lines.push(Vec::new());
        self.line(headings.iter().map(|h| h.to_uppercase()));
    }

    fn render(&self) -> String {
        let mut text = String::new();
        let parts = self.lines.split(|line| line.is_empty());
        for (i, part) in parts.enumerate() {
            if i > 0 {
                text.push('\n');
            }
            render_part(part, &mut text);
        }
        text
    }
}

fn render_part(lines: &[Vec<String>], text: &mut String) {
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
        let mut shown = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            shown.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(shown.trim_end());
        text.push('\n');
    }
}
