//! Refusals of routed requests.

use entry::answer::Answer;
use hyper::Response;
use policy::name::Name;
use wire::refusal::{Code, Refusal};

use crate::codec::Codec;

/// While no backend server can be reached; they are asked again about as often.
const NO_BACKEND_RETRY_MS: u64 = 250;
/// While all backend servers of a service stand in evacuated failure domains: operators take orders
/// back after seconds at the least.
const EVACUATED_RETRY_MS: f64 = 1_000.0;
/// While all backend servers of a service leave: those that come in their place take about as long to
/// start and to be listed.
const LEAVING_RETRY_MS: f64 = 1_000.0;
/// Before there is a table of routes.
const NOT_READY_RETRY_MS: u64 = 500;
/// Requests a second of a service below which callers are asked to come back as if it took so many.
const LIMITED_PER_SECOND_MIN: f64 = 0.2;
/// Least time after which a caller of a full service comes back.
const BUSY_RETRY_MS_MIN: f64 = 100.0;

/// There is no table of routes yet.
#[must_use]
pub fn not_ready() -> Refusal {
    Refusal::not_run(Code::NotReady, "no configuration yet").retry_after(NOT_READY_RETRY_MS)
}

/// No route has the host and path.
#[must_use]
pub fn no_route() -> Refusal {
    Refusal::not_run(Code::NotFound, "no route for this host and path")
}

/// The key belongs to no account.
#[must_use]
pub fn unknown_key() -> Refusal {
    Refusal::not_run(Code::UnknownAccount, "the key belongs to no client account")
}

/// Every backend server tried was full. `service_ms` is how long one request takes, `draw` a
/// uniform draw that keeps callers refused together from coming back together.
#[must_use]
pub fn busy(service_ms: f64, draw: f64) -> Refusal {
    let ms = service_ms.max(BUSY_RETRY_MS_MIN) * (1.0 + draw);
    Refusal::not_run(Code::Overloaded, "every backend server is full").retry_after(ms as u64)
}

/// Every backend server that could be sent to takes only so many requests a second, `per_second` in
/// all; `draw` as above.
#[must_use]
pub fn limited(per_second: f64, draw: f64) -> Refusal {
    let ms =
        (1_000.0 / per_second.max(LIMITED_PER_SECOND_MIN)).max(BUSY_RETRY_MS_MIN) * (1.0 + draw);
    Refusal::not_run(Code::Overloaded, "every backend server has reached its limit")
        .retry_after(ms as u64)
}

/// Every backend server that could be sent to wants a pause from this host, the first for so many
/// milliseconds; `draw` as above. Callers return over a quarter of that more, so that they don't all
/// come in the moment in which it ends.
#[must_use]
pub fn paused(ms: u64, draw: f64) -> Refusal {
    let spread = draw * (ms as f64 / 4.0).max(BUSY_RETRY_MS_MIN);
    Refusal::not_run(Code::Overloaded, "every backend server wants a pause")
        .retry_after(ms + spread as u64)
}

/// No backend server could be reached.
#[must_use]
pub fn no_backend() -> Refusal {
    Refusal::not_run(Code::NoBackend, "no backend server can be reached")
        .retry_after(NO_BACKEND_RETRY_MS)
}

/// All backend servers stand in evacuated failure domains; `draw` as above.
#[must_use]
pub fn evacuated(draw: f64) -> Refusal {
    let ms = EVACUATED_RETRY_MS * (1.0 + draw);
    Refusal::not_run(Code::NoBackend, "all backend servers are in evacuated failure domains")
        .retry_after(ms as u64)
}

/// All backend servers leave; `draw` as above.
#[must_use]
pub fn leaving(draw: f64) -> Refusal {
    let ms = LEAVING_RETRY_MS * (1.0 + draw);
    Refusal::not_run(Code::NoBackend, "all backend servers leave").retry_after(ms as u64)
}

/// The host that passed the request on has taken it back.
#[must_use]
pub fn recalled() -> Refusal {
    Refusal::may_have_run(Code::BackendFailed, "taken back by the host that passed it on")
}

/// The response that tells a caller.
#[must_use]
pub fn response<C: Codec>(codec: &C, id: &Name, mut refusal: Refusal) -> Response<Answer> {
    refusal.request = Some(id.clone());
    let mut response = entry::refuse::response(refusal.clone());
    codec.add_refusal_headers(response.headers_mut(), id, &refusal);
    response
}
