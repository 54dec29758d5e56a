//! Placement among model engines: chooses the engine that is expected to begin the answer first.
//!
//! Several hosts send long prompts among short ones and don't see each other's requests. An engine
//! that reads a prompt delays every answer that begins behind it, so placement compares the time
//! that reading takes rather than the number of requests: a large model reads ten times as long as
//! a small one. Load reports are old when they arrive, and all hosts read the same ones. So each
//! host counts its own current requests in place of those that it had at the report, and reports
//! lose weight with age.

pub mod externality;
pub mod fetch;
pub mod spill;

use self::externality::Streams;
use self::fetch::{Link, Source, Target, Transfer};
use crate::domain;
use crate::place::{REPORT_HALF_LIFE_MS, mix};
use crate::sample::uniform;
use crate::time::Millis;

/// Time by which a full batch delays the beginning of an answer, in milliseconds: an engine reads
/// prompts in chunks between the steps of the requests in flight.
const FULL_BATCH_DELAY_MS: f64 = 250.0;
/// Time that each request waiting per slot adds, as a fraction of the mean service time.
const WAITING_SERVICE_FRACTION: f64 = 1.0;
/// Fraction of a prompt's shared prefix that is assumed to be cached at the engine that all hosts
/// prefer for the prefix, where another host may have sent it.
const SHARED_CACHED_FRACTION: f64 = 0.5;
/// Maximum random cost added to each engine, in milliseconds. Without it all hosts would choose the
/// first of several equal engines.
const TIE_BREAK_MAX_MS: f64 = 4.0;
/// Age at which a report counts half if later reports would have been announced, in milliseconds.
/// Streams run for about as long.
const ANNOUNCED_HALF_LIFE_MS: f64 = 6_000.0;
/// Most requests that are assumed to have been sent since a report, as a multiple of what an engine
/// usually gets in that time. The engine that seems to have the least load gets several times as much.
const ASSUMED_FACTOR: f64 = 6.0;
/// Longest time until a request that was sent to a near engine appears in an announced report, in
/// milliseconds.
const ANNOUNCEMENT_MAX_MS: u64 = 2_000;
/// The same for an engine of another failure domain.
const FAR_ANNOUNCEMENT_MAX_MS: u64 = 3_000;
/// Separates the draws for what was sent since a report from those between equal engines.
const ASSUMED_SEED: u64 = 0x544f_4c44;
/// Separates the draw for spill-over from those between equal engines.
const SPILL_SEED: u64 = 0x5350_494c;

domain! {
    /// State of one engine as this host knows it.
    #[derive(Copy, Default)]
    pub struct Engine {
        /// This host's requests in flight at the engine.
        pub own: u32,
        /// Requests of all hosts in flight at the engine, according to its last report.
        pub reported: u32,
        /// This host's requests in flight at the engine when that report arrived.
        pub own_then: u32,
        /// Age of the last report, in milliseconds; `None` if the engine has not reported.
        pub report_age_ms: Option<u64>,
        /// Whether other hosts announce what the engine reports. Without a later report, nothing more
        /// was sent there, and the requests of the last one end one after another.
        pub is_announced: bool,
        /// Requests of other hosts that are assumed beside those of the last report.
        pub assumed: f64,
        /// What the hosts of the engine's failure domain announce of its mean load; `None` in the
        /// host's own domain, and where nothing was announced lately.
        pub domain_load: Option<DomainLoad>,
        /// Requests that the engine works on at once.
        pub slots: u32,
        /// Time until the engine would begin to read the request's prompt, in milliseconds.
        pub wait_ms: f64,
        /// Tokens of the request's prompt that the engine is believed to have cached.
        pub cached: f64,
        /// Whether all hosts prefer this engine for the prompt's shared prefix.
        pub preferred: bool,
        /// Whether the engine is in this host's failure domain.
        pub near: bool,
        /// Share of requests that are expected to fail at the engine, 0 to 1.
        pub suspicion: f64,
        /// Extra time that the engine's work takes, as a fraction of the usual time; negative if
        /// the engine is faster than usual.
        pub slowdown: f64,
    }

    /// Mean load of the engines of a failure domain, as its hosts announce it.
    #[derive(Copy)]
    pub struct DomainLoad {
        /// Requests per slot.
        pub per_slot: f64,
        /// Time since the domain's host calculated it, in milliseconds.
        pub age_ms: u64,
    }

    /// What a request needs from an engine, and the costs to weigh.
    #[derive(Copy)]
    pub struct Demand {
        /// Length of the prompt, in tokens.
        pub prompt: f64,
        /// Length of the prompt's prefix that other requests share, in tokens.
        pub shared: f64,
        /// Prompt tokens that an engine reads per millisecond with the requested model.
        pub tokens_per_ms: f64,
        /// Mean time that a request spends at an engine, in milliseconds.
        pub service_ms: f64,
        /// Cost of an engine in another failure domain, as the time in milliseconds that a request
        /// would rather wait for a near one.
        pub far_ms: f64,
        /// Cost of a failed attempt, in milliseconds.
        pub failure_ms: f64,
    }
}

/// Costs that are weighed beside those of [`Engine::cost_ms`]. With the default none are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs<'a> {
    /// What running streams need, if the cost to them is weighed.
    pub streams: Option<Streams>,
    /// Time that the whole answer takes at usual speed, in milliseconds, if the caller waits for
    /// its end.
    pub answer_ms: f64,
    /// Whether a share of the requests ignores distance while near engines are busier.
    pub spills: bool,
    /// Whether that share follows the loads that failure domains announce to each other, and not
    /// the reports that this host has of far engines.
    pub evens_domains: bool,
    /// The transfers that are possible.
    pub fetches: Option<Fetches<'a>>,
}

/// The transfers that are possible between engines.
#[derive(Clone, Copy, Debug)]
pub struct Fetches<'a> {
    /// Speed of transfers.
    pub link: Link,
    /// The engines that a request may be sent to, in the order of the engines that are compared.
    pub targets: &'a [Target],
    /// Engines that have the prompt's beginning cached.
    pub sources: &'a [Source],
    /// Factor by which starts with a fetch take longer than expected.
    pub factor: f64,
    /// Least ratio of the reading time that a transfer between failure domains saves to the time
    /// that it takes; 0 if there is no such bound.
    pub far_gain: f64,
}

/// Where a request is sent, and what the engine fetches first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the engine.
    pub index: usize,
    /// The transfer; `None` if the engine reads all that it lacks.
    pub fetch: Option<Transfer>,
}

domain! {
    /// The parts of the cost of a request at one engine. Engines are compared by
    /// [`Terms::total_ms`].
    #[derive(Copy, Default)]
    pub struct Terms {
        /// Requests in flight at the engine: the delay of a full batch, and requests that wait. At
        /// usual speed.
        pub load_ms: f64,
        /// Reading the prompt tokens that the engine lacks, at usual speed.
        pub reading_ms: f64,
        /// Factor on `load_ms` and `reading_ms`, by the engine's speed.
        pub speed_factor: f64,
        /// Time until the engine begins to read.
        pub wait_ms: f64,
        /// Another failure domain.
        pub distance_ms: f64,
        /// Attempts that are expected to fail.
        pub suspicion_ms: f64,
        /// What reading the prompt costs running streams.
        pub streams_ms: f64,
        /// How much longer a start with a fetch takes than expected.
        pub fetch_ms: f64,
        /// Time of the whole answer, where the caller waits for its end.
        pub answer_ms: f64,
    }
}

/// Cost of a request at one engine.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The parts of the cost.
    pub terms: Terms,
    /// The transfer; `None` if the engine reads all that it lacks.
    pub fetch: Option<Transfer>,
}

impl Terms {
    /// The cost that engines are compared by, in milliseconds.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.first_event_ms()
            + self.distance_ms
            + self.suspicion_ms
            + self.streams_ms
            + self.answer_ms
    }

    /// Expected time until the answer begins, in milliseconds: [`Self::total_ms`] without what is
    /// weighed beside it.
    #[must_use]
    pub fn first_event_ms(&self) -> f64 {
        (self.load_ms + self.reading_ms) * self.speed_factor + self.wait_ms + self.fetch_ms
    }

    /// Time that the engine itself takes to read the prompt, in milliseconds; part of
    /// [`Self::first_event_ms`].
    #[must_use]
    pub fn prefill_ms(&self) -> f64 {
        self.reading_ms * self.speed_factor
    }
}

impl Engine {
    /// Estimated requests in flight at the engine, with those of other hosts weighted by the age of
    /// the report.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.reported_load() + self.assumed
    }

    /// The same without requests that are only assumed.
    fn reported_load(&self) -> f64 {
        let others = f64::from(self.reported.saturating_sub(self.own_then));
        f64::from(self.own) + others * self.report_weight()
    }

    /// How much the last report counts: 1 when it is new, 0 if there is none.
    fn report_weight(&self) -> f64 {
        let half_life_ms =
            if self.is_announced { ANNOUNCED_HALF_LIFE_MS } else { REPORT_HALF_LIFE_MS };
        self.report_age_ms.map_or(0.0, |age_ms| half_life_ms / (half_life_ms + age_ms as f64))
    }

    /// Expected cost of sending the request to this engine: the time until its answer begins, plus
    /// the costs of distance and failure, in milliseconds.
    #[must_use]
    pub fn cost_ms(&self, demand: &Demand) -> f64 {
        let missing = self.missing(demand);
        self.terms(missing, self.wait_ms, demand).total_ms()
    }

    /// Prompt tokens that the engine is expected to read.
    fn missing(&self, demand: &Demand) -> f64 {
        let cached = match self.preferred {
            true => self.cached.max(demand.shared * SHARED_CACHED_FRACTION),
            false => self.cached,
        };
        (demand.prompt - cached).max(0.0)
    }

    /// Time in which the engine reads a number of prompt tokens, in milliseconds.
    fn read_ms(&self, tokens: f64, demand: &Demand) -> f64 {
        tokens / demand.tokens_per_ms.max(1e-3) * (1.0 + self.slowdown)
    }

    /// Cost of a request whose `missing` tokens the engine begins to read after `wait_ms`.
    fn terms(&self, missing: f64, wait_ms: f64, demand: &Demand) -> Terms {
        let slots = f64::from(self.slots.max(1));
        let load = self.load();
        let waiting = (load - slots).max(0.0) / slots;
        let load_ms = (load / slots).min(1.0) * FULL_BATCH_DELAY_MS
            + waiting * demand.service_ms * WAITING_SERVICE_FRACTION;
        Terms {
            load_ms,
            reading_ms: missing / demand.tokens_per_ms.max(1e-3),
            speed_factor: 1.0 + self.slowdown,
            wait_ms,
            distance_ms: if self.near { 0.0 } else { demand.far_ms },
            suspicion_ms: self.suspicion * demand.failure_ms,
            ..Terms::default()
        }
    }

    /// The cheaper of reading the missing tokens and fetching them, with all costs.
    fn start(&self, index: usize, demand: &Demand, costs: &Costs<'_>) -> Start {
        let missing = self.missing(demand);
        let streams_ms = |missing| {
            costs
                .streams
                .map_or(0.0, |streams| externality::cost_ms(self, missing, demand, &streams))
        };
        let answer_ms = costs.answer_ms * (1.0 + self.slowdown);
        let terms = |missing, wait_ms| Terms {
            streams_ms: streams_ms(missing),
            answer_ms,
            ..self.terms(missing, wait_ms, demand)
        };
        let read = Start { terms: terms(missing, self.wait_ms), fetch: None };
        let Some((fetches, transfer)) = self.transfer(index, demand, costs) else { return read };
        let rest = (demand.prompt - self.cached - transfer.tokens).max(0.0);
        // The engine reads other prompts while the transfer runs.
        let wait_ms = self.wait_ms.max(transfer.ms);
        let fetch_ms = (fetches.factor - 1.0) * (transfer.ms + self.read_ms(rest, demand));
        let terms = Terms { fetch_ms, ..terms(rest, wait_ms) };
        match terms.total_ms() < read.terms.total_ms() {
            true => Start { terms, fetch: Some(transfer) },
            false => read,
        }
    }

    /// The possible transfer after which the engine has read the prompt soonest.
    fn transfer<'a>(
        &self,
        index: usize,
        demand: &Demand,
        costs: &Costs<'a>,
    ) -> Option<(Fetches<'a>, Transfer)> {
        let fetches = costs.fetches?;
        let target = fetches.targets.get(index)?;
        let sources = fetches.sources.iter().enumerate();
        let transfers = sources.filter_map(|(index, source)| {
            let transfer = fetches.link.transfer((index, source), target, self.cached)?;
            let read_ms = transfer.tokens / demand.tokens_per_ms.max(1e-3);
            let is_worth =
                source.domain == target.domain || read_ms >= fetches.far_gain * transfer.ms;
            is_worth.then_some(transfer)
        });
        let end_ms = |transfer: &Transfer| transfer.ms - self.read_ms(transfer.tokens, demand);
        let soonest = transfers.min_by(|a, b| end_ms(a).total_cmp(&end_ms(b)));
        soonest.map(|transfer| (fetches, transfer))
    }
}

/// Adjusts the estimates for loads that the hosts of a failure domain announce to each other, and to
/// those of other domains.
///
/// Few reports come from an engine of another failure domain, so it would look idle beside the near
/// ones. Where nothing is known of it, the announced mean load per slot of its domain is assumed, or
/// that of the near engines if its domain announces none.
///
/// All hosts have the same reports, and each would choose the engine with the least load until later
/// reports arrive. The number of requests sent there since the report is therefore drawn, between
/// none and [`ASSUMED_FACTOR`] times the usual number. `draw` is a uniform random number.
pub fn use_announced_loads(engines: &mut [Engine], draw: u64) {
    for engine in engines.iter_mut() {
        engine.is_announced = engine.near || engine.domain_load.is_some();
    }
    let (mut sum, mut count) = (0.0, 0.0);
    for engine in engines.iter().filter(|engine| engine.near) {
        sum += engine.load() / f64::from(engine.slots.max(1));
        count += 1.0;
    }
    let per_slot = if count > 0.0 { sum / count } else { 0.0 };
    let arriving = spill::arriving_per_slot(engines, ANNOUNCED_HALF_LIFE_MS);
    for (index, engine) in engines.iter_mut().enumerate() {
        let slots = f64::from(engine.slots);
        let sent = |usual: f64, age_max_ms: u64| {
            let age_ms = engine.report_age_ms.unwrap_or_default().min(age_max_ms);
            let sent = usual * age_ms as f64 / ANNOUNCED_HALF_LIFE_MS;
            ASSUMED_FACTOR * sent * uniform(mix(draw ^ ASSUMED_SEED.wrapping_add(index as u64)))
        };
        let unknown = 1.0 - engine.report_weight();
        engine.assumed = match engine.domain_load {
            _ if engine.near => sent(per_slot * slots, ANNOUNCEMENT_MAX_MS),
            Some(domain) => {
                let usual = (domain.per_slot + arriving) * slots;
                domain.per_slot * slots * unknown + sent(usual, FAR_ANNOUNCEMENT_MAX_MS)
            }
            None => per_slot * slots * unknown,
        };
    }
}

/// Returns the index of the engine with the least cost, or `None` if there are no engines. `draw`
/// is a uniform random number that separates equal engines.
#[must_use]
pub fn choose(engines: &[Engine], demand: &Demand, draw: u64) -> Option<usize> {
    place(engines, demand, &Costs::default(), draw).map(|choice| choice.index)
}

/// Returns the engine with the least cost, `costs` included, and what it fetches first; `None` if
/// there are no engines. `draw` is a uniform random number.
#[must_use]
pub fn place(engines: &[Engine], demand: &Demand, costs: &Costs<'_>, draw: u64) -> Option<Choice> {
    let share = || match costs.evens_domains {
        true => spill::announced_share(engines, demand.service_ms),
        false => spill::share(engines),
    };
    let ignores_distance = costs.spills && uniform(mix(draw ^ SPILL_SEED)) < share();
    let far_ms = if ignores_distance { 0.0 } else { demand.far_ms };
    let demand = Demand { far_ms, ..*demand };
    let starts = starts(engines, &demand, costs).enumerate().map(|(index, start)| {
        let tie_break = TIE_BREAK_MAX_MS * uniform(mix(draw.wrapping_add(index as u64)));
        (Choice { index, fetch: start.fetch }, start.terms.total_ms() + tie_break)
    });
    starts.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(choice, _)| choice)
}

/// The cost of each engine, in their order. [`place`] compares these.
pub fn starts<'a>(
    engines: &'a [Engine],
    demand: &'a Demand,
    costs: &'a Costs<'_>,
) -> impl Iterator<Item = Start> + 'a {
    engines.iter().enumerate().map(|(index, engine)| engine.start(index, demand, costs))
}

/// Milliseconds since `at`; `None` if `at` is 0, which stands for never.
#[must_use]
pub fn age_ms(at: Millis, now: Millis) -> Option<u64> {
    (at > Millis(0)).then(|| now.since(at))
}
