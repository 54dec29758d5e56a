//! Whether a host is isolated: cut off from all backend servers.
//!
//! A server that does not answer looks the same whether it is gone or this host can't reach it.
//! Other servers tell these cases apart: several that fail one after another, while none accepts a
//! connection, are rare unless the host is the cause. Only new connections count. Old ones may live
//! on while no new one opens, and a host that trusted them would go on trying the servers. A new
//! connection counts once it has carried an answer, because whatever accepted it may not be the
//! server but something on the way that breaks it off.
//!
//! A false positive costs little: requests are forwarded through another host, and the first answer
//! ends the isolation.

use crate::time::Millis;

/// Number of different servers that must fail in a row for a host to count as isolated.
const FAILED_SERVERS_MIN: usize = 3;
/// Time within which failures count together, in milliseconds. Failures further apart have separate
/// causes.
const FAILURE_WINDOW_MS: u64 = 2_000;

/// What one host knows of its connection to the backend servers.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// Hashes of the servers that failed since one last answered, each with the time of its last
    /// failure.
    failures: Vec<(u64, Millis)>,
    /// When the host became isolated; none if it is not.
    isolated_since: Option<Millis>,
}

impl Isolation {
    /// Records that a server, given by its hash, accepted no connection or broke one off. Returns
    /// whether this makes the host isolated; false if it was already.
    pub fn record_failure(&mut self, server: u64, now: Millis) -> bool {
        if self.isolated_since.is_some() {
            return false;
        }
        self.failures.retain(|(other, at)| *other != server && now.since(*at) < FAILURE_WINDOW_MS);
        self.failures.push((server, now));
        let is_isolated = self.failures.len() >= FAILED_SERVERS_MIN;
        if is_isolated {
            self.isolated_since = Some(now);
        }
        is_isolated
    }

    /// Records that a server answered on a new connection. Returns for how long the host had been
    /// isolated, in milliseconds; none if it was not.
    pub fn record_answer(&mut self, now: Millis) -> Option<u64> {
        self.failures.clear();
        self.isolated_since.take().map(|since| now.since(since))
    }

    /// Whether the host is isolated.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Whether the host is isolated or close to it, because more than one server has failed.
    /// Failures that it sees then say nothing about the servers.
    #[must_use]
    pub fn may_be_isolated(&self, now: Millis) -> bool {
        let recent =
            self.failures.iter().filter(|(_, at)| now.since(*at) < FAILURE_WINDOW_MS).count();
        self.is_isolated() || recent + 1 >= FAILED_SERVERS_MIN
    }

    /// Whether a server, given by its hash, is among those that failed since one last answered.
    #[must_use]
    pub fn has_failed(&self, server: u64) -> bool {
        self.failures.iter().any(|(other, _)| *other == server)
    }

    /// Whether no server has failed since one last answered.
    #[must_use]
    pub fn has_no_failures(&self) -> bool {
        self.failures.is_empty()
    }
}
