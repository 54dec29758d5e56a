//! A request that may not be repeated runs at most once, and "not run" is true.

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

const ORDER: (&str, &str) = ("chestnutspur-task", "order");
const DESK: &str = "/services/desk/orders";

/// Puts a proxy before the first engine, and takes the second one out.
async fn behind_proxy(bench: &Bench) -> proxy::Proxy {
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

/// Puts engines of the list at addresses where nothing listens, and gives back the list before.
async fn close(bench: &Bench, names: &[&str]) -> List {
    let before = bench.control.view.borrow().hosts.clone();
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = Name::from(nobody.local_addr().unwrap().to_string());
    drop(nobody);
    bench.control.change(|view| {
        for host in view.hosts.hosts.iter_mut().filter(|host| names.contains(&host.name.as_str())) {
            host.address = address.clone();
        }
    });
    bench.settled().await;
    before
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_tried_elsewhere() {
    // One engine's port is closed. Not a byte of the order has gone out when that shows, so it
    // goes to the other engine, and the caller sees nothing of it.
    let bench = Bench::start().await;
    close(&bench, &["engine-0"]).await;
    for _ in 0..8 {
        let answer = bench.chat(&[ORDER], false).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(bench.runs().len(), 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_everywhere_did_not_run() {
    let bench = Bench::start().await;
    close(&bench, &["engine-0", "engine-1"]).await;
    let answer = bench.chat(&[ORDER], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::NoBackend, Ran::No));
    assert!(refusal(&answer).retry_after_ms.is_some());
    assert!(bench.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_after_the_first_byte_is_told_at_once() {
    // The engine takes the order and goes silent. It may have run, so it is never sent again;
    // the caller is told after the version's first-byte limit, long before its deadline.
    let bench = Bench::start().await;
    bench.fault(&Faults { silent_after: Some(0), ..Faults::default() });
    let started = std::time::Instant::now();
    let answer = bench.chat(&[ORDER], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::BackendFailed, Ran::Unknown));
    assert_eq!(bench.runs().len(), 1);
    // The task's deadline is 8 s; the limit is 0.4 s.
    assert!(started.elapsed().as_secs() < 7);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_lost_on_the_way_is_not_run_again() {
    // The engine works and answers, but the connection breaks before the answer is through.
    let bench = Bench::start().await;
    let proxy = behind_proxy(&bench).await;
    until_async("an order gets through", async || {
        bench.chat(&[ORDER], false).await.unwrap().status() == 200
    })
    .await;
    let before = bench.runs().len();
    proxy.set_mode(Mode::DropAnswer);
    let answer = bench.chat(&[ORDER], false).await.unwrap();
    let (code, ran) = refused(&answer);
    // If the load report found the proxy out first, nothing was sent at all.
    match code {
        Code::NoBackend => assert_eq!(ran, Ran::No),
        code => assert_eq!((code, ran), (Code::BackendFailed, Ran::Unknown)),
    }
    let sent = u64::from(ran == Ran::Unknown);
    assert!(bench.runs().len() as u64 <= before as u64 + sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn old_connections_gone_silent_carry_no_order() {
    // Kept connections go silent for good while new ones work. Orders sent on them would be
    // lost without anyone knowing whether they ran. The connections have answered a moment ago;
    // even so every order goes out on a new one and is answered.
    let bench = Bench::start().await;
    let proxy = behind_proxy(&bench).await;
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
async fn old_connections_gone_silent_do_not_condemn_the_server() {
    // A repeatable request on such a connection waits for the first-byte limit, then is tried on
    // a new connection of the same, only, engine and answered.
    let bench = Bench::start().await;
    let proxy = behind_proxy(&bench).await;
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
    // The key's home is cut off. Nothing is sent; but an earlier try of the key may have run, and
    // only the home knows, so the caller is told "unknown" and may send the same key again.
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
async fn key_of_an_unheard_claim_is_given_back() {
    // The home grants the key and its answer is lost on the way. Nothing is sent; but whether an
    // earlier try of the key ran was not heard either, so the caller is told "unknown" and sends
    // the same key again. Were the key still taken then, it could never order.
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
async fn key_is_not_claimed_when_no_backend_server_takes_it() {
    // Every engine is down. A key claimed now would stay taken though its order never ran, and
    // the caller's next try with the same key would be refused for nothing.
    let bench = Bench::start().await;
    let before = close(&bench, &["engine-0", "engine-1"]).await;
    let headers = [ORDER, ("idempotency-key", "order-8")];
    let answer = bench.chat(&headers, false).await.unwrap();
    // The key was not asked for, so nobody can say that no earlier try of it ran.
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
    // The home grants the key, but its answer gets lost. Nothing is sent. The key is given back,
    // or the caller's next try would be refused for a request that never ran.
    let bench = Bench::start().await;
    *bench.control.claims_lost.lock().unwrap() = true;
    let key = ("idempotency-key", "order-9");
    let hasty = [ORDER, key, ("chestnutspur-deadline", "300")];
    let answer = bench.chat(&hasty, false).await.unwrap();
    assert_eq!(refused(&answer), (Code::HomeUnavailable, Ran::Unknown));
    until("the key is given back", || bench.control.keys.lock().unwrap().is_empty()).await;
    *bench.control.claims_lost.lock().unwrap() = false;
    assert_eq!(bench.chat(&[ORDER, key], false).await.unwrap().status(), 200);
    assert_eq!(bench.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_order_runs_once_whatever_fails() {
    // A mix of faults at the order desk. Its own records say how often each order took effect.
    let bench = Bench::start().await;
    let mut unknown = 0;
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
        unknown += 1;
    }
    assert_eq!(bench.service.orders().len(), unknown);
    assert!(bench.service.orders().values().all(|count| *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn service_read_is_tried_again() {
    let bench = Bench::start().await;
    bench.service.set_faults(Faults { cut_after: Some(0), only: Some(1), ..Faults::default() });
    until("the view is in force", || true).await;
    let answer = bench.call(Method::GET, "/services/desk/status/7", &[], "").await.unwrap();
    // The one server of the pool is held ill for a moment after a new connection failed.
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
