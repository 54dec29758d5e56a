//! Simulation of overloaded engines, which read one prompt at a time without interruption, lowest
//! rank first.
//!
//! Each test compares a rule with a simpler one; `--nocapture` prints the results.

use policy::backlog::{Backlog, Prompt};
use policy::place::mix;
use policy::precedence::{self, Request};
use policy::time::Millis;

const START_MS: f64 = 1_000_000.0;
const DURATION_MS: f64 = 30_000.0;

/// A uniform draw from 0 to 1.
fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// A request of the simulation.
#[derive(Clone, Copy, Default)]
struct Job {
    request: Request,
    /// Time from arrival within which the answer should begin, in milliseconds.
    objective_ms: f64,
    /// Time of arrival, in milliseconds.
    at: f64,
}

/// Draws a request from a mix of three routes: short questions, quick checks of the lowest urgency,
/// and letters with long prompts. Two in five requests go to a model that reads ten times as
/// slowly.
fn draw_job(seed: &mut u64, at: f64) -> Job {
    let (priority, tokens, objective_ms) = match draw(seed) {
        question if question < 0.5 => (0, 200.0 + 1_200.0 * draw(seed), 1_500.0),
        check if check < 0.8 => (2, 600.0 + 3_000.0 * draw(seed), 2_000.0),
        _ => (1, 4_000.0 + 26_000.0 * draw(seed).powi(2), 3_000.0),
    };
    let is_repeat = draw(seed) < 0.4;
    let tokens_per_ms = if is_repeat { 20.0 } else { 200.0 };
    let request =
        Request { read_ms: tokens / tokens_per_ms, priority, is_repeat, is_resumed: false };
    Job { request, objective_ms, at }
}

/// Simpler rule for comparison: the rank by the routes' urgency, plus one for long prompts.
fn rank_by_urgency(request: &Request) -> u8 {
    let is_long = request.read_ms > if request.is_repeat { 400.0 } else { 40.0 };
    3 + 2 * request.priority.min(3) + u8::from(is_long) - u8::from(request.is_repeat)
}

/// A simulated engine.
#[derive(Default)]
struct Engine {
    free_at: f64,
    waiting: Vec<(u8, Job)>,
}

impl Engine {
    /// Runs the engine until this time and reports each prompt that it begins, with its rank and
    /// the time.
    fn run(&mut self, until: f64, mut on_begin: impl FnMut(u8, Job, f64)) {
        loop {
            let earliest = self.waiting.iter().map(|(_, job)| job.at).fold(f64::INFINITY, f64::min);
            let at = self.free_at.max(earliest);
            if at >= until {
                return;
            }
            let arrived = self.waiting.iter().enumerate().filter(|(_, (_, job))| job.at <= at);
            let next =
                arrived.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.at.total_cmp(&b.1.at)));
            let Some(index) = next.map(|(index, _)| index) else { return };
            let (rank, job) = self.waiting.remove(index);
            self.free_at = at + job.request.read_ms;
            on_begin(rank, job, at);
        }
    }
}

/// Simulates one engine and returns the share of requests whose answers begin late.
fn late_share(rank: impl Fn(&Request) -> u8, per_s: f64, seed: u64) -> f64 {
    let (mut seed, mut now) = (seed, START_MS);
    let mut engine = Engine { free_at: START_MS, ..Engine::default() };
    let (mut late, mut all) = (0, 0);
    let mut on_begin = |_: u8, job: Job, at: f64| {
        late += u32::from(at + job.request.read_ms - job.at > job.objective_ms);
    };
    while now < START_MS + DURATION_MS {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / per_s;
        let job = draw_job(&mut seed, now);
        engine.run(now, &mut on_begin);
        engine.waiting.push((rank(&job.request), job));
        all += 1;
    }
    engine.run(f64::INFINITY, &mut on_begin);
    f64::from(late) / f64::from(all)
}

fn mean(seeds: u64, share: impl Fn(u64) -> f64) -> f64 {
    (0..seeds).map(|seed| share(seed * 7_919 + 1)).sum::<f64>() / seeds as f64
}

/// An engine gets slightly more to read than it can. By urgency alone, a long prompt is read before
/// short prompts of less urgent routes, and makes each of them late.
#[test]
fn rank_by_reading_time_has_fewer_late_answers() {
    let urgency = mean(20, |seed| late_share(rank_by_urgency, 9.0, seed));
    let reading = mean(20, |seed| late_share(precedence::rank, 9.0, seed));
    println!("late: by urgency {urgency:.3}, by reading time {reading:.3}");
    assert!(reading < urgency * 0.8, "{reading} {urgency}");
}

/// Highest rank that counts as urgent.
const URGENT_RANK_MAX: u8 = 4;

/// Mean error of the wait predicted for urgent requests, in milliseconds. `believed_rank` maps the
/// rank that the engine uses to the rank that the host assumes.
fn error_ms(believed_rank: impl Fn(u8) -> u8, seed: u64) -> f64 {
    let (mut seed, mut now) = (seed, START_MS);
    let mut engine = Engine { free_at: START_MS, ..Engine::default() };
    let mut backlog = Backlog::default();
    let mut expected: Vec<(f64, f64, u64, u8)> = Vec::new();
    let mut began: Vec<(Job, f64)> = Vec::new();
    let (mut error, mut all) = (0.0, 0.0);
    while now < START_MS + DURATION_MS {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / 7.0;
        let job = draw_job(&mut seed, now);
        engine.run(now, |_, job, at| began.push((job, at)));
        began.retain(|(job, at)| {
            let end = at + job.request.read_ms;
            let ended = end < now;
            if let Some(index) = expected.iter().position(|(sent, ..)| ended && *sent == job.at) {
                let (sent, wait_ms, number, own) = expected.remove(index);
                if own <= URGENT_RANK_MAX {
                    error += (at - sent - wait_ms).abs();
                    all += 1.0;
                }
                backlog.record_answer_start(number, Millis(end as u64));
            }
            !ended
        });
        let own = precedence::rank(&job.request);
        let at = Millis(now as u64);
        let wait_ms = backlog.wait_ms(believed_rank(own), at);
        // Half of the requests are sent by another host, which announces long prompts only.
        let is_own = draw(&mut seed) < 0.5;
        let prompt = Prompt { rank: believed_rank(own), read_ms: job.request.read_ms };
        match is_own {
            true => expected.push((now, wait_ms, backlog.add_own(prompt, at), own)),
            false if prompt.read_ms >= 60.0 => backlog.add_announced(prompt, at),
            false => {}
        }
        engine.waiting.push((own, job));
    }
    error / all
}

/// A host that assumes an order of arrival predicts that urgent requests wait behind all prompts at
/// an engine, and avoids engines that would have read them next.
#[test]
fn wait_ms_with_ranks_predicts_urgent_requests_better() {
    let arrival = mean(20, |seed| error_ms(|_| 5, seed));
    let order = mean(20, |seed| error_ms(|rank| rank, seed));
    println!("mean error: order of arrival {arrival:.0} ms, by rank {order:.0} ms");
    assert!(order < arrival * 0.5, "{order} {arrival}");
}
