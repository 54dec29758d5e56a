//! HTTP calls of a test, each on its own connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// A call that has not been sent yet.
pub struct Call {
    request: hyper::http::request::Builder,
    body: String,
}

/// A response, possibly with an incomplete body.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    /// The received part of the body.
    pub body: Vec<u8>,
    /// Whether the body is complete: it ended as HTTP requires, not with its connection.
    pub is_whole: bool,
}

impl Reply {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a header's text; empty if it is absent.
    pub fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }

    /// Returns `error.code` of a refusal; empty for other responses.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns `error.ran` of a refusal; empty for other responses.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the text of a chat completion, or of all chunks of a streamed one.
    pub fn answer(&self) -> String {
        let text = self.text();
        let pieces = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let streamed: String = pieces
            .filter_map(|piece| serde_json::from_str::<Value>(piece).ok())
            .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(String::from))
            .collect();
        match self.json()["choices"][0]["message"]["content"].as_str() {
            Some(content) => content.to_owned(),
            None => streamed,
        }
    }
}

impl Call {
    /// Creates a call with any method, path and body.
    pub fn new(method: Method, path: &str, body: impl Into<String>) -> Self {
        let request = Request::builder().method(method).uri(path).header("host", "test");
        Self { request, body: body.into() }
    }

    /// Creates a `GET` call.
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, "")
    }

    /// Creates a `PUT` call with a JSON body.
    pub fn put(path: &str, body: String) -> Self {
        Self::new(Method::PUT, path, body).header("content-type", "application/json")
    }

    /// Creates a chat completion call of the first client account.
    pub fn chat(task: &str, prompt: &str) -> Self {
        let body = json!({"model": "letters", "messages": [{"role": "user", "content": prompt}]});
        Self::chat_body(task, &body)
    }

    /// Creates a streamed chat completion call of the first client account.
    pub fn stream(task: &str, prompt: &str) -> Self {
        let messages = json!([{"role": "user", "content": prompt}]);
        let body = json!({"model": "letters", "stream": true, "messages": messages});
        Self::chat_body(task, &body)
    }

    fn chat_body(task: &str, body: &Value) -> Self {
        Self::new(Method::POST, "/v1/chat/completions", body.to_string())
            .header("authorization", "Bearer first key")
            .header("content-type", "application/json")
            .header("chestnutspur-task", task)
    }

    /// Sets a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Some(headers) = self.request.headers_mut() {
            headers.insert(name, value.parse().expect("a header's value"));
        }
        self
    }

    /// Sends the call and reads the response, up to where its body breaks off. Returns none without
    /// a response header.
    pub async fn send(self, address: SocketAddr) -> Option<Reply> {
        let stream = TcpStream::connect(address).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let body = http_body_util::Full::new(Bytes::from(self.body));
        let response = sender.send_request(self.request.body(body).ok()?).await.ok()?;
        let (parts, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut is_whole = true;
        while let Some(frame) = incoming.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => body.extend_from_slice(&data),
                Ok(Err(_)) => {}
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
        Some(Reply { status: parts.status.as_u16(), headers: parts.headers, body, is_whole })
    }
}
