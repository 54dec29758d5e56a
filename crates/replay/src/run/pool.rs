//! The backend servers of one pool: each works on a few calls at once and queues the rest.

use std::collections::VecDeque;

use crate::trace;

/// One backend server.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Whether it is there.
    pub up: bool,
    /// Calls it works on.
    pub running: Vec<usize>,
    /// Calls that wait for it.
    pub waiting: VecDeque<usize>,
}

/// One pool.
#[derive(Clone, Debug)]
pub struct Pool {
    /// How it was given.
    pub settings: trace::Pool,
    /// Its backend servers.
    pub workers: Vec<Worker>,
}

/// What a backend server does with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// Works on it at once.
    Running,
    /// Queues it.
    Waiting,
    /// It is not there: connection refused.
    Refused,
}

impl Pool {
    /// All servers up and idle.
    #[must_use]
    pub fn new(settings: trace::Pool) -> Self {
        let worker = Worker { up: true, ..Worker::default() };
        Self { settings, workers: vec![worker; settings.workers as usize] }
    }

    /// A call arrives at a server.
    pub fn take(&mut self, worker: usize, call: usize) -> Taken {
        let slots = self.settings.slots as usize;
        match &mut self.workers[worker] {
            gone if !gone.up => Taken::Refused,
            free if free.running.len() < slots => {
                free.running.push(call);
                Taken::Running
            }
            full => {
                full.waiting.push_back(call);
                Taken::Waiting
            }
        }
    }

    /// A call ends; the one that starts in its place, if any.
    pub fn end(&mut self, worker: usize, call: usize) -> Option<usize> {
        let worker = &mut self.workers[worker];
        worker.running.retain(|running| *running != call);
        let next = worker.waiting.pop_front()?;
        worker.running.push(next);
        Some(next)
    }

    /// Servers go; the calls that break.
    pub fn down(&mut self, count: Option<u32>) -> Vec<usize> {
        let count = count.map_or(usize::MAX, |count| count as usize);
        let mut broken = Vec::new();
        for worker in self.workers.iter_mut().filter(|worker| worker.up).take(count) {
            worker.up = false;
            broken.append(&mut worker.running);
            broken.extend(worker.waiting.drain(..));
        }
        broken
    }

    /// All servers are back.
    pub fn up(&mut self) {
        self.workers.iter_mut().for_each(|worker| worker.up = true);
    }

    /// What each server would report now; none from those that are gone.
    #[must_use]
    pub fn loads(&self) -> Vec<Option<u32>> {
        let load = |worker: &Worker| (worker.running.len() + worker.waiting.len()) as u32;
        self.workers.iter().map(|worker| worker.up.then(|| load(worker))).collect()
    }
}
