//! Which host of a failure domain reads a list of the store for all of them.
//!
//! Every call of the store has a price and all hosts share its rates, so not every host reads what
//! its neighbours have just read. One reads; after each read it tells the others how new its state
//! is, and they take changes from it. Nobody is elected and nothing is agreed on: a host that has
//! not heard for a time that anybody's state is new reads for itself, and tells. Hosts wait in the
//! order of their ranks, so one takes over and the rest hear of it. Two readers at once do no harm;
//! the one with the higher rank gives way.
//!
//! What must not happen is that a host stays behind because another was trusted that has lost the
//! store, stands still, or is gone. It does not, because a host trusts only what it has heard
//! lately, and the time after which it reads for itself is a part of the time in which changes must
//! be in force.

use std::collections::BTreeMap;

use crate::bootstrap::Bootstrap;
use crate::domain;
use crate::name::Name;
use crate::place::{hash, mix};
use crate::pulse;
use crate::strength;
use crate::time::Millis;
use crate::turn;

/// Part of the time in which changes must be in force for which the reader lets the store hold a
/// call back. Each call that comes back proves that the state is new.
const READ_PART: f64 = 0.4;
/// Part of it after which a host that heard nothing reads for itself. The rest is left for that
/// read, and for hosts of lower rank that could not.
const STALE_PART: f64 = 0.62;
/// Pause of the host that reads for the others behind few changes, in milliseconds, and part of the time
/// in which changes must be in force behind many: each time they are passed on through the whole domain.
const GATHER_MS: u64 = 300;
const GATHER_PART: f64 = 0.2;
/// Changes that are many.
const MANY: usize = 16;
/// Between the first two turns, in milliseconds: a read and its telling take a few.
const TURN_MS: u64 = 50;
/// Pause of a host that could not read, for each other host, in milliseconds: together they ask so
/// often.
const LOST_EACH_MS: u64 = 100;
/// Most of that pause, as a part of the time in which changes must be in force: a store that serves
/// only this host must be found by it.
const LOST_PART: f64 = 0.75;
/// Time without new state beyond [`STALE_PART`] after which the store is believed to have been
/// away, in milliseconds; within it some host takes over whose turn it is.
const AWAY_MS: u64 = 1_000;
/// Longest time for which a host that reads for itself alone lets the store hold a call back, in
/// milliseconds. Each call has its price. Shorter than the three heartbeats after which a silent server's
/// entry lapses, so that an outage long enough for that is noticed.
const ALONE_MAX_MS: u64 = 3_500;
/// From the end of that time until a host whose connection has gone silent has read on a new one, in
/// milliseconds: it waits for the answer, pauses and connects.
const NOTICE_MS: u64 = 1_200;
/// Part of the time in which changes must be in force that the host which reads may take for an answer for
/// which the others wait. The rest is left for the steps through the domain, each of which takes a link like
/// its own a third of that: what is passed on is a fourteenth as long, and given to four others.
const WAITED_PART: f64 = 0.3;
/// How long a host waits after its first read to meet others, in milliseconds. They answer within a
/// few.
const MEET_MS: u64 = 150;

/// For how long a host that reads for itself alone lets the store hold a call back, in milliseconds, if it
/// must know what has changed `contact_ms` after its connections work again.
///
/// A connection can go silent while new ones work. Nothing shows that but an answer that is overdue, and no
/// neighbour's news make up for it. Held back for longer, a host would serve by an old table although
/// everyone else reaches the store.
#[must_use]
pub fn alone_ms(contact_ms: u64) -> u64 {
    contact_ms.saturating_sub(NOTICE_MS).min(ALONE_MAX_MS)
}

domain! {
    /// How long things may take, in milliseconds.
    #[derive(Copy)]
    pub struct Bounds {
        /// In which a change must be in force on all hosts.
        pub change_ms: u64,
        /// For which a host that reads for itself alone lets the store hold a call back.
        pub alone_ms: u64,
    }

    /// What a host does now.
    #[derive(Copy, Eq)]
    pub enum Action {
        /// It reads, and lets the store hold the call back while nothing changes.
        Read {
            /// For so long, in milliseconds.
            hold_ms: u64,
        },
        /// It listens to the host that reads.
        Listen {
            /// And reads then, if it hears nothing until then.
            until: Millis,
        },
    }
}

/// Another host.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// When it was last heard of.
    heard: Millis,
    /// When its state was last new; none if it has not said.
    fresh: Option<Millis>,
    /// Its strength.
    class: u8,
}

/// One list's reading in one failure domain, as one host sees it.
#[derive(Clone, Debug)]
pub struct Relay {
    bounds: Bounds,
    /// This host's rank, and its strength.
    own: u64,
    class: u8,
    list: u64,
    peers: BTreeMap<Name, Peer>,
    /// When this host last read.
    read: Millis,
    /// It has read at all.
    begun: bool,
    /// It reads on, for the others or for itself alone.
    reads: bool,
    /// It has just taken over: its first read is not held back.
    first: bool,
    /// It could not read; when it tries again.
    lost: Option<Millis>,
    /// Its last try to read failed.
    failed: bool,
    /// What it heard of could not be had from another host.
    forced: bool,
    /// When it reads first.
    bootstrap: Bootstrap,
}

impl Relay {
    /// Of a list, for a host by its name that starts.
    #[must_use]
    pub fn new(bounds: Bounds, host: &Name, list: &str, bootstrap: Bootstrap) -> Self {
        let list = hash(list.as_bytes());
        Self {
            own: rank_of(host, 0, list),
            class: 0,
            list,
            bounds,
            peers: BTreeMap::new(),
            read: bootstrap.started,
            begun: false,
            reads: false,
            first: true,
            lost: None,
            failed: false,
            forced: false,
            bootstrap,
        }
    }

    /// Of a host of a strength.
    #[must_use]
    pub fn with_class(mut self, host: &Name, class: u8) -> Self {
        self.own = rank_of(host, class, self.list);
        self.class = class;
        self
    }

    /// These other hosts of the domain are listed, each with its strength; some may be gone, and have
    /// rows still.
    pub fn found<'a>(&mut self, listed: impl Iterator<Item = (&'a Name, u8)>, now: Millis) {
        let ranks: Vec<u64> = listed.map(|(name, class)| rank_of(name, class, self.list)).collect();
        let before = ranks.iter().filter(|rank| **rank < self.own).count();
        self.bootstrap.found(ranks.len(), before as u64, now);
    }

    /// Another host is reading all of the list.
    pub fn reading(&mut self, peer: &Name, now: Millis) {
        self.met(peer, now);
        self.bootstrap.wait(now);
    }

    /// Another host is giving all of the list to this one, or will in a moment.
    pub fn taking(&mut self, now: Millis) {
        self.bootstrap.wait(now);
    }

    /// Whether this host, which has nothing yet, may begin with what another one knows: its state
    /// must be as new as that of a host that is listened to.
    #[must_use]
    pub fn may_take(&self, fresh: Millis, now: Millis) -> bool {
        !self.begun && now.since(fresh) < self.part(STALE_PART)
    }

    /// This host has taken the list from another one, whose state was new at that time.
    pub fn took(&mut self, fresh: Millis) {
        self.read = self.read.max(fresh);
        self.begun = true;
        self.first = false;
        self.lost = None;
    }

    /// In which a change must be in force on all hosts, in milliseconds.
    #[must_use]
    pub fn change_ms(&self) -> u64 {
        self.bounds.change_ms
    }

    /// Sets how long things may take.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Another host of the domain is there.
    pub fn met(&mut self, peer: &Name, now: Millis) {
        self.peers.entry(peer.clone()).or_default().heard = now;
    }

    /// Another host of the domain is there, and says how strong it is.
    pub fn met_class(&mut self, peer: &Name, class: u8, now: Millis) {
        let held = self.peers.entry(peer.clone()).or_default();
        (held.heard, held.class) = (now, class);
    }

    /// Another host has read; its state was new at that time.
    pub fn heard(&mut self, peer: &Name, fresh: Millis, now: Millis) {
        let held = self.peers.entry(peer.clone()).or_default();
        held.heard = now;
        held.fresh = held.fresh.max(Some(fresh));
        // News of a weaker host don't show that this one reaches the store, which it would read for the others.
        let is_as_strong = held.class >= self.class;
        if is_as_strong && fresh > self.read && now.since(fresh) < self.part(STALE_PART) {
            self.lost = None;
        }
    }

    /// This host has read.
    pub fn read(&mut self, now: Millis) {
        self.reads |= !self.begun && self.bootstrap.tells(now);
        self.read = now;
        self.begun = true;
        self.first = false;
        self.lost = None;
        self.failed = false;
        self.forced = false;
    }

    /// This host could not read; `draw` is a uniform draw from 0 to 1.
    pub fn failed(&mut self, pause_ms: u64, draw: f64, now: Millis) {
        let others = self.others(now) as u64;
        let most_ms = self.part(LOST_PART).max(pause_ms);
        let spread_ms = (others * LOST_EACH_MS).clamp(pause_ms, most_ms);
        let ms = spread_ms as f64 * (0.5 + draw / 2.0);
        self.lost = Some(now + ms as u64);
        self.failed = true;
        self.first = true;
        self.reads = false;
    }

    /// Whether others wait for an answer of so many bytes that this host reads over a link of so many
    /// megabits a second. A wide link has it long before their own narrow ones would.
    #[must_use]
    pub fn is_waited_for(&self, bytes: u64, link_mbps: f64) -> bool {
        let transfer_ms = bytes as f64 * 8.0 / (link_mbps * 1_000.0);
        transfer_ms <= self.part(WAITED_PART) as f64
    }

    /// Another host is being sent a change that is too long to be passed on. This one begins to read
    /// it now: after the other's last byte its own would come late by as much time again.
    pub fn incoming(&mut self, peer: &Name, now: Millis) {
        self.met(peer, now);
        self.force();
    }

    /// What another host announced could not be had from it.
    pub fn force(&mut self) {
        self.forced = true;
    }

    /// Whether this host reads for itself: among so few hosts the calls of one that reads for all,
    /// and so more often, would be as many as those of each for itself.
    #[must_use]
    pub fn is_alone(&self, now: Millis) -> bool {
        let hosts = self.others(now) as u64 + 1;
        hosts * self.part(READ_PART) <= self.bounds.alone_ms
    }

    /// Time without new state, in milliseconds, after which the store is believed to have been
    /// away for all hosts of the domain: had it answered one of them, that one would have said so.
    #[must_use]
    pub fn away_ms(&self) -> u64 {
        self.part(STALE_PART) + AWAY_MS
    }

    /// Whether this host has never read, and could not when it tried. It then takes over what
    /// others know: it would otherwise refuse all requests until the store is back.
    #[must_use]
    pub fn is_wanting(&self) -> bool {
        !self.begun && self.failed
    }

    /// Whether this host reads on, for the others or for itself alone.
    #[must_use]
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Whether this host tells others what it reads.
    #[must_use]
    pub fn tells(&self, now: Millis) -> bool {
        self.reads_for_others(now) || (self.reads && self.bootstrap.tells(now))
    }

    /// Whether this host reads for others now.
    #[must_use]
    pub fn reads_for_others(&self, now: Millis) -> bool {
        self.reads && !self.is_alone(now)
    }

    /// Whether this host reads for others, and none that goes before it does: its call may outlast the change
    /// of readers. What holds of its own link then says nothing of how soon the others have what it reads.
    #[must_use]
    pub fn reads_first(&self, now: Millis) -> bool {
        self.reads_for_others(now) && !self.is_relieved(now)
    }

    /// How long the host that reads for the others lets changes gather before it asks for more, having
    /// just read so many, in milliseconds.
    #[must_use]
    pub fn gather_ms(&self, changes: usize) -> u64 {
        if changes < MANY { GATHER_MS } else { GATHER_MS.max(self.part(GATHER_PART)) }
    }

    /// What to do now.
    pub fn action(&mut self, now: Millis) -> Action {
        if let Some(lost) = self.lost.filter(|lost| now < *lost) {
            return Action::Listen { until: lost };
        }
        if self.bootstrap.has_met(now) {
            self.bootstrap.met(self.others(now), self.rank(now), now);
        }
        let turn = self.bootstrap.turn();
        match self.begun {
            _ if self.forced => Action::Read { hold_ms: 0 },
            false if now < turn => Action::Listen { until: turn },
            false => Action::Read { hold_ms: 0 },
            true if self.is_alone(now) => self.action_alone(now),
            true => self.action_among_others(now),
        }
    }

    /// After its start a host has others to meet; until then it reads no more than those do.
    fn action_alone(&mut self, now: Millis) -> Action {
        let due = self.read + MEET_MS;
        if !self.reads && now < due {
            return Action::Listen { until: due };
        }
        self.reads = true;
        Action::Read { hold_ms: if self.first { 0 } else { self.bounds.alone_ms } }
    }

    fn action_among_others(&mut self, now: Millis) -> Action {
        let stale_ms = self.part(STALE_PART);
        if self.reads && self.is_relieved(now) {
            self.reads = false;
        }
        // A weaker host that reads does so for want of this one: over its link a long change comes late to all.
        let as_strong = self.peers.values().filter(|peer| peer.class >= self.class);
        let newest = as_strong.filter_map(|peer| peer.fresh).max().unwrap_or_default();
        let due = newest.max(self.read) + stale_ms + turn::delay_ms(self.rank(now), TURN_MS);
        match () {
            () if self.reads => {
                let hold_ms = if self.first { 0 } else { self.part(READ_PART) };
                Action::Read { hold_ms }
            }
            () if now >= due => {
                self.reads = true;
                self.first = true;
                Action::Read { hold_ms: 0 }
            }
            () => Action::Listen { until: due },
        }
    }

    fn part(&self, part: f64) -> u64 {
        (self.bounds.change_ms as f64 * part) as u64
    }

    /// Names of other hosts that were heard of lately.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Name> {
        self.living(now).map(|(name, _)| name)
    }

    fn living(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let gone_ms = pulse::gone_ms(self.peers.len());
        self.peers.iter().filter(move |(_, peer)| now.since(peer.heard) < gone_ms)
    }

    /// Whether a host that goes before this one has read lately.
    fn is_relieved(&self, now: Millis) -> bool {
        let stale_ms = self.part(STALE_PART);
        let is_new = |peer: &Peer| peer.fresh.is_some_and(|fresh| now.since(fresh) < stale_ms);
        self.peers.iter().any(|(name, peer)| self.is_before(name, peer) && is_new(peer))
    }

    fn is_before(&self, name: &Name, peer: &Peer) -> bool {
        rank_of(name, peer.class, self.list) < self.own
    }

    /// Other hosts that were heard of lately.
    #[must_use]
    pub fn others(&self, now: Millis) -> usize {
        self.alive(now).count()
    }

    /// Hosts whose turn comes before this one's.
    fn rank(&self, now: Millis) -> u64 {
        self.living(now).filter(|(name, peer)| self.is_before(name, peer)).count() as u64
    }
}

/// Equally strong hosts have other ranks for each list, so that one host need not read them all.
fn rank_of(host: &Name, class: u8, list: u64) -> u64 {
    strength::rank(class, mix(hash(host.as_bytes()) ^ list))
}
