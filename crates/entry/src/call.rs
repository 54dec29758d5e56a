//! Reads a caller's request: its route, headers and body.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use policy::name::Name;
use wire::refusal::{Code, Refusal};
use wire::settings::Bounds;

use crate::body::{self, Fault, Gate, Limits, OpenGate};

/// Maximum time for a whole body, as a multiple of the longest wait between two of its pieces.
/// Without it, a caller could send single bytes just in time forever.
const BODY_SLOW_FACTOR: u32 = 6;
/// Maximum length of a name that the caller chooses and sends in a header: idempotency key or
/// session.
pub const NAME_BYTES_MAX: usize = 256;

/// The destination of a request, from its path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// A chat completion by a model.
    Chat,
    /// A call of a plain service.
    Service {
        /// The name of the service.
        name: Name,
        /// The path below the service's name, with its leading slash and the query.
        path: String,
    },
}

/// The head of a request.
pub struct Call {
    /// The id that the entry host gave to the request; never used again.
    pub id: Name,
    /// The time at which the request's head was read.
    pub started: Instant,
    /// The method that the caller sent.
    pub method: Method,
    /// The headers that the caller sent.
    pub headers: HeaderMap,
    /// The destination of the request.
    pub route: Route,
}

impl Call {
    /// The trimmed text of a header; `None` if the request does not have it.
    ///
    /// # Errors
    /// [`Code::TooLarge`] if the value is too long, [`Code::BadRequest`] if it is not visible
    /// ASCII.
    pub fn header(&self, name: &str) -> Result<Option<&str>, Refusal> {
        let Some(value) = self.headers.get(name) else { return Ok(None) };
        match value.to_str() {
            Ok(text) if text.len() <= NAME_BYTES_MAX * 4 => Ok(Some(text.trim())),
            Ok(_) => Err(Refusal::not_run(Code::TooLarge, format!("{name} is too long"))),
            Err(_) => Err(Refusal::not_run(Code::BadRequest, format!("{name} is not ASCII text"))),
        }
    }

    /// Parses a header that holds a name which the caller chose; `None` if the request does not
    /// have it.
    ///
    /// # Errors
    /// [`Code::TooLarge`] if the name is too long, [`Code::BadRequest`] if it is empty or not
    /// visible ASCII.
    pub fn parse_name(&self, name: &str) -> Result<Option<Name>, Refusal> {
        match self.header(name)? {
            None => Ok(None),
            Some("") => Err(Refusal::not_run(Code::BadRequest, format!("{name} is empty"))),
            Some(text) if text.len() > NAME_BYTES_MAX => {
                Err(Refusal::not_run(Code::TooLarge, format!("{name} is too long")))
            }
            Some(text) => Ok(Some(Name::from(text))),
        }
    }

    /// The time after which the caller no longer waits: what its deadline header says, but at most
    /// `bound_ms` after the request's start. Without the header `bound_ms` applies.
    ///
    /// # Errors
    /// [`Code::BadRequest`] if the header is not a whole number of milliseconds.
    pub fn deadline(&self, bound_ms: u64) -> Result<Instant, Refusal> {
        let requested_ms = match self.header(wire::backend::DEADLINE)? {
            None => bound_ms,
            Some(text) => text.parse::<u64>().map_err(|_| {
                Refusal::not_run(
                    Code::BadRequest,
                    "chestnutspur-deadline must be a whole number of milliseconds",
                )
            })?,
        };
        Ok(self.started + Duration::from_millis(requested_ms.min(bound_ms)))
    }
}

/// Whether a header value is acceptable as a name that the caller chose.
#[must_use]
pub fn is_valid_name(value: &HeaderValue) -> bool {
    let text = value.to_str().map(str::trim).unwrap_or_default();
    (1..=NAME_BYTES_MAX).contains(&text.len())
}

/// Finds the route of a method and path.
///
/// # Errors
/// [`Code::NotFound`] for an unknown path, [`Code::WrongMethod`] if the path does not allow the
/// method.
pub fn route(method: &Method, uri: &Uri) -> Result<Route, Refusal> {
    match uri.path() {
        "/v1/chat/completions" if method == Method::POST => Ok(Route::Chat),
        "/v1/chat/completions" => {
            Err(Refusal::not_run(Code::WrongMethod, "chat completions require the method POST"))
        }
        path => match path.strip_prefix("/services/") {
            Some(rest) => Ok(service(rest, uri.query())),
            None => Err(Refusal::not_run(Code::NotFound, "no such path")),
        },
    }
}

fn service(rest: &str, query: Option<&str>) -> Route {
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = if path.is_empty() { "/" } else { path };
    let path = match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Route::Service { name: Name::from(name), path }
}

/// Refuses a request whose headers exceed the bound.
///
/// # Errors
/// [`Code::TooLarge`] if names and values together exceed `bounds.header_bytes`.
pub fn check_headers(headers: &HeaderMap, bounds: &Bounds) -> Result<(), Refusal> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    match bytes {
        over if over > bounds.header_bytes => Err(Refusal::not_run(
            Code::TooLarge,
            format!("the headers exceed {} bytes", bounds.header_bytes),
        )),
        _ => Ok(()),
    }
}

/// Reads a whole body within the bounds on its size and time.
///
/// # Errors
/// [`Code::TooLarge`], [`Code::TooSlow`], or [`Code::BadRequest`] if the caller broke off.
pub async fn read_body(body: Incoming, bounds: &Bounds) -> Result<Bytes, Refusal> {
    read_body_through(&mut OpenGate, body, bounds).await.map_err(refusal)
}

/// Like [`read_body`], with waits at a gate. They do not count as time that the caller takes.
///
/// # Errors
/// Why the body was not read; see [`refusal`].
pub async fn read_body_through(
    gate: &mut impl Gate,
    mut body: Incoming,
    bounds: &Bounds,
) -> Result<Bytes, Fault> {
    let between = Duration::from_millis(bounds.slow_ms);
    let whole = between * BODY_SLOW_FACTOR;
    let limits = Limits { between, whole, ..Limits::new(bounds.body_bytes) };
    body::read(&mut body, &limits, gate).await
}

/// The refusal of a request whose body was not read.
#[must_use]
pub fn refusal(fault: Fault) -> Refusal {
    let code = match &fault {
        Fault::TooLong(_) => Code::TooLarge,
        Fault::Broken { .. } => Code::BadRequest,
        Fault::Slow { .. } | Fault::Late => Code::TooSlow,
        Fault::NoMemory(_) => Code::Overloaded,
    };
    Refusal::not_run(code, fault.to_string())
}
