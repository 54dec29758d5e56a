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
use crate::store::{Entry, Fact, List, News};

/// Changes sent with a position at most; more are had by a call.
const TOLD_MAX: usize = 4;
/// Changes this many times as long as the list are not read. Two changes of one long entry are, and
/// an entry that has grown by half is not.
const AFRESH_FACTOR: f64 = 1.6;
/// A change this many times as long as the list, and a message more, is read by each host.
const LONG_FACTOR: u64 = 4;
/// A list that has been behind for this long is logged, in milliseconds. Most changes
/// are taken over in a few.
const BEHIND_LOGGED_MS: u64 = 1_000;

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
        pub news: News,
    }
}

/// A list that is followed.
pub struct Follow {
    /// Which.
    pub list: List,
    history: Mutex<History>,
    relay: Mutex<Relay>,
    read_at: Mutex<Option<Millis>>,
    /// The revision before the last news.
    before: Mutex<Revision>,
    wake: Notify,
    /// News are being taken from another host; one call at a time is enough.
    taking: AtomicBool,
    /// Changes behind this revision are not asked of the store any more.
    forgotten: Mutex<Option<Revision>>,
    /// A long answer of the store is on its way to this host.
    incoming: AtomicBool,
    /// Length of the list as the store last sent all of it, in bytes, or of a longer change since.
    bytes: AtomicU64,
    /// What this host has heard of and has not taken in.
    missing: Mutex<Option<Missing>>,
}

/// A change that this host knows of and lacks.
#[derive(Clone, Debug)]
struct Missing {
    revision: Revision,
    /// Who announced it last.
    from: Name,
    since: Millis,
    /// The log says so.
    is_logged: bool,
}

/// How long entries that a copy lacks are kept, in milliseconds. Servers list themselves again within about two
/// seconds, and are gone if they do not; operators say nothing of when they do.
fn missing_ms(list: List) -> u64 {
    match list {
        List::Operators => recovery::REWRITE_TIMEOUT_MS,
        List::Backends => roster::LAPSE_GRACE_MS,
    }
}

impl Follow {
    /// Nothing read yet.
    #[must_use]
    pub fn new(list: List, relay: Relay) -> Self {
        Self {
            list,
            history: Mutex::new(History::new(missing_ms(list))),
            relay: Mutex::new(relay),
            read_at: Mutex::default(),
            before: Mutex::default(),
            wake: Notify::new(),
            taking: AtomicBool::new(false),
            forgotten: Mutex::default(),
            incoming: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
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
    pub fn changed(&self) -> Revision {
        lock(&self.history).changed()
    }

    /// News as they are to be taken, with what this host holds on to after the store's return from a copy.
    #[must_use]
    pub fn reconcile<'a>(&self, news: &'a News, now: Millis) -> Cow<'a, News> {
        let Reconciled { news, missing, doubted } = lock(&self.history).reconcile(news, now);
        if missing + doubted > 0 {
            log::info!(target: "watch", list:? = self.list, revision:% = news.revision, missing,
                doubted; "what the store may have lost is kept");
        }
        news
    }

    /// News were taken in.
    pub fn taken(&self, news: &News, now: Millis) {
        let mut history = lock(&self.history);
        if !news.entries.is_empty() {
            *lock(&self.before) = history.revision().unwrap_or_default();
        }
        history.take(news);
        if news.is_whole {
            *lock(&self.forgotten) = None;
        }
        let mut missing = lock(&self.missing);
        if let Some(had) = missing.take_if(|missing| missing.revision <= news.revision)
            && had.is_logged
        {
            log::info!(target: "watch", list:? = self.list, revision:% = news.revision,
                behind_ms = now.since(had.since); "list caught up");
        }
    }

    /// Another host has read a change that this one lacks.
    pub fn note_missing(&self, revision: Revision, from: &Name, now: Millis) {
        let mut missing = lock(&self.missing);
        let new = Missing { revision, from: from.clone(), since: now, is_logged: false };
        missing.get_or_insert(new).from = from.clone();
    }

    /// A host that has a change which this one lacks, if there is one.
    #[must_use]
    pub fn missing_source(&self) -> Option<Name> {
        lock(&self.missing).as_ref().map(|missing| missing.from.clone())
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
            && now.since(missing.since) >= BEHIND_LOGGED_MS
        {
            missing.is_logged = true;
            log::warn!(target: "watch", list:? = self.list, revision:%, missing:% = missing.revision,
                behind_ms = now.since(missing.since); "list behind");
        }
    }

    /// Changes behind the newest revision are not to be had from the store, or are longer than the
    /// list: it is read afresh.
    pub fn forgotten(&self) {
        *lock(&self.forgotten) = self.revision();
    }

    /// The revision behind which changes are asked of the store; none if the whole list is.
    #[must_use]
    pub fn asked_after(&self) -> Option<Revision> {
        self.revision().filter(|revision| *lock(&self.forgotten) != Some(*revision))
    }

    /// Whether this host holds on to something against the list.
    #[must_use]
    pub fn is_doubting(&self) -> bool {
        lock(&self.history).is_doubting()
    }

    /// What the list says in place of what was held on to for long enough; none if there is nothing.
    #[must_use]
    pub fn settle(&self, now: Millis) -> Option<News> {
        lock(&self.history).settle(now)
    }

    /// What a host lacks that knows the list as of a revision; none before this one has read it.
    #[must_use]
    pub fn behind(&self, revision: Revision, now: Millis) -> Option<News> {
        lock(&self.history).behind(revision, now)
    }

    /// News are to be taken from another host; false if that is under way.
    pub fn begin_taking(&self) -> bool {
        !self.taking.swap(true, Ordering::Relaxed)
    }

    /// Whether news are being taken from another host.
    #[must_use]
    pub fn is_taking(&self) -> bool {
        self.taking.load(Ordering::Relaxed)
    }

    /// News were taken, or were not to be had.
    pub fn end_taking(&self) {
        self.taking.store(false, Ordering::Relaxed);
    }

    /// The store sent all of the list, or a change of it, in so many bytes.
    pub fn note_bytes(&self, bytes: u64, is_whole: bool) {
        match is_whole {
            true => self.bytes.store(bytes, Ordering::Relaxed),
            false => drop(self.bytes.fetch_max(bytes, Ordering::Relaxed)),
        }
    }

    /// Whether changes of so many bytes are so long that the list is better read afresh.
    ///
    /// The store sends each change since a revision, also those that later ones replace: a host that
    /// was without the store while a long table changed several times would read all of them, one
    /// after the other, before the last one is in force.
    #[must_use]
    pub fn is_shorter_afresh(&self, bytes: u64) -> bool {
        bytes as f64 > AFRESH_FACTOR * self.bytes.load(Ordering::Relaxed) as f64
    }

    /// Whether an answer of so many bytes is so much longer than the list was that what is new in it
    /// can't be passed on in time. Several versions of a table in one answer are not.
    #[must_use]
    pub fn is_long_change(&self, bytes: u64) -> bool {
        let usual = self.bytes.load(Ordering::Relaxed);
        bytes > LONG_FACTOR * usual + exchange::MESSAGE_BYTES_MAX as u64
    }

    /// A long answer of the store has begun, or its call has ended.
    pub fn set_incoming(&self, incoming: bool) {
        self.incoming.store(incoming, Ordering::Relaxed);
    }

    /// Whether a long answer of the store is on its way to this host.
    #[must_use]
    pub fn is_incoming(&self) -> bool {
        self.incoming.load(Ordering::Relaxed)
    }

    /// Whether the list is to be taken from any other host: this one can't read it and has
    /// nothing.
    #[must_use]
    pub fn is_wanting(&self) -> bool {
        self.revision().is_none() && self.relay().needs_list_from_peer()
    }

    /// This host has read the list.
    pub fn read(&self, now: Millis) {
        *lock(&self.read_at) = Some(now);
        self.relay().record_read(now);
    }

    /// What this host tells the others of what it reads.
    #[must_use]
    pub fn position(&self, now: Millis) -> Option<Position> {
        if !self.relay().announces_reads(now) {
            return None;
        }
        let read_at = (*lock(&self.read_at))?;
        let revision = self.revision()?;
        let changed = lock(&self.history).changed();
        let age_ms = now.since(read_at);
        let changes = self.changes(now);
        let bytes = self.bytes.load(Ordering::Relaxed);
        Some(Position { list: self.list, revision, changed, age_ms, bytes, changes })
    }

    /// The last news, if they are few. A whole table of routes is not sent: it is seldom small.
    fn changes(&self, now: Millis) -> Option<Changes> {
        let after = *lock(&self.before);
        let news = self.behind(after, now)?;
        let is_table = |entry: &Entry| matches!(entry.fact, Fact::Table(_));
        let is_little = news.entries.len() <= TOLD_MAX && !news.entries.iter().any(is_table);
        (is_little && !news.is_whole && !news.entries.is_empty()).then_some(Changes { after, news })
    }

    /// News with the tables that their edits make; none if this host does not know what they are made
    /// of.
    #[must_use]
    pub fn resolve<'a>(&self, news: &'a News) -> Option<Cow<'a, News>> {
        lock(&self.history).resolve(news)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
