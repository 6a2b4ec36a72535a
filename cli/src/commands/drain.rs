//! `hemlock drain`: takes an endpoint VM or an entry VM out of service gracefully.

use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command};
use hemlock_lib::ids::{Offset, VmId};
use hemlock_lib::nearest::nearest;
use hemlock_lib::table::{DrainRow, Edit, Row, RowKey, Table};
use hemlock_lib::view::{EntryStatus, View};

use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::submission;

/// Time limit for the log to show that an entry VM is leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the view is read while waiting for an entry VM to leave.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) fn command() -> Command {
    let reason = Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .default_value("")
        .help("Reason that other operators see");
    Command::new("drain")
        .about("Take an endpoint VM or an entry VM out of service without interrupting requests")
        .args([vm_arg(), reason])
        .args(submission::args())
        .after_help(
            "A drained VM finishes its requests; its replica is formed again without it.\n\
             A drained entry VM is no longer among the addresses that callers are given; stop its daemons once it is idle.\n\n\
             Examples:\n  hemlock drain riverside-03 --reason \"fan noise\"\n  \
             hemlock drain tallow-creek-entry-2",
        )
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let name = matches.get_one::<String>("vm").cloned();
    let name = name.unwrap_or_default();
    let view = context.session.view()?;
    if let Some(agent) = entry_agent(&view, &name) {
        context.session.leave(&agent)?;
        return wait_leaving(context, &name);
    }
    let vm = find_vm(&view, &name)?;
    let reason = matches.get_one::<String>("reason").cloned();
    let row = DrainRow {
        reason: reason.unwrap_or_default(),
    };
    let key = RowKey::Drain(vm);
    let present = view.table.entry(&key).and_then(|e| e.row.as_ref());
    let edits = match present {
        Some(_) => Vec::new(),
        None => vec![Edit {
            base: base_version(&view.table, &key),
            key,
            row: Some(Row::Drain(row)),
        }],
    };
    submission::submit(context, matches, &view.table, edits)
}

/// Waits until the log shows that an entry VM is leaving.
///
/// # Errors
///
/// Fails with [`Exit::NotInForce`] if the log does not show it within [`LEAVE_TIMEOUT`].
fn wait_leaving(context: &mut Context<'_>, name: &str) -> Result<Exit, Failure> {
    let end = Instant::now() + LEAVE_TIMEOUT;
    while Instant::now() < end {
        let view = context.session.view()?;
        let leaving = |e: &EntryStatus| e.member.entry.as_str() == name && e.member.leaving;
        if view.entries.iter().any(leaving) {
            writeln!(context.out, "entry VM {name} is leaving")?;
            return Ok(Exit::Done);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let cause = format!(
        "entry VM {name} was told to leave, but the log did not show it within {} s; run the command again",
        LEAVE_TIMEOUT.as_secs()
    );
    Err(Failure::new(Exit::NotInForce, cause))
}

/// Returns the argument that names a VM.
pub(crate) fn vm_arg() -> Arg {
    Arg::new("vm")
        .value_name("VM")
        .required(true)
        .help("Endpoint VM or entry VM")
}

/// Returns the URL of the agent of an entry VM, or `None` if there is no entry VM of this name.
pub(crate) fn entry_agent(view: &View, name: &str) -> Option<String> {
    let mut entries = view.entries.iter();
    let entry = entries.find(|e| e.member.entry.as_str() == name)?;
    Some(entry.member.agent.clone())
}

/// Returns the offset of the last change of a row, which an edit of the row is based on.
pub(crate) fn base_version(table: &Table, key: &RowKey) -> Option<Offset> {
    table.entry(key).map(|e| e.version)
}

/// Returns an endpoint VM that the platform lists.
///
/// # Errors
///
/// Fails with [`Exit::Refused`] if no VM has this name; the message suggests the nearest name.
fn find_vm(view: &View, name: &str) -> Result<VmId, Failure> {
    if let Some((vm, _)) = view.vms.get_key_value(name) {
        return Ok(vm.clone());
    }
    let entries = view.entries.iter().map(|e| e.member.entry.as_str());
    let known = view.vms.keys().map(VmId::as_str).chain(entries);
    let suggestion = nearest(name, known).map(|m| format!("; did you mean `{m}`?"));
    let cause = format!("no VM is named `{name}`{}", suggestion.unwrap_or_default());
    Err(Failure::new(Exit::Refused, cause))
}
