//! Settings: errors name the file, the line and the correction.

use hemlock_lib::settings::Settings;

const VALID: &str = "entry: entry-1
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
fn valid_settings_are_accepted() {
    Settings::parse("s.yaml", VALID).expect("valid settings");
}

#[test]
fn errors_name_file_and_line() {
    let cases = [
        (VALID.replace("entry:", "entri:"), "s.yaml:1:", "entri"),
        (
            VALID.replace("127.0.0.1:8101\n  adv", "nowhere\n  adv"),
            "s.yaml:11:",
            "IP:PORT",
        ),
        (
            VALID.replace("log: http", "log: ftp"),
            "s.yaml:5:",
            "http://",
        ),
        (
            VALID.replace("[{id: 1, file: gossip.key}]", "[]"),
            "s.yaml:14:",
            "key",
        ),
        (
            VALID.replace("  listen: 127.0.0.1:8101\n", ""),
            "s.yaml:11:",
            "agent: missing field `listen`",
        ),
        (
            VALID.replace("  gossip:", "  gosip:"),
            "s.yaml:13:3: ",
            "did you mean `gossip`?",
        ),
        (
            VALID.replace("agent:", "  queue: 0\nagent:"),
            "s.yaml:10:3: ",
            "`queue` is 0; it must be from 1 to 65536",
        ),
        (
            VALID.replace("[riverside]", "[pinehill]"),
            "s.yaml:2:1: ",
            "`domain` `riverside` is not among `domains`",
        ),
        (
            VALID.replace("entry: entry-1", "log: {level: loud}\nentry: entry-1"),
            "s.yaml:1:14: ",
            "`loud` is not a log level",
        ),
        (
            VALID.replace(
                "entry: entry-1",
                "planner: {drift_ms: 1000}\nentry: entry-1",
            ),
            "s.yaml:1:1: ",
            "`lease_ms` must be more than three times `drift_ms`",
        ),
        (
            VALID.replace("domains: [riverside]", "domains: [riverside"),
            "s.yaml:4:",
            "did not find expected",
        ),
    ];
    for (text, place, cause) in cases {
        let error = Settings::parse("s.yaml", &text).expect_err("faulty settings");
        let line = error.current_context().to_string();
        assert!(line.starts_with(place) && line.contains(cause), "{line}");
    }
}
