//! Fetching cached parts of prompts between engines.

use policy::engine::fetch::{Correction, Link, Source, Target};
use policy::engine::{Choice, Costs, Demand, Engine, Fetches, place};
use policy::time::Millis;

/// 5,382 shared and 6,610 own tokens.
const DEMAND: Demand = Demand {
    prompt: 11_992.0,
    shared: 5_382.0,
    tokens_per_ms: 56.6,
    service_ms: 2_000.0,
    far_ms: 375.0,
    failure_ms: 3_000.0,
};
const HOLDER: Source = Source { id: 0, domain: 1, tokens: 5_382.0, transfers: 0 };

fn link() -> Link {
    Link::new(18_432.0, 88_000.0).unwrap()
}

fn engine(own: u32, cached: f64) -> Engine {
    Engine { own, slots: 32, near: true, cached, ..Engine::default() }
}

/// Places a request among engines of one failure domain.
fn place_with(engines: &[Engine], sources: &[Source], factor: f64) -> Choice {
    let target = |id| Target { id, domain: 1 };
    let targets: Vec<Target> = (0..engines.len() as u64).map(target).collect();
    let fetches = Some(Fetches { link: link(), targets: &targets, sources, factor, far_gain: 0.0 });
    place(engines, &DEMAND, &Costs { fetches, ..Costs::default() }, 1).unwrap()
}

#[test]
fn transfer_takes_setup_tokens_distance_and_queue() {
    let ms = |source: Source, cached| {
        let target = Target { id: 9, domain: 1 };
        link().transfer((0, &source), &target, cached).map(|transfer| transfer.ms)
    };
    let one = ms(HOLDER, 0.0).unwrap();
    assert!((one - 17.0).abs() < 0.1, "{one}");
    assert!((ms(Source { domain: 2, ..HOLDER }, 0.0).unwrap() - 26.0).abs() < 0.1);
    assert_eq!(ms(Source { transfers: 2, ..HOLDER }, 0.0), Some(3.0 * one));
    assert_eq!(ms(HOLDER, 5_382.0), None, "nothing is missing");
    assert_eq!(ms(Source { id: 9, ..HOLDER }, 0.0), None, "the engine itself");
    for (bytes, mbps) in [(0.0, 88_000.0), (18_432.0, 0.0), (f64::NAN, 1.0), (1.0, -1.0)] {
        assert_eq!(Link::new(bytes, mbps), None);
    }
}

/// Guards against a bottleneck at the one engine that has a shared part cached.
#[test]
fn place_fetches_from_a_busy_holder() {
    let engines = [engine(20, 5_382.0), engine(2, 0.0)];
    let choice = place_with(&engines, &[HOLDER], 1.0);
    assert_eq!((choice.index, choice.fetch.map(|fetch| fetch.source)), (1, Some(0)));
    let idle = [engine(2, 5_382.0), engine(2, 0.0)];
    assert_eq!(place_with(&idle, &[HOLDER], 1.0), Choice { index: 0, fetch: None });
}

/// Guards against one holder that is asked for all transfers although each fetch makes another
/// holder.
#[test]
fn place_spreads_a_part_and_its_transfers() {
    let mut engines = [engine(0, 0.0); 12];
    engines[0].cached = 5_382.0;
    let mut sources = vec![HOLDER];
    for _ in 0..100 {
        let choice = place_with(&engines, &sources, 1.0);
        if let Some(fetch) = choice.fetch {
            sources[fetch.source].transfers += 1;
            sources.push(Source { id: choice.index as u64, ..HOLDER });
        }
        engines[choice.index].own += 1;
        engines[choice.index].cached = 5_382.0;
    }
    assert_eq!(sources.len(), 12, "each engine holds the part");
    assert!(sources.iter().all(|source| source.transfers <= 3), "{sources:?}");
    assert!(engines.iter().all(|engine| engine.own < 20), "{engines:?}");
}

#[test]
fn place_reads_where_fetches_took_long() {
    let engines = [engine(30, 5_382.0), engine(2, 0.0)];
    assert!(place_with(&engines, &[HOLDER], 1.0).fetch.is_some());
    assert_eq!(place_with(&engines, &[HOLDER], 16.0).fetch, None);
}

#[test]
fn factor_compares_fetches_with_other_answers_and_is_forgotten() {
    let now = Millis(1_000);
    let mut correction = Correction::default();
    // A busy service takes twice as long as expected, with or without a fetch.
    (0..60).for_each(|n| correction.record(n % 2 == 0, 400.0, 185.0, now));
    assert!((0.8..1.25).contains(&correction.factor(now)), "{correction:?}");
    (0..60).for_each(|_| correction.record(true, 2_000.0, 100.0, now));
    assert!(correction.factor(now) > 5.0, "{correction:?}");
    assert!(correction.factor(now + 600_000) < 1.01);
    for (head, expected) in [(f64::MAX, 0.0), (0.0, f64::MAX), (-1.0, -1.0)] {
        correction.record(true, head, expected, now);
        assert!((1.0 / 16.0..=16.0).contains(&correction.factor(now)));
    }
}
