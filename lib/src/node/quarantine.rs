//! Refuses requests that have crashed several endpoints, and requests that share a part of their
//! prompt with several different ones that did.
//!
//! All requests that an endpoint runs break off when it crashes, so most of them are innocent. A
//! part of a prompt is cleared by each request that has it and is answered. Among the others, the
//! part that accounts for most crashes is quarantined, and its crashes no longer count against what
//! ran beside it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::time::Time;

/// Number of endpoints that a suspect may crash before it is refused; the service rules allow
/// three.
const MAX_CRASHES: usize = 3;
/// Time for which crashes are remembered, and for which a request stays refused after its last
/// crash; longer than a crashed endpoint takes to restart.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a part stays refused after the last request with it. Finding it again costs
/// several endpoints.
const PART_RETENTION: Duration = Duration::from_secs(600);
/// Crashes of a part within this time count once: they may have a common cause, such as the loss of
/// a failure domain.
const COINCIDENCE: Duration = Duration::from_millis(100);
/// Time between the third crash of a part and its quarantine, in which other entry VMs can clear
/// it.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Interval at which crashes and parts that are too old are removed.
const CLEANING_INTERVAL: Duration = Duration::from_secs(1);
/// Number of crashes after which a part is quarantined at once.
const CERTAIN_CRASHES: usize = 5;
/// Time after an answer to a request with a part in which crashes are not put down to the part.
const SOUND_TIME: Duration = Duration::from_secs(2);
/// Upper bound on the suspects that are remembered, and on the parts that were answered.
const MAX_TRACKED: usize = 4_096;
/// Upper bound on the reports in one datagram.
const MAX_REPORTS: usize = 200;

/// A possible cause of crashes: a request, or a part that the prompts of requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Suspect(u64);

impl Suspect {
    /// Returns the suspect for a request. A request that is sent again has the same path, client
    /// account and body, and so is the same suspect.
    pub fn request(path: &str, account: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [path.as_bytes(), account.as_bytes(), body] {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.digest() & !1)
    }

    /// Returns the suspect for the part of a prompt with the given identifier.
    pub fn part(id: u64) -> Self {
        Self(xxh3_64(&id.to_be_bytes()) | 1)
    }

    fn is_part(self) -> bool {
        self.0 & 1 == 1
    }
}

impl std::fmt::Display for Suspect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = if self.is_part() { "part" } else { "request" };
        write!(f, "{kind}-{:x}", self.0)
    }
}

/// The suspects of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspects {
    /// The request itself.
    pub request: Suspect,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<Suspect>,
}

/// An event that an entry VM reports to the others about a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub enum Event {
    /// A request was answered, which shows that the suspect does not crash endpoints.
    Answered,
    /// The suspect is refused, and the last request or crash was this many seconds ago.
    Quarantined(u64),
    /// An endpoint crashed; the hash identifies this run of the endpoint.
    Crashed(EndpointRun),
}

/// A hash that identifies one run of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointRun(u64);

/// Set in each [`EndpointRun`], so that its encoding differs from those of other events.
const RUN_BIT: u64 = 1 << 63;

impl EndpointRun {
    /// Returns the run of an endpoint that started at the given Unix time in milliseconds.
    pub fn new(id: &str, started_ms: u64) -> Self {
        Self(crate::rendezvous::score(id.as_bytes(), &started_ms.to_le_bytes()) | RUN_BIT)
    }
}

impl From<u64> for Event {
    fn from(encoded: u64) -> Self {
        match encoded {
            0 => Self::Answered,
            run if run & RUN_BIT != 0 => Self::Crashed(EndpointRun(run)),
            seconds => Self::Quarantined(seconds - 1),
        }
    }
}

impl From<Event> for u64 {
    fn from(event: Event) -> Self {
        match event {
            Event::Answered => 0,
            Event::Quarantined(seconds) => seconds + 1,
            Event::Crashed(run) => run.0,
        }
    }
}

/// A message about a suspect.
pub type Report = (Suspect, Event);

/// Crashes that may be put down to a suspect.
#[derive(Debug, Default)]
struct Evidence {
    crashes: BTreeMap<EndpointRun, Time>,
    /// Largest position in a prompt at which this VM has seen the part, from one on; zero if it has
    /// not seen it.
    depth: usize,
}

impl Evidence {
    fn last_crash(&self) -> Time {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    /// Returns the times of the crashes, of which those that coincide count once.
    fn separate_crashes(&self) -> Vec<Time> {
        let mut times: Vec<Time> = self.crashes.values().copied().collect();
        times.sort();
        times.dedup_by(|later, earlier| later.since(*earlier) < COINCIDENCE);
        times
    }
}

/// Requests and parts of prompts that were running at endpoints when these crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: BTreeMap<Suspect, Evidence>,
    /// Parts that are refused, and when a request with them last came or crashed an endpoint.
    refused: BTreeMap<Suspect, Time>,
    /// Crashes that are put down to refused parts.
    explained: BTreeMap<EndpointRun, Time>,
    /// Parts of requests that were answered, and when.
    sound: BTreeMap<Suspect, Time>,
    /// Whether a part has enough crashes to be examined.
    examination_due: bool,
    own_reports: Vec<(Time, Report)>,
    /// Crashes that this VM saw itself.
    own_crashes: Vec<(Time, Suspect, EndpointRun)>,
    /// Parts that this VM has concluded to refuse itself, and when.
    concluded: BTreeMap<Suspect, Time>,
    /// Until when this VM's own crashes are confirmed, if they have to be: a VM that loses its path to
    /// the endpoints sees connections break as well.
    confirmed_until: Option<Time>,
    /// Parts that were quarantined since [`Quarantine::newly_refused`] was last called.
    newly_refused: Vec<Suspect>,
    /// When what is too old was last removed.
    cleaned_at: Option<Time>,
}

impl Quarantine {
    /// Records that an endpoint crashed while it ran a request, and returns the number of endpoints
    /// that crashed with this request. `had_begun` says whether it had begun to answer, which clears
    /// the parts of the prompt.
    pub fn record_crash(
        &mut self,
        now: Time,
        suspects: &Suspects,
        run: EndpointRun,
        had_begun: bool,
    ) -> usize {
        self.forget_old(now);
        self.add_own_crash(now, suspects.request, run, 0);
        if !had_begun {
            for (i, part) in suspects.parts.iter().enumerate() {
                self.add_own_crash(now, *part, run, i + 1);
            }
        }
        let evidence = self.evidence.get(&suspects.request);
        evidence.map_or(0, |e| e.crashes.len())
    }

    fn add_own_crash(&mut self, now: Time, suspect: Suspect, run: EndpointRun, depth: usize) {
        if self.add_crash(now, suspect, run) {
            self.own_reports.push((now, (suspect, Event::Crashed(run))));
            self.own_crashes.push((now, suspect, run));
        }
        if let Some(evidence) = self.evidence.get_mut(&suspect) {
            evidence.depth = evidence.depth.max(depth);
        }
    }

    /// Records that an endpoint has begun to answer a request, which clears the parts of its
    /// prompt.
    pub fn record_begun(&mut self, now: Time, suspects: &Suspects) {
        for part in &suspects.parts {
            self.clear(now, *part, true);
        }
    }

    /// Records that a request was answered, which clears its crashes here and at the other entry
    /// VMs.
    pub fn record_success(&mut self, now: Time, suspects: &Suspects) {
        self.clear(now, suspects.request, true);
        self.record_begun(now, suspects);
    }

    /// Records what another entry VM reports.
    pub fn record_report(&mut self, now: Time, (suspect, event): Report) {
        self.forget_old(now);
        match event {
            Event::Answered => {
                self.clear(now, suspect, false);
                // The other VM tells all; that this VM saw a crash is of no use any more.
                self.own_reports.retain(|(_, (s, _))| *s != suspect);
            }
            // An answer that this VM knows of says more than the conclusion of another.
            Event::Quarantined(_) if !suspect.is_part() || self.sound.contains_key(&suspect) => {}
            Event::Quarantined(seconds) => {
                let last = now - Duration::from_secs(seconds);
                if !self.refused.contains_key(&suspect) {
                    self.quarantine(now, suspect);
                    self.concluded.remove(&suspect);
                    self.refused.insert(suspect, last);
                }
            }
            Event::Crashed(_) if self.is_sound(now, suspect) => self.report_answered(now, suspect),
            Event::Crashed(run) => {
                self.add_crash(now, suspect, run);
            }
        }
    }

    /// Returns the suspect for which a request is to be refused, if there is one.
    pub fn check(&mut self, now: Time, suspects: &Suspects) -> Option<Suspect> {
        for (i, part) in suspects.parts.iter().enumerate() {
            if let Some(evidence) = self.evidence.get_mut(part) {
                evidence.depth = evidence.depth.max(i + 1);
            }
        }
        self.examine(now);
        let mut parts = suspects.parts.iter();
        if let Some(part) = parts.find(|p| self.refused.contains_key(p)) {
            self.refused.insert(*part, now);
            return Some(*part);
        }
        let evidence = self.evidence.get(&suspects.request)?;
        let is_refused = evidence.crashes.len() >= MAX_CRASHES
            && now.since(evidence.last_crash()) < CRASH_RETENTION;
        is_refused.then_some(suspects.request)
    }

    /// Confirms that the crashes that this VM saw up to `until` were crashes, so that they are
    /// reported; later ones are held back. Returns whether any report became due.
    pub fn confirm_crashes(&mut self, until: Time) -> bool {
        let before = self.confirmed_until.replace(until).unwrap_or_default();
        let mut own = self.own_reports.iter();
        own.any(|(at, (_, event))| {
            matches!(event, Event::Crashed(_)) && *at > before && *at <= until
        })
    }

    /// Forgets the crashes that this VM saw from `since` on, and what it concluded since: it had lost
    /// its path to the endpoints. Returns the number of crashes.
    pub fn retract_crashes(&mut self, since: Time) -> usize {
        let (retracted, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.own_crashes)
            .into_iter()
            .partition(|(at, ..)| *at >= since);
        self.own_crashes = kept;
        for (_, suspect, run) in &retracted {
            if let Some(evidence) = self.evidence.get_mut(suspect) {
                evidence.crashes.remove(run);
            }
        }
        self.evidence.retain(|_, e| !e.crashes.is_empty());
        self.own_reports
            .retain(|(at, (_, event))| *at < since || !matches!(event, Event::Crashed(_)));
        self.explained.retain(|_, at| *at < since);
        let concluded = std::mem::take(&mut self.concluded);
        let (doubted, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            concluded.into_iter().partition(|(_, at)| *at >= since);
        self.concluded = kept;
        self.refused.retain(|part, _| !doubted.contains_key(part));
        retracted.len()
    }

    /// Returns the reports to send: this VM's own ones that are younger than `age`, which are
    /// repeated since datagrams may be lost, and all parts that are refused, for VMs that start.
    pub fn reports(&mut self, now: Time, age: Duration) -> Vec<Report> {
        self.forget_old(now);
        self.own_reports
            .retain(|(recorded, _)| now.since(*recorded) < age);
        let confirmed_until = self.confirmed_until;
        let is_doubted = |at: Time| confirmed_until.is_some_and(|until| at > until);
        let concluded = &self.concluded;
        let is_told = |part: &Suspect| !concluded.get(part).is_some_and(|at| is_doubted(*at));
        let refused = self
            .refused
            .iter()
            .filter(|(part, _)| is_told(part))
            .map(|(part, last)| (*part, Event::Quarantined(now.since(*last).as_secs())));
        let is_held =
            |at: Time, event: &Event| matches!(event, Event::Crashed(_)) && is_doubted(at);
        let newest = self.own_reports.iter().rev();
        let newest = newest.filter(|(at, (_, event))| !is_held(*at, event));
        let newest = newest.map(|(_, report)| *report);
        refused.chain(newest).take(MAX_REPORTS).collect()
    }

    /// Returns the parts that were quarantined since the last call, for the log.
    pub fn newly_refused(&mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.newly_refused)
    }

    /// Removes what is too old, unless that was done within [`CLEANING_INTERVAL`]: it goes through
    /// all that is remembered, and reports come by the thousand a second.
    fn forget_old(&mut self, now: Time) {
        if self
            .cleaned_at
            .is_some_and(|at| now.since(at) < CLEANING_INTERVAL)
        {
            return;
        }
        self.cleaned_at = Some(now);
        self.evidence
            .retain(|_, e| now.since(e.last_crash()) < CRASH_RETENTION);
        self.explained
            .retain(|_, at| now.since(*at) < CRASH_RETENTION);
        self.refused
            .retain(|_, last| now.since(*last) < PART_RETENTION);
        self.own_crashes
            .retain(|(at, ..)| now.since(*at) < CRASH_RETENTION);
        let refused = &self.refused;
        self.concluded.retain(|part, _| refused.contains_key(part));
    }

    fn is_sound(&self, now: Time, suspect: Suspect) -> bool {
        let answered = self.sound.get(&suspect);
        answered.is_some_and(|at| now.since(*at) < SOUND_TIME)
    }

    /// Adds a crash to what is known of a suspect; returns whether it is new.
    fn add_crash(&mut self, now: Time, suspect: Suspect, run: EndpointRun) -> bool {
        if let Some(last) = self.refused.get_mut(&suspect) {
            *last = now;
            return self.explain(now, run);
        }
        if self.explained.contains_key(&run) || self.is_sound(now, suspect) {
            return false;
        }
        if self.evidence.len() >= MAX_TRACKED && !self.evidence.contains_key(&suspect) {
            return false;
        }
        let evidence = self.evidence.entry(suspect).or_default();
        let is_new = !evidence.crashes.contains_key(&run);
        evidence.crashes.entry(run).or_insert(now);
        self.examination_due |= suspect.is_part() && evidence.crashes.len() >= MAX_CRASHES;
        is_new
    }

    /// Puts a crash down to a refused part, so that it does not count against other suspects;
    /// returns whether that is new.
    fn explain(&mut self, now: Time, run: EndpointRun) -> bool {
        // No evidence is added for a crash that is explained, so that there is none to remove.
        if let Some(at) = self.explained.get_mut(&run) {
            *at = now;
            return false;
        }
        self.evidence.retain(|_, evidence| {
            evidence.crashes.remove(&run);
            !evidence.crashes.is_empty()
        });
        self.explained.insert(run, now);
        true
    }

    /// Forgets the crashes of a suspect, since a request with it was answered. With `is_own`, this is
    /// reported if the suspect had crashes.
    fn clear(&mut self, now: Time, suspect: Suspect, is_own: bool) {
        let had_crashes = self.evidence.remove(&suspect).is_some();
        let was_refused = self.refused.remove(&suspect).is_some();
        if is_own && (had_crashes || was_refused) {
            self.report_answered(now, suspect);
        }
        if suspect.is_part() {
            if self.sound.len() >= MAX_TRACKED {
                self.sound.retain(|_, at| now.since(*at) < SOUND_TIME);
            }
            self.sound.insert(suspect, now);
        }
    }

    /// Tells the other entry VMs that a suspect does not crash endpoints, unless that was done just
    /// now.
    fn report_answered(&mut self, now: Time, suspect: Suspect) {
        let report = (suspect, Event::Answered);
        if self.own_reports.iter().all(|(_, r)| *r != report) {
            self.own_reports.retain(|(_, (s, _))| *s != suspect);
            self.own_reports.push((now, report));
        }
    }

    /// Quarantines the parts to which crashes are to be put down, the most frequent first.
    fn examine(&mut self, now: Time) {
        if !self.examination_due {
            return;
        }
        self.examination_due = false;
        while let Some(part) = self.most_suspected(now) {
            self.quarantine(now, part);
        }
    }

    /// Returns the part with the most crashes, if it has crashed enough endpoints and the others had
    /// time to clear it. Of parts with as many crashes, one that no answered request had comes
    /// first, and then one that stands late in the prompt, since earlier ones are shared by more
    /// requests.
    fn most_suspected(&mut self, now: Time) -> Option<Suspect> {
        let mut best = None;
        for (suspect, evidence) in &self.evidence {
            // Other VMs decide on parts of prompts that this VM has not seen.
            if !suspect.is_part() || evidence.depth == 0 {
                continue;
            }
            let crashes = evidence.separate_crashes();
            let Some(third) = crashes.get(MAX_CRASHES - 1) else {
                continue;
            };
            if self.has_single_cause(evidence) {
                continue;
            }
            let is_settled = crashes.len() >= CERTAIN_CRASHES || now.since(*third) >= SETTLE_TIME;
            let is_unanswered = !self.sound.contains_key(suspect);
            let rank = (crashes.len(), is_unanswered, evidence.depth);
            best = best.max(Some((rank, *suspect, is_settled)));
        }
        let (_, suspect, is_settled) = best?;
        self.examination_due |= !is_settled;
        is_settled.then_some(suspect)
    }

    /// Returns whether one request was running at all of the crashes, which is refused by itself.
    fn has_single_cause(&self, evidence: &Evidence) -> bool {
        let requests = self.evidence.iter().filter(|(s, _)| !s.is_part());
        let runs: BTreeSet<&EndpointRun> = evidence.crashes.keys().collect();
        let mut covering = requests.filter(|(_, e)| runs.iter().all(|r| e.crashes.contains_key(r)));
        covering.next().is_some()
    }

    fn quarantine(&mut self, now: Time, part: Suspect) {
        let evidence = self.evidence.remove(&part).unwrap_or_default();
        for run in evidence.crashes.keys() {
            self.explain(now, *run);
        }
        self.refused.insert(part, now);
        self.concluded.insert(part, now);
        self.newly_refused.push(part);
    }
}
