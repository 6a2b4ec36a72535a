//! Measures the downtime of a group and stranded accelerators from the view of an agent.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use hemlock_lib::ids::GroupId;
use hemlock_lib::platform::VmRole;
use hemlock_lib::view::{Health, View};
use hemlock_wire::view_watcher;

/// Measurements since the last reset.
#[derive(Debug, Clone, Default)]
pub(crate) struct Measurements {
    /// Time that wanted replicas did not serve, in replica-seconds.
    pub(crate) downtime: f64,
    /// Time that live engine VMs were in no serving replica, in VM-seconds.
    pub(crate) stranded: f64,
    /// Replicas that served at the last update.
    serving: u32,
    /// Replicas that the table wanted at the last update.
    wanted: u32,
    /// Live engine VMs that were in no serving replica at the last update.
    stranded_vms: u32,
    /// Time of the last update or reset.
    updated_at: Option<Instant>,
    stop: bool,
}

/// Thread that updates the measurements at each change of the view.
#[derive(Debug)]
pub(crate) struct Monitor {
    measurements: Arc<Mutex<Measurements>>,
    thread: JoinHandle<()>,
}

impl Monitor {
    pub(crate) fn spawn(agent: String, group: &str) -> io::Result<Self> {
        let measurements = Arc::new(Mutex::new(Measurements::default()));
        let shared = Arc::clone(&measurements);
        let group = GroupId::new(group);
        let thread = view_watcher::spawn("demo-monitor", agent, move |view| {
            let mut measurements = lock(&shared);
            if let Some(view) = view {
                measurements.update(&view, &group);
            }
            !measurements.stop
        })?;
        Ok(Self {
            measurements,
            thread,
        })
    }

    /// Returns the numbers of serving and of wanted replicas.
    pub(crate) fn serving(&self) -> (u32, u32) {
        let measurements = lock(&self.measurements);
        (measurements.serving, measurements.wanted)
    }

    /// Sets the measured times to zero.
    pub(crate) fn reset(&self) {
        let mut measurements = lock(&self.measurements);
        measurements.downtime = 0.0;
        measurements.stranded = 0.0;
        measurements.updated_at = Some(Instant::now());
    }

    /// Stops the thread and returns the measurements.
    pub(crate) fn finish(self) -> Measurements {
        lock(&self.measurements).stop = true;
        let _ = self.thread.join();
        lock(&self.measurements).clone()
    }
}

impl Measurements {
    fn update(&mut self, view: &View, group: &GroupId) {
        let now = Instant::now();
        if let Some(last) = self.updated_at {
            let elapsed_s = (now - last).as_secs_f64();
            self.downtime += elapsed_s * f64::from(self.wanted.saturating_sub(self.serving));
            self.stranded += elapsed_s * f64::from(self.stranded_vms);
        }
        self.updated_at = Some(now);
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
        self.stranded_vms = healthy.saturating_sub(used) as u32;
    }
}

fn lock(measurements: &Mutex<Measurements>) -> MutexGuard<'_, Measurements> {
    measurements.lock().unwrap_or_else(PoisonError::into_inner)
}
