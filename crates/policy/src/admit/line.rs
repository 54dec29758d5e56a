//! Waiting requests: by turns among accounts, and by priority within each account.
//!
//! Turns are kept by virtual time: each start moves its account's clock on, the less the higher
//! its priority and weight, and the account with the earliest clock goes next. An account that
//! comes back after a pause starts at the present, so it can't save up turns.
//!
//! Priority does not go before turns: one account's flood of high priority would starve all
//! others' ordinary requests.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::{Ask, Ticket};
use crate::name::Name;
use crate::time::Millis;

/// Weights are kept above this, so that no account waits for ever.
const WEIGHT_MIN: f64 = 0.01;
/// A start of the next lower priority counts this many times as much.
const PRIORITY_FACTOR: f64 = 8.0;
/// Priorities beyond this count no more.
const PRIORITY_MAX: u8 = 3;

/// Waiting requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct Line {
    classes: BTreeMap<u8, Class>,
    waiting: usize,
}

#[derive(Clone, Debug, Default)]
struct Class {
    accounts: BTreeMap<Name, Turn>,
    /// Virtual time of the last start.
    clock: f64,
}

#[derive(Clone, Debug, Default)]
struct Turn {
    /// When each must start, by priority, then in order of arrival.
    waiting: BTreeMap<(u8, Ticket), Millis>,
    clock: f64,
    weight: f64,
}

impl Line {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Requests that go before a new one: all of lower ranks, its own account's of the same or a
    /// higher priority, and of each other account's as many at most, since they take turns and
    /// turns of lower priorities come seldom.
    #[must_use]
    pub fn ahead_of(&self, ask: &Ask) -> usize {
        let before: usize = self.classes.range(..ask.rank()).map(|(_, class)| class.len()).sum();
        let Some(class) = self.classes.get(&ask.rank()) else {
            return before;
        };
        let own = class.accounts.get(&ask.account).map_or(0, |turn| turn.before(ask.priority));
        let others = class.accounts.iter().filter(|(name, _)| **name != ask.account);
        before + own + others.map(|(_, turn)| turn.before(ask.priority).min(own + 1)).sum::<usize>()
    }

    /// Puts a request behind its account's of the same priority; `latest` is when it must start.
    pub fn push(&mut self, ticket: Ticket, ask: &Ask, latest: Millis) {
        let class = self.classes.entry(ask.rank()).or_default();
        let clock = class.clock;
        let turn = class.accounts.entry(ask.account.clone()).or_default();
        if turn.waiting.is_empty() {
            turn.clock = turn.clock.max(clock);
        }
        turn.weight = ask.weight.max(WEIGHT_MIN);
        turn.waiting.insert((ask.priority, ticket), latest);
        self.waiting += 1;
    }

    /// Takes out the request that goes next.
    pub fn pop(&mut self) -> Option<Ticket> {
        let ticket = self.classes.values_mut().find_map(Class::pop)?;
        self.waiting -= 1;
        self.tidy();
        Some(ticket)
    }

    /// Takes out one request; false if it is not there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.retain(|known, _| known != ticket) > 0
    }

    /// Takes out all that must have started by now.
    pub fn remove_due(&mut self, now: Millis) -> Vec<Ticket> {
        let mut due = Vec::new();
        self.retain(|ticket, latest| {
            let stays = latest > now;
            if !stays {
                due.push(ticket);
            }
            stays
        });
        due
    }

    /// Makes room for a request: takes out the last one of the account that has most waiting, if
    /// that is more than the newcomer's account has, or if it is the newcomer's own and of lower
    /// priority.
    pub fn evict_for(&mut self, ask: &Ask) -> Option<Ticket> {
        let (&rank, class) = self.classes.iter_mut().next_back()?;
        let own = class.accounts.get(&ask.account).map_or(0, |turn| turn.waiting.len());
        let (name, fullest) = class.accounts.iter_mut().max_by_key(|(_, t)| t.waiting.len())?;
        let (&(priority, ticket), _) = fullest.waiting.last_key_value()?;
        let allowed = match rank.cmp(&ask.rank()) {
            Ordering::Greater => true,
            Ordering::Equal if *name == ask.account => priority > ask.priority,
            Ordering::Equal => fullest.waiting.len() > own + 1,
            Ordering::Less => false,
        };
        if !allowed {
            return None;
        }
        fullest.waiting.pop_last();
        self.waiting -= 1;
        self.tidy();
        Some(ticket)
    }

    fn retain(&mut self, mut stays: impl FnMut(Ticket, Millis) -> bool) -> usize {
        let before = self.waiting;
        for class in self.classes.values_mut() {
            for turn in class.accounts.values_mut() {
                turn.waiting.retain(|(_, ticket), latest| stays(*ticket, *latest));
            }
        }
        self.waiting = self.classes.values().map(Class::len).sum();
        self.tidy();
        before - self.waiting
    }

    /// Forgets accounts that wait no more and whose clock the others have passed.
    fn tidy(&mut self) {
        for class in self.classes.values_mut() {
            let now = class.clock;
            class.accounts.retain(|_, turn| !turn.waiting.is_empty() || turn.clock > now);
        }
        self.classes.retain(|_, class| class.len() > 0);
    }
}

impl Class {
    fn len(&self) -> usize {
        self.accounts.values().map(|turn| turn.waiting.len()).sum()
    }

    fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.accounts.values_mut().filter(|turn| !turn.waiting.is_empty());
        let turn = waiting.min_by(|a, b| a.clock.total_cmp(&b.clock))?;
        let ((priority, ticket), _) = turn.waiting.pop_first()?;
        self.clock = turn.clock;
        turn.clock += PRIORITY_FACTOR.powi(i32::from(priority.min(PRIORITY_MAX))) / turn.weight;
        Some(ticket)
    }
}

impl Turn {
    fn before(&self, priority: u8) -> usize {
        self.waiting.keys().filter(|(known, _)| *known <= priority).count()
    }
}
