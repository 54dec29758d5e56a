//! Refusals of routed requests.

use entry::answer::Answer;
use hyper::Response;
use policy::name::Name;
use wire::refusal::{Code, Refusal};

use crate::codec::Codec;

/// When a caller may come back if no backend server can be reached. Unreachable servers are probed
/// about as often.
const NO_BACKEND_RETRY_MS: u64 = 250;
/// The least time after which a caller may come back if all backend servers of a service are in
/// evacuated failure domains. Operators lift an evacuation after seconds at the earliest.
const EVACUATED_RETRY_MS: f64 = 1_000.0;
/// The least time after which a caller may come back if all backend servers of a service are
/// leaving. Their replacements take about as long to start and to be listed.
const LEAVING_RETRY_MS: f64 = 1_000.0;
/// When a caller may come back if this host has no routing table yet.
const NOT_READY_RETRY_MS: u64 = 500;
/// The lowest rate that callers of a limited service are sent back by. Services with a lower limit
/// count as if they had this one, which bounds the wait.
const LIMITED_PER_SECOND_MIN: f64 = 0.2;
/// The least time after which a caller of a full service may come back.
const BUSY_RETRY_MS_MIN: f64 = 100.0;
/// The least time after which a caller may come back if this host has no memory for its request.
/// Callers that hold it without reading are disconnected within about as long.
const NO_MEMORY_RETRY_MS: f64 = 1_000.0;

/// This host has no routing table yet.
#[must_use]
pub fn not_ready() -> Refusal {
    Refusal::not_run(Code::NotReady, "no configuration yet").retry_after(NOT_READY_RETRY_MS)
}

/// No route matches the host name and path.
#[must_use]
pub fn no_route() -> Refusal {
    Refusal::not_run(Code::NotFound, "no route for this host and path")
}

/// The key belongs to no client account.
#[must_use]
pub fn unknown_key() -> Refusal {
    Refusal::not_run(Code::UnknownAccount, "the key belongs to no client account")
}

/// Every backend server that was tried is full.
///
/// `service_ms` is how long one request takes. `draw` is uniform in 0 to 1 and keeps callers that
/// were refused together from coming back together.
#[must_use]
pub fn busy(service_ms: f64, draw: f64) -> Refusal {
    let ms = service_ms.max(BUSY_RETRY_MS_MIN) * (1.0 + draw);
    Refusal::not_run(Code::Overloaded, "every backend server is full").retry_after(ms as u64)
}

/// The request waited for a server, or would have to, for longer than its caller waits.
#[must_use]
pub fn not_in_time(retry_after_ms: u64) -> Refusal {
    Refusal::not_run(Code::Overloaded, "the request can't be answered in time")
        .retry_after(retry_after_ms)
}

/// Every backend server that could be used has reached its limit.
///
/// `per_second` is the sum of their limits. `draw` is uniform in 0 to 1 and keeps callers that were
/// refused together from coming back together.
#[must_use]
pub fn limited(per_second: f64, draw: f64) -> Refusal {
    let ms =
        (1_000.0 / per_second.max(LIMITED_PER_SECOND_MIN)).max(BUSY_RETRY_MS_MIN) * (1.0 + draw);
    Refusal::not_run(Code::Overloaded, "every backend server has reached its limit")
        .retry_after(ms as u64)
}

/// Every backend server that could be used wants a pause from this host.
///
/// `ms` is the time until the first pause ends. `draw` is uniform in 0 to 1: callers come back
/// spread over a further quarter of the pause, so that they don't all arrive at the moment in which
/// it ends.
#[must_use]
pub fn paused(ms: u64, draw: f64) -> Refusal {
    let spread = draw * (ms as f64 / 4.0).max(BUSY_RETRY_MS_MIN);
    Refusal::not_run(Code::Overloaded, "every backend server wants a pause")
        .retry_after(ms + spread as u64)
}

/// This host is stopping. Another one takes the request at once.
#[must_use]
pub fn stopping() -> Refusal {
    Refusal::not_run(Code::ShuttingDown, "this host is stopping").retry_after(0)
}

/// No backend server can be reached.
#[must_use]
pub fn no_backend() -> Refusal {
    Refusal::not_run(Code::NoBackend, "no backend server can be reached")
        .retry_after(NO_BACKEND_RETRY_MS)
}

/// All backend servers of the service are in evacuated failure domains.
///
/// `draw` is uniform in 0 to 1 and keeps callers that were refused together from coming back
/// together.
#[must_use]
pub fn evacuated(draw: f64) -> Refusal {
    let ms = EVACUATED_RETRY_MS * (1.0 + draw);
    Refusal::not_run(Code::NoBackend, "all backend servers are in evacuated failure domains")
        .retry_after(ms as u64)
}

/// All backend servers of the service are leaving.
///
/// `draw` is uniform in 0 to 1 and keeps callers that were refused together from coming back
/// together.
#[must_use]
pub fn leaving(draw: f64) -> Refusal {
    let ms = LEAVING_RETRY_MS * (1.0 + draw);
    Refusal::not_run(Code::NoBackend, "all backend servers are leaving").retry_after(ms as u64)
}

/// This host has had no memory for the request's body.
///
/// `draw` is uniform in 0 to 1 and keeps callers that were refused together from coming back
/// together.
#[must_use]
pub fn no_memory(draw: f64) -> Refusal {
    let ms = NO_MEMORY_RETRY_MS * (1.0 + draw);
    Refusal::not_run(Code::Overloaded, "this host has no memory for the body")
        .retry_after(ms as u64)
}

/// The host that passed the request on has recalled it.
#[must_use]
pub fn recalled() -> Refusal {
    Refusal::may_have_run(Code::BackendFailed, "recalled by the host that passed it on")
}

/// The response with which a caller receives a refusal of the request `id`.
#[must_use]
pub fn response<C: Codec>(codec: &C, id: &Name, mut refusal: Refusal) -> Response<Answer> {
    refusal.request = Some(id.clone());
    let mut response = entry::refuse::response(refusal.clone());
    codec.add_refusal_headers(response.headers_mut(), id, &refusal);
    response
}
