//! Overload: late responses, queues, client retries and fair load shedding.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    Settings { classes: vec![class(RetrySafety::Idempotent)], max_attempts: 6, ..Settings::default() }
}

/// Fills a fleet of one server until requests are queued; returns the requests sent and those queued.
fn fill_queue(harness: &mut Harness, count: u32) -> (Vec<RequestId>, Vec<RequestId>) {
    harness.set_endpoints(fleet(1, 1, 1));
    let submitted: Vec<_> = (0..count)
        .map(|_| {
            harness.advance(Micros::from_ms(1.0));
            harness.request(0)
        })
        .collect();
    let sent = submitted.iter().filter(|a| a.1.is_some()).map(|a| a.0).collect();
    (sent, submitted.iter().filter(|a| a.1.is_none()).map(|a| a.0).collect())
}

/// In FIFO order every queued request would get a late response.
#[test]
fn queue_is_drained_newest_first() {
    let mut harness = Harness::new(settings(), 1);
    let (sent, queued) = fill_queue(&mut harness, 12);
    assert!(!sent.is_empty() && queued.len() > 4);
    harness.respond(sent[0], 0, Outcome::Success, 20.0);
    assert!(harness.sent_to(*queued.last().unwrap()).is_some());
    assert!(harness.sent_to(queued[0]).is_none());
}

#[test]
fn queued_request_is_shed_before_objective() {
    let mut harness = Harness::new(settings(), 1);
    let (_, queued) = fill_queue(&mut harness, 12);
    let start = harness.now;
    let mut sheds = 0;
    while harness.now.since(start) < Micros::from_ms(200.0) {
        sheds += harness
            .advance(Micros::from_ms(10.0))
            .iter()
            .filter(|a| matches!(a, Action::Shed { .. }))
            .count();
        if sheds == queued.len() {
            break;
        }
    }
    assert_eq!(sheds, queued.len());
    assert!(harness.now.since(start) < Micros::from_ms(200.0), "shed too late for the client's retry");
}

#[test]
fn limits_shrink_and_recover_with_latency() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(2, 1, 1));
    let mut run_round = |ms: f64| {
        let mut in_flight = Vec::new();
        let queued = loop {
            match harness.request(0) {
                (id, Some(_)) => in_flight.push(id),
                (id, None) => break id,
            }
        };
        let sent_count = in_flight.len();
        harness.advance(Micros::from_ms(ms));
        let mut sent_later = None;
        for id in in_flight {
            sent_later = sent_later.or(sent_in(harness.respond(id, 0, Outcome::Success, ms), queued));
        }
        if sent_later.is_some() {
            harness.respond(queued, 0, Outcome::Success, ms);
        }
        harness.advance(Micros::from_ms(250.0));
        sent_count
    };
    let first = run_round(20.0);
    for _ in 0..10 {
        run_round(210.0);
    }
    let congested = run_round(210.0);
    assert!(congested < first, "{congested} after late responses, {first} before");
    for _ in 0..60 {
        run_round(15.0);
    }
    assert!(run_round(15.0) > congested + 2, "limits do not grow again");
}

/// Attempts that servers reject must not circulate in the fleet without delay.
#[test]
fn rejecting_server_is_paused() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let mut sends = 0;
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    for _ in 0..200 {
        harness.request(0);
        let mut todo = harness.actions.clone();
        todo.extend(harness.advance(Micros::from_ms(5.0)));
        while let Some(action) = todo.pop() {
            if let Action::Send { request, .. } = action {
                sends += 1;
                let attempt = attempts.entry(request).or_insert(0);
                todo.extend_from_slice(harness.respond(request, *attempt, Outcome::Rejected, 1.0));
                *attempt += 1;
            }
        }
    }
    harness.advance(Micros::from_ms(300.0));
    assert!(sends < 120, "{sends} attempts for 200 requests to full servers");
    harness.assert_rules();
}

/// Many balancers with a limit of one request each can overload a server. At four requests per second, how much a balancer
/// sheds is bounded by the lifetime of its fleet state, half a second.
#[test]
fn limit_falls_below_one_with_many_balancers() {
    let rate = |balancers| {
        let mut harness = Harness::new(Settings { balancers, ..settings() }, 1);
        harness.set_endpoints(fleet(1, 1, 1));
        let mut sends = 0;
        for _ in 0..300 {
            let (id, sent) = harness.request(0);
            harness.advance(Micros::from_ms(250.0));
            if sent.is_some() {
                sends += 1;
                harness.respond(id, 0, Outcome::Success, 250.0);
            }
        }
        sends
    };
    let (one, twenty) = (rate(1), rate(20));
    assert!(twenty * 2 < one, "{twenty} sends with 20 balancers, {one} with one");
}

fn sends(harness: &mut Harness, id: u64, left_ms: f64, is_retry: bool) -> bool {
    let request = Request::new(RequestId(1000 + id), ClassId(0), Micros::from_ms(left_ms));
    let actions = harness.handle(Event::Request(Request { is_retry, ..request }));
    actions.iter().any(|action| matches!(action, Action::Send { .. }))
}

/// A harness whose clients' first tries arrive with 500 ms left of a deadline of 800 ms.
fn harness_with_usual_time_left() -> Harness {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(9, 1, 1));
    for id in 0..10 {
        assert!(sends(&mut harness, id, 500.0, false));
    }
    harness
}

/// A client's retry is recognised by its mark. A response after its objective has no value.
#[test]
fn marked_client_retry_past_objective_is_shed() {
    let mut harness = harness_with_usual_time_left();
    assert!(sends(&mut harness, 10, 700.0, true), "100 ms spent: half of the objective is left");
    assert!(!sends(&mut harness, 11, 580.0, true), "220 ms spent: past the objective of 200 ms");
}

/// A client's retry without a mark is recognised by its unusual time left, if a request of its class was shed before.
#[test]
fn unmarked_client_retry_past_objective_is_shed() {
    let mut harness = harness_with_usual_time_left();
    let fail_request = |harness: &mut Harness, id: u64| {
        assert!(!sends(harness, id, 1.0, false), "a response within 1 ms is impossible");
    };
    fail_request(&mut harness, 20);
    assert!(sends(&mut harness, 10, 700.0, false), "100 ms spent: half of the objective is left");
    fail_request(&mut harness, 21);
    assert!(!sends(&mut harness, 11, 580.0, false), "220 ms spent: past the objective of 200 ms");
    assert!(sends(&mut harness, 12, 580.0, false), "no further retry is expected");
}

/// A request of a client with a shorter deadline must not be shed as a retry.
#[test]
fn unusual_time_left_alone_marks_no_retry() {
    let mut harness = harness_with_usual_time_left();
    for id in 10..14 {
        assert!(sends(&mut harness, id, 400.0, false), "nothing was shed and nothing failed");
    }
}

/// Sends more load than the fleet can serve; returns the numbers of requests and of responses by class and tenant.
fn overloaded_counts(
    settings: Settings,
    request_at: impl Fn(u32) -> Request,
) -> BTreeMap<(usize, Option<usize>), (u32, u32)> {
    let mut harness = Harness::new(settings, 3);
    harness.set_endpoints(fleet(2, 1, 1));
    let mut in_flight: Vec<(Time, Request)> = Vec::new();
    let mut counts: BTreeMap<_, (u32, u32)> = BTreeMap::new();
    for i in 0..6000 {
        let request = request_at(i);
        let entry = counts.entry((request.class.0, request.tenant.map(|t| t.0))).or_default();
        entry.0 += 1;
        let mut actions = harness.handle(Event::Request(request.clone())).to_vec();
        in_flight.push((Time(u64::MAX), request));
        actions.extend(harness.advance(Micros::from_ms(2.0)));
        let due: Vec<_> = in_flight.iter().filter(|o| o.0 <= harness.now).map(|o| o.1.id).collect();
        for id in due {
            actions.extend_from_slice(harness.respond(id, 0, Outcome::Success, 40.0));
            let (_, r) =
                in_flight.swap_remove(in_flight.iter().position(|o| o.1.id == id).expect("it is in flight"));
            counts
                .get_mut(&(r.class.0, r.tenant.map(|t| t.0)))
                .expect("each class and tenant has an entry")
                .1 += 1;
        }
        for action in actions {
            if let Action::Send { request, .. } = action {
                if let Some(o) = in_flight.iter_mut().find(|o| o.1.id == request) {
                    o.0 = harness.now + Micros::from_ms(40.0);
                }
            }
        }
    }
    counts
}

fn served_fraction(counts: &(u32, u32)) -> f64 {
    f64::from(counts.1) / f64::from(counts.0)
}

#[test]
fn overload_sheds_low_priority_first_without_starvation() {
    let with_weight = |weight| Class { priority_weight: weight, ..class(RetrySafety::Idempotent) };
    let objective = Objective { all_requests: 0.7, worst_window: 0.0, worst_class: 0.3, worst_tenant: 0.0 };
    let settings = Settings {
        classes: vec![with_weight(1.0), with_weight(3.0), with_weight(10.0)],
        objective,
        ..Settings::default()
    };
    let counts = overloaded_counts(settings, |i| {
        Request::new(RequestId(u64::from(i)), ClassId((i % 3) as usize), Micros::from_ms(800.0))
    });
    let served: Vec<f64> = counts.values().map(served_fraction).collect();
    assert!(served[2] > served[0] + 0.1 && served[2] > served[1] + 0.1, "{served:?}");
    assert!(served[0] > 0.05 && served[1] > 0.05, "{served:?}");
}

#[test]
fn tenant_over_quota_is_shed_first() {
    let tenant = |fraction| Tenant { fraction, allowance_per_s: 100.0 };
    let settings = Settings {
        tenants: vec![tenant(0.3), tenant(0.7)],
        over_quota_weight: 0.1,
        classes: vec![class(RetrySafety::Idempotent)],
        ..Settings::default()
    };
    let counts = overloaded_counts(settings, |i| Request {
        tenant: Some(TenantId(usize::from(i % 5 == 0))),
        ..Request::new(RequestId(u64::from(i)), ClassId(0), Micros::from_ms(800.0))
    });
    let served: Vec<f64> = counts.values().map(served_fraction).collect();
    assert!(served[1] > served[0] + 0.05, "the tenant within its quota: {served:?}");
}

/// Regression: a balancer with little traffic receives few responses from each server. With limits per server alone it took
/// half a minute of late responses to reduce the load of a congested fleet.
#[test]
fn round_of_late_responses_halves_sends() {
    let settings = Settings { balancers: 20, ..settings() };
    let mut harness = Harness::new(settings, 1);
    harness.set_endpoints(fleet(24, 1, 1));
    let burst = |harness: &mut Harness| -> Vec<RequestId> {
        let sent = |harness: &mut Harness| {
            Some(harness.request(0)).filter(|submitted| submitted.1.is_some()).map(|submitted| submitted.0)
        };
        std::iter::from_fn(|| sent(harness)).collect()
    };
    let respond = |harness: &mut Harness, ids: &[RequestId], ms: f64| {
        harness.advance(Micros::from_ms(ms));
        ids.iter().for_each(|&id| {
            harness.respond(id, 0, Outcome::Success, ms);
        });
    };
    let before = burst(&mut harness);
    respond(&mut harness, &before, 250.0);
    harness.advance(Micros::from_ms(250.0));
    let after = burst(&mut harness);
    assert!(after.len() * 2 < before.len(), "{} sent, {} before", after.len(), before.len());
    respond(&mut harness, &after, 20.0);
    for _ in 0..500 {
        harness.request_and_respond(20.0);
    }
    let last = burst(&mut harness);
    assert!(last.len() * 3 > before.len(), "the load does not recover after good responses: {}", last.len());
}

/// Regression: the pause after a response was fixed when the response arrived, so that it lasted up to 47 s after congestion.
#[test]
fn pause_ends_when_limit_scale_recovers() {
    let mut harness = Harness::new(Settings { balancers: 20, ..settings() }, 1);
    harness.set_endpoints(fleet(2, 1, 1));
    for _ in 0..30 {
        harness.request_and_respond(190.0);
        harness.advance(Micros::from_ms(2000.0));
    }
    let mut used = BTreeSet::new();
    for _ in 0..150 {
        used.extend(harness.request_and_respond(5.0));
        harness.advance(Micros::from_ms(45.0));
    }
    assert_eq!(used.len(), 2, "both servers must be in use within 8 s");
}
