//! The backend servers of one pool. Each works on a limited number of calls at once and queues the
//! others.

use std::collections::VecDeque;

use crate::trace;

/// One backend server.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Whether the server runs; if not, it refuses connections.
    pub is_up: bool,
    /// Indices of the calls that the server works on.
    pub running: Vec<usize>,
    /// Indices of the calls in the server's queue, oldest first.
    pub waiting: VecDeque<usize>,
}

/// A pool of backend servers, as it really is; hosts only see reports of it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The pool's settings in the trace header.
    pub settings: trace::Pool,
    /// Backend servers of the pool.
    pub workers: Vec<Worker>,
}

/// What a backend server does with a new call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server starts to work on the call.
    Running,
    /// All slots are busy, and the server queues the call.
    Waiting,
    /// The server is down and refuses the connection.
    Refused,
}

impl Pool {
    /// Creates a pool with all servers up and idle.
    #[must_use]
    pub fn new(settings: trace::Pool) -> Self {
        let worker = Worker { is_up: true, ..Worker::default() };
        Self { settings, workers: vec![worker; settings.workers as usize] }
    }

    /// Sends a call to a server.
    pub fn accept(&mut self, worker: usize, call: usize) -> Outcome {
        let slots = self.settings.slots as usize;
        match &mut self.workers[worker] {
            down if !down.is_up => Outcome::Refused,
            idle if idle.running.len() < slots => {
                idle.running.push(call);
                Outcome::Running
            }
            full => {
                full.waiting.push_back(call);
                Outcome::Waiting
            }
        }
    }

    /// Ends a call and returns the queued call that starts in its place, if any.
    pub fn end_call(&mut self, worker: usize, call: usize) -> Option<usize> {
        let worker = &mut self.workers[worker];
        worker.running.retain(|running| *running != call);
        let next = worker.waiting.pop_front()?;
        worker.running.push(next);
        Some(next)
    }

    /// Stops `count` servers, or all for `None`, and returns the calls that break off.
    pub fn stop(&mut self, count: Option<u32>) -> Vec<usize> {
        let count = count.map_or(usize::MAX, |count| count as usize);
        let mut broken = Vec::new();
        for worker in self.workers.iter_mut().filter(|worker| worker.is_up).take(count) {
            worker.is_up = false;
            broken.append(&mut worker.running);
            broken.extend(worker.waiting.drain(..));
        }
        broken
    }

    /// Brings all servers up again.
    pub fn restart(&mut self) {
        self.workers.iter_mut().for_each(|worker| worker.is_up = true);
    }

    /// Returns the load that each server reports now; `None` for a server that is down.
    #[must_use]
    pub fn loads(&self) -> Vec<Option<u32>> {
        let load = |worker: &Worker| (worker.running.len() + worker.waiting.len()) as u32;
        self.workers.iter().map(|worker| worker.is_up.then(|| load(worker))).collect()
    }
}
