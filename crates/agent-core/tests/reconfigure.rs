//! Reloads of the settings: missing keys, stable indexes, and the rules that apply during a transition.

use bellcroft_agent_core::reconfigure::*;
use bellcroft_balancer::{Class, ClassId, DedupScope, Micros, RetrySafety, Time};
use serde_json::json;

const KEYED: RetrySafety = RetrySafety::Deduplicated { scope: DedupScope::All, window: Micros(7_500_000) };

fn class(retry_safety: RetrySafety) -> Class {
    Class { retry_safety, ..Class::default() }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn registry() -> ClassRegistry {
    let classes = [RetrySafety::Idempotent, KEYED, RetrySafety::AtMostOnce].map(class);
    ClassRegistry::new(&names(&["read", "log", "pay"]), &classes)
}

#[test]
fn missing_keys_are_reported_with_their_paths() {
    let present = json!({"a": 1, "b": {"c": 1.5, "d": "x"}, "z": null,
                         "l": [{"n": "1", "m": 1, "only": 1}, {"n": "2", "m": 2}], "p": [1, 2]});
    assert_eq!(missing_keys(&present, &present), Vec::<String>::new());
    let more = json!({"a": 2, "b": {"c": 1, "d": "y", "new": 1}, "l": [{"n": "3", "m": 0}], "p": [], "e": 1});
    assert_eq!(missing_keys(&present, &more), Vec::<String>::new());
    let less = json!({"b": {"c": null}, "l": [{"n": "1"}, {"n": 2, "m": 2}], "p": {}});
    assert_eq!(
        missing_keys(&present, &less),
        [
            "a",
            "b.c (value of another type)",
            "b.d",
            "l[0].m",
            "l[1].n (value of another type)",
            "p (value of another type)"
        ]
    );
    assert_eq!(missing_keys(&present, &json!([])), [" (value of another type)"]);
}

#[test]
fn unchanged_class_keeps_its_index() {
    let mut registry = registry();
    let classes = [RetrySafety::Idempotent, KEYED, RetrySafety::AtMostOnce].map(class);
    assert!(registry.reconfigure(Time(1), &names(&["read", "log", "pay"]), &classes, |_| true).is_empty());
    let reordered = [KEYED, RetrySafety::Idempotent, RetrySafety::AtMostOnce].map(class);
    assert!(registry.reconfigure(Time(2), &names(&["log", "read", "pay"]), &reordered, |_| true).is_empty());
    assert_eq!(
        registry.find(Time(3), "log", ClassSignature::WithIdempotencyKey),
        Ok(1),
        "the order in the file does not matter"
    );
}

/// Clients that follow the former settings and clients that follow the present ones are served at the same time, each by
/// its own rules.
#[test]
fn request_signature_selects_former_or_present_class() {
    let mut registry = registry();
    let classes = [KEYED, RetrySafety::AtMostOnce].map(class);
    let changed = registry.reconfigure(Time(10), &names(&["read", "pay"]), &classes, |_| true);
    assert_eq!(changed, [(3, Some(0))]);
    let soon = Time(10) + FORMER_CLASS_RETENTION * 0.9;
    assert_eq!(registry.find(soon, "read", ClassSignature::SafeMethod), Ok(0));
    assert_eq!(registry.find(soon, "read", ClassSignature::WithIdempotencyKey), Ok(3));
    assert_eq!(
        registry.find(soon, "log", ClassSignature::WithIdempotencyKey),
        Ok(1),
        "a removed class applies until clients have switched to the new settings"
    );
    let later = Time(10) + FORMER_CLASS_RETENTION * 1.1;
    assert_eq!(
        registry.find(later, "read", ClassSignature::SafeMethod),
        Err(IncompatibleClass::Signature(KEYED))
    );
    assert_eq!(
        registry.find(later, "log", ClassSignature::WithIdempotencyKey),
        Err(IncompatibleClass::Unknown)
    );
    assert_eq!(
        registry.find(later, "pay", ClassSignature::WithIdempotencyKey),
        Err(IncompatibleClass::Signature(RetrySafety::AtMostOnce)),
        "a class that is unsafe to repeat has no key"
    );
    assert_eq!(
        registry.find(later, "pay", ClassSignature::SafeMethod),
        Err(IncompatibleClass::Signature(RetrySafety::AtMostOnce))
    );
}

#[test]
fn ambiguous_signature_gets_the_narrower_rules_during_transition() {
    let mut registry = registry();
    let newer = RetrySafety::Deduplicated { scope: DedupScope::Zone, window: Micros(9_000_000) };
    let classes = [RetrySafety::Idempotent, newer, RetrySafety::AtMostOnce].map(class);
    let changed = registry.reconfigure(Time(0), &names(&["read", "log", "pay"]), &classes, |_| true);
    assert_eq!(changed, [(3, Some(1)), (4, Some(1))]);
    let retry_safety = |at: Time| {
        registry.classes()[registry.find(at, "log", ClassSignature::WithIdempotencyKey).expect("it applies")]
            .retry_safety
    };
    assert_eq!(
        retry_safety(Time(1)),
        RetrySafety::Deduplicated { scope: DedupScope::Zone, window: Micros(7_500_000) }
    );
    assert_eq!(retry_safety(Time(0) + TRANSITION_PERIOD), newer);
}

#[test]
fn indexes_are_reused_only_when_unreferenced() {
    let mut registry = registry();
    let mut now = Time(0);
    let mut max_len = 0;
    for n in 0..1000_u64 {
        now = now + FORMER_CLASS_RETENTION * 1.5;
        let classes = [Class { deadline: Micros(1_000_000 + n), ..class(RetrySafety::Idempotent) }];
        let changed = registry.reconfigure(now, &names(&["read"]), &classes, |index| index != 1);
        assert!(changed.iter().all(|(index, _)| *index != 1), "index 1 is still referenced");
        assert_eq!(
            registry.classes()[registry.find(now, "read", ClassSignature::SafeMethod).expect("it applies")],
            classes[0]
        );
        max_len = max_len.max(registry.len());
    }
    assert!(max_len <= 6, "{max_len} indexes for one class");
}

/// Guards against a request that goes by another class: nothing but its handle refers to its class while it is received.
#[test]
fn held_class_keeps_its_index_through_any_reloads() {
    let mut registry = registry();
    let index = registry.find(Time(0), "pay", ClassSignature::WithoutIdempotencyKey).expect("it applies");
    // Only this index can be reused.
    let reload = |registry: &mut ClassRegistry, number: u64| {
        let now = Time(0) + FORMER_CLASS_RETENTION * (1.5 * number as f64);
        let classes = [Class { deadline: Micros(1_000_000 + number), ..class(RetrySafety::Idempotent) }];
        registry.reconfigure(now, &names(&["read"]), &classes, |candidate| candidate == index);
    };
    let (held, of_another_request) = (registry.hold(index), registry.hold(index));
    let accepted_under = registry.classes()[index].clone();
    drop(of_another_request);
    for number in 1..100 {
        reload(&mut registry, number);
        assert_eq!((registry.name(index), &registry.classes()[index]), ("pay", &accepted_under));
    }
    assert_eq!(held.id(), ClassId(index));
    drop(held);
    reload(&mut registry, 100);
    assert_eq!(registry.name(index), "read", "the index is free now");
}

/// Several reloads within one transition: a request never gets wider rules than those of the present file.
#[test]
fn rapid_reloads_never_widen_the_rules() {
    let mut registry = registry();
    for n in 0..20_u64 {
        let window = Micros(1_000_000 * (n + 1));
        let retry_safety = RetrySafety::Deduplicated { scope: DedupScope::All, window };
        registry.reconfigure(Time(n), &names(&["log"]), &[class(retry_safety)], |_| true);
        let index =
            registry.find(Time(n), "log", ClassSignature::WithIdempotencyKey).expect("the class applies");
        let RetrySafety::Deduplicated { window: effective, .. } = registry.classes()[index].retry_safety
        else {
            panic!("the class is not deduplicated");
        };
        assert!(effective <= window, "the narrower window applies");
        assert_eq!(registry.name(index), "log");
    }
}

#[test]
fn merged_names_keep_their_indexes() {
    let (merged, indexes) = merge_names(&names(&["a", "b"]), &names(&["c", "b", "c"]));
    assert_eq!((merged, indexes), (names(&["a", "b", "c"]), vec![2, 1, 2]));
}

#[test]
fn former_attempt_limit_applies_during_transition() {
    let mut transition = AttemptLimitTransition::default();
    assert_eq!(transition.max_attempts(Time(0)), None);
    transition.on_limit_changed(2, Time(0));
    assert_eq!(transition.max_attempts(Time(1)), Some(2));
    assert_eq!(transition.max_attempts(Time(0) + TRANSITION_PERIOD), None);
}
