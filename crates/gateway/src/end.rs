//! One line for each request, when its answer has ended.

use std::time::{Duration, Instant};

use entry::connection::Cause;

use crate::codec::Codec;
use crate::job::Job;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Its answer was passed on whole.
    Answered,
    /// Its answer broke off after some of it was passed on.
    Broken(Cause),
    /// Its caller left.
    CallerGone,
    /// It was refused, or answered with a failure of ours.
    Refused(u16),
}

impl End {
    /// For metrics.
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

/// What was passed on of a stream; nothing of a plain answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Passed {
    /// Events.
    pub events: u32,
    /// Longest pause between two pieces, in milliseconds.
    pub pause_ms: u64,
    /// When the last piece was passed on.
    pub last: Option<Instant>,
}

impl Passed {
    /// A piece was passed on.
    pub fn piece(&mut self, now: Instant) {
        let pause = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.pause_ms = self.pause_ms.max(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
        self.last = Some(now);
    }
}

/// Logs and counts the end of a request.
pub fn log<C: Codec>(job: &Job<C>, end: End, passed: Passed) {
    let ms = job.started.elapsed().as_secs_f64() * 1_000.0;
    let route = &job.route().name;
    metrics::counter!("gateway_requests_total", "route" => route.to_string(), "end" => end.label())
        .increment(1);
    metrics::histogram!("gateway_request_seconds", "route" => route.to_string())
        .record(ms / 1_000.0);
    let tries = &job.tries;
    log::info!(target: "route", request:% = job.ask.id, route:% = route, service:% = job.service,
        version:% = shown(tries.version.as_ref()), backend:% = shown(tries.backend.as_ref()),
        model:% = shown(job.model()), doubted:% = shown(tries.doubted), sent = tries.sent,
        unsent = tries.unsent, refused = tries.refused, not_run = tries.not_run,
        events = passed.events, pause_ms = passed.pause_ms,
        gap_ms = job.route().gap_ms.unwrap_or_default(), objective_ms = job.route().objective_ms,
        prompt = job.ask.prompt_tokens, expected_ms = tries.expected_ms, head_ms = tries.head_ms,
        first_ms = tries.begun_ms, ms = ms as u64,
        table = job.state.world.load().index.version, outcome:? = end; "request ended");
}

/// A value that may be absent, as it stands in a log.
fn shown<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
