use std::sync::Arc;

use hemlock_lib::node::rate_limits::{Announced, LimitChange, LimitReport, RateLimits};
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 10;
/// Time from a request to its answer in milliseconds.
const ANSWER_MS: u64 = 150;
/// Time after the first announcement from which the limit must hold, in milliseconds.
const SETTLE_MS: u64 = 3_000;
/// Span over which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Entry VMs before one endpoint with a limit.
struct Fleet {
    vms: Vec<RateLimits>,
    endpoint: Arc<str>,
    started_ms: u64,
    /// Announcement in the answers of the endpoint.
    announced: Announced,
    /// Whether a VM runs and reaches the endpoint and its peers.
    is_up: Vec<bool>,
    /// Requests a second of the callers at each VM.
    demand: Vec<f64>,
    /// Interval of the news between the VMs in milliseconds.
    news_ms: u64,
    now_ms: u64,
    /// Time and VM of each request at the endpoint.
    arrivals: Vec<(u64, usize)>,
    /// Answers on their way, with what they announce.
    answers: Vec<(u64, usize, Announced)>,
    rng: SmallRng,
}

impl Fleet {
    fn new(count: usize, demand: f64, rate: f64) -> Self {
        let names: Vec<String> = (0..count).map(|i| format!("entry-{i}")).collect();
        let mut vms: Vec<RateLimits> = names.iter().map(|n| RateLimits::new(n)).collect();
        for (i, vm) in vms.iter_mut().enumerate() {
            let others = names.iter().enumerate().filter(|(j, _)| *j != i);
            vm.set_other_vms(at(0), others.map(|(_, n)| n.as_str()));
        }
        Self {
            vms,
            endpoint: Arc::from("e1"),
            started_ms: 1,
            announced: Announced::Rate(rate),
            is_up: vec![true; count],
            demand: vec![demand; count],
            news_ms: 200.max(12 * count as u64).next_multiple_of(STEP_MS),
            now_ms: 0,
            arrivals: Vec::new(),
            answers: Vec::new(),
            rng: SmallRng::seed_from_u64(7),
        }
    }

    /// Takes down or brings back a VM, and tells the others.
    fn set_up(&mut self, vm: usize, is_up: bool) {
        self.is_up[vm] = is_up;
        let live: Vec<String> = (0..self.vms.len())
            .filter(|i| self.is_up[*i])
            .map(|i| format!("entry-{i}"))
            .collect();
        for (i, limits) in self.vms.iter_mut().enumerate() {
            let own = format!("entry-{i}");
            let others = live.iter().filter(|n| **n != own).map(String::as_str);
            limits.set_other_vms(at(self.now_ms), others);
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
        let (due, waiting) = self.answers.iter().partition(|a| a.0 <= self.now_ms);
        self.answers = waiting;
        let due: Vec<(u64, usize, Announced)> = due;
        for (_, vm, announced) in due {
            self.vms[vm].record_answer(now, &self.endpoint, self.started_ms, announced);
        }
        for i in (0..self.vms.len()).filter(|i| self.is_up[*i]) {
            if (self.now_ms + 10 * i as u64).is_multiple_of(self.news_ms) {
                let reports = self.vms[i].reports(now);
                for (j, vm) in self.vms.iter_mut().enumerate().filter(|(j, _)| *j != i) {
                    if self.is_up[j] {
                        reports.iter().for_each(|r| {
                            vm.record_report(now, r);
                        });
                    }
                }
            }
            let wanted = self.demand[i] * STEP_MS as f64 / 1_000.0;
            let vm = &mut self.vms[i];
            if self.rng.random_range(0.0..1.0) < wanted
                && vm.may_send(now, &self.endpoint, self.started_ms, true)
            {
                vm.record_send(now, &self.endpoint);
                self.arrivals.push((self.now_ms, i));
                self.answers
                    .push((self.now_ms + ANSWER_MS, i, self.announced));
            }
        }
    }

    fn count_between(&self, from: u64, to: u64) -> usize {
        let within = |(t, _): &&(u64, usize)| (from..to).contains(t);
        self.arrivals.iter().filter(within).count()
    }

    /// Checks that no window after the settling has more than one and a half times the limit and five.
    fn assert_held(&self, rate: f64) {
        let allowed = rate * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0;
        for (t, _) in self.arrivals.iter().filter(|(t, _)| *t >= SETTLE_MS) {
            let count = self.count_between(*t, t + WINDOW_MS);
            assert!(
                count as f64 <= allowed,
                "{count} in {WINDOW_MS} ms from {t}, allowed {allowed}"
            );
        }
    }

    /// Checks that at least half of the limit was used from `from` ms on.
    fn assert_used(&self, from: u64, rate: f64) {
        let count = self.count_between(from, self.now_ms) as f64;
        let possible = rate * (self.now_ms - from) as f64 / 1_000.0;
        assert!(count >= possible / 2.0, "{count} of {possible} from {from}");
    }
}

#[test]
fn limit_holds_for_all_vms_together_and_is_used() {
    for (vms, demand) in [(7, 8.0), (81, 8.0), (81, 0.5)] {
        for rate in [0.3, 1.8, 3.6, 12.0, 40.0] {
            let mut fleet = Fleet::new(vms, demand, rate);
            fleet.run_for(20_000);
            fleet.assert_held(rate);
            if vms as f64 * demand > rate * 8.0 {
                fleet.assert_used(5_000, rate);
            }
        }
    }
}

#[test]
fn limit_holds_while_vms_stop_and_come_back() {
    for vms in [7, 81] {
        let mut fleet = Fleet::new(vms, 8.0, 3.6);
        fleet.run_for(4_000);
        for vm in 0..vms.min(12) {
            fleet.set_up(vm, false);
            fleet.run_for(700);
            fleet.set_up(vm, true);
            fleet.run_for(300);
        }
        fleet.assert_held(3.6);
        fleet.assert_used(5_000, 3.6);
    }
}

#[test]
fn endpoint_whose_owners_have_no_demand_is_asked_by_others() {
    let mut fleet = Fleet::new(81, 0.0, 1.8);
    fleet.demand[40] = 20.0;
    fleet.run_for(10_000);
    fleet.announced = Announced::Nothing;
    fleet.run_for(100_000);
    assert!(!fleet.vms[40].any(), "the end of the limit was never heard");
    fleet.assert_held(1.8 + 20.0);
}

#[test]
fn end_of_a_limit_reaches_all_vms() {
    let mut fleet = Fleet::new(7, 8.0, 1.8);
    fleet.run_for(6_000);
    assert!(fleet.vms.iter().all(RateLimits::any));
    fleet.announced = Announced::Nothing;
    fleet.run_for(4_000);
    assert!(!fleet.vms.iter().any(RateLimits::any));
    assert!(fleet.count_between(9_000, 10_000) > 30);
}

#[test]
fn older_news_neither_renews_nor_ends_a_limit() {
    let id: Arc<str> = Arc::from("e1");
    let report = |rate, age_ms| LimitReport {
        endpoint: id.clone(),
        started_ms: 1,
        rate,
        age_ms,
    };
    let mut limits = RateLimits::new("entry-1");
    assert_eq!(
        limits.record_answer(at(0), &id, 1, Announced::Rate(2.0)),
        LimitChange::Set(2.0)
    );
    let older = report(None, 700);
    assert_eq!(limits.record_report(at(500), &older), LimitChange::None);
    assert!(limits.any());
    let ended = limits.record_answer(at(600), &id, 1, Announced::Nothing);
    assert_eq!(ended, LimitChange::Ended);
    let older = report(Some(2.0), 300);
    assert_eq!(limits.record_report(at(700), &older), LimitChange::None);
    assert!(!limits.any());
}

#[test]
fn malformed_limit_changes_nothing_and_is_reported_once() {
    let id: Arc<str> = Arc::from("e1");
    let mut limits = RateLimits::new("entry-1");
    let mut record = |announced| limits.record_answer(at(0), &id, 1, announced);
    assert_eq!(record(Announced::Malformed), LimitChange::Malformed);
    assert_eq!(record(Announced::Malformed), LimitChange::None);
    assert_eq!(record(Announced::Rate(1.0)), LimitChange::Set(1.0));
    assert_eq!(record(Announced::Malformed), LimitChange::None);
    assert!(limits.any());
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let report = LimitReport {
            endpoint: id.clone(),
            started_ms: 1,
            rate: Some(rate),
            age_ms: 0,
        };
        assert_eq!(limits.record_report(at(1), &report), LimitChange::None);
    }
    assert!(limits.any());
}

#[test]
fn limit_holds_while_the_endpoint_goes_on_with_malformed_values() {
    let mut fleet = Fleet::new(81, 8.0, 1.8);
    fleet.run_for(6_000);
    fleet.announced = Announced::Malformed;
    fleet.run_for(60_000);
    fleet.assert_held(1.8);
    assert!(fleet.vms.iter().all(RateLimits::any));
}

#[test]
fn restarted_endpoint_has_no_limit_until_it_says_so() {
    let id: Arc<str> = Arc::from("e1");
    let mut limits = RateLimits::new("entry-1");
    limits.record_answer(at(0), &id, 1, Announced::Rate(1.0));
    assert!(!limits.may_send(at(10), &id, 1, true));
    assert!(limits.may_send(at(10), &id, 2, true));
}

#[test]
fn last_request_of_a_share_is_left_to_the_most_urgent() {
    let id: Arc<str> = Arc::from("e1");
    let mut limits = RateLimits::new("entry-1");
    limits.record_answer(at(0), &id, 1, Announced::Rate(1.0));
    assert!(!limits.may_send(at(900), &id, 1, true));
    assert!(limits.may_send(at(1_000), &id, 1, true));
    assert!(!limits.may_send(at(1_000), &id, 1, false));
    assert!(limits.may_send(at(1_500), &id, 1, false));
}

#[test]
fn request_that_could_not_be_sent_uses_no_share() {
    let id: Arc<str> = Arc::from("e1");
    let mut limits = RateLimits::new("entry-1");
    limits.record_answer(at(0), &id, 1, Announced::Rate(1.0));
    limits.record_send(at(1_000), &id);
    assert!(!limits.may_send(at(1_010), &id, 1, true));
    limits.record_not_sent(at(1_020), &id);
    assert!(limits.may_send(at(1_030), &id, 1, true));
}

#[test]
fn shares_of_vms_that_are_cut_off_go_to_others() {
    let id: Arc<str> = Arc::from("e1");
    let names: Vec<String> = (0..20).map(|i| format!("entry-{i}")).collect();
    let owners = |cut: &[&str]| -> Vec<&str> {
        let owns = |name: &&str| {
            let mut limits = RateLimits::new(name);
            limits.record_answer(at(0), &id, 1, Announced::Rate(1.0));
            cut.iter().for_each(|vm| limits.set_cut(at(0), vm, true));
            let others = names.iter().map(String::as_str).filter(|n| n != name);
            limits.set_other_vms(at(0), others);
            limits.record_answer(at(9_000), &id, 1, Announced::Rate(1.0));
            limits.may_send(at(9_100), &id, 1, true)
        };
        let live = names
            .iter()
            .map(String::as_str)
            .filter(|n| !cut.contains(n));
        live.filter(owns).collect()
    };
    let first = owners(&[]);
    assert_eq!(first.len(), 3);
    let second = owners(&first);
    assert_eq!(second.len(), 3);
    assert!(first.iter().all(|vm| !second.contains(vm)));
}
