//! When a starting host reads a list of the store for itself.
//!
//! The critical case is a failure domain, or a whole deployment, whose hosts all start within the
//! same second. If each of them read the whole list, the store would send hosts times servers, and
//! over the narrowest links callers would have to wait for that. So one host of a domain reads, and
//! the others take the list from it and then from each other.
//!
//! There is no election, and no host depends on another one. Hosts take turns by rank. A host that
//! reads announces it while it does, which puts off the turns of the others. A host that has not
//! been given the list when its turn comes reads it from the store.

use crate::domain;
use crate::time::Millis;
use crate::turn;

/// How long a host looks for other hosts before it reads, in milliseconds. A call of a healthy
/// store takes a tenth of that.
const DISCOVERY_MS: u64 = 150;
/// How long a host looks for other hosts when the whole deployment starts for the first time, in
/// milliseconds. All hosts list themselves at once, so those listed first find nobody and would
/// each read for themselves. There are no callers yet, and all hosts have met by the end of this
/// time.
const FIRST_START_DISCOVERY_MS: u64 = 2_000;
/// Time between the turns of the first two hosts, in milliseconds. With a short list the first host
/// has read, and announced that, before the second one begins.
const TURN_GAP_MS: u64 = 20;
/// Time between the latest turns of two hosts, in milliseconds, which apply when nobody has given
/// them the list in time.
const LATEST_TURN_GAP_MS: u64 = 20;
/// For how long a turn is put off when another host reads or gives the list, in milliseconds. That
/// host says so more often than this; if it is silent for so long, it has been lost.
const DEFERRAL_MS: u64 = 400;
/// Time after the start, or after hosts have met, by which the first host's turn comes whoever
/// reads, in milliseconds.
const LATEST_TURN_MS: u64 = 2_000;
/// Number of other listed hosts below which a host reads at once.
const OTHERS_MIN: usize = 4;
/// Fraction of its caller's patience for which a request waits for a host that is about to have the
/// lists.
const WAIT_FRACTION: f64 = 0.2;
/// Shortest wait of a request for a starting host, in milliseconds.
const WAIT_MIN_MS: u64 = 300;
/// Longest wait of a request for a starting host, in milliseconds. A list that passes through all
/// hosts of a large failure domain has arrived by then, and callers give up a host that does not
/// read their request for a second.
const WAIT_MAX_MS: u64 = 800;

/// How long a request waits for a host that has just started and is about to have the lists, in
/// milliseconds. `patience_ms` is how long its caller waits for the answer; none if the caller has
/// not said.
///
/// The critical case is a restart of all hosts while callers go on sending. A refusal would cost a
/// caller its retry, and the hosts would receive its request again once they have the lists. A
/// caller in a hurry does better to come back than to wait.
#[must_use]
pub fn request_wait_ms(patience_ms: Option<u64>) -> u64 {
    let part = patience_ms.map(|patience| (patience as f64 * WAIT_FRACTION) as u64);
    part.unwrap_or(WAIT_MIN_MS).clamp(WAIT_MIN_MS, WAIT_MAX_MS)
}

domain! {
    /// When a starting host reads one list for the first time.
    #[derive(Copy, Default)]
    pub struct Bootstrap {
        /// When the host started.
        pub started: Millis,
        /// Until when the host only looks for others at the first start of a deployment, whatever
        /// hosts it finds listed; none at later starts, where the others are listed already.
        meets_until: Option<Millis>,
        /// Time from which the latest turns are counted.
        counted_from: Millis,
        /// When this host's turn comes.
        turn: Millis,
        /// Number of hosts whose turns come before this host's.
        rank: u64,
        /// Number of other hosts found.
        others: usize,
    }
}

impl Bootstrap {
    /// Creates the state of a host that starts in a deployment which has run before.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { started: now, counted_from: now, turn: now + DISCOVERY_MS, ..Self::default() }
    }

    /// Creates the state of a host that starts when the whole deployment starts for the first time.
    #[must_use]
    pub fn first_start(now: Millis) -> Self {
        let until = now + FIRST_START_DISCOVERY_MS;
        Self { turn: until, meets_until: Some(until), ..Self::new(now) }
    }

    /// Records that `others` other hosts are listed, `rank` of them with turns before this host's.
    /// Some may be gone; their turns pass unused. At a first start this is ignored until
    /// [`Self::end_discovery`].
    pub fn record_listed(&mut self, others: usize, rank: u64, now: Millis) {
        if self.meets_until.is_none() {
            self.assign_turn(others, rank, now);
        }
    }

    /// Whether this is a first start and the time to look for other hosts is over.
    #[must_use]
    pub fn is_discovery_over(&self, now: Millis) -> bool {
        self.meets_until.is_some_and(|until| until <= now)
    }

    /// Ends the discovery of a first start, in which this host met `others` other hosts, `rank` of
    /// them with turns before its own.
    pub fn end_discovery(&mut self, others: usize, rank: u64, now: Millis) {
        self.meets_until = None;
        self.counted_from = now;
        self.assign_turn(others, rank, now);
    }

    fn assign_turn(&mut self, others: usize, rank: u64, now: Millis) {
        (self.others, self.rank) = (others, rank);
        self.turn = if others < OTHERS_MIN { now } else { now + turn::delay_ms(rank, TURN_GAP_MS) };
    }

    /// Puts off this host's turn, because another host is reading the list or giving it to this
    /// one.
    pub fn defer(&mut self, now: Millis) {
        let put_off = now + DEFERRAL_MS + turn::delay_ms(self.rank, TURN_GAP_MS);
        self.turn = self.turn.max(put_off.min(self.latest_turn()));
    }

    /// When this host reads the list itself unless it has it by then.
    #[must_use]
    pub fn turn(&self) -> Millis {
        self.turn
    }

    /// Whether a host that has read in its turn announces that although few hosts have answered it
    /// so far: the others are just starting.
    #[must_use]
    pub fn announces_reads(&self, now: Millis) -> bool {
        self.others >= OTHERS_MIN && now < self.latest_turn() + LATEST_TURN_MS
    }

    /// Time up to which this host's turn can be put off.
    fn latest_turn(&self) -> Millis {
        self.counted_from + LATEST_TURN_MS + self.rank * LATEST_TURN_GAP_MS
    }
}
