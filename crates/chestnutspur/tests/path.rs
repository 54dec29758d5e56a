//! The whole path, with every part a process of its own.

mod support;

use standin::answer::Answer;
use support::call::Call;
use support::{Deployment, Plan};

#[tokio::test(flavor = "multi_thread")]
async fn path_answers_from_one_end_to_the_other() {
    let plan = Plan { hosts: vec!["north"], engines: vec!["north"], ..Plan::default() };
    let deployment = Deployment::start("path", plan).await;

    for call in [Call::chat("tag", "tag this"), Call::stream("tag", "tag this")] {
        let reply = call.send(deployment.callers(0)).await.expect("an answer");
        assert_eq!((reply.status, reply.whole), (200, true), "{}", reply.text());
        let answer = Answer::parse(&reply.answer()).expect("an engine's answer");
        assert_eq!(*answer.digest, *standin::draw::digest("tag this"));
    }
    let reply = Call::get("/services/portal/status?case=7")
        .header("authorization", "Bearer first key")
        .send(deployment.callers(0))
        .await
        .expect("an answer");
    assert_eq!(reply.json()["call"], "GET /status?case=7", "{}", reply.text());
    assert_eq!(deployment.runs().len(), 3);
}
