//! Sends the planned requests at their times and injects the faults.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use policy::name::Name;
use standin::backend::Faults;
use standin::client::Client;
use standin::deployment::Deployment;
use standin::{audit, draw};
use tokio::task::JoinSet;
use tokio::time::Instant;
use wire::configuration::VersionState;
use wire::refusal::{Code, Ran};

use super::caller::{Caller, Outcome, Token};
use super::fleet::Fleet;
use super::traffic::{Kind, Request, Session};

/// Share of good answers among all answers of the version that has turned bad.
const BAD_VERSION_GOOD_SHARE: f64 = 0.3;
/// When the version turns bad, as a fraction of the run's length.
const TURN_BAD_FRACTION: f64 = 0.5;
/// When the platform goes down and when it comes back, as fractions of the run's length.
const OUTAGE_FRACTIONS: [f64; 2] = [0.65, 0.85];
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Value of the session header that asks for a new session.
const NEW_SESSION: &str = "new";

/// A request that a caller sent, and its outcome. A request sent twice has two exchanges.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The planned request.
    pub request: Request,
    /// Name of the session that the request was sent in, unique in the run; none outside a session.
    /// When a session has ended, its caller continues in another one.
    pub session: Option<Name>,
    /// How the request ended for its caller.
    pub outcome: Outcome,
}

impl Exchange {
    /// Returns what the audit reads of this exchange.
    #[must_use]
    pub fn record(&self) -> audit::CallRecord {
        let end = match &self.outcome {
            Outcome::Answered { request, .. } => audit::End::Answered { request: request.clone() },
            Outcome::Wrong(_) => audit::End::Wrong,
            Outcome::Refused(refusal) if refusal.ran == Ran::No => audit::End::NotRun,
            Outcome::Refused(_) | Outcome::Broken(_) => audit::End::Unknown,
        };
        audit::CallRecord {
            digest: draw::digest(self.request.text()).into(),
            account: self.request.account.clone(),
            service: !is_chat(&self.request),
            may_repeat: self.request.may_repeat,
            session: self.session.clone(),
            end,
        }
    }
}

/// What the callers saw, and the state in which the version turned bad.
#[derive(Debug, Default)]
pub struct Journal {
    /// Every request sent, in the order in which they ended.
    pub exchanges: Vec<Exchange>,
    /// Name of the version that turns bad.
    pub turned_bad: Name,
    /// Number of runs that each engine had received when the version turned bad.
    pub runs_before: Vec<u64>,
}

impl Journal {
    /// Returns the ids of all requests that were answered completely.
    pub fn answered(&self) -> impl Iterator<Item = Name> {
        self.exchanges.iter().filter_map(|exchange| match &exchange.outcome {
            Outcome::Answered { request, .. } => Some(request.clone()),
            _ => None,
        })
    }
}

/// State of one caller's session. Its requests are sent one after the other, because each needs the
/// token that the answer before returned.
#[derive(Default)]
struct SessionState {
    token: Token,
    /// Number of sessions that the caller has ended, which makes the next one's name unique.
    round: u64,
}

struct Driver {
    callers: BTreeMap<Name, Caller>,
    entries: Vec<Client>,
    /// By the number of the planned session.
    sessions: Mutex<BTreeMap<u64, Arc<tokio::sync::Mutex<SessionState>>>>,
    answered: AtomicU64,
    refused: AtomicU64,
}

/// Sends all planned requests, injects the faults and waits for all outcomes.
pub async fn drive(fleet: &Fleet, deployment: &Deployment, plan: Vec<Request>) -> Journal {
    let driver = Arc::new(Driver::new(fleet, deployment));
    let length = plan.last().map_or(Duration::ZERO, |request| request.at);
    let total = plan.len();
    let mut journal = Journal { turned_bad: cheapest(deployment), ..Journal::default() };
    let mut sending = JoinSet::new();
    let start = Instant::now();
    let mut faults = FaultSchedule::new(length);
    let mut next_progress = PROGRESS_INTERVAL;
    for (index, request) in plan.into_iter().enumerate() {
        tokio::time::sleep_until(start + request.at).await;
        faults.inject_due(request.at, fleet, &mut journal);
        if request.at >= next_progress {
            next_progress += PROGRESS_INTERVAL;
            driver.print_progress(index, total);
        }
        if request.twice {
            sending.spawn(Arc::clone(&driver).send(request.clone(), 1));
        }
        sending.spawn(Arc::clone(&driver).send(request, 0));
    }
    faults.inject_due(Duration::MAX, fleet, &mut journal);
    while let Some(result) = sending.join_next().await {
        match result {
            Ok(exchange) => journal.exchanges.push(exchange),
            Err(error) => log::error!("demo: a caller failed: {error}"),
        }
    }
    driver.print_progress(total, total);
    journal
}

/// Returns the cheapest live version, which most requests run on.
fn cheapest(deployment: &Deployment) -> Name {
    let versions = deployment.document.versions.iter();
    let live = versions.filter(|(_, version)| version.state == VersionState::Live);
    let cheapest = live.min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost));
    cheapest.map(|(name, _)| name.clone()).unwrap_or_default()
}

/// Times, since the start, of the faults that have not been injected yet.
struct FaultSchedule {
    bad_at: Option<Duration>,
    down_at: Option<Duration>,
    up_at: Option<Duration>,
}

impl FaultSchedule {
    fn new(length: Duration) -> Self {
        let [down, up] = OUTAGE_FRACTIONS.map(|fraction| Some(length.mul_f64(fraction)));
        Self { bad_at: Some(length.mul_f64(TURN_BAD_FRACTION)), down_at: down, up_at: up }
    }

    fn inject_due(&mut self, now: Duration, fleet: &Fleet, journal: &mut Journal) {
        let is_due = |at: &mut Option<Duration>| at.take_if(|at| *at <= now).is_some();
        if is_due(&mut self.bad_at) {
            turn_bad(fleet, journal);
        }
        if is_due(&mut self.down_at) {
            eprintln!("demo: the platform is down");
            fleet.platform.close();
        }
        if is_due(&mut self.up_at) {
            eprintln!("demo: the platform is back");
            fleet.platform.open();
        }
    }
}

fn turn_bad(fleet: &Fleet, journal: &mut Journal) {
    eprintln!("demo: {} turns bad", journal.turned_bad);
    let bad = BTreeMap::from([(journal.turned_bad.clone(), BAD_VERSION_GOOD_SHARE)]);
    for engine in &fleet.engines {
        engine.set_faults(Faults { bad: bad.clone(), ..Faults::default() });
        journal.runs_before.push(engine.runs().len() as u64);
    }
}

impl Driver {
    fn new(fleet: &Fleet, deployment: &Deployment) -> Self {
        let version = deployment.document.versions.values().next();
        let model = version.map(|version| version.model.clone()).unwrap_or_default();
        let caller = |account: &Name| {
            let key = deployment.account_key(account).into();
            (account.clone(), Caller { key, model: model.clone() })
        };
        Self {
            callers: deployment.document.accounts.keys().map(caller).collect(),
            entries: fleet.entries.iter().copied().map(Client::new).collect(),
            sessions: Mutex::default(),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    fn print_progress(&self, sent: usize, total: usize) {
        let answered = self.answered.load(Ordering::Relaxed);
        let refused = self.refused.load(Ordering::Relaxed);
        eprintln!("demo: {sent} of {total} sent, {answered} answered, {refused} refused or broken");
    }

    /// Sends one request to the next entry host in turn, as the callers' balancer would.
    async fn send(self: Arc<Self>, request: Request, offset: u64) -> Exchange {
        let count = self.entries.len().max(1) as u64;
        let index = usize::try_from((request.number + offset) % count).unwrap_or_default();
        let exchange = match (self.callers.get(&request.account), self.entries.get(index)) {
            (Some(caller), Some(entry)) => self.send_to(caller, entry, request).await,
            _ => {
                let outcome = Outcome::Broken("no caller or no entry host".to_owned());
                Exchange { request, session: None, outcome }
            }
        };
        let counter = match exchange.outcome {
            Outcome::Answered { .. } => &self.answered,
            _ => &self.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        exchange
    }

    async fn send_to(&self, caller: &Caller, entry: &Client, request: Request) -> Exchange {
        let Some(session) = request.session() else {
            let outcome = caller.send(entry, &request, &mut Token::default()).await;
            return Exchange { request, session: None, outcome };
        };
        let state = self.session_state(session.number);
        let mut state = state.lock().await;
        let name = state.prepare(session, &request);
        let outcome = caller.send(entry, &request, &mut state.token).await;
        state.update(&outcome);
        Exchange { request, session: Some(name), outcome }
    }

    fn session_state(&self, number: u64) -> Arc<tokio::sync::Mutex<SessionState>> {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(sessions.entry(number).or_default())
    }
}

impl SessionState {
    /// Returns the name of the session that the next request belongs to, and sets the token if the
    /// session is new.
    fn prepare(&mut self, session: Session, request: &Request) -> Name {
        let name = format!("{}-session-{}-{}", request.account, session.number, self.round);
        let initial = || match session.chosen {
            true => name.clone(),
            false => NEW_SESSION.to_owned(),
        };
        self.token.0.get_or_insert_with(initial);
        name.into()
    }

    /// Starts another session if this one has ended or its first answer never came.
    fn update(&mut self, outcome: &Outcome) {
        let has_ended = match outcome {
            Outcome::Refused(refusal) => refusal.code == Code::SessionEnded,
            _ => false,
        };
        let never_began = self.token.0.as_deref() == Some(NEW_SESSION);
        if has_ended || never_began {
            self.token = Token::default();
            self.round += 1;
        }
    }
}

/// Returns whether a request is a chat completion; otherwise it calls a plain service.
#[must_use]
pub fn is_chat(request: &Request) -> bool {
    matches!(request.kind, Kind::Chat { .. })
}
