use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlock_lib::node::balance::{Balancer, Candidate, Choice, Goals, RoutingRequest};
use hemlock_lib::node::cache::{Position, Update};
use hemlock_lib::node::capacity::Demand;
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::endpoints::MemberState;
use hemlock_lib::node::evacuation::{Change, Evacuations, ZoneRecord};
use hemlock_lib::node::planner::{Action, parse_group_name};
use hemlock_lib::time::Time;

use crate::node_world::{Simulation, engine, zone_of};

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn position(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

fn record(zone: &str, is_put: bool) -> ZoneRecord {
    ZoneRecord {
        zone: Arc::from(zone),
        value: is_put.then(|| Bytes::from_static(b"{}")),
    }
}

fn put(zone: &str) -> Vec<ZoneRecord> {
    vec![record(zone, true)]
}

fn removed(zone: &str) -> Vec<ZoneRecord> {
    vec![record(zone, false)]
}

fn zones<const N: usize>(names: [&str; N]) -> BTreeSet<Arc<str>> {
    names.into_iter().map(Arc::from).collect()
}

fn changes(changes: &[(Arc<str>, Change)]) -> Vec<(&str, Change)> {
    changes.iter().map(|(z, c)| (&**z, *c)).collect()
}

/// The operators empty a zone: requests must stop until the record is removed, however often it is
/// read again, and also if the record was removed while the history was lost.
#[test]
fn an_evacuation_holds_until_its_record_is_removed() {
    let mut evacuations = Evacuations::default();
    let begun = evacuations.apply(at(0), position(0, 5), Update::Changes, put("z1"));
    assert_eq!(changes(&begun), [("z1", Change::Begun)]);
    let again = evacuations.apply(at(10), position(0, 6), Update::Changes, put("z1"));
    assert!(again.is_empty());
    let snapshot = vec![record("z1", true), record("z2", true)];
    let more = evacuations.apply(at(20), position(0, 9), Update::Snapshot, snapshot);
    assert_eq!(changes(&more), [("z2", Change::Begun)]);
    let ended = evacuations.apply(at(30), position(0, 10), Update::Changes, removed("z1"));
    assert_eq!(changes(&ended), [("z1", Change::Ended)]);
    assert_eq!(evacuations.zones(), zones(["z2"]));
    let unlisted = evacuations.apply(at(40), position(0, 20), Update::Snapshot, Vec::new());
    assert_eq!(changes(&unlisted), [("z2", Change::Ended)]);
    let unknown = evacuations.apply(at(50), position(0, 21), Update::Changes, removed("z9"));
    assert!(unknown.is_empty());
}

/// The store comes back from an older copy, which lacks an evacuation that holds and lists one that
/// was removed: callers must not reach the first zone, and must reach the second one.
#[test]
fn a_store_that_comes_back_older_neither_ends_nor_brings_back_evacuations() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(0), position(0, 5), Update::Snapshot, put("z1"));
    evacuations.apply(at(100), position(0, 6), Update::Changes, removed("z1"));
    evacuations.apply(at(200), position(0, 7), Update::Changes, put("z2"));
    let copy = vec![record("z1", true), record("z3", true)];
    let restored = evacuations.apply(at(300), position(1, 5), Update::Restored, copy.clone());
    assert_eq!(
        changes(&restored),
        [
            ("z1", Change::Ignored),
            ("z3", Change::Begun),
            ("z2", Change::Kept)
        ]
    );
    assert_eq!(evacuations.zones(), zones(["z2", "z3"]));
    let again = evacuations.apply(at(400), position(1, 5), Update::Snapshot, copy);
    assert_eq!(evacuations.zones(), zones(["z2", "z3"]), "{again:?}");
    // What the operators write afterwards counts.
    evacuations.apply(at(500), position(1, 6), Update::Changes, removed("z2"));
    evacuations.apply(at(500), position(1, 7), Update::Changes, put("z1"));
    assert_eq!(evacuations.zones(), zones(["z1", "z3"]));
}

/// After a return of the store from an older copy, the operators write the record of a zone again
/// and remove it while the history is lost: the zone must serve again.
#[test]
fn a_record_that_was_written_after_the_store_came_back_ends_with_it() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(0), position(0, 5), Update::Snapshot, put("z1"));
    evacuations.apply(at(100), position(1, 4), Update::Restored, Vec::new());
    evacuations.apply(at(200), position(1, 5), Update::Changes, put("z1"));
    let ended = evacuations.apply(at(300), position(1, 9), Update::Snapshot, Vec::new());
    assert_eq!(changes(&ended), [("z1", Change::Ended)]);
}

/// A zone whose evacuation outlived the store's copy is not lost for good if the record that removes it
/// is missed: a later read of the whole topic ends it.
#[test]
fn an_evacuation_that_the_store_has_lost_ends_with_a_later_snapshot() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(0), position(0, 5), Update::Snapshot, put("z1"));
    evacuations.apply(at(100), position(1, 4), Update::Restored, Vec::new());
    evacuations.apply(at(20_000), position(1, 9), Update::Snapshot, Vec::new());
    assert_eq!(evacuations.count(), 1);
    evacuations.apply(at(40_000), position(1, 10), Update::Snapshot, Vec::new());
    assert_eq!(evacuations.count(), 0);
}

/// A VM changes its source to one that is behind: an evacuation that it knows goes on.
#[test]
fn a_read_from_a_source_that_is_behind_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(0), position(0, 8), Update::Snapshot, put("z1"));
    let behind = evacuations.apply(at(10), position(0, 7), Update::Snapshot, Vec::new());
    assert!(behind.is_empty());
    assert_eq!(evacuations.zones(), zones(["z1"]));
}

/// A zone name that no endpoint has is reported once, and holds for endpoints that come later.
#[test]
fn a_zone_without_endpoints_is_reported_once() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(0), position(0, 8), Update::Snapshot, put("z1"));
    evacuations.apply(at(0), position(0, 9), Update::Changes, put("typo"));
    let has_endpoints = |zone: &str| zone == "z1";
    assert_eq!(evacuations.newly_empty(has_endpoints), [Arc::from("typo")]);
    evacuations.apply(at(10), position(0, 10), Update::Changes, put("typo"));
    assert!(evacuations.newly_empty(has_endpoints).is_empty());
    assert_eq!(evacuations.zones(), zones(["typo", "z1"]));
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

static NO_CONNECTIONS: BTreeSet<Arc<str>> = BTreeSet::new();

fn request() -> RoutingRequest<'static> {
    RoutingRequest {
        service: "models",
        model: Some("m"),
        prompt_tokens: 500,
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

fn performance() -> Engine {
    engine(&[("m", 2, 1.0)])
}

fn two_zones() -> Balancer {
    let mut balancer = Balancer::new("entry-1", Duration::from_secs(5));
    balancer.set_candidates([group("a", "z1"), group("b", "z1"), group("c", "z2")]);
    balancer
}

fn sent_to(choice: &Choice) -> &str {
    match choice {
        Choice::Send(to, _) => &to.id,
        other => panic!("not sent: {other:?}"),
    }
}

/// Callers in an evacuated zone are served by the others, also those whose stream goes on elsewhere,
/// and by the zone itself once it is taken back.
#[test]
fn requests_go_to_the_zones_that_are_not_evacuated() {
    let mut balancer = two_zones();
    balancer.set_evacuated(zones(["z1"]));
    for i in 0..20 {
        let request = RoutingRequest {
            has_started: i % 2 == 1,
            ..request()
        };
        let choice = balancer.choose(at(i), &request, Some(&performance()), &[]);
        assert_eq!(sent_to(&choice), "c");
    }
    balancer.set_evacuated(BTreeSet::new());
    let choice = balancer.choose(at(100), &request(), Some(&performance()), &[]);
    assert_ne!(sent_to(&choice), "c");
}

/// A stream broke off at the one zone that is left: it is not sent on into the evacuated one, not even
/// because it has started.
#[test]
fn a_stream_does_not_go_on_in_an_evacuated_zone() {
    let mut balancer = two_zones();
    balancer.set_evacuated(zones(["z1"]));
    let started = RoutingRequest {
        has_started: true,
        ..request()
    };
    let choice = balancer.choose(at(0), &started, Some(&performance()), &[Arc::from("c")]);
    assert!(matches!(choice, Choice::Unavailable(_)), "{choice:?}");
    assert!(!balancer.is_evacuated("models", Some("m")));
}

/// The groups of the zone that is left are full: callers are refused at once, though groups of the
/// evacuated zone are idle, and are told when to come back.
#[test]
fn the_other_zones_take_over_only_what_they_can_bear() {
    let mut balancer = two_zones();
    for _ in 0..17 * 3 {
        balancer.record_send(at(0), &Arc::from("c"), 100);
    }
    balancer.set_evacuated(zones(["z1"]));
    let choice = balancer.choose(at(10), &request(), Some(&performance()), &[]);
    assert!(
        matches!(choice, Choice::Full(after) if !after.is_zero()),
        "{choice:?}"
    );
}

/// Operators empty all zones: callers are refused at once, and told that this is the cause.
#[test]
fn nobody_is_served_while_all_zones_are_evacuated() {
    let mut balancer = two_zones();
    balancer.set_evacuated(zones(["z1", "z2"]));
    let choice = balancer.choose(at(0), &request(), Some(&performance()), &[]);
    let Choice::Unavailable(after) = choice else {
        panic!("{choice:?}");
    };
    assert!(!after.is_zero() && after <= request().time_left / 3);
    assert!(balancer.is_evacuated("models", Some("m")));
    assert!(!balancer.is_evacuated("models", Some("other")));
    assert!(!balancer.is_evacuated("plain", None));
}

const LARGE: (&str, usize, f64) = ("large", 4, 0.5);
const SMALL: (&str, usize, f64) = ("small", 2, 0.5);

/// Returns a deployment of three zones, each a failure domain, that serves callers.
fn serving_deployment() -> Simulation {
    let mut simulation = Simulation::new(engine(&[LARGE, SMALL]), &[12; 3], 1);
    simulation.run(Duration::from_secs(8));
    simulation.before_traffic = false;
    // Hosts load a second model meanwhile.
    simulation.run(Duration::from_secs(30));
    simulation
}

fn evacuate(simulation: &mut Simulation, domain: &str) {
    let evacuated = BTreeSet::from([zone_of(domain)]);
    simulation.endpoints.set_evacuated(evacuated);
}

/// Returns the open groups in a failure domain.
fn open_groups(simulation: &Simulation, domain: &str) -> BTreeSet<Arc<str>> {
    let groups = simulation.endpoints.groups().into_values();
    let open =
        groups.filter(|g| &*g.domain == domain && matches!(g.head(), Some((_, MemberState::Open))));
    open.map(|g| g.name).collect()
}

/// Returns the engines of each model's open groups outside a failure domain.
fn engines_outside(simulation: &Simulation, domain: &str, model: &str) -> usize {
    let groups = simulation.endpoints.groups().into_values();
    let open =
        groups.filter(|g| &*g.domain != domain && matches!(g.head(), Some((_, MemberState::Open))));
    let parts: Vec<_> = open
        .filter_map(|g| {
            let (size, name) = parse_group_name(&g.name)?;
            (name == model).then_some(size)
        })
        .collect();
    parts.iter().sum()
}

/// A zone is evacuated for half a minute, and engines crash there and start again: nothing is ordered
/// and loaded there, its groups stay for the return, and the others are not taken for its
/// replacements.
#[test]
fn nothing_is_ordered_in_an_evacuated_zone_and_its_groups_serve_again() {
    let mut simulation = serving_deployment();
    let before = open_groups(&simulation, "d0");
    assert!(before.len() >= 2, "{before:?}");
    evacuate(&mut simulation, "d0");
    let from = simulation.now;
    simulation.add("w0-new", "d0");
    simulation.run(Duration::from_secs(30));
    let in_zone = |id: &Arc<str>| id.starts_with("w0-");
    let orders: Vec<_> = simulation
        .orders
        .iter()
        .filter(|(at, id, _)| *at > from && in_zone(id))
        .collect();
    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(open_groups(&simulation, "d0"), before);
    simulation.endpoints.set_evacuated(BTreeSet::new());
    simulation.run(Duration::from_millis(500));
    assert_eq!(open_groups(&simulation, "d0"), before);
}

/// An evacuation begins while a group forms in the zone: it is not opened, and its engines serve once
/// the zone is taken back.
#[test]
fn a_group_that_forms_when_its_zone_is_evacuated_is_not_opened() {
    let mut simulation = serving_deployment();
    let lost: Vec<Arc<str>> = {
        let groups = simulation.endpoints.groups().into_values();
        let mut of_domain = groups.filter(|g| &*g.domain == "d0");
        let group = of_domain.next().expect("a group serves");
        group.members.values().map(|(id, _)| id.clone()).collect()
    };
    simulation.crash(&lost[0]);
    simulation.run(Duration::from_millis(700));
    evacuate(&mut simulation, "d0");
    let from = simulation.now;
    simulation.run(Duration::from_secs(15));
    let is_late = |(at, id, _): &&(Time, Arc<str>, Action)| *at > from && id.starts_with("w0-");
    let late: Vec<_> = simulation.orders.iter().filter(is_late).collect();
    assert!(late.is_empty(), "{late:?}");
    simulation.endpoints.set_evacuated(BTreeSet::new());
    simulation.run(Duration::from_secs(6));
    let engines: usize = ["large", "small"]
        .map(|m| engines_outside(&simulation, "none", m))
        .iter()
        .sum();
    assert!(engines >= 28, "{engines} of 35 engines serve");
}

/// One of two models loses most of its engines to an evacuation: the zones that are left share their
/// engines between the models by the targets for these engines alone.
#[test]
fn the_engines_of_the_other_zones_are_shared_anew() {
    let mut simulation = serving_deployment();
    // All groups of the large model are where they were formed; evacuate the zone with most of them.
    let large_in = |s: &Simulation, d: &str| {
        let groups = open_groups(s, d);
        groups.iter().filter(|name| name.ends_with("large")).count()
    };
    let domains = ["d0", "d1", "d2"];
    let most = domains.into_iter().max_by_key(|d| large_in(&simulation, d));
    let most = most.expect("there are domains");
    evacuate(&mut simulation, most);
    simulation.run(Duration::from_secs(20));
    let large = engines_outside(&simulation, most, "large");
    let small = engines_outside(&simulation, most, "small");
    assert!(
        large >= 8 && small >= 8,
        "large {large}, small {small} of 24"
    );
    let models = &simulation.planner.summary().models;
    let targets: usize = models.iter().map(|m| m.target).sum();
    assert!(targets <= 24, "{models:?}");
}

/// Demand for a model rises for a moment, groups of another one begin to end for it, and the demand falls
/// again before its groups are formed: the engines that were freed go back to the model that lacks them.
#[test]
fn a_conversion_is_dropped_once_its_model_has_enough() {
    let mut simulation = serving_deployment();
    let demand = |large: f64, small: f64| {
        let of = |name: &str, rate| {
            let demand = Demand {
                rate,
                prompt_tokens: 700.0,
                answer_tokens: 200.0,
                latency_goal_s: 0.4,
            };
            (Arc::from(name), demand)
        };
        BTreeMap::from([of("large", large), of("small", small)])
    };
    simulation.demand = demand(10.0, 10.0);
    simulation.run(Duration::from_secs(15));
    let before = engines_outside(&simulation, "none", "large");
    simulation.demand = demand(100.0, 1.0);
    simulation.run(Duration::from_millis(200));
    simulation.demand = demand(10.0, 10.0);
    let mut most = 0;
    for _ in 0..120 {
        simulation.run(Duration::from_millis(50));
        most = most.max(engines_outside(&simulation, "none", "large"));
    }
    assert!(
        most <= before,
        "{most} engines of the large model, {before} before"
    );
}
