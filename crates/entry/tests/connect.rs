//! Connections that do not open or go silent, and the cause that is reported.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::connection::{Cause, Connection, Failure};
use http_body_util::Full;
use hyper::Request;

/// Guards against a server that is judged to have ended when this host merely has no route to it.
#[tokio::test]
async fn open_without_a_route_is_unreachable_not_refused() {
    let within = Duration::from_millis(250);
    let broadcast = "255.255.255.255:9".parse().unwrap();
    let failure = Connection::open(broadcast, within).await.err().unwrap();
    assert_eq!(failure.cause, Cause::Unreachable);
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let failure = Connection::open(closed, within).await.err().unwrap();
    assert_eq!(failure.cause, Cause::Refused);
}

/// Guards against waits that depend on a timeout of the operating system or a library: by default
/// the system detects a silent connection only after minutes, and a timeout set by a library would
/// take precedence over the one that the caller passes.
#[tokio::test]
async fn send_on_a_silent_connection_ends_at_the_given_timeout() {
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

/// Guards against servers that count as silent because this process stood still until the timeout
/// had passed, although the connection was open.
#[test]
fn open_notices_a_connection_after_its_timeout() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // One event at a time, so that the runtime ends the timer before it notices the connection.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_io_events_per_tick(1)
        .build();
    runtime.unwrap().block_on(async {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let _event = tokio::net::UdpSocket::from_std(socket).unwrap();
        let mut opening = pin!(Connection::open(address, Duration::from_millis(1)));
        poll_fn(|context| {
            assert!(opening.as_mut().poll(context).is_pending());
            std::thread::sleep(Duration::from_millis(20));
            Poll::Ready(())
        })
        .await;
        assert!(opening.await.is_ok());
    });
}
