//! Shares what hosts know of requests and parts of prompts that crash servers.
//!
//! Hosts of a failure domain send each other what they know. Between failure domains it goes
//! through the store: each host that lost such a request writes a row of its own, and the delegate
//! of each failure domain reads all rows while servers crash. A suspect request that is held gets a
//! trial by one host of the whole deployment at a time. Which one is decided by a row of the store
//! that is changed only under its revision.

use std::sync::Arc;
use std::time::Duration;

use entry::clock;
use gateway::poison::{Guard, TrialMessage, TrialRequest};
use gateway::{Codec, State};
use policy::domain;
use policy::name::Name;
use policy::poison::registry::Source;
use policy::poison::{Digest, Fingerprint, Suspect, TRIAL_MS, Verdict};
use policy::revision::Revision;
use policy::time::Millis;
use tokio::sync::mpsc;
use wire::store::{Error, Outcome, Rows};

use crate::record;
use crate::store::Store;
use crate::watch::{Notice, Watch};

/// The table of these rows.
pub const TABLE: &str = "poison";
/// Prefix of the keys of rows in which hosts write their suspects.
const SUSPECTS_PREFIX: &str = "seen/";
/// Prefix of the keys of rows that give a host the right to a trial; the masked digest follows.
const CLAIM_PREFIX: &str = "trial/";
/// Part of a digest that makes the key, which bounds the number of rows. Two suspects that share a
/// row wait for each other's trials.
const CLAIM_MASK: u64 = 0xfff;
/// Interval between two checks for suspects to be sent.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Mean delay after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// After this time the store's clock is read again, in milliseconds: the clock of a host that was
/// suspended may have stood still.
const CLOCKS_AGE_MAX_MS: u64 = 10_000;

domain! {
    /// Row with the suspects that one host knows, with times of the store's clock.
    struct SuspectsRow {
        suspects: Vec<Suspect>,
    }

    /// Row that gives one host the right to try a request, or one with a suspect part, with times
    /// of the store's clock.
    struct Claim {
        digest: Digest,
        /// Until then no other host may try the request.
        until_ms: u64,
        /// When a server answered the request; `None` if none has.
        answered_ms: Option<u64>,
    }
}

/// The same moment on this host's clock and on the store's.
#[derive(Clone, Copy, Debug)]
struct ClockPair {
    local: Millis,
    store: Millis,
}

/// Exchanges suspects with the store and decides on trials.
pub struct Poison<S, C> {
    /// Name of this host.
    pub host: Name,
    /// The store, the peers, and whether this host is the delegate of its failure domain.
    pub watch: Arc<Watch<S, C>>,
}

impl<S: Store, C: Codec> Poison<S, C> {
    /// Runs until the process ends. On any start but the first of the deployment the rows are read
    /// at once, because the host may have forgotten what it knew.
    pub async fn run(
        self: Arc<Self>,
        mut trials: mpsc::Receiver<TrialMessage>,
        is_first_start: bool,
    ) {
        if !is_first_start {
            self.guard().alarm();
        }
        let mut clocks = None;
        let mut era = self.watch.era.subscribe();
        loop {
            tokio::select! {
                () = self.guard().changed.notified() => {}
                Ok(()) = era.changed() => self.guard().with_book(|book| book.mark_own_unsent()),
                () = tokio::time::sleep(POLL_INTERVAL), if self.guard().is_awake() => {}
                Some(trial) = trials.recv() => {
                    let poison = Arc::clone(&self);
                    tokio::spawn(async move { poison.handle_trial(trial).await });
                    continue;
                }
            }
            if let Err(error) = self.synchronize(&mut clocks).await {
                log::warn!(target: "poison", error:% = error;
                    "suspect requests not exchanged with the store, retrying");
                tokio::time::sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }

    fn guard(&self) -> &Guard {
        let state: &State<C> = &self.watch.state;
        &state.poison
    }

    async fn synchronize(&self, clocks: &mut Option<ClockPair>) -> Result<(), Error> {
        if self.guard().with_book(|book| book.has_unsent()) {
            self.watch.notify(Notice::Suspects);
        }
        if self.guard().with_polls(|polls| polls.is_due(clock::steady()))
            && self.watch.is_delegate()
        {
            self.read(clocks).await?;
        }
        let Some(row) = self.guard().with_book(|book| book.take_store_row(clock::steady())) else {
            return Ok(());
        };
        let written = self.write(&row, clocks).await;
        if written.is_err() {
            self.guard().with_book(|book| book.mark_unsent(&row));
        }
        written
    }

    /// Reads the suspects of all hosts from the store.
    async fn read(&self, clocks: &mut Option<ClockPair>) -> Result<(), Error> {
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, SUSPECTS_PREFIX).await;
        let now = clock::steady();
        let learnt = rows.as_ref().map_or(0, |rows| self.accept_rows(rows, now));
        self.guard().with_polls(|polls| polls.record_read(learnt > 0, now));
        let rows = rows?;
        *clocks = Some(ClockPair { local: now, store: Millis(rows.now_ms) });
        if learnt > 0 {
            log::info!(target: "poison", rows = rows.rows.len(), learnt;
                "suspect requests read from the store");
            self.watch.notify(Notice::Suspects);
        }
        Ok(())
    }

    /// Learns the suspects of the rows. Returns how many of them brought something new.
    fn accept_rows(&self, rows: &Rows, now: Millis) -> usize {
        let parsed = rows.rows.iter().filter_map(|row| {
            let parsed = record::parse::<SuspectsRow>(&row.value);
            let parsed = parsed.inspect_err(|error| {
                log::warn!(target: "poison", key:% = row.key, error:% = error;
                    "row of suspect requests can't be parsed");
            });
            parsed.ok()
        });
        let suspects = parsed.flat_map(|parsed| parsed.suspects);
        let local = suspects.map(|suspect| suspect.on_clock(Millis(rows.now_ms), now));
        let mut local: Vec<Suspect> = local.collect();
        // Crashes are learnt before the answer that clears the request.
        local.sort_by_key(|suspect| suspect.crashes.is_empty());
        let learn = |suspect: &&Suspect| self.guard().learn(suspect, Source::Store);
        local.iter().filter(learn).count()
    }

    async fn write(&self, row: &[Suspect], clocks: &mut Option<ClockPair>) -> Result<(), Error> {
        let is_old = |clocks: &ClockPair| clock::steady().since(clocks.local) >= CLOCKS_AGE_MAX_MS;
        if clocks.as_ref().is_none_or(is_old) {
            self.read(clocks).await?;
        }
        let Some(ClockPair { local, store }) = *clocks else { return Ok(()) };
        let in_store_time = row.iter().map(|suspect| suspect.clone().on_clock(local, store));
        let value = record::serialize(&SuspectsRow { suspects: in_store_time.collect() })
            .map_err(Error::Malformed)?;
        let key = Name::from(format!("{SUSPECTS_PREFIX}{}", self.host));
        self.watch.store.commit(&record::put(TABLE, key, None, value), None).await?;
        log::info!(target: "poison", requests = row.len(); "suspect requests written to the store");
        Ok(())
    }

    async fn handle_trial(&self, trial: TrialMessage) {
        match trial {
            TrialMessage::Request(ask) => self.decide_trial(ask).await,
            TrialMessage::Answered(digest) => {
                let written = self.write_answered(digest).await;
                written.unwrap_or_else(|error| {
                    log::warn!(target: "poison", digest:% = digest, error:% = error;
                        "answered trial not written to the store, other hosts will make their own");
                });
            }
        }
    }

    /// Answers whether this host may try a suspect request. If the store can't be reached, nobody
    /// can tell whether another host tries it too. A request that is held stays held then; one that
    /// is not held is allowed, since it would be rejected only because the store is away.
    async fn decide_trial(&self, ask: TrialRequest) {
        let granted = self.try_grant(&ask).await.unwrap_or_else(|error| {
            let granted = ask.alone_ms <= TRIAL_MS;
            log::warn!(target: "poison", digest:% = ask.digest, servers = ask.servers, granted,
                error:% = error; "trial decided without the store");
            granted
        });
        // The request that asked may have been cancelled.
        let _ = ask.granted.send(granted);
    }

    /// Claims a trial in the store, so that no other host tries the request for a while. Also
    /// returns true if a server has answered another host's trial.
    async fn try_grant(&self, ask: &TrialRequest) -> Result<bool, Error> {
        let key = claim_key(ask.digest);
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, &key).await?;
        let now = clock::steady();
        self.watch.record_era(rows.revision.era);
        // A claim of another host may have been lost with the restore of the store from a copy. No
        // claim lasts longer than this.
        if self.watch.was_restored_within(ask.alone_ms, now) {
            return Ok(false);
        }
        let stored = rows.rows.iter().find(|row| row.key == key);
        let last_claim = stored.and_then(|row| record::parse::<Claim>(&row.value).ok());
        let same_digest = last_claim.as_ref().filter(|last_claim| last_claim.digest == ask.digest);
        if let Some(answered_ms) = same_digest.and_then(|last_claim| last_claim.answered_ms) {
            let answered = Suspect {
                answered_at: Some(Millis(answered_ms)),
                ..Suspect::new(ask.digest).with_kind(ask.kind)
            };
            self.guard().learn(&answered.on_clock(Millis(rows.now_ms), now), Source::Store);
            let fingerprint = Fingerprint::from_request(ask.digest);
            if self.guard().with_book(|book| book.judge(&fingerprint, now)).verdict == Verdict::Run
            {
                return Ok(true);
            }
        }
        if last_claim.is_some_and(|last_claim| rows.now_ms < last_claim.until_ms) {
            return Ok(false);
        }
        let until_ms = rows.now_ms + ask.alone_ms;
        let claim = Claim { digest: ask.digest, until_ms, answered_ms: None };
        let value = record::serialize(&claim).map_err(Error::Malformed)?;
        let expected = stored.map_or(Revision::NONE, |row| row.version);
        let change = record::put(TABLE, key, Some(expected), value);
        let outcome = self.watch.store.commit(&change, None).await?;
        Ok(matches!(outcome, Outcome::Committed(_)))
    }

    /// Writes that a server has answered the request. Otherwise the hosts of other failure domains
    /// would go on holding it: once no server crashes, nothing makes them read what others know.
    async fn write_answered(&self, digest: Digest) -> Result<(), Error> {
        let key = claim_key(digest);
        let rows = self.watch.store.rows(record::NO_GROUP, TABLE, &key).await?;
        let claim = Claim { digest, until_ms: 0, answered_ms: Some(rows.now_ms) };
        let value = record::serialize(&claim).map_err(Error::Malformed)?;
        self.watch.store.commit(&record::put(TABLE, key, None, value), None).await?;
        Ok(())
    }
}

fn claim_key(digest: Digest) -> Name {
    Name::from(format!("{CLAIM_PREFIX}{:03x}", digest.0 & CLAIM_MASK))
}
