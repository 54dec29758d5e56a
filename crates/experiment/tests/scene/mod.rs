//! Committed scenarios for tests.

use experiment::run;
use experiment::scenario::Scenario;
use experiment::tally::Tally;
use experiment::way::Way;

/// Reads the committed scenario with the given number of hosts.
pub fn scenario(hosts: u32) -> Scenario {
    let file = format!("../../examples/experiment/lost-{hosts}-hosts.json");
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    Scenario::parse(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// Runs a scenario once with the router's own strategy.
pub fn play(scenario: &Scenario, seed: u64) -> Tally {
    run::run(scenario, &Way::default(), seed)
}
