//! Looks at backend servers that are silent, can't be reached, or may have ended.

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

/// Longest wait for a connection that is opened only to see whether the server lives.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A connection that lives so long was not broken off by what took it.
const STABLE_AFTER: Duration = Duration::from_millis(30);
/// Between two questions to a server that can't be reached, in milliseconds.
const RECOVERY_PROBE_INTERVAL_MS: u64 = 200;
/// Until a server that lives is looked at again; longest wait for a connection then.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The same, in milliseconds.
const PROBE_INTERVAL_MS: u64 = PROBE_INTERVAL.as_millis() as u64;
/// A server that refused connections is believed to have ended for this long, in milliseconds. Its entry
/// lapses within that time if it has.
const ENDED_LIFETIME_MS: u64 = 5_000;

/// What a look at a server that may have ended showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// It takes connections, or at least does not refuse them.
    Alive,
    /// Nothing listens at its address any more.
    Ended,
    /// It refuses connections, and so do others: this host may be cut off.
    Unclear,
}

impl Backend {
    /// Whether it refused connections when it was last tried, lately. One that is out of reach doesn't.
    #[must_use]
    pub fn has_ended(&self, now: Millis) -> bool {
        let refused_at = Millis(self.refused_at.load(Ordering::Relaxed));
        refused_at > Millis(0) && now.since(refused_at) < ENDED_LIFETIME_MS
    }

    /// Nothing listens at its address.
    pub fn record_ended(&self, now: Millis) {
        self.refused_at.store(now.0, Ordering::Relaxed);
    }

    /// When it last said anything.
    #[must_use]
    pub fn last_contact(&self) -> Millis {
        self.lock().last_contact
    }

    /// How long its silence is still tolerated; none if it is to be left.
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
        match silence::act(bounds, &silence) {
            Action::Wait(ms) => Some(Duration::from_secs_f64(ms / 1_000.0)),
            Action::Probe if self.accepts_connections().await => Some(PROBE_INTERVAL),
            Action::Probe | Action::Leave => None,
        }
    }

    /// Looks whether anything listens at its address; if not, the requests that were lost with it are
    /// noted. Those who ask together share one look.
    ///
    /// Where this host is cut off all servers refuse, or seem to. While that may be so, one of the
    /// `others` has to take a connection.
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
        // One that is reset was taken first: whoever did so lives.
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
        // From its end on: those who wait for a look that takes all its time share what it found.
        let now = clock::steady();
        *last_probe = Some((now, liveness));
        if liveness == Liveness::Ended {
            self.record_ended(now);
            log::info!(target: "route", backend:% = self.id; "backend server ended");
            poison.record_ended(&self.id);
        }
        liveness
    }

    /// Whether it takes a connection and does not break it off at once.
    pub async fn keeps_connections(&self) -> bool {
        let Ok(connection) = Connection::open(self.server.address, CONNECT_TIMEOUT).await else {
            return false;
        };
        tokio::time::sleep(STABLE_AFTER).await;
        connection.usable(CONNECT_TIMEOUT)
    }

    /// Opens a connection and closes it: a host that is unreachable, or behind a cut, takes none.
    pub async fn accepts_connections(&self) -> bool {
        let is_accepted = Connection::open(self.server.address, CONNECT_TIMEOUT).await.is_ok();
        if is_accepted {
            self.record_contact(clock::steady());
        }
        is_accepted
    }

    /// Asks in the background whether it takes connections again, unless that was just done.
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
                backend.server.note_success(clock::steady());
            }
        });
    }
}

/// Whether one of these servers takes connections.
pub async fn any_accepts(backends: &[Arc<Backend>]) -> bool {
    let probes = backends.iter().map(|backend| backend.keeps_connections());
    futures::future::join_all(probes).await.contains(&true)
}
