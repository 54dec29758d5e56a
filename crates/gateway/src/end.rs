//! One line for each request, when its answer has ended.

use entry::connection::Cause;

use crate::carry::Job;
use crate::codec::Codec;

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

/// Logs and counts the end of a request.
pub fn log<C: Codec>(job: &Job<C>, end: End, events: u32) {
    let ms = job.started.elapsed().as_secs_f64() * 1_000.0;
    let route = &job.route().name;
    metrics::counter!("gateway_requests_total", "route" => route.to_string(), "end" => end.label())
        .increment(1);
    metrics::histogram!("gateway_request_seconds", "route" => route.to_string())
        .record(ms / 1_000.0);
    let none = policy::name::Name::default();
    log::info!(target: "route", request:% = job.ask.id, route:% = route, service:% = job.service,
        version:% = job.tries.version.as_ref().unwrap_or(&none),
        backend:? = job.tries.tried.last(), model:% = job.model().unwrap_or(&none),
        doubted:? = job.tries.doubted, sent = job.tries.sent, unsent = job.tries.unsent,
        events, prompt = job.ask.prompt_tokens, first_ms = job.tries.begun_ms, ms = ms as u64, table = job.state.world.load().index.version,
        outcome:? = end; "request ended");
}
