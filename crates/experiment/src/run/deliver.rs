//! Engine steps, and the delivery of their output to hosts and callers.

use super::agenda::{Event, Reply};
use super::{Simulation, micros};
use crate::engine::{Job, Output};
use crate::request::Micros;

impl Simulation<'_> {
    /// Identifies the current attempt at its engine: the request in the upper bits, the attempt's
    /// number in the lower 16.
    pub(super) fn id(&self, request: usize) -> u64 {
        (request as u64) << 16 | u64::from(self.requests[request].serial)
    }

    /// Handles an attempt that reaches its engine.
    pub(super) fn reach_engine(&mut self, request: usize, serial: u16) {
        let req = &self.requests[request];
        let Some(current) = req.attempts.current.filter(|_| req.serial == serial) else { return };
        let kind = self.kind(request).1;
        let answer = kind.answer_tokens.saturating_sub(req.received).max(1);
        let prompt = kind.prompt_tokens + req.received;
        let job = Job { id: self.id(request), rank: current.rank, prompt, answer };
        let engine_state = &mut self.engines[current.engine];
        let reply = match () {
            () if !engine_state.is_alive => Some(Reply::Lost),
            () if engine_state.engine.offer(job) => None,
            () => Some(Reply::Full(engine_state.engine.load())),
        };
        match reply {
            None => self.wake(current.engine),
            Some(reply) => {
                self.tally.full += u64::from(matches!(reply, Reply::Full(_)));
                self.schedule_reply(request, serial, reply);
            }
        }
    }

    /// Begins a step if the engine is idle and has requests.
    fn wake(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        if engine_state.is_busy {
            return;
        }
        if let Some(ms) = engine_state.engine.begin_step() {
            engine_state.is_busy = true;
            let epoch = engine_state.epoch;
            self.agenda.schedule(self.now + micros(ms).max(1), Event::Step { engine, epoch });
        }
    }

    /// Ends a step, delivers its output and begins the next step.
    pub(super) fn step(&mut self, engine: usize, epoch: u32) {
        let engine_state = &mut self.engines[engine];
        if engine_state.epoch != epoch {
            return;
        }
        let mut outputs = Vec::new();
        engine_state.is_busy = false;
        engine_state.engine.end_step(&mut outputs);
        let load = engine_state.engine.load();
        for output in outputs {
            self.deliver(output, load);
        }
        self.wake(engine);
    }

    fn deliver(&mut self, output: Output, load: u32) {
        let (Output::FirstToken(id) | Output::Event(id) | Output::End(id)) = output;
        let (request, serial) = ((id >> 16) as usize, id as u16);
        let req = &self.requests[request];
        if req.attempts.current.is_none() || req.serial != serial {
            self.tally.wasted += u64::from(matches!(output, Output::End(_)));
            return;
        }
        match output {
            Output::FirstToken(_) => self.schedule_reply(request, serial, Reply::AnswerStart(load)),
            Output::End(_) => self.schedule_reply(request, serial, Reply::End),
            Output::Event(_) => {
                let caller_hop = micros(self.scenario.network.caller_ms);
                let at = self.heard_at(request) + caller_hop;
                let tokens = self.scenario.engines.event_tokens;
                self.requests[request].record_event(tokens, at);
            }
        }
    }

    /// Time at which the host receives what the engine sends now; delayed until the end of a
    /// network cut.
    fn heard_at(&self, request: usize) -> Micros {
        let req = &self.requests[request];
        let engine = req.attempts.current.map(|current| current.engine);
        let is_cut = engine.is_some_and(|engine| self.is_cut(req.host, engine));
        let sent = if is_cut { self.cut_until } else { self.now };
        sent + self.hop()
    }

    /// Schedules the reply to an attempt at its host.
    fn schedule_reply(&mut self, request: usize, serial: u16, reply: Reply) {
        let at = self.heard_at(request);
        self.agenda.schedule(at, Event::Reply { request, serial, reply });
    }

    /// Stops an engine; all requests in it are lost.
    pub(super) fn lose(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        engine_state.is_alive = false;
        engine_state.is_busy = false;
        engine_state.epoch += 1;
        for id in engine_state.engine.stop() {
            let (request, serial) = ((id >> 16) as usize, id as u16);
            if self.requests[request].serial == serial {
                self.schedule_reply(request, serial, Reply::Lost);
            }
        }
    }
}
