//! Resumes a stream at another backend server, in the answer that its caller has begun to read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::carry::{self, Step, carry};
use entry::connection::Cause;
use hyper::StatusCode;
use wire::refusal::{Code, Refusal};

use crate::attempt::Failure;
use crate::backend::Backend;
use crate::codec::Codec;
use crate::job::Job;
use crate::relay::LiveStream;

/// The longest pause of all servers that a stream waits out. Callers leave a stream after two
/// seconds without an event at the earliest.
const PAUSE_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// The least wait, for a pause that is just ending.
const PAUSE_WAIT_MIN: Duration = Duration::from_millis(10);

/// What stands against another attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// The deadline has passed.
    Late,
    /// The request may have run, and requests of its kind may not run again.
    Kind,
    /// The request has been sent to as many backend servers as its route allows.
    Attempts,
    /// Too many connections failed without an answer.
    Connections,
    /// The host has no repeat left.
    Repeats,
    /// No known backend server takes the request.
    NoServer,
    /// The request is held back, because servers ended under it.
    Held,
}

impl<C: Codec> Job<C> {
    /// Resumes a broken stream after the last event that the caller has.
    ///
    /// # Errors
    /// Why the stream was not resumed at another backend server.
    pub async fn resume(&mut self, last: u64) -> Result<LiveStream, Obstacle> {
        let obstacle = Obstacle::NoServer;
        let mut resumption = Resumption { job: self, last, obstacle, is_claimed: false };
        loop {
            match carry(&mut resumption).await {
                Ok(live) => return Ok(live),
                // If a repeat was taken, it has not been used yet.
                Err(_)
                    if resumption.obstacle == Obstacle::NoServer
                        && resumption.job.wait_out_pause().await => {}
                Err(_) => return Err(resumption.obstacle),
            }
        }
    }

    /// If all servers want a pause that ends soon, waits until the first of them takes requests
    /// again. A caller that has the beginning of a stream can't come back for the rest.
    async fn wait_out_pause(&self) -> bool {
        let is_untried = |backend: &Backend| !self.attempts.excluded.contains(&backend.id);
        let pause = self.paused_ms(is_untried).map(Duration::from_millis);
        let pause = pause.filter(|pause| *pause <= PAUSE_WAIT_MAX.min(self.time_left()));
        match pause {
            Some(pause) => tokio::time::sleep(pause.max(PAUSE_WAIT_MIN)).await,
            None => return false,
        }
        true
    }
}

/// The resumption of a broken stream, as a request that is carried to a new run.
struct Resumption<'a, C> {
    job: &'a mut Job<C>,
    /// The last event that the caller has.
    last: u64,
    /// What stands against another attempt, if none is made.
    obstacle: Obstacle,
    /// Whether an attempt is claimed that has not been made yet.
    is_claimed: bool,
}

impl<C: Codec> Resumption<'_, C> {
    /// Claims an attempt that begins a new run.
    fn claim(&mut self) -> bool {
        if !self.is_claimed {
            let claimed = self.job.claim_attempt();
            self.is_claimed = claimed.is_ok();
            self.obstacle = claimed.err().unwrap_or(self.obstacle);
        }
        self.is_claimed
    }
}

impl<C: Codec> carry::Request for Resumption<'_, C> {
    type Server = Arc<Backend>;
    type Answer = LiveStream;
    type Failure = Failure;

    fn choose(&mut self) -> Option<Arc<Backend>> {
        self.obstacle = Obstacle::NoServer;
        if let Some(backend) = self.job.take_copy() {
            return Some(backend);
        }
        if !self.claim() {
            return None;
        }
        let chosen = self.job.next_destination();
        self.is_claimed = chosen.is_none();
        chosen
    }

    async fn attempt(&mut self, backend: &Arc<Backend>) -> Step<LiveStream, Failure> {
        if let Err(refusal) = self.job.permit(backend).await {
            self.obstacle = Obstacle::Held;
            return Step::Refused(refusal);
        }
        let last = Some(self.last);
        let reply = match self.job.attempt_at(backend, last).await {
            Ok(reply) => reply,
            Err(failure) => return Step::Failed(failure),
        };
        let status = reply.head.status;
        if backend.is_host && !reply.info.is_signed {
            return Step::Failed(Failure::NotRun { misdirected: false });
        }
        if status != StatusCode::OK {
            return Step::Failed(Failure::Lost(Cause::Failed(status.as_u16())));
        }
        match LiveStream::begin(self.job, reply, last).await {
            Ok(live) => {
                self.job.attempts.answer_began_at = Some(Instant::now());
                self.job.record_continued();
                Step::Answered(live)
            }
            Err(failure) => Step::Failed(failure),
        }
    }

    fn record_failure(&mut self, backend: &Arc<Backend>, failure: Failure) {
        self.job.blame(backend, failure);
    }

    fn may_retry(&mut self) -> bool {
        self.job.has_copy() || self.claim()
    }

    /// The caller sees that the connection closes before the stream's end.
    fn give_up(&mut self) -> Result<LiveStream, Refusal> {
        Err(Refusal::may_have_run(Code::BackendFailed, "the stream broke off"))
    }
}
