//! A stream that goes on at another backend server, in the answer that its caller has begun to read.

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

/// Longest pause of all servers that a stream waits out. Callers leave a stream after two seconds without
/// an event, at the earliest.
const PAUSE_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// A pause that has just ended is over within this time.
const PAUSE_WAIT_MIN: Duration = Duration::from_millis(10);

/// What stands against another try of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// Its time is over.
    Late,
    /// It may have run, and its kind may not run again.
    Kind,
    /// It was sent to as many backend servers as its route allows.
    Attempts,
    /// Too many connections did not open in time.
    Connections,
    /// The host has no repeat left.
    Repeats,
    /// No backend server is known that takes it.
    NoServer,
    /// It is held, since servers ended under it.
    Held,
}

impl<C: Codec> Job<C> {
    /// Goes on with a stream that broke, behind the last event that the caller has.
    ///
    /// # Errors
    /// Why no other backend server has taken it up.
    pub async fn resume(&mut self, last: u64) -> Result<LiveStream, Obstacle> {
        self.claim_attempt()?;
        loop {
            let mut resumption = Resumption { job: self, last, obstacle: Obstacle::NoServer };
            let resumed = carry(&mut resumption).await;
            let obstacle = resumption.obstacle;
            match resumed {
                Ok(live) => return Ok(live),
                // What is paid for is still to be made.
                Err(_) if obstacle == Obstacle::NoServer && self.wait_out_pause().await => {}
                Err(_) => return Err(obstacle),
            }
        }
    }

    /// Waits until the first server takes requests again, if all want a pause and that is soon: a caller
    /// that has the beginning of a stream can't come back for the rest.
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

/// A stream that goes on elsewhere, in the answer that its caller has begun to read.
struct Resumption<'a, C> {
    job: &'a mut Job<C>,
    /// The last event that the caller has.
    last: u64,
    /// What stands against another try, if none is made.
    obstacle: Obstacle,
}

impl<C: Codec> carry::Request for Resumption<'_, C> {
    type Server = Arc<Backend>;
    type Answer = LiveStream;
    type Failure = Failure;

    fn choose(&mut self) -> Option<Arc<Backend>> {
        self.obstacle = Obstacle::NoServer;
        self.job.next_destination()
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
                Step::Answered(live)
            }
            Err(failure) => Step::Failed(failure),
        }
    }

    fn failed(&mut self, backend: &Arc<Backend>, failure: Failure) {
        self.job.blame(backend, failure);
    }

    fn may_go_on(&mut self) -> bool {
        let leave = self.job.claim_attempt();
        self.obstacle = leave.err().unwrap_or(self.obstacle);
        leave.is_ok()
    }

    /// The caller learns of it by a connection that closes before the stream's end.
    fn give_up(&mut self) -> Result<LiveStream, Refusal> {
        Err(Refusal::may_have_run(Code::BackendFailed, "the stream broke off"))
    }
}
