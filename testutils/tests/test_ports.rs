use std::collections::BTreeSet;

use hemlock_testutils::ports::{PortBlock, PortPool};

/// A gateway that was killed could not start again on a port that another test had taken meanwhile.
#[test]
fn concurrent_tests_get_different_blocks() {
    let first = PortBlock::reserve(9);
    let second = PortBlock::reserve(9);
    assert_ne!(first.base, second.base);
}

/// Nothing listens on a port between the moment at which a test gets it and the start of its daemon.
#[test]
fn concurrent_processes_get_different_ports() {
    let (mut first, mut second) = (PortPool::default(), PortPool::default());
    let first: BTreeSet<u16> = (0..250).map(|_| first.take()).collect();
    let second: BTreeSet<u16> = (0..250).map(|_| second.take()).collect();
    assert_eq!((first.len(), second.len()), (250, 250));
    assert!(first.is_disjoint(&second), "{first:?} {second:?}");
}
