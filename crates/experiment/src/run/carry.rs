//! A host handles a request: chooses engines, retries, and answers the caller.

use policy::backlog::Prompt;

use super::agenda::{Event, Reply};
use super::{World, micros};
use crate::host::Choice;
use crate::request::{Outcome, Tries, Try};

/// Connection timeout in milliseconds, and the divisor of the remaining time that bounds the
/// timeout; both values are the router's.
const CONNECT_MS: u64 = 250;
const CONNECT_PART: u64 = 4;
/// Prompts whose reading takes at least this long are announced to the other hosts, in
/// milliseconds; same value as in the router.
const TOLD_MS: f64 = 60.0;
/// Upper bound on the time after which a caller comes back after a failure, in milliseconds.
const FAILED_RETURN_MS: f64 = 100.0;
/// A caller that is asked to come back later waits at most the remaining time divided by this.
const AWAY_PART: u64 = 3;

impl World<'_> {
    /// Handles a request that has reached its host.
    pub(super) fn ask(&mut self, request: usize) {
        let now = self.clock();
        let host = self.requests[request].host;
        if self.now >= self.requests[request].until {
            return self.end(request, Outcome::Rejected);
        }
        self.hosts[host].came(now);
        self.go_on(request);
    }

    /// Sends the request to the next engine, or gives up if there is none.
    fn go_on(&mut self, request: usize) {
        let (now, draw, kind) = (self.clock(), self.draw.bits(), self.kind(request));
        let held = &self.requests[request];
        let host = &mut self.hosts[held.host];
        match host.choose(self.way, kind, &held.tries, held.received, now, draw) {
            Choice::Engine(engine) => self.send(request, engine),
            Choice::None(per_second) => self.give_up(request, per_second),
        }
    }

    fn send(&mut self, request: usize, engine: usize) {
        let held = &mut self.requests[request];
        held.serial += 1;
        let (serial, host, left) = (held.serial, held.host, held.until.saturating_sub(self.now));
        let hop = self.hop();
        let refusal = match () {
            () if self.is_cut(host, engine) => {
                Some((Reply::Silent, (left / CONNECT_PART).min(CONNECT_MS * 1_000)))
            }
            () if !self.engines[engine].is_alive => Some((Reply::Refused, 2 * hop)),
            () => None,
        };
        self.requests[request].tries.current =
            Some(self.begin_try(request, engine, refusal.is_none()));
        match refusal {
            Some((reply, after)) => {
                self.agenda.at(self.now + after, Event::Reply { request, serial, reply });
            }
            None => {
                let after = 3 * hop + micros(self.scenario.network.open_ms);
                self.agenda.at(self.now + after, Event::Reach { request, serial });
            }
        }
        self.look_soon(request);
    }

    /// Creates an attempt and, unless its connection doesn't open, records the prompt in the host's
    /// view of the engine.
    fn begin_try(&mut self, request: usize, engine: usize, opens: bool) -> Try {
        let (now, kind) = (self.clock(), self.kind(request).1);
        let held = &self.requests[request];
        let host = &mut self.hosts[held.host];
        let rank = host.rank(self.way, kind, &held.tries, held.received);
        let wait_ms = host.views[engine].known(rank, now).wait_ms;
        let tokens = f64::from(kind.prompt_tokens + held.received);
        let prompt = Prompt { rank, read_ms: tokens / host.tokens_per_ms() };
        let number = if opens { host.views[engine].sent(prompt, now) } else { 0 };
        let is_told = opens && prompt.read_ms >= TOLD_MS && host.views[engine].is_near;
        if is_told {
            self.announce(request, engine, prompt);
        }
        Try {
            engine,
            number,
            rank,
            sent: self.now,
            wait_ms,
            tokens,
            has_begun: false,
            is_there: opens,
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
            host.views[engine].announced(prompt, now);
        }
    }

    /// Handles the reply to an attempt; ignores replies to earlier attempts.
    pub(super) fn reply(&mut self, request: usize, serial: u16, reply: Reply) {
        let held = &self.requests[request];
        let Some(current) = held.tries.current.filter(|_| held.serial == serial) else { return };
        match reply {
            Reply::Head(load) => self.head(request, current, load),
            Reply::End => self.ended(request, current),
            Reply::Refused | Reply::Silent | Reply::Full(_) | Reply::Lost => {
                self.failed(request, current, reply);
            }
        }
    }

    fn head(&mut self, request: usize, current: Try, load: u32) {
        let (now, kind) = (self.clock(), self.requests[request].kind);
        let host = &mut self.hosts[self.requests[request].host];
        let ms = (self.now - current.sent) as f64 / 1_000.0;
        let view = &mut host.views[current.engine];
        view.began(current.number, now);
        view.reported(load, now);
        host.began(kind, ms, current.wait_ms, current.tokens, now);
        let held = &mut self.requests[request];
        held.tries.sent += 1;
        host.streams += usize::from(!held.tries.is_passed_on);
        held.tries.is_passed_on = true;
        held.tries.current = Some(Try { has_begun: true, ..current });
        self.look_soon(request);
    }

    fn ended(&mut self, request: usize, current: Try) {
        let (now, kind) = (self.clock(), self.kind(request));
        let host = &mut self.hosts[self.requests[request].host];
        let ms = (self.now - current.sent) as f64 / 1_000.0;
        host.views[current.engine].left(current.number);
        host.views[current.engine].note(false, now);
        host.timings[kind.0].whole.record(ms, now);
        let outcome = self.requests[request].answered(kind.1.objective_ms, kind.1.gap_ms);
        self.end(request, outcome);
    }

    /// Handles a failed attempt: records the failure against the engine, then retries or gives up.
    pub(super) fn failed(&mut self, request: usize, current: Try, reply: Reply) {
        let now = self.clock();
        let host = &mut self.hosts[self.requests[request].host];
        let tries = &mut self.requests[request].tries;
        let view = &mut host.views[current.engine];
        tries.current = None;
        tries.tried.push(current.engine);
        if current.is_there {
            view.left(current.number);
            tries.sent += u32::from(!current.has_begun);
        }
        match reply {
            Reply::Refused => view.refused(now),
            Reply::Silent => {
                view.timed_out(now);
                tries.unsent += 1;
            }
            Reply::Full(load) => {
                view.reported(load, now);
                tries.not_run += 1;
            }
            Reply::Lost | Reply::Head(_) | Reply::End => {
                view.note(true, now);
                tries.may_have_run = true;
            }
        }
        // The request reached no engine, so a retry that was paid for is still available.
        tries.paid |= matches!(reply, Reply::Refused | Reply::Silent) && tries.sent > 0;
        let left_ms = self.requests[request].until.saturating_sub(self.now) / 1_000;
        let has_begun = current.has_begun;
        let tries = &mut self.requests[request].tries;
        match host.may_go_on(self.way, tries, has_begun, left_ms, now) {
            true => {
                self.tally.repeats += u64::from(tries.sent > 0);
                self.go_on(request);
            }
            false => self.give_up(request, 0.0),
        }
    }

    /// Ends the attempts and answers the caller; `per_second` is the total rate that rate-limited
    /// engines accept.
    fn give_up(&mut self, request: usize, per_second: f64) {
        let (now, kind, draw) = (self.clock(), self.kind(request), self.draw.unit());
        let held = &self.requests[request];
        let host = &mut self.hosts[held.host];
        if held.tries.may_have_run {
            let after = (FAILED_RETURN_MS * draw) as u64;
            return self.come_back(request, after, Outcome::Failed);
        }
        let after = match () {
            () if held.tries.not_run > 0 => host.return_ms(self.way, kind, now, draw),
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
        let way = micros(self.scenario.network.caller_ms);
        self.leave_host(request);
        let held = &mut self.requests[request];
        let left = held.until.saturating_sub(self.now + way);
        if held.returned >= self.scenario.returns || left == 0 {
            return self.end(request, else_outcome);
        }
        let wait = (after_ms * 1_000).min(left / AWAY_PART);
        held.returned += 1;
        held.host = host;
        held.tries = Tries::default();
        held.asked = self.now + way + wait;
        held.look += 1;
        self.tally.returns += 1;
        self.send_to_host(request, way + wait);
    }

    /// Releases the request from its host.
    fn leave_host(&mut self, request: usize) {
        let held = &mut self.requests[request];
        let was_passed_on = std::mem::take(&mut held.tries.is_passed_on);
        self.hosts[held.host].streams -= usize::from(was_passed_on);
    }

    /// Ends a request with its outcome.
    pub(super) fn end(&mut self, request: usize, outcome: Outcome) {
        self.leave_host(request);
        let held = &mut self.requests[request];
        held.tries.current = None;
        held.outcome = Some(outcome);
        held.look += 1;
    }
}
