//! Scripts of the third review: each starts entry VMs as processes beside stand-ins, and checks one rule.

mod early;
mod gaps;
mod harness;
mod killer;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use harness::{Record, Verdict};
use killer::Trouble;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, path) = (args.next().unwrap_or_default(), args.next());
    let path = PathBuf::from(path.unwrap_or_else(|| "record.txt".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.add(format!("case {case}, trouble {has_trouble}"));
    let verdict = match case.as_str() {
        _ if !has_trouble && case.starts_with("killer-") => killer::run(&record, Trouble::None),
        "killer-roll" => killer::run(&record, Trouble::Roll),
        "killer-dark" => killer::run(&record, Trouble::Dark),
        "killer-query" => killer::run(&record, Trouble::Query),
        "gaps" => gaps::run(&record, has_trouble),
        "early" => early::run(&record, has_trouble),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    verdict.finish(&record, &path)
}
