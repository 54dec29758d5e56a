//! Chat completions: session, version, cascade.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Response};
use policy::name::Name;
use policy::select::Plan;
use wire::claim::Claim;
use wire::configuration::{Task, Version};
use wire::refusal::{Code, Ran, Refusal};

use crate::answer::Answer;
use crate::chain::{From, Trace};
use crate::clock;
use crate::dispatch;
use crate::ending::{Ending, Held};
use crate::filter::admit::{self, Granted, Place};
use crate::filter::bill::Billing;
use crate::filter::chat::Chat;
use crate::filter::open::Slot;
use crate::filter::session::{self, Session};
use crate::filter::{account, claim, select};
use crate::job::Job;
use crate::rating;
use crate::reply::{Content, Reply};
use crate::respond::{self, Extra};

const PATH: &str = "/v1/chat/completions";

/// What was found out about a request before it runs.
struct Request<'a> {
    from: &'a From<'a>,
    task_name: &'a Name,
    task: &'a Task,
    chat: Chat,
    session: Session,
    deadline: Instant,
}

/// Which call of a request's plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The one of a plan without a cascade.
    Only,
    /// A cascade's cheap one, rated before anything is passed on.
    First,
    /// A cascade's better one.
    Second,
}

/// What the calls of a request came to.
struct Done {
    reply: Reply,
    version: Name,
    cost: f64,
    place: Option<Place>,
    rate: bool,
}

/// Answers a chat completion.
///
/// # Errors
/// A refusal.
pub async fn serve(
    from: &From<'_>,
    body: Bytes,
    slot: Slot,
    trace: &mut Trace,
) -> Result<Response<Answer>, Refusal> {
    let (task_name, task) = account::task(from.account, from.call)?;
    trace.task = Some(task_name.clone());
    let chat = Chat::parse(&body)?;
    let deadline = from.call.deadline(task.deadline_ms)?;
    let session = session::read(from.snapshot, from.account_name, from.call)?;
    let granted = admit::grant(from.state, from.snapshot, from.account_name, from.account)?;
    let mut request = Request { from, task_name, task, chat, session, deadline };
    let plan = request.plan().await?;
    let session = request.token(&plan)?;
    let done = request.run(plan).await?;
    let (reply, ending) = request.ending(done, slot, granted);
    respond::respond(from.state, reply, ending, Extra { session }).await
}

impl Request<'_> {
    async fn plan(&self) -> Result<Plan, Refusal> {
        let session = match &self.session {
            Session::None | Session::New => return self.draw(),
            Session::Token(token) => token.version.clone(),
            Session::Chosen(name) => self.pinned(name).await?,
        };
        self.check_session(&session)?;
        Ok(Plan::Single(session))
    }

    fn draw(&self) -> Result<Plan, Refusal> {
        let From { snapshot, account_name, account, .. } = *self.from;
        let ask = select::Ask {
            account_name,
            account,
            task_name: self.task_name,
            model: &self.chat.model,
            bound: self.session.is_bound(),
        };
        select::plan(snapshot, &ask, rand::random())
    }

    /// The version of a caller-chosen session.
    ///
    /// When nothing takes new sessions the home is asked all the same: old sessions go on while
    /// their version drains. An empty version asks only, and pins nothing.
    async fn pinned(&self, name: &Name) -> Result<Name, Refusal> {
        let (drawn, refusal) = match self.draw() {
            Ok(Plan::Single(version) | Plan::Cascade { first: version, .. }) => (version, None),
            Err(refusal) if refusal.code == Code::NoBackend => (Name::default(), Some(refusal)),
            Err(refusal) => return Err(refusal),
        };
        let From { state, account_name, .. } = *self.from;
        let version = session::pin(state, account_name, name, drawn, self.deadline).await?;
        match refusal {
            Some(refusal) if version.is_empty() => Err(refusal),
            _ => Ok(version),
        }
    }

    fn check_session(&self, version: &Name) -> Result<(), Refusal> {
        session::check(self.from.snapshot, version)?;
        let model = self.from.snapshot.version(version).map(|version| &version.model);
        let asked = self.chat.model.as_str();
        match () {
            () if !self.from.account.versions.contains(version) => Err(Refusal::not_run(
                Code::SessionEnded,
                "the session ended: the account may no longer use its version",
            )),
            () if asked != version.as_str()
                && model.is_none_or(|model| asked != model.as_str()) =>
            {
                Err(Refusal::not_run(Code::BadSession, "the session is on another model"))
            }
            () => Ok(()),
        }
    }

    /// The token of a session that begins here. A request without a session gets one as well if
    /// one version answers it, so that a caller can go on with it; a cascade's has no one version.
    fn token(&self, plan: &Plan) -> Result<Option<String>, Refusal> {
        let From { state, snapshot, account_name, .. } = *self.from;
        let begins = matches!(self.session, Session::None | Session::New);
        let Plan::Single(version) = plan else { return Ok(None) };
        let token = begins.then(|| session::sign(state, snapshot, account_name, version)).flatten();
        match token {
            None if self.session == Session::New => Err(Refusal::not_run(
                Code::NotReady,
                "the configuration has no key to sign sessions with",
            )),
            token => Ok(token),
        }
    }

    async fn run(&mut self, plan: Plan) -> Result<Done, Refusal> {
        match plan {
            Plan::Single(version) => self.call(version, Step::Only).await,
            Plan::Cascade { first, then } => self.cascade(first, then).await,
        }
    }

    /// The cheap version answers, its answer is rated, and the better one answers if it is bad.
    ///
    /// Without a rating in time the better one answers too: the cheap one alone does not reach
    /// the task's target. If the better one can't, the answer at hand is better than none.
    async fn cascade(&mut self, first: Name, then: Name) -> Result<Done, Refusal> {
        let mut cheap = match self.call(first, Step::First).await {
            Ok(cheap) => cheap,
            // What the caller learns of the second must stay true of the first.
            Err(first) => {
                let result = self.call(then, Step::Second).await;
                return result
                    .map_err(|then| if first.ran == Ran::No { then } else { unsure(then) });
            }
        };
        if !cheap.rate || self.is_good(&cheap).await == Some(true) {
            cheap.rate = false;
            return Ok(cheap);
        }
        // The second call may need the very place that the first one held.
        cheap.place = None;
        match self.call(then, Step::Second).await {
            Ok(better) => Ok(Done { cost: cheap.cost + better.cost, ..better }),
            Err(_) => Ok(Done { rate: false, ..cheap }),
        }
    }

    async fn is_good(&self, done: &Done) -> Option<bool> {
        let From { state, call, .. } = *self.from;
        let Content::Whole(bytes) = &done.reply.content else { return None };
        let text = respond::text(&done.reply.head, bytes)?;
        rating::rate(state, &call.id, &done.version, self.task_name, text, self.deadline).await
    }

    /// `continued` is a second call: were it refused under load, the first one's work would be lost
    /// and its poor answer passed on.
    async fn place(&self, version: &Name, continued: bool) -> Result<Place, Refusal> {
        let From { state, snapshot, account_name, .. } = *self.from;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let ask = policy::admit::Arrival::new(
            account_name.clone(),
            self.task.priority,
            clock::now() + u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        );
        let ask = if continued { ask.continued() } else { ask };
        admit::enter(state, snapshot, &self.version(version)?.pool, &ask).await
    }

    fn version(&self, name: &Name) -> Result<&Version, Refusal> {
        self.from.snapshot.version(name).ok_or_else(|| {
            Refusal::not_run(Code::NotFound, format!("no version {:?}", name.as_str()))
        })
    }

    async fn call(&mut self, version: Name, step: Step) -> Result<Done, Refusal> {
        let place = self.place(&version, step == Step::Second).await?;
        let (rate, whole) = match step {
            Step::Only => (self.from.state.ratings.selects(self.from.snapshot, &version), false),
            Step::First => (true, true),
            // It answers what the first could not: rated, it would look worse than it is.
            Step::Second => (false, false),
        };
        let job = self.job(&version, rate, whole)?;
        let reply = dispatch::dispatch(self.from.state, &job).await?;
        // The model engine refused the request itself, so there is no work to pay for or rate.
        let refused = reply.head.status.is_client_error();
        let cost = if refused { 0.0 } else { self.version(&version)?.cost };
        Ok(Done { reply, version, cost, place: Some(place), rate: rate && !refused })
    }

    fn job(&mut self, name: &Name, text: bool, whole: bool) -> Result<Job, Refusal> {
        let body = self.chat.body_for(name);
        let version = self.version(name)?;
        let first_byte = Duration::from_millis(version.first_byte_ms);
        Ok(Job {
            id: self.from.call.id.clone(),
            account: self.from.account_name.clone(),
            task: self.task_name.clone(),
            version: Some(name.clone()),
            pool: version.pool.clone(),
            may_repeat: self.task.may_repeat,
            deadline: self.deadline,
            first_byte,
            reused_first_byte: first_byte,
            between_bytes: Duration::from_millis(version.between_bytes_ms),
            affinity: Some(self.chat.affinity()),
            claim: self.claim()?,
            whole,
            text,
            method: Method::POST,
            path: PATH.to_owned(),
            headers: self.headers(name),
            body,
        })
    }

    fn claim(&self) -> Result<Option<Claim>, Refusal> {
        let key = self.from.call.named(wire::backend::IDEMPOTENCY_KEY)?;
        Ok(key.filter(|_| !self.task.may_repeat).map(|key| Claim {
            account: self.from.account_name.clone(),
            key,
            request: self.from.call.id.clone(),
            keep_ms: claim::KEEP_MS,
        }))
    }

    fn headers(&self, version: &Name) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let accept = if self.chat.stream() { "text/event-stream" } else { "application/json" };
        headers.insert(ACCEPT, HeaderValue::from_static(accept));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(version) = HeaderValue::from_str(version) {
            headers.insert(HeaderName::from_static(wire::backend::VERSION), version);
        }
        if let Ok(task) = HeaderValue::from_str(self.task_name) {
            headers.insert(HeaderName::from_static(wire::backend::TASK), task);
        }
        let priority = HeaderValue::from(u16::from(self.task.priority));
        headers.insert(HeaderName::from_static(wire::backend::PRIORITY), priority);
        headers
    }

    fn ending(&self, done: Done, slot: Slot, granted: Granted) -> (Reply, Ending) {
        let From { state, call, account_name, .. } = *self.from;
        let mut billing = Billing::new(
            state.clone(),
            call.id.clone(),
            account_name.clone(),
            self.task_name.clone(),
            done.version.clone(),
        );
        billing.add(done.cost);
        let ending = Ending {
            state: state.clone(),
            id: call.id.clone(),
            account: account_name.clone(),
            task: self.task_name.clone(),
            version: Some(done.version),
            started: call.started,
            first_byte: call.started.elapsed(),
            deadline: self.deadline,
            rate: done.rate,
            billing,
            held: Held { slot, granted, place: done.place },
        };
        (done.reply, ending)
    }
}

fn unsure(refusal: Refusal) -> Refusal {
    Refusal { ran: Ran::Unknown, ..refusal }
}
