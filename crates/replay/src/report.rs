//! What a replay came to, checked against what was stated.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use policy::domain;
use policy::name::Name;

use crate::oracle::{self, Hindsights};
use crate::run::tally::{Exposure, Refusals, Served, Tally, percentile};
use crate::run::{self, Options};
use crate::trace::{Expect, Trace};

domain! {
    /// One task's figures.
    #[derive(Copy, Default)]
    pub struct Task {
        /// Answered in time.
        pub answered: u64,
        /// Share of good answers.
        pub quality: f64,
        /// The highest share that any account was promised.
        pub target: f64,
        /// Cost of all calls and ratings.
        pub cost: f64,
        /// Of the best fixed plan in hindsight.
        pub cost_oracle: f64,
        /// Of the best mix of two plans in hindsight.
        pub cost_oracle_mix: f64,
    }

    /// One trace's figures.
    pub struct Report {
        /// The trace's file.
        pub trace: String,
        /// The policy's name.
        pub policy: String,
        /// Requests.
        pub requests: u64,
        /// Share of good answers, over all tasks.
        pub quality: f64,
        /// The share that the tasks' targets ask for, over all tasks.
        pub target: f64,
        /// The smallest distance of a task's quality from its target; below 0 is missed.
        pub quality_margin: f64,
        /// Cost of all calls and ratings.
        pub cost: f64,
        /// Of the best fixed plans in hindsight.
        pub cost_oracle: f64,
        /// Of the best mixes of two plans in hindsight.
        pub cost_oracle_mix: f64,
        /// Of always using the best version.
        pub cost_always_best: f64,
        /// Of always using the cheapest version.
        pub cost_always_cheapest: f64,
        /// Requests that reached versions turned bad.
        pub exposure: u64,
        /// The same, in parts.
        pub exposure_parts: Exposure,
        /// What one host with all the traffic would have let through, if the trace asks for it.
        pub exposure_one_host: Option<u64>,
        /// Good versions put under quarantine.
        pub false_alarms: u64,
        /// Answers rated.
        pub rated: u64,
        /// Half of all answers came within this, in milliseconds.
        pub p50_ms: u64,
        /// 95 in 100.
        pub p95_ms: u64,
        /// 99 in 100.
        pub p99_ms: u64,
        /// 99 in 100 calls waited this long at most at their backend server, in milliseconds.
        pub server_wait_p99_ms: u64,
        /// Share of requests refused, failed or late.
        pub refused_share: f64,
        /// The same of the account that has most of it.
        pub refused_share_worst_account: f64,
        /// Why.
        pub refusals: Refusals,
        /// By task.
        pub tasks: BTreeMap<Name, Task>,
        /// Stated outcomes that were not held, in words.
        pub missed: Vec<String>,
        /// Whether all stated outcomes were held.
        pub held: bool,
    }
}

/// Replays a trace and checks what it states.
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

/// Tasks of one name are judged together, each against the highest target that any account has.
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

/// The table for people, one line a trace.
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
