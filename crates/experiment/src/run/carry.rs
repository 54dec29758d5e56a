//! A host handles a request: chooses engines, retries, and answers the caller.

use policy::backlog::Prompt;

use super::agenda::{Event, Reply};
use super::{Simulation, micros};
use crate::host::Choice;
use crate::request::{Attempt, Attempts, Outcome};

/// Connection timeout in milliseconds, and the divisor of the remaining time that bounds the
/// timeout; both values are the router's.
const CONNECT_TIMEOUT_MS: u64 = 250;
const CONNECT_DIVISOR: u64 = 4;
/// Prompts whose reading takes at least this long are announced to the other hosts, in
/// milliseconds; same value as in the router.
const ANNOUNCED_READ_MIN_MS: f64 = 60.0;
/// Upper bound on the time after which a caller comes back after a failure, in milliseconds.
const FAILED_RETURN_MAX_MS: f64 = 100.0;
/// A caller that is asked to come back later waits at most the remaining time divided by this.
const RETURN_BUDGET_DIVISOR: u64 = 3;

impl Simulation<'_> {
    /// Handles a request that has reached its host.
    pub(super) fn reach_host(&mut self, request: usize) {
        let now = self.clock();
        let host = self.requests[request].host;
        if self.now >= self.requests[request].deadline {
            return self.end(request, Outcome::Rejected);
        }
        self.hosts[host].record_received(now);
        self.send_next(request);
    }

    /// Sends the request to the next engine, or gives up if there is none.
    fn send_next(&mut self, request: usize) {
        let (now, draw, kind) = (self.clock(), self.draw.bits(), self.kind(request));
        let req = &self.requests[request];
        let host = &mut self.hosts[req.host];
        match host.choose(self.way, kind, &req.attempts, req.received, now, draw) {
            Choice::Engine(engine) => self.send(request, engine),
            Choice::NoEngine(per_second) => self.give_up(request, per_second),
        }
    }

    fn send(&mut self, request: usize, engine: usize) {
        let req = &mut self.requests[request];
        req.serial += 1;
        let (serial, host, left) = (req.serial, req.host, req.deadline.saturating_sub(self.now));
        let hop = self.hop();
        let refusal = match () {
            () if self.is_cut(host, engine) => {
                Some((Reply::Timeout, (left / CONNECT_DIVISOR).min(CONNECT_TIMEOUT_MS * 1_000)))
            }
            () if !self.engines[engine].is_alive => Some((Reply::Refused, 2 * hop)),
            () => None,
        };
        self.requests[request].attempts.current =
            Some(self.begin_attempt(request, engine, refusal.is_none()));
        match refusal {
            Some((reply, after)) => {
                self.agenda.schedule(self.now + after, Event::Reply { request, serial, reply });
            }
            None => {
                let after = 3 * hop + micros(self.scenario.network.open_ms);
                self.agenda.schedule(self.now + after, Event::ReachEngine { request, serial });
            }
        }
        self.schedule_check(request);
    }

    /// Creates an attempt and, unless its connection doesn't open, records the prompt in the host's
    /// view of the engine.
    fn begin_attempt(&mut self, request: usize, engine: usize, has_connection: bool) -> Attempt {
        let (now, kind) = (self.clock(), self.kind(request).1);
        let req = &self.requests[request];
        let host = &mut self.hosts[req.host];
        let rank = host.rank(self.way, kind, &req.attempts, req.received);
        let wait_ms = host.views[engine].to_policy(rank, now).wait_ms;
        let tokens = f64::from(kind.prompt_tokens + req.received);
        let prompt = Prompt { rank, read_ms: tokens / host.tokens_per_ms() };
        let number = if has_connection { host.views[engine].add_prompt(prompt, now) } else { 0 };
        let is_announced =
            has_connection && prompt.read_ms >= ANNOUNCED_READ_MIN_MS && host.views[engine].is_near;
        if is_announced {
            self.announce(request, engine, prompt);
        }
        Attempt {
            engine,
            number,
            rank,
            sent_at: self.now,
            wait_ms,
            tokens,
            has_begun: false,
            is_connected: has_connection,
        }
    }

    /// Announces a prompt to the other hosts of the failure domain.
    fn announce(&mut self, request: usize, engine: usize, prompt: Prompt) {
        let (now, from) = (self.clock(), self.requests[request].host);
        let domain = self.hosts[from].domain;
        let others = self.hosts.iter_mut().enumerate().skip(domain);
        for (_, host) in
            others.step_by(self.scenario.domains as usize).filter(|(other, _)| *other != from)
        {
            host.views[engine].add_announced(prompt, now);
        }
    }

    /// Handles the reply to an attempt; ignores replies to earlier attempts.
    pub(super) fn reply(&mut self, request: usize, serial: u16, reply: Reply) {
        let req = &self.requests[request];
        let Some(current) = req.attempts.current.filter(|_| req.serial == serial) else { return };
        match reply {
            Reply::AnswerStart(load) => self.begin_answer(request, current, load),
            Reply::End => self.end_answer(request, current),
            Reply::Refused | Reply::Timeout | Reply::Full(_) | Reply::Lost => {
                self.handle_failure(request, current, reply);
            }
        }
    }

    fn begin_answer(&mut self, request: usize, current: Attempt, load: u32) {
        let (now, kind) = (self.clock(), self.requests[request].kind);
        let host = &mut self.hosts[self.requests[request].host];
        let ms = (self.now - current.sent_at) as f64 / 1_000.0;
        let view = &mut host.views[current.engine];
        view.record_answer_start(current.number, now);
        view.record_load(load, now);
        host.record_answer_start(kind, ms, current.wait_ms, current.tokens, now);
        let req = &mut self.requests[request];
        req.attempts.sent += 1;
        host.streams += usize::from(!req.attempts.is_passed_on);
        req.attempts.is_passed_on = true;
        req.attempts.current = Some(Attempt { has_begun: true, ..current });
        self.schedule_check(request);
    }

    fn end_answer(&mut self, request: usize, current: Attempt) {
        let (now, kind) = (self.clock(), self.kind(request));
        let host = &mut self.hosts[self.requests[request].host];
        let ms = (self.now - current.sent_at) as f64 / 1_000.0;
        host.views[current.engine].remove_attempt(current.number);
        host.views[current.engine].record_result(false, now);
        host.timings[kind.0].whole.record(ms, now);
        let outcome = self.requests[request].answer_outcome(kind.1.objective_ms, kind.1.gap_ms);
        self.end(request, outcome);
    }

    /// Handles a failed attempt: records the failure against the engine, then retries or gives up.
    pub(super) fn handle_failure(&mut self, request: usize, current: Attempt, reply: Reply) {
        let now = self.clock();
        let host = &mut self.hosts[self.requests[request].host];
        let attempts = &mut self.requests[request].attempts;
        let view = &mut host.views[current.engine];
        attempts.current = None;
        attempts.excluded.push(current.engine);
        if current.is_connected {
            view.remove_attempt(current.number);
            attempts.sent += u32::from(!current.has_begun);
        }
        match reply {
            Reply::Refused => view.record_refused(now),
            Reply::Timeout => {
                view.record_timeout(now);
                attempts.connect_timeouts += 1;
            }
            Reply::Full(load) => {
                view.record_load(load, now);
                attempts.not_run += 1;
            }
            Reply::Lost | Reply::AnswerStart(_) | Reply::End => {
                view.record_result(true, now);
                attempts.may_have_run = true;
            }
        }
        // The request reached no engine, so a retry that was paid for is still available.
        attempts.is_retry_paid |=
            matches!(reply, Reply::Refused | Reply::Timeout) && attempts.sent > 0;
        let left_ms = self.requests[request].deadline.saturating_sub(self.now) / 1_000;
        let has_begun = current.has_begun;
        let attempts = &mut self.requests[request].attempts;
        match host.may_retry(self.way, attempts, has_begun, left_ms, now) {
            true => {
                self.tally.repeats += u64::from(attempts.sent > 0);
                self.send_next(request);
            }
            false => self.give_up(request, 0.0),
        }
    }

    /// Ends the attempts and answers the caller; `per_second` is the total rate that rate-limited
    /// engines accept.
    fn give_up(&mut self, request: usize, per_second: f64) {
        let (now, kind, draw) = (self.clock(), self.kind(request), self.draw.unit());
        let req = &self.requests[request];
        let host = &mut self.hosts[req.host];
        if req.attempts.may_have_run {
            let after = (FAILED_RETURN_MAX_MS * draw) as u64;
            return self.come_back(request, after, Outcome::Failed);
        }
        let after = match () {
            () if req.attempts.not_run > 0 => host.return_ms(self.way, kind, now, draw),
            () if per_second > 0.0 => {
                gateway::refuse::limited(per_second, draw).retry_after_ms.unwrap_or_default()
            }
            () => gateway::refuse::no_backend().retry_after_ms.unwrap_or_default(),
        };
        self.come_back(request, after, Outcome::Rejected);
    }

    /// The caller is asked to come back after `after_ms`; it does so if its deadline and the
    /// scenario's limit allow, else the request ends with `else_outcome`.
    fn come_back(&mut self, request: usize, after_ms: u64, else_outcome: Outcome) {
        let host = self.draw_host();
        let caller_hop = micros(self.scenario.network.caller_ms);
        self.leave_host(request);
        let req = &mut self.requests[request];
        let left = req.deadline.saturating_sub(self.now + caller_hop);
        if req.return_count >= self.scenario.returns || left == 0 {
            return self.end(request, else_outcome);
        }
        let wait = (after_ms * 1_000).min(left / RETURN_BUDGET_DIVISOR);
        req.return_count += 1;
        req.host = host;
        req.attempts = Attempts::default();
        req.last_sent_at = self.now + caller_hop + wait;
        req.check += 1;
        self.tally.returns += 1;
        self.send_to_host(request, caller_hop + wait);
    }

    /// Releases the request from its host.
    fn leave_host(&mut self, request: usize) {
        let req = &mut self.requests[request];
        let was_passed_on = std::mem::take(&mut req.attempts.is_passed_on);
        self.hosts[req.host].streams -= usize::from(was_passed_on);
    }

    /// Ends a request with its outcome.
    pub(super) fn end(&mut self, request: usize, outcome: Outcome) {
        self.leave_host(request);
        let req = &mut self.requests[request];
        req.attempts.current = None;
        req.outcome = Some(outcome);
        req.check += 1;
    }
}
