//! One entry host: its knowledge, its view of the backend servers, its queues and budgets.

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

/// First guess of the time that a request takes, in milliseconds.
const SERVICE_MS: f64 = 500.0;

/// A pool as one host sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its backend servers.
    pub servers: Vec<Server>,
    /// Their health.
    pub health: Vec<Health>,
    /// Who waits for it.
    pub queue: Queue,
    /// Lives that wait, by ticket.
    pub waiting: BTreeMap<Ticket, usize>,
    /// Second tries.
    pub retries: Budget,
    /// Slots of one server, from the configuration.
    pub slots: u32,
}

/// One entry host.
#[derive(Clone, Debug)]
pub struct Host {
    /// What it knows of the versions.
    pub knowledge: Knowledge,
    /// Its pools.
    pub pools: BTreeMap<Name, Pool>,
    /// Use of accounts' limits.
    pub usage: BTreeMap<Name, Usage>,
    /// Second tries by account.
    pub retries: BTreeMap<Name, Budget>,
    /// Which answers it has rated.
    pub sampler: Sampler,
}

impl Host {
    /// One that has just started.
    #[must_use]
    pub fn new(header: &Header, variant: Variant) -> Self {
        let document = &header.configuration;
        let pool = |(name, settings): (&Name, &crate::trace::Pool)| {
            let count = settings.workers as usize;
            let limit = document.pools.get(name).map_or(64, |pool| pool.queue) as usize;
            let pool = Pool {
                servers: (0..count).map(|i| Server::new(format!("{name}-{i}"))).collect(),
                health: vec![Health::default(); count],
                queue: Queue::new(limit, SERVICE_MS),
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
    /// The pool's load as this host knows it.
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

    /// A report arrives, made at `at`.
    pub fn reported(&mut self, loads: &[Option<u32>], at: Millis) {
        let servers = self.servers.iter_mut().zip(&mut self.health);
        for ((server, health), load) in servers.zip(loads) {
            if let Some(in_flight) = *load {
                server.report = Some(Report { in_flight, slots: self.slots, at });
                health.record_report(at);
                server.ill_until = health.ill_until;
            }
        }
    }

    /// The backend server for a call.
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

    /// A server refused the connection, and would refuse a new one.
    pub fn refused(&mut self, server: usize, now: Millis) {
        self.health[server].record_failure(now);
        self.servers[server].ill_until = self.health[server].ill_until;
    }
}
