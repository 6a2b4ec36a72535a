//! State machine of the agent: it folds the log, gossips liveness, probes VMs, appends submitted
//! records and publishes the view.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngCore, SeedableRng};

use crate::appender::{AppendId, AppendOutcome, Appender, Submission, Ticket};
use crate::chart::Charts;
use crate::check;
use crate::claims::{self, ClaimRecord, Claims};
use crate::codec;
use crate::engine::EngineState;
use crate::fleet::FleetRecord;
use crate::folds::{FoldEvent, FoldedStreams, StreamState};
use crate::gossip::{Gossip, GossipConfig, OutgoingPacket};
use crate::ids::{DomainId, EntryId, Nonce, StreamId, VmId};
use crate::members::{Member, MemberChange, MemberRecord};
use crate::message_auth::KeyRing;
use crate::peers::{GossipMessage, Settled, Submit, Suspicion, VmReport};
use crate::platform::{AppendCall, ReadCall, ReadReply, VmListing, VmRole};
use crate::probe::{ProbeConfig, Prober};
use crate::rendezvous;
use crate::snapshot::{SnapshotRecord, SnapshotStep};
use crate::snapshot_schedule::{SnapshotConfig, SnapshotScheduler};
use crate::suspicion::SuspicionSet;
use crate::table::{ConfigRecord, Edit, Refusal};
use crate::time::Time;
use crate::view::{self, EntryStatus, View};

pub use crate::folds::{CONFIG_STREAM, MEMBERS_STREAM, claims_stream, fleet_stream};

/// Maximum number of suspicions in one datagram.
const SUSPICIONS_PER_DATAGRAM: usize = 6;
/// Time in milliseconds that the log may hold a read open until a record arrives.
const READ_WAIT_MS: u64 = 1_000;
/// Maximum number of records in the reply to one read.
const READ_LIMIT: u32 = 1_024;
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two views when only loads or ages changed.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between two views, whatever changed.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(5);
const FETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two removals of silent entry VMs by one agent.
const REMOVE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum age of a probe of this agent that is still reported to others.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
const PROBERS_PER_VM: usize = 2;
/// Ticket of records that the agent appends itself, whose outcome has no recipient.
const INTERNAL_TICKET: Ticket = Ticket(u64::MAX);

/// Configuration of an agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// The entry VM that the agent runs on.
    pub member: Member,
    /// Failure domains, each of which is a shard.
    pub domains: Vec<DomainId>,
    /// Number of partitions of the claims.
    pub claim_partitions: u32,
    /// How endpoint VMs are probed.
    pub probe: ProbeConfig,
    /// How the liveness of entry VMs is gossiped.
    pub gossip: GossipConfig,
    /// How often streams are snapshotted.
    pub snapshots: SnapshotConfig,
    /// Silence after which an entry VM that did not announce its leave is removed.
    pub remove_after: Duration,
    /// Base URLs of agents from which the state is fetched while the log is unavailable.
    pub bootstrap_agents: Vec<String>,
    /// Keys that authenticate gossip datagrams.
    pub keys: KeyRing,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Event that the agent handles.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A read of the log ended; `None` if it failed.
    Read(Option<ReadReply>),
    /// An append to the log ended.
    Appended(AppendId, AppendOutcome),
    /// The fetch of another agent's states ended; `None` if it failed.
    Fetched(Option<Vec<StreamState>>),
    /// The read of the platform's VM list ended; `None` if it failed.
    Listed(Option<Vec<VmListing>>),
    /// The probe of a VM ended.
    Probed {
        /// The probed VM.
        vm: VmId,
        /// Whether the VM answered.
        answered: bool,
        /// State that the VM reported, if it runs an engine.
        state: Option<EngineState>,
    },
    /// A datagram arrived.
    Datagram(Vec<u8>),
    /// A daemon or an operator submits a record.
    Submit {
        /// Identifies the submission in [`Output::Settle`].
        ticket: Ticket,
        /// The submitted record.
        submit: Submit,
        /// Time at which the submitter stops waiting.
        deadline: Time,
    },
    /// The gateway of this entry VM reports its spare share of capacity, from 0 to 1.
    SpareCapacity(f64),
    /// The gateway of this entry VM suspects requests of crashing endpoints.
    Suspect(Vec<Suspicion>),
    /// An operator or a signal asks this entry VM to leave.
    Leave,
}

/// Action that the agent asks its driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Read from the log.
    Read(ReadCall),
    /// Append records to the log.
    Append(AppendId, AppendCall),
    /// Fetch the stream states of the agent at this base URL.
    Fetch(String),
    /// Read the platform's VM list.
    List,
    /// Probe this VM.
    Probe(VmListing),
    /// Send a datagram to another agent.
    Send {
        /// UDP address of the recipient.
        to: String,
        /// The signed message.
        bytes: Vec<u8>,
    },
    /// Report to the submitter how its record was settled.
    Settle(Ticket, Settled),
    /// Serve this view from now on.
    Publish(Arc<View>),
}

/// State of the agent of one entry VM.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    rng: SmallRng,
    folds: FoldedStreams,
    appender: Appender,
    snapshot_scheduler: SnapshotScheduler,
    gossip: Gossip,
    prober: Prober,
    spare: f64,
    suspicions: SuspicionSet,
    read_in_flight: bool,
    /// Whether the read in flight was started before states were imported, so that its reply is
    /// ignored.
    stale_read: bool,
    next_read: Time,
    log_up: bool,
    next_join: Time,
    has_left: bool,
    fetch_in_flight: bool,
    next_fetch: Time,
    next_remove: Time,
    list_in_flight: bool,
    next_list: Time,
    next_report: Time,
    probed_since_report: BTreeSet<VmId>,
    version: u64,
    /// Whether anything changed since the last view.
    dirty: bool,
    next_publish: Time,
    last_publish: Time,
    datagrams_refused: u64,
}

impl Agent {
    /// Creates an agent that has read nothing yet.
    pub fn new(config: AgentConfig, charts: &Charts) -> Self {
        let me = config.member.entry.clone();
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            folds: FoldedStreams::new(&config.domains, config.claim_partitions),
            appender: Appender::default(),
            snapshot_scheduler: SnapshotScheduler::new(config.snapshots),
            gossip: Gossip::new(config.gossip, me),
            prober: Prober::new(config.probe, charts.vm.clone()),
            spare: 1.0,
            suspicions: SuspicionSet::default(),
            read_in_flight: false,
            stale_read: false,
            next_read: Time::ZERO,
            log_up: false,
            next_join: Time::ZERO,
            has_left: false,
            fetch_in_flight: false,
            next_fetch: Time::ZERO,
            next_remove: Time::ZERO,
            list_in_flight: false,
            next_list: Time::ZERO,
            next_report: Time::ZERO,
            probed_since_report: BTreeSet::new(),
            version: 0,
            dirty: true,
            next_publish: Time::ZERO,
            last_publish: Time::ZERO,
            datagrams_refused: 0,
            config,
        }
    }

    /// Handles one input at the time `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Read(reply) => self.handle_read(now, reply, out),
            Input::Appended(id, end) => push_settled(out, self.appender.handle_outcome(id, end)),
            Input::Fetched(states) => self.handle_states(now, states),
            Input::Listed(list) => self.handle_list(now, list),
            Input::Probed {
                vm,
                answered,
                state,
            } => {
                let report = VmReport {
                    vm,
                    answered,
                    state,
                    age_ms: 0,
                };
                self.probed_since_report.insert(report.vm.clone());
                let changed = self.record_probe(now, &report);
                self.request_publish(changed);
                if changed {
                    self.next_report = now;
                }
            }
            Input::Datagram(bytes) => self.handle_datagram(now, &bytes, out),
            Input::Submit {
                ticket,
                submit,
                deadline,
            } => {
                let refused = self.submit(now, ticket, submit, deadline);
                out.extend(refused.map(|end| Output::Settle(ticket, end)));
            }
            Input::SpareCapacity(spare) if spare.is_finite() => self.spare = spare.clamp(0.0, 1.0),
            Input::SpareCapacity(_) => {}
            Input::Suspect(suspicions) => {
                let changed = self.suspicions.merge(now, &suspicions);
                self.request_publish(changed);
                self.send_suspicions(now, out);
            }
            Input::Leave => self.leave(now),
        }
        let hold_back = self.snapshot_scheduler.holds_back(now, &self.folds);
        let append = self.appender.flush(now, hold_back);
        out.extend(append.map(|(id, call)| Output::Append(id, call)));
        self.publish(now, out);
    }

    /// Returns the folded claims of a partition, or `None` if there is no such partition.
    pub fn claims(&self, partition: u32) -> Option<&Claims> {
        self.folds.claims.get(partition as usize)
    }

    /// Returns the number of datagrams that were refused as malformed or not authentic.
    pub fn datagrams_refused(&self) -> u64 {
        self.datagrams_refused
    }

    /// Returns the folded streams.
    pub fn folds(&self) -> &FoldedStreams {
        &self.folds
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        push_settled(out, self.appender.expire(now));
        if !self.read_in_flight && now >= self.next_read {
            self.start_read(out);
        }
        if !self.list_in_flight && now >= self.next_list {
            self.list_in_flight = true;
            self.next_list = now + LIST_INTERVAL;
            out.push(Output::List);
        }
        let expired = self.prober.expire(now);
        self.request_publish(expired);
        self.start_probes(now, out);
        self.run_gossip(now, out);
        self.send_reports(now, out);
        self.join(now);
        self.append_due_markers(now);
        self.remove_silent(now);
        self.start_fetch(now, out);
    }

    fn start_read(&mut self, out: &mut Vec<Output>) {
        self.read_in_flight = true;
        out.push(Output::Read(ReadCall {
            wants: self.folds.next_offsets(),
            wait_ms: READ_WAIT_MS,
            limit: READ_LIMIT,
        }));
    }

    fn handle_read(&mut self, now: Time, reply: Option<ReadReply>, out: &mut Vec<Output>) {
        self.read_in_flight = false;
        if std::mem::take(&mut self.stale_read) {
            return self.start_read(out);
        }
        let up = reply.is_some();
        let changed = self.log_up != up;
        self.log_up = up;
        self.request_publish(changed);
        let Some(reply) = reply else {
            self.next_read = now + READ_RETRY_DELAY;
            return;
        };
        for part in &reply.parts {
            let events = self.folds.fold_part(now, part);
            self.request_publish(!part.records.is_empty());
            for event in events {
                self.handle_fold_event(now, &part.stream, event, out);
            }
        }
        self.gossip.update_members(now, &self.folds.members);
        if changed {
            self.snapshot_scheduler.hold_after_outage(now);
        }
        self.start_read(out);
    }

    fn handle_fold_event(
        &mut self,
        now: Time,
        stream: &StreamId,
        event: FoldEvent,
        out: &mut Vec<Output>,
    ) {
        let (nonce, settled) = match event {
            FoldEvent::Settled(nonce, settled) => (nonce, settled),
            FoldEvent::MarkerFolded(nonce, snapshot) => {
                if self.snapshot_scheduler.confirm_marker(nonce) {
                    self.append_snapshot_record(
                        now,
                        stream.clone(),
                        SnapshotStep::Snapshot(snapshot),
                    );
                }
                let offset = self.folds.table.next;
                (nonce, Settled::Accepted { offset })
            }
        };
        let ticket = self
            .appender
            .read_back(nonce)
            .filter(|t| *t != INTERNAL_TICKET);
        out.extend(ticket.map(|t| Output::Settle(t, settled)));
    }

    /// Queues a record for the log, or returns its outcome if that is known already.
    fn submit(
        &mut self,
        now: Time,
        ticket: Ticket,
        submit: Submit,
        deadline: Time,
    ) -> Option<Settled> {
        let nonce = Nonce(self.rng.next_u64());
        let (stream, record) = match submit {
            Submit::Config { author, edits } => {
                if let Some(refused) = self.refuse_edits(now, &edits) {
                    return Some(refused);
                }
                let record = ConfigRecord {
                    nonce,
                    author,
                    at_ms: now.as_millis(),
                    edits,
                };
                (StreamId::new(CONFIG_STREAM), codec::encode(&record))
            }
            Submit::Fleet { shard, change } => (
                fleet_stream(&shard),
                codec::encode(&FleetRecord { nonce, change }),
            ),
            Submit::ClaimStatus { key } => return Some(self.claim_status(&key)),
            Submit::Claim {
                key,
                owner,
                claim,
                binding,
                change,
            } => {
                let partition = claims::partition(&key, self.config.claim_partitions) as usize;
                let record = ClaimRecord {
                    nonce,
                    key,
                    owner,
                    claim,
                    binding,
                    change,
                };
                (claims_stream(partition), codec::encode(&record))
            }
        };
        if self.folds.has_gap(&stream) {
            return Some(Settled::Gap);
        }
        self.appender.submit(Submission {
            ticket,
            nonce,
            stream,
            record,
            deadline,
        });
        None
    }

    /// Returns the refusal of edits that conflict with a newer row or that fail validation.
    fn refuse_edits(&self, now: Time, edits: &[Edit]) -> Option<Settled> {
        if !self.folds.is_synced() {
            return None;
        }
        let table = &self.folds.table;
        for edit in edits {
            let entry = table.entry(&edit.key);
            if entry.is_some_and(|e| Some(e.version) > edit.base) {
                return Some(Settled::ConfigRefused(Refusal::Conflict {
                    key: edit.key.clone(),
                    entry: entry.cloned().map(Box::new),
                }));
            }
        }
        let mut vms: BTreeMap<DomainId, usize> = BTreeMap::new();
        for status in self.prober.statuses(now).into_values() {
            if status.listing.role == VmRole::Engine {
                *vms.entry(status.listing.domain).or_insert(0) += 1;
            }
        }
        let faults = check::check(table, edits, &vms);
        (!faults.is_empty()).then_some(Settled::ConfigInvalid(faults))
    }

    fn claim_status(&self, key: &uuid::Uuid) -> Settled {
        let partition = claims::partition(key, self.config.claim_partitions) as usize;
        let held = self.folds.claims.get(partition).and_then(|c| c.get(key));
        match held {
            Some(held) => held.to_settled(),
            None if self.log_up => Settled::ClaimFree,
            None => Settled::Unknown,
        }
    }

    /// Sends the newest suspicions to a few entry VMs, in datagrams of bounded size.
    fn send_suspicions(&mut self, now: Time, out: &mut Vec<Output>) {
        for part in self.suspicions.newest(now).chunks(SUSPICIONS_PER_DATAGRAM) {
            let message = GossipMessage::Suspicions(part.to_vec());
            let bytes = self.config.keys.sign(&message);
            for to in self.gossip.report_targets(&mut self.rng) {
                let bytes = bytes.clone();
                out.push(Output::Send { to, bytes });
            }
        }
    }

    fn announce(&mut self, now: Time, change: MemberChange) {
        let nonce = Nonce(self.rng.next_u64());
        self.appender.submit(Submission {
            ticket: INTERNAL_TICKET,
            nonce,
            stream: StreamId::new(MEMBERS_STREAM),
            record: codec::encode(&MemberRecord { nonce, change }),
            deadline: now + JOIN_RETRY_INTERVAL,
        });
    }

    /// Announces this incarnation until the log shows it, also after another agent removed the
    /// entry VM as silent.
    fn join(&mut self, now: Time) {
        let wanted = &self.config.member;
        let known = self.folds.members.get(&wanted.entry);
        let joined = known.is_some_and(|m| m.incarnation >= wanted.incarnation);
        if joined
            || self.has_left
            || !self.folds.is_synced()
            || !self.log_up
            || now < self.next_join
        {
            return;
        }
        self.next_join = now + JOIN_RETRY_INTERVAL;
        self.announce(now, MemberChange::Join(self.config.member.clone()));
    }

    fn leave(&mut self, now: Time) {
        self.has_left = true;
        let member = &self.config.member;
        let change = MemberChange::Leave(member.entry.clone(), member.incarnation);
        self.announce(now, change);
    }

    /// Appends a marker to each stream that this agent is to snapshot.
    fn append_due_markers(&mut self, now: Time) {
        if !self.log_up {
            return;
        }
        let live = live_entries(&self.config.member.entry, &self.gossip);
        let due = self
            .snapshot_scheduler
            .due(now, &self.folds, &live, live[0]);
        let horizon_ms = self.snapshot_scheduler.horizon_ms(now);
        for stream in due {
            let nonce = self.append_snapshot_record(now, stream, SnapshotStep::Mark { horizon_ms });
            self.snapshot_scheduler.record_marker(now, nonce);
        }
    }

    fn append_snapshot_record(
        &mut self,
        now: Time,
        stream: StreamId,
        restate: SnapshotStep,
    ) -> Nonce {
        let nonce = Nonce(self.rng.next_u64());
        let submission = Submission {
            ticket: INTERNAL_TICKET,
            nonce,
            stream,
            record: codec::encode(&SnapshotRecord { nonce, restate }),
            deadline: now + self.config.snapshots.stagger,
        };
        self.appender.submit_snapshot(submission);
        nonce
    }

    /// Removes one entry VM that vanished without a leave, if this agent is responsible for it.
    fn remove_silent(&mut self, now: Time) {
        if now < self.next_remove || !self.log_up || !self.gossip.sees_majority() {
            return;
        }
        let live = live_entries(&self.config.member.entry, &self.gossip);
        let mine = |e: &EntryId| {
            let key = e.as_str().as_bytes();
            rendezvous::owners(key, live.iter().copied(), 1).contains(&live[0])
        };
        let silent = self.gossip.silent_peers(now, self.config.remove_after);
        let Some(entry) = silent.map(|p| &p.entry).find(|e| mine(e)) else {
            return;
        };
        let Some(run) = self.folds.members.get(entry).map(|m| m.incarnation) else {
            return;
        };
        let change = MemberChange::Remove(entry.clone(), run);
        self.next_remove = now + REMOVE_INTERVAL;
        self.announce(now, change);
    }

    /// Fetches the states from another agent while the log cannot supply them.
    fn start_fetch(&mut self, now: Time, out: &mut Vec<Output>) {
        let gap = self.folds.gaps().next().is_some();
        let wanted = gap || (!self.log_up && !self.folds.is_synced());
        if !wanted || self.fetch_in_flight || now < self.next_fetch {
            return;
        }
        let own = &self.config.member.agent;
        let mut urls: BTreeSet<&String> = self.config.bootstrap_agents.iter().collect();
        urls.extend(self.folds.members.iter().map(|m| &m.agent));
        urls.remove(own);
        let urls: Vec<&String> = urls.into_iter().collect();
        let Some(url) = urls.choose(&mut self.rng) else {
            return;
        };
        self.fetch_in_flight = true;
        self.next_fetch = now + FETCH_INTERVAL;
        out.push(Output::Fetch((*url).clone()));
    }

    fn handle_states(&mut self, now: Time, states: Option<Vec<StreamState>>) {
        self.fetch_in_flight = false;
        if let Some(states) = states {
            self.stale_read |= self.folds.import(&states) && self.read_in_flight;
            self.gossip.update_members(now, &self.folds.members);
            self.request_publish(true);
        }
    }

    fn handle_list(&mut self, now: Time, list: Option<Vec<VmListing>>) {
        self.list_in_flight = false;
        if let Some(list) = list {
            let changed = self.prober.update_list(now, &list);
            self.request_publish(changed);
        }
    }

    fn record_probe(&mut self, now: Time, report: &VmReport) -> bool {
        self.dirty = true;
        self.prober.record_probe(now, report)
    }

    fn start_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let live = live_entries(&self.config.member.entry, &self.gossip);
        let mine = |vm: &VmId| {
            let key = vm.as_str().as_bytes();
            let owners = rendezvous::owners(key, live.iter().copied(), PROBERS_PER_VM);
            owners.contains(&live[0])
        };
        out.extend(
            self.prober
                .start_due(now, mine)
                .into_iter()
                .map(Output::Probe),
        );
    }

    fn run_gossip(&mut self, now: Time, out: &mut Vec<Output>) {
        self.gossip
            .set_heartbeat(self.spare, self.folds.table.next.0);
        let mut packets = Vec::new();
        self.gossip.tick(now, &mut self.rng, &mut packets);
        self.send_packets(packets, out);
    }

    /// Sends reports of the VMs that this agent probed since the last reports, split over datagrams
    /// of bounded size.
    fn send_reports(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.next_report {
            return;
        }
        let probed = std::mem::take(&mut self.probed_since_report);
        let mut reports = self.prober.reports(now, now - MAX_REPORT_AGE);
        reports.retain(|r| probed.contains(&r.vm));
        self.next_report = now + self.config.gossip.report_interval;
        self.send_suspicions(now, out);
        for part in split_reports(reports, self.config.gossip.report_bytes) {
            let bytes = self.config.keys.sign(&GossipMessage::Reports(part));
            for to in self.gossip.report_targets(&mut self.rng) {
                let bytes = bytes.clone();
                out.push(Output::Send { to, bytes });
            }
        }
    }

    fn send_packets(&self, packets: Vec<OutgoingPacket>, out: &mut Vec<Output>) {
        for outgoing in packets {
            let bytes = self
                .config
                .keys
                .sign(&GossipMessage::Packet(outgoing.packet));
            out.push(Output::Send {
                to: outgoing.to,
                bytes,
            });
        }
    }

    fn handle_datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Output>) {
        match self.config.keys.verify(bytes) {
            None => self.datagrams_refused += 1,
            Some(GossipMessage::Packet(packet)) => {
                let mut packets = Vec::new();
                self.gossip
                    .receive(now, &packet, &mut self.rng, &mut packets);
                self.send_packets(packets, out);
                self.dirty = true;
            }
            Some(GossipMessage::Suspicions(suspicions)) => {
                let changed = self.suspicions.merge(now, &suspicions);
                self.request_publish(changed);
            }
            Some(GossipMessage::Reports(reports)) => {
                let mut changed = false;
                for report in &reports {
                    changed |= self.prober.apply_report(now, report);
                }
                self.request_publish(changed);
                self.dirty = true;
            }
        }
    }

    fn request_publish(&mut self, urgent: bool) {
        if urgent {
            self.dirty = true;
            self.next_publish = Time::ZERO;
        }
    }

    fn publish(&mut self, now: Time, out: &mut Vec<Output>) {
        let early = now < self.next_publish || now < self.last_publish + MIN_PUBLISH_INTERVAL;
        if !self.dirty || early && self.version > 0 || !self.folds.is_synced() {
            return;
        }
        self.last_publish = now;
        self.dirty = false;
        self.next_publish = now + PUBLISH_INTERVAL;
        self.version += 1;
        out.push(Output::Publish(Arc::new(self.view(now))));
    }

    fn view(&self, now: Time) -> View {
        let mut vms = self.prober.statuses(now);
        view::mark_drained(&mut vms, &self.folds.table);
        View {
            version: self.version,
            table: self.folds.table.clone(),
            entries: self
                .folds
                .members
                .iter()
                .map(|m| self.entry_status(m))
                .collect(),
            vms,
            fleets: self.folds.fleets.clone(),
            log_up: self.log_up,
            suspicions: self.suspicions.newest(now),
            peers_up: self.gossip.peers_up(now),
            gaps: self.folds.gaps().cloned().collect(),
            alarms: self.folds.alarms,
        }
    }

    fn entry_status(&self, member: &Member) -> EntryStatus {
        let own = member.incarnation == self.config.member.incarnation
            && member.entry == self.config.member.entry;
        let peer = self.gossip.live_peer(&self.folds.members, &member.entry);
        let spare = peer.map_or(0.0, |p| f64::from(p.heartbeat.spare) / 100.0);
        EntryStatus {
            member: member.clone(),
            live: own || peer.is_some(),
            spare: if own { self.spare } else { spare },
            config: match own {
                true => self.folds.table.next.0,
                false => peer.map_or(0, |p| p.heartbeat.config),
            },
        }
    }
}

/// Returns the names of the entry VMs that are considered alive, this one first.
fn live_entries<'a>(me: &'a EntryId, gossip: &'a Gossip) -> Vec<&'a str> {
    let peers = gossip.live_peers().map(|p| p.entry.as_str());
    std::iter::once(me.as_str()).chain(peers).collect()
}

/// Splits reports into batches whose encodings stay within `payload` bytes; a single report that
/// is larger gets a batch of its own.
fn split_reports(reports: Vec<VmReport>, payload: usize) -> Vec<Vec<VmReport>> {
    let mut out: Vec<Vec<VmReport>> = Vec::new();
    let mut room = 0;
    for report in reports {
        let bytes = codec::encode(&report).len();
        if bytes > room {
            out.push(Vec::new());
            room = payload;
        }
        room = room.saturating_sub(bytes);
        if let Some(last) = out.last_mut() {
            last.push(report);
        }
    }
    out
}

fn push_settled(out: &mut Vec<Output>, settled: Vec<(Ticket, Settled)>) {
    let awaited = settled.into_iter().filter(|(t, _)| *t != INTERNAL_TICKET);
    out.extend(awaited.map(|(ticket, end)| Output::Settle(ticket, end)));
}
