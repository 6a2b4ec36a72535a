//! `hemlock watch`: writes a line for each change of the system's state.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use hemlock_lib::view::View;
use serde::Serialize;

use super::status::{entry_state, health_name};
use crate::exit::{Exit, Failure};
use crate::output::Format;
use crate::rows;
use crate::session::Context;
use crate::timestamp;

/// Interval at which the view is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn command() -> Command {
    let seconds = Arg::new("seconds")
        .long("for")
        .value_name("SECONDS")
        .value_parser(value_parser!(u64))
        .help("Stop after this time; by default, watch until interrupted");
    Command::new("watch")
        .about("Write a line for each change of the system's state")
        .arg(seconds)
        .after_help("Example:\n  hemlock watch --for 60")
}

/// States of the log, VMs, replicas, leases and rows by name.
type ObjectStates = BTreeMap<String, String>;

/// Change of the state of one object.
#[derive(Debug, Serialize)]
struct Event<'a> {
    at: &'a str,
    /// Name of the object.
    thing: &'a str,
    /// State before the change; `None` if the object is new.
    was: Option<&'a str>,
    /// State after the change; `gone` if the object no longer exists.
    is: &'a str,
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let seconds = matches.get_one::<u64>("seconds").copied();
    let end = seconds.map(|s| Instant::now() + Duration::from_secs(s));
    let mut last = object_states(&context.session.view()?);
    let mut agent_answered = true;
    writeln!(context.err, "watching {} objects", last.len())?;
    while end.is_none_or(|end| Instant::now() < end) {
        std::thread::sleep(POLL_INTERVAL);
        match context.session.view() {
            Ok(view) => {
                let next = object_states(&view);
                write_changes(context, &last, &next)?;
                last = next;
                agent_answered = true;
            }
            Err(failure) => {
                if agent_answered {
                    writeln!(context.err, "{}", failure.cause)?;
                }
                agent_answered = false;
            }
        }
    }
    Ok(Exit::Done)
}

fn object_states(view: &View) -> ObjectStates {
    let mut out = ObjectStates::new();
    let log = if view.log_up { "up" } else { "out" };
    out.insert("log".to_owned(), log.to_owned());
    for entry in &view.entries {
        let name = format!("entry VM {}", entry.member.entry);
        out.insert(name, entry_state(entry).to_owned());
    }
    for (vm, status) in &view.vms {
        out.insert(format!("VM {vm}"), health_name(status.health).to_owned());
    }
    for (id, assignment) in view.replicas() {
        let serving = view.is_serving(&id, assignment);
        let state = if serving { "serving" } else { "not serving" };
        out.insert(format!("replica {id}"), state.to_owned());
    }
    for (shard, fleet) in &view.fleets {
        let holder = fleet.lease.as_ref().map(|l| l.holder.to_string());
        let holder = holder.unwrap_or_else(|| "nobody".to_owned());
        out.insert(format!("lease {shard}"), holder);
    }
    for (key, entry, row) in view.table.rows() {
        let columns = rows::describe_changes(None, Some(row));
        out.insert(
            format!("row {key}"),
            format!("{columns} (by {})", entry.author),
        );
    }
    out
}

fn write_changes(
    context: &mut Context<'_>,
    old: &ObjectStates,
    new: &ObjectStates,
) -> Result<(), Failure> {
    let gone = old.keys().filter(|k| !new.contains_key(*k));
    let gone = gone.map(|k| (k.as_str(), "gone"));
    let changed = new.iter().filter(|(k, v)| old.get(*k) != Some(*v));
    let changed = changed.map(|(k, v)| (k.as_str(), v.as_str()));
    let at = timestamp::format_utc(hemlock_wire::clock::now().as_millis());
    for (thing, is) in gone.chain(changed) {
        let was = old.get(thing).map(String::as_str);
        let event = Event {
            at: &at,
            thing,
            was,
            is,
        };
        write_event(context, &event)?;
    }
    Ok(())
}

fn write_event(context: &mut Context<'_>, event: &Event<'_>) -> Result<(), Failure> {
    if context.format != Format::Table {
        let line =
            serde_json::to_string(event).map_err(|e| Failure::new(Exit::Failed, e.to_string()))?;
        writeln!(context.out, "{line}")?;
        return Ok(());
    }
    let was = event.was.map(|w| format!("{w} -> ")).unwrap_or_default();
    let Event { at, thing, is, .. } = event;
    writeln!(context.out, "{at} {thing}: {was}{is}")?;
    Ok(())
}
