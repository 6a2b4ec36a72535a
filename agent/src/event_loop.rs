//! The thread that runs the agent's state machine.

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
use crate::metrics::Gauges;
use crate::view_history::Board;

const TICK: Duration = Duration::from_millis(20);

/// What the other threads tell the state machine's.
#[derive(Debug)]
pub(crate) enum Event {
    /// An input of the state machine.
    Input(Input),
    /// A record to append, and where its end is awaited.
    Submit {
        submit: Submit,
        wait: Duration,
        reply: async_channel::Sender<Settled>,
    },
    /// An agent that starts asks for the states.
    States(async_channel::Sender<Vec<StreamState>>),
    /// Nothing; it tells the sender whether the state machine still runs.
    Idle,
    /// Stop.
    Stop,
}

/// The state machine with its outlets.
#[derive(Debug)]
pub(crate) struct Mind {
    agent: Agent,
    calls: async_channel::Sender<Call>,
    socket: Arc<UdpSocket>,
    board: Arc<Board>,
    gauges: Gauges,
    replies: BTreeMap<Ticket, async_channel::Sender<Settled>>,
    next: u64,
    out: Vec<Output>,
}

impl Mind {
    pub(crate) fn new(
        agent: Agent,
        calls: async_channel::Sender<Call>,
        socket: Arc<UdpSocket>,
        board: Arc<Board>,
        metrics: Metrics,
    ) -> Self {
        Self {
            agent,
            calls,
            socket,
            board,
            gauges: Gauges::new(metrics),
            replies: BTreeMap::new(),
            next: 0,
            out: Vec::new(),
        }
    }

    /// Runs until told to stop.
    pub(crate) fn run(mut self, ring: &Receiver<Event>) {
        let mut tick = Instant::now();
        loop {
            if Instant::now() >= tick {
                tick = Instant::now() + TICK;
                self.step(Input::Tick);
            }
            match ring.recv_deadline(tick) {
                Ok(Event::Input(input)) => self.step(input),
                Ok(Event::Submit {
                    submit,
                    wait,
                    reply,
                }) => self.submit(submit, wait, reply),
                Ok(Event::States(reply)) => {
                    let _ = reply.try_send(self.agent.folds().export());
                }
                Ok(Event::Idle) => {}
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn submit(&mut self, submit: Submit, wait: Duration, reply: async_channel::Sender<Settled>) {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.replies.insert(ticket, reply);
        let deadline = clock::now() + wait;
        self.step(Input::Submit {
            ticket,
            submit,
            deadline,
        });
    }

    fn step(&mut self, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.agent.step(clock::now(), input, &mut out);
        for output in out.drain(..) {
            self.carry_out(output);
        }
        self.out = out;
    }

    fn carry_out(&mut self, output: Output) {
        self.gauges.count(&output);
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
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.try_send(settled);
                }
            }
            Output::Publish(view) => self.board.publish(view),
        }
    }

    fn call(&self, call: Call) {
        let _ = self.calls.send_blocking(call);
    }
}
