//! The agent's state machine: folds of the log, liveness, probes, submissions and the view.

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
use crate::folds::{Folded, FoldedStreams, StreamState};
use crate::gossip::{Gossip, GossipConfig, OutgoingPacket};
use crate::ids::{DomainId, EntryId, Nonce, StreamId, VmId};
use crate::members::{Member, MemberChange, MemberRecord};
use crate::message_auth::KeyRing;
use crate::peers::{GossipMessage, Settled, Submit, Suspicion, VmReport};
use crate::platform::{AppendCall, ReadCall, ReadReply, VmListing, VmRole};
use crate::probe::{ProbeConfig, Prober};
use crate::rendezvous;
use crate::snapshot::{Restate, RestateRecord};
use crate::snapshot_schedule::{SnapshotConfig, SnapshotScheduler};
use crate::suspicion::SuspicionSet;
use crate::table::{ConfigRecord, Edit, Refusal};
use crate::time::Time;
use crate::view::{self, EntryStatus, View};

pub use crate::folds::{CONFIG_STREAM, MEMBERS_STREAM, claims_stream, fleet_stream};

/// Suspicions that one datagram carries at most.
const SUSPICIONS: usize = 6;
const READ_WAIT_MS: u64 = 1_000;
const READ_LIMIT: u32 = 1_024;
const READ_RETRY: Duration = Duration::from_millis(300);
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// Time between two views when only loads or ages changed.
const PUBLISH_EVERY: Duration = Duration::from_millis(250);
/// Time between two views whatever changed.
const PUBLISH_GAP: Duration = Duration::from_millis(20);
const JOIN_EVERY: Duration = Duration::from_secs(5);
const FETCH_EVERY: Duration = Duration::from_secs(1);
/// Time between two removals of silent entry VMs by one agent.
const REMOVE_EVERY: Duration = Duration::from_secs(10);
/// Age up to which an own probe is reported.
const REPORT_AGE: Duration = Duration::from_secs(2);
const PROBERS_PER_VM: usize = 2;
/// Names records whose end nobody awaits.
const NOBODY: Ticket = Ticket(u64::MAX);

/// What an agent is told when it starts.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Its entry VM.
    pub member: Member,
    /// The shards.
    pub domains: Vec<DomainId>,
    /// Partitions of the claims.
    pub claim_partitions: u32,
    /// Probing.
    pub probe: ProbeConfig,
    /// Gossip.
    pub gossip: GossipConfig,
    /// Restating.
    pub snapshots: SnapshotConfig,
    /// Silence after which an entry VM that never announced its leave is removed.
    pub remove_after: Duration,
    /// Agents to start from while the log is out.
    pub bootstrap_agents: Vec<String>,
    /// Keys that authenticate gossip.
    pub keys: KeyRing,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What happens to an agent.
#[derive(Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// A read of the log ended; `None` says that it failed.
    Read(Option<ReadReply>),
    /// An append ended.
    Appended(AppendId, AppendOutcome),
    /// A peer's agent handed over its states; `None` says that it failed.
    Fetched(Option<Vec<StreamState>>),
    /// The platform's list came; `None` says that it failed.
    Listed(Option<Vec<VmListing>>),
    /// A probe ended.
    Probed {
        /// The VM.
        vm: VmId,
        /// Whether it answered.
        answered: bool,
        /// Its state, where it runs an engine.
        state: Option<EngineState>,
    },
    /// A datagram came.
    Datagram(Vec<u8>),
    /// A daemon or operator submits a record.
    Submit {
        /// Names the submission.
        ticket: Ticket,
        /// The record.
        submit: Submit,
        /// When the submitter stops waiting.
        deadline: Time,
    },
    /// The gateway of this entry VM reports its spare share of capacity.
    SpareCapacity(f64),
    /// The gateway of this entry VM puts requests under suspicion.
    Suspect(Vec<Suspicion>),
    /// The operator or a signal asks this entry VM to leave.
    Leave,
}

/// What an agent does.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Read the log.
    Read(ReadCall),
    /// Append to the log.
    Append(AppendId, AppendCall),
    /// Fetch the states of the agent at this base URL.
    Fetch(String),
    /// Read the platform's list of VMs.
    List,
    /// Probe a VM.
    Probe(VmListing),
    /// Send a datagram.
    Send {
        /// UDP address.
        to: String,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// Tell the submitter how its record was settled.
    Settle(Ticket, Settled),
    /// Serve a new view.
    Publish(Arc<View>),
}

/// The agent of one entry VM.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    rng: SmallRng,
    folds: FoldedStreams,
    appender: Appender,
    restater: SnapshotScheduler,
    gossip: Gossip,
    prober: Prober,
    spare: f64,
    suspicions: SuspicionSet,
    reading: bool,
    stale_read: bool,
    next_read: Time,
    log_up: bool,
    next_join: Time,
    left: bool,
    fetching: bool,
    next_fetch: Time,
    next_remove: Time,
    listing: bool,
    next_list: Time,
    next_report: Time,
    probed: BTreeSet<VmId>,
    version: u64,
    dirty: bool,
    next_publish: Time,
    published: Time,
    refused: u64,
}

impl Agent {
    /// Makes an agent that has read nothing yet.
    pub fn new(config: AgentConfig, charts: &Charts) -> Self {
        let me = config.member.entry.clone();
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            folds: FoldedStreams::new(&config.domains, config.claim_partitions),
            appender: Appender::default(),
            restater: SnapshotScheduler::new(config.snapshots),
            gossip: Gossip::new(config.gossip, me),
            prober: Prober::new(config.probe, charts.vm.clone()),
            spare: 1.0,
            suspicions: SuspicionSet::default(),
            reading: false,
            stale_read: false,
            next_read: Time::ZERO,
            log_up: false,
            next_join: Time::ZERO,
            left: false,
            fetching: false,
            next_fetch: Time::ZERO,
            next_remove: Time::ZERO,
            listing: false,
            next_list: Time::ZERO,
            next_report: Time::ZERO,
            probed: BTreeSet::new(),
            version: 0,
            dirty: true,
            next_publish: Time::ZERO,
            published: Time::ZERO,
            refused: 0,
            config,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Read(reply) => self.take_read(now, reply, out),
            Input::Appended(id, end) => settle(out, self.appender.ended(id, end)),
            Input::Fetched(states) => self.take_states(now, states),
            Input::Listed(list) => self.take_list(now, list),
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
                self.probed.insert(report.vm.clone());
                let changed = self.prober_probed(now, &report);
                self.mark(changed);
                if changed {
                    self.next_report = now;
                }
            }
            Input::Datagram(bytes) => self.take_datagram(now, &bytes, out),
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
                self.mark(changed);
                self.spread(now, out);
            }
            Input::Leave => self.leave(now),
        }
        let held = self.restater.holds(now, &self.folds);
        let append = self.appender.flush(now, held);
        out.extend(append.map(|(id, call)| Output::Append(id, call)));
        self.publish(now, out);
    }

    /// Returns the folded claims of a partition.
    pub fn claims(&self, partition: u32) -> Option<&Claims> {
        self.folds.claims.get(partition as usize)
    }

    /// Returns the number of datagrams refused as malformed or not authentic.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the folded streams.
    pub fn folds(&self) -> &FoldedStreams {
        &self.folds
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        settle(out, self.appender.expire(now));
        if !self.reading && now >= self.next_read {
            self.read(out);
        }
        if !self.listing && now >= self.next_list {
            self.listing = true;
            self.next_list = now + LIST_EVERY;
            out.push(Output::List);
        }
        let expired = self.prober.expire(now);
        self.mark(expired);
        self.probe(now, out);
        self.gossip(now, out);
        self.report(now, out);
        self.join(now);
        self.restate(now);
        self.remove_silent(now);
        self.fetch(now, out);
    }

    fn read(&mut self, out: &mut Vec<Output>) {
        self.reading = true;
        out.push(Output::Read(ReadCall {
            wants: self.folds.next_offsets(),
            wait_ms: READ_WAIT_MS,
            limit: READ_LIMIT,
        }));
    }

    fn take_read(&mut self, now: Time, reply: Option<ReadReply>, out: &mut Vec<Output>) {
        self.reading = false;
        if std::mem::take(&mut self.stale_read) {
            return self.read(out);
        }
        let up = reply.is_some();
        let changed = self.log_up != up;
        self.log_up = up;
        self.mark(changed);
        let Some(reply) = reply else {
            self.next_read = now + READ_RETRY;
            return;
        };
        for part in &reply.parts {
            let folded = self.folds.take(now, part);
            self.mark(!part.records.is_empty());
            for end in folded {
                self.take_folded(now, &part.stream, end, out);
            }
        }
        self.gossip.update_members(now, &self.folds.members);
        if changed {
            self.restater.resume(now);
        }
        self.read(out);
    }

    fn take_folded(&mut self, now: Time, stream: &StreamId, folded: Folded, out: &mut Vec<Output>) {
        let (nonce, settled) = match folded {
            Folded::Settled(nonce, settled) => (nonce, settled),
            Folded::Marked(nonce, snapshot) => {
                if self.restater.marked(nonce) {
                    self.append_restate(now, stream.clone(), Restate::Snapshot(snapshot));
                }
                let offset = self.folds.table.next;
                (nonce, Settled::Accepted { offset })
            }
        };
        let ticket = self.appender.read_back(nonce).filter(|t| *t != NOBODY);
        out.extend(ticket.map(|t| Output::Settle(t, settled)));
    }

    /// Queues a record, or returns why it is refused at once.
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
        if self.folds.is_gap(&stream) {
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

    /// Refuses edits that lost a race already, or that are at fault.
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

    /// Sends the newest suspicions to some entry VMs, in datagrams of bounded size.
    fn spread(&mut self, now: Time, out: &mut Vec<Output>) {
        for part in self.suspicions.newest(now).chunks(SUSPICIONS) {
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
            ticket: NOBODY,
            nonce,
            stream: StreamId::new(MEMBERS_STREAM),
            record: codec::encode(&MemberRecord { nonce, change }),
            deadline: now + JOIN_EVERY,
        });
    }

    /// Announces this run until the log has it, also after another agent removed it as silent.
    fn join(&mut self, now: Time) {
        let wanted = &self.config.member;
        let known = self.folds.members.get(&wanted.entry);
        let joined = known.is_some_and(|m| m.incarnation >= wanted.incarnation);
        if joined || self.left || !self.folds.is_synced() || !self.log_up || now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_EVERY;
        self.announce(now, MemberChange::Join(self.config.member.clone()));
    }

    fn leave(&mut self, now: Time) {
        self.left = true;
        let member = &self.config.member;
        let change = MemberChange::Leave(member.entry.clone(), member.incarnation);
        self.announce(now, change);
    }

    /// Marks the streams that this agent is to restate.
    fn restate(&mut self, now: Time) {
        if !self.log_up {
            return;
        }
        let live = live_names(&self.config.member.entry, &self.gossip);
        let due = self.restater.due(now, &self.folds, &live, live[0]);
        let horizon_ms = self.restater.horizon_ms(now);
        for stream in due {
            let nonce = self.append_restate(now, stream, Restate::Mark { horizon_ms });
            self.restater.mark(now, nonce);
        }
    }

    fn append_restate(&mut self, now: Time, stream: StreamId, restate: Restate) -> Nonce {
        let nonce = Nonce(self.rng.next_u64());
        let submission = Submission {
            ticket: NOBODY,
            nonce,
            stream,
            record: codec::encode(&RestateRecord { nonce, restate }),
            deadline: now + self.config.snapshots.stagger,
        };
        self.appender.submit_urgent(submission);
        nonce
    }

    /// Removes one entry VM that vanished without a leave, if this agent is the one to do so.
    fn remove_silent(&mut self, now: Time) {
        if now < self.next_remove || !self.log_up || !self.gossip.sees_majority() {
            return;
        }
        let live = live_names(&self.config.member.entry, &self.gossip);
        let mine = |e: &EntryId| {
            let key = e.as_str().as_bytes();
            rendezvous::owners(key, live.iter().copied(), 1).contains(&live[0])
        };
        let silent = self.gossip.silent(now, self.config.remove_after);
        let Some(entry) = silent.map(|p| &p.entry).find(|e| mine(e)) else {
            return;
        };
        let Some(run) = self.folds.members.get(entry).map(|m| m.incarnation) else {
            return;
        };
        let change = MemberChange::Remove(entry.clone(), run);
        self.next_remove = now + REMOVE_EVERY;
        self.announce(now, change);
    }

    /// Fetches states from a peer while the log can't give them.
    fn fetch(&mut self, now: Time, out: &mut Vec<Output>) {
        let gap = self.folds.gaps().next().is_some();
        let wanted = gap || (!self.log_up && !self.folds.is_synced());
        if !wanted || self.fetching || now < self.next_fetch {
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
        self.fetching = true;
        self.next_fetch = now + FETCH_EVERY;
        out.push(Output::Fetch((*url).clone()));
    }

    fn take_states(&mut self, now: Time, states: Option<Vec<StreamState>>) {
        self.fetching = false;
        if let Some(states) = states {
            self.stale_read |= self.folds.import(&states) && self.reading;
            self.gossip.update_members(now, &self.folds.members);
            self.mark(true);
        }
    }

    fn take_list(&mut self, now: Time, list: Option<Vec<VmListing>>) {
        self.listing = false;
        if let Some(list) = list {
            let changed = self.prober.update_list(now, &list);
            self.mark(changed);
        }
    }

    fn prober_probed(&mut self, now: Time, report: &VmReport) -> bool {
        self.dirty = true;
        self.prober.record_probe(now, report)
    }

    fn probe(&mut self, now: Time, out: &mut Vec<Output>) {
        let live = live_names(&self.config.member.entry, &self.gossip);
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

    fn gossip(&mut self, now: Time, out: &mut Vec<Output>) {
        self.gossip
            .set_heartbeat(self.spare, self.folds.table.next.0);
        let mut packets = Vec::new();
        self.gossip.tick(now, &mut self.rng, &mut packets);
        self.post(packets, out);
    }

    /// Sends what this agent probed since the last time, split over datagrams of bounded size.
    fn report(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.next_report {
            return;
        }
        let probed = std::mem::take(&mut self.probed);
        let mut reports = self.prober.reports(now, now - REPORT_AGE);
        reports.retain(|r| probed.contains(&r.vm));
        self.next_report = now + self.config.gossip.report_interval;
        self.spread(now, out);
        for part in split(reports, self.config.gossip.report_bytes) {
            let bytes = self.config.keys.sign(&GossipMessage::Reports(part));
            for to in self.gossip.report_targets(&mut self.rng) {
                let bytes = bytes.clone();
                out.push(Output::Send { to, bytes });
            }
        }
    }

    fn post(&self, packets: Vec<OutgoingPacket>, out: &mut Vec<Output>) {
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

    fn take_datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Output>) {
        match self.config.keys.verify(bytes) {
            None => self.refused += 1,
            Some(GossipMessage::Packet(packet)) => {
                let mut packets = Vec::new();
                self.gossip
                    .receive(now, &packet, &mut self.rng, &mut packets);
                self.post(packets, out);
                self.dirty = true;
            }
            Some(GossipMessage::Suspicions(suspicions)) => {
                let changed = self.suspicions.merge(now, &suspicions);
                self.mark(changed);
            }
            Some(GossipMessage::Reports(reports)) => {
                let mut changed = false;
                for report in &reports {
                    changed |= self.prober.apply_report(now, report);
                }
                self.mark(changed);
                self.dirty = true;
            }
        }
    }

    fn mark(&mut self, urgent: bool) {
        if urgent {
            self.dirty = true;
            self.next_publish = Time::ZERO;
        }
    }

    fn publish(&mut self, now: Time, out: &mut Vec<Output>) {
        let early = now < self.next_publish || now < self.published + PUBLISH_GAP;
        if !self.dirty || early && self.version > 0 || !self.folds.is_synced() {
            return;
        }
        self.published = now;
        self.dirty = false;
        self.next_publish = now + PUBLISH_EVERY;
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

/// Lists the entry VMs that are held alive, this one first.
fn live_names<'a>(me: &'a EntryId, gossip: &'a Gossip) -> Vec<&'a str> {
    let peers = gossip.live_peers().map(|p| p.entry.as_str());
    std::iter::once(me.as_str()).chain(peers).collect()
}

/// Splits reports into runs whose encodings stay within `payload` bytes, but for single large ones.
fn split(reports: Vec<VmReport>, payload: usize) -> Vec<Vec<VmReport>> {
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

fn settle(out: &mut Vec<Output>, settled: Vec<(Ticket, Settled)>) {
    let awaited = settled.into_iter().filter(|(t, _)| *t != NOBODY);
    out.extend(awaited.map(|(ticket, end)| Output::Settle(ticket, end)));
}
