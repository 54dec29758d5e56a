//! Plain servers, and the requests that they work on.

use std::collections::VecDeque;

use policy::report::Report;

use super::{Draws, SERVICE_MS};

pub const SLOTS: u32 = 6;
/// Requests that wait at a server before it rejects more.
const WAITING_MAX: usize = 24;

#[derive(Clone, Copy)]
pub struct Request {
    pub account: usize,
    pub host: usize,
    pub deadline: u64,
    /// Servers that rejected it since it was admitted, as bits, and attempts in all.
    pub rejected_by: u32,
    pub attempts: u32,
}

#[derive(Default)]
pub struct Server {
    pub running: Vec<(u64, Request)>,
    waiting: VecDeque<Request>,
}

impl Server {
    pub fn report(&self) -> Report {
        let requests = (self.running.len() + self.waiting.len()) as u32;
        Report { requests, slots: SLOTS, percent: 100 }
    }

    /// Takes a request; false if the server rejects it.
    pub fn accepts(&mut self, request: Request) -> bool {
        let accepts = self.waiting.len() < WAITING_MAX;
        self.waiting.extend(accepts.then_some(request));
        accepts
    }

    /// Begins requests that wait, and returns the requests that have ended.
    pub fn work(&mut self, draws: &mut Draws, now: u64) -> Vec<(u64, Request)> {
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        while self.running.len() < SLOTS as usize {
            let Some(request) = self.waiting.pop_front() else { break };
            let ms = SERVICE_MS * (0.5 + draws.next());
            self.running.push((now + ms as u64, request));
        }
        ended
    }
}
