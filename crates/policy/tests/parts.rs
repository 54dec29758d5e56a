//! Parts of prompts that crash the servers that begin to answer them, their victims, and parts that
//! only occur together with them.

use policy::name::Name;
use policy::poison::registry::Source;
use policy::poison::{
    Answer, Attempt, Crash, Digest, Fingerprint, Kind, Registry, Suspect, Verdict,
};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const DEADLY: Digest = Digest(7);
const COMPANION: Digest = Digest(8);

/// A request with a digest of its own and a prompt of these parts.
fn request(number: u64, parts: &[Digest]) -> Fingerprint {
    let request = Fingerprint::from_request(Digest(1_000_000 + number)).with_parts(parts);
    Fingerprint { service: Name::from("pool"), ..request }
}

fn attempt(request: Fingerprint, server: u64) -> Attempt {
    Attempt { request, server: Name::from(format!("server-{server}")), born: 0, is_early: true }
}

fn lose(registry: &mut Registry, attempt: Attempt, now: Millis) {
    let server = attempt.server.clone();
    registry.record_loss(attempt, now);
    registry.record_server_end(&server, now);
}

/// Records that a different request with these parts is lost with each of the servers.
fn lose_each(registry: &mut Registry, parts: &[Digest], servers: std::ops::Range<u64>) {
    for server in servers {
        lose(registry, attempt(request(server, parts), server), START + server);
    }
}

fn verdict(registry: &Registry, number: u64, parts: &[Digest], now: Millis) -> Verdict {
    registry.judge(&request(number, parts), now).verdict
}

#[test]
fn judge_holds_requests_with_a_part_that_three_servers_ended_under() {
    let mut registry = Registry::default();
    lose_each(&mut registry, &[DEADLY], 0..2);
    assert_eq!(verdict(&registry, 99, &[DEADLY], START + 10), Verdict::Run);
    lose_each(&mut registry, &[DEADLY], 2..3);
    assert_eq!(verdict(&registry, 99, &[Digest(1), DEADLY], START + 2), Verdict::Hold(60_000));
    assert_eq!(verdict(&registry, 99, &[Digest(1)], START + 2), Verdict::Run);
}

/// Guards against harmless requests being held for a part that all requests contain: its answers
/// clear it.
#[test]
fn judge_holds_no_part_answered_in_other_requests() {
    let mut registry = Registry::default();
    registry.record_answer(&request(1, &[COMPANION]), Answer::Whole, START - 5_000);
    lose_each(&mut registry, &[COMPANION, DEADLY], 0..5);
    assert_eq!(verdict(&registry, 99, &[COMPANION], START + 10), Verdict::Run);
    assert!(matches!(verdict(&registry, 99, &[COMPANION, DEADLY], START + 10), Verdict::Hold(_)));
}

/// Guards against a harmless part being held for good because it always occurred with the deadly
/// one: a trial of a request without the deadly part shows which one is the cause.
#[test]
fn judge_allows_a_trial_of_one_of_two_parts_lost_together() {
    let mut registry = Registry::default();
    lose_each(&mut registry, &[COMPANION, DEADLY], 0..4);
    let now = START + 10;
    let trial = Verdict::Trial { servers: 2, alone_ms: 2_000 };
    assert_eq!(verdict(&registry, 99, &[COMPANION], now), trial);
    assert!(matches!(verdict(&registry, 99, &[COMPANION, DEADLY], now), Verdict::Hold(_)));
    registry.record_answer(&request(99, &[COMPANION]), Answer::Whole, now);
    assert_eq!(verdict(&registry, 100, &[COMPANION], now + 1), Verdict::Run);
    assert!(matches!(verdict(&registry, 100, &[DEADLY], now + 1), Verdict::Hold(_)));
    // Conversely, a request with only the deadly part crashes a fifth server.
    let mut registry = Registry::default();
    lose_each(&mut registry, &[COMPANION, DEADLY], 0..4);
    lose_each(&mut registry, &[DEADLY], 4..5);
    assert_eq!(verdict(&registry, 99, &[COMPANION], now), Verdict::Run);
    assert!(matches!(verdict(&registry, 99, &[DEADLY], now), Verdict::Hold(_)));
}

/// Guards against victims being held: a suspect with more crashed servers explains their losses.
#[test]
fn judge_holds_no_victim_of_a_part() {
    let mut registry = Registry::default();
    let victim = request(50, &[Digest(3)]);
    for server in 0..4 {
        registry.record_loss(attempt(victim.clone(), server), START + server);
        lose(&mut registry, attempt(request(server, &[DEADLY]), server), START + server);
    }
    lose_each(&mut registry, &[DEADLY], 4..5);
    assert_eq!(registry.judge(&victim, START + 10).verdict, Verdict::Run);
}

#[test]
fn judge_holds_two_deadly_parts() {
    let mut registry = Registry::default();
    lose_each(&mut registry, &[DEADLY], 0..5);
    lose_each(&mut registry, &[COMPANION], 5..8);
    for part in [DEADLY, COMPANION] {
        assert!(matches!(verdict(&registry, 99, &[part], START + 10), Verdict::Hold(_)));
    }
}

/// Guards against a part being cleared by an answer that a crash may have cut short.
#[test]
fn record_answer_that_may_be_cut_short_clears_no_part() {
    let mut registry = Registry::default();
    lose_each(&mut registry, &[DEADLY], 0..3);
    for answer in [Answer::Unframed, Answer::Failure] {
        registry.record_answer(&request(99, &[DEADLY]), answer, START + 5);
        assert!(matches!(verdict(&registry, 99, &[DEADLY], START + 10), Verdict::Hold(_)));
    }
}

/// A part crashes a server that begins to answer, so a server that was answering for long ended for
/// another reason.
#[test]
fn record_loss_late_in_the_answer_clears_the_parts() {
    let mut registry = Registry::default();
    lose_each(&mut registry, &[DEADLY], 0..3);
    lose(
        &mut registry,
        Attempt { is_early: false, ..attempt(request(9, &[DEADLY]), 9) },
        START + 9,
    );
    assert_eq!(verdict(&registry, 99, &[DEADLY], START + 10), Verdict::Run);
}

/// Guards against parts that all requests contain being held after their service was down for long,
/// with its servers crashing again and again.
#[test]
fn judge_holds_no_part_of_a_service_that_is_down() {
    let mut registry = Registry::default();
    registry.record_answer(&request(0, &[COMPANION]), Answer::Whole, START);
    for number in 0..200 {
        lose(&mut registry, attempt(request(number, &[COMPANION]), number), START + number * 1_000);
    }
    assert_eq!(verdict(&registry, 999, &[COMPANION], START + 200_000), Verdict::Run);
}

/// Guards against a deadly part being overlooked because many parts are lost with each server.
#[test]
fn judge_holds_a_part_among_many_victims() {
    let mut registry = Registry::default();
    for server in 0..3 {
        for victim in 0..40 {
            let number = server * 100 + victim;
            registry
                .record_loss(attempt(request(number, &[Digest(5_000 + number)]), server), START);
        }
        lose(&mut registry, attempt(request(server, &[DEADLY]), server), START + server);
    }
    assert!(matches!(verdict(&registry, 999, &[DEADLY], START + 10), Verdict::Hold(_)));
}

/// Guards against a part being held for a day because its requests were in flight when it was
/// found.
#[test]
fn judge_crashes_during_a_hold_make_it_no_longer() {
    let mut registry = Registry::default();
    lose_each(&mut registry, &[DEADLY], 0..8);
    let trial = Verdict::Trial { servers: 8, alone_ms: 60_000 };
    assert_eq!(verdict(&registry, 99, &[DEADLY], START + 2 + 60_000), trial);
}

/// Guards against one crash counting twice because hosts with different clocks report it.
#[test]
fn learn_crash_with_another_time_counts_once() {
    let mut registry = Registry::default();
    for at in [START, START + 1_500, START + 4_000] {
        let crash = Crash { server: Name::from("server-1"), born: 0, at, is_early: true };
        let report = Suspect { crashes: vec![crash], ..Suspect::new(DEADLY) };
        registry.learn(&report.with_kind(Kind::Part), Source::Store, START + 5_000);
    }
    assert_eq!(registry.suspect(DEADLY).unwrap().crashes.len(), 1);
}

/// Guards against a harmless part staying suspect at other hosts: a host that has answered it tells
/// them.
#[test]
fn take_for_peers_has_the_answer_of_a_part_that_others_suspect() {
    let mut registry = Registry::default();
    registry.record_answer(&request(1, &[COMPANION]), Answer::Whole, START);
    let crash = Crash { server: Name::from("server-1"), born: 0, at: START + 10, is_early: true };
    let report = Suspect { crashes: vec![crash], ..Suspect::new(COMPANION) }.with_kind(Kind::Part);
    registry.learn(&report, Source::Peer, START + 20);
    let sent = registry.take_for_peers(START + 20);
    assert!(sent.iter().any(|sent| sent.digest == COMPANION && sent.answered_at == Some(START)));
}
