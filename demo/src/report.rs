//! The table that the demo ends with.

use std::fmt::Write;

use hemlock_testutils::deployments::Deployment;
use hemlock_testutils::platform::Platform;

use crate::faults::Notes;
use crate::load::Totals;
use crate::monitor::Figures;

/// Figures of one deployment's run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) deployment: Deployment,
    rows: Vec<(String, String)>,
    duplicates: u64,
    wrong: u64,
    raced: bool,
}

impl Report {
    pub(crate) fn new(
        deployment: Deployment,
        load: &Totals,
        figures: &Figures,
        platform: &Platform,
        notes: Notes,
    ) -> Self {
        let runs = platform.services.run_counts();
        let duplicates = runs.values().map(|n| u64::from(n.saturating_sub(1))).sum();
        let millis = |micros: u64| format!("{:.1} ms", micros as f64 / 1_000.0);
        let mut rows = vec![
            ("requests".to_owned(), load.requests.to_string()),
            ("answered".to_owned(), load.answered.to_string()),
            ("connection lost".to_owned(), load.lost.to_string()),
            ("silent past 15 s".to_owned(), load.silent.to_string()),
            ("sent again by callers".to_owned(), load.resent.to_string()),
        ];
        for (code, count) in &load.refused {
            rows.push((format!("refused with {code}"), count.to_string()));
        }
        rows.extend([
            (
                "non-idempotent duplicates".to_owned(),
                u64::to_string(&duplicates),
            ),
            ("wrong answers".to_owned(), load.wrong.to_string()),
            (
                "first token p50".to_owned(),
                millis(load.first.value_at_quantile(0.5)),
            ),
            (
                "first token p95".to_owned(),
                millis(load.first.value_at_quantile(0.95)),
            ),
            (
                "token gap p95".to_owned(),
                millis(load.gaps.value_at_quantile(0.95)),
            ),
            (
                "group downtime".to_owned(),
                format!("{:.1} replica-s", figures.downtime),
            ),
            (
                "stranded accelerators".to_owned(),
                format!("{:.1} VM-s", figures.stranded),
            ),
            (
                "racing edits accepted".to_owned(),
                notes.accepted.to_string(),
            ),
            (
                "racing edits told of conflict".to_owned(),
                notes.conflicts.to_string(),
            ),
        ]);
        let raced = notes.accepted == 1 && notes.conflicts == 1;
        Self {
            deployment,
            rows,
            duplicates,
            wrong: load.wrong,
            raced,
        }
    }

    /// Returns whether no invariant broke.
    pub(crate) fn is_sound(&self) -> bool {
        self.duplicates == 0 && self.wrong == 0 && self.raced
    }
}

/// Returns the reports as text.
pub(crate) fn table(reports: &[Report]) -> String {
    let mut out = String::new();
    for report in reports {
        let sound = if report.is_sound() {
            "sound"
        } else {
            "AN INVARIANT BROKE"
        };
        let _ = writeln!(out, "\n{}: {sound}", report.deployment.name());
        for (name, value) in &report.rows {
            let _ = writeln!(out, "  {name:<32} {value:>16}");
        }
    }
    out
}
