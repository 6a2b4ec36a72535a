//! The agent's HTTP and datagram interfaces and its use of the log, over loopback.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use hemlock_agent::AgentHandle;
use hemlock_lib::chart::Charts;
use hemlock_lib::codec;
use hemlock_lib::ids::StreamId;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::settings::Settings;
use hemlock_lib::table::{Edit, GroupRow, Row};
use hemlock_lib::view::View;
use hemlock_testutils::deployments::{self, Deployment};
use hemlock_testutils::engine::EngineConfig;
use hemlock_testutils::log::LogFault;
use hemlock_testutils::platform::Platform;
use hemlock_testutils::ports::free_port;
use hemlock_wire::agent_client;
use hemlock_wire::http_client::{self, CallError};

const CALL_TIMEOUT: Duration = Duration::from_secs(4);

struct AgentHarness {
    platform: Platform,
    settings: Settings,
    agent: AgentHandle,
}

impl AgentHarness {
    fn spawn() -> Self {
        let engine_config = EngineConfig::default();
        let platform =
            Platform::spawn("127.0.0.1:0", &[], engine_config).expect("the platform stub starts");
        let charts = Charts::built_in().expect("built-in charts");
        let (log, vms) = (platform.log_url(), platform.vms_url());
        let mut settings = Deployment::TallowCreek.parsed_settings(0, free_port(), &log, &vms);
        settings.agent.listen = format!("127.0.0.1:{}", free_port());
        settings.agent.advertise = format!("http://{}", settings.agent.listen);
        settings.agent.gossip = format!("127.0.0.1:{}", free_port());
        let agent = hemlock_agent::spawn(&settings, &charts, deployments::test_keys());
        let harness = Self {
            platform,
            settings,
            agent: agent.expect("the agent starts"),
        };
        harness.view();
        harness
    }

    fn url(&self) -> String {
        self.settings.agent.advertise.clone()
    }

    /// Returns the view of the agent, waiting for the first one.
    fn view(&self) -> View {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let url = self.url();
            let view = http_client::block_on_new_thread("view", async move || {
                agent_client::view(&url, CALL_TIMEOUT).await
            });
            if let Ok(view) = view {
                return view;
            }
            assert!(Instant::now() < deadline, "no view: {view:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn submit(&self, name: &str) -> Settled {
        let row = GroupRow {
            replicas: 1,
            minimum: 0,
            downtime: 1.0,
            stranded: 1.0,
            reserve: 0,
            slots: 1,
        };
        let edit = Edit {
            key: format!("group/{name}").parse().expect("a row key"),
            base: None,
            row: Some(Row::Group(row)),
        };
        let submit = Submit::Config {
            author: "operator".to_owned(),
            edits: vec![edit],
        };
        let url = self.url();
        http_client::block_on_new_thread("submit", async move || {
            agent_client::submit(&url, &submit, CALL_TIMEOUT).await
        })
    }

    fn post(&self, path: &str, body: Vec<u8>) -> Result<usize, CallError> {
        let url = format!("{}{path}", self.url());
        http_client::block_on_new_thread("post", async move || {
            http_client::post(&url, body, CALL_TIMEOUT)
                .await
                .map(|b| b.len())
        })
    }

    fn stop(self) {
        self.agent.stop();
        self.platform.stop();
    }
}

/// Malformed calls and datagrams must be rejected without effect on later calls.
#[test]
fn malformed_calls_are_rejected_without_effect() {
    let harness = AgentHarness::spawn();
    let valid_body = codec::encode(&Submit::Config {
        author: "operator".to_owned(),
        edits: Vec::new(),
    });
    let truncated = valid_body[..valid_body.len() - 1].to_vec();
    let cases = [
        ("/v1/submit?wait_ms=1000", Vec::new(), 400),
        ("/v1/submit?wait_ms=1000", b"malformed".to_vec(), 400),
        ("/v1/submit?wait_ms=1000", truncated, 400),
        ("/v1/submit?wait_ms=soon", valid_body.clone(), 400),
        ("/v1/submit", valid_body, 400),
        ("/v1/spare", b"much".to_vec(), 400),
        ("/v1/none", Vec::new(), 404),
    ];
    for (path, body, status) in cases {
        let result = harness.post(path, body);
        assert!(
            matches!(result, Err(CallError::Status(s)) if s == status),
            "{path}: {result:?}"
        );
    }
    let oversized = harness.post("/v1/submit?wait_ms=1000", vec![0; 5 << 20]);
    assert!(oversized.is_err(), "oversized: {oversized:?}");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for bytes in [Vec::new(), vec![0xff; 10], vec![0x94; 60_000]] {
        let sent = socket.send_to(&bytes, &harness.settings.agent.gossip);
        sent.expect("loopback takes it");
    }
    assert!(matches!(
        harness.submit("listwriter"),
        Settled::Accepted { .. }
    ));
    harness.stop();
}

/// When appends fail or their replies are lost, submitters must be told what became of their
/// records, and no record may be appended twice.
#[test]
fn submissions_are_settled_correctly_despite_log_faults() {
    let harness = AgentHarness::spawn();
    let count_appended =
        |harness: &AgentHarness| harness.platform.log.records(&StreamId::new("config")).len();
    harness.platform.log.set_fault(LogFault::ReplyLost);
    let settled = harness.submit("one");
    assert!(matches!(settled, Settled::Accepted { .. }), "{settled:?}");
    assert_eq!(count_appended(&harness), 1, "it was appended once");
    harness.platform.log.set_fault(LogFault::Unavailable);
    assert_eq!(harness.submit("two"), Settled::NotAppended);
    harness.platform.log.set_fault(LogFault::None);
    assert_eq!(
        count_appended(&harness),
        1,
        "what was refused is not in the log"
    );
    let settled = harness.submit("two");
    assert!(matches!(settled, Settled::Accepted { .. }), "{settled:?}");
    let settled = harness.submit("two");
    assert!(matches!(settled, Settled::ConfigRefused(_)), "{settled:?}");
    assert_eq!(
        count_appended(&harness),
        2,
        "an edit that is known to conflict is not appended"
    );
    assert_eq!(harness.view().table.groups().count(), 2);
    harness.stop();
}
