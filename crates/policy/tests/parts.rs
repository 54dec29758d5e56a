//! Parts of prompts that end the servers that begin to answer on them, their victims, and parts that
//! only come with them.

use policy::name::Name;
use policy::poison::registry::Source;
use policy::poison::{
    Answer, Attempt, Crash, Digest, Fingerprint, Kind, Registry, Suspect, Verdict,
};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);
const DEADLY: Digest = Digest(7);
const BESIDE: Digest = Digest(8);

/// The only request with this number, with these parts.
fn request(number: u64, parts: &[Digest]) -> Fingerprint {
    let request = Fingerprint::from_request(Digest(1_000_000 + number)).with_parts(parts);
    Fingerprint { service: Name::from("pool"), ..request }
}

fn run(request: Fingerprint, server: u64) -> Attempt {
    Attempt { request, server: Name::from(format!("server-{server}")), born: 0, is_early: true }
}

fn lose(book: &mut Registry, run: Attempt, now: Millis) {
    let server = run.server.clone();
    book.record_loss(run, now);
    book.record_server_end(&server, now);
}

/// Requests of which no two are alike are lost with one server each.
fn lose_each(book: &mut Registry, parts: &[Digest], servers: std::ops::Range<u64>) {
    for server in servers {
        lose(book, run(request(server, parts), server), START + server);
    }
}

fn verdict(book: &Registry, number: u64, parts: &[Digest], now: Millis) -> Verdict {
    book.judge(&request(number, parts), now).verdict
}

#[test]
fn judge_holds_requests_with_a_part_that_three_servers_ended_under() {
    let mut book = Registry::default();
    lose_each(&mut book, &[DEADLY], 0..2);
    assert_eq!(verdict(&book, 99, &[DEADLY], START + 10), Verdict::Run);
    lose_each(&mut book, &[DEADLY], 2..3);
    assert_eq!(verdict(&book, 99, &[Digest(1), DEADLY], START + 2), Verdict::Hold(60_000));
    assert_eq!(verdict(&book, 99, &[Digest(1)], START + 2), Verdict::Run);
}

/// Guards against sound requests refused for a part that all have: its answers speak for it.
#[test]
fn judge_holds_no_part_that_is_answered_elsewhere() {
    let mut book = Registry::default();
    book.record_answer(&request(1, &[BESIDE]), Answer::Whole, START - 5_000);
    lose_each(&mut book, &[BESIDE, DEADLY], 0..5);
    assert_eq!(verdict(&book, 99, &[BESIDE], START + 10), Verdict::Run);
    assert!(matches!(verdict(&book, 99, &[BESIDE, DEADLY], START + 10), Verdict::Hold(_)));
}

/// Guards against a part held for good that never came without the deadly one: one request without that
/// shows which it is.
#[test]
fn judge_tries_a_request_that_has_one_of_two_parts_lost_together() {
    let mut book = Registry::default();
    lose_each(&mut book, &[BESIDE, DEADLY], 0..4);
    let now = START + 10;
    let trial = Verdict::Trial { servers: 2, alone_ms: 2_000 };
    assert_eq!(verdict(&book, 99, &[BESIDE], now), trial);
    assert!(matches!(verdict(&book, 99, &[BESIDE, DEADLY], now), Verdict::Hold(_)));
    book.record_answer(&request(99, &[BESIDE]), Answer::Whole, now);
    assert_eq!(verdict(&book, 100, &[BESIDE], now + 1), Verdict::Run);
    assert!(matches!(verdict(&book, 100, &[DEADLY], now + 1), Verdict::Hold(_)));
    // The other way: the request with the deadly one ends a fifth server.
    let mut book = Registry::default();
    lose_each(&mut book, &[BESIDE, DEADLY], 0..4);
    lose_each(&mut book, &[DEADLY], 4..5);
    assert_eq!(verdict(&book, 99, &[BESIDE], now), Verdict::Run);
    assert!(matches!(verdict(&book, 99, &[DEADLY], now), Verdict::Hold(_)));
}

/// Guards against victims that are held: what ended more servers explains what they were lost with.
#[test]
fn judge_holds_no_victim_of_a_part() {
    let mut book = Registry::default();
    let victim = request(50, &[Digest(3)]);
    for server in 0..4 {
        book.record_loss(run(victim.clone(), server), START + server);
        lose(&mut book, run(request(server, &[DEADLY]), server), START + server);
    }
    lose_each(&mut book, &[DEADLY], 4..5);
    assert_eq!(book.judge(&victim, START + 10).verdict, Verdict::Run);
}

#[test]
fn judge_holds_two_deadly_parts() {
    let mut book = Registry::default();
    lose_each(&mut book, &[DEADLY], 0..5);
    lose_each(&mut book, &[BESIDE], 5..8);
    for part in [DEADLY, BESIDE] {
        assert!(matches!(verdict(&book, 99, &[part], START + 10), Verdict::Hold(_)));
    }
}

/// Guards against a part that is cleared by an answer that a server's end cut short.
#[test]
fn answer_that_may_be_cut_short_clears_nothing() {
    let mut book = Registry::default();
    lose_each(&mut book, &[DEADLY], 0..3);
    for answer in [Answer::Unframed, Answer::Failure] {
        book.record_answer(&request(99, &[DEADLY]), answer, START + 5);
        assert!(matches!(verdict(&book, 99, &[DEADLY], START + 10), Verdict::Hold(_)));
    }
}

/// A server ends of a part when it begins to answer, so one that was answering for long ended of another.
#[test]
fn run_answered_for_long_clears_its_parts() {
    let mut book = Registry::default();
    lose_each(&mut book, &[DEADLY], 0..3);
    lose(&mut book, Attempt { is_early: false, ..run(request(9, &[DEADLY]), 9) }, START + 9);
    assert_eq!(verdict(&book, 99, &[DEADLY], START + 10), Verdict::Run);
}

/// Guards against parts that all requests have being held after their service was down for long, its
/// servers ending again and again.
#[test]
fn ends_of_a_service_that_answers_nothing_speak_against_no_part() {
    let mut book = Registry::default();
    book.record_answer(&request(0, &[BESIDE]), Answer::Whole, START);
    for number in 0..200 {
        lose(&mut book, run(request(number, &[BESIDE]), number), START + number * 1_000);
    }
    assert_eq!(verdict(&book, 999, &[BESIDE], START + 200_000), Verdict::Run);
}

/// Guards against a deadly part that is overlooked since many are lost with each server.
#[test]
fn many_lost_with_each_server_hide_no_part() {
    let mut book = Registry::default();
    for server in 0..3 {
        for victim in 0..40 {
            let number = server * 100 + victim;
            book.record_loss(run(request(number, &[Digest(5_000 + number)]), server), START);
        }
        lose(&mut book, run(request(server, &[DEADLY]), server), START + server);
    }
    assert!(matches!(verdict(&book, 999, &[DEADLY], START + 10), Verdict::Hold(_)));
}

/// Guards against a part that is held for a day because its requests were under way when it was found.
#[test]
fn ends_while_a_part_is_held_make_the_hold_no_longer() {
    let mut book = Registry::default();
    lose_each(&mut book, &[DEADLY], 0..8);
    let trial = Verdict::Trial { servers: 8, alone_ms: 60_000 };
    assert_eq!(verdict(&book, 99, &[DEADLY], START + 2 + 60_000), trial);
}

/// Guards against one end that counts twice, as it is told by hosts whose clocks differ.
#[test]
fn end_told_with_another_time_counts_once() {
    let mut book = Registry::default();
    for at in [START, START + 1_500, START + 4_000] {
        let crash = Crash { server: Name::from("server-1"), born: 0, at, is_early: true };
        let told = Suspect { crashes: vec![crash], ..Suspect::new(DEADLY) };
        book.learn(&told.with_kind(Kind::Part), Source::Store, START + 5_000);
    }
    assert_eq!(book.suspect(DEADLY).unwrap().crashes.len(), 1);
}

/// Guards against a sound part that stays suspect where others had lost it: who has answered it says so.
#[test]
fn host_that_answered_a_part_tells_those_that_suspect_it() {
    let mut book = Registry::default();
    book.record_answer(&request(1, &[BESIDE]), Answer::Whole, START);
    let crash = Crash { server: Name::from("server-1"), born: 0, at: START + 10, is_early: true };
    let told = Suspect { crashes: vec![crash], ..Suspect::new(BESIDE) }.with_kind(Kind::Part);
    book.learn(&told, Source::Peer, START + 20);
    let said = book.take_for_peers(START + 20);
    assert!(said.iter().any(|said| said.digest == BESIDE && said.answered_at == Some(START)));
}
