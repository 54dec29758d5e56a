//! Claims of idempotency keys: the one run of a key is granted before the first byte goes out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wire::claim::{Claim, ClaimAnswer};
use wire::refusal::{Code, Refusal};

use crate::state::State;

/// How long a key is remembered at least.
pub const KEEP_MS: u64 = 24 * 3_600_000;
/// Longest wait for a key's home.
const WITHIN: Duration = Duration::from_secs(3);
const HOME_RETRY_MS: u64 = 1_000;
/// How often giving a key back is tried.
const ABANDON_TRIES: u32 = 5;
/// Pause between two tries.
const ABANDON_PAUSE: Duration = Duration::from_millis(500);

/// Gives a key back whose request wrote no byte and never will: otherwise the caller's next try of
/// the key would be told that it may have run. The caller is answered meanwhile; its next try
/// comes later than this, by what it was told.
pub fn give_back(state: &Arc<State>, claim: Claim) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        for _ in 0..ABANDON_TRIES {
            let call = |client: wire::rpc::ControlClient, context| {
                let claim = claim.clone();
                async move { client.abandon(context, claim).await }
            };
            match state.controls.ask(WITHIN, call).await {
                Ok(true) => return,
                _ => tokio::time::sleep(ABANDON_PAUSE).await,
            }
        }
        log::warn!("entry: request {} did not run, but its key stays claimed", claim.request);
    });
}

/// Claims a key for a request. Asking again is safe: the home knows the request by its id.
///
/// # Errors
/// [`Code::KeyTaken`] if another request has it, [`Code::HomeUnavailable`] if nobody knows.
pub async fn claim(state: &State, claim: &Claim, deadline: Instant) -> Result<(), Refusal> {
    let within = deadline.saturating_duration_since(Instant::now()).min(WITHIN);
    let call = |client: wire::rpc::ControlClient, context| {
        let claim = claim.clone();
        async move { client.claim(context, claim).await }
    };
    match state.controls.ask(within, call).await {
        Ok(ClaimAnswer::Granted) => Ok(()),
        Ok(ClaimAnswer::Taken { request }) => Err(Refusal::may_have_run(
            Code::KeyTaken,
            format!("request {request} has this idempotency key: it ran, or may be running"),
        )),
        Ok(ClaimAnswer::Unavailable { home, may_have_run, retry_after_ms }) => {
            let message = format!("the key's home {home} is out of reach");
            let refusal = match may_have_run {
                true => Refusal::may_have_run(Code::HomeUnavailable, message),
                false => Refusal::not_run(Code::HomeUnavailable, message),
            };
            Err(refusal.retry_after(retry_after_ms))
        }
        Err(_) => {
            let message = "no control is in reach to claim the idempotency key";
            Err(Refusal::not_run(Code::HomeUnavailable, message).retry_after(HOME_RETRY_MS))
        }
    }
}
