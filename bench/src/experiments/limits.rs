//! Share of a client account's limits that can be used while its demand moves between gateways.

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

/// Number of gateways.
const GATEWAYS: usize = 6;
/// Limit of the account in requests a second.
const REQUEST_LIMIT: f64 = 400.0;
/// Limit of the account in open requests.
const OPEN_LIMIT: u32 = 150;
/// Requests a second that arrive at the gateway with the demand.
const OFFERED_PER_S: u64 = 1_000;
/// Time until a request finishes.
const REQUEST_DURATION: Duration = Duration::from_millis(200);
/// Seconds that the demand stays at one gateway.
const STAY_S: u64 = 10;
/// Seconds at the start of each stay that are not measured, since slices move to the gateway.
const UNMEASURED_S: u64 = 2;
/// Number of stays of the demand, at one gateway after the other.
const STAYS: u64 = 8;
/// Delay of a message between gateways.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// Virtual time of one step.
const STEP: Duration = Duration::from_millis(1);

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "limits",
    about: "Use of a client account's limits while its demand moves between gateways",
    timed: false,
    run,
};

fn run(options: &Options) -> Vec<Figure> {
    let mut simulation = Simulation::new(options.seed);
    let mut now = Time::ZERO;
    let end = Duration::from_secs(STAY_S * STAYS);
    while now < Time::ZERO + end {
        simulation.step(now);
        now = now + STEP;
    }
    let usable = |stay: u64| {
        let seconds = stay * STAY_S + UNMEASURED_S..(stay + 1) * STAY_S;
        let admitted: u64 = seconds
            .clone()
            .filter_map(|s| simulation.admitted.get(&s))
            .sum();
        admitted as f64 / (REQUEST_LIMIT * (seconds.end - seconds.start) as f64)
    };
    // During the first stay, the gateways still have to find the slice allocators.
    let min_usable = (1..STAYS).map(usable).fold(f64::INFINITY, f64::min);
    let total: u64 = simulation.admitted.values().sum();
    let allowed = REQUEST_LIMIT * (end.as_secs_f64() + 1.0);
    let mut figures = vec![
        Figure::new("limits.usable", min_usable, "of the limit"),
        Figure::new("limits.admitted", total as f64 / allowed, "of the limit"),
        Figure::new(
            "limits.open",
            simulation.max_open as f64 / f64::from(OPEN_LIMIT),
            "of the limit",
        ),
    ];
    for accounts in [10, 100] {
        for members in [7, 60, 180, 380] {
            let name = format!("limits.bytes.{accounts}_accounts.{members}");
            figures.push(Figure::new(
                name,
                slice_bytes_per_s(members, accounts),
                "B/s",
            ));
        }
    }
    figures
}

/// Returns the bytes a second of one gateway's slice requests and of the replies to them. By symmetry,
/// it sends as many replies as a slice allocator.
fn slice_bytes_per_s(members: usize, accounts: usize) -> f64 {
    let all: Vec<EntryId> = (0..members)
        .map(|i| EntryId::new(format!("entry-{i:03}")))
        .collect();
    let membership = EntryMembership {
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
    let mut client = SliceClient::new("entry-000".into(), Incarnation(1_764_800_000_000));
    client.requests(Time::ZERO, &membership, std::iter::empty());
    let now = Time::ZERO + Duration::from_secs(3);
    let requests = client.requests(now, &membership, (0..accounts).map(demand));
    let size = |request: &SliceRequest| {
        let grants = request.accounts.iter().map(|a| (a.account.clone(), amount));
        let reply = SliceReply {
            from: request.to.clone(),
            to: request.run,
            seq: request.seq,
            token: ReplyStamp {
                run: request.run,
                at: now,
            },
            grants: grants.collect(),
        };
        codec::encode(request).len() + codec::encode(&reply).len()
    };
    let total: usize = requests.iter().map(|(_, request)| size(request)).sum();
    total as f64 / REQUEST_INTERVAL.as_secs_f64()
}

enum Message {
    Request(usize, usize, SliceRequest),
    Reply(usize, SliceReply),
}

struct Simulation {
    gateways: Vec<Gateway>,
    messages: VecDeque<(Time, Message)>,
    running: VecDeque<(Time, usize, RequestId, AttemptId)>,
    admitted: BTreeMap<u64, u64>,
    max_open: usize,
    next: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let setup = Setup {
            versions: vec![(60, 1.0)],
            slots: 64,
            gateways: GATEWAYS,
            accounts: vec![AccountRow {
                requests: REQUEST_LIMIT,
                concurrency: OPEN_LIMIT,
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
            max_open: 0,
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
                self.send_slice_requests(now, g);
            }
        }
        let busy = (now.as_millis() / (STAY_S * 1_000)) as usize % GATEWAYS;
        for _ in 0..OFFERED_PER_S / 1_000 {
            let arrival = self.arrival(now);
            self.input(now, busy, Input::Arrive(arrival));
        }
        self.max_open = self.max_open.max(self.running.len());
    }

    fn send_slice_requests(&mut self, now: Time, from: usize) {
        for (address, request) in self.gateways[from].slice_requests(now) {
            let digits = address.chars().filter(char::is_ascii_digit);
            let first: String = digits.take(1).collect();
            let to: usize = first
                .parse()
                .expect("the address holds the index of the entry VM");
            self.messages
                .push_back((now + MESSAGE_DELAY, Message::Request(from, to, request)));
        }
    }

    fn deliver(&mut self, now: Time, message: Message) {
        match message {
            Message::Request(from, to, request) => {
                if let Some(reply) = self.gateways[to].answer_slice_request(now, &request) {
                    self.messages
                        .push_back((now + MESSAGE_DELAY, Message::Reply(from, reply)));
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
                self.running
                    .push_back((now + REQUEST_DURATION, g, request, attempt));
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
    let charts = Charts::built_in().expect("the built-in charts are valid");
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
