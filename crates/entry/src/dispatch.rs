//! Sends a request to a backend server, and to another one after a failure unless that could run
//! the request twice.

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

/// Longest wait for a new connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum attempts of one request, including those that wrote nothing.
const ATTEMPTS_MAX: u32 = 6;
/// `Retry-After` of a request whose attempts all failed.
const FAILED_RETRY_MS: u64 = 1_000;
/// `Retry-After` of a request that no backend server accepts.
const NO_SERVER_RETRY_MS: u64 = 1_000;

/// The state of a call after the attempts made so far.
#[derive(Default)]
struct Progress {
    count: u32,
    /// Whether a byte of the request may have been written to any backend server.
    may_be_sent: bool,
    /// The claim of the idempotency key, once granted.
    claimed: Option<Claimed>,
    /// Backend servers that failed the request, cleared once all of them were attempted.
    failed_servers: Vec<Name>,
    last_cause: Option<Cause>,
    /// Whether the last attempt failed on a connection that had carried answers before.
    has_reused_failed: bool,
    /// Whether all further attempts must open new connections.
    needs_new_connection: bool,
    /// Whether no backend server accepts new work for the request.
    has_no_server: bool,
}

/// A call in progress.
struct Call<'a> {
    state: &'a Arc<State>,
    job: &'a Job,
    progress: Progress,
}

/// A failed attempt with the circumstances that decide who is to blame.
struct Fault {
    failure: Failure,
    /// Whether the connection had carried answers before.
    reused: bool,
    /// Whether the backend server answered other requests during the attempt, so that the failure
    /// concerns this request alone.
    worked: bool,
    /// Whether the attempt failed before a connection was open.
    unopened: bool,
}

/// Sends the request of a job to backend servers until one answers.
///
/// Each attempt uses the newest snapshot, so a backend server that has left in the meantime, or a
/// version that was stopped, receives nothing.
///
/// # Errors
/// The refusal for the caller. It says `ran: "no"` only if no attempt can have written a byte.
pub async fn dispatch(state: &Arc<State>, job: &Job) -> Result<Reply, Refusal> {
    state.retry_budgets.with(&job.account, retry::Budget::fill);
    state.pool_retry_budgets.with(&job.pool, retry::Budget::fill);
    let mut call = Call { state, job, progress: Progress::default() };
    let reply = carry(&mut call).await;
    let granted = call.progress.claimed.is_some();
    reply.map_err(|refusal| match refusal.ran {
        Ran::No => Refusal { key_granted: granted, ..refusal },
        Ran::Unknown => refusal,
    })
}

impl Request for Call<'_> {
    type Server = Arc<Server>;
    type Answer = Reply;
    type Failure = Fault;

    fn choose(&mut self) -> Option<Arc<Server>> {
        let snapshot = self.state.snapshot.load_full();
        let server = match is_stopped(&snapshot, self.job) {
            true => None,
            false => choose(&snapshot, self.job, &mut self.progress),
        };
        self.progress.has_no_server = server.is_none();
        server
    }

    async fn attempt(&mut self, server: &Arc<Server>) -> Step<Reply, Fault> {
        self.progress.count += 1;
        self.progress.has_reused_failed = false;
        match self.attempt_once(server).await {
            Ok(reply) => Step::Answered(reply),
            Err(Error::Refused(refusal)) => Step::Refused(refusal),
            Err(Error::Failed(fault)) => Step::Failed(fault),
        }
    }

    fn record_failure(&mut self, server: &Arc<Server>, fault: Fault) {
        let Fault { failure, .. } = fault;
        self.progress.may_be_sent |= failure.sent;
        self.progress.last_cause = Some(failure.cause);
        blame(self.state, self.job, server, &mut self.progress, &fault);
        log::debug!("entry: request {} at {}: {failure:?}", self.job.id, server.name);
        metrics::counter!("entry_tries_failed_total", "cause" => failure.cause.label())
            .increment(1);
    }

    fn may_retry(&mut self) -> bool {
        may_retry(self.state, self.job, &self.progress)
    }

    fn give_up(&mut self) -> Result<Reply, Refusal> {
        Err(match self.progress.has_no_server {
            true => no_server_refusal(self.job, &self.progress),
            false => attempts_exhausted(self.job, &self.progress),
        })
    }
}

/// Why an attempt gave no reply.
enum Error {
    Failed(Fault),
    Refused(Refusal),
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        Self::Failed(Fault { failure, reused: false, worked: false, unopened: true })
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Chooses a backend server that was not attempted yet. If there is none, chooses among all that
/// still accept work: a server that failed once may have failed this one request only.
fn choose(snapshot: &Snapshot, job: &Job, progress: &mut Progress) -> Option<Arc<Server>> {
    let servers = job.servers(snapshot);
    let choose = |tried: &[Name]| place::choose(servers, tried, job.affinity, clock::now());
    choose(&progress.failed_servers).or_else(|| {
        progress.failed_servers.clear();
        choose(&[])
    })
}

/// Whether the job's version was withdrawn or put under quarantine while the request waited for a
/// place in the pool or between two attempts. Such a version gets no new work.
fn is_stopped(snapshot: &Snapshot, job: &Job) -> bool {
    job.version.as_ref().is_some_and(|name| {
        snapshot.quarantined.contains(name)
            || !snapshot.version(name).is_some_and(wire::configuration::Version::accepts_work)
    })
}

impl Call<'_> {
    async fn attempt_once(&mut self, server: &Arc<Server>) -> Result<Reply, Error> {
        let (state, job, progress) = (self.state, self.job, &mut self.progress);
        let reuse = (job.may_repeat && !progress.needs_new_connection).then_some(IDLE);
        let mut connection = server.connect(reuse, CONNECT_TIMEOUT.min(job.remaining())).await?;
        // The key is claimed last, once a connection is open. If it were claimed earlier and no
        // backend server could be reached, it would stay taken although its request never ran.
        if let Some(wanted) = job.claim.as_ref().filter(|_| progress.claimed.is_none()) {
            progress.claimed = Some(claim::claim(state, wanted, job.deadline).await?);
        }
        let reused = connection.is_reused();
        let unsent =
            |failure| Error::Failed(Fault { failure, reused, worked: false, unopened: false });
        if job.remaining().is_zero() {
            return Err(unsent(Failure::not_sent(Cause::Deadline)));
        }
        let lease = Lease::new(Arc::clone(server));
        let request = job.request(server).map_err(unsent)?;
        let limit = if reused { job.reused_first_byte_timeout } else { job.first_byte_timeout };
        let (sent_at, began, sent) = (Instant::now(), clock::now(), clock::steady());
        if server.is_restricted() {
            server.with_intake(sent, |intake| intake.record_sent(None, sent));
        }
        if let Some(claimed) = &mut progress.claimed {
            claimed.mark_used();
        }
        let result = match connection.send(request, limit.min(job.remaining())).await {
            Ok(response) => {
                let memory = state.beginnings.reserve();
                reply::read(job, response, connection, lease, sent, sent_at, memory).await
            }
            Err(failure) => Err(failure),
        };
        result.inspect(|_| self.record_answer(server)).map_err(|failure| {
            if let Some(claimed) = self.progress.claimed.as_mut().filter(|_| !failure.sent) {
                claimed.mark_unused();
            }
            let worked = failure.cause == Cause::Silent && server.answered_since(began);
            Error::Failed(Fault { failure, reused, worked, unopened: false })
        })
    }

    fn record_answer(&self, server: &Server) {
        server.record_success(clock::now());
        self.job.record_attempt(self.state, false);
    }
}

/// Attributes a failure to a reused connection, to the backend server, or to neither.
fn blame(state: &State, job: &Job, server: &Server, progress: &mut Progress, fault: &Fault) {
    let Fault { failure, reused, worked, unopened } = *fault;
    match failure.cause {
        // The caller's deadline passed, which says nothing about the server.
        _ if job.remaining().is_zero() => {}
        Cause::Deadline => {}
        _ if unopened => {
            server.record_failure(clock::now());
            progress.failed_servers.push(server.name.clone());
        }
        Cause::Silent | Cause::Broken if reused => {
            server.record_suspicion();
            progress.has_reused_failed = true;
            progress.needs_new_connection = true;
        }
        Cause::Silent | Cause::Broken | Cause::Refused | Cause::Unreachable if !worked => {
            server.record_failure(clock::now());
            progress.failed_servers.push(server.name.clone());
            job.record_attempt(state, true);
        }
        // The server works, but not for this request.
        _ => {
            progress.failed_servers.push(server.name.clone());
            job.record_attempt(state, true);
        }
    }
}

fn may_retry(state: &State, job: &Job, progress: &Progress) -> bool {
    let attempt = Attempt {
        may_repeat: job.may_repeat,
        first_byte_written: progress.may_be_sent,
        answer_begun: false,
        left_ms: u64::try_from(job.remaining().as_millis()).unwrap_or(u64::MAX),
        expected_ms: 1,
    };
    // An attempt that wrote nothing caused no work, so it costs no retry budget. Neither does an
    // attempt that failed on a reused connection: when many connections go silent at once, the
    // budget would be used up before all their requests were retried on new connections. Each
    // request gets this exemption at most once, because its next attempt opens a new connection.
    let has_budget = || {
        !progress.may_be_sent
            || progress.has_reused_failed
            || (state.retry_budgets.with(&job.account, retry::Budget::take)
                && state.pool_retry_budgets.with(&job.pool, retry::Budget::take))
    };
    progress.count < ATTEMPTS_MAX && retry::may_retry_elsewhere(&attempt) && has_budget()
}

fn refusal(code: Code, message: String, progress: &Progress) -> Refusal {
    match progress.may_be_sent {
        true => Refusal::may_have_run(code, message),
        false => Refusal::not_run(code, message),
    }
}

fn no_server_refusal(job: &Job, progress: &Progress) -> Refusal {
    let what = job.version.as_ref().unwrap_or(&job.task);
    let message = format!("no backend server takes new work for {what} now");
    refusal(Code::NoBackend, message, progress).retry_after(NO_SERVER_RETRY_MS)
}

fn attempts_exhausted(job: &Job, progress: &Progress) -> Refusal {
    let cause = progress.last_cause.map_or("failed", Cause::message);
    match job.remaining().is_zero() {
        true => refusal(Code::DeadlinePassed, "the deadline passed".to_owned(), progress),
        false => refusal(Code::BackendFailed, format!("the backend server {cause}"), progress)
            .retry_after(FAILED_RETRY_MS),
    }
}
