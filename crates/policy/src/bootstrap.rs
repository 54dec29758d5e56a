//! When a host that starts reads a list of the store itself.
//!
//! The load this answers: all hosts of a failure domain, or of all of them, start within the same
//! second. Were each to read the whole list, the store would send hosts times servers, and on the
//! narrowest links callers would wait for it. So one host of a domain reads and the others take the
//! list from it, and then from each other.
//!
//! Nobody is elected, and nothing depends on a neighbour. Hosts take their turns by rank; whoever
//! reads says so while it does, which puts the others' turns off. A turn that comes is taken: if
//! nobody has given the list by then, the host reads it.

use crate::domain;
use crate::time::Millis;
use crate::turn;

/// How long a host looks for others before it reads by itself, in milliseconds: a call of a store
/// that is well takes a tenth of it.
const FIND_MS: u64 = 150;
/// The same when the whole deployment starts for the first time, in milliseconds. All hosts list
/// themselves at once, so those listed first find nobody: each would read for itself. No callers are there
/// yet, and by then all have met.
const FIND_FIRST_MS: u64 = 2_000;
/// Between the first two turns, in milliseconds. With a short list the first has read, and said so,
/// before the second begins.
const TURN_MS: u64 = 20;
/// Between two hosts that read since nobody has given them the list in time, in milliseconds.
const LATE_TURN_MS: u64 = 20;
/// For how long another host that reads, or gives the list, puts a turn off, in milliseconds. It
/// says so more often; silence for so long means that it has been lost.
const PATIENCE_MS: u64 = 400;
/// By then the first turn comes, whoever reads, in milliseconds from the start, or from when hosts have
/// met.
const LAST_MS: u64 = 2_000;
/// Other hosts listed without which a host reads at once.
const OTHERS_MIN: usize = 4;
/// Part of the time that its caller waits for which a request waits for a host that is about to have the
/// lists.
const WAIT_PART: f64 = 0.2;
/// Least and longest such wait, in milliseconds. A list that has come through all hosts of a large failure
/// domain has come by then; callers give up a host that does not read their request for a second.
const WAIT_MIN_MS: u64 = 300;
const WAIT_MAX_MS: u64 = 800;

/// How long a request waits for a host that has just started and is about to have the lists, in
/// milliseconds, by how long its caller waits for the answer.
///
/// The load this answers: all hosts start together while callers go on sending. A refusal would cost a caller
/// its retry, and the hosts would have its request again when they have the lists; one that is in a hurry
/// does better to come back than to wait.
#[must_use]
pub fn wait_ms(patience_ms: Option<u64>) -> u64 {
    let part = patience_ms.map(|patience| (patience as f64 * WAIT_PART) as u64);
    part.unwrap_or(WAIT_MIN_MS).clamp(WAIT_MIN_MS, WAIT_MAX_MS)
}

domain! {
    /// One list's first read, as the host sees it that starts.
    #[derive(Copy, Default)]
    pub struct Bootstrap {
        /// When the host started.
        pub started: Millis,
        /// The others are met until then, whoever is found listed; none if they are listed already.
        meets_until: Option<Millis>,
        /// Turns are counted from then.
        counted_from: Millis,
        turn: Millis,
        rank: u64,
        others: usize,
    }
}

impl Bootstrap {
    /// At the start of a host.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { started: now, counted_from: now, turn: now + FIND_MS, ..Self::default() }
    }

    /// At the start of a host, when the whole deployment starts for the first time.
    #[must_use]
    pub fn first(now: Millis) -> Self {
        let until = now + FIND_FIRST_MS;
        Self { turn: until, meets_until: Some(until), ..Self::new(now) }
    }

    /// So many others are listed, this many of them with turns before this host's. Some may be
    /// gone: their turns pass.
    pub fn found(&mut self, others: usize, rank: u64, now: Millis) {
        if self.meets_until.is_none() {
            self.take_place(others, rank, now);
        }
    }

    /// Whether the time has come in which the hosts of a first start have met.
    #[must_use]
    pub fn has_met(&self, now: Millis) -> bool {
        self.meets_until.is_some_and(|until| until <= now)
    }

    /// At a first start so many others were met, this many of them with turns before this host's.
    pub fn met(&mut self, others: usize, rank: u64, now: Millis) {
        self.meets_until = None;
        self.counted_from = now;
        self.take_place(others, rank, now);
    }

    fn take_place(&mut self, others: usize, rank: u64, now: Millis) {
        (self.others, self.rank) = (others, rank);
        self.turn = if others < OTHERS_MIN { now } else { now + turn::delay_ms(rank, TURN_MS) };
    }

    /// Another host is reading the list, or is giving it to this one.
    pub fn wait(&mut self, now: Millis) {
        let put_off = now + PATIENCE_MS + turn::delay_ms(self.rank, TURN_MS);
        self.turn = self.turn.max(put_off.min(self.last()));
    }

    /// When the host reads the list itself, unless it has it by then.
    #[must_use]
    pub fn turn(&self) -> Millis {
        self.turn
    }

    /// Whether a host that has read in its turn tells the others, although it has met few of them
    /// so far: they are just starting.
    #[must_use]
    pub fn tells(&self, now: Millis) -> bool {
        self.others >= OTHERS_MIN && now < self.last() + LAST_MS
    }

    fn last(&self) -> Millis {
        self.counted_from + LAST_MS + self.rank * LATE_TURN_MS
    }
}
