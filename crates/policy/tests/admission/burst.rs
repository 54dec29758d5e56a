//! Short bursts: admission control serves them no worse than hosts without it.

use super::world::{Case, USUAL, World};

/// Runs 82 hosts with a second of each four at so many times the load. Returns the mean shares of the
/// requests in time, without and with admission control.
fn shares_in_time(servers: usize, burst: f64, seeds: u64) -> [f64; 2] {
    let case = Case { hosts: 82, servers, per_second: 100.0 / 24.0, ms: 13_000, ..USUAL };
    let share = |is_on, seed| {
        let out = World::run(Case { burst, is_on, seed, is_bounded: true, ..case });
        let offered = f64::from(out.offered.iter().sum::<u32>());
        let answered = f64::from(out.answered.iter().sum::<u32>()) / offered;
        let in_time = f64::from(out.in_time.iter().sum::<u32>()) / offered;
        println!(
            "servers {servers} burst {burst} seed {seed} on {is_on}: in time {in_time:.3} \
             answered {answered:.3} rejected {} refused {}",
            out.rejected, out.refused
        );
        in_time
    };
    [false, true].map(|is_on| (0..seeds).map(|seed| share(is_on, seed)).sum::<f64>() / seeds as f64)
}

/// Guards against admission control that serves a service with few requests at each host worse than
/// hosts that send each request at once: a host that waits for reports learns of a free slot late.
#[test]
fn few_requests_at_each_host() {
    for burst in [1.0, 4.0] {
        let [off, on] = shares_in_time(4, burst, 1);
        assert!(on >= off - 0.005, "burst {burst}: {on:.3}, {off:.3} without");
    }
}

/// Guards against the same with bursts above the capacity, on the mean of several seeds.
#[test]
fn burst_above_capacity_of_few_servers() {
    for (servers, burst) in [(3, 4.0), (4, 5.0)] {
        let [off, on] = shares_in_time(servers, burst, 4);
        assert!(on >= off - 0.005, "servers {servers}, burst {burst}: {on:.3}, {off:.3} without");
    }
}
