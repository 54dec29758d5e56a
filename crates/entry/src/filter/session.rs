//! Which session a request belongs to, and the version that the session is on.

use std::time::{Duration, Instant};

use coordination::token::{self, Token};
use policy::name::Name;
use wire::backend::SESSION;
use wire::claim::{Pin, PinAnswer};
use wire::configuration::VersionState;
use wire::refusal::{Code, Refusal};

use crate::call::Call;
use crate::snapshot::Snapshot;
use crate::state::State;

/// The header's value that asks for a new session.
pub const NEW: &str = "new";
/// How long a home remembers a caller-chosen session after its last use.
const KEEP_MS: u64 = 24 * 3_600_000;
const HOME_RETRY_MS: u64 = 1_000;

/// What a request says of its session.
#[derive(Clone, Debug, PartialEq)]
pub enum Session {
    /// Nothing.
    None,
    /// It wants a new one.
    New,
    /// It shows a token of ours.
    Token(Token),
    /// It goes by a name of the caller's own.
    Chosen(Name),
}

impl Session {
    /// Whether all its requests must run on one version.
    #[must_use]
    pub fn is_bound(&self) -> bool {
        *self != Self::None
    }
}

/// Reads the session header.
///
/// # Errors
/// [`Code::BadSession`] for a token that is not ours, or is another account's.
pub fn read(snapshot: &Snapshot, account: &Name, call: &Call) -> Result<Session, Refusal> {
    match call.header(SESSION)? {
        None => Ok(Session::None),
        Some(NEW) => Ok(Session::New),
        Some(text) if token::is_token(text) => match snapshot.keyring.verify(text) {
            Ok(token) if token.account == *account => Ok(Session::Token(token)),
            Ok(_) => Err(bad_session("the session is another account's")),
            Err(error) => Err(bad_session(&error.to_string())),
        },
        Some(_) => Ok(call.named(SESSION)?.map_or(Session::None, Session::Chosen)),
    }
}

fn bad_session(message: &str) -> Refusal {
    Refusal::not_run(Code::BadSession, message)
}

/// The signed token of a session that begins.
#[must_use]
pub fn sign(state: &State, snapshot: &Snapshot, account: &Name, version: &Name) -> Option<String> {
    let home = state.settings.failure_domain.clone();
    let token =
        Token { home, account: account.clone(), version: version.clone(), serial: rand::random() };
    snapshot.keyring.sign(&token)
}

/// The version that a caller-chosen session is on: the one drawn here if it is new.
///
/// # Errors
/// [`Code::HomeUnavailable`] when the home can't be asked. Running on the drawn version then
/// could put one session on two versions, so nothing runs.
pub async fn pin(
    state: &State,
    account: &Name,
    session: &Name,
    drawn: Name,
    deadline: Instant,
) -> Result<Name, Refusal> {
    if let Some(version) = state.pins.get(account, session) {
        return Ok(version);
    }
    let pin = Pin {
        account: account.clone(),
        session: session.clone(),
        version: drawn,
        keep_ms: KEEP_MS,
    };
    let within = deadline.saturating_duration_since(Instant::now()).min(Duration::from_secs(3));
    let call = |client: wire::rpc::ControlClient, context| {
        let pin = pin.clone();
        async move { client.pin(context, pin).await }
    };
    match state.controls.ask(within, call).await {
        Ok(PinAnswer::Pinned { version }) => {
            state.pins.put(account, session, version.clone());
            Ok(version)
        }
        Ok(PinAnswer::Unavailable { home, retry_after_ms }) => Err(Refusal::not_run(
            Code::HomeUnavailable,
            format!("the session's home {home} is out of reach"),
        )
        .retry_after(retry_after_ms)),
        Err(_) => Err(Refusal::not_run(
            Code::HomeUnavailable,
            "no control is in reach to ask for the session's version",
        )
        .retry_after(HOME_RETRY_MS)),
    }
}

/// Whether a session's version still takes its requests.
///
/// # Errors
/// [`Code::SessionEnded`]: a session is never moved to another version silently.
pub fn check(snapshot: &Snapshot, version: &Name) -> Result<(), Refusal> {
    let ended = |why: &str| {
        let message = format!("the session ended: its version {why}; begin a new one");
        Err(Refusal::not_run(Code::SessionEnded, message))
    };
    match snapshot.version(version) {
        None => ended("is gone"),
        Some(held) if held.state == VersionState::Withdrawn => ended("was withdrawn"),
        Some(_) if snapshot.quarantined.contains(version) => ended("is under quarantine"),
        Some(_) => Ok(()),
    }
}
