//! Endpoints: the servers of discovery's list by name and id, and the calls to discovery.

use super::{Driver, State};
use crate::daemon::status::Servers;
use crate::discovery::codec::{EndpointList, EndpointRecord, Health};
use crate::discovery::error::CallError;
use crate::discovery::monitor::DiscoveryStatus;
use crate::discovery::EndpointSink;
use bellcroft_agent_core::clock_skew::{ClockSkew, StartRecency};
use bellcroft_agent_core::guard::ServerGroups;
use bellcroft_balancer::{
    DedupGroupId, Endpoint, EndpointUpdate, Event, MachineTypeId, ServerId, Status, Time, ZoneId,
};
use bellcroft_platform_settings::{fnv1a, Names};
use bellcroft_telemetry::{EndpointEntry, Instance};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// The number of rejected entries that are logged, once each: lists may bring new ones without end.
const MAX_REPORTED_ENTRIES: usize = 200;

/// How long a server's name and id are cached after it has left: longer than the balancer remembers the id, so that another
/// name with the same hash is not taken for the server that left.
const SERVER_NAME_RETENTION: Duration = Duration::from_secs(30);

/// The groups of a server that no list has described; no server shares them.
const UNKNOWN_GROUPS: ServerGroups = ServerGroups { zone: u32::MAX, cell: u32::MAX };

/// When a server last started.
#[derive(Debug, Clone, Copy)]
struct ServerStart {
    /// Unix time in milliseconds by the platform's clock, as listed.
    born_ms: f64,
    /// By this process's clock.
    local: Time,
}

/// The servers that discovery has listed.
pub(super) struct EndpointTable {
    ids: HashMap<String, ServerId>,
    names: HashMap<ServerId, String>,
    starts: HashMap<ServerId, ServerStart>,
    groups: HashMap<ServerId, ServerGroups>,
    /// Servers that are no longer listed, since when.
    left: HashMap<ServerId, Instant>,
    /// Servers that are listed as up.
    up: HashSet<ServerId>,
    skew: ClockSkew,
    /// From then on an unknown start has just happened; none before the first list.
    recent_from: Option<Time>,
    /// The version of the list; none after discovery has moved, since each service counts its own versions.
    version: Option<u64>,
    /// Rejected entries that have been logged.
    rejected_entries: HashSet<String>,
}

impl EndpointTable {
    /// A table without servers. The first list has this version.
    pub(super) fn new(version: u64) -> Self {
        EndpointTable {
            ids: HashMap::new(),
            names: HashMap::new(),
            starts: HashMap::new(),
            groups: HashMap::new(),
            left: HashMap::new(),
            up: HashSet::new(),
            skew: ClockSkew::default(),
            recent_from: None,
            version: Some(version),
            rejected_entries: HashSet::new(),
        }
    }

    /// Starts that are unknown from `at` on have just happened.
    pub(super) fn set_recent_from(&mut self, at: Time) {
        self.recent_from.get_or_insert(at);
    }

    /// The number of servers that are listed as up.
    pub(super) fn up_count(&self) -> usize {
        self.up.len()
    }

    /// The version that a watch starts from. None while no server is up: a process that is not ready asks for the complete
    /// list, since a call that gets no answer fails sooner than a watch.
    pub(super) fn watch_version(&self) -> Option<u64> {
        self.version.filter(|_| !self.up.is_empty())
    }

    /// The groups whose servers recognise the same repeats as this one.
    pub(super) fn groups(&self, server: ServerId) -> ServerGroups {
        self.groups.get(&server).copied().unwrap_or(UNKNOWN_GROUPS)
    }

    /// The name of a server.
    pub(super) fn name(&self, server: ServerId) -> Option<&str> {
        self.names.get(&server).map(String::as_str)
    }

    /// The server whose name has this property.
    pub(super) fn find(&self, matches: impl Fn(&str) -> bool) -> Option<ServerId> {
        self.names.iter().find(|(_, name)| matches(name)).map(|(server, _)| *server)
    }

    fn counts(&self) -> Servers {
        let (all, up, gone) = (self.names.len(), self.up.len(), self.left.len());
        Servers { up, gone, draining: all.saturating_sub(up + gone) }
    }

    /// The id of a server: a hash of its name, the same in every agent. If two names have one hash, the later one gets the
    /// next free id.
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = fnv1a(name) as u32;
        while self.names.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        info!(target: "bellcroft::discovery", server = id, name, "server id assigned");
        self.names.insert(ServerId(id), name.to_owned());
        self.ids.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }

    fn log_rejected(&mut self, entries: Vec<String>) {
        for entry in entries {
            if self.rejected_entries.len() < MAX_REPORTED_ENTRIES && !self.rejected_entries.contains(&entry) {
                warn!(target: "bellcroft::discovery", %entry, "endpoint list entry rejected");
                self.rejected_entries.insert(entry);
            }
        }
    }

    /// A list gives the start of a server, for the estimate of the clocks' difference; 0 stands for long ago.
    fn on_start(&mut self, now: Time, server: ServerId, born_ms: f64) {
        let is_known = self.starts.get(&server).is_some_and(|start| start.born_ms == born_ms);
        if born_ms > 0.0 && !is_known {
            let recency = match self.recent_from {
                Some(from) if now >= from => StartRecency::Recent,
                Some(_) | None => StartRecency::Unknown,
            };
            self.skew.on_start(now, Time::from_ms(born_ms), recency);
        }
    }

    /// The start by this process's clock; none if it was long ago. It stays the same for one start, whatever is learned of
    /// the clocks later: another time would mean another process.
    fn local_start(&mut self, server: ServerId, born_ms: f64) -> Option<Time> {
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

    /// Takes in one entry of a list, and returns it in the balancer's terms.
    fn update(&mut self, server: ServerId, host: &EndpointRecord, names: &Names) -> Endpoint {
        let status = match host.health {
            Health::Up => Status::Serving,
            Health::Draining => Status::Draining,
            Health::Removed => Status::Gone,
        };
        if status == Status::Serving {
            self.up.insert(server);
        } else {
            self.up.remove(&server);
        }
        let zone = index_or_hash(&names.zones, &host.site);
        self.groups.insert(server, ServerGroups { zone, cell: host.block });
        Endpoint {
            server,
            zone: ZoneId(zone),
            machine_type: MachineTypeId(index_or_hash(&names.kinds, &host.kind)),
            dedup_group: DedupGroupId(host.block),
            status,
            weight: host.share,
            started_at: self.local_start(server, host.born_ms),
        }
    }

    /// Marks servers as left, and forgets those that left [`SERVER_NAME_RETENTION`] ago. `listed` holds the servers of a
    /// complete list; none for changes. Returns the forgotten servers.
    fn expire(&mut self, endpoints: &[Endpoint], listed: Option<&HashSet<ServerId>>) -> Vec<ServerId> {
        let now = Instant::now();
        for endpoint in endpoints {
            self.left.remove(&endpoint.server);
        }
        if let Some(listed) = listed {
            for &server in self.names.keys().filter(|server| !listed.contains(server)) {
                self.left.entry(server).or_insert(now);
            }
        }
        let gone = endpoints.iter().filter(|endpoint| endpoint.status == Status::Gone);
        self.left.extend(gone.map(|endpoint| (endpoint.server, now)));
        let is_expired = |left_at: &Instant| now.duration_since(*left_at) >= SERVER_NAME_RETENTION;
        let expired = self.left.iter().filter(|(_, left_at)| is_expired(left_at));
        let expired: Vec<ServerId> = expired.map(|(server, _)| *server).collect();
        expired.iter().for_each(|server| self.forget(*server));
        expired
    }

    fn forget(&mut self, server: ServerId) {
        self.left.remove(&server);
        self.groups.remove(&server);
        self.starts.remove(&server);
        if let Some(name) = self.names.remove(&server) {
            self.ids.remove(&name);
        }
    }

    /// Reports the endpoints of a list to the observer, and with a complete list the servers that have left.
    fn report(
        &self,
        telemetry: &Instance,
        now: Time,
        endpoints: &[Endpoint],
        listed: Option<&HashSet<ServerId>>,
    ) {
        for endpoint in endpoints {
            telemetry.endpoint_listed(
                now,
                EndpointEntry {
                    server: endpoint.server.0,
                    name: self.name(endpoint.server).unwrap_or_default(),
                    zone: endpoint.zone.0,
                    dedup_group: endpoint.dedup_group.0,
                    is_serving: endpoint.status == Status::Serving,
                    is_listed: endpoint.status != Status::Gone,
                    started: endpoint.started_at,
                },
            );
        }
        if let Some(listed) = listed {
            for server in self.left.keys().filter(|server| !listed.contains(server)) {
                telemetry.endpoint_removed(now, server.0);
            }
        }
    }
}

impl Driver {
    /// Whether there is a server to send to.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().endpoints.up_count() > 0
    }

    /// The number of servers by their listed state.
    pub fn servers(&self) -> Servers {
        self.state.borrow().endpoints.counts()
    }

    /// The calls to discovery since the start.
    pub fn discovery_status(&self) -> DiscoveryStatus {
        self.discovery_monitor.borrow().status(self.state.borrow().endpoints.version)
    }

    /// Discovery has moved: its new address is watched, beginning with the complete list. The cached list stays in use
    /// until that arrives.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        self.restart_discovery(&mut self.state.borrow_mut(), address);
    }

    /// Cancels the calls in flight, and watches discovery from its complete list on.
    pub(super) fn restart_discovery(self: &Rc<Self>, state: &mut State, address: SocketAddr) {
        state.endpoints.version = None;
        state.discovery.set_address(address);
        state.discovery.watch(self.clone(), true, None);
    }

    /// Starts or ends the watch, from the cached version on.
    pub(super) fn watch_discovery(self: &Rc<Self>, state: &mut State, active: bool) {
        let version = state.endpoints.watch_version();
        state.discovery.watch(self.clone(), active, version);
    }

    /// Takes in a list, and returns it in the balancer's terms.
    pub(super) fn apply_list(&self, state: &mut State, list: EndpointList) -> Vec<Endpoint> {
        let table = &mut state.endpoints;
        table.version = Some(list.seq);
        table.log_rejected(list.rejected_entries);
        let now = self.clock.now();
        let names = self.names();
        if list.whole {
            table.up.clear();
        }
        // All starts before the first is converted: each may correct the estimate of the clocks' difference.
        for host in &list.hosts {
            let server = table.intern(&host.name);
            table.on_start(now, server, host.born_ms);
        }
        let mut endpoints = Vec::with_capacity(list.hosts.len());
        for host in &list.hosts {
            let server = table.intern(&host.name);
            self.upstream.describe(server, host);
            endpoints.push(table.update(server, host, &names));
        }
        let listed: Option<HashSet<ServerId>> =
            list.whole.then(|| endpoints.iter().map(|endpoint| endpoint.server).collect());
        if let Some(listed) = &listed {
            self.upstream.keep_only(|server| listed.contains(&server));
        }
        let forgotten = table.expire(&endpoints, listed.as_ref());
        if let Some(telemetry) = &self.telemetry {
            table.report(telemetry, self.clock.now(), &endpoints, listed.as_ref());
            forgotten.into_iter().for_each(|server| telemetry.forget(server.0));
        }
        endpoints
    }

    /// Queues a list before all other events: requests that wait are decided by it.
    fn update_endpoints(self: &Rc<Self>, update: EndpointUpdate) {
        self.state.borrow_mut().events.push_front(Event::Endpoints(update));
        self.pump();
    }
}

impl EndpointSink for Driver {
    fn on_endpoints(self: Rc<Self>, list: EndpointList) {
        self.discovery_monitor.borrow_mut().on_answer(list.seq);
        if let Some(telemetry) = &self.telemetry {
            telemetry.list_call_succeeded(self.clock.now());
        }
        self.end_deferral();
        let update = {
            let state = &mut self.state.borrow_mut();
            let update = match list.whole {
                true => EndpointUpdate::Snapshot(self.apply_list(state, list)),
                false => EndpointUpdate::Delta(self.apply_list(state, list)),
            };
            state.endpoints.set_recent_from(self.clock.now());
            update
        };
        self.update_endpoints(update);
    }

    fn on_watch_failed(self: Rc<Self>) {
        self.update_endpoints(EndpointUpdate::Failed);
    }

    fn on_discovery_call(&self) {
        self.discovery_monitor.borrow_mut().on_call();
    }

    fn on_call_failed(&self, watch: Option<Duration>, error: &CallError) {
        let version = self.state.borrow().endpoints.version;
        self.discovery_monitor.borrow_mut().on_failure(version, watch, error);
        if let Some(telemetry) = &self.telemetry {
            telemetry.list_call_failed(error.cause());
        }
    }

    fn on_silent_watch(&self, version: u64, elapsed: Duration) {
        self.discovery_monitor.borrow_mut().on_silent_watch(version, elapsed);
        if let Some(telemetry) = &self.telemetry {
            telemetry.watch_timed_out();
        }
    }
}

/// The index of a name in the settings. A name that they lack gets a number beyond them, so that no two such names are
/// taken for one.
fn index_or_hash(names: &[String], name: &str) -> u32 {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or_else(|| names.len() + (fnv1a(name) as u32 >> 1) as usize) as u32
}
