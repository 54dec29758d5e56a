//! Weighted fair queueing of waiting requests among accounts, by priority within each account.
//!
//! Each account has a virtual time, and the account with the earliest one is served next. Serving a
//! request advances its account's virtual time, by less the higher the request's priority and the
//! account's weight are. An account that returns after a pause starts at the present virtual time,
//! so it can't save up turns.
//!
//! Priorities are not compared across accounts: many urgent requests of one account would starve
//! the ordinary requests of all others.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::{Arrival, Ticket};
use crate::name::Name;
use crate::time::Millis;

/// Minimum weight of an account: with a weight near 0 its requests would never be served.
const WEIGHT_MIN: f64 = 0.01;
/// Serving a request advances its account's virtual time by this factor more than serving one of
/// the next higher priority does.
const PRIORITY_FACTOR: f64 = 8.0;
/// Less urgent priorities (higher numbers) advance the virtual time as this one does.
const PRIORITY_MAX: u8 = 3;

/// Waiting requests of one pool, grouped by rank and then by account.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<u8, Class>,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Class {
    accounts: BTreeMap<Name, AccountQueue>,
    /// Virtual time at which the last request of the class was served.
    virtual_time: f64,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    /// Latest start of each request, ordered by priority, then by arrival.
    requests: BTreeMap<(u8, Ticket), Millis>,
    virtual_time: f64,
    weight: f64,
}

impl FairQueue {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimated number of requests that will be served before a new one.
    ///
    /// These are all requests of lower ranks and the account's own requests of the same or a higher
    /// priority. Each other account counts with its requests of these priorities, but at most one
    /// more than the account's own: accounts are served in turn, and less urgent requests seldom.
    #[must_use]
    pub fn ahead_of(&self, arrival: &Arrival) -> usize {
        let lower_ranks: usize =
            self.classes.range(..arrival.rank()).map(|(_, class)| class.len()).sum();
        let Some(class) = self.classes.get(&arrival.rank()) else {
            return lower_ranks;
        };
        let own = class
            .accounts
            .get(&arrival.account)
            .map_or(0, |queue| queue.count_before(arrival.priority));
        let others = class.accounts.iter().filter(|(name, _)| **name != arrival.account);
        lower_ranks
            + own
            + others
                .map(|(_, queue)| queue.count_before(arrival.priority).min(own + 1))
                .sum::<usize>()
    }

    /// Adds a request behind those of the same account and priority. `latest` is the time by which
    /// the request must be sent.
    pub fn push(&mut self, ticket: Ticket, arrival: &Arrival, latest: Millis) {
        let class = self.classes.entry(arrival.rank()).or_default();
        let virtual_time = class.virtual_time;
        let queue = class.accounts.entry(arrival.account.clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        }
        queue.weight = arrival.weight.max(WEIGHT_MIN);
        queue.requests.insert((arrival.priority, ticket), latest);
        self.len += 1;
    }

    /// Removes the request to serve next.
    pub fn pop(&mut self) -> Option<Ticket> {
        let ticket = self.classes.values_mut().find_map(Class::pop)?;
        self.len -= 1;
        self.remove_idle_accounts();
        Some(ticket)
    }

    /// Removes one request; false if it isn't waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.retain(|waiting, _| waiting != ticket) > 0
    }

    /// Removes and returns the requests whose latest start has come.
    pub fn remove_overdue(&mut self, now: Millis) -> Vec<Ticket> {
        let mut overdue = Vec::new();
        self.retain(|ticket, latest| {
            let keeps = latest > now;
            if !keeps {
                overdue.push(ticket);
            }
            keeps
        });
        overdue
    }

    /// Makes room for a new request by removing the last request of the account with the most
    /// waiting requests in the highest rank.
    ///
    /// Removes nothing and returns `None` unless that rank is higher than the new request's, or
    /// both ranks are equal and either the account has at least two more waiting requests than the
    /// new request's account, or it is the same account and the removed request is less urgent.
    pub fn evict_for(&mut self, arrival: &Arrival) -> Option<Ticket> {
        let (&rank, class) = self.classes.iter_mut().next_back()?;
        let own = class.accounts.get(&arrival.account).map_or(0, |queue| queue.requests.len());
        let (name, fullest) = class.accounts.iter_mut().max_by_key(|(_, q)| q.requests.len())?;
        let (&(priority, ticket), _) = fullest.requests.last_key_value()?;
        let allowed = match rank.cmp(&arrival.rank()) {
            Ordering::Greater => true,
            Ordering::Equal if *name == arrival.account => priority > arrival.priority,
            Ordering::Equal => fullest.requests.len() > own + 1,
            Ordering::Less => false,
        };
        if !allowed {
            return None;
        }
        fullest.requests.pop_last();
        self.len -= 1;
        self.remove_idle_accounts();
        Some(ticket)
    }

    fn retain(&mut self, mut keeps: impl FnMut(Ticket, Millis) -> bool) -> usize {
        let before = self.len;
        for class in self.classes.values_mut() {
            for queue in class.accounts.values_mut() {
                queue.requests.retain(|(_, ticket), latest| keeps(*ticket, *latest));
            }
        }
        self.len = self.classes.values().map(Class::len).sum();
        self.remove_idle_accounts();
        before - self.len
    }

    /// Removes accounts without waiting requests, once their virtual time has passed.
    fn remove_idle_accounts(&mut self) {
        for class in self.classes.values_mut() {
            let now = class.virtual_time;
            class
                .accounts
                .retain(|_, queue| !queue.requests.is_empty() || queue.virtual_time > now);
        }
        self.classes.retain(|_, class| class.len() > 0);
    }
}

impl Class {
    fn len(&self) -> usize {
        self.accounts.values().map(|queue| queue.requests.len()).sum()
    }

    fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.accounts.values_mut().filter(|queue| !queue.requests.is_empty());
        let queue = waiting.min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        let ((priority, ticket), _) = queue.requests.pop_first()?;
        self.virtual_time = queue.virtual_time;
        queue.virtual_time +=
            PRIORITY_FACTOR.powi(i32::from(priority.min(PRIORITY_MAX))) / queue.weight;
        Some(ticket)
    }
}

impl AccountQueue {
    /// Number of requests of the same or a higher priority.
    fn count_before(&self, priority: u8) -> usize {
        self.requests.keys().filter(|(waiting, _)| *waiting <= priority).count()
    }
}
