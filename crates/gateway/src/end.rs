//! Logs one line for each request when its answer has ended.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use entry::clock;
use entry::connection::Cause;

use crate::codec::Codec;
use crate::job::Job;
use crate::resume::Obstacle;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer was passed on.
    Answered,
    /// The answer broke off after a part of it was passed on.
    Broken(Cause),
    /// The caller closed its connection.
    CallerGone,
    /// This host refused the request, or failed to answer it, with this status code.
    Refused(u16),
}

impl End {
    /// The value of the `end` label in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Broken(_) => "broken",
            Self::CallerGone => "caller_gone",
            Self::Refused(_) => "refused",
        }
    }
}

impl Obstacle {
    /// The value of the `why` label in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Kind => "kind",
            Self::Attempts => "attempts",
            Self::Connections => "connections",
            Self::Repeats => "repeats",
            Self::NoServer => "no_server",
            Self::Held => "held",
        }
    }
}

/// How much of a stream was passed on to the caller; all zero for a plain answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayProgress {
    /// The number of events, without comments.
    pub events: u32,
    /// The longest pause between two pieces, in milliseconds.
    pub pause_ms: u64,
    /// When the last piece was passed on.
    pub last_at: Option<Instant>,
}

impl RelayProgress {
    /// Records that a piece was passed on.
    pub fn record_piece(&mut self, now: Instant) {
        let pause = self.last_at.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.pause_ms = self.pause_ms.max(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
        self.last_at = Some(now);
    }
}

/// Logs and counts the end of a request.
pub fn log<C: Codec>(job: &Job<C>, end: End, progress: RelayProgress) {
    let ms = job.started.elapsed().as_secs_f64() * 1_000.0;
    let route = &job.route().name;
    metrics::counter!("gateway_requests_total", "route" => route.to_string(), "end" => end.label())
        .increment(1);
    metrics::histogram!("gateway_request_seconds", "route" => route.to_string())
        .record(ms / 1_000.0);
    let attempts = &job.attempts;
    log::info!(target: "route", request:% = job.info.id, route:% = route, service:% = job.service,
        version:% = display(attempts.version.as_ref()),
        backend:% = display(attempts.backend.as_ref()), model:% = display(job.model()),
        doubted:% = display(attempts.dropped_confidence), kept_doubtful = attempts.kept_doubtful,
        sent = attempts.sent,
        unsent = attempts.unsent, refused = attempts.refused, not_run = attempts.not_run,
        hedged = attempts.hedge.is_sent, hedge_won = attempts.hedge.has_won,
        events = progress.events, pause_ms = progress.pause_ms,
        gap_ms = job.route().gap_ms.unwrap_or_default(), objective_ms = job.route().objective_ms,
        prompt = job.info.prompt_tokens, expected_ms = attempts.expected_ms,
        fetched = attempts.fetch.as_ref().map_or(0, |fetch| fetch.tokens as u64),
        fetched_from:% = display(attempts.fetch.as_ref().map(|fetch| &fetch.source.id)),
        head_ms = attempts.head_ms, first_ms = attempts.began_after_ms, ms = ms as u64,
        continued = attempts.used_copies.len(), waited_ms = attempts.waited_ms,
        list_ms = attempts.list_ms.load(Ordering::Relaxed),
        table = job.state.snapshot.load().index.version, outcome:? = end; "request ended");
}

/// Logs and counts a stream that broke off and was not resumed at another backend server.
pub fn log_stranded<C: Codec>(job: &Job<C>, obstacle: Obstacle) {
    let now = clock::steady();
    let attempts = &job.attempts;
    let repeats = job.window(|window, allowance| window.remaining(allowance, now));
    let snapshot = job.state.snapshot.load();
    let pool = snapshot.pools.get(&job.service);
    let takes_work = |version| {
        let servers = pool.into_iter().flat_map(|pool| pool.servers(version));
        servers.filter(|backend| backend.server.accepts_work(now)).count()
    };
    let rollout = pool.and_then(|pool| pool.rollout.as_ref());
    metrics::counter!("gateway_streams_stranded_total", "why" => obstacle.label()).increment(1);
    log::warn!(target: "route", request:% = job.info.id, why:? = obstacle, sent = attempts.sent,
        unsent = attempts.unsent, refused = attempts.refused, not_run = attempts.not_run,
        repeats, left_ms = job.time_left().as_millis() as u64,
        version:% = display(attempts.version.as_ref()),
        servers = attempts.version.as_ref().map_or(0, takes_work),
        target:% = display(rollout.map(|rollout| &rollout.target)),
        stage:? = rollout.map(|rollout| rollout.stage),
        share = rollout.map_or(0.0, |rollout| rollout.share(now)),
        target_servers = rollout.map_or(0, |rollout| takes_work(&rollout.target));
        "stream not resumed at another backend server");
}

/// Formats a value for a log line; an absent value is an empty string.
fn display<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
