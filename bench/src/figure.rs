//! Figures that experiments return.

use std::fmt::Write;

use serde::Serialize;

/// Options of an experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of runs, each with the next seed.
    pub repeats: u32,
    /// Names of the policies to run. If empty, the experiment chooses them.
    pub policies: Vec<String>,
}

impl Options {
    /// Returns whether no policy was named or this one was.
    pub fn selects(&self, policy: &str) -> bool {
        self.policies.is_empty() || self.policies.iter().any(|p| p == policy)
    }
}

/// One measured figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Name with dots between its parts. The first part names the experiment.
    pub name: String,
    /// Measured or counted value.
    pub value: f64,
    /// Unit, or an empty string for counts.
    pub unit: &'static str,
}

impl Figure {
    /// Creates a figure.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
        }
    }
}

/// Returns figures as a text table.
pub fn table(figures: &[Figure]) -> String {
    let mut out = String::new();
    for f in figures {
        let _ = writeln!(out, "{:<72} {:>16.3} {}", f.name, f.value, f.unit);
    }
    out
}

/// Returns figures as a JSON array.
pub fn json(figures: &[Figure]) -> String {
    serde_json::to_string_pretty(figures).unwrap_or_default()
}
