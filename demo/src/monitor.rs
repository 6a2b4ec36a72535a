//! Measures group downtime and stranded accelerators from an agent's view.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use hemlock_lib::ids::GroupId;
use hemlock_lib::platform::VmRole;
use hemlock_lib::view::{Health, View};
use hemlock_wire::view_watcher;

/// Figures gathered so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Figures {
    /// Replica-seconds that wanted replicas did not serve.
    pub(crate) downtime: f64,
    /// VM-seconds of healthy VMs outside any serving replica.
    pub(crate) stranded: f64,
    serving: u32,
    wanted: u32,
    idle: u32,
    last: Option<Instant>,
    stop: bool,
}

/// A thread that follows the view.
#[derive(Debug)]
pub(crate) struct Monitor {
    figures: Arc<Mutex<Figures>>,
    thread: JoinHandle<()>,
}

impl Monitor {
    pub(crate) fn spawn(agent: String, group: &str) -> io::Result<Self> {
        let figures = Arc::new(Mutex::new(Figures::default()));
        let own = Arc::clone(&figures);
        let group = GroupId::new(group);
        let thread = view_watcher::spawn("demo-monitor", agent, move |view| {
            let mut figures = lock(&own);
            if let Some(view) = view {
                figures.take(&view, &group);
            }
            !figures.stop
        })?;
        Ok(Self { figures, thread })
    }

    /// Returns the replicas serving and wanted.
    pub(crate) fn serving(&self) -> (u32, u32) {
        let figures = lock(&self.figures);
        (figures.serving, figures.wanted)
    }

    /// Starts the sums afresh.
    pub(crate) fn reset(&self) {
        let mut figures = lock(&self.figures);
        figures.downtime = 0.0;
        figures.stranded = 0.0;
        figures.last = Some(Instant::now());
    }

    /// Stops the thread and returns the figures.
    pub(crate) fn finish(self) -> Figures {
        lock(&self.figures).stop = true;
        let _ = self.thread.join();
        lock(&self.figures).clone()
    }
}

impl Figures {
    fn take(&mut self, view: &View, group: &GroupId) {
        let now = Instant::now();
        if let Some(last) = self.last {
            let passed = (now - last).as_secs_f64();
            self.downtime += passed * f64::from(self.wanted.saturating_sub(self.serving));
            self.stranded += passed * f64::from(self.idle);
        }
        self.last = Some(now);
        self.wanted = view.table.group(group).map_or(0, |g| g.replicas);
        let serving: Vec<_> = view
            .replicas()
            .filter(|(id, a)| a.group == *group && view.is_serving(id, a))
            .collect();
        self.serving = serving.len() as u32;
        let used: usize = serving.iter().map(|(_, a)| a.vms.len()).sum();
        let healthy = view
            .vms
            .values()
            .filter(|s| s.listing.role == VmRole::Engine && s.health == Health::Live)
            .count();
        self.idle = healthy.saturating_sub(used) as u32;
    }
}

fn lock(figures: &Mutex<Figures>) -> MutexGuard<'_, Figures> {
    figures.lock().unwrap_or_else(PoisonError::into_inner)
}
