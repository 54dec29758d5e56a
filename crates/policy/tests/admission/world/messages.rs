//! What hosts tell each other.

use policy::admit::room::Kind;
use policy::name::Name;
use policy::report::{Report, Scope, is_news};
use policy::time::Millis;

use super::case::Fault;
use super::{DOMAINS, Event, START, World};

/// Time until the hosts of a domain know what one of them announces.
const ANNOUNCED_MS: u64 = 7;
/// Most hosts that one announcement of the accounts' work goes to.
const SHARES_RECEIVERS_MAX: usize = 6;
/// Bytes of announcements that a host sends in a second, and bytes of one to each peer.
const ANNOUNCED_TO_MAX: usize = 24;
const BYTES_PER_S: usize = 8_000;
const ANNOUNCED_BYTES: usize = 230;

/// A server's report that a host announces.
#[derive(Clone, Copy)]
pub struct Message {
    from: usize,
    sent: u64,
    server: usize,
    report: Report,
}

impl World {
    pub(super) fn announce_shares(&mut self, host: usize) {
        let report = self.hosts[host].gate.shares.report(Millis(self.now));
        let near: Vec<usize> = (0..self.case.hosts)
            .filter(|peer| *peer != host && peer % DOMAINS == host % DOMAINS)
            .collect();
        for _ in 0..SHARES_RECEIVERS_MAX.min(near.len()) {
            let peer = near[self.draws.index(near.len())];
            let is_gone =
                |end| self.is_struck(end, Fault::CutOff) || self.is_struck(end, Fault::Lost);
            let is_cut = is_gone(host) || is_gone(peer);
            if self.draws.next() >= self.case.lost && !is_cut {
                let name = Name::from(format!("h{host}"));
                self.hosts[peer].gate.shares.accept(&name, report.clone(), Millis(self.now));
            }
        }
    }

    fn scope(&self) -> Scope {
        match self.case.service.kind {
            Kind::Plain => Scope::NearlyFull,
            Kind::Engine | Kind::AnnouncedEngine => Scope::Changes,
        }
    }

    /// Announces the report of a server to the hosts of the same domain.
    pub(super) fn announce(&mut self, from: usize, server: usize, report: Report) {
        let now = self.now;
        let scope = self.scope();
        let is_far = scope == Scope::Changes && from % DOMAINS != server % DOMAINS;
        if is_far {
            return;
        }
        let host = &mut self.hosts[from];
        let known = &mut host.known[server];
        let may_send = !self.case.is_bounded || host.paid_until <= now + 1_000;
        if may_send && known.announcements.is_due(report, scope, Millis(now)) {
            let near = self.case.hosts / DOMAINS;
            let receivers = if self.case.is_bounded { near.min(ANNOUNCED_TO_MAX) } else { near };
            let bytes = receivers * ANNOUNCED_BYTES;
            host.paid_until = host.paid_until.max(now) + (bytes * 1_000 / BYTES_PER_S) as u64;
            known.announcements.record_known(report, Millis(now));
            self.out.announced += 1;
            let peers = (0..self.case.hosts).filter(|peer| *peer != from);
            for peer in peers.filter(|peer| peer % DOMAINS == from % DOMAINS) {
                let is_receiver = near == receivers || self.draws.index(near) < receivers;
                if is_receiver && self.draws.next() >= self.case.lost {
                    let is_late = now - START >= self.case.late_from_ms;
                    let late_ms = if is_late { self.case.late_ms } else { 0 };
                    let message = Message { from, sent: now, server, report };
                    self.at(ANNOUNCED_MS + late_ms, Event::Announced(peer, message));
                }
            }
        }
    }

    pub(super) fn hear(&mut self, host: usize, message: Message) {
        let Message { from, sent, server, report } = message;
        // The way of a message takes time that hosts without a common clock don't know.
        let delay_ms =
            self.hosts[host].lags.entry(from).or_default().record(Millis(sent), Millis(self.now));
        let (at, scope) = (self.now - ANNOUNCED_MS - delay_ms, self.scope());
        let known = &mut self.hosts[host].known[server];
        known.announcements.record_known(report, Millis(at));
        let known_at = known.report.map_or(0, |(_, at, _)| at);
        if is_news(Millis(at), Millis(known_at), scope, Millis(self.now)) {
            let own = known.history.at(Millis(at), known.own);
            known.report = Some((report, at, own));
        }
    }
}
