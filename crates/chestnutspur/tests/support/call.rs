//! One HTTP call of a test, on a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// A call to make.
pub struct Call {
    request: hyper::http::request::Builder,
    body: String,
}

/// An answer; `whole` says whether its body came to its end.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// What came of the body.
    pub body: Vec<u8>,
    /// Whether it ended as HTTP wants.
    pub whole: bool,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A header's text.
    pub fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }

    /// `error.code` of a refusal.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// `error.ran` of a refusal.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// The answer's text: of a chat completion, or all pieces of a stream.
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
    /// Any call.
    pub fn new(method: Method, path: &str, body: impl Into<String>) -> Self {
        let request = Request::builder().method(method).uri(path).header("host", "test");
        Self { request, body: body.into() }
    }

    /// A read.
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, "")
    }

    /// A JSON write.
    pub fn put(path: &str, body: String) -> Self {
        Self::new(Method::PUT, path, body).header("content-type", "application/json")
    }

    /// A chat completion of the first account.
    pub fn chat(task: &str, prompt: &str) -> Self {
        let body = json!({"model": "letters", "messages": [{"role": "user", "content": prompt}]});
        Self::chat_body(task, &body)
    }

    /// The same, streamed.
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

    /// Sends it and reads what comes; none if no header came.
    pub async fn send(self, to: SocketAddr) -> Option<Reply> {
        let stream = TcpStream::connect(to).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let body = http_body_util::Full::new(Bytes::from(self.body));
        let response = sender.send_request(self.request.body(body).ok()?).await.ok()?;
        let (parts, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut whole = true;
        while let Some(frame) = incoming.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => body.extend_from_slice(&data),
                Ok(Err(_)) => {}
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        Some(Reply { status: parts.status.as_u16(), headers: parts.headers, body, whole })
    }
}
