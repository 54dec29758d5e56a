//! What an engine has still to read.

use policy::backlog::{Backlog, Prompt};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

fn prompt(rank: u8, read_ms: f64) -> Prompt {
    Prompt { rank, read_ms }
}

#[test]
fn wait_ms_prompts_add_up_and_pass() {
    let mut backlog = Backlog::default();
    assert_eq!(backlog.wait_ms(5, START), 0.0);
    backlog.announced(prompt(5, 300.0), START);
    backlog.announced(prompt(5, 200.0), START + 100);
    assert_eq!(backlog.wait_ms(5, START + 100), 400.0);
    assert_eq!(backlog.wait_ms(5, START + 600), 0.0);
    backlog.announced(prompt(5, 50.0), START + 5_000);
    assert_eq!(backlog.wait_ms(5, START + 5_000), 50.0);
}

#[test]
fn wait_ms_is_bounded() {
    let mut backlog = Backlog::default();
    (0..1_000).for_each(|_| backlog.announced(prompt(5, 1_000.0), START));
    assert_eq!(backlog.wait_ms(5, START), 10_000.0);
}

#[test]
fn wait_ms_urgent_prompt_passes_all_but_the_one_being_read() {
    let mut backlog = Backlog::default();
    backlog.announced(prompt(7, 1_000.0), START);
    backlog.announced(prompt(7, 2_000.0), START + 10);
    backlog.announced(prompt(4, 30.0), START + 20);
    assert_eq!(backlog.wait_ms(3, START + 100), 900.0);
    assert_eq!(backlog.wait_ms(4, START + 100), 930.0);
    assert_eq!(backlog.wait_ms(7, START + 100), 2_930.0);
    // The urgent one was read next, and then the other long one.
    assert_eq!(backlog.wait_ms(3, START + 1_130), 1_900.0);
}

#[test]
fn wait_ms_answer_that_is_late_shows_an_unknown_prompt() {
    let mut backlog = Backlog::default();
    let number = backlog.sent(prompt(5, 100.0), START);
    assert_eq!(backlog.wait_ms(5, START + 100), 0.0);
    // An engine's step and the way there and back are no lateness.
    assert_eq!(backlog.wait_ms(5, START + 125), 0.0);
    // It has been kept for half a second by something, and may be for as long again.
    assert_eq!(backlog.wait_ms(5, START + 630), 500.0);
    backlog.began(number, START + 630);
    assert_eq!(backlog.wait_ms(5, START + 630), 0.0);
}

#[test]
fn wait_ms_waiting_behind_urgent_ones_is_not_late() {
    let mut backlog = Backlog::default();
    backlog.sent(prompt(3, 400.0), START);
    backlog.sent(prompt(6, 10.0), START);
    backlog.announced(prompt(3, 400.0), START + 1);
    assert_eq!(backlog.late_ms(START + 400), 0.0);
}

#[test]
fn began_late_answer_sets_the_engine_back() {
    // The engine was kept for a second by a prompt that nobody announced. When the first answer
    // comes, what was sent behind it is still to be read.
    let mut backlog = Backlog::default();
    let first = backlog.sent(prompt(5, 50.0), START);
    backlog.announced(prompt(5, 300.0), START + 1_000);
    assert!(backlog.wait_ms(5, START + 1_040) > 1_000.0);
    backlog.began(first, START + 1_050);
    assert_eq!(backlog.wait_ms(5, START + 1_050), 300.0);
}

#[test]
fn began_early_answer_ends_all_before_it() {
    // The prompt that another host told of was in the cache: it took no time.
    let mut backlog = Backlog::default();
    backlog.announced(prompt(5, 2_000.0), START);
    let own = backlog.sent(prompt(5, 20.0), START + 10);
    backlog.announced(prompt(6, 40.0), START + 20);
    backlog.began(own, START + 40);
    assert_eq!(backlog.wait_ms(5, START + 40), 40.0);
}

#[test]
fn began_answer_that_was_overtaken_says_nothing() {
    // The engine's answer to the first prompt is lost on the way. One that it read after it
    // answers, so the engine is not kept by anything.
    let mut backlog = Backlog::default();
    backlog.sent(prompt(5, 20.0), START);
    let second = backlog.sent(prompt(5, 20.0), START + 500);
    assert!(backlog.wait_ms(5, START + 540) > 400.0);
    backlog.began(second, START + 540);
    assert_eq!(backlog.wait_ms(5, START + 540), 0.0);
}

#[test]
fn dropped_prompt_is_not_waited_for() {
    let mut backlog = Backlog::default();
    let due = backlog.sent(prompt(5, 20.0), START);
    backlog.dropped(due);
    assert_eq!(backlog.late_ms(START + 2_000), 0.0);
    backlog.announced(prompt(5, 500.0), START + 2_000);
    let waiting = backlog.sent(prompt(5, 300.0), START + 2_000);
    backlog.dropped(waiting);
    assert_eq!(backlog.wait_ms(5, START + 2_000), 500.0);
}
