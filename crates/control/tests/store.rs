//! Reads of the platform that bring nothing new.

use std::net::SocketAddr;

use control::store::{Client, Outcome};
use standin::platform::{self, Platform, Settings};
use standin::proxy::{self, Proxy};
use standin::server::Running;
use wire::host::{Host, HostState, Role};
use wire::store::{Transaction, Write};

const ANY: &str = "127.0.0.1:0";

fn hosts(count: usize) -> Vec<Host> {
    let host = |index| Host {
        name: format!("worker-{index}").into(),
        role: Role::Backend,
        address: "127.0.0.1:1".into(),
        failure_domain: "north".into(),
        pool: "models".into(),
        versions: Vec::new(),
        state: HostState::Live,
    };
    (0..count).map(host).collect()
}

async fn start() -> (Running<Platform>, Proxy, Client) {
    let listen: SocketAddr = ANY.parse().unwrap();
    let platform = platform::start(listen, Settings::default()).unwrap();
    let proxy = proxy::start(listen).await.unwrap();
    proxy.set_target(platform.address);
    let client = Client::new(proxy.address);
    (platform, proxy, client)
}

async fn write(client: &Client, value: &str) {
    let write = Write { table: "t".into(), key: "k".into(), value: Some(value.into()) };
    let transaction = Transaction { writes: vec![write], ..Transaction::default() };
    assert!(matches!(client.commit(&transaction).await, Ok(Outcome::Committed(_))));
}

#[tokio::test(flavor = "multi_thread")]
async fn row_is_read_anew_after_each_change() {
    // A poll that took the old row for unchanged would miss a withdrawal for good.
    let (_platform, _proxy, client) = start().await;
    assert!(client.row("t", "k").await.unwrap().is_none());
    for value in ["one", "two", "one"] {
        write(&client, value).await;
        for _ in 0..2 {
            assert_eq!(client.row("t", "k").await.unwrap().unwrap().value, value);
            assert_eq!(client.rows("t").await.unwrap()[0].value, value);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_unchanged_cost_little_and_are_as_new_as_told() {
    // A list of the size designed for is read again and again. Were it sent each time, the reader
    // would spend a hundred times what it may; were its revision left as it was first read, a list
    // that changed and changed back would lose to what a peer saw in between.
    let (platform, proxy, client) = start().await;
    platform.set_hosts(hosts(900));
    let first = client.hosts().await.unwrap();
    let whole = proxy.passed_bytes();
    let again = client.hosts().await.unwrap();
    assert_eq!(again, first);
    assert!(
        (proxy.passed_bytes() - whole) * 100 < whole,
        "{} after {whole}",
        proxy.passed_bytes() - whole
    );
    platform.set_hosts(hosts(899));
    let fewer = client.hosts().await.unwrap();
    assert_eq!(fewer.hosts.len(), 899);
    platform.set_hosts(hosts(900));
    let back = client.hosts().await.unwrap();
    assert_eq!(back.hosts, first.hosts);
    assert!(back.revision > fewer.revision && fewer.revision > first.revision);
}
