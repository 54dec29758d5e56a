//! A request with an idempotency key runs at most once, whichever hosts it meets.

mod support;

use standin::proxy::Mode;
use support::call::{Call, Reply};
use support::{Deployment, Plan, burst, until};

fn keyed(key: &str, prompt: &str) -> Call {
    Call::chat("letter", prompt).header("idempotency-key", key)
}

fn check(deployment: &Deployment, prompt: &str, replies: &[Option<Reply>]) {
    let runs = deployment.runs_of(prompt);
    assert!(runs.len() <= 1, "doubled: {runs:?}");
    let answered = replies.iter().flatten().filter(|reply| reply.status == 200).count();
    assert!(answered <= 1, "{answered} answers of one run");
    let all_unrun = replies.iter().flatten().all(|reply| reply.ran() == "no");
    assert!(replies.iter().any(Option::is_none) || !all_unrun || runs.is_empty(), "{runs:?}");
}

/// Sends one key from all hosts at once, and then again.
async fn race(deployment: &Deployment, hosts: &[usize], key: &str) -> Vec<Option<Reply>> {
    let prompt = format!("prompt of {key}");
    let to: Vec<_> = hosts.iter().map(|&host| deployment.callers(host)).collect();
    let calls = || (0..2 * to.len()).map(|_| keyed(key, &prompt)).collect();
    let mut replies = burst(&to, calls()).await;
    replies.extend(burst(&to, calls()).await);
    check(deployment, &prompt, &replies);
    replies
}

fn answered(replies: &[Option<Reply>]) -> usize {
    replies.iter().flatten().filter(|reply| reply.status == 200).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_of_one_key_from_all_hosts_run_once() {
    // Every host gets the same order at the same moment, twice. One run, one answer; the others
    // are told that another request holds the key.
    let deployment = Deployment::start("claims-race", Plan::default()).await;
    let mut total = 0;
    for index in 0..8 {
        total += answered(&race(&deployment, &[0, 1, 2, 3], &format!("race {index}")).await);
    }
    assert_eq!(total, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_hold_while_an_owner_is_paused_and_comes_back() {
    // A control is paused, and with it the shards that it owns; the deputy takes over and grants
    // keys. The paused one comes back and believes that it still owns them: it must not grant a
    // key again that the deputy has granted. Callers see refusals meanwhile, never two letters.
    let deployment = Deployment::start("claims-pause", Plan::default()).await;
    race(&deployment, &[0, 1, 2, 3], "before").await;
    deployment.hosts[0].control.signal("STOP");
    let mut during = 0;
    let mut index = 0;
    until("a takeover of every shard", async || {
        let mut granted = 0;
        for _ in 0..6 {
            index += 1;
            granted += answered(&race(&deployment, &[1, 2, 3], &format!("during {index}")).await);
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
    // Three faults together: the failure domain is cut off from the other, the platform is slow
    // and loses answers after the write, and one of the domain's two controls is killed. Keys
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
    // The platform goes down altogether. Owner and deputy of each shard are both there, so keyed
    // requests go on being answered, once each.
    let deployment = Deployment::start("claims-outage", Plan::default()).await;
    deployment.shards_held().await;
    race(&deployment, &[0, 1, 2, 3], "before").await;
    let faults = standin::platform::fault::Faults {
        down: standin::fault::Outage::Cut,
        ..Default::default()
    };
    deployment.platform.set_faults(faults);
    let mut granted = 0;
    for index in 0..8 {
        granted += answered(&race(&deployment, &[0, 1, 2, 3], &format!("down {index}")).await);
    }
    assert_eq!(granted, 8);
}
