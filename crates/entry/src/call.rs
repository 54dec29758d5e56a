//! Reads a caller's request: its route, headers and body.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use policy::name::Name;
use wire::refusal::{Code, Refusal};
use wire::settings::Bounds;

/// Maximum time for a whole body, as a multiple of the longest wait between two of its pieces.
/// Without it, a caller could send single bytes just in time forever.
const BODY_SLOW_FACTOR: u32 = 6;
/// Maximum memory allocated for a body before its first byte. The caller declares the length, and
/// one that declares a long body and never sends it would occupy that much memory for nothing.
const BODY_PREALLOCATED_BYTES_MAX: usize = 64 << 10;
/// What is expected of the first piece of a body whose length is not declared.
const BODY_PIECE_BYTES: usize = 8 << 10;
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

/// Decides when more of a body may be read.
pub trait Gate {
    /// Waits until more may be read. `held` is the memory that the body uses, and `next` what it
    /// will use beyond that.
    ///
    /// # Errors
    /// The refusal of a request whose body is not read further.
    fn wait(
        &mut self,
        held: usize,
        next: usize,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;

    /// The body has been read. `held` is the memory that it uses.
    fn finish(&mut self, held: usize);
}

/// The gate of bodies that are read without a wait.
struct OpenGate;

impl Gate for OpenGate {
    async fn wait(&mut self, _: usize, _: usize) -> Result<(), Refusal> {
        Ok(())
    }

    fn finish(&mut self, _: usize) {}
}

/// Reads a whole body within the bounds on its size and time.
///
/// # Errors
/// [`Code::TooLarge`], [`Code::TooSlow`], or [`Code::BadRequest`] if the caller broke off.
pub async fn read_body(body: Incoming, bounds: &Bounds) -> Result<Bytes, Refusal> {
    read_body_through(&mut OpenGate, body, bounds).await
}

/// Like [`read_body`], with waits at a gate. They do not count as time that the caller takes.
///
/// # Errors
/// See [`read_body`]; or a refusal of the gate.
pub async fn read_body_through(
    gate: &mut impl Gate,
    mut body: Incoming,
    bounds: &Bounds,
) -> Result<Bytes, Refusal> {
    let slow = Duration::from_millis(bounds.slow_ms);
    let mut body_deadline = tokio::time::Instant::now() + slow * BODY_SLOW_FACTOR;
    let declared = body.size_hint().lower();
    let max = bounds.body_bytes;
    if declared > max as u64 {
        return Err(too_large(max));
    }
    let preallocated =
        usize::try_from(declared).unwrap_or_default().min(BODY_PREALLOCATED_BYTES_MAX);
    let mut waits_since = tokio::time::Instant::now();
    if preallocated > 0 {
        gate.wait(0, preallocated).await?;
    }
    let mut bytes = BytesMut::with_capacity(preallocated);
    loop {
        // A body that is complete must not wait to be noticed.
        if !body.is_end_stream() {
            // A buffer that is full grows to twice its size.
            let is_full = bytes.len() == bytes.capacity();
            let next = if is_full { bytes.capacity().max(BODY_PIECE_BYTES) } else { 0 };
            gate.wait(bytes.capacity(), next).await?;
        }
        body_deadline += waits_since.elapsed();
        let until = body_deadline.min(tokio::time::Instant::now() + slow);
        let frame = match tokio::time::timeout_at(until, body.frame()).await {
            Ok(None) => {
                gate.finish(bytes.capacity());
                return Ok(bytes.freeze());
            }
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                return Err(Refusal::not_run(Code::BadRequest, "the body broke off"));
            }
            Err(_) => {
                return Err(Refusal::not_run(Code::TooSlow, "the body arrived too slowly"));
            }
        };
        match frame.into_data() {
            Ok(data) if bytes.len() + data.len() > max => return Err(too_large(max)),
            Ok(data) => bytes.extend_from_slice(&data),
            Err(_) => {}
        }
        waits_since = tokio::time::Instant::now();
    }
}

fn too_large(max: usize) -> Refusal {
    Refusal::not_run(Code::TooLarge, format!("the body exceeds {max} bytes"))
}
