//! Settings of the demo's processes: like the examples', but on ports that the system chooses.

use std::net::SocketAddr;

use wire::host::Host;
use wire::settings::{Bounds, Control, Entry, Peer, Secret};

const PEER_KEY: &str = "the demo's shared key: on loopback only";
/// Share of all answers that the rater rates.
const RATED_SHARE: f64 = 0.1;

/// Returns the loopback address with port 0: the system chooses a free port.
#[must_use]
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings of a host's control, without peers: their ports are not known yet.
#[must_use]
pub fn control(host: &Host, platform: SocketAddr) -> Control {
    Control {
        name: host.name.clone(),
        failure_domain: host.failure_domain.clone(),
        listen: any_port(),
        operators: any_port(),
        platform,
        advertise: None,
        peers: Vec::new(),
        peer_key: Secret::Text(PEER_KEY.to_owned()),
        operator_token_hashes: Vec::new(),
        log: "error".into(),
        bills_max: 200_000,
        poll_ms: 1_000,
        gossip_ms: 250,
        shards: 16,
    }
}

/// Returns the settings of a host's entry.
#[must_use]
pub fn entry(host: &Host, controls: &[Peer]) -> Entry {
    Entry {
        name: host.name.clone(),
        failure_domain: host.failure_domain.clone(),
        listen: any_port(),
        operators: any_port(),
        controls: controls.to_vec(),
        peer_key: Secret::Text(PEER_KEY.to_owned()),
        log: "error".into(),
        bounds: Bounds::default(),
        rated_share: RATED_SHARE,
        drain_ms: 10_000,
    }
}
