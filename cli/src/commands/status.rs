//! `hemlock status`: shows the state of the table, entry VMs, groups, failure domains and replicas.

use std::collections::BTreeMap;

use clap::{Arg, ArgAction, ArgMatches, Command};
use hemlock_lib::ids::{GroupId, Offset, VmId};
use hemlock_lib::platform::VmRole;
use hemlock_lib::view::{EntryStatus, Health, View};
use serde::Serialize;

use crate::exit::{Exit, Failure};
use crate::output::{self, TextTable};
use crate::session::Context;
use crate::submission;
use crate::timestamp;

pub(crate) fn command() -> Command {
    let replicas = Arg::new("replicas")
        .long("replicas")
        .action(ArgAction::SetTrue)
        .help("Also list the replicas");
    Command::new("status")
        .about("Show whether the table is in force, entry VMs, groups, failure domains and VMs")
        .arg(replicas)
        .after_help("Examples:\n  hemlock status\n  hemlock status --replicas --output json")
}

#[derive(Debug, Serialize)]
struct Status {
    log_up: bool,
    alarms: Vec<String>,
    table: TableStatus,
    entries: Vec<EntryLine>,
    groups: Vec<GroupLine>,
    domains: Vec<DomainLine>,
    /// VMs whose health is not `live`.
    ailing: Vec<VmLine>,
    #[serde(skip_serializing_if = "Option::is_none")]
    replicas: Option<Vec<ReplicaLine>>,
}

#[derive(Debug, Serialize)]
struct TableStatus {
    /// Offset of the last change.
    changed: Option<Offset>,
    author: String,
    at: String,
    in_force: bool,
    /// Number of entry VMs that are expected to read the table.
    working: usize,
    /// Entry VMs that have not read the last change.
    behind: Vec<String>,
}

#[derive(Debug, Serialize)]
struct EntryLine {
    entry: String,
    domain: String,
    state: &'static str,
    /// Offset in the log up to which the entry VM has read the table, exclusive.
    table: u64,
    spare: f64,
}

#[derive(Debug, Serialize)]
struct GroupLine {
    group: String,
    serving: u32,
    formed: u32,
    wanted: u32,
    minimum: u32,
}

#[derive(Debug, Serialize)]
struct DomainLine {
    domain: String,
    lease: Option<String>,
    fence: Option<u64>,
    engines: usize,
    live: usize,
    stranded: usize,
}

#[derive(Debug, Serialize)]
struct VmLine {
    vm: String,
    domain: String,
    health: Health,
    silent_ms: u64,
}

#[derive(Debug, Serialize)]
struct ReplicaLine {
    replica: String,
    group: String,
    version: String,
    serving: bool,
    vms: Vec<VmId>,
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let view = context.session.view()?;
    let replicas = matches.get_flag("replicas").then(|| replicas(&view));
    let status = Status {
        log_up: view.log_up,
        alarms: alarms(&view),
        table: table(&view),
        entries: view.entries.iter().map(entry).collect(),
        groups: groups(&view),
        domains: domains(&view),
        ailing: vms_not_live(&view),
        replicas,
    };
    output::print(context.out, context.format, &status, || text_table(&status))?;
    Ok(Exit::Done)
}

/// Returns the name of the state of an entry VM.
pub(crate) fn entry_state(entry: &EntryStatus) -> &'static str {
    match (entry.live, entry.member.leaving) {
        (false, true) => "left",
        (true, true) => "leaving",
        (true, false) => "live",
        (false, false) => "silent",
    }
}

/// Returns the name of the health of a VM.
pub(crate) fn health_name(health: Health) -> &'static str {
    match health {
        Health::Unknown => "unknown",
        Health::Live => "live",
        Health::Suspect => "suspect",
        Health::Lost => "lost",
        Health::Leaving => "leaving",
        Health::Probation => "probation",
    }
}

/// Counts the serving replicas of each group.
pub(crate) fn serving_replicas(view: &View) -> BTreeMap<GroupId, u32> {
    let mut out = BTreeMap::new();
    for (id, assignment) in view.replicas() {
        if view.is_serving(&id, assignment) {
            *out.entry(assignment.group.clone()).or_insert(0) += 1;
        }
    }
    out
}

/// Returns the live engine VMs that no serving replica uses.
pub(crate) fn stranded_vms(view: &View) -> Vec<&VmId> {
    let serving = view
        .replicas()
        .filter(|(id, a)| view.is_serving(id, a))
        .flat_map(|(_, a)| &a.vms);
    let used: std::collections::BTreeSet<&VmId> = serving.collect();
    let live = view
        .vms
        .iter()
        .filter(|(_, s)| s.listing.role == VmRole::Engine && s.health == Health::Live);
    live.map(|(vm, _)| vm)
        .filter(|vm| !used.contains(vm))
        .collect()
}

fn alarms(view: &View) -> Vec<String> {
    let gaps = view.gaps.iter();
    let mut out: Vec<String> = gaps
        .map(|stream| format!("records of {stream} expired unread; nothing is decided on it"))
        .collect();
    let counts = [
        (view.alarms.regressions, "streams that went back"),
        (view.alarms.undecodable, "records that can't be decoded"),
        (
            view.alarms.divergences,
            "snapshots that differ from the state read",
        ),
        (view.alarms.unsound, "damaged snapshots"),
    ];
    let nonzero = counts.iter().filter(|(count, _)| *count > 0);
    out.extend(nonzero.map(|(count, meaning)| format!("{count} {meaning}")));
    out
}

fn table(view: &View) -> TableStatus {
    let changed = view.table.changed;
    let last = view
        .table
        .entries()
        .find(|(_, e)| Some(e.version) == changed);
    let in_force_on = changed.map(|offset| submission::in_force_on(view, offset));
    let (working, behind) = in_force_on.unwrap_or_default();
    TableStatus {
        changed,
        author: last.map_or_else(String::new, |(_, e)| e.author.clone()),
        at: last.map_or_else(String::new, |(_, e)| timestamp::format_utc(e.at_ms)),
        in_force: behind.is_empty(),
        working,
        behind,
    }
}

fn entry(entry: &EntryStatus) -> EntryLine {
    EntryLine {
        entry: entry.member.entry.to_string(),
        domain: entry.member.domain.to_string(),
        state: entry_state(entry),
        table: entry.config,
        spare: entry.spare,
    }
}

fn groups(view: &View) -> Vec<GroupLine> {
    let serving = serving_replicas(view);
    let formed = |group: &GroupId| view.replicas().filter(|(_, a)| a.group == *group).count();
    let line = |(group, row): (&GroupId, &hemlock_lib::table::GroupRow)| GroupLine {
        group: group.to_string(),
        serving: serving.get(group).copied().unwrap_or(0),
        formed: formed(group) as u32,
        wanted: row.replicas,
        minimum: row.minimum,
    };
    view.table.groups().map(line).collect()
}

fn domains(view: &View) -> Vec<DomainLine> {
    let stranded = stranded_vms(view);
    let mut out = Vec::new();
    for (domain, fleet) in &view.fleets {
        let engines = view
            .vms
            .values()
            .filter(|s| s.listing.domain == *domain && s.listing.role == VmRole::Engine);
        let live = engines.clone().filter(|s| s.health == Health::Live);
        let stranded_live = live.clone().filter(|s| stranded.contains(&&s.listing.vm));
        out.push(DomainLine {
            domain: domain.to_string(),
            lease: fleet.lease.as_ref().map(|l| l.holder.to_string()),
            fence: fleet.lease.as_ref().map(|l| l.fence.0),
            engines: engines.count(),
            live: live.count(),
            stranded: stranded_live.count(),
        });
    }
    out
}

fn vms_not_live(view: &View) -> Vec<VmLine> {
    let not_live = view.vms.iter().filter(|(_, s)| s.health != Health::Live);
    not_live
        .map(|(vm, s)| VmLine {
            vm: vm.to_string(),
            domain: s.listing.domain.to_string(),
            health: s.health,
            silent_ms: s.silent_ms,
        })
        .collect()
}

fn replicas(view: &View) -> Vec<ReplicaLine> {
    let line = |(id, a): (hemlock_lib::ids::ReplicaId, &hemlock_lib::fleet::Assignment)| {
        let serving = view.is_serving(&id, a);
        ReplicaLine {
            replica: id.to_string(),
            group: a.group.to_string(),
            version: a.version.to_string(),
            serving,
            vms: a.vms.clone(),
        }
    };
    view.replicas().map(line).collect()
}

fn text_table(status: &Status) -> TextTable {
    let mut text = TextTable::default();
    text.push_line(["log:", if status.log_up { "up" } else { "out" }]);
    text.push_line(["table:".to_owned(), describe_table(&status.table)]);
    text.start_section(&["entry vm", "domain", "state", "table read to", "spare"]);
    for e in &status.entries {
        let (table, spare) = (e.table.to_string(), format!("{:.2}", e.spare));
        text.push_line([&e.entry, &e.domain, e.state, table.as_str(), spare.as_str()]);
    }
    text.start_section(&["group", "serving", "formed", "wanted", "minimum"]);
    for g in &status.groups {
        let numbers = [g.serving, g.formed, g.wanted, g.minimum].map(|n| n.to_string());
        text.push_line(std::iter::once(g.group.clone()).chain(numbers));
    }
    text.start_section(&["domain", "lease", "fence", "engines", "live", "stranded"]);
    for d in &status.domains {
        let lease = d.lease.clone().unwrap_or_else(|| "-".to_owned());
        let fence = d.fence.map_or_else(|| "-".to_owned(), |f| f.to_string());
        let numbers = [d.engines, d.live, d.stranded].map(|n| n.to_string());
        text.push_line([d.domain.clone(), lease, fence].into_iter().chain(numbers));
    }
    if !status.ailing.is_empty() {
        text.start_section(&["vm not live", "domain", "health", "silent"]);
    }
    for v in &status.ailing {
        let silent = format!("{} ms", v.silent_ms);
        text.push_line([&v.vm, &v.domain, health_name(v.health), silent.as_str()]);
    }
    if let Some(replicas) = &status.replicas {
        text.start_section(&["replica", "group", "version", "state", "vms"]);
        for r in replicas {
            let vms: Vec<&str> = r.vms.iter().map(VmId::as_str).collect();
            let state = if r.serving { "serving" } else { "not serving" };
            text.push_line([
                &r.replica,
                &r.group,
                &r.version,
                state,
                vms.join(",").as_str(),
            ]);
        }
    }
    text
}

fn describe_table(table: &TableStatus) -> String {
    let Some(changed) = table.changed else {
        return "empty".to_owned();
    };
    let (author, at) = (&table.author, &table.at);
    let change = format!("changed at offset {changed} by {author}, {at}");
    if table.in_force {
        let working = table.working;
        return format!("{change}; in force on all {working} entry VMs");
    }
    let behind = table.behind.join(", ");
    format!("{change}; not in force since then on: {behind}")
}
