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

use crate::catalog::Known;
use crate::counts::{self, ByHost};
use crate::record::{self, Counted, Record, Snapshot};
use crate::store::{List, Report, Store};
use crate::watch::{DRIFT_MS, Watch};

/// Between two looks at what all hosts counted. A bad version gets requests for as long.
const EVERY: Duration = Duration::from_millis(900);
/// Between two looks at this host's own counts.
const LOOK: Duration = Duration::from_millis(150);
/// Between two tellings of this host's counts to the delegate of the domain.
const TELL: Duration = Duration::from_millis(200);
/// The same when it has counted nothing since: a message may be lost, and the delegate may be another.
const TELL_AGAIN: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);
/// How long a host waits to hear of an order from the delegate of the domain, before it
/// reads for itself. That one needs a call or two.
const HEAR: Duration = Duration::from_millis(1_500);

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
struct Course {
    service: Name,
    /// What this host's row of counts holds.
    written: ByHost,
    /// How often the store had come back from a copy when that was written.
    era: u64,
    /// When all hosts' counts are looked at next.
    next: Instant,
    /// When this host's counts are reported next.
    tell: Instant,
    /// What was last reported to the delegate, and until when that is not sent again.
    reported: (Vec<Evidence>, Instant),
}

impl<S: Store, C: Codec> Rollouts<S, C> {
    /// Carries out orders as they come; runs until the process ends. A new order for a service
    /// takes the place of the one under way.
    pub async fn run(self: Arc<Self>, mut orders: mpsc::UnboundedReceiver<Name>) {
        let mut under_way: HashMap<Name, AbortOnDropHandle<()>> = HashMap::new();
        let mut era = self.watch.era.subscribe();
        loop {
            tokio::select! {
                ordered = orders.recv() => {
                    let Some(service) = ordered else { return };
                    under_way.remove(&service);
                    self.state().tally.clear(&service);
                    let task = Arc::clone(&self).carry_out(service.clone());
                    under_way.insert(service, AbortOnDropHandle::new(tokio::spawn(task)));
                }
                Ok(()) = era.changed() => {
                    for service in self.watch.catalog.decided() {
                        let task = Arc::clone(&self).restore(service.clone());
                        under_way.insert(service, AbortOnDropHandle::new(tokio::spawn(task)));
                    }
                }
            }
        }
    }

    /// Sees to it that the store says again how a roll-out was decided, after it has come back from a copy: hosts
    /// that start then would try a bad version anew, or send to servers that were stopped on a success.
    async fn restore(self: Arc<Self>, service: Name) {
        let mut listed = None;
        while let Some(known) = self.undecided_in_store(&service) {
            if self.is_listed_again(&known) {
                let since = *listed.get_or_insert_with(Instant::now);
                if self.watch.is_delegate() || since.elapsed() >= HEAR {
                    self.try_restore(&service, &known).await;
                }
            }
            tokio::time::sleep(PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    /// A roll-out that was decided, of which the store may say something else since its return.
    fn undecided_in_store(&self, service: &Name) -> Option<Known> {
        let known = self.watch.catalog.rollout(service)?;
        let is_decided = known.record.as_ref().is_some_and(|record| record.stage.is_decided());
        (is_decided && known.version.era < self.era()).then_some(known)
    }

    fn is_listed_again(&self, known: &Known) -> bool {
        known.revision.era >= self.era()
    }

    /// How often the store has come back from a copy.
    fn era(&self) -> u64 {
        self.watch.era.borrow().map_or(0, |era| era.number)
    }

    async fn try_restore(&self, service: &Name, known: &Known) {
        let restored = match self.rows(service).await {
            Ok(rows) => self.restate(&rows, service, known).await,
            Err(error) => Err(error),
        };
        if let Err(error) = restored {
            log::warn!(target: "rollout", service:% = service, error:% = error;
                "how the roll-out was decided not written again, tried again");
        }
    }

    /// Writes again how a roll-out stands if the store has lost that. What the store says of a later order stays.
    async fn restate(&self, rows: &Rows, service: &Name, known: &Known) -> Result<(), Error> {
        let Some(standing) = &known.record else { return Ok(()) };
        let held = find_record(rows, service);
        let is_lost = rows.revision.era > known.version.era;
        let expected = match held {
            Some((record, version)) if is_of(&record, known) && !record.is_behind(standing) => {
                self.adopt(service, record, version, rows.now_ms);
                return Ok(());
            }
            Some((record, _)) if !is_of(&record, known) && record.order > known.issued() => {
                return Ok(());
            }
            // The row names the order by when it was written, so that has to be written again first.
            _ if !is_lost || !self.is_listed_again(known) => return Ok(()),
            held => held.map_or(Revision::NONE, |(_, version)| version),
        };
        let record = Record { order: known.issued(), ..standing.clone() };
        let progress = progress(record.stage);
        log::info!(target: "rollout", service:% = service, version:% = record.target,
            stage:? = record.stage, era = rows.revision.era; "lost row written again");
        if let Some(version) = self.write(service, known, &record, expected, progress).await? {
            self.adopt(service, record, version, rows.now_ms);
        }
        Ok(())
    }

    /// All rows of a service.
    async fn rows(&self, service: &Name) -> Result<Rows, Error> {
        let prefix = record::prefix(service);
        let rows = self.watch.store.rows(record::NO_GROUP, record::TABLE, &prefix).await?;
        self.watch.note_era(rows.revision.era);
        Ok(rows)
    }

    fn state(&self) -> &State<C> {
        &self.watch.state
    }

    async fn carry_out(self: Arc<Self>, service: Name) {
        let now = Instant::now();
        let mut course = Course {
            service,
            written: ByHost::new(),
            era: 0,
            next: now,
            tell: now,
            reported: (Vec::new(), now),
        };
        self.begin(&course.service).await;
        loop {
            let Some(known) = self.watch.catalog.rollout(&course.service) else { return };
            let Some(record) = &known.record else { return };
            if record.stage.is_decided() {
                return;
            }
            let elapsed = elapsed(&known, clock::steady());
            if canary::is_watched(record.stage, elapsed) {
                self.look(&course.service, &known);
                self.advance(&mut course, &known, canary::is_due(record.stage, elapsed)).await;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Looks at all hosts' counts if it is time to, or tells this host's.
    async fn advance(&self, course: &mut Course, known: &Known, is_due: bool) {
        let now = Instant::now();
        if !self.watch.is_delegate() {
            if now >= course.tell {
                course.tell = now + TELL;
                self.tell_counts(course, now);
            }
            return;
        }
        // What the domain's own hosts counted may be enough.
        let is_bad = canary::verdict(&counts::sum(&self.counted(course, known))) == Verdict::Bad;
        if is_due || is_bad || now >= course.next {
            if let Err(error) = self.decide(course, known).await {
                log::warn!(target: "rollout", service:% = course.service, error:% = error;
                    "roll-out undecided, tried again");
            }
            let jitter = 0.9 + rand::random::<f64>() / 5.0;
            course.next = Instant::now() + EVERY.mul_f64(jitter);
        }
    }

    /// Tells the delegate what this host counted, if that is new: of hundreds of hosts most have counted
    /// nothing since they last reported it.
    fn tell_counts(&self, course: &mut Course, now: Instant) {
        let own = self.state().tally.evidence(&course.service);
        let (reported, until) = &course.reported;
        if *reported != own || now >= *until {
            course.reported = (own, now + TELL_AGAIN);
            self.watch.share_counts();
        }
    }

    /// What this host counted, and what the others of its domain reported.
    fn counted(&self, course: &Course, known: &Known) -> ByHost {
        let mut hosts = self.watch.counts.of(&course.service, known.issued());
        hosts.insert(self.host.clone(), self.state().tally.evidence(&course.service));
        hosts
    }

    /// Stops at once what this host's own answers speak against, before the others know.
    fn look(&self, service: &Name, known: &Known) {
        let own = self.state().tally.evidence(service);
        let is_bad = canary::verdict(&own) == Verdict::Bad;
        if is_bad && !known.halted.swap(true, Ordering::Relaxed) {
            log::warn!(target: "rollout", service:% = service, version:% = known.order.target,
                evidence:? = own; "this host stops sending to a bad version");
        }
    }

    /// Reads the record of the order, or makes it, or hears of it.
    async fn begin(&self, service: &Name) {
        let began = Instant::now();
        loop {
            let Some(known) = self.watch.catalog.rollout(service) else { return };
            if known.record.is_some() {
                return;
            }
            if !self.watch.is_delegate() && began.elapsed() < HEAR {
                tokio::time::sleep(LOOK).await;
                continue;
            }
            match self.try_begin(service, &known).await {
                Ok(()) => {}
                Err(error) => {
                    log::warn!(target: "rollout", service:% = service, error:% = error;
                        "roll-out not begun, tried again");
                }
            }
            if self.watch.catalog.rollout(service).is_some_and(|known| known.record.is_none()) {
                tokio::time::sleep(PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }

    async fn try_begin(&self, service: &Name, known: &Known) -> Result<(), Error> {
        let rows = self.rows(service).await?;
        let held = find_record(&rows, service);
        if let Some((record, version)) = held.as_ref().filter(|(r, _)| is_of(r, known)) {
            self.adopt(service, record.clone(), *version, rows.now_ms);
            return Ok(());
        }
        let seen = self.watch.catalog.base(service);
        let made = Record {
            order: known.issued(),
            target: known.order.target.clone(),
            base: record::base(held.as_ref().map(|(record, _)| record), &seen),
            stage: Stage::Trial,
            began_ms: rows.now_ms.saturating_sub(clock::steady().since(known.began)),
        };
        let expected = held.map_or(Revision::NONE, |(_, revision)| revision);
        let made_at = self.write(service, known, &made, expected, Progress::Running).await?;
        if let Some(version) = made_at {
            self.adopt(service, made, version, rows.now_ms);
        }
        Ok(())
    }

    async fn write(
        &self,
        service: &Name,
        known: &Known,
        record: &Record,
        expected: Revision,
        progress: Progress,
    ) -> Result<Option<Revision>, Error> {
        let value = record::write(record).map_err(Error::Malformed)?;
        let change = record::change(record::TABLE, record::key(service), Some(expected), value);
        let report = Report { order: known.order.clone(), progress };
        match self.watch.store.commit(&change, Some(&report)).await? {
            Outcome::Committed(revision) => Ok(Some(revision)),
            Outcome::Conflict(_) => Ok(None),
        }
    }

    /// Takes over how the roll-out stands; `now_ms` is the store's clock.
    fn adopt(&self, service: &Name, record: Record, version: Revision, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(record.began_ms);
        self.watch.adopt(Snapshot { service: service.clone(), version, record, age_ms });
        self.watch.share_records();
    }

    /// Writes what this host, or its domain, counted, reads what others did, and makes the step
    /// that follows.
    async fn decide(&self, course: &mut Course, known: &Known) -> Result<(), Error> {
        let service = &course.service;
        let rows = self.rows(service).await?;
        if course.era != rows.revision.era {
            course.era = rows.revision.era;
            course.written.clear();
        }
        let mut hosts = gather(&rows, service, known.issued());
        for (host, routes) in self.counted(course, known) {
            let held = hosts.entry(host).or_default();
            routes.into_iter().for_each(|one| counts::merge(held, one));
        }
        self.write_counts(course, known).await;
        let service = &course.service;
        let standing = known.record.as_ref();
        let is_newest = |row: &Record| {
            is_of(row, known) && !standing.is_some_and(|standing| row.is_behind(standing))
        };
        let Some((record, version)) =
            find_record(&rows, service).filter(|(record, _)| is_newest(record))
        else {
            return self.restate(&rows, service, known).await;
        };
        // Also when only the clocks have parted: a host that stood still for a while must not go
        // on as if no time had passed.
        let began = clock::steady() - rows.now_ms.saturating_sub(record.began_ms);
        let parted = began.since(known.began).max(known.began.since(began)) > DRIFT_MS;
        if parted || known.record.as_ref() != Some(&record) {
            self.adopt(service, record.clone(), version, rows.now_ms);
        }
        let (elapsed, evidence) = (elapsed(known, clock::steady()), counts::sum(&hosts));
        let verdict = canary::verdict(&evidence);
        let Some(next) = canary::next(record.stage, elapsed, verdict) else { return Ok(()) };
        let progress = progress(next);
        log::info!(target: "rollout", service:% = service, version:% = record.target,
            stage:? = record.stage, next:? = next, verdict:? = verdict, elapsed,
            hosts = hosts.len(), evidence:? = evidence; "step decided");
        let changed = Record { stage: next, ..record };
        if let Some(made) = self.write(service, known, &changed, version, progress).await? {
            self.adopt(service, changed, made, rows.now_ms);
        }
        Ok(())
    }

    /// The others may not have these counts yet. That must not keep this host from what follows
    /// from theirs, so a failure is only logged; the row is written again next time.
    async fn write_counts(&self, course: &mut Course, known: &Known) {
        let hosts = self.counted(course, known);
        if hosts == course.written {
            return;
        }
        let is_alone = self.watch.follow(List::Operators).relay().is_alone(clock::steady());
        let of = if is_alone { &self.host } else { &self.failure_domain };
        let counted = Counted { order: known.issued(), hosts };
        let value = match record::write(&counted) {
            Ok(value) => value,
            Err(why) => {
                log::error!(target: "rollout", why:% = why; "counts can't be written");
                return;
            }
        };
        let key = record::counted_key(&course.service, of);
        let change = record::change(record::TABLE, key, None, value);
        match self.watch.store.commit(&change, None).await {
            Ok(_) => course.written = counted.hosts,
            Err(error) => log::warn!(target: "rollout", service:% = course.service,
                error:% = error; "counts not written"),
        }
    }
}

fn elapsed(known: &Known, now: Millis) -> f64 {
    canary::elapsed(now.since(known.began), known.order.within_ms)
}

fn is_of(record: &Record, known: &Known) -> bool {
    record.is_of(known.issued(), &known.order.target)
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
    match record::read(&row.value) {
        Ok(record) => Some((record, row.version)),
        Err(why) => {
            log::error!(target: "rollout", key:% = key, why:% = why; "record unreadable, made anew");
            Some((Record::default(), row.version))
        }
    }
}

/// All hosts' counts that the rows hold, each host's newest.
fn gather(rows: &Rows, service: &Name, issued: Revision) -> ByHost {
    let record_key = record::key(service);
    let mut hosts = ByHost::new();
    for row in rows.rows.iter().filter(|row| row.key != record_key) {
        let counted = match record::read::<Counted>(&row.value) {
            Ok(counted) if record::is_of(counted.order, issued) => counted,
            Ok(_) => continue,
            Err(why) => {
                log::error!(target: "rollout", key:% = row.key, why:% = why; "counts unreadable");
                continue;
            }
        };
        for (host, routes) in counted.hosts {
            let held = hosts.entry(host).or_default();
            routes.into_iter().for_each(|one| counts::merge(held, one));
        }
    }
    hosts
}
