//! What the tests share.
#![allow(dead_code, reason = "each test file uses its own part")]

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

/// One version, `v1`, that answers at once.
pub fn quick() -> standin::engine::Settings {
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

/// Waits until a condition holds; the test's own time limit ends it if it never does.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

pub fn outcomes(runs: &[Run]) -> Vec<Outcome> {
    runs.iter().map(|run| run.outcome).collect()
}
