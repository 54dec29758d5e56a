//! Faults under load: slow, ending or full servers while many requests, long ones or ones with shared
//! prompt parts come in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use standin::proxy::Mode;
use standin::routed::{Script, ScriptedCache, ScriptedCopy, ScriptedReply};

use crate::callers::{self, Kind, Outcome};
use crate::faults::Rng;
use crate::fleet::Fleet;
use crate::history::History;
use crate::scenario::{HELD_SHARE, MEMORY_MB};
use crate::verdict;

/// Slots of each engine in [`crate::scenario::Scenario::Fetches`], and the time that a request holds one: a second
/// prompt with the same shared part goes to another engine.
const FETCH_SLOTS: usize = 3;
const FETCH_WORK: Duration = Duration::from_millis(60);
/// Prompts with the same shared part that are sent at the same time.
const PROMPTS_AT_ONCE: usize = 9;
/// Slots of each server in [`crate::scenario::Scenario::Bursts`], and the time that a request holds one:
/// longer than a busy machine takes to send a burst, which would otherwise be answered as it comes.
const BURST_SLOTS: usize = 6;
const BURST_WORK: Duration = Duration::from_millis(120);
/// Least requests of a burst, far more than a host sends at once to all servers: four times
/// their slots.
const BURST_MIN: usize = 240;

/// Length of the bodies that callers send who do not read, in bytes.
const SLOW_BODY_BYTES: usize = 60_000;
/// Bytes by which the bound may be exceeded: what pieces of streams have beyond the length that is
/// reserved for them.
const EXCESS_BYTES_MAX: u64 = 512 << 10;

/// Pause between two events in [`crate::scenario::Scenario::Copies`], so that streams last while engines end.
const COPIED_PAUSE: Duration = Duration::from_millis(80);

/// Slows one backend server, or all of them, for some tenths of a second. Nodes send hedged
/// requests.
pub async fn slowdowns(fleet: &Fleet, rng: &mut Rng) -> String {
    let backend = rng.index(fleet.backend_proxies.len());
    let is_all = rng.below(6) == 0;
    let (delay, duration) = (rng.ms(40, 200), rng.ms(100, 400));
    let proxies = fleet.backend_proxies.iter().enumerate();
    let slow = proxies.filter(|(number, _)| is_all || *number == backend);
    let slow: Vec<_> = slow.map(|(_, proxy)| proxy).collect();
    slow.iter().for_each(|proxy| proxy.set_delay(delay));
    tokio::time::sleep(duration).await;
    slow.iter().for_each(|proxy| proxy.set_delay(Duration::ZERO));
    tokio::time::sleep(rng.ms(200, 700)).await;
    format!("backend {backend} slower by {delay:?} for {duration:?}, all of them: {is_all}")
}

/// Sends prompts with shared parts at the same time to engines with few slots, while the engine that
/// reads them first ends, falls silent or tells of another cache.
pub async fn fetches(fleet: &mut Fleet, rng: &mut Rng) -> String {
    let backend = rng.index(fleet.backends.len());
    let duration = rng.ms(50, 900);
    fleet.backends.iter().for_each(|one| one.limit_slots(FETCH_SLOTS, FETCH_WORK));
    let parts = format!("b{}:9000,c{}:500", rng.below(3), rng.below(1_000));
    let targets: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
    let prompts = targets.into_iter().cycle().take(PROMPTS_AT_ONCE).map(|target| {
        let parts = parts.clone();
        tokio::spawn(async move { callers::send_prompt(target, &parts).await })
    });
    let prompts: Vec<_> = prompts.collect();
    let step = match rng.below(5) {
        0 => {
            fleet.backend_proxies[backend].set_mode(Mode::Closed);
            tokio::time::sleep(duration).await;
            fleet.backend_proxies[backend].set_mode(Mode::Pass);
            fleet.restart_backend(backend);
            "ended"
        }
        1 => {
            fleet.backend_proxies[backend].set_mode(Mode::Silent);
            tokio::time::sleep(duration).await;
            fleet.backend_proxies[backend].set_mode(Mode::Pass);
            "silent"
        }
        2 => {
            fleet.backends[backend].change_cache(|cache| {
                cache.epoch += 1;
                cache.held = vec![("b1".to_owned(), 9_000, String::new())];
            });
            "with another cache"
        }
        3 => {
            fleet.backends[backend].queue_reply(ScriptedReply::Silence);
            tokio::time::sleep(duration).await;
            "silent for one request"
        }
        _ => {
            tokio::time::sleep(duration).await;
            "as usual"
        }
    };
    for prompt in prompts {
        let _ = prompt.await;
    }
    format!("engine {backend} {step} for {duration:?}")
}

/// Sends many requests at the same time to servers with few slots, while a node or a server ends.
pub async fn bursts(fleet: &mut Fleet, rng: &mut Rng) -> String {
    let backend = rng.index(fleet.backends.len());
    let node = rng.index(fleet.nodes.len());
    let (count, duration) = (BURST_MIN + rng.index(BURST_MIN), rng.ms(50, 600));
    fleet.backends.iter().for_each(|one| one.limit_slots(BURST_SLOTS, BURST_WORK));
    let target = fleet.nodes[rng.index(fleet.nodes.len())].callers;
    let kind = Kind::ALL[rng.index(Kind::ALL.len())];
    let requests: Vec<_> =
        (0..count).map(|_| tokio::spawn(callers::send_once(target, kind))).collect();
    let step = match rng.below(4) {
        0 => {
            fleet.nodes[node].kill();
            tokio::time::sleep(duration).await;
            fleet.nodes[node].ensure_started();
            format!("node {node} killed")
        }
        1 => {
            fleet.backend_proxies[backend].set_mode(Mode::Closed);
            tokio::time::sleep(duration).await;
            fleet.backend_proxies[backend].set_mode(Mode::Pass);
            fleet.restart_backend(backend);
            format!("server {backend} restarted")
        }
        2 => {
            fleet.nodes[node].signal("STOP");
            tokio::time::sleep(duration).await;
            fleet.nodes[node].signal("CONT");
            format!("node {node} paused")
        }
        _ => {
            tokio::time::sleep(duration).await;
            "nothing failed".to_owned()
        }
    };
    for request in requests {
        let _ = request.await;
    }
    format!("{count} requests at once, {step} for {duration:?}")
}

/// Sends long requests whose callers do not read, some of them to servers that do not answer, while a
/// node ends.
pub async fn slow_readers(fleet: &mut Fleet, rng: &mut Rng, history: &mut History) -> String {
    let node = rng.index(fleet.nodes.len());
    let target = fleet.nodes[rng.index(fleet.nodes.len())].callers;
    let (count, duration) = (10 + rng.index(40), rng.ms(100, 900));
    let silent = rng.index(fleet.backends.len());
    fleet.backends[silent].set_reply(ScriptedReply::Silence);
    let callers =
        (0..count).map(|_| tokio::spawn(callers::send_unread(target, SLOW_BODY_BYTES, duration)));
    let callers: Vec<_> = callers.collect();
    let is_killed = rng.below(4) == 0;
    if is_killed {
        fleet.nodes[node].kill();
        fleet.nodes[node].ensure_started();
    }
    let bound = (MEMORY_MB << 20) as f64 * HELD_SHARE;
    let ended_at = Instant::now() + duration;
    let mut most = 0;
    while Instant::now() < ended_at {
        for one in &fleet.nodes {
            let held = callers::held_bytes(one.operators).await.unwrap_or_default();
            most = most.max(held);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if most > bound as u64 + EXCESS_BYTES_MAX {
        history.excess_memory.push(format!("{most} bytes held, {bound} allowed"));
    }
    for caller in callers {
        let _ = caller.await;
    }
    fleet.backends[silent].set_reply(ScriptedReply::Stream(callers::script()));
    format!(
        "{count} callers that do not read for {duration:?}, server {silent} silent, node {node} \
         killed: {is_killed}"
    )
}

/// Sends prompts that take long to read, while an engine that runs some of them ends, falls silent or
/// leaves.
pub async fn copies(fleet: &mut Fleet, rng: &mut Rng, history: &mut History) -> String {
    let backend = rng.index(fleet.backends.len());
    let slow = Script { pause: COPIED_PAUSE, ..callers::script() };
    fleet.backends.iter().for_each(|one| one.set_reply(ScriptedReply::Stream(slow.clone())));
    let targets: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
    let parts = format!("b{}:20000,c{}:10000", rng.below(3), rng.below(1_000));
    let prompts = targets.into_iter().cycle().take(PROMPTS_AT_ONCE).map(|target| {
        let parts = parts.clone();
        tokio::spawn(async move { callers::send_prompt(target, &parts).await })
    });
    let prompts: Vec<_> = prompts.collect();
    // Some events of each stream have come by then.
    tokio::time::sleep(rng.ms(100, 300)).await;
    let duration = rng.ms(100, 900);
    let step = match rng.below(5) {
        0 | 1 => {
            fleet.backend_proxies[backend].set_mode(Mode::Closed);
            fleet.backend_proxies[backend].reset_existing();
            tokio::time::sleep(duration).await;
            fleet.backend_proxies[backend].set_mode(Mode::Pass);
            fleet.restart_backend(backend);
            "ended"
        }
        2 => {
            fleet.backend_proxies[backend].silence_existing();
            "silent"
        }
        3 => {
            fleet.put_backend(backend, "draining");
            tokio::time::sleep(Duration::from_millis(2_600)).await;
            fleet.restart_backend(backend);
            "left"
        }
        _ => {
            let copy = ScriptedCopy::Refuse([404, 409, 503][rng.index(3)]);
            fleet.backends[backend].queue_copy(copy);
            fleet.backends[backend].set_leaving(true);
            tokio::time::sleep(duration).await;
            fleet.backends[backend].set_leaving(false);
            fleet.restart_backend(backend);
            "left, its first copy refused"
        }
    };
    for prompt in prompts {
        let outcome = prompt.await.expect("caller");
        if let Outcome::Answered { status: 200, is_whole, ids, .. } = &outcome
            && let Some(fault) = verdict::judge_body(*is_whole, ids, false)
        {
            history.wrong_streams.push(format!("{fault}: {outcome:?}"));
        }
    }
    format!("engine {backend} {step} for {duration:?}")
}

/// Changes what one engine tells of its cache, while requests with prompt parts come in.
pub async fn cache_events(fleet: &mut Fleet, rng: &mut Rng) -> String {
    let node = rng.index(fleet.nodes.len());
    let backend = rng.index(fleet.backends.len());
    let part = format!("{:x}", rng.below(4));
    let step = match rng.below(6) {
        0 => {
            fleet.nodes[node].kill();
            tokio::time::sleep(rng.ms(0, 400)).await;
            fleet.nodes[node].ensure_started();
            format!("node {node} killed")
        }
        1 => {
            let status = [None, Some(404), Some(429), Some(500)][rng.index(4)];
            fleet.backends[backend].change_cache(|cache| cache.status = status);
            format!("engine {backend} answers calls about its cache with {status:?}")
        }
        2 => {
            fleet.backends[backend].change_cache(|cache| {
                *cache = ScriptedCache { epoch: cache.epoch + 1, ..ScriptedCache::default() };
            });
            format!("engine {backend}'s cache begun anew")
        }
        3 => {
            fleet.backends[backend].change_cache(|cache| {
                cache.oldest = cache.events.len() as u64;
                cache.held = vec![(part, 100, String::new()); 1_000];
            });
            format!("engine {backend}'s events lost")
        }
        4 => {
            fleet.backend_proxies[backend].silence_existing();
            format!("engine {backend}'s connections silent")
        }
        _ => {
            let sign = ['+', '-', '?'][rng.index(3)];
            fleet.backends[backend].change_cache(|cache| {
                cache.events.push((sign, part, 100, "model".to_owned()));
            });
            format!("event {sign} of engine {backend}")
        }
    };
    callers::send_prompt(fleet.nodes[node].callers, &format!("a1:100,a{}:50,f1:9", rng.below(9)))
        .await;
    tokio::time::sleep(rng.ms(50, 400)).await;
    step
}
