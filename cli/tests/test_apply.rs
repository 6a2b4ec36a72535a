//! Commands that change the table, and the exit code of each result.

use std::path::{Path, PathBuf};

use hemlock_cli::Exit;
use hemlock_lib::table::{Row, RowKey};

use crate::fake_agent::{FakeAgent, SubmitBehavior};

/// Creates an empty directory below the build directory.
pub(crate) fn scratch_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a writable build directory");
    dir
}

fn table_dir(name: &str, replicas: u32) -> String {
    let dir = scratch_dir(name);
    let hash = "0f".repeat(32);
    let text = format!(
        "groups:\n  listwriter: {{replicas: {replicas}, minimum: 1, downtime: 3.0, slots: 8}}\n\
         versions:\n  lw-v1: {{group: listwriter, weight: 1.0, span: 2}}\n\
         accounts:\n  account-01: {{key_hash: {hash}, requests: 100, tokens: 10000, concurrency: 100}}\n"
    );
    std::fs::write(dir.join("all.yaml"), text).expect("a writable directory");
    dir.display().to_string()
}

fn replicas(agent: &FakeAgent) -> u32 {
    let table = agent.table();
    let key = RowKey::Group("listwriter".into());
    match table.entry(&key).and_then(|e| e.row.clone()) {
        Some(Row::Group(row)) => row.replicas,
        _ => 0,
    }
}

#[test]
fn apply_changes_only_rows_that_differ_and_is_idempotent() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
    let dir = table_dir("apply", 2);
    let diff = agent.run(&["diff", &dir]);
    assert_eq!(diff.exit, Exit::Differs);
    insta::assert_snapshot!("diff", diff.text);
    let args = ["apply", &dir, "--wait", "--author", "ines"];
    let first = agent.run(&args);
    assert_eq!(first.exit, Exit::Done, "{}", first.text);
    insta::assert_snapshot!("apply", first.text);
    let again = agent.run(&args);
    assert_eq!(again.exit, Exit::Done);
    insta::assert_snapshot!("apply_again", again.text);
    assert_eq!(agent.run(&["diff", &dir]).exit, Exit::Done);
    assert_eq!(
        agent.table().next.0,
        3,
        "the second apply appended something"
    );
}

#[test]
fn each_failure_of_apply_has_its_exit_code() {
    let cases = [
        (
            "apply_conflict",
            SubmitBehavior::ConcurrentEdit,
            Exit::Conflict,
        ),
        ("apply_unknown", SubmitBehavior::Unknown, Exit::Unknown),
        (
            "apply_log_out",
            SubmitBehavior::LogUnavailable,
            Exit::Unreachable,
        ),
    ];
    for (name, mode, exit) in cases {
        let agent = FakeAgent::spawn(mode);
        let result = agent.run(&["apply", &table_dir(name, 2), "--wait"]);
        assert_eq!(result.exit, exit, "{name}: {}", result.text);
        assert_eq!(replicas(&agent), 3, "{name} changed the table");
        insta::assert_snapshot!(name, result.text);
    }
}

#[test]
fn wait_names_the_entry_vms_where_a_change_is_not_in_force() {
    let agent = FakeAgent::spawn(SubmitBehavior::Behind);
    let result = agent.run(&["set", "group/listwriter", "replicas=4", "--wait=1"]);
    assert_eq!(result.exit, Exit::NotInForce, "{}", result.text);
    insta::assert_snapshot!("set_not_in_force", result.text);
    insta::assert_snapshot!("status_behind", agent.run(&["status"]).text);
}

#[test]
fn set_changes_columns_and_rejects_invalid_values() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
    let result = agent.run(&["set", "group/listwriter", "replicas=4", "slots=9"]);
    assert_eq!(result.exit, Exit::Done, "{}", result.text);
    insta::assert_snapshot!("set", result.text);
    let cases: [(&str, &[&str]); 4] = [
        ("set_column", &["replica=4"]),
        ("set_value", &["replicas=many"]),
        ("set_rule", &["minimum=9"]),
        ("set_form", &["replicas"]),
    ];
    for (name, columns) in cases {
        let mut args = vec!["set", "group/listwriter"];
        args.extend(columns);
        let result = agent.run(&args);
        assert_eq!(result.exit, Exit::Usage, "{name}: {}", result.text);
        insta::assert_snapshot!(name, result.text);
    }
    assert_eq!(replicas(&agent), 4);
}

/// The file that `get` writes names the offset at which the row was read, so that `apply --file` detects
/// that another operator changed the row meanwhile.
#[test]
fn apply_file_reports_a_conflict_if_the_row_changed_since_it_was_read() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
    let got = agent.run(&["get", "group/listwriter", "--output", "yaml"]);
    let yaml = got.text.split("--- ").nth(1).expect("output");
    let yaml = yaml
        .trim_start_matches("out\n")
        .trim()
        .replace("replicas: 3", "replicas: 5");
    let file = scratch_dir("by_hand").join("row.yaml");
    std::fs::write(&file, yaml).expect("a writable directory");
    let file = file.display().to_string();
    assert_eq!(
        agent.run(&["set", "group/listwriter", "slots=11"]).exit,
        Exit::Done
    );
    let result = agent.run(&["apply", "--file", &file]);
    assert_eq!(result.exit, Exit::Conflict, "{}", result.text);
    insta::assert_snapshot!("apply_file_conflict", result.text);
    assert_eq!(replicas(&agent), 3);
}

#[test]
fn keys_are_created_hashed_and_rotated_without_being_printed() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
    let file = scratch_dir("keys").join("account-01.key");
    let path = file.display().to_string();
    let rotated = agent.run(&["key", "rotate", "account-01", "--file", &path]);
    assert_eq!(rotated.exit, Exit::Done, "{}", rotated.text);
    let key = std::fs::read_to_string(&file).expect("the key was written");
    assert!(!rotated.text.contains(key.trim()), "the key was printed");
    let hashed = agent.run(&["key", "hash", "--file", &path]);
    let hash = hemlock_lib::hash::sha256_hex(key.trim().as_bytes());
    assert!(hashed.text.contains(&hash), "{}", hashed.text);
    let accounts = agent.table();
    let (_, row) = accounts.accounts().next().expect("one account");
    assert_eq!(row.key_hash, hash);
    let again = agent.run(&["key", "new", "--file", &path]);
    assert_eq!(again.exit, Exit::Usage);
    let shown = again.text.replace(&path, "FILE");
    insta::assert_snapshot!("key_new_exists", shown);
}
