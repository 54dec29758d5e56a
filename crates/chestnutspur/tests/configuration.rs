//! An accepted configuration is in force everywhere within seconds and never reverts.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use serde_json::Value;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use support::call::Call;
use support::{Deployment, Part, Plan, until};

async fn generation(deployment: &Deployment, host: usize) -> u64 {
    let entry = deployment.hosts[host].entry.address("operators");
    let reply = Call::get("/ready").send(entry).await;
    reply.and_then(|reply| reply.json()["generation"].as_u64()).unwrap_or(0)
}

async fn everywhere(deployment: &Deployment, hosts: &[usize], wanted: u64) {
    until(&format!("generation {wanted} everywhere"), async || {
        let mut all = true;
        for &host in hosts {
            all &= generation(deployment, host).await >= wanted;
        }
        all
    })
    .await;
}

fn changed(cost: f64) -> Value {
    let mut document = support::configuration::document();
    document["versions"]["small-1"]["cost"] = cost.into();
    document
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_races_have_one_winner() {
    // Four operators send different changes made from the same generation, each to another host,
    // while the platform loses the answers to some writes. Exactly one is told that it won, the
    // platform has accepted exactly one, and the others are told the generation now in force.
    let deployment = Deployment::start("configuration-race", Plan::default()).await;
    for round in 1..6 {
        deployment.platform.set_faults(Faults { lose_answers: 2, ..Faults::default() });
        let sends = (0..4).map(|host| {
            let document = changed(1.0 + host as f64 + round as f64 * 10.0);
            let deployment = &deployment;
            async move {
                let change = format!("round-{round}-operator-{host}");
                deployment.apply_at(host, round, &document, &change).await
            }
        });
        let replies = futures::future::join_all(sends).await;
        let winners = replies.iter().flatten().filter(|reply| reply.status == 200).count();
        let accepted = deployment.platform.accepted_generations();
        assert_eq!(accepted.iter().filter(|a| a.generation == round + 1).count(), 1);
        assert_eq!(accepted.len() as u64, round + 1);
        assert_eq!(winners, 1, "{replies:?}");
        let losers = replies.iter().flatten().filter(|reply| reply.status == 409);
        assert!(losers.clone().all(|reply| reply.json()["generation"] == round + 1));
        everywhere(&deployment, &[0, 1, 2, 3], round + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_hosts_cut_from_the_platform() {
    // One failure domain can't reach the platform, but the other domain's controls. A change is
    // applied on the other side: it is in force on all hosts, by gossip alone.
    let deployment = Deployment::start("configuration-cut", Plan::default()).await;
    deployment.set_paths(Mode::Silent, |user, part| {
        *part == Part::Platform && matches!(user, support::User::Control(2 | 3))
    });
    let reply = deployment.apply(1, &changed(3.0), "change").await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    everywhere(&deployment, &[0, 1, 2, 3], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_never_reverts_through_cuts_restarts_and_an_outage() {
    // A failure domain is cut off from everything while a change is accepted on the other side.
    // The platform goes down, the cut heals, and controls are killed and started anew: they learn
    // from peers what is in force. No entry, watched all the time, ever goes back.
    let mut deployment = Deployment::start("configuration-revert", Plan::default()).await;
    let watching = Arc::new(AtomicBool::new(true));
    let watchers: Vec<_> = (0..4)
        .map(|host| {
            let operators = deployment.hosts[host].entry.address("operators");
            let watching = Arc::clone(&watching);
            tokio::spawn(async move {
                let highest = AtomicU64::new(0);
                loop {
                    // Read once more after the end is called, or the last change may go unseen.
                    let last = !watching.load(Ordering::Relaxed);
                    let reply = Call::get("/ready").send(operators).await;
                    let seen = reply.and_then(|reply| reply.json()["generation"].as_u64());
                    let before = highest.fetch_max(seen.unwrap_or(0), Ordering::Relaxed);
                    assert!(seen.is_none_or(|seen| seen >= before), "{before} back to {seen:?}");
                    if last {
                        return highest.into_inner();
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        })
        .collect();

    deployment.cut_domain("south", true, Mode::Silent);
    assert_eq!(deployment.apply(1, &changed(3.0), "while-cut").await.status, 200);
    everywhere(&deployment, &[0, 1], 2).await;
    assert_eq!(generation(&deployment, 2).await, 1, "the cut cuts nothing off");
    deployment.platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    deployment.cut_domain("south", true, Mode::Pass);
    everywhere(&deployment, &[2, 3], 2).await;
    for host in [0, 2] {
        deployment.hosts[host].control.kill();
        deployment.hosts[host].control = deployment.spawn_control(host);
        deployment.hosts[host].control.ready().await;
    }
    deployment.platform.set_faults(Faults::default());
    assert_eq!(deployment.apply(2, &changed(4.0), "afterwards").await.status, 200);
    everywhere(&deployment, &[0, 1, 2, 3], 3).await;
    watching.store(false, Ordering::Relaxed);
    for watcher in watchers {
        assert_eq!(watcher.await.expect("never reverted"), 3);
    }
}
