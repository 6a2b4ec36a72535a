//! `hemlock explain`: shows why a VM is stranded, a replica is not serving or a request was refused.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use hemlock_lib::engine::HeldReplica;
use hemlock_lib::fleet::{Assignment, Fleet};
use hemlock_lib::ids::{ReplicaId, VmId};
use hemlock_lib::nearest::nearest;
use hemlock_lib::platform::VmRole;
use hemlock_lib::table::{Row, RowKey};
use hemlock_lib::view::{Health, View, VmStatus};
use serde::Serialize;

use super::status::{health_name, serving_replicas};
use crate::exit::{Exit, Failure};
use crate::output::{self, TextTable};
use crate::session::Context;
use crate::timeline;

pub(crate) fn command() -> Command {
    let name = Arg::new("thing")
        .value_name("REQUEST|VM|REPLICA")
        .required(true)
        .help("ID of a request, or name of a VM or replica, as in errors and in `status`");
    let logs = Arg::new("logs")
        .long("logs")
        .value_name("FILE")
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Saved logs of entry VMs; shows the timeline of the request from these, without calling an agent");
    Command::new("explain")
        .about("Say why a VM is stranded, a replica is not serving or a request was refused")
        .args([name, logs])
        .after_help(
            "Examples:\n  hemlock explain riverside-03\n  hemlock explain riverside.12\n  \
             hemlock explain 0198a5c2-7d1e-7a31-b3b5-7f5f7c0e2a11\n  \
             hemlock explain 9c41d07be2a35f68 --logs entry-1.log entry-2.log",
        )
}

#[derive(Debug, Serialize)]
struct Explanation {
    name: String,
    state: String,
    why: Vec<String>,
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let name = matches.get_one::<String>("thing").cloned();
    let name = name.unwrap_or_default();
    if let Some(files) = matches.get_many::<PathBuf>("logs") {
        let files: Vec<&Path> = files.map(PathBuf::as_path).collect();
        return explain_logs(context, &files, &name);
    }
    let view = context.session.view()?;
    let found = explain_vm(&view, &name).or_else(|| explain_replica(&view, &name));
    let found = match found {
        Some(found) => found,
        None => explain_request(context, &view, &name)?,
    };
    output::print(context.out, context.format, &found, || {
        let mut text = TextTable::default();
        text.push_line([format!("{}: {}", found.name, found.state)]);
        for why in &found.why {
            text.push_line([format!("  {why}")]);
        }
        text
    })?;
    Ok(Exit::Done)
}

fn explain_logs(context: &mut Context<'_>, files: &[&Path], name: &str) -> Result<Exit, Failure> {
    let timeline = timeline::read(files, name)?;
    output::print(context.out, context.format, &timeline, || {
        let mut text = TextTable::default();
        text.push_line([format!(
            "request {}: {}",
            timeline.request, timeline.verdict
        )]);
        for line in &timeline.lines {
            text.push_line([format!("  {line}")]);
        }
        text
    })?;
    Ok(Exit::Done)
}

fn explain_vm(view: &View, name: &str) -> Option<Explanation> {
    let (vm, status) = view.vms.get_key_value(name)?;
    let owner = replica_of(view, vm);
    let state = match &owner {
        Some((id, a)) if view.is_serving(id, a) => format!("part of serving replica {id}"),
        Some((id, _)) => format!("part of replica {id}, which is not serving"),
        None if status.listing.role == VmRole::Engine => "outside any replica".to_owned(),
        None => "runs a plain service".to_owned(),
    };
    let mut why = health_causes(view, vm, status);
    match owner {
        Some((id, a)) => why.extend(replica_causes(view, &id, a)),
        None if status.listing.role == VmRole::Engine => why.extend(free_causes(view, status)),
        None => {}
    }
    Some(Explanation {
        name: format!("VM {vm}"),
        state: format!("{}, {state}", health_name(status.health)),
        why,
    })
}

fn explain_replica(view: &View, name: &str) -> Option<Explanation> {
    let (id, assignment) = view.replicas().find(|(id, _)| id.to_string() == name)?;
    let serving = view.is_serving(&id, assignment);
    let state = if serving { "serving" } else { "not serving" };
    Some(Explanation {
        name: format!("replica {id}"),
        state: format!("{state} {} of {}", assignment.version, assignment.group),
        why: replica_causes(view, &id, assignment),
    })
}

fn explain_request(context: &Context<'_>, view: &View, name: &str) -> Result<Explanation, Failure> {
    let mut unreachable = Vec::new();
    for entry in view.entries.iter().filter(|e| e.live) {
        let url = format!("{}/v1/requests/{name}", entry.member.gateway);
        match context.session.get(&url) {
            Ok(Some(body)) => return Ok(explanation(name, entry.member.entry.as_str(), &body)),
            Ok(None) => {}
            Err(e) => unreachable.push(format!("{} ({e})", entry.member.entry)),
        }
    }
    Err(unknown_name(view, name, &unreachable))
}

fn explanation(name: &str, entry: &str, body: &[u8]) -> Explanation {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let why = match value {
        serde_json::Value::Object(fields) => fields
            .iter()
            .map(|(key, value)| format!("{key}: {}", value.to_string().trim_matches('"')))
            .collect(),
        other => vec![other.to_string()],
    };
    Explanation {
        name: format!("request {name}"),
        state: format!("remembered by entry VM {entry}"),
        why,
    }
}

fn unknown_name(view: &View, name: &str, unreachable: &[String]) -> Failure {
    let replicas: Vec<String> = view.replicas().map(|(id, _)| id.to_string()).collect();
    let known = view.vms.keys().map(VmId::as_str);
    let suggestion = nearest(name, known.chain(replicas.iter().map(String::as_str)));
    let suggestion = suggestion.map(|m| format!("; did you mean `{m}`?"));
    let unanswered = match unreachable {
        [] => String::new(),
        unreachable => format!("; no answer from: {}", unreachable.join(", ")),
    };
    let cause = format!(
        "no VM, replica or remembered request is named `{name}`{}{unanswered}",
        suggestion.unwrap_or_default()
    );
    Failure::new(Exit::Refused, cause)
}

fn health_causes(view: &View, vm: &VmId, status: &VmStatus) -> Vec<String> {
    let drain = view.table.entry(&RowKey::Drain(vm.clone()));
    let drain = drain.and_then(|e| Some((e, e.row.as_ref()?)));
    if let Some((entry, Row::Drain(row))) = drain {
        let (author, reason) = (&entry.author, &row.reason);
        return vec![format!(
            "{author} drains it: {reason}; `hemlock undrain {vm}` ends that"
        )];
    }
    let silent = status.silent_ms;
    let cause = match status.health {
        Health::Live => return Vec::new(),
        Health::Unknown => "it was listed but not probed yet".to_owned(),
        Health::Suspect => format!("it missed a probe and was last heard {silent} ms ago"),
        Health::Lost => {
            format!("it is silent past the probe bound, for {silent} ms")
        }
        Health::Leaving => "the platform lists it as leaving".to_owned(),
        Health::Probation => "it came and went too often and waits out its probation".to_owned(),
    };
    vec![cause]
}

fn replica_causes(view: &View, id: &ReplicaId, assignment: &Assignment) -> Vec<String> {
    let missing = missing_ranks(view, id, assignment);
    let mut out: Vec<String> = missing
        .into_iter()
        .filter_map(|rank| {
            let vm = assignment.vms.get(rank)?;
            Some(format!(
                "rank {rank}: {}",
                rank_cause(view, id, assignment, rank, vm)
            ))
        })
        .collect();
    if !out.is_empty() {
        out.extend(shard_causes(view, view.fleets.get(&id.shard)));
    }
    if assignment.draining {
        out.push("it is being ended and gets no new work".to_owned());
    }
    out
}

/// Returns the ranks that no VM of the replica reports as ready in the newest formation.
fn missing_ranks(view: &View, id: &ReplicaId, assignment: &Assignment) -> Vec<usize> {
    let members = assignment.vms.iter().chain(&assignment.reserve);
    let holders: Vec<(&VmStatus, &HeldReplica)> = members
        .filter_map(|vm| {
            let status = view.vms.get(vm)?;
            let held = status.held.as_ref().filter(|h| h.replica == *id)?;
            Some((status, held))
        })
        .collect();
    let newest = holders.iter().map(|(_, held)| held.form).max();
    let newest = newest.unwrap_or(assignment.form).max(assignment.form);
    let confirmed = |rank: usize| {
        holders.iter().any(|(status, held)| {
            is_responsive(status)
                && held.ready
                && held.form == newest
                && held.version == assignment.version
                && held.rank as usize == rank
        })
    };
    (0..assignment.vms.len())
        .filter(|rank| !confirmed(*rank))
        .collect()
}

fn is_responsive(status: &VmStatus) -> bool {
    matches!(
        status.health,
        Health::Live | Health::Leaving | Health::Probation
    )
}

fn rank_cause(
    view: &View,
    id: &ReplicaId,
    assignment: &Assignment,
    rank: usize,
    vm: &VmId,
) -> String {
    let Some(status) = view.vms.get(vm) else {
        return format!("the platform does not list {vm}");
    };
    if !is_responsive(status) {
        let (health, silent) = (health_name(status.health), status.silent_ms);
        return format!("{vm} is {health}, last heard {silent} ms ago");
    }
    match &status.held {
        None => format!("{vm} holds no replica yet"),
        Some(held) if held.replica != *id => format!("{vm} still holds replica {}", held.replica),
        Some(held) if held.version != assignment.version => {
            format!("{vm} holds version {}", held.version)
        }
        Some(held) if held.rank as usize != rank => format!("{vm} holds rank {}", held.rank),
        Some(held) if !held.ready => format!("{vm} is loading {}", held.version),
        Some(_) => format!("{vm} follows an older formation"),
    }
}

fn free_causes(view: &View, status: &VmStatus) -> Vec<String> {
    let domain = &status.listing.domain;
    let Some(fleet) = view.fleets.get(domain) else {
        return vec![format!("no setting `domains` names its domain {domain}")];
    };
    if let Some(seq) = fleet.owner(&status.listing.vm) {
        return vec![format!(
            "replica {domain}.{seq} ended, and it has not confirmed that it unloaded"
        )];
    }
    if let Some(held) = &status.held {
        return vec![format!("it still holds the ended replica {}", held.replica)];
    }
    let mut out = shard_causes(view, Some(fleet));
    out.extend(demand_cause(view, status, fleet));
    out
}

fn demand_cause(view: &View, status: &VmStatus, fleet: &Fleet) -> Option<String> {
    let serving = serving_replicas(view);
    let below_target = view.table.groups().find(|(group, row)| {
        let count = serving.get(*group).copied().unwrap_or(0);
        count < row.replicas
    });
    let Some((group, _)) = below_target else {
        return Some("no group wants another replica".to_owned());
    };
    let free = view.vms.values().filter(|s| {
        s.listing.domain == status.listing.domain
            && s.listing.role == VmRole::Engine
            && s.health == Health::Live
            && s.held.is_none()
            && fleet.owner(&s.listing.vm).is_none()
    });
    let free = free.count();
    let mut versions = view.table.versions().filter(|(_, v)| v.group == *group);
    let (version, row) = versions.next()?;
    let span = row.span;
    let domain = &status.listing.domain;
    if (free as u32) < span {
        return Some(format!(
            "{version} spans {span} VMs, and {domain} has only {free} free"
        ));
    }
    Some(format!(
        "group {group} wants more replicas; one in {domain} is due or its share is elsewhere"
    ))
}

fn shard_causes(view: &View, fleet: Option<&Fleet>) -> Vec<String> {
    let mut out = Vec::new();
    if !view.log_up {
        out.push("the log is out, so no replica can be formed".to_owned());
    }
    let lease = fleet.and_then(|f| f.lease.as_ref());
    match lease {
        None => out.push("no planner holds the lease of its domain".to_owned()),
        Some(lease) => {
            let is_holder = |e: &&hemlock_lib::view::EntryStatus| e.member.entry == lease.holder;
            if view.entries.iter().find(is_holder).is_none_or(|e| !e.live) {
                out.push(format!(
                    "the holder of the lease, {}, is silent",
                    lease.holder
                ));
            }
        }
    }
    out
}

fn replica_of<'a>(view: &'a View, vm: &VmId) -> Option<(ReplicaId, &'a Assignment)> {
    view.replicas()
        .find(|(_, a)| a.vms.contains(vm) || a.reserve.contains(vm))
}
