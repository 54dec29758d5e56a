//! What a host knows, and the requests that wait there.

use std::collections::HashMap;

use policy::admit::Ticket;
use policy::admit::gate::Gate;
use policy::admit::room::{Room, Server as View};
use policy::prefix::Lag;
use policy::report::{Announcements, OwnRequests, Report};
use policy::time::Millis;

use super::START;
use super::case::Service;
use super::server::Request;

/// What a host knows of a server.
#[derive(Clone, Default)]
pub struct Known {
    pub own: u32,
    pub history: OwnRequests,
    pub report: Option<(Report, u64, u32)>,
    pub announcements: Announcements,
}

impl Known {
    pub fn change_own(&mut self, by: i32, now: u64) {
        self.history.record_change(self.own, Millis(now));
        self.own = self.own.saturating_add_signed(by);
    }

    pub fn view(&self, slots: u32, now: u64) -> View {
        let (reported, own_then) =
            self.report.map_or((0, 0), |(report, _, own)| (report.requests, own));
        let report_age_ms = self.report.map(|(_, at, _)| now.saturating_sub(at));
        View { slots, own: self.own, reported, own_then, report_age_ms }
    }
}

pub struct Host {
    pub service: Service,
    /// Mean time to the answer, in milliseconds.
    pub answer_ms: f64,
    pub known: Vec<Known>,
    pub gate: Gate,
    pub waiting: HashMap<Ticket, Request>,
    /// How late the other hosts' messages are.
    pub lags: HashMap<usize, Lag>,
    /// Until when the bytes of its announcements use up their rate.
    pub paid_until: u64,
}

impl Host {
    pub fn new(service: Service, servers: usize) -> Self {
        Self {
            service,
            answer_ms: service.work_ms.min(300.0),
            known: vec![Known::default(); servers],
            gate: Gate::new(4_096, service.work_ms),
            waiting: HashMap::new(),
            lags: HashMap::new(),
            paid_until: START,
        }
    }

    /// Forgets what a process forgets that starts again.
    pub fn restart(&mut self) {
        self.gate = Gate::new(4_096, self.service.work_ms);
        self.waiting.clear();
        self.lags.clear();
        self.known.iter_mut().for_each(|known| *known = Known::default());
    }

    pub fn room(&self, now: u64) -> Room {
        let views = self.known.iter().map(|known| known.view(self.service.slots, now));
        Room::of(views, self.service.kind, self.gate.work_ms)
    }
}
