//! Levels of the lines that a `node` process logs.

mod support;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use node::exchange::{self, Cache};
use node::store::List;
use serde_json::{Value, json};
use support::process::directory;

/// Interval between two attempts to reach the starting node.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Number of RPCs sent to the node; the RPC library logs several lines for each of them.
const RPC_COUNT: usize = 5;

/// Returns an address that is free for both protocols between peers, TCP and UDP.
fn free_address() -> SocketAddr {
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
        // Nothing listens at the store's address: the node starts without the store.
        "platform": free_address(), "peers": peers,
    })
}

/// Returns the levels of all lines that a node logs while another host requests updates from it.
async fn logged_levels(name: &str, level: &str) -> Vec<String> {
    let directory = directory(name);
    let file = directory.join("node.json");
    let peers = free_address();
    std::fs::write(&file, settings(level, peers).to_string()).unwrap();
    let log = directory.join("node.log");
    let mut node = std::process::Command::new(env!("CARGO_BIN_EXE_chestnutspur"))
        .args(["node", "--settings", &file.display().to_string()])
        .stdout(std::fs::File::create(&log).unwrap())
        .spawn()
        .unwrap();
    let mut answered = 0;
    while answered < RPC_COUNT {
        match exchange::request_update(
            peers,
            (List::Operators, 0.into(), 0.into()),
            &Cache::default(),
        )
        .await
        {
            Ok(_) => answered += 1,
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
    // The writer thread needs this time to write the lines logged before the responses.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let _ = node.kill();
    let _ = node.wait();
    let text = std::fs::read_to_string(&log).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    lines.map(|line| line["level"].as_str().unwrap().to_owned()).collect()
}

#[tokio::test]
async fn lines_below_the_level_are_not_written() {
    // Guards against TRACE lines of the RPC library (`-> RPC;`) at level info, which were nearly
    // half of a day's lines with large tables. They come through tracing's bridge, which relies on
    // the logger's `enabled` alone, so `enabled` must check the level.
    let levels = logged_levels("logs-info", "info").await;
    assert!(levels.iter().any(|level| level == "INFO"), "{levels:?}");
    let is_wanted = |level: &String| ["INFO", "WARN", "ERROR"].contains(&level.as_str());
    assert!(levels.iter().all(is_wanted), "{levels:?}");
}

#[tokio::test]
async fn lines_of_a_wanted_level_are_written() {
    // At level warn a node does not log its start, but still warns that the store is unreachable.
    let levels = logged_levels("logs-warn", "warn").await;
    assert!(!levels.is_empty());
    assert!(levels.iter().all(|level| ["WARN", "ERROR"].contains(&level.as_str())), "{levels:?}");
}
