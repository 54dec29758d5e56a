//! The configuration under lost answers, races, outages and stale sources.

mod common;

use common::{Deployment, document, document_with_slots, http, wait_for};
use hyper::Method;
use serde_json::json;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;

#[tokio::test(flavor = "multi_thread")]
async fn accept_in_force_on_every_host() {
    let deployment = Deployment::start(4).await;
    assert!(!deployment.ready(0).await);
    let answer = deployment.put(0, &document(0), "first").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let hosts = ["host-0", "host-1", "host-2", "host-3"];
    assert_eq!(answer.json(), json!({"generation": 1, "in_force": hosts, "waiting": []}));
    // A host is ready once it has read the list of hosts, too, which the answer does not wait for.
    for number in 0..4 {
        wait_for(&format!("host {number} ready"), || deployment.ready(number)).await;
    }
}

// The operator's call breaks and is sent again, through another control, after a further change.
// The platform took the first transaction and its answer was lost; then another operator changed
// the next generation. Without a row for each change the second try reads a generation that is
// not its own and is refused, though it was accepted: the operator would make the change twice.
#[tokio::test(flavor = "multi_thread")]
async fn accept_answer_lost_after_the_write() {
    let deployment = Deployment::start(2).await;
    deployment.first_document().await;
    deployment.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let answer = deployment.put(0, &document_with_slots(1, 9), "ours").await;
    assert_eq!(answer.json()["generation"], 2, "{}", answer.text());
    let later = deployment.put(0, &document_with_slots(2, 10), "theirs").await;
    assert_eq!(later.json()["generation"], 3, "{}", later.text());
    let again = deployment.put(1, &document_with_slots(1, 9), "ours").await;
    assert_eq!((again.status, &again.json()["generation"]), (200, &json!(2)), "{}", again.text());
    let generations: Vec<u64> = deployment
        .platform
        .accepted_generations()
        .iter()
        .map(|accepted| accepted.generation)
        .collect();
    assert_eq!(generations, [1, 2, 3]);
}

// Eight operators change the same generation at once through different controls. One is accepted;
// each other is told the generation that is newest now, and nothing of its document is in force.
#[tokio::test(flavor = "multi_thread")]
async fn accept_race_has_one_winner() {
    let deployment = Deployment::start(4).await;
    deployment.first_document().await;
    let answers = (0..8_u32).map(|operator| {
        let document = document_with_slots(1, 100 + operator);
        let deployment = &deployment;
        async move {
            let change = format!("change-{operator}");
            deployment.put(operator as usize % 4, &document, &change).await
        }
    });
    let answers = futures::future::join_all(answers).await;
    let won: Vec<usize> =
        (0..answers.len()).filter(|number| answers[*number].status == 200).collect();
    assert_eq!(won.len(), 1, "winners {won:?}");
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!((answer.status, &answer.json()["generation"]), (409, &json!(2)));
    }
    let in_force = http::get(deployment.hosts[3].operators, "/configuration").await.json();
    assert_eq!(in_force["pools"]["engines"]["slots"], 100 + won[0]);
}

// A host restarts while the platform is out. It has nothing on disk, so it must get the newest
// generation from peers, and may not say that it is ready before it has one.
#[tokio::test(flavor = "multi_thread")]
async fn start_in_a_platform_outage_from_peers() {
    let mut deployment = Deployment::start(3).await;
    deployment.first_document().await;
    deployment.platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    deployment.cut_from_peers(2, Mode::Cut);
    deployment.restart(2).await;
    let starting = deployment.view(2, wire::view::ViewRequest::default()).await;
    assert_eq!((starting.generation, starting.document.as_str()), (0, ""));
    assert!(!deployment.ready(2).await);
    deployment.cut_from_peers(2, Mode::Pass);
    deployment.wait_generation(2, 1).await;
    wait_for("readiness", || deployment.ready(2)).await;
    let view = deployment.view(2, wire::view::ViewRequest::default()).await;
    assert_eq!(view.generation, 1);
    assert_eq!(view.hosts.hosts.len(), 3, "the host list comes from peers as well");
}

// A host restarts. A peer that was cut off answers at once with an old generation, the platform
// slowly with the newest. Entries must not be given the old one in between: a version withdrawn
// since then would get new work from this host.
#[tokio::test(flavor = "multi_thread")]
async fn start_serves_nothing_before_all_were_asked() {
    let mut deployment = Deployment::start(2).await;
    deployment.first_document().await;
    deployment.cut_from_platform(0, Mode::Silent);
    deployment.cut_from_peers(0, Mode::Cut);
    let answer = deployment.put(1, &document_with_slots(1, 9), "second").await;
    assert_eq!(answer.json()["waiting"], json!(["host-0"]), "{}", answer.text());
    deployment.platform.set_faults(Faults { delay_ms: 400, ..Faults::default() });
    deployment.kill(1);
    deployment.cut_from_peers(0, Mode::Pass);
    deployment.restart(1).await;
    loop {
        let view = deployment.view(1, wire::view::ViewRequest::default()).await;
        match view.generation {
            0 => tokio::task::yield_now().await,
            generation => break assert_eq!(generation, 2),
        }
    }
}

// A withdrawn version would come back into use: the platform answers with an older row, as a
// lagging replica or a restored backup would. What is in force must stay, and must age, because
// nothing has confirmed it.
#[tokio::test(flavor = "multi_thread")]
async fn adopt_never_from_a_stale_platform() {
    let deployment = Deployment::start(2).await;
    deployment.first_document().await;
    let answer = deployment.put(0, &document_with_slots(1, 9), "second").await;
    assert_eq!(answer.json()["generation"], 2, "{}", answer.text());
    let stale = json!({"generation": 1, "change": "first"});
    deployment.platform.put("configuration", "current", &stale);
    wait_for("an age that no stale read resets", || async {
        let status = http::get(deployment.hosts[0].operators, "/status").await.json();
        status["unconfirmed_ms"].as_u64().is_some_and(|age| age > 1_000)
    })
    .await;
    for number in 0..2 {
        assert_eq!(deployment.generation(number).await, 2);
    }
}

// A host is cut from the platform alone. It must go on, get new generations through peers within
// moments, and know by the same way that they are confirmed, or its candidates would lose their
// sessions for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn cut_from_the_platform_confirmed_through_peers() {
    let deployment = Deployment::start(4).await;
    deployment.first_document().await;
    deployment.cut_from_platform(2, Mode::Silent);
    deployment.cut_from_platform(3, Mode::Silent);
    deployment.cut_from_peers(3, Mode::Silent);
    let answer = deployment.put(0, &document_with_slots(1, 9), "second").await;
    assert_eq!(answer.json()["waiting"], json!(["host-3"]), "{}", answer.text());
    // Host 3, cut from all, is the clock: what nothing confirms is that old by now.
    wait_for("an old generation on host 3", || async { age(&deployment, 3).await > 2_500 }).await;
    assert!(age(&deployment, 2).await < 1_500);
}

async fn age(deployment: &Deployment, number: usize) -> u64 {
    deployment.view(number, wire::view::ViewRequest::default()).await.unconfirmed_ms
}

// Cut from all: the host goes on serving what it has, the operator is told that it waits, and it
// catches up once the cut heals.
#[tokio::test(flavor = "multi_thread")]
async fn cut_from_all_told_as_waiting() {
    let deployment = Deployment::start(3).await;
    deployment.first_document().await;
    deployment.cut_from_platform(2, Mode::Silent);
    deployment.cut_from_peers(2, Mode::Silent);
    let answer = deployment.put(0, &document_with_slots(1, 9), "second").await;
    assert_eq!(answer.json()["in_force"], json!(["host-0", "host-1"]), "{}", answer.text());
    assert_eq!(answer.json()["waiting"], json!(["host-2"]));
    assert_eq!(deployment.generation(2).await, 1);
    deployment.cut_from_platform(2, Mode::Pass);
    deployment.cut_from_peers(2, Mode::Pass);
    deployment.wait_generation(2, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn put_refused_with_every_fault() {
    let deployment = Deployment::start(1).await;
    let mut faulty = document(0);
    faulty["pools"]["engines"]["slots"] = json!(0);
    faulty["colour"] = json!("red");
    let answer = deployment.put(0, &faulty, "faulty").await;
    assert_eq!(answer.status, 422);
    let faults = answer.json()["faults"].clone();
    assert_eq!(faults[0]["path"], "colour");
    assert_eq!(faults[1]["path"], "pools.engines.slots");
}

#[tokio::test(flavor = "multi_thread")]
async fn put_refused_without_token_or_change() {
    let deployment = Deployment::start(1).await;
    let address = deployment.hosts[0].operators;
    let body = document(0).to_string();
    let stranger = [("authorization", "Bearer wrong"), ("chestnutspur-change", "x")];
    let answer = http::call(address, Method::PUT, "/configuration", &stranger, &body).await;
    assert_eq!(answer.status, 401);
    assert_eq!(http::put(address, &body, "no name").await.status, 400);
    assert_eq!(deployment.platform.accepted_generations().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn get_configuration_hides_session_keys_from_strangers() {
    let deployment = Deployment::start(1).await;
    deployment.first_document().await;
    let answer = http::get(deployment.hosts[0].operators, "/configuration").await;
    assert_eq!(answer.json()["session_keys"]["1"]["secret"], "redacted");
}
