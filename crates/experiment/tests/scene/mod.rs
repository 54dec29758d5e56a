//! The committed scenarios, for tests.

use experiment::run;
use experiment::scenario::Scenario;
use experiment::tally::Tally;
use experiment::way::Way;

/// Of so many hosts.
pub fn scenario(hosts: u32) -> Scenario {
    let file = format!("../../examples/experiment/lost-{hosts}-hosts.json");
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    Scenario::parse(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// One run by the decisions as they stand.
pub fn play(scenario: &Scenario, seed: u64) -> Tally {
    run::run(scenario, &Way::default(), seed)
}
