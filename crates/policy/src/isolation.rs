//! Whether a host is cut off from all backend servers.
//!
//! Each server that does not answer looks alike, whether it is gone or this host can't reach it. What
//! tells them apart is the others: several that fail one after the other, with none that takes a
//! connection in between, are rare unless the host is at fault. Only new connections count. Old ones may
//! live on while no new one opens, and a host that trusted them would go on trying the servers. One that
//! opens counts once it has carried an answer: what breaks it off may sit behind what took it.
//!
//! A wrong belief costs little: requests go by way of another host, and the first answer ends it.

use crate::time::Millis;

/// Different servers that must fail in a row.
const FAILED_MIN: usize = 3;
/// Failures further apart have causes of their own, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// What one host knows of its way to the backend servers.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// Servers that failed since one last answered, each with the last time.
    failed: Vec<(u64, Millis)>,
    since: Option<Millis>,
}

impl Isolation {
    /// A server, named by a hash, took no connection or broke it off; whether the host is cut off from now on.
    pub fn failed(&mut self, server: u64, now: Millis) -> bool {
        if self.since.is_some() {
            return false;
        }
        self.failed.retain(|(other, at)| *other != server && now.since(*at) < WINDOW_MS);
        self.failed.push((server, now));
        let is_isolated = self.failed.len() >= FAILED_MIN;
        if is_isolated {
            self.since = Some(now);
        }
        is_isolated
    }

    /// A server answered on a new connection; for how long the host had been cut off, if it was, in milliseconds.
    pub fn reached(&mut self, now: Millis) -> Option<u64> {
        self.failed.clear();
        self.since.take().map(|since| now.since(since))
    }

    /// Whether it is cut off.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.since.is_some()
    }

    /// Whether it may be: more than one server has failed. What is seen of servers then says nothing of
    /// them.
    #[must_use]
    pub fn is_doubtful(&self, now: Millis) -> bool {
        let recent = self.failed.iter().filter(|(_, at)| now.since(*at) < WINDOW_MS).count();
        self.is_isolated() || recent + 1 >= FAILED_MIN
    }

    /// Whether a server is among those that failed since one last answered.
    #[must_use]
    pub fn has_failed(&self, server: u64) -> bool {
        self.failed.iter().any(|(other, _)| *other == server)
    }

    /// Whether anything speaks for it.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        self.failed.is_empty()
    }
}
