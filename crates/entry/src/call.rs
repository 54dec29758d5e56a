//! A caller's request as the chain sees it.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use policy::name::Name;
use wire::refusal::{Code, Refusal};
use wire::settings::Bounds;

/// A body may take this many times the limit between two of its pieces altogether, so that a
/// caller that sends single bytes just in time is cut off too.
const BODY_SLOW_FACTOR: u32 = 6;
/// Room made for a body before its first byte. Its length is what the caller says: one that announces a
/// long body and never sends it would hold that much for nothing.
const BODY_BEGUN_BYTES_MAX: usize = 64 << 10;
/// Longest header value taken as a name of the caller's own: key, session, task.
pub const NAME_BYTES_MAX: usize = 256;

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// A model.
    Chat,
    /// A plain service and the path below its name, query included.
    Service {
        /// Its name.
        name: Name,
        /// What it is asked for, from the slash on.
        path: String,
    },
}

/// A request, its body not yet read.
pub struct Call {
    /// Unique for all time.
    pub id: Name,
    /// When its head was read.
    pub started: Instant,
    /// As sent by the caller.
    pub method: Method,
    /// As sent by the caller.
    pub headers: HeaderMap,
    /// Where it goes.
    pub route: Route,
}

impl Call {
    /// One header as text, if it is there.
    ///
    /// # Errors
    /// When it is too long or not plain text.
    pub fn header(&self, name: &str) -> Result<Option<&str>, Refusal> {
        let Some(value) = self.headers.get(name) else { return Ok(None) };
        match value.to_str() {
            Ok(text) if text.len() <= NAME_BYTES_MAX * 4 => Ok(Some(text.trim())),
            Ok(_) => Err(Refusal::not_run(Code::TooLarge, format!("{name} is too long"))),
            Err(_) => Err(Refusal::not_run(Code::BadRequest, format!("{name} is not plain text"))),
        }
    }

    /// A header that holds a name of the caller's own.
    ///
    /// # Errors
    /// When it is empty, too long or not plain text.
    pub fn named(&self, name: &str) -> Result<Option<Name>, Refusal> {
        match self.header(name)? {
            None => Ok(None),
            Some("") => Err(Refusal::not_run(Code::BadRequest, format!("{name} is empty"))),
            Some(text) if text.len() > NAME_BYTES_MAX => {
                Err(Refusal::not_run(Code::TooLarge, format!("{name} is too long")))
            }
            Some(text) => Ok(Some(Name::from(text))),
        }
    }

    /// When the caller no longer waits: its own header, bounded by what the task allows.
    ///
    /// # Errors
    /// When the header is not a whole number of milliseconds.
    pub fn deadline(&self, bound_ms: u64) -> Result<Instant, Refusal> {
        let asked = match self.header(wire::backend::DEADLINE)? {
            None => bound_ms,
            Some(text) => text.parse::<u64>().map_err(|_| {
                Refusal::not_run(
                    Code::BadRequest,
                    "chestnutspur-deadline must be whole milliseconds",
                )
            })?,
        };
        Ok(self.started + Duration::from_millis(asked.min(bound_ms)))
    }
}

/// Whether a header's value can be a name of the caller's own.
#[must_use]
pub fn can_name(value: &HeaderValue) -> bool {
    let text = value.to_str().map(str::trim).unwrap_or_default();
    (1..=NAME_BYTES_MAX).contains(&text.len())
}

/// Where a path leads.
///
/// # Errors
/// When it leads nowhere, or not with that method.
pub fn route(method: &Method, uri: &Uri) -> Result<Route, Refusal> {
    match uri.path() {
        "/v1/chat/completions" if method == Method::POST => Ok(Route::Chat),
        "/v1/chat/completions" => {
            Err(Refusal::not_run(Code::WrongMethod, "chat completions are asked for by POST"))
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

/// Refuses headers over the bound.
///
/// # Errors
/// [`Code::TooLarge`].
pub fn check_headers(headers: &HeaderMap, bounds: &Bounds) -> Result<(), Refusal> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    match bytes {
        over if over > bounds.header_bytes => Err(Refusal::not_run(
            Code::TooLarge,
            format!("the headers are over {} bytes", bounds.header_bytes),
        )),
        _ => Ok(()),
    }
}

/// Reads a body whole, within its bounds.
///
/// # Errors
/// [`Code::TooLarge`], [`Code::TooSlow`], or [`Code::BadRequest`] if the caller broke off.
pub async fn read_body(mut body: Incoming, bounds: &Bounds) -> Result<Bytes, Refusal> {
    let slow = Duration::from_millis(bounds.slow_ms);
    let whole = tokio::time::Instant::now() + slow * BODY_SLOW_FACTOR;
    let declared = body.size_hint().lower();
    let max = bounds.body_bytes;
    if declared > max as u64 {
        return Err(too_large(max));
    }
    let begun = usize::try_from(declared).unwrap_or_default().min(BODY_BEGUN_BYTES_MAX);
    let mut bytes = BytesMut::with_capacity(begun);
    loop {
        let until = whole.min(tokio::time::Instant::now() + slow);
        let frame = match tokio::time::timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                return Err(Refusal::not_run(Code::BadRequest, "the body broke off"));
            }
            Err(_) => {
                return Err(Refusal::not_run(Code::TooSlow, "the body came too slowly"));
            }
        };
        match frame.into_data() {
            Ok(data) if bytes.len() + data.len() > max => return Err(too_large(max)),
            Ok(data) => bytes.extend_from_slice(&data),
            Err(_) => {}
        }
    }
}

fn too_large(max: usize) -> Refusal {
    Refusal::not_run(Code::TooLarge, format!("the body is over {max} bytes"))
}
