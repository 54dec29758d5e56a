//! Moves of running streams, replayed in simulated time: engines that run 32 streams each leave one
//! after the other.

use std::collections::BTreeMap;

use policy::engine::fetch::Link;
use policy::place::mix;
use policy::streams::relocate::{Decision, Moves, Stream, Target};
use policy::time::Millis;

const SLOTS: u32 = 32;
const ENGINES: usize = 90;
const LEAVING: usize = 6;
const DOMAINS: usize = 3;
const PAUSE_MAX_MS: f64 = 1_000.0;
/// Time from the last copy to the first event at the target, which runs other streams.
const RESUME_MS: f64 = 60.0;
/// Age of the load reports that hosts decide by.
const REPORT_AGE_MS: u64 = 200;
const TICK_MS: u64 = 5;

/// A stream and what becomes of it.
struct Run {
    host: usize,
    stream: Stream,
    /// When the first copy is complete, and its target.
    copied: Option<(u64, usize)>,
    pause_ms: Option<f64>,
}

fn stream(id: u64) -> Stream {
    let tokens = [826.0, 2_368.0, 11_992.0, 54_600.0][(mix(id) % 4) as usize];
    Stream {
        id,
        known_ms: 0,
        tokens,
        remaining_ms: Some(2_500.0 + (mix(id ^ 7) % 8_000) as f64),
        pause_max_ms: PAUSE_MAX_MS,
        slots: SLOTS,
        link: Link::new(18_432.0, 88_000.0),
        ends_in_ms: None,
    }
}

/// Lets one engine leave whose streams come through these hosts, and checks what becomes of them.
fn leave(hosts: &mut [Moves], loads: &mut [u32], source: usize) {
    let (seed, start) = (mix(source as u64), source as u64);
    let run = |number: u64| Run {
        host: (mix(seed ^ number) % hosts.len() as u64) as usize,
        stream: stream(seed ^ number),
        copied: None,
        pause_ms: None,
    };
    let mut runs: Vec<Run> = (0..u64::from(SLOTS)).map(run).collect();
    let (mut link_free, mut reported, mut at_one) = (0.0_f64, Vec::new(), BTreeMap::new());
    for now in (0..10_000).step_by(TICK_MS as usize) {
        if now % REPORT_AGE_MS == 0 {
            reported = loads.to_vec();
        }
        let target = |index: usize| Target {
            start: index as u64,
            is_near: index % DOMAINS == source % DOMAINS,
            load: f64::from(reported[index]),
            slots: SLOTS,
            slowdown: 0.0,
        };
        let targets: Vec<Target> = (LEAVING..ENGINES).map(target).collect();
        for run in runs.iter_mut().filter(|run| run.pause_ms.is_none()) {
            let moves = &mut hosts[run.host];
            let remaining_ms = run.stream.remaining_ms.map(|left| left - now as f64);
            let stream = Stream { known_ms: now, remaining_ms, ..run.stream };
            match (run.copied, stream.decide()) {
                (Some((until, index)), _) if until <= now => {
                    // The last copy waits for the first copies that were asked for before it.
                    let last_ms = Stream { tokens: 200.0, ..stream }.copy_ms();
                    link_free = link_free.max(now as f64) + last_ms;
                    run.pause_ms = Some(link_free - now as f64 + RESUME_MS);
                    moves.end_source(start);
                    moves.end_target(targets[index].start);
                    assert!(targets[index].is_near, "near engines have room");
                    *at_one.entry(index).or_insert(0) += 1;
                }
                (None, Decision::EndsSoon) => run.pause_ms = Some(0.0),
                (None, Decision::Move) if moves.begin_source(start) => {
                    let (draw, at) = (mix(stream.id ^ now), Millis(20_000 * start + now));
                    match moves.begin_target(&targets, stream.tokens, draw, at) {
                        None => moves.end_source(start),
                        Some(index) => {
                            loads[LEAVING + index] += 1;
                            link_free = link_free.max(now as f64) + stream.copy_ms();
                            run.copied = Some((link_free as u64, index));
                        }
                    }
                }
                _ => {}
            }
        }
    }
    let pauses: Vec<f64> = runs.iter().filter_map(|run| run.pause_ms).collect();
    let (count, longest) = (hosts.len(), pauses.iter().copied().fold(0.0, f64::max));
    assert_eq!(pauses.len(), SLOTS as usize, "every stream is moved or ends");
    assert!(longest < PAUSE_MAX_MS, "a pause of {longest} ms, {count} hosts");
    assert!(at_one.values().sum::<u32>() >= SLOTS * 3 / 4, "{at_one:?}");
    assert!(at_one.values().all(|streams| *streams <= 6), "{at_one:?}");
}

/// Guards against pauses beyond what the route allows, where a host moves all its streams at once or
/// no host knows of the others' moves, and against hosts that all choose the same engine by the
/// same reports.
#[test]
fn engines_leave_at_6_80_and_985_hosts() {
    for hosts in [6, 80, 985] {
        let mut moves = vec![Moves::default(); hosts];
        let load = |index| (mix(index as u64) % 26) as u32;
        let mut loads: Vec<u32> = (0..ENGINES).map(load).collect();
        (0..LEAVING).for_each(|source| leave(&mut moves, &mut loads, source));
        assert!(loads.iter().all(|load| *load <= SLOTS), "{loads:?}");
    }
}

/// Guards against moves of streams that would end before the engine does, and against copies that
/// can't be complete before it ends.
#[test]
fn stream_stays_where_a_move_brings_nothing() {
    let usual = Stream { known_ms: 60_000, ..stream(1) };
    assert_eq!(usual.decide(), Decision::Move);
    assert_eq!(Stream { remaining_ms: Some(900.0), ..usual }.decide(), Decision::EndsSoon);
    assert_eq!(Stream { remaining_ms: None, ..usual }.decide(), Decision::Move);
    let known =
        |remaining, ends| Stream { remaining_ms: Some(remaining), ends_in_ms: Some(ends), ..usual };
    assert_eq!(known(5_000.0, 6_000.0).decide(), Decision::EndsSoon);
    assert_eq!(known(900.0, 800.0).decide(), Decision::Move);
    assert_eq!(known(5_000.0, 3.0).decide(), Decision::TooLate);
    // Half of the known time is used to begin, however slow the link is.
    let slow = Stream { link: Link::new(18_432.0, 100.0), known_ms: 0, ..known(9e9, 4e7) };
    assert!(!matches!(slow.decide(), Decision::Wait(wait) if wait > 20_000_000));
}

/// Guards against an engine that is asked again and again for room that it does not have, and
/// against counts that are not given back.
#[test]
fn target_without_room_is_not_asked_again_at_once() {
    let target = |start, is_near, load| Target { start, is_near, load, slots: 32, slowdown: 0.0 };
    let targets = [target(1, true, 31.5), target(2, true, 20.0), target(3, false, 0.0)];
    let mut moves = Moves::default();
    let choose = |moves: &mut Moves, tokens, at| {
        let index = moves.begin_target(&targets, tokens, mix(at), Millis(at));
        index.inspect(|index| moves.end_target(targets[*index].start))
    };
    assert_eq!(choose(&mut moves, 5_000.0, 10), Some(1), "the near one with a slot");
    moves.record_refused(2, 5_000.0, Millis(10));
    assert_eq!(choose(&mut moves, 5_000.0, 20), Some(2));
    assert_eq!(choose(&mut moves, 800.0, 30), Some(1), "a smaller copy may have room");
    assert_eq!(choose(&mut moves, 5_000.0, 1_020), Some(1));
    assert!(moves.begin_source(9) && moves.begin_source(9) && !moves.begin_source(9));
    moves.end_source(9);
    assert!(moves.begin_source(9));
}
