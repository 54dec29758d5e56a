//! A call from caller to engine and back, through real processes.

mod support;

use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};
use standin::answer::Answer;
use support::call::Call;
use support::process::{self, Process};
use support::{ANY, Deployment, Plan, configuration};

#[tokio::test(flavor = "multi_thread")]
async fn path_answers_from_one_end_to_the_other() {
    let plan = Plan { hosts: vec!["north"], engines: vec!["north"], ..Plan::default() };
    let deployment = Deployment::start("path", plan).await;

    for call in [Call::chat("tag", "tag this"), Call::stream("tag", "tag this")] {
        let reply = call.send(deployment.callers(0)).await.expect("an answer");
        assert_eq!((reply.status, reply.is_whole), (200, true), "{}", reply.text());
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

/// Starts a stand-in as a process, through the command line.
fn standin(directory: &Path, kind: &str, settings: &Value) -> (Process, SocketAddr) {
    let file = directory.join(format!("{kind}.json"));
    std::fs::write(&file, settings.to_string()).expect("settings");
    let arguments = ["standin", kind, "--settings", &file.display().to_string()].map(String::from);
    let process = Process::spawn_with(directory, kind, &arguments);
    let address = process.address("address");
    (process, address)
}

#[tokio::test(flavor = "multi_thread")]
async fn path_holds_with_the_stand_ins_as_processes_too() {
    let directory = process::directory("path-processes");
    let versions = json!({"small-1": {}, "large-1": {}});
    let (_engine, engine) = standin(&directory, "engine", &json!({"versions": versions}));
    let host = json!({
        "name": "engine-0", "role": "backend", "address": engine, "failure_domain": "north",
        "pool": "models", "versions": ["small-1", "large-1"], "state": "live",
    });
    let (_platform, platform) = standin(&directory, "platform", &json!({"hosts": [host]}));
    let key = json!({"text": "a key for tests and nothing else"});
    let control = json!({
        "role": "control", "name": "host-0", "failure_domain": "north", "listen": ANY,
        "operators": ANY, "platform": platform, "peer_key": key,
        "operator_token_hashes": [configuration::sha256("operator token")],
    });
    let control = Process::spawn(&directory, "control", "control", &control);
    let peer = json!({
        "name": "host-0", "failure_domain": "north", "address": control.address("peers"),
    });
    let entry = json!({
        "role": "entry", "name": "host-0", "failure_domain": "north", "listen": ANY,
        "operators": ANY, "controls": [peer], "peer_key": key,
    });
    let entry = Process::spawn(&directory, "entry", "entry", &entry);
    let reply = Call::put("/configuration", configuration::document().to_string())
        .header("authorization", "Bearer operator token")
        .header("chestnutspur-change", "first")
        .send(control.address("operators"))
        .await
        .expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    entry.wait_until_ready().await;

    // There is only one control, so no second one can hold a copy of the bill. The answer arrives
    // nevertheless, and the engine's own records show one run.
    let reply =
        Call::chat("tag", "tag this").send(entry.address("callers")).await.expect("a header");
    let answer = Answer::parse(&reply.answer()).unwrap_or_else(|| panic!("{}", reply.text()));
    assert_eq!(*answer.digest, *standin::draw::digest("tag this"));
    let records = Call::get("/records").send(engine).await.expect("records").json();
    assert_eq!(records.as_array().map(Vec::len), Some(1), "{records}");
}
