//! Claims idempotency keys at their homes: a key is granted to one request only, before that
//! request's first byte goes out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wire::claim::{Claim, ClaimAnswer};
use wire::refusal::{Code, Refusal};

use crate::state::State;

/// Minimum time for which a key's home remembers the key.
pub const RETENTION_MS: u64 = 24 * 3_600_000;
/// Longest wait for a key's home to answer.
const HOME_TIMEOUT: Duration = Duration::from_secs(3);
/// `Retry-After` if no control can be reached to claim a key.
const HOME_RETRY_MS: u64 = 1_000;

/// Interval between two attempts to give a claim back.
const ABANDON_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum attempts to give a claim back. After them the key stays taken.
const ABANDON_ATTEMPTS_MAX: u32 = 10;

/// An idempotency key that was granted to a request, or may have been.
///
/// A key that is dropped unused is given back. That happens if no connection could be opened, if
/// the home's answer was lost, or if the caller went away. The request did not run then, and the
/// caller's next request with the key must not be refused as if it had.
pub struct Claimed {
    state: Arc<State>,
    claim: Claim,
    is_used: bool,
}

impl Claimed {
    /// Records that the request is being sent, so that it may run.
    pub fn mark_used(&mut self) {
        self.is_used = true;
    }

    /// Records that not a single byte of the request went out after all.
    pub fn mark_unused(&mut self) {
        self.is_used = false;
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if !self.is_used {
            let (state, claim) = (Arc::clone(&self.state), self.claim.clone());
            // Spawned among the relays, so that a shutdown waits for the task.
            self.state.relays.spawn(async move { abandon(&state, &claim).await });
        }
    }
}

async fn abandon(state: &State, claim: &Claim) {
    let call = |client: wire::rpc::ControlClient, context| {
        let claim = claim.clone();
        async move { client.abandon(context, claim).await }
    };
    for _ in 0..ABANDON_ATTEMPTS_MAX {
        match state.controls.ask(HOME_TIMEOUT, call).await {
            Ok(true) => return,
            Ok(false) | Err(_) => tokio::time::sleep(ABANDON_INTERVAL).await,
        }
    }
    log::warn!(
        "entry: the key of request {} stays taken: its home can't be reached",
        claim.request
    );
}

/// Claims a key for a request. A repeated claim is safe, because the home recognizes the request by
/// its id.
///
/// # Errors
/// [`Code::KeyTaken`] if another request has the key, [`Code::HomeUnavailable`] if the key's home
/// can't be asked.
pub async fn claim(
    state: &Arc<State>,
    claim: &Claim,
    deadline: Instant,
) -> Result<Claimed, Refusal> {
    let mut claimed = Claimed { state: Arc::clone(state), claim: claim.clone(), is_used: false };
    let timeout = deadline.saturating_duration_since(Instant::now()).min(HOME_TIMEOUT);
    let call = |client: wire::rpc::ControlClient, context| {
        let claim = claim.clone();
        async move { client.claim(context, claim).await }
    };
    let answer = state.controls.ask(timeout, call).await;
    if matches!(answer, Ok(ClaimAnswer::Taken { .. })) {
        // Another request has the key, so there is nothing to give back. After any other answer
        // there may be: one control may have lost the home's grant on the way before another
        // control reported that it can't reach the home.
        claimed.mark_used();
    }
    match answer {
        Ok(ClaimAnswer::Granted) => Ok(claimed),
        Ok(ClaimAnswer::Taken { request }) => Err(Refusal::may_have_run(
            Code::KeyTaken,
            format!("request {request} has this idempotency key; it ran or may be running"),
        )),
        Ok(ClaimAnswer::Unavailable { home, may_have_run, retry_after_ms }) => {
            let message = format!("the idempotency key's home {home} can't be reached");
            let refusal = match may_have_run {
                true => Refusal::may_have_run(Code::HomeUnavailable, message),
                false => Refusal::not_run(Code::HomeUnavailable, message),
            };
            Err(refusal.retry_after(retry_after_ms))
        }
        Err(_) => {
            let message = "no control can be reached to claim the idempotency key";
            Err(Refusal::not_run(Code::HomeUnavailable, message).retry_after(HOME_RETRY_MS))
        }
    }
}
