//! What the checker accepts, played: random routes through the real decisions, with connections that come up late,
//! attempts that end late and servers that drain, under an observer that counts bytes and knows the rules only.

use bellcroft_balancer::*;
use bellcroft_routes::*;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of a walk, and those of them in which requests come.
const STEPS: u32 = 4800;
const ASKING: u32 = 1600;

/// What of the rules' keeping is taken away, to show what each part is there for.
#[derive(Clone, Copy, Default)]
struct Without {
    /// The agent writes also after `write_by`.
    write_by: bool,
}

const DEADLINE: f64 = 3000.0;
const WINDOW: f64 = 1500.0;
const GRACE: f64 = 600.0;
/// As long as the agent lets a connection take where no route is stricter: longer than the grace, on purpose.
const CONNECT: f64 = 900.0;

fn settings() -> Settings {
    let class = |effect| Class {
        retry_safety: effect,
        latency_objective: Micros::from_ms(2500.0),
        deadline: Micros::from_ms(DEADLINE),
        late_weight: 1.0,
        ..Class::default()
    };
    let keyed = |group| RetrySafety::Deduplicated { scope: group, window: Micros::from_ms(WINDOW) };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(keyed(DedupScope::All)),
            class(keyed(DedupScope::Zone)),
            class(RetrySafety::AtMostOnce),
        ],
        max_attempts: 5,
        hedging: true,
        drain_grace_period: Micros::from_ms(GRACE),
        ..Settings::default()
    }
}

fn names() -> Vec<String> {
    ["read", "log", "assign", "pay"].map(str::to_owned).to_vec()
}

fn with_platform<T>(run: impl FnOnce(&Platform) -> T) -> T {
    let (settings, classes) = (settings(), names());
    let connect_timeout = Micros::from_ms(CONNECT);
    run(&Platform { settings: &settings, classes: &classes, tenants: &[], connect_timeout })
}

/// A route for one class, with times on both sides of what the rules bear.
fn random_route(class: usize, random: &mut fastrand::Rng) -> RouteConfig {
    let time = |random: &mut fastrand::Rng, most: u64| {
        (random.u8(0..3) > 0).then(|| Micros(random.u64(10..most) * 1000))
    };
    let mut flag = || random.bool();
    let retry_on =
        RetryOn { connect: flag(), rejected: flag(), reset: flag(), timeout: flag(), error: flag() };
    RouteConfig {
        name: "r".into(),
        matches: RouteMatch { class: Some(names()[class].clone()), ..RouteMatch::default() },
        timeout: time(random, 3000),
        attempt_timeout: time(random, 900),
        connect_timeout: time(random, 900),
        queue_timeout: time(random, 300),
        attempts: (random.u8(0..4) > 0).then(|| random.u32(1..6)),
        retry_on: random.bool().then_some(retry_on),
        retry_within: [None, None, Some(RetryScope::Zone), Some(RetryScope::Any)][random.usize(0..4)],
        hedge: match random.u8(0..4) {
            0 => HedgePolicy::After(Micros(random.u64(5..400) * 1000)),
            _ => HedgePolicy::Never,
        },
        ..RouteConfig::default()
    }
}

/// An attempt on its way: the connection comes up, the bytes leave, the server ends it.
struct Flight {
    server: ServerId,
    decided: Time,
    timeout_at: Time,
    write_by: Time,
    connected: Time,
    /// When its first byte left.
    left: Option<Time>,
    ends: Time,
    outcome: Outcome,
    over: bool,
}

struct Story {
    class: usize,
    flights: Vec<Flight>,
    closed: bool,
    deadline: Time,
}

/// Plays one route for a while; the breaches that the observer saw, and how long after the first its latest repeat came.
fn play(spec: &RouteConfig, class: usize, seed: u64, without: Without) -> (Vec<String>, Micros) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut ids = BudgetIds::default();
    let spec = RoutesConfig { routes: vec![spec.clone()], pools: Vec::new() };
    let table = RouteTable::unchecked(&spec, &mut ids);
    let route = table.lookup(&names()[class], None, "/").cloned().expect("it matches");
    let connect = route.connect_timeout.unwrap_or(Micros::from_ms(CONNECT));
    let mut balancer = Balancer::new(settings(), seed).expect("settings");
    let (mut now, mut actions) = (Time::from_ms(10_000.0), Vec::new());
    balancer.start(now, &mut actions);
    let lines: Vec<Endpoint> =
        (0..6).map(|i| Endpoint { zone: ZoneId(i % 2), ..Endpoint::serving(ServerId(i)) }).collect();
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(lines.clone())), &mut actions);
    let mut stories: BTreeMap<u64, Story> = BTreeMap::new();
    let mut timers: BTreeSet<(Time, TimerId)> = BTreeSet::new();
    let mut draining: BTreeMap<ServerId, Time> = BTreeMap::new();
    let (mut breaches, mut latest) = (Vec::new(), Micros::ZERO);
    let mut next = 0;
    for step in 0..STEPS {
        now = now + Micros(1000);
        let mut events = Vec::new();
        if step % 40 == 0 && step < ASKING {
            let time_left = Micros::from_ms(DEADLINE);
            let hedge = match route.hedge {
                HedgePolicy::After(after) => Some(after),
                _ => None,
            };
            let limits = Some(route.limits.clone());
            let request = Request::new(RequestId(next), ClassId(class), time_left);
            events.push(Event::Request(Request { limits, hedge_after: hedge, ..request }));
            let story = Story { class, flights: Vec::new(), closed: false, deadline: now + time_left };
            stories.insert(next, story);
            next += 1;
        }
        // Half of the servers drain and come back.
        if step % 1500 == 100 {
            let from = random.u32(0..6);
            let leaving: Vec<Endpoint> = (from..from + 3)
                .map(|n| Endpoint { status: Status::Draining, ..lines[(n % 6) as usize].clone() })
                .collect();
            draining.extend(leaving.iter().map(|line| (line.server, now)));
            events.push(Event::Endpoints(EndpointUpdate::Delta(leaving)));
        }
        if step % 1500 == 1400 {
            draining.clear();
            events.push(Event::Endpoints(EndpointUpdate::Delta(lines.clone())));
        }
        while let Some(&(at, timer)) = timers.first().filter(|(at, _)| *at <= now) {
            timers.remove(&(at, timer));
            events.push(Event::Timer(timer));
        }
        for (id, story) in &mut stories {
            // What a server turned away unseen has not run.
            let unseen = |f: &&Flight| f.over && f.outcome == Outcome::Rejected;
            let ran = story.flights.iter().filter(|f| !unseen(f));
            let mut first: Option<(Time, ServerId)> =
                ran.filter_map(|f| f.left.map(|at| (at, f.server))).min();
            for (n, flight) in story.flights.iter_mut().enumerate().filter(|(_, f)| !f.over) {
                let ended = |outcome: Outcome| Event::Outcome {
                    request: RequestId(*id),
                    attempt: AttemptNo(n as u32),
                    outcome,
                    elapsed: now.since(flight.decided),
                    report: None,
                    closed: outcome == Outcome::Success,
                };
                if flight.left.is_none() && now >= flight.connected && now <= flight.timeout_at {
                    if now > flight.write_by && !without.write_by {
                        flight.over = true;
                        events.push(ended(Outcome::NotSent));
                        continue;
                    }
                    flight.left = Some(now);
                    // The observer: this byte is on its way.
                    if story.closed {
                        breaches.push(format!("{id}: a byte after the answer"));
                    }
                    if now > story.deadline + Micros(1000) {
                        breaches.push(format!("{id}: a byte after the deadline"));
                    }
                    if draining.get(&flight.server).is_some_and(|at| now.since(*at) > Micros::from_ms(GRACE))
                    {
                        breaches.push(format!("{id}: rule 3: a byte to a server that drains"));
                    }
                    if let Some((at, server)) = first {
                        latest = Micros(latest.0.max(now.since(at).0));
                        let same_zone = server.0 % 2 == flight.server.0 % 2;
                        match settings().classes[story.class].retry_safety {
                            RetrySafety::Idempotent => {}
                            RetrySafety::AtMostOnce => breaches.push(format!("{id}: rule 2: ran twice")),
                            RetrySafety::Deduplicated { window, .. } if now.since(at) > window => {
                                breaches.push(format!("{id}: rule 2: a repeat after {:?}", now.since(at)));
                            }
                            RetrySafety::Deduplicated { scope: DedupScope::Zone, .. } if !same_zone => {
                                breaches.push(format!("{id}: rule 2: a repeat in another zone"));
                            }
                            RetrySafety::Deduplicated { .. } => {}
                        }
                    }
                    first = first.or(Some((now, flight.server)));
                }
                let unsent = flight.left.is_none();
                if now >= flight.timeout_at
                    || now >= flight.ends
                    || (unsent && now.since(flight.decided) > connect)
                {
                    flight.over = true;
                    let outcome = match (unsent, now >= flight.timeout_at) {
                        (true, _) => Outcome::ConnectFailed,
                        (false, true) => Outcome::TimedOut,
                        (false, false) => flight.outcome,
                    };
                    story.closed |= outcome == Outcome::Success;
                    events.push(ended(outcome));
                }
            }
        }
        for event in events {
            balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { request, server, timeout_at, write_by, .. } => {
                        let Some(story) = stories.get_mut(&request.0) else { continue };
                        // Slow connections and slow answers are common here: the edges are what is looked for.
                        let up = Micros(random.u64(0..=connect.0));
                        let up = if random.bool() { Micros(1000) } else { up };
                        let work = Micros(random.u64(1000..3_000_000));
                        let outcome = match random.u8(0..8) {
                            0 | 1 => Outcome::Success,
                            2 => Outcome::ServerError,
                            3 => Outcome::ConnectionReset,
                            4 => Outcome::Rejected,
                            _ => Outcome::TimedOut,
                        };
                        let ends = match outcome {
                            Outcome::TimedOut => timeout_at,
                            _ => now + up + work,
                        };
                        story.flights.push(Flight {
                            server,
                            decided: now,
                            timeout_at,
                            write_by,
                            connected: now + up,
                            left: None,
                            ends,
                            outcome,
                            over: false,
                        });
                    }
                    Action::Cancel { request, attempt } => {
                        if let Some(flight) = stories
                            .get_mut(&request.0)
                            .and_then(|s| s.flights.get_mut(attempt.0 as usize))
                            .filter(|flight| !flight.over)
                        {
                            flight.outcome = Outcome::Cancelled;
                            flight.ends = now;
                            if flight.left.is_none() {
                                // Nothing of it will leave: its connection is for others.
                                flight.connected = Time(u64::MAX);
                            }
                        }
                    }
                    Action::SetTimer { at, timer } => drop(timers.insert((at, timer))),
                    Action::Shed { request, .. } | Action::Fail { request } => {
                        if let Some(story) = stories.get_mut(&request.0) {
                            if std::mem::replace(&mut story.closed, true) {
                                breaches.push(format!("{}: two final answers", request.0));
                            }
                            for flight in story.flights.iter_mut().filter(|f| f.left.is_none()) {
                                flight.connected = Time(u64::MAX);
                            }
                        }
                    }
                    _ => {}
                }
            }
        }
        stories.retain(|_, s| !s.closed || s.flights.iter().any(|f| !f.over));
        let lost = |s: &&Story| !s.closed && now > s.deadline + Micros(60_000);
        if let Some(story) = stories.values().find(lost) {
            breaches.push(format!("rule 1: no answer {:?} after its deadline", now.since(story.deadline)));
            return (breaches, latest);
        }
    }
    (breaches, latest)
}

fn accepted(route: &RouteConfig, checks: EnabledChecks) -> bool {
    let spec = RoutesConfig { routes: vec![route.clone()], pools: Vec::new() };
    with_platform(|platform| check_only(&spec, platform, checks).is_empty())
}

#[test]
fn what_the_checker_accepts_breaks_no_rule() {
    let (mut played, mut repeated) = (0, 0);
    for seed in 0..40_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let class = random.usize(0..4);
        let route = random_route(class, &mut random);
        if !accepted(&route, EnabledChecks::ALL) || played >= 1000 {
            continue;
        }
        played += 1;
        let (breaches, latest) = play(&route, class, seed, Without::default());
        repeated += usize::from(latest > Micros::ZERO);
        assert!(breaches.is_empty(), "{route:#?}\n{breaches:#?}");
    }
    assert!(played >= 1000 && repeated >= 300, "{played} played, {repeated} of them with a repeat");
}

/// Without the check and without the agent's own care, routes that it would have refused break the rule.
#[test]
fn each_check_has_teeth() {
    let late_agent = Without { write_by: true };
    for (rule, checks) in [
        ("rule 2: a repeat after", EnabledChecks { window: false, ..EnabledChecks::ALL }),
        ("rule 3", EnabledChecks { drain: false, ..EnabledChecks::ALL }),
    ] {
        let (mut found, mut tried) = (0, 0);
        for seed in 0..20_000 {
            let mut random = fastrand::Rng::with_seed(seed);
            let class = 1 + random.usize(0..2);
            let route = random_route(class, &mut random);
            if accepted(&route, checks) && !accepted(&route, EnabledChecks::ALL) {
                tried += 1;
                found +=
                    usize::from(play(&route, class, seed, late_agent).0.iter().any(|b| b.contains(rule)));
            }
            if tried >= 200 || found >= 3 {
                break;
            }
        }
        assert!(found >= 3, "{rule}: {found} of {tried} refused routes break it");
    }
}

/// The same routes with the agent's care: nothing is written too late, whatever the file says.
#[test]
fn the_agent_s_care_alone_keeps_the_rules_too() {
    let none = EnabledChecks { window: false, group: false, effect: false, drain: false };
    let mut played = 0;
    for seed in 0..4000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let class = random.usize(0..4);
        let route = random_route(class, &mut random);
        if played < 60 && accepted(&route, none) && !accepted(&route, EnabledChecks::ALL) {
            played += 1;
            let (breaches, _) = play(&route, class, seed, Without::default());
            assert!(breaches.is_empty(), "{route:#?}\n{breaches:#?}");
        }
    }
    assert!(played >= 60, "{played}");
}

/// How far the computed latest repeat lies from the latest one that was played: the checker is not much stricter than
/// it must be, and never laxer.
#[test]
fn the_computed_latest_repeat_is_a_bound_and_a_close_one() {
    let mut closest = f64::INFINITY;
    for (attempts, attempt, queue) in [(2, 400.0, 1.0), (3, 300.0, 1.0), (4, 250.0, 1.0)] {
        let route = RouteConfig {
            name: "r".into(),
            matches: RouteMatch { class: Some("read".into()), ..RouteMatch::default() },
            attempts: Some(attempts),
            attempt_timeout: Some(Micros::from_ms(attempt)),
            connect_timeout: Some(Micros::from_ms(100.0)),
            queue_timeout: Some(Micros::from_ms(queue)),
            ..RouteConfig::default()
        };
        assert!(accepted(&route, EnabledChecks::ALL));
        let life =
            with_platform(|platform| AttemptTimeline::of(&route, &platform.settings.classes[0], platform));
        let bound = life.last_repeat().expect("there are repeats");
        let played = (0..30).map(|seed| play(&route, 0, seed, Without::default()).1).max().expect("some");
        assert!(played <= bound, "{attempts}: {played:?} played, {bound:?} computed");
        closest = closest.min(bound.ms() / played.ms());
        println!("{attempts} attempts: {:.0} ms computed, {:.0} ms played", bound.ms(), played.ms());
    }
    assert!(closest < 1.5, "the closest bound is {closest:.2} times what was played");
}

/// What a refusal suggests is accepted.
#[test]
fn what_is_suggested_passes() {
    let mut followed = 0;
    for seed in 0..4000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let route = random_route(1, &mut random);
        let spec = RoutesConfig { routes: vec![route.clone()], pools: Vec::new() };
        let refusals = with_platform(|platform| check(&spec, platform));
        let [one] = refusals.as_slice() else { continue };
        let Some((_, right)) = one.what.split_once("(rule 2). At most ") else { continue };
        for part in right.split(", or ") {
            let (key, value) = part.split_once(" = ").expect("a key and a value");
            let time = |text: &str| match text.strip_suffix("ms") {
                Some(ms) => Micros::from_ms(ms.parse().expect("a number")),
                None => Micros::from_ms(text.trim_end_matches('s').parse::<f64>().expect("a number") * 1e3),
            };
            let mut mended = route.clone();
            match key {
                "attempts" => mended.attempts = Some(value.parse().expect("a number")),
                "attempt_timeout" => mended.attempt_timeout = Some(time(value)),
                _ => mended.timeout = Some(time(value)),
            }
            let spec = RoutesConfig { routes: vec![mended], pools: Vec::new() };
            let left = with_platform(|platform| check(&spec, platform));
            // A shorter time may make another key meaningless; it must not break the rule any more.
            assert!(left.iter().all(|r| !r.what.contains("rule 2")), "{part}: {left:?}\n{route:#?}");
            followed += 1;
        }
    }
    assert!(followed > 200, "{followed}");
}
