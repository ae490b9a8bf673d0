//! Guards against servers that hang, fail fast or slow down, and against taking a crowd for sick servers.
mod common;
use bellcroft_balancer::*;
use common::*;

fn settings(effect: RetrySafety) -> Settings {
    Settings { classes: vec![class(effect)], ..Settings::default() }
}

/// Requests one after the other, each answered by `answer`; how many went to each of `n` servers.
fn serve(testbed: &mut Rig, n: usize, count: u32, answer: impl Fn(ServerId) -> (Outcome, f64)) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut server) = testbed.ask(0);
        let mut attempt = 0;
        while let Some(to) = server {
            sent[to.0 as usize] += 1;
            let (outcome, ms) = answer(to);
            testbed.wait(Micros::from_ms(ms));
            testbed.answer(id, attempt, outcome, ms);
            server = testbed.sent_to(id);
            attempt += 1;
        }
        testbed.wait(Micros::from_ms(5.0));
    }
    testbed.assert_rules();
    sent
}

#[test]
fn quick_errors_do_not_draw_traffic() {
    for bad in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 11);
        testbed.list(fleet(5, 1, 1));
        let sick = ServerId(2);
        let sent =
            serve(&mut testbed, 5, 400, |s| if s == sick { (bad, 0.2) } else { (Outcome::Success, 30.0) });
        assert!(sent[2] <= 12, "{bad:?}: {sent:?}, of them trials only");
        assert!(sent[2] >= 3, "{bad:?}: {sent:?}, it is tried again");
        let well = serve(&mut testbed, 5, 400, |_| (Outcome::Success, 30.0));
        assert!(well[2] > 30, "{bad:?}: {well:?}, it is taken back");
    }
}

#[test]
fn a_much_slower_server_is_left_and_taken_back() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 11);
    testbed.list(fleet(5, 1, 1));
    let sent = serve(&mut testbed, 5, 300, |s| (Outcome::Success, if s.0 == 2 { 300.0 } else { 30.0 }));
    assert!(sent[2] < 20, "{sent:?}");
    let well = serve(&mut testbed, 5, 600, |_| (Outcome::Success, 30.0));
    assert!(well[2] > 30, "{well:?}");
}

#[test]
fn a_fleet_that_is_slow_together_keeps_all_its_servers() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 11);
    testbed.list(fleet(5, 1, 1));
    serve(&mut testbed, 5, 100, |_| (Outcome::Success, 30.0));
    let sent = serve(&mut testbed, 5, 300, |_| (Outcome::Success, 110.0));
    assert!(sent.iter().all(|n| *n > 20), "{sent:?}");
}

#[test]
fn a_silent_server_is_left_and_its_repeatable_request_called_back() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 5);
    testbed.list(fleet(4, 1, 1));
    serve(&mut testbed, 4, 40, |_| (Outcome::Success, 20.0));
    // Two requests on one server, none on the others: only there nothing comes back.
    let asked: Vec<_> = (0..8).map(|_| testbed.ask(0)).filter_map(|(id, s)| s.map(|s| (id, s))).collect();
    let hung = asked.iter().map(|a| a.1).find(|s| asked.iter().filter(|a| a.1 == *s).count() > 1).unwrap();
    for (id, server) in &asked {
        if *server != hung {
            testbed.answer(*id, 0, Outcome::Success, 20.0);
        }
    }
    let actions = testbed.wait(Micros::from_ms(150.0));
    for &(id, _) in asked.iter().filter(|a| a.1 == hung) {
        assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNo(0) }), "{actions:?}");
        testbed.answer(id, 0, Outcome::Cancelled, 150.0);
        assert!(testbed.sent_to(id).is_some_and(|s| s != hung));
        testbed.answer(id, 1, Outcome::Success, 20.0);
    }
    let after = serve(&mut testbed, 4, 6, |_| (Outcome::Success, 20.0));
    assert_eq!(after[hung.0 as usize], 0, "not before its first trial");
}

/// On quiet days costly requests made healthy servers suspect, each a second time in vain.
#[test]
fn a_costly_request_alone_on_its_server_is_no_hang_before_its_aim() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 5);
    testbed.list(fleet(4, 1, 1));
    serve(&mut testbed, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(testbed.ask(0).1.is_some());
    let seen =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. } | Action::Log { .. }));
    assert!(!seen(&testbed.wait(Micros::from_ms(195.0))));
    assert!(seen(&testbed.wait(Micros::from_ms(60.0))), "past its aim it counts");
}

#[test]
fn what_must_not_repeat_is_not_called_back() {
    let mut testbed = Rig::new(settings(RetrySafety::AtMostOnce), 5);
    testbed.list(fleet(4, 1, 1));
    let (id, _) = testbed.ask(0);
    let actions = testbed.wait(Micros::from_ms(790.0));
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "{actions:?}");
    testbed.answer(id, 0, Outcome::TimedOut, 800.0);
    testbed.assert_rules();
}

/// Without a safe class nothing would ever try a suspect, so others must after a while.
#[test]
fn a_site_without_safe_classes_takes_servers_back() {
    let mut testbed = Rig::new(settings(RetrySafety::AtMostOnce), 11);
    testbed.list(fleet(3, 1, 1));
    serve(&mut testbed, 3, 100, |s| match s.0 {
        1 => (Outcome::ServerError, 0.2),
        _ => (Outcome::Success, 20.0),
    });
    let well = serve(&mut testbed, 3, 400, |_| (Outcome::Success, 20.0));
    assert!(well[1] > 30, "{well:?}");
}

#[test]
fn most_of_the_fleet_out_of_reach_leaves_the_rest_in_use() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 11);
    testbed.list(fleet(8, 1, 1));
    let cut = |s: ServerId| if s.0 < 6 { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 20.0) };
    serve(&mut testbed, 8, 60, cut);
    let sent = serve(&mut testbed, 8, 100, cut);
    assert!(sent[..6].iter().sum::<u32>() < 40, "{sent:?}");
    assert!(sent[6] + sent[7] >= 95, "{sent:?}");
}

#[test]
fn a_whole_fleet_that_fails_is_still_tried() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 11);
    testbed.list(fleet(4, 1, 1));
    serve(&mut testbed, 4, 40, |_| (Outcome::ServerError, 1.0));
    let sent = serve(&mut testbed, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(sent.iter().sum::<u32>() >= 40, "{sent:?}");
}
