//! Waiting requests: by priority, then by turns among accounts.
//!
//! Turns are kept by virtual time: each start moves its account's clock on by one over its
//! weight, and the account with the earliest clock goes next. An account that comes back after a
//! pause starts at the present, so it can't save up turns.

use std::collections::{BTreeMap, VecDeque};

use super::{Ask, Ticket};
use crate::name::Name;
use crate::time::Millis;

/// Weights are kept above this, so that no account waits for ever.
const WEIGHT_MIN: f64 = 0.01;

/// Waiting requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct Line {
    classes: BTreeMap<u16, Class>,
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
    waiting: VecDeque<(Ticket, Millis)>,
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

    /// Requests that go before a new one of an account: all of lower ranks, its own, and of
    /// each other account as many as its own, since they take turns.
    #[must_use]
    pub fn ahead_of(&self, account: &str, rank: u16) -> usize {
        let higher: usize = self.classes.range(..rank).map(|(_, class)| class.len()).sum();
        let Some(class) = self.classes.get(&rank) else {
            return higher;
        };
        let own = class.accounts.get(account).map_or(0, |turn| turn.waiting.len());
        let others = class.accounts.iter().filter(|(name, _)| name.as_str() != account);
        let before: usize = others.map(|(_, turn)| turn.waiting.len().min(own + 1)).sum();
        higher + own + before
    }

    /// Puts a request at the end of its account's.
    pub fn push(&mut self, ticket: Ticket, ask: &Ask) {
        let class = self.classes.entry(ask.rank()).or_default();
        let clock = class.clock;
        let turn = class.accounts.entry(ask.account.clone()).or_default();
        if turn.waiting.is_empty() {
            turn.clock = turn.clock.max(clock);
        }
        turn.weight = ask.weight.max(WEIGHT_MIN);
        turn.waiting.push_back((ticket, ask.deadline));
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

    /// Takes out all whose deadline is not after `latest`.
    pub fn remove_due(&mut self, latest: Millis) -> Vec<Ticket> {
        let mut due = Vec::new();
        self.retain(|ticket, deadline| {
            let stays = deadline > latest;
            if !stays {
                due.push(ticket);
            }
            stays
        });
        due
    }

    /// Makes room for a request: takes out the last one of a lower priority or, within its own,
    /// of the account that has most waiting, if that is more than the newcomer's account has.
    pub fn evict_for(&mut self, ask: &Ask) -> Option<Ticket> {
        let (&rank, class) = self.classes.iter_mut().next_back()?;
        let own = class.accounts.get(&ask.account).map_or(0, |turn| turn.waiting.len());
        let fullest = class.accounts.values_mut().max_by_key(|turn| turn.waiting.len())?;
        let allowed = match rank.cmp(&ask.rank()) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => fullest.waiting.len() > own + 1,
            std::cmp::Ordering::Less => false,
        };
        let (ticket, _) = if allowed { fullest.waiting.pop_back()? } else { return None };
        self.waiting -= 1;
        self.tidy();
        Some(ticket)
    }

    fn retain(&mut self, mut stays: impl FnMut(Ticket, Millis) -> bool) -> usize {
        let before = self.waiting;
        for class in self.classes.values_mut() {
            for turn in class.accounts.values_mut() {
                turn.waiting.retain(|(ticket, deadline)| stays(*ticket, *deadline));
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
        let (ticket, _) = turn.waiting.pop_front()?;
        self.clock = turn.clock;
        turn.clock += 1.0 / turn.weight;
        Some(ticket)
    }
}
