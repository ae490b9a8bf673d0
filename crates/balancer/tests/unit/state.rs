//! Tests of the bookkeeping of servers and attempts, which the public interface does not show.

use super::*;

fn listed(id: u32, status: Status) -> Endpoint {
    let (zone, kind) = (ZoneId(id), MachineTypeId(id));
    Endpoint { status, zone, machine_type: kind, ..Endpoint::serving(ServerId(id)) }
}

fn request(balancer: &mut Balancer, now: Time, id: u64) -> ServerId {
    let mut out = Vec::new();
    let mut request = Request::new(RequestId(id), ClassId(0), Micros::from_ms(900.0));
    request.key = Some(KeyId(id));
    balancer.handle(now, Event::Request(request), &mut out);
    let sent =
        out.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None });
    sent.expect("it is sent")
}

fn answer(balancer: &mut Balancer, now: Time, id: u64, is_final: bool) {
    let (request, attempt, elapsed) = (RequestId(id), AttemptNo(0), Micros::from_ms(20.0));
    let outcome = Outcome::Success;
    let event = Event::Outcome { request, attempt, outcome, elapsed, report: None, is_final };
    balancer.handle(now, event, &mut Vec::new());
}

fn changes(balancer: &mut Balancer, now: Time, lines: Vec<Endpoint>) {
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Delta(lines)), &mut Vec::new());
}

/// A fleet whose servers are replaced continually, with new numbers, zones and machine types.
#[test]
fn removed_servers_leave_no_state() {
    let settings = Settings { key_affinity: true, ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1).expect("settings");
    let mut now = Time::from_ms(1000.0);
    changes(&mut balancer, now, vec![listed(0, Status::Serving)]);
    for id in 1..5000 {
        now = now + Micros::from_ms(1000.0);
        changes(&mut balancer, now, vec![listed(id, Status::Serving), listed(id - 1, Status::Removed)]);
        assert_eq!(request(&mut balancer, now, id.into()), ServerId(id));
        answer(&mut balancer, now + Micros::from_ms(20.0), id.into(), true);
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

/// An attempt that outlives its server keeps its slot; its late outcome does not count for another server.
#[test]
fn late_outcome_is_not_counted_for_new_server() {
    let mut balancer = Balancer::new(Settings::default(), 1).expect("settings");
    let mut now = Time::from_ms(1000.0);
    changes(&mut balancer, now, vec![listed(0, Status::Serving)]);
    assert_eq!(request(&mut balancer, now, 7), ServerId(0));
    changes(&mut balancer, now, vec![listed(0, Status::Removed)]);
    for id in 1..30 {
        now = now + Micros::from_ms(5000.0);
        changes(&mut balancer, now, vec![listed(id, Status::Serving), listed(id - 1, Status::Removed)]);
    }
    assert!(balancer.slots.contains_key(&ServerId(0)), "an attempt is in flight there");
    answer(&mut balancer, now, 7, false);
    assert!(balancer.servers.iter().all(|s| s.in_flight == 0));
    let newcomer = &balancer.servers[balancer.slots[&ServerId(29)]];
    assert_eq!((newcomer.samples, newcomer.endpoint.server), (0, ServerId(29)));
}
