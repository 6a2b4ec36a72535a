//! Delivers tokens at their due times from one thread; the HTTP library's timers step too coarsely.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

use async_channel::Sender;

#[derive(Debug)]
struct Due {
    at: Instant,
    order: u64,
    done: Sender<()>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug, Default)]
struct Shared {
    heap: Mutex<(BinaryHeap<Reverse<Due>>, u64)>,
    changed: Condvar,
}

/// A thread that wakes tasks at exact times.
#[derive(Debug, Clone)]
pub struct TimerThread {
    shared: Arc<Shared>,
}

impl TimerThread {
    /// Starts the thread; it runs as long as the process.
    pub fn spawn() -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let own = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("pacer".to_owned())
            .spawn(move || run(&own))?;
        Ok(Self { shared })
    }

    /// Waits until `at`.
    pub async fn sleep_until(&self, at: Instant) {
        let (done, wait) = async_channel::bounded(1);
        {
            let mut guard = self
                .shared
                .heap
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            guard.1 += 1;
            let order = guard.1;
            guard.0.push(Reverse(Due { at, order, done }));
        }
        self.shared.changed.notify_one();
        let _ = wait.recv().await;
    }
}

fn run(shared: &Shared) {
    let mut guard = shared.heap.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = Instant::now();
        while guard.0.peek().is_some_and(|Reverse(due)| due.at <= now) {
            if let Some(Reverse(due)) = guard.0.pop() {
                due.done.close();
            }
        }
        let wait = guard
            .0
            .peek()
            .map(|Reverse(due)| due.at.saturating_duration_since(now));
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
