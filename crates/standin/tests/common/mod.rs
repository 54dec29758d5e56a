//! Helper functions for the tests of the stand-ins.
#![allow(dead_code, reason = "no test file uses all of these functions")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request};
use policy::name::Name;
use standin::run::{Outcome, Run};

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn chat(id: &str, version: &str, prompt: &str, stream: bool) -> Request<Bytes> {
    let body = serde_json::json!({
        "model": version,
        "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    });
    Request::post("/v1/chat/completions")
        .header(wire::backend::REQUEST_ID, id)
        .body(Bytes::from(body.to_string()))
        .unwrap()
}

pub fn request(method: Method, path: &str, body: impl Into<Bytes>) -> Request<Bytes> {
    standin::client::request(method, path, body).unwrap()
}

/// Settings of an engine with one version, `v1`, that answers at once.
pub fn quick_engine() -> standin::engine::Settings {
    let version = standin::engine::Version {
        service_ms: 0,
        between_tokens_ms: 0,
        ..standin::engine::Version::default()
    };
    standin::engine::Settings {
        versions: [(Name::from("v1"), version)].into(),
        ..standin::engine::Settings::default()
    }
}

/// Waits until a condition holds. If it never does, only the test runner's time limit ends the
/// test.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

pub fn outcomes(runs: &[Run]) -> Vec<Outcome> {
    runs.iter().map(|run| run.outcome).collect()
}
