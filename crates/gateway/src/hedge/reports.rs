//! Reports between the hosts of a failure domain on late requests and hedges, for operators as well.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use entry::clock;
use entry::sharded::Sharded;
use policy::hedge::{self, Arrival, Counts, LoadClass, Report, ResponseTimes};
use policy::name::Name;
use policy::time::Millis;
use wire::routing::Kind;

use super::Hedging;
use crate::codec::Codec;
use crate::pool::Pool;
use crate::state::State;

/// Time between two log lines on what the failure domain knows of a service, in milliseconds.
const LOG_INTERVAL_MS: u64 = 60_000;
/// Time between two log lines on reports for a service that are ignored, in milliseconds. A faulty
/// host may send many.
const INVALID_LOG_INTERVAL_MS: u64 = 1_000;

impl Hedging {
    /// Counts a run that became late, or that ended before.
    pub(super) fn record_ended(&self, service: &Name, is_late: bool) {
        self.trends.with(service, |trend| trend.record(is_late));
        self.unreported.with(service, |unreported| unreported.record_ended(is_late));
    }

    /// This host's requests and hedges of the last 60 s.
    pub(super) fn counts(&self, service: &Name, now: Millis) -> Counts {
        let share = self.share().unwrap_or_default();
        self.windows.with(service, |window| hedge::counts(window, share, now))
    }

    /// How many of this host's requests in the last 60 s may be hedged.
    fn eligible(&self, service: &Name, now: Millis) -> u32 {
        let share = self.share().unwrap_or_default();
        self.eligible.with(service, |window| hedge::counts(window, share, now).requests)
    }

    /// The most hedges per request that may be hedged; `None` if no requests are hedged.
    pub(super) fn share_of_eligible(&self, service: &Name, now: Millis) -> Option<f64> {
        let share = self.share()?;
        let (own, eligible) = (self.counts(service, now), self.eligible(service, now));
        let fraction =
            self.domains.with(service, |domain| domain.eligible_fraction(own, eligible, now));
        Some(hedge::share_of_eligible(share, fraction))
    }

    /// Whether this host or a peer had requests in the last 60 s for a service that can be hedged.
    fn is_active(&self, service: &Name, now: Millis) -> bool {
        let has_runs = self.unreported.with(service, |unreported| unreported.has_runs());
        has_runs && self.counts(service, now).requests > 0
            || self.domains.with(service, |domain| domain.has_requests(now))
    }

    fn accept(&self, host: &Name, report: &Report, is_key: impl Fn(&Name) -> bool) -> Arrival {
        let (service, now) = (&report.service, clock::steady());
        let arrival = self.domains.with(service, |domain| domain.accept(host, report, now));
        let trend = self.trends.with(service, |trend| {
            if arrival == Arrival::Newest {
                trend.merge(report.ended);
            }
            *trend
        });
        if matches!(arrival, Arrival::Newest | Arrival::Overtaken) {
            for runs in report.runs.iter().filter(|runs| is_key(&runs.key)) {
                self.by_route.with(&runs.key, |times| times.merge(runs, &trend, now));
                self.by_service.with(service, |times| times.merge(runs, &trend, now));
            }
        }
        arrival
    }
}

impl<C: Codec> State<C> {
    /// The other hosts of this failure domain.
    pub(super) fn peer_count(&self) -> usize {
        self.peers.load().as_ref().as_ref().map_or(0, |peers| peers.others.len())
    }

    /// The hosts of all failure domains, if each has as many as this one; 0 if that is not known.
    pub(crate) fn hedging_hosts(&self) -> u32 {
        let domains = self.hedging.failure_domains.load(Ordering::Relaxed);
        let is_known = self.peers.load().is_some();
        let own = u32::try_from(self.peer_count() + 1).unwrap_or(u32::MAX);
        if is_known { own.saturating_mul(domains) } else { 0 }
    }

    /// The next report to the other hosts of the failure domain; `None` if none is due.
    #[must_use]
    pub fn next_hedge_report(&self) -> Option<Report> {
        let (hedging, now) = (&self.hedging, clock::steady());
        let share = hedging.share().filter(|share| *share > 0.0)?;
        let snapshot = self.snapshot.load();
        let due = snapshot.pools.keys().filter(|service| {
            hedging.unreported.with(service, |unreported| unreported.is_due(now))
                && hedging.is_active(service, now)
        });
        // The service that has waited for longest, so that each has its turn.
        let service = due.min_by_key(|service| {
            hedging.unreported.with(service, |unreported| unreported.reported_at())
        })?;
        self.show_hedging(service, share, now);
        let start = *hedging.start.get_or_init(rand::random);
        let counts = (hedging.counts(service, now), hedging.eligible(service, now));
        let report = hedging.unreported.with(service, |own| own.take(start, service, counts, now));
        Some(report)
    }

    /// Records what another host of the failure domain reports. What it reports of services, routes
    /// and backend servers that this host does not know is ignored.
    pub fn accept_hedge_report(&self, host: &Name, report: &Report) {
        let snapshot = self.snapshot.load();
        let pool = snapshot.pools.get(&report.service);
        let Some(pool) = pool.filter(|_| self.hedging.share().is_some()) else { return };
        let arrival = self.hedging.accept(host, report, |key| snapshot.index.has_timing(key));
        let result = match arrival {
            Arrival::Newest => "newest",
            Arrival::Overtaken => "overtaken",
            Arrival::Repeated => "repeated",
            Arrival::Invalid => "invalid",
        };
        metrics::counter!("gateway_hedge_reports_total", "result" => result).increment(1);
        let now = clock::steady();
        match arrival {
            Arrival::Newest => record_fast(pool, report, now),
            Arrival::Invalid
                if is_due(&self.hedging.ignored, &report.service, INVALID_LOG_INTERVAL_MS, now) =>
            {
                log::info!(target: "hedge", host:% = host, service:% = report.service,
                    requests = report.counts.requests, hedges = report.counts.hedges;
                    "report on hedges ignored: its counts can't be true");
            }
            Arrival::Overtaken | Arrival::Repeated | Arrival::Invalid => {}
        }
    }

    /// Shows operators what the failure domain knows of a service.
    fn show_hedging(&self, service: &Name, share: f64, now: Millis) {
        let (hedging, peers) = (&self.hedging, self.peer_count());
        let own = hedging.counts(service, now);
        let budget = hedging
            .domains
            .with(service, |domain| domain.budget(own, peers, share, rand::random(), now));
        let used = budget.hedges / budget.requests.max(1.0);
        let late_share = hedging.share_of_eligible(service, now).unwrap_or(share);
        let threshold =
            |times: &mut ResponseTimes| times.threshold_ms(LoadClass::Light, late_share);
        let threshold_ms = hedging.by_service.with(service, threshold);
        metrics::gauge!("gateway_hedge_share_used", "service" => service.to_string()).set(used);
        metrics::gauge!("gateway_hedge_hosts_heard", "service" => service.to_string())
            .set(budget.heard as f64);
        for route in self.snapshot.load().index.routes().filter(|route| {
            let mut targets = route.route.targets.iter();
            route.route.kind == Kind::Idempotent && targets.any(|target| target.service == *service)
        }) {
            for key in &route.timings {
                let own = hedging.by_route.with(key, threshold);
                if let Some(ms) = own.or(threshold_ms) {
                    metrics::gauge!("gateway_hedge_threshold_seconds", "route" => key.to_string())
                        .set(ms / 1_000.0);
                }
            }
        }
        if is_due(&hedging.logged, service, LOG_INTERVAL_MS, now) {
            log::info!(target: "hedge", service:% = service, heard = budget.heard, peers,
                requests = budget.requests.round() as u64, hedges = budget.hedges.round() as u64,
                own_hedges = own.hedges, may_send = budget.left.max(0.0) as u64,
                threshold_ms:? = threshold_ms.map(|ms| ms as u64);
                "hedges in the failure domain");
        }
    }
}

/// Whether a log line on a service is due again.
fn is_due(logged: &Sharded<Millis>, service: &Name, interval_ms: u64, now: Millis) -> bool {
    logged.with(service, |logged| {
        let is_due = now.since(*logged) >= interval_ms;
        *logged = if is_due { now } else { *logged };
        is_due
    })
}

/// Records which backend servers gave a peer a fast response a moment ago.
fn record_fast(pool: &Arc<Pool>, report: &Report, now: Millis) {
    for (id, age_ms) in &report.fast {
        if let Some(backend) = pool.backends.iter().find(|backend| backend.id == *id) {
            backend.record_fast(Millis(now.0.saturating_sub(u64::from(*age_ms))));
        }
    }
}
