//! Checks that a request which may not be repeated runs at most once, and that a refusal says "not
//! run" only if the request did not run.

mod common;

use std::collections::HashMap;

use common::bench::{Bench, header, refusal, refused, text};
use common::{until, until_async};
use hyper::Method;
use policy::name::Name;
use standin::backend::Faults;
use standin::proxy::{self, Mode};
use wire::host::List;
use wire::refusal::{Code, Ran};

/// Task whose requests may run only once.
const ORDER: (&str, &str) = ("chestnutspur-task", "order");
/// Path of a plain service whose calls may run only once unless they are reads.
const DESK: &str = "/services/desk/orders";

/// Puts a proxy in front of the first engine, and removes the second engine.
async fn start_proxy(bench: &Bench) -> proxy::Proxy {
    let proxy = proxy::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    proxy.set_target(bench.engines[0].address);
    let address = Name::from(proxy.address.to_string());
    bench.control.change(|view| {
        view.hosts.hosts.retain(|host| host.name.as_str() != "engine-1");
        for host in view.hosts.hosts.iter_mut().filter(|host| host.name.as_str() == "engine-0") {
            host.address = address.clone();
        }
    });
    bench.settled().await;
    proxy
}

/// Changes the listed addresses of engines to one where nothing listens. Returns the list as it was
/// before.
async fn make_unreachable(bench: &Bench, names: &[&str]) -> List {
    let before = bench.control.view.borrow().hosts.clone();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = Name::from(listener.local_addr().unwrap().to_string());
    drop(listener);
    bench.control.change(|view| {
        for host in view.hosts.hosts.iter_mut().filter(|host| names.contains(&host.name.as_str())) {
            host.address = address.clone();
        }
    });
    bench.settled().await;
    before
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_retried_elsewhere() {
    // One engine's port is closed. The connection is refused before a byte of the order has gone
    // out, so the other engine answers, and the caller does not notice.
    let bench = Bench::start().await;
    make_unreachable(&bench, &["engine-0"]).await;
    for _ in 0..8 {
        let answer = bench.chat(&[ORDER], false).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(bench.runs().len(), 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connections_everywhere_did_not_run() {
    let bench = Bench::start().await;
    make_unreachable(&bench, &["engine-0", "engine-1"]).await;
    let answer = bench.chat(&[ORDER], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::NoBackend, Ran::No));
    assert!(refusal(&answer).retry_after_ms.is_some());
    assert!(bench.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_after_the_request_was_sent_is_refused_at_the_limit() {
    // The engine accepts the order and goes silent. The order may have run, so it is never sent
    // again. The caller is told after the version's first-byte limit, long before its deadline.
    let bench = Bench::start().await;
    bench.fault(&Faults { silent_after: Some(0), ..Faults::default() });
    let started = std::time::Instant::now();
    let answer = bench.chat(&[ORDER], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::BackendFailed, Ran::Unknown));
    assert_eq!(bench.runs().len(), 1);
    // The task's deadline is 8 s; the first-byte limit is 0.4 s.
    assert!(started.elapsed().as_secs() < 7);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_lost_on_the_way_is_not_run_again() {
    // The engine runs the order, but the connection breaks before its answer has arrived.
    let bench = Bench::start().await;
    let proxy = start_proxy(&bench).await;
    until_async("an order gets through", async || {
        bench.chat(&[ORDER], false).await.unwrap().status() == 200
    })
    .await;
    let before = bench.runs().len();
    proxy.set_mode(Mode::DropAnswer);
    let answer = bench.chat(&[ORDER], false).await.unwrap();
    let (code, ran) = refused(&answer);
    // If a failed load report revealed the broken proxy first, the order was never sent.
    match code {
        Code::NoBackend => assert_eq!(ran, Ran::No),
        code => assert_eq!((code, ran), (Code::BackendFailed, Ran::Unknown)),
    }
    let sent = u64::from(ran == Ran::Unknown);
    assert!(bench.runs().len() as u64 <= before as u64 + sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_connections_gone_silent_carry_no_order() {
    // Idle connections go silent for good while new ones work. An order sent on an idle connection
    // would be lost, and nobody could know whether it ran. So every order is sent on a new
    // connection, even if the idle ones answered a moment ago.
    let bench = Bench::start().await;
    let proxy = start_proxy(&bench).await;
    for _ in 0..4 {
        assert_eq!(bench.chat(&[("chestnutspur-task", "tag")], false).await.unwrap().status(), 200);
    }
    proxy.silence_existing();
    for _ in 0..4 {
        let answer = bench.chat(&[ORDER], false).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(text(&answer).request.as_str(), header(&answer, "x-request-id"));
        proxy.silence_existing();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_connection_gone_silent_does_not_make_its_server_ill() {
    // A repeatable request on an idle connection that went silent waits for the first-byte limit.
    // It is then sent on a new connection to the same engine, the only one, and answered.
    let bench = Bench::start().await;
    let proxy = start_proxy(&bench).await;
    let tag = [("chestnutspur-task", "tag")];
    assert_eq!(bench.chat(&tag, false).await.unwrap().status(), 200);
    proxy.silence_existing();
    assert_eq!(bench.chat(&tag, false).await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once() {
    let bench = Bench::start().await;
    let headers = [ORDER, ("idempotency-key", "order-7")];
    let calls = (0..6).map(|_| bench.chat(&headers, false));
    let answers = futures::future::join_all(calls).await;
    let mut by_status: HashMap<u16, usize> = HashMap::new();
    for answer in answers {
        let answer = answer.unwrap();
        *by_status.entry(answer.status().as_u16()).or_default() += 1;
        if answer.status() != 200 {
            assert_eq!(refused(&answer), (Code::KeyTaken, Ran::Unknown));
        }
    }
    assert_eq!(by_status, [(200, 1), (409, 5)].into());
    assert_eq!(bench.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_an_unreachable_home_does_not_run() {
    // The key's home can't be reached, so nothing is sent. An earlier request with the key may have
    // run, which only the home knows, so the caller is told "unknown" and may send the key again.
    let bench = Bench::start().await;
    *bench.control.home_gone.lock().unwrap() = true;
    let key = ("idempotency-key", "order-7");
    let answer = bench.chat(&[ORDER, key], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::HomeUnavailable, Ran::Unknown));
    let answer = bench.call(Method::POST, DESK, &[key], "two tons").await.unwrap();
    assert_eq!(refused(&answer), (Code::HomeUnavailable, Ran::Unknown));
    assert!(bench.runs().is_empty());
    assert!(bench.service.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_claim_without_an_answer_is_given_back() {
    // The home grants the key, but its answer is lost on the way, so nothing is sent. Whether an
    // earlier request with the key ran is not known either, so the caller is told "unknown" and
    // sends the same key again. If the key were still taken then, the caller could never order.
    let bench = Bench::start().await;
    let headers = [ORDER, ("idempotency-key", "order-9")];
    *bench.control.claims_unheard.lock().unwrap() = true;
    let answer = bench.chat(&headers, false).await.unwrap();
    assert_eq!(refused(&answer), (Code::HomeUnavailable, Ran::Unknown));
    assert!(bench.runs().is_empty());
    until("the key is free", || bench.control.keys.lock().unwrap().is_empty()).await;
    *bench.control.claims_unheard.lock().unwrap() = false;
    assert_eq!(bench.chat(&headers, false).await.unwrap().status(), 200);
    assert_eq!(bench.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_not_claimed_when_no_backend_server_is_reachable() {
    // Every engine is down. If the key were claimed now, it would stay taken although its order
    // never ran, and the caller's next request with the key would be refused without reason.
    let bench = Bench::start().await;
    let before = make_unreachable(&bench, &["engine-0", "engine-1"]).await;
    let headers = [ORDER, ("idempotency-key", "order-8")];
    let answer = bench.chat(&headers, false).await.unwrap();
    // The home was not asked about the key, so an earlier request with the key may have run.
    assert_eq!(refused(&answer), (Code::NoBackend, Ran::Unknown));
    assert!(bench.control.keys.lock().unwrap().is_empty());
    bench.control.change(|view| view.hosts = before);
    until_async("the order runs", async || {
        bench.chat(&headers, false).await.unwrap().status() == 200
    })
    .await;
    assert_eq!(bench.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_given_back_when_the_homes_answer_is_lost() {
    // The home grants the key, but its answer does not arrive before the caller's deadline. Nothing
    // is sent. If the key were not given back, the caller's next request would be refused because
    // of a request that never ran.
    let bench = Bench::start().await;
    *bench.control.claims_lost.lock().unwrap() = true;
    let key = ("idempotency-key", "order-9");
    let short_deadline = [ORDER, key, ("chestnutspur-deadline", "300")];
    let answer = bench.chat(&short_deadline, false).await.unwrap();
    assert_eq!(refused(&answer), (Code::HomeUnavailable, Ran::Unknown));
    until("the key is given back", || bench.control.keys.lock().unwrap().is_empty()).await;
    *bench.control.claims_lost.lock().unwrap() = false;
    assert_eq!(bench.chat(&[ORDER, key], false).await.unwrap().status(), 200);
    assert_eq!(bench.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_order_runs_once_whatever_fails() {
    // The order desk fails in different ways. Its records show how often each order took effect.
    let bench = Bench::start().await;
    let mut order_count = 0;
    for (number, faults) in [
        Faults { error: 1.0, ..Faults::default() },
        Faults { cut_after: Some(0), ..Faults::default() },
        Faults { cut_after: Some(10), ..Faults::default() },
        Faults { crossed: 1.0, ..Faults::default() },
        Faults::default(),
    ]
    .into_iter()
    .enumerate()
    {
        bench.service.set_faults(Faults { only: Some(1), ..faults });
        let body = format!("order {number}");
        until_async("the desk takes work", async || {
            let answer = bench.call(Method::POST, DESK, &[], &body).await.unwrap();
            let is_refusal = answer.status() != 200 && answer.status() != 500;
            let ran = is_refusal.then(|| refusal(&answer).ran);
            ran != Some(Ran::No)
        })
        .await;
        order_count += 1;
    }
    assert_eq!(bench.service.orders().len(), order_count);
    assert!(bench.service.orders().values().all(|count| *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn service_read_is_retried() {
    let bench = Bench::start().await;
    bench.service.set_faults(Faults { cut_after: Some(0), only: Some(1), ..Faults::default() });
    until("the view is in force", || true).await;
    let answer = bench.call(Method::GET, "/services/desk/status/7", &[], "").await.unwrap();
    // After a failure on a new connection the only server of the pool counts as ill for a moment.
    match answer.status().as_u16() {
        200 => {}
        _ => assert_eq!(refused(&answer).1, Ran::Unknown),
    }
    until_async("the desk answers again", async || {
        let answer = bench.call(Method::GET, "/services/desk/status/7", &[], "").await.unwrap();
        answer.status() == 200
    })
    .await;
}
