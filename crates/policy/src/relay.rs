//! Decides which host of a failure domain reads a list of the store on behalf of all of them.
//!
//! Every store call has a price and all hosts share the store's rate limits, so a host should not
//! read what another one has just read. One host, the reader, reads; after each read it announces
//! how new its state is, and the others take the changes from it. There is no election and no
//! agreement: a host that has heard of no fresh state for some time reads for itself and announces
//! that. Hosts wait in the order of their ranks, so that one of them takes over and the others hear
//! of it. Two readers at once do no harm; the one that ranks later stops.
//!
//! No host may fall behind because it trusted a reader that has lost the store, is paused, or is
//! gone. This holds because a host trusts only what it heard recently: the time after which it
//! reads for itself is a fraction of the time in which changes must be in force.

use std::collections::BTreeMap;

use crate::bootstrap::Bootstrap;
use crate::domain;
use crate::heartbeat;
use crate::name::Name;
use crate::place::{hash, mix};
use crate::strength;
use crate::time::Millis;
use crate::turn;

/// Fraction of [`Bounds::change_ms`] for which the reader lets the store hold a call. Each call
/// that returns proves that the reader's state is new.
const READ_HOLD_FRACTION: f64 = 0.4;
/// Fraction of [`Bounds::change_ms`] after which a host that heard of no fresh state reads for
/// itself. The rest is left for that read, and for hosts of later rank if it fails.
const STALE_FRACTION: f64 = 0.62;
/// Pause of the reader after an answer with few changes, in milliseconds.
const GATHER_MS: u64 = 300;
/// Pause of the reader after an answer with many changes, as a fraction of [`Bounds::change_ms`]:
/// each batch is passed on through the whole domain.
const GATHER_MANY_FRACTION: f64 = 0.2;
/// Number of changes from which an answer has many.
const MANY_CHANGES_MIN: usize = 16;
/// Time between the turns of the first two hosts, in milliseconds; a read and its announcement take
/// a few milliseconds.
const TURN_GAP_MS: u64 = 50;
/// How much later than asked a call of the store may be answered before it counts as lost, in
/// milliseconds. The store answers in a few milliseconds, and in some hundred when it is slow.
const OVERDUE_MS: u64 = 450;
/// The same after a lost call, in milliseconds: the store may be slow.
const OVERDUE_RETRY_MS: u64 = 700;
/// Longest time to open a connection to the store, in milliseconds.
pub const CONNECT_MS: u64 = 400;
/// Retry pause after the first failed read, in milliseconds; it doubles with each further one.
pub const RETRY_MIN_MS: u64 = 100;
/// Time to read the store once it answers, and to tell requests, in milliseconds.
const READ_MS: u64 = 100;
/// Retry pause after a failed read for each other host of the domain, in milliseconds, so that all
/// of them together call an unreachable store about once in this time.
const RETRY_PER_HOST_MS: u64 = 100;
/// Upper limit of the retry pause as a fraction of [`Bounds::change_ms`]: a store that answers only
/// this host must be found by it in time.
const RETRY_MAX_FRACTION: f64 = 0.75;
/// How much longer calls must go unanswered than after a single loss before the store counts as
/// having been away, in milliseconds.
const OUTAGE_MARGIN_MS: u64 = 100;
/// Longest time for which a host that reads alone lets the store hold a call, in milliseconds. A
/// longer hold means fewer calls, each of which has a price.
const ALONE_HOLD_MAX_MS: u64 = 3_500;
/// Time from the end of a hold until a host whose connection went silent has read on a new one, in
/// milliseconds: it waits for the answer, pauses and connects.
const RECONNECT_MS: u64 = 1_200;
/// Fraction of [`Bounds::change_ms`] that the reader may spend on receiving an answer that it
/// passes on. The rest is left for the steps through the domain. On a link like the reader's each
/// step takes about a third of the reading time, because the packed change is a fourteenth as long
/// and is sent to four hosts.
const RELAYED_READ_FRACTION: f64 = 0.3;
/// How long a host waits for other hosts to answer after its first read, in milliseconds. They
/// answer within a few milliseconds.
const DISCOVERY_MS: u64 = 150;

/// For how long a host that reads alone lets the store hold a call, in milliseconds, if it must
/// know of changes `contact_ms` after its connections work again.
///
/// A connection can go silent while new ones work. Only an overdue answer shows that, and what
/// peers announce does not make up for it. With a longer hold, a host would go on using an old
/// routing table although every other host reaches the store.
#[must_use]
pub fn alone_ms(contact_ms: u64) -> u64 {
    contact_ms.saturating_sub(RECONNECT_MS).min(ALONE_HOLD_MAX_MS)
}

/// Least time in which changes can be in force, in milliseconds, see [`Bounds::notice_ms`].
pub const CHANGE_MS_MIN: u64 = 1_900;

impl Bounds {
    /// For how long the store may hold a call, in milliseconds.
    fn hold_ms(&self) -> u64 {
        self.fraction_ms(READ_HOLD_FRACTION)
    }

    /// Time without fresh state after which a host reads for itself, in milliseconds.
    fn stale_ms(&self) -> u64 {
        self.fraction_ms(STALE_FRACTION)
    }

    /// A fraction of the time in which a change must be in force, in milliseconds.
    fn fraction_ms(&self, fraction: f64) -> u64 {
        (self.change_ms as f64 * fraction) as u64
    }

    /// Longest time from the store's confirmation of a change until this host has read it, in
    /// milliseconds, if one call or one reader is lost meanwhile, or both.
    ///
    /// Whoever reads pauses for further changes, then loses a held call; the change came at the
    /// beginning of the pause. Whoever listens loses the reader right after its announcement, and
    /// then the first call of its own. Both then open a connection and read.
    #[must_use]
    pub fn notice_ms(&self) -> u64 {
        let pause_ms = GATHER_MS.max(self.fraction_ms(GATHER_MANY_FRACTION));
        let reads = pause_ms + self.lost_read_ms();
        let listens = TURN_GAP_MS + self.lost_takeover_ms();
        reads.max(listens) + READ_MS
    }

    /// For how long the store seems not to answer if one held call is lost, in milliseconds: until
    /// the retry, or until it is this host's turn again.
    fn lost_read_ms(&self) -> u64 {
        (self.hold_ms() + OVERDUE_MS + RETRY_MIN_MS).max(self.stale_ms() + TURN_GAP_MS)
    }

    /// The same if a reader is lost, and then the first call of the host that takes over.
    fn lost_takeover_ms(&self) -> u64 {
        self.stale_ms() + OVERDUE_MS.max(CONNECT_MS) + RETRY_MIN_MS
    }

    /// Time for which calls of the store must have gone unanswered, in milliseconds, before entries
    /// that are removed may have lapsed. One lost call, or the loss of a reader and a call, is less:
    /// servers that leave meanwhile would be kept.
    fn outage_ms(&self, has_taken_over: bool) -> u64 {
        let lost_ms = if has_taken_over { self.lost_takeover_ms() } else { self.lost_read_ms() };
        lost_ms + OUTAGE_MARGIN_MS
    }
}

domain! {
    /// Time limits that follow from the settings, in milliseconds.
    #[derive(Copy)]
    pub struct Bounds {
        /// Time in which a change must be in force on all hosts.
        pub change_ms: u64,
        /// Time for which a host that reads alone lets the store hold a call.
        pub alone_ms: u64,
    }

    /// What a host does now about a list.
    #[derive(Copy, Eq)]
    pub enum Action {
        /// Read the list from the store.
        Read {
            /// How long the store may hold the call while nothing changes, in milliseconds.
            hold_ms: u64,
        },
        /// Wait for announcements of the reader.
        Listen {
            /// When this host reads for itself if nothing has put that off by then.
            until: Millis,
        },
    }
}

/// Another host of the failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// When this host last received any message of the peer.
    heard_at: Millis,
    /// When the peer's state was last known to be new; none if the peer has not said.
    fresh_at: Option<Millis>,
    /// Strength class of the peer.
    class: u8,
}

/// Who reads one list in one failure domain, as seen by one host.
#[derive(Clone, Debug)]
pub struct Relay {
    bounds: Bounds,
    /// Rank of this host; lower ranks read first.
    own_rank: u64,
    /// Strength class of this host.
    class: u8,
    list_hash: u64,
    peers: BTreeMap<Name, Peer>,
    /// When this host's state was last new by its own read or by the list that it started from.
    read_at: Millis,
    /// Whether this host has the list, from the store or from a peer.
    has_list: bool,
    /// Whether this host goes on reading, for the domain or for itself alone.
    is_reader: bool,
    /// Whether the store must answer the next read at once: this host has just started, taken over
    /// or failed to read.
    skips_hold: bool,
    /// When this host reads again after a failure.
    retry_at: Option<Millis>,
    /// Whether the last read failed.
    has_failed: bool,
    /// For how long the store has failed to answer this host since it last answered a host of the
    /// domain, in milliseconds: the calls with the time that they allow, and the pauses between
    /// them. Time in which this host did not run, or did not ask, says nothing of the store.
    unanswered_ms: u64,
    /// From which [`Self::unanswered_ms`] on the store was away, in milliseconds.
    outage_ms: u64,
    /// When the pause after the last failed call began, and its greatest length in milliseconds.
    pause: Option<(Millis, u64)>,
    /// Whether this host must read now, because no peer could give it an announced change.
    is_forced: bool,
    /// When this host reads for the first time.
    bootstrap: Bootstrap,
}

impl Relay {
    /// Creates the state of a host that starts; `list` is the name of the list.
    #[must_use]
    pub fn new(bounds: Bounds, host: &Name, list: &str, bootstrap: Bootstrap) -> Self {
        let list_hash = hash(list.as_bytes());
        Self {
            own_rank: rank_of(host, 0, list_hash),
            class: 0,
            list_hash,
            bounds,
            peers: BTreeMap::new(),
            read_at: bootstrap.started,
            has_list: false,
            is_reader: false,
            skips_hold: true,
            retry_at: None,
            has_failed: false,
            unanswered_ms: 0,
            outage_ms: 0,
            pause: None,
            is_forced: false,
            bootstrap,
        }
    }

    /// Sets the strength class of this host, which decides its rank.
    #[must_use]
    pub fn with_class(mut self, host: &Name, class: u8) -> Self {
        self.own_rank = rank_of(host, class, self.list_hash);
        self.class = class;
        self
    }

    /// Records which other hosts of the domain are listed in the store, each with its strength
    /// class. Some of them may be gone although their rows still exist.
    pub fn record_listed<'a>(&mut self, listed: impl Iterator<Item = (&'a Name, u8)>, now: Millis) {
        let ranks: Vec<u64> =
            listed.map(|(name, class)| rank_of(name, class, self.list_hash)).collect();
        let before = ranks.iter().filter(|rank| **rank < self.own_rank).count();
        self.bootstrap.record_listed(ranks.len(), before as u64, now);
    }

    /// Records that a peer is reading the whole list.
    pub fn record_peer_reading(&mut self, peer: &Name, now: Millis) {
        self.record_peer(peer, now);
        self.bootstrap.defer(now);
    }

    /// Puts off this host's first read, because a peer sends it the whole list or will do so soon.
    pub fn defer_first_read(&mut self, now: Millis) {
        self.bootstrap.defer(now);
    }

    /// Whether this host, which has no list yet, may start with a peer's list that was new at
    /// `fresh_at`. The list must be as new as that of a reader which is still trusted.
    #[must_use]
    pub fn may_start_from_peer(&self, fresh_at: Millis, now: Millis) -> bool {
        !self.has_list && now.since(fresh_at) < self.bounds.stale_ms()
    }

    /// Records that this host has started with a peer's list that was new at `fresh_at`.
    pub fn record_start_from_peer(&mut self, fresh_at: Millis) {
        self.read_at = self.read_at.max(fresh_at);
        self.has_list = true;
        self.skips_hold = false;
        self.retry_at = None;
    }

    /// Time in which a change must be in force on all hosts, in milliseconds.
    #[must_use]
    pub fn change_ms(&self) -> u64 {
        self.bounds.change_ms
    }

    /// Replaces the time limits, for instance after the settings were read again.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Records that a peer of the domain is alive.
    pub fn record_peer(&mut self, peer: &Name, now: Millis) {
        self.peers.entry(peer.clone()).or_default().heard_at = now;
    }

    /// Records that a peer of the domain is alive, and its strength class.
    pub fn record_peer_class(&mut self, peer: &Name, class: u8, now: Millis) {
        let held = self.peers.entry(peer.clone()).or_default();
        (held.heard_at, held.class) = (now, class);
    }

    /// Records that a peer has read, and that its state was new at `fresh_at`.
    pub fn record_peer_read(&mut self, peer: &Name, fresh_at: Millis, now: Millis) {
        let held = self.peers.entry(peer.clone()).or_default();
        held.heard_at = now;
        held.fresh_at = held.fresh_at.max(Some(fresh_at));
        // A read by a weaker peer does not show that this host, which would read in its place,
        // reaches the store. Only a read by a peer at least as strong ends the retry pause.
        let is_as_strong = held.class >= self.class;
        if is_as_strong && fresh_at > self.read_at && now.since(fresh_at) < self.bounds.stale_ms() {
            self.retry_at = None;
        }
    }

    /// Records that this host has read the list.
    pub fn record_read(&mut self, now: Millis) {
        self.is_reader |= !self.has_list && self.bootstrap.announces_reads(now);
        self.read_at = now;
        self.has_list = true;
        self.skips_hold = false;
        self.retry_at = None;
        self.has_failed = false;
        self.is_forced = false;
    }

    /// Records that a call was lost for which this host has waited for `waited_ms`, of which the
    /// store was asked to hold it for `hold_ms`.
    pub fn record_unanswered(&mut self, waited_ms: u64, hold_ms: u64, now: Millis) {
        let paused_ms = self.paused_ms(now - waited_ms);
        // A host without processor time has waited for longer than it would have.
        let waited_ms = waited_ms.min(hold_ms + self.overdue_ms());
        if self.unanswered_ms == 0 {
            // A host that takes over does so because whoever read for it was silent.
            let has_taken_over = self.has_taken_over();
            self.unanswered_ms = if has_taken_over { self.bounds.stale_ms() } else { 0 };
            self.outage_ms = self.bounds.outage_ms(has_taken_over);
        }
        self.unanswered_ms += paused_ms + waited_ms.max(1);
    }

    /// How long this host has paused since its last failed call, in milliseconds.
    fn paused_ms(&mut self, now: Millis) -> u64 {
        self.pause.take().map_or(0, |(since, most_ms)| now.since(since).min(most_ms))
    }

    /// Whether this host's next call is the first one since it has taken over reading.
    fn has_taken_over(&self) -> bool {
        self.skips_hold && self.has_list && !self.has_failed
    }

    /// Records that the store has answered, this host or another one of the domain. Returns whether
    /// it was away for so long that entries may have lapsed.
    pub fn end_outage(&mut self, now: Millis) -> bool {
        let paused_ms = self.paused_ms(now);
        let unanswered_ms = std::mem::take(&mut self.unanswered_ms);
        unanswered_ms > 0 && unanswered_ms + paused_ms >= self.outage_ms
    }

    /// How much later than asked a call of this host may be answered, in milliseconds.
    #[must_use]
    pub fn overdue_ms(&self) -> u64 {
        if self.has_failed { OVERDUE_RETRY_MS } else { OVERDUE_MS }
    }

    /// Records that this host could not read, and sets when it reads again. The pause lies between
    /// half and all of `pause_ms`, or of a longer time in a domain with many hosts; `draw` is a
    /// uniform draw from 0 to 1.
    pub fn record_failure(&mut self, pause_ms: u64, draw: f64, now: Millis) {
        let has_taken_over = self.has_taken_over();
        let others = self.alive_count(now) as u64;
        let most_ms = self.fraction_ms(RETRY_MAX_FRACTION).max(pause_ms);
        let spread_ms = (others * RETRY_PER_HOST_MS).clamp(pause_ms, most_ms);
        let ms = spread_ms as f64 * (0.5 + draw / 2.0);
        self.retry_at = Some(now + ms as u64);
        let is_first = !self.has_failed;
        if is_first && !has_taken_over {
            // Nobody else reads before this host's own retry.
            let lost_ms = self.unanswered_ms + ms as u64;
            self.outage_ms = self.outage_ms.max(lost_ms + OUTAGE_MARGIN_MS);
        }
        // A host that no longer reads for others also waits for its turn.
        let most_ms = self.turn(now).since(now).max(ms as u64);
        self.pause = (self.unanswered_ms > 0).then_some((now, most_ms));
        self.has_failed = true;
        self.skips_hold = true;
        self.is_reader = false;
    }

    /// Whether this host receives an answer of `bytes` over a link of `link_mbps` megabits a second
    /// soon enough to pass it on in time. The other hosts then wait for it. Over a wide link it
    /// arrives long before it would over their own narrow ones.
    #[must_use]
    pub fn can_relay_in_time(&self, bytes: u64, link_mbps: f64) -> bool {
        let transfer_ms = bytes as f64 * 8.0 / (link_mbps * 1_000.0);
        transfer_ms <= self.fraction_ms(RELAYED_READ_FRACTION) as f64
    }

    /// Records that a peer is receiving a change that is too long to be passed on. This host starts
    /// to read that change now: if it waited until the peer had it whole, it would have the change
    /// later by the time of another transfer.
    pub fn record_long_change(&mut self, peer: &Name, now: Millis) {
        self.record_peer(peer, now);
        self.force_read();
    }

    /// Makes this host read at once, because a change that a peer announced could not be had from
    /// it.
    pub fn force_read(&mut self) {
        self.is_forced = true;
    }

    /// Whether this host reads for itself only. In a small domain a reader for all hosts, which
    /// reads more often, would make at least as many calls as all hosts that read for themselves.
    #[must_use]
    pub fn reads_alone(&self, now: Millis) -> bool {
        let hosts = self.alive_count(now) as u64 + 1;
        hosts * self.bounds.hold_ms() <= self.alone_hold_ms()
    }

    /// For how long a host that reads for itself lets the store hold a call, in milliseconds. Longer
    /// holds would cost fewer calls, but only an overdue answer shows that one was lost.
    fn alone_hold_ms(&self) -> u64 {
        self.bounds.alone_ms.min(self.bounds.hold_ms())
    }

    /// Whether this host has no list and failed to read it. It then takes over a peer's list
    /// whatever its age, because it would otherwise refuse all requests until the store is back.
    #[must_use]
    pub fn needs_list_from_peer(&self) -> bool {
        !self.has_list && self.has_failed
    }

    /// Whether this host goes on reading, for the domain or for itself alone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Whether this host announces its reads to the other hosts.
    #[must_use]
    pub fn announces_reads(&self, now: Millis) -> bool {
        self.reads_for_others(now) || (self.is_reader && self.bootstrap.announces_reads(now))
    }

    /// Whether this host reads on behalf of the other hosts now.
    #[must_use]
    pub fn reads_for_others(&self, now: Millis) -> bool {
        self.is_reader && !self.reads_alone(now)
    }

    /// Whether this host reads on behalf of the others and no host of earlier rank does. Two
    /// readers overlap while the call of the one that stops is still held; the link of that one
    /// does not say how soon the others will have a change.
    #[must_use]
    pub fn is_first_reader(&self, now: Millis) -> bool {
        self.reads_for_others(now) && !self.has_fresh_predecessor(now)
    }

    /// How long the reader lets changes gather before its next call, in milliseconds; `changes` is
    /// the number of changes in its last answer.
    #[must_use]
    pub fn gather_ms(&self, changes: usize) -> u64 {
        if changes < MANY_CHANGES_MIN {
            GATHER_MS
        } else {
            GATHER_MS.max(self.fraction_ms(GATHER_MANY_FRACTION))
        }
    }

    /// Returns what this host does now.
    pub fn action(&mut self, now: Millis) -> Action {
        if let Some(retry_at) = self.retry_at.filter(|retry_at| now < *retry_at) {
            return Action::Listen { until: retry_at };
        }
        if self.bootstrap.is_discovery_over(now) {
            self.bootstrap.end_discovery(self.alive_count(now), self.rank(now), now);
        }
        let turn = self.bootstrap.turn();
        match self.has_list {
            _ if self.is_forced => Action::Read { hold_ms: 0 },
            false if now < turn => Action::Listen { until: turn },
            false => Action::Read { hold_ms: 0 },
            true if self.reads_alone(now) => self.action_alone(now),
            true => self.action_among_others(now),
        }
    }

    /// Returns the action of a host that reads for itself. After its start it first waits for other
    /// hosts to answer, so that it reads no more often than they do if there are many.
    fn action_alone(&mut self, now: Millis) -> Action {
        let due = self.read_at + DISCOVERY_MS;
        if !self.is_reader && now < due {
            return Action::Listen { until: due };
        }
        self.is_reader = true;
        Action::Read { hold_ms: if self.skips_hold { 0 } else { self.alone_hold_ms() } }
    }

    /// When this host reads for the others unless it hears of fresh state by then.
    fn turn(&self, now: Millis) -> Millis {
        // A weaker host reads only for lack of a stronger one, and over its link a long change
        // comes late to all hosts. Its reads therefore don't put off those of this host.
        let as_strong = self.peers.values().filter(|peer| peer.class >= self.class);
        let newest = as_strong.filter_map(|peer| peer.fresh_at).max().unwrap_or_default();
        let stale_ms = self.bounds.stale_ms();
        newest.max(self.read_at) + stale_ms + turn::delay_ms(self.rank(now), TURN_GAP_MS)
    }

    fn action_among_others(&mut self, now: Millis) -> Action {
        if self.is_reader && self.has_fresh_predecessor(now) {
            self.is_reader = false;
        }
        let due = self.turn(now);
        match () {
            () if self.is_reader => {
                let hold_ms = if self.skips_hold { 0 } else { self.bounds.hold_ms() };
                Action::Read { hold_ms }
            }
            () if now >= due => {
                self.is_reader = true;
                self.skips_hold = true;
                Action::Read { hold_ms: 0 }
            }
            () => Action::Listen { until: due },
        }
    }

    fn fraction_ms(&self, fraction: f64) -> u64 {
        self.bounds.fraction_ms(fraction)
    }

    /// Returns the names of the peers whose last message is recent.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Name> {
        self.alive_peers(now).map(|(name, _)| name)
    }

    fn alive_peers(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let timeout_ms = heartbeat::timeout_ms(self.peers.len());
        self.peers.iter().filter(move |(_, peer)| now.since(peer.heard_at) < timeout_ms)
    }

    /// Whether a host of earlier rank has fresh state.
    fn has_fresh_predecessor(&self, now: Millis) -> bool {
        let stale_ms = self.bounds.stale_ms();
        let is_fresh = |peer: &Peer| peer.fresh_at.is_some_and(|at| now.since(at) < stale_ms);
        self.peers.iter().any(|(name, peer)| self.is_before(name, peer) && is_fresh(peer))
    }

    /// Whether a peer has an earlier rank than this host.
    fn is_before(&self, name: &Name, peer: &Peer) -> bool {
        rank_of(name, peer.class, self.list_hash) < self.own_rank
    }

    /// Number of peers whose last message is recent.
    #[must_use]
    pub fn alive_count(&self, now: Millis) -> usize {
        self.alive(now).count()
    }

    /// Number of alive peers whose turn comes before this host's.
    fn rank(&self, now: Millis) -> u64 {
        self.alive_peers(now).filter(|(name, peer)| self.is_before(name, peer)).count() as u64
    }
}

/// Equally strong hosts rank differently for each list, so that one host need not read all lists.
fn rank_of(host: &Name, class: u8, list_hash: u64) -> u64 {
    strength::rank(class, mix(hash(host.as_bytes()) ^ list_hash))
}
