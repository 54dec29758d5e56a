//! Each request is billed once, before its last byte goes out.

mod common;

use std::sync::Arc;

use common::bench::{Bench, header, refused};
use common::control::Bills;
use common::{until, until_async};
use wire::refusal::{Code, Ran};

const TAG: (&str, &str) = ("chestnutspur-task", "tag");

#[tokio::test(flavor = "multi_thread")]
async fn last_byte_waits_for_the_bill() {
    // Controls are at their bound while a stream ends. Its first events go out, its last one
    // doesn't until a control holds the bill; then the answer ends whole.
    let bench = Arc::new(Bench::start().await);
    *bench.control.says.lock().unwrap() = Bills::Full;
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
    *bench.control.says.lock().unwrap() = Bills::Twice;
    let answer = call.await.unwrap().unwrap();
    assert!(answer.body().ends_with(b"data: [DONE]\n\n"));
    assert_eq!(bench.control.bills_of(header(&answer, "x-request-id")).len(), 1);
    until_async("new work is taken again", async || {
        bench.chat(&[TAG], false).await.unwrap().status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_control_by_the_deadline_breaks_the_answer_but_keeps_the_bill() {
    // No control answers. Releasing the end would be an answer that is never paid, so at the
    // deadline the answer breaks visibly. The bill is kept, and held once a control is back.
    let bench = Bench::start().await;
    *bench.control.says.lock().unwrap() = Bills::Silent;
    let headers = [TAG, ("chestnutspur-deadline", "300")];
    let broken = bench.chat(&headers, true).await.unwrap_err();
    assert_eq!(broken.0, Some(200));
    assert!(bench.control.bills.lock().unwrap().is_empty());
    *bench.control.says.lock().unwrap() = Bills::Twice;
    until("the bill is held", || bench.control.bills.lock().unwrap().len() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_at_once_are_billed_once_each() {
    let bench = Bench::start().await;
    let calls = (0..100).map(|number| bench.chat(&[TAG], number % 2 == 0));
    let answers = futures::future::join_all(calls).await;
    let mut whole = 0;
    for answer in answers {
        let answer = answer.unwrap();
        if answer.status() == 200 {
            whole += 1;
            assert_eq!(bench.control.bills_of(header(&answer, "x-request-id")).len(), 1);
        }
    }
    assert!(whole > 0);
    assert_eq!(bench.control.bills.lock().unwrap().len(), whole);
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
