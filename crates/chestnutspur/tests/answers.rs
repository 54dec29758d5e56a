//! Whole answers to the right request, true "not run"s, and runs at most once.

mod support;

use std::time::Duration;

use standin::answer::Answer;
use standin::backend::Faults;
use standin::proxy::{Direction, Mode};
use standin::run::Outcome;
use support::call::{Call, Reply};
use support::{Deployment, Plan, burst, until};

fn one_host() -> Plan {
    Plan { hosts: vec!["north"], engines: vec!["north", "north"], ..Plan::default() }
}

/// Whether a reply is the whole answer to that prompt.
fn answers(reply: &Reply, prompt: &str) -> bool {
    let answer = Answer::parse(&reply.answer());
    reply.status == 200
        && reply.whole
        && answer.is_some_and(|answer| *answer.digest == *standin::draw::digest(prompt))
}

/// What must hold of every call that may not run twice, whatever broke on its way.
fn check_once(deployment: &Deployment, prompt: &str, reply: Option<&Reply>) {
    let runs = deployment.runs_of(prompt);
    assert!(runs.len() <= 1, "doubled: {runs:?}");
    let Some(reply) = reply else { return };
    let refused_unrun = reply.status != 200 && reply.ran() == "no";
    assert!(!refused_unrun || runs.is_empty(), "not run, it said: {runs:?}");
    assert!(reply.status != 200 || !reply.whole || answers(reply, prompt), "{}", reply.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_crossed_never_reach_a_caller() {
    // An engine answers some requests with the answer to the request before them. A caller sees
    // its own answer, from another try, or a refusal; a letter is not tried again, so its caller
    // is told that it may have run.
    let deployment = Deployment::start("crossed", one_host()).await;
    let to = [deployment.callers(0)];
    for (engine, _) in &deployment.engines {
        engine.set_faults(Faults { crossed: 0.3, ..Faults::default() });
    }
    let prompts: Vec<_> = (0..80).map(|index| format!("prompt {index}")).collect();
    let task = |index: usize| if index.is_multiple_of(2) { "tag" } else { "letter" };
    let calls = prompts.iter().enumerate().map(|(index, prompt)| match index % 4 {
        0 | 1 => Call::chat(task(index), prompt),
        _ => Call::stream(task(index), prompt),
    });
    let replies = burst(&to, calls.collect()).await;
    for (index, (prompt, reply)) in prompts.iter().zip(&replies).enumerate() {
        let reply = reply.as_ref().expect("a header");
        let wrong = reply.status == 200 && reply.whole && !answers(reply, prompt);
        assert!(!wrong, "{}", reply.text());
        if task(index) == "letter" {
            check_once(&deployment, prompt, Some(reply));
        }
    }
    let refused = replies.iter().flatten().filter(|reply| reply.status != 200);
    assert!(refused.clone().all(|reply| reply.ran() == "unknown"));
    assert!(refused.count() > 0, "the fault was never met");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_cut_short_are_visibly_broken_and_letters_run_once() {
    // The way to the engines is cut after a number of bytes, on every connection, in either
    // direction. The caller of a letter sees a refusal or a broken answer, never a clean early
    // end, and the engines record at most one run of each.
    let deployment = Deployment::start("cut-short", one_host()).await;
    let to = [deployment.callers(0)];
    let cuts = [(Direction::Request, 40), (Direction::Answer, 10), (Direction::Answer, 400)];
    for (cut, (direction, bytes)) in cuts.into_iter().enumerate() {
        // Both engines must be in use when the cut comes, or nothing would be sent to them.
        deployment.engines.iter().for_each(|(_, proxy)| proxy.set_cut_after(None));
        for engine in [0, 1] {
            until("work at each engine", async || {
                let before = deployment.engines[engine].0.runs().len();
                burst(&to, (0..8).map(|index| Call::chat("tag", &format!("{index}"))).collect())
                    .await;
                deployment.engines[engine].0.runs().len() > before
            })
            .await;
        }
        for (_, proxy) in &deployment.engines {
            proxy.set_cut_after(Some((direction, bytes)));
        }
        let prompts: Vec<_> = (0..6).map(|index| format!("cut {cut} {index}")).collect();
        let calls = prompts.iter().enumerate().map(|(index, prompt)| match index % 2 {
            0 => Call::chat("letter", prompt),
            _ => Call::stream("letter", prompt),
        });
        let replies = burst(&to, calls.collect()).await;
        for (prompt, reply) in prompts.iter().zip(&replies) {
            check_once(&deployment, prompt, reply.as_ref());
        }
        let ran = prompts.iter().filter(|prompt| !deployment.runs_of(prompt).is_empty()).count();
        assert!(direction == Direction::Request || ran > 0, "no letter met the cut");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_come_although_open_connections_went_silent() {
    // Something between us and the engines loses track of all open connections; new ones work.
    // Tags are tried again on a new connection and answered. Letters go out on new connections
    // only, so none of them meets a silent one: all are answered, each with one run.
    let deployment = Deployment::start("silent", one_host()).await;
    let to = [deployment.callers(0)];
    let warm = (0..20).map(|index| Call::chat("tag", &format!("warm {index}")));
    burst(&to, warm.collect()).await;

    for (_, proxy) in &deployment.engines {
        proxy.silence_existing();
    }
    let prompts: Vec<_> = (0..20).map(|index| format!("silent {index}")).collect();
    let task = |index: usize| if index.is_multiple_of(2) { "tag" } else { "letter" };
    let calls = prompts.iter().enumerate().map(|(index, prompt)| Call::chat(task(index), prompt));
    let replies = burst(&to, calls.collect()).await;
    for (index, (prompt, reply)) in prompts.iter().zip(&replies).enumerate() {
        let reply = reply.as_ref().expect("a header");
        assert!(answers(reply, prompt), "{index}: {}", reply.text());
        if task(index) == "letter" {
            assert_eq!(deployment.runs_of(prompt).len(), 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_stall_end_at_once_with_the_truth() {
    // An engine begins an answer and then says nothing more. The caller of a letter is told that
    // it may have run as soon as the limit between bytes has passed, not at the deadline; the
    // engine sees its connection closed, so the work is cancelled.
    let deployment = Deployment::start("stall", one_host()).await;
    for (engine, _) in &deployment.engines {
        engine.set_faults(Faults { silent_after: Some(0), ..Faults::default() });
    }
    let start = std::time::Instant::now();
    let reply =
        Call::chat("letter", "stalled").send(deployment.callers(0)).await.expect("a header");
    assert_eq!(reply.ran(), "unknown", "{}", reply.text());
    // The letter's deadline is 10 s and its first-byte limit 1 s.
    assert!(start.elapsed() < Duration::from_secs(8), "held back");
    until("the cancelled run", async || {
        let runs = deployment.runs_of("stalled");
        runs.len() == 1 && runs[0].outcome != Outcome::Running
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_engines_out_of_reach_say_not_run() {
    // No engine takes connections. Nothing was sent, so the refusal says so, comes at once and
    // says when to return; when the engines are back the same call is answered.
    let deployment = Deployment::start("out-of-reach", one_host()).await;
    for (_, proxy) in &deployment.engines {
        proxy.set_mode(Mode::Cut);
    }
    let reply = Call::chat("letter", "nobody").send(deployment.callers(0)).await.expect("a header");
    // A proxy that resets after it accepted can't be told from a server that took the request.
    assert!(reply.status >= 500, "{}", reply.text());
    check_once(&deployment, "nobody", Some(&reply));
    for (_, proxy) in &deployment.engines {
        proxy.set_mode(Mode::Pass);
    }
    until("an answer", async || {
        let reply = Call::chat("letter", "somebody").send(deployment.callers(0)).await;
        reply.is_some_and(|reply| answers(&reply, "somebody"))
    })
    .await;
}
