//! `hemlock drain`: takes an endpoint VM or an entry VM out of work, as planned.

use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command};
use hemlock_lib::ids::{Offset, VmId};
use hemlock_lib::nearest::nearest;
use hemlock_lib::table::{DrainRow, Edit, Row, RowKey, Table};
use hemlock_lib::view::{EntryStatus, View};

use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::submission;

/// Time within which the log shows that an entry VM leaves.
const LEAVE_LIMIT: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(200);

pub(crate) fn command() -> Command {
    let reason = Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .default_value("")
        .help("Why, for other operators");
    Command::new("drain")
        .about("Take a VM or an entry VM out of work without cutting off a request")
        .args([vm_arg(), reason])
        .args(submission::args())
        .after_help(
            "A drained VM finishes its requests; its replica forms anew without it.\n\
             A drained entry VM leaves the address advice; stop its daemons once it is idle.\n\n\
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
    let vm = known_vm(&view, &name)?;
    let reason = matches.get_one::<String>("reason").cloned();
    let row = DrainRow {
        reason: reason.unwrap_or_default(),
    };
    let key = RowKey::Drain(vm);
    let present = view.table.entry(&key).and_then(|e| e.row.as_ref());
    let edits = match present {
        Some(_) => Vec::new(),
        None => vec![Edit {
            base: base(&view.table, &key),
            key,
            row: Some(Row::Drain(row)),
        }],
    };
    submission::submit(context, matches, &view.table, edits)
}

/// Waits until the log says that an entry VM leaves.
fn wait_leaving(context: &mut Context<'_>, name: &str) -> Result<Exit, Failure> {
    let end = Instant::now() + LEAVE_LIMIT;
    while Instant::now() < end {
        let view = context.session.view()?;
        let leaving = |e: &EntryStatus| e.member.entry.as_str() == name && e.member.leaving;
        if view.entries.iter().any(leaving) {
            writeln!(context.out, "entry VM {name} is leaving")?;
            return Ok(Exit::Done);
        }
        std::thread::sleep(POLL);
    }
    let cause = format!(
        "entry VM {name} was told to leave, but the log did not show it within {} s; run it again",
        LEAVE_LIMIT.as_secs()
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

/// Returns the address of an entry VM's agent.
pub(crate) fn entry_agent(view: &View, name: &str) -> Option<String> {
    let mut entries = view.entries.iter();
    let entry = entries.find(|e| e.member.entry.as_str() == name)?;
    Some(entry.member.agent.clone())
}

/// Returns the version of a row that an edit is made from.
pub(crate) fn base(table: &Table, key: &RowKey) -> Option<Offset> {
    table.entry(key).map(|e| e.version)
}

/// Returns an endpoint VM that the platform lists.
fn known_vm(view: &View, name: &str) -> Result<VmId, Failure> {
    if let Some((vm, _)) = view.vms.get_key_value(name) {
        return Ok(vm.clone());
    }
    let entries = view.entries.iter().map(|e| e.member.entry.as_str());
    let known = view.vms.keys().map(VmId::as_str).chain(entries);
    let meant = nearest(name, known).map(|m| format!("; did you mean `{m}`?"));
    let cause = format!("no VM is named `{name}`{}", meant.unwrap_or_default());
    Err(Failure::new(Exit::Refused, cause))
}
