//! Admission control: the queue that one entry host keeps for one pool of backend servers.
//!
//! Each request is admitted at once, waits, or is rejected. A request that can't be answered before
//! its deadline is rejected immediately, while its caller still has time to use another service.
//! Accounts are scheduled in turn by weight and priority, and a full queue evicts a request of the
//! account with the most waiting requests, so that one large account can't starve the others.
//!
//! Loads: one account at many times its usual rate; many callers that come back at once; a burst on
//! a few servers. The chat interface queues by pool. Routed requests queue by service, see [`room`].

pub mod fair_queue;
pub mod gate;
pub mod room;
pub mod share;

use crate::domain;
use crate::name::Name;
use crate::time::Millis;

use fair_queue::{FairQueue, Order};

/// Weight of a new service time in the exponential moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Rank of requests within their account's share.
const WITHIN_SHARE_RANK: u8 = 1;
/// Rank of requests beyond it, and of those within it that can't be answered within the objective
/// any more. Late requests beyond it come one rank after these.
const OVER_SHARE_RANK: u8 = 2;
/// Weight of a new interval between two starts in the exponential moving average.
const START_WEIGHT: f64 = 0.2;

domain! {
    /// Identifies a waiting request within its [`Queue`].
    #[derive(Copy, Eq, Hash, Ord, PartialOrd)]
    #[serde(transparent)]
    pub struct Ticket(pub u64);

    /// A request that arrives at a pool's queue.
    pub struct Arrival {
        /// The client account that sent the request.
        pub account: Name,
        /// Urgency of the request; 0 is the most urgent.
        pub priority: u8,
        /// Time at which the caller gives up.
        pub deadline: Millis,
        /// Weight of the account against other accounts; 1 by default.
        pub weight: f64,
        /// Expected time from sending the request to its end, in milliseconds; 0 means that the
        /// pool's mean is used.
        pub service_ms: f64,
        /// Whether work was already spent on the request, as for the second version of a cascade.
        /// Such requests are served before all others: otherwise an overload would waste that work
        /// and make the first version's answers, which were rated bad, the final ones.
        pub continued: bool,
        /// Whether the request is beyond its account's share over all hosts. Such requests are
        /// served after all others, with what these leave.
        #[serde(default)]
        pub over_share: bool,
        /// Time by which an answer is due, if it is worth less after that.
        #[serde(default)]
        pub objective: Option<Millis>,
    }

    /// Load of the pool as this entry host knows it.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests that the pool's backend servers can work on at once.
        pub slots: u32,
        /// Estimated requests in flight, sent by all entry hosts together.
        pub in_flight: u32,
        /// Requests in flight that this entry host sent.
        pub own: u32,
        /// Number of entry hosts that share the pool.
        pub entries: u32,
        /// Time until a backend server may accept work again, in milliseconds; 0 while at least
        /// one accepts work.
        pub closed_ms: u64,
    }

    /// Outcome of [`Queue::offer`].
    #[derive(Copy)]
    pub enum Verdict {
        /// The request is sent now.
        Admit,
        /// The request waits in the queue.
        Wait {
            /// Identifies the request when [`Queue::pop`] returns it.
            ticket: Ticket,
            /// Another waiting request that lost its place and must be rejected at once.
            evicted: Option<Evicted>,
        },
        /// The request is rejected.
        Refuse {
            /// Time after which the caller can retry with success, in milliseconds.
            retry_after_ms: u64,
        },
    }

    /// A waiting request that was removed from the queue and must be rejected.
    #[derive(Copy, Eq)]
    pub struct Evicted {
        /// The ticket that the request got when it began to wait.
        pub ticket: Ticket,
        /// Time after which the caller can retry with success, in milliseconds.
        pub retry_after_ms: u64,
    }
}

impl Arrival {
    /// Creates an arrival with weight 1, the pool's mean service time and no work spent on it yet.
    #[must_use]
    pub fn new(account: impl Into<Name>, priority: u8, deadline: Millis) -> Self {
        Self {
            account: account.into(),
            priority,
            deadline,
            weight: 1.0,
            service_ms: 0.0,
            continued: false,
            over_share: false,
            objective: None,
        }
    }

    /// Sets the time by which an answer is due.
    #[must_use]
    pub fn with_objective(mut self, objective: Millis) -> Self {
        self.objective = Some(objective);
        self
    }

    /// Sets the expected time from sending the request to its end, in milliseconds.
    #[must_use]
    pub fn with_service(mut self, ms: f64) -> Self {
        self.service_ms = ms;
        self
    }

    /// Marks the request as one on which work was already spent.
    #[must_use]
    pub fn continued(mut self) -> Self {
        self.continued = true;
        self
    }

    /// Class in which the request is scheduled: all requests of a lower rank are served first.
    #[must_use]
    pub fn rank(&self) -> u8 {
        match (self.continued, self.over_share) {
            (true, _) => 0,
            (false, false) => WITHIN_SHARE_RANK,
            (false, true) => OVER_SHARE_RANK,
        }
    }
}

impl Load {
    /// Estimated free slots for this entry host.
    ///
    /// Up to its equal share of the slots, an entry host ignores what the others use: a stale
    /// report of a full pool must not keep it from using its own share.
    #[must_use]
    pub fn free(&self) -> u32 {
        match self.slots {
            0 => 0,
            slots => slots.saturating_sub(self.in_flight).max(self.unused_share()),
        }
    }

    /// Slots of this entry host's equal share that it does not use.
    #[must_use]
    pub fn unused_share(&self) -> u32 {
        (self.equal_share() as u32).saturating_sub(self.own)
    }

    /// Slots per entry host when all share the pool equally; at least 1.
    #[must_use]
    pub fn equal_share(&self) -> f64 {
        (f64::from(self.slots) / f64::from(self.entries.max(1))).max(1.0)
    }
}

/// Requests of one pool that wait on this entry host, with the pool's mean service time.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Maximum number of waiting requests.
    pub limit: usize,
    /// Mean time from sending a request to its end, in milliseconds.
    pub service_ms: f64,
    /// Mean time between two starts of waiting requests, in milliseconds; `None` until it is known.
    start_interval_ms: Option<f64>,
    started_at: Option<Millis>,
    waiting: FairQueue,
    next_ticket: u64,
}

impl Queue {
    /// Creates an empty queue; `service_ms` is the initial estimate of the mean service time.
    #[must_use]
    pub fn new(limit: usize, service_ms: f64) -> Self {
        Self {
            limit,
            service_ms,
            start_interval_ms: None,
            started_at: None,
            waiting: FairQueue::default(),
            next_ticket: 0,
        }
    }

    /// Serves an account's requests by urgency and then by time left, and divides the servers among
    /// accounts by work instead of by requests.
    #[must_use]
    pub fn by_time_left(mut self) -> Self {
        self.waiting = FairQueue::new(Order::TimeLeft);
        self
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.len() == 0
    }

    /// Decides on a new request. `jitter` is a uniform draw from 0 to 1 that spreads the retries of
    /// rejected callers.
    pub fn offer(&mut self, arrival: &Arrival, load: Load, jitter: f64, now: Millis) -> Verdict {
        let ahead = self.waiting.ahead_of(arrival);
        let latest = self.latest_start(arrival);
        match load.free() {
            free if free > 0 && ahead == 0 => Verdict::Admit,
            _ if now + self.wait_ms(ahead, load) as u64 > latest => self.reject(load, jitter),
            _ => self.enqueue_or_evict(arrival, load, jitter),
        }
    }

    /// Adds a request whatever its wait will be. A full queue evicts another one, or rejects it.
    pub fn enqueue_or_evict(&mut self, arrival: &Arrival, load: Load, jitter: f64) -> Verdict {
        match self.waiting.len() < self.limit {
            true => self.enqueue(arrival, None),
            false => self.evict_or_reject(arrival, load, jitter),
        }
    }

    /// Estimated number of requests that will be served before a new one.
    #[must_use]
    pub fn ahead_of(&self, arrival: &Arrival) -> usize {
        self.waiting.ahead_of(arrival)
    }

    /// Whether a request waits that is within its account's share.
    #[must_use]
    pub fn has_within_share(&self) -> bool {
        self.waiting.has_up_to(WITHIN_SHARE_RANK)
    }

    /// Records that a waiting request was sent. The wait of the others is then estimated from the
    /// pace at which this host sends, which depends on what all hosts send.
    pub fn record_start(&mut self, now: Millis) {
        let last = self.started_at.replace(now);
        let interval = last.map(|last| now.since(last) as f64);
        self.start_interval_ms = match (self.start_interval_ms, interval) {
            (Some(mean), Some(ms)) => Some(mean + START_WEIGHT * (ms - mean)),
            (mean, ms) => mean.or(ms),
        };
        // The time until the next request waits is no sign of a slow service.
        if self.is_empty() {
            self.started_at = None;
        }
    }

    /// Removes the request to send next, when the pool has a free slot; `None` if none waits.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.waiting.pop()
    }

    /// Like [`Self::pop`], but leaves the requests that are beyond their account's share.
    pub fn pop_within_share(&mut self) -> Option<Ticket> {
        self.waiting.pop_up_to(WITHIN_SHARE_RANK)
    }

    /// Removes a waiting request whose caller disconnected; false if it isn't waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(ticket)
    }

    /// Puts requests whose answer can't come any more by the time at which it is due behind the
    /// others of their rank. Served in the order of arrival, a short burst would make all requests
    /// that follow it late.
    pub fn demote_late(&mut self, now: Millis) {
        self.waiting.demote_late(now);
    }

    /// Removes and returns the requests within their accounts' shares that must be sent now to be
    /// answered before their deadlines.
    pub fn take_overdue_within_share(&mut self, now: Millis) -> Vec<Ticket> {
        self.waiting.remove_overdue(WITHIN_SHARE_RANK, now)
    }

    /// Removes every waiting request that can no longer be answered before its deadline. The caller
    /// must reject these requests.
    pub fn evict_overdue(&mut self, load: Load, jitter: f64, now: Millis) -> Vec<Evicted> {
        let retry_after_ms = self.retry_after_ms(load, jitter);
        let tickets = self.waiting.remove_overdue(u8::MAX, now + load.closed_ms);
        tickets.into_iter().map(|ticket| Evicted { ticket, retry_after_ms }).collect()
    }

    /// Updates the mean service time with the time from sending one request to its end, in
    /// milliseconds.
    pub fn record_service_ms(&mut self, ms: f64) {
        self.service_ms += SERVICE_TIME_WEIGHT * (ms - self.service_ms);
    }

    /// Expected wait of a request that has `ahead` requests before it, in milliseconds. By Little's
    /// law, requests leave the pool at a rate of requests in flight divided by the service time.
    #[must_use]
    pub fn wait_ms(&self, ahead: usize, load: Load) -> f64 {
        match load.free() {
            free if free as usize > ahead => 0.0,
            _ if let Some(interval_ms) = self.start_interval_ms => {
                load.closed_ms as f64 + (ahead + 1) as f64 * interval_ms
            }
            _ => {
                let in_flight = f64::from(load.own).max(load.equal_share());
                load.closed_ms as f64 + (ahead + 1) as f64 * self.service_ms / in_flight
            }
        }
    }

    /// Latest time at which the request can be sent and still be answered before its deadline.
    fn latest_start(&self, arrival: &Arrival) -> Millis {
        arrival.deadline - self.work_ms(arrival) as u64
    }

    /// Expected work of a request, in milliseconds.
    #[must_use]
    pub fn work_ms(&self, arrival: &Arrival) -> f64 {
        if arrival.service_ms > 0.0 { arrival.service_ms } else { self.service_ms }
    }

    fn enqueue(&mut self, arrival: &Arrival, evicted: Option<Evicted>) -> Verdict {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let latest = self.latest_start(arrival);
        self.waiting.push(ticket, arrival, self.work_ms(arrival), latest);
        Verdict::Wait { ticket, evicted }
    }

    fn evict_or_reject(&mut self, arrival: &Arrival, load: Load, jitter: f64) -> Verdict {
        let retry_after_ms = self.retry_after_ms(load, jitter);
        match self.waiting.evict_for(arrival) {
            Some(ticket) => self.enqueue(arrival, Some(Evicted { ticket, retry_after_ms })),
            None => Verdict::Refuse { retry_after_ms },
        }
    }

    fn reject(&self, load: Load, jitter: f64) -> Verdict {
        Verdict::Refuse { retry_after_ms: self.retry_after_ms(load, jitter) }
    }

    /// Time in which all waiting requests are served, plus up to the same time again at random, so
    /// that callers who were rejected together don't retry together.
    fn retry_after_ms(&self, load: Load, jitter: f64) -> u64 {
        let drain_ms = self.wait_ms(self.waiting.len(), load).max(self.service_ms);
        (drain_ms * (1.0 + jitter)).ceil().max(1.0) as u64
    }
}
