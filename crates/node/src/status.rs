//! What a host believes and since when, for operators.

use std::collections::BTreeMap;

use gateway::{Codec, State};
use policy::canary::Stage;
use policy::domain;
use policy::name::Name;
use policy::poison::{Kind, Suspect, Verdict};
use policy::time::Millis;

use crate::catalog::{Catalog, Evacuated};
use crate::follow::Follow;

domain! {
    /// What `GET /status` says.
    #[derive(Default)]
    pub struct Status {
        /// Version of the table of routes in force; 0 if there is none.
        pub table: u64,
        /// How long ago it was taken, in milliseconds.
        pub table_age_ms: Option<u64>,
        /// Revision of the list of backend servers.
        pub backends_revision: u64,
        /// How long ago each of the store's lists last answered, in milliseconds.
        pub store_age_ms: BTreeMap<Name, u64>,
        /// Other hosts of the failure domain that were heard of lately.
        pub peers: usize,
        /// Whether this host reaches no backend server, so that requests go by way of others.
        pub isolated: bool,
        /// Whether this host reads each of the store's lists itself, for others or for itself
        /// alone; else it takes them from the host of its failure domain that does.
        pub reads: BTreeMap<Name, bool>,
        /// For how long this host has known of a change of each list that it lacks, in milliseconds.
        pub behind_ms: BTreeMap<Name, u64>,
        /// Failure domains that operators have evacuated.
        pub evacuated: BTreeMap<Name, Evacuated>,
        /// By service.
        pub services: BTreeMap<Name, Service>,
        /// Requests under way.
        pub requests: u64,
        /// Requests that servers ended under, which are not sent freely.
        pub held: Vec<Held>,
    }

    /// A request, or a part of prompts, that servers ended under.
    pub struct Held {
        /// Its digest, as it stands in the logs.
        pub digest: Name,
        /// Which of the two.
        pub kind: Kind,
        /// The servers' starts.
        pub servers: Vec<Name>,
        /// Until it is tried again, in milliseconds; 0 if one host at a time may send it now.
        pub hold_ms: u64,
    }

    /// One service.
    #[derive(Default)]
    pub struct Service {
        /// The version that requests go to, but for a roll-out.
        pub version: Name,
        /// Its roll-out, if there was one.
        pub rollout: Option<Rollout>,
        /// Backend servers that leave.
        pub leaving: usize,
        /// Backend servers that would take new work, but stand in evacuated failure domains.
        pub evacuated: usize,
        /// Backend servers that take new work, by id.
        pub backends: BTreeMap<Name, Backend>,
    }

    /// A roll-out.
    pub struct Rollout {
        /// The version wanted.
        pub target: Name,
        /// How far it has come.
        pub stage: Stage,
        /// The share of requests that it gets here now.
        pub share: f64,
        /// How long ago it began, in milliseconds.
        pub age_ms: u64,
    }

    /// A backend server.
    pub struct Backend {
        /// Its version.
        pub version: Name,
        /// Where it is reached.
        pub address: String,
        /// Requests of this host there.
        pub requests: u32,
        /// Requests there by its last report, others' included.
        pub reported: u32,
        /// Share of requests that it is expected to fail.
        pub suspicion: f64,
        /// The factor by which its work takes longer than that of others.
        pub slowdown: f64,
        /// No new work for this long, in milliseconds: it was found ill.
        pub ill_ms: u64,
        /// Requests a second that it takes from all hosts together, if they are limited.
        pub per_second: Option<f64>,
        /// It wants nothing from this host for so long, in milliseconds.
        pub pause_ms: u64,
        /// Until it is believed to be warm, in milliseconds.
        pub warmup_ms: u64,
    }
}

impl Status {
    /// As it is now.
    #[must_use]
    pub fn of<C: Codec>(
        state: &State<C>,
        catalog: &Catalog,
        follows: &[Follow],
        now: Millis,
    ) -> Self {
        let world = state.snapshot.load();
        let services = world.pools.iter().map(|(name, pool)| (name.clone(), service(pool, now)));
        let requests = state.in_flight.load(std::sync::atomic::Ordering::Relaxed);
        Self {
            table: world.index.version,
            table_age_ms: catalog.table_at().map(|at| now.since(at)),
            backends_revision: world.revision,
            store_age_ms: catalog.heard(now),
            peers: follows.iter().map(|follow| follow.relay().others(now)).max().unwrap_or(0),
            reads: follows.iter().map(|f| (Name::from(f.list.name()), f.relay().reads())).collect(),
            behind_ms: follows
                .iter()
                .map(|follow| (Name::from(follow.list.name()), follow.behind_ms(now)))
                .collect(),
            evacuated: catalog.evacuated(),
            services: services.collect(),
            isolated: state.reach.is_isolated(),
            requests: requests as u64,
            held: state
                .poison
                .with_book(|book| book.suspects(now))
                .iter()
                .map(|s| held(s, now))
                .collect(),
        }
    }
}

fn held(suspect: &Suspect, now: Millis) -> Held {
    Held {
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
    let seen = backend.estimate(0, &[], u8::MAX, now);
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
