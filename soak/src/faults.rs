//! Faults of a run, drawn from a seed. Faults with different targets may overlap.

use std::time::Duration;

use hemlock_platform_standin::{endpoint, store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use hemlock_platform_standin::proxy::Link;

use crate::pauses;

/// Share of the fault period in which faults begin; the rest is left for them to end.
const BEGIN_SHARE: f64 = 0.6;

/// One seed in this many has requests with a crashing part, which excuse much else.
const CRASHING_PART_SEEDS: u64 = 3;
/// Share of the fault period after which requests with a crashing part end.
const CRASHING_PART_SHARE: f64 = 0.8;
/// Share of the fault period after which the last cut begins.
const LAST_CUT_SHARE: f64 = 0.8;
/// Share of the seeds with a series of signals that stops all entry VMs.
const TERMINATION_SERIES_SHARE: f64 = 0.4;
/// Share of the endpoints that announce a limit at some time.
const LIMITED_SHARE: f64 = 0.6;
/// Share of the endpoints that turn cold at the same time.
const COLD_SHARE: f64 = 0.4;
/// Interval between the signals of a series that stops all entry VMs.
const TERMINATION_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two series of stops, longer than a stop takes.
const SERIES_INTERVAL: Duration = Duration::from_millis(8_500);
/// Number of zones.
pub const ZONES: usize = 2;
/// Interval between changes of the configuration around a return of the store.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// A fault, with the index of the entry VM or endpoint that it affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The process of an entry VM gets SIGTERM and is restarted once it has exited.
    Terminate(usize),
    /// The process of an entry VM gets SIGKILL and is restarted at the end of the fault.
    Kill(usize),
    /// The process of an entry VM is suspended by SIGSTOP.
    Pause(usize),
    /// The store misbehaves towards all its clients.
    Store(store::Mode),
    /// The store refuses all calls, and then comes back from a copy that was taken this long before.
    Restore(Duration),
    /// The link between an entry VM and the store is disturbed.
    StoreLink(usize, Link),
    /// The links to an endpoint are disturbed.
    Link(usize, Link),
    /// The links between an entry VM and all endpoints are cut.
    Cut(usize, Link),
    /// An endpoint misbehaves.
    Endpoint(usize, endpoint::Mode),
    /// An endpoint announces a limit, in tenths of a request a second.
    Limit(usize, u32),
    /// An endpoint turns cold, for as long as the fault lasts.
    TurnCold(usize, Duration),
    /// An endpoint disappears, and restarts without its state at the end of the fault.
    Crash(usize),
    /// An endpoint announces that it drains, and restarts at the end of the fault.
    Drain(usize),
    /// Callers send requests with a part that crashes engines when they begin to answer.
    CrashingPart,
    /// A new version of the configuration adds a route.
    Configure,
    /// Bytes from an endpoint are held back, and pass at the end of the fault.
    Hold(usize),
    /// The process of an entry VM gets SIGHUP, and its settings have not changed.
    HangUp(usize),
    /// The operators evacuate the zone with this number, and take it back at the end of the fault.
    Evacuate(usize),
}

impl Fault {
    /// Returns whether this is maintenance, during which no response may be lost.
    pub fn is_maintenance(&self) -> bool {
        matches!(
            self,
            Self::Terminate(_)
                | Self::Configure
                | Self::Drain(_)
                | Self::HangUp(_)
                | Self::Evacuate(_)
        )
    }

    /// Returns whether this disturbs the store, or an entry VM's link to it.
    pub fn disturbs_store(&self) -> bool {
        matches!(
            self,
            Self::Store(_) | Self::StoreLink(..) | Self::Restore(_)
        )
    }

    /// Returns whether this stops or suspends an entry VM's process.
    pub fn stops_node(&self) -> bool {
        matches!(self, Self::Kill(_) | Self::Pause(_) | Self::Terminate(_))
    }
}

/// A fault, with the times of its start and end since the start of the fault period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    pub at: Duration,
    pub until: Duration,
    pub fault: Fault,
}

/// Kinds of faults in a run. Adding kinds to a set would change the faults of its seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultSet {
    /// Faults that lose nothing of what the store has acknowledged.
    Basic,
    /// Also stores that come back from an older copy, and parts of prompts that crash engines.
    All,
    /// Also cuts of entry VMs from all endpoints, and series of SIGTERMs over all entry VMs.
    Cuts,
    /// Also endpoints that announce limits, and callers that leave before they have their responses.
    Limits,
    /// All entry VMs are stopped one after the other, again and again, and nothing else happens, so
    /// that no lost response is excused.
    Stops,
    /// Faults of the first set beside evacuations of zones, and in half of the seeds stores that come
    /// back from an older copy.
    Evacuations,
    /// Sound endpoints pause, beside versions, SIGHUPs and in some seeds SIGTERMs, and nothing else
    /// happens, so that no lost response is excused.
    Pauses,
    /// As basic, and endpoints are cold after a start and at other times.
    WarmUps,
}

/// Draws the faults of a run.
pub fn draw_schedule(
    seed: u64,
    fault_set: FaultSet,
    fault_period: Duration,
    nodes: usize,
    endpoints: usize,
) -> Vec<ScheduledFault> {
    match fault_set {
        FaultSet::Stops => return draw_stops(seed, fault_period, nodes),
        FaultSet::Pauses => return pauses::draw(seed, fault_period, nodes, endpoints),
        FaultSet::Basic
        | FaultSet::All
        | FaultSet::Cuts
        | FaultSet::Limits
        | FaultSet::WarmUps
        | FaultSet::Evacuations => {}
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut scheduled: Vec<ScheduledFault> = Vec::new();
    // A store that comes back excuses all VMs for seconds, so half of the seeds with cuts have none.
    let loses_records = match fault_set {
        FaultSet::Basic | FaultSet::Stops | FaultSet::Pauses | FaultSet::WarmUps => false,
        FaultSet::All => true,
        FaultSet::Cuts | FaultSet::Limits | FaultSet::Evacuations => seed.is_multiple_of(2),
    };
    if loses_records {
        draw_restores(seed, fault_period, &mut scheduled);
        if seed.is_multiple_of(CRASHING_PART_SEEDS) && fault_set != FaultSet::Evacuations {
            scheduled.push(ScheduledFault {
                at: Duration::from_secs(1),
                until: fault_period.mul_f64(CRASHING_PART_SHARE),
                fault: Fault::CrashingPart,
            });
        }
    }
    if matches!(fault_set, FaultSet::Cuts | FaultSet::Limits) {
        draw_cuts(seed, fault_period, nodes, &mut scheduled);
    }
    if fault_set == FaultSet::Evacuations {
        draw_evacuations(seed, fault_period, &mut scheduled);
    }
    if fault_set == FaultSet::Limits {
        draw_limits(seed, fault_period, endpoints, &mut scheduled);
    }
    if fault_set == FaultSet::WarmUps {
        draw_warm_ups(seed, fault_period, endpoints, &mut scheduled);
    }
    let mut at = Duration::from_secs(1);
    while at < fault_period.mul_f64(BEGIN_SHARE) {
        let fault = draw_fault(&mut rng, nodes, endpoints);
        let duration = Duration::from_millis(rng.random_range(300..2_500));
        // A target has at most one fault at a time, so a fault that would overlap is skipped.
        let overlaps = |p: &&ScheduledFault| have_same_target(&p.fault, &fault) && p.until > at;
        if !scheduled.iter().any(|p| overlaps(&p)) {
            scheduled.push(ScheduledFault {
                at,
                until: at + duration,
                fault,
            });
        }
        at += Duration::from_millis(rng.random_range(50..900));
    }
    scheduled
}

/// Draws the times of stops of all entry VMs in series.
fn draw_stops(seed: u64, fault_period: Duration, nodes: usize) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = Duration::from_secs(1);
    let mut scheduled = Vec::new();
    while at < fault_period.mul_f64(BEGIN_SHARE) {
        for node in 0..nodes {
            scheduled.push(ScheduledFault {
                at,
                until: at,
                fault: Fault::Terminate(node),
            });
            at += Duration::from_millis(rng.random_range(50..500));
        }
        at += SERIES_INTERVAL;
    }
    scheduled
}

/// Draws one or two times at which the store comes back from an older copy. It loses some changes of
/// the configuration, and others follow, which may end at the same offset.
fn draw_restores(seed: u64, fault_period: Duration, scheduled: &mut Vec<ScheduledFault>) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut at = Duration::from_secs(1);
    for _ in 0..rng.random_range(1..=2) {
        at += fault_period.mul_f64(rng.random_range(0.05..0.3));
        let outage = Duration::from_millis(rng.random_range(50..1_000));
        let age = outage + Duration::from_millis(rng.random_range(600..2_500));
        let mut add_changes = |mut at: Duration, count: u32| {
            for _ in 0..count {
                scheduled.push(ScheduledFault {
                    at,
                    until: at + CHANGE_INTERVAL,
                    fault: Fault::Configure,
                });
                at += CHANGE_INTERVAL;
            }
        };
        add_changes(at - CHANGE_INTERVAL * 4, 3);
        add_changes(at + outage + CHANGE_INTERVAL, rng.random_range(1..=3));
        scheduled.push(ScheduledFault {
            at,
            until: at + outage,
            fault: Fault::Restore(age),
        });
        at += outage + age;
    }
}

/// Draws cuts of one entry VM, of a zone or of nearly all, one after the other, the last one when
/// most other faults have ended. Some seeds have a series of SIGTERMs over all entry VMs.
fn draw_cuts(seed: u64, fault_period: Duration, nodes: usize, scheduled: &mut Vec<ScheduledFault>) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut at = Duration::from_millis(rng.random_range(500..2_000));
    while at < fault_period.mul_f64(BEGIN_SHARE) {
        let until = at + Duration::from_millis(rng.random_range(4_500..7_000));
        scheduled.extend(draw_cut(&mut rng, at, until, nodes));
        at = until + Duration::from_millis(rng.random_range(300..2_000));
    }
    at = at.max(fault_period.mul_f64(LAST_CUT_SHARE));
    let until = at + Duration::from_millis(rng.random_range(5_500..7_500));
    scheduled.extend(draw_cut(&mut rng, at, until, nodes));
    if rng.random_bool(TERMINATION_SERIES_SHARE) {
        let begin = fault_period.mul_f64(rng.random_range(0.1..0.4));
        scheduled.extend((0..nodes).map(|node| {
            let at = begin + TERMINATION_INTERVAL * node as u32;
            ScheduledFault {
                at,
                until: at + TERMINATION_INTERVAL,
                fault: Fault::Terminate(node),
            }
        }));
    }
}

/// Draws evacuations of each zone, one after the other, so that both may be evacuated at the same
/// time.
fn draw_evacuations(seed: u64, fault_period: Duration, scheduled: &mut Vec<ScheduledFault>) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
    for zone in 1..=ZONES {
        let mut at = Duration::from_millis(rng.random_range(500..4_000));
        while at < fault_period.mul_f64(BEGIN_SHARE) {
            let until = at + Duration::from_millis(rng.random_range(3_500..7_000));
            scheduled.push(ScheduledFault {
                at,
                until,
                fault: Fault::Evacuate(zone),
            });
            at = until + Duration::from_millis(rng.random_range(1_500..4_000));
        }
    }
}

/// Draws limits of endpoints, one after the other for each, so that they overlap.
fn draw_limits(
    seed: u64,
    fault_period: Duration,
    endpoints: usize,
    scheduled: &mut Vec<ScheduledFault>,
) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(16));
    for endpoint in 0..endpoints {
        if !rng.random_bool(LIMITED_SHARE) {
            continue;
        }
        let at = fault_period.mul_f64(rng.random_range(0.0..BEGIN_SHARE));
        scheduled.push(ScheduledFault {
            at,
            until: at + Duration::from_millis(rng.random_range(5_000..10_000)),
            fault: Fault::Limit(endpoint, rng.random_range(2..60)),
        });
    }
}

/// Draws when endpoints turn cold, many of them at once.
fn draw_warm_ups(
    seed: u64,
    fault_period: Duration,
    endpoints: usize,
    scheduled: &mut Vec<ScheduledFault>,
) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
    let mut at = Duration::from_secs(1);
    while at < fault_period.mul_f64(BEGIN_SHARE) {
        for endpoint in 0..endpoints {
            if !rng.random_bool(COLD_SHARE) {
                continue;
            }
            let time = Duration::from_millis(rng.random_range(2_500..4_000));
            scheduled.push(ScheduledFault {
                at,
                until: at + time,
                fault: Fault::TurnCold(endpoint, time),
            });
        }
        at += Duration::from_millis(rng.random_range(4_500..6_000));
    }
}

/// Draws which entry VMs are cut, and how.
fn draw_cut(
    rng: &mut SmallRng,
    at: Duration,
    until: Duration,
    nodes: usize,
) -> impl Iterator<Item = ScheduledFault> + use<> {
    let node = rng.random_range(0..nodes);
    let link = match rng.random_range(0..5) {
        0 => Link::CutForth,
        1 => Link::CutBack,
        2 => Link::Silent,
        3 => Link::Reset,
        _ => Link::RefuseNew,
    };
    let is_cut: fn(usize, usize) -> bool = match rng.random_range(0..3) {
        0 => |n, node| n == node,
        1 => |n, node| zone_of(n) == zone_of(node),
        _ => |n, node| n != node,
    };
    let cut = (0..nodes).filter(move |n| is_cut(*n, node));
    cut.map(move |n| ScheduledFault {
        at,
        until,
        fault: Fault::Cut(n, link),
    })
}

/// Returns the number of the zone of an entry VM, or of an endpoint where these have several zones.
pub fn zone_of(index: usize) -> usize {
    index % ZONES + 1
}

fn have_same_target(a: &Fault, b: &Fault) -> bool {
    use Fault::{Crash, Drain, Endpoint, Kill, Link, Pause, Restore, Store, StoreLink, Terminate};
    match (a, b) {
        (Terminate(a) | Kill(a) | Pause(a), Terminate(b) | Kill(b) | Pause(b)) => a == b,
        (Store(_) | Restore(_), Store(_) | Restore(_)) => true,
        (StoreLink(a, _), StoreLink(b, _)) => a == b,
        (
            Link(a, _) | Endpoint(a, _) | Crash(a) | Drain(a),
            Link(b, _) | Endpoint(b, _) | Crash(b) | Drain(b),
        ) => a == b,
        _ => false,
    }
}

fn draw_fault(rng: &mut SmallRng, nodes: usize, endpoints: usize) -> Fault {
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
        5 => Fault::StoreLink(node, draw_link(rng)),
        6 | 7 => Fault::Link(endpoint, draw_link(rng)),
        8 | 9 => Fault::Endpoint(endpoint, draw_endpoint_mode(rng)),
        10 | 11 => Fault::Crash(endpoint),
        12 => Fault::Drain(endpoint),
        _ => Fault::Configure,
    }
}

fn draw_link(rng: &mut SmallRng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Delay(Duration::from_millis(rng.random_range(20..200))),
        1 => Link::CutForth,
        2 => Link::CutBack,
        3 => Link::Silent,
        _ => Link::Reset,
    }
}

fn draw_endpoint_mode(rng: &mut SmallRng) -> endpoint::Mode {
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
