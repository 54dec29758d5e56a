//! Placement among model engines: long prompts, cached prefixes, distance, failures and old
//! reports.

use policy::engine::{
    Costs, Demand, DomainLoad, Engine, choose, place, spill, use_announced_loads,
};
use policy::place::mix;

const ENGINE: Engine = Engine {
    own: 0,
    reported: 0,
    own_then: 0,
    report_age_ms: Some(50),
    is_announced: false,
    assumed: 0.0,
    domain_load: None,
    slots: 64,
    wait_ms: 0.0,
    cached: 0.0,
    preferred: false,
    near: true,
    suspicion: 0.0,
    slowdown: 0.0,
};

const DEMAND: Demand = Demand {
    prompt: 8_000.0,
    shared: 5_000.0,
    tokens_per_ms: 50.0,
    service_ms: 2_000.0,
    far_ms: 200.0,
    failure_ms: 2_000.0,
};

fn choose_by_any_draw(engines: &[Engine]) -> usize {
    let first = choose(engines, &DEMAND, 1).unwrap();
    assert!((0..50).all(|draw| choose(engines, &DEMAND, draw) == Some(first)));
    first
}

#[test]
fn choose_without_engines_is_none() {
    assert_eq!(choose(&[], &DEMAND, 1), None);
}

#[test]
fn choose_avoids_an_engine_reading_a_long_prompt() {
    let reading = Engine { own: 1, wait_ms: 1_000.0, ..ENGINE };
    let busy = Engine { own: 12, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[reading, busy]), 1);
}

#[test]
fn choose_prefers_a_cached_prefix() {
    let cached = Engine { cached: 5_000.0, own: 4, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[ENGINE, cached]), 1);
}

#[test]
fn choose_takes_the_preferred_engine_without_other_differences() {
    let preferred = Engine { preferred: true, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[ENGINE, preferred]), 1);
}

#[test]
fn choose_near_engine_until_its_queue_is_long() {
    let far = Engine { near: false, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[far, Engine { own: 20, ..ENGINE }]), 1);
    assert_eq!(choose_by_any_draw(&[far, Engine { own: 80, ..ENGINE }]), 0);
}

#[test]
fn choose_avoids_an_engine_likely_to_fail() {
    let suspected = Engine { suspicion: 0.5, ..ENGINE };
    assert_eq!(choose_by_any_draw(&[suspected, Engine { own: 30, near: false, ..ENGINE }]), 1);
}

#[test]
fn load_counts_old_reports_less() {
    let fresh = Engine { own: 2, own_then: 2, reported: 42, report_age_ms: Some(0), ..ENGINE };
    let old = Engine { report_age_ms: Some(20_000), ..fresh };
    assert_eq!(fresh.load(), 42.0);
    assert!(old.load() < 7.0);
}

/// Guards against engines of other failure domains that look idle because nothing is heard of them.
#[test]
fn use_announced_loads_unknown_far_engine() {
    let unknown = Engine { report_age_ms: None, ..ENGINE };
    let known = Engine { reported: 24, report_age_ms: Some(0), ..ENGINE };
    let mut engines = [known, Engine { near: false, ..unknown }, Engine { own: 2, ..unknown }];
    use_announced_loads(&mut engines, 1);
    assert_eq!(engines.map(|engine| engine.load()), [24.0, 13.0, 2.0]);
    let mut far = [Engine { near: false, ..unknown }];
    use_announced_loads(&mut far, 1);
    assert_eq!(far[0].load(), 0.0);
}

/// Guards against herding: hosts that read the same report and send at the same moment would all
/// choose the engine with the least reported load, and that engine would get every request.
#[test]
fn choose_hosts_do_not_herd() {
    let engines = [ENGINE; 8];
    let mut counts = [0; 8];
    (0..200).for_each(|draw| counts[choose(&engines, &DEMAND, draw * 977).unwrap()] += 1);
    assert!(counts.iter().all(|count| *count < 60), "{counts:?}");
}

/// A number below `bound` from a seed, different for each `number`.
fn drawn(seed: u64, number: u64, bound: f64) -> f64 {
    mix(seed.wrapping_mul(31) ^ mix(number)) as f64 / u64::MAX as f64 * bound
}

/// Guards against a change of placement where no setting asks for it: the reference is the cost of
/// before the settings existed.
#[test]
fn place_without_settings_is_as_before() {
    let cost_ms = |engine: &Engine| {
        let slots = f64::from(engine.slots);
        let load = engine.load();
        let waiting = (load - slots).max(0.0) / slots;
        let cached = if engine.preferred { engine.cached.max(2_500.0) } else { engine.cached };
        let read_ms = (DEMAND.prompt - cached).max(0.0) / DEMAND.tokens_per_ms;
        let work_ms = (load / slots).min(1.0) * 250.0 + waiting * DEMAND.service_ms + read_ms;
        work_ms * (1.0 + engine.slowdown)
            + engine.wait_ms
            + if engine.near { 0.0 } else { DEMAND.far_ms }
            + engine.suspicion * DEMAND.failure_ms
    };
    for seed in 0..500 {
        let engine = |at| Engine {
            own: drawn(seed, at, 40.0) as u32,
            reported: drawn(seed, at + 100, 100.0) as u32,
            report_age_ms: (at % 3 > 0).then_some(drawn(seed, at + 200, 9_000.0) as u64),
            wait_ms: drawn(seed, at + 300, 900.0),
            cached: drawn(seed, at + 400, 9_000.0),
            near: at % 2 == 0,
            preferred: at == 4,
            slowdown: drawn(seed, at + 500, 3.0) - 0.8,
            suspicion: drawn(seed, at + 600, 0.3),
            ..ENGINE
        };
        let engines: Vec<Engine> = (0..9).map(engine).collect();
        assert!(engines.iter().all(|engine| engine.cost_ms(&DEMAND) == cost_ms(engine)));
        let tie_break = |index: usize| {
            4.0 * (mix(seed.wrapping_add(index as u64)) >> 11) as f64 / (1_u64 << 53) as f64
        };
        let costs = engines.iter().enumerate().map(|(at, one)| (at, cost_ms(one) + tie_break(at)));
        let before = costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at);
        let placed = place(&engines, &DEMAND, &Costs::default(), seed);
        assert_eq!(placed.map(|choice| (Some(choice.index), choice.fetch)), Some((before, None)));
        assert_eq!(choose(&engines, &DEMAND, seed), before);
    }
}

/// Engines of two domains, with the requests and report ages that are given.
fn two_domains(near: u32, far: u32, age_ms: Option<u64>) -> Vec<Engine> {
    let engine = |near, reported| Engine { near, reported, report_age_ms: age_ms, ..ENGINE };
    (0..20).map(|at| if at < 10 { engine(true, near) } else { engine(false, far) }).collect()
}

#[test]
fn spill_share_follows_fresh_differences() {
    let share = |near, far, age_ms| spill::share(&two_domains(near, far, age_ms));
    assert_eq!(share(40, 40, Some(50)), 0.0);
    assert_eq!(share(20, 60, Some(50)), 0.0, "far engines are busier");
    assert_eq!(share(60, 20, None), 0.0, "nothing is known");
    let (small, large) = (share(60, 40, Some(50)), share(60, 10, Some(50)));
    assert!(0.0 < small && small < large && large < 0.5, "{small} {large}");
    assert!(share(60, 10, Some(5_000)) < 0.2 * large, "old reports count less");
}

/// Guards against a share that follows noise, that lasts when a failure domain is not heard any more,
/// or that fills another failure domain.
#[test]
fn announced_share_follows_fresh_differences() {
    let share = |near: f64, far: f64, age_ms, service_ms| {
        let mut engines = two_domains((near * 64.0) as u32, 0, Some(0));
        for engine in engines.iter_mut().filter(|engine| !engine.near) {
            engine.domain_load = Some(DomainLoad { per_slot: far, age_ms });
        }
        spill::announced_share(&engines, service_ms)
    };
    assert!(share(1.0, 0.2, 300, 3_000.0) > 0.6);
    assert!(share(0.9, 0.4, 300, 3_000.0) > 0.25);
    assert_eq!(share(0.9, 0.8, 0, 8_000.0), 0.0, "noise");
    assert!(share(0.9, 0.77, 0, 8_000.0) < 0.05);
    assert!(share(1.0, 0.2, 3_000, 3_000.0) < share(1.0, 0.2, 300, 3_000.0), "old");
    assert_eq!(share(1.0, 0.2, 4_000, 8_000.0), 0.0, "not heard any more");
    assert_eq!(share(3.0, 0.9, 0, 8_000.0), 0.0, "the other one has no room");
    assert_eq!(spill::announced_share(&two_domains(60, 0, Some(0)), 8_000.0), 0.0, "never heard");
}

/// Guards against hosts that all ignore distance at once on the same outdated reports, and overload
/// the other domain in turn.
#[test]
fn place_spills_only_a_share() {
    let engines = two_domains(60, 20, Some(100));
    let demand = Demand { far_ms: 400.0, ..DEMAND };
    let costs = Costs { spills: true, ..Costs::default() };
    let is_far = |draw: u64| place(&engines, &demand, &costs, mix(draw)).unwrap().index >= 10;
    let far = (0..2_000).filter(|draw| is_far(*draw)).count() as f64 / 2_000.0;
    let share = spill::share(&engines);
    assert!((far - share).abs() < 0.04, "{far} {share}");
    // Moving this share by all hosts leaves the near domain the busier one.
    assert!(60.0 * (1.0 - share) >= 20.0 + 60.0 * share, "{share}");
}
