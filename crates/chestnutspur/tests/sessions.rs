//! A session keeps its version for its whole life, whichever host it meets.

mod support;

use standin::answer::Answer;
use standin::proxy::Mode;
use support::call::{Call, Reply};
use support::{Deployment, Plan, until};

fn version(reply: &Reply) -> String {
    let answer = Answer::parse(&reply.answer());
    answer.unwrap_or_else(|| panic!("no answer: {}", reply.text())).version.to_string()
}

async fn in_session(deployment: &Deployment, host: usize, session: &str, prompt: &str) -> Reply {
    let call = Call::chat("tag", prompt).header("chestnutspur-session", session);
    call.send(deployment.callers(host)).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_by_token_outlive_hosts_and_end_only_by_withdrawal() {
    // A caller begins a session at one host. That host and its control die, the other failure
    // domain is cut off from the platform, and the version is set draining: the session goes on
    // on its version. Once the version is withdrawn, the caller is told so and nothing runs.
    let mut deployment = Deployment::start("session-token", Plan::default()).await;
    let first = in_session(&deployment, 0, "new", "begin").await;
    let token = first.header("chestnutspur-session");
    let held = version(&first);
    assert!(!token.is_empty(), "{:?}", first.headers);

    deployment.hosts[0].entry.kill();
    deployment.hosts[0].control.kill();
    let mut document = support::configuration::document();
    document["versions"][&held]["state"] = "draining".into();
    let reply = deployment.apply_at(1, 1, &document, "drain").await.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    for host in [1, 2, 3, 2, 1] {
        assert_eq!(version(&in_session(&deployment, host, &token, "go on").await), held);
    }

    document["versions"][&held]["state"] = "withdrawn".into();
    let reply = deployment.apply_at(1, 2, &document, "withdraw").await.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    until("the session's end", async || {
        in_session(&deployment, 2, &token, "after the end").await.status == 410
    })
    .await;
    let begun = deployment.runs().len();
    let refused = in_session(&deployment, 2, &token, "after the end").await;
    assert_eq!((&*refused.code(), &*refused.ran()), ("session_ended", "no"));
    assert_eq!(deployment.runs().len(), begun);
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_by_name_are_pinned_once_for_all_hosts() {
    // Callers of all hosts use the same session name for the first time at the same moment, half
    // of them asking for one version and half for another. The home must make them one: the others
    // are refused, not run. Later the home's failure domain is cut off from the other: hosts that
    // know the pin go on, and none opens another.
    let deployment = Deployment::start("session-name", Plan::default()).await;
    let name = "dossier-17";
    let asked = |index: usize| if index.is_multiple_of(2) { "small-1" } else { "large-1" };
    let replies = futures::future::join_all((0..16).map(|index| {
        let messages = serde_json::json!([{"role": "user", "content": "together"}]);
        let body = serde_json::json!({"model": asked(index), "messages": messages});
        let call = Call::new(hyper::Method::POST, "/v1/chat/completions", body.to_string())
            .header("authorization", "Bearer first key")
            .header("chestnutspur-session", name);
        call.send(deployment.callers(index / 2 % 4))
    }))
    .await;
    let replies: Vec<Reply> = replies.into_iter().flatten().collect();
    let answered: Vec<_> = replies.iter().filter(|reply| reply.status == 200).collect();
    let held = version(answered.first().expect("one of them is answered"));
    assert!(answered.iter().all(|reply| version(reply) == held));
    let refused = replies.iter().filter(|reply| reply.status != 200);
    assert!(refused.clone().all(|reply| reply.ran() == "no"), "{replies:?}");

    deployment.cut_domain("north", false, Mode::Silent);
    for host in 0..4 {
        let reply = in_session(&deployment, host, name, "cut off").await;
        assert!(reply.status != 200 || version(&reply) == held, "{}", reply.text());
        assert!(reply.status == 200 || reply.ran() == "no", "{}", reply.text());
    }
    let runs = deployment.runs();
    assert!(runs.iter().all(|run| *run.version == *held), "{runs:?}");
}
