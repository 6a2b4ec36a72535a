//! Invalid table files: errors name the file, line, column and key, and suggest the nearest known name.

use hemlock_cli::Exit;

use crate::fake_agent::run;
use crate::test_apply::scratch_dir;

#[test]
fn check_reports_faults_of_table_files_with_their_position() {
    let cases = [
        ("check_ok", "groups:\n  a: {replicas: 1}\n", Exit::Done),
        (
            "check_unknown_key",
            "groups:\n  a:\n    replicas: 1\n    minimun: 1\n",
            Exit::Usage,
        ),
        (
            "check_unknown_kind",
            "group:\n  a: {replicas: 1}\n",
            Exit::Usage,
        ),
        (
            "check_missing_key",
            "versions:\n  v:\n    group: a\n    weight: 1\n",
            Exit::Usage,
        ),
        (
            "check_wrong_type",
            "groups:\n  a:\n    replicas: lots\n",
            Exit::Usage,
        ),
        (
            "check_malformed",
            "groups:\n  a: {replicas: 1\n",
            Exit::Usage,
        ),
        (
            "check_unknown_group",
            "groups:\n  listwriter: {replicas: 1}\nversions:\n  v:\n    group: listriter\n    weight: -1\n    span: 0\n",
            Exit::Usage,
        ),
        (
            "check_account",
            "accounts:\n  x: {key_hash: short, requests: 1, tokens: 1, concurrency: 1}\n",
            Exit::Usage,
        ),
    ];
    for (name, text, exit) in cases {
        let dir = scratch_dir(name);
        std::fs::write(dir.join("t.yaml"), text).expect("a writable directory");
        let dir = dir.display().to_string();
        let result = run(&["hemlock", "check", &dir]);
        assert_eq!(result.exit, exit, "{name}: {}", result.text);
        insta::assert_snapshot!(name, result.text.replace(&dir, "DIR"));
    }
}

#[test]
fn check_rejects_duplicate_rows_and_empty_directories() {
    let dir = scratch_dir("twice");
    let text = "groups:\n  a: {replicas: 1}\n";
    std::fs::write(dir.join("a.yaml"), text).expect("a writable directory");
    std::fs::write(dir.join("b.yaml"), text).expect("a writable directory");
    let twice = dir.display().to_string();
    let empty = scratch_dir("empty").display().to_string();
    let cases = [("check_twice", &twice), ("check_empty", &empty)];
    for (name, dir) in cases {
        let result = run(&["hemlock", "check", dir]);
        assert_eq!(result.exit, Exit::Usage);
        insta::assert_snapshot!(name, result.text.replace(dir.as_str(), "DIR"));
    }
}
