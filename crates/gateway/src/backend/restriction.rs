//! The limits, pauses and departures that backend servers state, and what other hosts are told of
//! them.

use entry::clock;
use policy::intake::{Intake, Statement};
use policy::name::Name;
use policy::throttle::Limit;
use policy::time::Millis;
use wire::routing::Warmup;

use super::Backend;

policy::domain! {
    /// A limit or departure that a backend server states, as announced to other hosts.
    pub struct RestrictionNotice {
        /// The id of the backend server.
        pub backend: Name,
        /// When the start of the server began that states the restriction, see [`Backend::born`].
        #[serde(default)]
        pub born: u64,
        /// What the server states.
        pub restriction: Restriction,
    }

    /// What keeps requests from a backend server.
    pub enum Restriction {
        /// The server takes only a limited number of requests a second.
        Limit(Limit),
        /// The server is leaving and takes no new requests.
        Leaving,
    }
}

impl Restriction {
    /// The same restriction with its times on another clock. `from` and `to` are the same moment on
    /// both clocks.
    #[must_use]
    pub fn on_clock(&self, from: Millis, to: Millis) -> Self {
        match self {
            Self::Limit(limit) => Self::Limit(limit.on_clock(from, to)),
            Self::Leaving => Self::Leaving,
        }
    }
}

impl Backend {
    /// Records what the server stated in the answer to a request that was sent at `sent`. Returns
    /// what the other hosts must be told.
    pub fn record_statement(
        &self,
        statement: &Statement,
        sent: Millis,
        now: Millis,
    ) -> Vec<RestrictionNotice> {
        let draw = rand::random();
        let news = self.with_intake(|intake| intake.record_answer(statement, sent, draw, now));
        if news.has_begun_pause {
            metrics::counter!("gateway_pauses_total").increment(1);
            log::info!(target: "route", backend:% = self.id, pause_ms:? = statement.pause_ms;
                "backend server asks for a pause");
        }
        let limit = news.has_new_limit.then(|| {
            let per_second = statement.per_second;
            log::info!(target: "route", backend:% = self.id, per_second:? = per_second;
                "backend server states another limit");
            Restriction::Limit(Limit { per_second, at: now, until: None })
        });
        let leaving = news.has_begun_leaving.then(|| {
            log::info!(target: "route", backend:% = self.id;
                "backend server states that it is leaving");
            Restriction::Leaving
        });
        limit.into_iter().chain(leaving).map(|restriction| self.restricted(restriction)).collect()
    }

    /// Records a restriction of this start of the server that another host announced. Returns
    /// whether the server has newly left the pools, so that a new snapshot is needed.
    pub fn learn(&self, restriction: &Restriction, now: Millis) -> bool {
        match restriction {
            Restriction::Limit(limit) => {
                self.learn_limit(*limit, now);
                false
            }
            Restriction::Leaving => {
                let is_news = self.with_intake(|intake| intake.mark_leaving(now));
                if is_news {
                    log::info!(target: "route", backend:% = self.id;
                        "another host reports that a backend server is leaving");
                }
                is_news
            }
        }
    }

    /// Records the server's limit, as announced by another host or stated in the server's entry.
    pub fn learn_limit(&self, limit: Limit, now: Millis) {
        if self.with_intake(|intake| intake.learn_limit(limit, now)) {
            log::info!(target: "route", backend:% = self.id, per_second:? = limit.per_second,
                until_ms = limit.until.map(|until| until.since(now));
                "limit of a backend server learnt from another host or its entry");
        }
    }

    /// Records that the server can't be reached and may start again before its entry says so.
    /// Returns what the other hosts must be told, if it is news.
    ///
    /// A server that is back under its id has no requests yet. Without a limit all hosts would send
    /// to it at once and crash it again before it is warm.
    pub fn expect_restart(&self, warmup: Warmup, now: Millis) -> Option<RestrictionNotice> {
        let limit = Limit::warmup(warmup.per_second, now + warmup.ms, now);
        let is_news = self.with_intake(|intake| intake.learn_limit(limit, now));
        is_news.then(|| {
            log::info!(target: "route", backend:% = self.id, per_second = warmup.per_second,
                until_ms = warmup.ms;
                "backend server unreachable, limited until warm in case it restarts");
            self.restricted(Restriction::Limit(limit))
        })
    }

    /// What the other hosts should know of the limits that the server states.
    #[must_use]
    pub fn restrictions(&self, now: Millis) -> Vec<RestrictionNotice> {
        let intake = self.with_intake(|intake| *intake);
        let limit = intake.throttle.shared(now).map(Restriction::Limit);
        let leaving = intake.is_leaving().then_some(Restriction::Leaving);
        limit.into_iter().chain(leaving).map(|restriction| self.restricted(restriction)).collect()
    }

    fn restricted(&self, restriction: Restriction) -> RestrictionNotice {
        RestrictionNotice { backend: self.id.clone(), born: self.born, restriction }
    }

    /// Runs a function on what is known of how many requests the server takes.
    pub fn with_intake<T>(&self, use_it: impl FnOnce(&mut Intake) -> T) -> T {
        self.server.with_intake(clock::steady(), use_it)
    }

    /// Whether the server takes no requests now: it has said so, its row says so, or is gone.
    #[must_use]
    pub fn is_closed(&self, now: Millis) -> bool {
        let has_said = || self.with_intake(|intake| intake.is_closed(now));
        self.is_delisted() || self.server.is_restricted() && has_said()
    }
}
