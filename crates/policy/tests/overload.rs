//! Load shedding on a host that gets most new connections of a failure domain, or of all of them.

use policy::overload::{Overload, SAMPLE_INTERVAL, connections_max};
use policy::place::mix;

const STANDING_MS: f64 = 40.0;
const INTERVAL_MS: f64 = SAMPLE_INTERVAL.as_millis() as f64;

fn record_many(overload: &mut Overload, count: usize, delay_ms: f64) {
    for _ in 0..count {
        overload.record(delay_ms);
    }
}

#[test]
fn record_single_high_delays_close_nothing() {
    let mut overload = Overload::new(STANDING_MS);
    for _ in 0..50 {
        record_many(&mut overload, 1, 900.0);
        record_many(&mut overload, 3, 1.0);
    }
    assert_eq!(overload.closed_share(), 0.0);
}

#[test]
fn record_standing_delay_raises_the_closed_share_until_it_ends() {
    let mut overload = Overload::new(STANDING_MS);
    record_many(&mut overload, 4, 60.0);
    let first = overload.closed_share();
    assert!(first > 0.0);
    record_many(&mut overload, 100, 60.0);
    assert!(overload.closed_share() > first && overload.closed_share() < 1.0);
    record_many(&mut overload, 300, 1.0);
    assert_eq!(overload.closed_share(), 0.0);
}

#[test]
fn connections_max_leaves_descriptors_and_memory() {
    assert_eq!(connections_max(None, None), usize::MAX);
    assert_eq!(connections_max(Some(4_100), None), 1_900);
    assert_eq!(connections_max(Some(16_384), Some(120 << 20)), 2_560);
    assert_eq!(connections_max(Some(10), Some(0)), 1);
}

/// A simulated host: the requests that it reads wait for the processor in order of arrival.
struct Host {
    overload: Overload,
    /// Processor time that the requests read so far still need, in milliseconds.
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

    /// Simulates one interval with this mean number of new connections, each with a request that
    /// takes `work_ms` of processor time.
    fn step(&mut self, connections: f64, work_ms: f64) {
        const CLOSE_MS: f64 = 0.05;
        const CALLER_TIMEOUT_MS: f64 = 900.0;
        let count = connections.floor() as usize + usize::from(self.draw() < connections.fract());
        for _ in 0..count {
            let draw = self.draw();
            if self.overload.should_close(draw) {
                self.closed += 1;
                self.backlog_ms += CLOSE_MS;
                continue;
            }
            self.read += 1;
            // Callers disconnect after a second; the host drops their requests.
            let is_in_time = self.backlog_ms < CALLER_TIMEOUT_MS;
            self.in_time += usize::from(is_in_time);
            self.backlog_ms += if is_in_time { work_ms } else { CLOSE_MS };
        }
        self.backlog_ms = (self.backlog_ms - INTERVAL_MS).max(0.0);
        self.overload.record(self.backlog_ms);
    }
}

/// Guards against a host that reads far more requests than it can answer while others are idle.
#[test]
fn overloaded_host_answers_what_it_reads() {
    for seed in 0..20 {
        for load_factor in [2.0, 5.0, 12.0] {
            let mut host = Host::new(seed);
            let capacity = INTERVAL_MS / 4.0;
            // Lets the host detect the overload first.
            for _ in 0..60 {
                host.step(capacity * load_factor, 4.0);
            }
            (host.read, host.in_time) = (0, 0);
            for _ in 0..200 {
                host.step(capacity * load_factor, 4.0);
            }
            let case = format!(
                "seed {seed}, load factor {load_factor}: {} of {}",
                host.in_time, host.read
            );
            assert!(host.in_time as f64 >= 0.95 * host.read as f64, "{case}");
            // The host must still use most of its capacity.
            assert!(host.read as f64 >= 0.6 * 200.0 * capacity, "{case}");
        }
    }
}

/// Guards against closing connections on a host that keeps up with its load.
#[test]
fn busy_host_that_keeps_up_closes_nothing() {
    for seed in 0..20 {
        let mut host = Host::new(seed);
        for _ in 0..2_000 {
            host.step(INTERVAL_MS / 4.0 * 0.8, 4.0);
        }
        assert_eq!(host.closed, 0, "seed {seed}");
    }
}
