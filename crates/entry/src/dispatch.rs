//! Sends a request to a backend server, and elsewhere after a failure if that can't double it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::name::Name;
use policy::retry::{self, Attempt};
use wire::refusal::{Code, Ran, Refusal};

use crate::carry::{Request, Step, carry};
use crate::clock;
use crate::connection::{Cause, Failure};
use crate::filter::claim::{self, Claimed};
use crate::filter::place;
use crate::job::Job;
use crate::reply::{self, Reply};
use crate::server::{IDLE, Lease, Server};
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
    /// No backend server takes new work.
    no_server: bool,
}

/// A call that is being made.
struct Call<'a> {
    state: &'a Arc<State>,
    job: &'a Job,
    tries: Tries,
}

/// A try that failed, and what else is known of it.
struct Failed {
    failure: Failure,
    /// Its connection had carried answers before.
    reused: bool,
    /// The backend server answered others meanwhile.
    alone: bool,
    /// It failed before a connection was open.
    unopened: bool,
}

/// Makes a call.
///
/// Each try takes the newest snapshot, so a backend server that has left in the meantime, or a
/// version that was stopped, gets nothing.
///
/// # Errors
/// A refusal; `ran: "no"` only if no try can have written a byte.
pub async fn dispatch(state: &Arc<State>, job: &Job) -> Result<Reply, Refusal> {
    state.retry_budgets.with(&job.account, retry::Budget::fill);
    state.pool_retry_budgets.with(&job.pool, retry::Budget::fill);
    let mut call = Call { state, job, tries: Tries::default() };
    let reply = carry(&mut call).await;
    let granted = call.tries.claimed.is_some();
    reply.map_err(|refusal| match refusal.ran {
        Ran::No => Refusal { key_granted: granted, ..refusal },
        Ran::Unknown => refusal,
    })
}

impl Request for Call<'_> {
    type Server = Arc<Server>;
    type Answer = Reply;
    type Failure = Failed;

    fn choose(&mut self) -> Option<Arc<Server>> {
        let snapshot = self.state.snapshot.load_full();
        let server = match is_stopped(&snapshot, self.job) {
            true => None,
            false => choose(&snapshot, self.job, &mut self.tries),
        };
        self.tries.no_server = server.is_none();
        server
    }

    async fn attempt(&mut self, server: &Arc<Server>) -> Step<Reply, Failed> {
        self.tries.count += 1;
        self.tries.old_failed = false;
        match self.try_once(server).await {
            Ok(reply) => Step::Answered(reply),
            Err(Stop::Refused(refusal)) => Step::Refused(refusal),
            Err(Stop::Failed(failed)) => Step::Failed(failed),
        }
    }

    fn failed(&mut self, server: &Arc<Server>, failed: Failed) {
        let Failed { failure, .. } = failed;
        self.tries.sent |= failure.sent;
        self.tries.last = Some(failure.cause);
        blame(self.state, self.job, server, &mut self.tries, &failed);
        log::debug!("entry: request {} at {}: {failure:?}", self.job.id, server.name);
        metrics::counter!("entry_tries_failed_total", "cause" => failure.cause.label())
            .increment(1);
    }

    fn may_go_on(&mut self) -> bool {
        may_go_on(self.state, self.job, &self.tries)
    }

    fn give_up(&mut self) -> Result<Reply, Refusal> {
        Err(match self.tries.no_server {
            true => no_server(self.job, &self.tries),
            false => given_up(self.job, &self.tries),
        })
    }
}

/// Why a try gave no reply.
enum Stop {
    Failed(Failed),
    Refused(Refusal),
}

impl From<Failure> for Stop {
    fn from(failure: Failure) -> Self {
        Self::Failed(Failed { failure, reused: false, alone: false, unopened: true })
    }
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
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
fn is_stopped(snapshot: &Snapshot, job: &Job) -> bool {
    job.version.as_ref().is_some_and(|name| {
        snapshot.quarantined.contains(name)
            || !snapshot.version(name).is_some_and(wire::configuration::Version::accepts_work)
    })
}

impl Call<'_> {
    async fn try_once(&mut self, server: &Arc<Server>) -> Result<Reply, Stop> {
        let (state, job, tries) = (self.state, self.job, &mut self.tries);
        let reuse = (job.may_repeat && !tries.new_only).then_some(IDLE);
        let mut connection = server.connect(reuse, CONNECT.min(job.left())).await?;
        // The claim comes last before the first byte. A key that is granted and then not used, for
        // want of a backend server, would stay taken though its request never ran.
        if let Some(wanted) = job.claim.as_ref().filter(|_| tries.claimed.is_none()) {
            tries.claimed = Some(claim::claim(state, wanted, job.deadline).await?);
        }
        let reused = connection.is_reused();
        let unsent =
            |failure| Stop::Failed(Failed { failure, reused, alone: false, unopened: false });
        if job.left().is_zero() {
            return Err(unsent(Failure::not_sent(Cause::Deadline)));
        }
        let lease = Lease::new(Arc::clone(server));
        let request = job.request(server).map_err(unsent)?;
        let limit = if reused { job.reused_first_byte } else { job.first_byte };
        let (sent_at, began, sent) = (Instant::now(), clock::now(), clock::steady());
        if server.is_restricted() {
            server.with_intake(sent, |intake| intake.record_sent(None, sent));
        }
        if let Some(claimed) = &mut tries.claimed {
            claimed.use_up();
        }
        let result = match connection.send(request, limit.min(job.left())).await {
            Ok(response) => reply::read(job, response, connection, lease, sent, sent_at).await,
            Err(failure) => Err(failure),
        };
        result.inspect(|_| self.answered(server)).map_err(|failure| {
            if let Some(claimed) = self.tries.claimed.as_mut().filter(|_| !failure.sent) {
                claimed.not_used();
            }
            let alone = failure.cause == Cause::Silent && server.answered_since(began);
            Stop::Failed(Failed { failure, reused, alone, unopened: false })
        })
    }

    fn answered(&self, server: &Server) {
        server.record_success(clock::now());
        self.job.note(self.state, false);
    }
}

/// Who is to blame for a failure: an old connection, the backend server, or nobody.
fn blame(state: &State, job: &Job, server: &Server, tries: &mut Tries, failed: &Failed) {
    let Failed { failure, reused, alone, unopened } = *failed;
    match failure.cause {
        // The caller's time was over; that says nothing of the server.
        _ if job.left().is_zero() => {}
        Cause::Deadline => {}
        _ if unopened => {
            server.record_failure(clock::now());
            tries.tried.push(server.name.clone());
        }
        Cause::Silent | Cause::Broken if reused => {
            server.record_suspicion();
            tries.old_failed = true;
            tries.new_only = true;
        }
        Cause::Silent | Cause::Broken | Cause::Refused | Cause::Unreachable if !alone => {
            server.record_failure(clock::now());
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
            || (state.retry_budgets.with(&job.account, retry::Budget::take)
                && state.pool_retry_budgets.with(&job.pool, retry::Budget::take))
    };
    tries.count < TRIES_MAX && retry::may_retry_elsewhere(&attempt) && paid()
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
