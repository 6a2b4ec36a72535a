use hemlock_lib::node::events::EventSplitter;
use hemlock_lib::node::holding::{Next, Standing, may_switch};

/// A request with one silent endpoint of two that it may run at.
const HELD: Standing = Standing {
    held: 1,
    is_cut_peer: false,
    has_failed: true,
    may_retry: true,
    possible_runs: 1,
    max_attempts: 2,
};

#[test]
fn request_of_a_silent_endpoint_is_tried_elsewhere() {
    assert_eq!(HELD.next(), Next::Try);
}

#[test]
fn request_does_not_end_while_a_send_is_held() {
    assert_eq!(HELD.after_refusal(), Next::Listen);
    let used_up = Standing {
        possible_runs: 2,
        ..HELD
    };
    assert_eq!(used_up.next(), Next::Listen);
    let once = Standing {
        may_retry: false,
        ..HELD
    };
    assert_eq!(once.next(), Next::Listen);
}

#[test]
fn request_ends_when_nothing_is_held_and_no_attempt_is_left() {
    let ended = Standing { held: 0, ..HELD };
    assert_eq!(ended.next(), Next::Try);
    assert_eq!(ended.after_refusal(), Next::End);
    let used_up = Standing {
        possible_runs: 2,
        ..ended
    };
    assert_eq!(used_up.next(), Next::End);
    let once = Standing {
        may_retry: false,
        ..ended
    };
    assert_eq!(once.next(), Next::End);
}

#[test]
fn request_is_tried_while_no_send_has_failed() {
    let unsent = Standing {
        held: 0,
        has_failed: false,
        may_retry: false,
        possible_runs: 0,
        max_attempts: 1,
        ..HELD
    };
    assert_eq!(unsent.next(), Next::Try);
}

/// The VM of the caller can find another way, which a VM without a path can't.
#[test]
fn peer_that_is_cut_off_hands_a_held_request_back() {
    let cut = Standing {
        is_cut_peer: true,
        ..HELD
    };
    assert_eq!(cut.next(), Next::Try);
    assert_eq!(cut.after_refusal(), Next::End);
    let used_up = Standing {
        possible_runs: 2,
        ..cut
    };
    assert_eq!(used_up.next(), Next::End);
}

#[test]
fn send_that_was_held_counts_as_one_run() {
    assert!(may_switch(true, 0, false, 2));
    assert!(!may_switch(true, 1, false, 2));
    assert!(may_switch(true, 1, true, 2));
    assert!(!may_switch(true, 2, true, 2));
    assert!(!may_switch(false, 0, false, 2));
}

#[test]
fn splitter_tells_a_complete_event_without_taking_it() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n");
    assert!(!splitter.has_event());
    assert!(splitter.next_event().is_none());
    splitter.push(b"\nid: 2");
    assert!(splitter.has_event());
    assert_eq!(splitter.next_event().and_then(|e| e.id), Some(1));
    assert!(!splitter.has_event());
    assert_eq!(splitter.partial(), b"id: 2");
}
