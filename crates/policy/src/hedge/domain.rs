//! What the hosts of a failure domain know together about late requests and hedges.
//!
//! The load: a host has too few requests to learn which responses are late, and too few for a
//! share of them to make one whole hedge. The hosts of the domain together have enough.
//!
//! Each host reports its requests and hedges of the last 60 s, so a lost report is made good by the
//! next one. It reports response times since its last report, so a report that arrives twice must be
//! recognized. A host's part of the hedges that the domain may still send is mostly a fraction of
//! one hedge, and a random draw decides whether it has a whole one. Hosts that all see late responses
//! in the same moment thus keep to the limit before they can hear of each other's hedges.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::{BUCKET_COUNT, LoadClass, bucket};
use crate::domain;
use crate::name::Name;
use crate::time::Millis;

/// Least time between two reports of a service, in milliseconds. A report is sent as soon as a run
/// has ended after that: that its server is fast is of use for less than a second.
const INTERVAL_MS: u64 = 500;
/// Time between two reports if no run has ended, in milliseconds.
const IDLE_INTERVAL_MS: u64 = 2_000;
/// How long a report counts, in milliseconds: two intervals of idle hosts, so that the loss of a few
/// reports does not change the sums.
const REPORT_MS: u64 = 4_000;
/// How long a host's own hedges count against its drawn part, in milliseconds. After that its peers
/// have heard of them: reports are sent each second, and may be lost or late by 2 s.
const SETTLE_MS: u64 = 4_000;
/// Time between two draws of a host that sends no hedge, in milliseconds. It is much longer than
/// messages take, as two draws in that time would be two chances.
const DRAW_MS: u64 = 30_000;
/// Fraction of the allowed hedges that a domain uses. The sums are estimates a second or two old.
const USED_FRACTION: f64 = 0.9;
/// Standard deviations of the hosts' draws that stay within the limit.
const DEVIATIONS: f64 = 2.0;
/// Bytes of reports that a host sends in a second, to all peers together.
const BYTES_PER_SECOND: f64 = 2_000.0;
/// Time whose bytes may be sent at once after a pause, in seconds.
const BURST_S: f64 = 2.0;
/// Most peers that a report goes to.
const RECEIVERS_MAX: f64 = 24.0;
/// Most peers of which reports are kept. A failure domain has fewer hosts.
const PEERS_MAX: usize = 1_024;
/// Most requests of one host in 60 s that are believed, 1,000 in a second.
const REQUESTS_MAX: u32 = 60_000;
/// Most runs in one report.
const RUNS_MAX: usize = 64;
/// Most runs that wait for a report. Further ones are left out.
const WAITING_MAX: usize = 512;
/// Most backend servers in one report.
const FAST_MAX: usize = 8;

domain! {
    /// What a host reports to its peers about one service.
    pub struct Report {
        /// Number that the host drew when it started.
        pub start: u32,
        /// Number of the report among those of this start and service, from 1.
        pub number: u32,
        /// The service.
        pub service: Name,
        /// Requests and hedges of the host in the last 60 s.
        pub counts: Counts,
        /// How many of the requests may be hedged; absent in reports of earlier versions, which
        /// then count as if all of them might.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub eligible: Option<u32>,
        /// Runs since the last report, and how many of them were late.
        pub ended: (u32, u32),
        /// Backend servers that gave a fast response since the last report, and how long ago, in
        /// milliseconds.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub fast: Vec<(Name, u32)>,
        /// Response times of runs since the last report.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub runs: Vec<Runs>,
    }

    /// Requests and hedges of one host for a service in the last 60 s.
    #[derive(Copy, Default, Eq)]
    #[serde(from = "(u32, u32)", into = "(u32, u32)")]
    pub struct Counts {
        /// Requests of its callers.
        pub requests: u32,
        /// Hedges that it sent.
        pub hedges: u32,
    }

    /// Response times of one kind of run.
    #[serde(from = "RunsParts", into = "RunsParts")]
    pub struct Runs {
        /// Route and model.
        pub key: Name,
        /// Load of the servers, as the position of the [`LoadClass`].
        pub class: u8,
        /// Buckets of the digest, and the number of runs in each.
        pub counts: Vec<(u8, u32)>,
    }
}

/// How [`Runs`] are written in a message: without names of members, as a report goes to more peers
/// the shorter it is.
type RunsParts = (Name, u8, Vec<(u8, u32)>);

/// What a report adds to what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It is the host's newest report.
    Newest,
    /// A newer report came first. Only its response times are new.
    Overtaken,
    /// It came before, is so old that this is not known, or comes from before a restart.
    Repeated,
    /// Its counts can't be true.
    Invalid,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
struct Peer {
    at: Millis,
    start: u32,
    /// The previous start, of which reports may still arrive.
    former: Option<u32>,
    newest: u32,
    /// Which of the reports before the newest have come, the one just before it in the lowest bit.
    seen: u64,
    counts: Counts,
    /// How many of the requests may be hedged.
    eligible: u32,
}

/// The requests and hedges of a failure domain for one service, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct Domain {
    peers: HashMap<Name, Peer>,
    /// When this host sent its last hedges, as long as its peers may not have heard of them.
    sent: VecDeque<Millis>,
    drawn: Option<Draw>,
    /// The fraction of requests that may be hedged, and when it was computed.
    eligible_fraction: Option<(f64, Millis)>,
}

/// A host's draw for the fraction of a hedge.
#[derive(Clone, Copy, Debug)]
struct Draw {
    position: f64,
    at: Millis,
    is_used: bool,
}

/// What a failure domain may send, and one host's part of that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    /// Requests of all hosts of the domain in the last 60 s.
    pub requests: f64,
    /// Their hedges in the last 60 s.
    pub hedges: f64,
    /// Peers whose reports were used; 0 if the host knows only its own requests.
    pub heard: usize,
    /// Hedges that this host may send now.
    pub left: f64,
}

/// Runs of a service that a host has not reported yet.
#[derive(Clone, Debug, Default)]
pub struct Unreported {
    number: u32,
    reported_at: Millis,
    has_runs: bool,
    ended: (u32, u32),
    fast: BTreeMap<Name, Millis>,
    runs: VecDeque<(Name, u8, u8)>,
}

/// Limits the bytes of the reports that a host sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    left: f64,
    at: Millis,
}

impl From<(u32, u32)> for Counts {
    fn from((requests, hedges): (u32, u32)) -> Self {
        Self { requests, hedges }
    }
}

impl From<Counts> for (u32, u32) {
    fn from(counts: Counts) -> Self {
        (counts.requests, counts.hedges)
    }
}

impl From<RunsParts> for Runs {
    fn from((key, class, counts): RunsParts) -> Self {
        Self { key, class, counts }
    }
}

impl From<Runs> for RunsParts {
    fn from(runs: Runs) -> Self {
        (runs.key, runs.class, runs.counts)
    }
}

impl Report {
    /// Whether the counts can be true.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let Self { counts, eligible, ended, fast, runs, .. } = self;
        let is_valid = |runs: &Runs| {
            let is_bucket = |(bucket, _): &(u8, u32)| usize::from(*bucket) < BUCKET_COUNT;
            usize::from(runs.class) < LoadClass::ALL.len() && runs.counts.iter().all(is_bucket)
        };
        let mut count = 0u64;
        let all = runs.iter().flat_map(|runs| &runs.counts);
        all.for_each(|(_, runs)| count += u64::from(*runs));
        counts.requests <= REQUESTS_MAX
            && counts.hedges <= counts.requests
            && eligible.is_none_or(|eligible| eligible <= counts.requests)
            && ended.1 <= ended.0
            && ended.0 <= REQUESTS_MAX
            && fast.len() <= FAST_MAX
            && count <= RUNS_MAX as u64
            && runs.len() <= RUNS_MAX
            && runs.iter().all(is_valid)
    }
}

impl Unreported {
    /// Records a run that became late, or that ended before.
    pub fn record_ended(&mut self, is_late: bool) {
        self.has_runs = true;
        self.ended.0 = (self.ended.0 + 1).min(REQUESTS_MAX);
        self.ended.1 = (self.ended.1 + u32::from(is_late)).min(REQUESTS_MAX);
    }

    /// Records the response time of a run of a route and model.
    pub fn record_run(&mut self, key: &Name, class: LoadClass, ms: f64) {
        if self.runs.len() < WAITING_MAX {
            self.runs.push_back((key.clone(), class as u8, bucket(ms) as u8));
        }
    }

    /// Records that a backend server gave this host a fast response. What peers report of it is not
    /// passed on, so that it can't go round.
    pub fn record_fast(&mut self, backend: &Name, now: Millis) {
        self.fast.insert(backend.clone(), now);
    }

    /// Whether a report is due.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        let interval_ms = if self.ended.0 > 0 { INTERVAL_MS } else { IDLE_INTERVAL_MS };
        now.since(self.reported_at) >= interval_ms
    }

    /// Whether a run has ever ended here. A service of streams has none that counts.
    #[must_use]
    pub fn has_runs(&self) -> bool {
        self.has_runs
    }

    /// When the last report was taken.
    #[must_use]
    pub fn reported_at(&self) -> Millis {
        self.reported_at
    }

    /// Takes what has not been reported yet as a report.
    /// `eligible` of the host's requests in the last 60 s may be hedged.
    pub fn take(
        &mut self,
        start: u32,
        service: &Name,
        (counts, eligible): (Counts, u32),
        now: Millis,
    ) -> Report {
        self.number = self.number.wrapping_add(1).max(1);
        let mut kinds: BTreeMap<(Name, u8), BTreeMap<u8, u32>> = BTreeMap::new();
        for (key, class, bucket) in self.runs.drain(..self.runs.len().min(RUNS_MAX)) {
            *kinds.entry((key, class)).or_default().entry(bucket).or_default() += 1;
        }
        let runs = kinds.into_iter().map(|((key, class), counts)| {
            let counts = counts.into_iter().collect();
            Runs { key, class, counts }
        });
        let mut fast: Vec<(Name, u32)> = std::mem::take(&mut self.fast)
            .into_iter()
            .filter(|(_, at)| now.since(*at) < super::FAST_MS)
            .map(|(backend, at)| (backend, u32::try_from(now.since(at)).unwrap_or(u32::MAX)))
            .collect();
        fast.sort_by_key(|(_, age_ms)| *age_ms);
        fast.truncate(FAST_MAX);
        self.reported_at = now;
        let (number, ended) = (self.number, std::mem::take(&mut self.ended));
        Report {
            start,
            number,
            service: service.clone(),
            counts,
            eligible: Some(eligible.min(counts.requests)),
            ended,
            fast,
            runs: runs.collect(),
        }
    }
}

impl Peer {
    fn new(report: &Report, former: Option<u32>, at: Millis) -> Self {
        let Report { start, number, counts, eligible, .. } = *report;
        let eligible = eligible.unwrap_or(counts.requests);
        Self { at, start, former, newest: number, seen: 0, counts, eligible }
    }

    fn accept(&mut self, report: &Report, now: Millis) -> Arrival {
        let Report { start, number, counts, eligible, .. } = *report;
        match () {
            () if self.former == Some(start) => Arrival::Repeated,
            () if self.start != start => {
                *self = Self::new(report, Some(self.start), now);
                Arrival::Newest
            }
            () if number > self.newest => {
                let passed = number - self.newest;
                self.seen = self.seen.checked_shl(passed).unwrap_or_default();
                self.seen |= 1u64.checked_shl(passed - 1).unwrap_or_default();
                (self.newest, self.counts, self.at) = (number, counts, now);
                self.eligible = eligible.unwrap_or(counts.requests);
                Arrival::Newest
            }
            () => {
                let bit = self.newest - number;
                let mask = bit.checked_sub(1).and_then(|bit| 1u64.checked_shl(bit));
                match mask.filter(|mask| self.seen & mask == 0) {
                    Some(mask) => {
                        self.seen |= mask;
                        Arrival::Overtaken
                    }
                    None => Arrival::Repeated,
                }
            }
        }
    }
}

impl Domain {
    /// Records the report of a peer.
    pub fn accept(&mut self, host: &Name, report: &Report, now: Millis) -> Arrival {
        if !report.is_valid() {
            return Arrival::Invalid;
        }
        if let Some(peer) = self.peers.get_mut(host) {
            return peer.accept(report, now);
        }
        if self.peers.len() >= PEERS_MAX {
            self.peers.retain(|_, peer| now.since(peer.at) < REPORT_MS);
        }
        if self.peers.len() >= PEERS_MAX {
            return Arrival::Invalid;
        }
        self.peers.insert(host.clone(), Peer::new(report, None, now));
        Arrival::Newest
    }

    /// Whether a peer had requests a moment ago.
    #[must_use]
    pub fn has_requests(&self, now: Millis) -> bool {
        self.recent(now).any(|peer| peer.counts.requests > 0)
    }

    /// Records that this host sends a hedge.
    pub fn record_hedge(&mut self, now: Millis) {
        self.sent.push_back(now);
        if let Some(drawn) = &mut self.drawn {
            drawn.is_used = true;
        }
    }

    /// What the domain may send, by this host's own counts and the reports of its peers, of which
    /// there are `peers`. `share` is the most hedges per request, `draw` is uniform in 0 to 1.
    pub fn budget(
        &mut self,
        own: Counts,
        peers: usize,
        share: f64,
        draw: f64,
        now: Millis,
    ) -> Budget {
        while self.sent.front().is_some_and(|at| now.since(*at) >= SETTLE_MS) {
            self.sent.pop_front();
        }
        let (mut requests, mut hedges, mut heard) = (0.0, 0.0, 0usize);
        for peer in self.recent(now) {
            requests += f64::from(peer.counts.requests);
            hedges += f64::from(peer.counts.hedges);
            heard += 1;
        }
        let (own_requests, own_hedges) = (f64::from(own.requests), f64::from(own.hedges));
        if heard == 0 {
            let left = own_requests * share * super::OWN_FRACTION - own_hedges;
            return Budget { requests: own_requests, hedges: own_hedges, heard, left };
        }
        let peers = peers.max(heard) as f64;
        let scale = peers / heard as f64;
        let requests = requests.mul_add(scale, own_requests);
        let hedges = hedges.mul_add(scale, own_hedges);
        // Hedges that the peers may not have heard of count against this host's own part.
        let unheard = self.sent.len() as f64;
        let open = requests * share * USED_FRACTION - (hedges - unheard);
        let position = self.position(draw, now);
        let drawn = (part(open, peers + 1.0) + position).floor() - unheard;
        let left = drawn.min(own_requests - own_hedges);
        Budget { requests, hedges, heard, left }
    }

    /// The fraction of the domain's requests that may be hedged, by its peers' reports and this
    /// host's own requests, of which `eligible` may be.
    pub fn eligible_fraction(&mut self, own: Counts, eligible: u32, now: Millis) -> f64 {
        if let Some((fraction, at)) = self.eligible_fraction
            && now.since(at) < INTERVAL_MS
        {
            return fraction;
        }
        let own = (f64::from(eligible), f64::from(own.requests));
        let sums = self.recent(now).fold(own, |(eligible, requests), peer| {
            (eligible + f64::from(peer.eligible), requests + f64::from(peer.counts.requests))
        });
        // The request that asks may be hedged, even if it was not counted yet.
        let fraction = sums.0.max(1.0) / sums.1.max(1.0);
        self.eligible_fraction.insert((fraction.min(1.0), now)).0
    }

    /// The peers that were heard a moment ago.
    fn recent(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.at) < REPORT_MS)
    }

    /// The host's draw, which is renewed when its peers have heard of the hedges sent by it.
    fn position(&mut self, draw: f64, now: Millis) -> f64 {
        let is_valid = |drawn: &Draw| match drawn.is_used {
            true => !self.sent.is_empty(),
            false => now.since(drawn.at) < DRAW_MS,
        };
        let new = Draw { position: draw, at: now, is_used: false };
        self.drawn.filter(is_valid).unwrap_or_else(|| *self.drawn.insert(new)).position
    }
}

/// Hedges for each of `hosts`, if all of them together may send `open` and each draws on its own for
/// the fraction of a hedge. The draws stay within `open` up to [`DEVIATIONS`].
fn part(open: f64, hosts: f64) -> f64 {
    let whole = (open / hosts).floor().max(0.0);
    let rest = open - whole * hosts;
    if rest <= 0.0 {
        return whole;
    }
    // The greatest x of which x * hosts + DEVIATIONS * sqrt(hosts * x * (1 - x)) stays within rest.
    let variance = DEVIATIONS * DEVIATIONS * hosts;
    let (square, linear) = (hosts * hosts + variance, 2.0 * rest * hosts + variance);
    let root = (linear * linear - 4.0 * square * rest * rest).max(0.0).sqrt();
    whole + (linear - root) / (2.0 * square)
}

impl Pace {
    /// Whether a report may be sent.
    pub fn may_send(&mut self, now: Millis) -> bool {
        let elapsed_s = now.since(self.at) as f64 / 1_000.0;
        self.left = (self.left + BYTES_PER_SECOND * elapsed_s).min(BYTES_PER_SECOND * BURST_S);
        self.at = now;
        self.left > 0.0
    }

    /// Takes the bytes of a report. Returns to how many of `peers` it goes. A report that is longer
    /// than the bytes left delays the next one.
    pub fn take(&mut self, bytes: usize, peers: usize) -> usize {
        let bytes = bytes.max(1) as f64;
        let receivers = (self.left / bytes).clamp(1.0, RECEIVERS_MAX) as usize;
        let receivers = receivers.min(peers);
        self.left -= bytes * receivers as f64;
        receivers
    }
}
