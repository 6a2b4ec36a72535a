use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_lib::node::cache::{Batch, Cache, Entry};
use proptest::prelude::*;

fn entry(key: u8, value: Option<u8>) -> Entry {
    Entry {
        key: key.to_string(),
        value: value.map(|v| Bytes::from(vec![v])),
    }
}

fn batch(entries: Vec<Entry>, next: u64, is_snapshot: bool) -> Batch {
    Batch {
        entries,
        next,
        is_snapshot,
        store_down: false,
    }
}

#[test]
fn a_reader_gets_what_it_lacks() {
    let mut cache = Cache::default();
    assert_eq!(cache.batch_after(None, false), None);
    cache.apply(&batch(vec![entry(1, Some(1)), entry(2, Some(2))], 10, true));
    cache.apply(&batch(vec![entry(1, None), entry(3, Some(3))], 12, false));
    assert_eq!(cache.batch_after(Some(12), false), None);
    assert_eq!(cache.batch_after(Some(13), false), None);
    let one = cache.batch_after(Some(11), false).unwrap();
    assert_eq!(
        (one.entries.len(), one.next, one.is_snapshot),
        (1, 12, false)
    );
    let all = cache.batch_after(None, true).unwrap();
    assert_eq!(
        (all.entries.len(), all.is_snapshot, all.store_down),
        (2, true, true)
    );
    // Before the first record that is kept only the newest of each key are known.
    assert!(cache.batch_after(Some(9), false).unwrap().is_snapshot);
}

proptest! {
    /// A reader that reads at any times ends with the same newest records.
    #[test]
    fn readers_agree_with_the_store(
        writes in proptest::collection::vec((0_u8..5, proptest::option::of(any::<u8>())), 1..60),
        reads in proptest::collection::vec(any::<bool>(), 60),
    ) {
        let mut cache = Cache::default();
        cache.apply(&batch(Vec::new(), 100, true));
        let (mut expected, mut got) = (BTreeMap::new(), BTreeMap::new());
        let mut from = None;
        let mut read = |cache: &Cache, got: &mut BTreeMap<String, Bytes>| {
            let Some(batch) = cache.batch_after(from, false) else { return };
            if batch.is_snapshot {
                got.clear();
            }
            for e in batch.entries {
                match e.value {
                    Some(value) => got.insert(e.key, value),
                    None => got.remove(&e.key),
                };
            }
            from = Some(batch.next);
        };
        for (i, (key, value)) in writes.iter().enumerate() {
            let e = entry(*key, *value);
            match &e.value {
                Some(v) => expected.insert(e.key.clone(), v.clone()),
                None => expected.remove(&e.key),
            };
            cache.apply(&batch(vec![e], 101 + i as u64, false));
            if reads[i] {
                read(&cache, &mut got);
            }
        }
        read(&cache, &mut got);
        prop_assert_eq!(got, expected);
    }
}
