//! Sends a caller's request and checks that the response is the complete answer to it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode, http};
use policy::name::Name;
use serde_json::{Value, json};
use standin::answer::Answer;
use standin::client::Client;
use standin::{draw, service};
use wire::backend::{IDEMPOTENCY_KEY, SESSION, TASK};
use wire::refusal;

use super::traffic::{self, Kind};

/// Timeout of a whole call, up to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Data of the event that ends a stream.
const END_OF_STREAM: &str = "[DONE]";

/// How one request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The caller received the complete answer to this request.
    Answered {
        /// Id under which the backend server recorded the request.
        request: Name,
        /// Whether the stand-in drew this answer as one of good quality.
        good: bool,
        /// Time until the end of the answer.
        latency: Duration,
    },
    /// The response looks complete, but is not the complete answer to this request; says why.
    Wrong(String),
    /// The request was refused with an error status.
    Refused(refusal::Refusal),
    /// The connection broke or the call timed out, so the caller can see that it has no complete
    /// answer; says why.
    Broken(String),
}

/// Value of the session header: the caller's own name of the session, `new`, or the token that the
/// last answer returned. None means that the request belongs to no session.
#[derive(Clone, Debug, Default)]
pub struct Token(pub Option<String>);

/// What the callers of one client account put into each request.
#[derive(Clone)]
pub struct Caller {
    /// Key of the client account.
    pub key: Arc<str>,
    /// Model that the requests name.
    pub model: Name,
}

impl Caller {
    /// Sends a request to one entry host and checks the response. In a session, `token` becomes the
    /// token of the answer.
    pub async fn send(
        &self,
        entry: &Client,
        request: &traffic::Request,
        token: &mut Token,
    ) -> Outcome {
        let started = Instant::now();
        let call = match self.build(request, token) {
            Ok(call) => call,
            Err(error) => return Outcome::Broken(error.to_string()),
        };
        let response = match tokio::time::timeout(CALL_TIMEOUT, entry.call(call)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Outcome::Broken(error.to_string()),
            Err(_) => return Outcome::Broken("timed out before the end of the answer".to_owned()),
        };
        if !response.status().is_success() {
            return parse_refusal(&response);
        }
        let session = response.headers().get(SESSION).and_then(|value| value.to_str().ok());
        match session {
            Some(session) if token.0.is_some() => token.0 = Some(session.to_owned()),
            _ => {}
        }
        check(request, &response, started.elapsed())
    }

    fn build(
        &self,
        request: &traffic::Request,
        token: &Token,
    ) -> Result<Request<Bytes>, http::Error> {
        let text = request.text();
        let mut builder = Request::builder().header(AUTHORIZATION, format!("Bearer {}", self.key));
        if request.keyed {
            builder = builder.header(IDEMPOTENCY_KEY, format!("case-{}", request.number));
        }
        if let Some(token) = &token.0 {
            builder = builder.header(SESSION, token);
        }
        match &request.kind {
            Kind::Chat { task, stream, .. } => {
                let messages = json!([{"role": "user", "content": text}]);
                let body = json!({"model": self.model, "stream": stream, "messages": messages});
                let builder = builder.header(TASK, task.as_str());
                let builder = builder.method(Method::POST).uri("/v1/chat/completions");
                builder.body(Bytes::from(body.to_string()))
            }
            Kind::Service { service, read } => {
                let method = if *read { Method::GET } else { Method::POST };
                let path = format!("/services/{service}/cases/{}", request.number);
                builder.method(method).uri(path).body(Bytes::from(text))
            }
        }
    }
}

fn parse_refusal(response: &Response<Bytes>) -> Outcome {
    match serde_json::from_slice::<refusal::Body>(response.body()) {
        Ok(body) => Outcome::Refused(body.error),
        Err(_) => Outcome::Broken(format!("status {} without a refusal", response.status())),
    }
}

fn check(request: &traffic::Request, response: &Response<Bytes>, latency: Duration) -> Outcome {
    let checked = match &request.kind {
        Kind::Chat { stream: true, .. } => stream_text(response.body()).map(parse_answer),
        Kind::Chat { stream: false, .. } => completion_text(response.body()).map(parse_answer),
        Kind::Service { .. } => parse_echo(response),
    };
    let expected_digest = draw::digest(request.text());
    match checked {
        Some(Some(answer)) if *answer.digest == *expected_digest => {
            Outcome::Answered { request: answer.request, good: answer.good, latency }
        }
        Some(Some(answer)) => Outcome::Wrong(format!("the answer to {}", answer.request)),
        _ => Outcome::Wrong("truncated, though the response looks complete".to_owned()),
    }
}

fn parse_answer(text: String) -> Option<Answer> {
    Answer::parse(&text)
}

fn completion_text(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    Some(body.pointer("/choices/0/message/content")?.as_str()?.to_owned())
}

/// Returns the text of a streamed answer if its last event has arrived.
fn stream_text(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let mut events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let mut text = String::new();
    let is_complete = events.any(|event| {
        let chunk: Option<Value> = serde_json::from_str(event).ok();
        let piece = chunk.as_ref().and_then(|chunk| chunk.pointer("/choices/0/delta/content"));
        text.push_str(piece.and_then(Value::as_str).unwrap_or_default());
        event == END_OF_STREAM
    });
    is_complete.then_some(text)
}

fn parse_echo(response: &Response<Bytes>) -> Option<Option<Answer>> {
    if response.status() != StatusCode::OK {
        return None;
    }
    let echo: service::Echo = serde_json::from_slice(response.body()).ok()?;
    let service::Echo { service, digest, request, .. } = echo;
    Some(Some(Answer { good: true, version: service, request, digest }))
}
