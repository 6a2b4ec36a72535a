use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::memory::{DEFAULT_LIMIT_MB, Kind, Memory, Owner};
use hemlock_lib::time::Time;
use proptest::prelude::*;

const BODY: usize = 4 << 20;
const NOW: Time = Time::from_millis(5_000);

fn account(name: &str) -> Owner {
    Owner::Account(Arc::from(name))
}

/// Takes bodies of `bytes` for an owner until one is refused; returns their number.
fn fill(memory: &mut Memory, owner: &Owner, bytes: usize) -> usize {
    (0..)
        .take_while(|_| memory.try_hold_body(owner, 0, bytes))
        .count()
}

#[test]
fn endless_answers_leave_room_for_a_short_one() {
    for count in [1, 10, 100] {
        let mut memory = Memory::with_budget(2_000_000);
        let mut held = vec![0; count];
        let mut has_grown = true;
        while has_grown {
            has_grown = false;
            for bytes in &mut held {
                if memory.try_hold_answer(*bytes, 100) {
                    *bytes += 100;
                    has_grown = true;
                }
            }
        }
        assert!(held.iter().sum::<usize>() < 1_000_000);
        assert!(memory.try_hold_answer(0, 5_000), "{count} endless answers");
    }
}

#[test]
fn memory_that_was_given_back_is_used_again() {
    let mut memory = Memory::with_budget(2_400);
    for _ in 0..100 {
        assert!(memory.try_hold_answer(0, 500));
        assert!(!memory.try_hold_answer(500, 100));
        memory.free_answer(500);
    }
    let owner = account("a");
    let mut memory = Memory::with_budget(100 << 20);
    let count = fill(&mut memory, &owner, BODY);
    for _ in 0..100 {
        memory.free_body(NOW, Time::ZERO, &owner, BODY);
        assert!(memory.try_hold_body(&owner, 0, BODY));
        assert!(!memory.try_hold_body(&owner, 0, BODY));
    }
    assert_eq!(memory.held(Kind::Bodies), count * BODY);
}

/// The load of review/2: 19 callers of one account are served, and the daemon stays under its limit.
#[test]
fn one_account_has_most_of_the_room_while_it_is_alone() {
    let mut memory = Memory::new(DEFAULT_LIMIT_MB);
    let count = fill(&mut memory, &account("a"), BODY);
    assert!((19..32).contains(&count), "{count}");
    assert!(count * BODY < memory.budget() * 3 / 4);
}

#[test]
fn budget_leaves_room_in_each_size_of_vm() {
    for limit in [160, 260, 512] {
        let budget = Memory::new(f64::from(limit)).budget() >> 20;
        assert!(budget >= 64, "{limit}: {budget}");
        assert!(budget + 40 <= limit as usize * 9 / 10, "{limit}: {budget}");
    }
}

#[test]
fn account_with_large_bodies_does_not_shut_the_others_out() {
    let mut memory = Memory::new(160.0);
    let alone = fill(&mut memory, &account("a"), BODY);
    let second = fill(&mut memory, &account("b"), BODY);
    assert!(alone >= 4 && second >= 2, "{alone} {second}");
    assert!(fill(&mut memory, &account("c"), 1 << 20) >= 1);
}

#[test]
fn small_bodies_are_admitted_while_large_ones_are_refused() {
    let mut memory = Memory::new(160.0);
    for i in 0..100 {
        fill(&mut memory, &account(&i.to_string()), 100 << 10);
    }
    assert!(!memory.try_hold_body(&account("new"), 0, 100 << 10));
    // Those of an account that holds large ones, too.
    for owner in ["0", "new"] {
        let count = fill(&mut memory, &account(owner), 2_000);
        assert!(count >= 500, "{owner}: {count}");
    }
}

#[test]
fn answers_have_room_while_bodies_are_refused() {
    let mut memory = Memory::new(160.0);
    for i in 0..100 {
        let owner = account(&i.to_string());
        fill(&mut memory, &owner, 100 << 10);
        fill(&mut memory, &owner, 2_000);
    }
    assert!(memory.try_hold_answer(0, 2 << 20));
}

#[test]
fn body_that_grows_is_refused_once_it_is_too_large_for_the_room() {
    let mut memory = Memory::with_budget(8 << 20);
    let (owner, mut held) = (account("a"), 0);
    while memory.try_hold_body(&owner, held, 16 << 10) {
        held += 16 << 10;
    }
    assert!((1 << 20..6 << 20).contains(&held), "{held}");
    memory.free_body(NOW, Time::ZERO, &owner, held);
    assert_eq!(memory.held(Kind::Bodies), 0);
    assert!(memory.try_hold_body(&owner, 0, 4 << 20));
}

#[test]
fn unfinished_heads_leave_room_for_an_ordinary_one() {
    let memory = Memory::new(160.0);
    let mut own = vec![0; 4_000];
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for i in 0..own.len() {
            let total: usize = own.iter().sum();
            if own[i] < 16 << 10 && memory.may_buffer(own[i], total) {
                own[i] += 1 << 10;
                has_grown = true;
            }
        }
    }
    let total: usize = own.iter().sum();
    assert!(total <= memory.buffer_bound() + (1 << 20), "{total}");
    assert!(memory.may_buffer(1 << 10, total));
}

#[test]
fn refused_callers_are_told_to_come_one_after_the_other() {
    let mut memory = Memory::new(DEFAULT_LIMIT_MB);
    let owner = account("a");
    let count = fill(&mut memory, &owner, BODY) as u32;
    let wait = Duration::from_secs(30);
    let times: Vec<Duration> = (0..count)
        .map(|_| memory.retry_after(NOW, BODY, wait))
        .collect();
    assert!(times.windows(2).all(|w| w[0] < w[1]), "{times:?}");
    let last = times[times.len() - 1];
    let hold_time = Duration::from_secs(1);
    assert!(last > hold_time.mul_f64(0.9) && last < hold_time.mul_f64(1.1));
    // Callers heed a third of the time that they have left at most.
    let short = memory.retry_after(NOW, BODY, Duration::from_millis(900));
    assert_eq!(short, Duration::from_millis(300));
}

proptest! {
    #[test]
    fn bodies_and_answers_stay_within_the_budget(
        steps in prop::collection::vec((0..4_u8, 0..5_u8, 1..3_000_000_usize), 1..300),
    ) {
        let mut memory = Memory::with_budget(16 << 20);
        let mut bodies: Vec<(Owner, usize)> = Vec::new();
        let mut answers: Vec<usize> = Vec::new();
        for (step, who, bytes) in steps {
            let owner = account(&who.to_string());
            match step {
                0 if memory.try_hold_body(&owner, 0, bytes) => bodies.push((owner, bytes)),
                1 => {
                    if let Some((owner, held)) = bodies.first_mut()
                        && memory.try_hold_body(owner, *held, bytes)
                    {
                        *held += bytes;
                    }
                }
                2 if memory.try_hold_answer(0, bytes) => answers.push(bytes),
                3 => {
                    if let Some((owner, held)) = bodies.pop() {
                        memory.free_body(NOW, Time::ZERO, &owner, held);
                    }
                    if let Some(held) = answers.pop() {
                        memory.free_answer(held);
                    }
                }
                _ => {}
            }
            let sum: usize = bodies.iter().map(|(_, held)| held).sum();
            prop_assert_eq!(memory.held(Kind::Bodies), sum);
            let held = sum + memory.held(Kind::Answers) + memory.buffer_bound();
            prop_assert!(held <= memory.budget());
        }
        bodies.iter().for_each(|(o, held)| memory.free_body(NOW, Time::ZERO, o, *held));
        answers.iter().for_each(|held| memory.free_answer(*held));
        prop_assert_eq!((memory.held(Kind::Bodies), memory.held(Kind::Answers)), (0, 0));
    }
}
