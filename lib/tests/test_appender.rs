//! Appender: each submission gets exactly one outcome, and the right one.

use std::time::Duration;

use hemlock_lib::appender::{AppendOutcome, Appender, Submission, Ticket};
use hemlock_lib::ids::{Nonce, StreamId};
use hemlock_lib::peers::Settled;
use hemlock_lib::time::Time;

fn submission(n: u64, stream: &str, deadline_ms: u64) -> Submission {
    Submission {
        ticket: Ticket(n),
        nonce: Nonce(n),
        stream: StreamId::new(stream),
        record: vec![0; 10],
        deadline: Time::from_millis(deadline_ms),
    }
}

#[test]
fn each_end_of_an_append_settles_its_submission() {
    let cases = [
        (Some(AppendOutcome::Appended), false, Some(Settled::Unknown)),
        (Some(AppendOutcome::Lost), false, Some(Settled::Unknown)),
        (
            Some(AppendOutcome::Refused),
            false,
            Some(Settled::NotAppended),
        ),
        (None, false, Some(Settled::Unknown)),
        (Some(AppendOutcome::Lost), true, None),
        (None, true, None),
    ];
    for (outcome, read_back, expected_outcome) in cases {
        let mut appender = Appender::default();
        appender.submit(submission(1, "config", 5_000));
        let (id, _) = appender.flush(Time::ZERO, false).expect("an append");
        let mut out = Vec::new();
        if let Some(outcome) = outcome {
            out.extend(appender.handle_outcome(id, outcome));
        }
        let ticket = read_back.then(|| appender.read_back(Nonce(1))).flatten();
        assert_eq!(ticket.is_some(), read_back);
        out.extend(appender.expire(Time::from_millis(5_000)));
        let settled: Vec<Settled> = out.into_iter().map(|(_, s)| s).collect();
        assert_eq!(settled, Vec::from_iter(expected_outcome), "{outcome:?}");
    }
}

#[test]
fn append_that_never_ends_blocks_no_other_and_its_late_end_is_ignored() {
    let mut appender = Appender::default();
    appender.submit(submission(1, "config", 60_000));
    let (first, _) = appender.flush(Time::ZERO, false).expect("an append");
    appender.submit(submission(2, "config", 60_000));
    let later = Time::ZERO + Duration::from_secs(3);
    assert!(appender.flush(later, false).is_none(), "one is in flight");
    assert!(appender.expire(later).is_empty());
    let (second, _) = appender.flush(later, false).expect("the next append");
    assert!(
        appender
            .handle_outcome(first, AppendOutcome::Refused)
            .is_empty()
    );
    assert!(
        appender.flush(later, false).is_none(),
        "the second is in flight"
    );
    let settled = appender.handle_outcome(second, AppendOutcome::Refused);
    assert_eq!(settled, [(Ticket(2), Settled::NotAppended)]);
}

#[test]
fn queued_records_are_batched_and_expire_unappended() {
    let mut appender = Appender::default();
    for n in 0..600 {
        appender.submit(submission(n, if n % 2 == 0 { "a" } else { "b" }, 1_000));
    }
    let mut sizes = Vec::new();
    for _ in 0..3 {
        let (id, call) = appender.flush(Time::ZERO, false).expect("an append");
        sizes.push((call.stream.to_string(), call.records.len()));
        appender.handle_outcome(id, AppendOutcome::Appended);
    }
    let expected = [("b", 256), ("a", 44), ("a", 256)].map(|(s, n)| (s.to_owned(), n));
    sizes.sort();
    let mut expected = Vec::from(expected);
    expected.sort();
    assert_eq!(sizes, expected);
    appender.submit(submission(601, "urgent", 1_000));
    assert!(appender.flush(Time::ZERO, true).is_none(), "held back");
    appender.submit_snapshot(submission(602, "urgent", 1_000));
    let (_, call) = appender
        .flush(Time::ZERO, true)
        .expect("snapshots are not held back");
    assert_eq!(call.stream.as_str(), "urgent");
    let settled = appender.expire(Time::from_millis(1_000));
    let unappended = settled.iter().filter(|(_, s)| *s == Settled::NotAppended);
    assert_eq!((settled.len(), unappended.count()), (602, 45));
}
