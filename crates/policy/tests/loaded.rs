//! Roll-outs of versions that fail only under load: how a few servers get peak load, and the
//! verdict on their answers.

use policy::canary::{
    Count, EXPOSURE_SHARE_MIN, Evidence, Outcome, Stage, Verdict, elapsed, is_peak, is_urgent,
    next, share, verdict,
};
use policy::engine::Engine;
use policy::name::Name;
use policy::packing;
use policy::place::mix;

fn server(in_flight: u32) -> Engine {
    Engine { own: in_flight, slots: 48, ..Engine::default() }
}

/// Guards against requests of a trial being spread over servers so that none ever has half of its
/// slots in use.
#[test]
fn next_fills_one_server_before_another() {
    for draw in [0.0, 0.5, 0.999] {
        assert_eq!(packing::next(&[server(0), server(0)], Some(20.0), draw), Some(0));
        let half_full = [server(25), server(0)];
        assert_eq!(
            packing::next(&half_full, Some(25.0), draw),
            Some(0),
            "more than half of its slots are in use"
        );
        let nearly_full = [server(40), server(3)];
        assert_eq!(
            packing::next(&nearly_full, Some(25.0), draw),
            Some(1),
            "only some slots are left"
        );
        assert_eq!(packing::next(&[server(40), server(40)], Some(25.0), draw), None);
        assert_eq!(packing::next(&[], Some(25.0), draw), None);
    }
}

#[test]
fn next_without_known_load_is_any_server() {
    let servers = [server(0), server(0), server(0), server(0)];
    let chosen = |draw| packing::next(&servers, packing::expected(0.06, 100, [].into_iter()), draw);
    assert_eq!([0.1, 0.3, 0.6, 0.9].map(chosen), [0, 1, 2, 3].map(Some));
}

/// A trial with this many hosts, each of which learns of a server's load from its own answers only.
#[derive(Clone, Copy)]
struct Hosts {
    count: usize,
    /// Mean number of requests in flight at all of the trial's servers.
    at_once: f64,
    /// The number of requests in flight that hosts expect there.
    expected: Option<f64>,
}

const SERVICE_MS: f64 = 2_000.0;
const SLOTS: u32 = 24;
/// Most requests that wait at a server whose slots are all in use.
const WAITING_MAX: usize = 8;

/// Simulates ten seconds of a trial. Returns the share of requests that are rejected, and the most
/// requests that any server had in flight.
fn trial(Hosts { count, at_once, expected }: Hosts) -> (f64, usize) {
    const SERVERS: usize = 10;
    let mut seed = 7;
    let mut draw = || {
        seed = mix(seed);
        (seed >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut views = vec![[Engine { slots: SLOTS, ..Engine::default() }; SERVERS]; count];
    let mut reported_at = vec![[0.0; SERVERS]; count];
    let mut under_way: Vec<(f64, usize, usize)> = Vec::new();
    let (mut now, mut all, mut rejected, mut most) = (0.0, 0.0, 0.0, 0);
    while now < 10_000.0 {
        now += -draw().max(1e-9).ln() * SERVICE_MS / at_once;
        let at = |under_way: &[(f64, usize, usize)], server| {
            under_way.iter().filter(|one| one.2 == server).count()
        };
        while let Some(index) = under_way.iter().position(|one| one.0 <= now) {
            let (ended, host, server) = under_way.swap_remove(index);
            let own = |one: &&(f64, usize, usize)| (one.1, one.2) == (host, server);
            let own = under_way.iter().filter(own).count() as u32;
            let view = &mut views[host][server];
            (view.own, view.own_then) = (own, own);
            view.reported = at(&under_way, server) as u32;
            reported_at[host][server] = ended;
        }
        let host = (draw() * count as f64) as usize;
        let mut seen = views[host];
        for (engine, reported_at) in seen.iter_mut().zip(reported_at[host]) {
            engine.report_age_ms = (reported_at > 0.0).then_some((now - reported_at) as u64);
        }
        let Some(server) = packing::next(&seen, expected, draw()) else { continue };
        all += 1.0;
        if at(&under_way, server) >= SLOTS as usize + WAITING_MAX {
            rejected += 1.0;
            continue;
        }
        views[host][server].own += 1;
        under_way.push((now + SERVICE_MS, host, server));
        most = most.max(at(&under_way, server));
    }
    (rejected / all, most)
}

/// Hundreds of hosts sent a trial's requests to the one server that each believed to have free
/// slots, and a good version was stopped for the requests that it rejected.
#[test]
fn next_does_not_overload_a_server_from_many_hosts() {
    for count in [1, 10, 100, 300, 1_000] {
        let (rejected, most) = trial(Hosts { count, at_once: 80.0, expected: Some(80.0) });
        println!("{count} hosts: {rejected:.3} rejected, {most} at once");
        assert!(rejected < 0.01, "{count} hosts: {rejected}");
        assert!(most >= SLOTS as usize / 2, "{count} hosts: {most}");
    }
    // Each host goes by its own view alone and expects no other requests.
    let (rejected, _) = trial(Hosts { count: 300, at_once: 80.0, expected: Some(0.0) });
    assert!(rejected > 0.2, "{rejected}");
}

#[test]
fn expected_follows_from_the_old_versions_load() {
    let expected = |reported: &[u32]| packing::expected(0.065, 160, reported.iter().copied());
    assert_eq!(expected(&[]), None);
    let some = expected(&[6, 10, 8]).unwrap_or_default();
    assert!((some - 0.065 * 160.0 * 8.0).abs() < 1e-9, "{some}");
}

/// Where a bad version may get a larger share, one that was never detected got more than that
/// share.
#[test]
fn share_of_undetected_version_stays_within_any_exposure() {
    for allowed in [0.05, EXPOSURE_SHARE_MIN, 0.12, 0.15, 0.3] {
        for within_ms in [12_000, 24_000, 60_000_u64] {
            let shares = (0..within_ms)
                .map(|age_ms| share(Stage::Moving, elapsed(age_ms, within_ms), allowed));
            let exposed = shares.sum::<f64>() / within_ms as f64;
            assert!(
                exposed <= allowed.max(EXPOSURE_SHARE_MIN),
                "{exposed} of {allowed}, {within_ms} ms"
            );
        }
        let shares = (0..100).map(|step| share(Stage::Moving, f64::from(step) / 100.0, allowed));
        assert!(shares.is_sorted(), "a session changes its version once");
    }
    assert!(share(Stage::Trial, 0.7, 0.15) > 2.0 * share(Stage::Trial, 0.7, EXPOSURE_SHARE_MIN));
}

/// A route's answers: all and slow ones of the old version, all and slow ones of the new version
/// before peak load, and all, failed and slow ones of the new version under peak load.
type Answers = ((u32, u32), (u32, u32), (u32, u32, u32));

fn loaded<const N: usize>(routes: [Answers; N]) -> Vec<Evidence> {
    let of = |(old, before, peak): Answers| {
        let peak = Count { answers: peak.0, bad: peak.1, slow: peak.2, ..Count::default() };
        let mut new = Count { answers: before.0, bad: 0, slow: before.1, ..Count::default() };
        new.add(peak);
        let old = Count { answers: old.0, bad: 0, slow: old.1, ..Count::default() };
        Evidence { route: Name::from("r"), old, new, peak, ..Evidence::default() }
    };
    routes.map(of).to_vec()
}

/// Good versions were stopped in 8 of 18 roll-outs because their one loaded server was slow.
#[test]
fn verdict_slow_under_peak_load_is_good() {
    let good = [
        ((695, 10), (5, 0), (8, 0, 7)),
        ((833, 30), (8, 0), (12, 0, 3)),
        ((476, 4), (4, 0), (4, 0, 4)),
    ];
    assert_eq!(verdict(&loaded(good)), Verdict::Good);
    // A version that was slow before peak load is slow.
    let slow = [
        ((695, 10), (12, 6), (8, 0, 7)),
        ((833, 30), (14, 7), (12, 0, 3)),
        ((476, 4), (6, 3), (4, 0, 4)),
    ];
    assert_eq!(verdict(&loaded(slow)), Verdict::Bad);
}

#[test]
fn verdict_failing_under_peak_load_is_bad() {
    let fails = [
        ((695, 10), (60, 0), (8, 3, 0)),
        ((833, 30), (60, 0), (12, 2, 0)),
        ((476, 4), (60, 0), (4, 1, 0)),
    ];
    assert_eq!(
        verdict(&loaded(fails)),
        Verdict::Bad,
        "good answers before peak load must not outweigh the failures"
    );
}

/// A route of a simulated service.
#[derive(Clone, Copy)]
struct Route {
    /// Share of all requests that come by the route.
    share: f64,
    /// Share of the route's requests that any version fails.
    failure_share: f64,
}

/// A simulated service.
#[derive(Clone, Copy)]
struct Service {
    within_ms: u64,
    /// Share of all requests that a bad version may get.
    exposure_share: f64,
    /// Requests per second.
    per_s: f64,
    /// Share of requests that a version bad under load fails: first during [`is_peak`], then while
    /// it has all requests.
    loaded_failure_shares: (f64, f64),
    routes: &'static [Route],
}

/// A service of engines, whose trial puts load on one server.
const ENGINES: Service = Service {
    within_ms: 20_000,
    exposure_share: 0.15,
    per_s: 100.0,
    loaded_failure_shares: (0.12, 0.0),
    routes: &[
        Route { share: 0.4, failure_share: 0.002 },
        Route { share: 0.35, failure_share: 0.002 },
        Route { share: 0.25, failure_share: 0.002 },
    ],
};
/// A service without engines and with few requests: a server has peak load only once the new
/// version has all requests.
const PLAIN: Service = Service {
    within_ms: 20_000,
    exposure_share: 0.15,
    per_s: 34.0,
    loaded_failure_shares: (0.03, 0.22),
    routes: &[
        Route { share: 0.58, failure_share: 0.004 },
        Route { share: 0.31, failure_share: 0.26 },
        Route { share: 0.08, failure_share: 0.0 },
        Route { share: 0.03, failure_share: 0.0 },
    ],
};
/// How long after an answer its count is known to the host that decides, in milliseconds.
const COUNT_DELAY_MS: u64 = 200;

/// A uniform draw from 0 to 1.
fn draw(seed: u64) -> f64 {
    (mix(seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Simulates a roll-out and returns its last stage.
fn simulate(service: &Service, is_bad: bool, seed: u64) -> Stage {
    let mut stage = Stage::Trial;
    let requests = (service.per_s * service.within_ms as f64 / 1_000.0) as u64;
    let names = ["a", "b", "c", "d"].map(Name::from);
    let blank = |route: &Name| Evidence { route: route.clone(), ..Evidence::default() };
    let mut known: Vec<_> = names[..service.routes.len()].iter().map(blank).collect();
    let mut delayed = std::collections::VecDeque::new();
    for number in 0..requests {
        let at_ms = number * service.within_ms / requests;
        let elapsed = elapsed(at_ms, service.within_ms);
        let share = share(stage, elapsed, service.exposure_share);
        let is_new = draw(seed ^ mix(number)) < share;
        let kind = draw(seed ^ mix(number ^ 1 << 40));
        let route = service.routes.iter().scan(0.0, |sum, route| {
            *sum += route.share;
            Some(*sum)
        });
        let route = route.take_while(|sum| *sum < kind).count().min(service.routes.len() - 1);
        let more = match (is_bad && is_new, share >= 1.0) {
            (true, true) => service.loaded_failure_shares.1,
            (true, false) if is_peak(elapsed, service.within_ms) => service.loaded_failure_shares.0,
            _ => 0.0,
        };
        let usual = service.routes[route].failure_share;
        let fails = usual + (1.0 - usual) * more;
        let sign = match draw(seed ^ mix(number ^ 1 << 41)) < fails {
            true => Outcome::Failed,
            false => Outcome::Good,
        };
        delayed.push_back((at_ms + COUNT_DELAY_MS, route, is_new, share >= 1.0, elapsed, sign));
        while let Some((at, route, is_new, is_full, elapsed, sign)) = delayed.front().copied()
            && at <= at_ms
        {
            delayed.pop_front();
            let one: &mut Evidence = &mut known[route];
            match (is_new, is_full) {
                (false, _) => one.old.record(sign),
                (true, true) => {
                    one.new.record(sign);
                    one.full.record(sign);
                }
                (true, false) => {
                    one.new.record(sign);
                    if is_peak(elapsed, service.within_ms) {
                        one.peak.record(sign);
                    }
                }
            }
        }
        if number % 8 == 0 || is_urgent(stage, elapsed) {
            stage = next(stage, elapsed, verdict(&known)).unwrap_or(stage);
        }
    }
    stage
}

/// How many of the simulated roll-outs are declared done.
fn count_done(service: &Service, is_bad: bool, seeds: u64) -> usize {
    (0..seeds).filter(|seed| simulate(service, is_bad, mix(*seed)) == Stage::Done).count()
}

/// A version that failed once half of its servers' slots were in use was declared done: its small
/// share, spread over all servers, never caused that load.
#[test]
fn simulate_engines_bad_under_load_are_stopped() {
    let (good, bad) = (count_done(&ENGINES, false, 2_000), count_done(&ENGINES, true, 2_000));
    assert!(good >= 1_990, "{good} of 2,000 good versions done");
    assert!(bad <= 60, "{bad} of 2,000 bad versions done");
}

/// With few answers at full load, one in five or six bad versions is declared done: a verdict that
/// detects more of them would stop good ones. No more good versions fail to be done than by the
/// verdict that ignores load.
#[test]
fn simulate_plain_service_bad_under_load_is_mostly_stopped() {
    let (good, bad) = (count_done(&PLAIN, false, 2_000), count_done(&PLAIN, true, 2_000));
    assert!(good >= 1_870, "{good} of 2,000 good versions done");
    assert!(bad <= 420, "{bad} of 2,000 bad versions done");
}
