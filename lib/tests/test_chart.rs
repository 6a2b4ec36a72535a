//! State charts: which ones are rejected, and that the built-in ones are valid.

use hemlock_lib::chart::{Chart, Charts};

const VALID: &str = "name: door\nstart: shut\nstates: [shut, open]\nevents: [push]\n\
transitions:\n  - {from: shut, event: push, to: open}\nfinal: [open]\nignored: []\n";

#[test]
fn built_in_charts_are_valid() {
    Charts::built_in().expect("the built-in charts are valid");
}

#[test]
fn an_event_leads_to_the_state_of_its_transition() {
    let chart = Chart::parse("door.yaml", VALID).expect("a valid chart");
    let push = chart.event("push").expect("the event exists");
    let next = chart
        .next(chart.start(), push)
        .expect("the transition exists");
    assert_eq!(chart.state_name(next), "open");
}

#[test]
fn errors_name_file_and_line() {
    let cases = [
        (
            VALID.replace("to: open", "to: ajar"),
            "unknown state `ajar`",
        ),
        (
            VALID.replace("event: push", "event: pull"),
            "unknown event `pull`",
        ),
        (
            VALID.replace("[shut, open]", "[shut, open, ajar]"),
            "`ajar` has no transition",
        ),
        (
            VALID.replace("final: [open]", "final: []"),
            "`open` has no transition",
        ),
        (
            VALID
                .replace("[shut, open]", "[shut, open, ajar]")
                .replace("final: [open]", "final: [open, ajar]"),
            "state `ajar` can't be reached",
        ),
        (VALID.replace("name: door", "nom: door"), "unknown field"),
    ];
    for (text, cause) in cases {
        let error = Chart::parse("door.yaml", &text).expect_err("the chart is faulty");
        let line = error.current_context().to_string();
        assert!(
            line.starts_with("door.yaml:") && line.contains(cause),
            "{line}"
        );
    }
}
