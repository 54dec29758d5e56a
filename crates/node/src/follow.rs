//! Follows one list of the store, by reading it or through the peer that reads it.

use std::borrow::Cow;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use policy::domain;
use policy::name::Name;
use policy::recovery;
use policy::relay::{Action, Relay};
use policy::remote_clock::RemoteClock;
use policy::revision::Revision;
use policy::roster;
use policy::time::Millis;
use tokio::sync::Notify;

use crate::exchange;
use crate::history::{History, Reconciled};
use crate::store::{Entry, Fact, List, Update};

/// Most changes that are sent along with a position. A peer that lacks more requests them in a
/// call.
const SENT_CHANGES_MAX: usize = 4;
/// If the changes are longer than this many times the list, the whole list is read instead. At 1.6,
/// two changes of one long entry exceed it, and an entry that grew by half does not.
const REREAD_FACTOR: f64 = 1.6;
/// A change that is longer than this many times the list, plus one message, is read from the store
/// by each host itself.
const LONG_CHANGE_FACTOR: u64 = 4;
/// A list that has been behind for this long is logged, in milliseconds. Most changes arrive from a
/// peer within a few milliseconds.
const BEHIND_LOG_THRESHOLD_MS: u64 = 1_000;

domain! {
    /// How new a host's copy of a list is, as the host tells its peers.
    pub struct Position {
        /// The list that the host reads.
        pub list: List,
        /// The newest revision of the store that the copy includes.
        pub revision: Revision,
        /// Revision of the list's newest change. A copy at this revision lacks nothing, even if the
        /// store has moved on.
        pub changed: Revision,
        /// How long ago the host read the list, in milliseconds.
        pub age_ms: u64,
        /// Length of the list as the store sends it, in bytes; 0 if the sender does not tell it.
        #[serde(default)]
        pub bytes: u64,
        /// The changes read last, if there are few; `None` if peers have to request them.
        #[serde(default)]
        pub changes: Option<Changes>,
    }

    /// All changes of a list behind a revision.
    pub struct Changes {
        /// The revision behind which these changes are.
        pub after: Revision,
        /// The changes, and the revision up to which they are complete.
        #[serde(rename = "news")]
        pub update: Update,
    }
}

/// State of one followed list.
pub struct Follower {
    /// The list that is followed.
    pub list: List,
    history: Mutex<History>,
    relay: Mutex<Relay>,
    read_at: Mutex<Option<Millis>>,
    /// Revision of the copy before the last changes were applied.
    previous_revision: Mutex<Revision>,
    wake: Notify,
    /// Whether an update is being fetched from a peer. One fetch at a time is enough.
    is_fetching: AtomicBool,
    /// The store can't give the changes behind this revision, or they are too long, so the whole
    /// list is read at this revision.
    incomplete_after: Mutex<Option<Revision>>,
    /// Whether a long answer of the store is arriving at this host.
    is_incoming: AtomicBool,
    /// Length of the whole list as the store last sent it, or of a longer change since, in bytes.
    list_bytes: AtomicU64,
    /// The change that this host has heard of and not received; `None` if it lacks none.
    missing: Mutex<Option<Missing>>,
    currency: Mutex<Currency>,
}

/// When the copy was current, on this host's clock.
#[derive(Clone, Copy, Debug, Default)]
struct Currency {
    store_clock: RemoteClock,
    /// When the store last gave its state, to this host or to the peer that announced it.
    at: Option<Millis>,
    /// The same of the state before.
    before: Option<Millis>,
}

impl Currency {
    fn record(&mut self, at: Millis) {
        if self.at.is_none_or(|known| known < at) {
            (self.before, self.at) = (self.at, Some(at));
        }
    }
}

/// How long ago the store had confirmed the newest changes of a copy, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmed {
    /// At the least: the store gave its state with the changes then.
    pub least_ms: u64,
    /// At the most: the store had given its state without the changes; `None` if this is the first
    /// state that this host knows of.
    pub most_ms: Option<u64>,
}

/// A change that this host has heard of and not received.
#[derive(Clone, Debug)]
struct Missing {
    revision: Revision,
    /// The peer that announced the change last.
    announced_by: Name,
    since: Millis,
    /// Whether the delay has been logged.
    is_logged: bool,
}

/// How long entries that a restored copy lacks are kept, in milliseconds. Servers list themselves
/// again within about two seconds, and those that don't are gone. Operators give no time within
/// which they write their entries again.
fn missing_retention_ms(list: List) -> u64 {
    match list {
        List::Operators => recovery::REWRITE_TIMEOUT_MS,
        List::Backends => roster::LAPSE_GRACE_MS,
    }
}

impl Follower {
    /// Follower of a list that has not been read yet.
    #[must_use]
    pub fn new(list: List, relay: Relay) -> Self {
        Self {
            list,
            history: Mutex::new(History::new(missing_retention_ms(list))),
            relay: Mutex::new(relay),
            read_at: Mutex::default(),
            previous_revision: Mutex::default(),
            wake: Notify::new(),
            is_fetching: AtomicBool::new(false),
            incomplete_after: Mutex::default(),
            is_incoming: AtomicBool::new(false),
            list_bytes: AtomicU64::new(0),
            missing: Mutex::default(),
            currency: Mutex::default(),
        }
    }

    /// Records that the store has answered when its clock showed `store_ms`; 0 if it did not tell.
    pub fn record_answered(&self, store_ms: u64, now: Millis) {
        let mut currency = lock(&self.currency);
        if store_ms > 0 {
            currency.store_clock.record(store_ms, now);
        }
        let at = if store_ms > 0 { currency.store_clock.local(store_ms) } else { None };
        currency.record(at.unwrap_or(now));
    }

    /// Records that a peer announced the state that the store gave it at `at`.
    pub fn record_announced(&self, at: Millis) {
        lock(&self.currency).record(at);
    }

    /// When the copy was last known to be current; `None` before the list was read.
    #[must_use]
    pub fn current_at(&self) -> Option<Millis> {
        lock(&self.currency).at
    }

    /// How long ago the store had confirmed the changes that came last.
    #[must_use]
    pub fn confirmed(&self, now: Millis) -> Confirmed {
        let currency = *lock(&self.currency);
        let least_ms = currency.at.map_or(0, |at| now.since(at));
        Confirmed { least_ms, most_ms: currency.before.map(|before| now.since(before)) }
    }

    /// Decides which host of the failure domain reads the list.
    pub fn relay(&self) -> MutexGuard<'_, Relay> {
        lock(&self.relay)
    }

    /// What this host does next: read the list, or listen to the peer that reads it.
    pub fn action(&self, now: Millis) -> Action {
        self.relay().action(now)
    }

    /// Waits until [`Self::wake`] is called, at most `within`.
    pub async fn wait(&self, within: Duration) {
        // The caller asks for the next action again, whether the wait was ended by `wake` or not.
        let _ = tokio::time::timeout(within, self.wake.notified()).await;
    }

    /// Ends a wait, because the next action may be another one now.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// The newest revision that the copy includes; `None` before the list was read.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        lock(&self.history).revision()
    }

    /// Revision of the newest change in the copy.
    #[must_use]
    pub fn last_change(&self) -> Revision {
        lock(&self.history).last_change()
    }

    /// The update as it must be applied: after a restore of the store from a copy, with this host's
    /// own entries in place of those that the update would undo.
    #[must_use]
    pub fn reconcile<'a>(&self, update: &'a Update, now: Millis) -> Cow<'a, Update> {
        let Reconciled { update, missing, doubted } = lock(&self.history).reconcile(update, now);
        if missing + doubted > 0 {
            log::info!(target: "watch", list:? = self.list, revision:% = update.revision, missing,
                doubted; "own entries kept that the restored store may have lost");
        }
        update
    }

    /// Records an update that the catalog has accepted.
    pub fn record_accepted(&self, update: &Update, now: Millis) {
        let mut history = lock(&self.history);
        if !update.entries.is_empty() {
            *lock(&self.previous_revision) = history.revision().unwrap_or_default();
        }
        history.apply(update);
        if update.is_whole {
            *lock(&self.incomplete_after) = None;
        }
        let mut missing = lock(&self.missing);
        if let Some(caught_up) = missing.take_if(|missing| missing.revision <= update.revision)
            && caught_up.is_logged
        {
            log::info!(target: "watch", list:? = self.list, revision:% = update.revision,
                behind_ms = now.since(caught_up.since); "list up to date again");
        }
    }

    /// Records that a peer has a change that this host lacks.
    pub fn record_missing(&self, revision: Revision, peer: &Name, now: Millis) {
        let mut missing = lock(&self.missing);
        let reported =
            Missing { revision, announced_by: peer.clone(), since: now, is_logged: false };
        missing.get_or_insert(reported).announced_by = peer.clone();
    }

    /// The peer that last announced a change that this host lacks; `None` if it lacks none.
    #[must_use]
    pub fn missing_update_source(&self) -> Option<Name> {
        lock(&self.missing).as_ref().map(|missing| missing.announced_by.clone())
    }

    /// For how long this host has known of a change that it lacks, in milliseconds; 0 if it lacks
    /// none.
    #[must_use]
    pub fn behind_ms(&self, now: Millis) -> u64 {
        lock(&self.missing).as_ref().map_or(0, |missing| now.since(missing.since))
    }

    /// Logs once that the list has been behind for too long.
    pub fn log_behind(&self, now: Millis) {
        let revision = self.revision().unwrap_or_default();
        if let Some(missing) = lock(&self.missing).as_mut()
            && !missing.is_logged
            && now.since(missing.since) >= BEHIND_LOG_THRESHOLD_MS
        {
            missing.is_logged = true;
            log::warn!(target: "watch", list:? = self.list, revision:%, missing:% = missing.revision,
                behind_ms = now.since(missing.since); "list is behind its newest known change");
        }
    }

    /// Records that the store can't give the changes behind the current revision, or that they are
    /// longer than the list. The whole list is read next.
    pub fn mark_incomplete(&self) {
        *lock(&self.incomplete_after) = self.revision();
    }

    /// The revision behind which the store is asked for changes; `None` if the whole list has to be
    /// read.
    #[must_use]
    pub fn request_after(&self) -> Option<Revision> {
        self.revision().filter(|revision| *lock(&self.incomplete_after) != Some(*revision))
    }

    /// Whether this host holds entries of its own against the list since the store was restored
    /// from a copy.
    #[must_use]
    pub fn has_overrides(&self) -> bool {
        lock(&self.history).has_overrides()
    }

    /// Update that gives up the overrides whose time has come, and takes what the list says
    /// instead; `None` if there are none.
    #[must_use]
    pub fn expired_overrides(&self, now: Millis) -> Option<Update> {
        lock(&self.history).expired_overrides(now)
    }

    /// What a peer lacks whose copy is at `revision`; `None` if this host has not read the list.
    #[must_use]
    pub fn update_since(&self, revision: Revision, now: Millis) -> Option<Update> {
        lock(&self.history).update_since(revision, now)
    }

    /// Starts a fetch from a peer. Returns false if one is already running.
    pub fn begin_fetch(&self) -> bool {
        !self.is_fetching.swap(true, Ordering::Relaxed)
    }

    /// Whether an update is being fetched from a peer.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        self.is_fetching.load(Ordering::Relaxed)
    }

    /// Ends the fetch, whether it brought an update or not.
    pub fn end_fetch(&self) {
        self.is_fetching.store(false, Ordering::Relaxed);
    }

    /// Records the length of an answer of the store: that of the whole list, or of a change.
    pub fn record_bytes(&self, bytes: u64, is_whole: bool) {
        match is_whole {
            true => self.list_bytes.store(bytes, Ordering::Relaxed),
            false => drop(self.list_bytes.fetch_max(bytes, Ordering::Relaxed)),
        }
    }

    /// Whether changes of this length are so long that it is faster to read the whole list.
    ///
    /// The store sends every change since a revision, also those that were replaced by later ones.
    /// A host that was cut off from the store while a long routing table changed several times
    /// would read all versions one after the other before the last one is in force.
    #[must_use]
    pub fn is_reread_shorter(&self, bytes: u64) -> bool {
        bytes as f64 > REREAD_FACTOR * self.list_bytes.load(Ordering::Relaxed) as f64
    }

    /// Whether an answer of this length is so much longer than the list that its changes can't be
    /// passed on to peers in time. Several versions of a table in one answer don't make it that
    /// long.
    #[must_use]
    pub fn is_long_change(&self, bytes: u64) -> bool {
        let list_bytes = self.list_bytes.load(Ordering::Relaxed);
        bytes > LONG_CHANGE_FACTOR * list_bytes + exchange::MESSAGE_BYTES_MAX as u64
    }

    /// Sets whether a long answer of the store is arriving; reset when the call ends.
    pub fn set_incoming(&self, is_incoming: bool) {
        self.is_incoming.store(is_incoming, Ordering::Relaxed);
    }

    /// Whether a long answer of the store is arriving at this host.
    #[must_use]
    pub fn is_incoming(&self) -> bool {
        self.is_incoming.load(Ordering::Relaxed)
    }

    /// Whether this host takes the list from any peer that has it, because it can't read the list
    /// itself and has no copy yet.
    #[must_use]
    pub fn accepts_any_peer(&self) -> bool {
        self.revision().is_none() && self.relay().needs_list_from_peer()
    }

    /// Records that this host has read the list from the store.
    pub fn record_read(&self, now: Millis) {
        *lock(&self.read_at) = Some(now);
        self.relay().record_read(now);
    }

    /// How new this host's copy is, for its peers; `None` if this host does not read the list for
    /// them.
    #[must_use]
    pub fn position(&self, now: Millis) -> Option<Position> {
        if !self.relay().announces_reads(now) {
            return None;
        }
        let read_at = (*lock(&self.read_at))?;
        let revision = self.revision()?;
        let changed = lock(&self.history).last_change();
        let age_ms = now.since(read_at);
        let changes = self.recent_changes(now);
        let bytes = self.list_bytes.load(Ordering::Relaxed);
        Some(Position { list: self.list, revision, changed, age_ms, bytes, changes })
    }

    /// The last changes, if they are few. A whole routing table is never sent, since it is seldom
    /// short.
    fn recent_changes(&self, now: Millis) -> Option<Changes> {
        let after = *lock(&self.previous_revision);
        let update = self.update_since(after, now)?;
        let is_table = |entry: &Entry| matches!(entry.fact, Fact::Table(_));
        let is_short =
            update.entries.len() <= SENT_CHANGES_MAX && !update.entries.iter().any(is_table);
        (is_short && !update.is_whole && !update.entries.is_empty())
            .then_some(Changes { after, update })
    }

    /// The update with whole routing tables in place of edits; `None` if this host lacks the table
    /// that an edit is based on.
    #[must_use]
    pub fn resolve<'a>(&self, update: &'a Update) -> Option<Cow<'a, Update>> {
        lock(&self.history).resolve(update)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
