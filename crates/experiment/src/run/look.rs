//! Checks of requests without news: hosts abandon silent engines, callers leave.

use policy::silence::Action;
use policy::time::Millis;

use super::agenda::{Event, Reply};
use super::{World, micros};
use crate::request::{Micros, Outcome, Try};

/// Interval between checks of a silent engine that answers probes, in milliseconds; same value as
/// in the router.
const LOOK_MS: f64 = 100.0;

impl World<'_> {
    /// Schedules the next check of a request after something was sent or received.
    pub(super) fn look_soon(&mut self, request: usize) {
        let wait = self.wait(request).unwrap_or(Micros::MAX);
        self.look_after(request, wait);
    }

    /// Schedules a check after `wait`, or when the caller leaves if that is sooner. At least a
    /// millisecond passes, except before the caller leaves.
    fn look_after(&mut self, request: usize, wait: Micros) {
        let leaves = self.leaves_at(request);
        let held = &mut self.requests[request];
        held.look += 1;
        let at = self.now.saturating_add(wait.max(1_000)).min(leaves).max(self.now + 1);
        self.agenda.at(at, Event::Look { request, look: held.look });
    }

    /// Time at which the caller leaves if it receives nothing more.
    fn leaves_at(&self, request: usize) -> Micros {
        let held = &self.requests[request];
        let patience = self.kind(request).1.patience_ms() * 1_000;
        held.until.min(held.quiet_since() + patience)
    }

    /// Time since which the host has received nothing from an attempt.
    fn quiet_since(&self, request: usize, current: Try) -> Micros {
        match current.has_begun {
            true => self.requests[request].quiet_since().max(current.sent),
            false => current.sent,
        }
    }

    fn action(&self, request: usize) -> Option<Action> {
        let held = &self.requests[request];
        let current = held.tries.current.filter(|current| current.is_there)?;
        let silent = self.now.saturating_sub(self.quiet_since(request, current));
        let host = &self.hosts[held.host];
        host.silence(self.kind(request), &held.tries, silent as f64 / 1_000.0, self.clock())
    }

    fn wait(&self, request: usize) -> Option<Micros> {
        match self.action(request)? {
            Action::Wait(ms) => Some(micros(ms)),
            Action::Probe | Action::Leave => Some(0),
        }
    }

    /// Checks a request; ignores a check that a later one replaced.
    pub(super) fn look(&mut self, request: usize, look: u32) {
        if self.requests[request].look != look || self.requests[request].outcome.is_some() {
            return;
        }
        if self.now >= self.leaves_at(request) {
            return self.caller_leaves(request);
        }
        let current = self.requests[request].tries.current;
        match (self.action(request), current) {
            (Some(Action::Wait(ms)), _) => self.look_after(request, micros(ms)),
            (Some(Action::Probe), Some(current)) => self.probe(request, current),
            (Some(Action::Leave), Some(current)) => self.leave(request, current),
            _ => self.look_after(request, Micros::MAX),
        }
    }

    fn probe(&mut self, request: usize, current: Try) {
        let host = self.requests[request].host;
        if self.is_cut(host, current.engine) || !self.engines[current.engine].is_alive {
            return self.leave(request, current);
        }
        self.hosts[host].views[current.engine].heard_at = self.clock();
        self.look_after(request, micros(LOOK_MS));
    }

    /// Abandons the engine if the host may send the request elsewhere, and waits on otherwise.
    fn leave(&mut self, request: usize, current: Try) {
        let now: Millis = self.clock();
        let held = &mut self.requests[request];
        let host = &mut self.hosts[held.host];
        // An attempt whose answer has not begun is not yet in `sent`; it counts for this decision.
        held.tries.sent += u32::from(!current.has_begun);
        let leaves = host.leave(self.way, &mut held.tries, current.engine, now);
        held.tries.sent -= u32::from(!current.has_begun);
        if !leaves {
            return self.look_after(request, Micros::MAX);
        }
        let kind = self.kind(request);
        self.hosts[self.requests[request].host].was_left(kind, now);
        self.close(request, current);
        self.failed(request, current, Reply::Lost);
    }

    fn caller_leaves(&mut self, request: usize) {
        self.tally.left += 1;
        let host = self.requests[request].host;
        if let Some(current) = self.requests[request].tries.current {
            self.close(request, current);
            if current.is_there {
                self.hosts[host].views[current.engine].left(current.number);
            }
        }
        self.end(request, Outcome::Failed);
    }

    /// Closes the connection of an attempt; the engine then cancels the request, if the scenario
    /// says that engines do.
    fn close(&mut self, request: usize, current: Try) {
        if self.scenario.engines.drops {
            let id = self.id(request);
            let at = self.now + self.hop();
            self.agenda.at(at, Event::Close { engine: current.engine, id });
        }
    }
}
