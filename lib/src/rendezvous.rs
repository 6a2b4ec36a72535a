//! Rendezvous hashing: every process computes the same owners of a key without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `node` for `key`; the node with the largest score owns the key.
pub fn score(key: &[u8], node: &[u8]) -> u64 {
    xxh3_64_with_seed(node, xxh3_64_with_seed(key, 0))
}

/// Returns the `count` nodes with the largest scores for `key`, best first.
pub fn owners<'a, T: AsRef<[u8]> + ?Sized + 'a>(
    key: &[u8],
    nodes: impl Iterator<Item = &'a T>,
    count: usize,
) -> Vec<&'a T> {
    let mut scored: Vec<(u64, &T)> = nodes.map(|n| (score(key, n.as_ref()), n)).collect();
    scored.sort_unstable_by_key(|s| std::cmp::Reverse(s.0));
    scored.truncate(count);
    scored.into_iter().map(|(_, n)| n).collect()
}
