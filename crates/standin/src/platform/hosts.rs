//! The host list, whose changes readers see only after a lag.

use std::time::{Duration, Instant};

use wire::host::Host;

/// Number of past host lists that are kept, enough for the lags that tests ask for.
const VERSIONS_MAX: usize = 64;

/// The host list with its past versions.
#[derive(Default)]
pub struct Hosts {
    /// Versions of the list with the time when each was set, oldest first.
    versions: Vec<(Instant, Vec<Host>)>,
}

impl Hosts {
    /// Replaces the host list.
    pub fn set(&mut self, hosts: Vec<Host>, now: Instant) {
        self.versions.push((now, hosts));
        if self.versions.len() > VERSIONS_MAX {
            self.versions.remove(0);
        }
    }

    /// The newest host list.
    #[must_use]
    pub fn newest(&self) -> Vec<Host> {
        self.versions.last().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// The host list as it was `lag_ms` before `now`; the oldest version kept if all are younger.
    #[must_use]
    pub fn visible(&self, now: Instant, lag_ms: u64) -> Vec<Host> {
        let lag = Duration::from_millis(lag_ms);
        let is_old_enough =
            |(at, _): &&(Instant, Vec<Host>)| now.saturating_duration_since(*at) >= lag;
        let found = self.versions.iter().rev().find(is_old_enough).or(self.versions.first());
        found.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
