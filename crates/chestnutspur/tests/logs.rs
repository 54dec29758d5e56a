//! What a `node` process writes to its log.

mod support;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use node::exchange::{self, Cache};
use node::store::List;
use serde_json::{Value, json};
use support::process::directory;

/// Between two looks at what is not there yet.
const LOOK: Duration = Duration::from_millis(20);
/// Questions put to the node; a library logs several lines for each of its own.
const QUESTIONS: usize = 5;

/// A free address for both protocols of the peers.
fn free() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn settings(level: &str, peers: SocketAddr) -> Value {
    json!({
        "role": "node", "name": "node-1", "failure_domain": "a", "log": level,
        "listen": "127.0.0.1:0", "operators": "127.0.0.1:0",
        // No store is there: the node goes on without.
        "platform": free(), "peers": peers,
    })
}

/// Levels of all lines that a node logs while other hosts ask it for news.
async fn levels(name: &str, level: &str) -> Vec<String> {
    let directory = directory(name);
    let file = directory.join("node.json");
    let peers = free();
    std::fs::write(&file, settings(level, peers).to_string()).unwrap();
    let log = directory.join("node.log");
    let mut node = std::process::Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
        .args(["node", "--settings", &file.display().to_string()])
        .stdout(std::fs::File::create(&log).unwrap())
        .spawn()
        .unwrap();
    let mut answered = 0;
    while answered < QUESTIONS {
        match exchange::request_update(
            peers,
            (List::Operators, 0.into(), 0.into()),
            &Cache::default(),
        )
        .await
        {
            Ok(_) => answered += 1,
            Err(_) => tokio::time::sleep(LOOK).await,
        }
    }
    // What was logged before the answers is written by then.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let _ = node.kill();
    let _ = node.wait();
    let text = std::fs::read_to_string(&log).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    lines.map(|line| line["level"].as_str().unwrap().to_owned()).collect()
}

#[tokio::test]
async fn lines_below_the_level_are_not_written() {
    // On call, nearly half of the lines of a day with large tables were TRACE lines of the RPC
    // library (`-> RPC;`) although the level was info: they came from tracing's bridge, which asks
    // only the logger whether it is enabled, and the logger did not look at the level.
    let levels = levels("logs-info", "info").await;
    assert!(levels.iter().any(|level| level == "INFO"), "{levels:?}");
    let is_wanted = |level: &String| ["INFO", "WARN", "ERROR"].contains(&level.as_str());
    assert!(levels.iter().all(is_wanted), "{levels:?}");
}

#[tokio::test]
async fn lines_of_a_wanted_level_are_written() {
    // The same node at level warn says nothing of its start, and still that the store is lost.
    let levels = levels("logs-warn", "warn").await;
    assert!(!levels.is_empty());
    assert!(levels.iter().all(|level| ["WARN", "ERROR"].contains(&level.as_str())), "{levels:?}");
}
