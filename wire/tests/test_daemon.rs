//! Errors in the inputs of a daemon: each is reported in one line that names the place.

use std::path::{Path, PathBuf};

use hemlock_wire::daemon;

const VALID_SETTINGS: &str = "entry: entry-1
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

fn settings_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a writable build directory");
    std::fs::write(dir.join("gossip.key"), "secret words").expect("a writable directory");
    dir
}

#[test]
fn input_errors_are_one_line_with_the_place_and_without_secrets() {
    let cases = [
        (
            "absent",
            VALID_SETTINGS.to_owned(),
            "absent.yaml: can't read the settings",
        ),
        (
            "unknown",
            VALID_SETTINGS.replace("gossip: ", "gosip: "),
            "unknown.yaml:9:3: agent: unknown field `gosip`",
        ),
        (
            "key",
            VALID_SETTINGS.replace("gossip.key", "other.key"),
            "other.key: can't read key 1",
        ),
        (
            "chart",
            format!("{VALID_SETTINGS}charts: charts\n"),
            "charts/change.yaml",
        ),
    ];
    for (name, text, cause) in cases {
        let dir = settings_dir(name);
        let file = dir.join(format!("{name}.yaml"));
        if name != "absent" {
            std::fs::write(&file, text).expect("a writable directory");
        }
        let error = daemon::load(file).expect_err(name);
        assert!(error.contains(cause), "{name}: {error}");
        assert!(!error.contains('\n'), "{name}: {error}");
        assert!(!error.contains("secret"), "{name}: {error}");
    }
}

/// Debug output must not contain a secret as text or as a list of bytes.
#[test]
fn debug_output_does_not_contain_secrets() {
    let dir = settings_dir("sound");
    let file = dir.join("sound.yaml");
    std::fs::write(&file, VALID_SETTINGS).expect("a writable directory");
    let inputs = daemon::load(file).expect("valid settings");
    let shown = format!("{inputs:?}");
    assert!(!shown.contains("secret words"), "{shown}");
    let bytes = format!("{:?}", b"secret words");
    assert!(!shown.contains(&bytes), "{shown}");
}
