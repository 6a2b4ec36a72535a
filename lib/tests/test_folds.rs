//! Folds: all readers have the same state at each offset, with snapshots, expired records, races
//! and malformed records.

use hemlock_lib::claims::{ClaimChange, ClaimId, ClaimRecord, Owner};
use hemlock_lib::codec;
use hemlock_lib::folds::{CONFIG_STREAM, FoldEvent, FoldedStreams, claims_stream};
use hemlock_lib::ids::{Incarnation, Nonce, Offset, StreamId};
use hemlock_lib::peers::Settled;
use hemlock_lib::platform::StreamPart;
use hemlock_lib::snapshot::{Snapshot, SnapshotRecord, SnapshotStep, digest};
use hemlock_lib::table::{ConfigRecord, Edit, GroupRow, Row, RowKey};
use hemlock_lib::time::Time;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_bytes::ByteBuf;
use uuid::{NoContext, Timestamp, Uuid};

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 60;
const READERS: usize = 3;

/// A log of one stream, whose records before `kept` have expired.
#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    kept: u64,
}

impl Log {
    fn part(&self, from: Offset, limit: usize) -> StreamPart {
        let first = from.0.max(self.kept);
        let records = self.records.iter().enumerate().skip(first as usize);
        StreamPart {
            stream: StreamId::new(CONFIG_STREAM),
            kept: Offset(self.kept),
            end: Offset(self.records.len() as u64),
            records: records
                .take(limit)
                .map(|(o, r)| (Offset(o as u64), ByteBuf::from(r.clone())))
                .collect(),
        }
    }
}

fn row(replicas: u32) -> Row {
    Row::Group(GroupRow {
        replicas,
        minimum: 0,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 8,
    })
}

fn edit_record(folds: &FoldedStreams, rng: &mut SmallRng) -> Vec<u8> {
    let key = RowKey::Group(["a", "b", "c"][rng.random_range(0..3)].into());
    let base = folds.table.entry(&key).map(|e| e.version);
    let keep = rng.random_bool(0.9);
    let edit = Edit {
        key,
        base,
        row: keep.then(|| row(rng.random_range(1..9))),
    };
    codec::encode(&ConfigRecord {
        nonce: Nonce(rng.random()),
        author: "operator".to_owned(),
        at_ms: 0,
        edits: vec![edit],
    })
}

fn snapshot_record(restate: SnapshotStep, rng: &mut SmallRng) -> Vec<u8> {
    let nonce = Nonce(rng.random());
    codec::encode(&SnapshotRecord { nonce, restate })
}

fn new_folds() -> FoldedStreams {
    FoldedStreams::new(&[], 0)
}

/// A random schedule of races, late and repeated snapshots, expired records, restarts and malformed
/// records.
struct Schedule {
    rng: SmallRng,
    log: Log,
    readers: Vec<FoldedStreams>,
    reference: FoldedStreams,
    /// Digest of the state at each offset.
    digests: Vec<u64>,
    pending_snapshots: Vec<Snapshot>,
    markers: Vec<u64>,
    /// Largest offset up to which an appended snapshot covers the records.
    covered_up_to: u64,
    /// Whether records expired that no snapshot covers.
    uncovered_expired: bool,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let reference = new_folds();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            log: Log::default(),
            readers: (0..READERS).map(|_| new_folds()).collect(),
            digests: vec![state_digest(&reference)],
            reference,
            pending_snapshots: Vec::new(),
            markers: Vec::new(),
            covered_up_to: 0,
            uncovered_expired: false,
        }
    }

    fn append(&mut self, record: Vec<u8>) {
        self.log.records.push(record);
        let offset = Offset(self.log.records.len() as u64 - 1);
        let mut part = self.log.part(offset, 1);
        part.kept = Offset(0);
        for folded in self.reference.fold_part(Time::ZERO, &part) {
            if let FoldEvent::MarkerFolded(_, snapshot) = folded {
                self.markers.push(snapshot.at.0);
                self.pending_snapshots.push(snapshot);
            }
        }
        self.digests.push(state_digest(&self.reference));
    }

    fn step(&mut self) {
        let reader = self.rng.random_range(0..READERS);
        match self.rng.random_range(0..100) {
            0..30 => {
                let record = edit_record(&self.readers[reader], &mut self.rng);
                self.append(record);
            }
            30..36 => {
                let marker = snapshot_record(SnapshotStep::Mark { horizon_ms: 0 }, &mut self.rng);
                self.append(marker);
            }
            36..46 => self.append_late(),
            46..49 => {
                let noise: Vec<u8> = (0..self.rng.random_range(0..40))
                    .map(|_| self.rng.random())
                    .collect();
                self.append(noise);
            }
            49..55 => self.expire(),
            55..58 => self.readers[reader] = new_folds(),
            58..60 => {
                let states = self.readers[(reader + 1) % READERS].export();
                self.readers[reader].import(&states);
            }
            _ => self.read(reader),
        }
    }

    /// Appends a snapshot that was made earlier, and may append it again later.
    fn append_late(&mut self) {
        if self.pending_snapshots.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.pending_snapshots.len());
        let snapshot = match self.rng.random_bool(0.3) {
            true => self.pending_snapshots[i].clone(),
            false => self.pending_snapshots.swap_remove(i),
        };
        if snapshot.at.0 >= self.log.kept {
            self.covered_up_to = self.covered_up_to.max(snapshot.at.0);
        }
        let record = snapshot_record(SnapshotStep::Snapshot(snapshot), &mut self.rng);
        self.append(record);
    }

    /// Expires records that a snapshot covers, and occasionally some that none covers.
    fn expire(&mut self) {
        let end = self.log.records.len() as u64;
        if self.rng.random_bool(0.05) {
            self.log.kept = self.rng.random_range(self.log.kept..=end);
            self.uncovered_expired |= self.log.kept > self.covered_up_to;
        } else if !self.uncovered_expired {
            self.log.kept = self
                .rng
                .random_range(self.log.kept..=self.covered_up_to.max(self.log.kept));
        }
    }

    fn read(&mut self, reader: usize) {
        let limit = self.rng.random_range(1..12);
        let folds = &mut self.readers[reader];
        let stream = StreamId::new(CONFIG_STREAM);
        let next = folds.next_offsets()[0].1;
        let part = self.log.part(next, limit);
        folds.fold_part(Time::ZERO, &part);
        let next = folds.next_offsets()[0].1;
        if folds.has_gap(&stream) {
            return;
        }
        let own = state_digest(folds);
        assert_eq!(own, self.digests[next.0 as usize], "state at offset {next}");
        assert_eq!(folds.alarms.divergences, 0, "no snapshot differs");
    }

    fn finish(&mut self) {
        for reader in 0..READERS {
            for _ in 0..self.log.records.len() + 2 {
                self.read(reader);
            }
            let folds = &self.readers[reader];
            let gap = folds.gaps().next().is_some();
            assert!(
                !gap || self.uncovered_expired,
                "a gap although snapshots cover all expired records"
            );
            assert!(gap || folds.table == self.reference.table);
        }
    }
}

fn state_digest(folds: &FoldedStreams) -> u64 {
    let state = folds.encode(&StreamId::new(CONFIG_STREAM));
    digest(&state.expect("the stream is known"))
}

#[test]
fn readers_agree_at_every_offset() {
    let mut gaps = 0;
    for seed in 0..SCHEDULES {
        let mut schedule = Schedule::new(seed);
        for _ in 0..STEPS {
            schedule.step();
        }
        schedule.finish();
        gaps += u64::from(schedule.readers.iter().any(|r| r.alarms.gaps > 0));
    }
    assert!(
        gaps > 0,
        "no schedule expired records that no snapshot covers"
    );
}

#[test]
fn gap_raises_an_alarm_and_closes_with_the_next_snapshot() {
    let mut schedule = Schedule::new(1);
    for _ in 0..4 {
        let record = edit_record(&schedule.reference, &mut schedule.rng);
        schedule.append(record);
    }
    schedule.log.kept = 2;
    let stream = StreamId::new(CONFIG_STREAM);
    let mut fresh = new_folds();
    fresh.fold_part(Time::ZERO, &schedule.log.part(Offset(0), 99));
    assert!(fresh.has_gap(&stream) && !fresh.is_synced() && !fresh.is_known(&stream));
    assert_eq!(fresh.alarms.gaps, 1);
    let marker = snapshot_record(SnapshotStep::Mark { horizon_ms: 0 }, &mut schedule.rng);
    schedule.append(marker);
    let between = edit_record(&schedule.reference, &mut schedule.rng);
    schedule.append(between);
    schedule.append_late();
    let next = fresh.next_offsets()[0].1;
    fresh.fold_part(Time::ZERO, &schedule.log.part(next, 99));
    assert!(fresh.is_known(&stream));
    assert_eq!(fresh.table, schedule.reference.table);
}

#[test]
fn stream_that_stays_short_raises_an_alarm() {
    let mut schedule = Schedule::new(3);
    for _ in 0..4 {
        let record = edit_record(&schedule.reference, &mut schedule.rng);
        schedule.append(record);
    }
    let stream = StreamId::new(CONFIG_STREAM);
    let mut folds = new_folds();
    folds.fold_part(Time::ZERO, &schedule.log.part(Offset(0), 99));
    schedule.log.records.truncate(2);
    let short = schedule.log.part(Offset(4), 99);
    for (ms, has_gap) in [(1_000, false), (10_999, false), (11_000, true)] {
        folds.fold_part(Time::from_millis(ms), &short);
        assert_eq!(folds.has_gap(&stream), has_gap, "after {ms} ms");
        assert_eq!(folds.alarms.regressions, u64::from(has_gap));
    }
}

#[test]
fn snapshot_that_differs_or_is_damaged_raises_an_alarm() {
    let mut schedule = Schedule::new(2);
    let marker = snapshot_record(SnapshotStep::Mark { horizon_ms: 0 }, &mut schedule.rng);
    schedule.append(marker);
    let mut other = new_folds().table;
    other.changed = Some(Offset(7));
    let snapshot = Snapshot::new(Offset(1), codec::encode(&other));
    let record = snapshot_record(SnapshotStep::Snapshot(snapshot), &mut schedule.rng);
    schedule.append(record);
    assert_eq!(schedule.reference.alarms.divergences, 1);
    let mut damaged = Snapshot::new(Offset(1), vec![1, 2, 3]);
    damaged.digest ^= 1;
    let record = snapshot_record(SnapshotStep::Snapshot(damaged), &mut schedule.rng);
    schedule.append(record);
    assert_eq!(schedule.reference.alarms.unsound, 1);
}

#[test]
fn expired_keys_are_dropped_and_cannot_be_claimed_again() {
    let mut folds = FoldedStreams::new(&[], 1);
    let stream = claims_stream(0);
    let key = |ms: u64| Uuid::new_v7(Timestamp::from_unix(NoContext, ms / 1_000, 0));
    let claim = |key, change| {
        let owner = Owner {
            entry: "entry-0".into(),
            run: Incarnation(1),
        };
        codec::encode(&ClaimRecord {
            nonce: Nonce(1),
            key,
            owner,
            claim: ClaimId(0),
            binding: None,
            change,
        })
    };
    let marker = |horizon_ms| {
        let nonce = Nonce(2);
        let restate = SnapshotStep::Mark { horizon_ms };
        codec::encode(&SnapshotRecord { nonce, restate })
    };
    let (old, young) = (key(10_000), key(20_000));
    let records = [
        (claim(old, ClaimChange::Claim), None),
        (claim(young, ClaimChange::Claim), None),
        (marker(15_000), None),
        (marker(5_000), None),
        (claim(old, ClaimChange::Claim), Some(Settled::ClaimExpired)),
        (
            claim(old, ClaimChange::Release),
            Some(Settled::ClaimExpired),
        ),
        (claim(young, ClaimChange::Release), None),
    ];
    for (offset, (record, refused)) in records.into_iter().enumerate() {
        let offset = Offset(offset as u64);
        let part = StreamPart {
            stream: stream.clone(),
            kept: Offset(0),
            end: Offset(offset.0 + 1),
            records: vec![(offset, ByteBuf::from(record))],
        };
        let folded = folds.fold_part(Time::ZERO, &part);
        let Some(refused) = refused else { continue };
        assert_eq!(
            folded,
            [FoldEvent::Settled(Nonce(1), refused)],
            "offset {offset}"
        );
    }
    assert!(folds.claims[0].is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn malformed_records_are_skipped(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let streams = ["config", "members", "fleet/x", "claims/0"];
        let mut folds = FoldedStreams::new(&["x".into()], 1);
        for stream in streams {
            let part = StreamPart {
                stream: StreamId::new(stream),
                kept: Offset(0),
                end: Offset(1),
                records: vec![(Offset(0), ByteBuf::from(bytes.clone()))],
            };
            folds.fold_part(Time::ZERO, &part);
        }
        prop_assert!(folds.next_offsets().iter().all(|(_, next)| *next == Offset(1)));
        let _ = codec::decode::<hemlock_lib::peers::Submit>(&bytes);
        let _ = codec::decode::<hemlock_lib::view::View>(&bytes);
    }
}
