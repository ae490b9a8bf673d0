//! What one instance counts: its series, and the observer beside them, fed by its sockets.
//!
//! Each handle is made once. On the way of a request a count is an addition to it; a look-up, where there is one, is by
//! a number or by a text that is at hand, and allocates nothing.

use crate::families::*;
use crate::observer::{Observer, Rule, RuleParameters};
use crate::registry::{Counter, Family, Gauge, Histogram, Registry, Sample, OTHER};
use crate::sender;
use bellcroft_balancer::{Micros, Outcome, Settings, Time};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// Zones past those that the settings name share one label.
const ZONE_UNKNOWN: &str = "unknown";
/// Common bounds of answer times, in seconds, beside the wanted times and deadlines.
const BOUNDS: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0];
/// The most wanted times and deadlines that become bounds of a histogram.
const BOUNDS_MOST: usize = 24;

/// How a request was over, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// With a server's answer.
    Served,
    /// With a 429.
    Shed,
    /// With another error.
    Failed,
    /// Its client had left.
    ClientLeft,
}

impl FinalOutcome {
    const ALL: [(FinalOutcome, &'static str); 4] = [
        (FinalOutcome::Served, "served"),
        (FinalOutcome::Shed, "refused"),
        (FinalOutcome::Failed, "failed"),
        (FinalOutcome::ClientLeft, "left"),
    ];
}

/// An attempt's outcome as a label.
fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "served",
        Outcome::ServerError => "error",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timeout",
        Outcome::ConnectFailed => "connect",
        Outcome::ConnectionReset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Success,
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn place(outcome: Outcome) -> usize {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0)
}

/// What an instance's series are about.
#[derive(Debug, Clone)]
pub struct InstanceInfo<'a> {
    /// The platform's settings.
    pub settings: &'a Settings,
    /// The classes' names.
    pub classes: &'a [String],
    /// The tenants' names.
    pub tenants: &'a [String],
    /// The zones' names.
    pub zones: &'a [String],
    /// The program's version.
    pub version: &'a str,
    /// When the process started, in Unix seconds.
    pub started: f64,
    /// Labels of every series.
    pub external: &'a [(String, String)],
    /// Servers that may be named at a time; 0, and none is.
    pub server_names: usize,
}

/// A line of the server list.
#[derive(Debug, Clone, Copy)]
pub struct EndpointEntry<'a> {
    /// The server's number.
    pub server: u32,
    /// Its name.
    pub name: &'a str,
    /// Its zone's place in the settings.
    pub zone: u32,
    /// Its cell.
    pub dedup_group: u32,
    /// It takes requests.
    pub is_serving: bool,
    /// It is still there.
    pub is_listed: bool,
    /// When it started, if that was lately.
    pub started: Option<Time>,
}

/// What a route's requests may spend, for the gauges beside their counts.
#[derive(Debug, Clone)]
pub struct RouteBudget<'a> {
    /// The route's name.
    pub route: &'a str,
    /// Retries that a request earns.
    pub retry_ratio: f64,
    /// Second copies that a request earns; none where it has none.
    pub hedge_ratio: Option<f64>,
}

struct ClassSeries {
    aim: Micros,
    over: [Counter; 4],
    in_flight: Gauge,
    in_wanted: Counter,
    answer: Histogram,
}

struct ZoneSeries {
    /// By class and outcome.
    attempts: Vec<Vec<Counter>>,
    seconds: Histogram,
    out: Gauge,
}

struct RouteSeries {
    requests: Counter,
    retries: Counter,
    copies: Counter,
}

struct ServerSeries {
    name: String,
    zone: u32,
    state: &'static str,
    /// By outcome, and the time of those that were served; only where it may be named.
    named: Option<(Vec<Counter>, Counter)>,
    /// The label there is its own.
    own_name: bool,
}

/// All that an instance counts.
pub struct Instance {
    /// The owner of its series.
    pub registry: Registry,
    observer: RefCell<Observer>,
    classes: Vec<ClassSeries>,
    class_names: Vec<String>,
    tenants: Vec<Counter>,
    zone_names: Vec<String>,
    /// By place in the settings; the last is for all others.
    zones: Vec<ZoneSeries>,
    routes: RefCell<HashMap<String, RouteSeries>>,
    servers: RefCell<HashMap<u32, ServerSeries>>,
    server_names: usize,
    bad: Counter,
    probes: Vec<Counter>,
    list_ok: Counter,
    list_failed: Counter,
    silent_watches: Counter,
    listed_at: Cell<Option<Time>>,
    begun: Cell<Option<Time>>,
    breaches: [Counter; 4],
    near: [Counter; 4],
}

impl Instance {
    /// The series of an instance that has seen nothing.
    pub fn new(about: &InstanceInfo) -> Self {
        let registry = Registry::new(about.external);
        let settings = about.settings;
        let mut bounds: Vec<f64> = BOUNDS.to_vec();
        let wanted = settings.classes.iter().flat_map(|class| [class.latency_objective, class.deadline]);
        for bound in wanted.map(|span| span.ms() / 1e3).take(BOUNDS_MOST) {
            if !bounds.contains(&bound) {
                bounds.push(bound);
            }
        }
        bounds.sort_by(f64::total_cmp);
        let histogram = |family: &Family, values: &[&str]| {
            registry.histogram(&Family { bounds: bounds.clone(), ..family.clone() }, values)
        };
        let classes = about.classes.iter().zip(&settings.classes).map(|(name, class)| ClassSeries {
            aim: class.latency_objective,
            over: FinalOutcome::ALL.map(|(_, word)| registry.counter(&REQUESTS, &[name, word])),
            in_flight: registry.gauge(&IN_FLIGHT, &[name]),
            in_wanted: registry.counter(&IN_WANTED, &[name]),
            answer: histogram(&ANSWER, &[name]),
        });
        let classes = classes.collect();
        let unknown = ZONE_UNKNOWN.to_owned();
        let zone_names: Vec<String> = about.zones.iter().chain([&unknown]).cloned().collect();
        let zones = zone_names.iter().map(|zone| ZoneSeries {
            attempts: about
                .classes
                .iter()
                .map(|class| OUTCOMES.map(|o| registry.counter(&ATTEMPTS, &[class, zone, word(o)])).to_vec())
                .collect(),
            seconds: histogram(&ATTEMPT_SECONDS, &[zone]),
            out: registry.gauge(&ATTEMPTS_OUT, &[zone]),
        });
        let zones = zones.collect();
        let part = f64::from(settings.balancers.max(1));
        let tenants = about.tenants.iter().zip(&settings.tenants).map(|(name, tenant)| {
            registry.gauge(&TENANT_ALLOWANCE, &[name]).set(tenant.allowance_per_s / part);
            registry.counter(&TENANT_REQUESTS, &[name])
        });
        let tenants = tenants.collect();
        registry.gauge(&BUILD, &[about.version]).set(1.0);
        registry.gauge(&START, &[]).set(about.started);
        registry.gauge(&FLEET, &[]).set(part);
        registry.gauge(&GENERATION, &[]).set(1.0);
        registry.counter(&RELOADS_REFUSED, &[]);
        Instance {
            observer: RefCell::new(Observer::new(RuleParameters::from(settings))),
            classes,
            class_names: about.classes.to_vec(),
            tenants,
            zone_names,
            zones,
            routes: RefCell::default(),
            servers: RefCell::default(),
            server_names: about.server_names,
            bad: registry.counter(&BAD, &[]),
            probes: OUTCOMES.map(|o| registry.counter(&PROBES, &[word(o)])).to_vec(),
            list_ok: registry.counter(&LIST_CALLS, &["ok"]),
            list_failed: registry.counter(&LIST_CALLS, &["failed"]),
            silent_watches: registry.counter(&SILENT_WATCHES, &[]),
            listed_at: Cell::new(None),
            begun: Cell::new(None),
            breaches: Rule::ALL.map(|rule| registry.counter(&BREACHES, &[rule.label()])),
            near: Rule::ALL.map(|rule| registry.counter(&NEAR, &[rule.label()])),
            registry,
        }
    }

    /// How the rules have been kept so far.
    pub fn observer(&self) -> std::cell::Ref<'_, Observer> {
        self.observer.borrow()
    }

    /// What the routes' requests may spend. A route that was there and is no more keeps its counts and loses its gauge.
    pub fn set_route_budgets(&self, budgets: &[RouteBudget]) {
        for route in self.routes.borrow().keys() {
            for kind in ["retry", "second_copy"] {
                self.registry.remove(&BUDGET, &[kind, route]);
            }
        }
        for budget in budgets {
            self.route(budget.route, |_| {});
            self.registry.gauge(&BUDGET, &["retry", budget.route]).set(budget.retry_ratio);
            if let Some(copies) = budget.hedge_ratio {
                self.registry.gauge(&BUDGET, &["second_copy", budget.route]).set(copies);
            }
        }
    }

    fn route<T>(&self, route: &str, of: impl FnOnce(&RouteSeries) -> T) -> T {
        if let Some(series) = self.routes.borrow().get(route) {
            return of(series);
        }
        let series = RouteSeries {
            requests: self.registry.counter(&ROUTE_REQUESTS, &[route]),
            retries: self.registry.counter(&FURTHER, &["retry", route]),
            copies: self.registry.counter(&FURTHER, &["second_copy", route]),
        };
        let result = of(&series);
        self.routes.borrow_mut().insert(route.to_owned(), series);
        result
    }

    /// The zone's series, those of all others past the settings' own.
    fn zone(&self, zone: u32) -> &ZoneSeries {
        &self.zones[(zone as usize).min(self.zones.len() - 1)]
    }

    fn zone_name(&self, zone: u32) -> &str {
        &self.zone_names[(zone as usize).min(self.zone_names.len() - 1)]
    }

    fn zone_of(&self, server: u32) -> u32 {
        self.servers.borrow().get(&server).map_or(u32::MAX, |s| s.zone)
    }

    /// A request has come whole; its client waits until `deadline`.
    pub fn request_received(
        &self,
        id: u64,
        class: usize,
        tenant: Option<usize>,
        route: &str,
        deadline: Time,
    ) {
        self.classes[class].in_flight.inc();
        if let Some(tenant) = tenant.and_then(|tenant| self.tenants.get(tenant)) {
            tenant.inc();
        }
        self.route(route, |series| series.requests.inc());
        self.observer.borrow_mut().request_received(id, class, deadline);
    }

    /// An attempt has been decided on: the request's first, a later one, or one while another was out.
    pub fn attempt_started(&self, server: u32, route: &str, number: u32, another_out: bool) {
        self.zone(self.zone_of(server)).out.inc();
        match (number, another_out) {
            (0, _) => {}
            (_, true) => self.route(route, |series| series.copies.inc()),
            (_, false) => self.route(route, |series| series.retries.inc()),
        }
    }

    /// An attempt's first byte has left.
    pub fn first_byte(&self, now: Time, id: u64, attempt: u32, server: u32) {
        self.observer.borrow_mut().first_byte(now, id, attempt, server);
    }

    /// An attempt is over.
    pub fn attempt_finished(
        &self,
        (id, attempt): (u64, u32),
        class: usize,
        server: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let zone = self.zone(self.zone_of(server));
        zone.out.dec();
        zone.attempts[class][place(outcome)].inc();
        let seconds = elapsed.ms() / 1e3;
        if outcome == Outcome::Success {
            zone.seconds.observe(seconds);
        }
        if let Some((outcomes, time)) = self.servers.borrow().get(&server).and_then(|s| s.named.as_ref()) {
            outcomes[place(outcome)].inc();
            if outcome == Outcome::Success {
                time.inc_by(seconds);
            }
        }
        self.observer.borrow_mut().attempt_finished(id, attempt, outcome.never_ran());
    }

    /// A request is over; but for one whose client had left, its answer's last byte has gone out.
    pub fn request_finished(&self, now: Time, id: u64, class: usize, over: FinalOutcome, took: Micros) {
        let series = &self.classes[class];
        series.in_flight.dec();
        series.over[over as usize].inc();
        let mut observer = self.observer.borrow_mut();
        if over == FinalOutcome::ClientLeft {
            return observer.client_left(id);
        }
        series.answer.observe(took.ms() / 1e3);
        if over == FinalOutcome::Served && took <= series.aim {
            series.in_wanted.inc();
        }
        observer.response_sent(now, id, over == FinalOutcome::Shed);
    }

    /// A request was wrong.
    pub fn bad_request(&self) {
        self.bad.inc();
    }

    /// A probe is over.
    pub fn health_check_finished(&self, outcome: Outcome) {
        self.probes[place(outcome)].inc();
    }

    /// Discovery has answered a call.
    pub fn list_call_succeeded(&self, now: Time) {
        self.list_ok.inc();
        self.listed_at.set(Some(now));
    }

    /// A call to discovery has failed, for this cause.
    pub fn list_call_failed(&self, cause: &str) {
        self.list_failed.inc();
        self.registry.counter(&LIST_FAILURES, &[cause]).inc();
    }

    /// A watch of discovery has not answered in time.
    pub fn watch_timed_out(&self) {
        self.silent_watches.inc();
    }

    /// The list says this of a server.
    pub fn endpoint_listed(&self, now: Time, entry: EndpointEntry) {
        let at = (entry.zone, entry.dedup_group);
        self.observer.borrow_mut().endpoint_listed(now, entry.server, at, entry.is_serving, entry.started);
        let mut servers = self.servers.borrow_mut();
        let own_name = servers.values().filter(|s| s.own_name).count() < self.server_names;
        let label = if own_name { entry.name } else { OTHER };
        let series = servers.entry(entry.server).or_insert_with(|| ServerSeries {
            name: entry.name.to_owned(),
            zone: entry.zone,
            state: "up",
            named: (self.server_names > 0).then(|| self.named(label)),
            own_name,
        });
        series.zone = entry.zone;
        series.state = match (entry.is_serving, entry.is_listed) {
            (true, _) => "up",
            (false, true) => "draining",
            (false, false) => "gone",
        };
    }

    /// A whole list no longer names a server.
    pub fn endpoint_removed(&self, now: Time, server: u32) {
        if let Some(series) = self.servers.borrow_mut().get_mut(&server) {
            series.state = "gone";
        }
        self.observer.borrow_mut().endpoint_removed(now, server);
    }

    fn named(&self, name: &str) -> (Vec<Counter>, Counter) {
        let outcomes = OUTCOMES.map(|o| self.registry.counter(&SERVER_ATTEMPTS, &[word(o), name]));
        (outcomes.to_vec(), self.registry.counter(&SERVER_SECONDS, &[name]))
    }

    /// A server left long ago: its series end, and another may have its place.
    pub fn forget(&self, server: u32) {
        self.observer.borrow_mut().forget(server);
        let Some(series) = self.servers.borrow_mut().remove(&server) else { return };
        // Those past the bound share a series that goes on.
        if series.own_name {
            for outcome in OUTCOMES {
                self.registry.remove(&SERVER_ATTEMPTS, &[word(outcome), &series.name]);
            }
            self.registry.remove(&SERVER_SECONDS, &[&series.name]);
        }
    }

    /// Time passes: answers that are overdue are seen.
    pub fn check_overdue(&self, now: Time) {
        if self.begun.get().is_none() {
            self.begun.set(Some(now));
        }
        self.observer.borrow_mut().check_overdue(now);
    }

    /// The total of one kind of violation; it is counted by the guard.
    pub fn rule_violations(&self, rule: &str, total: u64) {
        raise(&self.registry.counter(&VIOLATIONS, &[rule]), total);
    }

    /// What remote write has done; its counts are the sender's own.
    pub fn set_remote_write(
        &self,
        counts: &sender::Counts,
        queue: usize,
        oldest: Duration,
        clock_steps: u64,
    ) {
        let words = [
            ("sent", counts.sent),
            ("retried", counts.retried),
            ("dropped_full", counts.dropped_full),
            ("dropped_refused", counts.dropped_refused),
            ("unwritten", counts.unwritten),
        ];
        for (word, count) in words {
            raise(&self.registry.counter(&REMOTE_SAMPLES, &[word]), count);
        }
        self.registry.gauge(&REMOTE_QUEUE, &[]).set(queue as f64);
        self.registry.gauge(&REMOTE_OLDEST, &[]).set(oldest.as_secs_f64());
        raise(&self.registry.counter(&CLOCK_STEPS, &[]), clock_steps);
    }

    /// The value of every series now.
    pub fn gather(&self, now: Time) -> Vec<Sample> {
        self.check_overdue(now);
        let mut observer = self.observer.borrow_mut();
        for rule in Rule::ALL {
            let margin = observer.margin(rule);
            raise(&self.breaches[rule as usize], margin.breaches);
            raise(&self.near[rule as usize], margin.near_misses);
            let (family, labels): (&Family, &[&str]) = match rule {
                Rule::SlowStart => (&COLD_LEFT, &[]),
                _ => (&MARGIN, &[rule.label()]),
            };
            match observer.take_recent_min(rule) {
                Some(left) => self.registry.gauge(family, labels).set(left),
                None => self.registry.remove(family, labels),
            }
        }
        drop(observer);
        let servers = self.servers.borrow();
        for (place, zone) in self.zone_names.iter().enumerate() {
            let of = |s: &&ServerSeries| self.zone_name(s.zone) == zone;
            // Nobody stands in the zone that is not known, but for a list that names others than the settings.
            let known = place + 1 < self.zone_names.len() || servers.values().any(|s| of(&s));
            for state in ["up", "draining", "gone"] {
                let count = servers.values().filter(of).filter(|s| s.state == state).count();
                if known {
                    self.registry.gauge(&SERVERS, &[state, zone]).set(count as f64);
                }
            }
        }
        drop(servers);
        let since = self.listed_at.get().or(self.begun.get());
        self.registry.gauge(&LIST_AGE, &[]).set(since.map_or(0.0, |at| now.since(at).ms() / 1e3));
        self.registry.gather()
    }

    /// The classes' names, by their numbers.
    pub fn classes(&self) -> &[String] {
        &self.class_names
    }
}

/// Brings a counter to a count that is kept elsewhere.
fn raise(counter: &Counter, count: u64) {
    counter.inc_by((count as f64 - counter.get()).max(0.0));
}
