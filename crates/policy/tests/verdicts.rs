//! Both errors of the verdict on a new version, bad ones declared done and good ones stopped, where
//! kinds of trouble meet kinds of badness.
//!
//! CI plays a few seeds for each pair. By hand: `CHESTNUTSPUR_VERDICT_SEEDS=1000 cargo test --release
//! -p policy --test verdicts -- --nocapture`, which prints a table.

#[path = "verdicts/world.rs"]
mod world;

use policy::canary::Stage;
use world::{Badness, FEW_PER_S, PER_S, Trouble};

/// Seeds for each pair in CI.
const CI_SEEDS: u64 = 12;
/// Environment variable for the number of seeds.
const SEEDS_VARIABLE: &str = "CHESTNUTSPUR_VERDICT_SEEDS";

fn seeds() -> u64 {
    let chosen = std::env::var(SEEDS_VARIABLE).ok();
    chosen.and_then(|text| text.parse().ok()).unwrap_or(CI_SEEDS)
}

/// The share of roll-outs that are declared done.
fn done_share(per_s: f64, trouble: Trouble, badness: Badness, seeds: u64) -> f64 {
    let is_done = |seed: &u64| world::roll_out(per_s, trouble, badness, *seed) == Stage::Done;
    (0..seeds).filter(is_done).count() as f64 / seeds as f64
}

/// Shares of versions declared done for each kind of badness (rows) and trouble (columns).
fn table(per_s: f64, kinds: &[Badness], seeds: u64) -> Vec<(Badness, Vec<f64>)> {
    println!("{per_s} requests a second, {seeds} seeds each, done in 100: {:?}", Trouble::ALL);
    let row = |badness: &Badness| {
        let row: Vec<f64> = Trouble::ALL
            .iter()
            .map(|trouble| done_share(per_s, *trouble, *badness, seeds))
            .collect();
        let text: Vec<String> = row.iter().map(|share| format!("{:5.1}", share * 100.0)).collect();
        println!("{:>12} | {}", format!("{badness:?}"), text.join(" | "));
        (*badness, row)
    };
    kinds.iter().map(row).collect()
}

/// Guards against bad versions that are declared done because trouble makes them look usual, or
/// because their bad answers are not counted.
#[test]
fn verdict_bad_version_is_not_done_in_any_trouble() {
    let seeds = seeds();
    for (badness, row) in table(PER_S, &Badness::SHOWN, seeds) {
        for (trouble, done) in Trouble::ALL.iter().zip(row) {
            assert!(done <= 0.01, "{badness:?} beside {trouble:?}: {done} of {seeds} done");
        }
    }
}

/// Guards against a verdict that stops all versions to be on the safe side.
#[test]
fn verdict_good_version_is_done_without_trouble() {
    let seeds = seeds();
    let (_, row) = table(PER_S, &[Badness::None], seeds).remove(0);
    for trouble in [Trouble::None, Trouble::Bursts, Trouble::OldSlowBefore, Trouble::OldFailsBefore]
    {
        let index = Trouble::ALL.iter().position(|one| *one == trouble).unwrap_or_default();
        assert!(row[index] >= 0.9, "{trouble:?}: {} done", row[index]);
    }
}

/// Versions that fail only under load, or one route of which fails, may pass: their few answers on
/// trial can't show each of them. Most are stopped.
#[test]
fn verdict_version_bad_in_part_is_mostly_stopped() {
    for (badness, row) in table(PER_S, &Badness::HIDDEN, seeds()) {
        let mean = row.iter().sum::<f64>() / row.len() as f64;
        assert!(mean <= 0.1, "{badness:?}: {mean} done");
    }
}

/// Guards against bad versions of services with few requests that are declared done because nothing
/// is known of them.
#[test]
fn verdict_unknown_version_is_not_done() {
    let seeds = seeds();
    table(FEW_PER_S, &[Badness::None], seeds);
    for (badness, row) in table(FEW_PER_S, &Badness::SHOWN, seeds) {
        let mean = row.iter().sum::<f64>() / row.len() as f64;
        assert!(mean <= 0.02, "{badness:?}: {mean} done");
    }
}
