//! Connections that do not open, and what that says of the server.

use std::time::Duration;

use entry::connection::{Cause, Connection};

/// Guards against servers that are taken for ended where this host has no way to them.
#[tokio::test]
async fn open_without_a_way_is_no_refusal() {
    let within = Duration::from_millis(250);
    let broadcast = "255.255.255.255:9".parse().unwrap();
    let failure = Connection::open(broadcast, within).await.err().unwrap();
    assert_eq!(failure.cause, Cause::Unreachable);
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let failure = Connection::open(closed, within).await.err().unwrap();
    assert_eq!(failure.cause, Cause::Refused);
}
