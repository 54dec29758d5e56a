//! The calls to engines that a move makes.
//!
//! Requests queue the calls, and one task makes them. The type of the adapter that makes them thus
//! stays out of the types of requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::name::Name;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::Moves;

/// Longest queue of calls.
pub(super) const CALL_QUEUE_MAX: usize = 64;
/// Most calls that are made at once.
const CALLS_MAX: usize = 64;

/// A copy of a running request's KV cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copied {
    /// Names the copy at the engine that made it.
    pub handle: Name,
    /// Events that the run had created by then.
    pub created: u64,
}

/// Why a copy was not made. `H` names a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Trouble<H> {
    /// The engine does not run the request.
    NoRun,
    /// The engine is working on another call for the same run.
    Busy,
    /// The target has no room or can't be reached. After a last copy, the run has stopped, and the
    /// source keeps its KV cache under the handle.
    NoRoom(Option<H>),
    /// The engine did not answer in time, or not as expected. Whether the run goes on is unknown.
    Failed,
}

/// Calls by which engines copy the KV caches of running requests, and tell when they leave.
pub trait Engines: Send + Sync + 'static {
    /// Copies the KV cache of the run with this id to the engine at `target`. A last copy stops the
    /// run. The call ends `within` this time.
    fn copy(
        &self,
        source: SocketAddr,
        run: &Name,
        target: SocketAddr,
        is_last: bool,
        within: Duration,
    ) -> impl Future<Output = Result<Copied, Trouble<Name>>> + Send;

    /// How long an engine that leaves will go on running; `None` if it does not tell.
    fn leaves_in(&self, engine: SocketAddr) -> impl Future<Output = Option<Duration>> + Send;

    /// Frees a copy that the source has made. Returns whether the engine has confirmed it.
    fn free(&self, source: SocketAddr, handle: &Name) -> impl Future<Output = bool> + Send;
}

/// A call to an engine.
pub enum Call {
    /// See [`Engines::copy`].
    Copy {
        /// The engine that runs the request.
        source: SocketAddr,
        /// The request's id.
        run: Name,
        /// The engine that receives the copy.
        target: SocketAddr,
        /// Whether the run stops.
        is_last: bool,
        /// Longest duration of the call.
        within: Duration,
        /// Where the answer goes.
        answer: oneshot::Sender<Result<UnusedCopy, Trouble<UnusedCopy>>>,
        /// Where the copy is freed if nobody waits for the answer any more.
        calls: mpsc::WeakSender<Call>,
    },
    /// See [`Engines::leaves_in`].
    LeavesIn {
        /// The engine that leaves.
        engine: SocketAddr,
        /// Identifies the engine's start.
        start: u64,
    },
    /// See [`Engines::free`].
    Free {
        /// The engine that made the copy.
        source: SocketAddr,
        /// The copy.
        handle: Name,
    },
}

/// A copy that has not been used. It is freed when this is dropped.
#[derive(Debug)]
pub struct UnusedCopy {
    /// The copy.
    pub copied: Copied,
    /// The engine that made the copy.
    pub source: SocketAddr,
    calls: mpsc::WeakSender<Call>,
    is_kept: bool,
}

impl UnusedCopy {
    /// Keeps the copy, because an engine has been asked to continue from it.
    pub(super) fn keep(mut self) {
        self.is_kept = true;
    }
}

impl Drop for UnusedCopy {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        let call = Call::Free { source: self.source, handle: self.copied.handle.clone() };
        let calls = self.calls.upgrade();
        if calls.is_none_or(|calls| calls.try_send(call).is_err()) {
            // The engine frees the copy itself after a while.
            metrics::counter!("gateway_copies_freed_total", "outcome" => "unsent").increment(1);
        }
    }
}

/// Makes the calls in the queue of `moves` until dropped.
pub async fn serve<E: Engines>(engines: E, moves: Arc<Moves>, mut queue: mpsc::Receiver<Call>) {
    let engines = Arc::new(engines);
    let mut tasks = JoinSet::new();
    while let Some(call) = queue.recv().await {
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= CALLS_MAX {
            tasks.join_next().await;
        }
        tasks.spawn(make(Arc::clone(&engines), Arc::clone(&moves), call));
    }
}

async fn make<E: Engines>(engines: Arc<E>, moves: Arc<Moves>, call: Call) {
    match call {
        Call::Copy { source, run, target, is_last, within, answer, calls } => {
            let copied = engines.copy(source, &run, target, is_last, within).await;
            let unused = |copied| UnusedCopy { copied, source, calls, is_kept: false };
            let copied = match copied {
                Ok(copied) => Ok(unused(copied)),
                Err(Trouble::NoRoom(handle)) => {
                    Err(Trouble::NoRoom(handle.map(|handle| unused(Copied { handle, created: 0 }))))
                }
                Err(Trouble::NoRun) => Err(Trouble::NoRun),
                Err(Trouble::Busy) => Err(Trouble::Busy),
                Err(Trouble::Failed) => Err(Trouble::Failed),
            };
            // If the request has ended meanwhile, the copy is dropped with the answer, and freed.
            drop(answer.send(copied));
        }
        Call::LeavesIn { engine, start } => {
            let leaves_in = engines.leaves_in(engine).await;
            log::info!(target: "route", engine:% = engine,
                leaves_ms:? = leaves_in.map(|time| time.as_millis());
                "engine with running streams leaves");
            moves.record_departure(
                start,
                leaves_in.and_then(|time| Instant::now().checked_add(time)),
            );
        }
        Call::Free { source, handle } => {
            let outcome = if engines.free(source, &handle).await { "freed" } else { "failed" };
            log::info!(target: "route", source:% = source, handle:% = handle, outcome;
                "unused copy of a stream freed");
            metrics::counter!("gateway_copies_freed_total", "outcome" => outcome).increment(1);
        }
    }
}
