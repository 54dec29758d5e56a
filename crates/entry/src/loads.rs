//! Polls backend servers for their load reports, at an even rate.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use wire::backend::Load;

use crate::body::{self, Limits, OpenGate};
use crate::clock;
use crate::connection::{Cause, Connection, Failure};
use crate::server::Server;
use crate::state::State;

/// Limit on the polls per second of this host, however many backend servers there are: each server
/// is polled by every entry host.
const POLLS_PER_SECOND_MAX: u64 = 20;
/// Shortest interval between two polls of the same server.
const SERVER_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of one poll, and of each step in it.
const TIMEOUT: Duration = Duration::from_secs(2);
const LOAD_BYTES_MAX: usize = 16 << 10;

/// Polls one server after another until the process ends.
pub async fn run(state: Arc<State>) {
    loop {
        let snapshot = state.snapshot.load_full();
        let servers: Vec<Arc<Server>> = snapshot.pools.values().flatten().cloned().collect();
        let interval = interval(servers.len());
        for server in servers {
            tokio::time::sleep(interval).await;
            tokio::spawn(async move { poll(&server).await });
        }
        if snapshot.pools.is_empty() {
            tokio::time::sleep(SERVER_INTERVAL).await;
        }
    }
}

fn interval(servers: usize) -> Duration {
    let spread = SERVER_INTERVAL / u32::try_from(servers.max(1)).unwrap_or(u32::MAX);
    spread.max(Duration::from_millis(1000 / POLLS_PER_SECOND_MAX))
}

/// Polls one server and records what its answer shows.
///
/// Each poll opens a new connection. Its answer then proves that new connections work, which a
/// server held ill must show, and polls keep no idle connection from being retired.
async fn poll(server: &Server) {
    server.retire(false);
    let (asked, asked_at) = (clock::now(), clock::steady());
    match tokio::time::timeout(TIMEOUT, fetch(server)).await {
        Ok(Ok(Some(load))) => {
            let now = clock::steady();
            server.with_intake(now, |intake| intake.apply_report(load.draining, asked_at, now));
            server.record_load(load, clock::now());
        }
        // An answer without a valid report still shows that the server works.
        Ok(Ok(None)) => server.record_success(clock::now()),
        Ok(Err(failure)) if matches!(failure.cause, Cause::Refused | Cause::Unreachable) => {
            server.record_failure(clock::now());
        }
        // A busy server can be late with its report while it serves requests. Holding it ill for
        // that would reject requests that a slow pool can still serve.
        Ok(Err(_)) | Err(_) if server.answered_since(asked) => {}
        Ok(Err(_)) | Err(_) => server.record_failure(clock::now()),
    }
}

async fn fetch(server: &Server) -> Result<Option<Load>, Failure> {
    let mut connection = Connection::open(server.address, TIMEOUT).await?;
    let broken = Failure::sent(Cause::Broken);
    let host = HeaderValue::from_str(&server.address.to_string()).map_err(|_| broken)?;
    let request = Request::get("/load").header(HOST, host).body(Full::new(Bytes::new()));
    let response = connection.send(request.map_err(|_| broken)?, TIMEOUT).await?;
    let limits = Limits::new(LOAD_BYTES_MAX);
    let body = body::read(&mut response.into_body(), &limits, &mut OpenGate).await;
    let body = body.map_err(|_| broken)?;
    Ok(serde_json::from_slice(&body).ok())
}
