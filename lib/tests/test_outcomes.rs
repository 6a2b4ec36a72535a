//! Record of the outcomes of a gateway's latest requests.

use std::time::Duration;

use hemlock_lib::codes::{Code, Ran};
use hemlock_lib::gateway::{FailReason, Input, Output, Target};
use hemlock_lib::ids::{AttemptId, RequestId};
use hemlock_lib::outcomes::{End, Outcomes};
use hemlock_lib::time::Time;

fn arrive(outcomes: &mut Outcomes, at: u64, name: &str) -> RequestId {
    let request = RequestId::new(name);
    let target = Target::Model("listwriter".into());
    outcomes.record_arrival(Time::from_millis(at), &request, &target);
    request
}

#[test]
fn attempts_retries_and_the_first_end_are_recorded() {
    let mut outcomes = Outcomes::new(8);
    let request = arrive(&mut outcomes, 7, "r");
    let dispatch = |vm: &str| Output::Dispatch {
        request: request.clone(),
        attempt: AttemptId(1),
        vm: vm.into(),
        address: String::new(),
        replica: None,
    };
    outcomes.record_output(&dispatch("a"));
    outcomes.record_output(&Output::Retry(request.clone(), FailReason::Broken));
    outcomes.record_output(&dispatch("b"));
    outcomes.record_output(&Output::Refuse {
        request: request.clone(),
        code: Code::NoReplica,
        ran: Ran::No,
        retry_after: Duration::ZERO,
    });
    outcomes.record_input(Time::from_millis(9), &Input::CallerLeft(request.clone()));
    let found = outcomes.get(&request).expect("the outcome is recorded");
    let attempts: Vec<&str> = found.attempts.iter().map(|vm| vm.as_str()).collect();
    assert_eq!((found.arrived_ms, attempts), (7, vec!["a", "b"]));
    assert_eq!(found.retried, ["broken"]);
    let end = (found.end, found.code, found.ran);
    assert_eq!(end, (End::Refused, Some(1303), Some(Ran::No)));
}

#[test]
fn the_oldest_request_is_dropped_first() {
    let mut outcomes = Outcomes::new(2);
    let all: Vec<RequestId> = ["a", "b", "c"]
        .map(|r| arrive(&mut outcomes, 0, r))
        .to_vec();
    let kept = all.iter().map(|r| outcomes.get(r).is_some());
    assert_eq!(kept.collect::<Vec<bool>>(), [false, true, true]);
}
