//! Callers get complete answers to their own requests, refusals say truly whether the request ran,
//! and requests that may not be repeated run at most once.

mod support;

use std::time::Duration;

use standin::answer::Answer;
use standin::backend::Faults;
use standin::proxy::{Direction, Mode};
use standin::run::Outcome;
use support::call::{Call, Reply};
use support::{Deployment, Plan, burst, wait_until};

fn one_host() -> Plan {
    Plan { hosts: vec!["north"], engines: vec!["north", "north"], ..Plan::default() }
}

/// Returns whether a reply is the complete answer to a prompt.
fn is_answer_to(reply: &Reply, prompt: &str) -> bool {
    let answer = Answer::parse(&reply.answer());
    reply.status == 200
        && reply.is_whole
        && answer.is_some_and(|answer| *answer.digest == *standin::draw::digest(prompt))
}

/// Checks what must hold for a request that may not run twice, whatever fault it met: one run at
/// most, none if the refusal says so, and an answer that looks complete is the right one.
fn check_once(deployment: &Deployment, prompt: &str, reply: Option<&Reply>) {
    let runs = deployment.runs_of(prompt);
    assert!(runs.len() <= 1, "doubled: {runs:?}");
    let Some(reply) = reply else { return };
    let is_refused_unrun = reply.status != 200 && reply.ran() == "no";
    assert!(
        !is_refused_unrun || runs.is_empty(),
        "the refusal says that the request did not run: {runs:?}"
    );
    assert!(
        reply.status != 200 || !reply.is_whole || is_answer_to(reply, prompt),
        "{}",
        reply.text()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_crossed_never_reach_a_caller() {
    // The engines answer some requests with the answer to the request before. A caller gets its own
    // answer, from another attempt, or a refusal. Letters may not be repeated, so there is no other
    // attempt and the refusal says that the letter may have run.
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
        let is_wrong = reply.status == 200 && reply.is_whole && !is_answer_to(reply, prompt);
        assert!(!is_wrong, "{}", reply.text());
        if task(index) == "letter" {
            check_once(&deployment, prompt, Some(reply));
        }
    }
    let refused = replies.iter().flatten().filter(|reply| reply.status != 200);
    assert!(refused.clone().all(|reply| reply.ran() == "unknown"));
    assert!(refused.count() > 0, "no request met the fault");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_cut_short_are_visibly_broken_and_letters_run_once() {
    // Each connection to the engines is cut after a number of bytes, in either direction. The
    // caller of a letter gets a refusal or a visibly broken answer, never a truncated one that
    // looks complete, and the engines record at most one run of each letter.
    let deployment = Deployment::start("cut-short", one_host()).await;
    let to = [deployment.callers(0)];
    let cuts = [(Direction::Request, 40), (Direction::Answer, 10), (Direction::Answer, 400)];
    for (cut, (direction, bytes)) in cuts.into_iter().enumerate() {
        // Both engines must be in use before the cut, otherwise no letter might be sent to them.
        deployment.engines.iter().for_each(|(_, proxy)| proxy.set_cut_after(None));
        for engine in [0, 1] {
            wait_until("work at each engine", async || {
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
    // A device between the entry and the engines loses track of all open connections, which fall
    // silent; new ones work. Tags get another attempt on a new connection and are answered. Letters
    // use only new connections and so never meet a silent one: all are answered, each with one run.
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
        assert!(is_answer_to(reply, prompt), "{index}: {}", reply.text());
        if task(index) == "letter" {
            assert_eq!(deployment.runs_of(prompt).len(), 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_stall_are_refused_at_the_first_byte_timeout() {
    // An engine falls silent before the first byte of its answer. The caller of a letter is told
    // that it may have run as soon as the first-byte timeout has passed, not only at the deadline.
    // The engine's connection is closed, which cancels the work.
    let deployment = Deployment::start("stall", one_host()).await;
    for (engine, _) in &deployment.engines {
        engine.set_faults(Faults { silent_after: Some(0), ..Faults::default() });
    }
    let start = std::time::Instant::now();
    let reply =
        Call::chat("letter", "stalled").send(deployment.callers(0)).await.expect("a header");
    assert_eq!(reply.ran(), "unknown", "{}", reply.text());
    // The letter's deadline is 10 s, and the timeout of its first byte 1 s.
    assert!(start.elapsed() < Duration::from_secs(8), "the refusal came too late");
    wait_until("the cancelled run", async || {
        let runs = deployment.runs_of("stalled");
        runs.len() == 1 && runs[0].outcome != Outcome::Running
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_with_unreachable_engines_are_true() {
    // Connections to the engines are reset. The letter is refused, and a refusal that says it did
    // not run is true. Once the engines are reachable again, a letter is answered.
    let deployment = Deployment::start("out-of-reach", one_host()).await;
    for (_, proxy) in &deployment.engines {
        proxy.set_mode(Mode::Cut);
    }
    let reply = Call::chat("letter", "nobody").send(deployment.callers(0)).await.expect("a header");
    // A proxy that resets a connection after accepting it looks like a server that received the
    // request, so the refusal may say that it is unknown whether the request ran.
    assert!(reply.status >= 500, "{}", reply.text());
    check_once(&deployment, "nobody", Some(&reply));
    for (_, proxy) in &deployment.engines {
        proxy.set_mode(Mode::Pass);
    }
    wait_until("an answer", async || {
        let reply = Call::chat("letter", "somebody").send(deployment.callers(0)).await;
        reply.is_some_and(|reply| is_answer_to(&reply, "somebody"))
    })
    .await;
}
