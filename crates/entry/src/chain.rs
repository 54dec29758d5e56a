//! The filter chain: what a request passes, in order.

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

/// Echo of the caller's own `X-Request-Id`.
pub const CALLER_REQUEST: HeaderName = HeaderName::from_static("chestnutspur-caller-request");
const CALLER_REQUEST_BYTES_MAX: usize = 128;

/// What is known of a request so far, for its outcome should it be refused.
#[derive(Default)]
pub struct Trace {
    /// The client account.
    pub account: Option<Name>,
    /// The task, or the service's name.
    pub task: Option<Name>,
    /// Whether it has an idempotency key.
    pub keyed: bool,
}

/// Answers a request, or refuses it.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Answer> {
    let started = Instant::now();
    let id = state.request_id();
    let caller_id = caller_id(&request);
    // A key that is always refused as malformed can't have run before.
    let keyed = request.headers().get(wire::backend::IDEMPOTENCY_KEY).is_some_and(call::can_name);
    let mut trace = Trace { keyed, ..Trace::default() };
    let result = serve(&state, &id, started, request, &mut trace).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refused(&state, &id, started, refusal, trace),
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
    let from = From { state, snapshot: &snapshot, account_name, account, call: &call };
    match &call.route {
        Route::Chat => chat::serve(&from, body, slot, trace).await,
        Route::Service { name, path } => service::serve(&from, name, path, body, slot, trace).await,
    }
}

/// Where a request comes from, and what it is decided by.
pub struct From<'a> {
    /// The process.
    pub state: &'a Arc<State>,
    /// The world when it came in.
    pub snapshot: &'a crate::snapshot::Snapshot,
    /// Its account's name.
    pub account_name: &'a Name,
    /// Its account.
    pub account: &'a wire::configuration::Account,
    /// The request.
    pub call: &'a Call,
}

fn refused(
    state: &State,
    id: &Name,
    started: Instant,
    mut refusal: Refusal,
    trace: Trace,
) -> Response<Answer> {
    refusal.request = Some(id.clone());
    refusal.ran = ran(&refusal, trace.keyed);
    let code = code_name(refusal.code);
    log::debug!("entry: request {id} refused: {code}");
    metrics::counter!("entry_refusals_total", "code" => code).increment(1);
    // A caller's own mistake says nothing of the service level it gets.
    if let (Some(account), Some(task), 500..) = (trace.account, trace.task, refusal.code.status()) {
        state.reports.record_outcome(ending::outcome(account, task, started, started.elapsed()));
    }
    refuse::response(refusal)
}

/// What the caller may learn of its request.
///
/// With an idempotency key the request is all its tries. An earlier one may have run, its answer
/// lost, and the caller would take "not run" of this one for leave to send it under another key:
/// the order would run twice. Only the key's home knows, so until it has granted the key to this
/// try the answer is "unknown". It costs nothing: to send the same key again is always safe.
fn ran(refusal: &Refusal, keyed: bool) -> Ran {
    // What can't be read now could not be read before.
    let unreadable = matches!(refusal.code, Code::BadRequest | Code::TooLarge | Code::WrongMethod);
    match refusal.ran {
        Ran::No if keyed && !unreadable && !refusal.key_granted => Ran::Unknown,
        ran => ran,
    }
}

/// A code as in the refusal's body.
#[must_use]
pub fn code_name(code: Code) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
