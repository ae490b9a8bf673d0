//! The one owner of the [`Balancer`]: tells it what happens on the sockets, and does what it decides.
//!
//! Nothing is decided here. Everything runs on one thread, so an event is handled, and its actions are carried
//! out, before anything else happens; an action never calls back into the balancer, it queues an event.

use crate::clock::Clock;
use crate::daemon::config::Config;
use crate::daemon::status::Servers;
use crate::discovery::codec::{EndpointList, Health};
use crate::discovery::error::CallError;
use crate::discovery::monitor::{DiscoveryStatus, Monitor};
use crate::discovery::policy::WatchPolicy;
use crate::discovery::Discovery;
use crate::peers::{name_hash, Decisions, Peers};
use crate::request_log::{AnswerReason, RequestLog};
use crate::streaming_body::{OutgoingBody, StreamingBody};
use crate::telemetry::{FirstByte, PendingTimer, NO_ROUTE};
use crate::upstream::{AttemptLimits, AttemptProgress, AttemptResult, Content, Upstream};
use bellcroft_agent_core::clock_skew::ClockSkew;
use bellcroft_agent_core::guard::{AttemptHistory, AttemptWindow, Guard, ServerGroups};
use bellcroft_agent_core::reconfigure::{
    merge_names, AttemptLimitTransition, ClassRegistry, ClassSignature, IncompatibleClass,
};
use bellcroft_agent_core::shutdown::ShutdownSchedule;
use bellcroft_agent_core::stall::StallDetector;
use bellcroft_balancer::*;
use bellcroft_platform_settings::{fnv1a, Names};
use bellcroft_routes::{Ids, Recent, Route, SecondCopy, Table};
use bellcroft_telemetry::{Instance, Line};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request, StatusCode, Uri};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use tracing::{info, warn};

/// What has changed since the list that the configuration knows is told at once; what is told later has happened since.
const FIRST_ANSWER_TIME: Micros = Micros(500_000);

/// Idle connections are looked through this often.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Entries of the list that are left out are told once each, this many at most: a list may bring new ones for ever.
const MAX_REPORTED_ENTRIES: usize = 200;

/// A server's name and number are kept this long after it has left: longer than the balancer remembers the number,
/// so that a name that shares it by chance is not taken for the one that left.
const SERVER_NAME_RETENTION: Duration = Duration::from_secs(30);

/// A request's body.
pub enum RequestBody {
    /// It has come whole.
    Complete(Bytes),
    /// It is coming, and passed on as it comes.
    Streaming(Rc<StreamingBody>),
}

impl RequestBody {
    /// One that is still coming.
    pub fn upload(&self) -> Option<&Rc<StreamingBody>> {
        match self {
            RequestBody::Complete(_) => None,
            RequestBody::Streaming(upload) => Some(upload),
        }
    }
}

/// The longest that a request's body may be on its way; it must keep coming all that time.
pub const MAX_UPLOAD_TIME: Duration = Duration::from_secs(900);

/// A request as the application sent it.
pub struct IncomingRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// What it is about.
    pub key: Option<KeyId>,
    /// A guess at its work.
    pub cost_hint: Option<Micros>,
    /// The client says that it is a repeat.
    pub is_retry: bool,
    /// When its answer must be on its way; of one that is coming, when it must have come.
    pub deadline: Instant,
    /// How long its answer may take from its last byte on.
    pub response_timeout: Duration,
    /// When it had come whole, or as much of it as is taken before it goes on.
    pub received_at: Instant,
    /// Until when its client waits.
    pub client_deadline: Instant,
    /// Its `X-Request-ID`.
    pub request_id: Rc<str>,
    /// Its route, as it was when it came.
    pub route: Option<Arc<Route>>,
}

/// The one final answer to a request.
pub enum FinalResponse {
    /// A backend's answer: its content type and its body.
    Served(Option<HeaderValue>, Content),
    /// Refused by the balancer; trying again is harmless, and makes sense after this long.
    Rejected(Option<Micros>),
    /// Failed, with no promise.
    Failed(StatusCode),
}

/// A request that is owed its answer.
struct PendingRequest {
    answer: oneshot::Sender<FinalResponse>,
    parts: Rc<IncomingRequest>,
    sends: u32,
    history: AttemptHistory,
    timed_out: bool,
}

/// When a server last started: as the list says, and by this process's clock.
#[derive(Debug, Clone, Copy)]
struct ServerStart {
    born_ms: f64,
    local: Time,
}

struct State {
    balancer: Balancer,
    queue: VecDeque<Event>,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    next_request: u64,
    open: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<(RequestId, u32), Rc<AttemptProgress>>,
    servers: HashMap<String, ServerId>,
    names: HashMap<ServerId, String>,
    /// When each server last started.
    starts: HashMap<ServerId, ServerStart>,
    skew: ClockSkew,
    /// A start that is heard of from then on has just happened; none while no list is held.
    news_from: Option<Time>,
    /// What each server drops repeats with.
    groups: HashMap<ServerId, ServerGroups>,
    /// Servers that have left, and when.
    left: HashMap<ServerId, Instant>,
    /// Servers that the list says are up.
    up: HashSet<ServerId>,
    /// The version of the list; none after discovery has moved, for versions are each service's own.
    seq: Option<u64>,
    /// What of the list was left out, and has been told.
    rejected_entries: HashSet<String>,
    discovery: Discovery,
    routes: Rc<Table>,
    ids: Ids,
    attempts_most: AttemptLimitTransition,
    /// The answer times of each class.
    recent: Vec<Recent>,
    log: Rc<RequestLog>,
}

/// Drives the balancer.
pub struct Driver {
    /// The balancer's clock.
    pub clock: Clock,
    /// The names of the settings; places keep theirs.
    names: RefCell<Rc<Names>>,
    /// The classes by their places.
    book: RefCell<ClassRegistry>,
    upstream: Rc<Upstream>,
    /// The calls to discovery, as operators see them.
    monitor: RefCell<Monitor>,
    /// What is counted, if anybody wants it.
    pub telemetry: Option<Rc<Instance>>,
    /// Asked before anything is sent or closed.
    pub guard: Rc<RefCell<Guard>>,
    /// Each event of a request's life.
    pub request_log: Rc<RequestLog>,
    state: RefCell<State>,
    wake: Notify,
    /// The other instances, where they are looked for.
    peers: RefCell<Option<Rc<Peers>>>,
    /// By how many it reckons what is counted for the whole fleet, if by more than the settings say.
    reckoned: Cell<u32>,
    /// Whether decisions wait for the list, as the process had stood still; watched where peers are looked for.
    waking: Cell<Option<StallDetector>>,
}

impl Driver {
    /// A driver that has the list that the configuration knows.
    pub fn start(
        config: Config,
        connections: usize,
        telemetry: Option<Rc<Instance>>,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let mut ids = Ids::default();
        let routes = Rc::new(Table::unchecked(&config.routes, &mut ids));
        let recent = config.names.classes.iter().map(|_| Recent::default()).collect();
        let book = ClassRegistry::new(&config.names.classes, &config.settings.classes);
        let upstream = Rc::new(Upstream::new(
            connections,
            Duration::from_micros(config.names.connect_timeout.0),
            Duration::from_micros(config.names.keepalive.0),
            config.names.report_fields.clone(),
        ));
        let watch_policy = watch_policy(&config.settings);
        let request_log = Rc::<RequestLog>::default();
        let mut balancer = Balancer::new(config.settings, config.seed)?;
        let mut actions = Vec::new();
        balancer.start(clock.now(), &mut actions);
        let state = State {
            balancer,
            queue: VecDeque::new(),
            actions: Vec::new(),
            timers: BinaryHeap::new(),
            next_request: 0,
            open: HashMap::new(),
            attempts: HashMap::new(),
            servers: HashMap::new(),
            names: HashMap::new(),
            starts: HashMap::new(),
            skew: ClockSkew::default(),
            news_from: None,
            groups: HashMap::new(),
            left: HashMap::new(),
            up: HashSet::new(),
            seq: Some(config.known.seq),
            rejected_entries: HashSet::new(),
            discovery: Discovery::new(config.discovery, watch_policy),
            routes,
            ids,
            attempts_most: AttemptLimitTransition::default(),
            recent,
            log: request_log.clone(),
        };
        let driver = Rc::new(Driver {
            clock,
            names: RefCell::new(Rc::new(config.names)),
            book: RefCell::new(book),
            upstream,
            monitor: RefCell::default(),
            telemetry,
            guard: Rc::default(),
            request_log,
            state: RefCell::new(state),
            wake: Notify::new(),
            peers: RefCell::default(),
            reckoned: Cell::new(0),
            waking: Cell::new(None),
        });
        {
            let mut state = driver.state.borrow_mut();
            let list = driver.take_list(&mut state, config.known);
            if !list.is_empty() {
                state.news_from = Some(clock.now() + FIRST_ANSWER_TIME);
            }
            state.queue.push_back(Event::Endpoints(EndpointUpdate::SavedSnapshot(list)));
            for action in actions {
                driver.carry_out(&mut state, action);
            }
            // The decisions take a list that is pushed to come by itself; over sockets nothing does.
            if state.discovery.follows_by_itself() {
                let seq = state.known_version();
                state.discovery.watch(&driver, true, seq);
            }
        }
        driver.pump();
        Ok(driver)
    }

    /// When a request with this deadline has its answer.
    fn answer_by(&self, deadline: Instant) -> Time {
        self.guard.borrow().answer_by(self.clock.at(deadline))
    }

    /// Whether there is a backend to send to.
    pub fn is_ready(&self) -> bool {
        !self.state.borrow().up.is_empty()
    }

    /// The first route that matches a request.
    pub fn route(&self, class: ClassId, tenant: Option<TenantId>, path: &str) -> Option<Arc<Route>> {
        let routes = self.state.borrow().routes.clone();
        let names = self.names();
        let tenant = tenant.and_then(|t| names.tenants.get(t.0)).map(String::as_str);
        routes.lookup(self.book.borrow().name(class.0), tenant, path).cloned()
    }

    /// The names of the settings.
    pub fn names(&self) -> Rc<Names> {
        self.names.borrow().clone()
    }

    /// The class whose rules a request goes by that names this one and has this form.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn class(&self, name: &str, form: ClassSignature) -> Result<ClassId, IncompatibleClass> {
        self.book.borrow().find(self.clock.now(), name, form).map(ClassId)
    }

    /// The name of a class.
    pub fn class_name(&self, class: ClassId) -> String {
        self.book.borrow().name(class.0).to_owned()
    }

    /// Goes by a newer file's settings from now on; what is open keeps its class.
    ///
    /// # Errors
    ///
    /// The decisions cannot work with them; nothing has changed then.
    pub fn reconfigure(self: &Rc<Self>, newer: &Config) -> Result<(), SettingsError> {
        newer.settings.check()?;
        let mut state = self.state.borrow_mut();
        let (old, now) = (self.names(), self.clock.now());
        let former = state.balancer.settings().clone();
        let mut settings = newer.settings.clone();
        let (tenants, places) = merge_names(&old.tenants, &newer.names.tenants);
        let mut shares = former.tenants.clone();
        shares.resize(tenants.len(), Tenant::default());
        for (place, tenant) in places.iter().zip(&newer.settings.tenants) {
            shares[*place] = tenant.clone();
        }
        settings.tenants = shares;
        let (zones, places) = merge_names(&old.zones, &newer.names.zones);
        if let Some(place) = places.get(settings.zone.0 as usize) {
            settings.zone = ZoneId(*place as u32);
        }
        settings.balancers = settings.balancers.max(self.reckoned.get());
        let (kinds, _) = merge_names(&old.kinds, &newer.names.kinds);
        let mut book = self.book.borrow_mut();
        let free = |place: usize| !state.balancer.references_class(ClassId(place));
        let changed = book.reconfigure(now, &newer.names.classes, &newer.settings.classes, free);
        settings.classes = book.classes();
        if settings.max_attempts != former.max_attempts {
            state.attempts_most.on_limit_changed(former.max_attempts, now);
        }
        state.balancer.reconfigure(settings, &changed)?;
        let followed = state.discovery.follows_by_itself();
        let watch_policy = watch_policy(state.balancer.settings());
        state.discovery.reconfigure(watch_policy);
        if followed != state.discovery.follows_by_itself() {
            let seq = state.known_version();
            state.discovery.watch(self, true, seq);
        }
        state.recent.resize_with(book.len(), Recent::default);
        changed.iter().for_each(|(place, _)| state.recent[*place] = Recent::default());
        self.upstream.reconfigure(
            Duration::from_micros(newer.names.connect_timeout.0),
            Duration::from_micros(newer.names.keepalive.0),
            newer.names.report_fields.clone(),
        );
        *self.names.borrow_mut() = Rc::new(Names { tenants, zones, kinds, ..newer.names.clone() });
        Ok(())
    }

    /// Requests that come from now on go by these routes; those that are open keep what they began with. They have
    /// been checked with the configuration that they are part of.
    pub fn set_routes(&self, config: &Config) {
        let mut state = self.state.borrow_mut();
        let table = Table::unchecked(&config.routes, &mut state.ids);
        state.routes = Rc::new(table);
    }

    /// The servers by what the list says of them.
    pub fn servers(&self) -> Servers {
        let state = self.state.borrow();
        let (all, up, gone) = (state.names.len(), state.up.len(), state.left.len());
        Servers { up, gone, draining: all.saturating_sub(up + gone) }
    }

    /// The process has been told to end: all that is open, and all that comes, has its answer by the times of this schedule.
    pub fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.guard.borrow_mut().begin_shutdown(schedule);
        self.request_log.begin_shutdown();
    }

    /// Requests that have no answer.
    pub fn pending(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Gives every request that has no answer a failure, for the process ends before their deadlines.
    pub fn fail_pending_requests(self: &Rc<Self>) {
        {
            let mut state = self.state.borrow_mut();
            let open: Vec<RequestId> = state.open.keys().copied().collect();
            for request in open {
                let answer = FinalResponse::Failed(StatusCode::GATEWAY_TIMEOUT);
                state.answer(request, answer, AnswerReason::ProcessEnds);
                state.queue.push_back(Event::ClientDisconnected { request });
            }
        }
        self.pump();
    }

    /// Servers of the list that get nothing at present, or less than their share.
    pub fn avoided_servers(&self) -> usize {
        self.state.borrow().balancer.avoided_servers(self.clock.now())
    }

    /// Attempts that were written whole to a server.
    pub fn attempts_sent(&self) -> u64 {
        self.upstream.attempts_sent()
    }

    /// From now on it may hold so many connections to servers.
    pub fn set_max_connections(&self, connections: usize) {
        self.upstream.set_max_connections(connections);
    }

    /// Connections to servers, and how many there may be.
    pub fn connections(&self) -> (usize, usize) {
        self.upstream.connections()
    }

    /// Hands a request to the balancer; its answer comes over the channel. Whoever writes that answer tells the third.
    pub fn submit(
        self: &Rc<Self>,
        arrival: IncomingRequest,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>, Option<PendingTimer>) {
        let (answer, receiver) = oneshot::channel();
        let (id, owing) = {
            let mut state = self.state.borrow_mut();
            let id = RequestId(state.next_request);
            state.next_request += 1;
            let now = self.clock.now();
            let time_left = self.answer_by(arrival.deadline).since(now);
            state.log.taken(&arrival.request_id, arrival.class.0, Duration::from_micros(time_left.0));
            let effect =
                state.balancer.settings().classes.get(arrival.class.0).map(|class| class.retry_safety);
            let ending = self.guard.borrow().must_answer_all(now);
            let mut limits = arrival.route.as_ref().map(|route| route.limits.clone());
            if let Some(most) = state.attempts_most.max_attempts(self.clock.now()) {
                let fewer = limits.as_deref().unwrap_or(&Limits::STANDARD).clone();
                limits = Some(Arc::new(Limits { max_attempts: fewer.max_attempts.min(most), ..fewer }));
            }
            let request = bellcroft_balancer::Request {
                tenant: arrival.tenant,
                key: arrival.key,
                cost_hint: arrival.cost_hint,
                is_retry: arrival.is_retry,
                streaming: arrival.body.upload().is_some(),
                limits,
                // What is coming can go one way at a time.
                hedge_after: arrival.route.as_ref().filter(|_| arrival.body.upload().is_none()).and_then(
                    |route| match route.second_copy_after {
                        SecondCopy::Never => None,
                        SecondCopy::After(after) => Some(after),
                        SecondCopy::Percentile(p) => state.recent[arrival.class.0].percentile(p),
                    },
                ),
                ..bellcroft_balancer::Request::new(id, arrival.class, time_left)
            };
            let owing = self.telemetry.clone().map(|telemetry| {
                let (class, route) = (arrival.class.0, route_of(&arrival));
                let until = self.clock.at(arrival.client_deadline);
                telemetry.taken(id.0, class, arrival.tenant.map(|t| t.0), route, until);
                PendingTimer::new(telemetry, self.clock, id, class, arrival.received_at)
            });
            let history = AttemptHistory::new(effect.unwrap_or(RetrySafety::AtMostOnce));
            let open =
                PendingRequest { answer, parts: Rc::new(arrival), sends: 0, history, timed_out: false };
            state.open.insert(id, open);
            if ending {
                // Nothing of it has gone out, and nothing will.
                state.answer(id, FinalResponse::Rejected(None), AnswerReason::ProcessEnds);
            } else {
                state.queue.push_back(Event::Request(request));
            }
            if let Some(peers) = &*self.peers.borrow() {
                peers.on_request_received();
            }
            (id, owing)
        };
        self.pump();
        (id, receiver, owing)
    }

    /// The last byte of a request that was coming has come; its answer must be on its way by `deadline`.
    pub fn on_body_complete(self: &Rc<Self>, id: RequestId, deadline: Instant) {
        {
            let mut state = self.state.borrow_mut();
            let Some(sends) = state.open.get(&id).map(|open| open.sends) else { return };
            let answer_by = self.answer_by(deadline);
            for attempt in 0..sends {
                if let Some(progress) = state.attempts.get(&(id, attempt)) {
                    progress.end_by(self.clock.instant(answer_by));
                }
            }
            let time_left = answer_by.since(self.clock.now());
            state.queue.push_back(Event::BodyComplete { request: id, time_left });
        }
        self.pump();
    }

    /// The client no longer waits, or must not wait longer. Attempts that are out whole go on, and their
    /// outcomes still count; what has not been written stays unwritten.
    pub fn on_client_disconnected(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.open.remove(&id) else { return };
            state.log.client_left(&open.parts.request_id);
            state.stop_unwritten(id, open.sends);
            state.queue.push_back(Event::ClientDisconnected { request: id });
        }
        self.pump();
    }

    /// Discovery has answered with this list.
    pub fn on_endpoints(self: &Rc<Self>, list: EndpointList) {
        self.monitor.borrow_mut().on_answer(list.seq);
        if let Some(telemetry) = &self.telemetry {
            telemetry.list_answered(self.clock.now());
        }
        if let Some(mut waking) = self.waking.get() {
            waking.on_endpoint_list();
            self.waking.set(Some(waking));
        }
        let update = {
            let state = &mut self.state.borrow_mut();
            let update = match list.whole {
                true => EndpointUpdate::Snapshot(self.take_list(state, list)),
                false => EndpointUpdate::Delta(self.take_list(state, list)),
            };
            state.news_from.get_or_insert(self.clock.now());
            update
        };
        self.update_list(update);
    }

    /// The watch of discovery has failed: the balancer says when the next begins.
    pub fn on_watch_failed(self: &Rc<Self>) {
        self.update_list(EndpointUpdate::Failed);
    }

    /// A call to discovery goes out.
    pub fn on_discovery_call(&self) {
        self.monitor.borrow_mut().on_call();
    }

    /// A call to discovery has failed; of a watch, how long it had been open.
    pub fn on_call_failed(&self, watch: Option<Duration>, error: &CallError) {
        let version = self.state.borrow().seq;
        self.monitor.borrow_mut().on_failure(version, watch, error);
        if let Some(telemetry) = &self.telemetry {
            telemetry.list_call_failed(error.cause());
        }
    }

    /// A watch of this version has not answered so long after it began.
    pub fn on_silent_watch(&self, version: u64, elapsed: Duration) {
        self.monitor.borrow_mut().on_silent_watch(version, elapsed);
        if let Some(telemetry) = &self.telemetry {
            telemetry.watch_silent();
        }
    }

    /// The calls to discovery since the start.
    pub fn discovery_status(&self) -> DiscoveryStatus {
        self.monitor.borrow().status(self.state.borrow().seq)
    }

    /// Before all else that is queued: what waits for the list is to be decided by it.
    fn update_list(self: &Rc<Self>, update: EndpointUpdate) {
        self.state.borrow_mut().queue.push_front(Event::Endpoints(update));
        self.pump();
    }

    /// Discovery has moved: the new one is watched from its whole list on. What is known stands until that comes.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        self.state.borrow_mut().ask_anew(self, address);
    }

    /// Looks for other instances from now on, by way of these.
    pub fn set_peers(&self, peers: Rc<Peers>) {
        *self.peers.borrow_mut() = Some(peers);
        self.waking.set(Some(StallDetector::new(self.clock.now())));
    }

    /// The other instances, where they are looked for.
    pub fn peers(&self) -> Option<Rc<Peers>> {
        self.peers.borrow().clone()
    }

    /// How often this process has stood still.
    pub fn stalls(&self) -> u64 {
        self.waking.get().map_or(0, |waking| waking.stalls())
    }

    /// Whether decisions wait for the list. To be asked before anything is decided: whatever the kernel held for this
    /// process while it stood still may come first, a request before the clock.
    fn waits(self: &Rc<Self>, state: &mut State) -> Option<Time> {
        let mut waking = self.waking.get()?;
        let now = self.clock.now();
        if waking.heartbeat(now) {
            warn!("this process stood still; nothing is decided before the list has come, or for 250 ms");
            let address = state.discovery.address();
            // Calls that are out are ended: their answers may be as old as the list that is held.
            state.ask_anew(self, address);
            self.wake.notify_one();
        }
        self.waking.set(Some(waking));
        waking.waits_until(now)
    }

    /// Wakes the balancer when a timer is due, and looks after idle connections; never ends.
    pub async fn run(self: Rc<Self>) {
        let mut sweep = Instant::now() + IDLE_SWEEP_INTERVAL;
        loop {
            let next = self.state.borrow().timers.peek().map(|Reverse((at, _))| self.clock.instant(*at));
            let waits = self.waking.get().and_then(|waking| waking.waits_until(self.clock.now()));
            let waits = waits.map(|until| self.clock.instant(until));
            // What is due cannot be done while decisions wait.
            let until = waits.or(next).map_or(sweep, |at| at.min(sweep));
            tokio::select! {
                () = tokio::time::sleep_until(until) => {}
                () = self.wake.notified() => {}
            }
            let now = self.clock.now();
            {
                let mut state = self.state.borrow_mut();
                while let Some(Reverse((at, timer))) = state.timers.peek().copied() {
                    if at > now {
                        break;
                    }
                    state.timers.pop();
                    state.queue.push_back(Event::Timer(TimerId(timer)));
                }
            }
            self.pump();
            if Instant::now() >= sweep {
                self.upstream.sweep();
                sweep = Instant::now() + IDLE_SWEEP_INTERVAL;
            }
        }
    }

    /// Handles what is queued, and what that brings.
    fn pump(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let waits = self.waits(&mut state).is_some();
        while let Some(event) = state.next(waits) {
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
            state.actions = actions;
            if let Some(peers) = &*self.peers.borrow() {
                peers.record_responses(state.balancer.signals());
            }
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, attempt, server, timeout_at, write_by } => {
                self.send(state, (request, attempt.0), server, (timeout_at, write_by));
            }
            Action::Cancel { request, attempt } => {
                if let Some(progress) = state.attempts.get(&(request, attempt.0)) {
                    progress.call_off();
                }
            }
            Action::Shed { request, retry_after } => {
                if let Some(peers) = &*self.peers.borrow() {
                    peers.on_request_rejected();
                }
                state.answer(request, FinalResponse::Rejected(retry_after), AnswerReason::Refused);
            }
            Action::Fail { request } => {
                let late = state.open.get(&request).is_some_and(|open| open.timed_out);
                let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                state.answer(request, FinalResponse::Failed(status), AnswerReason::Failed);
            }
            Action::SetTimer { at, timer } => {
                let first = state.timers.peek().is_none_or(|Reverse((next, _))| at < *next);
                state.timers.push(Reverse((at, timer.0)));
                if first {
                    self.wake.notify_one();
                }
            }
            Action::HealthCheck { server } => self.probe(server),
            Action::CloseIdle { server } => self.upstream.close_idle(server),
            Action::Watch { active } => {
                let seq = state.known_version();
                state.discovery.watch(self, active, seq);
            }
            Action::FetchEndpoints => state.discovery.fetch(self),
            // A way to talk to each other is there where the operator's file has one.
            Action::SendHint { to, payload } => {
                let server = payload.try_into().map(u32::from_be_bytes).map(ServerId);
                let name = server.ok().and_then(|server| state.names.get(&server));
                if let (Some(peers), Some(to), Some(name)) = (&*self.peers.borrow(), to, name) {
                    peers.send_hint(to, name);
                }
            }
            Action::Log { text } => info!(target: "bellcroft::decisions", "{text}"),
        }
    }

    fn send(
        self: &Rc<Self>,
        state: &mut State,
        (request, attempt): (RequestId, u32),
        server: ServerId,
        (timeout_at, write_by): (Time, Time),
    ) {
        let now = self.clock.now();
        let window = self.guard.borrow().window(write_by, timeout_at);
        let Some(open) = state.open.get_mut(&request) else {
            // It ended while decisions waited, and the event of that is queued behind what they now decide.
            return state.on_not_sent(request, attempt);
        };
        open.sends = attempt + 1;
        let groups = state.groups.get(&server).copied();
        let groups = groups.unwrap_or(ServerGroups { zone: u32::MAX, cell: u32::MAX });
        let id = open.parts.request_id.clone();
        if let Err(denied) = self.guard.borrow_mut().may_send(now, &open.history, groups) {
            state.log.attempt_denied(&id, attempt, server.0, denied);
            return state.on_not_sent(request, attempt);
        }
        open.history.on_sent(attempt, now, groups);
        state.log.attempt_sent(&id, attempt, server.0, Duration::from_micros(window.end_by.since(now).0));
        let sent = Instant::now();
        let upload = open.parts.body.upload().cloned();
        let outgoing = outgoing(&open.parts);
        let time = |span: Micros| Duration::from_micros(span.0);
        let route = open.parts.route.as_ref();
        let limits = AttemptLimits {
            window: AttemptWindow {
                start_by: self.clock.instant(window.start_by),
                end_by: self.clock.instant(window.end_by),
            },
            max_timeout: upload.as_ref().map(|_| open.parts.response_timeout),
            connect: route.and_then(|route| route.connect_timeout).map(time),
            first_byte: route.and_then(|route| route.first_byte_timeout).map(time),
        };
        let class = open.parts.class;
        let first = self.telemetry.clone().map(|telemetry| {
            let another_out = (0..attempt).any(|other| state.attempts.contains_key(&(request, other)));
            telemetry.attempt(server.0, route_of(&open.parts), attempt, another_out);
            FirstByte { instance: telemetry, clock: self.clock, request, attempt, server }
        });
        let progress = Rc::new(AttemptProgress::new(first, upload.clone()));
        state.attempts.insert((request, attempt), progress.clone());
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let ended = driver.upstream.attempt(server, outgoing, &limits, &progress).await;
            // The backend's time begins with the last byte of what it is to do.
            let sent = upload
                .as_ref()
                .map_or(sent, |upload| upload.completed_at().unwrap_or_else(Instant::now).max(sent));
            driver.request_log.attempt_ended(&id, attempt, ended.outcome, sent.elapsed());
            driver.ended((request, attempt), (class, server), ended, sent);
        });
    }

    /// An attempt is over: the first that is served answers its request.
    fn ended(
        self: &Rc<Self>,
        key: (RequestId, u32),
        (class, server): (ClassId, ServerId),
        ended: AttemptResult,
        sent: Instant,
    ) {
        let elapsed = Micros(sent.elapsed().as_micros() as u64);
        if let Some(telemetry) = &self.telemetry {
            telemetry.ended((key.0 .0, key.1), class.0, server.0, ended.outcome, elapsed);
        }
        {
            let mut state = self.state.borrow_mut();
            if ended.outcome == Outcome::Success {
                state.recent[class.0].add(elapsed);
            }
            state.attempts.remove(&key);
            if let Some((kind, body)) = ended.answer {
                state.answer(key.0, FinalResponse::Served(kind, body), AnswerReason::Served);
            }
            if let Some(open) = state.open.get_mut(&key.0) {
                open.history.on_outcome(key.1, ended.outcome);
                open.timed_out = ended.outcome == Outcome::TimedOut;
            }
            let spent = |open: &PendingRequest| {
                open.parts.body.upload().is_some_and(|upload| upload.is_partly_sent())
            };
            if state.open.get(&key.0).is_some_and(spent) {
                state.queue.push_back(Event::AttemptsExhausted { request: key.0 });
            }
            let closed = !state.open.contains_key(&key.0);
            state.queue.push_back(Event::Outcome {
                request: key.0,
                attempt: AttemptNo(key.1),
                outcome: ended.outcome,
                elapsed,
                report: ended.report,
                closed,
            });
        }
        self.pump();
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let AttemptResult { outcome, report, .. } = driver.upstream.probe(server).await;
            let elapsed = Micros(sent.elapsed().as_micros() as u64);
            if let Some(telemetry) = &driver.telemetry {
                telemetry.probed(outcome);
            }
            driver.state.borrow_mut().queue.push_back(Event::HealthChecked {
                server,
                outcome,
                elapsed,
                report,
            });
            driver.pump();
        });
    }

    /// Takes in where the servers of a list are reached, and puts the list in the balancer's terms.
    fn take_list(&self, state: &mut State, list: EndpointList) -> Vec<Endpoint> {
        state.seq = Some(list.seq);
        for entry in list.rejected_entries {
            if state.rejected_entries.len() < MAX_REPORTED_ENTRIES && !state.rejected_entries.contains(&entry)
            {
                warn!(target: "bellcroft::discovery", "list: {entry}; it is left out");
                state.rejected_entries.insert(entry);
            }
        }
        let now = self.clock.now();
        let mut lines = Vec::with_capacity(list.hosts.len());
        let names = self.names();
        if list.whole {
            state.up.clear();
        }
        // All of them before the first is used: each may tell of a clock that is off.
        for host in &list.hosts {
            let server = state.intern(&host.name);
            state.on_start(now, server, host.born_ms);
        }
        for host in &list.hosts {
            let server = state.intern(&host.name);
            self.upstream.describe(server, host);
            let status = match host.health {
                Health::Up => Status::Serving,
                Health::Draining => Status::Draining,
                Health::Removed => Status::Gone,
            };
            if status == Status::Serving {
                state.up.insert(server);
            } else {
                state.up.remove(&server);
            }
            let zone = place(&names.zones, &host.site);
            state.groups.insert(server, ServerGroups { zone, cell: host.block });
            lines.push(Endpoint {
                server,
                zone: ZoneId(zone),
                machine_type: MachineTypeId(place(&names.kinds, &host.kind)),
                dedup_group: DedupGroupId(host.block),
                status,
                weight: host.share,
                started_at: state.started(server, host.born_ms),
            });
        }
        if list.whole {
            let named: HashSet<ServerId> = lines.iter().map(|l| l.server).collect();
            self.upstream.keep_only(|server| named.contains(&server));
        }
        let forgotten = state.forget(list.whole, &lines);
        if let Some(telemetry) = &self.telemetry {
            self.count_list(telemetry, state, list.whole, &lines);
            forgotten.into_iter().for_each(|server| telemetry.forget(server.0));
        }
        lines
    }
}

impl Driver {
    /// Tells the observer what the list says; of a whole one also what it no longer says.
    fn count_list(&self, telemetry: &Instance, state: &State, whole: bool, lines: &[Endpoint]) {
        let now = self.clock.now();
        let line = |server: ServerId, zone, cell, status, started| {
            let (up, here) = (status == Status::Serving, status != Status::Gone);
            let name = state.names.get(&server).map_or("", String::as_str);
            telemetry.listed(now, Line { server: server.0, name, zone, cell, up, here, started });
        };
        for l in lines {
            line(l.server, l.zone.0, l.dedup_group.0, l.status, l.started_at);
        }
        if whole {
            let named: HashSet<ServerId> = lines.iter().map(|l| l.server).collect();
            for server in state.left.keys().filter(|server| !named.contains(server)) {
                telemetry.left(now, server.0);
            }
        }
    }
}

impl Decisions for Driver {
    fn servers(&self) -> usize {
        self.state.borrow().up.len()
    }

    fn hint(self: Rc<Self>, from: PeerId, name: u64, lone: bool) {
        {
            let mut state = self.state.borrow_mut();
            let known = state.names.iter().find(|(_, own)| name_hash(own) == name).map(|(server, _)| *server);
            let Some(server) = known else { return };
            let mut payload = server.0.to_be_bytes().to_vec();
            payload.extend(lone.then_some(UNCONFIRMED_HINT));
            state.queue.push_back(Event::PeerMessage { from, payload });
        }
        self.pump();
    }

    fn fleet(self: Rc<Self>, fleet: FleetState) {
        self.state.borrow_mut().queue.push_back(Event::Fleet(fleet));
        self.pump();
    }

    fn reckon(&self, instances: u32) {
        self.reckoned.set(instances);
        let mut state = self.state.borrow_mut();
        let mut settings = state.balancer.settings().clone();
        settings.balancers = instances;
        if let Err(e) = state.balancer.reconfigure(settings, &[]) {
            warn!("cannot reckon by {instances} instances: {e}");
        }
    }
}

impl State {
    /// The next event to be handled; while decisions wait, news of the list alone.
    fn next(&mut self, waits: bool) -> Option<Event> {
        if !waits {
            return self.queue.pop_front();
        }
        let place = self.queue.iter().position(|event| matches!(event, Event::Endpoints(_)))?;
        self.queue.remove(place)
    }

    /// The version that a watch goes on from. None while no backend is up: a process that is not ready has nothing to wait
    /// for changes of, and a call for the complete list that gets no answer is found out sooner than a watch.
    fn known_version(&self) -> Option<u64> {
        self.seq.filter(|_| !self.up.is_empty())
    }

    /// Has discovery tell its whole list, over calls that begin now.
    fn ask_anew(&mut self, driver: &Rc<Driver>, address: SocketAddr) {
        self.seq = None;
        self.discovery.set_address(address);
        self.discovery.watch(driver, true, None);
    }

    /// The list says when a server started (Unix time in milliseconds; 0 for long ago).
    fn on_start(&mut self, now: Time, server: ServerId, born_ms: f64) {
        let known = self.starts.get(&server).is_some_and(|start| start.born_ms == born_ms);
        if born_ms > 0.0 && !known {
            let news = self.news_from.is_some_and(|from| now >= from);
            self.skew.on_start(now, Time::from_ms(born_ms), news);
        }
    }

    /// That start by this process's clock; none if it was long ago. Of one start it stays the same, whatever is learned of the
    /// clocks later, for another one would be another process.
    fn started(&mut self, server: ServerId, born_ms: f64) -> Option<Time> {
        if born_ms <= 0.0 {
            self.starts.remove(&server);
            return None;
        }
        let local = self.skew.local(Time::from_ms(born_ms));
        let start = self.starts.entry(server).or_insert(ServerStart { born_ms, local });
        if start.born_ms != born_ms {
            *start = ServerStart { born_ms, local };
        }
        Some(start.local)
    }

    /// An attempt of the decisions' has not gone out.
    fn on_not_sent(&mut self, request: RequestId, attempt: u32) {
        let (attempt, outcome) = (AttemptNo(attempt), Outcome::NotSent);
        let (elapsed, report, closed) = (Micros::ZERO, None, !self.open.contains_key(&request));
        self.queue.push_back(Event::Outcome { request, attempt, outcome, elapsed, report, closed });
    }

    /// Gives a request its final answer. What of it has not been written to a backend stays unwritten.
    fn answer(&mut self, id: RequestId, answer: FinalResponse, reason: AnswerReason) {
        let Some(open) = self.open.remove(&id) else { return };
        self.log.answered(&open.parts.request_id, reason);
        self.stop_unwritten(id, open.sends);
        // A client that left at this very moment hears nothing.
        let _ = open.answer.send(answer);
    }

    fn stop_unwritten(&self, id: RequestId, sends: u32) {
        for attempt in 0..sends {
            if let Some(progress) = self.attempts.get(&(id, attempt)).filter(|p| !p.may_have_run()) {
                progress.call_off();
            }
        }
    }

    /// Forgets the names of servers that left long ago; `lines` are the latest news of the list.
    fn forget(&mut self, whole: bool, lines: &[Endpoint]) -> Vec<ServerId> {
        let now = Instant::now();
        let gone = |l: &&Endpoint| l.status == Status::Gone;
        for line in lines {
            self.left.remove(&line.server);
        }
        if whole {
            let named: HashSet<ServerId> = lines.iter().map(|l| l.server).collect();
            for &server in self.names.keys().filter(|server| !named.contains(server)) {
                self.left.entry(server).or_insert(now);
            }
        }
        self.left.extend(lines.iter().filter(gone).map(|l| (l.server, now)));
        let old = |at: &Instant| now.duration_since(*at) >= SERVER_NAME_RETENTION;
        let old: Vec<ServerId> = self.left.iter().filter(|(_, at)| old(at)).map(|(s, _)| *s).collect();
        for server in &old {
            self.left.remove(server);
            self.groups.remove(server);
            self.starts.remove(server);
            if let Some(name) = self.names.remove(server) {
                self.servers.remove(&name);
            }
        }
        old
    }

    /// A server's number is a hash of its name, the same at every agent. Should two names meet in one number,
    /// the later one takes the next that is free.
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.servers.get(name) {
            return *id;
        }
        let mut id = fnv1a(name) as u32;
        while self.names.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        info!(target: "bellcroft::discovery", "server {id} is {name}");
        self.names.insert(ServerId(id), name.to_owned());
        self.servers.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }
}

/// How these settings would have discovery asked.
fn watch_policy(settings: &Settings) -> WatchPolicy {
    WatchPolicy::new(settings.discovery, Duration::from_micros(settings.drain_grace_period.0))
}

/// The name of a request's route.
fn route_of(arrival: &IncomingRequest) -> &str {
    arrival.route.as_ref().map_or(NO_ROUTE, |route| &route.name)
}

/// A name's place in the settings; one that they lack gets a number of its own past them, so that no two zones
/// pass for one.
fn place(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|n| n == name);
    known.unwrap_or_else(|| names.len() + (fnv1a(name) as u32 >> 1) as usize) as u32
}

/// What goes to a backend: the request unchanged. How long it may take is told when it is written.
fn outgoing(parts: &IncomingRequest) -> Request<OutgoingBody> {
    let (load, length) = match &parts.body {
        RequestBody::Complete(bytes) => (OutgoingBody::Complete(bytes.clone()), Some(bytes.len() as u64)),
        RequestBody::Streaming(upload) => (OutgoingBody::streaming(upload), upload.length()),
    };
    let mut request = Request::new(load);
    *request.method_mut() = parts.method.clone();
    // A client may name the whole address (RFC 9112, section 3.2.2); a backend is told the path.
    let path = parts.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
    *request.uri_mut() = path;
    *request.headers_mut() = parts.headers.clone();
    if let Some(length) = length.filter(|length| parts.method != Method::GET || *length > 0) {
        request.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    request
}
