//! Snapshots: the help of each command, and commands that only read.

use hemlock_cli::Exit;

use crate::fake::{Fake, Mode, run};

#[test]
fn help_of_each_command() {
    insta::assert_snapshot!("help", run(&["hemlock", "--help"]).text);
    let commands = hemlock_cli::command();
    let names: Vec<&str> = commands.get_subcommands().map(|c| c.get_name()).collect();
    assert_eq!(names.len(), 14);
    for name in names {
        let help = run(&["hemlock", name, "--help"]);
        assert_eq!(help.exit, Exit::Done);
        insta::assert_snapshot!(format!("help_{name}"), help.text);
    }
}

#[test]
fn one_success_of_each_reading_command() {
    let fake = Fake::spawn(Mode::Fold);
    let cases: [(&str, &[&str]); 9] = [
        ("status", &["status"]),
        ("status_replicas", &["status", "--replicas"]),
        ("status_json", &["status", "--output", "json"]),
        ("get", &["get"]),
        ("get_yaml", &["get", "group/listwriter", "--output", "yaml"]),
        ("history", &["history"]),
        (
            "history_row",
            &["history", "group/listwriter", "--output", "json"],
        ),
        ("watch", &["watch", "--for", "0"]),
        ("schema_table", &["schema", "table"]),
    ];
    for (name, args) in cases {
        let ended = fake.run(args);
        assert_eq!(ended.exit, Exit::Done, "{name}: {}", ended.text);
        insta::assert_snapshot!(name, ended.text);
    }
}

#[test]
fn one_failure_of_each_reading_command() {
    let fake = Fake::spawn(Mode::Fold);
    let cases: [(&str, &[&str], Exit); 7] = [
        ("get_unknown", &["get", "group/listriter"], Exit::Refused),
        ("get_kind", &["get", "grup/listwriter"], Exit::Usage),
        (
            "history_unknown",
            &["history", "account/account-1"],
            Exit::Refused,
        ),
        ("schema_unknown", &["schema", "tables"], Exit::Usage),
        ("completion_unknown", &["completion", "tcsh"], Exit::Usage),
        ("watch_malformed", &["watch", "--for", "soon"], Exit::Usage),
        ("command_unknown", &["stats"], Exit::Usage),
    ];
    for (name, args, exit) in cases {
        let ended = fake.run(args);
        assert_eq!(ended.exit, exit, "{name}: {}", ended.text);
        insta::assert_snapshot!(name, ended.text);
    }
}

/// Agents are tried in turn, and when none answers one line says so.
#[test]
fn agents_are_tried_in_turn() {
    let fake = Fake::spawn(Mode::Fold);
    let first = ["--agent", "http://127.0.0.1:1"];
    assert_eq!(fake.run(&["get"]).exit, Exit::Done);
    let mut args = vec!["hemlock", "get"];
    args.extend(first);
    let none = run(&args);
    assert_eq!(none.exit, Exit::Unreachable);
    insta::assert_snapshot!("unreachable", none.text);
    assert_eq!(
        fake.run(&["status", first[0], first[1]]).exit,
        Exit::Unreachable
    );
}

#[test]
fn completions_name_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let ended = run(&["hemlock", "completion", shell]);
        assert_eq!(ended.exit, Exit::Done);
        assert!(ended.text.contains("undrain"), "{shell}");
    }
}
