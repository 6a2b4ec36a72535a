//! Stub of an agent, for tests of a gateway without a log, gossip or probes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlock_lib::claims::{ClaimRecord, Claims};
use hemlock_lib::codec;
use hemlock_lib::delta::{ViewReply, ViewUpdate};
use hemlock_lib::engine::{HeldReplica, Load};
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::hash;
use hemlock_lib::ids::{Fence, Incarnation, Nonce, Offset, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::members::Member;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::table::{
    AccountRow, ConfigRecord, Edit, GroupRow, Row, RowKey, ServiceRow, VersionRow,
};
use hemlock_lib::view::{EntryStatus, Health, View, VmStatus};
use hemlock_wire::server::{self, Server};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig, types};

/// API keys of the two client accounts.
pub const API_KEYS: [&str; 2] = ["key-1", "key-2"];
/// The model group, with one replica for each engine.
pub const GROUP: &str = "listwriter";
/// The plain service.
pub const SERVICE: &str = "portal-app";
const DOMAIN: &str = "riverside";
/// Delay before each reply to a gateway's request for the view, in milliseconds.
const VIEW_REPLY_DELAY_MS: u32 = 20;

/// How the log fails submitted records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFault {
    /// Records are appended and folded.
    #[default]
    None,
    /// Records are not appended.
    Unavailable,
    /// Records are appended, but the submitter is told that the outcome is unknown.
    OutcomeUnknown,
}

#[derive(Debug, Default)]
struct Shared {
    view: View,
    claims: Claims,
    fault: LogFault,
}

#[derive(Debug, Clone, Default)]
struct State(Arc<Mutex<Shared>>);

impl State {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stub of an agent.
#[derive(Debug)]
pub struct AgentStub {
    state: State,
    server: Server,
}

impl AgentStub {
    /// Starts the stub. Its view has one replica for each engine address and one VM for each service
    /// address; `gateway` is the URL of the tested gateway.
    ///
    /// Fails if no port can be bound or the server's threads can't be started.
    pub fn spawn(engines: &[&str], services: &[&str], gateway: &str) -> std::io::Result<Self> {
        let state = State::default();
        state.lock().view = view(engines, services, gateway);
        let listener = server::bind("127.0.0.1:0")?;
        let server = server::spawn("agent-stub", listener, 1, state.clone(), routes)?;
        Ok(Self { state, server })
    }

    /// Returns the settings, as YAML, of a gateway that listens on `port` and uses this agent.
    pub fn gateway_settings(&self, port: u16) -> String {
        let agent = self.server.address();
        format!(
            "entry: entry-0\ndomain: {DOMAIN}\ndomains: [{DOMAIN}]\n\
             platform:\n  log: http://127.0.0.1:9\n  vms: http://127.0.0.1:9\n\
             gateway:\n  listen: 127.0.0.1:{port}\n  advertise: http://127.0.0.1:{port}\n  \
             body_limit: 4096\n  keep_for_s: 1\n  drain_s: 10\n\
             agent:\n  listen: 127.0.0.1:9\n  advertise: http://{agent}\n  \
             gossip: 127.0.0.1:9\n  keys: [{{id: 1, file: none.key}}]\n"
        )
    }

    /// Sets how the log fails records that are submitted from now on.
    pub fn set_log_fault(&self, fault: LogFault) {
        self.state.lock().fault = fault;
    }

    /// Changes the view and raises its version.
    pub fn change_view(&self, change: impl FnOnce(&mut View)) {
        let mut shared = self.state.lock();
        change(&mut shared.view);
        shared.view.version += 1;
    }

    /// Stops the stub's server without waiting for open requests.
    pub fn stop(self) {
        self.server.stop(false);
    }
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/change", web::get().to(serve_change))
        .route("/v1/submit", web::post().to(serve_submit))
        .route("/{path}*", web::to(async || HttpResponse::NoContent()));
}

async fn serve_change(agent: types::State<State>) -> HttpResponse {
    ntex::time::sleep(ntex::time::Millis(VIEW_REPLY_DELAY_MS)).await;
    let view = Box::new(agent.lock().view.clone());
    let change = ViewReply {
        run: 1,
        news: ViewUpdate::Whole(view),
    };
    HttpResponse::Ok().body(Bytes::from(codec::encode(&change)))
}

async fn serve_submit(agent: types::State<State>, body: Bytes) -> HttpResponse {
    let Ok(submit) = codec::decode::<Submit>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let settled = settle(&mut agent.lock(), submit);
    HttpResponse::Ok().body(codec::encode(&settled))
}

fn settle(shared: &mut Shared, submit: Submit) -> Settled {
    let (key, record) = match submit {
        Submit::ClaimStatus { key } => (key, None),
        Submit::Claim {
            key,
            owner,
            claim,
            binding,
            change,
        } => {
            let record = ClaimRecord {
                nonce: Nonce(0),
                key,
                owner,
                claim,
                binding,
                change,
            };
            (key, Some(record))
        }
        _ => return Settled::NotAppended,
    };
    if shared.fault == LogFault::Unavailable {
        return Settled::NotAppended;
    }
    let offset = shared.claims.next;
    let valid = record
        .as_ref()
        .is_some_and(|r| shared.claims.fold(offset, r).is_ok());
    match shared.claims.get(&key) {
        _ if shared.fault == LogFault::OutcomeUnknown => Settled::Unknown,
        _ if valid => Settled::Accepted { offset },
        None => Settled::ClaimFree,
        Some(held) => Settled::ClaimTaken {
            owner: held.owner.clone(),
            claim: held.claim,
            binding: held.binding.clone(),
            answer: held.answer.clone(),
            closed: held.closed,
        },
    }
}

fn view(engines: &[&str], services: &[&str], gateway: &str) -> View {
    let mut view = View {
        version: 1,
        log_up: true,
        peers_up: true,
        ..View::default()
    };
    let record = ConfigRecord {
        nonce: Nonce(1),
        author: "test".to_owned(),
        at_ms: 0,
        edits: rows(engines.len() as u32),
    };
    view.table
        .fold(Offset(0), &record)
        .expect("the rows are well formed");
    view.entries = vec![
        entry("entry-0", gateway),
        entry("entry-1", "http://127.0.0.1:9"),
    ];
    let mut fleet = Fleet::default();
    fold(
        &mut fleet,
        FleetChange::Lease {
            holder: "entry-0".into(),
            run: Incarnation(1),
            supersedes: None,
            length_ms: 3_000,
        },
    );
    for (i, address) in engines.iter().enumerate() {
        let vm = VmId::new(format!("engine-{i}"));
        let (seq, base) = (ReplicaSeq(fleet.next.0 + 1), fleet.planned);
        fold(
            &mut fleet,
            FleetChange::Assign {
                fence: Fence(1),
                base,
                form: 1,
                group: GROUP.into(),
                version: "listwriter-v1".into(),
                span: 1,
                vms: vec![vm.clone()],
                reserve: Vec::new(),
            },
        );
        let held = HeldReplica {
            replica: ReplicaId {
                shard: DOMAIN.into(),
                seq,
            },
            fence: Fence(1),
            form: Form {
                fence: Fence(1),
                seq: 1,
            },
            version: "listwriter-v1".into(),
            rank: 0,
            ready: true,
        };
        let status = status(&vm, address, VmRole::Engine, Some(held));
        view.vms.insert(vm, status);
    }
    for (i, address) in services.iter().enumerate() {
        let vm = VmId::new(format!("service-{i}"));
        let role = VmRole::Service(SERVICE.into());
        view.vms
            .insert(vm.clone(), status(&vm, address, role, None));
    }
    view.fleets.insert(DOMAIN.into(), fleet);
    view
}

fn rows(replicas: u32) -> Vec<Edit> {
    let row = |key, row| Edit {
        key,
        base: None,
        row: Some(row),
    };
    let group = GroupRow {
        replicas,
        minimum: 0,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 100_000,
    };
    let account = |key: &str| AccountRow {
        key_hash: hash::sha256_hex(key.as_bytes()),
        weight: 1.0,
        requests: 100_000.0,
        tokens: 10_000_000.0,
        concurrency: 10_000,
    };
    let version = VersionRow {
        group: GROUP.into(),
        weight: 1.0,
        span: 1,
    };
    let mut rows = vec![
        row(RowKey::Group(GROUP.into()), Row::Group(group)),
        row(
            RowKey::Version("listwriter-v1".into()),
            Row::Version(version),
        ),
        row(
            RowKey::Service(SERVICE.into()),
            Row::Service(ServiceRow { slots: 100_000 }),
        ),
    ];
    for key in API_KEYS {
        rows.push(row(RowKey::Account(key.into()), Row::Account(account(key))));
    }
    rows
}

fn entry(name: &str, url: &str) -> EntryStatus {
    EntryStatus {
        member: Member {
            entry: name.into(),
            domain: DOMAIN.into(),
            gateway: url.to_owned(),
            agent: "http://127.0.0.1:9".to_owned(),
            gossip: "127.0.0.1:9".to_owned(),
            incarnation: Incarnation(1),
            leaving: false,
        },
        live: true,
        spare: 1.0,
        config: 1,
    }
}

fn status(vm: &VmId, address: &str, role: VmRole, held: Option<HeldReplica>) -> VmStatus {
    VmStatus {
        listing: VmListing {
            vm: vm.clone(),
            address: address.to_owned(),
            domain: DOMAIN.into(),
            role,
            leaving: false,
        },
        health: Health::Live,
        run: Incarnation(1),
        held,
        load: Load::default(),
        silent_ms: 0,
    }
}

fn fold(fleet: &mut Fleet, change: FleetChange) {
    let offset = fleet.next;
    let record = FleetRecord {
        nonce: Nonce(offset.0),
        change,
    };
    fleet.fold(offset, &record).expect("each record is valid");
}
