//! What all hosts know of requests and parts of prompts that end servers, brought together.
//!
//! Hosts of a failure domain send each other what they know. Across domains it goes by the store:
//! each host that lost such a request writes a row of its own, and the delegate of a domain
//! reads all rows while servers end. A request that is held is tried again by one host of all; which
//! one a row of the store decides, changed only under its version.

use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::poison::{Guard, TrialMessage, TrialRequest};
use gateway::{Codec, State};
use policy::domain;
use policy::name::Name;
use policy::poison::book::Source;
use policy::poison::{Digest, Fingerprint, Suspect, TRIAL_MS, Verdict};
use policy::revision::Revision;
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
const CLAIM: &str = "trial/";
/// The part that does: so many rows there are at most. Two requests that share a row wait for each
/// other.
const CLAIM_MASK: u64 = 0xfff;
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

    /// A host tries a request, or one with a part; by the store's clock.
    struct Claim {
        digest: Digest,
        /// No other host does so until then.
        until_ms: u64,
        /// When a server answered it.
        answered_ms: Option<u64>,
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
    pub async fn run(
        self: Arc<Self>,
        mut trials: mpsc::Receiver<TrialMessage>,
        is_first_start: bool,
    ) {
        if !is_first_start {
            self.guard().alarm();
        }
        let mut moment = None;
        let mut era = self.watch.era.subscribe();
        loop {
            tokio::select! {
                () = self.guard().changed.notified() => {}
                Ok(()) = era.changed() => self.guard().with_book(|book| book.rewrite()),
                () = tokio::time::sleep(LOOK), if self.guard().is_awake() => {}
                Some(trial) = trials.recv() => {
                    let this = Arc::clone(&self);
                    tokio::spawn(async move { this.attend(trial).await });
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
        if self.guard().with_book(|book| book.has_unsent()) {
            self.watch.notify(Notice::Suspects);
        }
        if self.guard().with_polls(|polls| polls.is_due(clock::steady()))
            && self.watch.is_delegate()
        {
            self.read(moment).await?;
        }
        let Some(row) = self.guard().with_book(|book| book.for_store(clock::steady())) else {
            return Ok(());
        };
        let written = self.write(&row, moment).await;
        if written.is_err() {
            self.guard().with_book(|book| book.untaken(&row));
        }
        written
    }

    /// Reads what all hosts wrote.
    async fn read(&self, moment: &mut Option<Moment>) -> Result<(), Error> {
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, SEEN).await;
        let now = clock::steady();
        let learnt = rows.as_ref().map_or(0, |rows| self.learn(rows, now));
        self.guard().with_polls(|polls| polls.read(learnt > 0, now));
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

    async fn attend(&self, trial: TrialMessage) {
        match trial {
            TrialMessage::Request(ask) => self.answer(ask).await,
            TrialMessage::Answered(digest) => {
                let written = self.write_answered(digest).await;
                written.unwrap_or_else(|error| {
                    log::warn!(target: "poison", digest:% = digest, error:% = error;
                        "answer of a trial not written, others try for themselves");
                });
            }
        }
    }

    /// Without the store nobody can tell whether another host tries it. What is held stays held then;
    /// what is not would be turned away for the store's sake.
    async fn answer(&self, ask: TrialRequest) {
        let granted = self.try_grant(&ask).await.unwrap_or_else(|error| {
            let granted = ask.alone_ms <= TRIAL_MS;
            log::warn!(target: "poison", digest:% = ask.digest, servers = ask.servers, granted,
                error:% = error; "trial decided without the store");
            granted
        });
        // Who asked may have gone.
        let _ = ask.granted.send(granted);
    }

    /// Whether this host may try a request, which no other does then for a while. It may if a server has
    /// answered the try of another.
    async fn try_grant(&self, ask: &TrialRequest) -> Result<bool, Error> {
        let key = claim_key(ask.digest);
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, &key).await?;
        let now = clock::steady();
        self.watch.note_era(rows.revision.era);
        // Leave that another host was given may be lost with the store's return from a copy. It lasts no longer than this.
        if self.watch.is_back_within(ask.alone_ms, now) {
            return Ok(false);
        }
        let held = rows.rows.iter().find(|row| row.key == key);
        let last = held.and_then(|row| record::read::<Claim>(&row.value).ok());
        let answered = last.as_ref().filter(|last| last.digest == ask.digest);
        if let Some(answered_ms) = answered.and_then(|last| last.answered_ms) {
            let answered = Suspect {
                answered_at: Some(Millis(answered_ms)),
                ..Suspect::new(ask.digest).with_kind(ask.kind)
            };
            self.guard().learn(&answered.on_clock(Millis(rows.now_ms), now), Source::Store);
            let fingerprint = Fingerprint::of_request(ask.digest);
            if self.guard().with_book(|book| book.judge(&fingerprint, now)).verdict == Verdict::Run
            {
                return Ok(true);
            }
        }
        if last.is_some_and(|last| rows.now_ms < last.until_ms) {
            return Ok(false);
        }
        let until_ms = rows.now_ms + ask.alone_ms;
        let claim = Claim { digest: ask.digest, until_ms, answered_ms: None };
        let value = record::write(&claim).map_err(Error::Malformed)?;
        let expected = held.map_or(Revision::NONE, |row| row.version);
        let change = record::change(TABLE, key, Some(expected), value);
        let outcome = self.watch.store.commit(&change, None).await?;
        Ok(matches!(outcome, Outcome::Committed(_)))
    }

    /// The hosts of other failure domains would go on holding what was answered here: nothing makes
    /// them read what others know once no server ends.
    async fn write_answered(&self, digest: Digest) -> Result<(), Error> {
        let key = claim_key(digest);
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, &key).await?;
        let claim = Claim { digest, until_ms: 0, answered_ms: Some(rows.now_ms) };
        let value = record::write(&claim).map_err(Error::Malformed)?;
        self.watch.store.commit(&record::change(TABLE, key, None, value), None).await?;
        Ok(())
    }
}

fn claim_key(digest: Digest) -> Name {
    Name::from(format!("{CLAIM}{:03x}", digest.0 & CLAIM_MASK))
}
