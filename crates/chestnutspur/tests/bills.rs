//! Each answered request is billed exactly once, although processes are killed or paused, paths are
//! cut and the platform is down.

mod support;

use std::collections::BTreeSet;

use policy::name::Name;
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use support::call::Call;
use support::{Deployment, Plan, burst, wait_until};

/// Sends chat completions to some hosts and returns the number of complete answers.
async fn count_answered(deployment: &Deployment, hosts: &[usize], count: usize) -> usize {
    let to: Vec<_> = hosts.iter().map(|&host| deployment.callers(host)).collect();
    let calls = (0..count).map(|index| Call::chat("tag", &format!("bill {index}"))).collect();
    let replies = burst(&to, calls).await;
    replies.iter().flatten().filter(|reply| reply.status == 200 && reply.is_whole).count()
}

/// Waits until the store has a bill for each answered request, then checks that no bill is
/// duplicated or missing and that each one belongs to a run.
async fn check_bills(deployment: &Deployment, answered: usize) {
    let runs = || -> BTreeSet<Name> {
        let runs = deployment.runs().into_iter();
        runs.map(|run| run.request).collect()
    };
    wait_until("all bills stored", async || deployment.platform.bills().ids().len() >= answered)
        .await;
    let bills = deployment.platform.bills();
    assert!(bills.doubled.is_empty() && bills.gaps.is_empty(), "{bills:?}");
    assert!(bills.ids().is_subset(&runs()), "bills of requests that never ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_survive_a_control_killed_in_a_platform_outage() {
    // While the platform is down, each bill waits in the memory of two controls. One control is
    // killed for good. The platform comes back and loses the responses to some writes. Each
    // answered request is billed once; the bills of the killed control are written by the others
    // that hold them.
    let mut deployment = Deployment::start("bills-kill", Plan::default()).await;
    let mut count = count_answered(&deployment, &[0, 1, 2, 3], 40).await;
    deployment.platform.set_faults(Faults { down: Outage::Cut, ..Faults::default() });
    count += count_answered(&deployment, &[0, 1, 2, 3], 80).await;
    assert_eq!(count, 120, "requests are answered during a platform outage");
    deployment.hosts[0].control.kill();
    count += count_answered(&deployment, &[0, 1, 2, 3], 40).await;
    deployment.platform.set_faults(Faults { lose_answers: 4, ..Faults::default() });
    check_bills(&deployment, count).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_of_a_paused_control_are_written_once() {
    // A control is paused with unwritten bills, which another control writes in its place. The
    // first resumes and continues where it stopped. No bill may be duplicated.
    let deployment = Deployment::start("bills-pause", Plan::default()).await;
    deployment.set_paths(Mode::Silent, |_, target| *target == support::Target::Platform);
    let mut count = count_answered(&deployment, &[0, 1, 2, 3], 60).await;
    deployment.hosts[1].control.signal("STOP");
    deployment.set_paths(Mode::Pass, |_, target| *target == support::Target::Platform);
    count += count_answered(&deployment, &[0, 2, 3], 40).await;
    deployment.hosts[1].control.signal("CONT");
    check_bills(&deployment, count).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_of_a_caller_that_leaves_are_kept() {
    // Callers disconnect in the middle of streams. Their runs are billed once or not at all, and
    // later requests are answered and billed as usual.
    let deployment = Deployment::start("bills-leave", Plan::default()).await;
    let to = deployment.callers(0);
    for index in 0..20 {
        let call = Call::stream("tag", &format!("leaver {index}"));
        let task = tokio::spawn(call.send(to));
        wait_until("the run", async || !deployment.runs_of(&format!("leaver {index}")).is_empty())
            .await;
        task.abort();
    }
    let count = count_answered(&deployment, &[0, 1, 2, 3], 20).await;
    assert_eq!(count, 20);
    check_bills(&deployment, count).await;
}
