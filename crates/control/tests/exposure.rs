//! Verdicts on versions, quarantines, roll-outs and service levels.

mod common;

use std::time::Duration;

use common::{Deployment, document, domain, http, name, wait_for};
use serde_json::{Value, json};
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::platform::store::Record;
use standin::proxy::Mode;
use wire::evidence::{Evidence, Outcome, Report};
use wire::view::ViewRequest;

const WITHIN: Duration = Duration::from_secs(8);

fn report(number: u64, version: &str, rated: Vec<bool>) -> Report {
    let calls = rated.len() as u64;
    let (version, task) = (version.into(), "tagging".into());
    let evidence = vec![Evidence { version, task, calls, failed: 0, rated }];
    Report { number, evidence, ..Report::default() }
}

async fn send(deployment: &Deployment, host: usize, mut report: Report) {
    report.entry = name(host);
    let link = deployment.link(host);
    let sent =
        link.call(WITHIN, |client, context| async move { client.report(context, report).await });
    sent.await.expect("control takes the report");
}

async fn hosts_with_quarantine(deployment: &Deployment, version: &str) -> usize {
    let mut count = 0;
    for number in 0..deployment.hosts.len() {
        let view = deployment.view(number, ViewRequest::default()).await;
        count += usize::from(view.quarantined.iter().any(|name| &**name == version));
    }
    count
}

async fn share(deployment: &Deployment, host: usize) -> f64 {
    let view = deployment.view(host, ViewRequest::default()).await;
    view.shares.iter().find(|(version, _)| &**version == "small-2").map_or(-1.0, |(_, s)| *s)
}

async fn rated_on(deployment: &Deployment, host: usize) -> f64 {
    let view = deployment.view(host, ViewRequest::default()).await;
    view.estimates.iter().map(|estimate| estimate.rated).sum()
}

// A live version turns bad. Each entry host sees two bad answers, too few for any of them to
// judge; all hosts together see eight. Every host must stop using it, also those whose failure
// domain's reporter is another host. Judged on own counts alone nobody would ever stop it.
#[tokio::test(flavor = "multi_thread")]
async fn judge_on_the_counts_of_all_hosts() {
    let deployment = Deployment::start(4).await;
    deployment.first_document().await;
    for host in 0..4 {
        send(&deployment, host, report(1, "small-1", vec![false, false])).await;
    }
    wait_for("quarantine on every host", || async {
        hosts_with_quarantine(&deployment, "small-1").await == 4
    })
    .await;
    wait_for("the platform's row", || async {
        deployment.platform.row("quarantine", "small-1").is_some()
    })
    .await;
}

// A report's answer is lost and the entry sends it again, as it must. Counted twice, two bad
// answers would weigh as four, and a good version be stopped for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn report_sent_again_counts_once() {
    let deployment = Deployment::start(1).await;
    deployment.first_document().await;
    for _ in 0..4 {
        send(&deployment, 0, report(1, "small-1", vec![false, false])).await;
    }
    send(&deployment, 0, report(2, "small-1", vec![true])).await;
    wait_for("all counts", || async { rated_on(&deployment, 0).await > 2.5 }).await;
    assert!(rated_on(&deployment, 0).await < 3.5);
    assert_eq!(hosts_with_quarantine(&deployment, "small-1").await, 0);
}

// The platform is out when a version turns bad. The quarantine must hold on all hosts at once, by
// gossip, reach the table when the platform answers again, and come back from there to controls
// that were all replaced meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_in_a_platform_outage_outlives_all_controls() {
    let mut deployment = Deployment::start(2).await;
    deployment.first_document().await;
    deployment.platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    send(&deployment, 1, report(1, "small-1", vec![false; 12])).await;
    wait_for("quarantine on both", || async {
        hosts_with_quarantine(&deployment, "small-1").await == 2
    })
    .await;
    assert!(deployment.platform.row("quarantine", "small-1").is_none());
    deployment.platform.set_faults(Faults::default());
    wait_for("the platform's row", || async {
        deployment.platform.row("quarantine", "small-1").is_some()
    })
    .await;
    deployment.kill(0);
    deployment.kill(1);
    deployment.restart(0).await;
    deployment.wait_generation(0, 1).await;
    wait_for("readiness", || deployment.ready(0)).await;
    let view = deployment.view(0, ViewRequest::default()).await;
    assert_eq!(view.quarantined, ["small-1".into()], "from its first view on");
}

// The control that took the first step of a roll-out is lost. Another must take the next one, the
// row must rise by single steps, and all hosts must come to the same share.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_goes_on_with_another_control() {
    let mut deployment = Deployment::start(4).await;
    deployment.first_document().await;
    wait_for("the first step everywhere", || all_have_share(&deployment, &[0, 1, 2, 3], 0.05))
        .await;
    deployment.kill(0);
    send(&deployment, 1, report(1, "small-2", vec![true; 8])).await;
    wait_for("the second step", || all_have_share(&deployment, &[1, 2, 3], 0.5)).await;
    let records = deployment.platform.records();
    let writes = records.iter().filter(|record| match record {
        Record::Transaction { transaction, .. } => {
            transaction.writes.iter().any(|write| &*write.table == "rollouts")
        }
        Record::Put { .. } => false,
    });
    assert_eq!(writes.count(), 2, "one write for each step, however many controls wished to");
}

async fn all_have_share(deployment: &Deployment, hosts: &[usize], expected: f64) -> bool {
    for host in hosts {
        if (share(deployment, *host).await - expected).abs() > 1e-9 {
            return false;
        }
    }
    true
}

// A candidate falls below its guard while the platform is out, so no step can be written. Its
// share must be 0 at once all the same, stay so when the platform is back, and be written then.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_stops_in_a_platform_outage() {
    let deployment = Deployment::start(2).await;
    let mut course = document(0);
    // Far enough from the guard to stop, too good for a quarantine.
    course["versions"]["small-2"]["quality"]["tagging"] = json!(0.5);
    course["rollouts"]["next"]["guard"] = json!(0.9);
    let answer = deployment.put(0, &course, "first").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    wait_for("the first step", || all_have_share(&deployment, &[0, 1], 0.05)).await;
    deployment.platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    let rated = (0..24).map(|number| number % 2 == 0).collect();
    send(&deployment, 0, report(1, "small-2", rated)).await;
    wait_for("no share on either", || all_have_share(&deployment, &[0, 1], 0.0)).await;
    assert_eq!(hosts_with_quarantine(&deployment, "small-2").await, 0);
    deployment.platform.set_faults(Faults::default());
    wait_for("the stop in the table", || async {
        let row = deployment.platform.row("rollouts", "next").expect("a row");
        let stand: Value = serde_json::from_str(&row.value).expect("JSON");
        stand["progress"]["stopped"] == true
    })
    .await;
    assert!(all_have_share(&deployment, &[0, 1], 0.0).await);
}

// Requests end on three hosts, one of which is cut off and counts for itself. The report of any
// control must hold the requests of all in reach, each once, by service level.
#[tokio::test(flavor = "multi_thread")]
async fn burn_counts_the_requests_of_all_hosts() {
    let deployment = Deployment::start(3).await;
    deployment.first_document().await;
    deployment.cut_from_peers(2, Mode::Cut);
    for host in 0..3 {
        let mut report = report(1, "small-1", Vec::new());
        report.outcomes = vec![outcome(true, 500), outcome(true, 1_500), outcome(false, 10)];
        send(&deployment, host, report).await;
    }
    for host in 0..2 {
        wait_for("six requests", || async { total(&deployment, host).await == 6 }).await;
    }
    wait_for("three requests on host 2", || async { total(&deployment, 2).await == 3 }).await;
    let burn = http::get(deployment.hosts[0].operators, "/burn").await.json();
    assert_eq!(burn["levels"][0]["burns"][0]["short"], json!({"good": 2, "total": 6}));
    assert_eq!(burn["levels"][0]["alert"], true);
    let path = "/burn.svg?level=tags";
    let svg = http::get(deployment.hosts[0].operators, path).await.text();
    assert!(svg.starts_with("<svg") && svg.contains("tags"), "{svg}");
    assert_eq!(http::get(deployment.hosts[0].operators, "/burn.svg?level=x").await.status, 404);
    assert_ne!(domain(0), domain(2));
}

fn outcome(answered: bool, total_ms: u64) -> Outcome {
    Outcome {
        account: "dwu-claims".into(),
        task: "tagging".into(),
        answered,
        first_byte_ms: total_ms,
        total_ms,
    }
}

async fn total(deployment: &Deployment, host: usize) -> u64 {
    let burn = http::get(deployment.hosts[host].operators, "/burn").await.json();
    burn["levels"][0]["burns"][1]["long"]["total"].as_u64().unwrap_or(0)
}
