//! Loads as they are at the peak, replayed through the deciding code in simulated time: engines
//! that read prompts one after another, hosts that see only their own requests.
//!
//! Each pattern compares a decision with the one it replaced; `--nocapture` prints the figures.

use policy::backlog::{Backlog, Prompt};
use policy::engine::{Ask, Engine, choose};
use policy::escalate::{Doubt, escalate};
use policy::patience::Patience;
use policy::place::mix;
use policy::prefill::Speed;
use policy::time::Millis;

const START: u64 = 1_000_000;
/// Prompt tokens read in a millisecond, by the small and the large model.
const RATES: [f64; 2] = [400.0, 40.0];
/// What was believed of both models before their speeds were learnt.
const GUESS: f64 = 50.0;
const OBJECTIVE_MS: f64 = 1_500.0;
/// Of all prompts where the order does not matter.
const RANK: u8 = 5;
/// A wait for others' prompts that leaves too little of the objective.
const LONG_WAIT_MS: f64 = 300.0;

/// A uniform draw from 0 to 1.
fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// A prompt's length: one in a hundred is ten times as long as the rest.
fn prompt(seed: &mut u64) -> f64 {
    match draw(seed) {
        long if long < 0.01 => 30_000.0 + 20_000.0 * draw(seed),
        _ => 500.0 + 6_000.0 * draw(seed),
    }
}

/// What hosts know of engines when they choose.
#[derive(Clone, Copy, PartialEq)]
enum Knowing {
    /// How many requests each host has there.
    Requests,
    /// The prompts each host has sent there.
    OwnPrompts,
    /// Those, and which of their answers are late.
    OwnPromptsAndLate,
    /// The long prompts that all hosts have sent there.
    AllPrompts,
}

/// How fast hosts believe that the models read.
#[derive(Clone, Copy, PartialEq)]
enum Believing {
    /// As fast as they do.
    Truth,
    /// As guessed.
    Guess,
    /// As the answers so far have shown.
    Answers,
}

/// A load.
#[derive(Clone, Copy)]
struct Peak {
    /// Hosts, each with its own belief.
    hosts: usize,
    /// Prompt tokens read in a millisecond, by the small and the large model.
    rates: [f64; 2],
    /// Requests a second, of all hosts.
    per_s: f64,
}

/// Hosts before fifteen engines; half of the requests go to the large model. The share of
/// requests that wait for others' prompts for long.
fn late_share((knowing, believing): (Knowing, Believing), peak: Peak, seed: u64) -> f64 {
    let Peak { hosts, rates, per_s } = peak;
    const ENGINES: usize = 15;
    let mut speeds = vec![[Speed::default(); 2]; hosts];
    let mut awaited: Vec<(f64, usize, usize, u64)> = Vec::new();
    let mut seed = seed;
    let mut free_at = [START as f64; ENGINES];
    let mut believed = vec![vec![Backlog::default(); ENGINES]; hosts];
    let mut under_way: Vec<(f64, usize, usize)> = Vec::new();
    let (mut late, mut all, mut now) = (0, 0, START as f64);
    while now < START as f64 + 10_000.0 {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / per_s;
        let at = Millis(now as u64);
        let host = (draw(&mut seed) * hosts as f64) as usize;
        let tokens = prompt(&mut seed);
        let model = usize::from(draw(&mut seed) < 0.5);
        let believed_rate = match believing {
            Believing::Truth => rates[model],
            Believing::Guess => GUESS,
            Believing::Answers => speeds[host][model].tokens_per_ms(),
        };
        under_way.retain(|(end, ..)| *end > now);
        awaited.retain(|(begins, host, engine, number)| {
            let waits = *begins > now;
            if !waits {
                believed[*host][*engine].record_answer_start(*number, at);
            }
            waits
        });
        let own = |engine| under_way.iter().filter(|(_, h, e)| (*h, *e) == (host, engine)).count();
        let seen: Vec<Engine> = (0..ENGINES)
            .map(|engine| Engine {
                own: own(engine) as u32,
                slots: 32,
                near: true,
                wait_ms: match knowing {
                    Knowing::Requests => 0.0,
                    _ => believed[host][engine].wait_ms(RANK, at),
                },
                ..Engine::default()
            })
            .collect();
        let ask = Ask {
            prompt: tokens,
            shared: 0.0,
            tokens_per_ms: believed_rate,
            service_ms: 2_000.0,
            far_ms: 200.0,
            failure_ms: OBJECTIVE_MS,
        };
        let engine = choose(&seen, &ask, mix(seed)).unwrap();
        let (read_ms, believed_ms) = (tokens / rates[model], tokens / believed_rate);
        let known_ms = believed[host][engine].wait_ms(RANK, at);
        let tells = knowing == Knowing::AllPrompts && believed_ms >= 60.0;
        let prompt = Prompt { rank: RANK, read_ms: believed_ms };
        for (other, engines) in believed.iter_mut().enumerate() {
            if other != host && tells {
                engines[engine].add_announced(prompt, at);
            }
        }
        free_at[engine] = free_at[engine].max(now) + read_ms;
        match knowing {
            Knowing::OwnPromptsAndLate => {
                let number = believed[host][engine].add_own(prompt, at);
                awaited.push((free_at[engine], host, engine, number));
            }
            _ => believed[host][engine].add_announced(prompt, at),
        }
        speeds[host][model].note(free_at[engine] - now, known_ms, tokens);
        under_way.push((free_at[engine] + 1_500.0, host, engine));
        all += 1;
        late += u32::from(free_at[engine] - now - read_ms > LONG_WAIT_MS);
    }
    f64::from(late) / f64::from(all)
}

fn mean(way: (Knowing, Believing), peak: Peak) -> f64 {
    (0..5).map(|seed| late_share(way, peak, seed * 7_919 + 1)).sum::<f64>() / 5.0
}

/// Long prompts among short ones, from many hosts. Told of each other's long prompts, hosts keep
/// short ones away from the engines that read them.
#[test]
fn choose_long_prompts_of_other_hosts() {
    let [requests, own, all] =
        [Knowing::Requests, Knowing::OwnPrompts, Knowing::AllPrompts].map(|knowing| {
            let peak = Peak { hosts: 20, rates: RATES, per_s: 200.0 };
            mean((knowing, Believing::Truth), peak)
        });
    println!(
        "waits over 0.3 s: knowing requests {requests:.3}, own prompts {own:.3}, all prompts {all:.3}"
    );
    assert!(own < requests, "{own} {requests}");
    assert!(all < own * 0.5, "{all} {own}");
}

/// Long prompts of other hosts that nobody tells of, from four hosts that each see a quarter of the
/// requests. A host whose own answers from an engine are late sends no more there meanwhile.
#[test]
fn choose_late_answers_show_unknown_prompts() {
    let [own, late] = [Knowing::OwnPrompts, Knowing::OwnPromptsAndLate].map(|knowing| {
        let peak = Peak { hosts: 4, rates: [160.0, 20.0], per_s: 80.0 };
        mean((knowing, Believing::Truth), peak)
    });
    println!("waits over 0.3 s: own prompts {own:.3}, with late answers {late:.3}");
    assert!(late < own * 0.9, "{late} {own}");
}

/// A large model that reads at less than half of the speed that was guessed. Hosts that go by the
/// guess take engines for free that will read for seconds yet, and send short prompts behind long
/// ones; hosts that learn it do nearly as well as if they had known it.
#[test]
fn choose_speed_unlike_guess() {
    let [guess, answers, truth] =
        [Believing::Guess, Believing::Answers, Believing::Truth].map(|believing| {
            let peak = Peak { hosts: 20, rates: [160.0, 20.0], per_s: 100.0 };
            mean((Knowing::AllPrompts, believing), peak)
        });
    println!("waits over 0.3 s: guess {guess:.3}, learnt {answers:.3}, known {truth:.3}");
    assert!(answers < guess * 0.8, "{answers} {guess}");
    assert!(answers < truth + 0.02, "{answers} {truth}");
}

/// How doubtful answers are treated.
#[derive(Clone, Copy, PartialEq)]
enum Treating {
    /// The large model is always asked again.
    Always,
    /// As the policy says.
    Policy,
    /// Never.
    Never,
}

/// One host before four engines. What callers get: a right answer in time counts 1, a right one
/// too late 0.1, a poor one 0.05.
fn worth(treating: Treating, seed: u64, per_s: f64) -> f64 {
    const ENGINES: usize = 4;
    let mut seed = seed;
    let mut free_at = [START as f64; ENGINES];
    let (mut delay, mut larger) = (Patience::default(), Patience::default());
    let (mut sum, mut all, mut now) = (0.0, 0.0, START as f64);
    while now < START as f64 + 30_000.0 {
        now += -draw(&mut seed).max(1e-9).ln() * 1_000.0 / per_s;
        let at = Millis(now as u64);
        let tokens = prompt(&mut seed);
        let hard = draw(&mut seed) > 0.54;
        let confidence = if hard { 40.0 * draw(&mut seed) } else { 55.0 + 45.0 * draw(&mut seed) };
        let mut read = |rate: f64, from: f64| {
            let engine = (0..ENGINES).min_by(|a, b| free_at[*a].total_cmp(&free_at[*b])).unwrap();
            free_at[engine] = free_at[engine].max(from) + tokens / rate;
            free_at[engine]
        };
        let mut begun = read(RATES[0], now);
        let doubt = Doubt {
            confidence: Some(confidence as u8),
            priority: 1,
            waited_ms: begun - now,
            larger_ms: larger.faded_ms(400.0, at).max(tokens / RATES[1]),
            read_ms: tokens / RATES[1],
            objective_ms: OBJECTIVE_MS,
            delay: delay.faded_ms(0.0, at),
        };
        let again = match treating {
            Treating::Always => confidence < 50.0,
            Treating::Policy => escalate(&doubt),
            Treating::Never => false,
        };
        if again {
            let small = begun;
            begun = read(RATES[1], begun);
            larger.note(begun - small, at);
        }
        delay.note((begun - now) / OBJECTIVE_MS, at);
        let right = again || !hard;
        sum += match (right, begun - now <= OBJECTIVE_MS) {
            (true, true) => 1.0,
            (true, false) => 0.1,
            (false, _) => 0.05,
        };
        all += 1.0;
    }
    sum / all
}

fn mean_worth(treating: Treating, per_s: f64) -> f64 {
    (0..10).map(|seed| worth(treating, seed * 104_729 + 3, per_s)).sum::<f64>() / 10.0
}

/// On a quiet day nearly every doubtful answer is asked again; at a peak of twice what the engines
/// can read for the large model that would make all late, and the policy is better than both ways.
#[test]
fn escalate_quiet_and_peak() {
    let all = [Treating::Always, Treating::Policy, Treating::Never];
    let quiet = all.map(|treating| mean_worth(treating, 40.0));
    let peak = all.map(|treating| mean_worth(treating, 190.0));
    println!("always, policy, never: quiet {quiet:.3?}, peak {peak:.3?}");
    assert!(quiet[1] > 0.95 * quiet[0] && quiet[1] > 1.3 * quiet[2], "{quiet:?}");
    assert!(peak[1] > 1.3 * peak[0] && peak[1] > 1.05 * peak[2], "{peak:?}");
}
