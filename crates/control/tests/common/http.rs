//! Calls of the operators' port.

use std::net::SocketAddr;

use hyper::Method;
use serde_json::Value;
use standin::client::{self, Client};

use super::TOKEN;

pub struct Answer {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Answer {
    let mut request = client::request(method, path, body.to_owned()).expect("a request");
    for (name, value) in headers {
        request.headers_mut().insert(*name, value.parse().expect("a header's value"));
    }
    let answer = Client::new(address).call(request).await.expect("an answer");
    let (parts, body) = answer.into_parts();
    Answer { status: parts.status.as_u16(), headers: parts.headers, body: body.to_vec() }
}

pub async fn get(address: SocketAddr, path: &str) -> Answer {
    call(address, Method::GET, path, &[], "").await
}

pub async fn put(address: SocketAddr, document: &str, change: &str) -> Answer {
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str()), ("chestnutspur-change", change)];
    call(address, Method::PUT, "/configuration", &headers, document).await
}
