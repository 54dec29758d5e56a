//! Replays of the committed traces meet their expected outcomes, and replays are deterministic.

use std::path::PathBuf;

use replay::generate::{self, Kind};
use replay::report::{Report, report};
use replay::run::{self, Options};
use replay::trace::{self, Trace};
use replay::variant::{NAMES, Variant};

fn committed() -> Vec<(String, Trace)> {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    let read = |file: PathBuf| {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&file).unwrap();
        let trace = trace::parse(&name, &text).unwrap();
        (name, trace)
    };
    files.into_iter().map(read).collect()
}

fn replay(name: &str, trace: &Trace, policy: &str) -> Report {
    let variant = Variant::by_name(policy).unwrap();
    report(name, policy, trace, Options { variant, entry_hosts: None })
}

#[test]
fn report_committed_traces_meet_expectations() {
    let traces = committed();
    assert!(traces.len() >= 8);
    let missed: Vec<String> = traces
        .iter()
        .map(|(name, trace)| replay(name, trace, "planned"))
        .filter(|report| !report.held)
        .map(|report| format!("{}: {}", report.trace, report.missed.join("; ")))
        .collect();
    assert!(missed.is_empty(), "{missed:#?}");
}

#[test]
fn report_is_deterministic() {
    let trace = generate::trace(Kind::Flood, 5);
    let once = serde_json::to_string(&replay("t", &trace, "planned")).unwrap();
    let twice = serde_json::to_string(&replay("t", &trace, "planned")).unwrap();
    assert_eq!(once, twice);
}

/// With every policy, each request ends exactly once, and runs only on versions that its account
/// may use.
#[test]
fn run_every_request_ends_once() {
    for kind in [Kind::Capacity, Kind::Flood, Kind::Sudden, Kind::Ratings] {
        let trace = generate::trace(kind, 11);
        for name in NAMES {
            let variant = Variant::by_name(name).unwrap();
            let tally = run::run(&trace, Options { variant, entry_hosts: None });
            let refused: u64 = tally.accounts.values().map(|served| served.refused).sum();
            assert_eq!(
                refused + tally.answered.len() as u64,
                trace.requests.len() as u64,
                "{name}"
            );
            assert_eq!(tally.violations, 0, "{name}");
        }
    }
}

#[test]
fn report_baselines_fall_short() {
    let trace = generate::trace(Kind::Sudden, 1);
    let best = replay("t", &trace, "best");
    let cheapest = replay("t", &trace, "cheapest");
    assert!(best.cost > best.cost_always_best * 0.95);
    assert!(cheapest.quality_margin < 0.0);
    let undetected = replay("t", &trace, "undetected");
    assert!(undetected.exposure > 3 * replay("t", &trace, "planned").exposure);
}
