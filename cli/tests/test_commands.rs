//! Snapshots of the help of each command and of the commands that only read.

use hemlock_cli::Exit;

use crate::fake_agent::{FakeAgent, SubmitBehavior, run};

#[test]
fn each_command_has_its_help() {
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
fn reading_commands_print_rows_and_state() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
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
        let result = agent.run(args);
        assert_eq!(result.exit, Exit::Done, "{name}: {}", result.text);
        insta::assert_snapshot!(name, result.text);
    }
}

#[test]
fn reading_commands_reject_unknown_names() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
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
        let result = agent.run(args);
        assert_eq!(result.exit, exit, "{name}: {}", result.text);
        insta::assert_snapshot!(name, result.text);
    }
}

/// Agents are tried in order; if none answers, one error line names all that were tried.
#[test]
fn unreachable_agents_are_skipped_and_reported() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
    let first = ["--agent", "http://127.0.0.1:1"];
    assert_eq!(agent.run(&["get"]).exit, Exit::Done);
    let mut args = vec!["hemlock", "get"];
    args.extend(first);
    let none = run(&args);
    assert_eq!(none.exit, Exit::Unreachable);
    insta::assert_snapshot!("unreachable", none.text);
    assert_eq!(
        agent.run(&["status", first[0], first[1]]).exit,
        Exit::Unreachable
    );
}

#[test]
fn completion_scripts_contain_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let result = run(&["hemlock", "completion", shell]);
        assert_eq!(result.exit, Exit::Done);
        assert!(result.text.contains("undrain"), "{shell}");
    }
}
