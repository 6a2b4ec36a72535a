//! Stub of the model engines of all VMs. Each request gets its tokens at fixed intervals, however
//! many requests run.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlock_lib::engine::{
    Action, Chunk, EngineCall, EngineState, HeldReplica, Load, Order, OrderReply,
};
use hemlock_lib::ids::{Incarnation, VmId};
use hemlock_wire::clock;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};

use crate::timer_thread::TimerThread;

/// Limits and timing of the engine stubs.
#[derive(Debug, Clone, Copy)]
pub struct EngineConfig {
    /// Time to load the weights of one VM, from the moment at which the weight store serves it.
    pub load_time: Duration,
    /// Loads that the weight store serves at a time. Further loads wait.
    pub max_concurrent_loads: usize,
    /// Time to the first token of an idle replica.
    pub time_to_first_token: Duration,
    /// Time between two tokens of one answer.
    pub time_per_token: Duration,
    /// Whether orders with an outdated fencing token or sequence number are refused.
    pub check_fencing_tokens: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            load_time: Duration::from_millis(600),
            max_concurrent_loads: 20,
            time_to_first_token: Duration::from_millis(40),
            time_per_token: Duration::from_millis(20),
            check_fencing_tokens: true,
        }
    }
}

#[derive(Debug, Clone)]
struct LoadedReplica {
    held: HeldReplica,
    ready_at: Instant,
    slots: u32,
}

#[derive(Debug)]
struct Vm {
    run: u64,
    down: bool,
    slowdown: u32,
    held: Option<LoadedReplica>,
    last_order: (u64, u64),
    running: u32,
    tokens: u64,
}

#[derive(Debug)]
struct Inner {
    engine_config: EngineConfig,
    vms: BTreeMap<VmId, Vm>,
    store_slots: Vec<Instant>,
    events: Vec<(Instant, VmId, EngineEvent)>,
}

/// A change of an engine's state, recorded for checks over a whole run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine accepted an order to load this part of a replica.
    Loaded(HeldReplica),
    /// The engine unloaded its part of a replica.
    Unloaded,
    /// The VM went down.
    Down,
    /// The VM came back up.
    Up,
}

/// State of the engine stubs, shared by their HTTP handlers and the test.
#[derive(Debug, Clone)]
pub struct Engines {
    inner: Arc<Mutex<Inner>>,
    timer: TimerThread,
}

impl Engines {
    /// Creates an engine without a model for each of the given VMs.
    pub fn new(
        engine_config: EngineConfig,
        vms: impl IntoIterator<Item = VmId>,
        timer: TimerThread,
    ) -> Self {
        let vm = || Vm {
            run: 1,
            down: false,
            slowdown: 1,
            held: None,
            last_order: (0, 0),
            running: 0,
            tokens: 0,
        };
        let inner = Inner {
            engine_config,
            vms: vms.into_iter().map(|id| (id, vm())).collect(),
            store_slots: vec![Instant::now(); engine_config.max_concurrent_loads.max(1)],
            events: Vec::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            timer,
        }
    }

    /// Takes a VM down. Its loaded weights and running requests are lost.
    pub fn kill(&self, vm: &VmId) {
        let mut inner = self.lock();
        if let Some(state) = inner.vms.get_mut(vm) {
            state.down = true;
            state.run += 1;
            state.held = None;
            state.running = 0;
            state.tokens = 0;
        }
        inner
            .events
            .push((Instant::now(), vm.clone(), EngineEvent::Down));
    }

    /// Brings a VM back up, as a new run without a model.
    pub fn revive(&self, vm: &VmId) {
        let mut inner = self.lock();
        if let Some(state) = inner.vms.get_mut(vm) {
            state.down = false;
        }
        inner
            .events
            .push((Instant::now(), vm.clone(), EngineEvent::Up));
    }

    /// Multiplies a VM's token times by `factor`, which is at least 1.
    pub fn set_slowdown(&self, vm: &VmId, factor: u32) {
        if let Some(state) = self.lock().vms.get_mut(vm) {
            state.slowdown = factor.max(1);
        }
    }

    /// Returns whether a VM is down or unknown.
    pub fn is_down(&self, vm: &VmId) -> bool {
        self.lock().vms.get(vm).is_none_or(|s| s.down)
    }

    /// Returns all events in the order in which they occurred.
    pub fn events(&self) -> Vec<(Instant, VmId, EngineEvent)> {
        self.lock().events.clone()
    }

    /// Returns the VMs that hold a part of a replica, with that part.
    pub fn held_replicas(&self) -> BTreeMap<VmId, HeldReplica> {
        let inner = self.lock();
        let held = |(vm, s): (&VmId, &Vm)| Some((vm.clone(), s.held.as_ref()?.held.clone()));
        inner.vms.iter().filter_map(held).collect()
    }

    pub(crate) fn serve_state(&self, vm: &VmId, request: &HttpRequest) -> HttpResponse {
        if self.is_down(vm) {
            return close_connection(request);
        }
        match self.state(vm) {
            Some(state) => HttpResponse::Ok().json(&state),
            None => HttpResponse::NotFound().finish(),
        }
    }

    pub(crate) fn serve_order(
        &self,
        vm: &VmId,
        request: &HttpRequest,
        body: &Bytes,
    ) -> HttpResponse {
        if self.is_down(vm) {
            return close_connection(request);
        }
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return HttpResponse::BadRequest().finish();
        };
        let taken = self.apply_order(vm, &order);
        match self.state(vm) {
            Some(state) if taken => HttpResponse::Ok().json(&OrderReply::Taken(state)),
            Some(state) => HttpResponse::Ok().json(&OrderReply::Refused(state)),
            None => HttpResponse::NotFound().finish(),
        }
    }

    pub(crate) async fn serve_generate(
        &self,
        vm: &VmId,
        request: &HttpRequest,
        body: &Bytes,
    ) -> HttpResponse {
        if self.is_down(vm) {
            return close_connection(request);
        }
        let Ok(call) = serde_json::from_slice::<EngineCall>(body) else {
            return HttpResponse::BadRequest().finish();
        };
        let Some(run) = self.admit(vm, &call) else {
            return HttpResponse::ServiceUnavailable().finish();
        };
        let generation = Generation {
            engines: self.clone(),
            vm: vm.clone(),
            run,
            next: call.resume_from,
            end: u64::from(call.max_tokens),
            next_token_at: Instant::now() + self.time_to_first_token(vm),
            call,
        };
        let chunks = futures_util::stream::unfold(Some(generation), |generation| async move {
            let mut generation = generation?;
            let bytes = generation.step().await;
            let continues = matches!(bytes, Ok((_, true)));
            Some((bytes.map(|(b, _)| b), continues.then_some(generation)))
        });
        HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(Box::pin(chunks))
    }

    fn state(&self, vm: &VmId) -> Option<EngineState> {
        let inner = self.lock();
        let state = inner.vms.get(vm)?;
        let now = Instant::now();
        let held = state.held.as_ref().map(|l| HeldReplica {
            ready: l.ready_at <= now,
            ..l.held.clone()
        });
        let load = Load {
            running: state.running,
            queued: 0,
            tokens: state.tokens,
            age_ms: 0,
        };
        Some(EngineState {
            vm: vm.clone(),
            run: Incarnation(state.run),
            held,
            load,
        })
    }

    fn apply_order(&self, vm: &VmId, order: &Order) -> bool {
        let mut inner = self.lock();
        let now = Instant::now();
        let (engine_config, load_start) = (inner.engine_config, inner.store_free_at(now));
        let Some(state) = inner.vms.get_mut(vm) else {
            return false;
        };
        let late = order.deadline_ms < clock::now().as_millis();
        let stale =
            engine_config.check_fencing_tokens && (order.fence.0, order.seq) < state.last_order;
        if late || stale {
            return false;
        }
        state.last_order = (order.fence.0, order.seq);
        match &order.action {
            Action::Unload => {
                if state
                    .held
                    .as_ref()
                    .is_some_and(|l| l.held.replica == order.replica)
                {
                    state.held = None;
                    inner.events.push((now, vm.clone(), EngineEvent::Unloaded));
                }
            }
            Action::Load {
                version,
                rank,
                slots,
                ..
            } => {
                let held = HeldReplica {
                    replica: order.replica.clone(),
                    fence: order.fence,
                    form: order.form,
                    version: version.clone(),
                    rank: *rank,
                    ready: false,
                };
                let same = |l: &&LoadedReplica| l.held.version == *version && l.held.rank == *rank;
                let same_loaded = state.held.as_ref().filter(same).map(|l| l.ready_at);
                let kept = same_loaded.is_some();
                let ready_at = same_loaded.unwrap_or(load_start + engine_config.load_time);
                state.held = Some(LoadedReplica {
                    held: held.clone(),
                    ready_at,
                    slots: *slots,
                });
                if !kept {
                    inner.occupy_store(ready_at);
                }
                inner
                    .events
                    .push((now, vm.clone(), EngineEvent::Loaded(held)));
            }
        }
        true
    }

    fn admit(&self, vm: &VmId, call: &EngineCall) -> Option<u64> {
        let mut inner = self.lock();
        let state = inner.vms.get_mut(vm)?;
        let loaded = state.held.as_ref()?;
        let serves = loaded.held.replica == call.replica && loaded.ready_at <= Instant::now();
        if !serves || loaded.held.rank != 0 || state.running >= loaded.slots.saturating_mul(2) {
            return None;
        }
        state.running += 1;
        state.tokens += u64::from(call.max_tokens);
        Some(state.run)
    }

    fn release(&self, vm: &VmId, run: u64, tokens: u64) {
        if let Some(state) = self.lock().vms.get_mut(vm).filter(|s| s.run == run) {
            state.running = state.running.saturating_sub(1);
            state.tokens = state.tokens.saturating_sub(tokens);
        }
    }

    fn time_to_first_token(&self, vm: &VmId) -> Duration {
        let inner = self.lock();
        inner.engine_config.time_to_first_token * inner.vms.get(vm).map_or(1, |s| s.slowdown)
    }

    fn time_per_token(&self, vm: &VmId) -> Duration {
        let inner = self.lock();
        inner.engine_config.time_per_token * inner.vms.get(vm).map_or(1, |s| s.slowdown)
    }

    /// Returns whether the VM is up and still in the run in which it admitted a call.
    fn is_same_run(&self, vm: &VmId, run: u64) -> bool {
        self.lock()
            .vms
            .get(vm)
            .is_some_and(|s| !s.down && s.run == run)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn store_free_at(&self, now: Instant) -> Instant {
        self.store_slots
            .iter()
            .min()
            .copied()
            .unwrap_or(now)
            .max(now)
    }

    fn occupy_store(&mut self, until: Instant) {
        if let Some(slot) = self.store_slots.iter_mut().min() {
            *slot = until;
        }
    }
}

struct Generation {
    engines: Engines,
    vm: VmId,
    run: u64,
    call: EngineCall,
    next: u64,
    end: u64,
    next_token_at: Instant,
}

impl Generation {
    async fn step(&mut self) -> std::io::Result<(Bytes, bool)> {
        self.engines.timer.sleep_until(self.next_token_at).await;
        if !self.engines.is_same_run(&self.vm, self.run) {
            return Err(std::io::Error::other(
                "the VM went down during the generation",
            ));
        }
        self.next_token_at += self.engines.time_per_token(&self.vm);
        let done = self.next >= self.end;
        let text = if done {
            String::new()
        } else {
            expected_token(&self.call.prompt, self.next)
        };
        let chunk = Chunk {
            attempt: self.call.attempt.clone(),
            seq: self.next,
            text,
            done,
        };
        self.next += 1;
        let json = serde_json::to_string(&chunk).map_err(std::io::Error::other)?;
        Ok((Bytes::from(format!("data: {json}\n\n")), !done))
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.engines.release(&self.vm, self.run, self.end);
    }
}

/// Returns the token at `index` of the expected answer to `prompt`.
pub fn expected_token(prompt: &str, index: u64) -> String {
    let hash = hemlock_lib::rendezvous::score(prompt.as_bytes(), &index.to_le_bytes());
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the expected answer to `prompt`, of `tokens` tokens.
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|i| expected_token(prompt, i)).collect()
}

/// Closes the caller's connection without a response. The returned response is not sent.
pub(crate) fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.close();
    }
    HttpResponse::InternalServerError().finish()
}
