//! Plain servers, and the requests that they work on.

use std::collections::VecDeque;

use policy::report::Report;

use super::Draws;
use super::case::PLAIN;
use super::engine::Engine;

/// Requests that wait at a server before it rejects more.
const WAITING_MAX: usize = 24;

#[derive(Clone, Copy)]
pub struct Request {
    pub account: usize,
    pub host: usize,
    pub deadline: u64,
    /// Time at which its answer is due.
    pub objective: u64,
    pub priority: u8,
    pub is_long: bool,
    /// When it was sent, and how crowded the servers were.
    pub sent_at: u64,
    pub crowding: f64,
    /// Servers that rejected it since it was admitted, as bits, and attempts in all.
    pub rejected_by: u32,
    pub attempts: u32,
}

/// What a server tells of a request.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Stage {
    /// The whole answer is sent at once.
    Whole,
    /// The stream begins, with a report of the load.
    Begun,
    /// The stream ends.
    Ended,
    /// Its caller left while it waited.
    Left,
}

pub enum Server {
    Plain(Plain),
    Engine(Engine),
}

impl Server {
    pub fn report(&self) -> Report {
        match self {
            Self::Plain(plain) => plain.report(),
            Self::Engine(engine) => engine.report(),
        }
    }

    pub fn running(&self) -> usize {
        match self {
            Self::Plain(plain) => plain.running.len(),
            Self::Engine(engine) => engine.running.len(),
        }
    }

    /// Takes a request; false if the server rejects it.
    pub fn accepts(&mut self, request: Request) -> bool {
        match self {
            Self::Plain(plain) => plain.accepts(request),
            Self::Engine(engine) => engine.accepts(request),
        }
    }

    pub fn work(&mut self, draws: &mut Draws, now: u64) -> Vec<(Stage, Request)> {
        match self {
            Self::Plain(plain) => plain.work(draws, now),
            Self::Engine(engine) => engine.work(now),
        }
    }
}

#[derive(Default)]
pub struct Plain {
    pub running: Vec<(u64, Request)>,
    waiting: VecDeque<Request>,
}

impl Plain {
    pub fn report(&self) -> Report {
        let requests = (self.running.len() + self.waiting.len()) as u32;
        Report { requests, slots: PLAIN.slots, percent: 100 }
    }

    /// Takes a request; false if the server rejects it.
    pub fn accepts(&mut self, request: Request) -> bool {
        let accepts = self.waiting.len() < WAITING_MAX;
        self.waiting.extend(accepts.then_some(request));
        accepts
    }

    /// Begins requests that wait, and returns the requests that have ended.
    pub fn work(&mut self, draws: &mut Draws, now: u64) -> Vec<(Stage, Request)> {
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        while self.running.len() < PLAIN.slots as usize {
            let Some(request) = self.waiting.pop_front() else { break };
            let ms = PLAIN.work_ms * (0.5 + draws.next());
            self.running.push((now + ms as u64, request));
        }
        ended.into_iter().map(|(_, request)| (Stage::Whole, request)).collect()
    }
}
