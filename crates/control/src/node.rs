//! What every controller of one process shares.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use policy::name::Name;
use policy::time::Millis;
use wire::settings;

use crate::peers::{Member, Peers};
use crate::store::Client;

/// The process: who it is, and its ways to the platform and to peers.
pub struct Node {
    /// `HOST.random`, unique for all time: a restarted process is another incarnation.
    pub incarnation: Name,
    /// Its settings.
    pub settings: settings::Control,
    /// The store.
    pub store: Client,
    /// The other controls.
    pub peers: Arc<Peers>,
    /// Where peers reach this one.
    pub address: SocketAddr,
}

impl Node {
    /// The host's name.
    #[must_use]
    pub fn host(&self) -> &Name {
        &self.settings.name
    }

    /// Where peers reach this one, as text.
    #[must_use]
    pub fn address(&self) -> Name {
        Name::from(self.address.to_string())
    }

    /// Whether this control speaks for its failure domain: of those alive there, the one with the
    /// smallest host name. Nobody agrees on it; two at once only cost a few more messages.
    #[must_use]
    pub fn is_reporter(&self) -> bool {
        self.reporter(now()).is_none()
    }

    /// The control that speaks for this failure domain; none if it is this one.
    #[must_use]
    pub fn reporter(&self, now: Millis) -> Option<Member> {
        let alive = self.peers.alive(now);
        let near = alive.into_iter().filter(|member| {
            member.failure_domain == *self.failure_domain() && member.host < *self.host()
        });
        near.min_by(|one, other| one.host.cmp(&other.host))
    }

    /// Controls known of this failure domain, this one included.
    #[must_use]
    pub fn domain_size(&self) -> usize {
        let all = self.peers.all();
        1 + all.iter().filter(|member| member.failure_domain == *self.failure_domain()).count()
    }

    /// The host's failure domain.
    #[must_use]
    pub fn failure_domain(&self) -> &Name {
        &self.settings.failure_domain
    }
}

/// A new incarnation of a host.
#[must_use]
pub fn incarnation(host: &str) -> Name {
    Name::from(format!("{host}.{:016x}", rand::random::<u64>()))
}

/// The wall clock at start plus the time run since, for shells to hand to functions that decide.
///
/// Never steps back: a clock set back would make an old confirmation look fresh.
#[must_use]
pub fn now() -> Millis {
    static START: OnceLock<(Millis, Instant)> = OnceLock::new();
    let (wall, started) = START.get_or_init(|| (wall(), Instant::now()));
    *wall + u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn wall() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// The host of an incarnation.
#[must_use]
pub fn host_of(incarnation: &str) -> Name {
    Name::from(incarnation.rsplit_once('.').map_or(incarnation, |(host, _)| host))
}
