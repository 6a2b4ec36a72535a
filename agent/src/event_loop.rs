//! The event loop of the agent: feeds events to the state machine and carries out its outputs.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hemlock_lib::agent::{Agent, Input, Output};
use hemlock_lib::appender::Ticket;
use hemlock_lib::folds::StreamState;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_wire::clock;
use hemlock_wire::metrics::Metrics;

use crate::io_threads::Call;
use crate::metrics::AgentMetrics;
use crate::view_history::ViewHistory;

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A message from another thread to the event loop.
#[derive(Debug)]
pub(crate) enum Event {
    /// An input that is passed to the state machine as it is.
    Input(Input),
    /// A daemon or operator submits a record; how it was settled goes to `reply`.
    Submit {
        submit: Submit,
        wait: Duration,
        reply: async_channel::Sender<Settled>,
    },
    /// An agent that starts asks for the folded states of all streams.
    States(async_channel::Sender<Vec<StreamState>>),
    /// Has no effect. Failure to send it tells the sender that the event loop has ended.
    NoOp,
    /// Ends the event loop.
    Stop,
}

/// The state machine, with the channels, socket and metrics to which its outputs go.
#[derive(Debug)]
pub(crate) struct EventLoop {
    agent: Agent,
    calls: async_channel::Sender<Call>,
    socket: Arc<UdpSocket>,
    views: Arc<ViewHistory>,
    metrics: AgentMetrics,
    settled_senders: BTreeMap<Ticket, async_channel::Sender<Settled>>,
    last_ticket: u64,
    outputs: Vec<Output>,
}

impl EventLoop {
    pub(crate) fn new(
        agent: Agent,
        calls: async_channel::Sender<Call>,
        socket: Arc<UdpSocket>,
        views: Arc<ViewHistory>,
        metrics: Metrics,
    ) -> Self {
        Self {
            agent,
            calls,
            socket,
            views,
            metrics: AgentMetrics::new(metrics),
            settled_senders: BTreeMap::new(),
            last_ticket: 0,
            outputs: Vec::new(),
        }
    }

    /// Handles events until [`Event::Stop`] arrives or all senders are gone.
    pub(crate) fn run(mut self, event_receiver: &Receiver<Event>) {
        let mut tick = Instant::now();
        loop {
            if Instant::now() >= tick {
                tick = Instant::now() + TICK_INTERVAL;
                self.step(Input::Tick);
            }
            match event_receiver.recv_deadline(tick) {
                Ok(Event::Input(input)) => self.step(input),
                Ok(Event::Submit {
                    submit,
                    wait,
                    reply,
                }) => self.submit(submit, wait, reply),
                Ok(Event::States(reply)) => {
                    let _ = reply.try_send(self.agent.folds().export());
                }
                Ok(Event::NoOp) => {}
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Submits a record under a new ticket, and keeps `reply` until the record is settled.
    fn submit(&mut self, submit: Submit, wait: Duration, reply: async_channel::Sender<Settled>) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.settled_senders.insert(ticket, reply);
        let deadline = clock::now() + wait;
        self.step(Input::Submit {
            ticket,
            submit,
            deadline,
        });
    }

    fn step(&mut self, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.agent.step(clock::now(), input, &mut outputs);
        for output in outputs.drain(..) {
            self.execute(output);
        }
        self.outputs = outputs;
    }

    fn execute(&mut self, output: Output) {
        self.metrics.observe_output(&output);
        match output {
            Output::Read(call) => self.call(Call::Read(call)),
            Output::Append(id, call) => self.call(Call::Append(id, call)),
            Output::Fetch(agent) => self.call(Call::Fetch(agent)),
            Output::List => self.call(Call::List),
            Output::Probe(listing) => self.call(Call::Probe(listing)),
            Output::Send { to, bytes } => {
                let _ = self.socket.send_to(&bytes, to);
            }
            Output::Settle(ticket, settled) => {
                if let Some(reply) = self.settled_senders.remove(&ticket) {
                    let _ = reply.try_send(settled);
                }
            }
            Output::Publish(view) => self.views.publish(view),
        }
    }

    fn call(&self, call: Call) {
        let _ = self.calls.send_blocking(call);
    }
}
