//! `hemlock status`: entry VMs, groups and replicas.

use std::collections::BTreeMap;
use std::io::Write;

use clap::Command;
use hemlock_lib::ids::GroupId;
use hemlock_lib::view::View;

use crate::exit::{Exit, Failure};
use crate::session::Session;

pub(crate) fn command() -> Command {
    Command::new("status").about("Show entry VMs, groups and replicas")
}

pub(crate) fn run(session: &Session, out: &mut impl Write) -> Result<Exit, Failure> {
    let view = session.view()?;
    writeln!(out, "log: {}", if view.log_up { "up" } else { "out" })?;
    for entry in &view.entries {
        let state = match (entry.live, entry.member.leaving) {
            (_, true) => "leaving",
            (true, false) => "live",
            (false, false) => "silent",
        };
        writeln!(
            out,
            "entry VM {}: {state}, table read to {}",
            entry.member.entry, entry.config
        )?;
    }
    let serving = serving(&view);
    for (group, row) in view.table.groups() {
        let count = serving.get(group).copied().unwrap_or(0);
        writeln!(
            out,
            "group {group}: {count} of {} replicas serving",
            row.replicas
        )?;
    }
    Ok(Exit::Done)
}

fn serving(view: &View) -> BTreeMap<GroupId, u32> {
    let mut out = BTreeMap::new();
    for (id, assignment) in view.replicas() {
        if view.is_serving(&id, assignment) {
            *out.entry(assignment.group.clone()).or_insert(0) += 1;
        }
    }
    out
}
