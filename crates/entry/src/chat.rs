//! Serves chat completions: finds the session, picks a version or a cascade of two, and calls it.

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
use crate::chain::{Context, Trace};
use crate::clock;
use crate::dispatch;
use crate::ending::{Ending, Permits};
use crate::filter::admit::{self, Grant, Place};
use crate::filter::bill::Billing;
use crate::filter::chat::Chat;
use crate::filter::open::Slot;
use crate::filter::session::{self, Session};
use crate::filter::{account, claim, select};
use crate::job::Job;
use crate::rating;
use crate::reply::{Content, Reply};
use crate::respond::{self, OwnHeaders};

const PATH: &str = "/v1/chat/completions";

/// A chat completion request whose account, task, body and session are known.
struct Request<'a> {
    ctx: &'a Context<'a>,
    task_name: &'a Name,
    task: &'a Task,
    chat: Chat,
    session: Session,
    deadline: Instant,
}

/// The position of a call in its request's plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The single call of a plan without a cascade.
    Only,
    /// The cheap call of a cascade, whose answer is rated before any of it reaches the caller.
    First,
    /// The call to the better version of a cascade.
    Second,
}

/// The answer that the caller gets, and what the calls for it cost.
struct Completion {
    reply: Reply,
    version: Name,
    cost: f64,
    place: Option<Place>,
    wants_rating: bool,
}

/// Answers a chat completion.
///
/// # Errors
/// The refusal that the caller is sent instead of an answer.
pub async fn serve(
    ctx: &Context<'_>,
    body: Bytes,
    slot: Slot,
    trace: &mut Trace,
) -> Result<Response<Answer>, Refusal> {
    let (task_name, task) = account::find_task(ctx.account, ctx.call)?;
    trace.task = Some(task_name.clone());
    let chat = Chat::parse(&body)?;
    let deadline = ctx.call.deadline(task.deadline_ms)?;
    let session = session::read(ctx.snapshot, ctx.account_name, ctx.call)?;
    let grant = admit::grant(ctx.state, ctx.snapshot, ctx.account_name, ctx.account)?;
    let mut request = Request { ctx, task_name, task, chat, session, deadline };
    let plan = request.plan().await?;
    let session = request.sign_token(&plan)?;
    let completion = request.run(plan).await?;
    let (reply, ending) = request.ending(completion, slot, grant);
    respond::respond(ctx.state, reply, ending, OwnHeaders { session }).await
}

impl Request<'_> {
    async fn plan(&self) -> Result<Plan, Refusal> {
        let session = match &self.session {
            Session::None | Session::New => return self.draw(),
            Session::Token(token) => token.version.clone(),
            Session::Chosen(name) => self.pin_version(name).await?,
        };
        self.check_session(&session)?;
        Ok(Plan::Single(session))
    }

    fn draw(&self) -> Result<Plan, Refusal> {
        let Context { snapshot, account_name, account, .. } = *self.ctx;
        let query = select::Query {
            account_name,
            account,
            task_name: self.task_name,
            model: &self.chat.model,
            is_bound: self.session.is_bound(),
        };
        select::plan(snapshot, &query, rand::random())
    }

    /// The version of a session that the caller named itself.
    ///
    /// The session's home is asked even if no version accepts new sessions, because existing
    /// sessions continue while their version drains. In that case the drawn version is empty,
    /// which queries the home without pinning anything.
    async fn pin_version(&self, name: &Name) -> Result<Name, Refusal> {
        let (drawn, refusal) = match self.draw() {
            Ok(Plan::Single(version) | Plan::Cascade { first: version, .. }) => (version, None),
            Err(refusal) if refusal.code == Code::NoBackend => (Name::default(), Some(refusal)),
            Err(refusal) => return Err(refusal),
        };
        let Context { state, account_name, .. } = *self.ctx;
        let version = session::pin(state, account_name, name, drawn, self.deadline).await?;
        match refusal {
            Some(refusal) if version.is_empty() => Err(refusal),
            _ => Ok(version),
        }
    }

    fn check_session(&self, version: &Name) -> Result<(), Refusal> {
        session::check(self.ctx.snapshot, version)?;
        let model = self.ctx.snapshot.version(version).map(|version| &version.model);
        let requested = self.chat.model.as_str();
        match () {
            () if !self.ctx.account.versions.contains(version) => Err(Refusal::not_run(
                Code::SessionEnded,
                "the session ended: the account may no longer use its version",
            )),
            () if requested != version.as_str()
                && model.is_none_or(|model| requested != model.as_str()) =>
            {
                Err(Refusal::not_run(Code::BadSession, "the session uses another model"))
            }
            () => Ok(()),
        }
    }

    /// The signed token if a session begins with this request. A request without a session gets a
    /// token as well, so that the caller can continue with its version. A cascade gets none,
    /// because either of two versions may answer.
    fn sign_token(&self, plan: &Plan) -> Result<Option<String>, Refusal> {
        let Context { state, snapshot, account_name, .. } = *self.ctx;
        let is_beginning = matches!(self.session, Session::None | Session::New);
        let Plan::Single(version) = plan else { return Ok(None) };
        let token =
            is_beginning.then(|| session::sign(state, snapshot, account_name, version)).flatten();
        match token {
            None if self.session == Session::New => Err(Refusal::not_run(
                Code::NotReady,
                "the configuration has no key for signing sessions",
            )),
            token => Ok(token),
        }
    }

    async fn run(&mut self, plan: Plan) -> Result<Completion, Refusal> {
        match plan {
            Plan::Single(version) => self.call(version, Stage::Only).await,
            Plan::Cascade { first, then } => self.cascade(first, then).await,
        }
    }

    /// Calls the cheap version, has its answer rated, and calls the better version if the answer
    /// is bad.
    ///
    /// The better version is also called if no rating arrives in time, because the cheap version
    /// alone does not reach the task's quality target. If the better version fails, the caller
    /// gets the cheap answer, which is better than none.
    async fn cascade(&mut self, first: Name, then: Name) -> Result<Completion, Refusal> {
        let mut cheap = match self.call(first, Stage::First).await {
            Ok(cheap) => cheap,
            // The second refusal answers for both calls: it may say "not run" only if the first
            // call did not run either.
            Err(first) => {
                let result = self.call(then, Stage::Second).await;
                return result
                    .map_err(|then| if first.ran == Ran::No { then } else { run_unknown(then) });
            }
        };
        if !cheap.wants_rating || self.is_good(&cheap).await == Some(true) {
            cheap.wants_rating = false;
            return Ok(cheap);
        }
        // The second call may need the place in the pool that the first call held.
        cheap.place = None;
        match self.call(then, Stage::Second).await {
            Ok(better) => Ok(Completion { cost: cheap.cost + better.cost, ..better }),
            Err(_) => Ok(Completion { wants_rating: false, ..cheap }),
        }
    }

    async fn is_good(&self, completion: &Completion) -> Option<bool> {
        let Context { state, call, .. } = *self.ctx;
        let Content::Whole(bytes) = &completion.reply.content else { return None };
        let text = respond::text(&completion.reply.head, bytes)?;
        rating::rate(state, &call.id, &completion.version, self.task_name, text, self.deadline)
            .await
    }

    /// Waits for a place in the version's pool. `is_continued` marks the second call of a cascade:
    /// if overload refused it, the first call's work would be lost and the caller would get its
    /// poor answer.
    async fn enter_pool(&self, version: &Name, is_continued: bool) -> Result<Place, Refusal> {
        let Context { state, snapshot, account_name, .. } = *self.ctx;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let arrival = policy::admit::Arrival::new(
            account_name.clone(),
            self.task.priority,
            clock::now() + u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        );
        let arrival = if is_continued { arrival.continued() } else { arrival };
        admit::enter(state, snapshot, &self.version(version)?.pool, &arrival).await
    }

    fn version(&self, name: &Name) -> Result<&Version, Refusal> {
        self.ctx.snapshot.version(name).ok_or_else(|| {
            Refusal::not_run(Code::NotFound, format!("no version {:?}", name.as_str()))
        })
    }

    async fn call(&mut self, version: Name, stage: Stage) -> Result<Completion, Refusal> {
        let place = self.enter_pool(&version, stage == Stage::Second).await?;
        let (wants_rating, is_buffered) = match stage {
            Stage::Only => (self.ctx.state.ratings.selects(self.ctx.snapshot, &version), false),
            Stage::First => (true, true),
            // The second call gets the requests that the first could not answer well, so ratings of
            // its answers would make the version look worse than it is.
            Stage::Second => (false, false),
        };
        let job = self.job(&version, wants_rating, is_buffered)?;
        let reply = dispatch::dispatch(self.ctx.state, &job).await?;
        // A 4xx status means that the model engine rejected the request: nothing to bill or rate.
        let refused = reply.head.status.is_client_error();
        let cost = if refused { 0.0 } else { self.version(&version)?.cost };
        Ok(Completion {
            reply,
            version,
            cost,
            place: Some(place),
            wants_rating: wants_rating && !refused,
        })
    }

    fn job(&mut self, name: &Name, wants_text: bool, is_buffered: bool) -> Result<Job, Refusal> {
        let body = self.chat.body_for(name);
        let version = self.version(name)?;
        let first_byte_timeout = Duration::from_millis(version.first_byte_ms);
        Ok(Job {
            id: self.ctx.call.id.clone(),
            account: self.ctx.account_name.clone(),
            task: self.task_name.clone(),
            version: Some(name.clone()),
            pool: version.pool.clone(),
            may_repeat: self.task.may_repeat,
            deadline: self.deadline,
            first_byte_timeout,
            reused_first_byte_timeout: first_byte_timeout,
            between_bytes_timeout: Duration::from_millis(version.between_bytes_ms),
            affinity: Some(self.chat.affinity()),
            claim: self.claim()?,
            is_buffered,
            wants_text,
            method: Method::POST,
            path: PATH.to_owned(),
            headers: self.headers(name),
            body,
        })
    }

    fn claim(&self) -> Result<Option<Claim>, Refusal> {
        let key = self.ctx.call.parse_name(wire::backend::IDEMPOTENCY_KEY)?;
        Ok(key.filter(|_| !self.task.may_repeat).map(|key| Claim {
            account: self.ctx.account_name.clone(),
            key,
            request: self.ctx.call.id.clone(),
            keep_ms: claim::RETENTION_MS,
        }))
    }

    fn headers(&self, version: &Name) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let accept =
            if self.chat.is_streaming() { "text/event-stream" } else { "application/json" };
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

    fn ending(&self, completion: Completion, slot: Slot, grant: Grant) -> (Reply, Ending) {
        let Context { state, call, account_name, .. } = *self.ctx;
        let mut billing = Billing::new(
            state.clone(),
            call.id.clone(),
            account_name.clone(),
            self.task_name.clone(),
            completion.version.clone(),
        );
        billing.add(completion.cost);
        let ending = Ending {
            state: state.clone(),
            id: call.id.clone(),
            account: account_name.clone(),
            task: self.task_name.clone(),
            version: Some(completion.version),
            started: call.started,
            first_byte: call.started.elapsed(),
            deadline: self.deadline,
            wants_rating: completion.wants_rating,
            billing,
            permits: Permits { slot, grant, place: completion.place },
        };
        (completion.reply, ending)
    }
}

fn run_unknown(refusal: Refusal) -> Refusal {
    Refusal { ran: Ran::Unknown, ..refusal }
}
