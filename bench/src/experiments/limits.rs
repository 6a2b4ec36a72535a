//! How much of an account's limits can be used while its demand moves between gateways.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::chart::Charts;
use hemlock_lib::claims::Owner;
use hemlock_lib::codec;
use hemlock_lib::gateway::{Arrival, Gateway, GatewayConfig, Hint, Input, Output, Target};
use hemlock_lib::ids::{AccountId, AttemptId, EntryId, Incarnation, RequestId};
use hemlock_lib::slices::{
    Amount, Demand, EntryMembership, REQUEST_INTERVAL, ReplyStamp, SliceClient, SliceReply,
    SliceRequest,
};
use hemlock_lib::table::AccountRow;
use hemlock_lib::time::Time;

use super::Experiment;
use crate::endpoint_set::{DOMAINS, GROUP, Setup};
use crate::figure::{Figure, Options};

const GATEWAYS: usize = 6;
/// Limit on requests a second.
const REQUESTS: f64 = 400.0;
/// Limit on open requests.
const CONCURRENCY: u32 = 150;
/// Requests a second that the busy gateway is offered.
const OFFERED: u64 = 1_000;
/// Time that a request is open.
const SERVICE: Duration = Duration::from_millis(200);
/// Time that the demand stays at one gateway, and the part of it in which slices move.
const STAY_S: u64 = 10;
const MOVING_S: u64 = 2;
/// Gateways that the demand visits.
const VISITS: u64 = 8;
/// Time of a message between gateways.
const DELAY: Duration = Duration::from_millis(2);
const STEP: Duration = Duration::from_millis(1);

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "limits",
    about: "Use of an account's limits while its demand moves between gateways",
    timed: false,
    run,
};

fn run(options: &Options) -> Vec<Figure> {
    let mut world = World::new(options.seed);
    let mut now = Time::ZERO;
    let end = Duration::from_secs(STAY_S * VISITS);
    while now < Time::ZERO + end {
        world.step(now);
        now = now + STEP;
    }
    let usable = |visit: u64| {
        let seconds = visit * STAY_S + MOVING_S..(visit + 1) * STAY_S;
        let admitted: u64 = seconds.clone().filter_map(|s| world.admitted.get(&s)).sum();
        admitted as f64 / (REQUESTS * (seconds.end - seconds.start) as f64)
    };
    // The first visit is spent on finding the homes.
    let least = (1..VISITS).map(usable).fold(f64::INFINITY, f64::min);
    let total: u64 = world.admitted.values().sum();
    let allowed = REQUESTS * (end.as_secs_f64() + 1.0);
    let mut figures = vec![
        Figure::new("limits.usable", least, "of the limit"),
        Figure::new("limits.admitted", total as f64 / allowed, "of the limit"),
        Figure::new(
            "limits.open",
            world.most as f64 / f64::from(CONCURRENCY),
            "of the limit",
        ),
    ];
    for accounts in [10, 100] {
        for members in [7, 60, 180, 380] {
            let name = format!("limits.bytes.{accounts}_accounts.{members}");
            figures.push(Figure::new(name, bytes(members, accounts), "B/s"));
        }
    }
    figures
}

/// Returns the bytes a second of one gateway's asks and, by symmetry, of its replies as a home.
fn bytes(members: usize, accounts: usize) -> f64 {
    let all: Vec<EntryId> = (0..members)
        .map(|i| EntryId::new(format!("entry-{i:03}")))
        .collect();
    let electorate = EntryMembership {
        live: all.clone(),
        all,
    };
    let amount = Amount {
        requests: 40_000,
        tokens: 40_000,
        open: 40,
    };
    let demand = |i: usize| Demand {
        account: AccountId::new(format!("account-{i:02}")),
        wants: amount,
        open: 40,
    };
    let mut user = SliceClient::new("entry-000".into(), Incarnation(1_764_800_000_000));
    user.requests(Time::ZERO, &electorate, std::iter::empty());
    let now = Time::ZERO + Duration::from_secs(3);
    let asks = user.requests(now, &electorate, (0..accounts).map(demand));
    let size = |ask: &SliceRequest| {
        let grants = ask.accounts.iter().map(|a| (a.account.clone(), amount));
        let reply = SliceReply {
            from: ask.to.clone(),
            to: ask.run,
            seq: ask.seq,
            token: ReplyStamp {
                run: ask.run,
                at: now,
            },
            grants: grants.collect(),
        };
        codec::encode(ask).len() + codec::encode(&reply).len()
    };
    let total: usize = asks.iter().map(|(_, ask)| size(ask)).sum();
    total as f64 / REQUEST_INTERVAL.as_secs_f64()
}

enum Message {
    Ask(usize, usize, SliceRequest),
    Reply(usize, SliceReply),
}

struct World {
    gateways: Vec<Gateway>,
    messages: VecDeque<(Time, Message)>,
    running: VecDeque<(Time, usize, RequestId, AttemptId)>,
    admitted: BTreeMap<u64, u64>,
    most: usize,
    next: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let setup = Setup {
            versions: vec![(60, 1.0)],
            slots: 64,
            gateways: GATEWAYS,
            accounts: vec![AccountRow {
                requests: REQUESTS,
                concurrency: CONCURRENCY,
                ..Setup::account("a", 1.0)
            }],
        };
        let view = Arc::new(setup.view());
        let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|i| gateway(i, seed)).collect();
        for gateway in &mut gateways {
            gateway.step(Time::ZERO, Input::View(view.clone()), &mut Vec::new());
        }
        Self {
            gateways,
            messages: VecDeque::new(),
            running: VecDeque::new(),
            admitted: BTreeMap::new(),
            most: 0,
            next: 0,
        }
    }

    fn step(&mut self, now: Time) {
        while self.running.front().is_some_and(|r| r.0 <= now)
            && let Some((_, g, request, attempt)) = self.running.pop_front()
        {
            self.input(now, g, Input::Finished(request, attempt, None));
        }
        while self.messages.front().is_some_and(|m| m.0 <= now)
            && let Some((_, message)) = self.messages.pop_front()
        {
            self.deliver(now, message);
        }
        if now.0.is_multiple_of(REQUEST_INTERVAL.as_micros() as u64) {
            for g in 0..GATEWAYS {
                self.ask(now, g);
            }
        }
        let busy = (now.as_millis() / (STAY_S * 1_000)) as usize % GATEWAYS;
        for _ in 0..OFFERED / 1_000 {
            let arrival = self.arrival(now);
            self.input(now, busy, Input::Arrive(arrival));
        }
        self.most = self.most.max(self.running.len());
    }

    fn ask(&mut self, now: Time, from: usize) {
        for (address, ask) in self.gateways[from].slice_requests(now) {
            let digits = address.chars().filter(char::is_ascii_digit);
            let first: String = digits.take(1).collect();
            let to: usize = first.parse().expect("the address names the entry VM");
            self.messages
                .push_back((now + DELAY, Message::Ask(from, to, ask)));
        }
    }

    fn deliver(&mut self, now: Time, message: Message) {
        match message {
            Message::Ask(from, to, ask) => {
                if let Some(reply) = self.gateways[to].answer_slice_request(now, &ask) {
                    self.messages
                        .push_back((now + DELAY, Message::Reply(from, reply)));
                }
            }
            Message::Reply(to, reply) => self.gateways[to].apply_slice_reply(&reply),
        }
    }

    fn input(&mut self, now: Time, g: usize, input: Input) {
        let mut out = Vec::new();
        self.gateways[g].step(now, input, &mut out);
        for output in out {
            if let Output::Dispatch {
                request, attempt, ..
            } = output
            {
                let second = now.as_millis() / 1_000;
                *self.admitted.entry(second).or_default() += 1;
                self.running.push_back((now + SERVICE, g, request, attempt));
            }
        }
    }

    fn arrival(&mut self, now: Time) -> Arrival {
        self.next += 1;
        Arrival {
            request: RequestId::new(self.next.to_string()),
            key_hash: "a".to_owned(),
            target: Target::Model(GROUP.into()),
            tokens: 100,
            deadline: now + Duration::from_secs(60),
            idempotency_key: None,
            body_fingerprint: String::new(),
            hint: Hint::default(),
        }
    }
}

fn gateway(index: usize, seed: u64) -> Gateway {
    let charts = Charts::built_in().expect("the built-in charts are checked by a test");
    let config = GatewayConfig {
        owner: Owner {
            entry: format!("entry-{index}").as_str().into(),
            run: Incarnation(1),
        },
        domain: DOMAINS[index % DOMAINS.len()].into(),
        queue_limit: 1_000,
        max_key_age: Duration::from_secs(600),
        isolation_timeout: Duration::from_secs(1_000),
        seed: seed * 100 + index as u64,
    };
    Gateway::new(config, &charts).with_slices()
}
