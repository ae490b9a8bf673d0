//! Detection of stalls, and the deferral of decisions after one.

use bellcroft_agent_core::stall::*;
use bellcroft_balancer::Time;

#[test]
fn decisions_are_deferred_until_the_list_or_the_timeout() {
    let at = |ms: f64| Time::from_ms(ms);
    let mut detector = StallDetector::new(at(0.0));
    assert!(!detector.heartbeat(at(999.0)) && detector.deferred_until(at(999.0)).is_none());
    assert!(detector.heartbeat(at(6_000.0)));
    assert_eq!(detector.deferred_until(at(6_249.0)), Some(at(6_250.0)));
    assert_eq!(
        detector.deferred_until(at(6_250.0)),
        None,
        "the timeout ends the deferral if discovery is unreachable"
    );
    assert!(!detector.heartbeat(at(6_300.0)));
    assert!(detector.heartbeat(at(8_000.0)));
    detector.on_endpoint_list();
    assert_eq!((detector.deferred_until(at(8_001.0)), detector.stalls()), (None, 2));
}
