//! How long answers are waited for, and what one slow answer does to that.

use policy::patience::Patience;
use policy::time::Millis;

const START: Millis = Millis(1_000_000);

fn steady(ms: f64) -> Patience {
    let mut patience = Patience::default();
    (0..50).for_each(|step| patience.note(ms, START + step));
    patience
}

#[test]
fn wait_ms_nothing_known() {
    assert_eq!(Patience::default().wait_ms(60.0, 300.0), 300.0);
}

#[test]
fn wait_ms_steady_answers() {
    assert!(steady(20.0).wait_ms(10.0, 300.0) < 30.0);
    assert_eq!(steady(20.0).wait_ms(60.0, 300.0), 60.0);
}

#[test]
fn wait_ms_grows_with_cuts() {
    let mut patience = steady(20.0);
    let before = patience.wait_ms(10.0, 3_000.0);
    (0..20).for_each(|step| patience.note_cut(200.0, START + 60 + step));
    assert!(patience.wait_ms(10.0, 3_000.0) > before * 5.0);
}

/// The larger model's first answer takes 1.4 s. Doubtful answers are then kept from it, so no
/// second answer can show that it is usually faster; the caller gets poor answers for the rest of
/// the day. The estimate must lose its weight by itself.
#[test]
fn faded_ms_slow_first_answer() {
    let mut patience = Patience::default();
    patience.note(1_400.0, START);
    assert!(patience.faded_ms(500.0, START + 10) > 1_300.0);
    assert!(patience.faded_ms(500.0, START + 6_000) < 200.0);
}
