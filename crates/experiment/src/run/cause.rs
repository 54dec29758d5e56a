//! Causes of overload, and how hosts learn of engines that end and start.

use policy::throttle::Limit;

use super::agenda::Event;
use super::{Simulation, micros};
use crate::scenario::{Cause, What};

impl Simulation<'_> {
    /// Begins or ends a cause.
    pub(super) fn cause(&mut self, index: usize, begins: bool) {
        let cause = self.scenario.causes[index];
        match cause.what {
            What::Lost => {
                for engine in self.affected_engines(&cause) {
                    self.lose_or_start(engine, begins);
                }
            }
            What::Slow => {
                let slowness = if begins { cause.times } else { 1.0 };
                for engine in self.affected_engines(&cause) {
                    self.engines[engine].engine.slowness = slowness;
                }
            }
            What::Cut => {
                self.cut_until = if begins { self.now + micros(cause.for_s * 1e3) } else { 0 }
            }
            What::Traffic => self.traffic = if begins { cause.times } else { 1.0 },
        }
    }

    /// Engines affected by a cause: the first ones by index, which are spread over all failure
    /// domains.
    fn affected_engines(&self, cause: &Cause) -> std::ops::Range<usize> {
        0..(self.engines.len() as f64 * cause.share).round() as usize
    }

    fn lose_or_start(&mut self, engine: usize, is_lost: bool) {
        let network = self.scenario.network;
        let after_ms = if is_lost { network.lapse_ms } else { network.list_ms };
        match is_lost {
            true => self.lose(engine),
            false => {
                self.engines[engine].is_alive = true;
                self.engines[engine].epoch += 1;
            }
        }
        let epoch = self.engines[engine].epoch;
        self.agenda.schedule(self.now + after_ms * 1_000, Event::UpdateLists { engine, epoch });
    }

    /// Updates the hosts' lists after an engine ended or started; ignored if the engine has changed
    /// since.
    pub(super) fn update_lists(&mut self, engine: usize, epoch: u32) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        let now = self.clock();
        let is_alive = self.engines[engine].is_alive;
        let warmup = self.scenario.engines.warmup;
        let left = |ms: u64| now + ms.saturating_sub(self.scenario.network.list_ms);
        let limit = warmup.map(|warmup| Limit::warmup(warmup.per_second, left(warmup.ms), now));
        for host in &mut self.hosts {
            match is_alive {
                true => host.views[engine].reset(limit, now),
                false => host.views[engine].is_listed = false,
            }
        }
    }

    /// Whether a network cut separates a host from an engine.
    pub(super) fn is_cut(&self, host: usize, engine: usize) -> bool {
        self.now < self.cut_until
            && self.hosts[host].domain == 0
            && self.engines[engine].domain != 0
    }
}
