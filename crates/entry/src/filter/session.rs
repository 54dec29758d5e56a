//! Reads the session of a request, and finds the version that the session runs on.

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

/// Value of the session header that requests a new session.
pub const NEW_SESSION: &str = "new";
/// Time for which a home remembers a session that the caller named, after the session's last use.
const RETENTION_MS: u64 = 24 * 3_600_000;
/// `Retry-After` if no control can be reached to find a session's version.
const HOME_RETRY_MS: u64 = 1_000;

/// The session that a request's header names.
#[derive(Clone, Debug, PartialEq)]
pub enum Session {
    /// The request has no session header.
    None,
    /// The request begins a new session.
    New,
    /// The request carries a valid token that an entry host signed.
    Token(Token),
    /// The request carries a session name that the caller chose.
    Chosen(Name),
}

impl Session {
    /// Whether the request belongs to a session, so that it must run on a single version.
    #[must_use]
    pub fn is_bound(&self) -> bool {
        *self != Self::None
    }
}

/// Reads the session header.
///
/// # Errors
/// [`Code::BadSession`] for a token with an invalid signature or of another account; also if the
/// header is malformed or too long, the refusal of [`Call::parse_name`].
pub fn read(snapshot: &Snapshot, account: &Name, call: &Call) -> Result<Session, Refusal> {
    match call.header(SESSION)? {
        None => Ok(Session::None),
        Some(NEW_SESSION) => Ok(Session::New),
        Some(text) if token::is_token(text) => match snapshot.keyring.verify(text) {
            Ok(token) if token.account == *account => Ok(Session::Token(token)),
            Ok(_) => Err(bad_session("the session belongs to another account")),
            Err(error) => Err(bad_session(&error.to_string())),
        },
        Some(_) => Ok(call.parse_name(SESSION)?.map_or(Session::None, Session::Chosen)),
    }
}

fn bad_session(message: &str) -> Refusal {
    Refusal::not_run(Code::BadSession, message)
}

/// Signs the token of a new session; `None` if the configuration has no key for signing.
#[must_use]
pub fn sign(state: &State, snapshot: &Snapshot, account: &Name, version: &Name) -> Option<String> {
    let home = state.settings.failure_domain.clone();
    let token =
        Token { home, account: account.clone(), version: version.clone(), serial: rand::random() };
    snapshot.keyring.sign(&token)
}

/// Pins a session that the caller named to a version. Returns the version that the session already
/// runs on, or `drawn` if the session is new.
///
/// # Errors
/// [`Code::HomeUnavailable`] if the session's home can't be asked. The request does not run then,
/// because running it on the drawn version could spread the session over two versions.
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
        keep_ms: RETENTION_MS,
    };
    let timeout = deadline.saturating_duration_since(Instant::now()).min(Duration::from_secs(3));
    let call = |client: wire::rpc::ControlClient, context| {
        let pin = pin.clone();
        async move { client.pin(context, pin).await }
    };
    match state.controls.ask(timeout, call).await {
        Ok(PinAnswer::Pinned { version }) => {
            state.pins.put(account, session, version.clone());
            Ok(version)
        }
        Ok(PinAnswer::Unavailable { home, retry_after_ms }) => Err(Refusal::not_run(
            Code::HomeUnavailable,
            format!("the session's home {home} can't be reached"),
        )
        .retry_after(retry_after_ms)),
        Err(_) => Err(Refusal::not_run(
            Code::HomeUnavailable,
            "no control can be reached to ask for the session's version",
        )
        .retry_after(HOME_RETRY_MS)),
    }
}

/// Checks that a session's version still accepts the session's requests.
///
/// # Errors
/// [`Code::SessionEnded`] if it does not. A session is never moved to another version silently.
pub fn check(snapshot: &Snapshot, version: &Name) -> Result<(), Refusal> {
    let ended = |why: &str| {
        let message = format!("the session ended: its version {why}; begin a new one");
        Err(Refusal::not_run(Code::SessionEnded, message))
    };
    match snapshot.version(version) {
        None => ended("is gone"),
        Some(found) if found.state == VersionState::Withdrawn => ended("was withdrawn"),
        Some(_) if snapshot.quarantined.contains(version) => ended("is under quarantine"),
        Some(_) => Ok(()),
    }
}
