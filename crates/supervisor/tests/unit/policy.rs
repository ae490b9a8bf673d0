//! Restart backoff.

use super::*;

#[test]
fn backoff_doubles_up_to_max_and_jitter_shortens_it() {
    let restart = Restart::default();
    let full: Vec<u128> = (1..=10).map(|n| restart.backoff(n, 0.0).as_millis()).collect();
    assert_eq!(full, [200, 400, 800, 1600, 3200, 6400, 12800, 25600, 30000, 30000]);
    for failures in 1..=10 {
        let ratio =
            restart.backoff(failures, 1.0).as_secs_f64() / restart.backoff(failures, 0.0).as_secs_f64();
        assert!((ratio - 0.75).abs() < 1e-6, "{ratio}");
    }
    assert_eq!(restart.backoff(u32::MAX, 0.0), restart.max);
}
