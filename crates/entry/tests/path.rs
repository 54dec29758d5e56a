//! Checks the whole path of a request: answers, bills, cascades and sessions, without faults in
//! connections or servers.

mod common;

use common::bench::{Bench, header, refused, text};
use hyper::Method;
use wire::refusal::{Code, Ran};

#[tokio::test(flavor = "multi_thread")]
async fn chat_json_is_whole_billed_and_its_own() {
    let bench = Bench::start().await;
    let answer = bench.chat(&[("x-request-id", "mine")], false).await.unwrap();
    assert_eq!(answer.status(), 200);
    let id = header(&answer, "x-request-id");
    assert_eq!(text(&answer).request.as_str(), id);
    assert_eq!(header(&answer, "chestnutspur-caller-request"), "mine");
    let bills = bench.control.bills_of(id);
    assert_eq!(bills.len(), 1);
    assert!(bills[0].whole);
    assert_eq!(bills[0].account.as_str(), "mill");
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_stream_is_whole_billed_and_its_own() {
    let bench = Bench::start().await;
    let body = common::bench::chat_body("feed-2", true);
    let order = [("chestnutspur-task", "order")];
    let answer = bench.call(Method::POST, "/v1/chat/completions", &order, &body).await.unwrap();
    assert_eq!(answer.status(), 200, "{:?}", answer.body());
    assert!(answer.body().ends_with(b"data: [DONE]\n\n"));
    let id = header(&answer, "x-request-id");
    assert_eq!(text(&answer).request.as_str(), id);
    let bills = bench.control.bills_of(id);
    assert_eq!(bills.len(), 1);
    assert!(bills[0].whole);
    assert!((bills[0].cost - 5.0).abs() < 1e-9);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_call_passes_path_and_body_but_not_the_key() {
    let bench = Bench::start().await;
    let answer = bench.call(Method::POST, "/services/desk/orders?a=1", &[], "two tons").await;
    let answer = answer.unwrap();
    assert_eq!(answer.status(), 200);
    let echo: standin::service::Echo = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(echo.call.as_str(), "POST /orders?a=1");
    assert_eq!(bench.control.bills_of(header(&answer, "x-request-id")).len(), 1);
    assert_eq!(bench.service.orders().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cascade_with_a_bad_first_answer_has_one_bill() {
    // The rating service finds all answers of the cheap version bad, so the better version answers.
    // The caller sees one answer, and one bill holds the cost of both calls.
    let bench = Bench::start().await;
    let bad = [("feed-1".into(), 0.0)].into();
    bench.fault(&standin::backend::Faults { bad, ..Default::default() });
    let mut cascades = 0;
    for _ in 0..40 {
        let answer = bench.chat(&[], false).await.unwrap();
        let id = header(&answer, "x-request-id").to_owned();
        let bills = bench.control.bills_of(&id);
        assert_eq!(bills.len(), 1);
        let runs = bench.runs().iter().filter(|run| run.request.as_str() == id).count();
        if runs == 2 {
            cascades += 1;
            assert_eq!(text(&answer).version.as_str(), "feed-2");
            assert!((bills[0].cost - 6.0).abs() < 1e-9);
            assert_eq!(header(&answer, "chestnutspur-session"), "");
        }
    }
    assert!(cascades > 0);
    assert!(!bench.rater.records().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn session_token_keeps_its_version_until_it_is_withdrawn() {
    let bench = Bench::start().await;
    let task = ("chestnutspur-task", "tag");
    let first = bench.chat(&[task, ("chestnutspur-session", "new")], false).await.unwrap();
    let token = header(&first, "chestnutspur-session").to_owned();
    let version = text(&first).version;
    let session = ("chestnutspur-session", token.as_str());
    for state in ["live", "draining"] {
        bench
            .change_document(|document| {
                document["versions"][version.as_str()]["state"] = state.into();
            })
            .await;
        for _ in 0..5 {
            let answer = bench.chat(&[task, session], false).await.unwrap();
            assert_eq!(text(&answer).version, version);
        }
    }
    bench
        .change_document(|document| {
            document["versions"][version.as_str()]["state"] = "withdrawn".into();
        })
        .await;
    let answer = bench.chat(&[task, session], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::SessionEnded, Ran::No));
}

#[tokio::test(flavor = "multi_thread")]
async fn session_of_a_quarantined_version_ends() {
    let bench = Bench::start().await;
    let first = bench.chat(&[("chestnutspur-session", "new")], false).await.unwrap();
    let token = header(&first, "chestnutspur-session").to_owned();
    let version = text(&first).version;
    bench.control.change(|view| view.quarantined = vec![version]);
    bench.settled().await;
    let answer = bench.chat(&[("chestnutspur-session", &token)], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::SessionEnded, Ran::No));
}

#[tokio::test(flavor = "multi_thread")]
async fn session_named_by_the_caller_is_pinned() {
    let bench = Bench::start().await;
    let session = ("chestnutspur-session", "farm-12");
    let version = text(&bench.chat(&[session], false).await.unwrap()).version;
    // No version that accepts new sessions has a backend server any more, but the existing session
    // continues.
    bench
        .change_document(|document| {
            document["versions"]["feed-3"] = document["versions"]["feed-2"].clone();
            document["accounts"]["mill"]["versions"].as_array_mut().unwrap().push("feed-3".into());
            document["versions"]["feed-1"]["state"] = "draining".into();
            document["versions"]["feed-2"]["state"] = "draining".into();
        })
        .await;
    assert_eq!(text(&bench.chat(&[session], false).await.unwrap()).version, version);
    let other = bench.chat(&[("chestnutspur-session", "farm-13")], false).await.unwrap();
    assert_eq!(refused(&other), (Code::NoBackend, Ran::No));
}

#[tokio::test(flavor = "multi_thread")]
async fn session_of_an_unreachable_home_does_not_run() {
    let bench = Bench::start().await;
    *bench.control.home_gone.lock().unwrap() = true;
    let answer = bench.chat(&[("chestnutspur-session", "farm-12")], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::HomeUnavailable, Ran::No));
    assert_eq!(header(&answer, "retry-after"), "2");
    assert!(bench.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn session_of_another_account_is_refused() {
    let bench = Bench::start().await;
    let key = "00".repeat(32);
    let keyring = coordination::token::Keyring::default().with_key(1, key.as_bytes());
    let token = keyring.sign(&coordination::token::Token::default()).unwrap();
    let answer = bench.chat(&[("chestnutspur-session", &token)], false).await.unwrap();
    assert_eq!(refused(&answer), (Code::BadSession, Ran::No));
}

#[tokio::test(flavor = "multi_thread")]
async fn candidate_past_its_stale_limit_gets_no_new_sessions() {
    let mut document = common::bench::document();
    document["versions"]["feed-2"]["state"] = "candidate".into();
    document["versions"]["feed-2"]["stale_limit_ms"] = 60_000.into();
    let bench = Bench::with(document, |_| {}).await;
    bench.control.change(|view| view.shares = vec![("feed-2".into(), 1.0)]);
    bench.settled().await;
    let session = [("chestnutspur-session", "new")];
    let fresh = bench.chat(&session, false).await.unwrap();
    assert_eq!(text(&fresh).version.as_str(), "feed-2");
    bench.control.change(|view| view.unconfirmed_ms = 60_001);
    bench.settled().await;
    let stale = bench.chat(&session, false).await.unwrap();
    assert_eq!(text(&stale).version.as_str(), "feed-1");
    // A session that already runs on the candidate continues.
    let token = header(&fresh, "chestnutspur-session");
    let old = bench.chat(&[("chestnutspur-session", token)], false).await.unwrap();
    assert_eq!(text(&old).version.as_str(), "feed-2");
}
