//! Each request is billed exactly once, whatever is killed, cut or down.

mod support;

use std::collections::BTreeSet;

use policy::name::Name;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use support::call::Call;
use support::{Deployment, Plan, burst, until};

async fn answered(deployment: &Deployment, hosts: &[usize], count: usize) -> usize {
    let to: Vec<_> = hosts.iter().map(|&host| deployment.callers(host)).collect();
    let calls = (0..count).map(|index| Call::chat("tag", &format!("bill {index}"))).collect();
    let replies = burst(&to, calls).await;
    replies.iter().flatten().filter(|reply| reply.status == 200 && reply.whole).count()
}

/// Waits until every answered request's bill is in the store; then none may be there twice.
async fn settled(deployment: &Deployment, answered: usize) {
    let runs = || -> BTreeSet<Name> {
        let whole = deployment.runs().into_iter();
        whole.map(|run| run.request).collect()
    };
    until("all bills in the store", async || deployment.platform.bills().ids().len() >= answered)
        .await;
    let bills = deployment.platform.bills();
    assert!(bills.doubled.is_empty() && bills.gaps.is_empty(), "{bills:?}");
    assert!(bills.ids().is_subset(&runs()), "bills of requests that never ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_survive_a_control_killed_in_a_platform_outage() {
    // The platform is down, so bills wait in memory, on two controls each. One control is killed
    // and stays dead; the platform comes back and has lost the answers to some writes. Every
    // answered request is billed once, the dead one's by whoever held them for it.
    let mut deployment = Deployment::start("bills-kill", Plan::default()).await;
    let mut count = answered(&deployment, &[0, 1, 2, 3], 40).await;
    deployment.platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    count += answered(&deployment, &[0, 1, 2, 3], 80).await;
    assert_eq!(count, 120, "a platform outage keeps no request from its answer");
    deployment.hosts[0].control.kill();
    count += answered(&deployment, &[0, 1, 2, 3], 40).await;
    deployment.platform.set_faults(Faults { lose_answers: 4, ..Faults::default() });
    settled(&deployment, count).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_of_a_paused_control_are_written_once() {
    // A control is paused with bills not yet written; another writes them in its place. It comes
    // back and goes on where it stopped: nothing may stand twice.
    let deployment = Deployment::start("bills-pause", Plan::default()).await;
    deployment.set_paths(Mode::Silent, |_, part| *part == support::Part::Platform);
    let mut count = answered(&deployment, &[0, 1, 2, 3], 60).await;
    deployment.hosts[1].control.signal("STOP");
    deployment.set_paths(Mode::Pass, |_, part| *part == support::Part::Platform);
    count += answered(&deployment, &[0, 2, 3], 40).await;
    deployment.hosts[1].control.signal("CONT");
    settled(&deployment, count).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_of_a_caller_that_leaves_are_kept() {
    // Callers go away in the middle of streams. What ran is billed once or not at all, and
    // nothing else on the way is disturbed.
    let deployment = Deployment::start("bills-leave", Plan::default()).await;
    let to = deployment.callers(0);
    for index in 0..20 {
        let call = Call::stream("tag", &format!("leaver {index}"));
        let task = tokio::spawn(call.send(to));
        until("the run", async || !deployment.runs_of(&format!("leaver {index}")).is_empty()).await;
        task.abort();
    }
    let count = answered(&deployment, &[0, 1, 2, 3], 20).await;
    assert_eq!(count, 20);
    settled(&deployment, count).await;
}
