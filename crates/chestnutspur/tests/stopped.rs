//! A real `node` process that is told to stop in calm, while callers keep their connections open and
//! send until the process is gone.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use platform::names;
use standin::routed::ScriptedReply;
use support::nodes::{Fleet, GRACE, raw_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long the backend servers work on a request.
const WORK: Duration = Duration::from_secs(3);
/// Deadline of the requests, far beyond the end of the process.
const DEADLINE_MS: u64 = 20_000;

/// A request as its caller saw it.
#[derive(Debug)]
struct Seen {
    id: String,
    /// When it had been sent whole.
    sent_at: Instant,
    /// Status of its answer; `None` if the connection ended without a whole one.
    status: Option<u16>,
    /// When the answer had come, or the connection had ended.
    ended_at: Instant,
}

/// Reads one answer; `None` if the connection ends before it is whole.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut read = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&read).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
            if body.len() >= length {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        let mut piece = [0; 4 << 10];
        match stream.read(&mut piece).await {
            Ok(length) if length > 0 => read.extend_from_slice(&piece[..length]),
            _ => return None,
        }
    }
}

/// Sends the end of a request's head and waits for the answer.
async fn finish(stream: &mut TcpStream, id: String, rest: &str) -> Seen {
    let is_sent = stream.write_all(rest.as_bytes()).await.is_ok();
    let sent_at = Instant::now();
    let status = if is_sent { read_status(stream).await } else { None };
    Seen { id, sent_at, status, ended_at: Instant::now() }
}

/// Sends one request after another on one connection, until it ends.
async fn send_on(to: SocketAddr, caller: usize) -> Vec<Seen> {
    let mut seen = Vec::new();
    let mut stream = TcpStream::connect(to).await.expect("connection");
    for number in 0.. {
        let id = format!("kept-{caller}-{number}");
        let rest = raw_head(&id, DEADLINE_MS) + "\r\n";
        seen.push(finish(&mut stream, id, &rest).await);
        if seen.last().is_some_and(|last| last.status.is_none()) {
            break;
        }
    }
    seen
}

/// Begins a request's head at once, and ends it after this time.
async fn send_late(to: SocketAddr, caller: usize, after: Duration) -> Vec<Seen> {
    let mut stream = TcpStream::connect(to).await.expect("connection");
    let id = format!("late-{caller}");
    stream.write_all(raw_head(&id, DEADLINE_MS).as_bytes()).await.expect("a head");
    tokio::time::sleep(after).await;
    vec![finish(&mut stream, id, "\r\n").await]
}

async fn stop_in_calm(kind: &str) {
    let usual = ScriptedReply::AnswerAfter(WORK);
    let mut fleet = Fleet::start(&format!("stopped-{kind}"), kind, &usual, &usual).await;
    let to = fleet.nodes[0].1;
    let mut callers: Vec<_> = (0..8).map(|caller| tokio::spawn(send_on(to, caller))).collect();
    // Heads begin before the connections are closed and end up to the last moment.
    tokio::time::sleep(WORK + Duration::from_millis(500)).await;
    for caller in 0..32_u64 {
        let after = Duration::from_millis(200 + caller * 230);
        callers.push(tokio::spawn(send_late(to, caller as usize, after)));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopped_at = Instant::now();
    let id = fleet.nodes[0].0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill").success());
    let mut seen = Vec::new();
    for caller in callers {
        seen.extend(caller.await.expect("a caller"));
    }
    assert!(fleet.nodes[0].0.wait().expect("its status").success());
    assert!(stopped_at.elapsed() < GRACE, "{:?}", stopped_at.elapsed());
    let arrived: BTreeSet<String> = fleet
        .old
        .iter()
        .flat_map(|server| server.arrivals())
        .filter_map(|arrival| {
            Some(arrival.headers.get(names::REQUEST_ID)?.to_str().ok()?.to_owned())
        })
        .collect();
    for one in &seen {
        let after = one.sent_at.saturating_duration_since(stopped_at);
        let ended = one.ended_at.saturating_duration_since(stopped_at);
        let was_passed_on = arrived.contains(&one.id);
        let context = format!("{} sent {after:?}, ended {ended:?}: {:?}", one.id, one.status);
        // Whatever was passed on is answered.
        assert!(!was_passed_on || one.status.is_some(), "cut: {context}");
        // A refusal that promises that a request has not run is true.
        assert!(!was_passed_on || one.status != Some(503), "ran: {context}");
        // Nothing is passed on that outlasts the process.
        assert!(one.status != Some(504) || after < Duration::from_secs(3), "late: {context}");
    }
    let mut late = seen.iter().filter(|one| one.sent_at > stopped_at);
    assert!(late.any(|one| one.status == Some(503)), "no request was refused");
}

/// Guards against requests that may not be repeated, are passed on late in a planned stop, and cut
/// with no answer.
#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_no_late_request_that_may_not_be_repeated() {
    stop_in_calm("non_idempotent").await;
}

/// Guards against the same for requests that may be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_no_late_request_that_may_be_repeated() {
    stop_in_calm("idempotent").await;
}
