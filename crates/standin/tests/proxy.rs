//! The proxy does to connections what the tests that use it say it does.

mod common;

use std::time::Duration;

use common::{any_port, chat, outcomes, quick, until};
use standin::client::Client;
use standin::engine::{self, Engine};
use standin::proxy::{self, Direction, Mode, Proxy};
use standin::run::Outcome;
use standin::server::Running;

/// Long enough for an answer over loopback, short enough for a test.
const SILENCE: Duration = Duration::from_millis(100);

async fn through_proxy() -> (Running<Engine>, Proxy, Client) {
    let engine = engine::start(any_port(), quick()).unwrap();
    let proxy = proxy::start(any_port()).await.unwrap();
    let client = Client::new(proxy.address);
    proxy.set_target(engine.address);
    (engine, proxy, client)
}

async fn ask(client: &Client) -> bool {
    client.call(chat("r1", "v1", "tag this", false)).await.is_ok()
}

async fn silent(client: &Client) -> bool {
    tokio::time::timeout(SILENCE, ask(client)).await.is_err()
}

#[tokio::test]
async fn cut_resets_old_and_new_until_lifted() {
    let (engine, proxy, client) = through_proxy().await;
    assert!(ask(&client).await);
    proxy.set_mode(Mode::Cut);
    assert!(!ask(&client).await);
    assert!(!ask(&Client::new(proxy.address)).await);
    proxy.set_mode(Mode::Pass);
    assert!(ask(&Client::new(proxy.address)).await);
    assert_eq!(engine.runs().len(), 2);
}

#[tokio::test]
async fn silence_of_existing_lasts_while_new_ones_work() {
    let (engine, proxy, client) = through_proxy().await;
    assert!(ask(&client).await);
    proxy.silence_existing();
    assert!(silent(&client).await);
    assert!(ask(&Client::new(proxy.address)).await);
    assert_eq!(engine.runs().len(), 2, "nothing went through the silent connection");
}

#[tokio::test]
async fn silence_of_all_ends_when_lifted() {
    let (engine, proxy, client) = through_proxy().await;
    assert!(ask(&client).await);
    proxy.set_mode(Mode::Silent);
    assert!(silent(&Client::new(proxy.address)).await);
    let held = ask(&client);
    let lift = async {
        tokio::time::sleep(SILENCE).await;
        assert_eq!(engine.runs().len(), 1);
        proxy.set_mode(Mode::Pass);
    };
    let (answered, ()) = tokio::join!(held, lift);
    assert!(answered, "what was held back goes on");
}

#[tokio::test]
async fn reset_breaks_only_existing() {
    let (_engine, proxy, client) = through_proxy().await;
    let held = async {
        proxy.set_mode(Mode::Silent);
        let asked = ask(&client);
        let reset = async {
            until(|| proxy.accepted_count() == 1).await;
            proxy.reset_existing();
        };
        tokio::join!(asked, reset).0
    };
    assert!(!held.await);
    proxy.set_mode(Mode::Pass);
    assert!(ask(&client).await);
}

#[tokio::test]
async fn dropped_answer_had_its_effect() {
    let (engine, proxy, client) = through_proxy().await;
    proxy.set_mode(Mode::DropAnswer);
    assert!(!ask(&client).await);
    assert_eq!(outcomes(&engine.runs()), [Outcome::Whole]);
}

#[tokio::test]
async fn cut_after_bytes_either_way() {
    let (engine, proxy, client) = through_proxy().await;
    proxy.set_cut_after(Some((Direction::Request, 30)));
    assert!(!ask(&client).await);
    assert_eq!(engine.runs().len(), 0, "the request never arrived whole");
    proxy.set_cut_after(Some((Direction::Answer, 30)));
    assert!(!ask(&client).await);
    assert_eq!(engine.runs().len(), 1);
    proxy.set_cut_after(None);
    assert!(ask(&client).await);
}

#[tokio::test]
async fn target_set_later_is_reached() {
    let engine = engine::start(any_port(), quick()).unwrap();
    let proxy = proxy::start(any_port()).await.unwrap();
    let client = Client::new(proxy.address);
    let set = async {
        until(|| proxy.accepted_count() == 1).await;
        proxy.set_target(engine.address);
    };
    assert!(tokio::join!(ask(&client), set).0);
}
