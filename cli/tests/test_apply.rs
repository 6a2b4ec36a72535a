//! Commands that change the table, and how each end is told apart.

use std::path::{Path, PathBuf};

use hemlock_cli::Exit;
use hemlock_lib::table::{Row, RowKey};

use crate::fake::{Fake, Mode};

/// A directory of its own below the build directory.
pub(crate) fn scratch(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a writable build directory");
    dir
}

fn table_dir(name: &str, replicas: u32) -> String {
    let dir = scratch(name);
    let hash = "0f".repeat(32);
    let text = format!(
        "groups:\n  listwriter: {{replicas: {replicas}, minimum: 1, downtime: 3.0, slots: 8}}\n\
         versions:\n  lw-v1: {{group: listwriter, weight: 1.0, span: 2}}\n\
         accounts:\n  account-01: {{key_hash: {hash}, requests: 100, tokens: 10000, concurrency: 100}}\n"
    );
    std::fs::write(dir.join("all.yaml"), text).expect("a writable directory");
    dir.display().to_string()
}

fn replicas(fake: &Fake) -> u32 {
    let table = fake.table();
    let key = RowKey::Group("listwriter".into());
    match table.entry(&key).and_then(|e| e.row.clone()) {
        Some(Row::Group(row)) => row.replicas,
        _ => 0,
    }
}

#[test]
fn apply_touches_only_rows_that_differ_and_is_idempotent() {
    let fake = Fake::spawn(Mode::Fold);
    let dir = table_dir("apply", 2);
    let diff = fake.run(&["diff", &dir]);
    assert_eq!(diff.exit, Exit::Differs);
    insta::assert_snapshot!("diff", diff.text);
    let args = ["apply", &dir, "--wait", "--author", "ines"];
    let first = fake.run(&args);
    assert_eq!(first.exit, Exit::Done, "{}", first.text);
    insta::assert_snapshot!("apply", first.text);
    let again = fake.run(&args);
    assert_eq!(again.exit, Exit::Done);
    insta::assert_snapshot!("apply_again", again.text);
    assert_eq!(fake.run(&["diff", &dir]).exit, Exit::Done);
    assert_eq!(
        fake.table().next.0,
        3,
        "the second apply appended something"
    );
}

#[test]
fn each_end_of_apply_has_its_exit() {
    let cases = [
        ("apply_conflict", Mode::Raced, Exit::Conflict),
        ("apply_unknown", Mode::Unknown, Exit::Unknown),
        ("apply_log_out", Mode::LogOut, Exit::Unreachable),
    ];
    for (name, mode, exit) in cases {
        let fake = Fake::spawn(mode);
        let ended = fake.run(&["apply", &table_dir(name, 2), "--wait"]);
        assert_eq!(ended.exit, exit, "{name}: {}", ended.text);
        assert_eq!(replicas(&fake), 3, "{name} changed the table");
        insta::assert_snapshot!(name, ended.text);
    }
}

#[test]
fn an_entry_vm_that_lags_is_named() {
    let fake = Fake::spawn(Mode::Behind);
    let ended = fake.run(&["set", "group/listwriter", "replicas=4", "--wait=1"]);
    assert_eq!(ended.exit, Exit::NotInForce, "{}", ended.text);
    insta::assert_snapshot!("set_not_in_force", ended.text);
    insta::assert_snapshot!("status_behind", fake.run(&["status"]).text);
}

#[test]
fn set_changes_columns() {
    let fake = Fake::spawn(Mode::Fold);
    let ended = fake.run(&["set", "group/listwriter", "replicas=4", "slots=9"]);
    assert_eq!(ended.exit, Exit::Done, "{}", ended.text);
    insta::assert_snapshot!("set", ended.text);
    let cases: [(&str, &[&str]); 4] = [
        ("set_column", &["replica=4"]),
        ("set_value", &["replicas=many"]),
        ("set_rule", &["minimum=9"]),
        ("set_form", &["replicas"]),
    ];
    for (name, columns) in cases {
        let mut args = vec!["set", "group/listwriter"];
        args.extend(columns);
        let ended = fake.run(&args);
        assert_eq!(ended.exit, Exit::Usage, "{name}: {}", ended.text);
        insta::assert_snapshot!(name, ended.text);
    }
    assert_eq!(replicas(&fake), 4);
}

/// A row is edited by hand through a file, which names the version that it was read at.
#[test]
fn a_row_edited_by_hand_meets_a_faster_operator() {
    let fake = Fake::spawn(Mode::Fold);
    let got = fake.run(&["get", "group/listwriter", "--output", "yaml"]);
    let yaml = got.text.split("--- ").nth(1).expect("output");
    let yaml = yaml
        .trim_start_matches("out\n")
        .trim()
        .replace("replicas: 3", "replicas: 5");
    let file = scratch("by_hand").join("row.yaml");
    std::fs::write(&file, yaml).expect("a writable directory");
    let file = file.display().to_string();
    assert_eq!(
        fake.run(&["set", "group/listwriter", "slots=11"]).exit,
        Exit::Done
    );
    let ended = fake.run(&["apply", "--file", &file]);
    assert_eq!(ended.exit, Exit::Conflict, "{}", ended.text);
    insta::assert_snapshot!("apply_file_conflict", ended.text);
    assert_eq!(replicas(&fake), 3);
}

#[test]
fn keys_are_made_hashed_and_rotated_without_being_shown() {
    let fake = Fake::spawn(Mode::Fold);
    let file = scratch("keys").join("account-01.key");
    let path = file.display().to_string();
    let rotated = fake.run(&["key", "rotate", "account-01", "--file", &path]);
    assert_eq!(rotated.exit, Exit::Done, "{}", rotated.text);
    let key = std::fs::read_to_string(&file).expect("the key was written");
    assert!(!rotated.text.contains(key.trim()), "the key was printed");
    let hashed = fake.run(&["key", "hash", "--file", &path]);
    let hash = hemlock_lib::hash::sha256_hex(key.trim().as_bytes());
    assert!(hashed.text.contains(&hash), "{}", hashed.text);
    let accounts = fake.table();
    let (_, row) = accounts.accounts().next().expect("one account");
    assert_eq!(row.key_hash, hash);
    let again = fake.run(&["key", "new", "--file", &path]);
    assert_eq!(again.exit, Exit::Usage);
    let shown = again.text.replace(&path, "FILE");
    insta::assert_snapshot!("key_new_exists", shown);
}
