//! Carries out orders to change a version, together with all other hosts.
//!
//! No host leads. The share of requests that goes to the new version follows from the store's
//! clock, so all hosts know it; what they must agree on is one row, changed only under its
//! version. Any host that sees enough makes the change, and a host that is lost in the middle is
//! not missed.
//!
//! Calls of the store are few: of a failure domain's hosts the one that reads the operators' list
//! for the others is their delegate here as well. The others tell it what they counted and hear from
//! it how the roll-out stands. A host that stands alone, or hears nothing, asks the store itself.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::clock;
use gateway::{Codec, State};
use policy::canary::{self, Evidence, Stage, Verdict};
use policy::name::Name;
use policy::revision::Revision;
use policy::time::Millis;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;
use wire::routing::Progress;
use wire::store::{Error, Outcome, Rows};

use crate::catalog::TrackedRollout;
use crate::counts::{self, CountsByHost};
use crate::record::{self, CountsRow, Record, RolloutState};
use crate::store::{List, Report, Store};
use crate::watch::{CLOCK_DRIFT_MAX_MS, Watch};

/// Between two looks at what all hosts counted. A bad version gets requests for as long.
const DECISION_INTERVAL: Duration = Duration::from_millis(900);
/// Between two looks at this host's own counts.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Between two tellings of this host's counts to the delegate of the domain.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The same when it has counted nothing since: a message may be lost, and the delegate may be another.
const REPEATED_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a host waits to hear of an order from the delegate of the domain, before it
/// reads for itself. That one needs a call or two.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a roll-out is carried out with.
pub struct Rollouts<S, C> {
    /// The host's name.
    pub host: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// The store, and what was read from it.
    pub watch: Arc<Watch<S, C>>,
}

/// One order as it is carried out.
struct Execution {
    service: Name,
    /// What this host's row of counts holds.
    written_counts: CountsByHost,
    /// How often the store had come back from a copy when that was written.
    written_era: u64,
    /// When all hosts' counts are looked at next.
    decide_at: Instant,
    /// When this host's counts are reported next.
    report_at: Instant,
    /// What was last reported to the delegate, and until when that is not sent again.
    last_report: (Vec<Evidence>, Instant),
}

impl<S: Store, C: Codec> Rollouts<S, C> {
    /// Carries out orders as they come; runs until the process ends. A new order for a service
    /// takes the place of the one under way.
    pub async fn run(self: Arc<Self>, mut orders: mpsc::UnboundedReceiver<Name>) {
        let mut running: HashMap<Name, AbortOnDropHandle<()>> = HashMap::new();
        let mut era = self.watch.era.subscribe();
        loop {
            tokio::select! {
                ordered = orders.recv() => {
                    let Some(service) = ordered else { return };
                    running.remove(&service);
                    self.state().tally.clear(&service);
                    let task = Arc::clone(&self).carry_out(service.clone());
                    running.insert(service, AbortOnDropHandle::new(tokio::spawn(task)));
                }
                Ok(()) = era.changed() => {
                    for service in self.watch.catalog.decided_services() {
                        let task = Arc::clone(&self).restore(service.clone());
                        running.insert(service, AbortOnDropHandle::new(tokio::spawn(task)));
                    }
                }
            }
        }
    }

    /// Sees to it that the store says again how a roll-out was decided, after it has come back from a copy: hosts
    /// that start then would try a bad version anew, or send to servers that were stopped on a success.
    async fn restore(self: Arc<Self>, service: Name) {
        let mut listed = None;
        while let Some(rollout) = self.find_unrestored(&service) {
            if self.is_order_listed_again(&rollout) {
                let since = *listed.get_or_insert_with(Instant::now);
                if self.watch.is_delegate() || since.elapsed() >= DELEGATE_TIMEOUT {
                    self.try_restore(&service, &rollout).await;
                }
            }
            tokio::time::sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    /// A roll-out that was decided, of which the store may say something else since its return.
    fn find_unrestored(&self, service: &Name) -> Option<TrackedRollout> {
        let rollout = self.watch.catalog.rollout(service)?;
        let is_decided = rollout.record.as_ref().is_some_and(|record| record.stage.is_decided());
        (is_decided && rollout.row_version.era < self.era()).then_some(rollout)
    }

    fn is_order_listed_again(&self, rollout: &TrackedRollout) -> bool {
        rollout.revision.era >= self.era()
    }

    /// How often the store has come back from a copy.
    fn era(&self) -> u64 {
        self.watch.era.borrow().map_or(0, |era| era.number)
    }

    async fn try_restore(&self, service: &Name, rollout: &TrackedRollout) {
        let restored = match self.read_rows(service).await {
            Ok(rows) => self.restore_record(&rows, service, rollout).await,
            Err(error) => Err(error),
        };
        if let Err(error) = restored {
            log::warn!(target: "rollout", service:% = service, error:% = error;
                "how the roll-out was decided not written again, tried again");
        }
    }

    /// Writes again how a roll-out stands if the store has lost that. What the store says of a later order stays.
    async fn restore_record(
        &self,
        rows: &Rows,
        service: &Name,
        rollout: &TrackedRollout,
    ) -> Result<(), Error> {
        let Some(own_record) = &rollout.record else { return Ok(()) };
        let stored = find_record(rows, service);
        let is_lost = rows.revision.era > rollout.row_version.era;
        let expected = match stored {
            Some((record, version))
                if belongs_to(&record, rollout) && !record.is_behind(own_record) =>
            {
                self.adopt(service, record, version, rows.now_ms);
                return Ok(());
            }
            Some((record, _))
                if !belongs_to(&record, rollout) && record.order > rollout.order_id() =>
            {
                return Ok(());
            }
            // The row names the order by when it was written, so that has to be written again first.
            _ if !is_lost || !self.is_order_listed_again(rollout) => return Ok(()),
            stored => stored.map_or(Revision::NONE, |(_, version)| version),
        };
        let record = Record { order: rollout.order_id(), ..own_record.clone() };
        let progress = progress(record.stage);
        log::info!(target: "rollout", service:% = service, version:% = record.target,
            stage:? = record.stage, era = rows.revision.era; "lost row written again");
        if let Some(version) =
            self.write_record(service, rollout, &record, expected, progress).await?
        {
            self.adopt(service, record, version, rows.now_ms);
        }
        Ok(())
    }

    /// All rows of a service.
    async fn read_rows(&self, service: &Name) -> Result<Rows, Error> {
        let prefix = record::prefix(service);
        let rows = self.watch.store.rows(record::NO_GROUP, record::TABLE, &prefix).await?;
        self.watch.record_era(rows.revision.era);
        Ok(rows)
    }

    fn state(&self) -> &State<C> {
        &self.watch.state
    }

    async fn carry_out(self: Arc<Self>, service: Name) {
        let now = Instant::now();
        let mut execution = Execution {
            service,
            written_counts: CountsByHost::new(),
            written_era: 0,
            decide_at: now,
            report_at: now,
            last_report: (Vec::new(), now),
        };
        self.ensure_record(&execution.service).await;
        loop {
            let Some(rollout) = self.watch.catalog.rollout(&execution.service) else { return };
            let Some(record) = &rollout.record else { return };
            if record.stage.is_decided() {
                return;
            }
            let elapsed = elapsed(&rollout, clock::steady());
            if canary::is_watched(record.stage, elapsed) {
                self.halt_if_bad(&execution.service, &rollout);
                self.advance(&mut execution, &rollout, canary::is_due(record.stage, elapsed)).await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Looks at all hosts' counts if it is time to, or tells this host's.
    async fn advance(&self, execution: &mut Execution, rollout: &TrackedRollout, is_due: bool) {
        let now = Instant::now();
        if !self.watch.is_delegate() {
            if now >= execution.report_at {
                execution.report_at = now + REPORT_INTERVAL;
                self.report_counts(execution, now);
            }
            return;
        }
        // What the domain's own hosts counted may be enough.
        let is_bad =
            canary::verdict(&counts::sum(&self.domain_counts(execution, rollout))) == Verdict::Bad;
        if is_due || is_bad || now >= execution.decide_at {
            if let Err(error) = self.decide(execution, rollout).await {
                log::warn!(target: "rollout", service:% = execution.service, error:% = error;
                    "roll-out undecided, tried again");
            }
            let jitter = 0.9 + rand::random::<f64>() / 5.0;
            execution.decide_at = Instant::now() + DECISION_INTERVAL.mul_f64(jitter);
        }
    }

    /// Tells the delegate what this host counted, if that is new: of hundreds of hosts most have counted
    /// nothing since they last reported it.
    fn report_counts(&self, execution: &mut Execution, now: Instant) {
        let own = self.state().tally.of(&execution.service);
        let (reported, until) = &execution.last_report;
        if *reported != own || now >= *until {
            execution.last_report = (own, now + REPEATED_REPORT_INTERVAL);
            self.watch.notify_counts();
        }
    }

    /// What this host counted, and what the others of its domain reported.
    fn domain_counts(&self, execution: &Execution, rollout: &TrackedRollout) -> CountsByHost {
        let mut hosts = self.watch.counts.for_order(&execution.service, rollout.order_id());
        hosts.insert(self.host.clone(), self.state().tally.of(&execution.service));
        hosts
    }

    /// Stops at once what this host's own answers speak against, before the others know.
    fn halt_if_bad(&self, service: &Name, rollout: &TrackedRollout) {
        let own = self.state().tally.of(service);
        let is_bad = canary::verdict(&own) == Verdict::Bad;
        if is_bad && !rollout.is_halted.swap(true, Ordering::Relaxed) {
            log::warn!(target: "rollout", service:% = service, version:% = rollout.order.target,
                evidence:? = own; "this host stops sending to a bad version");
        }
    }

    /// Reads the record of the order, or makes it, or hears of it.
    async fn ensure_record(&self, service: &Name) {
        let began = Instant::now();
        loop {
            let Some(rollout) = self.watch.catalog.rollout(service) else { return };
            if rollout.record.is_some() {
                return;
            }
            if !self.watch.is_delegate() && began.elapsed() < DELEGATE_TIMEOUT {
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            match self.try_create_record(service, &rollout).await {
                Ok(()) => {}
                Err(error) => {
                    log::warn!(target: "rollout", service:% = service, error:% = error;
                        "roll-out not begun, tried again");
                }
            }
            if self.watch.catalog.rollout(service).is_some_and(|rollout| rollout.record.is_none()) {
                tokio::time::sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }

    async fn try_create_record(
        &self,
        service: &Name,
        rollout: &TrackedRollout,
    ) -> Result<(), Error> {
        let rows = self.read_rows(service).await?;
        let stored = find_record(&rows, service);
        if let Some((record, version)) = stored.as_ref().filter(|(r, _)| belongs_to(r, rollout)) {
            self.adopt(service, record.clone(), *version, rows.now_ms);
            return Ok(());
        }
        let current = self.watch.catalog.base_version(service);
        let made = Record {
            order: rollout.order_id(),
            target: rollout.order.target.clone(),
            base: record::base_version(stored.as_ref().map(|(record, _)| record), &current),
            stage: Stage::Trial,
            began_ms: rows.now_ms.saturating_sub(clock::steady().since(rollout.started_at)),
        };
        let expected = stored.map_or(Revision::NONE, |(_, revision)| revision);
        let made_version =
            self.write_record(service, rollout, &made, expected, Progress::Running).await?;
        if let Some(version) = made_version {
            self.adopt(service, made, version, rows.now_ms);
        }
        Ok(())
    }

    async fn write_record(
        &self,
        service: &Name,
        rollout: &TrackedRollout,
        record: &Record,
        expected: Revision,
        progress: Progress,
    ) -> Result<Option<Revision>, Error> {
        let value = record::serialize(record).map_err(Error::Malformed)?;
        let change = record::put(record::TABLE, record::key(service), Some(expected), value);
        let report = Report { order: rollout.order.clone(), progress };
        match self.watch.store.commit(&change, Some(&report)).await? {
            Outcome::Committed(revision) => Ok(Some(revision)),
            Outcome::Conflict(_) => Ok(None),
        }
    }

    /// Takes over how the roll-out stands; `now_ms` is the store's clock.
    fn adopt(&self, service: &Name, record: Record, version: Revision, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(record.began_ms);
        self.watch.adopt_rollout(RolloutState {
            service: service.clone(),
            version,
            record,
            age_ms,
        });
        self.watch.notify_rollouts();
    }

    /// Writes what this host, or its domain, counted, reads what others did, and makes the step
    /// that follows.
    async fn decide(
        &self,
        execution: &mut Execution,
        rollout: &TrackedRollout,
    ) -> Result<(), Error> {
        let service = &execution.service;
        let rows = self.read_rows(service).await?;
        if execution.written_era != rows.revision.era {
            execution.written_era = rows.revision.era;
            execution.written_counts.clear();
        }
        let mut hosts = collect_counts(&rows, service, rollout.order_id());
        for (host, routes) in self.domain_counts(execution, rollout) {
            let stored = hosts.entry(host).or_default();
            routes.into_iter().for_each(|one| counts::merge(stored, one));
        }
        self.write_counts(execution, rollout).await;
        let service = &execution.service;
        let own_record = rollout.record.as_ref();
        let is_newest = |row: &Record| {
            belongs_to(row, rollout)
                && !own_record.is_some_and(|own_record| row.is_behind(own_record))
        };
        let Some((record, version)) =
            find_record(&rows, service).filter(|(record, _)| is_newest(record))
        else {
            return self.restore_record(&rows, service, rollout).await;
        };
        // Also when only the clocks have parted: a host that stood still for a while must not go
        // on as if no time had passed.
        let began = clock::steady() - rows.now_ms.saturating_sub(record.began_ms);
        let has_drifted = began.since(rollout.started_at).max(rollout.started_at.since(began))
            > CLOCK_DRIFT_MAX_MS;
        if has_drifted || rollout.record.as_ref() != Some(&record) {
            self.adopt(service, record.clone(), version, rows.now_ms);
        }
        let (elapsed, evidence) = (elapsed(rollout, clock::steady()), counts::sum(&hosts));
        let verdict = canary::verdict(&evidence);
        let Some(next) = canary::next(record.stage, elapsed, verdict) else { return Ok(()) };
        let progress = progress(next);
        log::info!(target: "rollout", service:% = service, version:% = record.target,
            stage:? = record.stage, next:? = next, verdict:? = verdict, elapsed,
            hosts = hosts.len(), evidence:? = evidence; "step decided");
        let changed = Record { stage: next, ..record };
        if let Some(made) = self.write_record(service, rollout, &changed, version, progress).await?
        {
            self.adopt(service, changed, made, rows.now_ms);
        }
        Ok(())
    }

    /// The others may not have these counts yet. That must not keep this host from what follows
    /// from theirs, so a failure is only logged; the row is written again next time.
    async fn write_counts(&self, execution: &mut Execution, rollout: &TrackedRollout) {
        let hosts = self.domain_counts(execution, rollout);
        if hosts == execution.written_counts {
            return;
        }
        let is_alone = self.watch.follower(List::Operators).relay().is_alone(clock::steady());
        let writer = if is_alone { &self.host } else { &self.failure_domain };
        let counted = CountsRow { order: rollout.order_id(), hosts };
        let value = match record::serialize(&counted) {
            Ok(value) => value,
            Err(why) => {
                log::error!(target: "rollout", why:% = why; "counts can't be written");
                return;
            }
        };
        let key = record::counts_key(&execution.service, writer);
        let change = record::put(record::TABLE, key, None, value);
        match self.watch.store.commit(&change, None).await {
            Ok(_) => execution.written_counts = counted.hosts,
            Err(error) => log::warn!(target: "rollout", service:% = execution.service,
                error:% = error; "counts not written"),
        }
    }
}

fn elapsed(rollout: &TrackedRollout, now: Millis) -> f64 {
    canary::elapsed(now.since(rollout.started_at), rollout.order.within_ms)
}

fn belongs_to(record: &Record, rollout: &TrackedRollout) -> bool {
    record.belongs_to(rollout.order_id(), &rollout.order.target)
}

/// What operators learn of a stage.
fn progress(stage: Stage) -> Progress {
    match stage {
        Stage::Done => Progress::Succeeded,
        Stage::Stopped => Progress::RolledBack,
        Stage::Trial | Stage::Moving => Progress::Running,
    }
}

fn find_record(rows: &Rows, service: &Name) -> Option<(Record, Revision)> {
    let key = record::key(service);
    let row = rows.rows.iter().find(|row| row.key == key)?;
    match record::parse(&row.value) {
        Ok(record) => Some((record, row.version)),
        Err(why) => {
            log::error!(target: "rollout", key:% = key, why:% = why; "record unreadable, made anew");
            Some((Record::default(), row.version))
        }
    }
}

/// All hosts' counts that the rows hold, each host's newest.
fn collect_counts(rows: &Rows, service: &Name, order_id: Revision) -> CountsByHost {
    let record_key = record::key(service);
    let mut hosts = CountsByHost::new();
    for row in rows.rows.iter().filter(|row| row.key != record_key) {
        let counted = match record::parse::<CountsRow>(&row.value) {
            Ok(counted) if record::is_same_order(counted.order, order_id) => counted,
            Ok(_) => continue,
            Err(why) => {
                log::error!(target: "rollout", key:% = row.key, why:% = why; "counts unreadable");
                continue;
            }
        };
        for (host, routes) in counted.hosts {
            let stored = hosts.entry(host).or_default();
            routes.into_iter().for_each(|one| counts::merge(stored, one));
        }
    }
    hosts
}
