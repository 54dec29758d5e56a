//! Admission of routed requests to one service, as one host decides it.
//!
//! Load: an account far above its usual load, or a burst on a few servers, at up to some hundred
//! hosts that share them. Requests within their accounts' shares are sent the moment they arrive
//! while the servers take more. The others get what is left, and wait here until then.
//!
//! A request is refused if the queue is full of requests that go before it, or if it can't be
//! answered in time and the servers' reports show that no slot is idle. If a report shows an idle
//! slot, it is sent: a server that is full after all rejects it within milliseconds, and its report
//! is new knowledge. If the reports are only too old to exclude an idle slot, it is sent at a limited
//! pace: hosts that all send such requests fill the servers' queues.

use super::room::{Claim, Kind, Room};
use super::share::Shares;
use super::{Arrival, Evicted, Load, Queue, Ticket, Verdict};
use crate::time::Millis;

/// Weight of a new working time in the exponential moving average.
const WORK_WEIGHT: f64 = 0.1;

/// The queue of one service at one host, with what the host knows of its own part.
#[derive(Clone, Debug)]
pub struct Gate {
    /// The requests that wait.
    pub queue: Queue,
    /// What accounts offer.
    pub shares: Shares,
    /// Requests that hold a slot.
    pub admitted: u32,
    /// Mean time that a server works on a request, in milliseconds.
    pub work_ms: f64,
    claim: Claim,
}

/// Waiting requests that [`Gate::serve`] has decided on.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// Requests to send now.
    pub started: Vec<Ticket>,
    /// Requests to refuse now.
    pub refused: Vec<Evicted>,
}

impl Gate {
    /// An empty queue of at most `waiting_max` requests; `work_ms` is the initial estimate of the
    /// time that servers work on a request.
    #[must_use]
    pub fn new(waiting_max: usize, work_ms: f64) -> Self {
        Self {
            queue: Queue::new(waiting_max, work_ms).by_time_left(),
            shares: Shares::default(),
            admitted: 0,
            work_ms,
            claim: Claim::default(),
        }
    }

    /// Records that a request has come, for its account's share. Streams hold a slot until they end,
    /// long after the beginning that their callers wait for.
    pub fn record_offered(&mut self, arrival: &Arrival, kind: Kind, now: Millis) {
        let work_ms = match kind {
            Kind::AnnouncedEngine => self.work_ms,
            Kind::Plain | Kind::Engine => self.queue.work_ms(arrival),
        };
        self.shares.record(&arrival.account, work_ms, now);
    }

    /// Decides on a request that arrives. `draws` are uniform in 0 to 1. A request that is admitted
    /// is counted until [`Self::finish`].
    pub fn arrive(
        &mut self,
        arrival: &mut Arrival,
        (room, hosts): (Room, u32),
        draws: (f64, f64),
        now: Millis,
    ) -> Verdict {
        let room = room.after_admitted(self.admitted);
        let slots = (room.planned_slots(), hosts);
        arrival.over_share = !self.shares.is_within(&arrival.account, slots, draws.0, now);
        let load = self.load(room, hosts);
        let is_first = self.queue.ahead_of(arrival) == 0;
        let has_room = match arrival.over_share {
            false => room.within >= 1.0 || self.claim.is_due(room, hosts, self.work_ms, now),
            true if hosts <= 1 => room.over >= 1.0,
            true => room.over >= room.direct(),
        };
        match () {
            () if is_first && has_room => {
                self.start(now);
                Verdict::Admit
            }
            () if room.maybe_idle == 0 => self.queue.offer(arrival, load, draws.1, now),
            () => self.queue.enqueue_or_evict(arrival, load, draws.1),
        }
    }

    /// Decides on the waiting requests: refuses those that can't be answered in time, and sends
    /// those for which there is room. `draws` are uniform in 0 to 1.
    pub fn serve(&mut self, (room, hosts): (Room, u32), draws: (f64, f64), now: Millis) -> Served {
        let room = room.after_admitted(self.admitted);
        let load = self.load(room, hosts);
        // Sent whatever the reports say: all hosts together have fewer requests within their shares
        // than the servers answer.
        let started = self.queue.take_overdue_within_share(now);
        let mut served = Served { started, ..Served::default() };
        let (mut maybe_idle, mut reported_idle) = (room.maybe_idle, room.reported_idle);
        for evicted in self.queue.evict_overdue(load, draws.0, now) {
            let is_sent = maybe_idle > 0
                && (reported_idle > 0
                    || self.claim.may_probe(room, hosts, self.work_ms, draws.1, now));
            if is_sent {
                maybe_idle -= 1;
                reported_idle = reported_idle.saturating_sub(1);
                served.started.push(evicted.ticket);
            } else {
                served.refused.push(evicted);
            }
        }
        let is_due = self.claim.is_due(room, hosts, self.work_ms, now);
        self.queue.demote_late(now + self.further_wait_ms(room));
        let has_within = self.queue.has_within_share();
        let free = if has_within { room.within } else { room.over };
        let mut left = self.claim.take(free, room, hosts, draws.1, now);
        if has_within && is_due {
            left = left.max(1);
        }
        while left > 0 {
            let next = if has_within { self.queue.pop_within_share() } else { self.queue.pop() };
            let Some(ticket) = next else { break };
            served.started.push(ticket);
            left -= 1;
        }
        for _ in &served.started {
            self.queue.record_start(now);
            self.start(now);
        }
        served
    }

    /// Records that an admitted request has ended; `answered` is `None` if no server worked on it.
    pub fn finish(&mut self, answered: Option<Answered>) {
        self.admitted = self.admitted.saturating_sub(1);
        if let Some(Answered { ms, crowding }) = answered {
            self.queue.record_service_ms(ms);
            self.work_ms += WORK_WEIGHT * (ms / crowding.max(1.0) - self.work_ms);
        }
    }

    /// Time that a request sent now waits at the servers, beyond what the expected times of requests
    /// include. With the usual time only, requests that will be late go before those that won't be.
    fn further_wait_ms(&self, room: Room) -> u64 {
        (room.crowding() * self.work_ms - self.queue.service_ms).max(0.0) as u64
    }

    fn start(&mut self, now: Millis) {
        self.admitted += 1;
        self.claim.record_start(now);
    }

    /// The load by which the time is estimated until waiting requests are served.
    fn load(&self, room: Room, hosts: u32) -> Load {
        Load {
            slots: room.slots,
            in_flight: room.slots,
            own: self.admitted.max(room.slots.div_ceil(hosts.max(1))),
            entries: hosts,
            closed_ms: 0,
        }
    }
}

/// How a request was answered.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// Time from its admission to its end, in milliseconds.
    pub ms: f64,
    /// [`Room::crowding`] at its admission: most of that time it waited at the server.
    pub crowding: f64,
}
