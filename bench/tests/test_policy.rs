//! Routing and admission of a gateway in front of simulated endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlock_bench::endpoint_set::{self, DOMAINS, GROUP, Setup};
use hemlock_lib::chart::Charts;
use hemlock_lib::claims::Owner;
use hemlock_lib::codes::Code;
use hemlock_lib::gateway::{
    Arrival, FailReason, Gateway, GatewayConfig, Hint, Input, Output, Target,
};
use hemlock_lib::ids::{AttemptId, Incarnation, RequestId, VmId};
use hemlock_lib::time::Time;
use hemlock_lib::view::{Health, View};

/// Time between the arrivals of two requests.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(60);

struct GatewayHarness {
    gateway: Gateway,
    view: View,
    now: Time,
    next: u64,
}

impl GatewayHarness {
    fn new(setup: &Setup) -> Self {
        let charts = Charts::built_in().expect("the built-in charts are valid");
        let config = GatewayConfig {
            owner: Owner {
                entry: "entry-0".into(),
                run: Incarnation(1),
            },
            domain: DOMAINS[0].into(),
            queue_limit: 50,
            max_key_age: Duration::from_secs(600),
            isolation_timeout: Duration::from_secs(600),
            seed: 7,
        };
        let mut harness = Self {
            gateway: Gateway::new(config, &charts),
            view: setup.view(),
            now: Time::ZERO,
            next: 0,
        };
        harness.publish();
        harness
    }

    fn publish(&mut self) {
        let view = Arc::new(self.view.clone());
        self.step(Input::View(view));
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.gateway.step(self.now, input, &mut out);
        out
    }

    fn arrive(&mut self, deadline: Duration) -> Vec<Output> {
        self.next += 1;
        let arrival = Arrival {
            request: RequestId::new(self.next.to_string()),
            key_hash: "a".to_owned(),
            target: Target::Model(GROUP.into()),
            tokens: 100,
            deadline: self.now + deadline,
            idempotency_key: None,
            body_fingerprint: String::new(),
            hint: Hint::default(),
        };
        self.step(Input::Arrive(arrival))
    }

    /// Sends requests at a fixed interval, each with an answer of 101 tokens, and counts them by VM.
    /// `token_interval` is the time between two tokens of a VM.
    fn serve(
        &mut self,
        requests: u32,
        token_interval: impl Fn(&VmId) -> Duration,
    ) -> BTreeMap<VmId, u32> {
        let mut counts = BTreeMap::new();
        let mut running = BTreeMap::new();
        for _ in 0..requests {
            self.now = self.now + ARRIVAL_INTERVAL;
            self.finish(&mut running, self.now);
            let outputs = self.arrive(Duration::from_secs(60));
            let Some((request, attempt, vm)) = dispatched(&outputs) else {
                panic!("an open slot was not used: {outputs:?}");
            };
            self.step(Input::Progress(request.clone(), attempt, 1));
            running.insert((self.now + token_interval(&vm) * 100, attempt), request);
            *counts.entry(vm).or_default() += 1;
        }
        self.finish(&mut running, Time(u64::MAX));
        counts
    }

    fn finish(&mut self, running: &mut BTreeMap<(Time, AttemptId), RequestId>, until: Time) {
        let now = self.now;
        while let Some(first) = running.first_entry()
            && first.key().0 <= until
        {
            let ((at, attempt), request) = first.remove_entry();
            self.now = at;
            self.step(Input::Progress(request.clone(), attempt, 101));
            self.step(Input::Finished(request, attempt, None));
        }
        self.now = self.now.max(now);
    }
}

fn dispatched(outputs: &[Output]) -> Option<(RequestId, AttemptId, VmId)> {
    outputs.iter().find_map(|o| match o {
        Output::Dispatch {
            request,
            attempt,
            vm,
            ..
        } => Some((request.clone(), *attempt, vm.clone())),
        _ => None,
    })
}

fn refused(outputs: &[Output]) -> Option<(Code, Duration)> {
    outputs.iter().find_map(|o| match o {
        Output::Refuse {
            code, retry_after, ..
        } => Some((*code, *retry_after)),
        _ => None,
    })
}

fn setup(endpoints: usize, slots: u32) -> Setup {
    Setup {
        versions: vec![(endpoints, 1.0)],
        slots,
        gateways: 1,
        accounts: vec![Setup::account("a", 1.0)],
    }
}

/// An endpoint that is leaving, draining, lost, suspected or of unknown health must get no new
/// requests.
#[test]
fn unavailable_endpoints_get_no_requests() {
    let unavailable = endpoint_set::vm(2);
    let equal_interval = |_: &VmId| Duration::from_millis(10);
    for health in [
        Health::Leaving,
        Health::Lost,
        Health::Suspect,
        Health::Unknown,
    ] {
        let mut harness = GatewayHarness::new(&setup(4, 16));
        assert!(
            harness
                .serve(200, equal_interval)
                .contains_key(&unavailable)
        );
        let status = harness
            .view
            .vms
            .get_mut(&unavailable)
            .expect("the VM is in the view");
        status.health = health;
        harness.publish();
        assert!(
            !harness
                .serve(200, equal_interval)
                .contains_key(&unavailable),
            "{health:?}"
        );
    }
    let mut harness = GatewayHarness::new(&setup(4, 16));
    let status = harness
        .view
        .vms
        .get_mut(&unavailable)
        .expect("the VM is in the view");
    status.listing.leaving = true;
    harness.publish();
    assert!(
        !harness
            .serve(200, equal_interval)
            .contains_key(&unavailable)
    );
    let mut harness = GatewayHarness::new(&setup(4, 16));
    for fleet in harness.view.fleets.values_mut() {
        for assignment in fleet.replicas.values_mut() {
            assignment.draining = assignment.vms[0] == unavailable;
        }
    }
    harness.publish();
    assert!(
        !harness
            .serve(200, equal_interval)
            .contains_key(&unavailable)
    );
}

/// An endpoint that is four times slower must get far fewer requests than the others. Two minutes
/// later it must be tried again, and must get an equal share once it is as fast as the others.
#[test]
fn slow_endpoints_get_fewer_requests_until_they_recover() {
    let slow = endpoint_set::vm(1);
    let mut harness = GatewayHarness::new(&setup(4, 16));
    let token_interval = |vm: &VmId| Duration::from_millis(if *vm == slow { 40 } else { 10 });
    harness.serve(200, token_interval);
    let counts = harness.serve(400, token_interval);
    let slow_requests = counts.get(&slow).copied().unwrap_or(0);
    assert!(slow_requests < 20, "{slow_requests} of 400");
    harness.now = harness.now + Duration::from_secs(120);
    let counts = harness.serve(400, |_| Duration::from_millis(10));
    let slow_requests = counts.get(&slow).copied().unwrap_or(0);
    assert!(
        (60..=140).contains(&slow_requests),
        "{slow_requests} of 400"
    );
}

/// A request that can't meet its deadline must be refused on arrival, with the time after which to
/// retry.
#[test]
fn unmeetable_deadlines_are_refused_on_arrival() {
    let mut harness = GatewayHarness::new(&setup(1, 32));
    harness.serve(50, |_| Duration::from_millis(10));
    let refusal = refused(&harness.arrive(Duration::from_millis(100)));
    let (code, after) = refusal.expect("an answer takes a second");
    assert_eq!(code, Code::DeadlineUnmet);
    assert!(after >= Duration::from_millis(200), "{after:?}");
    assert_eq!(refused(&harness.arrive(Duration::from_secs(30))), None);
}

/// If the queue is full, the newest request of the account with the most demand must be refused at
/// once as overload, with the time after which to retry.
#[test]
fn full_queue_refuses_on_arrival() {
    let mut harness = GatewayHarness::new(&setup(1, 2));
    let all: Vec<Vec<Output>> = (0..60)
        .map(|_| harness.arrive(Duration::from_secs(60)))
        .collect();
    let running = all.iter().filter(|o| dispatched(o).is_some()).count();
    let refused: Vec<_> = all.iter().filter_map(|o| refused(o)).collect();
    assert_eq!(refused.len(), 60 - running - 50);
    assert!(
        refused
            .iter()
            .all(|r| r.0 == Code::Overload && !r.1.is_zero())
    );
}

/// A queued request whose deadline passes must be refused, so that its caller does not wait in vain.
#[test]
fn queued_requests_are_refused_after_their_deadline() {
    let mut harness = GatewayHarness::new(&setup(1, 1));
    while refused(&harness.arrive(Duration::from_secs(5))).is_none() && harness.next < 20 {}
    harness.now = harness.now + Duration::from_millis(5_001);
    let outputs = harness.step(Input::Tick);
    let refusals = outputs
        .iter()
        .filter(|o| matches!(o, Output::Refuse { .. }));
    assert!(refusals.count() >= 15, "{outputs:?}");
}

/// An endpoint that fails every request at once looks idle. It must not attract all requests.
#[test]
fn failing_endpoints_are_avoided() {
    let mut harness = GatewayHarness::new(&setup(4, 16));
    let failing = endpoint_set::vm(0);
    let mut failures = 0;
    for _ in 0..100 {
        harness.now = harness.now + ARRIVAL_INTERVAL;
        harness.step(Input::Tick);
        let mut outputs = harness.arrive(Duration::from_secs(60));
        while let Some((request, attempt, vm)) = dispatched(&outputs) {
            outputs = if vm == failing {
                failures += 1;
                harness.step(Input::Failed(request, attempt, FailReason::Connect))
            } else {
                harness.step(Input::Finished(request, attempt, None))
            };
        }
    }
    assert!((2..=8).contains(&failures), "{failures} failures in 6 s");
}
