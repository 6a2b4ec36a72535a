//! What a daemon refuses before it starts: one line with the place and the mend.

use std::path::{Path, PathBuf};

use hemlock_wire::daemon;

const GOOD: &str = "entry: entry-1
domain: riverside
domains: [riverside]
platform: {log: http://127.0.0.1:7000/log, vms: http://127.0.0.1:7000/vms}
gateway: {listen: 127.0.0.1:8100, advertise: http://127.0.0.1:8100}
agent:
  listen: 127.0.0.1:8101
  advertise: http://127.0.0.1:8101
  gossip: 127.0.0.1:8102
  keys: [{id: 1, file: gossip.key}]
";

fn scratch(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a writable build directory");
    std::fs::write(dir.join("gossip.key"), "secret words").expect("a writable directory");
    dir
}

#[test]
fn faults_are_one_line_each() {
    let cases = [
        (
            "absent",
            GOOD.to_owned(),
            "absent.yaml: can't read the settings",
        ),
        (
            "unknown",
            GOOD.replace("gossip: ", "gosip: "),
            "unknown.yaml:9:3: agent: unknown field `gosip`",
        ),
        (
            "key",
            GOOD.replace("gossip.key", "other.key"),
            "other.key: can't read key 1",
        ),
        (
            "chart",
            format!("{GOOD}charts: charts\n"),
            "charts/change.yaml",
        ),
    ];
    for (name, text, cause) in cases {
        let dir = scratch(name);
        let file = dir.join(format!("{name}.yaml"));
        if name != "absent" {
            std::fs::write(&file, text).expect("a writable directory");
        }
        let fault = daemon::load(file).expect_err(name);
        assert!(fault.contains(cause), "{name}: {fault}");
        assert!(!fault.contains('\n'), "{name}: {fault}");
        assert!(!fault.contains("secret"), "{name}: {fault}");
    }
}

/// Settings that were read never show a secret.
#[test]
fn secrets_are_not_shown() {
    let dir = scratch("sound");
    let file = dir.join("sound.yaml");
    std::fs::write(&file, GOOD).expect("a writable directory");
    let started = daemon::load(file).expect("sound settings");
    let shown = format!("{started:?}");
    assert!(!shown.contains("secret words"), "{shown}");
    let bytes = format!("{:?}", b"secret words");
    assert!(!shown.contains(&bytes), "{shown}");
}
