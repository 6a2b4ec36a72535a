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
        (
            GOOD.replace("  listen: 127.0.0.1:8101\n", ""),
            "s.yaml:11:",
            "agent: missing field `listen`",
        ),
        (
            GOOD.replace("  gossip:", "  gosip:"),
            "s.yaml:13:3: ",
            "did you mean `gossip`?",
        ),
        (
            GOOD.replace("agent:", "  queue: 0\nagent:"),
            "s.yaml:10:3: ",
            "`queue` is 0; it must be from 1 to 65536",
        ),
        (
            GOOD.replace("[riverside]", "[pinehill]"),
            "s.yaml:2:1: ",
            "`domain` `riverside` is not among `domains`",
        ),
        (
            GOOD.replace("entry: entry-1", "log: {level: loud}\nentry: entry-1"),
            "s.yaml:1:14: ",
            "`loud` is no level",
        ),
        (
            GOOD.replace(
                "entry: entry-1",
                "planner: {drift_ms: 1000}\nentry: entry-1",
            ),
            "s.yaml:1:1: ",
            "`lease_ms` must be more than three times `drift_ms`",
        ),
        (
            GOOD.replace("domains: [riverside]", "domains: [riverside"),
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
