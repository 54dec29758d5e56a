//! Cost of the decisions for one request, with 900 backend servers and 8 versions.

use std::hint::black_box;

use criterion::Criterion;
use policy::admit::{Arrival, Load, Queue};
use policy::estimate::Estimate;
use policy::exposure::cusum::Cusum;
use policy::exposure::{Hypotheses, Test};
use policy::place::{self, Report, Server, mix};
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
    c.bench_function("one rated answer, cusum", |b| {
        let mut test = Cusum::default();
        let expecting = Hypotheses::from_expected(0.95);
        b.iter(|| black_box(test.observe(true, &expecting)));
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    criterion.final_summary();
}
