//! Simulation of the prompts that an engine still has to read.

use policy::backlog::{Backlog, Prompt};
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

fn prompt(rank: u8, read_ms: f64) -> Prompt {
    Prompt { rank, read_ms }
}

#[test]
fn wait_ms_sums_prompts_and_falls_with_time() {
    let mut backlog = Backlog::default();
    assert_eq!(backlog.wait_ms(5, START), 0.0);
    backlog.add_announced(prompt(5, 300.0), START);
    backlog.add_announced(prompt(5, 200.0), START + 100);
    assert_eq!(backlog.wait_ms(5, START + 100), 400.0);
    assert_eq!(backlog.wait_ms(5, START + 600), 0.0);
    backlog.add_announced(prompt(5, 50.0), START + 5_000);
    assert_eq!(backlog.wait_ms(5, START + 5_000), 50.0);
}

#[test]
fn wait_ms_is_bounded() {
    let mut backlog = Backlog::default();
    (0..1_000).for_each(|_| backlog.add_announced(prompt(5, 1_000.0), START));
    assert_eq!(backlog.wait_ms(5, START), 10_000.0);
}

#[test]
fn wait_ms_urgent_prompt_overtakes_all_but_the_one_being_read() {
    let mut backlog = Backlog::default();
    backlog.add_announced(prompt(7, 1_000.0), START);
    backlog.add_announced(prompt(7, 2_000.0), START + 10);
    backlog.add_announced(prompt(4, 30.0), START + 20);
    assert_eq!(backlog.wait_ms(3, START + 100), 900.0);
    assert_eq!(backlog.wait_ms(4, START + 100), 930.0);
    assert_eq!(backlog.wait_ms(7, START + 100), 2_930.0);
    // The engine read the urgent prompt next, and then began the second long one.
    assert_eq!(backlog.wait_ms(3, START + 1_130), 1_900.0);
}

#[test]
fn wait_ms_late_answer_reveals_an_unannounced_prompt() {
    let mut backlog = Backlog::default();
    let number = backlog.add_own(prompt(5, 100.0), START);
    assert_eq!(backlog.wait_ms(5, START + 100), 0.0);
    // One step of the engine and the network round trip don't count as lateness.
    assert_eq!(backlog.wait_ms(5, START + 125), 0.0);
    // Something has delayed the engine for half a second, and may do so for as long again.
    assert_eq!(backlog.wait_ms(5, START + 630), 500.0);
    backlog.record_answer_start(number, START + 630);
    assert_eq!(backlog.wait_ms(5, START + 630), 0.0);
}

#[test]
fn late_ms_is_zero_while_waiting_behind_urgent_prompts() {
    let mut backlog = Backlog::default();
    backlog.add_own(prompt(3, 400.0), START);
    backlog.add_own(prompt(6, 10.0), START);
    backlog.add_announced(prompt(3, 400.0), START + 1);
    assert_eq!(backlog.late_ms(START + 400), 0.0);
}

#[test]
fn record_answer_start_late_answer_delays_the_simulation() {
    // A prompt that nobody announced kept the engine busy for a second. When the first answer
    // begins, the engine still has to read the prompt sent after it.
    let mut backlog = Backlog::default();
    let first = backlog.add_own(prompt(5, 50.0), START);
    backlog.add_announced(prompt(5, 300.0), START + 1_000);
    assert!(backlog.wait_ms(5, START + 1_040) > 1_000.0);
    backlog.record_answer_start(first, START + 1_050);
    assert_eq!(backlog.wait_ms(5, START + 1_050), 300.0);
}

#[test]
fn record_answer_start_early_answer_completes_earlier_prompts() {
    // The prompt that another host announced was cached by the engine and took no time to read.
    let mut backlog = Backlog::default();
    backlog.add_announced(prompt(5, 2_000.0), START);
    let own = backlog.add_own(prompt(5, 20.0), START + 10);
    backlog.add_announced(prompt(6, 40.0), START + 20);
    backlog.record_answer_start(own, START + 40);
    assert_eq!(backlog.wait_ms(5, START + 40), 40.0);
}

#[test]
fn record_answer_start_discards_overtaken_prompts() {
    // The answer to the first prompt is lost on the way. The answer to the second prompt, which
    // the engine read later, shows that nothing delays the engine.
    let mut backlog = Backlog::default();
    backlog.add_own(prompt(5, 20.0), START);
    let second = backlog.add_own(prompt(5, 20.0), START + 500);
    assert!(backlog.wait_ms(5, START + 540) > 400.0);
    backlog.record_answer_start(second, START + 540);
    assert_eq!(backlog.wait_ms(5, START + 540), 0.0);
}

#[test]
fn remove_ends_waiting_for_the_answer() {
    let mut backlog = Backlog::default();
    let due = backlog.add_own(prompt(5, 20.0), START);
    backlog.remove(due);
    assert_eq!(backlog.late_ms(START + 2_000), 0.0);
    backlog.add_announced(prompt(5, 500.0), START + 2_000);
    let waiting = backlog.add_own(prompt(5, 300.0), START + 2_000);
    backlog.remove(waiting);
    assert_eq!(backlog.wait_ms(5, START + 2_000), 500.0);
}
