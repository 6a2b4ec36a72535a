use std::collections::BTreeMap;
use std::time::Duration;

use hemlock_lib::node::own_delay::{OwnDelay, extension};
use hemlock_lib::node::peers::{Heartbeat, Member, Peers};
use hemlock_lib::time::Time;

const INTERVAL: Duration = Duration::from_millis(100);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Lets the measuring timer run from `now`, each time late by `delay`; returns the time after that.
fn run(own: &OwnDelay, mut now: Time, times: u32, delay: Duration) -> Time {
    for _ in 0..times {
        own.record_set(now, INTERVAL);
        now = now + INTERVAL + delay;
        own.record_fired(now);
    }
    now
}

fn heartbeat(node: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        member: Member {
            node: node.to_owned(),
            run: 1,
            zone: "z".to_owned(),
            cores: 0.25,
            caller_address: "10.0.0.1:80".to_owned(),
            peer_address: "10.0.0.1:81".parse().unwrap(),
        },
        sequence,
        ready: true,
        config_version: 1,
        reaches_store: true,
        reads_store: true,
        is_planner: false,
        has_traffic: false,
        interval_ms: 200,
        read_positions: Default::default(),
        demand: BTreeMap::new(),
        loads: Vec::new(),
        silent_endpoints: Vec::new(),
        crash_reports: Vec::new(),
    }
}

#[test]
fn timers_on_time_leave_nothing_out() {
    let own = OwnDelay::default();
    let start = Time::from_millis(10_000);
    let now = run(&own, start, 50, ms(3));
    assert_eq!(own.not_run(start, now), Duration::ZERO);
    assert_eq!(own.silence(start, now), now.since(start));
    assert_eq!(own.silence(now, start), Duration::ZERO);
}

/// Whoever asks first after a standstill gets the same answer, before the measuring timer has fired.
#[test]
fn standstill_is_left_out_before_and_after_its_timer_has_fired() {
    let own = OwnDelay::default();
    let heard = run(&own, Time::from_millis(10_000), 5, ms(1));
    own.record_set(heard, INTERVAL);
    let woken = heard + ms(1_260);
    assert_eq!(own.silence(heard, woken), Duration::ZERO);
    assert!(own.is_within(heard, woken, ms(450)));
    assert_eq!(own.record_fired(woken), ms(1_160));
    assert_eq!(own.silence(heard, woken), Duration::ZERO);
    let read = woken + ms(50);
    assert_eq!(own.silence(heard, read), Duration::ZERO, "it is read now");
    let later = run(&own, woken, 6, Duration::ZERO);
    assert_eq!(own.silence(heard, later), ms(550));
    assert!(!own.is_within(heard, later, ms(450)));
    assert_eq!(own.silence(woken + ms(100), later), ms(500));
}

/// A VM that gets a part of a core judges others late, but it does.
#[test]
fn time_goes_on_while_each_timer_is_late() {
    let own = OwnDelay::default();
    let start = Time::from_millis(10_000);
    let now = run(&own, start, 40, ms(45));
    let silence = own.silence(start, now);
    assert!(
        silence > now.since(start) / 20 && silence < now.since(start) / 2,
        "{silence:?} of {:?}",
        now.since(start)
    );
    assert!(own.not_run(start, now) <= now.since(start));
    let end = run(&own, now, 1_000, ms(45));
    assert!(own.not_run(end - ms(5_000), end) <= ms(5_000));
}

#[test]
fn silence_of_peers_while_this_vm_stood_still_is_not_theirs() {
    let own = OwnDelay::default();
    let mut peers = Peers::new(own.clone());
    let mut now = Time::from_millis(10_000);
    for sequence in 1..6 {
        peers.record_heartbeat(now, heartbeat("a", sequence));
        peers.record_heartbeat(now, heartbeat("b", sequence));
        now = run(&own, now, 2, ms(1));
        assert!(peers.newly_lost(now).is_empty());
    }
    own.record_set(now, INTERVAL);
    now = now + ms(5_000);
    assert!(peers.newly_lost(now).is_empty());
    assert_eq!(
        (peers.live_vm_count(now), peers.advised(now).count()),
        (3, 2)
    );
    assert!(peers.any_reaches_store(now) && peers.may_keep_planning(now));
    own.record_fired(now);
    peers.record_heartbeat(now + ms(1), heartbeat("a", 30));
    now = run(&own, now, 11, ms(1));
    assert_eq!(peers.newly_lost(now), ["b"], "it ended meanwhile");
}

#[test]
fn wait_whose_timer_fires_late_goes_on_for_a_bounded_time() {
    let limit = ms(250);
    assert_eq!(extension(limit, Duration::ZERO, ms(2)), None);
    assert_eq!(extension(limit, Duration::ZERO, ms(60)), Some(ms(60)));
    assert_eq!(extension(limit, Duration::ZERO, ms(5_000)), Some(limit));
    assert_eq!(extension(limit, ms(200), ms(90)), Some(ms(50)));
    assert_eq!(extension(limit, limit, ms(90)), None);
}
