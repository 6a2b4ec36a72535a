//! Settings: faults name file, line and the mend.

use hemlock_lib::settings::Settings;

const GOOD: &str = "entry: entry-1
domain: riverside
domains: [riverside]
platform:
  log: http://127.0.0.1:7000/log
  vms: http://127.0.0.1:7000/vms
gateway:
  listen: 127.0.0.1:8100
  advertise: http://127.0.0.1:8100
agent:
  listen: 127.0.0.1:8101
  advertise: http://127.0.0.1:8101
  gossip: 127.0.0.1:8102
  keys: [{id: 1, file: gossip.key}]
";

#[test]
fn good_settings_parse() {
    Settings::parse("s.yaml", GOOD).expect("sound settings");
}

#[test]
fn faults_name_file_and_line() {
    let cases = [
        (GOOD.replace("entry:", "entri:"), "s.yaml:1:", "entri"),
        (
            GOOD.replace("127.0.0.1:8101\n  adv", "nowhere\n  adv"),
            "s.yaml:11:",
            "IP:PORT",
        ),
        (
            GOOD.replace("log: http", "log: ftp"),
            "s.yaml:5:",
            "http://",
        ),
        (
            GOOD.replace("[{id: 1, file: gossip.key}]", "[]"),
            "s.yaml:14:",
            "key",
        ),
    ];
    for (text, place, cause) in cases {
        let error = Settings::parse("s.yaml", &text).expect_err("faulty settings");
        let line = error.current_context().to_string();
        assert!(line.starts_with(place) && line.contains(cause), "{line}");
    }
}
