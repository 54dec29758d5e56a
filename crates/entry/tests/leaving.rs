//! Backend servers that leave, and the process's own shutdown.

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
    // The list still says live, but the server's own report says that it is leaving. The report
    // is the newer evidence.
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

/// Guards against a server that says only in its answers that it leaves, since its reports do not come.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_says_leaving_stops_new_work() {
    let bench = Bench::start().await;
    let _proxies = without_reports(&bench).await;
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

/// Guards against requests at a server that has asked for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_asks_for_a_pause_is_left_alone() {
    let bench = Bench::start().await;
    let ask = |number: usize| {
        let body = chat_body("feed-1", false).replace("plan the", &format!("{number}: plan the"));
        let bench = &bench;
        async move { bench.call(Method::POST, "/v1/chat/completions", &[TAG], &body).await }
    };
    bench.engines[0].set_faults(Faults { down: Outage::Unavailable, ..Faults::default() });
    let tried = || bench.engines[0].rejected_count();
    let mut number = 0;
    while tried() == 0 {
        ask(number).await.unwrap();
        number += 1;
    }
    let began = std::time::Instant::now();
    let before = tried();
    while began.elapsed() < Duration::from_millis(700) {
        ask(number).await.unwrap();
        number += 1;
    }
    assert!(tried() - before <= 2, "{}", tried() - before);
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
async fn list_of_a_control_that_lags_brings_no_server_back() {
    // An engine has left. The control that said so dies, and the entry asks another one that is
    // cut off from the platform: its list is older and still says live. Nothing may go there.
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
async fn slow_report_of_a_working_server_closes_nothing() {
    // Both servers answer requests but never their load reports. Held ill for that, they would
    // be refused work that they can do.
    let bench = Bench::start().await;
    let _proxies = without_reports(&bench).await;
    // Long enough for reports to be found silent; the prompts differ, so both servers are used.
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

/// Puts a proxy before each engine that passes everything on but load reports.
async fn without_reports(bench: &Bench) -> Vec<(SocketAddr, AbortOnDropHandle<()>)> {
    let mut proxies = Vec::new();
    for engine in &bench.engines {
        proxies.push(no_reports(engine.address).await);
    }
    bench.control.change(|view| {
        for (host, proxy) in view.hosts.hosts.iter_mut().zip(&proxies) {
            host.address = proxy.0.to_string().into();
        }
    });
    bench.settled().await;
    proxies
}

/// Passes connections on, but not those that ask for a load report: these stay silent.
async fn no_reports(to: SocketAddr) -> (SocketAddr, AbortOnDropHandle<()>) {
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
async fn view_that_falls_back_is_not_adopted() {
    // A control that restarted from an old peer gives a lower generation, in which a withdrawn
    // version is live. Taking it would put the version back to work.
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
async fn control_gone_leaves_the_view_in_force() {
    // The only control goes away. The process goes on with its last view until bills can't be
    // kept safe any more; then it says so, and nothing runs that no bill would follow.
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
    // A request is under way when the process is told to stop, and takes longer than the time in
    // which new ones are still served. The process is not ready at once, waits for the answer,
    // hands over the bill, and ends without an error.
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
    let under_way = tokio::spawn(send(bench.callers, request));
    until("the request is at an engine", || bench.runs().len() == 1).await;
    bench.stop.cancel();
    until_async("not ready", async || {
        let ready = Request::get("/ready").body(bytes::Bytes::new()).unwrap();
        send(bench.operators, ready).await.is_ok_and(|answer| answer.status() == 503)
    })
    .await;
    (&mut bench.process).await.unwrap().unwrap();
    assert_eq!(bench.runs()[0].outcome, standin::run::Outcome::Whole);
    let answer = under_way.await.unwrap().unwrap();
    assert_eq!(text(&answer).request.as_str(), header(&answer, "x-request-id"));
    assert_eq!(bench.control.bills_of(header(&answer, "x-request-id")).len(), 1);
    assert!(TcpStream::connect(bench.callers).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_still_serves_what_the_balancer_sends() {
    // Between the stop and the moment the balancer sees it, new connections come in. They are
    // served, and told to close.
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
