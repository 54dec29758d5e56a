//! Checks the models of engines and callers against their published description.

mod scene;

use experiment::engine::{Engine, Job, Output};
use experiment::scenario::{Cause, Engines, Scenario, What};
use experiment::tally::Tally;

/// A small fleet and a short run; `load_fraction` is the load as a fraction of the capacity.
fn small_fleet(load_fraction: f64) -> Scenario {
    let whole = scene::scenario(30);
    let engines = Engines { count: 16, ..whole.engines };
    let mut small = Scenario { hosts: 4, length_s: 8, causes: Vec::new(), engines, ..whole };
    small.load_per_s = load_fraction * small.capacity_per_s();
    small
}

fn engine(settings: impl FnOnce(&mut Engines)) -> Engine {
    let mut engines = scene::scenario(30).engines;
    settings(&mut engines);
    Engine::new(&engines)
}

fn job(id: u64, rank: u8, prompt: u32, answer: u32) -> Job {
    Job { id, rank, prompt, answer }
}

/// Runs steps until the engine is idle; returns its output and the time taken in milliseconds.
fn run_to_end(engine: &mut Engine) -> (Vec<Output>, f64) {
    let (mut outputs, mut ms) = (Vec::new(), 0.0);
    while let Some(step_ms) = engine.begin_step() {
        ms += step_ms;
        engine.end_step(&mut outputs);
    }
    (outputs, ms)
}

#[test]
fn engine_answers_one_request_in_its_time() {
    let mut engine = engine(|_| ());
    assert!(engine.offer(job(1, 5, 5_000, 20)));
    let (outputs, ms) = run_to_end(&mut engine);
    // The prompt takes 40 ms and ends with the first token; 19 steps with one request follow.
    assert!((ms - (40.0 + 19.0 * 3.37)).abs() < 1e-6, "{ms}");
    let expected = [Output::FirstToken(1), Output::Event(1), Output::Event(1), Output::End(1)];
    assert_eq!(outputs, expected);
}

#[test]
fn engine_steps_grow_with_what_runs() {
    let time = |count: u64| {
        let mut engine = engine(|_| ());
        (0..count).for_each(|id| assert!(engine.offer(job(id, 5, 1, 1_000))));
        run_to_end(&mut engine).1
    };
    assert!(time(16) > 1.2 * time(1), "{} and {}", time(16), time(1));
}

#[test]
fn engine_full_rejects() {
    let mut engine = engine(|engines| engines.queue = 2);
    assert!((0..18).all(|id| engine.offer(job(id, 5, 100, 10))));
    assert!(!engine.offer(job(18, 0, 100, 10)));
    assert_eq!(engine.load(), 18);
}

#[test]
fn engine_rejects_what_is_larger_than_its_memory() {
    let mut engine = engine(|engines| engines.memory_tokens = 1_000);
    assert!(!engine.offer(job(1, 0, 995, 10)));
    assert_eq!(engine.load(), 0);
}

/// Guards against answers that use no memory: both prompts fit, but both answers don't.
#[test]
fn engine_out_of_memory_preempts_the_newest_of_the_least_urgent() {
    let mut engine = engine(|engines| engines.memory_tokens = 1_000);
    for (id, rank) in [(1, 5), (2, 5), (3, 4)] {
        assert!(engine.offer(job(id, rank, 300, 100)));
    }
    let (outputs, _) = run_to_end(&mut engine);
    let ends: Vec<_> = outputs.iter().filter(|sign| matches!(sign, Output::End(_))).collect();
    assert_eq!(ends, [&Output::End(3), &Output::End(1), &Output::End(2)]);
    assert_eq!(engine.preempted, 1);
}

#[test]
fn engine_more_urgent_preempts_and_the_other_reads_again() {
    let mut engine = engine(|engines| engines.slots = 1);
    assert!(engine.offer(job(1, 7, 1_000, 50)));
    let mut outputs = Vec::new();
    for _ in 0..10 {
        engine.begin_step().unwrap();
        engine.end_step(&mut outputs);
    }
    assert!(engine.offer(job(2, 3, 1_000, 5)));
    outputs.clear();
    let (outputs, ms) = run_to_end(&mut engine);
    assert_eq!(engine.preempted, 1);
    let ends: Vec<_> = outputs.iter().filter(|sign| matches!(sign, Output::End(_))).collect();
    assert_eq!(ends, [&Output::End(2), &Output::End(1)]);
    // The preempted request's prompt and ten tokens are read a second time.
    let read_ms = (1_000.0 + 1_010.0) / 125.0;
    assert!((ms - (read_ms + 4.0 * 3.37 + 39.0 * 3.37)).abs() < 1e-6, "{ms}");
}

#[test]
fn engine_preempted_does_not_read_what_is_kept() {
    let read_again_ms = |kept: f64| {
        let mut engine = engine(|engines| (engines.slots, engines.kept) = (1, kept));
        assert!(engine.offer(job(1, 7, 1_000, 2)));
        engine.begin_step().unwrap();
        engine.end_step(&mut Vec::new());
        assert!(engine.offer(job(2, 3, 1_000, 1)));
        run_to_end(&mut engine).1
    };
    // The second request's prompt, then all 1,001 tokens of the first again, or half of them.
    assert!((read_again_ms(0.0) - 2_001.0 / 125.0).abs() < 1e-6, "{}", read_again_ms(0.0));
    assert!((read_again_ms(0.5) - 1_501.0 / 125.0).abs() < 1e-6, "{}", read_again_ms(0.5));
}

#[test]
fn engine_cancels_requests_no_longer_waited_for() {
    let mut engine = engine(|engines| engines.slots = 1);
    assert!(engine.offer(job(1, 5, 10_000, 10)) && engine.offer(job(2, 5, 10, 10)));
    engine.begin_step().unwrap();
    engine.cancel(1);
    engine.end_step(&mut Vec::new());
    assert_eq!(engine.load(), 1);
    let (outputs, _) = run_to_end(&mut engine);
    assert_eq!(outputs.last(), Some(&Output::End(2)));
}

#[test]
fn fleet_at_half_load_serves_all_in_time() {
    let counts = scene::play(&small_fleet(0.5), 1).counts();
    assert!(counts.total() > 500, "{counts:?}");
    assert_eq!(counts.in_time, counts.total(), "{counts:?}");
}

#[test]
fn fleet_beyond_its_capacity_rejects() {
    let tally = scene::play(&small_fleet(3.0), 1);
    assert!(tally.full > 0 && tally.counts().rejected > 0, "{:?}", tally.counts());
    assert!(tally.returns > 0 && tally.left > 0, "{} {}", tally.returns, tally.left);
}

#[test]
fn run_same_seed_same_result() {
    let mut scenario = small_fleet(0.9);
    scenario.causes = vec![cause(What::Lost)];
    let (one, same): (Tally, Tally) = (scene::play(&scenario, 7), scene::play(&scenario, 7));
    assert_eq!(one, same);
    assert_ne!(one, scene::play(&scenario, 8));
}

fn cause(what: What) -> Cause {
    Cause { what, at_s: 2.0, for_s: 2.0, share: 0.5, times: 10.0 }
}

/// Requests that are in time without a cause become late or unserved with each.
#[test]
fn run_each_cause_makes_requests_late_or_unserved() {
    let load = 0.7;
    let without = scene::play(&small_fleet(load), 1).counts();
    assert_eq!(without.in_time, without.total(), "{without:?}");
    for what in [What::Lost, What::Slow, What::Traffic] {
        let mut scenario = small_fleet(load);
        scenario.causes = vec![cause(what)];
        let counts = scene::play(&scenario, 1).counts();
        assert!(counts.in_time < counts.total(), "{what:?}: {counts:?}");
    }
}

/// Guards against a network cut without effect. A host whose own engine is lost sends to engines of
/// other failure domains, unless it is cut off from them; then its callers come back to other
/// hosts.
#[test]
fn run_cut_hosts_reach_no_engine_elsewhere() {
    let mut scenario = small_fleet(0.5);
    (scenario.hosts, scenario.domains) = (16, 16);
    let lost = Cause { share: 1.0 / 16.0, ..cause(What::Lost) };
    scenario.causes = vec![lost];
    assert_eq!(scene::play(&scenario, 1).returns, 0);
    scenario.causes = vec![lost, cause(What::Cut)];
    assert!(scene::play(&scenario, 1).returns > 0);
}
