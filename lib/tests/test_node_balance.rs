use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::balance::{self, Balancer, Candidate, Choice, Goals, RoutingRequest};
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

fn request(prompt_tokens: u32) -> RoutingRequest<'static> {
    RoutingRequest {
        service: "models",
        model: Some("m"),
        prompt_tokens,
        answer_tokens: 150,
        zone: "z1",
        first_event_limit: Duration::from_millis(1_400),
        queue_limit: Duration::MAX,
        goals: Goals {
            first_event: Duration::from_millis(300),
            event_gap: Duration::from_millis(300),
        },
        time_left: Duration::from_secs(6),
        shutdown_limit: None,
        connected: &NO_CONNECTIONS,
        has_started: false,
        is_urgent: true,
    }
}

static NO_CONNECTIONS: BTreeSet<Arc<str>> = BTreeSet::new();

fn engine_performance() -> Engine {
    engine(&[("m", 2, 1.0)])
}

fn sent_to(choice: &Choice) -> &str {
    match choice {
        Choice::Send(to, _) => &to.id,
        other => panic!("not sent: {other:?}"),
    }
}

/// An entry VM that is about to stop sends a request with a short answer, but not one whose answer
/// may outlast the VM.
#[test]
fn an_answer_that_may_outlast_the_entry_vm_is_refused() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    let before_shutdown = |max_tokens| RoutingRequest {
        shutdown_limit: Some((max_tokens, Duration::from_secs(2))),
        ..request(500)
    };
    let short = balancer.choose(
        at(0),
        &before_shutdown(100),
        Some(&engine_performance()),
        &[],
    );
    assert_eq!(sent_to(&short), "g0");
    let long = balancer.choose(
        at(0),
        &before_shutdown(400),
        Some(&engine_performance()),
        &[],
    );
    assert!(matches!(long, Choice::Full(_)), "{long:?}");
}

/// Of endpoints with equal load, the one with an idle connection is chosen, but not once it has
/// more load.
#[test]
fn an_idle_connection_decides_between_equal_groups() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates((0..20).map(|i| group(&format!("g{i:02}"), "z1")));
    let connected = BTreeSet::from([Arc::from("g07")]);
    let with_connection = RoutingRequest {
        connected: &connected,
        ..request(500)
    };
    for _ in 0..20 {
        let choice = balancer.choose(at(0), &with_connection, Some(&engine_performance()), &[]);
        assert_eq!(sent_to(&choice), "g07");
    }
    for _ in 0..8 {
        balancer.record_send(at(0), &Arc::from("g07"), 2_000);
    }
    let choice = balancer.choose(at(0), &with_connection, Some(&engine_performance()), &[]);
    assert_ne!(sent_to(&choice), "g07");
}

/// With many entry VMs and few requests each, an entry VM whose only request waits at a group
/// learns from its peers that the group answers others.
#[test]
fn a_group_that_answers_peers_is_not_silent() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balancer.record_send(at(0), &id, 500);
    balancer.mark_silent(at(700), &id);
    let load = |since_progress_ms| EndpointLoad {
        endpoint: "g0".to_owned(),
        requests: 3,
        pending_prompt_tokens: 0,
        since_progress_ms,
    };
    let (stale, fresh) = (load(600), load(40));
    balancer.set_peer_loads([(&stale, at(800))].into_iter(), std::iter::empty());
    assert!(balancer.is_silent(at(800), "g0"));
    assert_eq!(balancer.last_progress("g0"), Some(at(200)));
    balancer.set_peer_loads([(&fresh, at(900))].into_iter(), std::iter::empty());
    assert!(!balancer.is_silent(at(900), "g0"));
    assert_eq!(balancer.last_progress("g0"), Some(at(860)));
}

/// Requests of one size are spread evenly over equal groups.
#[test]
fn load_is_spread_evenly_over_equal_groups() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates((0..4).map(|i| group(&format!("g{i}"), "z1")));
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        let choice = balancer.choose(at(0), &request(500), Some(&engine_performance()), &[]);
        let id: Arc<str> = Arc::from(sent_to(&choice));
        balancer.record_send(at(0), &id, 500);
        *counts.entry(id).or_insert(0) += 1;
    }
    assert!(counts.values().all(|n| (8..=12).contains(n)), "{counts:?}");
}

#[test]
fn the_load_of_peers_counts() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1"), group("g1", "z1")]);
    let load = EndpointLoad {
        endpoint: "g0".to_owned(),
        requests: 12,
        pending_prompt_tokens: 20_000,
        since_progress_ms: 10,
    };
    balancer.set_peer_loads([(&load, at(0))].into_iter(), std::iter::empty());
    for _ in 0..5 {
        let choice = balancer.choose(at(0), &request(500), Some(&engine_performance()), &[]);
        assert_eq!(sent_to(&choice), "g1");
        balancer.record_send(at(0), &Arc::from("g1"), 100);
    }
}

#[test]
fn a_silent_group_gets_no_requests_until_it_answers() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balancer.record_send(at(0), &id, 500);
    balancer.mark_silent(at(500), &id);
    let choice = balancer.choose(at(600), &request(500), Some(&engine_performance()), &[]);
    assert!(matches!(choice, Choice::Unavailable(_)), "{choice:?}");
    balancer.record_progress(at(700), "g0");
    assert_eq!(
        sent_to(&balancer.choose(at(700), &request(500), Some(&engine_performance()), &[])),
        "g0"
    );
}

#[test]
fn a_new_incarnation_of_a_group_is_not_silent() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balancer.record_send(at(0), &id, 500);
    balancer.mark_silent(at(500), &id);
    balancer.set_candidates([Candidate {
        incarnation: (1, 2),
        ..group("g0", "z1")
    }]);
    assert_eq!(
        sent_to(&balancer.choose(at(600), &request(500), Some(&engine_performance()), &[])),
        "g0"
    );
}

/// A peer's report that a group is silent is ignored if the group has answered this entry VM since.
#[test]
fn an_answer_overrides_an_older_silence_report_of_a_peer() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    balancer.record_send(at(0), &id, 500);
    balancer.record_progress(at(1_000), "g0");
    balancer.set_peer_loads(std::iter::empty(), [("g0", at(900))].into_iter());
    assert!(!balancer.is_silent(at(1_100), "g0"));
    // A peer marks a group silent after 450 ms without an event; within that time it answered this
    // VM.
    balancer.set_peer_loads(std::iter::empty(), [("g0", at(1_449))].into_iter());
    assert!(!balancer.is_silent(at(1_450), "g0"));
    balancer.set_peer_loads(std::iter::empty(), [("g0", at(1_451))].into_iter());
    assert!(balancer.is_silent(at(1_460), "g0"));
}

/// A request that no group can start before the caller gives up is refused at once. The suggested
/// delays are spread, and callers accept them.
#[test]
fn overload_is_refused_at_once_with_spread_delays() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    let id: Arc<str> = Arc::from("g0");
    let mut delays = std::collections::BTreeSet::new();
    let mut sends = 0;
    for _ in 0..200 {
        match balancer.choose(at(0), &request(700), Some(&engine_performance()), &[]) {
            Choice::Send(..) => {
                balancer.record_send(at(0), &id, 700);
                sends += 1;
            }
            Choice::Full(after) => {
                assert!((Duration::from_millis(300)..Duration::from_secs(2)).contains(&after));
                delays.insert(after);
            }
            Choice::Limited(_) | Choice::Unavailable(_) => {
                panic!("the group must not count as silent")
            }
        }
    }
    assert!((17..=51).contains(&sends), "{sends}");
    assert!(delays.len() > 50, "{}", delays.len());
}

/// A long answer that a slow group would be sure to finish too late goes to another group, or is
/// refused.
#[test]
fn long_answers_avoid_slow_groups() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("slow", "z1"), group("good", "z1")]);
    for id in ["slow", "good"] {
        balancer.record_send(at(0), &Arc::from(id), 10);
    }
    for _ in 0..50 {
        balancer.record_event_gap("slow", Duration::from_millis(400), &engine_performance());
        balancer.record_event_gap("good", Duration::from_millis(40), &engine_performance());
    }
    for _ in 0..10 {
        let choice = balancer.choose(at(100), &request(500), Some(&engine_performance()), &[]);
        assert_eq!(sent_to(&choice), "good");
    }
    let without_good = balancer.choose(
        at(100),
        &request(500),
        Some(&engine_performance()),
        &[Arc::from("good")],
    );
    assert!(matches!(without_good, Choice::Full(_)), "{without_good:?}");
}

/// A stream that broke midway continues wherever it can, since refusing it would lose what the
/// caller has already received.
#[test]
fn a_started_stream_is_not_refused() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    for _ in 0..60 {
        balancer.record_send(at(0), &Arc::from("g0"), 700);
    }
    let fresh = balancer.choose(at(0), &request(700), Some(&engine_performance()), &[]);
    assert!(matches!(fresh, Choice::Full(_)), "{fresh:?}");
    let started = RoutingRequest {
        has_started: true,
        ..request(700)
    };
    assert_eq!(
        sent_to(&balancer.choose(at(0), &started, Some(&engine_performance()), &[])),
        "g0"
    );
}

#[test]
fn a_failing_plain_endpoint_is_avoided_unless_it_is_the_only_one() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([plain("p0"), plain("p1")]);
    let request = RoutingRequest {
        service: "plain",
        model: None,
        ..request(0)
    };
    for _ in 0..3 {
        balancer.record_failure(at(0), &Arc::from("p0"));
    }
    for _ in 0..6 {
        assert_eq!(sent_to(&balancer.choose(at(10), &request, None, &[])), "p1");
    }
    assert_eq!(
        sent_to(&balancer.choose(at(10), &request, None, &[Arc::from("p1")])),
        "p0"
    );
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..20 {
        chosen.insert(sent_to(&balancer.choose(at(5_000), &request, None, &[])).to_owned());
    }
    assert_eq!(chosen.len(), 2);
}

#[test]
fn endpoint_that_wants_no_requests_gets_none_until_the_time_is_over_or_it_restarts() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    let plain_request = RoutingRequest {
        service: "plain",
        model: None,
        ..request(0)
    };
    balancer.set_candidates([plain("p0"), plain("p1")]);
    balancer.hold_off(at(0), &plain("p0"), Duration::from_secs(3));
    for i in 0..50 {
        let choice = balancer.choose(at(i * 59), &plain_request, None, &[]);
        assert_eq!(sent_to(&choice), "p1");
    }
    balancer.hold_off(at(1_000), &plain("p1"), Duration::from_secs(10));
    // The caller may come back when the first of them takes requests.
    match balancer.choose(at(1_000), &plain_request, None, &[]) {
        Choice::Full(after) => assert_eq!(after, Duration::from_secs(2)),
        other => panic!("not refused: {other:?}"),
    }
    let choice = balancer.choose(at(3_000), &plain_request, None, &[]);
    assert_eq!(sent_to(&choice), "p0");
    let restarted = Candidate {
        incarnation: (2, 0),
        ..plain("p1")
    };
    balancer.set_candidates([restarted]);
    let choice = balancer.choose(at(3_000), &plain_request, None, &[]);
    assert_eq!(sent_to(&choice), "p1");
}

#[test]
fn an_endpoint_with_any_number_of_slots_can_be_estimated() {
    for slots in [0, 1, 1 << 32, usize::MAX] {
        let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
        balancer.set_candidates(vec![Candidate {
            slots,
            ..plain("p")
        }]);
        let request = RoutingRequest {
            service: "plain",
            model: None,
            ..request(0)
        };
        let choice = balancer.choose(at(0), &request, None, &[]);
        assert_eq!(sent_to(&choice), "p", "{slots}");
    }
}

#[test]
fn models_that_there_are_not_take_no_memory() {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("g0", "z1")]);
    for i in 0..100 {
        let name = format!("unknown-{i}");
        let named = RoutingRequest {
            model: Some(&name),
            ..request(500)
        };
        balancer.choose(at(0), &named, Some(&engine_performance()), &[]);
    }
    assert!(!format!("{balancer:?}").contains("unknown-"));
}

#[test]
fn caller_of_a_vm_that_has_just_started_returns_long_before_one_of_a_vm_that_lacks_the_store() {
    let wait = Duration::from_secs(6);
    for draw in [0.0, 0.5, 0.99] {
        let early = balance::startup_retry_after(Duration::from_millis(300), wait, draw);
        assert!(early >= Duration::from_millis(100), "{early:?}");
        assert!(early <= Duration::from_millis(400), "{early:?}");
        let late = balance::startup_retry_after(Duration::from_secs(1), wait, draw);
        assert_eq!(late, balance::retry_after(wait, draw));
    }
    let short = balance::startup_retry_after(Duration::ZERO, Duration::from_millis(60), 0.9);
    assert!(short <= Duration::from_millis(20), "{short:?}");
}
