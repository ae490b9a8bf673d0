//! Minimal and invalid settings.
mod common;
use bellcroft_balancer::*;
use common::*;

#[test]
fn invalid_settings_are_rejected() {
    let with = |change: fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(with(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(with(|s| s.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(
        with(|s| s.classes[0].latency_objective = Micros::ZERO),
        Some(SettingsError::ZeroDuration { setting: "aim" })
    );
    assert_eq!(
        with(|s| s.classes[0].deadline = Micros::ZERO),
        Some(SettingsError::ZeroDuration { setting: "deadline" })
    );
    let keyed = with(|s| {
        s.classes[0].retry_safety = RetrySafety::Deduplicated { scope: DedupScope::All, window: Micros::ZERO }
    });
    assert_eq!(keyed, Some(SettingsError::ZeroDuration { setting: "dedup window" }));
    for fraction in [1.5, -0.1, f64::NAN] {
        let tenants = vec![Tenant { fraction, ..Tenant::default() }];
        let wrong = Balancer::new(Settings { tenants, ..Settings::default() }, 1).err();
        assert!(matches!(wrong, Some(SettingsError::InvalidFraction { .. })), "{fraction}");
    }
    assert!(matches!(with(|s| s.initial_capacity = f64::NAN), Some(SettingsError::InvalidNumber { .. })));
    assert!(matches!(with(|s| s.overload_factor = -1.0), Some(SettingsError::InvalidNumber { .. })));
    assert!(matches!(
        with(|s| s.classes[0].priority_weight = f64::INFINITY),
        Some(SettingsError::InvalidNumber { .. })
    ));
    assert_eq!(with(|_| ()), None);
}

/// Requests are served without load reports, keys, tenants, health checks, cancellation, Retry-After and objective weights.
#[test]
fn minimal_settings_serve_requests() {
    let settings = Settings {
        classes: vec![class(RetrySafety::Idempotent)],
        cancel: false,
        objective: Objective { all_requests: 0.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        slow_start_window: Micros::ZERO,
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 1);
    harness.set_endpoints(fleet(3, 1, 1));
    for _ in 0..100 {
        let (id, sent) = harness.request(0);
        assert!(sent.is_some());
        harness.advance(Micros::from_ms(10.0));
        harness.respond_with_report(id, 0, Outcome::Success, 10.0, Some(vec![f64::NAN, -1.0, 1e300]));
    }
    harness.assert_rules();
}

#[test]
fn request_of_unknown_class_is_shed() {
    let mut harness = Harness::new(Settings::default(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let request = Request::new(RequestId(5), ClassId(9), Micros::from_ms(100.0));
    let mut actions = Vec::new();
    harness.balancer.handle(harness.now, Event::Request(request), &mut actions);
    assert!(is_shed(&actions, RequestId(5)));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
}
