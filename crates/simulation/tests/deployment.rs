//! Whole deployments: the same seed gives the same run, strange scenarios end, the judge has teeth, and the true module
//! keeps the rules through troubles.

use bellcroft_balancer::{Action, EndpointUpdate, Event, RequestId, ServerId, Settings, Time};
use bellcroft_simulation::*;

fn class(name: &str, effect: bellcroft_simulation::Effect, window: f64) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        share: 1.0,
        effect,
        window,
        aim: 0.1,
        deadline: 1.0,
        service: Dist::LogNormal { mean: 0.01, sigma: 0.5 },
    }
}

/// Ten instances, twelve servers in two zones, two thirds busy.
fn deployment() -> Scenario {
    use bellcroft_simulation::Effect::*;
    Scenario {
        seconds: 12.0,
        warm_up: 1.0,
        instances: 10,
        zones: 2,
        classes: vec![
            class("read", Idempotent, 0.0),
            class("log", Deduplicated, 3.0),
            class("assign", DeduplicatedByZone, 1.0),
            class("pay", AtMostOnce, 0.0),
        ],
        servers: vec![Servers { count: 12, zone: None, cores: 2, queue: Some(50), speed: 1.0, starts: None }],
        network: Network { within: 0.0005, between: 0.002, jitter: 0.2, ..Network::default() },
        arrivals: Arrivals::Poisson { rate: 1000.0 },
        tenants: 4,
        zipf: 1.0,
        attempts: 3,
        reports: Reports::InFlight,
        report_faults: ReportFaults::default(),
        peers: false,
        digest: false,
        list_delay: 0.2,
        habits: Habits::default(),
        troubles: Vec::new(),
    }
}

fn at(at: f64, what: What) -> Trouble {
    Trouble { at, what }
}

fn troubled() -> Scenario {
    Scenario {
        troubles: vec![
            at(2.0, What::Slow { servers: vec![0], factor: 20.0 }),
            at(3.0, What::Drain { servers: vec![1] }),
            at(4.0, What::Mute { servers: vec![2, 3], on: true }),
            at(5.0, What::Crash { servers: vec![4] }),
            at(6.0, What::Start { servers: vec![1, 4] }),
            at(7.0, What::Cut { from: 0, to: 1, on: true }),
            at(8.0, What::Cut { from: 0, to: 1, on: false }),
            at(8.0, What::Mute { servers: vec![2, 3], on: false }),
            at(8.5, What::Flood { tenant: 1, factor: 3.0 }),
        ],
        ..deployment()
    }
}

fn bytes(scenario: &Scenario, policy: Policy, seed: u64) -> String {
    serde_json::to_string(&play(scenario, policy, seed).expect("it plays")).expect("plain numbers")
}

#[test]
fn one_seed_gives_the_same_bytes_on_one_thread_and_on_four() {
    let scenario = troubled();
    let alone: Vec<String> = Policy::ALL.iter().map(|policy| bytes(&scenario, *policy, 3)).collect();
    let together: Vec<String> = std::thread::scope(|scope| {
        let scenario = &scenario;
        let run = |policy: Policy| scope.spawn(move || bytes(scenario, policy, 3));
        let runs: Vec<_> = Policy::ALL.into_iter().map(run).collect();
        runs.into_iter().map(|run| run.join().expect("no panic")).collect()
    });
    assert_eq!(alone, together);
    assert_ne!(alone[0], bytes(&scenario, Policy::Module, 4), "another seed is another run");
    let different: std::collections::BTreeSet<&String> = alone.iter().collect();
    assert_eq!(different.len(), Policy::ALL.len(), "each policy decides otherwise");
}

/// One stream an actor: what the policies do changes nothing of when clients ask, and for what.
#[test]
fn clients_ask_the_same_whatever_the_policy() {
    let scenario = troubled();
    let asked = |policy| {
        let outcome = play(&scenario, policy, 5).expect("it plays");
        outcome.classes.iter().map(|c| c.asked).collect::<Vec<_>>()
    };
    let first = asked(Policy::Module);
    assert!(first.iter().all(|n| *n > 1000));
    assert!(Policy::ALL.into_iter().all(|policy| asked(policy) == first));
}

#[test]
fn every_request_is_accounted_for_and_honest_policies_break_no_rule() {
    for (name, scenario) in [("calm", deployment()), ("troubled", troubled())] {
        for policy in Policy::ALL {
            let outcome = play(&scenario, policy, 11).expect("it plays");
            for class in &outcome.classes {
                let over = class.served + class.refused + class.failed + class.left;
                assert_eq!(class.asked, over, "{name} {policy:?} {class:?}");
            }
            let broken = outcome.breaches;
            if policy == Policy::Module {
                assert_eq!(broken, Breaches::default(), "{name}");
            }
            if name == "calm" {
                assert_eq!(broken, Breaches::default(), "{policy:?}");
                assert!(outcome.wanted_share > 0.9, "{policy:?}: {}", outcome.wanted_share);
            }
        }
    }
}

#[test]
fn strange_scenarios_end() {
    let none = Scenario { servers: Vec::new(), ..deployment() };
    let quiet = Scenario { arrivals: Arrivals::Poisson { rate: 0.0 }, ..deployment() };
    let cut = Scenario {
        troubles: [(0, 1), (1, 0), (0, 0), (1, 1)]
            .map(|(from, to)| at(1.0, What::Cut { from, to, on: true }))
            .to_vec(),
        ..deployment()
    };
    let mut short = deployment();
    short.classes.iter_mut().for_each(|class| class.deadline = 0.0004);
    let mut wild = deployment();
    wild.classes.iter_mut().for_each(|class| class.service = Dist::Pareto { mean: 0.01, shape: 1.1 });
    for policy in Policy::ALL {
        let run = |scenario: &Scenario| play(scenario, policy, 2).expect("it plays");
        let served = |outcome: &Outcome| outcome.classes.iter().map(|c| c.served).sum::<u64>();
        let asked = |outcome: &Outcome| outcome.classes.iter().map(|c| c.asked).sum::<u64>();
        let (none, quiet, cut, short, wild) = (run(&none), run(&quiet), run(&cut), run(&short), run(&wild));
        assert!(asked(&none) > 1000 && served(&none) == 0, "{policy:?}");
        assert_eq!((asked(&quiet), quiet.attempts), (0, 0), "{policy:?}");
        assert!(served(&cut) * 8 < asked(&cut), "{policy:?}");
        assert_eq!(served(&short), 0, "{policy:?}: nobody can answer within the network's own time");
        assert!(served(&wild) > 1000, "{policy:?}");
    }
}

#[test]
fn ten_thousand_servers_are_no_trouble() {
    let scenario = Scenario {
        seconds: 1.0,
        warm_up: 0.0,
        instances: 2,
        servers: vec![Servers { count: 10_000, zone: None, cores: 1, queue: None, speed: 1.0, starts: None }],
        ..deployment()
    };
    let outcome = play(&scenario, Policy::Module, 1).expect("it plays");
    assert_eq!(outcome.breaches, Breaches::default());
    assert!(outcome.wanted_share > 0.99, "{}", outcome.wanted_share);
}

#[test]
fn what_can_not_be_played_is_refused_with_a_reason() {
    type Change = fn(&mut Scenario);
    let bad: [(&str, Change); 12] = [
        ("instances", |s| s.instances = 0),
        ("instances", |s| s.instances = 1_000_000),
        ("zone", |s| s.zones = 0),
        ("class", |s| s.classes.clear()),
        ("share", |s| s.classes[0].share = f64::NAN),
        ("mean", |s| s.classes[0].service = Dist::Constant { mean: 0.0 }),
        ("mean", |s| s.classes[0].service = Dist::Pareto { mean: 1.0, shape: 1.0 }),
        ("mean", |s| s.classes[0].service = Dist::Empirical { values: vec![] }),
        ("seconds", |s| s.seconds = f64::INFINITY),
        ("rates", |s| s.arrivals = Arrivals::Poisson { rate: -1.0 }),
        ("no server 99", |s| s.troubles = vec![at(1.0, What::Crash { servers: vec![99] })]),
        ("no tenant 9", |s| s.troubles = vec![at(1.0, What::Flood { tenant: 9, factor: 2.0 })]),
    ];
    for (why, change) in bad {
        let mut scenario = deployment();
        change(&mut scenario);
        let refused = play(&scenario, Policy::Module, 1).expect_err(why).to_string();
        assert!(refused.contains(why), "{why}: {refused}");
    }
}

/// The true module behind a shell that cheats in one way.
struct Cheat {
    honest: bellcroft_balancer::Balancer,
    how: How,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum How {
    Mute,
    Late,
    Twice,
    DeafToDrains,
    PushTheCold,
    /// Says of what is out that a repeat is harmless.
    RefuseWhatIsOut,
}

impl Core for Cheat {
    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.honest.start(now, out);
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.how == How::DeafToDrains && matches!(event, Event::Endpoints(EndpointUpdate::Delta(_))) {
            return;
        }
        let late = match (&event, self.how) {
            (Event::Outcome { request, is_final: true, attempt, .. }, How::Late) if attempt.0 == 0 => {
                Some(request.0)
            }
            _ => None,
        };
        let from = out.len();
        self.honest.handle(now, event, out);
        let new: Vec<Action> = out.drain(from..).collect();
        for mut action in new {
            match (&mut action, self.how) {
                (Action::Send { request, .. }, How::RefuseWhatIsOut) if request.0 % 10 == 0 => {
                    let refuse = Action::Shed { request: *request, retry_after: None };
                    out.push(action);
                    action = refuse;
                }
                (Action::Send { request, .. }, How::Mute) if request.0 % 50 == 0 => continue,
                (Action::Fail { request } | Action::Shed { request, .. }, How::Mute)
                    if request.0 % 50 == 0 =>
                {
                    continue;
                }
                (Action::Send { server, .. }, How::PushTheCold) => *server = ServerId(0),
                (Action::Send { .. }, How::Twice | How::Late) => out.push(action.clone()),
                _ => {}
            }
            out.push(action);
        }
        if let Some(id) = late {
            let (server, by) = (ServerId(3), now + bellcroft_balancer::Micros::from_ms(500.0));
            out.push(Action::Send {
                request: RequestId(id),
                attempt: bellcroft_balancer::AttemptNo(0),
                server,
                timeout_at: by,
                write_by: by,
            });
        }
    }
}

#[test]
fn the_judge_sees_each_cheat_and_the_rule_that_it_breaks() {
    let mut scenario = deployment();
    scenario.seconds = 8.0;
    scenario.troubles = vec![
        at(1.0, What::Drain { servers: vec![1] }),
        at(3.0, What::Crash { servers: vec![0] }),
        at(4.0, What::Start { servers: vec![0] }),
    ];
    let run = |how: How| {
        let core = |settings: &Settings, number: usize| {
            let honest =
                bellcroft_balancer::Balancer::new(settings.clone(), number as u64).expect("good settings");
            Ok(Box::new(Cheat { honest, how }) as Box<dyn Core>)
        };
        play_with(&scenario, 9, core).expect("it plays").breaches
    };
    let mute = run(How::Mute);
    assert!(mute.answer > 50 && mute.effect == 0, "{mute:?}");
    let twice = run(How::Twice);
    assert!(twice.effect > 50 && twice.drain == 0, "{twice:?}");
    let late = run(How::Late);
    assert!(late.after > 50, "{late:?}");
    let deaf = run(How::DeafToDrains);
    assert!(deaf.drain > 10 && deaf.effect == 0, "{deaf:?}");
    let pushed = run(How::PushTheCold);
    assert!(pushed.cold > 0, "{pushed:?}");
    let honest = play(&scenario, Policy::Module, 9).expect("it plays").breaches;
    assert_eq!(honest, Breaches::default());
}

/// Clients that come back, and clients that tire: every want ends once, however often it was tried, and no effect comes
/// twice by it. What they ask for is what they would ask for without the habit.
#[test]
fn clients_that_come_back_or_tire_are_accounted_for() {
    // Far too few servers, so that many are turned away.
    let mut scenario = troubled();
    scenario.servers[0].count = 8;
    scenario.troubles.retain(|t| !matches!(&t.what, What::Drain { .. }));
    let plain = play(&scenario, Policy::Module, 11).expect("it plays");
    scenario.habits =
        Habits { retries: 4, pause: 0.05, heed: 0.5, leave: 0.2, patience: Dist::Exponential { mean: 0.1 } };
    for policy in Policy::ALL {
        let outcome = play(&scenario, policy, 11).expect("it plays");
        let all = |of: fn(&ClassOutcome) -> u64| outcome.classes.iter().map(of).sum::<u64>();
        for (class, plain) in outcome.classes.iter().zip(&plain.classes) {
            let over = class.served + class.refused + class.failed + class.left;
            assert_eq!(class.asked, over, "{policy:?} {class:?}");
            assert_eq!(class.asked, plain.asked, "{policy:?}: what they come for is their own");
        }
        assert!(all(|c| c.again) > 100, "{policy:?} {}", all(|c| c.again));
        assert!(all(|c| c.left) * 50 > all(|c| c.asked), "{policy:?}: some tire");
        assert_eq!((outcome.breaches.effect, outcome.breaches.after), (0, 0), "{policy:?}");
        assert_eq!(outcome.breaches.answer, 0, "{policy:?}: who left is owed nothing");
    }
    let seeded = |seed| bytes(&scenario, Policy::Module, seed);
    assert_eq!(seeded(3), seeded(3));
    assert_ne!(seeded(3), seeded(4));
}

/// A client believes a refusal. One that is given for what has run brings its effect twice, and the judge sees it.
#[test]
fn a_refusal_that_is_not_true_doubles_effects() {
    let mut scenario = deployment();
    scenario.classes = vec![class("pay", bellcroft_simulation::Effect::AtMostOnce, 0.0)];
    scenario.habits = Habits { retries: 3, pause: 0.02, ..Habits::default() };
    let run = |how: Option<How>| {
        let core = |settings: &Settings, number: usize| {
            let honest =
                bellcroft_balancer::Balancer::new(settings.clone(), number as u64).expect("good settings");
            Ok(match how {
                Some(how) => Box::new(Cheat { honest, how }) as Box<dyn Core>,
                None => Box::new(honest) as Box<dyn Core>,
            })
        };
        play_with(&scenario, 9, core).expect("it plays").breaches
    };
    assert_eq!(run(None).effect, 0);
    assert!(run(Some(How::RefuseWhatIsOut)).effect > 10);
}

#[test]
fn reports_that_are_old_missing_or_wrong_break_no_rule_and_change_the_run() {
    let plain = play(&troubled(), Policy::Module, 6).expect("it plays");
    for faults in [
        ReportFaults { delay: 1.0, ..ReportFaults::default() },
        ReportFaults { missing: 0.5, ..ReportFaults::default() },
        ReportFaults { wrong: 0.3, ..ReportFaults::default() },
        ReportFaults { delay: 2.0, missing: 1.0, wrong: 1.0 },
    ] {
        let run =
            play(&Scenario { report_faults: faults, ..troubled() }, Policy::Module, 6).expect("it plays");
        assert_eq!(run.breaches, Breaches::default(), "{faults:?}");
        assert_ne!(run, plain, "{faults:?} changes nothing");
        let asked = |outcome: &Outcome| outcome.classes.iter().map(|c| c.asked).collect::<Vec<_>>();
        assert_eq!(asked(&run), asked(&plain), "clients' draws are their own");
        // A policy that reads no report does not care.
        let deaf = |scenario: &Scenario| play(scenario, Policy::PowerOfTwo, 6).expect("it plays");
        assert_eq!(deaf(&Scenario { report_faults: faults, ..troubled() }), deaf(&troubled()), "{faults:?}");
    }
    let none = ReportFaults { missing: 1.0, ..ReportFaults::default() };
    let without = play(&Scenario { reports: Reports::None, ..deployment() }, Policy::PeakEwma, 6);
    let missing = play(&Scenario { report_faults: none, ..deployment() }, Policy::PeakEwma, 6);
    assert_eq!(without, missing);
}

#[test]
fn a_recorded_trace_is_played_as_it_was() {
    let times: Vec<f64> = (0..3000).map(|n| f64::from(n) * 0.003).collect();
    let recorded =
        Scenario { arrivals: Arrivals::Trace { times: times.clone() }, warm_up: 0.0, ..deployment() };
    for policy in [Policy::Module, Policy::Memory] {
        let outcome = play(&recorded, policy, 1).expect("it plays");
        assert_eq!(outcome.classes.iter().map(|c| c.asked).sum::<u64>(), 3000, "{policy:?}");
        assert!(outcome.wanted_share > 0.95, "{policy:?}: {}", outcome.wanted_share);
        // What lies behind the scenario's end is not asked.
        let short = play(&Scenario { seconds: 4.5, ..recorded.clone() }, policy, 1).expect("it plays");
        assert_eq!(short.classes.iter().map(|c| c.asked).sum::<u64>(), 1500, "{policy:?}");
    }
    for bad in [vec![2.0, 1.0], vec![f64::NAN], vec![-1.0]] {
        let refused =
            play(&Scenario { arrivals: Arrivals::Trace { times: bad }, ..deployment() }, Policy::Module, 1);
        assert!(refused.expect_err("it is bad").to_string().contains("trace"));
    }
    let bad =
        Scenario { report_faults: ReportFaults { wrong: 1.5, ..ReportFaults::default() }, ..deployment() };
    assert!(play(&bad, Policy::Module, 1).expect_err("it is bad").to_string().contains("report_faults"));
}
