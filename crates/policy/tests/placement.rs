//! Placement on engines of uneven speed: a mix of long and short prompts, on models of several
//! sizes, beside running streams.

use std::collections::HashSet;

use policy::backlog::{Backlog, Prompt};
use policy::engine::externality::Streams;
use policy::engine::{Costs, Demand, Engine, place};
use policy::place::mix;
use policy::precedence::{Request, rank};
use policy::time::Millis;

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    /// Tokens of the prompt that other requests share.
    shared: f64,
    /// Mean of the other tokens.
    prompt: f64,
    events: u32,
    per_s: f64,
    objective_ms: f64,
}

const KINDS: [Kind; 3] = [
    Kind { shared: 5_382.0, prompt: 6_610.0, events: 48, per_s: 11.0, objective_ms: 3_000.0 },
    Kind { shared: 198.0, prompt: 628.0, events: 36, per_s: 13.0, objective_ms: 1_000.0 },
    Kind { shared: 568.0, prompt: 1_800.0, events: 3, per_s: 21.0, objective_ms: 1_500.0 },
];
const ENGINES: usize = 12;
const HOSTS: usize = 10;
/// Share of requests that a model three times as slow as the usual one answers; the others get one
/// that takes 0.6 of the usual time.
const LARGE_SHARE: f64 = 0.3;
const TOKENS_PER_MS: f64 = 56.6;
const STREAMS: Streams = Streams { event_tokens: 8.0, gap_ms: 1_000.0, late_ms: 3_000.0 };
const CHUNK_TOKENS: f64 = 1_024.0;
const STEP_MS: f64 = 8.0;
const START: Millis = Millis(10_000);

#[derive(Clone, Copy)]
struct Stream {
    host: usize,
    /// Tokens still to be read, and prompt tokens read in a millisecond.
    to_read: f64,
    rate: f64,
    rank: u8,
    number: u64,
    arrived_ms: f64,
    objective_ms: f64,
    tokens_left: u32,
    last_event_ms: f64,
    is_late: bool,
    has_paused: bool,
}

#[derive(Default)]
/// An engine that reads prompts in chunks between the steps of its streams.
struct Model {
    /// Factor on the time of all work.
    factor: f64,
    free_at: f64,
    waiting: Vec<Stream>,
    running: Vec<Stream>,
    cached: HashSet<(bool, u64)>,
}

#[derive(Debug, Default)]
struct Tally {
    all: f64,
    late: f64,
    pauses: f64,
}

fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

impl Model {
    /// Whether the machine is slowed down for a moment.
    fn momentary(index: usize, now: f64) -> f64 {
        let phase = (now + 977.0 * index as f64) % 4_000.0;
        if phase < 900.0 { 2.5 } else { 1.0 }
    }

    fn advance(&mut self, index: usize, until: f64, views: &mut [Vec<View>], tally: &mut Tally) {
        while self.free_at < until && !(self.waiting.is_empty() && self.running.is_empty()) {
            let factor = self.factor * Self::momentary(index, self.free_at);
            let first = (0..self.waiting.len())
                .min_by_key(|at| (self.waiting[*at].rank, self.waiting[*at].number));
            let chunk = first.map_or(0.0, |at| self.waiting[at].to_read.min(CHUNK_TOKENS));
            let chunk_ms = first.map_or(0.0, |at| chunk / self.waiting[at].rate);
            self.free_at += factor * (STEP_MS + chunk_ms);
            let now = self.free_at;
            for stream in &mut self.running {
                stream.tokens_left -= 1;
                if stream.tokens_left % 8 == 0 {
                    stream.has_paused |= now - stream.last_event_ms > STREAMS.gap_ms;
                    stream.last_event_ms = now;
                }
            }
            for stream in self.running.extract_if(.., |stream| stream.tokens_left == 0) {
                views[stream.host][index].own -= 1;
                tally.all += 1.0;
                tally.late += f64::from(stream.is_late || stream.has_paused);
                tally.pauses += f64::from(stream.has_paused);
            }
            let Some(at) = first else { continue };
            self.waiting[at].to_read -= chunk;
            if self.waiting[at].to_read <= 0.0 {
                let mut begun = self.waiting.remove(at);
                begun.is_late = now - begun.arrived_ms > begun.objective_ms;
                begun.last_event_ms = now;
                self.running.push(begun);
                let view = &mut views[begun.host][index];
                view.backlog.record_answer_start(begun.number, Millis(now as u64));
                view.reported = (self.running.len() + self.waiting.len()) as u32;
                (view.own_then, view.reported_at) = (view.own, Some(now));
            }
        }
        self.free_at = self.free_at.max(until);
    }
}

/// What one host knows of one engine.
#[derive(Default)]
struct View {
    own: u32,
    reported: u32,
    own_then: u32,
    reported_at: Option<f64>,
    backlog: Backlog,
    /// Shared parts of prompts that this host has sent there, by model.
    cached: HashSet<(bool, u64)>,
}

impl View {
    fn engine(&mut self, model: &Model, rank: u8, cached: f64, now: f64) -> Engine {
        Engine {
            own: self.own,
            reported: self.reported,
            own_then: self.own_then,
            report_age_ms: self.reported_at.map(|at| (now - at) as u64),
            slots: 32,
            wait_ms: self.backlog.wait_ms(rank, Millis(now as u64)),
            cached,
            near: true,
            slowdown: model.factor - 1.0,
            ..Engine::default()
        }
    }
}

/// Half a minute of requests on engines of which every third is 2.4 times as fast as the others.
/// Hosts learn of an engine's load with the beginnings of their own answers, and of long prompts of
/// other hosts by announcement.
fn simulate(costs: &Costs<'_>, load: f64, seed: u64) -> Tally {
    let mut seed = seed;
    let mut tally = Tally::default();
    let model = |index: usize| Model {
        factor: if index.is_multiple_of(3) { 0.63 } else { 1.52 },
        ..Model::default()
    };
    let mut models: Vec<Model> = (0..ENGINES).map(model).collect();
    let mut views: Vec<Vec<View>> =
        (0..HOSTS).map(|_| (0..ENGINES).map(|_| View::default()).collect()).collect();
    let per_s = KINDS.iter().map(|kind| kind.per_s).sum::<f64>() * load;
    let mut now = START.0 as f64;
    while now < START.0 as f64 + 30_000.0 {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / per_s;
        let mut at = draw(&mut seed) * per_s / load;
        let kind = KINDS.iter().find(|kind| {
            at -= kind.per_s;
            at < 0.0
        });
        let kind = kind.unwrap_or(&KINDS[2]);
        // Many prompts are shorter than the mean and a few are far longer.
        let length = if draw(&mut seed) < 0.15 { 3.75 } else { 0.515 };
        let prompt = kind.shared + kind.prompt * length * -draw(&mut seed).max(0.1).ln();
        let is_large = draw(&mut seed) < LARGE_SHARE;
        let rate = TOKENS_PER_MS / if is_large { 3.0 } else { 0.6 };
        let part = (is_large, kind.events as u64 * 100 + (draw(&mut seed) * 20.0) as u64);
        let request = Request { read_ms: prompt / rate, ..Request::default() };
        let (rank, time) = (rank(&request), Millis(now as u64));
        for (index, model) in models.iter_mut().enumerate() {
            model.advance(index, now, &mut views, &mut tally);
        }
        let host = (draw(&mut seed) * HOSTS as f64) as usize;
        let engines: Vec<Engine> = views[host]
            .iter_mut()
            .zip(&models)
            .map(|(view, model)| {
                let cached = if view.cached.contains(&part) { kind.shared } else { 0.0 };
                view.engine(model, rank, cached, now)
            })
            .collect();
        let demand = Demand {
            prompt,
            shared: kind.shared,
            tokens_per_ms: rate,
            service_ms: 3_000.0,
            far_ms: 200.0,
            failure_ms: kind.objective_ms,
        };
        let index = place(&engines, &demand, costs, mix(seed)).unwrap().index;
        let model = &mut models[index];
        let missing = prompt - if model.cached.contains(&part) { kind.shared } else { 0.0 };
        let read_ms = (prompt - engines[index].cached) / rate * model.factor;
        let announced = Prompt { rank, read_ms };
        for view in views.iter_mut().enumerate().filter(|(other, _)| *other != host) {
            if read_ms >= 60.0 {
                view.1[index].backlog.add_announced(announced, time);
            }
        }
        let view = &mut views[host][index];
        let number = view.backlog.add_own(announced, time);
        view.own += 1;
        view.cached.insert(part);
        model.cached.insert(part);
        model.waiting.push(Stream {
            host,
            to_read: missing,
            rate,
            rank,
            number,
            arrived_ms: now,
            objective_ms: kind.objective_ms,
            tokens_left: kind.events * 8,
            last_event_ms: now,
            is_late: false,
            has_paused: false,
        });
    }
    tally
}

/// Guards against long prompts of the largest model at slow engines, whose streams pause for more
/// than a second when the machine slows down for a moment.
#[test]
fn place_by_cost_to_streams_has_fewer_pauses_and_late_answers() {
    let weighed = Costs { streams: Some(STREAMS), ..Costs::default() };
    for load in [1.5, 2.0, 2.5] {
        let of = |costs: &Costs<'_>| {
            let mut sum = Tally::default();
            for seed in 1..6 {
                let tally = simulate(costs, load, seed);
                sum.all += tally.all;
                sum.late += tally.late;
                sum.pauses += tally.pauses;
            }
            (sum.late / sum.all, sum.pauses / sum.all)
        };
        let (before, after) = (of(&Costs::default()), of(&weighed));
        println!("load {load}: late, pauses before {before:.4?}, after {after:.4?}");
        assert!(after.0 < 0.9 * before.0, "load {load}: {before:?} {after:?}");
        assert!(after.1 < 0.4 * before.1, "load {load}: {before:?} {after:?}");
    }
}
