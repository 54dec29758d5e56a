//! Claims and pins at their homes, while owners and deputies are paused, killed and stopped.

mod common;

use common::claims::{claim_over, host_number, pin_over};
use common::{Deployment, wait_for};
use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use wire::claim::{ClaimAnswer, PinAnswer};
use wire::host::HostState;

const ALL: [usize; 4] = [0, 1, 2, 3];

async fn start() -> Deployment {
    let deployment = Deployment::start(4).await;
    deployment.wait_for_pairs(&ALL).await;
    deployment
}

fn taken_by(request: &str) -> Option<ClaimAnswer> {
    Some(ClaimAnswer::Taken { request: request.into() })
}

fn platform_down(deployment: &Deployment, down: Outage) {
    deployment.platform.set_faults(Faults { down, ..Faults::default() });
}

/// Grants old keys to `one`, as before a failure.
async fn grant(deployment: &Deployment, keys: &[String]) {
    for key in keys {
        assert_eq!(deployment.claim(2, key, "one").await, Some(ClaimAnswer::Granted));
    }
}

/// After a failure: old keys are still `one`'s, whoever asks.
async fn still_taken(deployment: &Deployment, number: usize, keys: &[String]) {
    for key in keys {
        wait_for(&format!("{key} answered"), || async {
            let answer = deployment.claim(number, key, "two").await;
            assert_ne!(answer, Some(ClaimAnswer::Granted), "{key} was granted twice");
            answer == taken_by("one")
        })
        .await;
    }
}

// A caller sends one letter draft twice at once, over two entry hosts. Each asks another control;
// both claims meet at the key's home, and one of them is granted.
#[tokio::test(flavor = "multi_thread")]
async fn claim_race_has_one_winner() {
    let deployment = start().await;
    for index in 0..40 {
        let key = format!("race-{index}");
        let (one, two) =
            tokio::join!(deployment.claim(0, &key, "one"), deployment.claim(3, &key, "two"));
        let granted = [&one, &two].iter().filter(|a| ***a == Some(ClaimAnswer::Granted)).count();
        assert_eq!(granted, 1, "{one:?} {two:?}");
        // The winner may ask again: its answer was lost, not its claim.
        let winner = if one == Some(ClaimAnswer::Granted) { "one" } else { "two" };
        assert_eq!(deployment.claim(1, &key, winner).await, Some(ClaimAnswer::Granted));
    }
}

// A request is refused as not run after its claim. The caller's retry of the key must run.
#[tokio::test(flavor = "multi_thread")]
async fn abandon_lets_a_retry_run() {
    let deployment = start().await;
    assert_eq!(deployment.claim(0, "draft", "one").await, Some(ClaimAnswer::Granted));
    assert!(deployment.abandon(3, "draft", "one").await);
    assert_eq!(deployment.claim(2, "draft", "two").await, Some(ClaimAnswer::Granted));
    assert!(deployment.abandon(1, "draft", "one").await, "it holds nothing that could be kept");
    assert_eq!(deployment.claim(1, "draft", "three").await, taken_by("two"));
}

// A caller keeps its own session id and comes in over another host, with another draw.
#[tokio::test(flavor = "multi_thread")]
async fn pin_keeps_its_version_over_a_takeover() {
    let mut deployment = start().await;
    let pinned = Some(PinAnswer::Pinned { version: "small-1".into() });
    for index in 0..8 {
        let session = format!("session-{index}");
        assert_eq!(deployment.pin(0, &session, "small-1").await, pinned);
        assert_eq!(deployment.pin(3, &session, "small-2").await, pinned);
    }
    deployment.kill(1);
    for index in 0..8 {
        let session = format!("session-{index}");
        wait_for("the pin", || async {
            let answer = deployment.pin(0, &session, "small-2").await;
            assert_ne!(answer, Some(PinAnswer::Pinned { version: "small-2".into() }));
            answer == pinned
        })
        .await;
    }
}

// A caller retries while its first try's owner is paused; another keeps its session meanwhile. The deputy fences itself, swaps the row
// and grants the retry. The owner resumes with the first try in its socket; it still thinks that
// it owns the shard, but no deputy records for it, so it grants nothing.
#[tokio::test(flavor = "multi_thread")]
async fn claim_paused_owner() {
    let deployment = start().await;
    let old = deployment.keys_owned_by(0, 10);
    grant(&deployment, &old[..5]).await;
    let link = deployment.link(0);
    assert_eq!(claim_over(&link, &old[0], "one").await, Some(ClaimAnswer::Granted));
    let paused = deployment.pause(0);
    let firsts =
        futures::future::join_all(old[5..].iter().map(|key| claim_over(&link, key, "one")));
    let pins = futures::future::join_all(old.iter().map(|key| pin_over(&link, key, "small-1")));
    let retries = async {
        for key in &old[5..] {
            deployment.claim_until_granted(3, key, "two").await;
        }
        for key in &old {
            let pinned = deployment.pin(2, key, "small-2").await;
            assert_eq!(pinned, Some(PinAnswer::Pinned { version: "small-2".into() }));
        }
        still_taken(&deployment, 3, &old[..5]).await;
        drop(paused);
    };
    let (firsts, pins, ()) = tokio::join!(firsts, pins, retries);
    for (key, first) in old[5..].iter().zip(firsts) {
        assert_ne!(first, Some(ClaimAnswer::Granted), "{key} was granted twice");
        assert_eq!(deployment.claim(1, key, "three").await, taken_by("two"));
    }
    let moved = Some(PinAnswer::Pinned { version: "small-1".into() });
    assert!(!pins.contains(&moved), "a session was told two versions: {pins:?}");
}

// A host is cut from all others, and both sides still reach a platform that is slow and loses
// answers. The cut owner tries to replace its deputy, the deputy tries to take over, and callers
// on both sides claim the same keys: each key is granted on one side at most.
#[tokio::test(flavor = "multi_thread")]
async fn claim_cut_owner_with_lost_answers() {
    let deployment = start().await;
    let keys = deployment.keys_owned_by(0, 16);
    grant(&deployment, &keys[..4]).await;
    let faults = Faults { lose_answers: 12, delay_ms: 30, ..Faults::default() };
    deployment.platform.set_faults(faults);
    deployment.cut_from_peers(0, Mode::Silent);
    // Long enough for the cut owner to find that nobody takes its records.
    let insist = async |number, key: &String, request| {
        let mut answer = None;
        for _ in 0..4 {
            answer = deployment.claim(number, key, request).await;
            if !matches!(answer, Some(ClaimAnswer::Unavailable { .. })) {
                break;
            }
        }
        answer
    };
    let inside = futures::future::join_all(keys[4..].iter().map(|key| insist(0, key, "one")));
    let outside = futures::future::join_all(keys[4..].iter().map(|key| insist(3, key, "two")));
    let (inside, outside) = tokio::join!(inside, outside);
    deployment.cut_from_peers(0, Mode::Pass);
    let granted = Some(ClaimAnswer::Granted);
    for ((key, one), two) in keys[4..].iter().zip(inside).zip(outside) {
        assert!(one != granted || two != granted, "{key} was granted on both sides");
        // Whoever was told so keeps it when the sides meet again.
        for (request, answer) in [("one", one), ("two", two)] {
            if answer == granted {
                deployment.claim_until_granted(2, key, request).await;
            }
        }
    }
    still_taken(&deployment, 3, &keys[..4]).await;
}

// An owner dies with its memory; every key it granted is in its deputy's.
#[tokio::test(flavor = "multi_thread")]
async fn claim_killed_owner() {
    let mut deployment = start().await;
    let keys = deployment.keys_owned_by(0, 10);
    grant(&deployment, &keys[..5]).await;
    deployment.kill(0);
    still_taken(&deployment, 3, &keys[..5]).await;
    for key in &keys[5..] {
        deployment.claim_until_granted(2, key, "one").await;
    }
    // The host comes back empty, and gets its share again.
    deployment.restart(0).await;
    deployment.wait_for_pairs(&ALL).await;
    still_taken(&deployment, 0, &keys).await;
}

// A deputy dies, the owner takes another one, then dies too: the keys are with the new deputy.
#[tokio::test(flavor = "multi_thread")]
async fn claim_killed_deputy_then_owner() {
    let mut deployment = start().await;
    let keys = deployment.keys_owned_by(0, 10);
    grant(&deployment, &keys[..5]).await;
    deployment.kill(1);
    for key in &keys[5..] {
        deployment.claim_until_granted(3, key, "one").await;
    }
    let far = || async {
        keys.iter().all(|key| {
            let holder = deployment.holder(&deployment.home(key));
            host_number(&holder.deputy).is_some_and(|number| number > 1)
        })
    };
    wait_for("deputies in the other failure domain", far).await;
    deployment.kill(0);
    still_taken(&deployment, 2, &keys).await;
}

// The platform is down. Pairs go on; a pair that loses its deputy can't get another, and refuses
// rather than grant what only one host would remember. Everything is served again afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn claim_in_a_platform_outage() {
    let mut deployment = start().await;
    let keys = deployment.keys_owned_by(0, 10);
    for down in [Outage::Cut, Outage::Unavailable] {
        platform_down(&deployment, down);
        let half = if down == Outage::Cut { &keys[..3] } else { &keys[3..6] };
        grant(&deployment, half).await;
    }
    deployment.kill(1);
    for key in &keys[6..8] {
        let answer = deployment.claim(2, key, "one").await;
        assert!(matches!(answer, Some(ClaimAnswer::Unavailable { may_have_run: false, .. })));
    }
    platform_down(&deployment, Outage::No);
    for key in &keys[6..] {
        deployment.claim_until_granted(2, key, "one").await;
    }
    still_taken(&deployment, 3, &keys).await;
}

// A control starts while the platform is down. It learns from peers where the shards are, and leads
// claims to their homes.
#[tokio::test(flavor = "multi_thread")]
async fn claim_through_a_control_started_in_an_outage() {
    let mut deployment = start().await;
    let keys = deployment.keys_owned_by(0, 4);
    platform_down(&deployment, Outage::Cut);
    deployment.restart(3).await;
    for key in &keys {
        deployment.claim_until_granted(3, key, "one").await;
    }
    still_taken(&deployment, 2, &keys).await;
}

// The swap of a takeover takes effect, but its answer is lost, more than once.
#[tokio::test(flavor = "multi_thread")]
async fn claim_takeover_with_lost_answers() {
    let mut deployment = start().await;
    let keys = deployment.keys_owned_by(0, 6);
    grant(&deployment, &keys[..3]).await;
    deployment.platform.set_faults(Faults { lose_answers: 20, ..Faults::default() });
    deployment.kill(0);
    still_taken(&deployment, 3, &keys[..3]).await;
    for key in &keys[3..] {
        deployment.claim_until_granted(2, key, "one").await;
    }
    let met = 20 - deployment.platform.faults().lose_answers;
    assert!(met >= 3, "answers were lost only {met} times");
}

// Owner and deputy die together. Which keys they granted is lost, so no key of theirs may be
// granted by who takes over: the caller is told that it may have run, and when it can't any more.
#[tokio::test(flavor = "multi_thread")]
async fn claim_both_gone() {
    let mut deployment = start().await;
    let keys = deployment.keys_owned_by(0, 3);
    grant(&deployment, &keys).await;
    let other = deployment.keys_owned_by(2, 1);
    deployment.kill(0);
    deployment.kill(1);
    let answer = deployment.claim(2, &keys[0], "two").await;
    assert!(matches!(answer, Some(ClaimAnswer::Unavailable { may_have_run: false, ref home, .. })
        if *home == common::domain(0)));
    deployment.restart(0).await;
    deployment.restart(1).await;
    wait_for("a cold takeover", || async {
        let answer = deployment.claim(2, &keys[0], "two").await;
        assert_ne!(answer, Some(ClaimAnswer::Granted));
        matches!(answer, Some(ClaimAnswer::Unavailable { may_have_run: true, retry_after_ms, .. })
            if retry_after_ms > 3_600_000)
    })
    .await;
    // Other shards are not touched.
    assert_eq!(deployment.claim(0, &other[0], "one").await, Some(ClaimAnswer::Granted));
}

// A graceful shutdown of one host after another, all of them in the end: nothing is lost.
#[tokio::test(flavor = "multi_thread")]
async fn stop_hands_over() {
    let mut deployment = start().await;
    let keys = deployment.keys_owned_by(0, 6);
    grant(&deployment, &keys[..3]).await;
    deployment.stop(0);
    deployment.stopped(0).await;
    for key in &keys {
        let holder = deployment.holder(&deployment.home(key));
        assert_eq!(host_number(&holder.owner), Some(1), "handed over before the exit");
    }
    for key in &keys[3..] {
        deployment.claim_until_granted(3, key, "one").await;
    }
    deployment.restart(0).await;
    deployment.wait_for_pairs(&ALL).await;
    still_taken(&deployment, 2, &keys).await;
}

// Everything is stopped at the same moment, and started again. Controls that are stopping too take
// no shards; the records are in the object store, and nothing is lost or closed.
#[tokio::test(flavor = "multi_thread")]
async fn stop_of_all_at_once() {
    let mut deployment = start().await;
    let keys: Vec<String> = (0..12).map(|index| format!("key-{index}")).collect();
    grant(&deployment, &keys[..6]).await;
    for number in ALL {
        deployment.stop(number);
    }
    for number in ALL {
        deployment.stopped(number).await;
    }
    for number in ALL {
        deployment.restart(number).await;
    }
    still_taken(&deployment, 1, &keys[..6]).await;
    for key in &keys[6..] {
        deployment.claim_until_granted(2, key, "one").await;
    }
}

// One control is all there is: its records go to the object store before it answers, and it finds
// them there after a crash.
#[tokio::test(flavor = "multi_thread")]
async fn claim_alone_outlives_a_crash() {
    let mut deployment = Deployment::start(1).await;
    deployment.claim_until_granted(0, "first", "one").await;
    for index in 0..20 {
        deployment.claim_until_granted(0, &format!("key-{index}"), "one").await;
    }
    deployment.restart(0).await;
    deployment.claim_until_granted(0, "second", "one").await;
    for index in 0..20 {
        still_taken(&deployment, 0, &[format!("key-{index}")]).await;
    }
}

// A control without a deputy is paused, and its host is listed as gone. Another takes over from
// the object store and grants the retry. The paused one resumes with the first try in its socket:
// its log has an end mark now, so the record can't be put and nothing is granted.
#[tokio::test(flavor = "multi_thread")]
async fn claim_paused_alone() {
    let mut deployment = Deployment::start(2).await;
    deployment.wait_for_pairs(&[0, 1]).await;
    deployment.kill(1);
    let keys: Vec<String> = (0..6).map(|index| format!("key-{index}")).collect();
    for key in &keys[..3] {
        deployment.claim_until_granted(0, key, "one").await;
    }
    let alone = || async {
        keys.iter().all(|key| deployment.holder(&deployment.home(key)).deputy.is_empty())
    };
    wait_for("shards without a deputy", alone).await;
    let paused = deployment.pause(0);
    deployment.restart(1).await;
    let mut hosts = deployment.platform.hosts();
    for host in &mut hosts {
        if *host.name == *"host-0" {
            host.state = HostState::Gone;
        }
    }
    deployment.platform.set_hosts(hosts);
    let firsts =
        futures::future::join_all(keys[3..].iter().map(|key| deployment.claim(0, key, "one")));
    let retries = async {
        for key in &keys[3..] {
            deployment.claim_until_granted(1, key, "two").await;
        }
        still_taken(&deployment, 1, &keys[..3]).await;
        drop(paused);
    };
    let (firsts, ()) = tokio::join!(firsts, retries);
    assert!(!firsts.contains(&Some(ClaimAnswer::Granted)), "{firsts:?}");
}
