//! Guards against settings that lack what a decision could use, and against ones that no decision can use.
mod common;
use bellcroft_balancer::*;
use common::*;

#[test]
fn impossible_settings_are_errors_and_not_panics() {
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
        assert!(matches!(wrong, Some(SettingsError::BadShare { .. })), "{fraction}");
    }
    assert!(matches!(with(|s| s.initial_capacity = f64::NAN), Some(SettingsError::BadNumber { .. })));
    assert!(matches!(with(|s| s.overload_factor = -1.0), Some(SettingsError::BadNumber { .. })));
    assert!(matches!(
        with(|s| s.classes[0].priority_weight = f64::INFINITY),
        Some(SettingsError::BadNumber { .. })
    ));
    assert_eq!(with(|_| ()), None);
}

/// No reports, keys, tenants, probes, cancels or advice, and no goal to speak of: requests are served all the same.
#[test]
fn the_plain_path_needs_nothing_but_a_class() {
    let settings = Settings {
        classes: vec![class(RetrySafety::Idempotent)],
        cancel: false,
        objective: Objective { whole: 0.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        slow_start_window: Micros::ZERO,
        ..Settings::default()
    };
    let mut testbed = Rig::new(settings, 1);
    testbed.list(fleet(3, 1, 1));
    for _ in 0..100 {
        let (id, sent) = testbed.ask(0);
        assert!(sent.is_some());
        testbed.wait(Micros::from_ms(10.0));
        testbed.answer_with(id, 0, Outcome::Success, 10.0, Some(vec![f64::NAN, -1.0, 1e300]));
    }
    testbed.assert_rules();
}

#[test]
fn a_request_of_an_unknown_class_is_refused() {
    let mut testbed = Rig::new(Settings::default(), 1);
    testbed.list(fleet(3, 1, 1));
    let request = Request::new(RequestId(5), ClassId(9), Micros::from_ms(100.0));
    let mut actions = Vec::new();
    testbed.balancer.handle(testbed.now, Event::Request(request), &mut actions);
    assert!(refused(&actions, RequestId(5)));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
}
