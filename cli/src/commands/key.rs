//! `hemlock key`: creates and rotates keys of client accounts, and prints their hashes.

use std::io::Read;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use hemlock_lib::declaration::{self, DeclaredTable};
use hemlock_lib::hash;
use hemlock_lib::ids::AccountId;
use hemlock_lib::table::{Row, RowKey};

use crate::exit::{Exit, Failure};
use crate::session::Context;
use crate::{rows, submission};

/// Random bytes that a new key is derived from.
const KEY_BYTES: usize = 32;

pub(crate) fn command() -> Command {
    let file_arg = |description: &'static str| {
        Arg::new("file")
            .long("file")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help(description)
    };
    let account = Arg::new("account")
        .value_name("ACCOUNT")
        .required(true)
        .help("Client account, such as account-01");
    let new = Command::new("new")
        .about("Write a new key to a file and print its hash; the key itself is never printed")
        .arg(file_arg("File to write; it must not exist"));
    let rotate = Command::new("rotate")
        .about("Write a new key to a file and make it the account's; the old key becomes invalid at once")
        .args([account, file_arg("File to write; it must not exist")])
        .args(submission::args());
    let hash = Command::new("hash")
        .about("Print the hash of the key in a file, for the column `key_hash`")
        .arg(file_arg("File that holds the key"));
    Command::new("key")
        .about("Create and rotate keys of client accounts, and print their hashes")
        .subcommand_required(true)
        .subcommands([new, rotate, hash])
        .after_help(
            "Examples:\n  hemlock key new --file account-11.key\n  \
             hemlock key hash --file account-11.key\n  \
             hemlock key rotate account-01 --file account-01.key --wait",
        )
}

pub(crate) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    match matches.subcommand() {
        Some(("new", args)) => {
            let hash = write_new_key(&file_path(args))?;
            writeln!(context.out, "{hash}")?;
            Ok(Exit::Done)
        }
        Some(("hash", args)) => {
            let path = file_path(args);
            let text = std::fs::read_to_string(&path)
                .map_err(|e| Failure::usage(format!("{}: can't read: {e}", path.display())))?;
            writeln!(context.out, "{}", hash::sha256_hex(text.trim().as_bytes()))?;
            Ok(Exit::Done)
        }
        Some(("rotate", args)) => rotate(context, args),
        _ => Err(Failure::usage("no such command")),
    }
}

fn rotate(context: &mut Context<'_>, matches: &ArgMatches) -> Result<Exit, Failure> {
    let account = matches.get_one::<String>("account").cloned();
    let key = RowKey::Account(AccountId::new(account.unwrap_or_default()));
    let table = context.session.view()?.table;
    let (entry, row) = rows::find(&table, &key)?;
    let Row::Account(row) = row else {
        return Err(Failure::new(
            Exit::Refused,
            format!("`{key}` is not an account"),
        ));
    };
    let mut row = row.clone();
    row.key_hash = write_new_key(&file_path(matches))?;
    let mut declared = DeclaredTable::default();
    declared.bases.insert(key.clone(), entry.version);
    declared.rows.insert(key, Row::Account(row));
    let edits = declaration::upserts(&table, &declared);
    submission::submit(context, matches, &table, edits)
}

fn file_path(matches: &ArgMatches) -> PathBuf {
    let file = matches.get_one::<PathBuf>("file").cloned();
    file.unwrap_or_default()
}

/// Writes a new key to a new file that only its owner can read, and returns the hash of the key.
///
/// # Errors
///
/// Fails with [`Exit::Usage`] if the file exists or can't be written.
fn write_new_key(path: &std::path::Path) -> Result<String, Failure> {
    use std::io::Write as _;
    use std::os::unix::fs::OpenOptionsExt as _;
    let write_error =
        |e: std::io::Error| Failure::usage(format!("{}: can't write: {e}", path.display()));
    let mut bytes = [0; KEY_BYTES];
    let mut source = std::fs::File::open("/dev/urandom").map_err(write_error)?;
    source.read_exact(&mut bytes).map_err(write_error)?;
    let key = hash::sha256_hex(&bytes);
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create_new(true).mode(0o600);
    let mut file = options.open(path).map_err(write_error)?;
    writeln!(file, "{key}").map_err(write_error)?;
    Ok(hash::sha256_hex(key.as_bytes()))
}
