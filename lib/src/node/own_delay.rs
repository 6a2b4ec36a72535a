//! How late this VM itself was: for how long it was not run, by the delay of its own timers.
//!
//! What others sent meanwhile was not read, so that time is left out when they are judged by their
//! silence.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use crate::time::Time;

/// Delay from which a timer counts as late.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Longest time after a delay in which what has arrived is read.
const READ_TIME: Duration = Duration::from_millis(50);
/// Number of delays that are kept.
const MAX_GAPS: usize = 128;

/// The time for which this VM was not run, measured by a timer that it sets again and again. Clones
/// share it.
#[derive(Debug, Clone, Default)]
pub struct OwnDelay(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    /// The timer that is set, if any.
    timer: Option<Timer>,
    /// Times in which this VM was not run or read what had arrived, in their order. They don't
    /// overlap.
    gaps: VecDeque<Gap>,
}

#[derive(Debug, Clone, Copy)]
struct Timer {
    set: Time,
    due: Time,
}

#[derive(Debug, Clone, Copy)]
struct Gap {
    start: Time,
    end: Time,
}

impl OwnDelay {
    /// Records that the measuring timer was set.
    pub fn record_set(&self, now: Time, interval: Duration) {
        self.0.borrow_mut().timer = Some(Timer {
            set: now,
            due: now + interval,
        });
    }

    /// Records that the measuring timer has fired; returns its delay.
    pub fn record_fired(&self, now: Time) -> Duration {
        let mut state = self.0.borrow_mut();
        let Some(timer) = state.timer.take() else {
            return Duration::ZERO;
        };
        if let Some(gap) = timer.gap(now) {
            state.record(gap);
        }
        now.since(timer.due)
    }

    /// Returns for how long this VM was not run, or read what had arrived meanwhile, between two
    /// times.
    pub fn not_run(&self, since: Time, now: Time) -> Duration {
        let state = self.0.borrow();
        let pending = state.timer.and_then(|t| t.gap(now));
        let end = state.gaps.back().map_or(Time::default(), |g| g.end);
        let pending = pending.map(|g| Gap {
            start: g.start.max(end),
            ..g
        });
        let gaps = state.gaps.iter().copied().chain(pending);
        gaps.map(|g| g.end.min(now).since(g.start.max(since))).sum()
    }

    /// Returns whether a silence since `since` is shorter than `limit`, without the time for which
    /// this VM was not run.
    pub fn is_within(&self, since: Time, now: Time, limit: Duration) -> bool {
        now.since(since) < limit || self.silence(since, now) < limit
    }

    /// Returns how long ago `since` was, without the time for which this VM was not run.
    pub fn silence(&self, since: Time, now: Time) -> Duration {
        now.since(since).saturating_sub(self.not_run(since, now))
    }
}

/// Returns for how much longer a wait that may last for `limit` goes on, if its timer fired with a
/// delay: what has arrived meanwhile is read first. `granted` is the sum of earlier extensions.
pub fn extension(limit: Duration, granted: Duration, delay: Duration) -> Option<Duration> {
    let extension = delay.min(limit.saturating_sub(granted));
    (delay >= MIN_DELAY && !extension.is_zero()).then_some(extension)
}

impl State {
    fn record(&mut self, gap: Gap) {
        let start = self.gaps.back().map_or(gap.start, |g| g.end.max(gap.start));
        if start >= gap.end {
            return;
        }
        if self.gaps.len() >= MAX_GAPS {
            self.gaps.pop_front();
        }
        self.gaps.push_back(Gap { start, ..gap });
    }
}

impl Timer {
    /// Returns the time in which this VM was not run or reads what has arrived, if the timer fires
    /// now and is late. The VM may have been stopped before the timer was due.
    fn gap(self, now: Time) -> Option<Gap> {
        let delay = now.since(self.due);
        let before = delay.min(self.due.since(self.set));
        (delay >= MIN_DELAY).then(|| Gap {
            start: self.due - before,
            end: now + delay.min(READ_TIME),
        })
    }
}
