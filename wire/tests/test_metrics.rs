//! Names of metrics, and the datagrams that are sent.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use hemlock_lib::codes::Code;
use hemlock_wire::metrics::{self, Metric, Metrics};

#[test]
fn each_result_code_has_its_own_refusal_counter() {
    let names = Code::ALL
        .iter()
        .map(|c| metrics::name(Metric::Refused, c.name()));
    let names: BTreeSet<String> = names.collect();
    assert_eq!(names.len(), Code::ALL.len());
    assert!(names.contains("gateway.refused.no_replica"));
}

#[test]
fn separators_in_a_placeholder_are_replaced() {
    let cases = [
        ("floor-assistant", "group.stranded.floor-assistant"),
        ("a.b:c|d e", "group.stranded.a_b_c_d_e"),
    ];
    for (group, expected) in cases {
        assert_eq!(metrics::name(Metric::GroupStranded, group), expected);
    }
}

#[test]
fn metrics_are_sent_as_statsd_datagrams() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let timeout = Duration::from_secs(20);
    receiver.set_read_timeout(Some(timeout)).expect("a timeout");
    let address = receiver.local_addr().expect("a bound address").to_string();
    let metrics = Metrics::open(Some(&address), "tallow-creek-entry-0").expect("a socket");
    metrics.count_by(Metric::Refused, Code::NoReplica.name());
    metrics.gauge_by(Metric::GroupDowntime, "listwriter", 7);
    drop(metrics);
    let mut bytes = [0; 2_048];
    let length = receiver.recv(&mut bytes).expect("a datagram");
    let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "hemlock.tallow-creek-entry-0.gateway.refused.no_replica:1|c",
            "hemlock.tallow-creek-entry-0.group.downtime.listwriter:7|g",
        ]
    );
}
