//! Probes of backend servers that may have ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway::backend::{Backend, Liveness};
use gateway::poison::Guard;
use policy::name::Name;
use tokio::net::{TcpSocket, TcpStream};

fn backend(id: &str, address: SocketAddr) -> Arc<Backend> {
    let row = wire::routing::Backend {
        id: Name::from(id),
        born: 0,
        service: Name::from("s"),
        address,
        failure_domain: Name::from("a"),
        version: Name::from("v1"),
        slots: 8,
        draining: false,
        warmup_ms: None,
    };
    Arc::new(Backend::new(&row, true))
}

/// Guards against requests that were lost together and wait for one probe after another.
#[tokio::test(flavor = "multi_thread")]
async fn probe_by_many_of_a_server_that_accepts_no_connections_is_shared() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    {
        held.push(stream);
    }
    let backend = backend("i", address);
    let guard = Arc::new(Guard::new(tokio::sync::mpsc::channel(1).0));
    let began = Instant::now();
    let probes = (0..10).map(|_| {
        let (backend, guard) = (Arc::clone(&backend), Arc::clone(&guard));
        tokio::spawn(async move { backend.probe(&guard, Vec::new).await })
    });
    let probes: Vec<_> = probes.collect();
    for probe in probes {
        assert_eq!(probe.await.unwrap(), Liveness::Alive);
    }
    assert!(began.elapsed() < Duration::from_millis(300), "{:?}", began.elapsed());
}

/// Guards against forgetting the requests that were lost with a server because other servers also
/// refused connections at the moment of its end.
#[tokio::test]
async fn probe_while_the_host_may_be_cut_off_is_unclear_until_another_server_accepts_connections() {
    let free = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let ended = backend("ended", free());
    let guard = Guard::new(tokio::sync::mpsc::channel(1).0);
    guard.reach.record_failure(&backend("b1", free()));
    guard.reach.record_failure(&backend("b2", free()));
    let others = [backend("b1", free()), backend("b2", free())];
    assert_eq!(ended.probe(&guard, || others.to_vec()).await, Liveness::Unclear);
    let alive = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let others = [backend("b1", free()), backend("b3", alive.local_addr().unwrap())];
    // Probes in quick succession share the result of the first one.
    let until = Instant::now() + Duration::from_secs(10);
    while ended.probe(&guard, || others.to_vec()).await != Liveness::Ended {
        assert!(Instant::now() < until, "still unclear");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
