//! A simulated host of the router: its view of each engine, and its decisions.
//!
//! The host updates its view with the same `policy` functions as the gateway. The values passed to
//! them are those that `gateway::pick`, `gateway::attempt` and `gateway::blame` pass.

pub mod view;

use gateway::state::Peers;
use gateway::timing::Timing;
use gateway::wait::STREAM_BUSY_SHARE;
use policy::engine::{self, Demand, Engine};
use policy::place::mix;
use policy::precedence::Request;
use policy::prefill::Speed;
use policy::repeat::{Allowance, Window};
use policy::retry::{self, Attempt};
use policy::silence::{self, Action, Bounds, Silence};
use policy::throttle::Place;
use policy::time::Millis;

use self::view::View;
use crate::request::Attempts;
use crate::scenario::{Kind, Repeats, Scenario};
use crate::way::{self, Pick, Way};

/// Cost of an engine in another failure domain, as a fraction of the objective; same value as in
/// the router.
const FAR_COST_FRACTION: f64 = 1.0 / 8.0;
/// Connection timeouts after which the host gives up a request; same value as in the router.
const CONNECT_TIMEOUTS_MAX: u32 = 4;

/// Added to engine indices before hashing, so that their hashes differ from those of host indices.
const ENGINE_HASH_OFFSET: u64 = 1 << 32;

/// A simulated host.
pub struct Host {
    /// Index of the host's failure domain.
    pub domain: usize,
    /// The host's view of each engine, by engine index.
    pub views: Vec<View>,
    /// Measured answer times, by request kind.
    pub timings: Vec<Timing>,
    /// Open streams whose callers have received the beginning of the answer.
    pub streams: usize,
    speed: Speed,
    window: Window,
    allowance: Allowance,
    attempts_max: u32,
    domains: usize,
    /// Number of hosts in the failure domain, including this one.
    hosts: usize,
}

/// Result of choosing an engine.
pub enum Choice {
    /// Index of the chosen engine.
    Engine(usize),
    /// No engine may receive the request; holds the requests per second that rate-limited engines
    /// accept in total.
    NoEngine(f64),
}

impl Host {
    /// Creates a newly started host; `index` decides its failure domain.
    #[must_use]
    pub fn new(scenario: &Scenario, index: usize) -> Self {
        let domains = scenario.domains as usize;
        let domain = index % domains;
        let Repeats { share, spare, window_ms, attempts_max } = scenario.repeats;
        let others = (domain..scenario.hosts as usize).step_by(domains);
        let others = others.filter(|other| *other != index).map(|other| mix(other as u64));
        let peers = Peers { own: mix(index as u64), others: others.collect() };
        Self {
            domain,
            views: (0..scenario.engines.count as usize)
                .map(|engine| {
                    let before = peers.count_before(mix(ENGINE_HASH_OFFSET + engine as u64));
                    View::new(engine % domains == domain, before, scenario.engines.slots)
                })
                .collect(),
            timings: vec![Timing::default(); scenario.kinds.len()],
            streams: 0,
            speed: Speed::default(),
            window: Window::default(),
            allowance: Allowance { share, spare, window_ms },
            attempts_max,
            domains,
            hosts: peers.others.len() + 1,
        }
    }

    /// Records a received request, which adds to the retry quota.
    pub fn record_received(&mut self, now: Millis) {
        self.window.record_request(&self.allowance, now);
    }

    /// Scheduling rank that the host gives a request; engines run lower ranks first.
    #[must_use]
    pub fn rank(&self, way: &Way, kind: &Kind, attempts: &Attempts, received: u32) -> u8 {
        way.order.rank(&Request {
            read_ms: f64::from(kind.prompt_tokens) / self.speed.tokens_per_ms(),
            priority: kind.priority,
            is_repeat: attempts.sent > 0,
            is_resumed: received > 0,
        })
    }

    /// Estimated speed at which an engine reads prompts, in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        self.speed.tokens_per_ms()
    }

    /// Records the time to the beginning of an answer, for the request kind and for the estimated
    /// prompt speed.
    pub fn record_answer_start(
        &mut self,
        kind: usize,
        ms: f64,
        wait_ms: f64,
        tokens: f64,
        now: Millis,
    ) {
        self.timings[kind].first.record(ms, now);
        self.speed.record(ms, wait_ms, tokens);
    }

    /// Chooses the engine for the next attempt and records the attempt against the engine's rate
    /// limit.
    pub fn choose(
        &mut self,
        way: &Way,
        kind: (usize, &Kind),
        attempts: &Attempts,
        received: u32,
        now: Millis,
        draw: u64,
    ) -> Choice {
        let rank = self.rank(way, kind.1, attempts, received);
        let candidates = self.candidates(attempts, now);
        let healthy: Vec<usize> =
            candidates.into_iter().filter(|engine| self.views[*engine].takes_work(now)).collect();
        let demand = self.demand(kind, received);
        let known: Vec<Engine> =
            healthy.iter().map(|engine| self.views[*engine].to_policy(rank, now)).collect();
        let Some(chosen) = pick(way.pick, &known, &demand, draw).map(|index| healthy[index]) else {
            return Choice::NoEngine(self.limited_per_s(now));
        };
        let place = self.place(chosen);
        self.views[chosen].record_sent(&place, now);
        Choice::Engine(chosen)
    }

    /// Engines that are listed, have not been tried by this request and have room under their rate
    /// limit.
    fn candidates(&self, attempts: &Attempts, now: Millis) -> Vec<usize> {
        let all = 0..self.views.len();
        all.filter(|engine| {
            let view = &self.views[*engine];
            view.is_listed
                && !attempts.excluded.contains(engine)
                && (!view.is_limited(now) || view.has_room(&self.place(*engine), now))
        })
        .collect()
    }

    fn place(&self, engine: usize) -> Place {
        let view = &self.views[engine];
        let View { before, is_near, .. } = *view;
        Place { before, hosts: self.hosts, is_near, domains: self.domains }
    }

    fn limited_per_s(&self, now: Millis) -> f64 {
        let takes_work = self.views.iter().filter(|view| view.takes_work(now));
        takes_work.filter_map(|view| view.per_second(now)).sum()
    }

    fn demand(&self, (index, kind): (usize, &Kind), received: u32) -> Demand {
        let objective = kind.objective_ms as f64;
        Demand {
            prompt: f64::from(kind.prompt_tokens + received),
            shared: 0.0,
            tokens_per_ms: self.speed.tokens_per_ms(),
            service_ms: self.timings[index].whole.mean_ms(objective),
            far_ms: objective * FAR_COST_FRACTION,
            failure_ms: objective,
        }
    }

    /// Milliseconds after which a caller is asked to come back when every engine tried was full.
    pub fn return_ms(&mut self, way: &Way, kind: (usize, &Kind), now: Millis, draw: f64) -> u64 {
        let service_ms = self.timings[kind.0].whole.mean_ms(0.0);
        let backlog_ms = match way.returns {
            way::Returns::Ours => 0.0,
            way::Returns::Backlog => self.backlog_ms(way, kind, now),
        };
        way.returns.after_ms(service_ms, backlog_ms, draw)
    }

    /// Mean expected time to the beginning of an answer over all listed engines, in milliseconds.
    fn backlog_ms(&mut self, way: &Way, kind: (usize, &Kind), now: Millis) -> f64 {
        let rank = self.rank(way, kind.1, &Attempts::default(), 0);
        let demand = self.demand(kind, 0);
        let listed = self.views.iter_mut().filter(|view| view.is_listed);
        let costs: Vec<f64> =
            listed.map(|view| view.to_policy(rank, now).cost_ms(&demand)).collect();
        costs.iter().sum::<f64>() / costs.len().max(1) as f64
    }

    /// Returns whether the request may be sent to another engine; takes the retry from the quota
    /// unless it is already paid for.
    pub fn may_retry(
        &mut self,
        way: &Way,
        attempts: &mut Attempts,
        has_begun: bool,
        left_ms: u64,
        now: Millis,
    ) -> bool {
        let attempt = Attempt {
            may_repeat: true,
            first_byte_written: attempts.may_have_run || has_begun,
            answer_begun: false,
            left_ms,
            expected_ms: 1,
        };
        let has_room =
            attempts.sent < self.attempts_max && attempts.connect_timeouts < CONNECT_TIMEOUTS_MAX;
        has_room
            && retry::may_retry_elsewhere(&attempt)
            && (attempts.sent == 0
                || std::mem::take(&mut attempts.is_retry_paid)
                || self.take_retry(way, attempts, now))
    }

    fn take_retry(&mut self, way: &Way, attempts: &Attempts, now: Millis) -> bool {
        let streams = if attempts.is_passed_on { 0 } else { self.streams };
        match way.repeats {
            way::Repeats::Ours => self.window.take_reserving(streams, &self.allowance, now),
            way::Repeats::Off => false,
        }
    }

    /// Decides whether to abandon a silent engine: only if another engine can take the request and
    /// the quota pays for the retry.
    pub fn may_abandon(
        &mut self,
        way: &Way,
        attempts: &mut Attempts,
        engine: usize,
        now: Millis,
    ) -> bool {
        let mut others = self.views.iter().enumerate();
        let has_alternative = attempts.sent < self.attempts_max
            && others.any(|(other, view)| {
                other != engine
                    && view.is_listed
                    && !attempts.excluded.contains(&other)
                    && view.takes_work(now)
            });
        let paid = has_alternative && self.take_retry(way, attempts, now);
        attempts.is_retry_paid |= paid;
        paid
    }

    /// Records an abandoned wait for the beginning of an answer, so that measured times don't omit
    /// the slow cases.
    pub fn record_abandoned(&mut self, (index, kind): (usize, &Kind), now: Millis) {
        let waited = kind.objective_ms as f64 * STREAM_BUSY_SHARE;
        self.timings[index].first.record_abandoned(waited, now);
    }

    /// Decides what to do about an engine that has been silent for `silent_ms`; `None` means to
    /// wait for it until the deadline.
    #[must_use]
    pub fn silence_action(
        &self,
        (index, kind): (usize, &Kind),
        attempts: &Attempts,
        silent_ms: f64,
        now: Millis,
    ) -> Option<Action> {
        let current = attempts.current?;
        let first = self.timings[index].first.mean_ms(0.0);
        let objective = kind.objective_ms as f64;
        let (bounds, useful_ms): (&Bounds, f64) = match () {
            () if current.has_begun => (&silence::BETWEEN_EVENTS, kind.gap_ms as f64),
            () if attempts.sent + 1 >= self.attempts_max => return None,
            () if first > objective * STREAM_BUSY_SHARE => (&silence::FIRST_BYTE_BUSY, objective),
            () => (&silence::FIRST_BYTE, objective),
        };
        let heard_ms = now.since(self.views[current.engine].heard_at);
        Some(silence::decide(bounds, &Silence { silent_ms, useful_ms, heard_ms }))
    }
}

/// Picks an engine and returns its index in `known`.
fn pick(pick: Pick, known: &[Engine], demand: &Demand, draw: u64) -> Option<usize> {
    let count = known.len() as u64;
    let any = |salt: u64| (mix(draw ^ salt) % count.max(1)) as usize;
    let by_load = |a: &usize, b: &usize| known[*a].load().total_cmp(&known[*b].load());
    match pick {
        _ if known.is_empty() => None,
        Pick::Ours => engine::choose(known, demand, draw),
        Pick::Random => Some(any(0)),
        Pick::TwoChoices => [any(1), any(2)].into_iter().min_by(by_load),
        Pick::LeastLoad => {
            let tie = |index: &usize| mix(draw.wrapping_add(*index as u64));
            let all = 0..known.len();
            all.min_by(|a, b| by_load(a, b).then_with(|| tie(a).cmp(&tie(b))))
        }
    }
}
