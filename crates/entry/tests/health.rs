//! Time for which a backend server is held ill after failures.

use std::net::SocketAddr;

use entry::server::Server;
use policy::name::Name;
use policy::probe::ILL_MS;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

fn server() -> Server {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Server::new(Name::from("s"), address, Name::from("a"))
}

/// Guards against a server that is silent for a second and held ill for half a minute, because each
/// of many requests in flight counted as a further failure.
#[test]
fn record_failure_of_many_requests_at_once_counts_one() {
    let server = server();
    (0..20).for_each(|n| server.record_failure(START + n * 10));
    assert!(server.is_ill(START + ILL_MS - 1));
    assert!(!server.is_ill(START + ILL_MS));
}

/// Guards against a server that is gone and still gets an attempt every second.
#[test]
fn record_failure_after_another_doubles_the_time() {
    let server = server();
    server.record_failure(START);
    let again = START + ILL_MS;
    server.record_failure(again);
    assert!(server.is_ill(again + 2 * ILL_MS - 1));
    assert!(!server.is_ill(again + 2 * ILL_MS));
}
