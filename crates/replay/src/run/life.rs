//! Processes one request: limit, plan, queue, placement on a backend server, rating and answer.

use policy::admit::{Arrival, Evicted, Verdict};
use policy::limit;
use policy::name::Name;
use policy::retry::{self, Attempt};
use policy::select::Plan;
use policy::time::Millis;
use wire::configuration::Task;

use super::knowledge::Rated;
use super::pool::Taken;
use super::tally::Refusals;
use super::{Step, World};
use crate::trace::Request;

/// Maximum number of backend servers that one call is sent to.
const TRIES: usize = 3;

/// The state of a request from arrival to answer or refusal.
#[derive(Clone, Debug)]
pub struct Life {
    request: usize,
    host: usize,
    plan: Plan,
    /// Whether the request has moved on to the second version of its cascade.
    escalated: bool,
    deadline: Millis,
    may_repeat: bool,
    over: bool,
}

/// A call of a version on a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    life: usize,
    /// Index of the entry host that made the call.
    pub host: usize,
    /// Version that the call runs on.
    pub version: Name,
    pool: Name,
    worker: usize,
    sent: Millis,
    /// Whether the version had already turned bad when the call was made.
    pub exposed: bool,
    /// Whether the call has ended or broken off.
    pub over: bool,
}

impl World<'_> {
    pub(super) fn arrive(&mut self, index: usize) {
        let trace = self.trace;
        let request = &trace.requests[index];
        let Some(task) = trace.task(request) else { return };
        let host = self.draw.below(self.hosts.len() as u64) as usize;
        let life = Life {
            request: index,
            host,
            plan: Plan::Single(Name::default()),
            escalated: false,
            deadline: self.now + request.deadline_ms.unwrap_or(task.deadline_ms),
            may_repeat: task.may_repeat && request.may_repeat.unwrap_or(true),
            over: false,
        };
        self.lives.push(life);
        let life = self.lives.len() - 1;
        match self.limited(life, request) {
            limit::Verdict::Granted => self.choose(life, request, task),
            limit::Verdict::Refused { .. } => self.refuse(life, |refusals| &mut refusals.limit),
        }
    }

    fn limited(&mut self, life: usize, request: &Request) -> limit::Verdict {
        let entries = self.entries();
        let account = self.trace.header.configuration.accounts.get(&request.account);
        let limit = account.map(|account| account.limit.clone()).unwrap_or_default();
        let limit = limit::Limit {
            requests_per_second: limit.requests_per_second,
            in_flight: limit.in_flight,
        };
        let jitter = self.draw.unit();
        let host = &mut self.hosts[self.lives[life].host];
        host.retries.entry(request.account.clone()).or_default().fill();
        let usage = host.usage.entry(request.account.clone()).or_default();
        usage.acquire(&limit, entries, jitter, self.now)
    }

    fn choose(&mut self, life: usize, request: &Request, task: &Task) {
        match self.plan(life, request) {
            Ok(plan) => {
                self.lives[life].plan = plan;
                self.ask(life, task.priority);
            }
            Err(reason) => self.refuse(life, reason),
        }
    }

    fn plan(&mut self, life: usize, request: &Request) -> Result<Plan, Reason> {
        let (host, may_repeat) = (self.lives[life].host, self.lives[life].may_repeat);
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
    fn ask(&mut self, life: usize, priority: u8) {
        let version = self.version(life);
        let Some(pool) = self.pool_of(&version) else { return self.refuse(life, no_version) };
        let task = self.trace.requests[self.lives[life].request].task.clone();
        let Life { host, deadline, escalated, .. } = self.lives[life];
        let account = self.trace.requests[self.lives[life].request].account.clone();
        let (jitter, entries, now) = (self.draw.unit(), self.entries(), self.now);
        let service_ms = self.hosts[host].knowledge.time(&version, &task);
        let ask = Arrival::new(account, priority, deadline).with_service(service_ms);
        let ask = if escalated { ask.continued() } else { ask };
        let Some(known) = self.hosts[host].pools.get_mut(&pool) else { return };
        let load = known.load(entries, now);
        match known.queue.offer(&ask, load, jitter, now) {
            Verdict::Admit => self.launch(life),
            Verdict::Wait { ticket, evicted } => {
                known.waiting.insert(ticket, life);
                evicted.into_iter().for_each(|evicted| self.evict(host, &pool, evicted));
            }
            Verdict::Refuse { .. } => self.give_up(life, |refusals| &mut refusals.overload),
        }
    }

    /// Sends a call to a backend server. If the server refuses the connection, tries another one.
    fn launch(&mut self, life: usize) {
        let (host, request) = (self.lives[life].host, self.lives[life].request);
        let version = self.version(life);
        let Some(pool) = self.pool_of(&version) else { return self.refuse(life, no_version) };
        if !self.hosts[host].knowledge.takes_work(&version) {
            return self.give_up(life, |refusals| &mut refusals.session_ended);
        }
        let affinity = self.affinity(request);
        let mut except = None;
        for _ in 0..TRIES {
            let (draw, now) = (self.draw.bits(), self.now);
            let Some(known) = self.hosts[host].pools.get_mut(&pool) else { return };
            let placement = self.options.variant.placement;
            let Some(worker) = known.place(placement, except, affinity, draw, now) else { break };
            let call = self.calls.len();
            let Some(servers) = self.pools.get_mut(&pool) else { return };
            match servers.take(worker, call) {
                Taken::Refused => {
                    known.refused(worker, now);
                    except = Some(worker);
                }
                taken => {
                    known.servers[worker].in_flight += 1;
                    return self.sent(life, version, pool, worker, taken);
                }
            }
        }
        self.give_up(life, |refusals| &mut refusals.overload);
    }

    fn sent(&mut self, life: usize, version: Name, pool: Name, worker: usize, taken: Taken) {
        let exposed = self.bad.contains_key(&version);
        match exposed {
            true if self.found.contains_key(&version) => self.tally.exposure.spread += 1,
            true => self.tally.exposure.test += 1,
            false => {}
        }
        let document = &self.trace.header.configuration;
        let request = &self.trace.requests[self.lives[life].request];
        let allowed = document.accounts.get(&request.account);
        let allowed = allowed.is_some_and(|account| account.versions.contains(&version));
        self.tally.violations += u64::from(!allowed);
        let cost = document.versions.get(&version).map_or(0.0, |version| version.cost);
        self.tally.spend(&request.task, cost);
        let (host, sent) = (self.lives[life].host, self.now);
        let call = Call { life, host, version, pool, worker, sent, exposed, over: false };
        self.calls.push(call);
        if taken == Taken::Running {
            self.started(self.calls.len() - 1);
        }
    }

    fn started(&mut self, call: usize) {
        let now = self.now;
        let started = &self.calls[call];
        self.tally.server_waits.push(now.since(started.sent));
        let request = &self.trace.requests[self.lives[started.life].request];
        let ms = request.ms.get(&started.version).copied().unwrap_or(0);
        self.clock.push(now + ms, Step::Ended(call));
    }

    pub(super) fn ended(&mut self, call: usize) {
        if self.calls[call].over {
            return;
        }
        let Call { life, host, version, pool, worker, sent, .. } = self.calls[call].clone();
        self.calls[call].over = true;
        let next = self.pools.get_mut(&pool).and_then(|pool| pool.end(worker, call));
        next.into_iter().for_each(|next| self.started(next));
        let task = self.trace.requests[self.lives[life].request].task.clone();
        let took = self.now.since(sent) as f64;
        let known = &mut self.hosts[host];
        known.knowledge.took(&version, &task, took);
        if let Some(known) = known.pools.get_mut(&pool) {
            known.servers[worker].in_flight -= 1;
            known.queue.record_service_ms(took);
        }
        self.pump(host, &pool);
        self.answered(life, version);
    }

    /// Handles a version's answer: returns it to the caller, in a cascade after a rating.
    fn answered(&mut self, life: usize, version: Name) {
        let Life { host, deadline, ref plan, escalated, .. } = self.lives[life];
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
            true if cascade && in_time => self.rate(life, version, Some(life)),
            true => {
                self.rate(life, version.clone(), None);
                self.finish(life, &version);
            }
            false => self.finish(life, &version),
        }
    }

    fn rate(&mut self, life: usize, version: Name, cascade: Option<usize>) {
        let request = &self.trace.requests[self.lives[life].request];
        let good = request.good.get(&version).copied().unwrap_or(false);
        let rated = Rated { version, task: request.task.clone(), good };
        let (host, asked) = (self.lives[life].host, self.now);
        self.clock.push(asked + self.rate_ms, Step::Rated { host, rated, cascade, asked });
    }

    pub(super) fn cascade_rated(&mut self, life: Option<usize>, good: bool) {
        let Some(life) = life else { return };
        let request = &self.trace.requests[self.lives[life].request];
        match self.trace.task(request) {
            Some(task) if !good => {
                self.lives[life].escalated = true;
                self.ask(life, task.priority);
            }
            _ => self.finish(life, &self.version(life)),
        }
    }

    /// Returns the version that the request currently uses.
    fn version(&self, life: usize) -> Name {
        match &self.lives[life].plan {
            Plan::Single(version) => version.clone(),
            Plan::Cascade { then, .. } if self.lives[life].escalated => then.clone(),
            Plan::Cascade { first, .. } => first.clone(),
        }
    }

    fn pool_of(&self, version: &Name) -> Option<Name> {
        let version = self.trace.header.configuration.versions.get(version)?;
        Some(version.pool.clone())
    }

    /// Ends a request whose call can't be made or repeated. A cascade in its second stage still
    /// returns its first answer; any other request is refused.
    fn give_up(&mut self, life: usize, reason: Reason) {
        match self.lives[life].plan.clone() {
            Plan::Cascade { first, .. } if self.lives[life].escalated => self.finish(life, &first),
            _ => self.refuse(life, reason),
        }
    }

    /// Handles a call whose backend server crashed: retries it elsewhere or gives up.
    pub(super) fn broken(&mut self, call: usize) {
        let Call { life, host, worker, ref pool, .. } = self.calls[call];
        let (pool, now) = (pool.clone(), self.now);
        self.calls[call].over = true;
        let account = self.trace.requests[self.lives[life].request].account.clone();
        let attempt = Attempt {
            may_repeat: self.lives[life].may_repeat,
            first_byte_written: true,
            answer_begun: false,
            left_ms: self.lives[life].deadline.since(now),
            expected_ms: 0,
        };
        let Host { pools, retries, .. } = &mut self.hosts[host];
        let Some(known) = pools.get_mut(&pool) else { return };
        known.servers[worker].in_flight -= 1;
        known.refused(worker, now);
        let account = retries.entry(account).or_default();
        let again = retry::may_retry_elsewhere(&attempt)
            && retry::take_from_both(account, &mut known.retries);
        match again {
            true => self.launch(life),
            false => self.give_up(life, |refusals| &mut refusals.broken),
        }
    }

    /// Sends queued requests of a pool as long as the pool has free slots.
    pub(super) fn pump(&mut self, host: usize, pool: &Name) {
        loop {
            let (entries, now) = (self.entries(), self.now);
            let Some(known) = self.hosts[host].pools.get_mut(pool) else { return };
            if known.load(entries, now).free() == 0 {
                return;
            }
            let Some(ticket) = known.queue.pop() else { return };
            match known.waiting.remove(&ticket) {
                Some(life) => self.launch(life),
                None => return,
            }
        }
    }

    pub(super) fn sweep_queue(&mut self, host: usize, pool: &Name) {
        let (entries, now) = (self.entries(), self.now);
        let Some(known) = self.hosts[host].pools.get_mut(pool) else { return };
        if known.queue.is_empty() {
            return;
        }
        let load = known.load(entries, now);
        for evicted in known.queue.evict_overdue(load, 0.0, now) {
            self.evict(host, pool, evicted);
        }
    }

    fn evict(&mut self, host: usize, pool: &Name, evicted: Evicted) {
        let known = self.hosts[host].pools.get_mut(pool);
        let life = known.and_then(|known| known.waiting.remove(&evicted.ticket));
        life.into_iter().for_each(|life| self.give_up(life, |refusals| &mut refusals.evicted));
    }

    /// Returns an answer to the caller; counts the request as refused if the answer is late.
    fn finish(&mut self, life: usize, version: &Name) {
        let Life { request: index, deadline, .. } = self.lives[life];
        if self.now > deadline {
            return self.refuse(life, |refusals| &mut refusals.late);
        }
        let request = &self.trace.requests[index];
        let good = u64::from(request.good.get(version).copied().unwrap_or(false));
        let now = self.now;
        self.over(life);
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

    fn refuse(&mut self, life: usize, reason: Reason) {
        let request = &self.trace.requests[self.lives[life].request];
        self.over(life);
        *reason(&mut self.tally.refusals) += 1;
        self.tally.tasks.entry(request.task.clone()).or_default().refused += 1;
        self.tally.accounts.entry(request.account.clone()).or_default().refused += 1;
    }

    fn over(&mut self, life: usize) {
        let Life { request, host, ref mut over, .. } = self.lives[life];
        debug_assert!(!*over, "a request ends once");
        *over = true;
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
