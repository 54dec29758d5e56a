//! The proxy does to connections what the documentation of its modes says.

mod common;

use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::Duration;

use common::{any_port, chat, outcomes, quick_engine, wait_until};
use standin::client::Client;
use standin::engine::{self, Engine};
use standin::proxy::{self, Direction, Mode, Proxy};
use standin::run::Outcome;
use standin::server::Running;
use tokio::net::TcpSocket;

/// A call without an answer after this time counts as silent: long enough for an answer over
/// loopback, short enough for a test.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

async fn through_proxy() -> (Running<Engine>, Proxy, Client) {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let proxy = proxy::start(any_port()).await.unwrap();
    let client = Client::new(proxy.address);
    proxy.set_target(engine.address);
    (engine, proxy, client)
}

async fn call_succeeds(client: &Client) -> bool {
    client.call(chat("r1", "v1", "tag this", false)).await.is_ok()
}

async fn is_silent(client: &Client) -> bool {
    tokio::time::timeout(SILENCE_TIMEOUT, call_succeeds(client)).await.is_err()
}

#[tokio::test]
async fn cut_resets_open_and_new_connections_until_lifted() {
    let (engine, proxy, client) = through_proxy().await;
    assert!(call_succeeds(&client).await);
    proxy.set_mode(Mode::Cut);
    assert!(!call_succeeds(&client).await);
    assert!(!call_succeeds(&Client::new(proxy.address)).await);
    proxy.set_mode(Mode::Pass);
    assert!(call_succeeds(&Client::new(proxy.address)).await);
    assert_eq!(engine.runs().len(), 2);
}

#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let (engine, proxy, client) = through_proxy().await;
    assert!(call_succeeds(&client).await);
    proxy.silence_existing();
    assert!(is_silent(&client).await);
    assert!(call_succeeds(&Client::new(proxy.address)).await);
    assert_eq!(engine.runs().len(), 2, "a request went through the silent connection");
}

#[tokio::test]
async fn silent_mode_holds_requests_until_lifted() {
    let (engine, proxy, client) = through_proxy().await;
    assert!(call_succeeds(&client).await);
    proxy.set_mode(Mode::Silent);
    assert!(is_silent(&Client::new(proxy.address)).await);
    let held = call_succeeds(&client);
    let lift = async {
        tokio::time::sleep(SILENCE_TIMEOUT).await;
        assert_eq!(engine.runs().len(), 1);
        proxy.set_mode(Mode::Pass);
    };
    let (answered, ()) = tokio::join!(held, lift);
    assert!(answered, "the held request was not passed on after the silence");
}

#[tokio::test]
async fn reset_breaks_only_existing_connections() {
    let (_engine, proxy, client) = through_proxy().await;
    let held = async {
        proxy.set_mode(Mode::Silent);
        let answered = call_succeeds(&client);
        let reset = async {
            wait_until(|| proxy.accepted_count() == 1).await;
            proxy.reset_existing();
        };
        tokio::join!(answered, reset).0
    };
    assert!(!held.await);
    proxy.set_mode(Mode::Pass);
    assert!(call_succeeds(&client).await);
}

#[tokio::test]
async fn request_took_effect_when_its_answer_is_dropped() {
    let (engine, proxy, client) = through_proxy().await;
    proxy.set_mode(Mode::DropAnswer);
    assert!(!call_succeeds(&client).await);
    assert_eq!(outcomes(&engine.runs()), [Outcome::Whole]);
}

#[tokio::test]
async fn connection_is_cut_after_its_bytes_in_either_direction() {
    let (engine, proxy, client) = through_proxy().await;
    proxy.set_cut_after(Some((Direction::Request, 30)));
    assert!(!call_succeeds(&client).await);
    assert_eq!(engine.runs().len(), 0, "the cut request arrived whole");
    proxy.set_cut_after(Some((Direction::Answer, 30)));
    assert!(!call_succeeds(&client).await);
    assert_eq!(engine.runs().len(), 1);
    proxy.set_cut_after(None);
    assert!(call_succeeds(&client).await);
}

#[tokio::test]
async fn connection_waits_for_a_target_set_later() {
    let engine = engine::start(any_port(), quick_engine()).unwrap();
    let proxy = proxy::start(any_port()).await.unwrap();
    let client = Client::new(proxy.address);
    let set = async {
        wait_until(|| proxy.accepted_count() == 1).await;
        proxy.set_target(engine.address);
    };
    assert!(tokio::join!(call_succeeds(&client), set).0);
}

/// Guards against a closed port that the system gives to another test's stand-in, whose answers then
/// pass for those of the closed one.
#[tokio::test]
async fn closed_port_stays_taken_and_refuses_connections() {
    let (engine, proxy, _client) = through_proxy().await;
    proxy.set_mode(Mode::Closed);
    engine.close();
    for address in [proxy.address, engine.address] {
        wait_until(|| TcpStream::connect(address).is_err()).await;
        let other = TcpSocket::new_v4().unwrap();
        assert_eq!(other.bind(address).unwrap_err().kind(), ErrorKind::AddrInUse);
    }
    proxy.set_mode(Mode::Pass);
    engine.open();
    wait_until(|| TcpStream::connect(engine.address).is_ok()).await;
    wait_until(|| TcpStream::connect(proxy.address).is_ok()).await;
    assert!(call_succeeds(&Client::new(proxy.address)).await);
}
