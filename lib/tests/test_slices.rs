//! Slices of account limits under lost, late and repeated messages, pauses, partitions and
//! restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlock_lib::ids::{AccountId, EntryId, Incarnation};
use hemlock_lib::slices::{
    Amount, Demand, EntryMembership, SliceAllocator, SliceClient, SliceReply, SliceRequest,
};
use hemlock_lib::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const GATEWAYS: usize = 6;
const ACCOUNTS: [&str; 2] = ["large", "small"];
const STEP: Duration = Duration::from_millis(200);
const MAX_OPEN_TIME: Duration = Duration::from_secs(2);
const SCHEDULES: u64 = 10_000;
const STEPS: u64 = 100;

fn limit(account: &AccountId) -> Option<Amount> {
    let (requests, tokens, open) = match account.as_str() {
        "large" => (500_000, 100_000, 200),
        _ => (7_000, 900, 11),
    };
    Some(Amount {
        requests,
        tokens,
        open,
    })
}

#[derive(Debug)]
enum Message {
    Request(SliceRequest),
    Reply(EntryId, SliceReply),
}

struct Gateway {
    client: SliceClient,
    allocator: SliceAllocator,
    /// End times of the open requests, by account.
    open: BTreeMap<AccountId, Vec<Time>>,
    paused: u64,
    /// Amount by which this gateway's clock runs fast, in parts per thousand.
    drift_permille: u64,
    clock_offset: Duration,
}

impl Gateway {
    fn new(index: usize, run: u64, drift_permille: u64, clock_offset: Duration) -> Self {
        let entry = entry(index);
        Self {
            client: SliceClient::new(entry.clone(), Incarnation(run)),
            allocator: SliceAllocator::new(entry, Incarnation(run), MAX_OPEN_TIME + STEP),
            open: BTreeMap::new(),
            paused: 0,
            drift_permille,
            clock_offset,
        }
    }

    fn clock(&self, now: Time) -> Time {
        Time(now.0 + now.0 * self.drift_permille / 1_000) + self.clock_offset
    }
}

fn entry(index: usize) -> EntryId {
    EntryId::new(format!("entry-{index}"))
}

fn index(entry: &EntryId) -> usize {
    let number = entry.as_str().strip_prefix("entry-");
    number.and_then(|n| n.parse().ok()).expect("a known entry")
}

struct Simulation {
    rng: SmallRng,
    gateways: Vec<Gateway>,
    messages: Vec<(Time, Message)>,
    partition_side: [bool; GATEWAYS],
    dead: [bool; GATEWAYS],
    /// Gateways that each gateway believes live.
    live: Vec<[bool; GATEWAYS]>,
    busy: usize,
    faults: bool,
    runs: u64,
}

impl Simulation {
    fn new(seed: u64, faults: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gateways = (0..GATEWAYS).map(|i| {
            let drift_permille = if faults { rng.random_range(0..50) } else { 0 };
            let clock_offset = Duration::from_millis(rng.random_range(0..100_000));
            Gateway::new(i, 1, drift_permille, clock_offset)
        });
        Self {
            gateways: gateways.collect(),
            rng,
            messages: Vec::new(),
            partition_side: [false; GATEWAYS],
            dead: [false; GATEWAYS],
            live: vec![[true; GATEWAYS]; GATEWAYS],
            busy: 0,
            faults,
            runs: 1,
        }
    }

    fn step(&mut self, now: Time) {
        if self.faults {
            self.inject_fault(now);
        }
        self.deliver(now);
        for g in 0..GATEWAYS {
            self.run(now, g);
        }
        self.check(now);
    }

    fn inject_fault(&mut self, now: Time) {
        let g = self.rng.random_range(0..GATEWAYS);
        match self.rng.random_range(0..60) {
            0 => self.gateways[g].paused = self.rng.random_range(1..30),
            1 => self.partition_side = [(); GATEWAYS].map(|()| self.rng.random_bool(0.4)),
            2 | 3 => self.partition_side = [false; GATEWAYS],
            4 => self.dead[g] = true,
            5 => {
                self.runs += 1;
                let old = &self.gateways[g];
                // The requests of the old run ended with it.
                self.gateways[g] = Gateway::new(g, self.runs, old.drift_permille, old.clock_offset);
                self.dead[g] = false;
            }
            6 => self.busy = g,
            _ => {}
        }
        // Each gateway detects failures at its own time, and may be wrong.
        let observer = self.rng.random_range(0..GATEWAYS);
        let observed = self.rng.random_range(0..GATEWAYS);
        let reachable =
            !self.dead[observed] && self.partition_side[observer] == self.partition_side[observed];
        self.live[observer][observed] = reachable || self.rng.random_bool(0.05);
        let _ = now;
    }

    fn membership(&self, g: usize) -> EntryMembership {
        let live = (0..GATEWAYS).filter(|i| *i == g || self.live[g][*i]);
        EntryMembership {
            all: (0..GATEWAYS).map(entry).collect(),
            live: live.map(entry).collect(),
        }
    }

    fn deliver(&mut self, now: Time) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|m| m.0 <= now);
        self.messages = later;
        for (at, message) in due {
            let to = match &message {
                Message::Request(request) => index(&request.to),
                Message::Reply(to, _) => index(to),
            };
            if self.dead[to] {
                continue;
            }
            if self.gateways[to].paused > 0 {
                self.messages.push((at + STEP, message));
                continue;
            }
            self.receive(now, to, message);
        }
    }

    fn receive(&mut self, now: Time, to: usize, message: Message) {
        let membership = self.membership(to);
        let gateway = &mut self.gateways[to];
        let clock = gateway.clock(now);
        match message {
            Message::Request(request) => {
                gateway.allocator.refresh(&membership);
                let reply = gateway.allocator.answer(clock, &request, limit);
                self.send(
                    now,
                    to,
                    index(&request.from),
                    Message::Reply(request.from, reply),
                );
            }
            Message::Reply(_, reply) => gateway.client.apply_reply(&reply),
        }
    }

    fn send(&mut self, now: Time, from: usize, to: usize, message: Message) {
        if self.faults && from != to {
            if self.partition_side[from] != self.partition_side[to] || self.rng.random_bool(0.05) {
                return;
            }
            let mut delay = || match self.rng.random_range(0..20) {
                0 => STEP * self.rng.random_range(1..40),
                _ => Duration::ZERO,
            };
            let at = now + delay();
            let duplicate_at = now + delay();
            if let Message::Request(request) = &message
                && self.rng.random_bool(0.05)
            {
                self.messages
                    .push((duplicate_at, Message::Request(request.clone())));
            }
            return self.messages.push((at, message));
        }
        self.enqueue(now, message);
    }

    fn enqueue(&mut self, now: Time, message: Message) {
        self.messages.push((now, message));
    }

    fn run(&mut self, now: Time, g: usize) {
        let membership = self.membership(g);
        let (busy, faults) = (self.busy == g, self.faults);
        let gateway = &mut self.gateways[g];
        for ends in gateway.open.values_mut() {
            ends.retain(|end| *end > now);
        }
        if self.dead[g] {
            gateway.open.clear();
            return;
        }
        if gateway.paused > 0 {
            gateway.paused -= 1;
            return;
        }
        let clock = gateway.clock(now);
        let mut demands = Vec::new();
        for account in ACCOUNTS.map(AccountId::from) {
            let account_limit = limit(&account).expect("a known account");
            let amount = gateway
                .client
                .amount(clock, &account, account_limit, GATEWAYS);
            let open = gateway.open.entry(account.clone()).or_default();
            let wanted = if busy { account_limit.open * 2 } else { 1 };
            while (open.len() as u64) < amount.open.min(wanted) {
                let shortest_ms = if faults {
                    1
                } else {
                    MAX_OPEN_TIME.as_millis() as u64
                };
                let length_ms = self
                    .rng
                    .random_range(shortest_ms..=MAX_OPEN_TIME.as_millis() as u64);
                open.push(now + Duration::from_millis(length_ms));
            }
            let wants = if busy {
                account_limit.plus(account_limit)
            } else {
                Amount {
                    open: 1,
                    ..Amount::default()
                }
            };
            demands.push(Demand {
                account,
                wants,
                open: open.len() as u64,
            });
        }
        for (allocator, request) in gateway
            .client
            .requests(clock, &membership, demands.into_iter())
        {
            self.send(now, g, index(&allocator), Message::Request(request));
        }
    }

    /// Returns the sum of what all gateways may use, including those paused or partitioned.
    fn sum(&self, now: Time, account: &AccountId) -> Amount {
        let account_limit = limit(account).expect("a known account");
        let gateways = self.gateways.iter().enumerate();
        gateways
            .filter(|(g, _)| !self.dead[*g])
            .fold(Amount::default(), |sum, (_, g)| {
                let mut amount = g
                    .client
                    .amount(g.clock(now), account, account_limit, GATEWAYS);
                amount.open = g.open.get(account).map_or(0, Vec::len) as u64;
                sum.plus(amount)
            })
    }

    fn check(&self, now: Time) {
        for account in ACCOUNTS.map(AccountId::from) {
            let account_limit = limit(&account).expect("a known account");
            let sum = self.sum(now, &account);
            assert_eq!(
                sum.min_each(account_limit),
                sum,
                "{account} at {now:?}: {sum:?} > {account_limit:?}"
            );
        }
    }
}

/// Runs a schedule and returns the mean part of the large account's token limit that could be used.
fn run_schedule(seed: u64) -> f64 {
    let mut simulation = Simulation::new(seed, true);
    let account = AccountId::from(ACCOUNTS[0]);
    let account_limit = limit(&account).expect("a known account");
    let mut usable = 0;
    for step in 0..STEPS {
        let now = Time::ZERO + STEP * step as u32;
        simulation.step(now);
        usable += simulation.sum(now, &account).tokens;
    }
    usable as f64 / (account_limit.tokens * STEPS) as f64
}

/// Whatever happens to messages, gateways and clocks, all slices together stay within the limits,
/// while a good part of the limits can still be used.
#[test]
fn limits_are_never_exceeded_in_total() {
    let run = |part: u64| -> f64 { (part..SCHEDULES).step_by(4).map(run_schedule).sum() };
    let usable: f64 = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..4).map(|p| scope.spawn(move || run(p))).collect();
        let sums = parts.into_iter().map(|p| p.join());
        sums.map(|s| s.expect("each schedule keeps the limits"))
            .sum()
    });
    let mean = usable / SCHEDULES as f64;
    assert!(mean > 0.25, "only {mean} of the limit could be used");
}

/// A gateway to which all demand moves can use nearly the whole limit within 8 s.
#[test]
fn limits_follow_the_demand() {
    let mut simulation = Simulation::new(1, false);
    let mut now = Time::ZERO;
    for round in 0..12 {
        simulation.busy = round % GATEWAYS;
        for _ in 0..40 {
            now = now + STEP;
            simulation.step(now);
        }
        let gateway = &simulation.gateways[simulation.busy];
        for account in ACCOUNTS.map(AccountId::from) {
            let account_limit = limit(&account).expect("a known account");
            let amount =
                gateway
                    .client
                    .amount(gateway.clock(now), &account, account_limit, GATEWAYS);
            let share = |part: u64, account_limit: u64| part as f64 / account_limit as f64;
            assert!(
                share(amount.requests, account_limit.requests) >= 0.95,
                "{amount:?}"
            );
            assert!(
                share(amount.tokens, account_limit.tokens) >= 0.95,
                "{amount:?}"
            );
            let others = GATEWAYS as u64 - 1;
            assert!(
                amount.open + others >= account_limit.open * 95 / 100,
                "{amount:?}"
            );
        }
    }
}
