//! An endpoint that warms up crashes above its rate, which 73 VMs could exceed together with one
//! request each. None of them knows what the others send, and they hear of the warm-up one after the
//! other.

use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::warm_up::{Bound, Configured, ToldWarmUp, WarmUp, WarmUpChange, WarmUps};
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 5;
/// Rate of the endpoint while it warms up, and bound on its requests in one second.
const RATE: f64 = 14.0;
const ALLOWED: usize = 26;
/// Time of a warm-up in milliseconds.
const WARM_UP_MS: u64 = 3_000;
/// Longest time by which the list of a VM is old, in milliseconds.
const LIST_AGE_MS: u64 = 500;
/// Time for which a VM that is not heard counts as live, in milliseconds; and the longest time until a
/// VM that has started is heard.
const LOST_MS: u64 = 3_800;
const HEARD_MS: u64 = 900;
/// Time after the start from which the rate must be used; two windows are left until the end.
const USED_FROM_MS: u64 = 400;
/// Longest time to connect to the endpoint, in milliseconds.
const CONNECT_MS: u64 = 300;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn warm_up() -> WarmUp {
    WarmUp {
        time: Duration::from_millis(WARM_UP_MS),
        rate: RATE,
        is_odd: false,
    }
}

fn bound() -> Bound {
    Bound::new(Some(1.5), Some(5.0))
}

fn left(ms: u64) -> ToldWarmUp {
    ToldWarmUp::Left(Duration::from_millis(ms))
}

/// One entry VM.
struct Vm {
    name: String,
    warm_ups: WarmUps,
    /// Start and stop times of its runs in milliseconds; the last run may not have ended.
    up_since: Option<u64>,
    down_since: Option<u64>,
    /// Age of its list in milliseconds.
    list_age: u64,
    /// Whether it has heard of the endpoint's present start, and so sends there.
    heard: bool,
    /// Requests a second of its callers.
    demand: f64,
}

/// Entry VMs before one endpoint.
struct Fleet {
    vms: Vec<Vm>,
    endpoint: Arc<str>,
    now_ms: u64,
    /// When the endpoint began to warm up, and its start.
    cold_since: Option<u64>,
    started_ms: u64,
    /// Whether the VMs know the endpoint before it warms up.
    is_known: bool,
    /// Time of arrival of each request at the endpoint.
    arrivals: Vec<u64>,
    /// Pairs of VMs that do not hear each other: those below and from this index on.
    split_at: Option<usize>,
    rng: SmallRng,
}

impl Fleet {
    fn new(count: usize, demand: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(11);
        let vm = |i: usize| Vm {
            name: format!("entry-{i}"),
            warm_ups: WarmUps::new(&format!("entry-{i}"), bound()),
            up_since: Some(0),
            down_since: None,
            list_age: rng.random_range(0..=LIST_AGE_MS),
            heard: false,
            demand,
        };
        Self {
            vms: (0..count).map(vm).collect(),
            endpoint: Arc::from("e1"),
            now_ms: 20_000,
            cold_since: None,
            started_ms: 1,
            is_known: false,
            arrivals: Vec::new(),
            split_at: None,
            rng,
        }
    }

    fn stop(&mut self, vm: usize) {
        (self.vms[vm].up_since, self.vms[vm].down_since) = (None, Some(self.now_ms));
    }

    fn start(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        vm.warm_ups = WarmUps::new(&vm.name, bound());
        (vm.up_since, vm.heard) = (Some(self.now_ms), false);
    }

    /// The endpoint starts; its VMs send there when they have heard of it.
    fn begin(&mut self) {
        self.cold_since = Some(self.now_ms);
        self.started_ms += 1;
        self.vms.iter_mut().for_each(|vm| vm.heard = false);
    }

    fn hears(&self, vm: usize, other: usize) -> bool {
        let is_split = self.split_at.is_some_and(|at| (vm < at) != (other < at));
        let other = &self.vms[other];
        !is_split
            && match (other.up_since, other.down_since) {
                (Some(up), _) if up == 0 || self.now_ms >= up + HEARD_MS => true,
                (_, Some(down)) => self.now_ms < down + LOST_MS,
                _ => false,
            }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    fn step(&mut self) {
        let now = at(self.now_ms);
        let names: Vec<String> = self.vms.iter().map(|vm| vm.name.clone()).collect();
        for i in 0..self.vms.len() {
            let Some(up_since) = self.vms[i].up_since else {
                continue;
            };
            if self.now_ms.is_multiple_of(100) {
                let others = || (0..names.len()).filter(|j| *j != i);
                let live: Vec<&str> = others()
                    .filter(|j| self.hears(i, *j))
                    .map(|j| names[j].as_str())
                    .collect();
                let known = others().map(|j| names[j].as_str());
                self.vms[i].warm_ups.set_vms(now, known, live);
            }
            let Some(cold_since) = self.cold_since else {
                continue;
            };
            let vm = &mut self.vms[i];
            let read_at = up_since.max(cold_since + vm.list_age);
            if !vm.heard && self.now_ms >= read_at {
                vm.heard = true;
                let written = (self.now_ms - cold_since).saturating_sub(vm.list_age);
                let told = left(WARM_UP_MS.saturating_sub(written));
                let entry = (self.started_ms, 1);
                vm.warm_ups
                    .record_entry(now, &self.endpoint, entry, told, &warm_up());
            }
            let wanted = vm.demand * STEP_MS as f64 / 1_000.0;
            if (vm.heard || self.is_known)
                && self.rng.random_range(0.0..1.0) < wanted
                && vm.warm_ups.may_send(now, &self.endpoint, self.started_ms)
            {
                vm.warm_ups.record_send(now, &self.endpoint);
                let connect_ms = self.rng.random_range(0..=CONNECT_MS);
                self.arrivals.push(self.now_ms + connect_ms);
            }
        }
    }

    /// Returns the largest number of requests in one second of the warm-up.
    fn most_in_a_second(&self) -> usize {
        let cold_since = self.cold_since.expect("a warm-up");
        let cold = cold_since..cold_since + WARM_UP_MS;
        let of_cold: Vec<u64> = self
            .arrivals
            .iter()
            .copied()
            .filter(|t| cold.contains(t))
            .collect();
        let within = |from: u64| {
            of_cold
                .iter()
                .filter(|t| (from..from + 1_000).contains(*t))
                .count()
        };
        of_cold.iter().map(|t| within(*t)).max().unwrap_or(0)
    }

    fn assert_bound(&self, what: &str) {
        let most = self.most_in_a_second();
        assert!(
            most <= ALLOWED,
            "{what}: {most} in one second, allowed {ALLOWED}"
        );
    }

    /// Checks that callers get at least the plain rate between two times after the start.
    fn assert_used(&self, from_ms: u64, to_ms: u64, what: &str) {
        let cold_since = self.cold_since.expect("a warm-up");
        let span = cold_since + from_ms..cold_since + to_ms;
        let count = self.arrivals.iter().filter(|t| span.contains(t)).count() as f64;
        let plain = RATE * (to_ms - from_ms) as f64 / 1_000.0;
        assert!(
            count >= plain,
            "{what}: {count} served, the plain rate is {plain}"
        );
    }
}

/// Endpoints come back while callers want far more of them, and the lists of the VMs are 0 to 0.5 s old.
#[test]
fn bound_holds_over_all_vms_and_the_plain_rate_is_used() {
    for count in [1, 3, 7, 30, 73, 300] {
        let mut fleet = Fleet::new(count, 2_000.0 / count as f64);
        fleet.run_for(2_000);
        fleet.begin();
        fleet.run_for(WARM_UP_MS);
        fleet.assert_bound(&format!("{count} VMs"));
        fleet.assert_used(USED_FROM_MS, WARM_UP_MS, &format!("{count} VMs"));
        fleet.run_for(2_000);
        let after = fleet.arrivals.iter().filter(|t| **t > fleet.now_ms - 1_000);
        assert!(after.count() > 100, "{count} VMs: the limit goes on");
    }
}

/// An endpoint that serves is cold at once, as after an idle time: VMs that have not heard so send their
/// part of what is usual.
#[test]
fn endpoint_that_turns_cold_is_spared_by_those_that_know() {
    let mut fleet = Fleet::new(73, 14.0 / 73.0);
    fleet.is_known = true;
    let (endpoint, started) = (fleet.endpoint.clone(), fleet.started_ms);
    for vm in &mut fleet.vms {
        vm.warm_ups
            .record_entry(at(0), &endpoint, (started, 0), left(0), &warm_up());
    }
    fleet.run_for(2_000);
    // The same start, and a later entry.
    fleet.cold_since = Some(fleet.now_ms);
    fleet.run_for(500);
    // Callers press as soon as the last VM knows.
    fleet.vms.iter_mut().for_each(|vm| vm.demand = 30.0);
    fleet.run_for(2_500);
    fleet.assert_bound("turned cold");
    fleet.assert_used(1_500, WARM_UP_MS, "turned cold");
}

/// All VMs lose power and are back together while endpoints warm up.
#[test]
fn bound_holds_when_all_vms_restart() {
    for back_after in [200, 700, 1_500] {
        let mut fleet = Fleet::new(73, 30.0);
        fleet.run_for(2_000);
        fleet.begin();
        fleet.run_for(400);
        (0..73).for_each(|vm| fleet.stop(vm));
        fleet.run_for(back_after);
        (0..73).for_each(|vm| fleet.start(vm));
        fleet.run_for(WARM_UP_MS);
        fleet.assert_bound(&format!("all back after {back_after} ms"));
    }
}

/// Some VMs have just started, beside others that were there all the time; they know the members of
/// before, or nobody.
#[test]
fn bound_holds_while_vms_stop_and_start_beside_others() {
    let mut fleet = Fleet::new(73, 30.0);
    fleet.run_for(2_000);
    fleet.begin();
    for vm in 0..20 {
        fleet.stop(vm);
        fleet.run_for(100);
        fleet.start(vm);
        fleet.run_for(50);
    }
    fleet.assert_bound("VMs restart in turn");
    fleet.assert_used(USED_FROM_MS, WARM_UP_MS, "VMs restart in turn");
}

/// A third of the VMs is lost during the warm-up, and another endpoint later gets the whole rate from
/// those that are left.
#[test]
fn shares_of_lost_vms_pass_to_others() {
    let mut fleet = Fleet::new(73, 40.0);
    fleet.run_for(2_000);
    (0..24).for_each(|vm| fleet.stop(vm));
    fleet.run_for(5_000);
    fleet.begin();
    fleet.run_for(WARM_UP_MS);
    fleet.assert_bound("a third lost");
    fleet.assert_used(USED_FROM_MS, WARM_UP_MS, "a third lost");
}

/// A few VMs hear no others and the others don't hear them; both send.
#[test]
fn bound_holds_while_some_vms_hear_no_peers() {
    for apart in [1, 5, 36] {
        let mut fleet = Fleet::new(73, 30.0);
        fleet.split_at = Some(apart);
        fleet.run_for(2_000);
        fleet.begin();
        fleet.run_for(WARM_UP_MS);
        fleet.assert_bound(&format!("{apart} apart"));
    }
}

#[test]
fn vm_that_knows_no_members_sends_nothing_at_first() {
    let id: Arc<str> = Arc::from("e1");
    let mut vm = WarmUps::new("entry-1", bound());
    vm.record_entry(at(0), &id, (1, 1), left(3_000), &warm_up());
    assert!(!vm.may_send(at(0), &id, 1));
    vm.set_vms(at(100), [], []);
    assert!(!vm.may_send(at(200), &id, 1));
    assert!(vm.may_send(at(1_600), &id, 1));
}

/// While the store is away, a VM that starts reads the list from a peer and the members from nobody.
#[test]
fn vm_that_has_not_read_the_members_sends_nothing_to_a_cold_endpoint() {
    let id: Arc<str> = Arc::from("e1");
    let mut vm = WarmUps::new("entry-1", bound());
    vm.record_entry(at(0), &id, (1, 1), left(3_000), &warm_up());
    assert!(!vm.may_send(at(1_600), &id, 1));
    assert!(!vm.may_send(at(2_900), &id, 1));
    assert!(vm.may_send(at(3_000), &id, 1));
}

/// The list is read again, by another source or after an outage, while the entry is the same.
#[test]
fn entry_that_is_read_again_does_not_prolong_a_warm_up() {
    let id: Arc<str> = Arc::from("e1");
    let mut vm = WarmUps::new("entry-1", bound());
    vm.set_vms(at(0), [], []);
    let told = vm.record_entry(at(5_000), &id, (7, 3), left(1_000), &warm_up());
    let begun = WarmUpChange::Begun {
        left: Duration::from_secs(1),
        requests: 22,
    };
    assert_eq!(told, begun);
    assert_eq!(vm.count(at(5_500)), 1);
    for ms in [5_300, 5_900, 6_500] {
        let again = vm.record_entry(at(ms), &id, (7, 3), left(1_000), &warm_up());
        assert_eq!(again, WarmUpChange::None);
    }
    assert_eq!(vm.count(at(6_500)), 0);
    // An older entry, of a store that came back from a copy, says nothing new either.
    vm.record_entry(at(6_500), &id, (7, 2), left(2_000), &warm_up());
    assert_eq!(vm.count(at(6_500)), 0);
    // A later one does: the endpoint has turned cold.
    vm.record_entry(at(7_000), &id, (7, 4), left(1_000), &warm_up());
    assert_eq!(vm.count(at(7_000)), 1);
}

#[test]
fn endpoint_that_says_nothing_warms_up_once_for_each_start() {
    let id: Arc<str> = Arc::from("e1");
    let mut vm = WarmUps::new("entry-1", bound());
    let entry = |vm: &mut WarmUps, ms, start, number, told| {
        vm.record_entry(at(ms), &id, (start, number), told, &warm_up())
    };
    entry(&mut vm, 0, 1, 1, ToldWarmUp::Nothing);
    assert_eq!(vm.count(at(2_900)), 1);
    entry(&mut vm, 4_000, 1, 2, ToldWarmUp::Nothing);
    assert_eq!(vm.count(at(4_000)), 0);
    let malformed = entry(&mut vm, 5_000, 2, 1, ToldWarmUp::Malformed);
    assert_eq!(malformed, WarmUpChange::Malformed);
    assert_eq!(vm.count(at(7_900)), 1);
    let again = entry(&mut vm, 6_000, 2, 2, ToldWarmUp::Malformed);
    assert_eq!(again, WarmUpChange::None);
    assert_eq!(vm.count(at(8_100)), 0);
    // What an endpoint names is believed for a minute at most.
    entry(&mut vm, 9_000, 2, 3, ToldWarmUp::Left(Duration::MAX));
    assert_eq!(vm.count(at(68_900)), 1);
    assert_eq!(vm.count(at(69_000)), 0);
}

#[test]
fn reply_and_assumption_prolong_a_warm_up() {
    let id: Arc<str> = Arc::from("e1");
    let mut vm = WarmUps::new("entry-1", bound());
    vm.record_entry(at(0), &id, (5, 1), left(0), &warm_up());
    assert_eq!(vm.count(at(0)), 0);
    vm.record_reply(at(100), &id, 5, Duration::from_secs(2), &warm_up());
    vm.record_reply(at(200), &id, 5, Duration::ZERO, &warm_up());
    assert_eq!(vm.count(at(2_000)), 1);
    vm.assume(at(2_000), &id, 5, &warm_up());
    assert_eq!(vm.count(at(4_900)), 1);
    // A later start knows nothing of that, and an earlier one is over.
    assert!(vm.may_send(at(2_500), &id, 6));
    vm.record_entry(at(2_500), &id, (6, 1), left(0), &warm_up());
    vm.record_reply(at(2_600), &id, 5, Duration::from_secs(2), &warm_up());
    assert!(vm.may_send(at(2_600), &id, 6));
}

#[test]
fn odd_figures_give_bounded_defaults() {
    use Configured::{Malformed, Missing, Number};
    let read =
        |time, rate| WarmUp::read(time, rate).map(|w| (w.time.as_secs_f64(), w.rate, w.is_odd));
    assert_eq!(read(Missing, Missing), None);
    assert_eq!(read(Number(0.0), Number(0.0)), None);
    assert_eq!(read(Number(3.0), Number(14.0)), Some((3.0, 14.0, false)));
    assert_eq!(read(Missing, Number(14.0)), Some((0.0, 14.0, false)));
    assert_eq!(read(Number(3.0), Number(0.0)), None);
    assert_eq!(read(Number(3.0), Missing), Some((3.0, 10.0, true)));
    assert_eq!(
        read(Number(-3.0), Number(f64::NAN)),
        Some((5.0, 10.0, true))
    );
    assert_eq!(read(Malformed, Number(-1.0)), Some((5.0, 10.0, true)));
    assert_eq!(read(Number(1e300), Number(1e300)), Some((60.0, 1e6, true)));

    let requests = |bound: Bound, rate| {
        let id: Arc<str> = Arc::from("e1");
        let mut vm = WarmUps::new("entry-1", bound);
        let warm_up = WarmUp { rate, ..warm_up() };
        match vm.record_entry(at(0), &id, (1, 1), left(1_000), &warm_up) {
            WarmUpChange::Begun { requests, .. } => requests,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(requests(bound(), 14.0), 22);
    assert_eq!(requests(Bound::new(None, None), 14.0), 11);
    assert_eq!(requests(Bound::new(Some(f64::NAN), Some(-1.0)), 14.0), 11);
    assert_eq!(requests(Bound::new(None, None), 0.01), 1);
}
