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
    /// Settings of an engine.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Its name, for people.
        pub name: Name,
        /// What draws depend on.
        pub seed: u64,
        /// What it takes at once.
        pub capacity: Capacity,
        /// The versions it serves; a request for another gets 404.
        pub versions: BTreeMap<Name, Version>,
        /// Whether the same prompt is always answered as well, whatever the request's id. Then a
        /// run with chosen prompts comes out the same each time.
        pub draw_by_prompt: bool,
        /// Faults from the start.
        pub faults: Faults,
    }

    /// How one version does.
    #[serde(default, deny_unknown_fields)]
    pub struct Version {
        /// Time from getting a slot to the first piece of the answer, in milliseconds.
        pub service_ms: u64,
        /// Pieces of a streamed answer after the first; a plain answer takes as long.
        pub tokens: u32,
        /// Time between two pieces, in milliseconds.
        pub between_tokens_ms: u64,
        /// Share of good answers by task, as given in `Chestnutspur-Task` or by the prompt's first
        /// word; the one under the empty name for all others.
        pub quality: BTreeMap<Name, f64>,
    }
}

impl Default for Version {
    fn default() -> Self {
        Self { service_ms: 5, tokens: 8, between_tokens_ms: 1, quality: BTreeMap::new() }
    }
}

impl Version {
    /// Time to the first byte of an answer: a plain one comes when all its tokens are there.
    fn wait_ms(&self, stream: bool) -> u64 {
        match stream {
            true => self.service_ms,
            false => self.service_ms + self.between_tokens_ms * u64::from(self.tokens),
        }
    }

    fn quality(&self, task: &str) -> f64 {
        self.quality.get(task).or(self.quality.get("")).copied().unwrap_or(1.0)
    }
}

/// An engine's state.
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

/// Starts an engine.
///
/// # Errors
/// When the address can't be listened on.
pub fn start(listen: SocketAddr, settings: Settings) -> io::Result<Running<Engine>> {
    let backend = Backend::new(settings.seed, settings.capacity.clone());
    backend.set_faults(settings.faults.clone());
    server::start(listen, Engine { settings, backend })
}

/// What matters of a chat completion request.
struct Chat {
    request: Name,
    version: Name,
    task: Name,
    prompt: String,
    stream: bool,
}

impl Chat {
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
                answer.map(|answer| self.with_state(answer))
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
        let Some(chat) = Chat::parse(&id, &task, &body) else {
            return Ok(reply::status(StatusCode::BAD_REQUEST));
        };
        let Some(version) = self.settings.versions.get(&chat.version) else {
            return Ok(reply::status(StatusCode::NOT_FOUND));
        };
        let good = self.good(&chat, version);
        let mut ticket = match self.admit(run(&chat, good)).await {
            Ok(ticket) => ticket,
            Err(turned_away) => return turned_away,
        };
        let wait_ms = version.wait_ms(chat.stream) + self.faults().delay_ms;
        backend::wait(Duration::from_millis(wait_ms)).await;
        ticket.before_header().await?;
        if ticket.plan().error {
            ticket.end(Outcome::Failed);
            return Ok(echo(reply::status(StatusCode::INTERNAL_SERVER_ERROR), &id));
        }
        Ok(self.answer(&chat, version, good, ticket))
    }

    fn good(&self, chat: &Chat, version: &Version) -> bool {
        let bad = self.faults().bad.get(&chat.version).copied();
        let share = bad.unwrap_or_else(|| version.quality(&chat.task));
        let by = if self.settings.draw_by_prompt { chat.prompt.as_str() } else { &chat.request };
        draw::uniform(self.settings.seed, &[by, &chat.version]) < share
    }

    fn answer(&self, chat: &Chat, version: &Version, good: bool, ticket: Ticket) -> Response<Body> {
        let request = match ticket.plan().crossed {
            true => self.crossed(&ticket),
            false => chat.request.clone(),
        };
        let no_echo = ticket.plan().no_echo;
        let digest = match request == chat.request {
            true => draw::digest(&chat.prompt),
            false => draw::digest(&*request),
        };
        let answer =
            Answer { good, version: chat.version.clone(), request, digest: digest.as_str().into() };
        let response = match chat.stream {
            true => streamed(&answer, version, ticket),
            false => plain(&answer, version, ticket),
        };
        if no_echo { response } else { echo(response, &answer.request) }
    }
}

fn run(chat: &Chat, good: bool) -> Run {
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

fn echo(mut response: Response<Body>, request: &str) -> Response<Body> {
    if let Ok(id) = HeaderValue::from_str(request) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// The answer's words, with filler for the rest of its tokens.
fn words(answer: &Answer, tokens: u32) -> Vec<String> {
    let text = answer.render();
    let mut words: Vec<String> = text.split(' ').map(str::to_owned).collect();
    let filler = (words.len()..tokens as usize).map(|number| format!("word{number}"));
    words.extend(filler);
    words
}

fn plain(answer: &Answer, version: &Version, ticket: Ticket) -> Response<Body> {
    let content = words(answer, version.tokens).join(" ");
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

fn streamed(answer: &Answer, version: &Version, ticket: Ticket) -> Response<Body> {
    let words = words(answer, version.tokens);
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
