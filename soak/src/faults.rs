//! Faults of a run, drawn from a seed, in series and overlapping.

use std::time::Duration;

use hemlock_platform_standin::{endpoint, store};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::proxy::Link;

/// Part of a run in which faults begin; they end in the next part, and the rest shows the recovery.
const BEGIN_PART: f64 = 0.6;

/// What happens, and to which process or endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An entry VM gets SIGTERM and starts again once it has ended.
    Terminate(usize),
    /// An entry VM is killed and starts again later.
    Kill(usize),
    /// An entry VM stands still.
    Pause(usize),
    /// The store behaves badly for all.
    Store(store::Mode),
    /// An entry VM's way to the store is harmed.
    StoreLink(usize, Link),
    /// The ways to an endpoint are harmed.
    Link(usize, Link),
    /// An endpoint behaves badly.
    Endpoint(usize, endpoint::Mode),
    /// An endpoint is gone, and comes back without what it held.
    Crash(usize),
    /// An endpoint says that it drains, and starts anew later.
    Drain(usize),
    /// A new version of the configuration adds a route.
    Configure,
}

impl Fault {
    /// Returns whether it is planned work, around which no answer may be lost.
    pub fn is_planned(&self) -> bool {
        matches!(self, Self::Terminate(_) | Self::Configure | Self::Drain(_))
    }

    /// Returns whether it harms the store, or an entry VM's way to it.
    pub fn harms_store(&self) -> bool {
        matches!(self, Self::Store(_) | Self::StoreLink(..))
    }

    /// Returns whether it stops an entry VM's process.
    pub fn harms_node(&self) -> bool {
        matches!(self, Self::Kill(_) | Self::Pause(_) | Self::Terminate(_))
    }
}

/// A fault with its times from the start of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    pub at: Duration,
    pub until: Duration,
    pub fault: Fault,
}

/// Draws the faults of a run of this length.
pub fn draw(
    rng: &mut SmallRng,
    fault_period: Duration,
    nodes: usize,
    endpoints: usize,
) -> Vec<Planned> {
    let mut planned: Vec<Planned> = Vec::new();
    let mut at = Duration::from_secs(1);
    while at < fault_period.mul_f64(BEGIN_PART) {
        let fault = one(rng, nodes, endpoints);
        let lasts = Duration::from_millis(rng.random_range(300..2_500));
        // Of one thing, a fault begins after the last one has ended.
        let busy = |p: &&Planned| same_thing(&p.fault, &fault) && p.until > at;
        if !planned.iter().any(|p| busy(&p)) {
            planned.push(Planned {
                at,
                until: at + lasts,
                fault,
            });
        }
        at += Duration::from_millis(rng.random_range(50..900));
    }
    planned
}

fn same_thing(a: &Fault, b: &Fault) -> bool {
    use Fault::{Crash, Drain, Endpoint, Kill, Link, Pause, Store, StoreLink, Terminate};
    match (a, b) {
        (Terminate(a) | Kill(a) | Pause(a), Terminate(b) | Kill(b) | Pause(b)) => a == b,
        (Store(_), Store(_)) => true,
        (StoreLink(a, _), StoreLink(b, _)) => a == b,
        (
            Link(a, _) | Endpoint(a, _) | Crash(a) | Drain(a),
            Link(b, _) | Endpoint(b, _) | Crash(b) | Drain(b),
        ) => a == b,
        _ => false,
    }
}

fn one(rng: &mut SmallRng, nodes: usize, endpoints: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let endpoint = rng.random_range(0..endpoints);
    match rng.random_range(0..14) {
        0 | 1 => Fault::Terminate(node),
        2 => Fault::Kill(node),
        3 => Fault::Pause(node),
        4 => Fault::Store(match rng.random_range(0..5) {
            0 => store::Mode::Refuse(503),
            1 => store::Mode::Refuse(429),
            2 => store::Mode::Silent,
            3 => store::Mode::Garble,
            _ => store::Mode::LoseReplies,
        }),
        5 => Fault::StoreLink(node, link(rng)),
        6 | 7 => Fault::Link(endpoint, link(rng)),
        8 | 9 => Fault::Endpoint(endpoint, behaviour(rng)),
        10 | 11 => Fault::Crash(endpoint),
        12 => Fault::Drain(endpoint),
        _ => Fault::Configure,
    }
}

fn link(rng: &mut SmallRng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Delay(Duration::from_millis(rng.random_range(20..200))),
        1 => Link::CutForth,
        2 => Link::CutBack,
        3 => Link::Silent,
        _ => Link::Reset,
    }
}

fn behaviour(rng: &mut SmallRng) -> endpoint::Mode {
    match rng.random_range(0..9) {
        0 => endpoint::Mode::Full,
        1 => endpoint::Mode::LoseAnswers,
        2 => endpoint::Mode::Mute,
        3 => endpoint::Mode::Foreign,
        4 => endpoint::Mode::Extra,
        5 => endpoint::Mode::Cut(rng.random_range(0..20)),
        6 => endpoint::Mode::Stall(rng.random_range(0..20)),
        7 => endpoint::Mode::Unsigned,
        _ => endpoint::Mode::Torn,
    }
}
