//! Ways beside each other: what became of requests, and how soon all were served again.

use std::fmt::Write as _;

use policy::domain;

use crate::run;
use crate::scenario::Scenario;
use crate::tally::{Counts, Tally};
use crate::way::Way;

domain! {
    /// One way, its runs taken together.
    pub struct Row {
        /// Its name.
        pub way: String,
        /// How many runs.
        pub runs: u32,
        /// What became of requests in all runs.
        pub counts: Counts,
        /// Of those, by second.
        pub seconds: Vec<Counts>,
        /// Requests that engines preempted.
        pub preempted: u64,
        /// Second tries that hosts sent.
        pub repeats: u64,
        /// Callers that came back.
        pub returns: u64,
        /// Requests that engines rejected.
        pub full: u64,
        /// Requests that engines worked off for callers that had left.
        pub wasted: u64,
        /// Seconds from the last cause's end until all requests are served for good, in the worst
        /// run; none if some run did not come to it.
        pub recovered_s: Option<f64>,
        /// Runs that did.
        pub recovered_runs: u32,
        /// The same as `recovered_s` for 99 in 100 requests served in time.
        pub in_time_s: Option<f64>,
    }
}

/// Plays every way of a scenario from every seed.
#[must_use]
pub fn rows(scenario: &Scenario) -> Vec<Row> {
    let row = |way: &Way| {
        let runs = scenario.seeds.iter().map(|seed| run::run(scenario, way, *seed));
        row(scenario, way, &runs.collect::<Vec<_>>())
    };
    scenario.ways.iter().map(row).collect()
}

fn row(scenario: &Scenario, way: &Way, runs: &[Tally]) -> Row {
    let sum = |of: fn(&Tally) -> u64| runs.iter().map(of).sum();
    let end_s = scenario.causes_end_s();
    let recovered: Vec<Option<f64>> = runs.iter().map(|run| run.recovered_s(end_s)).collect();
    let second = |at: usize| {
        let counts = runs.iter().filter_map(|run| run.seconds.get(at).copied());
        counts.fold(Counts::default(), Counts::plus)
    };
    Row {
        way: way.name.clone(),
        runs: runs.len() as u32,
        counts: runs.iter().map(Tally::counts).fold(Counts::default(), Counts::plus),
        seconds: (0..scenario.length_s as usize).map(second).collect(),
        preempted: sum(|run| run.preempted),
        repeats: sum(|run| run.repeats),
        returns: sum(|run| run.returns),
        full: sum(|run| run.full),
        wasted: sum(|run| run.wasted),
        recovered_runs: recovered.iter().flatten().count() as u32,
        recovered_s: worst(recovered.into_iter()),
        in_time_s: worst(runs.iter().map(|run| run.in_time_s(end_s))),
    }
}

/// The longest; none if one is missing.
fn worst(mut times: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    times.try_fold(0.0, |most: f64, time| time.map(|time| most.max(time)))
}

/// One line for each way.
#[must_use]
pub fn table(scenario: &Scenario, rows: &[Row]) -> String {
    let load = scenario.load_per_s;
    let mut text = format!(
        "{} hosts, {} engines, {load} requests/s of {:.0}, causes end at {} s, {} runs a way\n\
         {:<18} {:>8} {:>7} {:>9} {:>7} {:>10} {:>8} {:>8} {:>11} {:>9}\n",
        scenario.hosts,
        scenario.engines.count,
        scenario.capacity_per_s(),
        scenario.causes_end_s(),
        scenario.seeds.len(),
        "way",
        "in time",
        "late",
        "rejected",
        "failed",
        "preempted",
        "repeats",
        "returns",
        "recovered",
        "in time"
    );
    for row in rows {
        let counts = &row.counts;
        let part = |count: u64| 100.0 * counts.share(count);
        let _ = writeln!(
            text,
            "{:<18} {:>7.2}% {:>6.2}% {:>8.2}% {:>6.2}% {:>10} {:>8} {:>8} {:>11} {:>9}",
            row.way,
            part(counts.in_time),
            part(counts.late),
            part(counts.rejected),
            part(counts.failed),
            row.preempted,
            row.repeats,
            row.returns,
            after(row.recovered_s, row.recovered_runs, row.runs),
            row.in_time_s.map_or_else(|| "no".to_owned(), |seconds| format!("{seconds:.0} s")),
        );
    }
    text
}

fn after(recovered_s: Option<f64>, recovered: u32, runs: u32) -> String {
    match recovered_s {
        Some(seconds) => format!("{seconds:.0} s"),
        None => format!("{recovered} of {runs}"),
    }
}
