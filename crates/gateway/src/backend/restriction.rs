//! What a backend server says of how much it takes, and what other hosts are notified of.

use entry::clock;
use policy::intake::{Intake, Statement};
use policy::name::Name;
use policy::throttle::Limit;
use policy::time::Millis;
use wire::routing::Warmup;

use super::Backend;

policy::domain! {
    /// What a backend server says of how much it takes, as other hosts are notified of it.
    pub struct RestrictionNotice {
        /// The backend server.
        pub backend: Name,
        /// When the start of it began that says so, see [`Backend::born`].
        #[serde(default)]
        pub born: u64,
        /// What it says.
        pub restriction: Restriction,
    }

    /// What keeps requests from a backend server.
    pub enum Restriction {
        /// It takes so many requests a second.
        Limit(Limit),
        /// It leaves.
        Leaving,
    }
}

impl Restriction {
    /// The same with its times on another clock; `from` and `to` are the same moment on both.
    #[must_use]
    pub fn on_clock(&self, from: Millis, to: Millis) -> Self {
        match self {
            Self::Limit(limit) => Self::Limit(limit.on_clock(from, to)),
            Self::Leaving => Self::Leaving,
        }
    }
}

impl Backend {
    /// What it says of how much it takes, in the answer to a request that was sent then; what the other
    /// hosts are to be notified of.
    pub fn record_statement(
        &self,
        statement: &Statement,
        sent: Millis,
        now: Millis,
    ) -> Vec<RestrictionNotice> {
        let draw = rand::random();
        let news = self.with_intake(|intake| intake.heard(statement, sent, draw, now));
        if news.is_pause {
            metrics::counter!("gateway_pauses_total").increment(1);
            log::info!(target: "route", backend:% = self.id, pause_ms:? = statement.pause_ms;
                "backend server asks for a pause");
        }
        let limit = news.is_limit.then(|| {
            let per_second = statement.per_second;
            log::info!(target: "route", backend:% = self.id, per_second:? = per_second;
                "backend server names another limit");
            Restriction::Limit(Limit { per_second, at: now, until: None })
        });
        let leaving = news.is_leave.then(|| {
            log::info!(target: "route", backend:% = self.id; "backend server says that it leaves");
            Restriction::Leaving
        });
        limit.into_iter().chain(leaving).map(|restriction| self.restricted(restriction)).collect()
    }

    /// What it takes, as another host says of this start of it; whether the world is another one now.
    pub fn learn(&self, restriction: &Restriction, now: Millis) -> bool {
        match restriction {
            Restriction::Limit(limit) => {
                self.learn_limit(*limit, now);
                false
            }
            Restriction::Leaving => {
                let is_news = self.with_intake(|intake| intake.leave(now));
                if is_news {
                    log::info!(target: "route", backend:% = self.id;
                        "leave of a backend server heard of");
                }
                is_news
            }
        }
    }

    /// How much it takes, as another host or its entry says.
    pub fn learn_limit(&self, limit: Limit, now: Millis) {
        if self.with_intake(|intake| intake.learn(limit, now)) {
            log::info!(target: "route", backend:% = self.id, per_second:? = limit.per_second,
                until_ms = limit.until.map(|until| until.since(now));
                "limit of a backend server heard of");
        }
    }

    /// It can't be reached, and may start again before its entry says so; what the other hosts are
    /// to be notified of, if it is news.
    ///
    /// A server that is back under its id is empty, so that all hosts would send to it at once, and
    /// end it once more before it is warm.
    pub fn expect_restart(&self, warmup: Warmup, now: Millis) -> Option<RestrictionNotice> {
        let limit = Limit::warmup(warmup.per_second, now + warmup.ms, now);
        let is_news = self.with_intake(|intake| intake.learn(limit, now));
        is_news.then(|| {
            log::info!(target: "route", backend:% = self.id, per_second = warmup.per_second,
                until_ms = warmup.ms; "backend server may start again");
            self.restricted(Restriction::Limit(limit))
        })
    }

    /// What the other hosts should know of how much it takes.
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

    /// Uses what is known of how much it takes.
    pub fn with_intake<T>(&self, use_it: impl FnOnce(&mut Intake) -> T) -> T {
        self.server.with_intake(clock::steady(), use_it)
    }

    /// Whether it has said that it takes nothing now.
    #[must_use]
    pub fn is_closed(&self, now: Millis) -> bool {
        self.server.is_restricted() && self.with_intake(|intake| intake.is_closed(now))
    }
}
