//! What an engine has still to read.

use policy::reading::Reading;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

#[test]
fn left_ms_prompts_add_up_and_pass() {
    let mut reading = Reading::default();
    assert_eq!(reading.left_ms(START), 0.0);
    reading.add(300.0, START);
    reading.add(200.0, START + 100);
    assert_eq!(reading.left_ms(START + 100), 400.0);
    assert_eq!(reading.left_ms(START + 600), 0.0);
    reading.add(50.0, START + 5_000);
    assert_eq!(reading.left_ms(START + 5_000), 50.0);
}

#[test]
fn left_ms_is_bounded() {
    let mut reading = Reading::default();
    (0..1_000).for_each(|_| reading.add(1_000.0, START));
    assert_eq!(reading.left_ms(START), 10_000.0);
}
