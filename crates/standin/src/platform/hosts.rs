//! The host list, which callers see only after a lag.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use policy::time::Millis;
use wire::host::{Host, List};

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
    pub fn seen(&self, now: Instant, lag_ms: u64) -> List {
        let lag = Duration::from_millis(lag_ms);
        let old = |(at, _): &&(Instant, Vec<Host>)| now.saturating_duration_since(*at) >= lag;
        let found = self.past.iter().rev().find(old).or(self.past.first());
        let hosts = found.map(|(_, hosts)| hosts.clone()).unwrap_or_default();
        List { as_of: wall_clock() - lag_ms, hosts }
    }
}

fn wall_clock() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
