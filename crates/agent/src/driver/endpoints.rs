//! The servers of discovery's endpoint list, by name and id, and the results of calls to discovery.

use super::{Driver, State};
use crate::daemon::status::Servers;
use crate::discovery::address_owners::AddressOwners;
use crate::discovery::codec::{EndpointList, EndpointRecord, Health};
use crate::discovery::error::CallError;
use crate::discovery::monitor::DiscoveryStatus;
use crate::discovery::{EndpointSink, ListOrigin};
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

/// Maximum number of distinct rejected entries that are logged, once each. Without it, lists with ever new malformed
/// entries would fill the log and memory.
const MAX_LOGGED_REJECTED_ENTRIES: usize = 200;

/// Time for which the name and id of a removed server are kept. It is longer than the balancer remembers the id, so
/// that another name with the same hash is not mistaken for the removed server.
const SERVER_NAME_RETENTION: Duration = Duration::from_secs(30);

/// The groups of a server that no list has contained; no other server is in them.
const UNKNOWN_GROUPS: ServerGroups = ServerGroups { zone: u32::MAX, dedup_group: u32::MAX };

/// The time at which a server last started.
#[derive(Debug, Clone, Copy)]
struct ServerStart {
    /// The listed time: Unix time in milliseconds by the platform's clock.
    listed_unix_ms: f64,
    /// The same time by this process's clock.
    local: Time,
}

/// The servers in the endpoint list, and those that have recently been removed from it.
pub(super) struct EndpointTable {
    ids: HashMap<String, ServerId>,
    names: HashMap<ServerId, String>,
    starts: HashMap<ServerId, ServerStart>,
    groups: HashMap<ServerId, ServerGroups>,
    /// Removed servers that are still remembered, with the time of their removal.
    removed: HashMap<ServerId, Instant>,
    /// Servers that are listed as up.
    up: HashSet<ServerId>,
    addresses: AddressOwners,
    skew: ClockSkew,
    /// Time from which a newly listed start counts as recent; none before the first list.
    recent_from: Option<Time>,
    /// Version of the cached list; none after a change of discovery's address, since each service counts its own
    /// versions.
    version: Option<u64>,
    /// Descriptions of rejected entries that have been logged.
    rejected_entries: HashSet<String>,
}

impl EndpointTable {
    /// An empty table, for a first list with this version.
    pub(super) fn new(version: u64) -> Self {
        EndpointTable {
            ids: HashMap::new(),
            names: HashMap::new(),
            starts: HashMap::new(),
            groups: HashMap::new(),
            removed: HashMap::new(),
            up: HashSet::new(),
            addresses: AddressOwners::default(),
            skew: ClockSkew::default(),
            recent_from: None,
            version: Some(version),
            rejected_entries: HashSet::new(),
        }
    }

    /// Sets the time from which newly listed starts count as recent, unless it is already set.
    pub(super) fn set_recent_from(&mut self, at: Time) {
        self.recent_from.get_or_insert(at);
    }

    /// The number of servers that are listed as up.
    pub(super) fn up_count(&self) -> usize {
        self.up.len()
    }

    /// The version that a watch starts from. None while no server is up: a process that is not ready requests a
    /// snapshot, since a call without a response times out sooner than a watch.
    pub(super) fn watch_version(&self) -> Option<u64> {
        self.version.filter(|_| !self.up.is_empty())
    }

    /// The zone and the dedup group of a server. Other servers in them may recognise the same repeated requests.
    pub(super) fn groups(&self, server: ServerId) -> ServerGroups {
        self.groups.get(&server).copied().unwrap_or(UNKNOWN_GROUPS)
    }

    /// The name of a server.
    pub(super) fn name(&self, server: ServerId) -> Option<&str> {
        self.names.get(&server).map(String::as_str)
    }

    /// A server whose name satisfies the predicate.
    pub(super) fn find(&self, matches: impl Fn(&str) -> bool) -> Option<ServerId> {
        self.names.iter().find(|(_, name)| matches(name)).map(|(server, _)| *server)
    }

    fn counts(&self) -> Servers {
        let (all, up, removed) = (self.names.len(), self.up.len(), self.removed.len());
        Servers { up, gone: removed, draining: all.saturating_sub(up + removed) }
    }

    /// Returns the id of a server, and assigns one to a new name: a hash of the name, the same in every agent. If two
    /// names have the same hash, the later one gets the next free id.
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
            if self.rejected_entries.len() < MAX_LOGGED_REJECTED_ENTRIES
                && !self.rejected_entries.contains(&entry)
            {
                warn!(target: "bellcroft::discovery", %entry, "endpoint list entry rejected");
                self.rejected_entries.insert(entry);
            }
        }
    }

    /// Updates the estimate of the clock skew from a listed start of a server; 0 means a start long ago.
    fn on_start(&mut self, now: Time, server: ServerId, listed_unix_ms: f64) {
        let is_known = self.starts.get(&server).is_some_and(|start| start.listed_unix_ms == listed_unix_ms);
        if listed_unix_ms > 0.0 && !is_known {
            let recency = match self.recent_from {
                Some(from) if now >= from => StartRecency::Recent,
                Some(_) | None => StartRecency::Unknown,
            };
            self.skew.on_start(now, Time::from_ms(listed_unix_ms), recency);
        }
    }

    /// The start of a server by this process's clock; none if it was long ago. The result for one listed start does not
    /// change when the estimate of the clock skew does: a different time would mean that the server has restarted.
    fn local_start(&mut self, server: ServerId, listed_unix_ms: f64) -> Option<Time> {
        if listed_unix_ms <= 0.0 {
            self.starts.remove(&server);
            return None;
        }
        let local = self.skew.local(Time::from_ms(listed_unix_ms));
        let start = self.starts.entry(server).or_insert(ServerStart { listed_unix_ms, local });
        if start.listed_unix_ms != listed_unix_ms {
            *start = ServerStart { listed_unix_ms, local };
        }
        Some(start.local)
    }

    /// Applies one entry of a list, and returns it as the balancer's type.
    fn update(&mut self, server: ServerId, record: &EndpointRecord, names: &Names) -> Endpoint {
        let status = match record.health {
            Health::Up => Status::Serving,
            Health::Draining => Status::Draining,
            Health::Removed => Status::Removed,
        };
        if status == Status::Serving {
            self.up.insert(server);
        } else {
            self.up.remove(&server);
        }
        let zone = index_or_hash(&names.zones, &record.zone);
        self.groups.insert(server, ServerGroups { zone, dedup_group: record.dedup_group });
        Endpoint {
            server,
            zone: ZoneId(zone),
            machine_type: MachineTypeId(index_or_hash(&names.machine_types, &record.machine_type)),
            dedup_group: DedupGroupId(record.dedup_group),
            status,
            weight: record.weight,
            started_at: self.local_start(server, record.started_unix_ms),
        }
    }

    /// Records which servers have been removed, and forgets those that were removed [`SERVER_NAME_RETENTION`] ago or
    /// earlier. `listed` holds the servers of a snapshot; none for a delta. Returns the forgotten servers.
    fn expire(&mut self, endpoints: &[Endpoint], listed: Option<&HashSet<ServerId>>) -> Vec<ServerId> {
        let now = Instant::now();
        for endpoint in endpoints {
            self.removed.remove(&endpoint.server);
        }
        if let Some(listed) = listed {
            for &server in self.names.keys().filter(|server| !listed.contains(server)) {
                self.removed.entry(server).or_insert(now);
            }
        }
        let removed = endpoints.iter().filter(|endpoint| endpoint.status == Status::Removed);
        self.removed.extend(removed.map(|endpoint| (endpoint.server, now)));
        let is_expired = |removed_at: &Instant| now.duration_since(*removed_at) >= SERVER_NAME_RETENTION;
        let expired = self.removed.iter().filter(|(_, removed_at)| is_expired(removed_at));
        let expired: Vec<ServerId> = expired.map(|(server, _)| *server).collect();
        expired.iter().for_each(|server| self.forget(*server));
        expired
    }

    fn forget(&mut self, server: ServerId) {
        self.removed.remove(&server);
        self.groups.remove(&server);
        self.starts.remove(&server);
        if let Some(name) = self.names.remove(&server) {
            self.ids.remove(&name);
        }
    }

    /// Reports the endpoints of a list to telemetry, and for a snapshot also the removed servers.
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
                    is_listed: endpoint.status != Status::Removed,
                    started: endpoint.started_at,
                },
            );
        }
        if let Some(listed) = listed {
            for server in self.removed.keys().filter(|server| !listed.contains(server)) {
                telemetry.endpoint_removed(now, server.0);
            }
        }
    }
}

impl Driver {
    /// Whether at least one server is listed as up.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().endpoints.up_count() > 0
    }

    /// The number of servers by their listed state.
    pub fn servers(&self) -> Servers {
        self.state.borrow().endpoints.counts()
    }

    /// Counters of the calls to discovery since the process started.
    pub fn discovery_status(&self) -> DiscoveryStatus {
        self.discovery_monitor.borrow().status(self.state.borrow().endpoints.version)
    }

    /// Sets a new address of discovery and starts a watch there, which first requests a snapshot. The cached list
    /// stays in use until the snapshot arrives.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        self.restart_discovery(&mut self.state.borrow_mut(), address);
    }

    /// Replaces the present watch by one that first requests a snapshot.
    pub(super) fn restart_discovery(self: &Rc<Self>, state: &mut State, address: SocketAddr) {
        state.endpoints.version = None;
        state.discovery.restart(self.clone(), address);
    }

    /// If `active`, starts a watch from the cached version unless one is running; otherwise ends the present watch.
    pub(super) fn watch_discovery(self: &Rc<Self>, state: &mut State, active: bool) {
        let version = state.endpoints.watch_version();
        state.discovery.watch(self.clone(), active, version);
    }

    /// Applies a list, and returns its entries as the balancer's type.
    pub(super) fn apply_list(&self, state: &mut State, mut list: EndpointList) -> Vec<Endpoint> {
        let table = &mut state.endpoints;
        table.addresses.resolve(&mut list);
        table.version = Some(list.version);
        table.log_rejected(list.rejected_entries);
        let now = self.clock.now();
        let names = self.names();
        if list.is_snapshot {
            table.up.clear();
        }
        // All starts are evaluated before the first of them is converted to local time, since each may correct the
        // estimate of the clock skew.
        for record in &list.endpoints {
            let server = table.intern(&record.name);
            table.on_start(now, server, record.started_unix_ms);
        }
        let mut endpoints = Vec::with_capacity(list.endpoints.len());
        for record in &list.endpoints {
            let server = table.intern(&record.name);
            self.upstream.update_endpoint(server, record);
            endpoints.push(table.update(server, record, &names));
        }
        let listed: Option<HashSet<ServerId>> =
            list.is_snapshot.then(|| endpoints.iter().map(|endpoint| endpoint.server).collect());
        if let Some(listed) = &listed {
            self.upstream.retain_listed(|server| listed.contains(&server));
        }
        let forgotten = table.expire(&endpoints, listed.as_ref());
        if let Some(telemetry) = &self.telemetry {
            table.report(telemetry, self.clock.now(), &endpoints, listed.as_ref());
            forgotten.into_iter().for_each(|server| telemetry.forget(server.0));
        }
        endpoints
    }

    /// Queues a list before all other events, so that decisions about queued requests use it.
    fn update_endpoints(self: &Rc<Self>, update: EndpointUpdate) {
        self.state.borrow_mut().events.push_front(Event::Endpoints(update));
        self.pump();
    }
}

impl EndpointSink for Driver {
    fn on_endpoints(self: Rc<Self>, list: EndpointList, origin: ListOrigin) {
        self.discovery_monitor.borrow_mut().on_success(list.version);
        if let Some(telemetry) = &self.telemetry {
            telemetry.list_call_succeeded(self.clock.now());
        }
        self.end_deferral();
        let update = {
            let state = &mut self.state.borrow_mut();
            let update = match list.is_snapshot {
                true => EndpointUpdate::Snapshot(self.apply_list(state, list)),
                false => EndpointUpdate::Delta(self.apply_list(state, list)),
            };
            if origin == ListOrigin::SupersededWatch {
                // The present watch may be at another service, which counts its own versions.
                state.endpoints.version = None;
            }
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

    fn on_call_failed(&self, watch_elapsed: Option<Duration>, error: &CallError) {
        let version = self.state.borrow().endpoints.version;
        self.discovery_monitor.borrow_mut().on_failure(version, watch_elapsed, error);
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

/// The index of a name in the settings. A name that the settings lack gets a hash above all indexes, so that two such
/// names are not treated as the same.
fn index_or_hash(names: &[String], name: &str) -> u32 {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or_else(|| names.len() + (fnv1a(name) as u32 >> 1) as usize) as u32
}
