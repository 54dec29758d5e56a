//! An accepted configuration is in force on all hosts within seconds and is never reverted.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use serde_json::Value;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use support::call::Call;
use support::{Deployment, Plan, Target, wait_until};

async fn generation(deployment: &Deployment, host: usize) -> u64 {
    let entry = deployment.hosts[host].entry.address("operators");
    let reply = Call::get("/ready").send(entry).await;
    reply.and_then(|reply| reply.json()["generation"].as_u64()).unwrap_or(0)
}

async fn wait_for_generation(deployment: &Deployment, hosts: &[usize], wanted: u64) {
    wait_until(&format!("generation {wanted} on all hosts"), async || {
        let mut is_reached = true;
        for &host in hosts {
            is_reached &= generation(deployment, host).await >= wanted;
        }
        is_reached
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
    // Four operators send different changes of the same generation, each to another host, while the
    // platform loses the responses to some writes. Exactly one of them is told that the change was
    // accepted, the platform has accepted exactly one, and a conflict names the generation in
    // force.
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
        wait_for_generation(&deployment, &[0, 1, 2, 3], round + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_hosts_cut_from_the_platform() {
    // One failure domain can't reach the platform, but can reach the other domain's controls. A
    // change applied in the other domain comes into force on all hosts, through gossip alone.
    let deployment = Deployment::start("configuration-cut", Plan::default()).await;
    deployment.set_paths(Mode::Silent, |source, target| {
        *target == Target::Platform && matches!(source, support::Source::Control(2 | 3))
    });
    let reply = deployment.apply(1, &changed(3.0), "change").await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    wait_for_generation(&deployment, &[0, 1, 2, 3], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_never_reverts_through_cuts_restarts_and_an_outage() {
    // A failure domain is cut off from everything while the other domain accepts a change. Then the
    // platform goes down, the paths are restored, and controls are killed and restarted: they learn
    // from their peers what is in force. No entry may ever report an older generation than before.
    let mut deployment = Deployment::start("configuration-revert", Plan::default()).await;
    let is_watching = Arc::new(AtomicBool::new(true));
    let watchers: Vec<_> = (0..4)
        .map(|host| {
            let operators = deployment.hosts[host].entry.address("operators");
            let is_watching = Arc::clone(&is_watching);
            tokio::spawn(async move {
                let highest = AtomicU64::new(0);
                loop {
                    // One more read follows the end of the test, or the last change might be
                    // missed.
                    let is_last = !is_watching.load(Ordering::Relaxed);
                    let reply = Call::get("/ready").send(operators).await;
                    let seen = reply.and_then(|reply| reply.json()["generation"].as_u64());
                    let before = highest.fetch_max(seen.unwrap_or(0), Ordering::Relaxed);
                    assert!(seen.is_none_or(|seen| seen >= before), "{before} back to {seen:?}");
                    if is_last {
                        return highest.into_inner();
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        })
        .collect();

    deployment.cut_domain("south", true, Mode::Silent);
    assert_eq!(deployment.apply(1, &changed(3.0), "while-cut").await.status, 200);
    wait_for_generation(&deployment, &[0, 1], 2).await;
    assert_eq!(generation(&deployment, 2).await, 1, "the cut has no effect");
    deployment.platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    deployment.cut_domain("south", true, Mode::Pass);
    wait_for_generation(&deployment, &[2, 3], 2).await;
    for host in [0, 2] {
        deployment.hosts[host].control.kill();
        deployment.hosts[host].control = deployment.spawn_control(host);
        deployment.hosts[host].control.wait_until_ready().await;
    }
    deployment.platform.set_faults(Faults::default());
    assert_eq!(deployment.apply(2, &changed(4.0), "afterwards").await.status, 200);
    wait_for_generation(&deployment, &[0, 1, 2, 3], 3).await;
    is_watching.store(false, Ordering::Relaxed);
    for watcher in watchers {
        assert_eq!(watcher.await.expect("never reverted"), 3);
    }
}
