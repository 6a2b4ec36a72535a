//! `hemlock drain`: takes an endpoint VM or an entry VM out of work, as planned.

use clap::{Arg, ArgMatches, Command};
use hemlock_lib::ids::{Offset, VmId};
use hemlock_lib::nearest::nearest;
use hemlock_lib::table::{DrainRow, Edit, Row, RowKey, Table};
use hemlock_lib::view::View;

use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::settle;

pub(crate) fn command() -> Command {
    let reason = Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .default_value("")
        .help("Why, for other operators");
    Command::new("drain")
        .about("Take a VM or an entry VM out of work without cutting off a request")
        .args([vm_arg(), reason])
        .args(settle::args())
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
        writeln!(context.out, "entry VM {name} announces that it leaves")?;
        return Ok(Exit::Done);
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
    settle::submit(context, matches, &view.table, edits)
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
