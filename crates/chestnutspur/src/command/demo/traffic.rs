//! What callers will ask, drawn from the seed alone: the same arguments give the same requests.

use std::time::Duration;

use policy::domain;
use policy::name::Name;
use standin::deployment::Deployment;
use standin::draw;

/// Requests a second, all entry hosts together.
const RATE: f64 = 150.0;
/// A run with many requests goes faster rather than on for ever.
const LONGEST: Duration = Duration::from_secs(35);
/// How much more a large account asks than a small one.
const LARGE: f64 = 6.0;
/// Sessions that are open at a time.
const SESSIONS: u64 = 8;
/// Requests, of all kinds, during which a group of sessions is open.
const SESSION_SPAN: u64 = 200;

domain! {
    /// What one request asks.
    pub enum Kind {
        /// A chat completion.
        Chat {
            /// The account's task.
            task: Name,
            /// Whether the answer is to be streamed.
            stream: bool,
            /// The session it belongs to.
            session: Option<Session>,
        },
        /// A call of a plain service.
        Service {
            /// The service.
            service: Name,
            /// Whether it only reads.
            read: bool,
        },
    }

    /// A session, as the caller knows it.
    #[derive(Copy, Eq)]
    pub struct Session {
        /// Its number.
        pub number: u64,
        /// Whether the caller chose its name; otherwise it goes by a token of the system.
        pub chosen: bool,
    }

    /// One request.
    pub struct Request {
        /// Its number; its text is made from it.
        pub number: u64,
        /// When it is sent, from the start.
        pub at: Duration,
        /// Who asks.
        pub account: Name,
        /// What.
        pub kind: Kind,
        /// Whether it may run more than once.
        pub may_repeat: bool,
        /// Whether it comes with an idempotency key.
        pub keyed: bool,
        /// Whether the caller sends it twice, at once, by way of two entry hosts.
        pub twice: bool,
    }
}

impl Request {
    /// The prompt or body; no two requests have the same.
    #[must_use]
    pub fn text(&self) -> String {
        match &self.kind {
            Kind::Chat { task, .. } => format!("{task} for {}, case {}", self.account, self.number),
            Kind::Service { .. } => format!("form of {}, case {}", self.account, self.number),
        }
    }

    /// The session it belongs to, if any.
    #[must_use]
    pub fn session(&self) -> Option<Session> {
        match self.kind {
            Kind::Chat { session, .. } => session,
            Kind::Service { .. } => None,
        }
    }
}

/// Draws for one request.
struct Draw {
    seed: u64,
    number: u64,
}

impl Draw {
    fn share(&self, label: &str) -> f64 {
        draw::uniform(self.seed, &["demo", label, &self.number.to_string()])
    }

    /// One of several, by their weights.
    fn pick<'a, T>(&self, label: &str, choices: &'a [(T, f64)]) -> Option<&'a T> {
        let total: f64 = choices.iter().map(|(_, weight)| weight).sum();
        let mut left = self.share(label) * total;
        let found = choices.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        found.or(choices.last()).map(|(choice, _)| choice)
    }
}

/// All requests, in the order of their times.
#[must_use]
pub fn plan(deployment: &Deployment, requests: u64, seed: u64) -> Vec<Request> {
    let rate = RATE.max(requests as f64 / LONGEST.as_secs_f64());
    let accounts = accounts(deployment);
    let drawn = (0..requests).filter_map(|number| {
        let at = Duration::from_secs_f64(number as f64 / rate);
        request(deployment, &accounts, &Draw { seed, number }, at)
    });
    drawn.collect()
}

fn accounts(deployment: &Deployment) -> Vec<(Name, f64)> {
    let accounts = deployment.document.accounts.iter();
    let weight = |in_flight: u32| if in_flight == 0 { LARGE } else { 1.0 };
    accounts.map(|(name, account)| (name.clone(), weight(account.limit.in_flight))).collect()
}

fn request(
    deployment: &Deployment,
    accounts: &[(Name, f64)],
    draw: &Draw,
    at: Duration,
) -> Option<Request> {
    let session = session(draw);
    // A session is one account's, so its account is drawn by the session's number.
    let by = session.map_or(draw.number, |session| session.number);
    let name = Draw { seed: draw.seed, number: by }.pick("account", accounts)?.clone();
    let account = deployment.document.accounts.get(&name)?;
    let service = account.services.first().filter(|_| session.is_none());
    let (kind, may_repeat) = match service {
        Some(service) if draw.share("service") < 0.15 => {
            let read = draw.share("read") < 0.6;
            (Kind::Service { service: service.clone(), read }, read)
        }
        _ => {
            let tasks: Vec<_> = account.tasks.iter().map(|task| (task, 1.0)).collect();
            let (task, settings) = draw.pick("task", &tasks)?;
            let stream = draw.share("stream") < 0.4;
            (Kind::Chat { task: (*task).clone(), stream, session }, settings.may_repeat)
        }
    };
    let keyed = !may_repeat && draw.share("keyed") < 0.5;
    let twice = keyed && session.is_none() && draw.share("twice") < 0.3;
    Some(Request { number: draw.number, at, account: name, kind, may_repeat, keyed, twice })
}

fn session(draw: &Draw) -> Option<Session> {
    if draw.share("in a session") >= 0.2 {
        return None;
    }
    let place = (draw.share("which session") * SESSIONS as f64) as u64;
    let number = draw.number / SESSION_SPAN * SESSIONS + place;
    Some(Session { number, chosen: number.is_multiple_of(2) })
}
