use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{Balancer, Candidate, Choice, RoutingRequest};
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::peers::EndpointLoad;
use hemlock_lib::time::Time;

use crate::node_world::engine;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn group(id: &str, zone: &str) -> Candidate {
    Candidate {
        id: Arc::from(id),
        incarnation: (1, 1),
        address: "10.0.0.1:80".to_owned(),
        zone: Arc::from(zone),
        service: Arc::from("models"),
        model: Some(Arc::from("m")),
        slots: 17,
        time_factor: 1.0,
    }
}

fn plain(id: &str) -> Candidate {
    Candidate {
        service: Arc::from("plain"),
        model: None,
        ..group(id, "z1")
    }
}

fn ask(prompt_tokens: u32) -> RoutingRequest<'static> {
    RoutingRequest {
        service: "models",
        model: Some("m"),
        prompt_tokens,
        answer_tokens: 150,
        zone: "z1",
        first_event_limit: Duration::from_millis(1_400),
        time_left: Duration::from_secs(6),
        shutdown_limit: None,
        connected: &NONE,
        has_started: false,
    }
}

static NONE: BTreeSet<Arc<str>> = BTreeSet::new();

fn engines() -> Engine {
    engine(&[("m", 2, 1.0)])
}

fn sent(choice: &Choice) -> &str {
    match choice {
        Choice::Send(to, _) => &to.id,
        other => panic!("not sent: {other:?}"),
    }
}

/// A gateway that is about to end takes a short answer and not one that may outlast it.
#[test]
fn what_may_outlast_the_gateway_is_not_sent() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1")]);
    let last = |most| RoutingRequest {
        shutdown_limit: Some((most, Duration::from_secs(2))),
        ..ask(500)
    };
    let short = balance.choose(at(0), &last(100), Some(&engines()), &[]);
    assert_eq!(sent(&short), "g0");
    let long = balance.choose(at(0), &last(400), Some(&engines()), &[]);
    assert!(matches!(long, Choice::Full(_)), "{long:?}");
}

/// Of endpoints that are alike, one with an open connection is taken, but not one with more to do.
#[test]
fn open_connections_decide_between_like_groups() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates((0..20).map(|i| group(&format!("g{i:02}"), "z1")));
    let warm = BTreeSet::from([Arc::from("g07")]);
    let with = RoutingRequest {
        connected: &warm,
        ..ask(500)
    };
    for _ in 0..20 {
        let choice = balance.choose(at(0), &with, Some(&engines()), &[]);
        assert_eq!(sent(&choice), "g07");
    }
    for _ in 0..8 {
        balance.record_send(at(0), &Arc::from("g07"), 2_000);
    }
    let choice = balance.choose(at(0), &with, Some(&engines()), &[]);
    assert_ne!(sent(&choice), "g07");
}

/// Many gateways with few requests each: one whose only request waits sees by its peers' news that the
/// group answers others.
#[test]
fn a_group_that_answers_peers_is_not_silent() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balance.record_send(at(0), &id, 500);
    balance.mark_silent(at(700), &id);
    let placed = |since_progress_ms| EndpointLoad {
        endpoint: "g0".to_owned(),
        requests: 3,
        pending_prompt_tokens: 0,
        since_progress_ms,
    };
    let (old, fresh) = (placed(600), placed(40));
    balance.set_peer_loads([(&old, at(800))].into_iter(), std::iter::empty());
    assert!(balance.is_silent(at(800), "g0"));
    assert_eq!(balance.last_progress("g0"), Some(at(200)));
    balance.set_peer_loads([(&fresh, at(900))].into_iter(), std::iter::empty());
    assert!(!balance.is_silent(at(900), "g0"));
    assert_eq!(balance.last_progress("g0"), Some(at(860)));
}

/// Requests of one size spread evenly over groups that are alike.
#[test]
fn load_is_spread() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates((0..4).map(|i| group(&format!("g{i}"), "z1")));
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        let choice = balance.choose(at(0), &ask(500), Some(&engines()), &[]);
        let id: Arc<str> = Arc::from(sent(&choice));
        balance.record_send(at(0), &id, 500);
        *counts.entry(id).or_insert(0) += 1;
    }
    assert!(counts.values().all(|n| (8..=12).contains(n)), "{counts:?}");
}

#[test]
fn what_peers_have_placed_counts() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1"), group("g1", "z1")]);
    let placed = EndpointLoad {
        endpoint: "g0".to_owned(),
        requests: 12,
        pending_prompt_tokens: 20_000,
        since_progress_ms: 10,
    };
    balance.set_peer_loads([(&placed, at(0))].into_iter(), std::iter::empty());
    for _ in 0..5 {
        let choice = balance.choose(at(0), &ask(500), Some(&engines()), &[]);
        assert_eq!(sent(&choice), "g1");
        balance.record_send(at(0), &Arc::from("g1"), 100);
    }
}

#[test]
fn a_silent_group_gets_nothing_until_it_answers() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balance.record_send(at(0), &id, 500);
    balance.mark_silent(at(500), &id);
    let nobody = balance.choose(at(600), &ask(500), Some(&engines()), &[]);
    assert!(matches!(nobody, Choice::Unavailable(_)), "{nobody:?}");
    balance.record_progress(at(700), "g0");
    assert_eq!(
        sent(&balance.choose(at(700), &ask(500), Some(&engines()), &[])),
        "g0"
    );
}

#[test]
fn a_group_formed_anew_is_not_silent() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balance.record_send(at(0), &id, 500);
    balance.mark_silent(at(500), &id);
    balance.set_candidates([Candidate {
        incarnation: (1, 2),
        ..group("g0", "z1")
    }]);
    assert_eq!(
        sent(&balance.choose(at(600), &ask(500), Some(&engines()), &[])),
        "g0"
    );
}

/// A peer's doubt that is older than an answer seen here is settled.
#[test]
fn answers_settle_older_doubts_of_peers() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balance.record_send(at(0), &id, 500);
    balance.record_progress(at(1_000), "g0");
    balance.set_peer_loads(std::iter::empty(), [("g0", at(900))].into_iter());
    assert!(!balance.is_silent(at(1_100), "g0"));
    // A peer finds a group silent after a pause of 450 ms; it answered this gateway within that.
    balance.set_peer_loads(std::iter::empty(), [("g0", at(1_449))].into_iter());
    assert!(!balance.is_silent(at(1_450), "g0"));
    balance.set_peer_loads(std::iter::empty(), [("g0", at(1_451))].into_iter());
    assert!(balance.is_silent(at(1_460), "g0"));
}

/// What no group can begin before the caller gives up is refused at once, with a wait that spreads
/// the returns and lies within what callers honour.
#[test]
fn overload_is_refused_at_once() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    let mut waits = std::collections::BTreeSet::new();
    let mut sends = 0;
    for _ in 0..200 {
        match balance.choose(at(0), &ask(700), Some(&engines()), &[]) {
            Choice::Send(..) => {
                balance.record_send(at(0), &id, 700);
                sends += 1;
            }
            Choice::Full(after) => {
                assert!((Duration::from_millis(300)..Duration::from_secs(2)).contains(&after));
                waits.insert(after);
            }
            Choice::Unavailable(_) => panic!("the group is there"),
        }
    }
    assert!((17..=51).contains(&sends), "{sends}");
    assert!(waits.len() > 50, "{}", waits.len());
}

/// A long answer that would surely miss its deadline at a slow group goes to another one.
#[test]
fn slow_groups_are_learned() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("slow", "z1"), group("good", "z1")]);
    for id in ["slow", "good"] {
        balance.record_send(at(0), &Arc::from(id), 10);
    }
    for _ in 0..50 {
        balance.record_event_gap("slow", Duration::from_millis(400), &engines());
        balance.record_event_gap("good", Duration::from_millis(40), &engines());
    }
    for _ in 0..10 {
        let choice = balance.choose(at(100), &ask(500), Some(&engines()), &[]);
        assert_eq!(sent(&choice), "good");
    }
    let only = balance.choose(at(100), &ask(500), Some(&engines()), &[Arc::from("good")]);
    assert!(matches!(only, Choice::Full(_)), "{only:?}");
}

/// A stream that broke midway goes on wherever it can: refusing it would lose what the caller has.
#[test]
fn what_has_begun_is_not_refused() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([group("g0", "z1")]);
    for _ in 0..60 {
        balance.record_send(at(0), &Arc::from("g0"), 700);
    }
    let fresh = balance.choose(at(0), &ask(700), Some(&engines()), &[]);
    assert!(matches!(fresh, Choice::Full(_)), "{fresh:?}");
    let begun = RoutingRequest {
        has_started: true,
        ..ask(700)
    };
    assert_eq!(
        sent(&balance.choose(at(0), &begun, Some(&engines()), &[])),
        "g0"
    );
}

#[test]
fn a_failing_plain_endpoint_rests_unless_it_is_the_only_one() {
    let mut balance = Balancer::new(Duration::from_secs(5));
    balance.set_candidates([plain("p0"), plain("p1")]);
    let ask = RoutingRequest {
        service: "plain",
        model: None,
        ..ask(0)
    };
    for _ in 0..3 {
        balance.record_failure(at(0), &Arc::from("p0"));
    }
    for _ in 0..6 {
        assert_eq!(sent(&balance.choose(at(10), &ask, None, &[])), "p1");
    }
    assert_eq!(
        sent(&balance.choose(at(10), &ask, None, &[Arc::from("p1")])),
        "p0"
    );
    let mut later = std::collections::BTreeSet::new();
    for _ in 0..20 {
        later.insert(sent(&balance.choose(at(5_000), &ask, None, &[])).to_owned());
    }
    assert_eq!(later.len(), 2);
}
