//! The driver of the [`Balancer`], a state machine without I/O: it passes what happens on sockets to the balancer as
//! events, and carries out the actions that the balancer returns.
//!
//! The driver itself makes no balancing decisions. It runs on one thread and handles one event at a time: the actions
//! of an event are carried out, in their order, before the next event is handled. An action never calls back into the
//! balancer; its consequences are queued as events. After a stall of the process, only endpoint lists are handled
//! until a new one arrives or the wait for it times out.
//!
//! - [`requests`]: requests without a final response.
//! - [`attempts`]: attempts in flight and health checks.
//! - [`claims`]: requests that must not be executed again under the same id.
//! - [`endpoints`]: the servers of discovery's list.
//! - [`timers`]: the balancer's timers and the detection of stalls.
//! - [`reload`]: new settings and routes.
//! - [`peers`]: hints and fleet state from other instances.

mod attempts;
mod claims;
mod endpoints;
mod peers;
mod reload;
mod requests;
mod timers;

pub use requests::{
    class_signature, FinalResponse, IncomingRequest, RequestBody, SubmittedRequest, MAX_UPLOAD_TIME,
};

use crate::clock::Clock;
use crate::daemon::config::Config;
use crate::discovery::codec::EndpointList;
use crate::discovery::monitor::Monitor;
use crate::discovery::Discovery;
use crate::memory::Memory;
use crate::peers::Peers;
use crate::request_log::{RequestLog, ResponseReason};
use crate::upstream::Upstream;
use attempts::{AttemptKey, AttemptsInFlight, ScheduledAttempt};
use bellcroft_agent_core::guard::Guard;
use bellcroft_agent_core::reconfigure::{AttemptLimitTransition, ClassRegistry};
use bellcroft_agent_core::shutdown::ShutdownSchedule;
use bellcroft_agent_core::stall::StallDetector;
use bellcroft_agent_core::wake_delay::WakeDelays;
use bellcroft_balancer::{Action, Balancer, EndpointUpdate, Event, Micros, ServerId, SettingsError};
use bellcroft_platform_settings::Names;
use bellcroft_routes::{BudgetIds, LatencyWindow, RouteTable};
use bellcroft_telemetry::Instance;
use claims::Claims;
use endpoints::EndpointTable;
use reload::watch_policy;
use requests::PendingRequests;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use timers::TimerQueue;
use tokio::sync::Notify;
use tracing::info;

/// Time within which discovery responds to the first call. That response contains all changes since the configured
/// list was written, so only starts that are listed later count as recent.
const FIRST_RESPONSE_TIME: Micros = Micros(500_000);

/// The balancer, and the state of the requests, attempts and servers that it controls.
struct State {
    balancer: Balancer,
    /// Queued events in the order in which they are handled.
    events: VecDeque<Event>,
    /// The buffer for the actions of one event, reused.
    actions: Vec<Action>,
    timers: TimerQueue,
    requests: PendingRequests,
    attempts: AttemptsInFlight,
    endpoints: EndpointTable,
    discovery: Discovery,
    routes: Rc<RouteTable>,
    route_ids: BudgetIds,
    /// The previous maximum number of attempts, which still applies for some time after a reload.
    attempt_limit: AttemptLimitTransition,
    /// Recent response times by class.
    response_times: Vec<LatencyWindow>,
}

impl State {
    /// Removes the next event from the queue. While decisions are deferred, this is the next endpoint list.
    fn next_event(&mut self, deferred: bool) -> Option<Event> {
        if !deferred {
            return self.events.pop_front();
        }
        let index = self.events.iter().position(|event| matches!(event, Event::Endpoints(_)))?;
        self.events.remove(index)
    }
}

/// Connects the balancer with the sockets, timers and peers of this process.
pub struct Driver {
    /// The balancer's clock.
    pub clock: Clock,
    /// The memory that clients and servers can make this process hold.
    pub memory: Memory,
    /// The names in the settings. A reload keeps the index of each name.
    names: RefCell<Rc<Names>>,
    class_registry: RefCell<ClassRegistry>,
    upstream: Rc<Upstream>,
    /// Counts and logs the calls to discovery.
    discovery_monitor: RefCell<Monitor>,
    /// Telemetry of this instance, if remote write is configured.
    pub telemetry: Option<Rc<Instance>>,
    /// Checks sent attempts, responses and closed connections against the limits of requests and of the process.
    pub guard: Rc<RefCell<Guard>>,
    /// The claims of this process, and of the others of an upgrade, to the ids of requests.
    claims: RefCell<Claims>,
    /// Logs the events of each request.
    pub request_log: Rc<RequestLog>,
    state: RefCell<State>,
    /// Delays with which the task of [`Driver::run`] woke.
    wake_delays: RefCell<WakeDelays>,
    /// Wakes the task of [`Driver::run`] when the earliest timer or the deferral has changed.
    wake: Notify,
    /// The connection to the other instances, if peers are configured.
    peers: RefCell<Option<Rc<Peers>>>,
    /// The number of instances that share the fleet's quotas, as counted by membership; 0 before the first count.
    fleet_size: Cell<u32>,
    /// The number of instances that share the fleet's quotas, as configured or counted.
    instances: Cell<u32>,
    /// The number of processes that share this instance's quotas.
    processes: Cell<u32>,
    /// Detects stalls of this process; none without peers.
    stall_detector: Cell<Option<StallDetector>>,
}

impl Driver {
    /// Starts the balancer with the endpoint list of the configuration.
    ///
    /// # Errors
    ///
    /// The settings are invalid for the balancer.
    pub fn start(
        config: Config,
        connections: usize,
        telemetry: Option<Rc<Instance>>,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let memory = Memory::of_process(config.memory, config.sockets);
        let class_registry = ClassRegistry::new(&config.names.classes, &config.settings.classes);
        let upstream = Rc::new(Upstream::new(
            connections,
            duration(config.names.connect_timeout),
            duration(config.names.keepalive),
            config.names.report_fields.clone(),
            memory.clone(),
        ));
        let names = Rc::new(config.names.clone());
        let known = config.known.clone();
        let instances = config.settings.balancers;
        let mut state = State::new(config)?;
        let mut actions = Vec::new();
        state.balancer.start(clock.now(), &mut actions);
        let driver = Rc::new(Driver {
            clock,
            memory,
            names: RefCell::new(names),
            class_registry: RefCell::new(class_registry),
            upstream,
            discovery_monitor: RefCell::default(),
            telemetry,
            guard: Rc::default(),
            claims: RefCell::new(Claims::new()),
            request_log: Rc::default(),
            state: RefCell::new(state),
            wake_delays: RefCell::default(),
            wake: Notify::new(),
            peers: RefCell::default(),
            fleet_size: Cell::new(0),
            instances: Cell::new(instances),
            processes: Cell::new(1),
            stall_detector: Cell::new(None),
        });
        driver.start_endpoints(known, actions);
        driver.pump();
        Ok(driver)
    }

    /// Applies the configured list, carries out the balancer's first actions, and starts the watch of discovery.
    fn start_endpoints(self: &Rc<Self>, known: EndpointList, actions: Vec<Action>) {
        let state = &mut *self.state.borrow_mut();
        let endpoints = self.apply_list(state, known);
        if !endpoints.is_empty() {
            state.endpoints.set_recent_from(self.clock.now() + FIRST_RESPONSE_TIME);
        }
        state.events.push_back(Event::Endpoints(EndpointUpdate::SavedSnapshot(endpoints)));
        for action in actions {
            self.carry_out(state, action);
        }
        // Where lists are pushed, the balancer never starts a watch; over sockets one is needed to receive the lists.
        if state.discovery.restarts_watches() {
            self.watch_discovery(state, true);
        }
    }

    /// Begins the shutdown: all pending and new requests get their responses by the times of this schedule.
    pub fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.guard.borrow_mut().begin_shutdown(schedule);
        self.request_log.on_shutdown();
    }

    /// The number of listed servers that at present get no requests, or fewer than their weight entitles them to.
    pub fn avoided_servers(&self) -> usize {
        self.state.borrow().balancer.avoided_servers(self.clock.now())
    }

    /// The number of attempts that were completely written to a server.
    pub fn attempts_sent(&self) -> u64 {
        self.upstream.attempts_sent()
    }

    /// Sets the maximum number of open connections to servers.
    pub fn set_max_connections(&self, connections: usize) {
        self.upstream.set_max_connections(connections);
    }

    /// The number of open connections to servers, and the maximum number.
    pub fn connections(&self) -> (usize, usize) {
        self.upstream.connections()
    }

    /// Handles the queued events and the events that their actions queue.
    fn pump(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let deferred = self.defers_decisions(&mut state);
        while let Some(event) = state.next_event(deferred) {
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
            state.actions = actions;
            if let Some(peers) = &*self.peers.borrow() {
                peers.record_responses(state.balancer.drain_samples());
            }
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, attempt, server, timeout_at, write_by } => {
                let key = AttemptKey { request, attempt: attempt.0 };
                self.start_attempt(state, ScheduledAttempt { key, server, timeout_at, write_by });
            }
            Action::Cancel { request, attempt } => {
                state.attempts.cancel(AttemptKey { request, attempt: attempt.0 });
            }
            Action::Shed { request, retry_after } => {
                if let Some(peers) = &*self.peers.borrow() {
                    peers.on_request_shed();
                }
                self.respond(state, request, FinalResponse::Shed(retry_after), ResponseReason::Rejected);
            }
            Action::Fail { request } => self.fail(state, request),
            Action::SetTimer { at, timer } => {
                if state.timers.set(at, timer) {
                    self.wake.notify_one();
                }
            }
            Action::HealthCheck { server } => self.check_health(server),
            Action::CloseIdle { server } => self.upstream.close_idle(server),
            Action::Watch { active } => self.watch_discovery(state, active),
            Action::FetchEndpoints => state.discovery.fetch(self.clone()),
            Action::SendHint { to, payload } => {
                let server = payload.try_into().map(u32::from_be_bytes).map(ServerId);
                let name = server.ok().and_then(|server| state.endpoints.name(server));
                self.send_hint(name, to);
            }
            Action::Log { text } => info!(target: "bellcroft::decisions", "{text}"),
        }
    }
}

impl State {
    fn new(config: Config) -> Result<Self, SettingsError> {
        let mut route_ids = BudgetIds::default();
        let routes = Rc::new(RouteTable::unchecked(&config.routes, &mut route_ids));
        let response_times = config.names.classes.iter().map(|_| LatencyWindow::default()).collect();
        let discovery = Discovery::new(config.discovery, watch_policy(&config.settings));
        Ok(State {
            balancer: Balancer::new(config.settings, config.seed)?,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: TimerQueue::default(),
            requests: PendingRequests::default(),
            attempts: AttemptsInFlight::default(),
            endpoints: EndpointTable::new(config.known.version),
            discovery,
            routes,
            route_ids,
            attempt_limit: AttemptLimitTransition::default(),
            response_times,
        })
    }
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}
