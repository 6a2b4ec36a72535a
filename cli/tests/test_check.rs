//! Bad table files: each fault names file, line, column, key and the nearest known name.

use hemlock_cli::Exit;

use crate::fake::run;
use crate::test_apply::scratch;

#[test]
fn faults_of_table_files() {
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
        let dir = scratch(name);
        std::fs::write(dir.join("t.yaml"), text).expect("a writable directory");
        let dir = dir.display().to_string();
        let ended = run(&["hemlock", "check", &dir]);
        assert_eq!(ended.exit, exit, "{name}: {}", ended.text);
        insta::assert_snapshot!(name, ended.text.replace(&dir, "DIR"));
    }
}

#[test]
fn faults_of_directories() {
    let dir = scratch("twice");
    let text = "groups:\n  a: {replicas: 1}\n";
    std::fs::write(dir.join("a.yaml"), text).expect("a writable directory");
    std::fs::write(dir.join("b.yaml"), text).expect("a writable directory");
    let twice = dir.display().to_string();
    let empty = scratch("empty").display().to_string();
    let cases = [("check_twice", &twice), ("check_empty", &empty)];
    for (name, dir) in cases {
        let ended = run(&["hemlock", "check", dir]);
        assert_eq!(ended.exit, Exit::Usage);
        insta::assert_snapshot!(name, ended.text.replace(dir.as_str(), "DIR"));
    }
}
