//! Repeats of what may have run: what servers drop, and what comes twice.

mod common;

use bellcroft_balancer::{Action, Event, Micros, RequestId, ServerId, Time, TimerId};
use bellcroft_simulation::*;
use common::{desk, slow};

/// Sends each request to server 0, and once more to server 1 a while later.
struct Repeats {
    after: Micros,
}

impl Core for Repeats {
    fn start(&mut self, _: Time, _: &mut Vec<Action>) {}

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let mut send = |id: RequestId, server: u32| {
            let by = now + Micros::from_ms(4000.0);
            out.push(Action::Send {
                request: id,
                attempt: bellcroft_balancer::AttemptNo(server),
                server: ServerId(server),
                timeout_at: by,
                write_by: by,
            });
        };
        match event {
            Event::Request(request) => {
                send(request.id, 0);
                out.push(Action::SetTimer { at: now + self.after, timer: TimerId(request.id.0) });
            }
            Event::Timer(timer) => send(RequestId(timer.0), 1),
            _ => {}
        }
    }
}

/// One request of a class with this window. Server 0 takes 300 ms over it, server 1 a second.
fn doubled(effect: Effect, zones: usize, window: f64, after: f64) -> Outcome {
    let scenario = Scenario {
        seconds: 1.0,
        warm_up: 0.0,
        instances: 1,
        zones,
        classes: vec![ClassSpec {
            name: "assign".into(),
            share: 1.0,
            effect,
            window,
            aim: 1.0,
            deadline: 5.0,
            service: Dist::Constant { mean: 0.3 },
        }],
        servers: vec![
            Servers { count: 1, zone: Some(0), cores: 1, queue: None, speed: 1.0, starts: None },
            Servers { count: 1, zone: Some(zones - 1), cores: 1, queue: None, speed: 0.3, starts: None },
        ],
        network: Network { within: 0.001, between: 0.001, ..Network::default() },
        arrivals: Arrivals::Trace { times: vec![0.1] },
        habits: Habits::default(),
        tenants: 0,
        zipf: 0.0,
        attempts: 3,
        reports: Reports::None,
        report_faults: ReportFaults::default(),
        peers: false,
        digest: false,
        list_delay: 0.0,
        troubles: Vec::new(),
    };
    let core = |_: &bellcroft_balancer::Settings, _: usize| {
        Ok(Box::new(Repeats { after: Micros::from_ms(after * 1e3) }) as Box<dyn Core>)
    };
    play_with(&scenario, 1, core).expect("it plays")
}

/// The platform's window lies between two sends. What left within it is dropped however long it then works or waits.
#[test]
fn a_repeat_is_dated_by_its_send_and_not_by_its_end() {
    for effect in [Effect::Deduplicated, Effect::DeduplicatedByZone] {
        let within = doubled(effect, 1, 0.25, 0.2);
        assert_eq!(within.attempts, 2);
        assert_eq!(within.breaches, Breaches::default(), "{effect:?}: it left 200 ms after the first");
        let past = doubled(effect, 1, 0.25, 0.28);
        assert_eq!(past.breaches.effect, 1, "{effect:?}: it left 280 ms after the first");
        let breach = &past.broken[0];
        assert_eq!((breach.rule, breach.want, past.broken.len()), (Rule::Effect, Some(0), 1));
    }
    assert_eq!(doubled(Effect::DeduplicatedByZone, 2, 0.25, 0.2).breaches.effect, 1, "in another zone");
    assert_eq!(doubled(Effect::Deduplicated, 2, 0.25, 0.2).breaches.effect, 0, "all zones remember");
    assert_eq!(doubled(Effect::AtMostOnce, 1, 0.25, 0.2).breaches.effect, 1);
}

/// Half of the capacity that is asked for, long queues, clients that come back under their key while what they first
/// sent still waits.
fn storm(instances: usize) -> Scenario {
    Scenario {
        habits: Habits { retries: 3, pause: 0.1, heed: 0.7, leave: 0.05, ..Habits::default() },
        troubles: slow(0..8, 2.0, 7.0),
        ..desk(instances, 8, 700.0, 0.2)
    }
}

#[test]
fn clients_that_come_back_while_the_first_attempt_waits_bring_no_effect_twice() {
    for (instances, seed) in [(20, 1), (50, 2), (50, 3), (100, 4)] {
        let outcome = play(&storm(instances), Policy::Module, seed).expect("it plays");
        assert_eq!(outcome.breaches, Breaches::default(), "{instances}, seed {seed}: {:?}", outcome.broken);
        let again: u64 = outcome.classes.iter().map(|class| class.again).sum();
        assert!(again > 200, "{instances}, seed {seed}: {again} further tries");
        assert!(outcome.peak_held > 20, "{instances}, seed {seed}: requests wait");
    }
}

/// Watching a want changes nothing, and its story has its tries, its attempts and its end.
#[test]
fn the_story_of_a_want_is_told_without_changing_the_run() {
    let scenario = storm(10);
    let plain = play(&scenario, Policy::Module, 3).expect("it plays");
    let mut tries_seen = 0;
    for want in (2000..2300).step_by(23) {
        let (outcome, steps) = trace(&scenario, Policy::Module, 3, want).expect("it plays");
        assert_eq!(outcome, plain);
        let Some(first) = steps.first() else { continue };
        assert!(first.request == want && first.what.contains("try 1"), "{first:?}");
        assert!(steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
        let tries: std::collections::BTreeSet<u64> = steps.iter().map(|step| step.request).collect();
        let ends = steps.iter().filter(|s| s.what.contains("has its answer") || s.what.contains("leaves"));
        assert_eq!(ends.count(), tries.len(), "each try ends once: {steps:#?}");
        tries_seen = tries_seen.max(tries.len());
    }
    assert!(tries_seen > 1, "no client came back");
    assert!(trace(&scenario, Policy::Module, 3, u64::MAX).expect("it plays").1.is_empty());
}
