//! Heartbeats in failure domains of one to ten thousand hosts.

use policy::heartbeat::{forget_ms, interval_ms, timeout_ms};

/// Guards against hosts that spend their time on each other's heartbeats.
#[test]
fn interval_ms_bounds_the_received_heartbeats() {
    for others in [0, 1, 49, 128, 195, 400, 1_000, 10_000] {
        let received_per_s = others as f64 * 1_000.0 / interval_ms(others) as f64;
        assert!(received_per_s <= 40.0, "{others} {received_per_s}");
        assert!(interval_ms(others) >= 5_000);
        assert!(
            timeout_ms(others) > 2 * interval_ms(others) && forget_ms(others) > timeout_ms(others)
        );
    }
    assert_eq!(timeout_ms(195), 12_000);
}
