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
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Arrival, Ticket};
use crate::name::Name;
use crate::time::Millis;

/// Minimum weight of an account: with a weight near 0 its requests would never be served.
const WEIGHT_MIN: f64 = 0.01;
/// Least work that a request counts as, in milliseconds.
const WORK_MS_MIN: f64 = 1.0;
/// Serving a request advances its account's virtual time by this factor more than serving one of
/// the next higher priority does.
const PRIORITY_FACTOR: f64 = 8.0;
/// Less urgent priorities (higher numbers) advance the virtual time as this one does.
const PRIORITY_MAX: u8 = 3;

/// In which order an account's requests are served, and what its turns are counted in.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Order {
    /// By priority, then by arrival. Each request counts alike.
    #[default]
    Arrival,
    /// By priority, then by the time left. A request counts as the work that it is expected to
    /// take, in milliseconds.
    TimeLeft,
}

/// Place of a request within its account: priority, latest start if that decides, ticket.
type Key = (u8, Millis, Ticket);

/// Waiting requests of one pool, grouped by rank and then by account.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    order: Order,
    classes: BTreeMap<u8, Class>,
    /// Where each request waits.
    places: HashMap<Ticket, Place>,
    /// All requests, the one with the earliest latest start first.
    by_latest: BTreeSet<(Millis, Ticket)>,
    /// Requests whose answer is due at a time, the one that must be sent first for that in front.
    by_objective: BTreeSet<(Millis, Ticket)>,
}

#[derive(Clone, Debug)]
struct Place {
    rank: u8,
    account: Name,
    key: Key,
    latest: Millis,
    /// The rank with which the request came.
    first_rank: u8,
    /// When the request must be sent to be answered when that is due.
    objective: Option<Millis>,
}

#[derive(Clone, Debug, Default)]
struct Class {
    accounts: BTreeMap<Name, AccountQueue>,
    /// Virtual time at which the last request of the class was served.
    virtual_time: f64,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    /// The expected work of each request.
    requests: BTreeMap<Key, f64>,
    /// Number of requests of each priority.
    counts: BTreeMap<u8, usize>,
    virtual_time: f64,
    weight: f64,
}

impl FairQueue {
    /// An empty queue that serves an account's requests in this order.
    #[must_use]
    pub fn new(order: Order) -> Self {
        Self { order, ..Self::default() }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
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

    /// Adds a request behind those of the same account that are served first. `latest` is the time
    /// by which the request must be sent, `work_ms` its expected work.
    pub fn push(&mut self, ticket: Ticket, arrival: &Arrival, work_ms: f64, latest: Millis) {
        let rank = arrival.rank();
        let (position, work) = match self.order {
            Order::Arrival => (Millis(0), 1.0),
            Order::TimeLeft => (latest, work_ms.max(WORK_MS_MIN)),
        };
        let key = (arrival.priority, position, ticket);
        let class = self.classes.entry(rank).or_default();
        let virtual_time = class.virtual_time;
        let queue = class.accounts.entry(arrival.account.clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        }
        queue.weight = arrival.weight.max(WEIGHT_MIN);
        queue.insert(key, work);
        let objective = arrival.objective.map(|objective| objective - work_ms as u64);
        self.by_objective.extend(objective.map(|at| (at, ticket)));
        let account = arrival.account.clone();
        let place = Place { rank, account, key, latest, first_rank: rank, objective };
        self.places.insert(ticket, place);
        self.by_latest.insert((latest, ticket));
    }

    /// Removes the request to serve next.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.pop_up_to(u8::MAX)
    }

    /// Removes the request to serve next among those of at most this rank.
    pub fn pop_up_to(&mut self, rank: u8) -> Option<Ticket> {
        let mut classes = self.classes.range_mut(..=rank);
        let ticket = classes.find_map(|(_, class)| class.pop())?;
        self.forget(ticket);
        self.remove_idle_accounts();
        Some(ticket)
    }

    /// Whether a request of at most this rank waits.
    #[must_use]
    pub fn has_up_to(&self, rank: u8) -> bool {
        self.classes.range(..=rank).any(|(_, class)| class.len() > 0)
    }

    /// Removes one request; false if it isn't waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let was_waiting = self.take(ticket);
        if was_waiting {
            self.remove_idle_accounts();
        }
        was_waiting
    }

    /// Removes one request. Its account stays, even if it is empty: callers remove empty accounts
    /// once for many requests, because that looks at all accounts.
    fn take(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.forget(ticket) else { return false };
        let class = self.classes.get_mut(&place.rank);
        let queue = class.and_then(|class| class.accounts.get_mut(&place.account));
        if let Some(queue) = queue {
            queue.remove(place.key);
        }
        true
    }

    /// Removes and returns the requests whose latest start has come, of those that came with at most
    /// this rank.
    pub fn remove_overdue(&mut self, rank: u8, now: Millis) -> Vec<Ticket> {
        let overdue = self.by_latest.iter().take_while(|(latest, _)| *latest <= now);
        let overdue = overdue.map(|(_, ticket)| *ticket);
        let came_with = |ticket: &Ticket| self.places.get(ticket).map(|place| place.first_rank);
        let overdue = overdue.filter(|ticket| came_with(ticket).is_some_and(|first| first <= rank));
        let mut overdue: Vec<Ticket> = overdue.collect();
        overdue.sort_unstable();
        overdue.retain(|ticket| self.take(*ticket));
        self.remove_idle_accounts();
        overdue
    }

    /// Moves requests that are not sent in time for their objective to the rank after theirs, unless
    /// work was already spent on them.
    pub fn demote_late(&mut self, now: Millis) {
        while let Some((at, ticket)) = self.by_objective.pop_first() {
            if at > now {
                self.by_objective.insert((at, ticket));
                return;
            }
            let Some(place) = self.places.get_mut(&ticket).filter(|place| place.rank > 0) else {
                continue;
            };
            let from = place.rank;
            let rank = from + 1;
            place.rank = rank;
            let (account, key) = (place.account.clone(), place.key);
            let class = self.classes.get_mut(&from);
            let queue = class.and_then(|class| class.accounts.get_mut(&account));
            let Some(queue) = queue else { continue };
            let (work, weight) = (queue.requests.get(&key).copied(), queue.weight);
            queue.remove(key);
            let class = self.classes.entry(rank).or_default();
            let virtual_time = class.virtual_time;
            let queue = class.accounts.entry(account).or_default();
            if queue.requests.is_empty() {
                queue.virtual_time = queue.virtual_time.max(virtual_time);
            }
            queue.weight = weight;
            queue.insert(key, work.unwrap_or(WORK_MS_MIN));
        }
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Place> {
        let place = self.places.remove(&ticket)?;
        self.by_latest.remove(&(place.latest, ticket));
        if let Some(at) = place.objective {
            self.by_objective.remove(&(at, ticket));
        }
        Some(place)
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
        let (&key, _) = fullest.requests.last_key_value()?;
        let (priority, _, ticket) = key;
        let allowed = match rank.cmp(&arrival.rank()) {
            Ordering::Greater => true,
            Ordering::Equal if *name == arrival.account => priority > arrival.priority,
            Ordering::Equal => fullest.requests.len() > own + 1,
            Ordering::Less => false,
        };
        if !allowed {
            return None;
        }
        fullest.remove(key);
        self.forget(ticket);
        self.remove_idle_accounts();
        Some(ticket)
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
        let (&key, &work) = queue.requests.first_key_value()?;
        let (priority, _, ticket) = key;
        queue.remove(key);
        self.virtual_time = queue.virtual_time;
        queue.virtual_time +=
            work * PRIORITY_FACTOR.powi(i32::from(priority.min(PRIORITY_MAX))) / queue.weight;
        Some(ticket)
    }
}

impl AccountQueue {
    /// Number of requests of the same or a higher priority.
    fn count_before(&self, priority: u8) -> usize {
        self.counts.range(..=priority).map(|(_, count)| count).sum()
    }

    fn insert(&mut self, key: Key, work: f64) {
        self.requests.insert(key, work);
        *self.counts.entry(key.0).or_default() += 1;
    }

    fn remove(&mut self, key: Key) {
        if self.requests.remove(&key).is_none() {
            return;
        }
        if let Some(count) = self.counts.get_mut(&key.0) {
            *count -= 1;
        }
        self.counts.retain(|_, count| *count > 0);
    }
}
