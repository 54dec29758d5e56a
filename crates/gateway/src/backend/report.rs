//! The load that a backend server reports, and what other hosts announce of it.

use std::sync::atomic::Ordering;

use policy::name::Name;
use policy::report::{self, Report, Scope};
use policy::time::Millis;
use wire::backend;

use super::Backend;
use crate::codec::Load;

/// How long another host's report of its requests in flight is used.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Requests that are assumed at a server that rejects one, as a multiple of its slots.
const FULL_FACTOR: u32 = 4;

/// A [`LoadReport`] as it is written out: without names, because many are sent.
type PackedReport = (Name, u32, u32, u32, Millis);

policy::domain! {
    /// A load report of a backend server, as announced to other hosts.
    #[serde(from = "PackedReport", into = "PackedReport")]
    pub struct LoadReport {
        /// The id of the backend server.
        pub backend: Name,
        /// What the server reported.
        pub load: Report,
        /// When the report came, by the clock of the host that announces it.
        pub at: Millis,
    }
}

impl From<PackedReport> for LoadReport {
    fn from((backend, requests, slots, percent, at): PackedReport) -> Self {
        Self { backend, load: Report { requests, slots, percent }, at }
    }
}

impl From<LoadReport> for PackedReport {
    fn from(LoadReport { backend, load, at }: LoadReport) -> Self {
        (backend, load.requests, load.slots, load.percent, at)
    }
}

impl Backend {
    /// Requests in flight at this host or server, if it has reported them recently.
    #[must_use]
    pub fn recent_requests(&self, now: Millis) -> Option<f64> {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let observations = self.lock();
        let is_recent = now.since(observations.reported_at) < REPORT_LIFETIME_MS;
        is_recent.then(|| f64::from(observations.reported.max(own)))
    }

    /// Requests at the server by its last report; `None` if there was none.
    #[must_use]
    pub fn reported_requests(&self) -> Option<u32> {
        let observations = self.lock();
        (observations.reported_at > Millis(0)).then_some(observations.reported)
    }

    /// Records the load that the server reported with an answer.
    pub fn record_load(&self, load: Load, now: Millis) {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let mut observations = self.lock();
        observations.reported = load.requests;
        observations.own_at_report = own;
        observations.reported_at = now;
        observations.stated_at = now;
        if let Some(percent) = load.percent {
            observations.moment.record(percent, now);
        }
        drop(observations);
        let in_flight = load.requests;
        self.server
            .record_load(backend::Load { in_flight, slots: load.slots, draining: false }, now);
    }

    /// The report to announce to the other hosts after the server has reported this load; `None` if
    /// they need not know it.
    #[must_use]
    pub fn announcement(&self, load: Load, scope: Scope, now: Millis) -> Option<LoadReport> {
        let Load { requests, slots, percent } = load;
        let percent = percent.unwrap_or(report::USUAL_PERCENT);
        let load = Report { requests, slots, percent };
        let is_due = self.lock().announcements.is_due(load, scope, now);
        is_due.then(|| LoadReport { backend: self.id.clone(), load, at: now })
    }

    /// Records that a report has been sent to the other hosts.
    pub fn record_sent_report(&self, report: &LoadReport) {
        self.lock().announcements.record_known(report.load, report.at);
    }

    /// Records a load report that another host announced and that was made at the time `at`.
    pub fn record_announced_load(&self, load: Report, at: Millis, scope: Scope, now: Millis) {
        let own = self.server.own_at(at);
        let mut observations = self.lock();
        observations.announcements.record_known(load, at.min(now));
        if report::is_news(at, observations.reported_at, scope, now) {
            observations.reported = load.requests;
            observations.own_at_report = own;
            observations.reported_at = at;
            observations.stated_at = at;
            observations.moment.record(load.percent, now);
        }
    }

    /// Records what another failure domain announced of its engine's requests at the time `at`.
    pub fn record_far_load(&self, requests: u32, at: Millis, now: Millis) {
        let own = self.server.own_at(at);
        let mut observations = self.lock();
        if report::is_news(at, observations.reported_at, Scope::Changes, now) {
            observations.reported = requests;
            observations.own_at_report = own;
            observations.reported_at = at;
            observations.stated_at = at;
        }
    }

    /// Records that the server rejected a request, so that it must be full, whatever it reported.
    pub fn record_full(&self, now: Millis) {
        let own = self.server.in_flight.load(Ordering::Relaxed);
        let mut observations = self.lock();
        observations.reported = observations.reported.max(self.slots.saturating_mul(FULL_FACTOR));
        observations.own_at_report = own;
        observations.reported_at = now;
    }

    /// Whether a report that this host wants to announce is still the newest one of the server.
    #[must_use]
    pub fn is_newest_report(&self, at: Millis) -> bool {
        at >= self.lock().stated_at
    }
}
