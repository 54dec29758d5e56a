//! Callers that reuse their connections until these break.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use platform::names;
use standin::routed::Script;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::fleet::{Fleet, HOST, KEY};

/// Number of callers of each node.
const CALLERS_PER_NODE: usize = 4;
/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Deadline of each request, sent in its header.
const DEADLINE_MS: u64 = 2_500;
/// Body of ordinary requests.
const BODY: &str = "what is asked";
/// Body that crashes each backend server that runs a request with it.
pub const CRASH_BODY: &str = "what no server stands";
/// Prompt part that crashes each backend server that runs a request with it.
pub const CRASH_PART: &str = "dead01";
/// Number of events in each answer.
pub const EVENT_COUNT: u64 = 5;

/// How a request may be repeated, as its route says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Once,
    Safe,
    Stream,
}

impl Kind {
    pub const ALL: [Self; 3] = [Self::Once, Self::Safe, Self::Stream];

    pub fn name(self) -> &'static str {
        match self {
            Self::Once => "once",
            Self::Safe => "safe",
            Self::Stream => "stream",
        }
    }

    /// Returns the kind of the route that requests of this kind use.
    pub fn route_kind(self) -> wire::routing::Kind {
        match self {
            Self::Once => wire::routing::Kind::Once,
            Self::Safe => wire::routing::Kind::Idempotent,
            Self::Stream => wire::routing::Kind::Stream { resumable: true },
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered {
        status: u16,
        /// Whether the body was received up to its end.
        is_whole: bool,
        /// Ids of the received events, in order.
        ids: Vec<u64>,
        /// Whether the response has the id of this request.
        is_own: bool,
    },
    /// The request was sent, and the connection closed without a response.
    Lost,
    /// There was no connection, so nothing was sent.
    Unsent,
    /// The caller's timeout passed before the end of the response.
    Late,
}

/// A request and its outcome, as its caller observed them.
#[derive(Clone, Debug)]
pub struct Observation {
    pub id: String,
    pub kind: Kind,
    pub node: SocketAddr,
    pub outcome: Outcome,
    pub sent_at: Instant,
    pub latency: Duration,
}

/// Running callers.
pub struct Callers {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<Vec<Observation>>>,
}

/// Returns the answer of backend servers: events, which callers also accept as a plain body.
pub fn script() -> Script {
    Script { events: EVENT_COUNT, pause: Duration::from_millis(15), ..Script::default() }
}

/// Starts the callers of all nodes.
pub fn start(fleet: &Fleet) -> Callers {
    let stop = CancellationToken::new();
    let targets = fleet.nodes.iter().map(|node| node.callers);
    let callers =
        targets.flat_map(|target| (0..CALLERS_PER_NODE).map(move |number| (target, number)));
    let tasks =
        callers.map(|(target, number)| tokio::spawn(run_caller(target, number, stop.clone())));
    Callers { tasks: tasks.collect(), stop: stop.clone() }
}

impl Callers {
    /// Stops the callers once their requests in flight have ended, and returns all observations.
    pub async fn stop(self) -> Vec<Observation> {
        self.stop.cancel();
        let mut observations = Vec::new();
        for task in self.tasks {
            observations.extend(task.await.expect("caller"));
        }
        observations
    }
}

async fn run_caller(
    target: SocketAddr,
    number: usize,
    stop: CancellationToken,
) -> Vec<Observation> {
    let mut observations = Vec::new();
    let mut connection = None;
    while !stop.is_cancelled() {
        let kind = Kind::ALL[(number + observations.len()) % Kind::ALL.len()];
        let observation = send(target, kind, &mut connection).await;
        if matches!(observation.outcome, Outcome::Unsent) {
            // The node is down and about to be restarted.
            tokio::time::sleep(REQUEST_INTERVAL * 5).await;
        }
        observations.push(observation);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    observations
}

/// Sends one request on a new connection.
pub async fn send_once(target: SocketAddr, kind: Kind) -> Observation {
    send(target, kind, &mut None).await
}

/// What crashes the backend servers that run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    /// The whole request, which is always the same.
    Request,
    /// A part of the prompt; the requests differ otherwise.
    PromptPart,
}

/// Sends one request that crashes the backend servers that run it.
pub async fn send_crash_request(target: SocketAddr, crash: Crash) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let spec = match crash {
        Crash::Request => Spec { id: "deadly", path: "/stream/x", body: CRASH_BODY, parts: None },
        Crash::PromptPart => Spec {
            id: &format!("deadly-{number}"),
            path: &format!("/stream/{number}"),
            body: BODY,
            parts: Some(format!("a1:100,{CRASH_PART}:100,f00d{number:x}:50")),
        },
    };
    let mut connection = None;
    let response = exchange(target, &spec, &mut connection);
    // The outcome is ignored: only the effect on backend servers matters.
    let _ = tokio::time::timeout(Duration::from_millis(DEADLINE_MS), response).await;
}

/// Sends one request whose prompt has these parts.
pub async fn send_prompt(target: SocketAddr, parts: &str) -> Outcome {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let id = format!("prompt-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let parts = Some(parts.to_owned());
    let spec = Spec { id: &id, path: "/stream/x", body: BODY, parts };
    let mut connection = None;
    let response = exchange(target, &spec, &mut connection);
    let outcome = tokio::time::timeout(Duration::from_millis(DEADLINE_MS), response).await;
    outcome.unwrap_or(Outcome::Late)
}

/// Sends one request with a body of this length, reads nothing, and leaves after this time.
pub async fn send_unread(target: SocketAddr, length: usize, stays: Duration) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "POST /safe/unread HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         {}: unread-{number}\r\n{}: {DEADLINE_MS}\r\ncontent-length: {length}\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE_MS,
    );
    let exchange = async {
        let mut stream = TcpStream::connect(target).await?;
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'x'; length]).await?;
        std::future::pending::<std::io::Result<()>>().await
    };
    // The outcome is ignored: only the effect on the node matters.
    let _ = tokio::time::timeout(stays, exchange).await;
}

/// Returns how many bytes a node holds for requests, if it responds and has a bound.
pub async fn held_bytes(operators: SocketAddr) -> Option<u64> {
    let (_, body) = get(operators, "/status").await?;
    let status = serde_json::from_slice::<serde_json::Value>(&body).ok()?;
    status["memory"]["held_bytes"].as_u64()
}

/// Returns how many engines a node follows, if the node responds.
pub async fn followed_count(operators: SocketAddr) -> Option<u64> {
    let (_, body) = get(operators, "/status").await?;
    let status = serde_json::from_slice::<serde_json::Value>(&body).ok()?;
    status["prefix_index"]["followed"].as_u64()
}

type Sender = SendRequest<Full<Bytes>>;

async fn send(target: SocketAddr, kind: Kind, connection: &mut Option<Sender>) -> Observation {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let id = format!("r{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let sent_at = Instant::now();
    let timeout = Duration::from_millis(DEADLINE_MS + 500);
    let path = format!("/{}/x", kind.name());
    let spec = Spec { id: &id, path: &path, body: BODY, parts: None };
    let response = exchange(target, &spec, connection);
    let outcome = tokio::time::timeout(timeout, response).await;
    let outcome = outcome.unwrap_or(Outcome::Late);
    Observation { id, kind, node: target, outcome, sent_at, latency: sent_at.elapsed() }
}

async fn connect(target: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(target).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// The parts of a request that differ between requests.
struct Spec<'a> {
    id: &'a str,
    path: &'a str,
    body: &'static str,
    /// Parts of the prompt, as the header lists them; none sends no header.
    parts: Option<String>,
}

async fn exchange(target: SocketAddr, spec: &Spec<'_>, connection: &mut Option<Sender>) -> Outcome {
    let sender = match connection.take().filter(SendRequest::is_ready) {
        Some(sender) => Some(sender),
        None => connect(target).await,
    };
    let Some(mut sender) = sender else { return Outcome::Unsent };
    let mut request = Request::post(spec.path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {KEY}"))
        .header(names::REQUEST_ID, spec.id)
        .header(names::DEADLINE_MS, DEADLINE_MS);
    if let Some(parts) = &spec.parts {
        let tokens = parts.split([':', ',']).skip(1).step_by(2);
        let tokens: u32 = tokens.filter_map(|tokens| tokens.parse::<u32>().ok()).sum();
        request = request
            .header(names::PROMPT_PARTS, parts)
            .header(names::TOKENS, format!("{tokens},{EVENT_COUNT}"));
    }
    let request = request.body(Full::from(spec.body));
    let response = match sender.try_send_request(request.expect("request")).await {
        Ok(response) => response,
        Err(mut error) => {
            let is_unsent = error.take_message().is_some();
            return if is_unsent { Outcome::Unsent } else { Outcome::Lost };
        }
    };
    let (head, body) = response.into_parts();
    let is_own = head.headers.get(names::REQUEST_ID).is_some_and(|echo| echo == spec.id);
    let status = head.status.as_u16();
    let (text, is_whole) = read(body).await;
    if is_whole && head.headers.get("connection").is_none_or(|value| value != "close") {
        *connection = Some(sender);
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    Outcome::Answered { status, is_whole, ids: ids.collect(), is_own }
}

/// Reads a body up to its end or its break; returns the received text and whether it is complete.
async fn read(mut body: hyper::body::Incoming) -> (String, bool) {
    let mut bytes = Vec::new();
    loop {
        match body.frame().await {
            None => return (String::from_utf8_lossy(&bytes).into_owned(), true),
            Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) => return (String::from_utf8_lossy(&bytes).into_owned(), false),
        }
    }
}

/// Returns whether a node reports that it is ready.
pub async fn is_ready(operators: SocketAddr) -> bool {
    matches!(get(operators, "/ready").await, Some((200, _)))
}

/// Returns the version of the routing table that a node has in force, if the node responds.
pub async fn table_version(operators: SocketAddr) -> Option<u64> {
    let (_, body) = get(operators, "/status").await?;
    serde_json::from_slice::<serde_json::Value>(&body).ok()?["table"].as_u64()
}

async fn get(operators: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let response = async {
        let mut sender = connect(operators).await?;
        let request = Request::get(path).header("host", "node").body(Full::default()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    };
    tokio::time::timeout(Duration::from_millis(500), response).await.ok()?
}
