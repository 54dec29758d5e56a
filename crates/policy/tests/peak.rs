//! Simulation of peak load with the policy's decisions: engines that read one prompt at a time, and
//! hosts that see only their own requests.
//!
//! Each test compares a rule with simpler ones; `--nocapture` prints the results.

use policy::backlog::{Backlog, Prompt};
use policy::engine::{Demand, Engine, choose};
use policy::escalate::{Doubt, Verdict, decide};
use policy::latency::Latency;
use policy::place::mix;
use policy::prefill::Speed;
use policy::time::Millis;

const START_MS: u64 = 1_000_000;
/// Prompt tokens that the small and the large model read per millisecond.
const RATES_TOKENS_PER_MS: [f64; 2] = [400.0, 40.0];
/// Fixed estimate of both models' speeds, for comparison with learnt ones.
const GUESS_TOKENS_PER_MS: f64 = 50.0;
const OBJECTIVE_MS: f64 = 1_500.0;
/// Rank of all prompts; the reading order doesn't matter here.
const RANK: u8 = 5;
/// Wait for other prompts that leaves too little of the objective, in milliseconds.
const LONG_WAIT_MS: f64 = 300.0;

/// A uniform draw from 0 to 1.
fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// Draws a prompt's length in tokens: one in a hundred is ten times as long as the rest.
fn draw_prompt_tokens(seed: &mut u64) -> f64 {
    match draw(seed) {
        long if long < 0.01 => 30_000.0 + 20_000.0 * draw(seed),
        _ => 500.0 + 6_000.0 * draw(seed),
    }
}

/// What hosts know about engines when they choose one.
#[derive(Clone, Copy, PartialEq)]
enum Knowledge {
    /// The number of the host's own requests at each engine.
    RequestCount,
    /// The prompts that the host has sent to each engine.
    OwnPrompts,
    /// The host's own prompts, and which of their answers are late.
    OwnPromptsAndLateness,
    /// The host's own prompts and the long prompts of all other hosts.
    AllPrompts,
}

/// Reading speed that hosts assume for the models.
#[derive(Clone, Copy, PartialEq)]
enum AssumedSpeed {
    /// The models' actual speeds.
    Actual,
    /// The same fixed guess for both models.
    Guess,
    /// The speeds learnt from the answers so far.
    Learnt,
}

/// Load of a simulation.
#[derive(Clone, Copy)]
struct Peak {
    /// Number of hosts, each with its own knowledge.
    hosts: usize,
    /// Prompt tokens that the small and the large model read per millisecond.
    rates: [f64; 2],
    /// Requests per second of all hosts together.
    per_s: f64,
}

/// Simulates hosts with fifteen engines, where half of the requests go to the large model. Returns
/// the share of requests that wait long for other prompts.
fn late_share((knowledge, assumed_speed): (Knowledge, AssumedSpeed), peak: Peak, seed: u64) -> f64 {
    let Peak { hosts, rates, per_s } = peak;
    const ENGINES: usize = 15;
    let mut speeds = vec![[Speed::default(); 2]; hosts];
    let mut awaited: Vec<(f64, usize, usize, u64)> = Vec::new();
    let mut seed = seed;
    let mut free_at = [START_MS as f64; ENGINES];
    let mut backlogs = vec![vec![Backlog::default(); ENGINES]; hosts];
    let mut in_flight: Vec<(f64, usize, usize)> = Vec::new();
    let (mut late, mut all, mut now) = (0, 0, START_MS as f64);
    while now < START_MS as f64 + 10_000.0 {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / per_s;
        let at = Millis(now as u64);
        let host = (draw(&mut seed) * hosts as f64) as usize;
        let tokens = draw_prompt_tokens(&mut seed);
        let model = usize::from(draw(&mut seed) < 0.5);
        let assumed_rate = match assumed_speed {
            AssumedSpeed::Actual => rates[model],
            AssumedSpeed::Guess => GUESS_TOKENS_PER_MS,
            AssumedSpeed::Learnt => speeds[host][model].tokens_per_ms(),
        };
        in_flight.retain(|(end, ..)| *end > now);
        awaited.retain(|(begins, host, engine, number)| {
            let waits = *begins > now;
            if !waits {
                backlogs[*host][*engine].record_answer_start(*number, at);
            }
            waits
        });
        let own = |engine| in_flight.iter().filter(|(_, h, e)| (*h, *e) == (host, engine)).count();
        let seen: Vec<Engine> = (0..ENGINES)
            .map(|engine| Engine {
                own: own(engine) as u32,
                slots: 32,
                near: true,
                wait_ms: match knowledge {
                    Knowledge::RequestCount => 0.0,
                    _ => backlogs[host][engine].wait_ms(RANK, at),
                },
                ..Engine::default()
            })
            .collect();
        let demand = Demand {
            prompt: tokens,
            shared: 0.0,
            tokens_per_ms: assumed_rate,
            service_ms: 2_000.0,
            far_ms: 200.0,
            failure_ms: OBJECTIVE_MS,
        };
        let engine = choose(&seen, &demand, mix(seed)).unwrap();
        let (read_ms, assumed_read_ms) = (tokens / rates[model], tokens / assumed_rate);
        let predicted_wait_ms = backlogs[host][engine].wait_ms(RANK, at);
        let is_announced = knowledge == Knowledge::AllPrompts && assumed_read_ms >= 60.0;
        let prompt = Prompt { rank: RANK, read_ms: assumed_read_ms };
        for (other, engines) in backlogs.iter_mut().enumerate() {
            if other != host && is_announced {
                engines[engine].add_announced(prompt, at);
            }
        }
        free_at[engine] = free_at[engine].max(now) + read_ms;
        match knowledge {
            Knowledge::OwnPromptsAndLateness => {
                let number = backlogs[host][engine].add_own(prompt, at);
                awaited.push((free_at[engine], host, engine, number));
            }
            _ => backlogs[host][engine].add_announced(prompt, at),
        }
        speeds[host][model].record(free_at[engine] - now, predicted_wait_ms, tokens);
        in_flight.push((free_at[engine] + 1_500.0, host, engine));
        all += 1;
        late += u32::from(free_at[engine] - now - read_ms > LONG_WAIT_MS);
    }
    f64::from(late) / f64::from(all)
}

fn mean_late_share(assumptions: (Knowledge, AssumedSpeed), peak: Peak) -> f64 {
    (0..5).map(|seed| late_share(assumptions, peak, seed * 7_919 + 1)).sum::<f64>() / 5.0
}

/// Hosts that announce their long prompts to each other keep short prompts away from the engines
/// that read long ones.
#[test]
fn choose_avoids_announced_long_prompts() {
    let [requests, own, all] =
        [Knowledge::RequestCount, Knowledge::OwnPrompts, Knowledge::AllPrompts].map(|knowledge| {
            let peak = Peak { hosts: 20, rates: RATES_TOKENS_PER_MS, per_s: 200.0 };
            mean_late_share((knowledge, AssumedSpeed::Actual), peak)
        });
    println!("waiting over 0.3 s: request count {requests:.3}, own prompts {own:.3}, all {all:.3}");
    assert!(own < requests, "{own} {requests}");
    assert!(all < own * 0.5, "{all} {own}");
}

/// Four hosts don't announce their long prompts, and each sees a quarter of the requests. A host
/// whose answers from an engine are late must avoid that engine meanwhile.
#[test]
fn choose_avoids_engines_with_late_answers() {
    let [own, late] = [Knowledge::OwnPrompts, Knowledge::OwnPromptsAndLateness].map(|knowledge| {
        let peak = Peak { hosts: 4, rates: [160.0, 20.0], per_s: 80.0 };
        mean_late_share((knowledge, AssumedSpeed::Actual), peak)
    });
    println!("waiting over 0.3 s: own prompts {own:.3}, with lateness {late:.3}");
    assert!(late < own * 0.9, "{late} {own}");
}

/// A large model reads at less than half of the guessed speed. Hosts that use the guess believe
/// engines to be free that will read for seconds more, and send short prompts behind long ones.
/// Hosts that learn the speed must do nearly as well as if they knew it.
#[test]
fn choose_with_learnt_speed_is_close_to_actual_speed() {
    let [guess, learnt, actual] = [AssumedSpeed::Guess, AssumedSpeed::Learnt, AssumedSpeed::Actual]
        .map(|assumed_speed| {
            let peak = Peak { hosts: 20, rates: [160.0, 20.0], per_s: 100.0 };
            mean_late_share((Knowledge::AllPrompts, assumed_speed), peak)
        });
    println!("waiting over 0.3 s: guess {guess:.3}, learnt {learnt:.3}, actual {actual:.3}");
    assert!(learnt < guess * 0.8, "{learnt} {guess}");
    assert!(learnt < actual + 0.02, "{learnt} {actual}");
}

/// When an answer of low confidence is escalated to the large model.
#[derive(Clone, Copy, PartialEq)]
enum Escalation {
    /// After every such answer.
    Always,
    /// When `policy::escalate` says so.
    Policy,
    /// Not at all.
    Never,
}

/// Simulates one host with four engines and returns the mean value of its answers: 1 for a right
/// answer in time, 0.1 for a right answer too late, 0.05 for a poor answer.
fn answer_value(escalation: Escalation, seed: u64, per_s: f64) -> f64 {
    const ENGINES: usize = 4;
    let mut seed = seed;
    let mut free_at = [START_MS as f64; ENGINES];
    let (mut delay, mut larger) = (Latency::default(), Latency::default());
    let (mut sum, mut all, mut now) = (0.0, 0.0, START_MS as f64);
    while now < START_MS as f64 + 30_000.0 {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / per_s;
        let at = Millis(now as u64);
        let tokens = draw_prompt_tokens(&mut seed);
        let is_hard = draw(&mut seed) > 0.54;
        let confidence =
            if is_hard { 40.0 * draw(&mut seed) } else { 55.0 + 45.0 * draw(&mut seed) };
        let mut read = |rate: f64, from: f64| {
            let engine = (0..ENGINES).min_by(|a, b| free_at[*a].total_cmp(&free_at[*b])).unwrap();
            free_at[engine] = free_at[engine].max(from) + tokens / rate;
            free_at[engine]
        };
        let mut begun = read(RATES_TOKENS_PER_MS[0], now);
        let doubt = Doubt {
            confidence: Some(confidence as u8),
            priority: 1,
            waited_ms: begun - now,
            larger_ms: larger.decayed_mean_ms(400.0, at).max(tokens / RATES_TOKENS_PER_MS[1]),
            read_ms: tokens / RATES_TOKENS_PER_MS[1],
            objective_ms: OBJECTIVE_MS,
            delay: delay.decayed_mean_ms(0.0, at),
        };
        let escalates = match escalation {
            Escalation::Always => confidence < 50.0,
            Escalation::Policy => decide(&doubt) == Verdict::Escalate,
            Escalation::Never => false,
        };
        if escalates {
            let small_begun = begun;
            begun = read(RATES_TOKENS_PER_MS[1], begun);
            larger.record(begun - small_begun, at);
        }
        delay.record((begun - now) / OBJECTIVE_MS, at);
        let is_right = escalates || !is_hard;
        sum += match (is_right, begun - now <= OBJECTIVE_MS) {
            (true, true) => 1.0,
            (true, false) => 0.1,
            (false, _) => 0.05,
        };
        all += 1.0;
    }
    sum / all
}

fn mean_answer_value(escalation: Escalation, per_s: f64) -> f64 {
    (0..10).map(|seed| answer_value(escalation, seed * 104_729 + 3, per_s)).sum::<f64>() / 10.0
}

/// At low load, nearly every answer of low confidence is escalated. At a peak, where escalating all
/// of them is twice the large-model load that the engines can read and would make every answer
/// late, the policy must do better than escalating always or never.
#[test]
fn should_escalate_at_low_and_peak_load() {
    let all = [Escalation::Always, Escalation::Policy, Escalation::Never];
    let low = all.map(|escalation| mean_answer_value(escalation, 40.0));
    let peak = all.map(|escalation| mean_answer_value(escalation, 190.0));
    println!("always, policy, never: low load {low:.3?}, peak {peak:.3?}");
    assert!(low[1] > 0.95 * low[0] && low[1] > 1.3 * low[2], "{low:?}");
    assert!(peak[1] > 1.3 * peak[0] && peak[1] > 1.05 * peak[2], "{peak:?}");
}
