//! A host that gets most new connections of a failure domain, or of all.

use policy::overload::{Overload, TICK, connections_max};
use policy::place::mix;

const STANDING_MS: f64 = 40.0;
const TICK_MS: f64 = TICK.as_millis() as f64;

fn ticks(overload: &mut Overload, count: usize, late_ms: f64) {
    for _ in 0..count {
        overload.tick(late_ms);
    }
}

#[test]
fn tick_one_long_task_closes_nothing() {
    let mut overload = Overload::new(STANDING_MS);
    for _ in 0..50 {
        ticks(&mut overload, 1, 900.0);
        ticks(&mut overload, 3, 1.0);
    }
    assert_eq!(overload.closed(), 0.0);
}

#[test]
fn tick_standing_delay_closes_more_and_more_and_ends() {
    let mut overload = Overload::new(STANDING_MS);
    ticks(&mut overload, 4, 60.0);
    let first = overload.closed();
    assert!(first > 0.0);
    ticks(&mut overload, 100, 60.0);
    assert!(overload.closed() > first && overload.closed() < 1.0);
    ticks(&mut overload, 300, 1.0);
    assert_eq!(overload.closed(), 0.0);
}

#[test]
fn connections_max_leaves_descriptors_and_memory() {
    assert_eq!(connections_max(None, None), usize::MAX);
    assert_eq!(connections_max(Some(4_100), None), 1_900);
    assert_eq!(connections_max(Some(16_384), Some(120 << 20)), 2_560);
    assert_eq!(connections_max(Some(10), Some(0)), 1);
}

/// A host with one core's share, in simulated time: what it reads waits in line for the processor.
struct Host {
    overload: Overload,
    /// Processor time that what it has read still needs, in milliseconds.
    backlog_ms: f64,
    draws: u64,
    read: usize,
    in_time: usize,
    closed: usize,
}

impl Host {
    fn new(seed: u64) -> Self {
        let overload = Overload::new(STANDING_MS);
        Self { overload, backlog_ms: 0.0, draws: seed, read: 0, in_time: 0, closed: 0 }
    }

    fn draw(&mut self) -> f64 {
        self.draws = mix(self.draws.wrapping_add(0x9e37_79b9));
        (self.draws >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// So many new connections come in each tick, each with a request that takes this much of the
    /// processor's time.
    fn tick(&mut self, connections: f64, work_ms: f64) {
        const CLOSE_MS: f64 = 0.05;
        const LEAVES_MS: f64 = 900.0;
        let whole = connections.floor() as usize + usize::from(self.draw() < connections.fract());
        for _ in 0..whole {
            let draw = self.draw();
            if self.overload.closes(draw) {
                self.closed += 1;
                self.backlog_ms += CLOSE_MS;
                continue;
            }
            self.read += 1;
            // Callers leave after a second; what they left is dropped.
            let is_in_time = self.backlog_ms < LEAVES_MS;
            self.in_time += usize::from(is_in_time);
            self.backlog_ms += if is_in_time { work_ms } else { CLOSE_MS };
        }
        self.backlog_ms = (self.backlog_ms - TICK_MS).max(0.0);
        self.overload.tick(self.backlog_ms);
    }
}

/// Guards against a host that reads far more than it can answer, while others idle.
#[test]
fn most_new_connections_at_one_host_are_served_or_closed_unread() {
    for seed in 0..20 {
        for times in [2.0, 5.0, 12.0] {
            let mut host = Host::new(seed);
            let fits = TICK_MS / 4.0;
            // It takes a moment to notice.
            for _ in 0..60 {
                host.tick(fits * times, 4.0);
            }
            (host.read, host.in_time) = (0, 0);
            for _ in 0..200 {
                host.tick(fits * times, 4.0);
            }
            let case = format!("seed {seed}, {times} times: {} of {}", host.in_time, host.read);
            assert!(host.in_time as f64 >= 0.95 * host.read as f64, "{case}");
            // And the host is used.
            assert!(host.read as f64 >= 0.6 * 200.0 * fits, "{case}");
        }
    }
}

/// Guards against connections closed by a host that keeps up.
#[test]
fn busy_host_that_keeps_up_closes_nothing() {
    for seed in 0..20 {
        let mut host = Host::new(seed);
        for _ in 0..2_000 {
            host.tick(TICK_MS / 4.0 * 0.8, 4.0);
        }
        assert_eq!(host.closed, 0, "seed {seed}");
    }
}
