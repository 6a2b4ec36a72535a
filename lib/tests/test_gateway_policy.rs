//! Fair queueing, version weights, allocator choice and address advice of the gateway.

use std::collections::BTreeMap;

use hemlock_lib::advice;
use hemlock_lib::endpoints::Work;
use hemlock_lib::fair_queue::{FairQueue, QueuedRequest};
use hemlock_lib::ids::{AccountId, EntryId, Incarnation, RequestId};
use hemlock_lib::members::Member;
use hemlock_lib::slices::{Amount, Demand, EntryMembership, SliceClient};
use hemlock_lib::time::Time;
use hemlock_lib::version_share::VersionShare;
use hemlock_lib::view::{EntryStatus, View};

fn queued(request: &str, account: &str, weight: f64, priority: i32, tokens: u64) -> QueuedRequest {
    QueuedRequest {
        request: RequestId::from(request),
        account: account.into(),
        weight,
        priority,
        work: Work {
            tokens,
            ..Work::default()
        },
        deadline: Time::from_millis(tokens),
        latest_dispatch: Time::from_millis(tokens),
    }
}

/// Accounts are served by weight in tokens, whatever the size of their requests.
#[test]
fn accounts_share_work_by_weight() {
    let mut queue = FairQueue::default();
    for i in 0..2_000 {
        queue.push(queued(&format!("a{i}"), "a", 1.0, 0, 300));
        queue.push(queued(&format!("b{i}"), "b", 3.0, 0, 50));
    }
    let mut work: BTreeMap<AccountId, u64> = BTreeMap::new();
    for _ in 0..1_500 {
        let next = queue.pop().expect("both have work waiting");
        *work.entry(next.account).or_default() += next.work.tokens;
    }
    let share = work["b"] as f64 / work["a"] as f64;
    assert!((share / 3.0 - 1.0).abs() < 0.02, "{share}");
}

/// An account that was idle gets no more than its share when it returns.
#[test]
fn an_idle_account_returns_with_no_more_than_its_share() {
    let mut queue = FairQueue::default();
    queue.push(queued("b", "b", 1.0, 0, 10));
    queue.pop();
    for i in 0..100 {
        queue.push(queued(&format!("a{i}"), "a", 1.0, 0, 10));
    }
    for _ in 0..50 {
        queue.pop();
    }
    for i in 0..50 {
        queue.push(queued(&format!("c{i}"), "b", 1.0, 0, 10));
    }
    let next: Vec<QueuedRequest> = (0..20).filter_map(|_| queue.pop()).collect();
    let returned = next.iter().filter(|q| q.account.as_str() == "b").count();
    assert!((9..=11).contains(&returned), "{returned} of 20");
}

/// Within an account the larger priority goes first, and the queue sheds from the account with the
/// most work for its weight.
#[test]
fn priority_orders_an_account_and_shedding_hits_the_largest_backlog() {
    let mut queue = FairQueue::default();
    queue.push(queued("low", "a", 1.0, 0, 10));
    queue.push(queued("high", "a", 1.0, 5, 10));
    queue.push(queued("other", "b", 4.0, 9, 20));
    assert_eq!(queue.shed().map(|q| q.request), Some("low".into()));
    let order: Vec<RequestId> = std::iter::from_fn(|| queue.pop())
        .map(|q| q.request)
        .collect();
    assert_eq!(order.len(), 2);
    assert!(order.contains(&"high".into()) && order.contains(&"other".into()));
}

/// Overdue requests are found in the order of their latest dispatch times.
#[test]
fn overdue_requests_are_found_by_latest_dispatch_time() {
    let mut queue = FairQueue::default();
    queue.push(queued("late", "a", 1.0, 0, 10));
    queue.push(queued("later", "b", 1.0, 0, 20));
    assert_eq!(queue.first_overdue(Time::from_millis(10)), None);
    assert_eq!(
        queue.first_overdue(Time::from_millis(11)),
        Some(&"late".into())
    );
    queue.remove(&"late".into());
    assert_eq!(queue.first_overdue(Time::from_millis(11)), None);
    assert_eq!((queue.len(), queue.work()), (1, 20));
}

/// Versions are served by weight in tokens, and a version of weight zero is left out.
#[test]
fn versions_share_work_by_weight() {
    let (one, two) = ("v1".into(), "v2".into());
    let mut share = VersionShare::default();
    let mut work = [0_u64; 2];
    for i in 0..4_000_u64 {
        let order = share.order([(&one, 3.0), (&two, 1.0)].into_iter());
        let first = order[0].clone();
        let tokens = 50 + i % 7 * 100;
        work[usize::from(first == two)] += tokens;
        share.record_work(&first, if first == one { 3.0 } else { 1.0 }, tokens);
    }
    let ratio = work[0] as f64 / work[1] as f64;
    assert!((ratio / 3.0 - 1.0).abs() < 0.02, "{ratio}");
    let weights = [(&one, 0.0), (&two, 1.0)];
    assert_eq!(share.order(weights.into_iter()), vec![&two]);
}

/// A gateway that changes to another allocator sends no request until its last one no longer
/// supports the old allocator; otherwise two allocators could grant at a time.
#[test]
fn a_gateway_supports_one_allocator_at_a_time() {
    let names: Vec<EntryId> = (0..4).map(|i| EntryId::new(format!("entry-{i}"))).collect();
    let account = AccountId::from("a");
    let mut membership = EntryMembership {
        all: names.clone(),
        live: names,
    };
    let mut client = SliceClient::new("entry-0".into(), Incarnation(1));
    let mut requested = |ms: u64, membership: &EntryMembership| {
        let demand = Demand {
            account: account.clone(),
            wants: Amount::default(),
            open: 0,
        };
        let requests = client.requests(Time::from_millis(ms), membership, std::iter::once(demand));
        requests.first().map(|(allocator, _)| allocator.clone())
    };
    let first = membership.allocator(&"a".into()).cloned();
    assert_eq!(requested(1_000, &membership), None);
    assert_eq!(requested(3_000, &membership), first);
    membership.live.retain(|e| Some(e) != first.as_ref());
    let second = membership.allocator(&"a".into()).cloned();
    assert_eq!(requested(3_200, &membership), None);
    assert_eq!(requested(4_640, &membership), None);
    assert_eq!(requested(4_660, &membership), second);
}

fn view(spares: &[f64]) -> View {
    let entry = |(i, spare): (usize, &f64)| EntryStatus {
        member: Member {
            entry: EntryId::new(format!("entry-{i}")),
            domain: ["riverside", "pinehill"][i % 2].into(),
            gateway: format!("http://entry-{i}"),
            agent: String::new(),
            gossip: String::new(),
            incarnation: Incarnation(1),
            leaving: *spare < 0.0,
        },
        live: true,
        spare: spare.max(0.0),
        config: 0,
    };
    View {
        entries: spares.iter().enumerate().map(entry).collect(),
        ..View::default()
    }
}

/// Callers are spread by spare capacity. Near entry VMs come first, full ones last, and leaving
/// ones are never listed.
#[test]
fn advice_spreads_callers_by_spare_capacity() {
    let view = view(&[1.0, 1.0, 0.5, 1.0, 0.0, 1.0, -1.0]);
    let mut first: BTreeMap<String, u32> = BTreeMap::new();
    for caller in 0..5_000 {
        let advice = advice::advise(&view, &format!("caller-{caller}"), None);
        assert!(!advice.addresses.contains(&"http://entry-6".to_owned()));
        *first.entry(advice.addresses[0].clone()).or_default() += 1;
    }
    let part = |entry: &str| f64::from(first.get(entry).copied().unwrap_or(0)) / 5_000.0;
    for entry in [
        "http://entry-0",
        "http://entry-1",
        "http://entry-3",
        "http://entry-5",
    ] {
        assert!((part(entry) / (1.0 / 4.5) - 1.0).abs() < 0.15, "{first:?}");
    }
    assert!(
        (part("http://entry-2") / (0.5 / 4.5) - 1.0).abs() < 0.2,
        "{first:?}"
    );
    assert_eq!(part("http://entry-4"), 0.0);
    let near = advice::advise(&view, "caller", Some(&"pinehill".into()));
    let near_entries = ["http://entry-1", "http://entry-3", "http://entry-5"];
    assert!(
        near_entries.contains(&near.addresses[0].as_str()),
        "{near:?}"
    );
}
