//! Carries out orders to change a service's version, together with all other hosts.
//!
//! There is no leader. The share of requests that goes to the new version follows from the store's
//! clock, so every host can compute it. The hosts need to agree only on one row, which is changed
//! only under its revision. Any host that has seen enough evidence makes the change, so a host that
//! is lost half-way is not missed.
//!
//! Calls of the store are kept few. Of the hosts of a failure domain, the one that reads the
//! operators' list for its peers is also their delegate for roll-outs. Its peers send it their
//! counts and hear from it about the state of the roll-out. A host that reads for itself alone, or
//! hears nothing, asks the store itself.

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

/// Mean interval at which the counts of all hosts are evaluated. A bad version gets requests for as
/// long.
const DECISION_INTERVAL: Duration = Duration::from_millis(900);
/// Interval at which this host's own counts are evaluated.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest interval of reports of this host's counts to the delegate.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of reports when nothing new was counted: a report may have been lost, and the delegate
/// may have changed.
const REPEATED_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Mean delay after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a host waits to hear of a roll-out from the delegate before it asks the store itself.
/// The delegate needs one or two calls.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Carries out the roll-outs of all services.
pub struct Rollouts<S, C> {
    /// Name of this host.
    pub host: Name,
    /// Failure domain of this host.
    pub failure_domain: Name,
    /// The store, and what was read from it.
    pub watch: Arc<Watch<S, C>>,
}

/// One order that is being carried out.
struct Execution {
    service: Name,
    /// Content of the row of counts that this host last wrote.
    written_counts: CountsByHost,
    /// How often the store had been restored from a copy when that row was written.
    written_era: u64,
    /// When the counts of all hosts are evaluated next.
    decide_at: Instant,
    /// When this host's counts are reported next, if they are new.
    report_at: Instant,
    /// The counts last reported to the delegate, and when they are reported again without being
    /// new.
    last_report: (Vec<Evidence>, Instant),
}

impl<S: Store, C: Codec> Rollouts<S, C> {
    /// Carries out orders as they arrive; runs until the process ends. A new order for a service
    /// replaces the one under way.
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

    /// After a restore of the store from a copy, makes sure that the store has the outcome of a
    /// roll-out again. Otherwise hosts that start then would try a bad version anew, or after a
    /// success send requests to servers that were stopped.
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

    /// A roll-out that was decided, if its row was last seen before the restore, so that the store
    /// may have an older state.
    fn find_unrestored(&self, service: &Name) -> Option<TrackedRollout> {
        let rollout = self.watch.catalog.rollout(service)?;
        let is_decided = rollout.record.as_ref().is_some_and(|record| record.stage.is_decided());
        (is_decided && rollout.row_version.era < self.era()).then_some(rollout)
    }

    fn is_order_listed_again(&self, rollout: &TrackedRollout) -> bool {
        rollout.revision.era >= self.era()
    }

    /// How often the store was restored from a copy.
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
                "outcome of the roll-out not written again, retrying");
        }
    }

    /// Writes the record of a roll-out again if the store has lost it. A record of a later order
    /// stays.
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
            // The record names its order by the revision at which that was written, so the order
            // has to be listed again first.
            _ if !is_lost || !self.is_order_listed_again(rollout) => return Ok(()),
            stored => stored.map_or(Revision::NONE, |(_, version)| version),
        };
        let record = Record { order: rollout.order_id(), ..own_record.clone() };
        let progress = progress(record.stage);
        log::info!(target: "rollout", service:% = service, version:% = record.target,
            stage:? = record.stage, era = rows.revision.era;
            "writing the lost row of the roll-out again");
        if let Some(version) =
            self.write_record(service, rollout, &record, expected, progress).await?
        {
            self.adopt(service, record, version, rows.now_ms);
        }
        Ok(())
    }

    /// Reads all rows of a service.
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
            if canary::needs_evidence(record.stage, elapsed) {
                self.halt_if_bad(&execution.service, &rollout);
                self.advance(&mut execution, &rollout, canary::is_urgent(record.stage, elapsed))
                    .await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Evaluates the counts of all hosts if it is time to, or reports this host's counts if it is
    /// not the delegate.
    async fn advance(&self, execution: &mut Execution, rollout: &TrackedRollout, is_due: bool) {
        let now = Instant::now();
        if !self.watch.is_delegate() {
            if now >= execution.report_at {
                execution.report_at = now + REPORT_INTERVAL;
                self.report_counts(execution, now);
            }
            return;
        }
        // The counts of this failure domain may be enough for a verdict.
        let is_bad =
            canary::verdict(&counts::sum(&self.domain_counts(execution, rollout))) == Verdict::Bad;
        if is_due || is_bad || now >= execution.decide_at {
            if let Err(error) = self.decide(execution, rollout).await {
                log::warn!(target: "rollout", service:% = execution.service, error:% = error;
                    "evaluation of the roll-out failed, retrying");
            }
            let jitter = 0.9 + rand::random::<f64>() / 5.0;
            execution.decide_at = Instant::now() + DECISION_INTERVAL.mul_f64(jitter);
        }
    }

    /// Reports this host's counts to the delegate if they are new. Of hundreds of hosts most have
    /// counted nothing since their last report.
    fn report_counts(&self, execution: &mut Execution, now: Instant) {
        let own = self.state().tally.evidence(&execution.service, clock::steady());
        let (reported, until) = &execution.last_report;
        if *reported != own || now >= *until {
            execution.last_report = (own, now + REPEATED_REPORT_INTERVAL);
            self.watch.notify_counts();
        }
    }

    /// Counts of this host, and those that its peers reported.
    fn domain_counts(&self, execution: &Execution, rollout: &TrackedRollout) -> CountsByHost {
        let mut hosts = self.watch.counts.for_order(&execution.service, rollout.order_id());
        hosts.insert(
            self.host.clone(),
            self.state().tally.evidence(&execution.service, clock::steady()),
        );
        hosts
    }

    /// Stops sending requests to the new version at once if the answers to this host's own requests
    /// are bad, before other hosts know.
    fn halt_if_bad(&self, service: &Name, rollout: &TrackedRollout) {
        let own = self.state().tally.evidence(service, clock::steady());
        let is_bad = canary::verdict(&own) == Verdict::Bad;
        if is_bad && !rollout.is_halted.swap(true, Ordering::Relaxed) {
            log::warn!(target: "rollout", service:% = service, version:% = rollout.order.target,
                evidence:? = own; "this host stops sending requests to the bad version");
        }
    }

    /// Waits until the record of the order is known: sent by the delegate, read from the store or
    /// created there.
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
                        "roll-out not begun, retrying");
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

    /// Takes over a record read from the store or written to it; `now_ms` is the store's clock.
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

    /// Writes the counts of this host or its failure domain, reads those of others, and changes the
    /// stage if the verdict on all of them requires it.
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
        // Also if only the clocks disagree: a host that was suspended for a while must not go on as
        // if no time had passed.
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
            hosts = hosts.len(), evidence:? = evidence; "next stage of the roll-out decided");
        let changed = Record { stage: next, ..record };
        if let Some(made) = self.write_record(service, rollout, &changed, version, progress).await?
        {
            self.adopt(service, changed, made, rows.now_ms);
        }
        Ok(())
    }

    /// Writes the counts of this host or its failure domain. A failure is only logged, because this
    /// host must still act on the counts of others; the row is written again next time.
    async fn write_counts(&self, execution: &mut Execution, rollout: &TrackedRollout) {
        let hosts = self.domain_counts(execution, rollout);
        if hosts == execution.written_counts {
            return;
        }
        let is_alone = self.watch.follower(List::Operators).relay().reads_alone(clock::steady());
        let writer = if is_alone { &self.host } else { &self.failure_domain };
        let counted = CountsRow { order: rollout.order_id(), hosts };
        let value = match record::serialize(&counted) {
            Ok(value) => value,
            Err(why) => {
                log::error!(target: "rollout", why:% = why; "counts can't be serialized");
                return;
            }
        };
        let key = record::counts_key(&execution.service, writer);
        let change = record::put(record::TABLE, key, None, value);
        match self.watch.store.commit(&change, None).await {
            Ok(_) => execution.written_counts = counted.hosts,
            Err(error) => log::warn!(target: "rollout", service:% = execution.service,
                error:% = error; "counts not written to the store"),
        }
    }
}

fn elapsed(rollout: &TrackedRollout, now: Millis) -> f64 {
    canary::elapsed(now.since(rollout.started_at), rollout.order.within_ms)
}

fn belongs_to(record: &Record, rollout: &TrackedRollout) -> bool {
    record.belongs_to(rollout.order_id(), &rollout.order.target)
}

/// What operators are told of a stage.
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
            log::error!(target: "rollout", key:% = key, why:% = why;
                "record of the roll-out can't be parsed, creating a new one");
            Some((Record::default(), row.version))
        }
    }
}

/// Collects the newest counts of each host from the rows.
fn collect_counts(rows: &Rows, service: &Name, order_id: Revision) -> CountsByHost {
    let record_key = record::key(service);
    let mut hosts = CountsByHost::new();
    for row in rows.rows.iter().filter(|row| row.key != record_key) {
        let counted = match record::parse::<CountsRow>(&row.value) {
            Ok(counted) if record::is_same_order(counted.order, order_id) => counted,
            Ok(_) => continue,
            Err(why) => {
                log::error!(target: "rollout", key:% = row.key, why:% = why;
                    "counts of a roll-out can't be parsed");
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
