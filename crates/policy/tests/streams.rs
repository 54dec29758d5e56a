//! Backups of running streams, replayed: one failure domain of three is lost while 78 hosts have
//! streams on 90 engines, a third of which are faster than the others.

use policy::engine::Engine;
use policy::engine::fetch::Link;
use policy::place::mix;
use policy::streams::backup::{Fleet, Run, Target, UsualPrompt, Withheld, choose};

const ENGINES: usize = 90;
const DOMAINS: usize = 3;
const HOSTS: usize = 78;
const SLOTS: u32 = 16;
const PAUSE_MS: f64 = 1_000.0;
/// Tokens read per millisecond by an engine of usual speed with the largest model.
const TOKENS_PER_MS: f64 = 56.6 / 3.0;
/// Tokens of a prompt that belong to the request alone, and shared ones, which all engines hold.
const LONG: (f64, f64) = (6_610.0, 5_382.0);
const MEDIUM: (f64, f64) = (1_800.0, 568.0);

fn uniform(seed: usize) -> f64 {
    (mix(seed as u64) >> 11) as f64 / (1_u64 << 53) as f64
}

fn wait_ms(index: usize) -> f64 {
    400.0 * uniform(index + 1_000_000)
}

fn slowdown(index: usize) -> f64 {
    if (index / DOMAINS).is_multiple_of(3) { 1.0 / 2.4 - 1.0 } else { 0.0 }
}

/// An engine with `running` requests, of which a host has sent one in 78.
fn target(index: usize, running: u32, cached: f64, backup_tokens: f64) -> Target {
    let own = u32::from(uniform(index) < f64::from(running) / HOSTS as f64);
    let (wait_ms, slowdown, report_age_ms) = (wait_ms(index), slowdown(index), Some(0));
    let loaded =
        Engine { own, own_then: own, reported: running, report_age_ms, ..Engine::default() };
    let engine = Engine { slots: SLOTS, wait_ms, cached, slowdown, ..loaded };
    Target { domain: (index % DOMAINS) as u64, engine, backup_tokens }
}

/// Starts `running` streams at each engine, half of them with long prompts, and loses a domain.
/// Returns how many of its streams pause for too long, and the most tokens of backups at an engine.
fn replay(running: u32, capacity: f64, has_backups: bool) -> (usize, f64) {
    let kind = |stream: usize| if uniform(stream) < 0.5 { LONG } else { MEDIUM };
    let mut usual = UsualPrompt::default();
    (0..ENGINES).for_each(|stream| usual.record(kind(stream).0, kind(stream).1));
    let link = Link::new(18_432.0, 88_000.0);
    let fleet = Fleet { capacity, domains: DOMAINS, link, usual };
    let mut backups = vec![[0.0; ENGINES]; HOSTS];
    // Without a backup a stream goes to the engine that will have read its prompt first.
    let (mut free_at, mut late): (Vec<f64>, usize) = ((0..ENGINES).map(wait_ms).collect(), 0);
    for stream in 0..ENGINES * running as usize {
        let (at, host, (own, shared)) = (stream % ENGINES, stream % HOSTS, kind(stream));
        let others: Vec<usize> = (0..ENGINES).filter(|index| *index != at).collect();
        let known = |index: &usize| target(*index, running, shared, backups[host][*index]);
        let targets: Vec<Target> = others.iter().map(known).collect();
        let (domain, load, prompt) = ((at % DOMAINS) as u64, f64::from(running), own + shared);
        let (tokens_per_ms, pause_ms, left_ms) = (TOKENS_PER_MS, PAUSE_MS, 20_000.0);
        let run = Run { domain, load, prompt, tokens_per_ms, pause_ms, left_ms };
        let chosen = choose(&run, &targets, &fleet, uniform(stream + 2_000_000));
        if let (Ok(chosen), true) = (chosen, has_backups) {
            assert_ne!(targets[chosen.target].domain, domain, "lost together with its run");
            backups[host][others[chosen.target]] += prompt;
        } else if domain == 0 {
            let end_ms = |at: &usize| free_at[*at] + own / TOKENS_PER_MS * (1.0 + slowdown(*at));
            let survivors = (0..ENGINES).filter(|index| index % DOMAINS != 0);
            let best = survivors.min_by(|a, b| end_ms(a).total_cmp(&end_ms(b))).unwrap();
            free_at[best] = end_ms(&best);
            late += usize::from(free_at[best] > PAUSE_MS);
        }
    }
    let kept = |index: usize| backups.iter().map(|host| host[index]).sum();
    (late, (0..ENGINES).map(kept).fold(0.0, f64::max))
}

/// Guards against streams that pause for too long when all of them are resumed at once.
#[test]
fn lost_domain_pauses_fewer_streams_with_backups() {
    let ((without, _), (with, _)) = (replay(14, 300_000.0, false), replay(14, 300_000.0, true));
    println!("late of {}: {without} without backups, {with} with", ENGINES / DOMAINS * 14);
    assert!(without * 10 > ENGINES / DOMAINS * 14 && with * 4 < without);
}

/// Guards against backups that take the memory of running requests, and against hosts that fill an
/// engine's memory together because none of them sees the others' backups.
#[test]
fn backups_take_no_more_than_their_share_of_memory() {
    for capacity in [120_000.0, 200_000.0, 300_000.0] {
        let (_, most) = replay(14, capacity, true);
        println!("at most {most} tokens of {capacity}");
        assert!(most > 0.0 && most <= capacity / DOMAINS as f64 * 1.25, "{most} of {capacity}");
    }
    for (running, capacity) in [(SLOTS + 1, 300_000.0), (14, 40_000.0), (14, 0.0)] {
        let (_, most) = replay(running, capacity, true);
        assert_eq!(most, 0.0, "{running} running, {capacity} tokens");
    }
}

/// Guards against copies of prompts that are read again within the pause that callers allow.
#[test]
fn no_backup_for_a_run_that_resumes_in_time() {
    let targets = [target(4, 8, 0.0, 0.0), target(5, 8, 0.0, 0.0)];
    let usual = UsualPrompt::default();
    let mut fleet = Fleet { capacity: 300_000.0, domains: DOMAINS, link: None, usual };
    fleet.usual.record(MEDIUM.0, MEDIUM.1);
    let decide = |fleet: &Fleet, prompt, pause_ms, left_ms| {
        let run = Run { domain: 0, load: 8.0, prompt, tokens_per_ms: 56.6, pause_ms, left_ms };
        choose(&run, &targets, fleet, 0.5).map(|_| ())
    };
    let run = |prompt, pause_ms, left_ms| decide(&fleet, prompt, pause_ms, left_ms);
    assert_eq!(run(826.0, 1_000.0, 9_000.0), Err(Withheld::InTime));
    assert_eq!(run(54_600.0, 1_000.0, 9_000.0), Ok(()));
    assert_eq!(run(12_000.0, 9_000.0, 100.0), Ok(()));
    assert_eq!(run(12_000.0, 9_000.0, 9_000.0), Err(Withheld::InTime));
    let slow = Fleet { link: Link::new(18_432.0, 1_000.0), ..fleet };
    assert_eq!(decide(&slow, 54_600.0, 1_000.0, 9_000.0), Err(Withheld::Bytes));
}

/// Requests that engines of the replay of a thousand streams work on at once.
const MANY_SLOTS: u32 = 32;
/// Streams that are lost at once, and engines in all domains.
const LOST: usize = 1_000;
const MANY_ENGINES: usize = 150;
/// Time of a step, in which each running stream gets a token, and steps from one event to the next.
const STEP_MS: f64 = 20.0;
const EVENT_STEPS: f64 = 8.0;
/// Tokens of prompts that an engine reads in one step.
const CHUNK_TOKENS: f64 = 512.0;
/// Tokens that a copy lacks: what came while its last part was sent.
const LACKING_TOKENS: f64 = 200.0;
/// Duration of a stream.
const STREAM_MS: f64 = 8_000.0;

/// Pauses of streams that all continue at one engine in the same moment, in milliseconds: of those
/// that a slot is free for, and of those that wait for one. The engine admits them before all others,
/// and reads what their copies lack in chunks between the steps of its running streams.
fn pauses(index: usize, running: u32, continued: usize) -> (Vec<f64>, Vec<f64>) {
    let token_ms = (1.0 + slowdown(index)) / TOKENS_PER_MS;
    let end = |stream: u32| STREAM_MS * uniform(index * 1_000 + stream as usize + 3_000_000);
    let ends: Vec<f64> = (0..running).map(end).collect();
    let free = MANY_SLOTS.saturating_sub(running) as usize;
    let (mut admitted, mut reading, mut pauses, mut now) = (0, Vec::new(), Vec::new(), 0.0);
    while pauses.len() < continued {
        let ended = ends.iter().filter(|end| **end <= now).count();
        let may_run = continued.min(free + ended);
        reading.extend((admitted..may_run).map(|_| LACKING_TOKENS));
        admitted = may_run;
        let mut chunk = CHUNK_TOKENS;
        for left in &mut reading {
            let read = chunk.min(*left);
            (*left, chunk) = (*left - read, chunk - read);
        }
        now += STEP_MS + (CHUNK_TOKENS - chunk) * token_ms;
        let read = reading.iter().take_while(|left| **left == 0.0).count();
        reading.drain(..read);
        // The last event came at most one event's time before the loss.
        pauses.extend((0..read).map(|_| now + 2.0 * EVENT_STEPS * STEP_MS));
    }
    let waited = pauses.split_off(free.min(continued));
    (pauses, waited)
}

/// Loses a domain with a thousand streams, all of which have backups. `running` requests are at each
/// engine, up to `spread` more or less. Returns the streams' pauses as [`pauses`].
fn continue_at_once(running: u32, spread: u32) -> (Vec<f64>, Vec<f64>) {
    let load = |index: usize, seed: usize| {
        running - spread + (f64::from(2 * spread + 1) * uniform(index + seed)) as u32
    };
    // Loads change between the beginning of a stream and its loss.
    let reported = |index: usize| u32::midpoint(load(index, 4_000_000), load(index, 5_000_000));
    let at_loss = |index: usize| u32::midpoint(load(index, 4_000_000), load(index, 6_000_000));
    let mut usual = UsualPrompt::default();
    usual.record(LONG.0, LONG.1);
    // Enough memory for all backups: the replay is about slots.
    let link = Link::new(18_432.0, 88_000.0);
    let fleet = Fleet { capacity: 2_000_000.0, domains: DOMAINS, link, usual };
    let mut backups = vec![[0.0; MANY_ENGINES]; HOSTS];
    let mut continued = [0; MANY_ENGINES];
    for stream in 0..LOST * DOMAINS {
        let (at, host) = (stream % MANY_ENGINES, stream % HOSTS);
        let others: Vec<usize> = (0..MANY_ENGINES).filter(|index| *index != at).collect();
        let known = |index: &usize| {
            let known = target(*index, reported(*index), LONG.1, backups[host][*index]);
            Target { engine: Engine { slots: MANY_SLOTS, ..known.engine }, ..known }
        };
        let targets: Vec<Target> = others.iter().map(known).collect();
        let (domain, load) = ((at % DOMAINS) as u64, f64::from(reported(at)));
        let (prompt, tokens_per_ms) = (LONG.0 + LONG.1, TOKENS_PER_MS);
        let (pause_ms, left_ms) = (PAUSE_MS, 20_000.0);
        let run = Run { domain, load, prompt, tokens_per_ms, pause_ms, left_ms };
        let chosen = choose(&run, &targets, &fleet, uniform(stream + 7_000_000)).unwrap();
        backups[host][others[chosen.target]] += prompt;
        continued[others[chosen.target]] += usize::from(domain == 0);
    }
    let survivors = (0..MANY_ENGINES).filter(|index| index % DOMAINS != 0);
    survivors
        .map(|index| pauses(index, at_loss(index), continued[index]))
        .fold((Vec::new(), Vec::new()), |(at_once, waited), more| {
            ([at_once, more.0].concat(), [waited, more.1].concat())
        })
}

/// Guards against pauses beyond what the route allows where a thousand streams continue at once:
/// because engines read for too many of them, or because those with few free slots get as many as the
/// others.
#[test]
fn thousand_streams_continue_at_once() {
    for (running, spread, late_max) in [(14, 8, 0), (18, 10, 15), (20, 10, 40)] {
        let (at_once, waited) = continue_at_once(running, spread);
        assert_eq!(at_once.len() + waited.len(), LOST);
        let longest = |pauses: &[f64]| pauses.iter().copied().fold(0.0, f64::max);
        let late = waited.iter().filter(|pause| **pause > PAUSE_MS).count();
        let (most, longest) = (longest(&at_once), longest(&waited));
        println!(
            "{running} running, {spread} more or less: at most {most:.0} ms with a free slot; \
             {} wait for one, {late} too long, {longest:.0} ms at most",
            waited.len()
        );
        assert!(most <= PAUSE_MS, "{most} ms");
        assert!(late <= late_max, "{late} late");
    }
}
