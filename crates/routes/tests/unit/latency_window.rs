//! The latency window: percentiles, the minimum number of samples, and eviction.

use super::*;

#[test]
fn percentile_covers_recent_samples_from_the_minimum_on() {
    let window = LatencyWindow::default();
    for ms in 1..20 {
        window.add(Micros::from_ms(f64::from(ms)));
        assert_eq!(window.percentile(50.0), None);
    }
    window.add(Micros::from_ms(20.0));
    assert_eq!(window.percentile(50.0), Some(Micros::from_ms(10.0)));
    assert_eq!(window.percentile(95.0), Some(Micros::from_ms(19.0)));
    assert_eq!(window.percentile(100.0), Some(Micros::from_ms(20.0)));
    assert_eq!(window.percentile(0.0), Some(Micros::from_ms(1.0)));
    for _ in 0..MAX_SAMPLES {
        window.add(Micros::from_ms(7.0));
    }
    assert_eq!(window.percentile(1.0), Some(Micros::from_ms(7.0)), "old samples are evicted");
}
