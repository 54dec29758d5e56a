//! When to fetch the cache events of one engine, and which of them to believe.
//!
//! Load: an engine that serves long prompts changes its cache many times a second, delays its own
//! work for a listing of the whole cache, and keeps few calls waiting. A call that returns at once
//! is as expensive as a health probe. So calls begin about a second apart, and a listing is fetched
//! only after events were lost.

use std::collections::HashMap;

use crate::domain;
use crate::time::Millis;

/// Time between the beginnings of two calls for events.
const CALL_INTERVAL_MS: u64 = 1_000;
/// Least time between two listings. An engine that loses events faster than they are fetched would
/// be listed all the time.
const LIST_INTERVAL_MS: u64 = 30_000;
/// Shortest and longest pause after a failed call; it doubles with each failure.
const RETRY_MIN_MS: u64 = 1_000;
const RETRY_MAX_MS: u64 = 30_000;
/// Pause after an engine has said that it has no such call.
const UNSUPPORTED_MS: u64 = 60_000;
/// Bytes of notices that a host sends each second to the other hosts of its failure domain.
pub const NOTICE_BYTES_MAX: usize = 16_000;
/// How far behind the newest event a late one may be. Older ones are ignored, so that a repeated
/// event does not undo a newer one about the same part.
const LATE_MAX: u64 = 64;
/// Most parts whose newest event is remembered.
const NEWEST_MAX: usize = 256;

domain! {
    /// Whether a part was added to a cache or removed from it.
    #[derive(Copy, Eq)]
    pub enum Sign {
        /// The part is cached, up to the stated number of tokens.
        Added,
        /// The part was evicted.
        Removed,
    }

    /// A change of an engine's cache.
    #[derive(Copy, Eq)]
    pub struct Change {
        /// The number of the event; later events have higher ones.
        pub number: u64,
        /// Whether the part was added or removed.
        pub sign: Sign,
        /// The id of the part.
        pub part: u64,
        /// Tokens of the part that are cached now.
        pub tokens: u32,
        /// The hash of the model's name; 0 if the event names none.
        pub model: u64,
    }

    /// A part that an engine lists as cached.
    #[derive(Copy, Eq)]
    pub struct Held {
        /// The id of the part.
        pub part: u64,
        /// Tokens of the part that are cached.
        pub tokens: u32,
        /// The hash of the model's name; 0 if the listing names none.
        pub model: u64,
    }

    /// An engine's answer to a call.
    #[derive(Eq)]
    pub struct Batch<T> {
        /// Identifies one run of the engine's cache.
        pub epoch: u64,
        /// What the next call for events names as its beginning.
        pub next: u64,
        /// Whether events before these are no longer kept.
        pub is_gap: bool,
        /// The events or the listed parts.
        pub items: Vec<T>,
    }
}

/// What to do next for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Nothing until this time.
    Wait(Millis),
    /// Fetch the events from this number on.
    Events(u64),
    /// Fetch the listing of the whole cache.
    List,
}

/// Why a call gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// The engine knows no such call.
    Unsupported,
    /// The engine keeps too many calls waiting already.
    Busy,
    /// The engine did not answer, or not as expected.
    Failed,
}

/// How the parts of an answer relate to what was known of the engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scope {
    /// They change what was known.
    #[default]
    Changes,
    /// They replace what was known.
    Whole,
    /// The cache has begun anew, so what was known no longer holds.
    NewEpoch,
}

/// What an answer changes in the index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Taken {
    /// What these parts are.
    pub scope: Scope,
    /// Parts that were added (with their tokens) or removed (with 0), each with its model.
    pub parts: Vec<Held>,
}

/// The state of following one engine's cache events.
#[derive(Clone, Debug)]
pub struct Feed {
    epoch: Option<u64>,
    since: u64,
    needs_list: bool,
    called_at: Millis,
    next_call_at: Millis,
    next_list_at: Millis,
    failures: u32,
    /// The number of the newest event about each part, for recent events.
    newest: HashMap<(u64, u64), u64>,
}

impl Feed {
    /// Begins to follow an engine. `draw` is uniform in 0 to 1 and spreads the first calls of many
    /// hosts.
    #[must_use]
    pub fn new(draw: f64, now: Millis) -> Self {
        Self {
            epoch: None,
            since: 0,
            needs_list: false,
            called_at: now,
            next_call_at: now + (CALL_INTERVAL_MS as f64 * draw.clamp(0.0, 1.0)) as u64,
            next_list_at: now,
            failures: 0,
            newest: HashMap::new(),
        }
    }

    /// What to do now.
    #[must_use]
    pub fn next(&self, now: Millis) -> Call {
        match () {
            () if now < self.next_call_at => Call::Wait(self.next_call_at),
            () if self.needs_list && now >= self.next_list_at => Call::List,
            () => Call::Events(self.since),
        }
    }

    /// Records that a call is made.
    pub fn record_call(&mut self, call: Call, now: Millis) {
        self.called_at = now;
        if call == Call::List {
            self.next_list_at = now + LIST_INTERVAL_MS;
        }
    }

    /// Accepts the answer to a call for events.
    pub fn accept_events(&mut self, batch: &Batch<Change>, now: Millis) -> Taken {
        self.record_success(now);
        if self.epoch.is_some_and(|epoch| epoch != batch.epoch) {
            // The events were asked for by a number of the cache's previous run.
            self.begin_epoch(batch.epoch, 0);
            return Taken { scope: Scope::NewEpoch, parts: Vec::new() };
        }
        self.epoch = Some(batch.epoch);
        self.needs_list |= batch.is_gap || batch.next < self.since;
        let newest = batch.items.iter().filter(|change| self.is_newest(change));
        let parts = newest.map(Change::held).collect();
        self.since = batch.next;
        self.forget_old();
        Taken { scope: Scope::Changes, parts }
    }

    /// Accepts the answer to a call for the whole cache.
    pub fn accept_list(&mut self, list: Batch<Held>, now: Millis) -> Taken {
        self.record_success(now);
        let is_new_epoch = self.epoch.is_some_and(|epoch| epoch != list.epoch);
        let scope = if is_new_epoch { Scope::NewEpoch } else { Scope::Whole };
        self.begin_epoch(list.epoch, list.next);
        Taken { scope, parts: list.items }
    }

    /// Records that a call failed. `draw` is uniform in 0 to 1.
    pub fn record_failure(&mut self, trouble: Trouble, draw: f64, now: Millis) {
        let doubled = RETRY_MIN_MS << self.failures.min(8);
        let pause_ms = match trouble {
            Trouble::Unsupported => UNSUPPORTED_MS,
            Trouble::Busy | Trouble::Failed => doubled.min(RETRY_MAX_MS),
        };
        self.failures = self.failures.saturating_add(1);
        self.next_call_at = now + pause_ms + (pause_ms as f64 * draw.clamp(0.0, 1.0) / 2.0) as u64;
    }

    fn record_success(&mut self, now: Millis) {
        self.failures = 0;
        self.next_call_at = (self.called_at + CALL_INTERVAL_MS).max(now);
    }

    fn begin_epoch(&mut self, epoch: u64, since: u64) {
        self.epoch = Some(epoch);
        self.since = since;
        self.needs_list = false;
        self.newest.clear();
    }

    /// Whether no newer event about the part was accepted. Records the event if so.
    fn is_newest(&mut self, change: &Change) -> bool {
        if change.number.saturating_add(LATE_MAX) < self.since {
            return false;
        }
        let newest = self.newest.get(&(change.model, change.part));
        let is_newest = newest.is_none_or(|newest| *newest < change.number);
        if is_newest {
            self.newest.insert((change.model, change.part), change.number);
        }
        is_newest
    }

    fn forget_old(&mut self) {
        let oldest = self.since.saturating_sub(LATE_MAX);
        self.newest.retain(|_, number| *number >= oldest);
        // Numbers far beyond the newest event would be kept for ever.
        if self.newest.len() > NEWEST_MAX {
            self.newest.clear();
        }
    }
}

impl Change {
    fn held(&self) -> Held {
        let tokens = if self.sign == Sign::Added { self.tokens } else { 0 };
        Held { part: self.part, tokens, model: self.model }
    }
}

/// How many hosts get notices of this length together, of those of the failure domain. Notices are
/// sent once a second, and a large failure domain must not cost more than [`NOTICE_BYTES_MAX`].
#[must_use]
pub fn receivers_max(bytes: usize, hosts: usize) -> usize {
    hosts.min((NOTICE_BYTES_MAX / bytes.max(1)).max(1))
}
