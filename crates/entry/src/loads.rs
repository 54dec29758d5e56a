//! Asks backend servers for their load, a few at a time, spread out.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use wire::backend::Load;

use crate::clock;
use crate::connection::{Cause, Connection, Failure};
use crate::server::Server;
use crate::state::State;

/// Questions a second at most, however many backend servers there are: with many entry hosts
/// each server is asked by all of them.
const PER_SECOND_MAX: u64 = 20;
/// Each server is asked this often at most.
const EACH: Duration = Duration::from_millis(400);
/// Longest wait for an answer.
const WITHIN: Duration = Duration::from_secs(2);
const LOAD_BYTES_MAX: usize = 16 << 10;

/// Asks one server after another until the process ends.
pub async fn run(state: Arc<State>) {
    loop {
        let snapshot = state.snapshot.load_full();
        let servers: Vec<Arc<Server>> = snapshot.pools.values().flatten().cloned().collect();
        let pause = pause(servers.len());
        for server in servers {
            tokio::time::sleep(pause).await;
            tokio::spawn(async move { ask(&server).await });
        }
        if snapshot.pools.is_empty() {
            tokio::time::sleep(EACH).await;
        }
    }
}

fn pause(servers: usize) -> Duration {
    let spread = EACH / u32::try_from(servers.max(1)).unwrap_or(u32::MAX);
    spread.max(Duration::from_millis(1000 / PER_SECOND_MAX))
}

/// Always on a new connection: the answer then proves that new connections work, which is what
/// a server held ill must show, and no old connection is kept from being retired.
async fn ask(server: &Server) {
    server.retire(false);
    let (asked, asked_at) = (clock::now(), clock::steady());
    match tokio::time::timeout(WITHIN, load(server)).await {
        Ok(Ok(Some(load))) => {
            let now = clock::steady();
            server.with_intake(now, |intake| intake.apply_report(load.draining, asked_at, now));
            server.note_load(load, clock::now());
        }
        // It answers, if not with a report.
        Ok(Ok(None)) => server.note_success(clock::now()),
        Ok(Err(failure)) if matches!(failure.cause, Cause::Refused | Cause::Unreachable) => {
            server.note_failure(clock::now());
        }
        // A busy server can be slow with its report and serve requests all the same: refusing
        // those for it would make a slow pool a closed one.
        Ok(Err(_)) | Err(_) if server.worked_since(asked) => {}
        Ok(Err(_)) | Err(_) => server.note_failure(clock::now()),
    }
}

async fn load(server: &Server) -> Result<Option<Load>, Failure> {
    let mut connection = Connection::open(server.address, WITHIN).await?;
    let broken = Failure::sent(Cause::Broken);
    let host = HeaderValue::from_str(&server.address.to_string()).map_err(|_| broken)?;
    let request = Request::get("/load").header(HOST, host).body(Full::new(Bytes::new()));
    let response = connection.send(request.map_err(|_| broken)?, WITHIN).await?;
    let body = Limited::new(response.into_body(), LOAD_BYTES_MAX).collect().await;
    let body = body.map_err(|_| broken)?.to_bytes();
    Ok(serde_json::from_slice(&body).ok())
}
