//! Carries out orders to change a version, together with all other hosts.
//!
//! No host leads. The share of requests that goes to the new version follows from the store's
//! clock, so all hosts know it; what they must agree on is one row, changed only under its
//! revision. Any host that sees enough makes the change, and a host that is lost in the middle is
//! not missed.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::clock;
use gateway::{Codec, State};
use policy::canary::{self, Evidence, Stage, Verdict};
use policy::name::Name;
use policy::time::Millis;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use wire::routing::Progress;
use wire::store::{Error, Outcome, Rows};

use crate::facts::Known;
use crate::record::{self, Counted, Record};
use crate::store::{Report, Store};
use crate::watch::Watch;

/// Between two looks at the witnesses' counts. A bad version gets requests for as long.
const EVERY: Duration = Duration::from_millis(900);
/// Between two looks of a host that is no witness, at how the roll-out stands.
const EVERY_OTHER: Duration = Duration::from_millis(2_000);
/// The same as a part of the time allowed: all must know that requests move over before the old
/// version's servers are stopped.
const EVERY_OTHER_PART: f64 = 0.06;
/// Hosts that tell what they counted, the first to do so. A small fleet's hosts are all needed; of
/// a large one's these see as many answers, and the rest would only make calls.
const WITNESSES: usize = 8;
/// Between two looks at this host's own counts.
const LOOK: Duration = Duration::from_millis(150);
/// A host's clock and the store's may part by this much, in milliseconds, before it is set right.
const DRIFT_MS: u64 = 100;
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);

/// What a roll-out is carried out with.
pub struct Rollouts<S, C> {
    /// The host's name.
    pub host: Name,
    /// The store, and what was read from it.
    pub watch: Arc<Watch<S, C>>,
}

impl<S: Store, C: Codec> Rollouts<S, C> {
    /// Carries out orders as they come; runs until the process ends. A new order for a service
    /// takes the place of the one under way.
    pub async fn run(self: Arc<Self>, mut orders: mpsc::UnboundedReceiver<Name>) {
        let mut under_way: HashMap<Name, AbortOnDropHandle<()>> = HashMap::new();
        while let Some(service) = orders.recv().await {
            under_way.remove(&service);
            self.state().tally.clear(&service);
            let task = Arc::clone(&self).carry_out(service.clone());
            under_way.insert(service, AbortOnDropHandle::new(tokio::spawn(task)));
        }
    }

    fn state(&self) -> &State<C> {
        &self.watch.state
    }

    async fn carry_out(self: Arc<Self>, service: Name) {
        let Some(known) = self.watch.facts.rollout(&service) else { return };
        let mut revision = self.begin(&service, &known).await;
        let mut counted = Vec::new();
        let mut next = tokio::time::Instant::now();
        loop {
            let Some(known) = self.watch.facts.rollout(&service) else { return };
            let Some(record) = &known.record else { return };
            if matches!(record.stage, Stage::Done | Stage::Stopped) {
                return;
            }
            let elapsed = elapsed(&known, clock::steady());
            if !canary::is_watched(record.stage, elapsed) {
                tokio::time::sleep(LOOK).await;
                continue;
            }
            self.look(&service, &known);
            let due = canary::is_due(record.stage, elapsed);
            if due || tokio::time::Instant::now() >= next {
                let is_witness = self.decide(&service, &known, &mut revision, &mut counted).await;
                let every = if is_witness { EVERY } else { every_other(&known) };
                let jitter = 0.9 + rand::random::<f64>() / 5.0;
                next = tokio::time::Instant::now() + every.mul_f64(jitter);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Stops at once what this host's own answers speak against, before the others know.
    fn look(&self, service: &Name, known: &Known) {
        let own = self.state().tally.of(service);
        let is_bad = canary::verdict(&own) == Verdict::Bad;
        if is_bad && !known.halted.swap(true, Ordering::Relaxed) {
            log::warn!(target: "rollout", service:% = service, version:% = known.order.target,
                evidence:? = own; "this host stops sending to a bad version");
        }
    }

    /// Reads the record of the order, or makes it; its revision.
    async fn begin(&self, service: &Name, known: &Known) -> u64 {
        loop {
            match self.try_begin(service, known).await {
                Ok(Some(revision)) => return revision,
                Ok(None) => {}
                Err(error) => {
                    log::warn!(target: "rollout", service:% = service, error:% = error;
                        "roll-out not begun, tried again");
                }
            }
            tokio::time::sleep(PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    async fn try_begin(&self, service: &Name, known: &Known) -> Result<Option<u64>, Error> {
        let rows = self.watch.store.rows(record::TABLE, &record::prefix(service)).await?;
        let held = find_record(&rows, service);
        if let Some((record, revision)) = held.as_ref().filter(|(r, _)| is_of(r, known)) {
            self.adopt(service, record.clone(), rows.now_ms);
            return Ok(Some(*revision));
        }
        let seen = self.watch.facts.base(service);
        let made = Record {
            order: known.revision,
            target: known.order.target.clone(),
            base: record::base(held.as_ref().map(|(record, _)| record), &seen),
            stage: Stage::Trial,
            began_ms: rows.now_ms.saturating_sub(clock::steady().since(known.began)),
        };
        let expected = held.map_or(0, |(_, revision)| revision);
        let made_at = self.write(service, known, &made, expected, Progress::Running).await?;
        if made_at.is_some() {
            self.adopt(service, made, rows.now_ms);
        }
        Ok(made_at)
    }

    async fn write(
        &self,
        service: &Name,
        known: &Known,
        record: &Record,
        expected: u64,
        progress: Progress,
    ) -> Result<Option<u64>, Error> {
        let value = record::write(record).map_err(Error::Malformed)?;
        let change = record::change(record::TABLE, record::key(service), Some(expected), value);
        let report = Report { order: known.order.clone(), progress };
        match self.watch.store.commit(&change, Some(&report)).await? {
            Outcome::Committed(revision) => Ok(Some(revision)),
            Outcome::Conflict(_) => Ok(None),
        }
    }

    /// Takes over how the roll-out stands; `now_ms` is the store's clock.
    fn adopt(&self, service: &Name, record: Record, now_ms: u64) {
        let began = clock::steady() - now_ms.saturating_sub(record.began_ms);
        log::info!(target: "rollout", service:% = service, version:% = record.target,
            base:% = record.base, stage:? = record.stage, since_ms = now_ms.saturating_sub(record.began_ms);
            "roll-out stands");
        self.watch.facts.set_record(service, record, began);
        self.watch.publish();
    }

    /// Tells the other hosts what this one counted, reads what they did, and makes the step that
    /// follows. True if this host is one of the witnesses, or may be.
    async fn decide(
        &self,
        service: &Name,
        known: &Known,
        revision: &mut u64,
        counted: &mut Vec<Evidence>,
    ) -> bool {
        match self.try_decide(service, known, revision, counted).await {
            Ok(is_witness) => is_witness,
            Err(error) => {
                log::warn!(target: "rollout", service:% = service, error:% = error;
                    "roll-out undecided, tried again");
                true
            }
        }
    }

    async fn try_decide(
        &self,
        service: &Name,
        known: &Known,
        revision: &mut u64,
        counted: &mut Vec<Evidence>,
    ) -> Result<bool, Error> {
        let own = self.state().tally.of(service);
        let rows = self.watch.store.rows(record::TABLE, &record::prefix(service)).await?;
        let is_witness = is_witness(&rows, service, &self.host, known.revision);
        if is_witness && own != *counted {
            match self.tell(service, known, &own).await {
                Ok(()) => counted.clone_from(&own),
                // The others may not have these counts yet. That must not keep this host from
                // what follows from theirs; the row is written again next time.
                Err(error) => log::warn!(target: "rollout", service:% = service, error:% = error;
                    "own counts not told"),
            }
        }
        let Some((record, at)) = find_record(&rows, service).filter(|(r, _)| is_of(r, known))
        else {
            return Ok(is_witness);
        };
        let stage = record.stage;
        *revision = at;
        // Also when only the clocks have parted: a host that stood still for a while must not go
        // on as if no time had passed.
        let began = clock::steady() - rows.now_ms.saturating_sub(record.began_ms);
        let parted = began.since(known.began).max(known.began.since(began)) > DRIFT_MS;
        if parted || known.record.as_ref() != Some(&record) {
            self.adopt(service, record.clone(), rows.now_ms);
        }
        let elapsed = elapsed(known, clock::steady());
        let evidence = gather(&rows, service, &self.host, known.revision, own);
        let verdict = canary::verdict(&evidence);
        let Some(next) = canary::next(stage, elapsed, verdict) else { return Ok(is_witness) };
        let progress = match next {
            Stage::Done => Progress::Succeeded,
            Stage::Stopped => Progress::RolledBack,
            Stage::Trial | Stage::Moving => Progress::Running,
        };
        log::info!(target: "rollout", service:% = service, version:% = record.target,
            stage:? = stage, next:? = next, verdict:? = verdict, elapsed, evidence:? = evidence;
            "step decided");
        let changed = Record { stage: next, ..record };
        if let Some(at) = self.write(service, known, &changed, *revision, progress).await? {
            *revision = at;
            self.adopt(service, changed, rows.now_ms);
        }
        Ok(is_witness)
    }

    async fn tell(&self, service: &Name, known: &Known, own: &[Evidence]) -> Result<(), Error> {
        let counted = Counted { order: known.revision, routes: own.to_vec() };
        let value = record::write(&counted).map_err(Error::Malformed)?;
        let key = record::counted_key(service, &self.host);
        let change = record::change(record::TABLE, key, None, value);
        self.watch.store.commit(&change, None).await.map(drop)
    }
}

fn elapsed(known: &Known, now: Millis) -> f64 {
    now.since(known.began) as f64 / known.order.within_ms.max(1) as f64
}

fn is_of(record: &Record, known: &Known) -> bool {
    record.order == known.revision && record.target == known.order.target
}

fn find_record(rows: &Rows, service: &Name) -> Option<(Record, u64)> {
    let key = record::key(service);
    let row = rows.rows.iter().find(|row| row.key == key)?;
    match record::read(&row.value) {
        Ok(record) => Some((record, row.version)),
        Err(why) => {
            log::error!(target: "rollout", key:% = key, why:% = why; "record unreadable, made anew");
            Some((Record::default(), row.version))
        }
    }
}

fn every_other(known: &Known) -> Duration {
    let part = Duration::from_millis(known.order.within_ms).mul_f64(EVERY_OTHER_PART);
    EVERY_OTHER.min(part).max(EVERY)
}

/// Whether a host is among the first that told, or there are too few yet.
fn is_witness(rows: &Rows, service: &Name, host: &Name, order: u64) -> bool {
    let own_key = record::counted_key(service, host);
    let record_key = record::key(service);
    let told = rows.rows.iter().filter(|row| row.key != record_key);
    let told =
        told.filter(|row| record::read::<Counted>(&row.value).is_ok_and(|c| c.order == order));
    let keys: Vec<&Name> = told.map(|row| &row.key).collect();
    keys.len() < WITNESSES || keys.contains(&&own_key)
}

/// All hosts' counts, this one's as they are now.
fn gather(
    rows: &Rows,
    service: &Name,
    host: &Name,
    order: u64,
    own: Vec<Evidence>,
) -> Vec<Evidence> {
    let own_key = record::counted_key(service, host);
    let record_key = record::key(service);
    let others = rows.rows.iter().filter(|row| row.key != own_key && row.key != record_key);
    let others = others.filter_map(|row| match record::read::<Counted>(&row.value) {
        Ok(counted) => (counted.order == order).then_some(counted.routes),
        Err(why) => {
            log::error!(target: "rollout", key:% = row.key, why:% = why; "counts unreadable");
            None
        }
    });
    let mut sum: Vec<Evidence> = own;
    for one in others.flatten() {
        match sum.iter_mut().find(|held| held.route == one.route) {
            Some(held) => {
                held.old.add(one.old);
                held.new.add(one.new);
            }
            None => sum.push(one),
        }
    }
    sum
}
