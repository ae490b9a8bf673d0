//! Draining, resuming and shutting down an instance.

use bellcroft_agent_core::serving::*;
use bellcroft_balancer::{Micros, Time};

const SECOND: Micros = Micros(1_000_000);

#[test]
fn drained_instance_resumes() {
    let mut service = Service::default();
    assert!(service.is_ready() && !service.closes_connections() && service.close_idle_at().is_none());
    assert!(service.drain(Time(5)));
    assert!(!service.drain(Time(9)), "a second command has no effect, not even on the time");
    assert!(!service.is_ready() && service.closes_connections());
    let closed = service.close_idle_at().expect("idle connections are closed while draining");
    assert!(closed > Time(5) + SECOND, "clients still connect shortly after a successful health check");
    assert!(
        closed < Time(5) + SECOND * 2.0,
        "the last request is two seconds old when the platform checks at 4 s"
    );
    assert!(service.resume());
    assert!(service.is_ready() && service.close_idle_at().is_none());
}

#[test]
fn shutdown_cannot_be_resumed_or_changed() {
    let mut service = Service::default();
    service.shut_down(Time(7), ShutdownKind::Replaced);
    assert!(!service.resume() && !service.drain(Time(8)));
    service.shut_down(Time(9), ShutdownKind::Final);
    assert_eq!(service.state(), ServingState::ShuttingDown { since: Time(7), kind: ShutdownKind::Replaced });
    assert!(!service.is_ready() && service.closes_connections());
}

/// The platform sends SIGKILL at least 0.7 s after SIGTERM, plus the longest deadline.
#[test]
fn replaced_process_closes_idle_connections_before_its_kill() {
    let mut service = Service::default();
    service.shut_down(Time(0), ShutdownKind::Replaced);
    assert!(service.close_idle_at().expect("close time") < Time(0) + SECOND * 0.7);
    let mut alone = Service::default();
    alone.shut_down(Time(0), ShutdownKind::Final);
    assert_eq!(alone.close_idle_at(), Some(Time(0)));
}
