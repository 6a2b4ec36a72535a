//! The gateway's choices before a fake set of endpoints: who gets work, and who is refused.

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

/// Time between two requests that are served.
const BETWEEN: Duration = Duration::from_millis(60);

struct World {
    gateway: Gateway,
    view: View,
    now: Time,
    next: u64,
}

impl World {
    fn new(setup: &Setup) -> Self {
        let charts = Charts::built_in().expect("the built-in charts parse");
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
        let mut world = Self {
            gateway: Gateway::new(config, &charts),
            view: setup.view(),
            now: Time::ZERO,
            next: 0,
        };
        world.publish();
        world
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

    /// Sends requests at a steady pace, each answered after 101 pieces, and counts them by VM.
    fn serve(&mut self, requests: u32, gap: impl Fn(&VmId) -> Duration) -> BTreeMap<VmId, u32> {
        let mut counts = BTreeMap::new();
        let mut ends = BTreeMap::new();
        for _ in 0..requests {
            self.now = self.now + BETWEEN;
            self.finish(&mut ends, self.now);
            let outputs = self.arrive(Duration::from_secs(60));
            let Some((request, attempt, vm)) = dispatched(&outputs) else {
                panic!("an open slot was not used: {outputs:?}");
            };
            self.step(Input::Progress(request.clone(), attempt, 1));
            ends.insert((self.now + gap(&vm) * 100, attempt), request);
            *counts.entry(vm).or_default() += 1;
        }
        self.finish(&mut ends, Time(u64::MAX));
        counts
    }

    fn finish(&mut self, ends: &mut BTreeMap<(Time, AttemptId), RequestId>, until: Time) {
        let now = self.now;
        while let Some(first) = ends.first_entry()
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

/// An endpoint that is leaving, draining, lost or suspected gets nothing new.
#[test]
fn endpoints_that_are_not_live_get_nothing() {
    let gone = endpoint_set::vm(2);
    let steady = |_: &VmId| Duration::from_millis(10);
    for health in [
        Health::Leaving,
        Health::Lost,
        Health::Suspect,
        Health::Unknown,
    ] {
        let mut world = World::new(&setup(4, 16));
        assert!(world.serve(200, steady).contains_key(&gone));
        let status = world.view.vms.get_mut(&gone).expect("a known VM");
        status.health = health;
        world.publish();
        assert!(!world.serve(200, steady).contains_key(&gone), "{health:?}");
    }
    let mut world = World::new(&setup(4, 16));
    let status = world.view.vms.get_mut(&gone).expect("a known VM");
    status.listing.leaving = true;
    world.publish();
    assert!(!world.serve(200, steady).contains_key(&gone));
    let mut world = World::new(&setup(4, 16));
    for fleet in world.view.fleets.values_mut() {
        for assignment in fleet.replicas.values_mut() {
            assignment.draining = assignment.vms[0] == gone;
        }
    }
    world.publish();
    assert!(!world.serve(200, steady).contains_key(&gone));
}

/// An endpoint four times slower gets far less, is tried again, and gets its part back when sound.
#[test]
fn slow_endpoints_are_weighed_down_and_let_back_in() {
    let slow = endpoint_set::vm(1);
    let mut world = World::new(&setup(4, 16));
    let gap = |vm: &VmId| Duration::from_millis(if *vm == slow { 40 } else { 10 });
    world.serve(200, gap);
    let counts = world.serve(400, gap);
    let part = counts.get(&slow).copied().unwrap_or(0);
    assert!(part < 20, "{part} of 400");
    world.now = world.now + Duration::from_secs(120);
    let counts = world.serve(400, |_| Duration::from_millis(10));
    let part = counts.get(&slow).copied().unwrap_or(0);
    assert!((60..=140).contains(&part), "{part} of 400");
}

/// Work that can't meet its deadline is refused on arrival, with the time to come back.
#[test]
fn hopeless_work_is_refused_at_once() {
    let mut world = World::new(&setup(1, 32));
    world.serve(50, |_| Duration::from_millis(10));
    let hopeless = refused(&world.arrive(Duration::from_millis(100)));
    let (code, after) = hopeless.expect("an answer takes a second");
    assert_eq!(code, Code::DeadlineUnmet);
    assert!(after >= Duration::from_millis(200), "{after:?}");
    assert_eq!(refused(&world.arrive(Duration::from_secs(30))), None);
}

/// A full queue refuses the newest of the greediest account at once.
#[test]
fn a_full_queue_refuses_at_once() {
    let mut world = World::new(&setup(1, 2));
    let all: Vec<Vec<Output>> = (0..60)
        .map(|_| world.arrive(Duration::from_secs(60)))
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

/// A request that is overdue in the queue is refused while its caller still waits.
#[test]
fn overdue_work_is_refused_in_the_queue() {
    let mut world = World::new(&setup(1, 1));
    while refused(&world.arrive(Duration::from_secs(5))).is_none() && world.next < 20 {}
    world.now = world.now + Duration::from_millis(5_001);
    let outputs = world.step(Input::Tick);
    let refusals = outputs
        .iter()
        .filter(|o| matches!(o, Output::Refuse { .. }));
    assert!(refusals.count() >= 15, "{outputs:?}");
}

/// An endpoint that fails at once does not draw all the work.
#[test]
fn failing_endpoints_are_avoided() {
    let mut world = World::new(&setup(4, 16));
    let bad = endpoint_set::vm(0);
    let mut failures = 0;
    for _ in 0..100 {
        world.now = world.now + BETWEEN;
        world.step(Input::Tick);
        let mut outputs = world.arrive(Duration::from_secs(60));
        while let Some((request, attempt, vm)) = dispatched(&outputs) {
            outputs = if vm == bad {
                failures += 1;
                world.step(Input::Failed(request, attempt, FailReason::Connect))
            } else {
                world.step(Input::Finished(request, attempt, None))
            };
        }
    }
    assert!((2..=8).contains(&failures), "{failures} failures in 6 s");
}
