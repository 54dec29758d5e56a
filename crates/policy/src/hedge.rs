//! Decides when an idempotent request that has no answer yet is also sent to a second server.
//!
//! The load: some servers slow down repeatedly for tenths of a second while the others have free
//! slots. The requests that are at a slow server in that moment make up the slowest responses of
//! the service. Their hedges must stay a small share of the requests, and must stop when all
//! servers are slow, because the extra work would then slow all of them further.
//!
//! Each host decides on its own, by what the hosts of its failure domain have learnt together
//! ([`Domain`]). A host that hears of no other counts hedges against its own requests alone. Failure
//! domains each keep to the share, so all of them together do.

mod domain;

pub use domain::{Arrival, Budget, Counts, Domain, Pace, Report, Runs, Unreported};

use crate::repeat::{Allowance, Window};
use crate::retry::{self, Attempt};
use crate::time::Millis;

/// Buckets of a digest. The last one takes everything from about a minute.
const BUCKET_COUNT: usize = 128;
/// Buckets per doubling of the time, so that a quantile is exact to 9 %.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Total weight at which all weights of a digest are halved, so that older times lose influence.
const WEIGHT_MAX: f32 = 1_000.0;
/// Least total weight for a quantile. The slowest twentieth then consists of a few times.
const WEIGHT_MIN: f32 = 60.0;
/// Fraction of the allowed hedges that is used if the response times stay as they were. The rest is
/// for moments in which more requests are late.
const PLANNED_FRACTION: f64 = 0.75;
/// Lowest quantile of the response times after which a request counts as late.
const QUANTILE_MIN: f64 = 0.75;
/// Highest such quantile. Too few times of a small host lie beyond a higher one.
const QUANTILE_MAX: f64 = 0.99;
/// Least threshold, as a multiple of the median. Where all responses take nearly the same time, a
/// response just beyond the quantile comes before a hedge could bring another one.
const MEDIAN_FACTOR_MIN: f64 = 1.25;
/// Weight of one run in the share of late runs.
const TREND_WEIGHT: f64 = 0.125;
/// Share of late runs from which servers are slow in general. Three or four late runs in a row reach
/// it.
const TREND_LATE_MAX: f64 = 0.35;
/// Least time between two recorded runs while servers are slow in general, in milliseconds. If all
/// runs were recorded, slow ones would pass for usual after a second.
const OVERLOAD_RECORD_MS: u64 = 1_000;
/// Longest time of a fast response, as a multiple of the median.
const FAST_MEDIANS: f64 = 2.0;
/// How long a server counts as fast after a fast response, in milliseconds. When all servers
/// are slow, none counts as fast a second later, and no hedge is sent.
const FAST_MS: u64 = 800;
/// Fraction of its own share that a host uses if it hears of no other. A hedge that the host counts
/// may be counted by the backend server a moment later, in the next window.
const OWN_FRACTION: f64 = 0.85;
/// Length of the window in which hedges are counted, in milliseconds. A host with few requests
/// needs a long window to be allowed a whole hedge.
const WINDOW_MS: u64 = 60_000;

/// How busy a server was when a request was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadClass {
    /// Less than half of the slots were taken.
    Light,
    /// At least half of the slots were taken, but not all.
    Busy,
    /// All slots were taken.
    Full,
}

/// What a host knows of one server's load and speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Target {
    /// Requests that the server processes at once.
    pub slots: u32,
    /// This host's requests at the server.
    pub own: u32,
    /// Requests at the server by its last report.
    pub reported: u32,
    /// This host's requests at the server at the time of that report.
    pub own_at_report: u32,
    /// When the last report came; 0 if there was none.
    pub reported_at: Millis,
    /// When the server last gave a fast response; 0 if it gave none.
    pub fast_at: Millis,
    /// Hosts that may send to the server; 0 if that is not known.
    pub hosts: u32,
}

/// Distribution of recent response times, in buckets of logarithmic width.
#[derive(Clone, Debug)]
struct Digest {
    weights: [f32; BUCKET_COUNT],
    total: f32,
}

/// Response times of one kind of request, by the load of the server.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    digests: [Digest; 3],
    recorded_at: Millis,
}

/// Share of late runs among the last runs of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trend {
    late_share: f64,
}

/// Why a late request is not hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withheld {
    /// The request may not run twice, or not enough time is left.
    Request,
    /// The route allows no further attempt.
    Attempts,
    /// Servers may have crashed because of the request.
    Suspect,
    /// Responses of the service are late in general.
    Overload,
    /// No other server takes the request, or a version on trial has it.
    NoServer,
    /// Other servers take the request, and none is known to be fast.
    NotFast,
    /// Other servers are known to be fast, and none of them to have room.
    NoRoom,
    /// The share of hedges is used up.
    Share,
    /// The repeats that are not reserved for failures are used up.
    Repeats,
}

/// What is known when the first run of a request becomes late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Situation {
    /// What is known of the first run.
    pub attempt: Attempt,
    /// How long the first run has taken, in milliseconds.
    pub waited_ms: u64,
    /// The time after which it counts as late, in milliseconds.
    pub threshold_ms: u64,
    /// Attempts of the request, including the first run.
    pub sent: u32,
    /// Attempts that the route allows.
    pub attempts_max: u32,
    /// Whether servers may have crashed because of the request.
    pub is_suspect: bool,
}

impl LoadClass {
    /// All classes, the least busy first.
    pub const ALL: [Self; 3] = [Self::Light, Self::Busy, Self::Full];
}

impl Withheld {
    /// All reasons.
    pub const ALL: [Self; 9] = [
        Self::Request,
        Self::Attempts,
        Self::Suspect,
        Self::Overload,
        Self::NoServer,
        Self::NotFast,
        Self::NoRoom,
        Self::Share,
        Self::Repeats,
    ];

    /// The value of the `why` label in metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Attempts => "attempts",
            Self::Suspect => "suspect",
            Self::Overload => "overload",
            Self::NoServer => "no_server",
            Self::NotFast => "not_fast",
            Self::NoRoom => "no_room",
            Self::Share => "share",
            Self::Repeats => "repeats",
        }
    }
}

impl Target {
    /// Requests at the server now, as far as this host knows.
    fn requests(&self, now: Millis) -> u32 {
        match self.has_recent_report(now) {
            true => {
                let others = self.reported.saturating_sub(self.own_at_report);
                others.saturating_add(self.own)
            }
            false => self.own,
        }
    }

    fn has_recent_report(&self, now: Millis) -> bool {
        self.reported_at > Millis(0) && now.since(self.reported_at) < FAST_MS
    }

    /// How busy the server is.
    #[must_use]
    pub fn load_class(&self, now: Millis) -> LoadClass {
        let requests = self.requests(now);
        match () {
            () if requests >= self.slots.max(1) => LoadClass::Full,
            () if requests.saturating_mul(2) >= self.slots => LoadClass::Busy,
            () => LoadClass::Light,
        }
    }

    /// Whether the server has a free slot, as far as this host knows. Without a recent report, it
    /// must have none of this host's requests, or room for as many of every host as this one has
    /// there with the hedge: a large server must not pass for full because of one request.
    fn has_room(&self, now: Millis) -> bool {
        let of_all = self.own.saturating_add(1).saturating_mul(self.hosts);
        match self.has_recent_report(now) {
            true => self.load_class(now) != LoadClass::Full,
            false => self.own == 0 || self.hosts > 0 && of_all <= self.slots,
        }
    }

    /// Whether a hedge may go to the server: it was fast a moment ago and has a free slot.
    ///
    /// # Errors
    /// What it lacks.
    pub fn check(&self, now: Millis) -> Result<(), Withheld> {
        let is_fast = self.fast_at > Millis(0) && now.since(self.fast_at) < FAST_MS;
        match () {
            () if !is_fast => Err(Withheld::NotFast),
            () if !self.has_room(now) => Err(Withheld::NoRoom),
            () => Ok(()),
        }
    }
}

impl Default for Digest {
    fn default() -> Self {
        Self { weights: [0.0; BUCKET_COUNT], total: 0.0 }
    }
}

impl Digest {
    fn record(&mut self, bucket: usize, weight: f32) {
        self.weights[bucket.min(BUCKET_COUNT - 1)] += weight;
        self.total += weight;
        if self.total >= WEIGHT_MAX {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
    }

    /// The time that a fraction of the responses took at most, in milliseconds.
    fn quantile_ms(&self, fraction: f64) -> f64 {
        let wanted = f64::from(self.total) * fraction;
        let mut sum = 0.0;
        let reached = self.weights.iter().position(|weight| {
            sum += f64::from(*weight);
            sum >= wanted
        });
        let upper = reached.unwrap_or(BUCKET_COUNT - 1) + 1;
        (upper as f64 / BUCKETS_PER_DOUBLING).exp2()
    }
}

impl ResponseTimes {
    /// Records the time of a run, in milliseconds. For a cancelled run it is the time until then:
    /// that time is beyond the threshold, so the quantile stays where it is.
    ///
    /// While responses are late in general, only a few runs are recorded: enough to learn of a
    /// lasting change in a minute or two. Returns whether it was recorded.
    pub fn record(&mut self, class: LoadClass, ms: f64, trend: &Trend, now: Millis) -> bool {
        self.record_bucket(class, bucket(ms), 1, trend, now) > 0
    }

    /// Records runs that a peer reported, as many as [`Self::record`] would.
    pub fn merge(&mut self, runs: &Runs, trend: &Trend, now: Millis) {
        let Some(class) = LoadClass::ALL.get(usize::from(runs.class)) else { return };
        for (bucket, count) in &runs.counts {
            self.record_bucket(*class, usize::from(*bucket), *count, trend, now);
        }
    }

    fn record_bucket(
        &mut self,
        class: LoadClass,
        bucket: usize,
        count: u32,
        trend: &Trend,
        now: Millis,
    ) -> u32 {
        let recorded = match () {
            () if !trend.is_overloaded() => count,
            () if now.since(self.recorded_at) >= OVERLOAD_RECORD_MS => count.min(1),
            () => 0,
        };
        if recorded > 0 {
            self.digests[class as usize].record(bucket, recorded as f32);
            self.recorded_at = now;
        }
        recorded
    }

    /// The time after which a run counts as late, in milliseconds, by runs at servers as busy or,
    /// if too few of them are known, less busy; `None` if too few runs are known. `share` is the
    /// most hedges per request that may be hedged, see [`share_of_eligible`].
    #[must_use]
    pub fn threshold_ms(&self, class: LoadClass, share: f64) -> Option<f64> {
        let digest = self.known(class)?;
        let quantile = (1.0 - share * PLANNED_FRACTION).clamp(QUANTILE_MIN, QUANTILE_MAX);
        let median_ms = digest.quantile_ms(0.5);
        Some(digest.quantile_ms(quantile).max(median_ms * MEDIAN_FACTOR_MIN))
    }

    /// The usual time of a run, in milliseconds; `None` if too few runs are known.
    #[must_use]
    pub fn usual_ms(&self, class: LoadClass) -> Option<f64> {
        self.known(class).map(|digest| digest.quantile_ms(0.5))
    }

    /// Whether a run that took `ms` milliseconds shows that its server is fast.
    #[must_use]
    pub fn is_fast(&self, class: LoadClass, ms: f64) -> bool {
        self.usual_ms(class).is_some_and(|usual_ms| ms < usual_ms * FAST_MEDIANS)
    }

    /// The times at servers as busy, or at the next less busy ones of which enough are known.
    fn known(&self, class: LoadClass) -> Option<&Digest> {
        let digests = self.digests[..=class as usize].iter().rev();
        digests.into_iter().find(|digest| digest.total >= WEIGHT_MIN)
    }
}

impl Trend {
    /// Records a run that became late, or that ended before.
    pub fn record(&mut self, is_late: bool) {
        let observed = if is_late { 1.0 } else { 0.0 };
        self.late_share += TREND_WEIGHT * (observed - self.late_share);
    }

    /// Records the runs of a peer, of which `late` became late.
    pub fn merge(&mut self, (ended, late): (u32, u32)) {
        if ended > 0 {
            let kept = (1.0 - TREND_WEIGHT).powi(i32::try_from(ended).unwrap_or(i32::MAX));
            let observed = f64::from(late.min(ended)) / f64::from(ended);
            self.late_share += (1.0 - kept) * (observed - self.late_share);
        }
    }

    /// Whether responses are late in general.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.late_share >= TREND_LATE_MAX
    }
}

/// The bucket of a digest that holds a response time in milliseconds.
fn bucket(ms: f64) -> usize {
    let position = ms.max(1.0).log2() * BUCKETS_PER_DOUBLING;
    (position as usize).min(BUCKET_COUNT - 1)
}

/// Why none of the servers that take a request may have its hedge, where none of `targets` is open:
/// the reason of those that lack least.
#[must_use]
pub fn why_none(targets: impl IntoIterator<Item = Target>, now: Millis) -> Withheld {
    let reasons = targets.into_iter().filter_map(|target| target.check(now).err());
    reasons.fold(Withheld::NoServer, |why, other| match (why, other) {
        (Withheld::NoRoom, _) | (_, Withheld::NoRoom) => Withheld::NoRoom,
        _ => other,
    })
}

/// How many hedges one host may send, if all hosts together may send `share` per request.
#[must_use]
pub fn allowance(share: f64) -> Allowance {
    Allowance { share, spare: 0.0, window_ms: WINDOW_MS }
}

/// The most hedges per request that may be hedged, if there may be `share` per request of the
/// service and this fraction of its requests may be hedged.
///
/// Where most requests may run once only, the few others may be hedged sooner: a hedge sent after
/// the slowest times alone ends hardly before the first run does.
#[must_use]
pub fn share_of_eligible(share: f64, eligible_fraction: f64) -> f64 {
    (share / eligible_fraction.max(f64::MIN_POSITIVE)).min(1.0)
}

/// A host's requests and hedges in the last 60 s.
#[must_use]
pub fn counts(window: &Window, share: f64, now: Millis) -> Counts {
    let (requests, hedges) = window.counts(&allowance(share), now);
    Counts { requests, hedges }
}

/// Whether a request whose first run is late may be hedged, if a server and an allowance are found.
///
/// # Errors
/// The reason why it may not.
pub fn decide(situation: &Situation, trend: &Trend) -> Result<(), Withheld> {
    let Situation { attempt, waited_ms, threshold_ms, .. } = situation;
    match () {
        () if !retry::may_hedge(attempt, *waited_ms, *threshold_ms) => Err(Withheld::Request),
        () if situation.sent >= situation.attempts_max => Err(Withheld::Attempts),
        () if situation.is_suspect => Err(Withheld::Suspect),
        () if trend.is_overloaded() => Err(Withheld::Overload),
        () => Ok(()),
    }
}
