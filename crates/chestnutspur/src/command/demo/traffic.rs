//! The requests that callers send, drawn from the seed: the same arguments give the same requests.

use std::time::Duration;

use policy::domain;
use policy::name::Name;
use standin::deployment::Deployment;
use standin::draw;

/// Lowest request rate, of all entry hosts together.
const RATE_PER_S: f64 = 150.0;
/// Maximum length of a run; with many requests the rate rises instead.
const RUN_MAX: Duration = Duration::from_secs(35);
/// Weight of a large client account, one without a limit of requests in flight; a small one has 1.
const LARGE_ACCOUNT_WEIGHT: f64 = 6.0;
/// Number of sessions that are open at a time.
const OPEN_SESSIONS: u64 = 8;
/// Number of requests, inside and outside sessions, after which other sessions replace the open
/// ones.
const SESSION_SPAN_REQUESTS: u64 = 200;

domain! {
    /// What a request calls.
    pub enum Kind {
        /// A chat completion.
        Chat {
            /// Task of the client account.
            task: Name,
            /// Whether the caller requests a streamed answer.
            stream: bool,
            /// Session that the request belongs to, if any.
            session: Option<Session>,
        },
        /// A call of a plain service.
        Service {
            /// Name of the service.
            service: Name,
            /// Whether the call only reads (GET), and so may be repeated.
            read: bool,
        },
    }

    /// A session that a caller plans.
    #[derive(Copy, Eq)]
    pub struct Session {
        /// Number of the session, unique in the plan.
        pub number: u64,
        /// Whether the caller names the session; otherwise it uses the token that the entry
        /// returns.
        pub chosen: bool,
    }

    /// A planned request.
    pub struct Request {
        /// Number of the request, which makes its text unique.
        pub number: u64,
        /// Time at which the request is sent, since the start.
        pub at: Duration,
        /// Client account of the caller.
        pub account: Name,
        /// What the request calls.
        pub kind: Kind,
        /// Whether the request may run more than once.
        pub may_repeat: bool,
        /// Whether the request carries an idempotency key.
        pub keyed: bool,
        /// Whether the caller sends the request twice at the same time, to two entry hosts.
        pub twice: bool,
    }
}

impl Request {
    /// Returns the prompt or body, which is unique to the request.
    #[must_use]
    pub fn text(&self) -> String {
        match &self.kind {
            Kind::Chat { task, .. } => format!("{task} for {}, case {}", self.account, self.number),
            Kind::Service { .. } => format!("form of {}, case {}", self.account, self.number),
        }
    }

    /// Returns the session that the request belongs to, if any.
    #[must_use]
    pub fn session(&self) -> Option<Session> {
        match self.kind {
            Kind::Chat { session, .. } => session,
            Kind::Service { .. } => None,
        }
    }
}

/// Random draws for one request; each label has its own draw.
struct Draw {
    seed: u64,
    number: u64,
}

impl Draw {
    /// Draws a number from 0 to 1.
    fn share(&self, label: &str) -> f64 {
        draw::uniform(self.seed, &["demo", label, &self.number.to_string()])
    }

    /// Draws one of several choices by their weights.
    fn pick<'a, T>(&self, label: &str, choices: &'a [(T, f64)]) -> Option<&'a T> {
        let total: f64 = choices.iter().map(|(_, weight)| weight).sum();
        let mut remainder = self.share(label) * total;
        let choice = choices.iter().find(|(_, weight)| {
            remainder -= weight;
            remainder < 0.0
        });
        choice.or(choices.last()).map(|(choice, _)| choice)
    }
}

/// Draws all requests, in the order of their times.
#[must_use]
pub fn plan(deployment: &Deployment, requests: u64, seed: u64) -> Vec<Request> {
    let rate = RATE_PER_S.max(requests as f64 / RUN_MAX.as_secs_f64());
    let accounts = weighted_accounts(deployment);
    let drawn = (0..requests).filter_map(|number| {
        let at = Duration::from_secs_f64(number as f64 / rate);
        draw_request(deployment, &accounts, &Draw { seed, number }, at)
    });
    drawn.collect()
}

fn weighted_accounts(deployment: &Deployment) -> Vec<(Name, f64)> {
    let accounts = deployment.document.accounts.iter();
    let weight = |in_flight: u32| if in_flight == 0 { LARGE_ACCOUNT_WEIGHT } else { 1.0 };
    accounts.map(|(name, account)| (name.clone(), weight(account.limit.in_flight))).collect()
}

fn draw_request(
    deployment: &Deployment,
    accounts: &[(Name, f64)],
    draw: &Draw,
    at: Duration,
) -> Option<Request> {
    let session = draw_session(draw);
    // All requests of a session belong to one client account, so the session's number draws it.
    let draw_number = session.map_or(draw.number, |session| session.number);
    let name = Draw { seed: draw.seed, number: draw_number }.pick("account", accounts)?.clone();
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

fn draw_session(draw: &Draw) -> Option<Session> {
    if draw.share("in a session") >= 0.2 {
        return None;
    }
    let index = (draw.share("which session") * OPEN_SESSIONS as f64) as u64;
    let number = draw.number / SESSION_SPAN_REQUESTS * OPEN_SESSIONS + index;
    Some(Session { number, chosen: number.is_multiple_of(2) })
}
