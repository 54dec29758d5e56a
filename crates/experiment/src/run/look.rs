//! Checks of requests without news: hosts abandon silent engines, callers leave.

use policy::silence::Action;
use policy::time::Millis;

use super::agenda::{Event, Reply};
use super::{Simulation, micros};
use crate::request::{Attempt, Micros, Outcome};

/// Interval between checks of a silent engine that answers probes, in milliseconds; same value as
/// in the router.
const PROBE_INTERVAL_MS: f64 = 100.0;

impl Simulation<'_> {
    /// Schedules the next check of a request after something was sent or received.
    pub(super) fn schedule_check(&mut self, request: usize) {
        let wait = self.check_delay(request).unwrap_or(Micros::MAX);
        self.check_after(request, wait);
    }

    /// Schedules a check after `wait`, or when the caller leaves if that is sooner. At least a
    /// millisecond passes, except before the caller leaves.
    fn check_after(&mut self, request: usize, wait: Micros) {
        let leaves = self.leaves_at(request);
        let req = &mut self.requests[request];
        req.check += 1;
        let at = self.now.saturating_add(wait.max(1_000)).min(leaves).max(self.now + 1);
        self.agenda.schedule(at, Event::Check { request, check: req.check });
    }

    /// Time at which the caller leaves if it receives nothing more.
    fn leaves_at(&self, request: usize) -> Micros {
        let req = &self.requests[request];
        let patience = self.kind(request).1.patience_ms() * 1_000;
        req.deadline.min(req.quiet_since() + patience)
    }

    /// Time since which the host has received nothing from an attempt.
    fn quiet_since(&self, request: usize, current: Attempt) -> Micros {
        match current.has_begun {
            true => self.requests[request].quiet_since().max(current.sent_at),
            false => current.sent_at,
        }
    }

    fn action(&self, request: usize) -> Option<Action> {
        let req = &self.requests[request];
        let current = req.attempts.current.filter(|current| current.is_connected)?;
        let silent = self.now.saturating_sub(self.quiet_since(request, current));
        let host = &self.hosts[req.host];
        host.silence_action(
            self.kind(request),
            &req.attempts,
            silent as f64 / 1_000.0,
            self.clock(),
        )
    }

    fn check_delay(&self, request: usize) -> Option<Micros> {
        match self.action(request)? {
            Action::Wait(ms) => Some(micros(ms)),
            Action::Probe | Action::Leave => Some(0),
        }
    }

    /// Checks a request; ignores a check that a later one replaced.
    pub(super) fn check(&mut self, request: usize, check: u32) {
        if self.requests[request].check != check || self.requests[request].outcome.is_some() {
            return;
        }
        if self.now >= self.leaves_at(request) {
            return self.caller_leaves(request);
        }
        let current = self.requests[request].attempts.current;
        match (self.action(request), current) {
            (Some(Action::Wait(ms)), _) => self.check_after(request, micros(ms)),
            (Some(Action::Probe), Some(current)) => self.probe(request, current),
            (Some(Action::Leave), Some(current)) => self.abandon_engine(request, current),
            _ => self.check_after(request, Micros::MAX),
        }
    }

    fn probe(&mut self, request: usize, current: Attempt) {
        let host = self.requests[request].host;
        if self.is_cut(host, current.engine) || !self.engines[current.engine].is_alive {
            return self.abandon_engine(request, current);
        }
        self.hosts[host].views[current.engine].heard_at = self.clock();
        self.check_after(request, micros(PROBE_INTERVAL_MS));
    }

    /// Abandons the engine if the host may send the request elsewhere, and waits on otherwise.
    fn abandon_engine(&mut self, request: usize, current: Attempt) {
        let now: Millis = self.clock();
        let req = &mut self.requests[request];
        let host = &mut self.hosts[req.host];
        // An attempt whose answer has not begun is not yet in `sent`; it counts for this decision.
        req.attempts.sent += u32::from(!current.has_begun);
        let leaves = host.may_abandon(self.way, &mut req.attempts, current.engine, now);
        req.attempts.sent -= u32::from(!current.has_begun);
        if !leaves {
            return self.check_after(request, Micros::MAX);
        }
        let kind = self.kind(request);
        self.hosts[self.requests[request].host].record_abandoned(kind, now);
        self.close(request, current);
        self.handle_failure(request, current, Reply::Lost);
    }

    fn caller_leaves(&mut self, request: usize) {
        self.tally.left += 1;
        let host = self.requests[request].host;
        if let Some(current) = self.requests[request].attempts.current {
            self.close(request, current);
            if current.is_connected {
                self.hosts[host].views[current.engine].remove_attempt(current.number);
            }
        }
        self.end(request, Outcome::Failed);
    }

    /// Closes the connection of an attempt; the engine then cancels the request, if the scenario
    /// says that engines do.
    fn close(&mut self, request: usize, current: Attempt) {
        if self.scenario.engines.drops {
            let id = self.id(request);
            let at = self.now + self.hop();
            self.agenda.schedule(at, Event::Close { engine: current.engine, id });
        }
    }
}
