//! A request runs only on versions that its client account allows, and never on a withdrawn one.

mod support;

use std::collections::BTreeSet;

use serde_json::json;
use support::call::Call;
use support::{Deployment, Plan, burst, wait_until};

fn versions(deployment: &Deployment) -> BTreeSet<String> {
    deployment.runs().iter().map(|run| run.version.to_string()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn allowed_versions_only_whatever_is_asked_for() {
    // The second account may use only large-1. Its callers name the model, the cheaper version and
    // an unknown model; none of these requests may reach another version.
    let deployment = Deployment::start("allowed", Plan::default()).await;
    let to: Vec<_> = (0..4).map(|host| deployment.callers(host)).collect();
    let second = |index: usize| {
        Call::chat("tag", &format!("prompt {index}")).header("authorization", "Bearer second key")
    };
    let replies = burst(&to, (0..40).map(second).collect()).await;
    assert!(replies.iter().flatten().all(|reply| reply.status == 200));

    for (model, status) in [("small-1", 403), ("no-such-model", 404)] {
        let body = json!({"model": model, "messages": [{"role": "user", "content": "x"}]});
        let call = Call::new(hyper::Method::POST, "/v1/chat/completions", body.to_string())
            .header("authorization", "Bearer second key");
        let reply = call.send(to[0]).await.expect("an answer");
        assert_eq!((reply.status, &*reply.ran()), (status, "no"), "{}", reply.text());
    }
    assert_eq!(versions(&deployment), BTreeSet::from(["large-1".to_owned()]));
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_version_gets_nothing_new_once_in_force() {
    // An operator withdraws small-1 while one control is paused, whose entry must follow another
    // control instead. Once the change is in force on every entry, no engine may get another run of
    // small-1; the requests are answered by large-1.
    let deployment = Deployment::start("withdrawn", Plan::default()).await;
    let to: Vec<_> = (0..4).map(|host| deployment.callers(host)).collect();
    let calls = |count| (0..count).map(|index| Call::chat("tag", &format!("p{index}"))).collect();
    burst(&to, calls(20)).await;
    assert!(versions(&deployment).contains("small-1"));

    deployment.hosts[1].control.signal("STOP");
    let mut document = support::configuration::document();
    document["versions"]["small-1"]["state"] = "withdrawn".into();
    let reply = deployment.apply(1, &document, "withdraw").await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    for host in 0..4 {
        wait_until("the withdrawal in force", async || {
            let reply = Call::get("/ready").send(deployment.hosts[host].entry.address("operators"));
            reply.await.is_some_and(|reply| reply.json()["generation"] == 2)
        })
        .await;
    }
    let before = deployment.runs().iter().filter(|run| &*run.version == "small-1").count();
    let replies = burst(&to, calls(60)).await;
    assert!(replies.iter().flatten().all(|reply| reply.status == 200));
    let after = deployment.runs().iter().filter(|run| &*run.version == "small-1").count();
    assert_eq!(before, after);
    deployment.hosts[1].control.signal("CONT");
}
