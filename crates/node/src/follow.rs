//! One list of the store as this host follows it: by itself, or through the host that reads it.

use std::borrow::Cow;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use policy::domain;
use policy::name::Name;
use policy::recovery;
use policy::relay::{Action, Relay};
use policy::revision::Revision;
use policy::roster;
use policy::time::Millis;
use tokio::sync::Notify;

use crate::exchange;
use crate::history::{History, Reconciled};
use crate::store::{Entry, Fact, List, Update};

/// Changes sent with a position at most; more are had by a call.
const SENT_CHANGES_MAX: usize = 4;
/// Changes this many times as long as the list are not read. Two changes of one long entry are, and
/// an entry that has grown by half is not.
const REREAD_FACTOR: f64 = 1.6;
/// A change this many times as long as the list, and a message more, is read by each host.
const LONG_CHANGE_FACTOR: u64 = 4;
/// A list that has been behind for this long is logged, in milliseconds. Most changes
/// are taken over in a few.
const BEHIND_LOG_THRESHOLD_MS: u64 = 1_000;

domain! {
    /// How new a host's state of a list is, as it tells the others.
    pub struct Position {
        /// The list.
        pub list: List,
        /// The store's revision that it knows.
        pub revision: Revision,
        /// That of the list's newest change: a host that knows the list as of then lacks nothing.
        pub changed: Revision,
        /// How long ago it read that, in milliseconds.
        pub age_ms: u64,
        /// Length of the list as the store sends it, in bytes.
        #[serde(default)]
        pub bytes: u64,
        /// What it has last read, if that is little.
        #[serde(default)]
        pub changes: Option<Changes>,
    }

    /// All changes of a list behind a revision.
    pub struct Changes {
        /// The revision.
        pub after: Revision,
        /// The changes.
        #[serde(rename = "news")]
        pub update: Update,
    }
}

/// A list that is followed.
pub struct Follower {
    /// Which.
    pub list: List,
    history: Mutex<History>,
    relay: Mutex<Relay>,
    read_at: Mutex<Option<Millis>>,
    /// The revision before the last news.
    previous_revision: Mutex<Revision>,
    wake: Notify,
    /// News are being taken from another host; one call at a time is enough.
    is_fetching: AtomicBool,
    /// Changes behind this revision are not asked of the store any more.
    incomplete_after: Mutex<Option<Revision>>,
    /// A long answer of the store is on its way to this host.
    is_incoming: AtomicBool,
    /// Length of the list as the store last sent all of it, in bytes, or of a longer change since.
    list_bytes: AtomicU64,
    /// What this host has heard of and has not taken in.
    missing: Mutex<Option<Missing>>,
}

/// A change that this host knows of and lacks.
#[derive(Clone, Debug)]
struct Missing {
    revision: Revision,
    /// Who announced it last.
    announced_by: Name,
    since: Millis,
    /// The log says so.
    is_logged: bool,
}

/// How long entries that a copy lacks are kept, in milliseconds. Servers list themselves again within about two
/// seconds, and are gone if they do not; operators say nothing of when they do.
fn missing_retention_ms(list: List) -> u64 {
    match list {
        List::Operators => recovery::REWRITTEN_MS,
        List::Backends => roster::LAPSE_MS,
    }
}

impl Follower {
    /// Nothing read yet.
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
        }
    }

    /// Who reads it.
    pub fn relay(&self) -> MutexGuard<'_, Relay> {
        lock(&self.relay)
    }

    /// What to do now.
    pub fn action(&self, now: Millis) -> Action {
        self.relay().action(now)
    }

    /// Waits, but no longer than until something changes what is to be done.
    pub async fn wait(&self, within: Duration) {
        // Woken or not, what is to be done is looked at anew.
        let _ = tokio::time::timeout(within, self.wake.notified()).await;
    }

    /// Makes whoever waits look anew.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// The newest revision taken in; none before it was read.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        lock(&self.history).revision()
    }

    /// The revision of the list's newest change that was taken in.
    #[must_use]
    pub fn last_change(&self) -> Revision {
        lock(&self.history).last_change()
    }

    /// News as they are to be taken, with what this host holds on to after the store's return from a copy.
    #[must_use]
    pub fn reconcile<'a>(&self, update: &'a Update, now: Millis) -> Cow<'a, Update> {
        let Reconciled { update, missing, doubted } = lock(&self.history).reconcile(update, now);
        if missing + doubted > 0 {
            log::info!(target: "watch", list:? = self.list, revision:% = update.revision, missing,
                doubted; "what the store may have lost is kept");
        }
        update
    }

    /// News were taken in.
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
                behind_ms = now.since(caught_up.since); "list caught up");
        }
    }

    /// Another host has read a change that this one lacks.
    pub fn record_missing(&self, revision: Revision, peer: &Name, now: Millis) {
        let mut missing = lock(&self.missing);
        let reported =
            Missing { revision, announced_by: peer.clone(), since: now, is_logged: false };
        missing.get_or_insert(reported).announced_by = peer.clone();
    }

    /// A host that has a change which this one lacks, if there is one.
    #[must_use]
    pub fn missing_update_source(&self) -> Option<Name> {
        lock(&self.missing).as_ref().map(|missing| missing.announced_by.clone())
    }

    /// For how long this host has known of a change that it lacks, in milliseconds; 0 if of none.
    #[must_use]
    pub fn behind_ms(&self, now: Millis) -> u64 {
        lock(&self.missing).as_ref().map_or(0, |missing| now.since(missing.since))
    }

    /// Tells the log once that the list has been behind for long.
    pub fn log_behind(&self, now: Millis) {
        let revision = self.revision().unwrap_or_default();
        if let Some(missing) = lock(&self.missing).as_mut()
            && !missing.is_logged
            && now.since(missing.since) >= BEHIND_LOG_THRESHOLD_MS
        {
            missing.is_logged = true;
            log::warn!(target: "watch", list:? = self.list, revision:%, missing:% = missing.revision,
                behind_ms = now.since(missing.since); "list behind");
        }
    }

    /// Changes behind the newest revision are not to be had from the store, or are longer than the
    /// list: it is read afresh.
    pub fn mark_incomplete(&self) {
        *lock(&self.incomplete_after) = self.revision();
    }

    /// The revision behind which changes are asked of the store; none if the whole list is.
    #[must_use]
    pub fn request_after(&self) -> Option<Revision> {
        self.revision().filter(|revision| *lock(&self.incomplete_after) != Some(*revision))
    }

    /// Whether this host holds on to something against the list.
    #[must_use]
    pub fn has_overrides(&self) -> bool {
        lock(&self.history).has_overrides()
    }

    /// What the list says in place of what was held on to for long enough; none if there is nothing.
    #[must_use]
    pub fn expire_overrides(&self, now: Millis) -> Option<Update> {
        lock(&self.history).expire_overrides(now)
    }

    /// What a host lacks that knows the list as of a revision; none before this one has read it.
    #[must_use]
    pub fn update_since(&self, revision: Revision, now: Millis) -> Option<Update> {
        lock(&self.history).update_since(revision, now)
    }

    /// News are to be taken from another host; false if that is under way.
    pub fn begin_fetch(&self) -> bool {
        !self.is_fetching.swap(true, Ordering::Relaxed)
    }

    /// Whether news are being taken from another host.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        self.is_fetching.load(Ordering::Relaxed)
    }

    /// News were taken, or were not to be had.
    pub fn end_fetch(&self) {
        self.is_fetching.store(false, Ordering::Relaxed);
    }

    /// The store sent all of the list, or a change of it, in so many bytes.
    pub fn record_bytes(&self, bytes: u64, is_whole: bool) {
        match is_whole {
            true => self.list_bytes.store(bytes, Ordering::Relaxed),
            false => drop(self.list_bytes.fetch_max(bytes, Ordering::Relaxed)),
        }
    }

    /// Whether changes of so many bytes are so long that the list is better read afresh.
    ///
    /// The store sends each change since a revision, also those that later ones replace: a host that
    /// was without the store while a long table changed several times would read all of them, one
    /// after the other, before the last one is in force.
    #[must_use]
    pub fn is_reread_shorter(&self, bytes: u64) -> bool {
        bytes as f64 > REREAD_FACTOR * self.list_bytes.load(Ordering::Relaxed) as f64
    }

    /// Whether an answer of so many bytes is so much longer than the list was that what is new in it
    /// can't be passed on in time. Several versions of a table in one answer are not.
    #[must_use]
    pub fn is_long_change(&self, bytes: u64) -> bool {
        let list_bytes = self.list_bytes.load(Ordering::Relaxed);
        bytes > LONG_CHANGE_FACTOR * list_bytes + exchange::MESSAGE_BYTES_MAX as u64
    }

    /// A long answer of the store has begun, or its call has ended.
    pub fn set_incoming(&self, is_incoming: bool) {
        self.is_incoming.store(is_incoming, Ordering::Relaxed);
    }

    /// Whether a long answer of the store is on its way to this host.
    #[must_use]
    pub fn is_incoming(&self) -> bool {
        self.is_incoming.load(Ordering::Relaxed)
    }

    /// Whether the list is to be taken from any other host: this one can't read it and has
    /// nothing.
    #[must_use]
    pub fn accepts_any_peer(&self) -> bool {
        self.revision().is_none() && self.relay().is_wanting()
    }

    /// This host has read the list.
    pub fn record_read(&self, now: Millis) {
        *lock(&self.read_at) = Some(now);
        self.relay().read(now);
    }

    /// What this host tells the others of what it reads.
    #[must_use]
    pub fn position(&self, now: Millis) -> Option<Position> {
        if !self.relay().tells(now) {
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

    /// The last news, if they are few. A whole table of routes is not sent: it is seldom small.
    fn recent_changes(&self, now: Millis) -> Option<Changes> {
        let after = *lock(&self.previous_revision);
        let update = self.update_since(after, now)?;
        let is_table = |entry: &Entry| matches!(entry.fact, Fact::Table(_));
        let is_short =
            update.entries.len() <= SENT_CHANGES_MAX && !update.entries.iter().any(is_table);
        (is_short && !update.is_whole && !update.entries.is_empty())
            .then_some(Changes { after, update })
    }

    /// News with the tables that their edits make; none if this host does not know what they are made
    /// of.
    #[must_use]
    pub fn resolve<'a>(&self, update: &'a Update) -> Option<Cow<'a, Update>> {
        lock(&self.history).resolve(update)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
