//! How one request is admitted: at once, after a wait, or not at all.

use std::sync::Arc;
use std::time::Instant;

use entry::clock;
use policy::admit::gate;
use policy::admit::room::{Kind, Room};
use policy::admit::{Arrival, Verdict};
use policy::time::Millis;
use tokio::sync::oneshot;
use wire::refusal::Refusal;

use super::{Gate, WaitGuard};
use crate::codec::Codec;
use crate::job::Job;
use crate::refuse;

/// A request before the queue of its service.
struct Approach {
    gate: Arc<Gate>,
    kind: Kind,
    room: Room,
    /// The number of hosts that share the room.
    hosts: u32,
    now: Millis,
}

impl<C: Codec> Job<C> {
    /// Waits until a server of the service is believed to have room, and takes a slot. Requests of
    /// services without a server that takes work don't wait.
    ///
    /// # Errors
    /// A refusal, as soon as the request can't be answered in time. It has not run.
    pub async fn enter(&mut self) -> Result<(), Refusal> {
        self.attempts.slot = None;
        let state = Arc::clone(&self.state);
        let gate = |waiting_max, kind| state.admission.gate(&self.service, waiting_max, kind);
        let Some(approach) = self.approach(gate) else { return Ok(()) };
        let gate = &approach.gate;
        let (ticket, receiver, evicted) = {
            let mut inner = gate.lock();
            inner.kind = approach.kind;
            match self.decide(&mut inner.decisions, &approach) {
                Verdict::Admit => {
                    self.attempts.slot = Some(gate.slot(approach.room));
                    return Ok(());
                }
                Verdict::Refuse { retry_after_ms } => {
                    drop(inner);
                    return Err(self.not_admitted(Instant::now(), retry_after_ms));
                }
                Verdict::Wait { ticket, evicted } => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiting.insert(ticket, sender);
                    if !std::mem::replace(&mut inner.is_served, true) {
                        tokio::spawn(Arc::clone(&state).keep_serving(Arc::clone(gate)));
                    }
                    let evicted = evicted.and_then(|evicted| {
                        let sender = inner.waiting.remove(&evicted.ticket)?;
                        Some((sender, evicted.retry_after_ms))
                    });
                    (ticket, receiver, evicted)
                }
            }
        };
        if let Some((sender, retry_after_ms)) = evicted {
            // If the send fails, the caller of the evicted request has left.
            let _ = sender.send(Err(retry_after_ms));
        }
        let since = Instant::now();
        let guard = WaitGuard { gate, ticket };
        let decided = receiver.await;
        drop(guard);
        match decided {
            Ok(Ok(slot)) => {
                self.attempts.slot = Some(slot);
                self.attempts.waited_ms += since.elapsed().as_millis() as u64;
                self.record_wait(since);
                Ok(())
            }
            Ok(Err(retry_after_ms)) => Err(self.not_admitted(since, retry_after_ms)),
            // The process stops.
            Err(_) => Err(self.refusal()),
        }
    }

    /// What admission control would decide on the request now; `None` if it does not apply. The
    /// decision is made on a copy of the queue.
    #[must_use]
    pub fn foresee_admission(&self) -> Option<Verdict> {
        let approach = self.approach(|waiting_max, kind| {
            let known = self.state.admission.known_gate(&self.service);
            known.unwrap_or_else(|| Arc::new(Gate::new(self.service.clone(), waiting_max, kind)))
        })?;
        let mut copy = approach.gate.lock().decisions.clone();
        Some(self.decide(&mut copy, &approach))
    }

    /// The queue that decides on the request, and the room of its servers; `None` if the request
    /// does not wait. `gate` finds the queue.
    fn approach(&self, gate: impl FnOnce(usize, Kind) -> Arc<Gate>) -> Option<Approach> {
        let state = &self.state;
        let waiting_max = state.admission.waiting_max?;
        // Servers with a limited tolerance for rejected requests have quotas for each host.
        if self.tolerance().is_some() || self.prefers_detour() {
            return None;
        }
        let (kind, now) = (self.server_kind(), clock::steady());
        let gate = gate(waiting_max, kind);
        let room = state.room(&gate, kind, now)?;
        let hosts = state.host_count(&self.service);
        Some(Approach { gate, kind, room, hosts, now })
    }

    /// Decides on the request, which arrives or waits again.
    fn decide(&self, decisions: &mut gate::Gate, approach: &Approach) -> Verdict {
        let &Approach { kind, room, hosts, now, .. } = approach;
        let mut arrival = self.arrival(now);
        // A request that waits again has been counted.
        if self.attempts.sent == 0 {
            decisions.record_offered(&arrival, kind, now);
        }
        decisions.arrive(&mut arrival, (room, hosts), (rand::random(), rand::random()), now)
    }

    fn server_kind(&self) -> Kind {
        let snapshot = self.state.snapshot.load();
        let is_announced = || {
            let service = snapshot.index.services.get(&self.service);
            let has_engines = service.is_some_and(|service| service.engine.is_some());
            has_engines && self.state.placement.load().loads
        };
        match () {
            () if self.info.parts.is_empty() => Kind::Plain,
            () if is_announced() => Kind::AnnouncedEngine,
            () => Kind::Engine,
        }
    }

    /// Mean time until a request of this kind is answered, in milliseconds; 0 if it is not known.
    pub fn usual_answer_ms(&self) -> f64 {
        let timing = self.state.timings.with(self.timing_key(), |timing| *timing);
        match self.route().kind.is_stream() {
            true => timing.first.mean_ms(0.0),
            false => timing.whole.mean_ms(0.0),
        }
    }

    /// Whether a request that a server has rejected can't be answered in time any more. Under a
    /// shortage it would only take room from requests that can.
    pub fn is_rejected_late(&self) -> bool {
        let attempts = &self.attempts;
        let may_refuse = attempts.slot.is_some() && !attempts.rejected_by.is_empty();
        may_refuse && self.time_left().as_secs_f64() * 1_000.0 < self.usual_answer_ms()
    }

    fn arrival(&self, now: Millis) -> Arrival {
        let service_ms = self.usual_answer_ms();
        let left_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        let objective = now + self.route().objective_ms.saturating_sub(elapsed_ms);
        Arrival::new(self.account.clone().unwrap_or_default(), self.priority, now + left_ms)
            .with_service(service_ms)
            .with_objective(objective)
    }

    fn record_wait(&self, since: Instant) {
        let waited = since.elapsed();
        metrics::histogram!("gateway_admission_wait_seconds", "service" => self.service.to_string())
            .record(waited.as_secs_f64());
        log::info!(target: "route", request:% = self.info.id, service:% = self.service,
            account:% = self.account.as_deref().unwrap_or_default(), priority = self.priority,
            waited_ms = waited.as_millis() as u64, not_run = self.attempts.not_run;
            "request waited for a server");
    }

    fn not_admitted(&self, since: Instant, retry_after_ms: u64) -> Refusal {
        metrics::counter!("gateway_admission_refusals_total",
            "service" => self.service.to_string())
        .increment(1);
        log::info!(target: "route", request:% = self.info.id, service:% = self.service,
            account:% = self.account.as_deref().unwrap_or_default(), priority = self.priority,
            waited_ms = since.elapsed().as_millis() as u64, retry_after_ms,
            waiting = self.state.admission.waiting(&self.service);
            "request not admitted: it can't be answered in time");
        refuse::not_in_time(retry_after_ms)
    }

    /// Whether the request waits again, because every server has rejected it and none has run it.
    pub fn takes_place_again(&mut self) -> bool {
        let attempts = &mut self.attempts;
        let was_rejected_by_all = attempts.found_no_server && !attempts.rejected_by.is_empty();
        let may = self.state.admission.is_on()
            && was_rejected_by_all
            && !attempts.may_have_run
            && attempts.failure_answer.is_none()
            && attempts.sent < self.attempts_max;
        if !may || self.time_left().is_zero() {
            return false;
        }
        let attempts = &mut self.attempts;
        let rejected_by = std::mem::take(&mut attempts.rejected_by);
        attempts.excluded.retain(|tried| !rejected_by.contains(tried));
        attempts.found_no_server = false;
        // The repeat that was taken for the next attempt has not been used.
        *attempts.is_paid.get_mut() = attempts.sent > 0;
        true
    }
}
