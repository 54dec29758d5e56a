//! One caller's request, and whether what came back is the whole answer to it.

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

/// A caller waits no longer.
const PATIENCE: Duration = Duration::from_secs(20);
const DONE: &str = "[DONE]";

/// What came of one request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The whole answer to this request.
    Answered {
        /// The request's id, as the backend server had it.
        request: Name,
        /// Whether the answer is a good one.
        good: bool,
        /// Time to its end.
        took: Duration,
    },
    /// Something that looks like a whole answer, and is not the one to this request.
    Wrong(String),
    /// A refusal.
    Refused(refusal::Refusal),
    /// The connection broke, or nothing came: the caller sees that there is no whole answer.
    Broken(String),
}

/// What a session's request has to go by, and gets to go by.
#[derive(Clone, Debug, Default)]
pub struct Token(pub Option<String>);

/// How a caller reaches the system.
#[derive(Clone)]
pub struct Caller {
    /// Its account's key.
    pub key: Arc<str>,
    /// The model asked for.
    pub model: Name,
}

impl Caller {
    /// Asks one entry host, and checks the answer.
    pub async fn ask(
        &self,
        entry: &Client,
        request: &traffic::Request,
        token: &mut Token,
    ) -> Outcome {
        let started = Instant::now();
        let asked = match self.request(request, token) {
            Ok(asked) => asked,
            Err(error) => return Outcome::Broken(error.to_string()),
        };
        let answer = match tokio::time::timeout(PATIENCE, entry.call(asked)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Outcome::Broken(error.to_string()),
            Err(_) => return Outcome::Broken("no end of the answer in time".to_owned()),
        };
        if !answer.status().is_success() {
            return refused(&answer);
        }
        let given = answer.headers().get(SESSION).and_then(|value| value.to_str().ok());
        match given {
            Some(given) if token.0.is_some() => token.0 = Some(given.to_owned()),
            _ => {}
        }
        check(request, &answer, started.elapsed())
    }

    fn request(
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

fn refused(answer: &Response<Bytes>) -> Outcome {
    match serde_json::from_slice::<refusal::Body>(answer.body()) {
        Ok(body) => Outcome::Refused(body.error),
        Err(_) => Outcome::Broken(format!("status {} without a refusal", answer.status())),
    }
}

fn check(request: &traffic::Request, answer: &Response<Bytes>, took: Duration) -> Outcome {
    let checked = match &request.kind {
        Kind::Chat { stream: true, .. } => text_of_events(answer.body()).map(said),
        Kind::Chat { stream: false, .. } => text_of(answer.body()).map(said),
        Kind::Service { .. } => echoed(answer),
    };
    let own = draw::digest(request.text());
    match checked {
        Some(Some(answer)) if *answer.digest == *own => {
            Outcome::Answered { request: answer.request, good: answer.good, took }
        }
        Some(Some(answer)) => Outcome::Wrong(format!("the answer to {}", answer.request)),
        _ => Outcome::Wrong("cut short without a sign of it".to_owned()),
    }
}

fn said(text: String) -> Option<Answer> {
    Answer::parse(&text)
}

fn text_of(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    Some(body.pointer("/choices/0/message/content")?.as_str()?.to_owned())
}

/// The text of a stream, if it has its last event.
fn text_of_events(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let mut events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let mut text = String::new();
    let done = events.any(|event| {
        let chunk: Option<Value> = serde_json::from_str(event).ok();
        let piece = chunk.as_ref().and_then(|chunk| chunk.pointer("/choices/0/delta/content"));
        text.push_str(piece.and_then(Value::as_str).unwrap_or_default());
        event == DONE
    });
    done.then_some(text)
}

fn echoed(answer: &Response<Bytes>) -> Option<Option<Answer>> {
    if answer.status() != StatusCode::OK {
        return None;
    }
    let echo: service::Echo = serde_json::from_slice(answer.body()).ok()?;
    let service::Echo { service, digest, request, .. } = echo;
    Some(Some(Answer { good: true, version: service, request, digest }))
}
