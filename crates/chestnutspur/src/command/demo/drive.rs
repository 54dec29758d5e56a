//! Sends the planned requests at their times, and brings about the faults.

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
use super::traffic::{Kind, Request, Session};
use super::world::World;

/// Share of good answers of a version that has turned bad.
const BAD: f64 = 0.3;
/// When, as shares of the run, the version turns bad, and the platform goes away and comes back.
const TURNS_BAD: f64 = 0.5;
const OUTAGE: [f64; 2] = [0.65, 0.85];
const PROGRESS: Duration = Duration::from_secs(2);
const NEW_SESSION: &str = "new";

/// One sending of a request, and what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// What was asked.
    pub request: Request,
    /// The session it was sent in: a caller opens another one when its session has ended.
    pub session: Option<Name>,
    /// What came of it.
    pub outcome: Outcome,
}

impl Sent {
    /// What the audit needs of it.
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

/// All that callers saw, and where the faults came.
#[derive(Debug, Default)]
pub struct Journal {
    /// Every sending.
    pub sent: Vec<Sent>,
    /// The version that turned bad.
    pub turned_bad: Name,
    /// For each engine, how many runs it had received when it did.
    pub runs_before: Vec<u64>,
}

impl Journal {
    /// Ids of all requests answered whole.
    pub fn answered(&self) -> impl Iterator<Item = Name> {
        self.sent.iter().filter_map(|sent| match &sent.outcome {
            Outcome::Answered { request, .. } => Some(request.clone()),
            _ => None,
        })
    }
}

/// A session of one caller. Its requests wait for each other: each needs what the one before got.
#[derive(Default)]
struct Conversation {
    token: Token,
    round: u64,
}

struct Driver {
    callers: BTreeMap<Name, Caller>,
    entries: Vec<Client>,
    conversations: Mutex<BTreeMap<u64, Arc<tokio::sync::Mutex<Conversation>>>>,
    answered: AtomicU64,
    refused: AtomicU64,
}

/// Sends everything and waits for every outcome.
pub async fn drive(world: &World, deployment: &Deployment, plan: Vec<Request>) -> Journal {
    let driver = Arc::new(Driver::new(world, deployment));
    let length = plan.last().map_or(Duration::ZERO, |request| request.at);
    let total = plan.len();
    let mut journal = Journal { turned_bad: cheapest(deployment), ..Journal::default() };
    let mut sending = JoinSet::new();
    let start = Instant::now();
    let mut events = Events::new(length);
    let mut next_progress = PROGRESS;
    for (index, request) in plan.into_iter().enumerate() {
        tokio::time::sleep_until(start + request.at).await;
        events.due(request.at, world, &mut journal);
        if request.at >= next_progress {
            next_progress += PROGRESS;
            driver.progress(index, total);
        }
        if request.twice {
            sending.spawn(Arc::clone(&driver).send(request.clone(), 1));
        }
        sending.spawn(Arc::clone(&driver).send(request, 0));
    }
    events.due(Duration::MAX, world, &mut journal);
    while let Some(sent) = sending.join_next().await {
        match sent {
            Ok(sent) => journal.sent.push(sent),
            Err(error) => log::error!("demo: a caller failed: {error}"),
        }
    }
    driver.progress(total, total);
    journal
}

/// The cheapest version in full use: the one that most requests run on.
fn cheapest(deployment: &Deployment) -> Name {
    let versions = deployment.document.versions.iter();
    let live = versions.filter(|(_, version)| version.state == VersionState::Live);
    let cheapest = live.min_by(|(_, one), (_, other)| one.cost.total_cmp(&other.cost));
    cheapest.map(|(name, _)| name.clone()).unwrap_or_default()
}

/// The faults still to come.
struct Events {
    bad_at: Option<Duration>,
    down_at: Option<Duration>,
    up_at: Option<Duration>,
}

impl Events {
    fn new(length: Duration) -> Self {
        let [down, up] = OUTAGE.map(|share| Some(length.mul_f64(share)));
        Self { bad_at: Some(length.mul_f64(TURNS_BAD)), down_at: down, up_at: up }
    }

    fn due(&mut self, now: Duration, world: &World, journal: &mut Journal) {
        let reached = |at: &mut Option<Duration>| at.take_if(|at| *at <= now).is_some();
        if reached(&mut self.bad_at) {
            turn_bad(world, journal);
        }
        if reached(&mut self.down_at) {
            eprintln!("demo: the platform is down");
            world.platform.close();
        }
        if reached(&mut self.up_at) {
            eprintln!("demo: the platform is back");
            world.platform.open();
        }
    }
}

fn turn_bad(world: &World, journal: &mut Journal) {
    eprintln!("demo: {} turns bad", journal.turned_bad);
    let bad = BTreeMap::from([(journal.turned_bad.clone(), BAD)]);
    for engine in &world.engines {
        engine.set_faults(Faults { bad: bad.clone(), ..Faults::default() });
        journal.runs_before.push(engine.runs().len() as u64);
    }
}

impl Driver {
    fn new(world: &World, deployment: &Deployment) -> Self {
        let version = deployment.document.versions.values().next();
        let model = version.map(|version| version.model.clone()).unwrap_or_default();
        let caller = |account: &Name| {
            let key = deployment.account_key(account).into();
            (account.clone(), Caller { key, model: model.clone() })
        };
        Self {
            callers: deployment.document.accounts.keys().map(caller).collect(),
            entries: world.entries.iter().copied().map(Client::new).collect(),
            conversations: Mutex::default(),
            answered: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    fn progress(&self, sent: usize, total: usize) {
        let answered = self.answered.load(Ordering::Relaxed);
        let refused = self.refused.load(Ordering::Relaxed);
        eprintln!("demo: {sent} of {total} sent, {answered} answered, {refused} refused or broken");
    }

    /// Sends one request, as the balancer would: to one entry host after another.
    async fn send(self: Arc<Self>, request: Request, offset: u64) -> Sent {
        let count = self.entries.len().max(1) as u64;
        let index = usize::try_from((request.number + offset) % count).unwrap_or_default();
        let sent = match (self.callers.get(&request.account), self.entries.get(index)) {
            (Some(caller), Some(entry)) => self.ask(caller, entry, request).await,
            _ => {
                let outcome = Outcome::Broken("nobody to ask".to_owned());
                Sent { request, session: None, outcome }
            }
        };
        let counter = match sent.outcome {
            Outcome::Answered { .. } => &self.answered,
            _ => &self.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        sent
    }

    async fn ask(&self, caller: &Caller, entry: &Client, request: Request) -> Sent {
        let Some(session) = request.session() else {
            let outcome = caller.ask(entry, &request, &mut Token::default()).await;
            return Sent { request, session: None, outcome };
        };
        let conversation = self.conversation(session.number);
        let mut conversation = conversation.lock().await;
        let name = conversation.begin(session, &request);
        let outcome = caller.ask(entry, &request, &mut conversation.token).await;
        conversation.after(&outcome);
        Sent { request, session: Some(name), outcome }
    }

    fn conversation(&self, number: u64) -> Arc<tokio::sync::Mutex<Conversation>> {
        let mut all = self.conversations.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(all.entry(number).or_default())
    }
}

impl Conversation {
    /// Names the session that the next request belongs to.
    fn begin(&mut self, session: Session, request: &Request) -> Name {
        let name = format!("{}-session-{}-{}", request.account, session.number, self.round);
        let first = || match session.chosen {
            true => name.clone(),
            false => NEW_SESSION.to_owned(),
        };
        self.token.0.get_or_insert_with(first);
        name.into()
    }

    /// A session that has ended, or whose first answer never came, is followed by another.
    fn after(&mut self, outcome: &Outcome) {
        let ended = match outcome {
            Outcome::Refused(refusal) => refusal.code == Code::SessionEnded,
            _ => false,
        };
        let never_began = self.token.0.as_deref() == Some(NEW_SESSION);
        if ended || never_began {
            self.token = Token::default();
            self.round += 1;
        }
    }
}

/// Whether a request is a chat completion.
#[must_use]
pub fn is_chat(request: &Request) -> bool {
    matches!(request.kind, Kind::Chat { .. })
}
