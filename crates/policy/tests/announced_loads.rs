//! Replays hosts that place streams on engines, with and without the loads that other hosts announce.
//!
//! Each of 26 hosts sends three requests a second to 30 engines of 16 slots, whose streams last
//! eight seconds on average. On its own a host hears from an engine every ten seconds.

use policy::engine::{self, Demand, Engine};
use policy::place::mix;
use policy::report::{Announcements, Report, Scope, is_news};
use policy::time::Millis;

const HOSTS: usize = 26;
const ENGINES: usize = 30;
const SLOTS: u32 = 16;
const STREAM_MS: f64 = 8_000.0;
/// Mean use of the slots.
const USE: f64 = 0.75;
const DURATION_MS: u64 = 60_000;
/// Time until the answer's head, which bears the engine's report.
const HEAD_MS: u64 = 100;
/// Hosts that one announcement goes to.
const RECEIVERS: usize = 12;

/// How announcements travel.
#[derive(Clone, Copy)]
struct Messages {
    delay_ms: u64,
    lost_share: f64,
}

/// What one host knows of one engine.
#[derive(Clone, Copy, Default)]
struct View {
    own: u32,
    reported: u32,
    own_then: u32,
    reported_at: Millis,
    announcements: Announcements,
}

enum Event {
    Head { host: usize, engine: usize },
    End { host: usize, engine: usize },
    Heard { host: usize, engine: usize, report: Report, at: Millis },
}

struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = mix(self.0);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn index(&mut self, count: usize) -> usize {
        (self.next() * count as f64) as usize
    }
}

/// Share of the requests that are sent to an engine whose slots are all taken.
fn share_at_full_engines(messages: Option<Messages>, seed: u64) -> f64 {
    let mut draws = Draws(seed);
    let mut views = vec![[View::default(); ENGINES]; HOSTS];
    let mut running = [0_u32; ENGINES];
    let mut events: Vec<(u64, Event)> = Vec::new();
    let per_ms = USE * f64::from(SLOTS) * ENGINES as f64 / STREAM_MS;
    let (mut sent, mut at_full) = (0.0, 0.0);
    for now in 1..DURATION_MS {
        let due = events.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        for (_, event) in due {
            take(event, (&mut views, &mut running, &mut events), messages, &mut draws, now);
        }
        if draws.next() >= per_ms {
            continue;
        }
        let host = draws.index(HOSTS);
        let engine = place(&views[host], messages.is_some(), &mut draws, Millis(now));
        sent += 1.0;
        at_full += f64::from(u8::from(running[engine] >= SLOTS));
        running[engine] += 1;
        views[host][engine].own += 1;
        let length_ms = -draws.next().max(1e-9).ln() * STREAM_MS;
        events.push((now + HEAD_MS, Event::Head { host, engine }));
        events.push((now + HEAD_MS + length_ms as u64, Event::End { host, engine }));
    }
    at_full / sent
}

fn place(views: &[View; ENGINES], are_announced: bool, draws: &mut Draws, now: Millis) -> usize {
    let mut engines = views.map(|view| Engine {
        own: view.own,
        reported: view.reported,
        own_then: view.own_then,
        report_age_ms: engine::age_ms(view.reported_at, now),
        slots: SLOTS,
        near: true,
        ..Engine::default()
    });
    if are_announced {
        engine::use_announced_loads(&mut engines, (draws.next() * 1e18) as u64);
    }
    let demand = Demand {
        prompt: 800.0,
        shared: 0.0,
        tokens_per_ms: 56.6,
        service_ms: STREAM_MS,
        far_ms: 0.0,
        failure_ms: 2_000.0,
    };
    engine::choose(&engines, &demand, (draws.next() * u64::MAX as f64) as u64).unwrap()
}

type Fleet<'a> = (&'a mut [[View; ENGINES]], &'a mut [u32; ENGINES], &'a mut Vec<(u64, Event)>);

fn take(
    event: Event,
    (views, running, events): Fleet<'_>,
    messages: Option<Messages>,
    draws: &mut Draws,
    now: u64,
) {
    match event {
        Event::End { host, engine } => {
            running[engine] -= 1;
            views[host][engine].own -= 1;
        }
        Event::Heard { host, engine, report, at } => {
            let view = &mut views[host][engine];
            view.announcements.record_known(report, at);
            if is_news(at, view.reported_at, Scope::Changes, Millis(now)) {
                (view.reported, view.own_then, view.reported_at) = (report.requests, view.own, at);
            }
        }
        Event::Head { host, engine } => {
            let report = Report { requests: running[engine], slots: SLOTS, percent: 100 };
            let view = &mut views[host][engine];
            (view.reported, view.own_then) = (report.requests, view.own);
            view.reported_at = Millis(now);
            let Some(Messages { delay_ms, lost_share }) = messages else { return };
            if !view.announcements.is_due(report, Scope::Changes, Millis(now)) {
                return;
            }
            view.announcements.record_known(report, Millis(now));
            for _ in 0..RECEIVERS {
                let host = draws.index(HOSTS);
                if draws.next() >= lost_share {
                    let heard = Event::Heard { host, engine, report, at: Millis(now) };
                    events.push((now + delay_ms, heard));
                }
            }
        }
    }
}

fn mean_share(messages: Option<Messages>) -> f64 {
    (1..=3).map(|seed| share_at_full_engines(messages, seed)).sum::<f64>() / 3.0
}

/// Guards against requests that wait seconds for a slot at a full engine while others have free
/// slots. A part of the announcements may be lost; those that are late must do no harm.
#[test]
fn place_with_announced_loads_avoids_full_engines() {
    let without = mean_share(None);
    let with = |delay_ms, lost_share| mean_share(Some(Messages { delay_ms, lost_share }));
    for (delay_ms, lost_share) in [(50, 0.0), (400, 0.0), (400, 0.3)] {
        let share = with(delay_ms, lost_share);
        println!("{delay_ms} ms, {lost_share} lost: {share:.3}, without {without:.3}");
        assert!(share < without / 2.0 && share < 0.01, "{delay_ms} ms, {lost_share} lost: {share}");
    }
    let late = with(1_500, 0.0);
    assert!(late < without, "late announcements: {late}, without: {without}");
}
