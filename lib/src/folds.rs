//! The folds of all streams that an agent follows, with the place that each has reached.
//!
//! The place of a stream moves past a record whether or not the record can be decoded, so that a
//! malformed record is skipped by every reader alike. A version that can't decode what another
//! version folds is found out by the digests of the snapshots.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::claims::{ClaimRecord, ClaimRefusal, Claims};
use crate::codec;
use crate::fleet::{Fleet, FleetRecord};
use crate::ids::{DomainId, Nonce, Offset, StreamId};
use crate::members::{MemberRecord, Members};
use crate::peers::Settled;
use crate::platform::StreamPart;
use crate::snapshot::{Snapshot, SnapshotRecord, SnapshotStep, digest};
use crate::table::{ConfigRecord, Table};
use crate::time::Time;

/// Name of the stream of table edits.
pub const CONFIG_STREAM: &str = "config";
/// Name of the stream of entry VMs.
pub const MEMBERS_STREAM: &str = "members";

/// Marks of a stream whose digests are kept.
const MARKS: usize = 8;

/// Time after which a stream that ends before what was read has lost records.
const SHORT_BOUND: Duration = Duration::from_secs(10);

/// Faults of the log that a reader met; each is an alarm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alarms {
    /// Times that a stream was read to its end without a snapshot that covers expired records.
    pub gaps: u64,
    /// Times that a stream ended before the place that was read already.
    pub regressions: u64,
    /// Records that could not be decoded.
    pub undecodable: u64,
    /// Snapshots that differ from the reader's own state at their mark.
    pub divergences: u64,
    /// Snapshots that are damaged or of another form.
    pub unsound: u64,
}

/// What folding a record led to.
#[derive(Debug, Clone, PartialEq)]
pub enum Folded {
    /// A submitted record was accepted or refused.
    Settled(Nonce, Settled),
    /// A mark was folded; its writer appends the snapshot.
    Marked(Nonce, Snapshot),
}

/// State of one stream, handed to an agent that starts while the log is out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamState {
    /// The stream.
    pub stream: StreamId,
    /// The state, and the offset of the next record.
    pub snapshot: Snapshot,
}

#[derive(Debug)]
struct Marked {
    at: Offset,
    digest: u64,
    seen: Time,
}

/// Place that the reader has reached in one stream.
#[derive(Debug, Default)]
struct Progress {
    next: Offset,
    synced: bool,
    gap: Option<Offset>,
    alarmed: bool,
    short: Option<Time>,
    held: Vec<(Offset, ByteBuf)>,
    marks: VecDeque<Marked>,
    marked: Option<Time>,
    restated: Option<Time>,
}

/// Folded states of all streams.
#[derive(Debug)]
pub struct FoldedStreams {
    /// The operators' table.
    pub table: Table,
    /// Entry VMs.
    pub members: Members,
    /// Shards.
    pub fleets: BTreeMap<DomainId, Fleet>,
    /// Partitions of the claims.
    pub claims: Vec<Claims>,
    /// Faults met.
    pub alarms: Alarms,
    progress: BTreeMap<StreamId, Progress>,
}

impl FoldedStreams {
    /// Makes folds that have read nothing yet.
    pub fn new(domains: &[DomainId], partitions: u32) -> Self {
        let fixed = [CONFIG_STREAM, MEMBERS_STREAM].map(StreamId::new);
        let streams = fixed
            .into_iter()
            .chain(domains.iter().map(fleet_stream))
            .chain((0..partitions as usize).map(claims_stream));
        Self {
            table: Table::default(),
            members: Members::default(),
            fleets: domains
                .iter()
                .map(|d| (d.clone(), Fleet::default()))
                .collect(),
            claims: (0..partitions).map(|_| Claims::default()).collect(),
            alarms: Alarms::default(),
            progress: streams.map(|s| (s, Progress::default())).collect(),
        }
    }

    /// Returns the offset of the next record wanted of each stream.
    pub fn next_offsets(&self) -> Vec<(StreamId, Offset)> {
        let want = |(s, p): (&StreamId, &Progress)| (s.clone(), p.next);
        self.progress.iter().map(want).collect()
    }

    /// Lists the streams.
    pub fn streams(&self) -> impl Iterator<Item = &StreamId> {
        self.progress.keys()
    }

    /// Returns whether each stream has been read to its end once.
    pub fn is_synced(&self) -> bool {
        self.progress.values().all(|p| p.synced)
    }

    /// Lists the streams whose state is unknown because records expired unread.
    pub fn gaps(&self) -> impl Iterator<Item = &StreamId> {
        let gap = |(s, p): (_, &Progress)| p.gap.is_some().then_some(s);
        self.progress.iter().filter_map(gap)
    }

    /// Returns whether records of the stream may be decided on.
    pub fn is_sound(&self, stream: &StreamId) -> bool {
        self.progress
            .get(stream)
            .is_some_and(|p| p.synced && p.gap.is_none())
    }

    /// Returns whether records of the stream expired unread.
    pub fn is_gap(&self, stream: &StreamId) -> bool {
        self.progress.get(stream).is_some_and(|p| p.gap.is_some())
    }

    /// Returns whether no record of the stream was folded yet.
    pub fn is_empty(&self, stream: &StreamId) -> bool {
        let next = self.progress.get(stream).map(|p| p.next);
        next.unwrap_or_default() == Offset(0)
    }

    /// Returns when the mark of the stream's last snapshot was folded, if it was seen live.
    pub fn restated(&self, stream: &StreamId) -> Option<Time> {
        self.progress.get(stream)?.restated
    }

    /// Returns when the stream's last mark was folded, if it was seen live.
    pub fn marked(&self, stream: &StreamId) -> Option<Time> {
        self.progress.get(stream)?.marked
    }

    /// Folds the records of one stream.
    pub fn take(&mut self, now: Time, part: &StreamPart) -> Vec<Folded> {
        let mut out = Vec::new();
        let Some(mut progress) = self.progress.remove(&part.stream) else {
            return out;
        };
        if self.is_short(now, &mut progress, part) {
            self.progress.insert(part.stream.clone(), progress);
            return out;
        }
        check_kept(&mut progress, part);
        for (offset, bytes) in &part.records {
            if *offset != progress.next {
                continue;
            }
            progress.next = Offset(offset.0 + 1);
            if progress.gap.is_some() {
                progress.held.push((*offset, bytes.clone()));
                self.bridge(now, &part.stream, &mut progress, bytes, &mut out);
            } else {
                let folded = self.fold(now, &part.stream, &mut progress, *offset, bytes);
                out.extend(folded);
            }
        }
        let ended = progress.next >= part.end;
        progress.synced |= ended && progress.gap.is_none();
        if ended && progress.gap.is_some() && !progress.alarmed {
            progress.alarmed = true;
            self.alarms.gaps += 1;
        }
        self.progress.insert(part.stream.clone(), progress);
        out
    }

    /// Returns the states of all streams for an agent that starts while the log is out.
    pub fn export(&self) -> Vec<StreamState> {
        let sound = self
            .progress
            .iter()
            .filter(|(_, p)| p.synced && p.gap.is_none());
        sound
            .filter_map(|(stream, p)| {
                let state = self.encode(stream)?;
                Some(StreamState {
                    stream: stream.clone(),
                    snapshot: Snapshot::new(p.next, state),
                })
            })
            .collect()
    }

    /// Takes the states that another agent handed over, where they are ahead of its own; returns
    /// whether any was.
    pub fn import(&mut self, states: &[StreamState]) -> bool {
        let mut changed = false;
        for state in states {
            let Some(mut progress) = self.progress.remove(&state.stream) else {
                continue;
            };
            let snapshot = &state.snapshot;
            let ahead = progress.gap.is_some() || snapshot.at > progress.next || !progress.synced;
            if ahead && snapshot.at >= progress.next && self.load(&state.stream, snapshot) {
                progress.next = snapshot.at;
                progress.gap = None;
                progress.held.clear();
                progress.synced = true;
                changed = true;
            }
            self.progress.insert(state.stream.clone(), progress);
        }
        changed
    }

    /// Returns the encoded state of a stream.
    pub fn encode(&self, stream: &StreamId) -> Option<Vec<u8>> {
        match stream.as_str().split_once('/') {
            None if stream.as_str() == CONFIG_STREAM => Some(codec::encode(&self.table)),
            None => Some(codec::encode(&self.members)),
            Some(("fleet", shard)) => Some(codec::encode(self.fleets.get(shard)?)),
            Some((_, partition)) => Some(codec::encode(self.claims.get(index(partition)?)?)),
        }
    }

    /// Returns whether the stream ends before what was read, so that the part says nothing.
    ///
    /// A reply of a lagging copy of the log is passed over. Once the stream stays short, records are
    /// lost, and the stream is in a gap.
    fn is_short(&mut self, now: Time, progress: &mut Progress, part: &StreamPart) -> bool {
        if part.end >= progress.next {
            progress.short = None;
            return false;
        }
        let since = *progress.short.get_or_insert(now);
        if now.since(since) < SHORT_BOUND {
            return true;
        }
        self.alarms.regressions += 1;
        progress.short = None;
        open_gap(progress, part.kept);
        true
    }

    /// Ends a gap if the record is a snapshot that covers it.
    fn bridge(
        &mut self,
        now: Time,
        stream: &StreamId,
        progress: &mut Progress,
        bytes: &[u8],
        out: &mut Vec<Folded>,
    ) {
        let Ok(record) = codec::decode::<SnapshotRecord>(bytes) else {
            return;
        };
        let SnapshotStep::Snapshot(snapshot) = record.restate else {
            return;
        };
        let from = progress.gap.unwrap_or_default();
        if snapshot.at < from || snapshot.at > progress.next || !self.load(stream, &snapshot) {
            return;
        }
        progress.gap = None;
        progress.alarmed = false;
        progress.marks.push_back(Marked {
            at: snapshot.at,
            digest: snapshot.digest,
            seen: now,
        });
        let held = std::mem::take(&mut progress.held);
        for (offset, bytes) in held.iter().filter(|(o, _)| *o >= snapshot.at) {
            out.extend(self.fold(now, stream, progress, *offset, bytes));
        }
    }

    fn fold(
        &mut self,
        now: Time,
        stream: &StreamId,
        progress: &mut Progress,
        offset: Offset,
        bytes: &[u8],
    ) -> Option<Folded> {
        let folded = self.fold_change(stream, offset, bytes);
        self.set_next(stream, Offset(offset.0 + 1));
        if let Some((nonce, settled)) = folded {
            return Some(Folded::Settled(nonce, settled));
        }
        let Ok(record) = codec::decode::<SnapshotRecord>(bytes) else {
            self.alarms.undecodable += 1;
            return None;
        };
        match record.restate {
            SnapshotStep::Mark { horizon_ms } => {
                self.drop_before(stream, horizon_ms);
                let snapshot = Snapshot::new(Offset(offset.0 + 1), self.encode(stream)?);
                remember(progress, now, &snapshot);
                Some(Folded::Marked(record.nonce, snapshot))
            }
            SnapshotStep::Snapshot(snapshot) => {
                self.check_snapshot(progress, &snapshot);
                let accepted = Settled::Accepted { offset };
                Some(Folded::Settled(record.nonce, accepted))
            }
        }
    }

    /// Compares a snapshot with the reader's own state at its mark.
    fn check_snapshot(&mut self, progress: &mut Progress, snapshot: &Snapshot) {
        if !snapshot.is_sound() {
            self.alarms.unsound += 1;
            return;
        }
        let Some(mark) = progress.marks.iter().find(|m| m.at == snapshot.at) else {
            return;
        };
        if mark.digest != snapshot.digest {
            self.alarms.divergences += 1;
        } else if progress.synced {
            progress.restated = progress.restated.max(Some(mark.seen));
        }
    }

    fn fold_change(
        &mut self,
        stream: &StreamId,
        offset: Offset,
        bytes: &[u8],
    ) -> Option<(Nonce, Settled)> {
        let accepted = Settled::Accepted { offset };
        match stream.as_str().split_once('/') {
            None if stream.as_str() == CONFIG_STREAM => {
                let record: ConfigRecord = codec::decode(bytes).ok()?;
                let folded = self.table.fold(offset, &record);
                let settled = folded.map_or_else(Settled::ConfigRefused, |()| accepted);
                Some((record.nonce, settled))
            }
            None => {
                let record: MemberRecord = codec::decode(bytes).ok()?;
                self.members.fold(offset, &record);
                Some((record.nonce, accepted))
            }
            Some(("fleet", shard)) => {
                let record: FleetRecord = codec::decode(bytes).ok()?;
                let folded = self.fleets.get_mut(shard)?.fold(offset, &record);
                let settled = folded.map_or_else(Settled::FleetRefused, |()| accepted);
                Some((record.nonce, settled))
            }
            Some((_, partition)) => {
                let claims = self.claims.get_mut(index(partition)?)?;
                let record: ClaimRecord = codec::decode(bytes).ok()?;
                let settled = match claims.fold(offset, &record) {
                    Ok(()) => accepted,
                    Err(refusal) => claim_refused(claims, &record, refusal),
                };
                Some((record.nonce, settled))
            }
        }
    }

    fn load(&mut self, stream: &StreamId, snapshot: &Snapshot) -> bool {
        let loaded = snapshot.is_sound() && self.decode(stream, &snapshot.state).is_some();
        self.alarms.unsound += u64::from(!loaded);
        loaded
    }

    fn decode(&mut self, stream: &StreamId, bytes: &[u8]) -> Option<()> {
        match stream.as_str().split_once('/') {
            None if stream.as_str() == CONFIG_STREAM => {
                self.table = codec::decode(bytes).ok()?;
            }
            None => self.members = codec::decode(bytes).ok()?,
            Some(("fleet", shard)) => {
                *self.fleets.get_mut(shard)? = codec::decode(bytes).ok()?;
            }
            Some((_, partition)) => {
                *self.claims.get_mut(index(partition)?)? = codec::decode(bytes).ok()?;
            }
        }
        Some(())
    }

    fn set_next(&mut self, stream: &StreamId, next: Offset) {
        match stream.as_str().split_once('/') {
            None if stream.as_str() == CONFIG_STREAM => self.table.next = next,
            None => self.members.next = next,
            Some(("fleet", shard)) => {
                if let Some(fleet) = self.fleets.get_mut(shard) {
                    fleet.next = next;
                }
            }
            Some((_, partition)) => {
                if let Some(claims) = index(partition).and_then(|i| self.claims.get_mut(i)) {
                    claims.next = next;
                }
            }
        }
    }

    fn drop_before(&mut self, stream: &StreamId, horizon_ms: u64) {
        let partition = stream.as_str().strip_prefix("claims/").and_then(index);
        if let Some(claims) = partition.and_then(|i| self.claims.get_mut(i)) {
            claims.drop_before(horizon_ms);
        }
    }
}

/// Returns the name of a shard's stream.
pub fn fleet_stream(shard: &DomainId) -> StreamId {
    StreamId::new(format!("fleet/{shard}"))
}

/// Returns the name of a claims partition's stream.
pub fn claims_stream(partition: usize) -> StreamId {
    StreamId::new(format!("claims/{partition}"))
}

/// Finds records that expired unread.
fn check_kept(progress: &mut Progress, part: &StreamPart) {
    if part.kept > progress.next {
        open_gap(progress, part.kept);
    }
}

fn open_gap(progress: &mut Progress, kept: Offset) {
    progress.next = kept;
    progress.gap = Some(kept);
    progress.held.clear();
}

fn index(partition: &str) -> Option<usize> {
    partition.parse().ok()
}

fn remember(progress: &mut Progress, now: Time, snapshot: &Snapshot) {
    if progress.marks.len() == MARKS {
        progress.marks.pop_front();
    }
    progress.marks.push_back(Marked {
        at: snapshot.at,
        digest: digest(&snapshot.state),
        seen: now,
    });
    if progress.synced {
        progress.marked = Some(now);
    }
}

fn claim_refused(claims: &Claims, record: &ClaimRecord, refusal: ClaimRefusal) -> Settled {
    match (refusal, claims.get(&record.key)) {
        (ClaimRefusal::Expired, _) => Settled::ClaimExpired,
        (ClaimRefusal::Taken, Some(held)) => held.to_settled(),
        (ClaimRefusal::Taken, None) => Settled::NotAppended,
    }
}
