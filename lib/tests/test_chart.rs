//! State charts: what is refused, and what the built-in ones allow.

use hemlock_lib::chart::{Chart, Charts};

const GOOD: &str = "name: door\nstart: shut\nstates: [shut, open]\nevents: [push]\n\
transitions:\n  - {from: shut, event: push, to: open}\nfinal: [open]\nignored: []\n";

#[test]
fn built_in_charts_are_sound() {
    Charts::built_in().expect("the built-in charts are sound");
}

#[test]
fn takes_a_transition() {
    let chart = Chart::parse("door.yaml", GOOD).expect("a sound chart");
    let push = chart.event("push").expect("the event exists");
    let next = chart
        .next(chart.start(), push)
        .expect("the transition exists");
    assert_eq!(chart.state_name(next), "open");
}

#[test]
fn faults_name_file_and_line() {
    let cases = [
        (GOOD.replace("to: open", "to: ajar"), "unknown state `ajar`"),
        (
            GOOD.replace("event: push", "event: pull"),
            "unknown event `pull`",
        ),
        (
            GOOD.replace("[shut, open]", "[shut, open, ajar]"),
            "`ajar` has no transition",
        ),
        (
            GOOD.replace("final: [open]", "final: []"),
            "`open` has no transition",
        ),
        (
            GOOD.replace("[shut, open]", "[shut, open, ajar]")
                .replace("final: [open]", "final: [open, ajar]"),
            "state `ajar` can't be reached",
        ),
        (GOOD.replace("name: door", "nom: door"), "unknown field"),
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
