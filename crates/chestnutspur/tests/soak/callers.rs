//! Callers: they keep connections open and use them until they break.

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
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::fleet::{Fleet, HOST, KEY};

/// Callers of each node.
const EACH: usize = 4;
/// Between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(8);
/// How long callers wait.
const PATIENCE_MS: u64 = 2_500;
/// What callers ask.
const ASKED: &str = "what is asked";
/// What ends each backend server that runs it.
pub const DEADLY: &str = "what no server stands";
/// The part of prompts under which they end.
pub const DEADLY_PART: &str = "dead01";
/// Events of each answer.
pub const EVENTS: u64 = 5;

/// What a request may be done with.
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

    /// What may be done with it.
    pub fn routed(self) -> wire::routing::Kind {
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
        whole: bool,
        ids: Vec<u64>,
        own: bool,
    },
    /// Sent, and the connection closed without an answer.
    Lost,
    /// No connection; nothing was sent.
    Unsent,
    /// No answer for as long as the caller waits.
    Late,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    pub node: SocketAddr,
    pub outcome: Outcome,
    pub began: Instant,
    pub took: Duration,
}

/// Callers under way.
pub struct Callers {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<Vec<Seen>>>,
}

/// What backend servers answer with: events, which read well as a plain body too.
pub fn script() -> Script {
    Script { events: EVENTS, pause: Duration::from_millis(15), ..Script::default() }
}

/// Starts callers of all nodes.
pub fn start(fleet: &Fleet) -> Callers {
    let stop = CancellationToken::new();
    let targets = fleet.nodes.iter().map(|node| node.callers);
    let each = targets.flat_map(|target| (0..EACH).map(move |number| (target, number)));
    let tasks = each.map(|(target, number)| tokio::spawn(call(target, number, stop.clone())));
    Callers { tasks: tasks.collect(), stop: stop.clone() }
}

impl Callers {
    /// Lets the requests under way end; all that were seen.
    pub async fn stop(self) -> Vec<Seen> {
        self.stop.cancel();
        let mut all = Vec::new();
        for task in self.tasks {
            all.extend(task.await.expect("caller"));
        }
        all
    }
}

async fn call(target: SocketAddr, number: usize, stop: CancellationToken) -> Vec<Seen> {
    let mut seen = Vec::new();
    let mut kept = None;
    while !stop.is_cancelled() {
        let kind = Kind::ALL[(number + seen.len()) % Kind::ALL.len()];
        let one = ask(target, kind, &mut kept).await;
        if matches!(one.outcome, Outcome::Unsent) {
            // The node is down; it is started again in a moment.
            tokio::time::sleep(PAUSE * 5).await;
        }
        seen.push(one);
        tokio::time::sleep(PAUSE).await;
    }
    seen
}

/// One request on a connection of its own.
pub async fn once(target: SocketAddr, kind: Kind) -> Seen {
    ask(target, kind, &mut None).await
}

/// What ends the backend servers that run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deadly {
    /// One request, always the same.
    Request,
    /// A part of prompts, in requests of which no two are alike.
    Part,
}

/// A request under which backend servers end, once.
pub async fn strike(target: SocketAddr, deadly: Deadly) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let sent = match deadly {
        Deadly::Request => Sent { id: "deadly", path: "/stream/x", body: DEADLY, parts: None },
        Deadly::Part => Sent {
            id: &format!("deadly-{number}"),
            path: &format!("/stream/{number}"),
            body: ASKED,
            parts: Some(format!("a1:100,{DEADLY_PART}:100,f00d{number:x}:50")),
        },
    };
    let mut kept = None;
    let exchanged = exchange(target, &sent, &mut kept);
    // Whatever comes of it, what it does to servers counts.
    let _ = tokio::time::timeout(Duration::from_millis(PATIENCE_MS), exchanged).await;
}

type Sender = SendRequest<Full<Bytes>>;

async fn ask(target: SocketAddr, kind: Kind, kept: &mut Option<Sender>) -> Seen {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let id = format!("r{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let began = Instant::now();
    let within = Duration::from_millis(PATIENCE_MS + 500);
    let path = format!("/{}/x", kind.name());
    let sent = Sent { id: &id, path: &path, body: ASKED, parts: None };
    let exchanged = exchange(target, &sent, kept);
    let outcome = tokio::time::timeout(within, exchanged).await;
    let outcome = outcome.unwrap_or(Outcome::Late);
    Seen { id, kind, node: target, outcome, began, took: began.elapsed() }
}

async fn connect(target: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(target).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// A request as it is sent.
struct Sent<'a> {
    id: &'a str,
    path: &'a str,
    body: &'static str,
    /// Of its prompt.
    parts: Option<String>,
}

async fn exchange(target: SocketAddr, sent: &Sent<'_>, kept: &mut Option<Sender>) -> Outcome {
    let sender = match kept.take().filter(SendRequest::is_ready) {
        Some(sender) => Some(sender),
        None => connect(target).await,
    };
    let Some(mut sender) = sender else { return Outcome::Unsent };
    let mut request = Request::post(sent.path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {KEY}"))
        .header(names::REQUEST_ID, sent.id)
        .header(names::DEADLINE_MS, PATIENCE_MS);
    if let Some(parts) = &sent.parts {
        request = request.header(names::PROMPT_PARTS, parts);
    }
    let request = request.body(Full::from(sent.body));
    let response = match sender.try_send_request(request.expect("request")).await {
        Ok(response) => response,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            return if unsent { Outcome::Unsent } else { Outcome::Lost };
        }
    };
    let (head, body) = response.into_parts();
    let own = head.headers.get(names::REQUEST_ID).is_some_and(|echo| echo == sent.id);
    let status = head.status.as_u16();
    let (text, whole) = read(body).await;
    if whole && head.headers.get("connection").is_none_or(|value| value != "close") {
        *kept = Some(sender);
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    Outcome::Answered { status, whole, ids: ids.collect(), own }
}

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

/// Whether a node says that it is ready.
pub async fn is_ready(operators: SocketAddr) -> bool {
    matches!(look(operators, "/ready").await, Some((200, _)))
}

/// Version of the table that a node has in force, if it answers.
pub async fn table(operators: SocketAddr) -> Option<u64> {
    let (_, body) = look(operators, "/status").await?;
    serde_json::from_slice::<serde_json::Value>(&body).ok()?["table"].as_u64()
}

async fn look(operators: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let asked = async {
        let mut sender = connect(operators).await?;
        let request = Request::get(path).header("host", "node").body(Full::default()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    };
    tokio::time::timeout(Duration::from_millis(500), asked).await.ok()?
}
