//! Connections that do not open, and what that says of the server.

use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::connection::{Cause, Connection, Failure};
use http_body_util::Full;
use hyper::Request;

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

/// Guards against waits that are left to the system: without a time set for it, it finds a silent
/// connection after minutes, and a time that a library sets would decide in place of ours.
#[tokio::test]
async fn send_on_a_silent_connection_ends_by_our_own_time() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connection, silent) =
        tokio::join!(Connection::open(address, Duration::from_secs(1)), listener.accept());
    let request = Request::get("/").header("host", "h").body(Full::new(Bytes::new())).unwrap();
    let began = Instant::now();
    let sent = connection.ok().unwrap().send(request, Duration::from_millis(100)).await;
    assert_eq!(sent.err(), Some(Failure::sent(Cause::Silent)));
    assert!(began.elapsed() < Duration::from_secs(1));
    drop(silent);
}
