//! Threads that make the HTTP calls of the agent and receive its datagrams.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Sender;
use hemlock_lib::agent::Input;
use hemlock_lib::appender::{AppendId, AppendOutcome};
use hemlock_lib::codec;
use hemlock_lib::engine::EngineState;
use hemlock_lib::platform::{AppendCall, AppendReply, ReadCall, ReadReply, VmListing, VmRole};
use hemlock_lib::settings::Platform;
use hemlock_wire::agent_client;
use hemlock_wire::http_client::{self, CallError};

use crate::MAX_DATAGRAM_BYTES;
use crate::event_loop::Event;

const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// An outgoing call.
#[derive(Debug)]
pub(crate) enum Call {
    /// Read the log.
    Read(ReadCall),
    /// Append to the log.
    Append(AppendId, AppendCall),
    /// Fetch the folded states from the agent at this base URL.
    Fetch(String),
    /// Read the platform's list of VMs.
    List,
    /// Probe a VM.
    Probe(VmListing),
}

/// Starts the thread that makes the outgoing calls and returns their results as events.
pub(crate) fn spawn_calls(
    platform: Platform,
    calls: async_channel::Receiver<Call>,
    events: Sender<Event>,
) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("agent-calls".to_owned())
        .spawn(move || {
            let system = ntex::rt::System::new("agent-calls", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                while let Ok(call) = calls.recv().await {
                    let (platform, events) = (platform.clone(), events.clone());
                    ntex::rt::spawn(async move {
                        let input = perform_call(&platform, call).await;
                        let _ = events.send(Event::Input(input));
                    });
                }
            });
        })
}

/// Starts the thread that receives datagrams and passes them on as events.
pub(crate) fn spawn_datagrams(
    socket: Arc<UdpSocket>,
    events: Sender<Event>,
) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("agent-datagrams".to_owned())
        .spawn(move || {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let event = match socket.recv(&mut buffer) {
                    Ok(length) => Event::Input(Input::Datagram(buffer[..length].to_vec())),
                    Err(_) => Event::NoOp,
                };
                if events.send(event).is_err() {
                    return;
                }
            }
        })
}

/// Performs a call and returns its result as an input.
async fn perform_call(platform: &Platform, call: Call) -> Input {
    match call {
        Call::Read(call) => Input::Read(read(platform, &call).await),
        Call::Append(id, call) => Input::Appended(id, append(platform, &call).await),
        Call::Fetch(agent) => {
            Input::Fetched(agent_client::states(&agent, FETCH_TIMEOUT).await.ok())
        }
        Call::List => Input::Listed(list(platform).await),
        Call::Probe(listing) => probe(listing).await,
    }
}

async fn read(platform: &Platform, call: &ReadCall) -> Option<ReadReply> {
    let url = format!("{}/read", platform.log);
    let body = http_client::post(&url, codec::encode(call), READ_TIMEOUT)
        .await
        .ok()?;
    codec::decode(&body).ok()
}

/// Appends to the log.
///
/// Only a call that never connected or was answered with status 503 is certain to have appended
/// nothing; after any other failure the outcome is [`AppendOutcome::Lost`].
async fn append(platform: &Platform, call: &AppendCall) -> AppendOutcome {
    let url = format!("{}/append", platform.log);
    match http_client::post(&url, codec::encode(call), APPEND_TIMEOUT).await {
        Ok(body) if codec::decode::<AppendReply>(&body).is_ok() => AppendOutcome::Appended,
        Err(CallError::Connect | CallError::Status(503)) => AppendOutcome::Refused,
        _ => AppendOutcome::Lost,
    }
}

async fn list(platform: &Platform) -> Option<Vec<VmListing>> {
    let body = http_client::get(&platform.vms, LIST_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Probes a VM. An engine counts as answering only if it reports the state of this VM.
async fn probe(listing: VmListing) -> Input {
    let url = format!("{}/v1/state", listing.address);
    let reply = http_client::get(&url, PROBE_TIMEOUT).await.ok();
    let (answered, state) = match (&listing.role, reply) {
        (_, None) => (false, None),
        (VmRole::Service(_), Some(_)) => (true, None),
        (VmRole::Engine, Some(body)) => {
            let state: Option<EngineState> = serde_json::from_slice(&body).ok();
            let state = state.filter(|s| s.vm == listing.vm);
            (state.is_some(), state)
        }
    };
    Input::Probed {
        vm: listing.vm,
        answered,
        state,
    }
}
