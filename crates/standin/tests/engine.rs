//! The stand-in engine records each run with its true outcome, and breaks answers off exactly where
//! its faults say so.

mod common;

use common::{any_port, chat, outcomes, quick_engine, request, wait_until};
use hyper::{Method, StatusCode};
use policy::name::Name;
use standin::answer::Answer;
use standin::backend::{Capacity, Faults};
use standin::client::Client;
use standin::draw;
use standin::engine::{self, Settings, Version};
use standin::run::Outcome;
use wire::backend::{Load, REQUEST_ID};

/// Settings of an engine with one slot and one place in its queue, which answers after an hour.
fn slow_engine() -> Settings {
    let version = Version { service_ms: 3_600_000, ..Version::default() };
    Settings {
        versions: [(Name::from("v1"), version)].into(),
        capacity: Capacity { slots: 1, queue: 1 },
        ..Settings::default()
    }
}

fn content(body: &[u8]) -> String {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap();
    body["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
}

#[tokio::test]
async fn answer_names_its_request() {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let client = Client::new(engine.address);
    let answer = client.call(chat("r1", "v1", "tag this", false)).await.unwrap();
    assert_eq!(answer.headers()[REQUEST_ID], "r1");
    let parsed = Answer::parse(&content(answer.body())).unwrap();
    let digest = Name::from(draw::digest("tag this"));
    let expected = Answer { good: true, version: "v1".into(), request: "r1".into(), digest };
    assert_eq!(parsed, expected);
    assert_eq!(outcomes(&engine.runs()), [Outcome::Whole]);
    let unknown = client.call(chat("r2", "v2", "tag this", false)).await.unwrap();
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn stream_ends_with_done() {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let client = Client::new(engine.address);
    let answer = client.call(chat("r1", "v1", "tag this", true)).await.unwrap();
    let text = String::from_utf8(answer.into_body().to_vec()).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(text.matches("\n\n").count(), 9);
    assert_eq!(outcomes(&engine.runs()), [Outcome::Whole]);
}

#[tokio::test]
async fn run_is_cancelled_when_its_caller_goes() {
    let engine = engine::start(any_port(), slow_engine()).unwrap();
    let client = Client::new(engine.address);
    let call = client.call(chat("r1", "v1", "tag this", false));
    tokio::select! {
        _ = call => panic!("answered too early"),
        () = wait_until(|| engine.runs().len() == 1) => {}
    }
    wait_until(|| outcomes(&engine.runs()) == [Outcome::Cancelled]).await;
    wait_until(|| engine.load().in_flight == 0).await;
}

#[tokio::test]
async fn request_is_rejected_without_a_run_when_slots_and_queue_are_full() {
    let engine = engine::start(any_port(), slow_engine()).unwrap();
    let client = Client::new(engine.address);
    let ask = |id| client.call(chat(id, "v1", "tag this", false));
    let third = async {
        wait_until(|| engine.load() == Load { in_flight: 2, slots: 1, draining: false }).await;
        ask("r3").await.unwrap().status()
    };
    tokio::select! {
        _ = ask("r1") => panic!("answered too early"),
        _ = ask("r2") => panic!("answered too early"),
        status = third => assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE),
    }
    let runs = engine.runs();
    let third = runs.iter().find(|run| &*run.request == "r3").unwrap();
    assert!(!third.has_begun());
}

#[tokio::test]
async fn cut_before_header_or_in_body_touches_one_request() {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let client = Client::new(engine.address);
    for cut_after in [0, 40] {
        let faults = Faults { cut_after: Some(cut_after), only: Some(1), ..Faults::default() };
        engine.set_faults(faults);
        for stream in [true, false] {
            let answer = client.call(chat("r1", "v1", "tag this", stream)).await;
            assert_eq!(answer.is_err(), stream, "the fault has to touch only the first request");
        }
    }
    let expected = [Outcome::Cut, Outcome::Whole, Outcome::Cut, Outcome::Whole];
    assert_eq!(outcomes(&engine.runs()), expected);
}

#[tokio::test]
async fn crossed_answer_is_wrong_in_header_and_body() {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let client = Client::new(engine.address);
    client.call(chat("r1", "v1", "first", false)).await.unwrap();
    engine.set_faults(Faults { crossed: 1.0, ..Faults::default() });
    let answer = client.call(chat("r2", "v1", "second", false)).await.unwrap();
    assert_eq!(answer.headers()[REQUEST_ID], "r1");
    let parsed = Answer::parse(&content(answer.body())).unwrap();
    assert_eq!(&*parsed.request, "r1");
    assert_ne!(&*parsed.digest, draw::digest("second"));
}

#[tokio::test]
async fn quality_draws_are_the_same_on_every_run() {
    let mut settings = quick_engine();
    settings.draw_by_prompt = true;
    let version = settings.versions.get_mut("v1").unwrap();
    version.quality = [("tag".into(), 0.5)].into();
    let mut rounds = Vec::new();
    for round in 0..2 {
        let engine = engine::start(any_port(), settings.clone()).unwrap();
        let client = Client::new(engine.address);
        for number in 0..40 {
            let (id, prompt) = (format!("{round}-{number}"), format!("tag {number}"));
            client.call(chat(&id, "v1", &prompt, false)).await.unwrap();
        }
        rounds.push(engine.runs().iter().map(|run| run.good).collect::<Vec<_>>());
    }
    assert_eq!(rounds[0], rounds[1]);
    let good = rounds[0].iter().filter(|good| **good).count();
    assert!((10..=30).contains(&good), "{good} good answers of 40 at a share of 0.5");
}

#[tokio::test]
async fn faults_are_set_over_http() {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let client = Client::new(engine.address);
    let put = request(Method::PUT, "/faults", r#"{"draining":true,"bad":{"v1":0.0}}"#);
    assert_eq!(client.call(put).await.unwrap().status(), StatusCode::NO_CONTENT);
    let load = client.call(request(Method::GET, "/load", "")).await.unwrap();
    assert!(serde_json::from_slice::<Load>(load.body()).unwrap().draining);
    client.call(chat("r1", "v1", "tag this", false)).await.unwrap();
    assert!(!engine.runs()[0].good);
    let put = request(Method::PUT, "/faults", r#"{"drainnig":true}"#);
    assert_eq!(client.call(put).await.unwrap().status(), StatusCode::BAD_REQUEST);
}
