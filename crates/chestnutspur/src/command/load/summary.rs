//! The printed summary of a load.

use std::collections::BTreeMap;
use std::fmt;

use policy::domain;

use super::Arguments;
use super::driver::Result;

domain! {
    /// Results of one run, as `--json` prints them.
    pub struct Summary {
        /// Requests a second to each target, as `--rate` asks for.
        pub rate: f64,
        /// Length of the measurement in seconds, without the warm-up.
        pub seconds: f64,
        /// Results by target, in the order of the command line. The first is the baseline of the
        /// others.
        pub targets: Vec<Target>,
    }

    /// Results of one target.
    pub struct Target {
        /// Address of the target.
        pub address: String,
        /// Number of complete 2xx answers.
        pub answered: u64,
        /// Number of requests without a complete 2xx answer.
        pub failed: u64,
        /// Number of failed requests by reason.
        pub failures: BTreeMap<String, u64>,
        /// Median latency since the intended send time, in milliseconds.
        pub p50_ms: f64,
        /// 90th percentile of the latency, in milliseconds.
        pub p90_ms: f64,
        /// 99th percentile of the latency, in milliseconds.
        pub p99_ms: f64,
        /// Maximum latency, in milliseconds.
        pub max_ms: f64,
        /// Median latency minus that of the first target, in milliseconds.
        pub added_p50_ms: f64,
        /// Processor time of the target's process per answer, in microseconds; none if unknown.
        pub processor_us: Option<f64>,
    }
}

impl Summary {
    /// Summarizes the measurements of a run.
    #[must_use]
    pub fn new(arguments: &Arguments, measurements: &[Result]) -> Self {
        let mut targets: Vec<Target> = measurements.iter().map(Target::new).collect();
        let first = targets.first().map_or(0.0, |target| target.p50_ms);
        for target in &mut targets {
            target.added_p50_ms = target.p50_ms - first;
        }
        Self { rate: arguments.rate, seconds: arguments.seconds, targets }
    }
}

impl Target {
    fn new(measurement: &Result) -> Self {
        let latency = &measurement.latency;
        let answered = latency.len();
        let ms = |us: u64| us as f64 / 1000.0;
        let per_answer_us =
            |time: std::time::Duration| time.as_secs_f64() * 1e6 / answered.max(1) as f64;
        Self {
            address: measurement.address.to_string(),
            answered,
            failed: measurement.failed.values().sum(),
            failures: measurement.failed.clone(),
            p50_ms: ms(latency.value_at_quantile(0.5)),
            p90_ms: ms(latency.value_at_quantile(0.9)),
            p99_ms: ms(latency.value_at_quantile(0.99)),
            max_ms: ms(latency.max()),
            added_p50_ms: 0.0,
            processor_us: measurement.processor.map(per_answer_us),
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
