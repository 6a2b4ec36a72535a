use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::peer_paths::{PathQuery, PathReply, PeerPaths};
use hemlock_lib::node::reach::{PathFailure, PathState, ProbeKind, ProbeOutcome, Reach, Target};
use hemlock_lib::time::Time;

const STEP_MS: u64 = 10;
const NETWORK_MS: u64 = 5;
const CONNECT_TIMEOUT_MS: u64 = 250;
const QUERY_TIMEOUT_MS: u64 = 110;
const QUIET_MS: u64 = 400;
/// Time without a byte after which an endpoint is reported as silent.
const SILENCE_MS: u64 = 450;
/// Time within which a cut is to be detected.
const DETECTION_MS: u64 = 1_000;

/// What happens to packets between a VM and an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    Good,
    /// Packets are dropped.
    Hang,
    /// Connections are reset, and new ones refused.
    Reset,
    /// Connections are accepted on the way, and no byte comes back.
    Mute,
    /// Old connections live on, and new ones are refused.
    OldOnly,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Connected,
    ConnectFailed,
    Heard,
    Quiet,
    Broken,
    Probed(ProbeOutcome),
}

#[derive(Debug)]
struct Vm {
    reach: Reach,
    paths: PeerPaths,
    /// Requests per second, and whether they use old connections.
    rate: u64,
    is_pooled: bool,
    pending: Vec<(u64, usize, Event)>,
    queries: Vec<(u64, usize, PathQuery)>,
    replies: Vec<(u64, PathReply)>,
    probes: usize,
    sent_queries: usize,
    /// Times at which the state changed.
    changes: Vec<(u64, PathState)>,
}

/// Endpoints, and VMs that send requests to them.
struct World {
    now_ms: u64,
    vms: Vec<Vm>,
    /// Identifier, service and whether it is an engine.
    endpoints: Vec<(Arc<str>, Arc<str>, bool)>,
    links: BTreeMap<(usize, usize), Link>,
    /// Endpoints that are gone, and those that are silent but accept connections.
    dead: Vec<usize>,
    frozen: Vec<usize>,
    draw: u64,
}

impl World {
    fn new(vm_count: usize, endpoint_count: usize, rate: u64) -> Self {
        let vm = |_| Vm {
            reach: Reach::default(),
            paths: PeerPaths::default(),
            rate,
            is_pooled: true,
            pending: Vec::new(),
            queries: Vec::new(),
            replies: Vec::new(),
            probes: 0,
            sent_queries: 0,
            changes: Vec::new(),
        };
        let endpoint = |i: usize| {
            let service = if i.is_multiple_of(3) {
                "plain"
            } else {
                "models"
            };
            (
                Arc::from(format!("e{i}")),
                Arc::from(service),
                service == "models",
            )
        };
        let mut world = Self {
            now_ms: 10_000,
            vms: (0..vm_count).map(vm).collect(),
            endpoints: (0..endpoint_count).map(endpoint).collect(),
            links: BTreeMap::new(),
            dead: Vec::new(),
            frozen: Vec::new(),
            draw: 7,
        };
        world.run(3_000);
        world
    }

    fn random(&mut self, bound: usize) -> usize {
        let product = self.draw.wrapping_mul(6_364_136_223_846_793_005);
        self.draw = product.wrapping_add(1_442_695_040_888_963_407);
        ((self.draw >> 33) % bound as u64) as usize
    }

    fn cut(&mut self, vm: usize, link: Link) {
        for endpoint in 0..self.endpoints.len() {
            self.links.insert((vm, endpoint), link);
        }
        if link == Link::Reset {
            let used = self.vms[vm].pending.clone();
            for (_, endpoint, _) in used.iter().filter(|p| p.2 == Event::Heard) {
                let broken = (self.now_ms, *endpoint, Event::Broken);
                self.vms[vm].pending.push(broken);
            }
            self.vms[vm].pending.retain(|p| p.2 != Event::Heard);
        }
    }

    fn heal(&mut self, vm: usize) {
        self.cut(vm, Link::Good);
    }

    fn link(&self, vm: usize, endpoint: usize) -> Link {
        if self.dead.contains(&endpoint) {
            return Link::Reset;
        }
        if self.frozen.contains(&endpoint) {
            return Link::Mute;
        }
        let link = self.links.get(&(vm, endpoint));
        link.copied().unwrap_or(Link::Good)
    }

    /// Adds what follows a connect and, if it opens, an exchange.
    fn connect(&mut self, vm: usize, endpoint: usize, exchanges: bool) {
        let now = self.now_ms;
        let (after, event) = match self.link(vm, endpoint) {
            Link::Good | Link::Mute => (2 * NETWORK_MS, Event::Connected),
            Link::Hang => (CONNECT_TIMEOUT_MS, Event::ConnectFailed),
            Link::Reset | Link::OldOnly => (2 * NETWORK_MS, Event::ConnectFailed),
        };
        self.vms[vm].pending.push((now + after, endpoint, event));
        if event == Event::Connected && exchanges {
            self.exchange(vm, endpoint);
        }
    }

    /// Adds what follows a request on an open connection.
    fn exchange(&mut self, vm: usize, endpoint: usize) {
        let now = self.now_ms;
        let pending = match self.link(vm, endpoint) {
            Link::Good | Link::OldOnly => vec![(now + 30, Event::Heard)],
            Link::Reset => vec![(now + NETWORK_MS, Event::Broken)],
            Link::Hang | Link::Mute => (0..5)
                .map(|i| (now + QUIET_MS + 100 * i, Event::Quiet))
                .collect(),
        };
        for (at, event) in pending {
            self.vms[vm].pending.push((at, endpoint, event));
        }
    }

    fn send_request(&mut self, vm: usize) {
        let endpoint = self.random(self.endpoints.len());
        match self.vms[vm].is_pooled {
            true => self.exchange(vm, endpoint),
            false => self.connect(vm, endpoint, true),
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        let now = Time::from_millis(now_ms);
        for vm in 0..self.vms.len() {
            // Requests of a VM that is cut off are passed on.
            let rate = self.vms[vm].rate;
            let is_due = rate > 0 && now_ms % (1_000 / rate.min(100)) < STEP_MS;
            if is_due && self.vms[vm].reach.state(now) != PathState::Cut {
                self.send_request(vm);
            }
            self.handle_pending(vm, now);
            self.handle_datagrams(vm, now);
            let peers = self.vms[vm].paths.with_path(now).len();
            let listed = self.endpoints.len();
            let endpoints = self.endpoints.clone();
            let state = &mut self.vms[vm];
            if let Some(change) = state.reach.update(now, listed, peers) {
                state.changes.push((now_ms, change.state));
            }
            let probes = state.reach.next_probes(now, &targets(&endpoints));
            let query = state.reach.next_query(now);
            state.probes += probes.len();
            self.probe(vm, probes);
            if let Some(failed) = query {
                self.ask(vm, failed.unreachable, failed.silent);
            }
        }
    }

    fn handle_pending(&mut self, vm: usize, now: Time) {
        let endpoints = self.endpoints.clone();
        let state = &mut self.vms[vm];
        let (due, later) = std::mem::take(&mut state.pending)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now_ms);
        state.pending = later;
        for (_, endpoint, event) in due {
            let id = &endpoints[endpoint].0;
            match event {
                Event::Connected => state.reach.record_connected(now, id),
                Event::Heard => state.reach.record_heard(now, id),
                Event::ConnectFailed => state.reach.record_failure(now, id, PathFailure::Connect),
                Event::Quiet => state.reach.record_failure(now, id, PathFailure::Quiet),
                Event::Broken => state.reach.record_failure(now, id, PathFailure::Broken),
                Event::Probed(outcome) => state.reach.record_probe(now, id, outcome),
            }
        }
    }

    fn probe(&mut self, vm: usize, probes: Vec<(Arc<str>, ProbeKind)>) {
        for (id, kind) in probes {
            let index = self.endpoints.iter().position(|e| e.0 == id);
            let endpoint = index.expect("a listed endpoint");
            let is_queried = kind == ProbeKind::Answer && self.endpoints[endpoint].2;
            let (after, outcome) = match (self.link(vm, endpoint), is_queried) {
                (Link::Hang, _) => (CONNECT_TIMEOUT_MS, ProbeOutcome::Unreachable),
                (Link::Reset | Link::OldOnly, _) => (2 * NETWORK_MS, ProbeOutcome::Unreachable),
                (Link::Good, true) => (4 * NETWORK_MS, ProbeOutcome::Answered),
                (Link::Mute, true) => (QUERY_TIMEOUT_MS, ProbeOutcome::Silent),
                (Link::Good | Link::Mute, false) => (2 * NETWORK_MS, ProbeOutcome::Connected),
            };
            let probed = (self.now_ms + after, endpoint, Event::Probed(outcome));
            self.vms[vm].pending.push(probed);
        }
    }

    fn ask(&mut self, vm: usize, unreachable: Vec<Arc<str>>, silent: Vec<Arc<str>>) {
        let names = |ids: Vec<Arc<str>>| ids.iter().map(|id| id.to_string()).collect();
        let query = PathQuery {
            node: vm.to_string(),
            run: 1,
            number: 1,
            unreachable: names(unreachable),
            silent: names(silent),
        };
        self.vms[vm].sent_queries += 1;
        for _ in 0..3 {
            let peer = self.random(self.vms.len());
            if peer != vm {
                let at = self.now_ms + NETWORK_MS;
                self.vms[peer].queries.push((at, vm, query.clone()));
            }
        }
    }

    fn handle_datagrams(&mut self, vm: usize, now: Time) {
        let endpoints = self.endpoints.clone();
        let state = &mut self.vms[vm];
        for (at, reply) in std::mem::take(&mut state.replies) {
            if at > self.now_ms {
                state.replies.push((at, reply));
                continue;
            }
            state.reach.record_reply(now, &reply);
            state.paths.record_reply(now, reply);
        }
        for (at, from, query) in std::mem::take(&mut state.queries) {
            if at > self.now_ms {
                self.vms[vm].queries.push((at, from, query));
                continue;
            }
            let reach = &mut self.vms[vm].reach;
            let probes = reach.probes_for(now, &query, &targets(&endpoints));
            if !probes.is_empty() {
                self.vms[vm].probes += probes.len();
                self.probe(vm, probes);
                // It is answered when the probes have ended, without further ones.
                self.vms[vm]
                    .queries
                    .push((self.now_ms + 60, from, query.clone()));
                continue;
            }
            let reach = &self.vms[vm].reach;
            let (connected, answered) = reach.evidence_for(now, &query);
            let reply = PathReply {
                node: vm.to_string(),
                run: 1,
                number: query.number,
                connected,
                answered,
                has_path: reach.has_path(now),
                stopping: false,
                open_requests: 0,
                cores: 1.0,
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
            };
            let at = self.now_ms + NETWORK_MS;
            self.vms[from].replies.push((at, reply));
        }
    }

    fn state(&self, vm: usize) -> PathState {
        self.vms[vm].reach.state(Time::from_millis(self.now_ms))
    }

    /// Returns how long after `since_ms` a VM first entered a state.
    fn entered(&self, vm: usize, state: PathState, since_ms: u64) -> Option<u64> {
        let changes = self.vms[vm].changes.iter();
        let mut later = changes.filter(|(at, s)| *at >= since_ms && *s == state);
        later.next().map(|(at, _)| at - since_ms)
    }

    fn assert_detected(&self, vm: usize, since_ms: u64, case: &str) {
        let after = self.entered(vm, PathState::Cut, since_ms);
        assert!(
            after.is_some_and(|ms| ms <= DETECTION_MS),
            "{case}: detected after {after:?} ms; {:?}",
            self.vms[vm].changes
        );
    }

    fn count(&self, state: PathState) -> usize {
        (0..self.vms.len())
            .filter(|vm| self.state(*vm) == state)
            .count()
    }

    fn ever_cut(&self) -> bool {
        let mut changes = self.vms.iter().flat_map(|vm| &vm.changes);
        changes.any(|(_, state)| *state == PathState::Cut)
    }
}

fn targets(endpoints: &[(Arc<str>, Arc<str>, bool)]) -> Vec<Target<'_>> {
    endpoints
        .iter()
        .map(|(id, service, is_engine)| Target {
            id,
            service,
            is_engine: *is_engine,
        })
        .collect()
}

const CUTS: [Link; 4] = [Link::Hang, Link::Reset, Link::Mute, Link::OldOnly];

#[test]
fn cut_is_detected_within_a_second() {
    for link in CUTS {
        for is_pooled in [true, false] {
            let mut world = World::new(5, 20, 20);
            world.vms[0].is_pooled = is_pooled;
            // Requests on old connections go on, and nothing has to be passed on.
            if link == Link::OldOnly && is_pooled {
                continue;
            }
            let start = world.now_ms;
            world.cut(0, link);
            world.run(6_000);
            world.assert_detected(0, start, &format!("{link:?} pooled={is_pooled}"));
            assert_eq!(world.state(0), PathState::Cut);
            assert_eq!(world.count(PathState::Direct), 4);
        }
    }
}

#[test]
fn cut_is_detected_with_two_endpoints_and_one_request_a_second() {
    for link in [Link::Hang, Link::Reset] {
        let mut world = World::new(3, 2, 1);
        for vm in &mut world.vms[1..] {
            vm.rate = 20;
        }
        let start = world.now_ms;
        world.cut(0, link);
        world.run(3_000);
        let after = world.entered(0, PathState::Cut, start);
        // The first request comes up to a second after the cut.
        let bound = 1_000 + DETECTION_MS;
        assert!(after.is_some_and(|ms| ms <= bound), "{link:?}: {after:?}");
    }
}

#[test]
fn many_vms_that_are_cut_off_at_once_detect_it() {
    let mut world = World::new(76, 60, 15);
    let start = world.now_ms;
    for vm in 0..20 {
        world.cut(vm, Link::Hang);
    }
    world.run(4_000);
    for vm in 0..20 {
        world.assert_detected(vm, start, &format!("VM {vm}"));
    }
    assert_eq!(world.count(PathState::Cut), 20);
}

#[test]
fn vms_without_peers_that_have_a_path_do_not_count_as_cut_off() {
    for link in [Link::Hang, Link::Reset, Link::Mute] {
        let mut world = World::new(6, 20, 20);
        for vm in 0..6 {
            world.cut(vm, link);
        }
        world.run(5_000);
        assert!(!world.ever_cut(), "{link:?}");
        assert_eq!(world.count(PathState::Doubtful), 6, "{link:?}");
    }
}

#[test]
fn endpoints_that_are_silent_for_a_second_are_no_cut() {
    // One endpoint, a service, and all but one.
    let service = (0..20).filter(|i| i % 3 != 0).collect();
    for frozen in [vec![4], service, (1..20).collect()] {
        for rate in [1, 2, 20] {
            let mut world = World::new(5, 20, rate);
            world.frozen.clone_from(&frozen);
            world.run(1_200);
            world.frozen.clear();
            world.run(2_000);
            assert!(!world.ever_cut(), "{frozen:?} rate={rate}");
            assert_eq!(world.count(PathState::Direct), 5, "{frozen:?} rate={rate}");
        }
    }
}

#[test]
fn endpoints_that_are_gone_for_all_are_no_cut() {
    for rate in [1, 20] {
        for is_pooled in [true, false] {
            let mut world = World::new(5, 20, rate);
            for vm in &mut world.vms {
                vm.is_pooled = is_pooled;
            }
            world.dead = (0..12).collect();
            world.run(8_000);
            assert!(!world.ever_cut(), "rate={rate} pooled={is_pooled}");
            world.dead = (0..20).collect();
            world.run(8_000);
            assert!(!world.ever_cut(), "rate={rate} pooled={is_pooled}");
        }
    }
}

#[test]
fn healed_cut_ends_after_a_hold_time() {
    for link in [Link::Hang, Link::Reset, Link::Mute] {
        let mut world = World::new(5, 20, 20);
        world.cut(0, link);
        world.run(4_000);
        world.heal(0);
        let healed = world.now_ms;
        world.run(6_000);
        let after = world.entered(0, PathState::Direct, healed);
        assert!(
            after.is_some_and(|ms| (1_000..=2_500).contains(&ms)),
            "{link:?}: {after:?}"
        );
    }
}

/// Streams on old connections go on, and say nothing of new ones.
#[test]
fn bytes_on_old_connections_do_not_end_a_cut() {
    let mut world = World::new(5, 20, 20);
    world.vms[0].is_pooled = false;
    let start = world.now_ms;
    world.cut(0, Link::OldOnly);
    for _ in 0..60 {
        world.run(100);
        let endpoint = world.random(20);
        world.exchange(0, endpoint);
    }
    world.assert_detected(0, start, "old connections");
    assert_eq!(
        world.entered(0, PathState::Direct, start + DETECTION_MS),
        None
    );
}

#[test]
fn one_dead_endpoint_does_not_keep_a_healed_vm_cut_off() {
    let mut world = World::new(5, 6, 20);
    world.dead = vec![2];
    world.cut(0, Link::Hang);
    world.run(3_000);
    world.heal(0);
    world.run(6_000);
    assert_eq!(world.state(0), PathState::Direct);
}

#[test]
fn half_healed_cut_stays_a_cut() {
    let mut world = World::new(5, 20, 20);
    world.vms[0].is_pooled = false;
    world.cut(0, Link::Hang);
    world.run(2_000);
    world.cut(0, Link::OldOnly);
    let start = world.now_ms;
    world.run(6_000);
    assert_eq!(world.entered(0, PathState::Direct, start), None);
    assert_eq!(world.state(0), PathState::Cut);
}

#[test]
fn cut_that_comes_back_does_not_flap() {
    let mut world = World::new(5, 20, 20);
    for _ in 0..20 {
        world.cut(0, Link::Hang);
        world.run(1_500);
        world.heal(0);
        world.run(1_500);
    }
    let directs = world.vms[0].changes.iter();
    let ended = directs.filter(|(_, s)| *s == PathState::Direct).count();
    assert!(ended <= 4, "{:?}", world.vms[0].changes);
}

#[test]
fn vm_with_no_cut_sends_no_probes_and_no_queries() {
    for rate in [0, 1, 20] {
        let mut world = World::new(5, 20, rate);
        world.run(60_000);
        let probes: usize = world.vms.iter().map(|vm| vm.probes).sum();
        let queries: usize = world.vms.iter().map(|vm| vm.sent_queries).sum();
        assert_eq!((probes, queries), (0, 0), "rate={rate}");
    }
}

/// A request that takes long is the only one of its VM.
#[test]
fn slow_requests_of_a_vm_with_little_traffic_cost_few_probes() {
    let mut world = World::new(5, 20, 0);
    for _ in 0..10 {
        let start = world.now_ms;
        for ms in (QUIET_MS..3_000).step_by(100) {
            world.vms[0].pending.push((start + ms, 0, Event::Quiet));
        }
        world.run(3_000);
    }
    assert!(!world.ever_cut());
    let probes = world.vms[0].probes;
    assert!(probes <= 30, "{probes} probes in 30 s");
}

#[test]
fn probes_and_queries_in_a_cut_are_bounded() {
    let mut world = World::new(76, 60, 15);
    for vm in 0..20 {
        world.cut(vm, Link::Hang);
    }
    let seconds = 12;
    world.run(seconds * 1_000);
    for vm in &world.vms[..20] {
        let (probes, queries) = (vm.probes as u64, vm.sent_queries as u64);
        assert!(probes <= 5 * seconds, "{probes} probes");
        assert!(queries <= 5 * seconds, "{queries} queries");
    }
    for vm in &world.vms[20..] {
        let probes = vm.probes as u64;
        assert!(probes <= 5 * seconds, "{probes} probes for peers");
    }
}

#[test]
fn replies_are_used_for_a_short_time_and_only_from_peers_that_can_relay() {
    let mut paths = PeerPaths::default();
    let reply = |node: &str, has_path: bool, stopping: bool| PathReply {
        node: node.to_owned(),
        run: 1,
        number: 1,
        connected: Vec::new(),
        answered: Vec::new(),
        has_path,
        stopping,
        open_requests: 3,
        cores: 0.5,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    let now = Time::from_millis(5_000);
    paths.record_reply(now, reply("good", true, false));
    paths.record_reply(now, reply("cut", false, false));
    paths.record_reply(now, reply("stops", true, true));
    let names = |paths: &PeerPaths, now: Time| {
        let peers = paths.with_path(now);
        peers.into_iter().map(|p| p.node).collect::<Vec<_>>()
    };
    assert_eq!(names(&paths, now), ["good"]);
    paths.record_reply(
        now + Duration::from_millis(100),
        reply("good", false, false),
    );
    assert!(names(&paths, now + Duration::from_millis(100)).is_empty());
    paths.record_reply(now, reply("good", true, false));
    assert!(names(&paths, now + Duration::from_secs(3)).is_empty());
}

/// A VM that hears no endpoint would otherwise report all of them as silent.
#[test]
fn silence_of_an_endpoint_is_judged_only_while_others_are_heard() {
    let mut world = World::new(5, 20, 20);
    let since = Time::from_millis(world.now_ms);
    world.cut(0, Link::Hang);
    // Answers that were under way at the moment of the cut still arrive.
    world.run(SILENCE_MS);
    for _ in 0..40 {
        let now = Time::from_millis(world.now_ms);
        assert!(!world.vms[0].reach.may_judge(now, since));
        world.run(50);
    }
    let mut world = World::new(5, 20, 20);
    let since = Time::from_millis(world.now_ms);
    world.frozen = vec![3];
    world.run(SILENCE_MS);
    let now = Time::from_millis(world.now_ms);
    assert!(world.vms[0].reach.may_judge(now, since));
}

#[test]
fn crash_of_one_endpoint_is_confirmed_as_soon_as_another_is_heard() {
    let mut world = World::new(5, 20, 20);
    let crash = Time::from_millis(world.now_ms);
    let id = world.endpoints[3].0.clone();
    world.dead = vec![3];
    world.vms[0]
        .reach
        .record_failure(crash, &id, PathFailure::Broken);
    world.run(100);
    let now = Time::from_millis(world.now_ms);
    assert!(world.vms[0].reach.crashes_confirmed_until(now) >= crash);
}

#[test]
fn connections_reset_by_a_cut_are_never_confirmed_as_crashes() {
    let mut world = World::new(5, 20, 100);
    let start = Time::from_millis(world.now_ms);
    world.cut(0, Link::Reset);
    for _ in 0..300 {
        world.run(10);
        let now = Time::from_millis(world.now_ms);
        let reach = &world.vms[0].reach;
        assert!(reach.crashes_confirmed_until(now) < start, "{now:?}");
        if world.state(0) == PathState::Cut {
            assert!(reach.crashes_doubted_since() <= start);
        }
    }
    world.heal(0);
    world.run(3_000);
    assert_eq!(world.state(0), PathState::Direct);
    let reach = &world.vms[0].reach;
    assert!(reach.was_cut_since(start));
    assert!(!reach.was_cut_since(Time::from_millis(world.now_ms)));
}

/// Three unanswered probes in a row of the planner, which begin 250 ms after an engine was last
/// heard and take 100 ms each, have an engine replaced.
#[test]
fn cut_vm_counts_no_probe_as_unanswered() {
    for link in [Link::Hang, Link::Reset, Link::Mute] {
        let mut world = World::new(5, 20, 20);
        world.cut(0, link);
        world.run(350);
        for _ in 0..80 {
            let now = Time::from_millis(world.now_ms);
            assert!(!world.vms[0].reach.hears_others(now), "{link:?}");
            assert!(world.vms[1].reach.hears_others(now), "{link:?}");
            world.run(50);
        }
    }
}
