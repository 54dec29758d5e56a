//! What requests and answers say of themselves, apart from how the wire spells it.

use std::fmt;

use hyper::http::response::Parts;
use hyper::{HeaderMap, StatusCode};
use policy::intake::Statement;
use policy::name::Name;
use wire::refusal::Refusal;

/// A part of a prompt. Requests share parts; an engine that holds all parts up to one in its
/// cache need not read them again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPart {
    /// Names its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Names this try of the caller's; must come back unchanged.
    pub id: Name,
    /// How long the caller waits, in milliseconds.
    pub patience_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<Name>,
    /// Requests of one session follow each other.
    pub session: Option<Name>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The prompt's parts in order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// The last event the caller has; a stream goes on behind it.
    pub last_event: Option<u64>,
}

impl RequestInfo {
    /// The parts of its prompt that other requests may have as well.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Parts of a prompt as they stand in a log: their ids.
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

/// What a request is sent to a backend server with.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInfo<'a> {
    /// The start of the backend server that alone may run it.
    pub backend: &'a Name,
    /// The account that the caller's key belongs to.
    pub account: Option<&'a Name>,
    /// How long its answer is waited for, in milliseconds.
    pub left_ms: u64,
    /// The model chosen, if the choice is ours.
    pub model: Option<&'a Name>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// 0 is served first by an engine; none for plain services.
    pub priority: Option<u8>,
}

/// A backend server's load as reported with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests it works on and requests that wait there.
    pub requests: u32,
    /// Requests it can work on at once.
    pub slots: u32,
}

/// What a backend server says of its answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerInfo {
    /// The request it answers, as it says.
    pub id: Option<Name>,
    /// It signed the answer as its own.
    pub is_signed: bool,
    /// It says that it did not run the request.
    pub not_run: bool,
    /// It is not the one that the request was for.
    pub misdirected: bool,
    /// Something on the way has encoded the body.
    pub is_encoded: bool,
    /// Its load.
    pub load: Option<Load>,
    /// What it says of how much it takes.
    pub statement: Statement,
    /// Rejected requests a second that a server of its service tolerates, if they fall over beyond that.
    pub tolerance: Option<f64>,
    /// Its model's opinion of the answer, 0 to 100.
    pub confidence: Option<u8>,
}

/// How callers and backend servers spell all this.
pub trait Codec: Send + Sync + 'static {
    /// Reads what a caller says. What can't be read is left out.
    fn request_info(&self, headers: &HeaderMap) -> RequestInfo;

    /// The headers for a backend server, from the caller's.
    fn backend_headers(&self, headers: &HeaderMap, sending: &AttemptInfo<'_>) -> HeaderMap;

    /// The headers for another host, which does what this one would have done: the caller's, with the
    /// time that is left and the last event that the caller has.
    fn host_headers(&self, headers: &HeaderMap, left_ms: u64, last_event: Option<u64>)
    -> HeaderMap;

    /// Reads what a backend server says.
    fn answer_info(&self, status: StatusCode, headers: &HeaderMap) -> AnswerInfo;

    /// The headers for the caller, from the backend server's.
    fn caller_headers(&self, head: &Parts) -> HeaderMap;

    /// Adds to a refusal's headers what tells the caller its request and when to come back.
    fn add_refusal_headers(&self, headers: &mut HeaderMap, id: &Name, refusal: &Refusal);
}
