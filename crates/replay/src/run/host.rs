//! An entry host: what it knows of versions and backend servers, its queues and retry budgets.

use std::collections::BTreeMap;

use policy::admit::{Load, Queue, Ticket};
use policy::exposure::rating::Sampler;
use policy::limit::Usage;
use policy::name::Name;
use policy::place::{self, Report, Server};
use policy::probe::Health;
use policy::retry::Budget;
use policy::time::Millis;

use super::knowledge::Knowledge;
use crate::trace::Header;
use crate::variant::{Placement, Variant};

/// Service time that a queue assumes until it has measured answers.
const INITIAL_SERVICE_MS: f64 = 500.0;

/// A pool as one host sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Backend servers of the pool, with the load and health that the host assumes.
    pub servers: Vec<Server>,
    /// Health of each backend server, in the order of `servers`.
    pub health: Vec<Health>,
    /// Requests that wait on the host for a slot in the pool.
    pub queue: Queue,
    /// Indices of the waiting requests, by queue ticket.
    pub waiting: BTreeMap<Ticket, usize>,
    /// Retry budget of the pool.
    pub retries: Budget,
    /// Requests that one backend server works on at once, from the trace header.
    pub slots: u32,
}

/// One entry host.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the host knows of the versions.
    pub knowledge: Knowledge,
    /// The host's view of each pool, by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Use of each client account's limits.
    pub usage: BTreeMap<Name, Usage>,
    /// Retry budget of each client account.
    pub retries: BTreeMap<Name, Budget>,
    /// Selects the answers that the host sends to the rating service.
    pub sampler: Sampler,
}

impl Host {
    /// Creates a host that has just started and has seen no requests.
    #[must_use]
    pub fn new(header: &Header, variant: Variant) -> Self {
        let document = &header.configuration;
        let pool = |(name, settings): (&Name, &crate::trace::Pool)| {
            let count = settings.workers as usize;
            let limit = document.pools.get(name).map_or(64, |pool| pool.queue) as usize;
            let pool = Pool {
                servers: (0..count).map(|i| Server::new(format!("{name}-{i}"))).collect(),
                health: vec![Health::default(); count],
                queue: Queue::new(limit, INITIAL_SERVICE_MS),
                waiting: BTreeMap::new(),
                retries: Budget::default(),
                slots: settings.slots,
            };
            (name.clone(), pool)
        };
        Self {
            knowledge: Knowledge::new(document, variant, header.rate_cost, header.rate_ms),
            pools: header.pools.iter().map(pool).collect(),
            usage: BTreeMap::new(),
            retries: BTreeMap::new(),
            sampler: Sampler::new(header.rated_share),
        }
    }
}

impl Pool {
    /// Returns the pool's load as this host estimates it; `entries` is the number of entry hosts.
    #[must_use]
    pub fn load(&self, entries: u32, now: Millis) -> Load {
        let usable = || self.servers.iter().filter(|server| server.takes_work(now));
        Load {
            slots: usable().count() as u32 * self.slots,
            in_flight: usable().map(|server| server.load(now)).sum::<f64>().round() as u32,
            own: usable().map(|server| server.in_flight).sum(),
            entries,
            closed_ms: 0,
        }
    }

    /// Records load reports that the servers made at `at`; `None` is a server that is down.
    pub fn record_reports(&mut self, loads: &[Option<u32>], at: Millis) {
        let servers = self.servers.iter_mut().zip(&mut self.health);
        for ((server, health), load) in servers.zip(loads) {
            if let Some(in_flight) = *load {
                server.report = Some(Report { in_flight, slots: self.slots, at });
                health.record_report(at);
                server.ill_until = health.ill_until;
            }
        }
    }

    /// Selects the backend server for a call; `None` if no server takes work. `except` is a server
    /// that just refused the connection, `affinity` the hash of the session, `draw` random bits.
    #[must_use]
    pub fn place(
        &self,
        placement: Placement,
        except: Option<usize>,
        affinity: Option<u64>,
        draw: u64,
        now: Millis,
    ) -> Option<usize> {
        let usable = || (0..self.servers.len()).filter(|&i| self.servers[i].takes_work(now));
        let reported = |i: &usize| self.servers[*i].report.map_or(0, |report| report.in_flight);
        match placement {
            Placement::Bounded => place::choose_except(&self.servers, except, affinity, draw, now),
            Placement::Random => usable().nth(draw as usize % usable().count().max(1)),
            Placement::LeastReported => usable().min_by_key(reported),
        }
    }

    /// Records that a server refused or broke a connection; new calls avoid the server for a
    /// while.
    pub fn record_refusal(&mut self, server: usize, now: Millis) {
        self.health[server].record_failure(now);
        self.servers[server].ill_until = self.health[server].ill_until;
    }
}
