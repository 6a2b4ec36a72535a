use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::capacity::Demand;
use hemlock_lib::node::endpoints::Endpoint;
use hemlock_lib::node::planner::{Action, Reply, parse_group_name};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node_world::{World, engine};

const LARGE: (&str, usize, f64) = ("large", 4, 0.5);
const SMALL: (&str, usize, f64) = ("small", 2, 0.5);

fn both() -> hemlock_lib::node::config::Engine {
    engine(&[LARGE, SMALL])
}

#[test]
fn names_tell_size_and_model() {
    assert_eq!(parse_group_name("g17-4-a-b"), Some((4, "a-b")));
    assert_eq!(parse_group_name("g17-4"), None);
    assert_eq!(parse_group_name("other"), None);
}

#[test]
fn all_groups_form_before_callers_come() {
    let mut world = World::new(both(), &[10; 6], 1);
    world.run(Duration::from_secs(6));
    let serving = world.serving();
    assert!(serving["large"] >= 6, "{serving:?}");
    assert!(serving["small"] >= 12, "{serving:?}");
}

/// Engines are listed a few at a time; pairs must not take those that a group of four waits for.
#[test]
fn small_groups_leave_engines_to_large_ones() {
    let mut world = World::new(both(), &[], 1);
    for i in 0..10 {
        for d in 0..6 {
            world.add(&format!("w{d}-{i}"), &format!("d{d}"));
            world.run(Duration::from_millis(50));
        }
    }
    world.run(Duration::from_secs(4));
    let serving = world.serving();
    assert!(serving["large"] >= 5, "{serving:?}");
    assert!(serving["small"] >= 11, "{serving:?}");
}

#[test]
fn a_lost_member_is_replaced_within_three_seconds() {
    let mut world = World::new(both(), &[10; 6], 1);
    world.run(Duration::from_secs(8));
    world.early = false;
    let before = world.serving();
    let (_, id, _) = join_of(&world, "large", 3);
    world.crash(&id);
    world.run(Duration::from_secs(3));
    let after = world.serving();
    assert!(after["large"] >= before["large"], "{before:?} {after:?}");
}

#[test]
fn a_lost_head_is_replaced_within_three_seconds() {
    let mut world = World::new(both(), &[10; 6], 1);
    world.run(Duration::from_secs(8));
    world.early = false;
    let before = world.serving();
    let (_, id, _) = join_of(&world, "large", 0);
    world.crash(&id);
    world.run(Duration::from_secs(3));
    let after = world.serving();
    assert!(after["large"] >= before["large"], "{before:?} {after:?}");
}

/// Returns the first join of a model's group at a rank.
fn join_of(
    world: &World,
    wanted: &str,
    rank: usize,
) -> (hemlock_lib::time::Time, std::sync::Arc<str>, Action) {
    let found = world.orders.iter().find(|(_, id, action)| match action {
        Action::Join { model, members, .. } => &**model == wanted && members[rank] == *id,
        _ => false,
    });
    found.expect("such a group").clone()
}

#[test]
fn a_draining_member_is_replaced_after_its_group_has_finished() {
    let mut world = World::new(both(), &[10; 6], 1);
    world.run(Duration::from_secs(8));
    world.early = false;
    let (_, id, _) = join_of(&world, "large", 2);
    world.orders.clear();
    world.drain(&id);
    world.run(Duration::from_secs(4));
    let actions: Vec<&str> = world.orders.iter().map(|(_, _, a)| a.name()).collect();
    let close = actions.iter().position(|a| *a == "close");
    let leave = actions.iter().position(|a| *a == "leave");
    assert!(close < leave && close.is_some(), "{actions:?}");
    assert!(world.serving()["large"] >= 5);
}

/// A planner that starts again must not give out the epochs of its last run.
#[test]
fn epochs_are_never_given_out_twice() {
    let mut world = World::new(both(), &[10; 2], 1);
    world.run(Duration::from_secs(6));
    let epochs = |world: &World| -> BTreeSet<u64> {
        let joins = world.orders.iter().filter_map(|(_, _, a)| match a {
            Action::Join { epoch, .. } => Some(*epoch),
            _ => None,
        });
        joins.collect()
    };
    let before = epochs(&world);
    world.orders.clear();
    world.replace_planner(1);
    for i in 0..4 {
        world.add(&format!("late-{i}"), "d0");
    }
    world.run(Duration::from_secs(4));
    let after = epochs(&world);
    assert!(!after.is_empty());
    assert!(after.is_disjoint(&before), "{before:?} {after:?}");
}

#[test]
fn an_outdated_term_ends_nothing_that_a_later_one_formed() {
    let mut world = World::new(both(), &[10; 2], 1);
    world.run(Duration::from_secs(6));
    let serving = world.serving();
    world.replace_planner(2);
    world.run(Duration::from_secs(3));
    assert_eq!(world.serving(), serving);
}

#[test]
fn a_planner_that_was_overtaken_orders_nothing_more() {
    let mut world = World::new(both(), &[10; 2], 1);
    world.run(Duration::from_secs(1));
    let (_, id, action) = world.orders[0].clone();
    assert!(
        world
            .planner
            .handle_reply(world.now, &id, &action, Reply::Outdated)
    );
    assert_eq!(world.planner.fence(), None);
    world.orders.clear();
    world.add("w9", "d0");
    world.run(Duration::from_secs(3));
    assert!(world.orders.is_empty());
}

/// Loads keep to the weight store's rate once callers have come: 5 a second and 3 at once beyond.
#[test]
fn loads_keep_to_the_rate() {
    let mut world = World::new(both(), &[10; 6], 1);
    world.early = false;
    world.run(Duration::from_secs(40));
    let window = Duration::from_secs(5);
    for (i, start) in world.loads.iter().enumerate() {
        let within = world.loads[i..].iter().filter(|t| t.since(*start) < window);
        assert!(within.count() <= 30);
    }
}

/// After many losses the larger model keeps its part of the engines that are left.
#[test]
fn losses_are_shared_between_models() {
    let mut world = World::new(both(), &[10; 6], 5);
    world.run(Duration::from_secs(8));
    world.early = false;
    let mut rng = SmallRng::seed_from_u64(5);
    for i in 0..8 {
        for _ in 0..2 {
            let seated: Vec<_> = world
                .endpoints
                .iter()
                .filter(|e| e.membership.is_some())
                .map(|e| e.id.clone())
                .collect();
            let id = seated[rng.random_range(0..seated.len())].clone();
            world.crash(&id);
        }
        for k in 0..2 {
            world.add(
                &format!("new{i}-{k}"),
                &format!("d{}", rng.random_range(0..6)),
            );
        }
        world.run(Duration::from_secs(3));
    }
    let serving = world.serving();
    assert!(serving["large"] >= 4, "{serving:?}");
    assert!(serving["small"] >= 8, "{serving:?}");
}

/// Each failure domain loses a member of its large group: survivors are completed with engines of small
/// groups in several domains at a time, not in one after the other.
#[test]
fn large_groups_are_completed_in_several_domains_at_a_time() {
    let mut world = World::new(engine(&[LARGE, SMALL]), &[10; 6], 3);
    world.run(Duration::from_secs(8));
    world.early = false;
    let large = |e: &Endpoint| {
        let seat = e.membership.as_ref().filter(|s| s.rank == 1);
        seat.and_then(|s| parse_group_name(&s.group))
            .is_some_and(|(_, m)| m == "large")
    };
    let lost: Vec<_> = world.endpoints.iter().filter(|e| large(e)).collect();
    let lost: Vec<_> = lost.into_iter().map(|e| e.id.clone()).collect();
    assert!(lost.len() >= 6, "{lost:?}");
    lost.iter().for_each(|id| world.crash(id));
    // One group's end and one start: 1.4 s and 1 s, with what orders and the list need.
    world.run(Duration::from_millis(3_500));
    let serving = world.serving();
    assert!(serving["large"] >= 6, "{serving:?}");
}

/// The users' kind of day: every 2.7 s two engines of groups are lost, and later as many new ones come
/// without weights, faster than the weight store can fill them; in between a failure domain is gone for
/// 8 s. On the mean of the day, over two thirds of the live engines serve, and neither model falls below
/// half of the groups that it began with.
#[test]
fn engines_serve_while_others_are_replaced() {
    let (mut serving, mut live) = (0, 0);
    for seed in 0..6 {
        let mut engine = both();
        engine.models[0].load_time = Duration::from_secs(16);
        engine.models[1].time_factor = 0.6;
        let mut world = World::new(engine, &[10; 6], seed);
        world.run(Duration::from_secs(8));
        world.early = false;
        world.demand = usual_demand();
        let before = world.serving();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sums: BTreeMap<String, usize> = BTreeMap::new();
        let rounds = 12;
        for i in 0..rounds {
            let seated: Vec<_> = world.endpoints.iter().collect();
            let seated: Vec<_> = seated
                .into_iter()
                .filter(|e| e.membership.is_some())
                .collect();
            let lost: Vec<_> = match i {
                4 => seated.iter().filter(|e| &*e.domain == "d0").collect(),
                _ => rand::seq::IndexedRandom::choose_multiple(&*seated, &mut rng, 2).collect(),
            };
            let lost: Vec<_> = lost.iter().map(|e| e.id.clone()).collect();
            lost.iter().for_each(|id| world.crash(id));
            let count = if i == 7 { 9 } else { 2 };
            for k in 0..count {
                let domain = if i == 7 { 0 } else { rng.random_range(0..6) };
                if i >= 4 {
                    world.add(&format!("new{i}-{k}"), &format!("d{domain}"));
                }
            }
            world.run(Duration::from_millis(2_700));
            live += world.live();
            for (model, groups) in world.serving() {
                serving += groups * if model == "large" { 4 } else { 2 };
                *sums.entry(model).or_default() += groups;
            }
        }
        for (model, sum) in &sums {
            let mean = *sum as f64 / f64::from(rounds);
            let began = before[model] as f64;
            assert!(
                mean >= began / 2.0,
                "{model}: {mean} of {began}, seed {seed}"
            );
        }
    }
    assert!(serving * 3 >= live * 2, "{serving} of {live}");
}

/// What callers ask on the users' smaller deployments, by model.
fn usual_demand() -> BTreeMap<Arc<str>, Demand> {
    let demand = |rate, prompt_tokens, answer_tokens, latency_goal_s| Demand {
        rate,
        prompt_tokens,
        answer_tokens,
        latency_goal_s,
    };
    BTreeMap::from([
        (Arc::from("large"), demand(37.0, 1_690.0, 100.0, 0.45)),
        (Arc::from("small"), demand(100.0, 674.0, 174.0, 0.3)),
    ])
}

/// The store is away for 8 s, as on the users' days: groups are mended by what engines say themselves.
#[test]
fn a_lost_member_is_replaced_while_the_store_is_away() {
    let mut world = World::new(both(), &[10; 6], 1);
    world.run(Duration::from_secs(8));
    world.early = false;
    let before = world.serving();
    world.blind = true;
    for rank in [3, 0] {
        let (_, id, _) = join_of(&world, "large", rank);
        world.crash(&id);
    }
    world.run(Duration::from_secs(8));
    let after = world.serving();
    assert!(after["large"] >= before["large"], "{before:?} {after:?}");
    // Lost engines are still listed, but no group waits for them.
    let forming = world.planner.summary().forming;
    assert_eq!(forming, 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever crashes, drains, comes late or is replaced: the world's checks hold at each order.
    #[test]
    fn groups_are_whole_and_never_share_an_engine(seed in any::<u64>()) {
        let mut world = World::new(both(), &[10, 7, 4], seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        world.run(Duration::from_secs(3));
        world.early = false;
        world.late_share = 0.2;
        for i in 0..12 {
            let ids: Vec<_> = world.endpoints.iter().map(|e| e.id.clone()).collect();
            if ids.is_empty() {
                break;
            }
            let id = ids[rng.random_range(0..ids.len())].clone();
            world.blind = rng.random_bool(0.3);
            match rng.random_range(0..4) {
                0 | 1 => world.crash(&id),
                2 => world.drain(&id),
                _ => world.replace_planner(i + 2),
            }
            world.add(&format!("new{i}"), "d1");
            world.run(Duration::from_millis(rng.random_range(100..2_500)));
        }
    }
}
