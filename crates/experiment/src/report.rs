//! Compares strategies: outcomes of requests, and the time until all are served again.

use std::fmt::Write as _;

use policy::domain;

use crate::run;
use crate::scenario::Scenario;
use crate::tally::{Counts, Tally};
use crate::way::Way;

domain! {
    /// Results of one strategy, summed over its runs.
    pub struct Row {
        /// Name of the strategy.
        pub way: String,
        /// Number of runs, one per seed.
        pub runs: u32,
        /// Outcomes of requests in all runs.
        pub counts: Counts,
        /// Outcomes by the second in which callers first sent the requests.
        pub seconds: Vec<Counts>,
        /// Number of preemptions in engines.
        pub preempted: u64,
        /// Number of retries that hosts sent.
        pub repeats: u64,
        /// Number of times that callers came back after a rejection or failure.
        pub returns: u64,
        /// Number of attempts that engines rejected because they had no room.
        pub full: u64,
        /// Number of requests that engines completed after nobody waited for them any more.
        pub wasted: u64,
        /// Seconds from the end of the last cause until all later requests are served, in the worst
        /// run; `None` if some run did not recover.
        pub recovered_s: Option<f64>,
        /// Number of runs that recovered.
        pub recovered_runs: u32,
        /// Like `recovered_s`, but until at least 99 % of each second's requests are served in
        /// time.
        pub in_time_s: Option<f64>,
    }
}

/// Runs every strategy of a scenario once per seed.
#[must_use]
pub fn rows(scenario: &Scenario) -> Vec<Row> {
    let row = |way: &Way| {
        let runs = scenario.seeds.iter().map(|seed| run::run(scenario, way, *seed));
        row(scenario, way, &runs.collect::<Vec<_>>())
    };
    scenario.ways.iter().map(row).collect()
}

fn row(scenario: &Scenario, way: &Way, runs: &[Tally]) -> Row {
    let sum = |count: fn(&Tally) -> u64| runs.iter().map(count).sum();
    let end_s = scenario.causes_end_s();
    let recovered: Vec<Option<f64>> = runs.iter().map(|run| run.recovered_s(end_s)).collect();
    let counts_at = |at: usize| {
        let counts = runs.iter().filter_map(|run| run.seconds.get(at).copied());
        counts.fold(Counts::default(), Counts::plus)
    };
    Row {
        way: way.name.clone(),
        runs: runs.len() as u32,
        counts: runs.iter().map(Tally::counts).fold(Counts::default(), Counts::plus),
        seconds: (0..scenario.length_s as usize).map(counts_at).collect(),
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

/// Returns the longest time, or `None` if one is missing.
fn worst(mut times: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    times.try_fold(0.0, |most: f64, time| time.map(|time| most.max(time)))
}

/// Formats the results as a text table with one line per strategy.
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
        let percent = |count: u64| 100.0 * counts.share(count);
        let _ = writeln!(
            text,
            "{:<18} {:>7.2}% {:>6.2}% {:>8.2}% {:>6.2}% {:>10} {:>8} {:>8} {:>11} {:>9}",
            row.way,
            percent(counts.in_time),
            percent(counts.late),
            percent(counts.rejected),
            percent(counts.failed),
            row.preempted,
            row.repeats,
            row.returns,
            recovery_text(row.recovered_s, row.recovered_runs, row.runs),
            row.in_time_s.map_or_else(|| "no".to_owned(), |seconds| format!("{seconds:.0} s")),
        );
    }
    text
}

fn recovery_text(recovered_s: Option<f64>, recovered: u32, runs: u32) -> String {
    match recovered_s {
        Some(seconds) => format!("{seconds:.0} s"),
        None => format!("{recovered} of {runs}"),
    }
}
