//! The contents of requests and answers, independent of their names on the wire.

use std::fmt;
use std::net::SocketAddr;

use hyper::http::response::Parts;
use hyper::{HeaderMap, StatusCode};
use policy::intake::Statement;
use policy::name::Name;
pub use policy::prefix::Part as PromptPart;
use wire::refusal::Refusal;

use crate::copies;

/// What a request's headers say.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Identifies this request of the caller. The answer must carry the same id.
    pub id: Name,
    /// How long the caller waits, in milliseconds; `None` if the request doesn't say.
    pub patience_ms: Option<u64>,
    /// The caller's key, which belongs to a client account.
    pub key: Option<Name>,
    /// The session that the request continues, if it has one.
    pub session: Option<Name>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated; 0 if unknown.
    pub output_tokens: u32,
    /// The prompt's parts in order. The last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

impl RequestInfo {
    /// The parts of the prompt that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Formats the ids of prompt parts for a log line.
pub struct Ids<'a>(pub &'a [PromptPart]);

impl fmt::Display for Ids<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, part) in self.0.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            write!(f, "{comma}{:x}", part.id)?;
        }
        Ok(())
    }
}

/// What a backend server receives along with the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInfo<'a> {
    /// The id of the backend server, which alone may run the request.
    pub backend: &'a Name,
    /// The client account of the caller's key.
    pub account: Option<&'a Name>,
    /// How long the answer is waited for, in milliseconds.
    pub left_ms: u64,
    /// The model that this host chose; `None` if the caller chooses the model.
    pub model: Option<&'a Name>,
    /// The last event that the caller has of the stream, behind which the server resumes it.
    pub last_event: Option<u64>,
    /// The request's rank among those that wait for an engine, 0 first; `None` for plain services.
    pub priority: Option<u8>,
    /// The engine from which the server first fetches what it lacks of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The engine that keeps a backup of the request's KV cache while the request runs.
    pub backup_at: Option<SocketAddr>,
    /// The copy of the request's KV cache from which the server continues the request.
    pub continue_from: Option<&'a copies::Copy>,
}

/// The load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that the server runs and requests that wait there.
    pub requests: u32,
    /// Requests that the server can run at once.
    pub slots: u32,
    /// Time that work takes on the server's machine at this moment, in percent of the usual time;
    /// `None` if the server does not report it.
    pub percent: Option<u32>,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerInfo {
    /// The id of the request that is answered.
    pub id: Option<Name>,
    /// Whether the answer carries the server's signature.
    pub is_signed: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether the request reached a server other than the one that it was sent to.
    pub misdirected: bool,
    /// Whether the body is encoded. Servers don't encode, so something on the way did.
    pub is_encoded: bool,
    /// The server's load, if reported.
    pub load: Option<Load>,
    /// The limit, departure or pause that the server states.
    pub statement: Statement,
    /// Rejected requests a second that a server of this service tolerates before it crashes.
    pub tolerance: Option<f64>,
    /// The confidence of the model in its answer, 0 to 100.
    pub confidence: Option<u8>,
}

/// Reads and writes the headers of callers and backend servers.
pub trait Codec: Send + Sync + 'static {
    /// Reads a caller's headers. Values that can't be parsed are left out.
    fn request_info(&self, headers: &HeaderMap) -> RequestInfo;

    /// The headers for a backend server, made from the caller's.
    fn backend_headers(&self, headers: &HeaderMap, sending: &AttemptInfo<'_>) -> HeaderMap;

    /// The headers for another host that acts in this one's place: the caller's headers, with the
    /// time that is left and the last event that the caller has.
    fn host_headers(&self, headers: &HeaderMap, left_ms: u64, last_event: Option<u64>)
    -> HeaderMap;

    /// Reads the status and headers of a backend server's answer.
    fn answer_info(&self, status: StatusCode, headers: &HeaderMap) -> AnswerInfo;

    /// The headers for the caller, made from the backend server's.
    fn caller_headers(&self, head: &Parts) -> HeaderMap;

    /// Adds to a refusal's headers the request's id and the time at which the caller may come back.
    fn add_refusal_headers(&self, headers: &mut HeaderMap, id: &Name, refusal: &Refusal);
}
