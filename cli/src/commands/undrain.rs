//! `hemlock undrain`: returns a drained VM to service.

use clap::{ArgMatches, Command};
use hemlock_lib::table::{Edit, RowKey};

use super::drain;
use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::submission;

pub(crate) fn command() -> Command {
    Command::new("undrain")
        .about("Return a drained VM to service")
        .arg(drain::vm_arg())
        .args(submission::args())
        .after_help(
            "To return an entry VM that left, restart its daemons.\n\n\
             Example:\n  hemlock undrain riverside-03",
        )
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let name = matches.get_one::<String>("vm").cloned();
    let name = name.unwrap_or_default();
    let view = context.session.view()?;
    if drain::entry_agent(&view, &name).is_some() {
        let cause = format!(
            "entry VM {name} can't be undrained; restart its daemons to return it; nothing was \
             changed"
        );
        return Err(Failure::new(Exit::Refused, cause));
    }
    let key = RowKey::Drain(name.as_str().into());
    let entry = view.table.entry(&key).filter(|e| e.row.is_some());
    let Some(entry) = entry else {
        let cause = format!("`{name}` is not drained; nothing was changed");
        return Err(Failure::new(Exit::Refused, cause));
    };
    let edit = Edit {
        base: Some(entry.version),
        key,
        row: None,
    };
    submission::submit(context, matches, &view.table, vec![edit])
}
