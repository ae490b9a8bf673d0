//! The connection limits of two processes during a handover.

use bellcroft_agent_core::handover::*;

#[test]
fn predecessor_and_successor_together_stay_within_the_limit() {
    let (mut old, mut new) = (Handover::default(), Handover::default());
    assert_eq!(old.connection_limit(385), 385);
    assert!(
        old.handle_event(HandoverEvent::ListenerRequested)
            && new.handle_event(HandoverEvent::ListenerTransferred)
    );
    assert!(old.is_replaced() && !new.is_replaced());
    assert!(old.connection_limit(385) + new.connection_limit(385) <= 385);
    assert!(new.handle_event(HandoverEvent::PredecessorExited));
    assert_eq!((new.connection_limit(385), new.role()), (385, HandoverRole::Standalone));
}

#[test]
fn failed_successor_restores_the_full_limit() {
    let mut old = Handover::default();
    old.handle_event(HandoverEvent::ListenerRequested);
    assert!(old.handle_event(HandoverEvent::SuccessorExited));
    assert!(!old.is_replaced(), "no other process accepts connections");
    assert_eq!(old.connection_limit(10), 10);
}

#[test]
fn exit_of_one_successor_leaves_the_other_in_place() {
    let mut old = Handover::default();
    old.handle_event(HandoverEvent::ListenerRequested);
    assert!(!old.handle_event(HandoverEvent::ListenerRequested));
    assert!(!old.handle_event(HandoverEvent::SuccessorExited));
    assert!(old.is_replaced());
    assert!(old.handle_event(HandoverEvent::SuccessorExited));
    assert_eq!(old.role(), HandoverRole::Standalone);
}

/// A successor can be replaced while its own predecessor still runs.
#[test]
fn successor_becomes_predecessor_of_the_next() {
    let mut middle = Handover::default();
    middle.handle_event(HandoverEvent::ListenerTransferred);
    middle.handle_event(HandoverEvent::ListenerRequested);
    assert!(middle.is_replaced());
    assert!(!middle.handle_event(HandoverEvent::PredecessorExited));
    assert!(middle.is_replaced(), "the successor still accepts connections");
    assert!(middle.handle_event(HandoverEvent::SuccessorExited));
    assert_eq!(middle.role(), HandoverRole::Standalone);
}
