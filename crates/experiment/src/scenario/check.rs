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
    check_fleet(scenario, &mut rules);
    check_engines(scenario, &mut rules);
    check_lists(scenario, &mut rules);
    rules.0.retain(|fault| !mended.iter().any(|path| is_within(&fault.path, path)));
    rules.0
}

#[derive(Default)]
struct Rules(Vec<Fault>);

impl Rules {
    fn require(&mut self, holds: bool, path: impl Into<String>, message: &str) {
        if !holds {
            self.0.push(Fault::at(path, message));
        }
    }

    fn require_positive(&mut self, value: f64, path: impl Into<String>) {
        self.require(value > 0.0 && value.is_finite(), path, "must be more than 0");
    }

    fn require_not_negative(&mut self, value: f64, path: impl Into<String>) {
        self.require(value >= 0.0 && value.is_finite(), path, "must not be negative");
    }
}

fn check_fleet(scenario: &Scenario, rules: &mut Rules) {
    let hosts = scenario.hosts;
    rules.require((1..=HOSTS_MAX).contains(&hosts), "hosts", "must be from 1 to 400");
    let domains = scenario.domains;
    rules.require((1..=hosts.max(1)).contains(&domains), "domains", "must be from 1 to hosts");
    let length = scenario.length_s;
    rules.require((1..=LENGTH_MAX_S).contains(&length), "length_s", "must be from 1 to 600");
    rules.require_positive(scenario.load_per_s, "load_per_s");
    rules.require(!scenario.seeds.is_empty(), "seeds", "must not be empty");
    let network = &scenario.network;
    rules.require_not_negative(network.engine_ms, "network.engine_ms");
    rules.require_not_negative(network.caller_ms, "network.caller_ms");
    rules.require_not_negative(network.open_ms, "network.open_ms");
    let repeats = &scenario.repeats;
    rules.require_not_negative(repeats.share, "repeats.share");
    rules.require_not_negative(repeats.spare, "repeats.spare");
    rules.require_positive(repeats.window_ms as f64, "repeats.window_ms");
    rules.require_positive(f64::from(repeats.attempts_max), "repeats.attempts_max");
}

fn check_engines(scenario: &Scenario, rules: &mut Rules) {
    let engines = &scenario.engines;
    let count = engines.count;
    rules.require((1..=ENGINES_MAX).contains(&count), "engines.count", "must be from 1 to 1000");
    rules.require_positive(f64::from(engines.slots), "engines.slots");
    rules.require_positive(f64::from(engines.memory_tokens), "engines.memory_tokens");
    rules.require_positive(engines.step_ms, "engines.step_ms");
    rules.require_not_negative(engines.step_ms_per_run, "engines.step_ms_per_run");
    rules.require_positive(engines.read_tokens_per_ms, "engines.read_tokens_per_ms");
    rules.require_positive(f64::from(engines.chunk_tokens), "engines.chunk_tokens");
    rules.require_positive(f64::from(engines.event_tokens), "engines.event_tokens");
    rules.require((0.0..=1.0).contains(&engines.kept), "engines.kept", "must be from 0 to 1");
    if let Some(warmup) = &engines.warmup {
        rules.require_positive(warmup.per_second, "engines.warmup.per_second");
        rules.require_positive(warmup.ms as f64, "engines.warmup.ms");
    }
}

fn check_lists(scenario: &Scenario, rules: &mut Rules) {
    rules.require(!scenario.kinds.is_empty(), "kinds", "must not be empty");
    for (index, kind) in scenario.kinds.iter().enumerate() {
        let at = |member: &str| format!("kinds[{index}].{member}");
        rules.require_positive(kind.weight, at("weight"));
        rules.require_positive(f64::from(kind.prompt_tokens), at("prompt_tokens"));
        rules.require_positive(f64::from(kind.answer_tokens), at("answer_tokens"));
        rules.require_positive(kind.objective_ms as f64, at("objective_ms"));
        rules.require_positive(kind.gap_ms as f64, at("gap_ms"));
        rules.require_positive(kind.budget_ms as f64, at("budget_ms"));
    }
    for (index, cause) in scenario.causes.iter().enumerate() {
        let at = |member: &str| format!("causes[{index}].{member}");
        rules.require_not_negative(cause.at_s, at("at_s"));
        rules.require_positive(cause.for_s, at("for_s"));
        rules.require((0.0..=1.0).contains(&cause.share), at("share"), "must be from 0 to 1");
        rules.require_positive(cause.times, at("times"));
        let ends = cause.at_s + cause.for_s <= f64::from(scenario.length_s);
        rules.require(ends, at("for_s"), "must end within length_s");
    }
    rules.require(!scenario.ways.is_empty(), "ways", "must not be empty");
    for (index, way) in scenario.ways.iter().enumerate() {
        let is_new = scenario.ways[..index].iter().all(|before| before.name != way.name);
        rules.require(!way.name.is_empty(), format!("ways[{index}].name"), "must not be empty");
        rules.require(is_new, format!("ways[{index}].name"), "must differ from the others");
    }
}
