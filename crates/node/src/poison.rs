//! What all hosts know of requests that end the servers that run them, brought together.
//!
//! Hosts of a failure domain send each other what they know. Across domains it goes by the store:
//! each host that lost such a request writes a row of its own, and the delegate of a domain
//! reads all rows while servers end. A request that is held is tried again by one host of all; which
//! one a row of the store decides, changed only under its version.

use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::poison::{Ask, Guard};
use gateway::{Codec, State};
use policy::domain;
use policy::name::Name;
use policy::poison::book::Source;
use policy::poison::{Digest, Suspect, hold_ms, trial_ms};
use policy::time::Millis;
use tokio::sync::mpsc;
use wire::store::{Error, Outcome, Rows};

use crate::record;
use crate::store::Store;
use crate::watch::{Notice, Watch};

/// The table that the rows lie in.
pub const TABLE: &str = "poison";
/// What keys of hosts' rows begin with.
const SEEN: &str = "seen/";
/// What keys of trials begin with; a part of the digest follows.
const TRIAL: &str = "trial/";
/// The part that does: so many rows there are at most. Two requests that share a row wait for each
/// other.
const TRIAL_MASK: u64 = 0xfff;
/// Between two looks at what has to be sent.
const LOOK: Duration = Duration::from_millis(250);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);
/// The store's clock is asked for again after this time, in milliseconds: a host that stood still
/// has lost it.
const CLOCK_MS: u64 = 10_000;

domain! {
    /// What one host knows, with times of the store's clock.
    struct Seen {
        suspects: Vec<Suspect>,
    }

    /// A host tries a request; no other does so until then, by the store's clock.
    struct Trial {
        until_ms: u64,
    }
}

/// One moment on two clocks.
#[derive(Clone, Copy, Debug)]
struct Moment {
    here: Millis,
    store: Millis,
}

/// What brings it together.
pub struct Poison<S, C> {
    /// The host's name.
    pub host: Name,
    /// The store, and who is its delegate.
    pub watch: Arc<Watch<S, C>>,
}

impl<S: Store, C: Codec> Poison<S, C> {
    /// Runs until the process ends. A host that starts again may have forgotten what it knew.
    pub async fn run(self: Arc<Self>, mut trials: mpsc::Receiver<Ask>, is_first_start: bool) {
        if !is_first_start {
            self.guard().alarm();
        }
        let mut moment = None;
        loop {
            tokio::select! {
                () = self.guard().changed.notified() => {}
                () = tokio::time::sleep(LOOK), if self.guard().is_awake() => {}
                Some(ask) = trials.recv() => {
                    let this = Arc::clone(&self);
                    tokio::spawn(async move { this.answer(ask).await });
                    continue;
                }
            }
            if let Err(error) = self.step(&mut moment).await {
                log::warn!(target: "poison", error:% = error; "lost requests not shared, tried again");
                tokio::time::sleep(PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }

    fn guard(&self) -> &Guard {
        let state: &State<C> = &self.watch.state;
        &state.poison
    }

    async fn step(&self, moment: &mut Option<Moment>) -> Result<(), Error> {
        if self.guard().with(|book| book.has_unsent()) {
            self.watch.notify(Notice::Suspects);
        }
        if self.guard().polls(|polls| polls.is_due(clock::steady())) && self.watch.is_delegate() {
            self.read(moment).await?;
        }
        let Some(row) = self.guard().with(|book| book.for_store(clock::steady())) else {
            return Ok(());
        };
        let written = self.write(&row, moment).await;
        if written.is_err() {
            self.guard().with(|book| book.untaken(&row));
        }
        written
    }

    /// Reads what all hosts wrote.
    async fn read(&self, moment: &mut Option<Moment>) -> Result<(), Error> {
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, SEEN).await;
        let now = clock::steady();
        let learnt = rows.as_ref().map_or(0, |rows| self.learn(rows, now));
        self.guard().polls(|polls| polls.read(learnt > 0, now));
        let rows = rows?;
        *moment = Some(Moment { here: now, store: Millis(rows.now_ms) });
        if learnt > 0 {
            log::info!(target: "poison", rows = rows.rows.len(), learnt; "lost requests read");
            self.watch.notify(Notice::Suspects);
        }
        Ok(())
    }

    /// Takes rows in; how many requests something new was said of.
    fn learn(&self, rows: &Rows, now: Millis) -> usize {
        let seen = rows.rows.iter().filter_map(|row| {
            let seen = record::read::<Seen>(&row.value);
            let seen = seen.inspect_err(|error| {
                log::warn!(target: "poison", key:% = row.key, error:% = error; "row unreadable");
            });
            seen.ok()
        });
        let suspects = seen.flat_map(|seen| seen.suspects);
        let ours = suspects.map(|suspect| suspect.on_clock(Millis(rows.now_ms), now));
        let mut ours: Vec<Suspect> = ours.collect();
        // What speaks against a request comes before the answer that clears it.
        ours.sort_by_key(|suspect| suspect.crashes.is_empty());
        let learn = |suspect: &&Suspect| self.guard().learn(suspect, Source::Store);
        ours.iter().filter(learn).count()
    }

    async fn write(&self, row: &[Suspect], moment: &mut Option<Moment>) -> Result<(), Error> {
        let is_old = |moment: &Moment| clock::steady().since(moment.here) >= CLOCK_MS;
        if moment.as_ref().is_none_or(is_old) {
            self.read(moment).await?;
        }
        let Some(Moment { here, store }) = *moment else { return Ok(()) };
        let theirs = row.iter().map(|suspect| suspect.clone().on_clock(here, store));
        let value =
            record::write(&Seen { suspects: theirs.collect() }).map_err(Error::Malformed)?;
        let key = Name::from(format!("{SEEN}{}", self.host));
        self.watch.store.commit(&record::change(TABLE, key, None, value), None).await?;
        log::info!(target: "poison", requests = row.len(); "lost requests written");
        Ok(())
    }

    /// Without the store nobody can tell whether another host tries it. What is held stays held then;
    /// what is not would be turned away for the store's sake.
    async fn answer(&self, ask: Ask) {
        let granted = self.try_grant(ask.digest, ask.servers).await.unwrap_or_else(|error| {
            let granted = hold_ms(ask.servers) == 0;
            log::warn!(target: "poison", digest:% = ask.digest, servers = ask.servers, granted,
                error:% = error; "trial decided without the store");
            granted
        });
        // Who asked may have gone.
        let _ = ask.granted.send(granted);
    }

    /// Whether this host may try a request, which no other does then for as long as it is held.
    async fn try_grant(&self, digest: Digest, servers: u32) -> Result<bool, Error> {
        let key = Name::from(format!("{TRIAL}{:03x}", digest.0 & TRIAL_MASK));
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, &key).await?;
        let held = rows.rows.iter().find(|row| row.key == key);
        let last = held.and_then(|row| record::read::<Trial>(&row.value).ok());
        if last.is_some_and(|last| rows.now_ms < last.until_ms) {
            return Ok(false);
        }
        let trial = Trial { until_ms: rows.now_ms + trial_ms(servers) };
        let value = record::write(&trial).map_err(Error::Malformed)?;
        let expected = held.map_or(0, |row| row.version);
        let change = record::change(TABLE, key, Some(expected), value);
        let outcome = self.watch.store.commit(&change, None).await?;
        Ok(matches!(outcome, Outcome::Committed(_)))
    }
}
