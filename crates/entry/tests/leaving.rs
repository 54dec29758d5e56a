//! Backend servers that leave, pause or return, outdated views, and the shutdown of the process.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::bench::{Bench, KEY, chat_body, header, refused, send, text};
use common::{until, until_async};
use hyper::{Method, Request};
use standin::backend::Faults;
use standin::fault::Outage;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;
use wire::host::HostState;
use wire::refusal::{Code, Ran};

const TAG: (&str, &str) = ("chestnutspur-task", "tag");

#[tokio::test(flavor = "multi_thread")]
async fn draining_report_stops_new_work() {
    // The host list still names the server as live, but the server's own report says that it is
    // leaving. The report is newer evidence.
    let bench = Bench::start().await;
    bench.engines[0].set_faults(Faults { draining: true, ..Faults::default() });
    until_async("nothing goes to the leaving server", async || {
        let before = bench.engines[0].runs().len();
        for _ in 0..10 {
            assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
        }
        bench.engines[0].runs().len() == before
    })
    .await;
    let before = bench.engines[0].runs().len();
    for _ in 0..20 {
        assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
    }
    assert_eq!(bench.engines[0].runs().len(), before);
}

/// Guards against further requests to a server that announces only in its answers that it leaves,
/// because its load reports do not arrive.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_says_leaving_stops_new_work() {
    let bench = Bench::start().await;
    let _proxies = block_reports(&bench).await;
    bench.engines[0].set_faults(Faults { draining: true, ..Faults::default() });
    let ask = async |number: usize| {
        let body = chat_body("feed-1", false).replace("plan the", &format!("{number}: plan the"));
        let answer = bench.call(Method::POST, "/v1/chat/completions", &[TAG], &body).await.unwrap();
        assert_eq!(answer.status(), 200);
    };
    let mut number = 0;
    while bench.engines[0].runs().is_empty() {
        ask(number).await;
        number += 1;
    }
    for number in 0..30 {
        ask(1_000 + number).await;
    }
    assert_eq!(bench.engines[0].runs().len(), 1);
}

/// Guards against further requests to a server that has asked for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_asks_for_a_pause_gets_nothing_new() {
    let bench = Bench::start().await;
    let ask = |number: usize| {
        let body = chat_body("feed-1", false).replace("plan the", &format!("{number}: plan the"));
        let bench = &bench;
        async move { bench.call(Method::POST, "/v1/chat/completions", &[TAG], &body).await }
    };
    bench.engines[0].set_faults(Faults { down: Outage::Unavailable, ..Faults::default() });
    let rejected = || bench.engines[0].rejected_count();
    let mut number = 0;
    while rejected() == 0 {
        ask(number).await.unwrap();
        number += 1;
    }
    let began = std::time::Instant::now();
    let before = rejected();
    while began.elapsed() < Duration::from_millis(700) {
        ask(number).await.unwrap();
        number += 1;
    }
    assert!(rejected() - before <= 2, "{}", rejected() - before);
}

#[tokio::test(flavor = "multi_thread")]
async fn listed_as_leaving_gets_nothing_new() {
    let bench = Bench::start().await;
    bench.control.change(|view| view.hosts.hosts[0].state = HostState::Leaving);
    bench.settled().await;
    for _ in 0..20 {
        assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
    }
    assert!(bench.engines[0].runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn older_list_of_another_control_brings_no_server_back() {
    // An engine has left. The control that reported it fails, and the entry polls another control,
    // which is cut off from the platform: its host list is older and still names the engine as
    // live. The engine must get no request.
    let bench = Bench::start().await;
    bench.control.change(|view| {
        view.hosts.revision = 2_000.into();
        view.hosts.hosts[0].state = HostState::Leaving;
    });
    bench.settled().await;
    bench.control.change(|view| {
        view.hosts.revision = 1_000.into();
        view.hosts.hosts[0].state = HostState::Live;
    });
    bench.settled().await;
    for _ in 0..20 {
        assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
    }
    assert!(bench.engines[0].runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_reports_of_a_working_server_stop_no_work() {
    // Both servers answer requests but never send load reports. If they were held ill for that,
    // requests that they can serve would be rejected.
    let bench = Bench::start().await;
    let _proxies = block_reports(&bench).await;
    // 3 s are long enough for the polls for load reports to time out. The prompts differ, so both
    // servers are used.
    let started = std::time::Instant::now();
    let mut late = Vec::new();
    for number in 0.. {
        let body = chat_body("feed-1", false).replace("plan the", &format!("{number}: plan the"));
        let answer = bench.call(Method::POST, "/v1/chat/completions", &[TAG], &body).await.unwrap();
        assert_eq!(answer.status(), 200);
        match started.elapsed().as_millis() {
            ..3_000 => {}
            3_000..4_500 => late.push(header(&answer, "x-request-id").to_owned()),
            _ => break,
        }
    }
    for engine in &bench.engines {
        let runs = engine.runs();
        assert!(runs.iter().any(|run| late.iter().any(|id| *id == *run.request)));
    }
}

/// Puts a proxy in front of each engine that passes on everything but polls for load reports.
async fn block_reports(bench: &Bench) -> Vec<(SocketAddr, AbortOnDropHandle<()>)> {
    let mut proxies = Vec::new();
    for engine in &bench.engines {
        proxies.push(start_blocking_proxy(engine.address).await);
    }
    bench.control.change(|view| {
        for (host, proxy) in view.hosts.hosts.iter_mut().zip(&proxies) {
            host.address = proxy.0.to_string().into();
        }
    });
    bench.settled().await;
    proxies
}

/// Starts a proxy to an address. It leaves connections that ask for a load report open without an
/// answer.
async fn start_blocking_proxy(to: SocketAddr) -> (SocketAddr, AbortOnDropHandle<()>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepts = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((mut from, _)) = listener.accept().await {
            connections.spawn(async move {
                let mut first = [0; 9];
                let peeked = from.peek(&mut first).await;
                if peeked.is_ok() && first.starts_with(b"GET /load") {
                    std::future::pending::<()>().await;
                }
                let mut to = TcpStream::connect(to).await.unwrap();
                let _ = tokio::io::copy_bidirectional(&mut from, &mut to).await;
            });
        }
    });
    (address, AbortOnDropHandle::new(accepts))
}

#[tokio::test(flavor = "multi_thread")]
async fn recovered_server_gets_work_again() {
    let bench = Bench::start().await;
    bench.engines[0].close();
    for _ in 0..10 {
        assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
    }
    bench.engines[0].open();
    until_async("the server gets work again", async || {
        assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
        !bench.engines[0].runs().is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn view_of_an_older_generation_is_ignored() {
    // A control that restarted from an outdated peer gives a lower generation, in which a withdrawn
    // version is live. Using it would bring the version back into use.
    let bench = Bench::start().await;
    let old = bench.control.view.borrow().clone();
    bench
        .change_document(|document| document["versions"]["feed-1"]["state"] = "withdrawn".into())
        .await;
    bench.control.change(|view| {
        *view = wire::view::View { incarnation: "control/2".into(), revision: 900, ..old.clone() };
    });
    for _ in 0..40 {
        let answer = bench.chat(&[TAG], false).await.unwrap();
        assert_eq!(text(&answer).version.as_str(), "feed-2");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn loss_of_the_only_control_leaves_the_view_in_force() {
    // The only control fails. The process serves by its last view until a call with bills fails.
    // From then on it rejects new requests, so that nothing runs that is never billed.
    let mut bench = Bench::start().await;
    assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
    drop(bench.running.take());
    let deadline = ("chestnutspur-deadline", "300");
    let answer = bench.chat(&[TAG, deadline], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::BillsFull, Ran::Unknown));
    let before = bench.runs().len();
    until_async("new work is refused", async || {
        let answer = bench.chat(&[TAG, deadline], false).await.unwrap();
        refused(&answer) == (Code::BillsFull, Ran::No)
    })
    .await;
    let runs = bench.runs().len();
    let answer = bench.chat(&[TAG], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::BillsFull, Ran::No));
    assert_eq!(bench.runs().len(), runs);
    assert!(runs >= before);
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_cuts_off_no_request() {
    // A request is in flight when the process is told to stop, and takes longer than the time in
    // which new connections are still accepted. The process stops being ready at once, waits for
    // the answer, delivers the bill and ends without an error.
    let mut document = common::bench::document();
    document["versions"]["feed-1"]["first_byte_ms"] = 10_000.into();
    let mut bench = Bench::with(document, |_| {}).await;
    bench.fault(&Faults { delay_ms: 1_500, ..Faults::default() });
    let body = chat_body("feed-1", false);
    let request = Request::post("/v1/chat/completions")
        .header("authorization", format!("Bearer {KEY}"))
        .header("chestnutspur-task", "tag")
        .body(bytes::Bytes::from(body))
        .unwrap();
    let in_flight = tokio::spawn(send(bench.callers, request));
    until("the request is at an engine", || bench.runs().len() == 1).await;
    bench.stop.cancel();
    until_async("not ready", async || {
        let ready = Request::get("/ready").body(bytes::Bytes::new()).unwrap();
        send(bench.operators, ready).await.is_ok_and(|answer| answer.status() == 503)
    })
    .await;
    (&mut bench.process).await.unwrap().unwrap();
    assert_eq!(bench.runs()[0].outcome, standin::run::Outcome::Whole);
    let answer = in_flight.await.unwrap().unwrap();
    assert_eq!(text(&answer).request.as_str(), header(&answer, "x-request-id"));
    assert_eq!(bench.control.bills_of(header(&answer, "x-request-id")).len(), 1);
    assert!(TcpStream::connect(bench.callers).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_serves_requests_until_the_balancer_notices() {
    // New connections arrive between the stop and the moment at which the load balancer notices it.
    // Their requests are served, and the answers tell them to close.
    let bench = Bench::start().await;
    bench.stop.cancel();
    let answer = bench.chat(&[TAG], false).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "connection"), "close");
    bench.process.await.unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_closes_idle_connections() {
    let bench = Bench::start().await;
    let mut idle = TcpStream::connect(bench.callers).await.unwrap();
    idle.write_all(b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let mut piece = [0; 16];
    idle.read_exact(&mut piece).await.unwrap();
    bench.stop.cancel();
    let ended = tokio::time::timeout(Duration::from_secs(20), bench.process).await;
    ended.unwrap().unwrap().unwrap();
}
