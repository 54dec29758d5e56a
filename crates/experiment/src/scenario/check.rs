//! Checks the values of a scenario beyond the types of its members.

use wire::fault::{Fault, is_within};

use super::Scenario;

/// Upper bounds on hosts and engines; larger runs take too long.
const HOSTS_MAX: u32 = 400;
const ENGINES_MAX: u32 = 1_000;
/// Upper bound on a scenario's length in seconds.
const LENGTH_MAX_S: u32 = 600;

/// Returns the faults of a scenario. Paths in `mended` had other faults and hold stand-in values,
/// so they are not checked.
pub fn faults(scenario: &Scenario, mended: &[String]) -> Vec<Fault> {
    let mut rules = Rules::default();
    whole(scenario, &mut rules);
    engines(scenario, &mut rules);
    lists(scenario, &mut rules);
    rules.0.retain(|fault| !mended.iter().any(|path| is_within(&fault.path, path)));
    rules.0
}

#[derive(Default)]
struct Rules(Vec<Fault>);

impl Rules {
    fn unless(&mut self, holds: bool, path: impl Into<String>, message: &str) {
        if !holds {
            self.0.push(Fault::at(path, message));
        }
    }

    fn positive(&mut self, value: f64, path: impl Into<String>) {
        self.unless(value > 0.0 && value.is_finite(), path, "must be more than 0");
    }

    fn not_negative(&mut self, value: f64, path: impl Into<String>) {
        self.unless(value >= 0.0 && value.is_finite(), path, "must not be negative");
    }
}

fn whole(scenario: &Scenario, rules: &mut Rules) {
    let hosts = scenario.hosts;
    rules.unless((1..=HOSTS_MAX).contains(&hosts), "hosts", "must be from 1 to 400");
    let domains = scenario.domains;
    rules.unless((1..=hosts.max(1)).contains(&domains), "domains", "must be from 1 to hosts");
    let length = scenario.length_s;
    rules.unless((1..=LENGTH_MAX_S).contains(&length), "length_s", "must be from 1 to 600");
    rules.positive(scenario.load_per_s, "load_per_s");
    rules.unless(!scenario.seeds.is_empty(), "seeds", "must not be empty");
    let network = &scenario.network;
    rules.not_negative(network.engine_ms, "network.engine_ms");
    rules.not_negative(network.caller_ms, "network.caller_ms");
    rules.not_negative(network.open_ms, "network.open_ms");
    let repeats = &scenario.repeats;
    rules.not_negative(repeats.share, "repeats.share");
    rules.not_negative(repeats.spare, "repeats.spare");
    rules.positive(repeats.window_ms as f64, "repeats.window_ms");
    rules.positive(f64::from(repeats.attempts_max), "repeats.attempts_max");
}

fn engines(scenario: &Scenario, rules: &mut Rules) {
    let engines = &scenario.engines;
    let count = engines.count;
    rules.unless((1..=ENGINES_MAX).contains(&count), "engines.count", "must be from 1 to 1000");
    rules.positive(f64::from(engines.slots), "engines.slots");
    rules.positive(f64::from(engines.memory_tokens), "engines.memory_tokens");
    rules.positive(engines.step_ms, "engines.step_ms");
    rules.not_negative(engines.step_ms_per_run, "engines.step_ms_per_run");
    rules.positive(engines.read_tokens_per_ms, "engines.read_tokens_per_ms");
    rules.positive(f64::from(engines.chunk_tokens), "engines.chunk_tokens");
    rules.positive(f64::from(engines.event_tokens), "engines.event_tokens");
    rules.unless((0.0..=1.0).contains(&engines.kept), "engines.kept", "must be from 0 to 1");
    if let Some(warmup) = &engines.warmup {
        rules.positive(warmup.per_second, "engines.warmup.per_second");
        rules.positive(warmup.ms as f64, "engines.warmup.ms");
    }
}

fn lists(scenario: &Scenario, rules: &mut Rules) {
    rules.unless(!scenario.kinds.is_empty(), "kinds", "must not be empty");
    for (index, kind) in scenario.kinds.iter().enumerate() {
        let at = |member: &str| format!("kinds[{index}].{member}");
        rules.positive(kind.weight, at("weight"));
        rules.positive(f64::from(kind.prompt_tokens), at("prompt_tokens"));
        rules.positive(f64::from(kind.answer_tokens), at("answer_tokens"));
        rules.positive(kind.objective_ms as f64, at("objective_ms"));
        rules.positive(kind.gap_ms as f64, at("gap_ms"));
        rules.positive(kind.budget_ms as f64, at("budget_ms"));
    }
    for (index, cause) in scenario.causes.iter().enumerate() {
        let at = |member: &str| format!("causes[{index}].{member}");
        rules.not_negative(cause.at_s, at("at_s"));
        rules.positive(cause.for_s, at("for_s"));
        rules.unless((0.0..=1.0).contains(&cause.share), at("share"), "must be from 0 to 1");
        rules.positive(cause.times, at("times"));
        let ends = cause.at_s + cause.for_s <= f64::from(scenario.length_s);
        rules.unless(ends, at("for_s"), "must end within length_s");
    }
    rules.unless(!scenario.ways.is_empty(), "ways", "must not be empty");
    for (index, way) in scenario.ways.iter().enumerate() {
        let is_new = scenario.ways[..index].iter().all(|before| before.name != way.name);
        rules.unless(!way.name.is_empty(), format!("ways[{index}].name"), "must not be empty");
        rules.unless(is_new, format!("ways[{index}].name"), "must differ from the others");
    }
}
