//! State of all streams that an agent follows, folded from their records, with the position reached
//! in each.
//!
//! The position in a stream moves past a record whether or not the record can be decoded, so that
//! every reader skips a malformed record alike. If one version of the software cannot decode what
//! another one folds, the digests of the snapshots reveal it.

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

/// Number of a stream's latest markers whose digests are kept.
const MAX_MARKERS: usize = 8;

/// Time after which a stream that still ends before the position already read counts as having lost
/// records.
const SHORT_STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// Counts of the faults of the log that a reader detected; each fault is an alarm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alarms {
    /// Number of times that a stream was read to its end without a snapshot that covers the expired
    /// records.
    pub gaps: u64,
    /// Number of times that a stream ended before the position already read.
    pub regressions: u64,
    /// Number of records that could not be decoded.
    pub undecodable: u64,
    /// Number of snapshots that differ from the reader's own state at their marker.
    pub divergences: u64,
    /// Number of snapshots that are damaged or in an unknown encoding.
    pub unsound: u64,
}

/// Result of folding a record that the reader may have to act on.
#[derive(Debug, Clone, PartialEq)]
pub enum FoldEvent {
    /// A submitted record was accepted or refused.
    Settled(Nonce, Settled),
    /// A marker was folded; the agent that wrote it appends the snapshot.
    MarkerFolded(Nonce, Snapshot),
}

/// State of one stream, handed over to an agent that starts while the log is unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamState {
    /// The stream.
    pub stream: StreamId,
    /// The state and the offset of the next record.
    pub snapshot: Snapshot,
}

/// A marker that was folded, with the digest of the reader's own state there.
#[derive(Debug)]
struct SeenMarker {
    at: Offset,
    digest: u64,
    folded_at: Time,
}

/// Position of the reader in one stream.
#[derive(Debug, Default)]
struct Progress {
    /// Offset of the next record to read.
    next: Offset,
    /// Whether the stream has been read to its end at least once.
    synced: bool,
    /// Offset of the first record after those that expired unread, until a snapshot covers them.
    gap: Option<Offset>,
    /// Whether the current gap was counted as an alarm.
    alarmed: bool,
    /// Time since which the stream ends before `next`.
    short_since: Option<Time>,
    /// Records after a gap, which are folded once a snapshot closes the gap.
    buffered: Vec<(Offset, ByteBuf)>,
    markers: VecDeque<SeenMarker>,
    last_marker: Option<Time>,
    last_snapshot: Option<Time>,
}

/// State of each stream, folded from its records.
#[derive(Debug)]
pub struct FoldedStreams {
    /// The operators' table.
    pub table: Table,
    /// The entry VMs.
    pub members: Members,
    /// The shards.
    pub fleets: BTreeMap<DomainId, Fleet>,
    /// The claims, by partition.
    pub claims: Vec<Claims>,
    /// Faults of the log that were detected.
    pub alarms: Alarms,
    progress: BTreeMap<StreamId, Progress>,
}

impl FoldedStreams {
    /// Creates the state of a reader that has read nothing yet.
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

    /// Returns the offset of the next record to read of each stream.
    pub fn next_offsets(&self) -> Vec<(StreamId, Offset)> {
        let want = |(s, p): (&StreamId, &Progress)| (s.clone(), p.next);
        self.progress.iter().map(want).collect()
    }

    /// Iterates over the streams.
    pub fn streams(&self) -> impl Iterator<Item = &StreamId> {
        self.progress.keys()
    }

    /// Returns whether each stream has been read to its end at least once.
    pub fn is_synced(&self) -> bool {
        self.progress.values().all(|p| p.synced)
    }

    /// Iterates over the streams whose state is unknown because records expired unread.
    pub fn gaps(&self) -> impl Iterator<Item = &StreamId> {
        let gap = |(s, p): (_, &Progress)| p.gap.is_some().then_some(s);
        self.progress.iter().filter_map(gap)
    }

    /// Returns whether the state of the stream is known, so that decisions may be based on it.
    pub fn is_known(&self, stream: &StreamId) -> bool {
        self.progress
            .get(stream)
            .is_some_and(|p| p.synced && p.gap.is_none())
    }

    /// Returns whether records of the stream expired unread.
    pub fn has_gap(&self, stream: &StreamId) -> bool {
        self.progress.get(stream).is_some_and(|p| p.gap.is_some())
    }

    /// Returns whether no record of the stream was read yet.
    pub fn is_empty(&self, stream: &StreamId) -> bool {
        let next = self.progress.get(stream).map(|p| p.next);
        next.unwrap_or_default() == Offset(0)
    }

    /// Returns when the marker of the stream's last snapshot was folded, or `None` if the reader
    /// had not caught up with the stream by then.
    pub fn last_snapshot(&self, stream: &StreamId) -> Option<Time> {
        self.progress.get(stream)?.last_snapshot
    }

    /// Returns when the stream's last marker was folded, or `None` if the reader had not caught up
    /// with the stream by then.
    pub fn last_marker(&self, stream: &StreamId) -> Option<Time> {
        self.progress.get(stream)?.last_marker
    }

    /// Folds records that were read of one stream, and returns what they led to.
    pub fn fold_part(&mut self, now: Time, part: &StreamPart) -> Vec<FoldEvent> {
        let mut out = Vec::new();
        let Some(mut progress) = self.progress.remove(&part.stream) else {
            return out;
        };
        if self.is_short(now, &mut progress, part) {
            self.progress.insert(part.stream.clone(), progress);
            return out;
        }
        check_expired(&mut progress, part);
        for (offset, bytes) in &part.records {
            if *offset != progress.next {
                continue;
            }
            progress.next = Offset(offset.0 + 1);
            if progress.gap.is_some() {
                progress.buffered.push((*offset, bytes.clone()));
                self.close_gap(now, &part.stream, &mut progress, bytes, &mut out);
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

    /// Returns the states of all streams that are known, for an agent that starts while the log is
    /// unavailable.
    pub fn export(&self) -> Vec<StreamState> {
        let known = self
            .progress
            .iter()
            .filter(|(_, p)| p.synced && p.gap.is_none());
        known
            .filter_map(|(stream, p)| {
                let state = self.encode(stream)?;
                Some(StreamState {
                    stream: stream.clone(),
                    snapshot: Snapshot::new(p.next, state),
                })
            })
            .collect()
    }

    /// Adopts the states of another agent where they are ahead of this one's; returns whether any
    /// was.
    pub fn import(&mut self, states: &[StreamState]) -> bool {
        let mut changed = false;
        for state in states {
            let Some(mut progress) = self.progress.remove(&state.stream) else {
                continue;
            };
            let snapshot = &state.snapshot;
            let ahead = progress.gap.is_some() || snapshot.at > progress.next || !progress.synced;
            if ahead && snapshot.at >= progress.next && self.load_snapshot(&state.stream, snapshot)
            {
                progress.next = snapshot.at;
                progress.gap = None;
                progress.buffered.clear();
                progress.synced = true;
                changed = true;
            }
            self.progress.insert(state.stream.clone(), progress);
        }
        changed
    }

    /// Returns the encoded state of a stream, or `None` if there is no such stream.
    pub fn encode(&self, stream: &StreamId) -> Option<Vec<u8>> {
        match stream.as_str().split_once('/') {
            None if stream.as_str() == CONFIG_STREAM => Some(codec::encode(&self.table)),
            None => Some(codec::encode(&self.members)),
            Some(("fleet", shard)) => Some(codec::encode(self.fleets.get(shard)?)),
            Some((_, partition)) => {
                Some(codec::encode(self.claims.get(partition_index(partition)?)?))
            }
        }
    }

    /// Returns whether the stream ends before the position already read, so that the part is
    /// ignored.
    ///
    /// A lagging copy of the log may send such a reply. If the stream stays short, records were
    /// lost, and the stream has a gap.
    fn is_short(&mut self, now: Time, progress: &mut Progress, part: &StreamPart) -> bool {
        if part.end >= progress.next {
            progress.short_since = None;
            return false;
        }
        let since = *progress.short_since.get_or_insert(now);
        if now.since(since) < SHORT_STREAM_TIMEOUT {
            return true;
        }
        self.alarms.regressions += 1;
        progress.short_since = None;
        open_gap(progress, part.kept);
        true
    }

    /// Closes a gap if the record is a snapshot that covers it.
    fn close_gap(
        &mut self,
        now: Time,
        stream: &StreamId,
        progress: &mut Progress,
        bytes: &[u8],
        out: &mut Vec<FoldEvent>,
    ) {
        let Ok(record) = codec::decode::<SnapshotRecord>(bytes) else {
            return;
        };
        let SnapshotStep::Snapshot(snapshot) = record.restate else {
            return;
        };
        let from = progress.gap.unwrap_or_default();
        if snapshot.at < from
            || snapshot.at > progress.next
            || !self.load_snapshot(stream, &snapshot)
        {
            return;
        }
        progress.gap = None;
        progress.alarmed = false;
        progress.markers.push_back(SeenMarker {
            at: snapshot.at,
            digest: snapshot.digest,
            folded_at: now,
        });
        let buffered = std::mem::take(&mut progress.buffered);
        for (offset, bytes) in buffered.iter().filter(|(o, _)| *o >= snapshot.at) {
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
    ) -> Option<FoldEvent> {
        let folded = self.fold_change(stream, offset, bytes);
        self.set_next_offset(stream, Offset(offset.0 + 1));
        if let Some((nonce, settled)) = folded {
            return Some(FoldEvent::Settled(nonce, settled));
        }
        let Ok(record) = codec::decode::<SnapshotRecord>(bytes) else {
            self.alarms.undecodable += 1;
            return None;
        };
        match record.restate {
            SnapshotStep::Mark { horizon_ms } => {
                self.drop_before(stream, horizon_ms);
                let snapshot = Snapshot::new(Offset(offset.0 + 1), self.encode(stream)?);
                record_marker(progress, now, &snapshot);
                Some(FoldEvent::MarkerFolded(record.nonce, snapshot))
            }
            SnapshotStep::Snapshot(snapshot) => {
                self.check_snapshot(progress, &snapshot);
                let accepted = Settled::Accepted { offset };
                Some(FoldEvent::Settled(record.nonce, accepted))
            }
        }
    }

    /// Compares a snapshot with the reader's own state at the marker.
    fn check_snapshot(&mut self, progress: &mut Progress, snapshot: &Snapshot) {
        if !snapshot.is_valid() {
            self.alarms.unsound += 1;
            return;
        }
        let Some(marker) = progress.markers.iter().find(|m| m.at == snapshot.at) else {
            return;
        };
        if marker.digest != snapshot.digest {
            self.alarms.divergences += 1;
        } else if progress.synced {
            progress.last_snapshot = progress.last_snapshot.max(Some(marker.folded_at));
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
                let claims = self.claims.get_mut(partition_index(partition)?)?;
                let record: ClaimRecord = codec::decode(bytes).ok()?;
                let settled = match claims.fold(offset, &record) {
                    Ok(()) => accepted,
                    Err(refusal) => refused_claim(claims, &record, refusal),
                };
                Some((record.nonce, settled))
            }
        }
    }

    fn load_snapshot(&mut self, stream: &StreamId, snapshot: &Snapshot) -> bool {
        let loaded = snapshot.is_valid() && self.decode(stream, &snapshot.state).is_some();
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
                *self.claims.get_mut(partition_index(partition)?)? = codec::decode(bytes).ok()?;
            }
        }
        Some(())
    }

    fn set_next_offset(&mut self, stream: &StreamId, next: Offset) {
        match stream.as_str().split_once('/') {
            None if stream.as_str() == CONFIG_STREAM => self.table.next = next,
            None => self.members.next = next,
            Some(("fleet", shard)) => {
                if let Some(fleet) = self.fleets.get_mut(shard) {
                    fleet.next = next;
                }
            }
            Some((_, partition)) => {
                if let Some(claims) =
                    partition_index(partition).and_then(|i| self.claims.get_mut(i))
                {
                    claims.next = next;
                }
            }
        }
    }

    fn drop_before(&mut self, stream: &StreamId, horizon_ms: u64) {
        let partition = stream
            .as_str()
            .strip_prefix("claims/")
            .and_then(partition_index);
        if let Some(claims) = partition.and_then(|i| self.claims.get_mut(i)) {
            claims.drop_before(horizon_ms);
        }
    }
}

/// Returns the identifier of a shard's stream.
pub fn fleet_stream(shard: &DomainId) -> StreamId {
    StreamId::new(format!("fleet/{shard}"))
}

/// Returns the identifier of a claims partition's stream.
pub fn claims_stream(partition: usize) -> StreamId {
    StreamId::new(format!("claims/{partition}"))
}

/// Opens a gap if records expired unread.
fn check_expired(progress: &mut Progress, part: &StreamPart) {
    if part.kept > progress.next {
        open_gap(progress, part.kept);
    }
}

fn open_gap(progress: &mut Progress, kept: Offset) {
    progress.next = kept;
    progress.gap = Some(kept);
    progress.buffered.clear();
}

fn partition_index(partition: &str) -> Option<usize> {
    partition.parse().ok()
}

fn record_marker(progress: &mut Progress, now: Time, snapshot: &Snapshot) {
    if progress.markers.len() == MAX_MARKERS {
        progress.markers.pop_front();
    }
    progress.markers.push_back(SeenMarker {
        at: snapshot.at,
        digest: digest(&snapshot.state),
        folded_at: now,
    });
    if progress.synced {
        progress.last_marker = Some(now);
    }
}

fn refused_claim(claims: &Claims, record: &ClaimRecord, refusal: ClaimRefusal) -> Settled {
    match (refusal, claims.get(&record.key)) {
        (ClaimRefusal::Expired, _) => Settled::ClaimExpired,
        (ClaimRefusal::Taken, Some(held)) => held.to_settled(),
        (ClaimRefusal::Taken, None) => Settled::NotAppended,
    }
}
