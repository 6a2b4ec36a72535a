use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::passing::{Situation, Step, next_step};
use hemlock_lib::node::peer_paths::{PathReply, PeerPaths};
use hemlock_lib::node::reach::{PathFailure, PathState, Reach, Target};
use hemlock_lib::time::Time;

const QUIET: Duration = Duration::from_millis(400);

/// Identifier, service and whether it is an engine.
type Listed = (Arc<str>, Arc<str>, bool);

fn listed(plain: usize, engines: usize) -> Vec<Listed> {
    let service = |name: &str, count: usize, is_engine| {
        let name: Arc<str> = Arc::from(name);
        (0..count).map(move |i| (Arc::from(format!("{name}{i}")), name.clone(), is_engine))
    };
    service("p", plain, false)
        .chain(service("e", engines, true))
        .collect()
}

fn targets(listed: &[Listed]) -> Vec<Target<'_>> {
    let mut targets = Vec::new();
    for (id, service, is_engine) in listed {
        targets.push(Target {
            id,
            service,
            is_engine: *is_engine,
        });
    }
    targets
}

/// A reply of a peer that doubts its own path.
fn reply_without_path(node: &str) -> PathReply {
    PathReply {
        node: node.to_owned(),
        run: 1,
        number: 1,
        connected: Vec::new(),
        answered: Vec::new(),
        has_path: false,
        stopping: false,
        open_requests: 0,
        cores: 0.25,
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

/// A VM whose peers all say that they reach no endpoint.
struct Vm {
    now: Time,
    reach: Reach,
    paths: PeerPaths,
    listed: Vec<Listed>,
}

impl Vm {
    fn new(plain: usize, engines: usize) -> Self {
        Self {
            now: Time::from_millis(10_000),
            reach: Reach::default(),
            paths: PeerPaths::default(),
            listed: listed(plain, engines),
        }
    }

    /// Records what a VM sees of endpoints that leave open requests unanswered for `time`.
    fn hear_nothing_of(&mut self, ids: &[&str], time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            for (id, ..) in self.listed.iter().filter(|l| ids.contains(&&*l.0)) {
                self.reach.record_failure(self.now, id, PathFailure::Quiet);
            }
            for peer in ["a", "b"] {
                let reply = reply_without_path(peer);
                self.paths.record_reply(self.now, reply);
            }
            let peers = self.paths.with_path(self.now).len();
            self.reach.update(self.now, self.listed.len(), peers);
            let fails = self.reach.every_service_fails(&targets(&self.listed));
            self.paths.set_may_reach(!fails);
        }
    }

    fn next_step(&self) -> Step {
        next_step(&Situation {
            path: self.reach.state(self.now),
            has_peer: false,
            nobody_has_path: self.paths.nobody_has_path(self.now),
            failed_connects: 0,
            since_failure: None,
            failed_endpoints: self.reach.failing_endpoints(self.now),
            heard_since: false,
            has_idle_conn: true,
        })
    }
}

/// VMs that doubted their paths took each other's doubt for the proof that no VM has a path.
#[test]
fn requests_are_sent_while_only_the_endpoints_of_one_service_are_silent() {
    let mut vm = Vm::new(3, 6);
    vm.hear_nothing_of(&["e0", "e1", "e2", "e3"], QUIET);
    assert_eq!(vm.reach.state(vm.now), PathState::Doubtful);
    assert_eq!(vm.next_step(), Step::Send);
    vm.hear_nothing_of(&["e0", "e1", "e2", "e3", "e4", "e5", "p0", "p1"], QUIET);
    assert_eq!(vm.next_step(), Step::Send, "p2 may answer");
}

#[test]
fn requests_are_refused_once_all_services_are_silent_for_all_vms() {
    for (plain, engines) in [(3, 6), (1, 4), (5, 2), (3, 0)] {
        let mut vm = Vm::new(plain, engines);
        let all = vm.listed.clone();
        let ids: Vec<&str> = all.iter().map(|l| &*l.0).collect();
        vm.hear_nothing_of(&ids, QUIET);
        assert_eq!(vm.next_step(), Step::Refuse, "{plain} and {engines}");
        vm.reach.record_heard(vm.now, &all[0].0);
        vm.hear_nothing_of(&[], QUIET);
        assert_eq!(vm.next_step(), Step::Send, "{plain} and {engines}");
    }
}

#[test]
fn service_counts_as_failing_once_as_many_endpoints_fail_as_put_the_path_in_doubt() {
    let now = Time::from_millis(10_000);
    let listed = listed(2, 5);
    let targets = targets(&listed);
    let mut reach = Reach::default();
    for (id, failure) in [
        ("p0", PathFailure::Connect),
        ("p1", PathFailure::Broken),
        ("e0", PathFailure::Quiet),
        ("e1", PathFailure::Connect),
    ] {
        reach.record_failure(now, &Arc::from(id), failure);
        assert!(!reach.every_service_fails(&targets), "{id}");
    }
    reach.record_failure(now, &Arc::from("e4"), PathFailure::Quiet);
    assert!(reach.every_service_fails(&targets));
}
