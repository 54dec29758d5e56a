//! A request with an idempotency key runs at most once, whichever hosts receive it.

mod support;

use standin::proxy::Mode;
use support::call::{Call, Reply};
use support::{Deployment, Plan, burst, wait_until};

fn keyed(key: &str, prompt: &str) -> Call {
    Call::chat("letter", prompt).header("idempotency-key", key)
}

/// Checks that a keyed request ran at most once, that at most one reply is its answer, and that it
/// did not run if all replies say so.
fn check(deployment: &Deployment, prompt: &str, replies: &[Option<Reply>]) {
    let runs = deployment.runs_of(prompt);
    assert!(runs.len() <= 1, "doubled: {runs:?}");
    let answered = replies.iter().flatten().filter(|reply| reply.status == 200).count();
    assert!(answered <= 1, "{answered} answers to one run");
    let is_unrun = replies.iter().flatten().all(|reply| reply.ran() == "no");
    assert!(replies.iter().any(Option::is_none) || !is_unrun || runs.is_empty(), "{runs:?}");
}

/// Sends requests with the same key through all given hosts at the same time, two through each, and
/// then once more.
async fn race(deployment: &Deployment, hosts: &[usize], key: &str) -> Vec<Option<Reply>> {
    let prompt = format!("prompt of {key}");
    let to: Vec<_> = hosts.iter().map(|&host| deployment.callers(host)).collect();
    let calls = || (0..2 * to.len()).map(|_| keyed(key, &prompt)).collect();
    let mut replies = burst(&to, calls()).await;
    replies.extend(burst(&to, calls()).await);
    check(deployment, &prompt, &replies);
    replies
}

fn count_answered(replies: &[Option<Reply>]) -> usize {
    replies.iter().flatten().filter(|reply| reply.status == 200).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_of_one_key_from_all_hosts_run_once() {
    // All hosts receive the same keyed request at the same time, twice. It runs once and is
    // answered once; the other replies say that another request holds the key.
    let deployment = Deployment::start("claims-race", Plan::default()).await;
    let mut total = 0;
    for index in 0..8 {
        total += count_answered(&race(&deployment, &[0, 1, 2, 3], &format!("race {index}")).await);
    }
    assert_eq!(total, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_hold_while_an_owner_is_paused_and_comes_back() {
    // A control is paused together with the shards that it owns, and their deputies take them over
    // and grant keys. The paused control resumes as if it still owned the shards, and must not
    // grant a key again that a deputy has granted. Callers may get refusals meanwhile, but no
    // letter runs twice.
    let deployment = Deployment::start("claims-pause", Plan::default()).await;
    race(&deployment, &[0, 1, 2, 3], "before").await;
    deployment.hosts[0].control.signal("STOP");
    let mut during = 0;
    let mut index = 0;
    wait_until("a takeover of every shard", async || {
        let mut granted = 0;
        for _ in 0..6 {
            index += 1;
            granted +=
                count_answered(&race(&deployment, &[1, 2, 3], &format!("during {index}")).await);
        }
        during += granted;
        granted == 6
    })
    .await;
    deployment.hosts[0].control.signal("CONT");
    for again in 1..=index {
        race(&deployment, &[0, 1], &format!("during {again}")).await;
    }
    assert!(during >= 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_hold_when_an_owner_dies_in_a_cut_domain_with_the_platform_slow() {
    // Three faults overlap: the failure domain is cut off from the other, the platform is slow and
    // loses responses after it has written, and one of the domain's two controls is killed. Keys
    // granted before are never granted again.
    let mut deployment = Deployment::start("claims-kill", Plan::default()).await;
    for index in 0..6 {
        race(&deployment, &[0, 1], &format!("early {index}")).await;
    }
    deployment.cut_domain("north", false, Mode::Silent);
    let faults =
        standin::platform::fault::Faults { delay_ms: 50, lose_answers: 3, ..Default::default() };
    deployment.platform.set_faults(faults);
    deployment.hosts[0].control.kill();
    for index in 0..6 {
        race(&deployment, &[0, 1], &format!("early {index}")).await;
        race(&deployment, &[1], &format!("late {index}")).await;
    }
    deployment.cut_domain("north", false, Mode::Pass);
    for index in 0..6 {
        race(&deployment, &[1, 2, 3], &format!("early {index}")).await;
        race(&deployment, &[1, 2, 3], &format!("late {index}")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_are_granted_through_a_platform_outage() {
    // The platform goes down completely. Each shard still has its owner and its deputy, so keyed
    // requests are answered as before, once each.
    let deployment = Deployment::start("claims-outage", Plan::default()).await;
    deployment.wait_for_shard_holders().await;
    race(&deployment, &[0, 1, 2, 3], "before").await;
    let faults = standin::platform::fault::Faults {
        down: standin::fault::Outage::Cut,
        ..Default::default()
    };
    deployment.platform.set_faults(faults);
    let mut granted = 0;
    for index in 0..8 {
        granted +=
            count_answered(&race(&deployment, &[0, 1, 2, 3], &format!("down {index}")).await);
    }
    assert_eq!(granted, 8);
}
