//! Engine steps, and the delivery of their output to hosts and callers.

use super::agenda::{Event, Reply};
use super::{World, micros};
use crate::engine::{Job, Sign};
use crate::request::Micros;

impl World<'_> {
    /// Identifies the current attempt at its engine: the request in the upper bits, the attempt's
    /// number in the lower 16.
    pub(super) fn id(&self, request: usize) -> u64 {
        (request as u64) << 16 | u64::from(self.requests[request].serial)
    }

    /// Handles an attempt that reaches its engine.
    pub(super) fn reach(&mut self, request: usize, serial: u16) {
        let held = &self.requests[request];
        let Some(current) = held.tries.current.filter(|_| held.serial == serial) else { return };
        let kind = self.kind(request).1;
        let answer = kind.answer_tokens.saturating_sub(held.received).max(1);
        let prompt = kind.prompt_tokens + held.received;
        let job = Job { id: self.id(request), rank: current.rank, prompt, answer };
        let place = &mut self.engines[current.engine];
        let reply = match () {
            () if !place.is_alive => Some(Reply::Lost),
            () if place.engine.offer(job) => None,
            () => Some(Reply::Full(place.engine.load())),
        };
        match reply {
            None => self.wake(current.engine),
            Some(reply) => {
                self.tally.full += u64::from(matches!(reply, Reply::Full(_)));
                self.tell(request, serial, reply);
            }
        }
    }

    /// Begins a step if the engine is idle and has requests.
    fn wake(&mut self, engine: usize) {
        let place = &mut self.engines[engine];
        if place.is_busy {
            return;
        }
        if let Some(ms) = place.engine.begin() {
            place.is_busy = true;
            let start = place.start;
            self.agenda.at(self.now + micros(ms).max(1), Event::Step { engine, start });
        }
    }

    /// Ends a step, delivers its output and begins the next step.
    pub(super) fn step(&mut self, engine: usize, start: u32) {
        let place = &mut self.engines[engine];
        if place.start != start {
            return;
        }
        let mut signs = Vec::new();
        place.is_busy = false;
        place.engine.finish(&mut signs);
        let load = place.engine.load();
        for sign in signs {
            self.sign(sign, load);
        }
        self.wake(engine);
    }

    fn sign(&mut self, sign: Sign, load: u32) {
        let (Sign::Head(id) | Sign::Event(id) | Sign::End(id)) = sign;
        let (request, serial) = ((id >> 16) as usize, id as u16);
        let held = &self.requests[request];
        if held.tries.current.is_none() || held.serial != serial {
            self.tally.wasted += u64::from(matches!(sign, Sign::End(_)));
            return;
        }
        match sign {
            Sign::Head(_) => self.tell(request, serial, Reply::Head(load)),
            Sign::End(_) => self.tell(request, serial, Reply::End),
            Sign::Event(_) => {
                let way = micros(self.scenario.network.caller_ms);
                let at = self.heard_at(request) + way;
                let tokens = self.scenario.engines.event_tokens;
                self.requests[request].event(tokens, at);
            }
        }
    }

    /// Time at which the host receives what the engine sends now; delayed until the end of a
    /// network cut.
    fn heard_at(&self, request: usize) -> Micros {
        let held = &self.requests[request];
        let engine = held.tries.current.map(|current| current.engine);
        let is_cut = engine.is_some_and(|engine| self.is_cut(held.host, engine));
        let sent = if is_cut { self.cut_until } else { self.now };
        sent + self.hop()
    }

    /// Schedules the reply to an attempt at its host.
    fn tell(&mut self, request: usize, serial: u16, reply: Reply) {
        let at = self.heard_at(request);
        self.agenda.at(at, Event::Reply { request, serial, reply });
    }

    /// Stops an engine; all requests in it are lost.
    pub(super) fn lose(&mut self, engine: usize) {
        let place = &mut self.engines[engine];
        place.is_alive = false;
        place.is_busy = false;
        place.start += 1;
        for id in place.engine.end() {
            let (request, serial) = ((id >> 16) as usize, id as u16);
            if self.requests[request].serial == serial {
                self.tell(request, serial, Reply::Lost);
            }
        }
    }
}
