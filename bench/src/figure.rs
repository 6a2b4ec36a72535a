//! Figures that experiments yield.

use std::fmt::Write;

use serde::Serialize;

/// What an experiment is run with.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the random choices.
    pub seed: u64,
    /// Runs with following seeds.
    pub repeats: u32,
    /// Policies to run; all if empty.
    pub policies: Vec<String>,
}

impl Options {
    /// Returns whether a policy is to be run.
    pub fn wants(&self, policy: &str) -> bool {
        self.policies.is_empty() || self.policies.iter().any(|p| p == policy)
    }
}

/// One measured figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Name, with dots between its parts; the first part is the experiment.
    pub name: String,
    /// Value.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
}

impl Figure {
    /// Makes a figure.
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

/// Returns figures as JSON.
pub fn json(figures: &[Figure]) -> String {
    serde_json::to_string_pretty(figures).unwrap_or_default()
}
