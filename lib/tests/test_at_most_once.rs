//! At-most-once requests under seeded fault schedules, and the fold of their claims.

use hemlock_lib::chart::Charts;
use hemlock_lib::claims::{Answer, ClaimChange, ClaimId, ClaimRecord, Claims, Owner};
use hemlock_lib::codes::Code;
use hemlock_lib::ids::{Incarnation, Nonce};
use hemlock_testutils::at_most_once_simulation::{self, Outcome};
use serde_bytes::ByteBuf;
use uuid::Uuid;

/// Number of fault schedules.
const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;

fn run_schedules() -> Outcome {
    let charts = Charts::built_in().expect("the charts are valid");
    let mut total = Outcome::default();
    std::thread::scope(|scope| {
        let charts = &charts;
        let run_part = |t: u64| {
            let mut sum = Outcome::default();
            for seed in (t..SCHEDULES).step_by(THREADS as usize) {
                let outcome = at_most_once_simulation::run(seed, charts);
                let faults = [
                    outcome.duplicate_runs,
                    outcome.wrong_answers,
                    outcome.false_not_run,
                    outcome.repeated_answers,
                    outcome.hung,
                ];
                assert_eq!(faults, [0; 5], "seed {seed}: {outcome:?}");
                sum.add(&outcome);
            }
            sum
        };
        let threads: Vec<_> = (0..THREADS)
            .map(|t| scope.spawn(move || run_part(t)))
            .collect();
        for thread in threads {
            total.add(&thread.join().expect("no schedule fails"));
        }
    });
    total
}

/// Under faults no request runs twice, gets a wrong answer or a false `ran: no`, and each gets
/// exactly one final answer.
#[test]
fn no_request_runs_twice_or_hangs_under_fault_schedules() {
    let total = run_schedules();
    let seen = |code: Code| total.refused.get(&code).copied().unwrap_or(0);
    let codes = [
        Code::InProgress,
        Code::MayHaveRun,
        Code::ClaimUnknown,
        Code::ClaimUnavailable,
        Code::KeyReused,
        Code::DeadlineUnmet,
        Code::TimedOut,
    ];
    for code in codes {
        assert!(seen(code) > 0, "no schedule met {code:?}: {total:?}");
    }
    assert!(total.replayed > 0 && total.answered > total.sends / 10);
    println!("{total:?}");
}

fn owner(entry: &str) -> Owner {
    Owner {
        entry: entry.into(),
        run: Incarnation(1),
    }
}

fn answer() -> Answer {
    Answer {
        status: 200,
        kind: "text/plain".to_owned(),
        body: ByteBuf::from("done"),
    }
}

type Changes = Vec<(&'static str, u64, ClaimChange)>;

/// Folds changes of one key, and returns which were accepted.
fn fold(changes: &[(&str, u64, ClaimChange)]) -> (Claims, Vec<bool>) {
    let mut claims = Claims::default();
    let accepted = changes.iter().map(|(entry, claim, change)| {
        let record = ClaimRecord {
            nonce: Nonce(0),
            key: Uuid::nil(),
            owner: owner(entry),
            claim: ClaimId(*claim),
            binding: None,
            change: change.clone(),
        };
        claims.fold(claims.next, &record).is_ok()
    });
    let accepted = accepted.collect();
    (claims, accepted)
}

/// Only the claim that holds a key can change it, whatever the order of the records.
#[test]
fn only_the_claim_that_holds_a_key_changes_it() {
    use ClaimChange::{Claim, Close, Finish, Release};
    let finish = || Finish(answer());
    let close = Close { ran: false };
    let cases: Vec<(Changes, Vec<bool>)> = vec![
        // The first claim wins.
        (vec![("a", 1, Claim), ("b", 1, Claim)], vec![true, false]),
        // A released key can be claimed again.
        (
            vec![("a", 1, Claim), ("a", 1, Release), ("b", 1, Claim)],
            vec![true, true, true],
        ),
        // Another gateway's release does not affect the claim.
        (
            vec![("a", 1, Claim), ("b", 1, Release), ("b", 2, Claim)],
            vec![true, true, false],
        ),
        // A late release of an earlier claim does not free the later one.
        (
            vec![("a", 2, Claim), ("a", 1, Release), ("b", 1, Claim)],
            vec![true, true, false],
        ),
        // A claim that was released before its own record is ignored.
        (
            vec![("a", 1, Release), ("a", 1, Claim), ("b", 1, Claim)],
            vec![true, false, true],
        ),
        // A finished or closed claim can't be released.
        (
            vec![("a", 1, Claim), ("a", 1, finish()), ("a", 1, Release)],
            vec![true, true, false],
        ),
        (
            vec![("a", 1, Claim), ("a", 1, close.clone()), ("a", 1, Release)],
            vec![true, true, false],
        ),
        // Only the claim itself can be finished or closed.
        (vec![("a", 1, Claim), ("a", 2, finish())], vec![true, false]),
        (vec![("a", 1, Claim), ("b", 1, close)], vec![true, false]),
    ];
    for (changes, accepted) in cases {
        assert_eq!(fold(&changes).1, accepted, "{changes:?}");
    }
}
