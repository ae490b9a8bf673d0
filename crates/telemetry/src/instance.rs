//! The series of an instance, and the observer of what is sent and received on its sockets.
//!
//! Each handle is made once. On the request path an update is an addition; lookups are by a number or by an existing
//! text, and allocate nothing.

use crate::families::*;
use crate::observer::{Observer, Rule, RuleParameters};
use crate::registry::{Counter, Family, Gauge, Histogram, Registry, Sample, OTHER};
use crate::sender;
use bellcroft_balancer::{Micros, Outcome, Settings, Time};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// Label value of all zones that are not in the settings.
const ZONE_UNKNOWN: &str = "unknown";
/// Bounds of response times in seconds. Latency objectives and deadlines are added to them.
const COMMON_BOUNDS: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0];
/// Limit of the latency objectives and deadlines that are added to the bounds.
const MAX_CLASS_BOUNDS: usize = 24;

/// The outcome of a request, as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The client got a server's response.
    Served,
    /// The request was shed with a 429.
    Shed,
    /// The client got another error.
    Failed,
    /// The client disconnected first.
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

/// The label value of an attempt's outcome.
fn outcome_label(outcome: Outcome) -> &'static str {
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

/// Index of an outcome in [`OUTCOMES`].
fn outcome_index(outcome: Outcome) -> usize {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0)
}

/// The properties of an instance that determine its series.
#[derive(Debug, Clone)]
pub struct InstanceInfo<'a> {
    /// Settings of the platform.
    pub settings: &'a Settings,
    /// Names of the classes.
    pub classes: &'a [String],
    /// Names of the tenants.
    pub tenants: &'a [String],
    /// Names of the zones.
    pub zones: &'a [String],
    /// Version of the program.
    pub version: &'a str,
    /// Start of the process, in Unix seconds.
    pub started: f64,
    /// Labels that are added to every series.
    pub external: &'a [(String, String)],
    /// Limit of the servers that have series under their own names at one time; 0 for no series by server.
    pub server_names: usize,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct EndpointEntry<'a> {
    /// Number of the server.
    pub server: u32,
    /// Name of the server.
    pub name: &'a str,
    /// Index of its zone in the settings.
    pub zone: u32,
    /// Number of its dedup group.
    pub dedup_group: u32,
    /// The server accepts requests.
    pub is_serving: bool,
    /// The server is serving or draining, and not gone.
    pub is_listed: bool,
    /// Start of its process, if it may still be in slow start.
    pub started: Option<Time>,
}

/// The retry and hedge budgets of a route, published as gauges.
#[derive(Debug, Clone)]
pub struct RouteBudget<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Retries that each request adds to the budget.
    pub retry_ratio: f64,
    /// Hedged requests that each request adds to the budget; none if the route has no hedging.
    pub hedge_ratio: Option<f64>,
}

struct ClassSeries {
    objective: Micros,
    outcomes: [Counter; 4],
    in_flight: Gauge,
    within_objective: Counter,
    response_seconds: Histogram,
}

struct ZoneSeries {
    /// Finished attempts by class and outcome.
    attempts: Vec<Vec<Counter>>,
    attempt_seconds: Histogram,
    in_flight: Gauge,
}

struct RouteSeries {
    requests: Counter,
    retries: Counter,
    hedges: Counter,
}

struct ServerSeries {
    name: String,
    zone: u32,
    state: &'static str,
    /// Attempts by outcome, and the total time of the served ones; none without series by server.
    by_server: Option<(Vec<Counter>, Counter)>,
    /// The series carry the server's own name, not the common `other`.
    has_own_name: bool,
}

/// The series of an instance, and its observer.
pub struct Instance {
    /// The registry that holds the series.
    pub registry: Registry,
    observer: RefCell<Observer>,
    classes: Vec<ClassSeries>,
    class_names: Vec<String>,
    tenants: Vec<Counter>,
    zone_names: Vec<String>,
    /// Zones by their index in the settings; the last one is for all others.
    zones: Vec<ZoneSeries>,
    routes: RefCell<HashMap<String, RouteSeries>>,
    servers: RefCell<HashMap<u32, ServerSeries>>,
    server_names: usize,
    bad_requests: Counter,
    health_checks: Vec<Counter>,
    list_calls_ok: Counter,
    list_calls_failed: Counter,
    watch_timeouts: Counter,
    last_list_at: Cell<Option<Time>>,
    observed_since: Cell<Option<Time>>,
    breaches: [Counter; 4],
    near_misses: [Counter; 4],
}

impl Instance {
    /// Creates the series, with all counts at 0.
    pub fn new(info: &InstanceInfo) -> Self {
        let registry = Registry::new(info.external);
        let settings = info.settings;
        let mut bounds: Vec<f64> = COMMON_BOUNDS.to_vec();
        let limits = settings.classes.iter().flat_map(|class| [class.latency_objective, class.deadline]);
        for bound in limits.map(|limit| limit.ms() / 1e3).take(MAX_CLASS_BOUNDS) {
            if !bounds.contains(&bound) {
                bounds.push(bound);
            }
        }
        bounds.sort_by(f64::total_cmp);
        let histogram = |family: &Family, values: &[&str]| {
            registry.histogram(&Family { bounds: bounds.clone(), ..family.clone() }, values)
        };
        let classes = info.classes.iter().zip(&settings.classes).map(|(name, class)| ClassSeries {
            objective: class.latency_objective,
            outcomes: FinalOutcome::ALL.map(|(_, label)| registry.counter(&REQUESTS, &[name, label])),
            in_flight: registry.gauge(&IN_FLIGHT, &[name]),
            within_objective: registry.counter(&REQUESTS_WITHIN_OBJECTIVE, &[name]),
            response_seconds: histogram(&RESPONSE_SECONDS, &[name]),
        });
        let classes = classes.collect();
        let unknown = ZONE_UNKNOWN.to_owned();
        let zone_names: Vec<String> = info.zones.iter().chain([&unknown]).cloned().collect();
        let zones = zone_names.iter().map(|zone| ZoneSeries {
            attempts: info
                .classes
                .iter()
                .map(|class| {
                    OUTCOMES.map(|o| registry.counter(&ATTEMPTS, &[class, zone, outcome_label(o)])).to_vec()
                })
                .collect(),
            attempt_seconds: histogram(&ATTEMPT_SECONDS, &[zone]),
            in_flight: registry.gauge(&ATTEMPTS_IN_FLIGHT, &[zone]),
        });
        let zones = zones.collect();
        let instances = f64::from(settings.balancers.max(1));
        let tenants = info.tenants.iter().zip(&settings.tenants).map(|(name, tenant)| {
            registry.gauge(&TENANT_ALLOWANCE, &[name]).set(tenant.allowance_per_s / instances);
            registry.counter(&TENANT_REQUESTS, &[name])
        });
        let tenants = tenants.collect();
        registry.gauge(&BUILD, &[info.version]).set(1.0);
        registry.gauge(&START_TIME, &[]).set(info.started);
        registry.gauge(&FLEET, &[]).set(instances);
        registry.gauge(&GENERATION, &[]).set(1.0);
        registry.counter(&RELOADS_REFUSED, &[]);
        Instance {
            observer: RefCell::new(Observer::new(RuleParameters::from(settings))),
            classes,
            class_names: info.classes.to_vec(),
            tenants,
            zone_names,
            zones,
            routes: RefCell::default(),
            servers: RefCell::default(),
            server_names: info.server_names,
            bad_requests: registry.counter(&BAD_REQUESTS, &[]),
            health_checks: OUTCOMES.map(|o| registry.counter(&HEALTH_CHECKS, &[outcome_label(o)])).to_vec(),
            list_calls_ok: registry.counter(&LIST_CALLS, &["ok"]),
            list_calls_failed: registry.counter(&LIST_CALLS, &["failed"]),
            watch_timeouts: registry.counter(&WATCH_TIMEOUTS, &[]),
            last_list_at: Cell::new(None),
            observed_since: Cell::new(None),
            breaches: Rule::ALL.map(|rule| registry.counter(&BREACHES, &[rule.label()])),
            near_misses: Rule::ALL.map(|rule| registry.counter(&NEAR_MISSES, &[rule.label()])),
            registry,
        }
    }

    /// The observer of the rules.
    pub fn observer(&self) -> std::cell::Ref<'_, Observer> {
        self.observer.borrow()
    }

    /// Publishes the budgets of all routes. The gauges of a removed route are removed; its counters stay.
    pub fn set_route_budgets(&self, budgets: &[RouteBudget]) {
        for route in self.routes.borrow().keys() {
            for kind in ["retry", "second_copy"] {
                self.registry.remove(&RETRY_AND_HEDGE_BUDGET, &[kind, route]);
            }
        }
        for budget in budgets {
            self.with_route(budget.route, |_| {});
            self.registry.gauge(&RETRY_AND_HEDGE_BUDGET, &["retry", budget.route]).set(budget.retry_ratio);
            if let Some(hedges) = budget.hedge_ratio {
                self.registry.gauge(&RETRY_AND_HEDGE_BUDGET, &["second_copy", budget.route]).set(hedges);
            }
        }
    }

    fn with_route<T>(&self, route: &str, update: impl FnOnce(&RouteSeries) -> T) -> T {
        if let Some(series) = self.routes.borrow().get(route) {
            return update(series);
        }
        let series = RouteSeries {
            requests: self.registry.counter(&ROUTE_REQUESTS, &[route]),
            retries: self.registry.counter(&RETRIES_AND_HEDGES, &["retry", route]),
            hedges: self.registry.counter(&RETRIES_AND_HEDGES, &["second_copy", route]),
        };
        let result = update(&series);
        self.routes.borrow_mut().insert(route.to_owned(), series);
        result
    }

    /// The series of a zone; those of the unknown zone if it is not in the settings.
    fn zone(&self, zone: u32) -> &ZoneSeries {
        &self.zones[(zone as usize).min(self.zones.len() - 1)]
    }

    fn zone_name(&self, zone: u32) -> &str {
        &self.zone_names[(zone as usize).min(self.zone_names.len() - 1)]
    }

    fn zone_of(&self, server: u32) -> u32 {
        self.servers.borrow().get(&server).map_or(u32::MAX, |s| s.zone)
    }

    /// A complete request was received. Its client waits until `deadline`.
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
        self.with_route(route, |series| series.requests.inc());
        self.observer.borrow_mut().request_received(id, class, deadline);
    }

    /// An attempt was decided on. `number` is 0 for the first one of a request; a later one is a hedged request if another
    /// attempt is in flight, or else a retry.
    pub fn attempt_started(&self, server: u32, route: &str, number: u32, is_another_in_flight: bool) {
        self.zone(self.zone_of(server)).in_flight.inc();
        match (number, is_another_in_flight) {
            (0, _) => {}
            (_, true) => self.with_route(route, |series| series.hedges.inc()),
            (_, false) => self.with_route(route, |series| series.retries.inc()),
        }
    }

    /// The first byte of an attempt was sent.
    pub fn first_byte(&self, now: Time, id: u64, attempt: u32, server: u32) {
        self.observer.borrow_mut().first_byte(now, id, attempt, server);
    }

    /// An attempt has finished.
    pub fn attempt_finished(
        &self,
        (id, attempt): (u64, u32),
        class: usize,
        server: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let zone = self.zone(self.zone_of(server));
        zone.in_flight.dec();
        zone.attempts[class][outcome_index(outcome)].inc();
        let seconds = elapsed.ms() / 1e3;
        if outcome == Outcome::Success {
            zone.attempt_seconds.observe(seconds);
        }
        if let Some((outcomes, time)) = self.servers.borrow().get(&server).and_then(|s| s.by_server.as_ref())
        {
            outcomes[outcome_index(outcome)].inc();
            if outcome == Outcome::Success {
                time.inc_by(seconds);
            }
        }
        self.observer.borrow_mut().attempt_finished(id, attempt, outcome.never_ran());
    }

    /// The response to a request has begun, and goes on while its server sends it. The request's deadline limits the beginning, not
    /// the end.
    pub fn response_begun(&self, now: Time, id: u64) {
        self.observer.borrow_mut().response_sent(now, id, false);
    }

    /// A request has finished: the last byte of its response was sent, or its client disconnected.
    pub fn request_finished(&self, now: Time, id: u64, class: usize, outcome: FinalOutcome, elapsed: Micros) {
        self.count_finished_request(class, outcome, elapsed);
        let mut observer = self.observer.borrow_mut();
        if outcome == FinalOutcome::ClientLeft {
            observer.client_left(id);
        } else {
            observer.response_sent(now, id, outcome == FinalOutcome::Shed);
        }
    }

    /// Counts a finished request. This is all for one whose response had begun, which the observer has seen by then.
    pub fn count_finished_request(&self, class: usize, outcome: FinalOutcome, elapsed: Micros) {
        let series = &self.classes[class];
        series.in_flight.dec();
        series.outcomes[outcome as usize].inc();
        if outcome == FinalOutcome::ClientLeft {
            return;
        }
        series.response_seconds.observe(elapsed.ms() / 1e3);
        if outcome == FinalOutcome::Served && elapsed <= series.objective {
            series.within_objective.inc();
        }
    }

    /// An invalid request was received.
    pub fn bad_request(&self) {
        self.bad_requests.inc();
    }

    /// A health check has finished.
    pub fn health_check_finished(&self, outcome: Outcome) {
        self.health_checks[outcome_index(outcome)].inc();
    }

    /// A call to discovery succeeded.
    pub fn list_call_succeeded(&self, now: Time) {
        self.list_calls_ok.inc();
        self.last_list_at.set(Some(now));
    }

    /// A call to discovery failed for this cause.
    pub fn list_call_failed(&self, cause: &str) {
        self.list_calls_failed.inc();
        self.registry.counter(&LIST_FAILURES, &[cause]).inc();
    }

    /// A watch of discovery got no response in time.
    pub fn watch_timed_out(&self) {
        self.watch_timeouts.inc();
    }

    /// Applies a server's entry in the endpoint list.
    pub fn endpoint_listed(&self, now: Time, entry: EndpointEntry) {
        let location = (entry.zone, entry.dedup_group);
        self.observer.borrow_mut().endpoint_listed(
            now,
            entry.server,
            location,
            entry.is_serving,
            entry.started,
        );
        let mut servers = self.servers.borrow_mut();
        let has_own_name = servers.values().filter(|s| s.has_own_name).count() < self.server_names;
        let label = if has_own_name { entry.name } else { OTHER };
        let series = servers.entry(entry.server).or_insert_with(|| ServerSeries {
            name: entry.name.to_owned(),
            zone: entry.zone,
            state: "up",
            by_server: (self.server_names > 0).then(|| self.server_series(label)),
            has_own_name,
        });
        series.zone = entry.zone;
        series.state = match (entry.is_serving, entry.is_listed) {
            (true, _) => "up",
            (false, true) => "draining",
            (false, false) => "gone",
        };
    }

    /// A snapshot of the endpoint list no longer contains a server.
    pub fn endpoint_removed(&self, now: Time, server: u32) {
        if let Some(series) = self.servers.borrow_mut().get_mut(&server) {
            series.state = "gone";
        }
        self.observer.borrow_mut().endpoint_removed(now, server);
    }

    /// Creates the series by server under a name.
    fn server_series(&self, name: &str) -> (Vec<Counter>, Counter) {
        let outcomes = OUTCOMES.map(|o| self.registry.counter(&SERVER_ATTEMPTS, &[outcome_label(o), name]));
        (outcomes.to_vec(), self.registry.counter(&SERVER_SECONDS, &[name]))
    }

    /// Forgets a server that was removed long ago: its series are removed, so that another server may have its own.
    pub fn forget(&self, server: u32) {
        self.observer.borrow_mut().forget(server);
        let Some(series) = self.servers.borrow_mut().remove(&server) else { return };
        // The series of servers without their own name is shared, so it stays.
        if series.has_own_name {
            for outcome in OUTCOMES {
                self.registry.remove(&SERVER_ATTEMPTS, &[outcome_label(outcome), &series.name]);
            }
            self.registry.remove(&SERVER_SECONDS, &[&series.name]);
        }
    }

    /// Lets the observer count overdue responses. To be called regularly.
    pub fn check_overdue(&self, now: Time) {
        if self.observed_since.get().is_none() {
            self.observed_since.set(Some(now));
        }
        self.observer.borrow_mut().check_overdue(now);
    }

    /// Sets the total of one kind of violation, which the guard counts.
    pub fn rule_violations(&self, rule: &str, total: u64) {
        raise_to(&self.registry.counter(&VIOLATIONS, &[rule]), total);
    }

    /// Sets the total of responses that were cut off, which the request log counts.
    pub fn cut_responses(&self, total: u64) {
        raise_to(&self.registry.counter(&CUT_RESPONSES, &[]), total);
    }

    /// Sets the metrics of remote write, which the sender counts.
    pub fn set_remote_write(
        &self,
        counts: &sender::Counts,
        queue_bytes: usize,
        oldest: Duration,
        clock_steps: u64,
    ) {
        let totals = [
            ("sent", counts.sent),
            ("retried", counts.retried),
            ("dropped_full", counts.dropped_full),
            ("dropped_refused", counts.dropped_refused),
            ("unwritten", counts.unwritten),
        ];
        for (label, total) in totals {
            raise_to(&self.registry.counter(&REMOTE_SAMPLES, &[label]), total);
        }
        self.registry.gauge(&REMOTE_QUEUE, &[]).set(queue_bytes as f64);
        self.registry.gauge(&REMOTE_QUEUE_AGE, &[]).set(oldest.as_secs_f64());
        raise_to(&self.registry.counter(&CLOCK_STEPS, &[]), clock_steps);
    }

    /// The current values of all series.
    pub fn gather(&self, now: Time) -> Vec<Sample> {
        self.check_overdue(now);
        let mut observer = self.observer.borrow_mut();
        for rule in Rule::ALL {
            let margin = observer.margin(rule);
            raise_to(&self.breaches[rule as usize], margin.breaches);
            raise_to(&self.near_misses[rule as usize], margin.near_misses);
            let (family, labels): (&Family, &[&str]) = match rule {
                Rule::SlowStart => (&SLOW_START_MARGIN, &[]),
                _ => (&MARGIN, &[rule.label()]),
            };
            match observer.take_recent_min(rule) {
                Some(margin) => self.registry.gauge(family, labels).set(margin),
                None => self.registry.remove(family, labels),
            }
        }
        drop(observer);
        let servers = self.servers.borrow();
        for (index, zone) in self.zone_names.iter().enumerate() {
            let is_in_zone = |s: &&ServerSeries| self.zone_name(s.zone) == zone;
            // The unknown zone has a series only if the endpoint list contains zones that are not in the settings.
            let has_series = index + 1 < self.zone_names.len() || servers.values().any(|s| is_in_zone(&s));
            for state in ["up", "draining", "gone"] {
                let count = servers.values().filter(is_in_zone).filter(|s| s.state == state).count();
                if has_series {
                    self.registry.gauge(&SERVERS, &[state, zone]).set(count as f64);
                }
            }
        }
        drop(servers);
        let since = self.last_list_at.get().or(self.observed_since.get());
        self.registry.gauge(&LIST_AGE, &[]).set(since.map_or(0.0, |at| now.since(at).ms() / 1e3));
        self.registry.gather()
    }

    /// Names of the classes, by their numbers.
    pub fn classes(&self) -> &[String] {
        &self.class_names
    }
}

/// Raises a counter to a total that is counted elsewhere.
fn raise_to(counter: &Counter, count: u64) {
    counter.inc_by((count as f64 - counter.get()).max(0.0));
}
