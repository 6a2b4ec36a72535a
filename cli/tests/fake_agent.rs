//! Fake agent on the loopback interface that serves a fixed view, and a runner for one command.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex};

use hemlock_cli::Exit;
use hemlock_lib::codec;
use hemlock_lib::engine::HeldReplica;
use hemlock_lib::fleet::{Fleet, FleetChange, FleetRecord, Form};
use hemlock_lib::ids::{Fence, Incarnation, Nonce, Offset, ReplicaId, ReplicaSeq, VmId};
use hemlock_lib::members::Member;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::platform::{VmListing, VmRole};
use hemlock_lib::table::{
    AccountRow, ConfigRecord, Edit, GroupRow, Refusal, Row, RowKey, Table, VersionRow,
};
use hemlock_lib::view::{EntryStatus, Health, View, VmStatus};
use hemlock_wire::server::{self, Server};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig, types};

/// How the fake agent answers submitted records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmitBehavior {
    /// The agent accepts records and folds them into its table.
    Accept,
    /// Another operator changes `group/listwriter` just before the record is appended.
    ConcurrentEdit,
    /// The log is unavailable, so nothing is appended.
    LogUnavailable,
    /// The agent reports that the record may have been appended.
    Unknown,
    /// The agent accepts records, but one entry VM never reads them.
    Behind,
}

#[derive(Debug, Clone)]
struct State {
    view: Arc<Mutex<View>>,
    behavior: SubmitBehavior,
}

/// Running fake agent.
#[derive(Debug)]
pub(crate) struct FakeAgent {
    server: Server,
    state: State,
}

/// Exit code and output of one command.
#[derive(Debug)]
pub(crate) struct CommandResult {
    pub(crate) exit: Exit,
    pub(crate) text: String,
}

impl FakeAgent {
    pub(crate) fn spawn(behavior: SubmitBehavior) -> Self {
        Self::with_view(behavior, view())
    }

    pub(crate) fn with_view(behavior: SubmitBehavior, view: View) -> Self {
        let listener = server::bind("127.0.0.1:0").expect("a free port");
        let url = format!("http://{}", listener.local_addr().expect("a bound address"));
        let mut view = view;
        for entry in &mut view.entries {
            entry.member.agent = url.clone();
            entry.member.gateway = url.clone();
        }
        let state = State {
            view: Arc::new(Mutex::new(view)),
            behavior,
        };
        let server = server::spawn("fake-agent", listener, 1, state.clone(), routes);
        Self {
            server: server.expect("the server starts"),
            state,
        }
    }

    /// Runs a command with this agent; the text has `AGENT` in place of its address.
    pub(crate) fn run(&self, args: &[&str]) -> CommandResult {
        let address = self.server.address().to_string();
        let url = format!("http://{address}");
        let mut all = vec!["hemlock", "--agent", &url];
        all.extend(args);
        let mut result = run(&all);
        result.text = result.text.replace(&address, "AGENT");
        result
    }

    /// Marks an entry VM as silent.
    pub(crate) fn silence(&self, entry: usize) {
        let mut view = self.state.view.lock().expect("no panic");
        view.entries[entry].live = false;
        view.entries[entry].config = 0;
    }

    pub(crate) fn table(&self) -> Table {
        self.state.view.lock().expect("no panic").table.clone()
    }
}

/// Runs a command line; the text holds its exit code, output and errors.
pub(crate) fn run(args: &[&str]) -> CommandResult {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = hemlock_cli::run(args, &mut out, &mut err);
    let mut text = format!("exit: {}\n", exit as u8);
    for (name, bytes) in [("out", out), ("err", err)] {
        let _ = writeln!(text, "--- {name}\n{}", String::from_utf8_lossy(&bytes));
    }
    CommandResult { exit, text }
}

/// Returns a view with one serving replica, one that has lost a VM, and a free VM.
#[allow(
    clippy::needless_update,
    reason = "the view gains fields that commands don't show"
)]
pub(crate) fn view() -> View {
    let mut vms: std::collections::BTreeMap<VmId, VmStatus> = (0..5).map(engine).collect();
    let lost = vms.get_mut("riverside-3").expect("the VM exists");
    lost.health = Health::Lost;
    lost.silent_ms = 4_200;
    View {
        version: 7,
        table: table(),
        entries: vec![entry(0, true), entry(1, true)],
        vms,
        fleets: [("riverside".into(), fleet())].into(),
        log_up: true,
        peers_up: true,
        ..View::default()
    }
}

fn table() -> Table {
    let mut table = Table::default();
    let group = GroupRow {
        replicas: 2,
        minimum: 1,
        downtime: 3.0,
        stranded: 1.0,
        reserve: 0,
        slots: 8,
    };
    let version = VersionRow {
        group: "listwriter".into(),
        weight: 1.0,
        span: 2,
    };
    let account = AccountRow {
        key_hash: "0f".repeat(32),
        weight: 1.0,
        requests: 100.0,
        tokens: 10_000.0,
        concurrency: 100,
    };
    let rows = [
        (
            RowKey::Group("listwriter".into()),
            Row::Group(group.clone()),
        ),
        (RowKey::Version("lw-v1".into()), Row::Version(version)),
        (RowKey::Account("account-01".into()), Row::Account(account)),
    ];
    fold(
        &mut table,
        "ines",
        rows.map(|(k, r)| edit(k, None, r)).to_vec(),
    )
    .expect("a free row");
    let more_replicas = GroupRow {
        replicas: 3,
        ..group
    };
    let key = RowKey::Group("listwriter".into());
    let change = edit(key, Some(Offset(0)), Row::Group(more_replicas));
    fold(&mut table, "omar", vec![change]).expect("the present version");
    table
}

fn edit(key: RowKey, base: Option<Offset>, row: Row) -> Edit {
    Edit {
        key,
        base,
        row: Some(row),
    }
}

fn fold(table: &mut Table, author: &str, edits: Vec<Edit>) -> Result<Offset, Refusal> {
    let offset = table.next;
    let record = ConfigRecord {
        nonce: Nonce(offset.0),
        author: author.to_owned(),
        at_ms: 1_700_000_000_000 + offset.0 * 60_000,
        edits,
    };
    table.fold(offset, &record).map(|()| offset)
}

fn engine(i: u64) -> (VmId, VmStatus) {
    let vm = VmId::new(format!("riverside-{i}"));
    let held = |seq: u64, rank: u32| HeldReplica {
        replica: ReplicaId {
            shard: "riverside".into(),
            seq: ReplicaSeq(seq),
        },
        fence: Fence(1),
        form: form(),
        version: "lw-v1".into(),
        rank,
        ready: true,
    };
    let held = match i {
        0 | 1 => Some(held(2, i as u32)),
        2 | 3 => Some(held(3, i as u32 - 2)),
        _ => None,
    };
    let status = VmStatus {
        listing: VmListing {
            vm: vm.clone(),
            address: format!("http://10.0.0.{i}:9000"),
            domain: "riverside".into(),
            role: VmRole::Engine,
            leaving: false,
        },
        health: Health::Live,
        run: Incarnation(1),
        held,
        load: Default::default(),
        silent_ms: 40,
    };
    (vm, status)
}

fn form() -> Form {
    Form {
        fence: Fence(1),
        seq: 1,
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    let assign = |base: u64, a: u64, b: u64| FleetChange::Assign {
        fence: Fence(1),
        base: Offset(base),
        form: 1,
        group: "listwriter".into(),
        version: "lw-v1".into(),
        span: 2,
        vms: [a, b].map(|i| VmId::new(format!("riverside-{i}"))).to_vec(),
        reserve: Vec::new(),
    };
    let lease = FleetChange::Lease {
        holder: "entry-0".into(),
        run: Incarnation(1),
        supersedes: None,
        length_ms: 3_000,
    };
    for change in [lease, assign(0, 0, 1), assign(2, 2, 3)] {
        let nonce = Nonce(fleet.next.0);
        let record = FleetRecord { nonce, change };
        fleet.fold(fleet.next, &record).expect("a sound record");
    }
    fleet
}

fn entry(i: u64, live: bool) -> EntryStatus {
    EntryStatus {
        member: Member {
            entry: format!("entry-{i}").as_str().into(),
            domain: "riverside".into(),
            gateway: String::new(),
            agent: String::new(),
            gossip: "127.0.0.1:1".to_owned(),
            incarnation: Incarnation(1),
            leaving: false,
        },
        live,
        spare: 0.75,
        config: 2,
    }
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/view", web::get().to(serve_view))
        .route("/v1/submit", web::post().to(serve_submit))
        .route("/v1/leave", web::post().to(serve_leave))
        .route("/v1/requests/{id}", web::get().to(serve_request));
}

async fn serve_view(state: types::State<State>) -> HttpResponse {
    let view = state.view.lock().expect("no panic").clone();
    HttpResponse::Ok().body(codec::encode(&view))
}

async fn serve_leave(state: types::State<State>) -> HttpResponse {
    state.view.lock().expect("no panic").entries[1]
        .member
        .leaving = true;
    HttpResponse::NoContent().finish()
}

async fn serve_request(id: types::Path<String>) -> HttpResponse {
    if id.as_str() != "request-7" {
        return HttpResponse::NotFound().finish();
    }
    let body = r#"{"code": 1303, "name": "NoReplica", "ran": "no", "attempts": 1}"#;
    HttpResponse::Ok().body(body)
}

async fn serve_submit(state: types::State<State>, body: Bytes) -> HttpResponse {
    let mut view = state.view.lock().expect("no panic");
    let settled = match codec::decode::<Submit>(&body) {
        Ok(Submit::Config { author, edits }) => settle(&mut view, state.behavior, &author, edits),
        _ => return HttpResponse::BadRequest().finish(),
    };
    HttpResponse::Ok().body(codec::encode(&settled))
}

fn settle(view: &mut View, behavior: SubmitBehavior, author: &str, edits: Vec<Edit>) -> Settled {
    match behavior {
        SubmitBehavior::LogUnavailable => return Settled::NotAppended,
        SubmitBehavior::Unknown => return Settled::Unknown,
        SubmitBehavior::ConcurrentEdit => edit_concurrently(&mut view.table),
        SubmitBehavior::Accept | SubmitBehavior::Behind => {}
    }
    let settled = match fold(&mut view.table, author, edits) {
        Ok(offset) => Settled::Accepted { offset },
        Err(refusal) => Settled::ConfigRefused(refusal),
    };
    let next_offset = view.table.next.0;
    let has_left = |e: &EntryStatus| e.member.leaving && !e.live;
    let readers = if behavior == SubmitBehavior::Behind {
        1
    } else {
        view.entries.len()
    };
    for entry in view.entries[..readers].iter_mut().filter(|e| !has_left(e)) {
        entry.config = next_offset;
    }
    settled
}

fn edit_concurrently(table: &mut Table) {
    let key = RowKey::Group("listwriter".into());
    let entry = table.entry(&key).expect("the row exists").clone();
    if let Some(Row::Group(mut row)) = entry.row {
        row.slots = 12;
        let change = edit(key, Some(entry.version), Row::Group(row));
        fold(table, "wafa", vec![change]).expect("the present version");
    }
}
