use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_lib::node::cache::{Batch, Cache, Entry, Position};
use proptest::prelude::*;

fn entry(key: u8, value: Option<u8>) -> Entry {
    Entry {
        key: key.to_string(),
        value: value.map(|v| Bytes::from(vec![v])),
    }
}

fn batch(entries: Vec<Entry>, next: impl Into<Position>, is_snapshot: bool) -> Batch {
    Batch {
        entries,
        next: next.into(),
        is_snapshot,
        store_down: false,
    }
}

#[test]
fn a_reader_gets_the_records_after_its_offset() {
    let mut cache = Cache::default();
    assert_eq!(cache.batch_after(None, false), None);
    cache.apply(&batch(vec![entry(1, Some(1)), entry(2, Some(2))], 10, true));
    cache.apply(&batch(vec![entry(1, None), entry(3, Some(3))], 12, false));
    assert_eq!(cache.batch_after(Some(12.into()), false), None);
    assert_eq!(cache.batch_after(Some(13.into()), false), None);
    let new_records = cache.batch_after(Some(11.into()), false).unwrap();
    assert_eq!(
        (
            new_records.entries.len(),
            new_records.next,
            new_records.is_snapshot
        ),
        (1, 12.into(), false)
    );
    let snapshot = cache.batch_after(None, true).unwrap();
    assert_eq!(
        (
            snapshot.entries.len(),
            snapshot.is_snapshot,
            snapshot.store_down
        ),
        (2, true, true)
    );
    // Records before the first recent one are not kept, so this reader gets a snapshot.
    assert!(
        cache
            .batch_after(Some(9.into()), false)
            .unwrap()
            .is_snapshot
    );
}

#[test]
fn a_reader_of_an_earlier_era_gets_a_snapshot_whatever_its_offset() {
    let mut cache = Cache::default();
    let in_era = |offset| Position { era: 1, offset };
    cache.apply(&batch(vec![entry(1, Some(1))], in_era(10), true));
    cache.apply(&batch(vec![entry(1, Some(2))], in_era(11), false));
    for offset in [0, 10, 11, 50] {
        let snapshot = cache.batch_after(Some(offset.into()), false).unwrap();
        assert!(snapshot.is_snapshot, "{offset}");
        assert_eq!(snapshot.next, in_era(11));
    }
    assert_eq!(cache.batch_after(Some(in_era(11)), false), None);
    // A reader of a later era has nothing to learn here.
    let later = Position { era: 2, offset: 0 };
    assert_eq!(cache.batch_after(Some(later), false), None);
}

#[test]
fn a_kept_record_replaces_the_older_one_of_a_snapshot() {
    let mut cache = Cache::default();
    cache.apply(&batch(vec![entry(1, Some(1))], 5, true));
    cache.keep(&entry(1, Some(9)));
    let snapshot = cache.batch_after(None, false).unwrap();
    assert_eq!(snapshot.entries, [entry(1, Some(9))]);
    assert_eq!(snapshot.next, 5.into());
}

#[test]
fn positions_of_the_first_era_are_encoded_as_plain_offsets() {
    let first = Position { era: 0, offset: 77 };
    assert_eq!(u64::from(first), 77);
    let later = Position { era: 3, offset: 5 };
    assert_eq!(Position::from(u64::from(later)), later);
    assert!(later > first);
}

#[test]
fn a_reader_that_is_behind_gets_only_the_newest_record_of_each_key() {
    let mut cache = Cache::default();
    cache.apply(&batch(vec![entry(1, Some(0)), entry(2, Some(0))], 10, true));
    for offset in 10..35 {
        let value = Some(offset as u8);
        cache.apply(&batch(vec![entry(1, value)], offset + 1, false));
    }
    let missed = cache.batch_after(Some(10.into()), false).unwrap();
    assert_eq!(missed.entries, [entry(1, Some(34))]);
    assert_eq!((missed.next, missed.is_snapshot), (35.into(), false));
}

#[test]
fn readers_of_a_reader_lack_nothing_of_a_compacted_batch() {
    let (mut first, mut second) = (Cache::default(), Cache::default());
    first.apply(&batch(vec![entry(1, Some(0))], 10, true));
    second.apply(&first.batch_after(None, false).unwrap());
    for offset in 10..20 {
        let key = (offset % 2) as u8;
        let changed = entry(key, Some(offset as u8));
        first.apply(&batch(vec![changed], offset + 1, false));
    }
    second.apply(&first.batch_after(Some(10.into()), false).unwrap());
    for from in 10..20 {
        let direct = first.batch_after(Some(from.into()), false).unwrap();
        let through = second.batch_after(Some(from.into()), false).unwrap();
        assert!(direct.entries.iter().all(|e| through.entries.contains(e)));
        assert_eq!(direct.next, through.next);
    }
}

#[test]
fn a_cache_keeps_no_more_than_the_newest_records_and_some_deleted_keys() {
    let mut cache = Cache::default();
    cache.apply(&batch(Vec::new(), 0, true));
    let key = |i: u64, value| Entry {
        key: i.to_string(),
        value,
    };
    let value = Bytes::from(vec![0; 1_000]);
    for i in 0..20_000 {
        let put = key(i, Some(value.clone()));
        cache.apply(&batch(vec![put, key(i, None)], 2 * i + 2, false));
    }
    let all = cache.batch_after(None, false).unwrap();
    assert!(all.is_snapshot && all.entries.is_empty());
    // Whoever may have missed a deleted key that was forgotten gets a snapshot.
    assert!(
        cache
            .batch_after(Some(0.into()), false)
            .unwrap()
            .is_snapshot
    );
    let last = cache.batch_after(Some(39_998.into()), false).unwrap();
    assert_eq!(last.entries, [key(19_999, None)]);
}

proptest! {
    /// Whenever a reader reads, it ends up with the same newest records as the store.
    #[test]
    fn readers_end_up_with_the_newest_records(
        writes in proptest::collection::vec((0_u8..5, proptest::option::of(any::<u8>())), 1..60),
        reads in proptest::collection::vec(any::<bool>(), 60),
    ) {
        let mut cache = Cache::default();
        cache.apply(&batch(Vec::new(), 100, true));
        let (mut expected, mut received) = (BTreeMap::new(), BTreeMap::new());
        let mut from = None;
        let mut read = |cache: &Cache, received: &mut BTreeMap<String, Bytes>| {
            let Some(batch) = cache.batch_after(from, false) else { return };
            if batch.is_snapshot {
                received.clear();
            }
            for e in batch.entries {
                match e.value {
                    Some(value) => received.insert(e.key, value),
                    None => received.remove(&e.key),
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
                read(&cache, &mut received);
            }
        }
        read(&cache, &mut received);
        prop_assert_eq!(received, expected);
    }
}
