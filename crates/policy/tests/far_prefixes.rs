//! Shared prompt parts that engines of other failure domains have cached: what hosts save if they
//! guess the holder, if it is announced to them, or both.

use std::collections::{HashMap, VecDeque};

use policy::engine::externality::Streams;
use policy::engine::fetch::{FAR_GAIN_MIN, Link, Source, Target};
use policy::engine::{Costs, Demand, Engine, Fetches, place};
use policy::place::mix;
use policy::prefix::far::{Budget, FarPart, Outgoing, parts_max, parts_per_second_max};
use policy::prefix::{Index, Key};
use policy::time::Millis;

const DOMAINS: usize = 3;
const ENGINES: usize = 90;
const PARTS: u64 = 437;
/// Time per token of each model, as a factor on that of a model of usual size.
const MODELS: [f64; 3] = [0.3, 0.8, 3.0];
const TOKENS_PER_MS: f64 = 56.6;
const SHARED: f64 = 5_382.0;
/// Each part is used in each failure domain, with each model, once in this time.
const USED_EACH_MS: f64 = 38_000.0;
const REPLAY_MS: f64 = 50_000.0;
/// Time until an engine's cache event is with the hosts of its failure domain.
const EVENT_MS: f64 = 1_000.0;
const STREAM_MS: f64 = 3_000.0;
const START_MS: f64 = 10_000.0;

/// How hosts know of the caches of other failure domains.
#[derive(Clone, Copy, Default)]
struct Way {
    /// Likelihood at which hosts take a guess; 0 if they don't guess.
    guess: f64,
    /// Time until announcements arrive, and the share of them that is lost; `None` if there are none.
    announced: Option<(f64, f64)>,
    /// Least ratio of what a transfer from another failure domain saves to its time.
    far_gain: f64,
}

#[derive(Debug, Default)]
struct Tally {
    uses: f64,
    /// Uses by where the part was cached: at the engine itself, near it, in another domain.
    saved: [f64; 3],
    /// Fetches from other failure domains that found nothing.
    wasted: f64,
    /// Sum of the times to the heads of answers, in milliseconds.
    heads_ms: f64,
}

#[derive(Default)]
struct Model {
    /// When the prompts that it has are read.
    free_at: f64,
    /// Ends of its streams.
    ends: Vec<f64>,
    /// When each part is cached.
    cached: HashMap<Key, f64>,
}

fn domain(engine: usize) -> usize {
    engine % DOMAINS
}

fn id(engine: usize) -> u64 {
    mix(engine as u64 + 1)
}

fn draw(seed: &mut u64) -> f64 {
    *seed = mix(*seed);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

fn key(part: u64, model: usize) -> Key {
    Key(mix(part * MODELS.len() as u64 + model as u64))
}

/// The engine of a failure domain that its hosts prefer.
fn preferred(domain: usize, part: u64) -> usize {
    let engines = (domain..ENGINES).step_by(DOMAINS);
    engines.max_by_key(|engine| mix(id(*engine) ^ mix(part))).unwrap()
}

/// What the hosts of a failure domain know: they inform each other within milliseconds.
fn sources(index: &Index, near: usize, part: u64, key: Key, way: Way, now: Millis) -> Vec<Source> {
    let known = |start| Source {
        id: start,
        domain: (0..ENGINES).find(|engine| id(*engine) == start).map_or(0, domain) as u64,
        tokens: f64::from(index.tokens(key, start, now)),
        transfers: 0,
    };
    let mut sources: Vec<Source> = index.holders(key, now).map(known).collect();
    if sources.is_empty() && way.guess > 0.0 {
        let far = (0..DOMAINS).filter(|domain| *domain != near);
        sources.extend(far.map(|domain| Source {
            id: id(preferred(domain, part)),
            domain: domain as u64,
            tokens: SHARED * way.guess,
            transfers: 0,
        }));
    }
    sources
}

fn replay(way: Way, seed: u64) -> Tally {
    let (mut seed, mut tally) = (mix(seed), Tally::default());
    let mut engines: Vec<Model> = (0..ENGINES).map(|_| Model::default()).collect();
    let mut indices = vec![Index::new(65_536); DOMAINS];
    // Cache events and messages between failure domains: time, receiver, part, engine.
    let mut events: VecDeque<(f64, usize, Key, u64)> = VecDeque::new();
    let mut messages = events.clone();
    let streams = Streams { event_tokens: 8.0, gap_ms: 1_000.0, late_ms: 3_000.0 };
    let link = Link::new(18_432.0, 88_000.0).unwrap();
    let per_ms = PARTS as f64 * (DOMAINS * MODELS.len()) as f64 / USED_EACH_MS;
    let targets: Vec<Target> = (0..ENGINES)
        .map(|engine| Target { id: id(engine), domain: domain(engine) as u64 })
        .collect();
    let mut now = START_MS;
    while now < START_MS + REPLAY_MS {
        now -= draw(&mut seed).max(1e-9).ln() / per_ms;
        let time = Millis(now as u64);
        for queue in [&mut events, &mut messages] {
            while let Some((_, to, key, start)) = queue.pop_front_if(|event| event.0 <= now) {
                indices[to].confirm(key, start, SHARED as u32, time);
            }
        }
        let near = (draw(&mut seed) * DOMAINS as f64) as usize;
        let part = (draw(&mut seed) * PARTS as f64) as u64;
        let model = (draw(&mut seed) * MODELS.len() as f64) as usize;
        let key = key(part, model);
        let length = if draw(&mut seed) < 0.15 { 3.75 } else { 0.515 };
        let prompt = SHARED + 6_610.0 * length * -draw(&mut seed).max(0.1).ln();
        let tokens_per_ms = TOKENS_PER_MS / MODELS[model];
        let preferred = preferred(near, part);
        let states: Vec<Engine> = engines
            .iter_mut()
            .enumerate()
            .map(|(number, engine)| {
                engine.ends.retain(|end| *end > now);
                Engine {
                    reported: engine.ends.len() as u32,
                    report_age_ms: Some(100),
                    slots: 32,
                    wait_ms: (engine.free_at - now).max(0.0) * (0.7 + 0.6 * draw(&mut seed)),
                    cached: f64::from(indices[near].tokens(key, id(number), time)),
                    preferred: number == preferred,
                    near: domain(number) == near,
                    ..Engine::default()
                }
            })
            .collect();
        let sources = sources(&indices[near], near, part, key, way, time);
        let fetches = Fetches {
            link,
            targets: &targets,
            sources: &sources,
            factor: 1.0,
            far_gain: way.far_gain,
        };
        let costs = Costs {
            streams: Some(streams),
            spills: true,
            fetches: Some(fetches),
            ..Costs::default()
        };
        let demand = Demand {
            prompt,
            shared: SHARED,
            tokens_per_ms,
            service_ms: STREAM_MS,
            far_ms: 375.0,
            failure_ms: 3_000.0,
        };
        let choice = place(&states, &demand, &costs, mix(seed)).unwrap();
        let chosen = choice.index;
        let has = |engine: &Model, at: f64| engine.cached.get(&key).is_some_and(|from| *from <= at);
        let begins = engines[chosen].free_at.max(now);
        let source = choice.fetch.map(|transfer| &sources[transfer.source]);
        let holder = source.map(|source| (0..ENGINES).find(|number| id(*number) == source.id));
        let holder = holder.flatten();
        let transfer_ms = match holder {
            Some(holder) if has(&engines[holder], now) => {
                let is_far = domain(holder) != domain(chosen);
                link.ms(SHARED * if is_far { 2.0 } else { 1.0 })
            }
            _ => link.ms(0.0),
        };
        let found = match holder {
            _ if has(&engines[chosen], begins) => Some(0),
            Some(holder) if has(&engines[holder], now) => {
                Some(if domain(holder) == domain(chosen) { 1 } else { 2 })
            }
            _ => None,
        };
        tally.uses += 1.0;
        if let Some(found) = found {
            tally.saved[found] += 1.0;
        }
        let is_far = holder.is_some_and(|holder| domain(holder) != domain(chosen));
        tally.wasted += f64::from(is_far && found.is_none());
        let missing = prompt - if found.is_some() { SHARED } else { 0.0 };
        let waited = if holder.is_some() { now + transfer_ms } else { now };
        let engine = &mut engines[chosen];
        engine.free_at = begins.max(waited) + missing / tokens_per_ms;
        tally.heads_ms += engine.free_at - now;
        engine.ends.push(engine.free_at + STREAM_MS);
        let cached_at = engine.free_at;
        engine.cached.entry(key).or_insert(cached_at);
        indices[near].record_sent(key, id(chosen), SHARED as u32, true, time);
        events.push_back((now + EVENT_MS, domain(chosen), key, id(chosen)));
        for to in (0..DOMAINS).filter(|to| *to != domain(chosen)) {
            if let Some((delay_ms, lost)) = way.announced
                && draw(&mut seed) >= lost
            {
                messages.push_back((now + delay_ms, to, key, id(chosen)));
            }
        }
    }
    tally
}

/// The saved share of all uses, the share of the fetches that found nothing, and the mean time to the
/// head of an answer.
fn mean(way: Way) -> (f64, f64, f64) {
    let tallies = [replay(way, 0), replay(way, 1)];
    let uses: f64 = tallies.iter().map(|tally| tally.uses).sum();
    let sum = |of: fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>() / uses;
    let saved = sum(|tally| tally.saved.iter().sum());
    (saved, sum(|tally| tally.wasted), sum(|tally| tally.heads_ms))
}

/// Guards against shared parts that each failure domain prefills anew although another one has them
/// cached. A guess alone must not be taken for knowledge: it saves little and is mostly wrong.
#[test]
fn announced_holders_of_other_domains_save_prefills() {
    let (near, _, near_head) = mean(Way::default());
    assert!((0.42..0.50).contains(&near), "{near}: what a failure domain saves alone");
    let (guessed, wasted, _) = mean(Way { guess: 0.5, ..Way::default() });
    println!("near {near:.3}, guessed {guessed:.3} ({wasted:.3} wasted)");
    for announced in [(20.0, 0.0), (1_000.0, 0.0), (2_000.0, 0.1), (5_000.0, 0.0)] {
        let (saved, wasted, head) =
            mean(Way { announced: Some(announced), far_gain: FAR_GAIN_MIN, guess: 0.0 });
        println!(
            "announced {announced:?}: {saved:.3} ({wasted:.3} wasted), {near_head:.0} to {head:.0} ms"
        );
        assert!(saved > near + (0.72 - near) / 2.0, "{announced:?}: {saved} of at most 0.72");
        assert!(saved > guessed && wasted < 0.01, "{announced:?}: {saved}, {wasted}");
        assert!(head < near_head, "{announced:?}: {head} of {near_head} ms");
    }
}

/// Guards against transfers between failure domains that take about as long as the reading that they
/// save.
#[test]
fn far_transfers_that_gain_nothing_are_left_out() {
    let of = |far_gain| {
        let way = Way { announced: Some((2_000.0, 0.1)), far_gain, ..Way::default() };
        let tallies = [replay(way, 0), replay(way, 1)];
        let sum = |of: fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>();
        (sum(|tally| tally.saved[2]), sum(|tally| tally.heads_ms / tally.uses))
    };
    let (all, gaining) = (of(0.0), of(FAR_GAIN_MIN));
    println!("transfers, sum of the mean times: all {all:.1?}, gaining {gaining:.1?}");
    assert!(gaining.0 < 0.9 * all.0, "{all:?} {gaining:?}");
    assert!(gaining.1 < 1.01 * all.1, "{all:?} {gaining:?}");
}

/// Guards against a part that is announced for each engine and each use, and against an eviction that
/// is not announced to the other failure domains.
#[test]
fn outgoing_announces_one_holder_and_its_eviction() {
    let now = Millis(1_000_000);
    let mut outgoing = Outgoing::default();
    let mut announced = |start, tokens, now| {
        outgoing.record(Key(1), start, tokens, now);
        outgoing.take(9)
    };
    assert_eq!(announced(7, 10, now), [FarPart(Key(1), 7, 10)]);
    assert_eq!(announced(7, 10, now + 9), []);
    assert_eq!(announced(8, 10, now + 9), []);
    assert_eq!(announced(8, 0, now + 9), [], "another engine was announced");
    assert_eq!(announced(7, 0, now + 9), [FarPart(Key(1), 7, 0)]);
    assert_eq!(announced(8, 10, now + 9), [FarPart(Key(1), 8, 10)]);
    assert_eq!(announced(7, 10, now + 30_009), [FarPart(Key(1), 7, 10)], "used again");
    outgoing.forget(7, now + 30_010);
    assert_eq!(outgoing.take(9), [FarPart(Key(1), 7, 0)]);
}

/// Guards against a host that passes on more than its bound, where many messages reach it in the same
/// second.
#[test]
fn budget_bounds_each_second() {
    let (mut budget, mut sent) = (Budget::default(), 0);
    for ms in 0..100 {
        let now = Millis(7_000 + ms * 9);
        let hosts = budget.receivers(592, 25, now);
        budget.record(592, hosts, now);
        sent += 592 * hosts;
    }
    assert!((15_000..=20_000).contains(&sent), "{sent}");
    assert_eq!(budget.receivers(592, 25, Millis(8_000)), 25);
    budget.record(usize::MAX, 2, Millis(8_000));
    assert_eq!(budget.receivers(0, 25, Millis(8_001)), 0);
}

/// Guards against memory and messages that grow with the number of parts, and against a host that
/// sends more than 20 KB in a second when it passes parts on in a failure domain of 6 to 985 hosts.
#[test]
fn outgoing_is_bounded() {
    let now = Millis(1_000_000);
    let mut outgoing = Outgoing::default();
    for part in 0..100_000 {
        outgoing.record(Key(part), 7, 10, now);
        if part % 100 == 0 {
            outgoing.take(50);
        }
    }
    assert!(outgoing.take(usize::MAX).len() <= 512);
    let longest = serde_json::to_vec(&FarPart(Key(u64::MAX), u64::MAX, 99_999)).unwrap().len() + 1;
    for hosts in [1, 2, 6, 26, 82, 123, 328, 985] {
        let bytes = 160 + parts_max(hosts) * longest;
        assert!(bytes <= 1_400, "{hosts} hosts: {bytes} bytes");
        let receivers = policy::prefix::receivers_max(bytes, hosts);
        assert!(bytes * receivers <= 20_000, "{hosts} hosts: {bytes} bytes");
        let messages = parts_per_second_max(hosts) / parts_max(hosts);
        assert!(messages * bytes <= 20_000, "{hosts} hosts: {messages} of {bytes} bytes");
    }
    // What each host passes on if every use of a part is announced to all other failure domains.
    for (hosts, domains) in [(6, 3), (78, 3), (300, 4), (985, 3), (985, 8)] {
        let near = hosts / domains;
        let announced = (PARTS as usize * DOMAINS * MODELS.len()) as f64 * 1_000.0 / USED_EACH_MS;
        let heard = announced * (domains - 1) as f64 / domains as f64 / near as f64;
        let bytes = 160 + parts_max(near) * longest;
        let receivers = policy::prefix::receivers_max(bytes, near);
        let per_s = heard / parts_max(near) as f64 * (bytes * receivers) as f64;
        println!("{hosts} hosts in {domains} failure domains: {per_s:.0} bytes a second each");
        assert!(per_s <= 20_000.0, "{hosts} hosts: {per_s:.0} bytes a second");
    }
}
