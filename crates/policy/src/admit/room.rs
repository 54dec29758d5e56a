//! How much room the servers of a service have, as one host believes.
//!
//! Load: a burst on a few servers that many hosts share. Each host knows the servers' last reports
//! and its own requests, but not what the others have sent since. Hosts that hear of a free slot at
//! the same moment would all send a waiting request there, and the servers would reject most of
//! them.

use crate::sample;
use crate::time::Millis;

/// Requests at a plain server, as a multiple of its slots, with which it is still chosen.
const SPREAD_TARGET: f64 = 6.0;
/// Fraction of a server's slots in use from which the choice is spread.
const TIGHT_FRACTION: f64 = 0.8;
/// Least weight in that choice, so that a server that all reports call full is still tried.
const WEIGHT_MIN: f64 = 0.01;
/// Age up to which a report counts fully, in milliseconds. Under the bound on announced bytes, 300
/// hosts hear of a full server every 120 ms on average. A shorter time lets servers look empty that
/// are only reported late.
const FRESH_MS: f64 = 200.0;
/// Age up to which a report of a full server shows whether a slot may be idle, in milliseconds. After
/// that, as many requests may have left as a full server has.
const CONCLUSIVE_MS: u64 = 100;
/// Part of the servers' pace at which all hosts together send requests that are sent although no
/// report shows an idle slot. More of them keep the servers' own queues full, and requests within
/// their accounts' shares are rejected with them.
const PROBE_FRACTION: f64 = 0.05;
/// Longest time for which a host may make up for probes that it has not sent, in milliseconds. With
/// a longer time, hundreds of hosts probe at once when a shortage begins.
const PROBE_SAVED_MS: f64 = 1_000.0;
/// Factor by which a host takes more of the free slots each time they were left free.
const CLAIM_GROWTH: f64 = 2.0;
/// Part of an equal share of all slots that a host may use whatever the reports say. Less leaves
/// slots idle when all reports are late; all of it would not let servers that have fallen behind
/// catch up.
const PACE_FRACTION: f64 = 0.9;
/// Standard deviations by which more requests may have left a server than are expected to, in the
/// time since its report. No requests that arrived there since then are counted.
const DEPARTURE_DEVIATIONS: f64 = 1.0;
/// Time that a report may have taken from the server, in milliseconds.
const TRANSIT_MS: f64 = 2.0;

/// One server as a host knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Server {
    /// Requests that the server works on at once.
    pub slots: u32,
    /// This host's requests at the server.
    pub own: u32,
    /// All requests at the server by its last report; 0 without a report.
    pub reported: u32,
    /// This host's requests among those in the report.
    pub own_then: u32,
    /// Age of the report in milliseconds; `None` without a report.
    pub report_age_ms: Option<u64>,
}

/// What kind of servers a service has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// Plain servers, which let requests wait.
    #[default]
    Plain,
    /// Model engines. A request waits at the host only while all of them are full.
    Engine,
    /// Model engines whose loads the hosts announce to each other.
    AnnouncedEngine,
}

/// How far requests fill servers of a kind, and how fast.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Requests within their accounts' shares that may be at a server, as a multiple of its slots.
    within: f64,
    /// Requests beyond their accounts' shares that may be there, as a multiple of its slots.
    over: f64,
    /// Room, as a fraction of all slots, from which on a request beyond its account's share is sent
    /// the moment it arrives. With less room it queues, so that the hosts share what is left.
    direct: f64,
    /// Time in which all hosts together take the room that they know of, in milliseconds.
    settle_ms: f64,
    /// Part of the slots that requests within their accounts' shares are to use. The rest is lent.
    planned: f64,
    /// Age up to which a report counts fully, as a fraction of the time that a server works on a
    /// request; [`FRESH_MS`] at least.
    fresh: f64,
}

/// Requests within their shares are sent the moment they arrive: all hosts together send fewer of
/// them than the servers answer. Of the others some wait at a server, so that no slot is idle while
/// a host hears of a free one and sends the next request. The distance between both limits keeps
/// room for requests within their shares.
///
/// Until each host knows what the others have taken, some 80 ms pass. A shorter time to take the
/// room lets the load swing when reports are late. What hosts know of the others' demand is a
/// sample, so shares that add up to all slots would at times take more than there are.
const PLAIN: Limits =
    Limits { within: 4.0, over: 1.75, direct: 0.75, settle_ms: 80.0, planned: 0.85, fresh: 0.0 };
/// Without announcements, hosts know too little of engines to keep requests for long.
const ENGINE: Limits = Limits { within: 1.0, over: 1.0, direct: 0.0, ..PLAIN };
/// Requests within their shares wait at the engine, which serves the most urgent of all hosts first.
/// Requests beyond them would hold its slots for seconds, so they get only free ones. For the same
/// reason less is planned than before plain servers: a queue takes seconds to pass. A report counts
/// until about half of the streams that it shows have ended.
const ANNOUNCED_ENGINE: Limits =
    Limits { within: 2.0, over: 1.0, direct: 0.05, settle_ms: 40.0, planned: 0.7, fresh: 0.5 };

impl Kind {
    fn limits(self) -> Limits {
        match self {
            Self::Plain => PLAIN,
            Self::Engine => ENGINE,
            Self::AnnouncedEngine => ANNOUNCED_ENGINE,
        }
    }
}

impl Server {
    /// Requests that are believed to be at the server. Its report counts fully up to the age of
    /// [`FRESH_MS`].
    #[must_use]
    pub fn believed(&self) -> f64 {
        self.believed_by(FRESH_MS)
    }

    /// The same with a report that counts fully up to this age.
    fn believed_by(&self, fresh_ms: f64) -> f64 {
        f64::from(self.own) + f64::from(self.others_then()) * self.report_weight(fresh_ms)
    }

    /// How much the last report counts: 1 up to the age `fresh_ms`, then less, 0 without a report.
    fn report_weight(&self, fresh_ms: f64) -> f64 {
        self.report_age_ms.map_or(0.0, |age| fresh_ms / (age as f64).max(fresh_ms))
    }

    fn others_then(&self) -> u32 {
        self.reported.saturating_sub(self.own_then)
    }

    /// Whether the server is believed to be full or nearly full.
    fn is_tight(&self) -> bool {
        self.believed() >= f64::from(self.slots) * TIGHT_FRACTION
    }

    fn free(&self, target: f64, believed: f64) -> f64 {
        (f64::from(self.slots) * target - believed).max(0.0)
    }

    /// Slots that may be idle, because the requests of other hosts may have left the server since
    /// its report. `work_ms` is the mean time that the server works on a request.
    fn maybe_idle(&self, work_ms: f64) -> u32 {
        let Some(age) = self.report_age_ms else { return self.slots.saturating_sub(self.own) };
        let expected = (age as f64 + TRANSIT_MS) * f64::from(self.slots) / work_ms.max(1.0);
        let departed = expected + DEPARTURE_DEVIATIONS * expected.sqrt();
        self.idle_after(departed.ceil() as u32)
    }

    /// Idle slots if this many requests of other hosts have left the server since its report.
    fn idle_after(&self, departed: u32) -> u32 {
        let others = self.others_then().saturating_sub(departed);
        self.slots.saturating_sub(self.own.saturating_add(others))
    }

    /// Slots that may be idle by a report that is conclusive: a recent one, or one that shows idle
    /// slots. Without any report, all of them may be.
    fn reported_idle(&self, work_ms: f64) -> u32 {
        match self.report_age_ms {
            Some(age) if age > CONCLUSIVE_MS => self.idle_after(0),
            _ => self.maybe_idle(work_ms),
        }
    }
}

/// Assumes the mean load per slot where a report is older than `fresh_ms` or missing.
///
/// Load: hosts hear of the engines of their own failure domain several times a second, and of the
/// others seldom. Engines that nothing is known of would look empty, and no request would wait.
fn assume_mean_load(servers: &mut [Server], fresh_ms: f64) {
    let (mut sum, mut weights) = (0.0, 0.0);
    for server in servers.iter() {
        let weight = server.report_weight(fresh_ms);
        sum += weight * f64::from(server.reported);
        weights += weight * f64::from(server.slots);
    }
    let per_slot = if weights > 0.0 { sum / weights } else { 0.0 };
    for server in servers.iter_mut() {
        let weight = server.report_weight(fresh_ms);
        if weight < 1.0 && weights > 0.0 {
            let assumed = per_slot * f64::from(server.slots) * (1.0 - weight);
            let others = f64::from(server.others_then()) * weight + assumed;
            server.reported = server.own_then.saturating_add(others.round() as u32);
            server.report_age_ms = Some(fresh_ms as u64);
        }
    }
}

/// Chooses a plain server at random, the more likely the more requests it may still have. Each
/// server comes with the part of requests that it is to have beside equally full ones. `None` while
/// no server is nearly full: the caller then chooses by other criteria.
///
/// Hosts that all choose the emptiest server by the same reports fill it before the next report,
/// and it rejects requests while others have room.
#[must_use]
pub fn spread(servers: &[(Server, f64)], draw: f64) -> Option<usize> {
    if !servers.iter().any(|(server, _)| server.is_tight()) {
        return None;
    }
    let weight = |(server, part): &(Server, f64)| {
        server.free(SPREAD_TARGET, server.believed()).max(WEIGHT_MIN) * part
    };
    let total: f64 = servers.iter().map(weight).sum();
    let chosen = sample::weighted(servers.iter().map(weight), draw * total);
    chosen.or_else(|| servers.len().checked_sub(1))
}

/// Room of all servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Room {
    /// Slots of the servers.
    pub slots: u32,
    /// This host's requests at the servers.
    pub own: u32,
    /// Requests that are believed to be at the servers.
    pub believed: f64,
    /// Further requests within their accounts' shares that the servers are believed to take.
    pub within: f64,
    /// Further requests beyond their accounts' shares that the servers are believed to take.
    pub over: f64,
    /// What kind of servers they are.
    pub kind: Kind,
    /// Slots that may be idle by what this host knows.
    pub maybe_idle: u32,
    /// Those of them that a report shows. For the others, the report is only too old to exclude
    /// that they are idle.
    pub reported_idle: u32,
}

impl Room {
    /// Sums up the servers that take work. `work_ms` is the mean time that a server works on a
    /// request.
    #[must_use]
    pub fn of(servers: impl Iterator<Item = Server>, kind: Kind, work_ms: f64) -> Self {
        let limits = kind.limits();
        let fresh_ms = FRESH_MS.max(limits.fresh * work_ms);
        let mut servers: Vec<Server> = servers.collect();
        if kind == Kind::AnnouncedEngine {
            assume_mean_load(&mut servers, fresh_ms);
        }
        let room = Self { kind, ..Self::default() };
        servers.iter().fold(room, |room, server| {
            let believed = server.believed_by(fresh_ms);
            Self {
                slots: room.slots.saturating_add(server.slots),
                own: room.own.saturating_add(server.own),
                believed: room.believed + believed,
                within: room.within + server.free(limits.within, believed),
                over: room.over + server.free(limits.over, believed),
                maybe_idle: room.maybe_idle.saturating_add(server.maybe_idle(work_ms)),
                reported_idle: room.reported_idle.saturating_add(server.reported_idle(work_ms)),
                kind,
            }
        })
    }

    /// Room from which on a request beyond its account's share is sent the moment it arrives; 1 at
    /// least.
    #[must_use]
    pub fn direct(&self) -> f64 {
        (f64::from(self.slots) * self.kind.limits().direct).max(1.0)
    }

    /// Slots that requests within their accounts' shares are to use.
    #[must_use]
    pub fn planned_slots(&self) -> f64 {
        f64::from(self.slots) * self.kind.limits().planned
    }

    /// The room of a service for which no request is to wait.
    #[must_use]
    pub fn unlimited() -> Self {
        let free = f64::from(u16::MAX);
        Self {
            slots: 1,
            within: free,
            over: free,
            maybe_idle: 1,
            reported_idle: 1,
            ..Self::default()
        }
    }

    /// The room once all of the host's `admitted` requests have reached a server.
    #[must_use]
    pub fn after_admitted(self, admitted: u32) -> Self {
        let on_the_way = admitted.saturating_sub(self.own);
        let left = |free: f64| (free - f64::from(on_the_way)).max(0.0);
        Self {
            within: left(self.within),
            over: left(self.over),
            maybe_idle: self.maybe_idle.saturating_sub(on_the_way),
            reported_idle: self.reported_idle.saturating_sub(on_the_way),
            ..self
        }
    }

    /// The room of `count` servers, of which `sampled` have been looked at.
    #[must_use]
    pub fn scaled(self, count: usize, sampled: usize) -> Self {
        if count <= sampled {
            return self;
        }
        let factor = count as f64 / sampled.max(1) as f64;
        let scale = |value: u32| (f64::from(value) * factor) as u32;
        Self {
            slots: scale(self.slots),
            own: scale(self.own),
            believed: self.believed * factor,
            within: self.within * factor,
            over: self.over * factor,
            maybe_idle: scale(self.maybe_idle),
            reported_idle: scale(self.reported_idle),
            kind: self.kind,
        }
    }

    /// How many times the slots the requests are that are believed to be at the servers; at least 1.
    #[must_use]
    pub fn crowding(self) -> f64 {
        (self.believed / f64::from(self.slots.max(1))).max(1.0)
    }
}

/// A host's part of the room, which it shares with the other hosts.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Part of the believed room that this host takes for waiting requests, 0 to 1.
    part: f64,
    /// When the part last changed.
    changed_at: Millis,
    /// When this host last took room for waiting requests.
    taken_at: Millis,
    /// When this host last sent a request.
    started_at: Millis,
    /// When this host last could send a request although no report showed an idle slot.
    probed_at: Millis,
}

impl Default for Claim {
    fn default() -> Self {
        let never = Millis(0);
        Self { part: 0.0, changed_at: never, taken_at: never, started_at: never, probed_at: never }
    }
}

impl Claim {
    /// Whether this host has sent nothing for so long that it may send a request whatever the
    /// reports say. Outdated reports of full servers must not keep it from its share of the slots.
    #[must_use]
    pub fn is_due(&self, room: Room, hosts: u32, work_ms: f64, now: Millis) -> bool {
        let slots = f64::from(room.slots.max(1)) * PACE_FRACTION;
        let has_jumped_back = self.started_at > now;
        has_jumped_back || now.since(self.started_at) as f64 >= work_ms * f64::from(hosts) / slots
    }

    /// How many waiting requests the host may send at this moment, of those for which the servers
    /// have the part `free` of the room; `draw` is uniform in 0 to 1.
    ///
    /// All hosts hear of a free slot at about the same time. Each takes a part at first, and more
    /// of what is still free later, until a host that is the only one takes all of it.
    pub fn take(&mut self, free: f64, room: Room, hosts: u32, draw: f64, now: Millis) -> u32 {
        let settle_ms = room.kind.limits().settle_ms;
        let least = 1.0 / f64::from(hosts.max(1));
        let elapsed = (now.since(self.taken_at) as f64 / settle_ms).min(1.0);
        self.taken_at = now;
        match () {
            // No other host takes anything.
            () if hosts <= 1 => return free as u32,
            () if free < room.direct() => {
                self.part = least;
                self.changed_at = now;
            }
            () if now.since(self.changed_at) as f64 >= settle_ms => {
                self.part = (self.part * CLAIM_GROWTH).clamp(least, 1.0);
                self.changed_at = now;
            }
            () => self.part = self.part.max(least),
        }
        (free * self.part * elapsed + draw).floor().min(free) as u32
    }

    /// Whether the host sends a request although no report shows an idle slot; `draw` is uniform
    /// in 0 to 1. All hosts together send [`PROBE_FRACTION`] of what the servers answer: the answers
    /// are reports, and a slot that no report shows is found this way.
    pub fn may_probe(
        &mut self,
        room: Room,
        hosts: u32,
        work_ms: f64,
        draw: f64,
        now: Millis,
    ) -> bool {
        let slots = f64::from(room.slots.max(1)) * PROBE_FRACTION;
        let elapsed_ms = (now.since(self.probed_at) as f64).min(PROBE_SAVED_MS);
        self.probed_at = now;
        hosts <= 1 || draw * work_ms * f64::from(hosts) < elapsed_ms * slots
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self, now: Millis) {
        self.started_at = now;
    }
}
