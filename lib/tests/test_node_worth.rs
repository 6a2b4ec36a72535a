//! Which engines serve, and which models, when there are too few of them. Failure domains have 27
//! engines, groups 12 or 6, and loads of weights last for 12 to 16 s, 20 at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::node::capacity::Demand;
use hemlock_lib::node::config::Engine;
use hemlock_lib::node::endpoints::MemberState;
use hemlock_lib::node::planner::{Action, IdleCause};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::node_world::{Simulation, engine};

/// Returns engines of which 12 serve the large and 6 the small model.
fn long_loads() -> Engine {
    let mut engine = engine(&[("large", 12, 0.5), ("small", 6, 0.5)]);
    engine.slots = 48;
    engine.step_time = Duration::from_micros(6_450);
    engine.prefill_rate = 56_100.0;
    engine.load_rate = 14.0;
    engine.load_limit = 20;
    let [large, small] = &mut *engine.models else {
        panic!("two models");
    };
    large.load_time = Duration::from_secs(16);
    large.warmup_time = Duration::from_millis(1_600);
    small.warmup_time = Duration::from_millis(1_100);
    small.time_factor = 0.6;
    engine
}

/// Returns a deployment in which all groups have formed before traffic.
fn deployment(domains: &[usize], seed: u64) -> Simulation {
    let mut simulation = Simulation::new(long_loads(), domains, seed);
    simulation.run(Duration::from_secs(12));
    simulation.before_traffic = false;
    let demand = |rate, prompt_tokens, latency_goal_s| Demand {
        rate,
        prompt_tokens,
        answer_tokens: 125.0,
        latency_goal_s,
    };
    simulation.demand = BTreeMap::from([
        (Arc::from("large"), demand(72.0, 1_660.0, 0.4)),
        (Arc::from("small"), demand(277.0, 674.0, 0.3)),
    ]);
    simulation
}

fn serving_engines(simulation: &Simulation) -> usize {
    let size = |model: &str| if model == "large" { 12 } else { 6 };
    let serving = simulation.serving();
    serving.iter().map(|(m, groups)| groups * size(m)).sum()
}

/// Returns the members of one group of the model.
fn group_of(simulation: &Simulation, wanted: &str) -> Vec<Arc<str>> {
    let groups = simulation.endpoints.groups();
    let mut groups = groups.values().filter(|g| g.name.ends_with(wanted));
    let group = groups.next().expect("a group of the model");
    group.members.values().map(|(id, _)| id.clone()).collect()
}

/// The spare engines of a domain had only the weights of the small model on their hosts, so that the
/// other 11 members of a large group served nobody until one of them had loaded.
#[test]
fn lost_member_of_either_model_is_replaced_by_an_idle_engine() {
    for model in ["large", "small"] {
        for rank in [0, 3] {
            let mut simulation = deployment(&[27; 2], 1);
            let before = simulation.serving();
            simulation.crash(&group_of(&simulation, model)[rank]);
            simulation.run(Duration::from_secs(5));
            assert_eq!(simulation.serving(), before, "{model}, rank {rank}");
        }
    }
}

/// An engine starts a model alone only to keep its weights: no request may reach it there.
#[test]
fn group_of_an_engine_that_is_prepared_is_never_opened() {
    let simulation = deployment(&[27; 2], 1);
    let alone = simulation.orders.iter().filter_map(|(_, _, a)| match a {
        Action::Join { members, epoch, .. } if members.len() == 1 => Some(*epoch),
        _ => None,
    });
    let alone: Vec<u64> = alone.collect();
    assert_eq!(alone.len(), 6, "{alone:?}");
    for (_, id, action) in &simulation.orders {
        let opened = matches!(action, Action::Open { epoch, .. } if alone.contains(epoch));
        assert!(!opened, "{id}");
    }
    let in_groups = simulation.endpoints.iter();
    let memberships = in_groups.filter_map(|e| e.membership.as_ref());
    let left = memberships.filter(|m| alone.contains(&m.epoch));
    assert_eq!(left.count(), 0);
}

/// A planner that starts in the middle knows nothing of such a group.
#[test]
fn engine_that_is_being_prepared_is_free_again_under_another_planner() {
    let mut simulation = Simulation::new(long_loads(), &[27; 2], 1);
    let is_alone = |(_, _, action): &(_, _, Action)| match action {
        Action::Join { members, .. } => members.len() == 1,
        _ => false,
    };
    let mut steps = 0..200;
    while !simulation.orders.iter().any(is_alone) {
        steps.next().expect("an engine is prepared within 10 s");
        simulation.run(Duration::from_millis(50));
    }
    simulation.replace_planner(2);
    simulation.run(Duration::from_secs(12));
    assert_eq!(serving_engines(&simulation), 48);
    assert_eq!(simulation.planner.summary().forming, 0);
}

/// A domain with two large groups lost more members of one than it had spare engines. The others
/// waited for loads of 16 s and more, although six of them had the weights of the small model.
#[test]
fn members_of_a_group_that_is_not_complete_soon_serve_another_model() {
    let mut simulation = deployment(&[27; 6], 1);
    let groups = simulation.endpoints.groups();
    let of_domain = |domain: &str, model: &str| {
        let groups = groups.values();
        let found = groups.filter(|g| *g.domain == *domain && g.name.ends_with(model));
        found.cloned().collect::<Vec<_>>()
    };
    let mut domains = ["d0", "d1", "d2", "d3", "d4", "d5"].into_iter();
    let domain = domains.find(|d| of_domain(d, "large").len() == 2);
    let domain = domain.expect("a domain with two large groups");
    assert!(of_domain(domain, "small").is_empty());
    let lost = of_domain(domain, "large").remove(0).members;
    let lost: Vec<Arc<str>> = lost.into_values().map(|(id, _)| id).take(4).collect();
    lost.iter().for_each(|id| simulation.crash(id));
    simulation.run(Duration::from_secs(6));
    let groups = simulation.endpoints.groups();
    let small = groups.values().filter(|g| {
        let is_open = matches!(g.head(), Some((_, MemberState::Open)));
        *g.domain == *domain && g.name.ends_with("small") && is_open
    });
    assert_eq!(small.count(), 1);
    // Of the 11 engines that are left, five are too few for another group.
    let idle = &simulation.planner.summary().idle;
    assert_eq!(idle.get(&IdleCause::Reserved), None, "{idle:?}");
}

/// Three engines are lost every three seconds, as many come without weights, and loads last for 12
/// to 16 s. A third of the live engines served nobody: their groups missed one member, and nobody
/// could replace it.
#[test]
fn engines_serve_while_others_are_lost_faster_than_weights_load() {
    let (mut serving, mut live) = (0, 0);
    let mut idle: BTreeMap<IdleCause, usize> = BTreeMap::new();
    for seed in 0..4 {
        let mut simulation = deployment(&[27; 6], seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        for second in 0..34 {
            if second % 3 == 0 {
                let listed = simulation.endpoints.iter();
                let members: Vec<_> = listed.filter(|e| e.membership.is_some()).collect();
                let lost = members.choose_multiple(&mut rng, 3);
                let lost: Vec<Arc<str>> = lost.map(|e| e.id.clone()).collect();
                lost.iter().for_each(|id| simulation.crash(id));
            }
            if second % 3 == 1 && second > 6 {
                for n in 0..3 {
                    let domain = format!("d{}", rng.random_range(0..6));
                    simulation.add(&format!("new{second}-{n}"), &domain);
                }
            }
            simulation.run(Duration::from_secs(1));
            serving += serving_engines(&simulation);
            live += simulation.live_engines();
            for (cause, count) in &simulation.planner.summary().idle {
                *idle.entry(*cause).or_default() += count;
            }
        }
    }
    let share = serving as f64 / live as f64;
    assert!(
        share > 0.72,
        "{share:.3} of the live engines serve, {idle:?}"
    );
}
