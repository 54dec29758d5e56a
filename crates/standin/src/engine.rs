//! Stand-in for a model engine: chat completions in JSON and as a stream.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use policy::domain;
use policy::name::Name;
use serde_json::{Value, json};
use wire::backend::{REQUEST_ID, TASK};

use crate::answer::Answer;
use crate::backend::{self, Backend, Capacity, Faults, Piece, Ticket};
use crate::draw;
use crate::reply;
use crate::run::{Outcome, Run};
use crate::server::{self, Body, Cut, Handler, Running};

domain! {
    /// The settings of an engine.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Name of the engine, for people only.
        pub name: Name,
        /// Seed of the random draws.
        pub seed: u64,
        /// The number of requests that the engine accepts at once.
        pub capacity: Capacity,
        /// The versions that the engine serves; a request for another one gets 404.
        pub versions: BTreeMap<Name, Version>,
        /// Whether the quality of an answer depends on the prompt instead of the request's id. Then
        /// a run with chosen prompts comes out the same each time.
        pub draw_by_prompt: bool,
        /// Faults that are in force from the start.
        pub faults: Faults,
    }

    /// Speed and quality of one version.
    #[serde(default, deny_unknown_fields)]
    pub struct Version {
        /// Time from getting a slot to the first piece of the answer, in milliseconds.
        pub service_ms: u64,
        /// Tokens of an answer; a streamed answer has a piece for each, and at least the words of
        /// [`Answer::render`].
        pub tokens: u32,
        /// Time between two pieces of a streamed answer, in milliseconds. An answer that isn't
        /// streamed takes this time for each token.
        pub between_tokens_ms: u64,
        /// Share of good answers (0 to 1) by task; the empty name stands for all tasks that aren't
        /// listed, and 1 holds without it. A request's task is its header `Chestnutspur-Task`, or
        /// without it the prompt's first word.
        pub quality: BTreeMap<Name, f64>,
    }
}

impl Default for Version {
    fn default() -> Self {
        Self { service_ms: 5, tokens: 8, between_tokens_ms: 1, quality: BTreeMap::new() }
    }
}

impl Version {
    /// Time to the first byte of an answer, in milliseconds: an answer that isn't streamed begins
    /// only when all its tokens are made.
    fn first_byte_ms(&self, is_stream: bool) -> u64 {
        match is_stream {
            true => self.service_ms,
            false => self.service_ms + self.between_tokens_ms * u64::from(self.tokens),
        }
    }

    fn quality(&self, task: &str) -> f64 {
        self.quality.get(task).or(self.quality.get("")).copied().unwrap_or(1.0)
    }
}

/// The state of a model engine.
pub struct Engine {
    settings: Settings,
    backend: Backend,
}

impl Deref for Engine {
    type Target = Backend;

    fn deref(&self) -> &Backend {
        &self.backend
    }
}

/// Starts a model engine.
///
/// # Errors
/// When the address can't be listened on.
pub fn start(listen: SocketAddr, settings: Settings) -> io::Result<Running<Engine>> {
    let backend = Backend::new(settings.seed, settings.capacity.clone());
    backend.set_faults(settings.faults.clone());
    server::start(listen, Engine { settings, backend })
}

/// The parts of a chat completion request that the engine uses.
struct ChatRequest {
    request: Name,
    version: Name,
    task: Name,
    prompt: String,
    stream: bool,
}

impl ChatRequest {
    fn parse(request: &str, task: &str, body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let messages = body.get("messages")?.as_array()?;
        let user = |message: &&Value| message.get("role").is_some_and(|role| role == "user");
        let last = messages.iter().rev().find(user)?;
        let prompt = last.get("content")?.as_str()?.to_owned();
        let first_word = prompt.split_whitespace().next().unwrap_or_default();
        let task = if task.is_empty() { first_word } else { task };
        Some(Self {
            request: request.into(),
            version: body.get("model")?.as_str()?.into(),
            task: task.into(),
            stream: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
            prompt,
        })
    }
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/load") => Ok(reply::json(StatusCode::OK, &self.load())),
            (&Method::GET, "/records") => Ok(reply::json(StatusCode::OK, &self.runs())),
            (&Method::PUT, "/faults") => {
                let body = reply::body(request).await?;
                Ok(reply::set(&body, |faults| self.set_faults(faults)))
            }
            (&Method::POST, "/v1/chat/completions") => {
                let answer = self.complete(request).await;
                answer.map(|answer| self.with_leaving_header(answer))
            }
            _ => Ok(reply::status(StatusCode::NOT_FOUND)),
        }
    }
}

impl Engine {
    async fn complete(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let id = Name::from(reply::header(&request, REQUEST_ID));
        let task = Name::from(reply::header(&request, TASK));
        let body = reply::body(request).await?;
        let Some(chat) = ChatRequest::parse(&id, &task, &body) else {
            return Ok(reply::status(StatusCode::BAD_REQUEST));
        };
        let Some(version) = self.settings.versions.get(&chat.version) else {
            return Ok(reply::status(StatusCode::NOT_FOUND));
        };
        let good = self.draw_quality(&chat, version);
        let mut ticket = match self.admit(new_run(&chat, good)).await {
            Ok(ticket) => ticket,
            Err(rejected) => return rejected,
        };
        let wait_ms = version.first_byte_ms(chat.stream) + self.faults().delay_ms;
        backend::sleep(Duration::from_millis(wait_ms)).await;
        ticket.before_header().await?;
        if ticket.faults().error {
            ticket.end(Outcome::Failed);
            return Ok(with_request_id(reply::status(StatusCode::INTERNAL_SERVER_ERROR), &id));
        }
        Ok(self.answer(&chat, version, good, ticket))
    }

    /// Draws whether the answer to a request is good.
    fn draw_quality(&self, chat: &ChatRequest, version: &Version) -> bool {
        let bad_share = self.faults().bad.get(&chat.version).copied();
        let share = bad_share.unwrap_or_else(|| version.quality(&chat.task));
        let key = if self.settings.draw_by_prompt { chat.prompt.as_str() } else { &chat.request };
        draw::uniform(self.settings.seed, &[key, &chat.version]) < share
    }

    fn answer(
        &self,
        chat: &ChatRequest,
        version: &Version,
        good: bool,
        ticket: Ticket,
    ) -> Response<Body> {
        let request = match ticket.faults().crossed {
            true => self.crossed_request(&ticket),
            false => chat.request.clone(),
        };
        let no_echo = ticket.faults().no_echo;
        let digest = match request == chat.request {
            true => draw::digest(&chat.prompt),
            false => draw::digest(&*request),
        };
        let answer =
            Answer { good, version: chat.version.clone(), request, digest: digest.as_str().into() };
        let response = match chat.stream {
            true => streamed_response(&answer, version, ticket),
            false => whole_response(&answer, version, ticket),
        };
        if no_echo { response } else { with_request_id(response, &answer.request) }
    }
}

fn new_run(chat: &ChatRequest, good: bool) -> Run {
    Run {
        order: 0,
        request: chat.request.clone(),
        version: chat.version.clone(),
        call: "POST /v1/chat/completions".into(),
        digest: draw::digest(&chat.prompt).as_str().into(),
        good,
        outcome: Outcome::Running,
    }
}

fn with_request_id(mut response: Response<Body>, request: &str) -> Response<Body> {
    if let Ok(id) = HeaderValue::from_str(request) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// The words of an answer's text, filled up to its number of tokens.
fn answer_words(answer: &Answer, tokens: u32) -> Vec<String> {
    let text = answer.render();
    let mut words: Vec<String> = text.split(' ').map(str::to_owned).collect();
    let filler = (words.len()..tokens as usize).map(|number| format!("word{number}"));
    words.extend(filler);
    words
}

fn whole_response(answer: &Answer, version: &Version, ticket: Ticket) -> Response<Body> {
    let content = answer_words(answer, version.tokens).join(" ");
    let body = json!({
        "id": format!("chatcmpl-{}", answer.request),
        "object": "chat.completion",
        "model": answer.version,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": version.tokens},
    });
    let bytes = Bytes::from(body.to_string());
    let length = bytes.len();
    let pieces = vec![Piece { pause: Duration::ZERO, bytes }];
    let mut response = Response::new(ticket.body(pieces));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    response
}

fn streamed_response(answer: &Answer, version: &Version, ticket: Ticket) -> Response<Body> {
    let words = answer_words(answer, version.tokens);
    let last = words.len() - 1;
    let between = Duration::from_millis(version.between_tokens_ms);
    let mut pieces: Vec<Piece> = Vec::with_capacity(words.len() + 1);
    for (number, word) in words.into_iter().enumerate() {
        let content = if number == 0 { word } else { format!(" {word}") };
        let finish = if number == last { json!("stop") } else { Value::Null };
        let chunk = json!({
            "id": format!("chatcmpl-{}", answer.request),
            "object": "chat.completion.chunk",
            "model": answer.version,
            "choices": [{"index": 0, "delta": {"content": content}, "finish_reason": finish}],
        });
        let pause = if number == 0 { Duration::ZERO } else { between };
        pieces.push(Piece { pause, bytes: Bytes::from(format!("data: {chunk}\n\n")) });
    }
    pieces.push(Piece { pause: Duration::ZERO, bytes: Bytes::from_static(b"data: [DONE]\n\n") });
    let mut response = Response::new(ticket.body(pieces));
    let stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, stream);
    response
}
