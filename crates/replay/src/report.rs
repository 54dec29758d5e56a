//! The results of a replay, checked against the outcomes that the trace states.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use policy::domain;
use policy::name::Name;

use crate::oracle::{self, Hindsights};
use crate::run::tally::{Exposure, Refusals, Served, Tally, percentile};
use crate::run::{self, Options};
use crate::trace::{Expect, Trace};

domain! {
    /// Results of one task, over all accounts.
    #[derive(Copy, Default)]
    pub struct Task {
        /// Number of requests answered in time.
        pub answered: u64,
        /// Share of good answers among the answers in time, 0 to 1.
        pub quality: f64,
        /// The highest quality target that any account has for the task.
        pub target: f64,
        /// Cost of all calls and ratings for the task.
        pub cost: f64,
        /// Cost of the best fixed plan in hindsight.
        pub cost_oracle: f64,
        /// Cost of the best mix of two plans in hindsight.
        pub cost_oracle_mix: f64,
    }

    /// Results of the replay of one trace.
    pub struct Report {
        /// Name of the trace file.
        pub trace: String,
        /// Name of the policy, one of [`NAMES`](crate::variant::NAMES).
        pub policy: String,
        /// Number of requests in the trace.
        pub requests: u64,
        /// Share of good answers among all answers in time, 0 to 1.
        pub quality: f64,
        /// Mean quality target of the answered requests.
        pub target: f64,
        /// Smallest difference of a task's quality and its target; below 0, a target is missed.
        pub quality_margin: f64,
        /// Cost of all calls and ratings.
        pub cost: f64,
        /// Cost of the best fixed plans in hindsight.
        pub cost_oracle: f64,
        /// Cost of the best mixes of two plans in hindsight.
        pub cost_oracle_mix: f64,
        /// Cost of always using the best version.
        pub cost_always_best: f64,
        /// Cost of always using the cheapest version.
        pub cost_always_cheapest: f64,
        /// Number of calls of versions that had turned bad.
        pub exposure: u64,
        /// The calls of versions that had turned bad, by stage.
        pub exposure_parts: Exposure,
        /// Exposure in a replay with a single host; `None` if the trace states no limit for it.
        pub exposure_one_host: Option<u64>,
        /// Number of good versions that were quarantined.
        pub false_alarms: u64,
        /// Number of rated answers.
        pub rated: u64,
        /// Median answer time, in milliseconds.
        pub p50_ms: u64,
        /// 95th percentile of answer times, in milliseconds.
        pub p95_ms: u64,
        /// 99th percentile of answer times, in milliseconds.
        pub p99_ms: u64,
        /// 99th percentile of the time that calls waited at a backend server, in milliseconds.
        pub server_wait_p99_ms: u64,
        /// Share of requests that were refused, failed or answered late, 0 to 1.
        pub refused_share: f64,
        /// The highest share of refused, failed or late requests of any account, 0 to 1.
        pub refused_share_worst_account: f64,
        /// Number of refused, failed or late requests by reason.
        pub refusals: Refusals,
        /// Results by task.
        pub tasks: BTreeMap<Name, Task>,
        /// Expected outcomes that the replay missed, as messages for people.
        pub missed: Vec<String>,
        /// Whether the replay met all expected outcomes.
        pub held: bool,
    }
}

/// Replays a trace and checks the outcomes that the trace states. `file` and `policy` are the
/// names that the report shows.
#[must_use]
pub fn report(file: &str, policy: &str, trace: &Trace, options: Options) -> Report {
    let tally = run::run(trace, options);
    let expect = &trace.header.expect;
    let one_host = expect.exposure_over_one_host_max.map(|_| {
        let alone = run::run(trace, Options { entry_hosts: Some(1), ..options });
        alone.exposure.test + alone.exposure.spread
    });
    let costs = oracle::costs(trace, &tally.answered);
    let mut report = figures(trace, &tally, &costs);
    report.trace = file.to_owned();
    report.policy = policy.to_owned();
    report.exposure_one_host = one_host;
    report.missed = missed(&report, expect, &tally);
    report.held = report.missed.is_empty();
    report
}

fn figures(trace: &Trace, tally: &Tally, costs: &Hindsights) -> Report {
    let tasks = tasks(trace, tally, costs);
    let accounts = tally.accounts.values().map(|served| served.refused_share());
    Report {
        trace: String::new(),
        policy: String::new(),
        requests: trace.requests.len() as u64,
        quality: tally.quality(),
        target: target(trace, tally),
        quality_margin: tasks.values().map(|t| t.quality - t.target).fold(1.0, f64::min),
        cost: tally.cost,
        cost_oracle: costs.sum.oracle,
        cost_oracle_mix: costs.sum.oracle_mix,
        cost_always_best: costs.sum.always_best,
        cost_always_cheapest: costs.sum.always_cheapest,
        exposure: tally.exposure.test + tally.exposure.spread,
        exposure_parts: tally.exposure,
        exposure_one_host: None,
        false_alarms: tally.false_alarms,
        rated: tally.rated,
        p50_ms: tally.percentile(0.50),
        p95_ms: tally.percentile(0.95),
        p99_ms: tally.percentile(0.99),
        server_wait_p99_ms: percentile(&tally.server_waits, 0.99),
        refused_share: tally.refused_share(),
        refused_share_worst_account: accounts.fold(0.0, f64::max),
        refusals: tally.refusals,
        tasks,
        missed: Vec::new(),
        held: false,
    }
}

fn target(trace: &Trace, tally: &Tally) -> f64 {
    let requests = tally.answered.iter().map(|index| &trace.requests[*index]);
    let targets = requests.filter_map(|request| trace.task(request)).map(|t| t.quality_target);
    targets.sum::<f64>() / tally.answered.len().max(1) as f64
}

/// Computes the results by task. Tasks with the same name count together for all accounts and are
/// compared with the highest target that any account has.
fn tasks(trace: &Trace, tally: &Tally, costs: &Hindsights) -> BTreeMap<Name, Task> {
    let target = |task: &Name| {
        let accounts = trace.header.configuration.accounts.values();
        let tasks = accounts.filter_map(|account| account.tasks.get(task));
        tasks.map(|task| task.quality_target).fold(0.0, f64::max)
    };
    let hindsight = |task: &Name| costs.tasks.get(task).copied().unwrap_or_default();
    let figures = |(task, served): (&Name, &Served)| {
        let figures = Task {
            answered: served.answered,
            quality: served.quality(),
            target: target(task),
            cost: served.cost,
            cost_oracle: hindsight(task).oracle,
            cost_oracle_mix: hindsight(task).oracle_mix,
        };
        (task.clone(), figures)
    };
    tally.tasks.iter().map(figures).collect()
}

fn missed(report: &Report, expect: &Expect, tally: &Tally) -> Vec<String> {
    let mut missed = Vec::new();
    let mut at_most = |name: &str, value: f64, most: Option<f64>| {
        if most.is_some_and(|most| value > most) {
            missed.push(format!("{name} {value:.3} is over {:.3}", most.unwrap_or_default()));
        }
    };
    let exposure = report.exposure as f64;
    at_most("cost over oracle", report.cost / report.cost_oracle, expect.cost_over_oracle_max);
    at_most("cost over best", report.cost / report.cost_always_best, expect.cost_over_best_max);
    at_most("exposure", exposure, expect.exposure_max.map(|most| most as f64));
    let alone = report.exposure_one_host.unwrap_or(0).max(1) as f64;
    at_most("exposure over one host", exposure / alone, expect.exposure_over_one_host_max);
    let alarms = report.false_alarms as f64;
    at_most("false alarms", alarms, expect.false_alarms_max.map(|most| most as f64));
    at_most("p95 in ms", report.p95_ms as f64, expect.p95_ms_max.map(|most| most as f64));
    at_most("refused share", report.refused_share, expect.refused_share_max);
    for (account, most) in &expect.account_refused_share_max {
        let share = tally.accounts.get(account).map_or(0.0, |served| served.refused_share());
        at_most(&format!("refused share of {account}"), share, Some(*most));
    }
    at_most("violations", tally.violations as f64, Some(0.0));
    if expect.quality_met == Some(true) && report.quality_margin < 0.0 {
        missed.push(format!("quality misses a target by {:.4}", -report.quality_margin));
    }
    for (version, least) in &expect.rollout_share_min {
        let share = tally.shares.get(version).copied().unwrap_or(0.0);
        if share < *least {
            missed.push(format!("roll-out share of {version} {share:.2} is under {least:.2}"));
        }
    }
    missed
}

/// Formats a table for people: one line per trace, followed by the outcomes that it missed.
#[must_use]
pub fn table(reports: &[Report]) -> String {
    let mut text = format!(
        "{:<28} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>6} {:>6} {:>6} {:>7} {}\n",
        "trace",
        "quality",
        "target",
        "margin",
        "/oracle",
        "/best",
        "exposure",
        "alarms",
        "p50",
        "p95",
        "p99",
        "refused",
        "held"
    );
    for report in reports {
        let name = report.trace.rsplit('/').next().unwrap_or(&report.trace);
        let _ = writeln!(
            text,
            "{name:<28} {:>7.4} {:>7.4} {:>+7.4} {:>7.3} {:>7.3} {:>8} {:>6} {:>6} {:>6} {:>6} \
             {:>7.4} {}",
            report.quality,
            report.target,
            report.quality_margin,
            report.cost / report.cost_oracle,
            report.cost / report.cost_always_best,
            report.exposure,
            report.false_alarms,
            report.p50_ms,
            report.p95_ms,
            report.p99_ms,
            report.refused_share,
            if report.held { "yes" } else { "NO" },
        );
        for missed in &report.missed {
            let _ = writeln!(text, "    {missed}");
        }
    }
    text
}
