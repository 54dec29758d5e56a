//! Versions that fail only under load: few servers get the load of a peak, and what is decided on
//! the answers that come then.

use policy::canary::{
    Count, EXPOSURE_SHARE_MIN, Evidence, Outcome, Stage, Verdict, elapsed, is_peak, is_urgent,
    next, share, verdict,
};
use policy::engine::Engine;
use policy::name::Name;
use policy::peak;
use policy::place::mix;

fn server(in_flight: u32) -> Engine {
    Engine { own: in_flight, slots: 48, ..Engine::default() }
}

/// Requests of a trial were spread over servers, and none of them ever had half of its places taken.
#[test]
fn next_loads_one_server_before_another() {
    for draw in [0.0, 0.5, 0.999] {
        assert_eq!(peak::next(&[server(0), server(0)], Some(20.0), draw), Some(0));
        let half = [server(25), server(0)];
        assert_eq!(peak::next(&half, Some(25.0), draw), Some(0), "more than half of its places");
        let taken = [server(40), server(3)];
        assert_eq!(peak::next(&taken, Some(25.0), draw), Some(1), "some places are left");
        assert_eq!(peak::next(&[server(40), server(40)], Some(25.0), draw), None);
        assert_eq!(peak::next(&[], Some(25.0), draw), None);
    }
}

#[test]
fn next_of_a_host_that_knows_no_load_is_any() {
    let servers = [server(0), server(0), server(0), server(0)];
    let chosen = |draw| peak::next(&servers, peak::expected(0.06, 100, [].into_iter()), draw);
    assert_eq!([0.1, 0.3, 0.6, 0.9].map(chosen), [0, 1, 2, 3].map(Some));
}

/// A trial before so many hosts, each of which hears of a server with its own answers only.
#[derive(Clone, Copy)]
struct Hosts {
    count: usize,
    /// Requests at the trial's servers at once.
    at_once: f64,
    /// What hosts expect there.
    expected: Option<f64>,
}

const SERVICE_MS: f64 = 2_000.0;
const SLOTS: u32 = 24;
/// Requests that a server keeps waiting beyond its places.
const WAITING_MAX: usize = 8;

/// Plays ten seconds of it: the part of the requests that is turned away, and the most that any server had
/// at once.
fn trial(Hosts { count, at_once, expected }: Hosts) -> (f64, usize) {
    const SERVERS: usize = 10;
    let mut seed = 7;
    let mut draw = || {
        seed = mix(seed);
        (seed >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut believed = vec![[Engine { slots: SLOTS, ..Engine::default() }; SERVERS]; count];
    let mut heard_at = vec![[0.0; SERVERS]; count];
    let mut under_way: Vec<(f64, usize, usize)> = Vec::new();
    let (mut now, mut all, mut turned_away, mut most) = (0.0, 0.0, 0.0, 0);
    while now < 10_000.0 {
        now += -draw().max(1e-9).ln() * SERVICE_MS / at_once;
        let at = |under_way: &[(f64, usize, usize)], server| {
            under_way.iter().filter(|one| one.2 == server).count()
        };
        while let Some(index) = under_way.iter().position(|one| one.0 <= now) {
            let (ended, host, server) = under_way.swap_remove(index);
            let own = |one: &&(f64, usize, usize)| (one.1, one.2) == (host, server);
            let own = under_way.iter().filter(own).count() as u32;
            let belief = &mut believed[host][server];
            (belief.own, belief.own_then) = (own, own);
            belief.reported = at(&under_way, server) as u32;
            heard_at[host][server] = ended;
        }
        let host = (draw() * count as f64) as usize;
        let mut seen = believed[host];
        for (engine, heard) in seen.iter_mut().zip(heard_at[host]) {
            engine.report_age_ms = (heard > 0.0).then_some((now - heard) as u64);
        }
        let Some(server) = peak::next(&seen, expected, draw()) else { continue };
        all += 1.0;
        if at(&under_way, server) >= SLOTS as usize + WAITING_MAX {
            turned_away += 1.0;
            continue;
        }
        believed[host][server].own += 1;
        under_way.push((now + SERVICE_MS, host, server));
        most = most.max(at(&under_way, server));
    }
    (turned_away / all, most)
}

/// Hundreds of hosts sent a trial's requests to the one server that each believed to have room, and a good
/// version was stopped for those that it turned away.
#[test]
fn next_server_is_not_flooded_by_many_hosts() {
    for count in [1, 10, 100, 300, 1_000] {
        let (turned_away, most) = trial(Hosts { count, at_once: 80.0, expected: Some(80.0) });
        println!("{count} hosts: {turned_away:.3} turned away, {most} at once");
        assert!(turned_away < 0.01, "{count} hosts: {turned_away}");
        assert!(most >= SLOTS as usize / 2, "{count} hosts: {most}");
    }
    // Each by its own belief alone.
    let (turned_away, _) = trial(Hosts { count: 300, at_once: 80.0, expected: Some(0.0) });
    assert!(turned_away > 0.2, "{turned_away}");
}

#[test]
fn expected_follows_from_what_the_version_before_has() {
    let expected = |reported: &[u32]| peak::expected(0.065, 160, reported.iter().copied());
    assert_eq!(expected(&[]), None);
    let some = expected(&[6, 10, 8]).unwrap_or_default();
    assert!((some - 0.065 * 160.0 * 8.0).abs() < 1e-9, "{some}");
}

/// Where a bad version may get more, one that fails unseen got more than that.
#[test]
fn share_of_undetected_version_is_within_any_bound() {
    for allowed in [0.05, EXPOSURE_SHARE_MIN, 0.12, 0.15, 0.3] {
        for within_ms in [12_000, 24_000, 60_000_u64] {
            let shares = (0..within_ms)
                .map(|age_ms| share(Stage::Moving, elapsed(age_ms, within_ms), allowed));
            let part = shares.sum::<f64>() / within_ms as f64;
            assert!(part <= allowed.max(EXPOSURE_SHARE_MIN), "{part} of {allowed}, {within_ms} ms");
        }
        let shares = (0..100).map(|step| share(Stage::Moving, f64::from(step) / 100.0, allowed));
        assert!(shares.is_sorted(), "a session moves once");
    }
    assert!(share(Stage::Trial, 0.7, 0.15) > 2.0 * share(Stage::Trial, 0.7, EXPOSURE_SHARE_MIN));
}

/// A route's answers: the old version's and its slow ones, the new one's before the load of a peak and
/// its slow ones, and those at it with failures and slow ones.
type Answers = ((u32, u32), (u32, u32), (u32, u32, u32));

fn loaded<const N: usize>(routes: [Answers; N]) -> Vec<Evidence> {
    let of = |(old, before, peak): Answers| {
        let peak = Count { answers: peak.0, bad: peak.1, slow: peak.2 };
        let mut new = Count { answers: before.0, bad: 0, slow: before.1 };
        new.add(peak);
        let old = Count { answers: old.0, bad: 0, slow: old.1 };
        Evidence { route: Name::from("r"), old, new, peak, ..Evidence::default() }
    };
    routes.map(of).to_vec()
}

/// Good versions were stopped in 8 of 18 roll-outs, since their one loaded server was slow.
#[test]
fn verdict_slow_under_the_load_of_a_peak_is_no_proof() {
    let good = [
        ((695, 10), (5, 0), (8, 0, 7)),
        ((833, 30), (8, 0), (12, 0, 3)),
        ((476, 4), (4, 0), (4, 0, 4)),
    ];
    assert_eq!(verdict(&loaded(good)), Verdict::Good);
    // One that was slow before is slow.
    let slow = [
        ((695, 10), (12, 6), (8, 0, 7)),
        ((833, 30), (14, 7), (12, 0, 3)),
        ((476, 4), (6, 3), (4, 0, 4)),
    ];
    assert_eq!(verdict(&loaded(slow)), Verdict::Bad);
}

#[test]
fn verdict_fails_under_the_load_of_a_peak() {
    let fails = [
        ((695, 10), (60, 0), (8, 3, 0)),
        ((833, 30), (60, 0), (12, 2, 0)),
        ((476, 4), (60, 0), (4, 1, 0)),
    ];
    assert_eq!(verdict(&loaded(fails)), Verdict::Bad, "its answers before do not outweigh it");
}

/// A route of a service in play.
#[derive(Clone, Copy)]
struct Route {
    /// Its part of all requests.
    part: f64,
    /// Part of its answers that any version fails.
    usual: f64,
}

/// A service in play.
#[derive(Clone, Copy)]
struct Service {
    within_ms: u64,
    allowed: f64,
    per_s: f64,
    /// Part of answers that a version bad under load fails in the time of [`is_peak`], and of those
    /// with all requests.
    fails: (f64, f64),
    routes: &'static [Route],
}

/// An engine's service, whose trial loads one server.
const ENGINES: Service = Service {
    within_ms: 20_000,
    allowed: 0.15,
    per_s: 100.0,
    fails: (0.12, 0.0),
    routes: &[
        Route { part: 0.4, usual: 0.002 },
        Route { part: 0.35, usual: 0.002 },
        Route { part: 0.25, usual: 0.002 },
    ],
};
/// A plain service: few requests, and one server has the load of a peak with all of them only.
const PLAIN: Service = Service {
    within_ms: 20_000,
    allowed: 0.15,
    per_s: 34.0,
    fails: (0.03, 0.22),
    routes: &[
        Route { part: 0.58, usual: 0.004 },
        Route { part: 0.31, usual: 0.26 },
        Route { part: 0.08, usual: 0.0 },
        Route { part: 0.03, usual: 0.0 },
    ],
};
/// How much later than an answer its count is known to whoever decides, in milliseconds.
const TOLD_LATER_MS: u64 = 200;

/// A uniform draw from 0 to 1.
fn draw(seed: u64) -> f64 {
    (mix(seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// How a roll-out ends.
fn play(service: &Service, is_bad: bool, seed: u64) -> Stage {
    let mut stage = Stage::Trial;
    let requests = (service.per_s * service.within_ms as f64 / 1_000.0) as u64;
    let names = ["a", "b", "c", "d"].map(Name::from);
    let blank = |route: &Name| Evidence { route: route.clone(), ..Evidence::default() };
    let mut told: Vec<_> = names[..service.routes.len()].iter().map(blank).collect();
    let mut untold = std::collections::VecDeque::new();
    for number in 0..requests {
        let at_ms = number * service.within_ms / requests;
        let elapsed = elapsed(at_ms, service.within_ms);
        let share = share(stage, elapsed, service.allowed);
        let is_new = draw(seed ^ mix(number)) < share;
        let kind = draw(seed ^ mix(number ^ 1 << 40));
        let route = service.routes.iter().scan(0.0, |sum, route| {
            *sum += route.part;
            Some(*sum)
        });
        let route = route.take_while(|sum| *sum < kind).count().min(service.routes.len() - 1);
        let more = match (is_bad && is_new, share >= 1.0) {
            (true, true) => service.fails.1,
            (true, false) if is_peak(elapsed, service.within_ms) => service.fails.0,
            _ => 0.0,
        };
        let usual = service.routes[route].usual;
        let fails = usual + (1.0 - usual) * more;
        let sign = match draw(seed ^ mix(number ^ 1 << 41)) < fails {
            true => Outcome::Failed,
            false => Outcome::Good,
        };
        untold.push_back((at_ms + TOLD_LATER_MS, route, is_new, share >= 1.0, elapsed, sign));
        while let Some((at, route, is_new, is_full, elapsed, sign)) = untold.front().copied()
            && at <= at_ms
        {
            untold.pop_front();
            let one: &mut Evidence = &mut told[route];
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
            stage = next(stage, elapsed, verdict(&told)).unwrap_or(stage);
        }
    }
    stage
}

/// How many of so many roll-outs are declared done.
fn done(service: &Service, is_bad: bool, seeds: u64) -> usize {
    (0..seeds).filter(|seed| play(service, is_bad, mix(*seed)) == Stage::Done).count()
}

/// A version that failed at half of its servers' places was declared done: on a small share, spread
/// over servers, it never met that.
#[test]
fn play_engines_bad_under_load_are_stopped() {
    let (good, bad) = (done(&ENGINES, false, 2_000), done(&ENGINES, true, 2_000));
    assert!(good >= 1_990, "{good} good ones of 2,000 done");
    assert!(bad <= 60, "{bad} bad ones of 2,000 done");
}

/// With few answers at full load, one in five or six bad versions is declared done: to find more of
/// them would stop good ones. As many good ones are late as by the verdict without load.
#[test]
fn play_plain_service_bad_under_load_is_mostly_stopped() {
    let (good, bad) = (done(&PLAIN, false, 2_000), done(&PLAIN, true, 2_000));
    assert!(good >= 1_870, "{good} good ones of 2,000 done");
    assert!(bad <= 420, "{bad} bad ones of 2,000 done");
}
