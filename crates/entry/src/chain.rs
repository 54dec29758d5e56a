//! The filter chain: runs a request through its filters in order, and answers or refuses it.

use std::sync::Arc;
use std::time::Instant;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::{Request, Response};
use policy::name::Name;
use wire::refusal::{Code, Ran, Refusal};

use crate::answer::Answer;
use crate::call::{self, Call, Route};
use crate::filter::{account, open};
use crate::state::State;
use crate::{chat, ending, refuse, service};

/// Answer header that echoes the caller's own `X-Request-Id`.
pub const CALLER_REQUEST: HeaderName = HeaderName::from_static("chestnutspur-caller-request");
/// A longer `X-Request-Id` of the caller is not echoed.
const CALLER_REQUEST_BYTES_MAX: usize = 128;

/// What the chain has learned about a request, needed if it is refused.
#[derive(Default)]
pub struct Trace {
    /// The client account; `None` until it is identified.
    pub account: Option<Name>,
    /// The task, or the name of the plain service; `None` until it is found.
    pub task: Option<Name>,
    /// Whether the request carries a well-formed idempotency key.
    pub has_key: bool,
}

/// Answers a request, with a refusal if it can't be served.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Answer> {
    let started = Instant::now();
    let id = state.request_id();
    let caller_id = caller_id(&request);
    // A malformed key is always refused, so no earlier request with it can have run.
    let has_key =
        request.headers().get(wire::backend::IDEMPOTENCY_KEY).is_some_and(call::is_valid_name);
    let mut trace = Trace { has_key, ..Trace::default() };
    let result = serve(&state, &id, started, request, &mut trace).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refusal_response(&state, &id, started, refusal, trace),
    };
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(HeaderName::from_static(wire::backend::REQUEST_ID), id);
    }
    if let Some(caller_id) = caller_id {
        headers.insert(CALLER_REQUEST, caller_id);
    }
    if state.stop.is_cancelled() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn caller_id(request: &Request<Incoming>) -> Option<HeaderValue> {
    let value = request.headers().get(wire::backend::REQUEST_ID)?;
    (value.len() <= CALLER_REQUEST_BYTES_MAX).then(|| value.clone())
}

async fn serve(
    state: &Arc<State>,
    id: &Name,
    started: Instant,
    request: Request<Incoming>,
    trace: &mut Trace,
) -> Result<Response<Answer>, Refusal> {
    let (head, body) = request.into_parts();
    let bounds = &state.settings.bounds;
    call::check_headers(&head.headers, bounds)?;
    let route = call::route(&head.method, &head.uri)?;
    let snapshot = state.snapshot.load_full();
    let slot = open::enter(state, &snapshot)?;
    let (account_name, account) = account::identify(&snapshot, &head.headers)?;
    trace.account = Some(account_name.clone());
    let call = Call { id: id.clone(), started, method: head.method, headers: head.headers, route };
    let body = call::read_body(body, bounds).await?;
    let ctx = Context { state, snapshot: &snapshot, account_name, account, call: &call };
    match &call.route {
        Route::Chat => chat::serve(&ctx, body, slot, trace).await,
        Route::Service { name, path } => service::serve(&ctx, name, path, body, slot, trace).await,
    }
}

/// A request with the state that decides about it.
pub struct Context<'a> {
    /// The state of the entry process.
    pub state: &'a Arc<State>,
    /// The snapshot that was current when the request arrived.
    pub snapshot: &'a crate::snapshot::Snapshot,
    /// The name of the client account that sent the request.
    pub account_name: &'a Name,
    /// The client account that sent the request.
    pub account: &'a wire::configuration::Account,
    /// The head of the request.
    pub call: &'a Call,
}

fn refusal_response(
    state: &State,
    id: &Name,
    started: Instant,
    mut refusal: Refusal,
    trace: Trace,
) -> Response<Answer> {
    refusal.request = Some(id.clone());
    refusal.ran = caller_ran(&refusal, trace.has_key);
    let code = code_name(refusal.code);
    log::debug!("entry: request {id} refused: {code}");
    metrics::counter!("entry_refusals_total", "code" => code).increment(1);
    // A caller's own mistake (4xx) says nothing about the service level that the account gets.
    if let (Some(account), Some(task), 500..) = (trace.account, trace.task, refusal.code.status()) {
        state.reports.record_outcome(ending::outcome(account, task, started, started.elapsed()));
    }
    refuse::response(refusal)
}

/// What the refusal tells the caller about whether its request ran.
///
/// Requests with the same idempotency key count as one request. An earlier one may have run and
/// its answer may have been lost. If this one were answered "not run", the caller could send the
/// order again under another key, and it would run twice. Only the key's home knows, so the answer
/// is "unknown" unless the home has granted the key to this request. That costs nothing, because
/// sending the same key again is always safe.
fn caller_ran(refusal: &Refusal, has_key: bool) -> Ran {
    // A malformed request was malformed before as well, so it never ran.
    let unreadable = matches!(refusal.code, Code::BadRequest | Code::TooLarge | Code::WrongMethod);
    match refusal.ran {
        Ran::No if has_key && !unreadable && !refusal.key_granted => Ran::Unknown,
        ran => ran,
    }
}

/// The name of a code as it appears in the body of a refusal.
#[must_use]
pub fn code_name(code: Code) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
