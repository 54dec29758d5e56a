//! Sends a request to a backend server, and elsewhere after a failure if that can't double it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::name::Name;
use policy::retry::{self, Attempt};
use wire::refusal::{Code, Ran, Refusal};

use crate::clock;
use crate::connection::{Cause, Connection, Failure};
use crate::filter::claim::{self, Claimed};
use crate::filter::place;
use crate::job::Job;
use crate::reply::{self, Reply};
use crate::server::{Lease, Server};
use crate::snapshot::Snapshot;
use crate::state::State;

/// Longest wait for a new connection.
const CONNECT: Duration = Duration::from_millis(1000);
/// Tries of one request at most, those that wrote nothing included.
const TRIES_MAX: u32 = 6;
const FAILED_RETRY_MS: u64 = 1_000;
const NO_SERVER_RETRY_MS: u64 = 1_000;

/// What the tries so far have come to.
#[derive(Default)]
struct Tries {
    count: u32,
    /// A byte of the request may have been written.
    sent: bool,
    /// The key, for as long as the request may not have run.
    claimed: Option<Claimed>,
    tried: Vec<Name>,
    last: Option<Cause>,
    /// The last try failed on a connection that had carried answers before.
    old_failed: bool,
    /// Only new connections from now on.
    new_only: bool,
}

/// Why a try gave no reply.
enum Stop {
    Failed(Failure),
    Refused(Refusal),
}

impl From<Failure> for Stop {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Makes a call.
///
/// Each try takes the newest snapshot, so a backend server that has left in the meantime, or a
/// version that was stopped, gets nothing.
///
/// # Errors
/// A refusal; `ran: "no"` only if no try can have written a byte.
pub async fn dispatch(state: &Arc<State>, job: &Job) -> Result<Reply, Refusal> {
    let mut tries = Tries::default();
    let reply = try_all(state, job, &mut tries).await;
    let granted = tries.claimed.is_some();
    reply.map_err(|refusal| match refusal.ran {
        Ran::No => Refusal { key_granted: granted, ..refusal },
        Ran::Unknown => refusal,
    })
}

async fn try_all(state: &Arc<State>, job: &Job, tries: &mut Tries) -> Result<Reply, Refusal> {
    state.budgets.with(&job.account, retry::Budget::fill);
    state.pool_budgets.with(&job.pool, retry::Budget::fill);
    loop {
        let snapshot = state.snapshot.load_full();
        check_version(&snapshot, job, tries)?;
        let Some(server) = choose(&snapshot, job, tries) else {
            return Err(no_server(job, tries));
        };
        tries.count += 1;
        tries.old_failed = false;
        match attempt(state, job, &server, tries).await {
            Ok(reply) => return Ok(reply),
            Err(Stop::Refused(refusal)) => return Err(refusal),
            Err(Stop::Failed(failure)) => {
                tries.sent |= failure.sent;
                tries.last = Some(failure.cause);
                log::debug!("entry: request {} at {}: {failure:?}", job.id, server.name);
                metrics::counter!("entry_tries_failed_total", "cause" => failure.cause.label())
                    .increment(1);
            }
        }
        if !may_go_on(state, job, tries) {
            return Err(given_up(job, tries));
        }
    }
}

/// A backend server that was not tried yet, or else one that was tried and still takes work: it
/// may have failed this one request only.
fn choose(snapshot: &Snapshot, job: &Job, tries: &mut Tries) -> Option<Arc<Server>> {
    let servers = job.servers(snapshot);
    let choose = |tried: &[Name]| place::choose(servers, tried, job.affinity, clock::now());
    choose(&tries.tried).or_else(|| {
        tries.tried.clear();
        choose(&[])
    })
}

/// A version withdrawn or put under quarantine while a request waited for its place, or between
/// two of its tries, gets no new work either.
fn check_version(snapshot: &Snapshot, job: &Job, tries: &Tries) -> Result<(), Refusal> {
    let stopped = job.version.as_ref().is_some_and(|name| {
        snapshot.quarantined.contains(name)
            || !snapshot.version(name).is_some_and(wire::configuration::Version::takes_work)
    });
    match stopped {
        true => Err(no_server(job, tries)),
        false => Ok(()),
    }
}

async fn attempt(
    state: &Arc<State>,
    job: &Job,
    server: &Arc<Server>,
    tries: &mut Tries,
) -> Result<Reply, Stop> {
    // A connection can go silent for good while new ones work. One that answered a moment ago may
    // be silent now, and a request that may not be repeated could not leave it: it would end as
    // "may have run". So such a request always gets a new connection, at the price of its opening.
    let idle = if job.may_repeat && !tries.new_only { server.take_idle() } else { None };
    let mut connection = match idle {
        Some(connection) => connection,
        None => open(job, server, tries).await?,
    };
    // The claim comes last before the first byte. A key that is granted and then not used, for
    // want of a backend server, would stay taken though its request never ran.
    if let Some(wanted) = job.claim.as_ref().filter(|_| tries.claimed.is_none()) {
        tries.claimed = Some(claim::claim(state, wanted, job.deadline).await?);
    }
    if job.left().is_zero() {
        return Err(Failure::not_sent(Cause::Deadline).into());
    }
    let reused = connection.reused();
    let lease = Lease::new(Arc::clone(server));
    let request = job.request(server)?;
    let limit = if reused { job.reused_first_byte } else { job.first_byte };
    let first_byte = limit.min(job.left());
    let (sent_at, began) = (Instant::now(), clock::now());
    if let Some(claimed) = &mut tries.claimed {
        claimed.use_up();
    }
    let result = match connection.send(request, first_byte).await {
        Ok(response) => reply::read(job, response, connection, lease, sent_at).await,
        Err(failure) => Err(failure),
    };
    match result {
        Ok(reply) => {
            server.note_success(clock::now());
            job.note(state, false);
            Ok(reply)
        }
        Err(failure) => {
            if let Some(claimed) = tries.claimed.as_mut().filter(|_| !failure.sent) {
                claimed.not_used();
            }
            let alone = failure.cause == Cause::Silent && server.worked_since(began);
            blame(state, job, server, tries, failure, Blame { reused, alone });
            Err(failure.into())
        }
    }
}

async fn open(job: &Job, server: &Server, tries: &mut Tries) -> Result<Connection, Failure> {
    let opened = Connection::open(server.address, CONNECT.min(job.left())).await;
    if opened.is_err() && !job.left().is_zero() {
        server.note_failure(clock::now());
        tries.tried.push(server.name.clone());
    }
    opened
}

/// What else is known of a try that failed.
struct Blame {
    /// Its connection had carried answers before.
    reused: bool,
    /// The backend server answered others meanwhile.
    alone: bool,
}

/// Who is to blame for a failure: an old connection, the backend server, or nobody.
fn blame(
    state: &State,
    job: &Job,
    server: &Server,
    tries: &mut Tries,
    failure: Failure,
    blame: Blame,
) {
    match failure.cause {
        // The caller's time was over; that says nothing of the server.
        _ if job.left().is_zero() => {}
        Cause::Deadline => {}
        Cause::Silent | Cause::Broken if blame.reused => {
            server.note_suspicion();
            tries.old_failed = true;
            tries.new_only = true;
        }
        Cause::Silent | Cause::Broken | Cause::Refused if !blame.alone => {
            server.note_failure(clock::now());
            tries.tried.push(server.name.clone());
            job.note(state, true);
        }
        // It works, but not for this request.
        _ => {
            tries.tried.push(server.name.clone());
            job.note(state, true);
        }
    }
}

fn may_go_on(state: &State, job: &Job, tries: &Tries) -> bool {
    let attempt = Attempt {
        may_repeat: job.may_repeat,
        first_byte_written: tries.sent,
        answer_begun: false,
        left_ms: u64::try_from(job.left().as_millis()).unwrap_or(u64::MAX),
        expected_ms: 1,
    };
    // A try that wrote nothing made no work, so it costs nothing of the budget. Nor does one that
    // an old connection failed: when many go silent at once the budget would be gone before all
    // their requests were tried on new ones. The next try is on a new one, so this is met once
    // by a request at most.
    let paid = || {
        !tries.sent
            || tries.old_failed
            || (state.budgets.with(&job.account, retry::Budget::take)
                && state.pool_budgets.with(&job.pool, retry::Budget::take))
    };
    tries.count < TRIES_MAX && retry::may_try_elsewhere(&attempt) && paid()
}

fn refusal(code: Code, message: String, tries: &Tries) -> Refusal {
    match tries.sent {
        true => Refusal::may_have_run(code, message),
        false => Refusal::not_run(code, message),
    }
}

fn no_server(job: &Job, tries: &Tries) -> Refusal {
    let what = job.version.as_ref().unwrap_or(&job.task);
    let message = format!("no backend server takes new work for {what} now");
    refusal(Code::NoBackend, message, tries).retry_after(NO_SERVER_RETRY_MS)
}

fn given_up(job: &Job, tries: &Tries) -> Refusal {
    let cause = tries.last.map_or("failed", Cause::message);
    match job.left().is_zero() {
        true => refusal(Code::DeadlinePassed, "the deadline passed".to_owned(), tries),
        false => refusal(Code::BackendFailed, format!("the backend server {cause}"), tries)
            .retry_after(FAILED_RETRY_MS),
    }
}
