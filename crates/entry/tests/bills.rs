//! Each request is billed exactly once, before the last byte of its answer is sent.

mod common;

use std::sync::Arc;

use common::bench::{Bench, header, refused};
use common::control::Bills;
use common::{until, until_async};
use wire::refusal::{Code, Ran};

const TAG: (&str, &str) = ("chestnutspur-task", "tag");

#[tokio::test(flavor = "multi_thread")]
async fn stream_end_before_the_bill_is_held_waits() {
    // The controls hold as many bills as they may when a stream ends. Its first events are sent,
    // but its last one only once a control holds the bill; then the answer is complete.
    let bench = Arc::new(Bench::start().await);
    *bench.control.bills_mode.lock().unwrap() = Bills::Full;
    let calling = Arc::clone(&bench);
    let call = tokio::spawn(async move { calling.chat(&[TAG], true).await });
    until("the run has ended", || {
        bench.runs().iter().any(|run| run.outcome == standin::run::Outcome::Whole)
    })
    .await;
    until_async("new work is refused meanwhile", async || {
        let answer = bench.chat(&[TAG, ("chestnutspur-deadline", "100")], false).await.unwrap();
        refused(&answer) == (Code::BillsFull, Ran::No)
    })
    .await;
    assert!(!call.is_finished());
    *bench.control.bills_mode.lock().unwrap() = Bills::Twice;
    let answer = call.await.unwrap().unwrap();
    assert!(answer.body().ends_with(b"data: [DONE]\n\n"));
    assert_eq!(bench.control.bills_of(header(&answer, "x-request-id")).len(), 1);
    until_async("new work is taken again", async || {
        bench.chat(&[TAG], false).await.unwrap().status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_a_control_by_the_deadline_breaks_and_keeps_its_bill() {
    // No control answers. Sending the end would complete an answer that is never paid, so the
    // answer breaks visibly at its deadline. The bill stays queued, and a control that returns
    // gets it.
    let bench = Bench::start().await;
    *bench.control.bills_mode.lock().unwrap() = Bills::Silent;
    let headers = [TAG, ("chestnutspur-deadline", "300")];
    let broken = bench.chat(&headers, true).await.unwrap_err();
    assert_eq!(broken.0, Some(200));
    assert!(bench.control.bills.lock().unwrap().is_empty());
    *bench.control.bills_mode.lock().unwrap() = Bills::Twice;
    until("the bill is held", || bench.control.bills.lock().unwrap().len() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_are_billed_once_each() {
    let bench = Bench::start().await;
    let calls = (0..100).map(|number| bench.chat(&[TAG], number % 2 == 0));
    let answers = futures::future::join_all(calls).await;
    let mut answered = 0;
    for answer in answers {
        let answer = answer.unwrap();
        if answer.status() == 200 {
            answered += 1;
            assert_eq!(bench.control.bills_of(header(&answer, "x-request-id")).len(), 1);
        }
    }
    assert!(answered > 0);
    assert_eq!(bench.control.bills.lock().unwrap().len(), answered);
}

#[tokio::test(flavor = "multi_thread")]
async fn evidence_and_outcomes_are_reported() {
    let bench = Bench::start().await;
    for _ in 0..5 {
        assert_eq!(bench.chat(&[TAG], false).await.unwrap().status(), 200);
    }
    until("five calls and outcomes are reported", || {
        let reports = bench.control.reports.lock().unwrap();
        let calls: u64 = reports.iter().flat_map(|r| &r.evidence).map(|e| e.calls).sum();
        let outcomes: usize = reports.iter().map(|report| report.outcomes.len()).sum();
        calls == 5 && outcomes == 5
    })
    .await;
    let reports = bench.control.reports.lock().unwrap();
    assert!(reports.iter().flat_map(|report| &report.outcomes).all(|outcome| outcome.answered));
}
