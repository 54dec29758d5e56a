//! Probes backend servers that are silent, can't be reached, or may have ended.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::clock;
use entry::connection::Connection;
use policy::silence::{self, Action, Bounds, Silence};
use policy::time::Millis;
use tokio::net::TcpStream;

use super::Backend;
use crate::poison::Guard;

/// The timeout of a connection that is opened only to see whether the server is alive.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A connection that stays open for this long was not broken off by whatever accepted it.
const STABLE_AFTER: Duration = Duration::from_millis(30);
/// The least time between two recovery probes of a server that can't be reached.
const RECOVERY_PROBE_INTERVAL_MS: u64 = 200;
/// How long the result of a probe of a possibly ended server is shared, and the timeout of its
/// connection. A silent server that accepts connections is tolerated for as long again.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// [`PROBE_INTERVAL`] in milliseconds.
const PROBE_INTERVAL_MS: u64 = PROBE_INTERVAL.as_millis() as u64;
/// How long a server that refused connections is taken for ended. If it has ended, its entry
/// expires within that time.
const ENDED_LIFETIME_MS: u64 = 5_000;

/// The result of probing a server that may have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The server accepts connections, or at least does not refuse them.
    Alive,
    /// Nothing listens at the server's address any more.
    Ended,
    /// The server refuses connections, and so do others: this host may be cut off.
    Unclear,
}

impl Backend {
    /// Whether the server refused connections when it was last tried, within the last seconds. A
    /// server that is only unreachable does not count.
    #[must_use]
    pub fn has_ended(&self, now: Millis) -> bool {
        let refused_at = Millis(self.refused_at.load(Ordering::Relaxed));
        refused_at > Millis(0) && now.since(refused_at) < ENDED_LIFETIME_MS
    }

    /// Records that nothing listens at the server's address.
    pub fn record_ended(&self, now: Millis) {
        self.refused_at.store(now.0, Ordering::Relaxed);
    }

    /// Records that a new connection to the server opened.
    pub fn record_opened(&self, now: Millis) {
        self.opened_at.store(now.0, Ordering::Relaxed);
    }

    /// Whether new connections to the server opened while one timed out just now. A packet was lost
    /// then, or its queue of new connections was full for a moment, as when a thousand callers come
    /// at once.
    #[must_use]
    pub fn opens_connections(&self, now: Millis) -> bool {
        let opened_at = Millis(self.opened_at.load(Ordering::Relaxed));
        let timeout_ms = crate::attempt::CONNECT_TIMEOUT.as_millis() as u64;
        opened_at > Millis(0) && now.since(opened_at) < timeout_ms
    }

    /// When the server last sent anything.
    #[must_use]
    pub fn last_contact(&self) -> Millis {
        self.lock().last_contact
    }

    /// How much longer the server's silence is tolerated; `None` if the request should leave the
    /// server.
    pub async fn tolerated_silence(
        &self,
        bounds: &Bounds,
        silent: Duration,
        useful_ms: f64,
    ) -> Option<Duration> {
        let silence = Silence {
            silent_ms: silent.as_secs_f64() * 1_000.0,
            useful_ms,
            heard_ms: clock::steady().since(self.last_contact()),
        };
        match silence::decide(bounds, &silence) {
            Action::Wait(ms) => Some(Duration::from_secs_f64(ms / 1_000.0)),
            Action::Probe if self.accepts_connections().await => Some(PROBE_INTERVAL),
            Action::Probe | Action::Leave => None,
        }
    }

    /// Probes whether anything listens at the server's address. If nothing does, records the
    /// requests that were lost with the server. Concurrent callers share one probe.
    ///
    /// If this host is cut off, all servers refuse connections or seem to. While that is possible,
    /// a server counts as ended only if one of the `others` accepts a connection.
    pub async fn probe(&self, poison: &Guard, others: impl Fn() -> Vec<Arc<Self>>) -> Liveness {
        let mut last_probe = self.last_probe.lock().await;
        let now = clock::steady();
        if let Some((at, liveness)) = *last_probe
            && now.since(at) < PROBE_INTERVAL_MS
        {
            return liveness;
        }
        let opened =
            tokio::time::timeout(PROBE_INTERVAL, TcpStream::connect(self.server.address)).await;
        // A connection that is reset was accepted first, so whoever reset it is alive.
        let is_refused = |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
        let is_refused = opened.is_ok_and(|opened| opened.is_err_and(is_refused));
        if is_refused {
            poison.reach.record_failure(self);
        }
        let liveness = match is_refused {
            false => Liveness::Alive,
            true if !poison.reach.is_doubtful() || any_accepts(&others()).await => Liveness::Ended,
            true => Liveness::Unclear,
        };
        // Counted from the probe's end, so that callers that waited for a probe up to its timeout
        // share its result.
        let now = clock::steady();
        *last_probe = Some((now, liveness));
        if liveness == Liveness::Ended {
            self.record_ended(now);
            log::info!(target: "route", backend:% = self.id; "backend server ended");
            poison.record_ended(&self.id);
        }
        liveness
    }

    /// Whether the server accepts a connection and does not break it off at once.
    pub async fn keeps_connections(&self) -> bool {
        let Ok(connection) = Connection::open(self.server.address, CONNECT_TIMEOUT).await else {
            return false;
        };
        tokio::time::sleep(STABLE_AFTER).await;
        connection.is_usable(CONNECT_TIMEOUT)
    }

    /// Opens a connection and closes it. A server that is unreachable, or cut off from this host,
    /// accepts none.
    pub async fn accepts_connections(&self) -> bool {
        let is_accepted = Connection::open(self.server.address, CONNECT_TIMEOUT).await.is_ok();
        if is_accepted {
            self.record_contact(clock::steady());
        }
        is_accepted
    }

    /// Probes in the background whether the server accepts connections again, unless a probe has
    /// just been made.
    pub fn probe_recovery(self: &Arc<Self>) {
        let now = clock::steady();
        let mut observations = self.lock();
        if now.since(observations.probed_at) < RECOVERY_PROBE_INTERVAL_MS {
            return;
        }
        observations.probed_at = now;
        drop(observations);
        let backend = Arc::clone(self);
        tokio::spawn(async move {
            if backend.accepts_connections().await {
                log::info!(target: "route", backend:% = backend.id; "backend server reached again");
                backend.server.record_success(clock::steady());
            }
        });
    }
}

/// Whether one of these servers accepts a connection and keeps it open.
pub async fn any_accepts(backends: &[Arc<Backend>]) -> bool {
    let probes = backends.iter().map(|backend| backend.keeps_connections());
    futures::future::join_all(probes).await.contains(&true)
}
