//! Tests of the state of servers and attempts, which the public interface does not expose.

use super::*;

fn endpoint(id: u32, status: Status) -> Endpoint {
    let (zone, machine_type) = (ZoneId(id), MachineTypeId(id));
    Endpoint { status, zone, machine_type, ..Endpoint::serving(ServerId(id)) }
}

fn request(balancer: &mut Balancer, now: Time, id: u64) -> ServerId {
    let mut actions = Vec::new();
    let mut request = Request::new(RequestId(id), ClassId(0), Micros::from_ms(900.0));
    request.key = Some(KeyId(id));
    balancer.handle(now, Event::Request(request), &mut actions);
    let sent =
        actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None });
    sent.expect("it is sent")
}

fn respond(balancer: &mut Balancer, now: Time, id: u64, is_final: bool) {
    let (request, attempt, elapsed) = (RequestId(id), AttemptNo(0), Micros::from_ms(20.0));
    let outcome = Outcome::Success;
    let event = Event::Outcome { request, attempt, outcome, elapsed, report: None, is_final };
    balancer.handle(now, event, &mut Vec::new());
}

fn update_endpoints(balancer: &mut Balancer, now: Time, endpoints: Vec<Endpoint>) {
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Delta(endpoints)), &mut Vec::new());
}

/// Servers are replaced continually, with new ids, zones and machine types; the state must not grow.
#[test]
fn removed_servers_leave_no_state() {
    let settings = Settings { key_affinity: true, ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1).expect("settings");
    let mut now = Time::from_ms(1000.0);
    update_endpoints(&mut balancer, now, vec![endpoint(0, Status::Serving)]);
    for id in 1..5000 {
        now = now + Micros::from_ms(1000.0);
        update_endpoints(
            &mut balancer,
            now,
            vec![endpoint(id, Status::Serving), endpoint(id - 1, Status::Removed)],
        );
        assert_eq!(request(&mut balancer, now, id.into()), ServerId(id));
        respond(&mut balancer, now + Micros::from_ms(20.0), id.into(), true);
    }
    let sizes = [
        balancer.servers.len(),
        balancer.slots.len(),
        balancer.free_slots.len(),
        balancer.key_servers.len(),
        balancer.zones.len(),
        balancer.machine_types.len(),
        balancer.requests.len(),
        balancer.in_flight.len(),
    ];
    assert!(sizes.iter().all(|size| *size <= 20), "{sizes:?}");
}

/// An attempt that outlives its server keeps the server's slot, so that its late outcome is not counted for another server.
#[test]
fn late_outcome_is_not_counted_for_new_server() {
    let mut balancer = Balancer::new(Settings::default(), 1).expect("settings");
    let mut now = Time::from_ms(1000.0);
    update_endpoints(&mut balancer, now, vec![endpoint(0, Status::Serving)]);
    assert_eq!(request(&mut balancer, now, 7), ServerId(0));
    update_endpoints(&mut balancer, now, vec![endpoint(0, Status::Removed)]);
    for id in 1..30 {
        now = now + Micros::from_ms(5000.0);
        update_endpoints(
            &mut balancer,
            now,
            vec![endpoint(id, Status::Serving), endpoint(id - 1, Status::Removed)],
        );
    }
    assert!(balancer.slots.contains_key(&ServerId(0)), "an attempt is in flight there");
    respond(&mut balancer, now, 7, false);
    assert!(balancer.servers.iter().all(|s| s.in_flight == 0));
    let new_server = &balancer.servers[balancer.slots[&ServerId(29)]];
    assert_eq!((new_server.samples, new_server.endpoint.server), (0, ServerId(29)));
}
