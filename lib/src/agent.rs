//! The agent's state machine: folds of the log, liveness, probes, submissions and the view.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use crate::appender::{AppendEnd, Appender, Ticket};
use crate::chart::Charts;
use crate::claims::{self, ClaimRecord, Claims};
use crate::codec;
use crate::engine::EngineState;
use crate::fleet::{Fleet, FleetRecord};
use crate::gossip::{Gossip, GossipConfig};
use crate::ids::{DomainId, EntryId, Nonce, Offset, StreamId, VmId};
use crate::members::{Member, MemberChange, MemberRecord, Members};
use crate::peers::{GossipMessage, Settled, Submit, Suspicion, VmReport};
use crate::platform::{AppendCall, ReadCall, ReadReply, StreamPart, VmListing};
use crate::probe::{ProbeConfig, Prober};
use crate::rendezvous;
use crate::seal::KeyRing;
use crate::suspicion::Rumours;
use crate::table::{ConfigRecord, Table};
use crate::time::Time;
use crate::view::{EntryStatus, View};

/// Name of the stream of table edits.
pub const CONFIG_STREAM: &str = "config";
/// Name of the stream of entry VMs.
pub const MEMBERS_STREAM: &str = "members";

const READ_WAIT_MS: u64 = 1_000;
const READ_LIMIT: u32 = 1_024;
const READ_RETRY: Duration = Duration::from_millis(300);
const LIST_EVERY: Duration = Duration::from_millis(1_000);
const PUBLISH_EVERY: Duration = Duration::from_millis(100);
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
const PROBERS_PER_VM: usize = 2;

/// What an agent is told when it starts.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Its entry VM.
    pub member: Member,
    /// The shards.
    pub domains: Vec<DomainId>,
    /// Partitions of the claims.
    pub partitions: u32,
    /// Probing.
    pub probe: ProbeConfig,
    /// Gossip.
    pub gossip: GossipConfig,
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
    Appended(AppendEnd),
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
    Spare(f64),
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
    Append(AppendCall),
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
    table: Table,
    members: Members,
    fleets: BTreeMap<DomainId, Fleet>,
    claims: Vec<Claims>,
    appender: Appender,
    gossip: Gossip,
    prober: Prober,
    spare: f64,
    rumours: Rumours,
    reading: bool,
    next_read: Time,
    log_up: bool,
    joined: bool,
    listing: bool,
    next_list: Time,
    last_round: Time,
    version: u64,
    dirty: bool,
    next_publish: Time,
}

impl Agent {
    /// Makes an agent that has read nothing yet.
    pub fn new(config: AgentConfig, charts: &Charts) -> Self {
        let me = config.member.entry.clone();
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            table: Table::default(),
            members: Members::default(),
            fleets: config
                .domains
                .iter()
                .map(|d| (d.clone(), Fleet::default()))
                .collect(),
            claims: (0..config.partitions).map(|_| Claims::default()).collect(),
            appender: Appender::default(),
            gossip: Gossip::new(config.gossip, me, config.member.incarnation),
            prober: Prober::new(config.probe, charts.vm.clone()),
            spare: 1.0,
            rumours: Rumours::default(),
            reading: false,
            next_read: Time::ZERO,
            log_up: false,
            joined: false,
            listing: false,
            next_list: Time::ZERO,
            last_round: Time::ZERO,
            version: 0,
            dirty: true,
            next_publish: Time::ZERO,
            config,
        }
    }

    /// Takes one input at the time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Read(reply) => self.take_read(now, reply, out),
            Input::Appended(end) => settle(out, self.appender.ended(end)),
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
                let changed = self.prober_probed(now, &report);
                self.mark(changed);
            }
            Input::Datagram(bytes) => self.take_datagram(now, &bytes),
            Input::Submit {
                ticket,
                submit,
                deadline,
            } => {
                self.submit(now, ticket, submit, deadline, out);
            }
            Input::Spare(spare) => self.spare = spare,
            Input::Suspect(suspicions) => {
                let changed = self.rumours.take(now, &suspicions);
                self.mark(changed);
            }
            Input::Leave => self.leave(now),
        }
        out.extend(self.appender.flush().map(Output::Append));
        self.publish(now, out);
    }

    /// Returns the folded claims of a partition.
    pub fn claims(&self, partition: u32) -> Option<&Claims> {
        self.claims.get(partition as usize)
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
    }

    fn read(&mut self, out: &mut Vec<Output>) {
        self.reading = true;
        let mut wants = vec![
            (StreamId::new(CONFIG_STREAM), self.table.next),
            (StreamId::new(MEMBERS_STREAM), self.members.next),
        ];
        wants.extend(self.fleets.iter().map(|(d, f)| (fleet_stream(d), f.next)));
        wants.extend(
            self.claims
                .iter()
                .enumerate()
                .map(|(p, c)| (claims_stream(p), c.next)),
        );
        out.push(Output::Read(ReadCall {
            wants,
            wait_ms: READ_WAIT_MS,
            limit: READ_LIMIT,
        }));
    }

    fn take_read(&mut self, now: Time, reply: Option<ReadReply>, out: &mut Vec<Output>) {
        self.reading = false;
        let up = reply.is_some();
        self.dirty |= self.log_up != up;
        self.log_up = up;
        let Some(reply) = reply else {
            self.next_read = now + READ_RETRY;
            return;
        };
        for part in &reply.parts {
            self.fold(part, out);
        }
        if !self.joined {
            self.joined = true;
            self.announce(now, MemberChange::Join(self.config.member.clone()));
        }
        self.read(out);
    }

    fn fold(&mut self, part: &StreamPart, out: &mut Vec<Output>) {
        for (offset, bytes) in &part.records {
            let settled = self.fold_record(&part.stream, *offset, bytes);
            self.dirty = true;
            let Some((nonce, settled)) = settled else {
                continue;
            };
            let ticket = self.appender.read_back(nonce);
            out.extend(ticket.map(|t| Output::Settle(t, settled)));
        }
    }

    fn fold_record(
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
                Some((
                    record.nonce,
                    folded.map_or_else(Settled::ConfigRefused, |()| accepted),
                ))
            }
            None => {
                let record: MemberRecord = codec::decode(bytes).ok()?;
                self.members.fold(offset, &record);
                Some((record.nonce, accepted))
            }
            Some(("fleet", shard)) => {
                let record: FleetRecord = codec::decode(bytes).ok()?;
                let folded = self.fleets.get_mut(shard)?.fold(offset, &record);
                Some((
                    record.nonce,
                    folded.map_or_else(Settled::FleetRefused, |()| accepted),
                ))
            }
            Some((_, partition)) => {
                let claims = self.claims.get_mut(partition.parse::<usize>().ok()?)?;
                let record: ClaimRecord = codec::decode(bytes).ok()?;
                let folded = claims.fold(offset, &record);
                let settled = match (folded, claims.get(&record.key)) {
                    (Err(_), Some(held)) => taken(held),
                    (Err(_), None) => Settled::NotAppended,
                    (Ok(()), _) => accepted,
                };
                Some((record.nonce, settled))
            }
        }
    }

    fn submit(
        &mut self,
        now: Time,
        ticket: Ticket,
        submit: Submit,
        deadline: Time,
        out: &mut Vec<Output>,
    ) {
        let nonce = Nonce(self.rng.next_u64());
        let (stream, record) = match submit {
            Submit::Config { author, edits } => {
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
            Submit::Claim {
                key,
                owner,
                claim,
                binding,
                change,
            } => {
                let partition = claims::partition(&key, self.config.partitions) as usize;
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
            Submit::ClaimStatus { key } => {
                out.push(Output::Settle(ticket, self.claim_status(&key)));
                return;
            }
        };
        self.appender
            .submit(ticket, nonce, stream, record, deadline);
    }

    fn claim_status(&self, key: &uuid::Uuid) -> Settled {
        let partition = claims::partition(key, self.config.partitions) as usize;
        let held = self.claims.get(partition).and_then(|c| c.get(key));
        match held {
            Some(held) => taken(held),
            None if self.log_up => Settled::ClaimFree,
            None => Settled::Unknown,
        }
    }

    fn announce(&mut self, now: Time, change: MemberChange) {
        let nonce = Nonce(self.rng.next_u64());
        let record = codec::encode(&MemberRecord { nonce, change });
        let stream = StreamId::new(MEMBERS_STREAM);
        let nobody = Ticket(u64::MAX);
        self.appender
            .submit(nobody, nonce, stream, record, now + JOIN_TIMEOUT);
    }

    fn leave(&mut self, now: Time) {
        let member = &self.config.member;
        let change = MemberChange::Leave(member.entry.clone(), member.incarnation);
        self.announce(now, change);
    }

    fn take_list(&mut self, now: Time, list: Option<Vec<VmListing>>) {
        self.listing = false;
        if let Some(list) = list {
            let changed = self.prober.listed(now, &list);
            self.mark(changed);
        }
    }

    fn prober_probed(&mut self, now: Time, report: &VmReport) -> bool {
        self.dirty = true;
        self.prober.probed(now, report)
    }

    fn probe(&mut self, now: Time, out: &mut Vec<Output>) {
        let live: Vec<&str> = self
            .members
            .iter()
            .map(|m| &m.entry)
            .filter(|e| self.gossip.live(now, e).is_some())
            .map(EntryId::as_str)
            .collect();
        let me = self.config.member.entry.as_str();
        let mine = |vm: &VmId| {
            let key = vm.as_str().as_bytes();
            let owners = rendezvous::owners(key, live.iter().copied(), PROBERS_PER_VM);
            owners.contains(&me)
        };
        out.extend(self.prober.due(now, mine).into_iter().map(Output::Probe));
    }

    fn gossip(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.gossip.round(now, self.spare, self.table.next.0) {
            return;
        }
        let members: Vec<EntryId> = self.members.iter().map(|m| m.entry.clone()).collect();
        let since = self.last_round - self.config.gossip.every;
        self.last_round = now;
        let message = GossipMessage {
            from: self.config.member.entry.clone(),
            beats: self.gossip.beats(&mut self.rng),
            reports: self.prober.reports(now, since),
            suspicions: self.rumours.newest(now),
        };
        let bytes = self.config.keys.seal(&message);
        for target in self.gossip.targets(&members, &mut self.rng) {
            if let Some(member) = self.members.get(&target) {
                out.push(Output::Send {
                    to: member.gossip.clone(),
                    bytes: bytes.clone(),
                });
            }
        }
    }

    fn take_datagram(&mut self, now: Time, bytes: &[u8]) {
        let Some(message) = self.config.keys.open(bytes) else {
            return;
        };
        for beat in message.beats {
            self.gossip.take(now, beat);
        }
        let mut changed = self.rumours.take(now, &message.suspicions);
        for report in &message.reports {
            changed |= self.prober.reported(now, report);
        }
        self.mark(changed);
        self.dirty = true;
    }

    fn mark(&mut self, urgent: bool) {
        if urgent {
            self.dirty = true;
            self.next_publish = Time::ZERO;
        }
    }

    fn publish(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.dirty || now < self.next_publish {
            return;
        }
        self.dirty = false;
        self.next_publish = now + PUBLISH_EVERY;
        self.version += 1;
        out.push(Output::Publish(Arc::new(self.view(now))));
    }

    fn view(&self, now: Time) -> View {
        View {
            version: self.version,
            table: self.table.clone(),
            entries: self
                .members
                .iter()
                .map(|m| self.entry_status(now, m))
                .collect(),
            vms: self.prober.statuses(now),
            fleets: self.fleets.clone(),
            log_up: self.log_up,
            peers_up: self.gossip.peers_up(now),
            suspicions: self.rumours.newest(now),
        }
    }

    fn entry_status(&self, now: Time, member: &Member) -> EntryStatus {
        let beat = self
            .gossip
            .live(now, &member.entry)
            .filter(|b| b.run == member.incarnation);
        EntryStatus {
            member: member.clone(),
            live: beat.is_some(),
            spare: beat.map_or(0.0, |b| b.spare),
            config: beat.map_or(0, |b| b.config),
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

fn taken(held: &claims::Claim) -> Settled {
    Settled::ClaimTaken {
        owner: held.owner.clone(),
        claim: held.claim,
        binding: held.binding.clone(),
        answer: held.answer.clone(),
        closed: held.closed,
    }
}

fn settle(out: &mut Vec<Output>, settled: Vec<(Ticket, Settled)>) {
    out.extend(
        settled
            .into_iter()
            .map(|(ticket, end)| Output::Settle(ticket, end)),
    );
}
