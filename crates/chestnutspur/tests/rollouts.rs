//! Verdicts on versions by real `node` processes, between stand-ins that behave as backend servers
//! do on a real network: pieces of streams arrive in bursts, and answers miss their deadlines.

mod support;

use std::time::Duration;

use standin::routed::{Script, ScriptedReply, ScriptedServer};
use standin::server::Running;
use support::nodes::Fleet;

/// Lets servers give these replies in turn, from the next request on.
fn reply_in_turn(servers: &[Running<ScriptedServer>], replies: &[ScriptedReply]) {
    for server in servers {
        for _ in 0..500 {
            replies.iter().for_each(|reply| server.queue_reply(reply.clone()));
        }
    }
}

fn stream(events: u64, pause_ms: u64, burst: u64) -> ScriptedReply {
    let pause = Duration::from_millis(pause_ms);
    ScriptedReply::Stream(Script { events, pause, burst, ..Script::default() })
}

/// Guards against good versions that are rolled back because their streams arrive in bursts.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_in_bursts_is_done() {
    let usual = stream(20, 25, 2);
    let fleet = Fleet::start("good", "streaming", &usual, &usual).await;
    let _load = fleet.start_load(5_000);
    assert_eq!(fleet.roll_out().await, "succeeded");
}

/// Guards against a slow version that is declared done because two events that arrive together
/// make its streams look quick.
#[tokio::test(flavor = "multi_thread")]
async fn slow_version_in_bursts_is_rolled_back() {
    let fleet = Fleet::start("bursts", "streaming", &stream(20, 25, 2), &stream(20, 200, 2)).await;
    let _load = fleet.start_load(8_000);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}

/// Guards against a slow version that is declared done because its slow streams end at their
/// deadlines, and only the quick ones are counted.
#[tokio::test(flavor = "multi_thread")]
async fn slow_version_past_its_deadlines_is_rolled_back() {
    let usual = stream(20, 25, 1);
    let fleet = Fleet::start("deadlines", "streaming", &usual, &usual).await;
    reply_in_turn(&fleet.new, &[stream(20, 400, 1), usual]);
    let _load = fleet.start_load(1_500);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}

/// Guards against a version that is declared done although it never answers some requests.
#[tokio::test(flavor = "multi_thread")]
async fn version_silent_past_its_deadlines_is_rolled_back() {
    let usual = ScriptedReply::AnswerAfter(Duration::from_millis(30));
    let fleet = Fleet::start("silent", "non_idempotent", &usual, &usual).await;
    reply_in_turn(&fleet.new, &[ScriptedReply::Silence, usual]);
    let _load = fleet.start_load(1_000);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}

/// Guards against a failing version that is declared done because the version before failed as
/// often until the trial began.
#[tokio::test(flavor = "multi_thread")]
async fn failing_version_after_trouble_of_the_old_one_is_rolled_back() {
    let (usual, failure) = (ScriptedReply::Answer(200), ScriptedReply::Answer(500));
    let fleet = Fleet::start("trouble", "non_idempotent", &usual, &usual).await;
    reply_in_turn(&fleet.new, &[failure.clone(), usual.clone()]);
    // Enough failures for nearly all requests until the trial begins.
    for server in &fleet.old {
        (0..550).for_each(|_| server.queue_reply(failure.clone()));
    }
    let _load = fleet.start_load(1_000);
    assert_eq!(fleet.roll_out().await, "rolled_back");
}
