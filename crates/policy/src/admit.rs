//! One pool's queue on one entry host: who goes now, who waits, who is refused at once.
//!
//! A request that can't be answered before its deadline is refused while the caller still has
//! time to go elsewhere. Accounts take turns, by weight and priority, and a full queue makes room at the cost of the account that fills it most: one large account can't starve the rest.

pub mod line;

use crate::domain;
use crate::name::Name;
use crate::time::Millis;

use line::Line;

/// How much one answer's time moves the mean.
const SERVICE_GAIN: f64 = 0.1;

domain! {
    /// Names a waiting request.
    #[derive(Copy, Eq, Hash, Ord, PartialOrd)]
    #[serde(transparent)]
    pub struct Ticket(pub u64);

    /// A request that wants a place in the pool.
    pub struct Ask {
        /// The client account.
        pub account: Name,
        /// 0 is served first.
        pub priority: u8,
        /// When its caller gives up.
        pub deadline: Millis,
        /// The account's weight among those of the same priority; 1 is usual.
        pub weight: f64,
        /// Time that it is expected to take once sent, in milliseconds; the pool's mean if 0.
        pub service_ms: f64,
        /// Whether work was spent on the request already, as for a cascade's second version. Such
        /// a request goes before all others: else an overload would waste the work, and turn the
        /// first version's answers, which were found bad, into the final ones.
        pub continued: bool,
    }

    /// The pool as this entry host knows it.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests that its backend servers can work on.
        pub slots: u32,
        /// Requests believed to be worked on, of all entry hosts.
        pub in_flight: u32,
        /// Of these, requests of this entry host.
        pub own: u32,
        /// Entry hosts that share it.
        pub entries: u32,
        /// While no backend server takes work: how long until one may again, in milliseconds.
        pub closed_ms: u64,
    }

    /// What becomes of a request.
    #[derive(Copy)]
    pub enum Verdict {
        /// It goes now.
        Admit,
        /// It waits.
        Wait {
            /// What [`Queue::pop`] will name it by.
            ticket: Ticket,
            /// A waiting request that must be refused at once, to make room.
            evicted: Option<Evicted>,
        },
        /// It is refused.
        Refuse {
            /// When a later try can succeed, in milliseconds.
            retry_after_ms: u64,
        },
    }

    /// A waiting request that gave its place to another.
    #[derive(Copy, Eq)]
    pub struct Evicted {
        /// Which.
        pub ticket: Ticket,
        /// When a later try can succeed, in milliseconds.
        pub retry_after_ms: u64,
    }
}

impl Ask {
    /// One of usual weight.
    #[must_use]
    pub fn new(account: impl Into<Name>, priority: u8, deadline: Millis) -> Self {
        Self {
            account: account.into(),
            priority,
            deadline,
            weight: 1.0,
            service_ms: 0.0,
            continued: false,
        }
    }

    /// Sets the time that it is expected to take once sent, in milliseconds.
    #[must_use]
    pub fn with_service(mut self, ms: f64) -> Self {
        self.service_ms = ms;
        self
    }

    /// Says that work was spent on the request already.
    #[must_use]
    pub fn continued(mut self) -> Self {
        self.continued = true;
        self
    }

    /// Where it stands in the line: lower goes first, before all turns.
    #[must_use]
    pub fn rank(&self) -> u8 {
        u8::from(!self.continued)
    }
}

impl Load {
    /// Places believed to be free. Up to its part of all slots an entry host need not ask what the
    /// others do: a lagging report of a full pool must not keep it from using what is its own.
    #[must_use]
    pub fn free(&self) -> u32 {
        let unused_part = (self.part() as u32).saturating_sub(self.own);
        match self.slots {
            0 => 0,
            slots => slots.saturating_sub(self.in_flight).max(unused_part),
        }
    }

    /// The slots that this entry host can count on: its part of all of them.
    #[must_use]
    pub fn part(&self) -> f64 {
        (f64::from(self.slots) / f64::from(self.entries.max(1))).max(1.0)
    }
}

/// The queue.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Requests that may wait at most.
    pub limit: usize,
    /// Mean time from sending a request to its end, in milliseconds.
    pub service_ms: f64,
    line: Line,
    next_ticket: u64,
}

impl Queue {
    /// An empty one; `service_ms` is a first guess of the time that a request takes.
    #[must_use]
    pub fn new(limit: usize, service_ms: f64) -> Self {
        Self { limit, service_ms, line: Line::default(), next_ticket: 0 }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.line.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.line.len() == 0
    }

    /// A request comes; `jitter` is a uniform draw from 0 to 1 that spreads the later tries.
    pub fn offer(&mut self, ask: &Ask, load: Load, jitter: f64, now: Millis) -> Verdict {
        let ahead = self.line.ahead_of(ask);
        let latest = self.latest(ask);
        match load.free() {
            free if free > 0 && ahead == 0 => Verdict::Admit,
            _ if now + self.wait_ms(ahead, load) as u64 > latest => self.refuse(load, jitter),
            _ if self.line.len() < self.limit => self.wait(ask, None),
            _ => self.make_room(ask, load, jitter),
        }
    }

    /// The next request that goes, now that the pool has a place; `None` if none waits.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.line.pop()
    }

    /// Removes a waiting request whose caller left; false if it does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.line.remove(ticket)
    }

    /// Removes every waiting request that can't be answered in time any more, to be refused now.
    pub fn hopeless(&mut self, load: Load, jitter: f64, now: Millis) -> Vec<Evicted> {
        let retry_after_ms = self.retry_after_ms(load, jitter);
        let tickets = self.line.remove_due(now + load.closed_ms);
        tickets.into_iter().map(|ticket| Evicted { ticket, retry_after_ms }).collect()
    }

    /// A request of the pool ended this long after it was sent to its backend server.
    pub fn served(&mut self, ms: f64) {
        self.service_ms += SERVICE_GAIN * (ms - self.service_ms);
    }

    /// Milliseconds until a request behind `ahead` others gets its place: by Little's law, requests
    /// leave at the rate of those under way over the time that each takes.
    #[must_use]
    pub fn wait_ms(&self, ahead: usize, load: Load) -> f64 {
        match load.free() {
            free if free as usize > ahead => 0.0,
            _ => {
                let leaving = f64::from(load.own).max(load.part());
                load.closed_ms as f64 + (ahead + 1) as f64 * self.service_ms / leaving
            }
        }
    }

    /// When a request must be sent at the latest.
    fn latest(&self, ask: &Ask) -> Millis {
        let service_ms = if ask.service_ms > 0.0 { ask.service_ms } else { self.service_ms };
        ask.deadline - service_ms as u64
    }

    fn wait(&mut self, ask: &Ask, evicted: Option<Evicted>) -> Verdict {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let latest = self.latest(ask);
        self.line.push(ticket, ask, latest);
        Verdict::Wait { ticket, evicted }
    }

    fn make_room(&mut self, ask: &Ask, load: Load, jitter: f64) -> Verdict {
        let retry_after_ms = self.retry_after_ms(load, jitter);
        match self.line.evict_for(ask) {
            Some(ticket) => self.wait(ask, Some(Evicted { ticket, retry_after_ms })),
            None => Verdict::Refuse { retry_after_ms },
        }
    }

    fn refuse(&self, load: Load, jitter: f64) -> Verdict {
        Verdict::Refuse { retry_after_ms: self.retry_after_ms(load, jitter) }
    }

    /// Time in which all that wait now are served, and up to as much again, so that callers who
    /// were refused together don't come back together.
    fn retry_after_ms(&self, load: Load, jitter: f64) -> u64 {
        let drain_ms = self.wait_ms(self.line.len(), load).max(self.service_ms);
        (drain_ms * (1.0 + jitter)).ceil().max(1.0) as u64
    }
}
