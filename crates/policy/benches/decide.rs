//! Cost of the decisions for one request, with 900 backend servers and 8 versions.

use std::hint::black_box;

use criterion::Criterion;
use policy::admit::gate::Gate;
use policy::admit::room::{self, Kind, Room};
use policy::admit::share::Offered;
use policy::admit::{Arrival, Load, Queue};
use policy::engine::externality::Streams;
use policy::engine::fetch::{Link, Source, Target};
use policy::engine::{self, Costs, Demand, Engine, Fetches};
use policy::estimate::Estimate;
use policy::exposure::cusum::Cusum;
use policy::exposure::{Hypotheses, Test};
use policy::place::{self, Report, Server, mix};
use policy::prefix::{Index, Weights};
use policy::select::{Candidate, Goal, Rater, Table};
use policy::time::Millis;

const NOW: Millis = Millis(100_000);
const SERVERS: u64 = 900;

fn servers() -> Vec<Server> {
    let server = |index: u64| Server {
        in_flight: (mix(index) % 3) as u32,
        report: Some(Report {
            in_flight: (mix(index) % 7) as u32,
            slots: 8,
            at: NOW - mix(index) % 2_000,
        }),
        draining: index.is_multiple_of(50),
        ..Server::new(format!("server-{index}"))
    };
    (0..SERVERS).map(server).collect()
}

fn versions() -> Vec<Candidate> {
    let version = |index: u32| {
        let quality = Estimate::prior(0.8 + 0.02 * f64::from(index));
        Candidate::live(format!("v{index}"), 1.0 + f64::from(index), quality)
    };
    (0..8).map(version).collect()
}

fn goal() -> Goal {
    let rater = Some(Rater { cost: 0.1, latency_ms: 50.0 });
    Goal { target: 0.9, may_repeat: true, rater, ..Goal::default() }
}

fn decide(c: &mut Criterion) {
    let (servers, table) = (servers(), Table::build(&versions(), &goal(), NOW));
    let mut draw = 0;
    c.bench_function("draw and place, two choices", |b| {
        b.iter(|| {
            draw = mix(draw);
            let plan = table.draw((draw >> 11) as f64 / (1_u64 << 53) as f64);
            black_box((plan, place::choose(&servers, None, draw, NOW)))
        });
    });
    c.bench_function("draw and place, affinity", |b| {
        b.iter(|| {
            draw = mix(draw);
            let plan = table.draw((draw >> 11) as f64 / (1_u64 << 53) as f64);
            black_box((plan, place::choose(&servers, Some(draw), draw, NOW)))
        });
    });
    c.bench_function("table for 8 versions", |b| {
        let versions = versions();
        b.iter(|| black_box(Table::build(&versions, &goal(), NOW)));
    });
    c.bench_function("offer and pop", |b| {
        let mut queue = Queue::new(64, 100.0);
        let load = Load { slots: 100, in_flight: 100, own: 100, entries: 1, closed_ms: 0 };
        let ask = Arrival::new("account", 1, NOW + 60_000);
        b.iter(|| black_box((queue.offer(&ask, load, 0.5, NOW), queue.pop())));
    });
    c.bench_function("prefix index of 10,000 engines, record and 30 lookups", |b| {
        let (mut index, weights) = (Index::new(160_000), Weights::new(0, "v1"));
        for engine in 1..=10_000 {
            for part in 0..16 {
                index.confirm(weights.key(part), engine, 100, NOW);
            }
        }
        b.iter(|| {
            draw = mix(draw);
            let part = weights.key(draw % 16);
            index.record_sent(part, 1 + draw % 10_000, 100, true, NOW);
            let cached = |engine| u64::from(index.tokens(part, engine, NOW));
            black_box((1..=30).map(cached).sum::<u64>())
        });
    });
    c.bench_function("offer and pop, 10,000 waiting", |b| {
        let mut queue = Queue::new(20_000, 60.0).by_time_left();
        let load = Load { slots: 30, in_flight: 30, own: 30, entries: 1, closed_ms: 0 };
        let ask = |number: u64| Arrival::new(format!("a{}", number % 24), 1, NOW + 60_000_000);
        for number in 0..10_000 {
            queue.offer(&ask(number), load, 0.5, NOW);
        }
        let asks: Vec<Arrival> = (0..24).map(ask).collect();
        let mut number = 0;
        b.iter(|| {
            number += 1;
            black_box((queue.offer(&asks[number % 24], load, 0.5, NOW), queue.pop()))
        });
    });
    c.bench_function("admission gate, arrival and service, 10,000 waiting", |b| {
        let mut gate = Gate::new(20_000, 60.0);
        let full =
            room::Server { slots: 6, reported: 30, report_age_ms: Some(1), ..Default::default() };
        let room = Room::of([full; 5].into_iter(), Kind::Plain, 60.0);
        let ask = |number: u64| Arrival::new(format!("a{}", number % 24), 1, NOW + 60_000_000);
        for host in 0..64_u64 {
            let offered =
                (0..16).map(|number| Offered { account: format!("a{number}").into(), slots: 1.0 });
            gate.shares.accept(&format!("h{host}").into(), offered.collect(), NOW);
        }
        for number in 0..10_000 {
            gate.arrive(&mut ask(number), (room, 78), (0.5, 0.5), NOW);
        }
        let asks: Vec<Arrival> = (0..24).map(ask).collect();
        let mut number = 0;
        b.iter(|| {
            // A request each millisecond, for each of which one of those that wait is sent.
            number += 1;
            let (ask, now) = (&mut asks[number % 24].clone(), NOW + number as u64);
            gate.shares.record(&ask.account, 60.0, now);
            black_box(gate.arrive(ask, (room, 78), (0.5, 0.5), now));
            black_box(gate.serve((room, 78), (0.5, 1.0), now));
            gate.finish(None);
        });
    });
    c.bench_function("one rated answer, cusum", |b| {
        let mut test = Cusum::default();
        let expecting = Hypotheses::from_expected(0.95);
        b.iter(|| black_box(test.observe(true, &expecting)));
    });
}

/// A placement among 90 engines with four holders. The target is 50 µs.
fn place_on_engines(c: &mut Criterion) {
    let engine = |index: u64| Engine {
        own: (mix(index) % 3) as u32,
        reported: (mix(index) % 30) as u32,
        report_age_ms: Some(mix(index) % 3_000),
        slots: 32,
        wait_ms: (mix(index) % 200) as f64,
        near: index.is_multiple_of(3),
        ..Engine::default()
    };
    let engines: Vec<Engine> = (0..90).map(engine).collect();
    let targets: Vec<Target> = (0..90).map(|id| Target { id, domain: id % 3 }).collect();
    let source = |id| Source { id, domain: id % 3, tokens: 5_000.0, transfers: 1 };
    let sources: Vec<Source> = (0..4).map(source).collect();
    let demand = Demand {
        prompt: 12_000.0,
        shared: 5_000.0,
        tokens_per_ms: 56.6,
        service_ms: 2_000.0,
        far_ms: 375.0,
        failure_ms: 3_000.0,
    };
    let fetches = Link::new(18_432.0, 88_000.0).map(|link| Fetches {
        link,
        targets: &targets,
        sources: &sources,
        factor: 1.0,
        far_gain: 0.0,
    });
    let streams = Some(Streams { event_tokens: 8.0, gap_ms: 1_000.0, late_ms: 3_000.0 });
    let costs = Costs { streams, spills: true, fetches, ..Costs::default() };
    let mut draw = 0;
    c.bench_function("place among 90 engines", |b| {
        b.iter(|| {
            draw = mix(draw);
            black_box(engine::place(&engines, &demand, &costs, draw))
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    place_on_engines(&mut criterion);
    criterion.final_summary();
}
