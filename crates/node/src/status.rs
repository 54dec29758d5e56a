//! What a host knows and how old it is, for operators.

use std::collections::BTreeMap;

use gateway::prefixes::Prefixes;
use gateway::{Codec, State};
use policy::canary::Stage;
use policy::domain;
use policy::name::Name;
use policy::poison::{Kind, Suspect, Verdict};
use policy::time::Millis;

use crate::catalog::{Catalog, EvacuatedDomain};
use crate::follow::Follower;

domain! {
    /// Answer to `GET /status`.
    #[derive(Default)]
    pub struct Status {
        /// Version of the routing table in force; 0 if there is none.
        pub table: u64,
        /// How long ago the routing table was accepted, in milliseconds; `None` before the first.
        pub table_age_ms: Option<u64>,
        /// Revision of the list of backend servers.
        pub backends_revision: u64,
        /// How long ago each of the store's lists last answered, in milliseconds.
        pub store_age_ms: BTreeMap<Name, u64>,
        /// Peers in the failure domain that sent a message or were found listed recently.
        pub peers: usize,
        /// Whether this host reaches no backend server, so that its requests go through other
        /// hosts.
        pub isolated: bool,
        /// For each of the store's lists, whether this host reads it from the store, for its peers
        /// or for itself alone. If not, it takes the list from the peer that reads it.
        pub reads: BTreeMap<Name, bool>,
        /// For each list, how long this host has known of a change that it lacks, in milliseconds;
        /// 0 if it lacks none.
        pub behind_ms: BTreeMap<Name, u64>,
        /// Failure domains that operators have evacuated.
        pub evacuated: BTreeMap<Name, EvacuatedDomain>,
        /// Services that have a pool of backend servers or stand in the routing table, by name.
        pub services: BTreeMap<Name, Service>,
        /// Requests in flight at this host.
        pub requests: u64,
        /// State of the prefix cache index; `None` if it is off.
        pub prefix_index: Option<PrefixIndex>,
        /// Memory that this host holds for requests; `None` if it has no bound.
        pub memory: Memory,
        /// Requests and parts of prompts that are suspected of crashing servers and therefore not
        /// sent freely.
        pub held: Vec<HeldSuspect>,
    }

    /// State of the prefix cache index.
    #[derive(Copy)]
    pub struct PrefixIndex {
        /// Number of entries, each one part of prompts at one engine.
        pub entries: usize,
        /// Number of engines whose cache events this host follows.
        pub followed: usize,
    }

    /// Memory that a host holds for requests until callers or backend servers have taken it.
    #[derive(Copy, Default)]
    pub struct Memory {
        /// Bytes that are held.
        pub held_bytes: u64,
        /// Bytes that may be held.
        pub bytes_max: u64,
        /// Whether the host reads less, because it holds much.
        pub reads_less: bool,
    }

    /// A request, or a part of prompts, that was in flight at servers when they crashed.
    pub struct HeldSuspect {
        /// Digest of the request or part, as it stands in the logs.
        pub digest: Name,
        /// Whether it is a request or a part of prompts.
        pub kind: Kind,
        /// Ids of the servers that crashed.
        pub servers: Vec<Name>,
        /// Time until a trial is allowed, in milliseconds; 0 if one host at a time may send it now.
        pub hold_ms: u64,
    }

    /// State of one service.
    #[derive(Default)]
    pub struct Service {
        /// The version that gets all requests except those that a roll-out sends to its target
        /// version.
        pub version: Name,
        /// The latest roll-out of the service; `None` if there was none.
        pub rollout: Option<Rollout>,
        /// Number of backend servers that finish their work and take no more.
        pub leaving: usize,
        /// Number of backend servers that would take requests, but stand in evacuated failure
        /// domains.
        pub evacuated: usize,
        /// Backend servers that take requests, by id.
        pub backends: BTreeMap<Name, Backend>,
    }

    /// State of a roll-out.
    pub struct Rollout {
        /// The version that the service changes to.
        pub target: Name,
        /// How far the roll-out has come.
        pub stage: Stage,
        /// Share of this host's requests that the target version gets now.
        pub share: f64,
        /// How long ago the roll-out began, in milliseconds.
        pub age_ms: u64,
    }

    /// State of a backend server, as this host sees it.
    pub struct Backend {
        /// Version of the service that the server runs.
        pub version: Name,
        /// Address at which the server takes requests.
        pub address: String,
        /// Requests of this host in flight at the server.
        pub requests: u32,
        /// Requests in flight at the server by its last report, those of other hosts included.
        pub reported: u32,
        /// Share of requests that the server is expected to fail.
        pub suspicion: f64,
        /// How many times as long the server takes for its work as the others do.
        pub slowdown: f64,
        /// How much longer the server gets no requests because it was found ill, in milliseconds.
        pub ill_ms: u64,
        /// Limit of requests per second that the server takes from all hosts together; `None` if it
        /// has none.
        pub per_second: Option<f64>,
        /// How much longer the server wants no requests from this host, in milliseconds.
        pub pause_ms: u64,
        /// Time until the server is assumed to be warm, in milliseconds.
        pub warmup_ms: u64,
    }
}

impl Status {
    /// Collects the state as of `now`.
    #[must_use]
    pub fn collect<C: Codec>(
        state: &State<C>,
        catalog: &Catalog,
        followers: &[Follower],
        now: Millis,
    ) -> Self {
        let snapshot = state.snapshot.load();
        let services = snapshot.pools.iter().map(|(name, pool)| (name.clone(), service(pool, now)));
        let host = state.buffers.host();
        let requests = state.in_flight.load(std::sync::atomic::Ordering::Relaxed);
        Self {
            table: snapshot.index.version,
            table_age_ms: catalog.table_accepted_at().map(|at| now.since(at)),
            backends_revision: snapshot.revision,
            store_age_ms: catalog.list_ages_ms(now),
            peers: followers
                .iter()
                .map(|follower| follower.relay().alive_count(now))
                .max()
                .unwrap_or(0),
            reads: followers
                .iter()
                .map(|f| (Name::from(f.list.name()), f.relay().is_reader()))
                .collect(),
            behind_ms: followers
                .iter()
                .map(|follower| (Name::from(follower.list.name()), follower.behind_ms(now)))
                .collect(),
            evacuated: catalog.evacuated(),
            services: services.collect(),
            isolated: state.reach.is_isolated(),
            requests: requests as u64,
            prefix_index: prefix_index(&state.prefixes, now),
            memory: Memory {
                held_bytes: host.held_bytes(),
                bytes_max: host.bytes_max(),
                reads_less: host.is_short(),
            },
            held: state
                .poison
                .with_book(|book| book.suspects(now))
                .iter()
                .map(|s| held_suspect(s, now))
                .collect(),
        }
    }
}

fn prefix_index(prefixes: &Prefixes, now: Millis) -> Option<PrefixIndex> {
    let followed = prefixes.followed.load(std::sync::atomic::Ordering::Relaxed);
    prefixes.is_on().then(|| PrefixIndex { entries: prefixes.count(now), followed })
}

fn held_suspect(suspect: &Suspect, now: Millis) -> HeldSuspect {
    HeldSuspect {
        digest: Name::from(suspect.digest.to_string()),
        kind: suspect.kind,
        servers: suspect.crashes.iter().map(|crash| crash.server.clone()).collect(),
        hold_ms: match suspect.verdict(now) {
            Verdict::Hold(ms) => ms,
            Verdict::Run | Verdict::Trial { .. } => 0,
        },
    }
}

fn service(pool: &gateway::pool::Pool, now: Millis) -> Service {
    let backends =
        pool.backends.iter().map(|backend| (backend.id.clone(), self::backend(backend, now)));
    Service {
        version: pool.base.clone(),
        rollout: pool.rollout.as_ref().map(|rollout| Rollout {
            target: rollout.target.clone(),
            stage: rollout.stage,
            share: rollout.share(now),
            age_ms: now.since(rollout.began_at),
        }),
        leaving: pool.leaving,
        evacuated: pool.evacuated,
        backends: backends.collect(),
    }
}

fn backend(backend: &gateway::backend::Backend, now: Millis) -> Backend {
    let seen = backend.estimate(u8::MAX, now);
    Backend {
        version: backend.version.clone(),
        address: backend.server.address.to_string(),
        requests: backend.server.in_flight.load(std::sync::atomic::Ordering::Relaxed),
        reported: seen.reported,
        suspicion: seen.suspicion,
        slowdown: seen.slowdown,
        ill_ms: backend.server.health().probe.ill_until.since(now),
        per_second: backend.with_intake(|intake| intake.throttle.per_second(now)),
        pause_ms: backend.server.closed_until(now).map_or(0, |until| until.since(now)),
        warmup_ms: backend.with_intake(|intake| intake.throttle.warmup_ms(now)),
    }
}
