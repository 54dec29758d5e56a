//! Bills: held by two, stored once, while controls die, pause and come back and the platform is
//! down or loses answers. The verdict is the platform's own reading of the logs.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{Deployment, wait_for};
use policy::name::Name;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use wire::bill::{Audit, Bill, BillAnswer};
use wire::peer::Link;

const WITHIN: Duration = Duration::from_secs(20);

fn bill(request: &str, log: &Name) -> Bill {
    Bill {
        request: Name::from(request),
        log: log.clone(),
        account: Name::from("dwu-claims"),
        task: Name::from("tagging"),
        version: Name::from("small-1"),
        cost: 2.0,
        at: control::node::now(),
        whole: true,
    }
}

fn requests(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("{prefix}-{index}")).collect()
}

async fn send(link: &Link, bills: Vec<Bill>) -> Option<BillAnswer> {
    let sent =
        link.call(WITHIN, |client, context| async move { client.bill(context, bills).await });
    sent.await.ok()
}

impl Deployment {
    /// The log that an entry with this host's view names.
    async fn log(&self, number: usize) -> Name {
        self.view(number, wire::view::ViewRequest::default()).await.incarnation
    }

    async fn bill(&self, number: usize, log: &Name, requests: &[String]) -> Option<BillAnswer> {
        let bills = requests.iter().map(|request| bill(request, log)).collect();
        send(&self.link(number), bills).await
    }

    /// Waits until every request stands in some log; then none may stand twice, in any log.
    async fn wait_billed_once(&self, requests: &[String]) {
        let wanted: BTreeSet<Name> = requests.iter().map(|r| Name::from(r.as_str())).collect();
        wait_for("all bills stored", || async { self.platform.bills().ids().is_superset(&wanted) })
            .await;
        let bills = self.platform.bills();
        assert_eq!(bills.ids(), wanted);
        assert!(bills.doubled.is_empty(), "billed twice: {:?}", bills.doubled);
        assert!(bills.gaps.is_empty() && bills.broken.is_empty(), "{bills:?}");
    }

    async fn audit(&self, number: usize) -> Option<Audit> {
        let answer = common::http::get(self.hosts[number].operators, "/bills").await;
        (answer.status == 200).then(|| serde_json::from_str(&answer.text()).expect("an audit"))
    }

    /// Bills that a control holds.
    async fn held(&self, number: usize) -> u64 {
        let answer = common::http::get(self.hosts[number].operators, "/status").await;
        answer.json()["bills_held"].as_u64().unwrap_or(0)
    }
}

fn platform(deployment: &Deployment, faults: Faults) {
    deployment.platform.set_faults(faults);
}

async fn start() -> Deployment {
    let deployment = Deployment::start(4).await;
    deployment.wait_for_pairs(&[0, 1, 2, 3]).await;
    deployment
}

// Answers of the platform are lost after the write, and an entry host that had no answer sends its
// bills again, also to another control. Each is billed once all the same, and the audit says so.
#[tokio::test(flavor = "multi_thread")]
async fn bill_sent_again_with_lost_answers() {
    let deployment = start().await;
    platform(&deployment, Faults { lose_answers: 12, ..Faults::default() });
    let log = deployment.log(0).await;
    let all = requests("again", 60);
    for (index, some) in all.chunks(10).enumerate() {
        assert_eq!(deployment.bill(0, &log, some).await, Some(BillAnswer::Twice));
        assert_eq!(deployment.bill(index % 4, &log, some).await, Some(BillAnswer::Twice));
    }
    deployment.wait_billed_once(&all).await;
    wait_for("nothing pending", || async {
        deployment.audit(0).await.is_some_and(|audit| audit.pending == 0)
    })
    .await;
    let audit = deployment.audit(3).await.expect("the platform answers");
    assert_eq!((audit.bills, audit.doubled, audit.gaps, audit.cost), (60, 0, 0, 120.0));
}

// The platform is down when answers end; the control that took their bills dies. The other holder
// keeps them, and puts them into the dead one's log when the platform answers again.
#[tokio::test(flavor = "multi_thread")]
async fn bill_outlives_its_control_in_an_outage() {
    let mut deployment = start().await;
    for (down, prefix) in [(Outage::Cut, "cut"), (Outage::Unavailable, "unavailable")] {
        platform(&deployment, Faults { down, ..Faults::default() });
        let log = deployment.log(1).await;
        let all = requests(prefix, 20);
        assert_eq!(deployment.bill(1, &log, &all).await, Some(BillAnswer::Twice));
    }
    deployment.kill(1);
    // The holder finds that its peer is gone and gives a copy to a third; then it dies too.
    assert_eq!(deployment.held(0).await, 40);
    wait_for("a third holder", || async {
        deployment.held(2).await + deployment.held(3).await >= 40
    })
    .await;
    deployment.kill(0);
    platform(&deployment, Faults::default());
    let all = [requests("cut", 20), requests("unavailable", 20)].concat();
    deployment.wait_billed_once(&all).await;
}

// In an outage the second holder dies first; a third one must have a copy before the control that
// took the bills dies too.
#[tokio::test(flavor = "multi_thread")]
async fn bill_outlives_its_holder_in_an_outage() {
    let mut deployment = start().await;
    platform(&deployment, Faults { down: Outage::Cut, ..Faults::default() });
    let log = deployment.log(0).await;
    let all = requests("holder", 20);
    assert_eq!(deployment.bill(0, &log, &all).await, Some(BillAnswer::Twice));
    assert_eq!(deployment.held(1).await, 20);
    deployment.kill(1);
    wait_for("a third holder", || async {
        deployment.held(2).await + deployment.held(3).await >= 20
    })
    .await;
    deployment.kill(0);
    platform(&deployment, Faults::default());
    deployment.wait_billed_once(&all).await;
}

// A control is paused with bills pending; its peer takes it for gone and puts them into its log,
// while the platform loses answers.
// It resumes and goes on where it thinks its log is, finds the number taken, and reads it first.
#[tokio::test(flavor = "multi_thread")]
async fn bill_paused_control_returns() {
    let deployment = start().await;
    platform(&deployment, Faults { down: Outage::Unavailable, ..Faults::default() });
    let log = deployment.log(0).await;
    let all = requests("paused", 30);
    assert_eq!(deployment.bill(0, &log, &all).await, Some(BillAnswer::Twice));
    let paused = deployment.pause(0);
    platform(&deployment, Faults { lose_answers: 6, ..Faults::default() });
    deployment.wait_billed_once(&all).await;
    drop(paused);
    let more = requests("resumed", 10);
    wait_for("it holds bills again", || async {
        deployment.bill(0, &log, &more).await == Some(BillAnswer::Twice)
    })
    .await;
    deployment.wait_billed_once(&[all, more].concat()).await;
}

// The entry's control died before it could answer. The entry sends the bill, with the same log, to
// the next one, which holds it with another and puts it into the dead one's log, after all that
// stands there.
#[tokio::test(flavor = "multi_thread")]
async fn bill_for_the_log_of_a_dead_control() {
    let mut deployment = start().await;
    let log = deployment.log(0).await;
    let before = requests("before", 10);
    assert_eq!(deployment.bill(0, &log, &before).await, Some(BillAnswer::Twice));
    deployment.wait_billed_once(&before).await;
    deployment.kill(0);
    let after = requests("after", 10);
    let both = [before.clone(), after.clone()].concat();
    let (one, two) = tokio::join!(deployment.bill(1, &log, &both), deployment.bill(2, &log, &both));
    assert!(one.is_some() && two.is_some(), "{one:?} {two:?}");
    deployment.wait_billed_once(&both).await;
}

// A graceful shutdown leaves no bill behind: they are stored before the exit, or while the platform
// is down, with two others.
#[tokio::test(flavor = "multi_thread")]
async fn stop_hands_bills_over() {
    let mut deployment = start().await;
    let log = deployment.log(0).await;
    let stored = requests("stored", 10);
    assert_eq!(deployment.bill(0, &log, &stored).await, Some(BillAnswer::Twice));
    deployment.stop(0);
    deployment.stopped(0).await;
    assert_eq!(deployment.platform.bills().ids().len(), stored.len());
    let log = deployment.log(1).await;
    platform(&deployment, Faults { down: Outage::Cut, ..Faults::default() });
    let handed = requests("handed", 10);
    assert_eq!(deployment.bill(1, &log, &handed).await, Some(BillAnswer::Twice));
    deployment.stop(1);
    deployment.stopped(1).await;
    deployment.kill(2);
    platform(&deployment, Faults::default());
    deployment.wait_billed_once(&[stored, handed].concat()).await;
}

// In an outage that outlasts the memory bound new work is refused; no bill that was taken is lost.
#[test]
fn interval_keeps_all_controls_within_the_platforms_writes() {
    for controls in [1, 7, 49, 51, 400, 2_000] {
        let seconds = control::bills::flush::interval(controls).as_secs_f64();
        assert!(seconds >= 0.25 && controls as f64 / seconds <= 200.0, "{controls}: {seconds}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bill_at_the_memory_bound() {
    let deployment = Deployment::start_with(2, |settings| settings.bills_max = 100).await;
    deployment.wait_for_pairs(&[0, 1]).await;
    let log = deployment.log(0).await;
    platform(&deployment, Faults { down: Outage::Unavailable, ..Faults::default() });
    let all = requests("bound", 95);
    assert_eq!(deployment.bill(0, &log, &all).await, Some(BillAnswer::Twice));
    wait_for("the view says so", || async {
        deployment.view(0, wire::view::ViewRequest::default()).await.bills_full
    })
    .await;
    let over = requests("over", 10);
    assert_eq!(deployment.bill(0, &log, &over).await, Some(BillAnswer::Full));
    platform(&deployment, Faults::default());
    deployment.wait_billed_once(&all).await;
    wait_for("new work is taken", || async {
        !deployment.view(0, wire::view::ViewRequest::default()).await.bills_full
    })
    .await;
    assert_eq!(deployment.bill(0, &log, &over).await, Some(BillAnswer::Twice));
    deployment.wait_billed_once(&[all, over].concat()).await;
}
