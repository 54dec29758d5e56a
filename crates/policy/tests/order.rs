//! Engines that are behind, replayed in simulated time: they read one prompt after another, the
//! first in the order that they are given, and break none off.
//!
//! Each pattern compares a decision with the one it replaced; `--nocapture` prints the figures.

use policy::backlog::{Backlog, Prompt};
use policy::place::mix;
use policy::precedence::{self, Request};
use policy::time::Millis;

const START: f64 = 1_000_000.0;
const LENGTH_MS: f64 = 30_000.0;

/// A uniform draw from 0 to 1.
fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// A request, and how soon its answer should begin.
#[derive(Clone, Copy, Default)]
struct Asked {
    request: Request,
    objective_ms: f64,
    at: f64,
}

/// A mix of three routes: short questions, quick checks of least urgency, and letters with long
/// prompts; two in five are asked of a model that reads ten times as slowly.
fn asked(seed: &mut u64, at: f64) -> Asked {
    let (priority, tokens, objective_ms) = match draw(seed) {
        question if question < 0.5 => (0, 200.0 + 1_200.0 * draw(seed), 1_500.0),
        check if check < 0.8 => (2, 600.0 + 3_000.0 * draw(seed), 2_000.0),
        _ => (1, 4_000.0 + 26_000.0 * draw(seed).powi(2), 3_000.0),
    };
    let is_again = draw(seed) < 0.4;
    let tokens_per_ms = if is_again { 20.0 } else { 200.0 };
    let request =
        Request { read_ms: tokens / tokens_per_ms, priority, is_again, is_resumed: false };
    Asked { request, objective_ms, at }
}

/// The place that routes' urgency alone gave, long prompts one further back.
fn by_urgency(request: &Request) -> u8 {
    let is_long = request.read_ms > if request.is_again { 400.0 } else { 40.0 };
    3 + 2 * request.priority.min(3) + u8::from(is_long) - u8::from(request.is_again)
}

/// One engine.
#[derive(Default)]
struct Engine {
    free_at: f64,
    waiting: Vec<(u8, Asked)>,
}

impl Engine {
    /// What it begins to read until then, and when.
    fn run(&mut self, until: f64, mut began: impl FnMut(u8, Asked, f64)) {
        loop {
            let earliest = self.waiting.iter().map(|(_, one)| one.at).fold(f64::INFINITY, f64::min);
            let at = self.free_at.max(earliest);
            if at >= until {
                return;
            }
            let there = self.waiting.iter().enumerate().filter(|(_, (_, one))| one.at <= at);
            let next = there.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.at.total_cmp(&b.1.at)));
            let Some(index) = next.map(|(index, _)| index) else { return };
            let (place, one) = self.waiting.remove(index);
            self.free_at = at + one.request.read_ms;
            began(place, one, at);
        }
    }
}

/// The share of requests whose answers begin late at one engine.
fn late_share(place: impl Fn(&Request) -> u8, per_s: f64, seed: u64) -> f64 {
    let (mut seed, mut now) = (seed, START);
    let mut engine = Engine { free_at: START, ..Engine::default() };
    let (mut late, mut all) = (0, 0);
    let mut began = |_: u8, one: Asked, at: f64| {
        late += u32::from(at + one.request.read_ms - one.at > one.objective_ms);
    };
    while now < START + LENGTH_MS {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / per_s;
        let one = asked(&mut seed, now);
        engine.run(now, &mut began);
        engine.waiting.push((place(&one.request), one));
        all += 1;
    }
    engine.run(f64::INFINITY, &mut began);
    f64::from(late) / f64::from(all)
}

fn mean(seeds: u64, share: impl Fn(u64) -> f64) -> f64 {
    (0..seeds).map(|seed| share(seed * 7_919 + 1)).sum::<f64>() / seeds as f64
}

/// An engine that has a little more to read than it can. By urgency alone a long prompt goes before
/// short ones of less urgent routes, and each of those is late for it.
#[test]
fn place_engine_that_is_behind() {
    let urgency = mean(20, |seed| late_share(by_urgency, 9.0, seed));
    let reading = mean(20, |seed| late_share(precedence::place, 9.0, seed));
    println!("late: by urgency {urgency:.3}, by reading time {reading:.3}");
    assert!(reading < urgency * 0.8, "{reading} {urgency}");
}

/// The last place of urgent requests.
const URGENT: u8 = 4;

/// What is expected of an engine before an urgent request is sent there, against what it then does:
/// the mean error, in milliseconds. `place` is what the host believes of the order.
fn error_ms(place: impl Fn(u8) -> u8, seed: u64) -> f64 {
    let (mut seed, mut now) = (seed, START);
    let mut engine = Engine { free_at: START, ..Engine::default() };
    let mut backlog = Backlog::default();
    let mut expected: Vec<(f64, f64, u64, u8)> = Vec::new();
    let mut began: Vec<(Asked, f64)> = Vec::new();
    let (mut error, mut all) = (0.0, 0.0);
    while now < START + LENGTH_MS {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / 7.0;
        let one = asked(&mut seed, now);
        engine.run(now, |_, one, at| began.push((one, at)));
        began.retain(|(one, at)| {
            let end = at + one.request.read_ms;
            let ended = end < now;
            if let Some(index) = expected.iter().position(|(sent, ..)| ended && *sent == one.at) {
                let (sent, wait_ms, number, own) = expected.remove(index);
                if own <= URGENT {
                    error += (at - sent - wait_ms).abs();
                    all += 1.0;
                }
                backlog.record_answer_start(number, Millis(end as u64));
            }
            !ended
        });
        let own = precedence::place(&one.request);
        let at = Millis(now as u64);
        let wait_ms = backlog.wait_ms(place(own), at);
        // Half of the requests are another host's, which tells of long prompts only.
        let is_own = draw(&mut seed) < 0.5;
        let prompt = Prompt { rank: place(own), read_ms: one.request.read_ms };
        match is_own {
            true => expected.push((now, wait_ms, backlog.add_own(prompt, at), own)),
            false if prompt.read_ms >= 60.0 => backlog.add_announced(prompt, at),
            false => {}
        }
        engine.waiting.push((own, one));
    }
    error / all
}

/// A host that takes an engine for one that reads in the order of arrival believes that urgent
/// requests wait behind all prompts sent there. It keeps them away from engines that would have
/// read them next.
#[test]
fn wait_ms_order_of_an_engine() {
    let arrival = mean(20, |seed| error_ms(|_| 5, seed));
    let order = mean(20, |seed| error_ms(|place| place, seed));
    println!("mean error: order of arrival {arrival:.0} ms, its own order {order:.0} ms");
    assert!(order < arrival * 0.5, "{order} {arrival}");
}
