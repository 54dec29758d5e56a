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

/// Between two tries to give a claim back.
const PAUSE: Duration = Duration::from_millis(500);
/// Tries to give a claim back.
const TRIES: u32 = 10;

/// A key that a request holds, or may hold, and has not used yet.
///
/// Dropped unused (no connection, an answer of the home that got lost, a caller that went away),
/// it is given back: the caller knows that its request did not run, and its next try with the
/// key must not be answered otherwise.
pub struct Claimed {
    state: Arc<State>,
    claim: Claim,
    used: bool,
}

impl Claimed {
    /// The request goes out now: from here on it may have run.
    pub fn use_up(&mut self) {
        self.used = true;
    }

    /// It turned out that not one byte of the request went out.
    pub fn not_used(&mut self) {
        self.used = false;
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if !self.used {
            let (state, claim) = (Arc::clone(&self.state), self.claim.clone());
            // Among the relays, so that a shutdown waits for it.
            self.state.relays.spawn(async move { abandon(&state, &claim).await });
        }
    }
}

async fn abandon(state: &State, claim: &Claim) {
    let call = |client: wire::rpc::ControlClient, context| {
        let claim = claim.clone();
        async move { client.abandon(context, claim).await }
    };
    for _ in 0..TRIES {
        match state.controls.ask(WITHIN, call).await {
            Ok(true) => return,
            Ok(false) | Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
    log::warn!("entry: the key of request {} stays taken, its home is out of reach", claim.request);
}

/// Claims a key for a request. Asking again is safe: the home knows the request by its id.
///
/// # Errors
/// [`Code::KeyTaken`] if another request has it, [`Code::HomeUnavailable`] if nobody knows.
pub async fn claim(
    state: &Arc<State>,
    claim: &Claim,
    deadline: Instant,
) -> Result<Claimed, Refusal> {
    let mut claimed = Claimed { state: Arc::clone(state), claim: claim.clone(), used: false };
    let within = deadline.saturating_duration_since(Instant::now()).min(WITHIN);
    let call = |client: wire::rpc::ControlClient, context| {
        let claim = claim.clone();
        async move { client.claim(context, claim).await }
    };
    let answer = state.controls.ask(within, call).await;
    if matches!(answer, Ok(ClaimAnswer::Taken { .. })) {
        // There is nothing to give back. After any other answer there may be: one control may
        // have lost the home's grant before another said that it can't reach it.
        claimed.use_up();
    }
    match answer {
        Ok(ClaimAnswer::Granted) => Ok(claimed),
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
