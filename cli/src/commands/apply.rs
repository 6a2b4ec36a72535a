//! `hemlock apply`: makes the table what a directory declares.

use std::io::Write;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command};
use hemlock_lib::declaration;
use hemlock_lib::ids::Offset;
use hemlock_lib::peers::{Settled, Submit};
use hemlock_lib::table::{Edit, Refusal};

use crate::exit::{Exit, Failure};
use crate::session::Session;

/// Time that `--wait` waits for every entry VM.
const WAIT: Duration = Duration::from_secs(12);
const POLL: Duration = Duration::from_millis(200);

pub(crate) fn command() -> Command {
    let dir = Arg::new("dir")
        .value_name("DIR")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("Directory of YAML files that declare the table");
    let wait = Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Wait until the change is in force on every entry VM");
    let author = Arg::new("author")
        .long("author")
        .value_name("NAME")
        .default_value("operator");
    Command::new("apply")
        .about("Make the table what a directory declares")
        .args([
            dir,
            wait,
            author.help("Name that the change is recorded under"),
        ])
}

pub(crate) fn run(
    session: &Session,
    matches: &ArgMatches,
    out: &mut impl Write,
) -> Result<Exit, Failure> {
    let dir = matches
        .get_one::<PathBuf>("dir")
        .cloned()
        .unwrap_or_default();
    let declared = declaration::open(&dir)
        .map_err(|e| Failure::new(Exit::Usage, e.current_context().to_string()))?;
    let edits = declaration::diff(&session.view()?.table, &declared);
    if edits.is_empty() {
        writeln!(out, "no row differs")?;
        return Ok(Exit::Done);
    }
    for edit in &edits {
        writeln!(out, "{} {}", verb(edit), edit.key)?;
    }
    let author = matches
        .get_one::<String>("author")
        .cloned()
        .unwrap_or_default();
    let offset = accepted(session.submit(Submit::Config { author, edits }))?;
    writeln!(out, "accepted at offset {offset}")?;
    if matches.get_flag("wait") {
        wait_in_force(session, offset, out)
    } else {
        Ok(Exit::Done)
    }
}

fn verb(edit: &Edit) -> &'static str {
    match (&edit.base, &edit.row) {
        (_, None) => "delete",
        (None, Some(_)) => "add",
        (Some(_), Some(_)) => "change",
    }
}

fn accepted(settled: Settled) -> Result<Offset, Failure> {
    let failure = match settled {
        Settled::Accepted { offset } => return Ok(offset),
        Settled::ConfigRefused(Refusal::Conflict { key, entry }) => {
            let who = entry.map_or_else(
                || "it is gone".to_owned(),
                |e| format!("{} changed it at offset {}", e.author, e.version),
            );
            let cause = format!("`{key}` moved on since it was read: {who}; nothing was changed");
            Failure::new(Exit::Conflict, cause)
        }
        Settled::NotAppended => Failure::new(
            Exit::Unreachable,
            "the log did not take the change; nothing was changed",
        ),
        Settled::Unknown => Failure::new(
            Exit::Unknown,
            "whether the change was accepted can't be told; run `hemlock status` before a new try",
        ),
        other => Failure::new(Exit::Refused, format!("the change was refused: {other:?}")),
    };
    Err(failure)
}

fn wait_in_force(session: &Session, offset: Offset, out: &mut impl Write) -> Result<Exit, Failure> {
    let end = Instant::now() + WAIT;
    loop {
        let view = session.view()?;
        let behind: Vec<String> = view
            .entries
            .iter()
            .filter(|e| e.config <= offset.0)
            .map(|e| e.member.entry.to_string())
            .collect();
        if behind.is_empty() {
            writeln!(out, "in force on {} entry VMs", view.entries.len())?;
            return Ok(Exit::Done);
        }
        if Instant::now() >= end {
            writeln!(out, "not confirmed on: {}", behind.join(", "))?;
            return Ok(Exit::NotInForce);
        }
        std::thread::sleep(POLL);
    }
}
