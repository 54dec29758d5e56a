//! A session stays on one version until it ends, whichever hosts receive its requests.

mod support;

use standin::answer::Answer;
use standin::proxy::Mode;
use support::call::{Call, Reply};
use support::{Deployment, Plan, wait_until};

/// Returns the version that answered; panics if the reply is no answer.
fn version(reply: &Reply) -> String {
    let answer = Answer::parse(&reply.answer());
    answer.unwrap_or_else(|| panic!("no answer: {}", reply.text())).version.to_string()
}

async fn send_in_session(
    deployment: &Deployment,
    host: usize,
    session: &str,
    prompt: &str,
) -> Reply {
    let call = Call::chat("tag", prompt).header("chestnutspur-session", session);
    call.send(deployment.callers(host)).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_by_token_outlive_hosts_and_end_only_by_withdrawal() {
    // A caller opens a session at one host. That host's entry and control are killed, and the
    // session's version is set to draining: the session continues on this version through other
    // hosts. Once the version is withdrawn, requests of the session are refused with
    // `session_ended` and don't run.
    let mut deployment = Deployment::start("session-token", Plan::default()).await;
    let first = send_in_session(&deployment, 0, "new", "begin").await;
    let token = first.header("chestnutspur-session");
    let pinned = version(&first);
    assert!(!token.is_empty(), "{:?}", first.headers);

    deployment.hosts[0].entry.kill();
    deployment.hosts[0].control.kill();
    let mut document = support::configuration::document();
    document["versions"][&pinned]["state"] = "draining".into();
    let reply = deployment.apply_at(1, 1, &document, "drain").await.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    for host in [1, 2, 3, 2, 1] {
        assert_eq!(version(&send_in_session(&deployment, host, &token, "go on").await), pinned);
    }

    document["versions"][&pinned]["state"] = "withdrawn".into();
    let reply = deployment.apply_at(1, 2, &document, "withdraw").await.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    wait_until("the session's end", async || {
        send_in_session(&deployment, 2, &token, "after the end").await.status == 410
    })
    .await;
    let run_count = deployment.runs().len();
    let refused = send_in_session(&deployment, 2, &token, "after the end").await;
    assert_eq!((&*refused.code(), &*refused.ran()), ("session_ended", "no"));
    assert_eq!(deployment.runs().len(), run_count);
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_by_name_are_pinned_once_for_all_hosts() {
    // Callers of all hosts use a new session name at the same time, half of them asking for one
    // version and half for another. The session's home host must pin it to one of them; requests
    // for the other version are refused and don't run. Then the two failure domains are cut off
    // from each other: a host either continues on the pinned version or refuses without a run, and
    // none pins the session to another version.
    let deployment = Deployment::start("session-name", Plan::default()).await;
    let name = "dossier-17";
    let model = |index: usize| if index.is_multiple_of(2) { "small-1" } else { "large-1" };
    let replies = futures::future::join_all((0..16).map(|index| {
        let messages = serde_json::json!([{"role": "user", "content": "together"}]);
        let body = serde_json::json!({"model": model(index), "messages": messages});
        let call = Call::new(hyper::Method::POST, "/v1/chat/completions", body.to_string())
            .header("authorization", "Bearer first key")
            .header("chestnutspur-session", name);
        call.send(deployment.callers(index / 2 % 4))
    }))
    .await;
    let replies: Vec<Reply> = replies.into_iter().flatten().collect();
    let answered: Vec<_> = replies.iter().filter(|reply| reply.status == 200).collect();
    let pinned = version(answered.first().expect("at least one answer"));
    assert!(answered.iter().all(|reply| version(reply) == pinned));
    let refused = replies.iter().filter(|reply| reply.status != 200);
    assert!(refused.clone().all(|reply| reply.ran() == "no"), "{replies:?}");

    deployment.cut_domain("north", false, Mode::Silent);
    for host in 0..4 {
        let reply = send_in_session(&deployment, host, name, "cut off").await;
        assert!(reply.status != 200 || version(&reply) == pinned, "{}", reply.text());
        assert!(reply.status == 200 || reply.ran() == "no", "{}", reply.text());
    }
    let runs = deployment.runs();
    assert!(runs.iter().all(|run| *run.version == *pinned), "{runs:?}");
}
