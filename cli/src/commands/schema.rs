//! `hemlock schema`: writes the JSON Schema of settings or of table files.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};
use hemlock_lib::declaration::Declaration;
use hemlock_lib::settings::Settings;

use crate::exit::{Exit, Failure};
use crate::session::Context;

pub(crate) fn command() -> Command {
    let kind = Arg::new("of")
        .value_name("OF")
        .required(true)
        .value_parser(PossibleValuesParser::new(["settings", "table"]))
        .help("Kind of files that the schema describes");
    Command::new("schema")
        .about("Write the JSON Schema of settings or of table files")
        .arg(kind)
        .after_help("Example:\n  hemlock schema settings > settings.schema.json")
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let kind = matches.get_one::<String>("of").map_or("", |s| s);
    let schema = match kind {
        "settings" => schemars::schema_for!(Settings),
        _ => schemars::schema_for!(Declaration),
    };
    let text = serde_json::to_string_pretty(&schema)
        .map_err(|e| Failure::new(Exit::Failed, e.to_string()))?;
    writeln!(context.out, "{text}")?;
    Ok(Exit::Done)
}
