//! What the load driver prints.

use std::collections::BTreeMap;
use std::fmt;

use policy::domain;

use super::Arguments;
use super::driver::Result;

domain! {
    /// One run.
    pub struct Summary {
        /// Requests a second for each target, as asked for.
        pub rate: f64,
        /// Seconds counted.
        pub seconds: f64,
        /// Each target; all others are compared with the first.
        pub targets: Vec<Target>,
    }

    /// One target.
    pub struct Target {
        /// Where it is.
        pub address: String,
        /// Whole answers.
        pub answered: u64,
        /// Requests without one.
        pub failed: u64,
        /// What went wrong with those.
        pub failures: BTreeMap<String, u64>,
        /// Median latency from the intended send time, in milliseconds.
        pub p50_ms: f64,
        /// 90 in 100 are no longer.
        pub p90_ms: f64,
        /// 99 in 100 are no longer.
        pub p99_ms: f64,
        /// The longest.
        pub max_ms: f64,
        /// Median latency above the first target's.
        pub added_p50_ms: f64,
        /// Processor time of its process for each answer, in microseconds.
        pub processor_us: Option<f64>,
    }
}

impl Summary {
    /// Of a run's results.
    #[must_use]
    pub fn new(arguments: &Arguments, results: &[Result]) -> Self {
        let mut targets: Vec<Target> = results.iter().map(Target::new).collect();
        let first = targets.first().map_or(0.0, |target| target.p50_ms);
        for target in &mut targets {
            target.added_p50_ms = target.p50_ms - first;
        }
        Self { rate: arguments.rate, seconds: arguments.seconds, targets }
    }
}

impl Target {
    fn new(result: &Result) -> Self {
        let latency = &result.latency;
        let answered = latency.len();
        let ms = |us: u64| us as f64 / 1000.0;
        let each = |time: std::time::Duration| time.as_secs_f64() * 1e6 / answered.max(1) as f64;
        Self {
            address: result.address.to_string(),
            answered,
            failed: result.failed.values().sum(),
            failures: result.failed.clone(),
            p50_ms: ms(latency.value_at_quantile(0.5)),
            p90_ms: ms(latency.value_at_quantile(0.9)),
            p99_ms: ms(latency.value_at_quantile(0.99)),
            max_ms: ms(latency.max()),
            added_p50_ms: 0.0,
            processor_us: result.processor.map(each),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} requests a second to each target for {} s", self.rate, self.seconds)?;
        writeln!(
            f,
            "{:<22} {:>9} {:>7} {:>8} {:>8} {:>8} {:>8} {:>10} {:>8}",
            "target",
            "answered",
            "failed",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "max ms",
            "added p50",
            "cpu µs"
        )?;
        for target in &self.targets {
            let processor = target.processor_us.map_or("-".to_owned(), |us| format!("{us:.0}"));
            writeln!(
                f,
                "{:<22} {:>9} {:>7} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>10.3} {:>8}",
                target.address,
                target.answered,
                target.failed,
                target.p50_ms,
                target.p90_ms,
                target.p99_ms,
                target.max_ms,
                target.added_p50_ms,
                processor
            )?;
            for (why, count) in &target.failures {
                writeln!(f, "  {count} {why}")?;
            }
        }
        Ok(())
    }
}
