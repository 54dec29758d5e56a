//! Processes one request: limit, plan, queue, placement on a backend server, rating and answer.

use policy::admit::{Arrival, Evicted, Verdict};
use policy::limit;
use policy::name::Name;
use policy::retry::{self, Attempt};
use policy::select::Plan;
use policy::time::Millis;
use wire::configuration::Task;

use super::knowledge::Rating;
use super::pool::Outcome;
use super::tally::Refusals;
use super::{Replay, Step};
use crate::trace::Request;

/// Maximum number of backend servers that one call is sent to.
const ATTEMPTS_MAX: usize = 3;

/// The state of a request from arrival to answer or refusal.
#[derive(Clone, Debug)]
pub struct Job {
    request: usize,
    host: usize,
    plan: Plan,
    /// Whether the request has moved on to the second version of its cascade.
    escalated: bool,
    deadline: Millis,
    may_repeat: bool,
    is_finished: bool,
}

/// A call of a version on a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    job: usize,
    /// Index of the entry host that made the call.
    pub host: usize,
    /// Version that the call runs on.
    pub version: Name,
    pool: Name,
    worker: usize,
    sent: Millis,
    /// Whether the version had already turned bad when the call was made.
    pub is_exposed: bool,
    /// Whether the call has ended or broken off.
    pub is_finished: bool,
}

impl Replay<'_> {
    pub(super) fn arrive(&mut self, index: usize) {
        let trace = self.trace;
        let request = &trace.requests[index];
        let Some(task) = trace.task(request) else { return };
        let host = self.draw.below(self.hosts.len() as u64) as usize;
        let job = Job {
            request: index,
            host,
            plan: Plan::Single(Name::default()),
            escalated: false,
            deadline: self.now + request.deadline_ms.unwrap_or(task.deadline_ms),
            may_repeat: task.may_repeat && request.may_repeat.unwrap_or(true),
            is_finished: false,
        };
        self.jobs.push(job);
        let job = self.jobs.len() - 1;
        match self.acquire_limit(job, request) {
            limit::Verdict::Granted => self.choose(job, request, task),
            limit::Verdict::Refused { .. } => self.refuse(job, |refusals| &mut refusals.limit),
        }
    }

    fn acquire_limit(&mut self, job: usize, request: &Request) -> limit::Verdict {
        let entries = self.host_count();
        let account = self.trace.header.configuration.accounts.get(&request.account);
        let limit = account.map(|account| account.limit.clone()).unwrap_or_default();
        let limit = limit::Limit {
            requests_per_second: limit.requests_per_second,
            in_flight: limit.in_flight,
        };
        let jitter = self.draw.unit();
        let host = &mut self.hosts[self.jobs[job].host];
        host.retries.entry(request.account.clone()).or_default().fill();
        let usage = host.usage.entry(request.account.clone()).or_default();
        usage.acquire(&limit, entries, jitter, self.now)
    }

    fn choose(&mut self, job: usize, request: &Request, task: &Task) {
        match self.plan(job, request) {
            Ok(plan) => {
                self.jobs[job].plan = plan;
                self.request_slot(job, task.priority);
            }
            Err(reason) => self.refuse(job, reason),
        }
    }

    fn plan(&mut self, job: usize, request: &Request) -> Result<Plan, Reason> {
        let (host, may_repeat) = (self.jobs[job].host, self.jobs[job].may_repeat);
        let knowledge = &mut self.hosts[host].knowledge;
        let pinned = request.session.as_ref().and_then(|session| self.sessions.get(session));
        match (&request.session, pinned) {
            (_, Some(version)) if knowledge.takes_work(version) => {
                return Ok(Plan::Single(version.clone()));
            }
            (Some(session), Some(_)) => {
                // The caller receives the error, and the next request begins a new session.
                self.sessions.remove(session);
                return Err(|refusals| &mut refusals.session_ended);
            }
            _ => {}
        }
        // A session stays on one version, so its requests can't use a cascade.
        let may_cascade = may_repeat && request.session.is_none();
        let document = &self.trace.header.configuration;
        let key = (&request.account, &request.task);
        let table = knowledge.table(document, key, may_cascade, self.now);
        let plan = table.draw(self.draw.unit()).cloned();
        let plan: Plan = plan.ok_or(no_version as Reason)?;
        if let (Some(session), Plan::Single(version)) = (&request.session, &plan) {
            self.sessions.insert(session.clone(), version.clone());
        }
        Ok(plan)
    }

    /// Requests a slot in the pool of the current version: sends the call, queues or refuses it.
    fn request_slot(&mut self, job: usize, priority: u8) {
        let version = self.version(job);
        let Some(pool) = self.pool_of(&version) else { return self.refuse(job, no_version) };
        let task = self.trace.requests[self.jobs[job].request].task.clone();
        let Job { host, deadline, escalated, .. } = self.jobs[job];
        let account = self.trace.requests[self.jobs[job].request].account.clone();
        let (jitter, entries, now) = (self.draw.unit(), self.host_count(), self.now);
        let service_ms = self.hosts[host].knowledge.mean_latency_ms(&version, &task);
        let arrival = Arrival::new(account, priority, deadline).with_service(service_ms);
        let arrival = if escalated { arrival.continued() } else { arrival };
        let Some(view) = self.hosts[host].pools.get_mut(&pool) else { return };
        let load = view.load(entries, now);
        match view.queue.offer(&arrival, load, jitter, now) {
            Verdict::Admit => self.launch(job),
            Verdict::Wait { ticket, evicted } => {
                view.waiting.insert(ticket, job);
                evicted.into_iter().for_each(|evicted| self.evict(host, &pool, evicted));
            }
            Verdict::Refuse { .. } => self.give_up(job, |refusals| &mut refusals.overload),
        }
    }

    /// Sends a call to a backend server. If the server refuses the connection, tries another one.
    fn launch(&mut self, job: usize) {
        let (host, request) = (self.jobs[job].host, self.jobs[job].request);
        let version = self.version(job);
        let Some(pool) = self.pool_of(&version) else { return self.refuse(job, no_version) };
        if !self.hosts[host].knowledge.takes_work(&version) {
            return self.give_up(job, |refusals| &mut refusals.session_ended);
        }
        let affinity = self.affinity(request);
        let mut except = None;
        for _ in 0..ATTEMPTS_MAX {
            let (draw, now) = (self.draw.bits(), self.now);
            let Some(view) = self.hosts[host].pools.get_mut(&pool) else { return };
            let placement = self.options.variant.placement;
            let Some(worker) = view.place(placement, except, affinity, draw, now) else { break };
            let call = self.calls.len();
            let Some(servers) = self.pools.get_mut(&pool) else { return };
            match servers.accept(worker, call) {
                Outcome::Refused => {
                    view.record_refusal(worker, now);
                    except = Some(worker);
                }
                outcome => {
                    view.servers[worker].in_flight += 1;
                    return self.record_call(job, version, pool, worker, outcome);
                }
            }
        }
        self.give_up(job, |refusals| &mut refusals.overload);
    }

    fn record_call(
        &mut self,
        job: usize,
        version: Name,
        pool: Name,
        worker: usize,
        outcome: Outcome,
    ) {
        let is_exposed = self.bad.contains_key(&version);
        match is_exposed {
            true if self.detected_at.contains_key(&version) => self.tally.exposure.spread += 1,
            true => self.tally.exposure.test += 1,
            false => {}
        }
        let document = &self.trace.header.configuration;
        let request = &self.trace.requests[self.jobs[job].request];
        let allowed = document.accounts.get(&request.account);
        let allowed = allowed.is_some_and(|account| account.versions.contains(&version));
        self.tally.violations += u64::from(!allowed);
        let cost = document.versions.get(&version).map_or(0.0, |version| version.cost);
        self.tally.spend(&request.task, cost);
        let (host, sent) = (self.jobs[job].host, self.now);
        let call = Call { job, host, version, pool, worker, sent, is_exposed, is_finished: false };
        self.calls.push(call);
        if outcome == Outcome::Running {
            self.start_call(self.calls.len() - 1);
        }
    }

    fn start_call(&mut self, call: usize) {
        let now = self.now;
        let started = &self.calls[call];
        self.tally.server_waits.push(now.since(started.sent));
        let request = &self.trace.requests[self.jobs[started.job].request];
        let ms = request.ms.get(&started.version).copied().unwrap_or(0);
        self.clock.push(now + ms, Step::Ended(call));
    }

    pub(super) fn end_call(&mut self, call: usize) {
        if self.calls[call].is_finished {
            return;
        }
        let Call { job, host, version, pool, worker, sent, .. } = self.calls[call].clone();
        self.calls[call].is_finished = true;
        let next = self.pools.get_mut(&pool).and_then(|pool| pool.end_call(worker, call));
        next.into_iter().for_each(|next| self.start_call(next));
        let task = self.trace.requests[self.jobs[job].request].task.clone();
        let took = self.now.since(sent) as f64;
        let sender = &mut self.hosts[host];
        sender.knowledge.record_latency(&version, &task, took);
        if let Some(view) = sender.pools.get_mut(&pool) {
            view.servers[worker].in_flight -= 1;
            view.queue.record_service_ms(took);
        }
        self.drain_queue(host, &pool);
        self.handle_answer(job, version);
    }

    /// Handles a version's answer: returns it to the caller, in a cascade after a rating.
    fn handle_answer(&mut self, job: usize, version: Name) {
        let Job { host, deadline, ref plan, escalated, .. } = self.jobs[job];
        let cascade = matches!(plan, Plan::Cascade { .. }) && !escalated;
        let in_time = self.now + self.rate_ms < deadline;
        let unit = self.draw.unit();
        let interest = self.hosts[host].knowledge.interest(&version);
        // A cascade's second version only gets the requests that the first version failed at.
        // Ratings of these answers would make the second version look worse than it is, and in
        // the end quarantine it.
        let wanted = cascade || !escalated && self.hosts[host].sampler.should_rate(interest, unit);
        if wanted {
            self.hosts[host].knowledge.rater_up = self.rater_up;
        }
        match wanted && self.rater_up {
            true if cascade && in_time => self.request_rating(job, version, Some(job)),
            true => {
                self.request_rating(job, version.clone(), None);
                self.finish(job, &version);
            }
            false => self.finish(job, &version),
        }
    }

    fn request_rating(&mut self, job: usize, version: Name, cascade: Option<usize>) {
        let request = &self.trace.requests[self.jobs[job].request];
        let good = request.good.get(&version).copied().unwrap_or(false);
        let rating = Rating { version, task: request.task.clone(), good };
        let (host, asked) = (self.jobs[job].host, self.now);
        self.clock.push(asked + self.rate_ms, Step::OwnRating { host, rating, cascade, asked });
    }

    pub(super) fn continue_cascade(&mut self, job: Option<usize>, good: bool) {
        let Some(job) = job else { return };
        let request = &self.trace.requests[self.jobs[job].request];
        match self.trace.task(request) {
            Some(task) if !good => {
                self.jobs[job].escalated = true;
                self.request_slot(job, task.priority);
            }
            _ => self.finish(job, &self.version(job)),
        }
    }

    /// Returns the version that the request currently uses.
    fn version(&self, job: usize) -> Name {
        match &self.jobs[job].plan {
            Plan::Single(version) => version.clone(),
            Plan::Cascade { then, .. } if self.jobs[job].escalated => then.clone(),
            Plan::Cascade { first, .. } => first.clone(),
        }
    }

    fn pool_of(&self, version: &Name) -> Option<Name> {
        let version = self.trace.header.configuration.versions.get(version)?;
        Some(version.pool.clone())
    }

    /// Ends a request whose call can't be made or repeated. A cascade in its second stage still
    /// returns its first answer; any other request is refused.
    fn give_up(&mut self, job: usize, reason: Reason) {
        match self.jobs[job].plan.clone() {
            Plan::Cascade { first, .. } if self.jobs[job].escalated => self.finish(job, &first),
            _ => self.refuse(job, reason),
        }
    }

    /// Handles a call whose backend server crashed: retries it elsewhere or gives up.
    pub(super) fn break_call(&mut self, call: usize) {
        let Call { job, host, worker, ref pool, .. } = self.calls[call];
        let (pool, now) = (pool.clone(), self.now);
        self.calls[call].is_finished = true;
        let account = self.trace.requests[self.jobs[job].request].account.clone();
        let attempt = Attempt {
            may_repeat: self.jobs[job].may_repeat,
            first_byte_written: true,
            answer_begun: false,
            left_ms: self.jobs[job].deadline.since(now),
            expected_ms: 0,
        };
        let Host { pools, retries, .. } = &mut self.hosts[host];
        let Some(view) = pools.get_mut(&pool) else { return };
        view.servers[worker].in_flight -= 1;
        view.record_refusal(worker, now);
        let account = retries.entry(account).or_default();
        let may_retry = retry::may_retry_elsewhere(&attempt)
            && retry::take_from_both(account, &mut view.retries);
        match may_retry {
            true => self.launch(job),
            false => self.give_up(job, |refusals| &mut refusals.broken),
        }
    }

    /// Sends queued requests of a pool as long as the pool has free slots.
    pub(super) fn drain_queue(&mut self, host: usize, pool: &Name) {
        loop {
            let (entries, now) = (self.host_count(), self.now);
            let Some(view) = self.hosts[host].pools.get_mut(pool) else { return };
            if view.load(entries, now).free() == 0 {
                return;
            }
            let Some(ticket) = view.queue.pop() else { return };
            match view.waiting.remove(&ticket) {
                Some(job) => self.launch(job),
                None => return,
            }
        }
    }

    pub(super) fn sweep_queue(&mut self, host: usize, pool: &Name) {
        let (entries, now) = (self.host_count(), self.now);
        let Some(view) = self.hosts[host].pools.get_mut(pool) else { return };
        if view.queue.is_empty() {
            return;
        }
        let load = view.load(entries, now);
        for evicted in view.queue.evict_overdue(load, 0.0, now) {
            self.evict(host, pool, evicted);
        }
    }

    fn evict(&mut self, host: usize, pool: &Name, evicted: Evicted) {
        let view = self.hosts[host].pools.get_mut(pool);
        let job = view.and_then(|view| view.waiting.remove(&evicted.ticket));
        job.into_iter().for_each(|job| self.give_up(job, |refusals| &mut refusals.evicted));
    }

    /// Returns an answer to the caller; counts the request as refused if the answer is late.
    fn finish(&mut self, job: usize, version: &Name) {
        let Job { request: index, deadline, .. } = self.jobs[job];
        if self.now > deadline {
            return self.refuse(job, |refusals| &mut refusals.late);
        }
        let request = &self.trace.requests[index];
        let good = u64::from(request.good.get(version).copied().unwrap_or(false));
        let now = self.now;
        self.close(job);
        self.tally.answered.push(index);
        self.tally.times.push(now.since(Millis(request.at_ms)));
        for served in [
            self.tally.tasks.entry(request.task.clone()).or_default(),
            self.tally.accounts.entry(request.account.clone()).or_default(),
        ] {
            served.answered += 1;
            served.good += good;
        }
    }

    fn refuse(&mut self, job: usize, reason: Reason) {
        let request = &self.trace.requests[self.jobs[job].request];
        self.close(job);
        *reason(&mut self.tally.refusals) += 1;
        self.tally.tasks.entry(request.task.clone()).or_default().refused += 1;
        self.tally.accounts.entry(request.account.clone()).or_default().refused += 1;
    }

    fn close(&mut self, job: usize) {
        let Job { request, host, ref mut is_finished, .. } = self.jobs[job];
        debug_assert!(!*is_finished, "a request ends once");
        *is_finished = true;
        let account = &self.trace.requests[request].account;
        if let Some(usage) = self.hosts[host].usage.get_mut(account) {
            usage.release();
        }
    }
}

/// Selects the counter for the reason of a refusal.
type Reason = fn(&mut Refusals) -> &mut u64;

fn no_version(refusals: &mut Refusals) -> &mut u64 {
    &mut refusals.no_version
}

use super::host::Host;
