//! Schedules in which sound endpoints pause, while the configuration changes all along.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::{PLAIN_ENDPOINTS, SPARE_ENDPOINTS};
use crate::faults::{Fault, ScheduledFault};

/// Time of the first pause and of the first signals.
const FIRST_TIME: Duration = Duration::from_millis(1_500);
/// Longest pause of an endpoint, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_000;
/// Share of the seeds in which plain endpoints pause too.
const PLAIN_SHARE: f64 = 0.4;
/// Share of the endpoints that pause, where not all do.
const PARTIAL_SHARE: f64 = 0.6;
/// Share of the seeds with a series of SIGTERMs.
const TERMINATION_SHARE: f64 = 0.4;

/// Draws the pauses, versions and signals of a run.
pub(crate) fn draw(
    seed: u64,
    fault_period: Duration,
    nodes: usize,
    endpoints: usize,
) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
    let mut scheduled = Vec::new();
    draw_pauses(&mut rng, fault_period, endpoints, &mut scheduled);
    let mut at = Duration::from_millis(500);
    while at < fault_period {
        scheduled.push(moment(at, Fault::Configure));
        at += millis(&mut rng, 200, 1_000);
    }
    at = FIRST_TIME;
    while at < fault_period {
        let step = millis(&mut rng, 20, 300);
        let series = (0..nodes).map(|n| moment(at + step * n as u32, Fault::HangUp(n)));
        scheduled.extend(series);
        at += step * nodes as u32 + millis(&mut rng, 1_000, 4_000);
    }
    if rng.random_bool(TERMINATION_SHARE) {
        at = fault_period.mul_f64(rng.random_range(0.1..0.5));
        for node in 0..nodes {
            if at < fault_period {
                scheduled.push(moment(at, Fault::Terminate(node)));
            }
            at += millis(&mut rng, 800, 2_000);
        }
    }
    scheduled
}

/// Draws pauses of all engines, of some, of all endpoints or of the plain ones, one after the other.
fn draw_pauses(
    rng: &mut SmallRng,
    fault_period: Duration,
    endpoints: usize,
    scheduled: &mut Vec<ScheduledFault>,
) {
    let engines_end = endpoints - SPARE_ENDPOINTS;
    let with_plain = rng.random_bool(PLAIN_SHARE);
    let mut at = FIRST_TIME;
    while at < fault_period {
        let until = at + millis(rng, 300, MAX_PAUSE_MS);
        let kinds = if with_plain { 4 } else { 2 };
        let (first, end, share) = match rng.random_range(0..kinds) {
            0 => (PLAIN_ENDPOINTS, engines_end, 1.0),
            1 => (PLAIN_ENDPOINTS, engines_end, PARTIAL_SHARE),
            2 => (0, endpoints, 1.0),
            _ => (0, PLAIN_ENDPOINTS, 1.0),
        };
        for endpoint in first..end {
            if rng.random_bool(share) {
                scheduled.push(ScheduledFault {
                    at,
                    until,
                    fault: Fault::Hold(endpoint),
                });
            }
        }
        at = until + millis(rng, 1_000, 3_500);
    }
}

fn moment(at: Duration, fault: Fault) -> ScheduledFault {
    ScheduledFault {
        at,
        until: at,
        fault,
    }
}

fn millis(rng: &mut SmallRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..=to))
}
