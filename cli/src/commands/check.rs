//! `hemlock check`: checks table files without sending anything.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use hemlock_lib::declaration::{self, DeclaredTable};
use hemlock_lib::ids::DomainId;
use hemlock_lib::platform::VmRole;
use hemlock_lib::table::Edit;
use hemlock_lib::view::View;

use crate::exit::{Exit, Failure};
use crate::session::Context;

pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Check a directory of table files without sending anything")
        .arg(dir_arg())
        .after_help("Example:\n  hemlock check examples/tallow-creek/table")
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let declared = read_dir(matches)?;
    let edits = declared.all();
    reject_faults(context, &declared, &View::default(), &edits)?;
    writeln!(context.out, "{} rows ok", declared.rows.len())?;
    Ok(Exit::Done)
}

/// Returns the argument that names the directory of table files.
pub(crate) fn dir_arg() -> Arg {
    Arg::new("dir")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Directory of YAML files that declare the table")
}

/// Reads the table files of the directory on the command line.
///
/// # Errors
///
/// Fails with [`Exit::Usage`] if a file can't be read or parsed.
pub(crate) fn read_dir(matches: &ArgMatches) -> Result<DeclaredTable, Failure> {
    let dir = matches.get_one::<PathBuf>("dir").cloned();
    declaration::read_dir(dir.unwrap_or_default())
        .map_err(|e| Failure::usage(e.current_context().to_string()))
}

/// Checks edits and writes each fault on a line of its own.
///
/// # Errors
///
/// Fails with [`Exit::Usage`] if there is a fault.
pub(crate) fn reject_faults(
    context: &mut Context<'_>,
    declared: &DeclaredTable,
    view: &View,
    edits: &[Edit],
) -> Result<(), Failure> {
    let faults = declared.check(&view.table, edits, &count_engines(view));
    for fault in &faults {
        writeln!(context.err, "{fault}")?;
    }
    match faults.len() {
        0 => Ok(()),
        n => Err(Failure::usage(format!(
            "faults in the table: {n}; nothing was sent"
        ))),
    }
}

/// Counts the engine VMs of each failure domain.
fn count_engines(view: &View) -> BTreeMap<DomainId, usize> {
    let mut counts = BTreeMap::new();
    let listings = view.vms.values().map(|s| &s.listing);
    for listing in listings.filter(|l| l.role == VmRole::Engine) {
        *counts.entry(listing.domain.clone()).or_insert(0) += 1;
    }
    counts
}
