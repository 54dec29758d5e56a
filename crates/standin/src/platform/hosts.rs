//! The host list, which callers see only after a lag.

use std::time::{Duration, Instant};

use wire::host::Host;

/// Past lists kept, so that any sensible lag can be served.
const KEPT: usize = 64;

/// The list and its past.
#[derive(Default)]
pub struct Hosts {
    past: Vec<(Instant, Vec<Host>)>,
}

impl Hosts {
    /// Replaces the list.
    pub fn set(&mut self, hosts: Vec<Host>, now: Instant) {
        self.past.push((now, hosts));
        if self.past.len() > KEPT {
            self.past.remove(0);
        }
    }

    /// The newest list.
    #[must_use]
    pub fn newest(&self) -> Vec<Host> {
        self.past.last().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// The list as it was a lag ago; the oldest kept, if it is younger than that.
    #[must_use]
    pub fn seen(&self, now: Instant, lag_ms: u64) -> Vec<Host> {
        let lag = Duration::from_millis(lag_ms);
        let old = |(at, _): &&(Instant, Vec<Host>)| now.saturating_duration_since(*at) >= lag;
        let found = self.past.iter().rev().find(old).or(self.past.first());
        found.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
