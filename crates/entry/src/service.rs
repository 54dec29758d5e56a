//! Serves calls to plain services, which have neither versions nor ratings.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Response;
use policy::name::Name;
use wire::claim::Claim;
use wire::refusal::Refusal;

use crate::answer::Answer;
use crate::chain::{Context, Trace};
use crate::clock;
use crate::dispatch;
use crate::ending::{Ending, Permits};
use crate::filter::bill::Billing;
use crate::filter::open::Slot;
use crate::filter::{admit, claim, service};
use crate::job::Job;
use crate::respond::{self, OwnHeaders};

/// Priority of every service call in its pool's queue.
const PRIORITY: u8 = 0;
/// Timeout between two pieces of an answer.
const BETWEEN_BYTES: Duration = Duration::from_secs(5);

/// Passes a call on to the service and its answer back to the caller.
///
/// # Errors
/// A refusal, if the call can't be served.
pub async fn serve(
    ctx: &Context<'_>,
    name: &Name,
    path: &str,
    body: Bytes,
    slot: Slot,
    trace: &mut Trace,
) -> Result<Response<Answer>, Refusal> {
    let Context { state, snapshot, account_name, account, call } = *ctx;
    let service = service::find(snapshot, account, name)?;
    trace.task = Some(name.clone());
    let deadline = call.deadline(service.deadline_ms)?;
    let grant = admit::grant(state, snapshot, account_name, account)?;
    let left = deadline.saturating_duration_since(Instant::now());
    let expires_at = clock::now() + u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let arrival = policy::admit::Arrival::new(account_name.clone(), PRIORITY, expires_at);
    let place = admit::enter(state, snapshot, &service.pool, &arrival).await?;
    let may_repeat =
        service.repeatable.iter().any(|method| method.as_str() == call.method.as_str());
    let key = call.parse_name(wire::backend::IDEMPOTENCY_KEY)?.filter(|_| !may_repeat);
    let job = Job {
        id: call.id.clone(),
        account: account_name.clone(),
        task: name.clone(),
        version: None,
        pool: service.pool.clone(),
        may_repeat,
        deadline,
        first_byte_timeout: left,
        // A reused connection may have gone silent; half of the time is left for an attempt on a
        // new one.
        reused_first_byte_timeout: left / 2,
        between_bytes_timeout: BETWEEN_BYTES,
        affinity: None,
        claim: key.map(|key| Claim {
            account: account_name.clone(),
            key,
            request: call.id.clone(),
            keep_ms: claim::RETENTION_MS,
        }),
        is_buffered: false,
        wants_text: false,
        method: call.method.clone(),
        path: path.to_owned(),
        headers: service::forwarded_headers(&call.headers),
        body,
    };
    let reply = dispatch::dispatch(state, &job).await?;
    let mut billing = Billing::new(
        state.clone(),
        call.id.clone(),
        account_name.clone(),
        name.clone(),
        Name::default(),
    );
    billing.add(service.cost);
    let ending = Ending {
        state: state.clone(),
        id: call.id.clone(),
        account: account_name.clone(),
        task: name.clone(),
        version: None,
        started: call.started,
        first_byte: call.started.elapsed(),
        deadline,
        wants_rating: false,
        billing,
        permits: Permits { slot, grant, place: Some(place) },
    };
    respond::respond(state, reply, ending, OwnHeaders::default()).await
}
