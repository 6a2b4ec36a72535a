//! A thread that wakes tasks at given times. The timers of the HTTP library are too coarse for the
//! intervals between tokens.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

use async_channel::Sender;

#[derive(Debug)]
struct Wakeup {
    at: Instant,
    sequence: u64,
    closed_when_due: Sender<()>,
}

impl PartialEq for Wakeup {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Wakeup {}

impl PartialOrd for Wakeup {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Wakeup {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[derive(Debug, Default)]
struct Shared {
    heap: Mutex<(BinaryHeap<Reverse<Wakeup>>, u64)>,
    changed: Condvar,
}

/// Handle of the thread that wakes tasks.
#[derive(Debug, Clone)]
pub struct TimerThread {
    shared: Arc<Shared>,
}

impl TimerThread {
    /// Starts the thread, which runs until the process ends.
    ///
    /// Fails if the system can't start a thread.
    pub fn spawn() -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("pacer".to_owned())
            .spawn(move || run(&thread_shared))?;
        Ok(Self { shared })
    }

    /// Waits until `at`. Returns at once if that time has passed.
    pub async fn sleep_until(&self, at: Instant) {
        let (closed_when_due, wait) = async_channel::bounded(1);
        {
            let mut guard = self
                .shared
                .heap
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            guard.1 += 1;
            let sequence = guard.1;
            guard.0.push(Reverse(Wakeup {
                at,
                sequence,
                closed_when_due,
            }));
        }
        self.shared.changed.notify_one();
        let _ = wait.recv().await;
    }
}

fn run(shared: &Shared) {
    let mut guard = shared.heap.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = Instant::now();
        while guard
            .0
            .peek()
            .is_some_and(|Reverse(wakeup)| wakeup.at <= now)
        {
            if let Some(Reverse(wakeup)) = guard.0.pop() {
                wakeup.closed_when_due.close();
            }
        }
        let wait = guard
            .0
            .peek()
            .map(|Reverse(wakeup)| wakeup.at.saturating_duration_since(now));
        guard = match wait {
            None => shared
                .changed
                .wait(guard)
                .unwrap_or_else(PoisonError::into_inner),
            Some(wait) => {
                let waited = shared.changed.wait_timeout(guard, wait);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
        };
    }
}
