//! Report that the demo prints at the end.

use std::fmt::Write;

use hemlock_testutils::deployments::Deployment;
use hemlock_testutils::platform::Platform;

use crate::faults::ConflictResults;
use crate::load::Totals;
use crate::monitor::Measurements;

/// Results of the run of one deployment.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) deployment: Deployment,
    rows: Vec<(String, String)>,
    duplicates: u64,
    wrong: u64,
    one_edit_accepted: bool,
}

impl Report {
    pub(crate) fn new(
        deployment: Deployment,
        load: &Totals,
        measurements: &Measurements,
        platform: &Platform,
        conflict: ConflictResults,
    ) -> Self {
        let runs = platform.services.run_counts();
        let duplicates = runs.values().map(|n| u64::from(n.saturating_sub(1))).sum();
        let millis = |micros: u64| format!("{:.1} ms", micros as f64 / 1_000.0);
        let mut rows = vec![
            ("requests".to_owned(), load.requests.to_string()),
            ("answered".to_owned(), load.answered.to_string()),
            ("connection lost".to_owned(), load.lost.to_string()),
            ("no answer within 15 s".to_owned(), load.silent.to_string()),
            ("retries by callers".to_owned(), load.retries.to_string()),
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
                millis(load.first_token.value_at_quantile(0.5)),
            ),
            (
                "first token p95".to_owned(),
                millis(load.first_token.value_at_quantile(0.95)),
            ),
            (
                "token gap p95".to_owned(),
                millis(load.token_gaps.value_at_quantile(0.95)),
            ),
            (
                "group downtime".to_owned(),
                format!("{:.1} replica-s", measurements.downtime),
            ),
            (
                "stranded accelerators".to_owned(),
                format!("{:.1} VM-s", measurements.stranded),
            ),
            (
                "conflicting edits accepted".to_owned(),
                conflict.accepted.to_string(),
            ),
            (
                "conflicting edits refused".to_owned(),
                conflict.conflicts.to_string(),
            ),
        ]);
        let one_edit_accepted = conflict.accepted == 1 && conflict.conflicts == 1;
        Self {
            deployment,
            rows,
            duplicates,
            wrong: load.wrong,
            one_edit_accepted,
        }
    }

    /// Returns whether all invariants held: no duplicate run of non-idempotent work, no wrong answer, and
    /// exactly one of two conflicting edits accepted.
    pub(crate) fn invariants_held(&self) -> bool {
        self.duplicates == 0 && self.wrong == 0 && self.one_edit_accepted
    }
}

/// Formats the reports as text.
pub(crate) fn table(reports: &[Report]) -> String {
    let mut out = String::new();
    for report in reports {
        let verdict = if report.invariants_held() {
            "all invariants held"
        } else {
            "AN INVARIANT WAS VIOLATED"
        };
        let _ = writeln!(out, "\n{}: {verdict}", report.deployment.name());
        for (name, value) in &report.rows {
            let _ = writeln!(out, "  {name:<32} {value:>16}");
        }
    }
    out
}
