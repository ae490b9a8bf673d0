//! A running instance: its parts, its status and its gauges.
//!
//! The serving loop, the control socket, the admin console, the handover socket and telemetry all call into one
//! [`Instance`] from tasks of the same thread and expect their answer at once. It is therefore shared (`Rc`), and
//! each part with mutable state stands in a cell of its own. No borrow is held across an `await` or a call into
//! another part.

use super::descriptors::DescriptorBudget;
use super::handover::{HandoverListener, HandoverPeer};
use super::notify::Notify;
use super::reload::ReloadHistory;
use super::socket_file::SocketFile;
use super::state::StatusWriter;
use super::status::{self, ConfigStatus, Phase, Status};
use super::unix_ms;
use crate::control_plane::ControlPlane;
use crate::downstream::Server;
use crate::driver::Driver;
use bellcroft_agent_core::handover::{Handover, HandoverEvent};
use bellcroft_agent_core::request_claims::RequestIdHash;
use bellcroft_telemetry::families;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::info;

/// An instance as its serving loop, its control socket and its admin console see it.
pub(super) struct Instance {
    pub(super) control: Rc<ControlPlane>,
    pub(super) driver: Rc<Driver>,
    pub(super) server: Rc<Server>,
    pub(super) notify: Notify,
    /// The address that clients connect to, as it is reported.
    pub(super) listen: String,
    /// A copy of the listening socket, for a supervisor that requests it.
    pub(super) listener_copy: RefCell<Option<OwnedFd>>,
    /// Connections that this process may hold while it is the only one at its address.
    pub(super) connection_limits: DescriptorBudget,
    /// Faults of the start, which do not change afterwards.
    pub(super) problems: Vec<String>,
    pub(super) lifecycle: RefCell<Lifecycle>,
    pub(super) reloads: RefCell<ReloadHistory>,
    pub(super) status_writer: RefCell<Option<StatusWriter>>,
    pub(super) shutdown_request: ShutdownRequest,
    /// Role in the replacement of a process by another.
    pub(super) handover: RefCell<Handover>,
    /// Notified when that role has changed.
    pub(super) handover_changed: tokio::sync::Notify,
    /// Serves the Unix socket over which a process that replaces this one asks for the listening socket.
    pub(super) handover_listener: RefCell<Option<HandoverListener>>,
    /// The process that transferred its listening socket.
    pub(super) predecessor: Cell<Option<u32>>,
    /// This process's place in its state directory; none without one.
    pub(super) state_place: RefCell<Option<StatePlace>>,
}

/// A process's place in its state directory, which two processes share while one replaces the other. The one that serves the control
/// socket writes the status file.
pub(super) struct StatePlace {
    /// A copy of the lock, for a successor.
    pub(super) lock: io::Result<OwnedFd>,
    /// Whether the process is to replace another one, which serves the control socket until this one is ready.
    pub(super) awaits_takeover: bool,
    /// The control socket's file; none before it is served, and if it cannot be made.
    pub(super) control_file: Option<SocketFile>,
}

impl StatePlace {
    /// Whether this process serves the directory's control socket.
    fn is_taken(&self) -> bool {
        !self.awaits_takeover && self.control_file.as_ref().is_none_or(SocketFile::is_current)
    }
}

/// The phase of an instance and its times, in Unix milliseconds.
#[derive(Debug)]
pub(super) struct Lifecycle {
    started_ms: u64,
    ready_ms: Option<u64>,
    phase: Phase,
}

impl Lifecycle {
    pub(super) fn new(started_ms: u64) -> Self {
        Lifecycle { started_ms, ready_ms: None, phase: Phase::Starting }
    }

    /// Enters a phase; true if it is another one than before. The first [`Phase::Ready`] is the time of readiness.
    fn enter(&mut self, phase: Phase, now_ms: u64) -> bool {
        if phase == Phase::Ready && self.ready_ms.is_none() {
            self.ready_ms = Some(now_ms);
        }
        std::mem::replace(&mut self.phase, phase) != phase
    }
}

/// Who accepts clients at the listening socket after a shutdown that was requested over the control socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SocketAfterShutdown {
    /// No process: the socket is closed.
    Closed,
    /// Another process, which holds the same socket.
    HandedOver,
}

/// A shutdown requested over the control socket.
#[derive(Debug, Default)]
pub(super) struct ShutdownRequest {
    requested: Cell<Option<SocketAfterShutdown>>,
    wake: tokio::sync::Notify,
}

impl ShutdownRequest {
    pub(super) fn request(&self, socket: SocketAfterShutdown) {
        self.requested.set(Some(socket));
        self.wake.notify_one();
    }

    /// Completes once a shutdown is requested, also if that was before the call.
    pub(super) async fn requested(&self) {
        self.wake.notified().await;
    }

    /// Whether the requester hands the listening socket to another process.
    pub(super) fn hands_over_socket(&self) -> bool {
        self.requested.get() == Some(SocketAfterShutdown::HandedOver)
    }
}

impl HandoverPeer for Instance {
    fn on_event(&self, event: HandoverEvent) {
        self.on_handover_event(event);
    }

    fn on_executed_elsewhere(&self, id: RequestIdHash) {
        self.driver.on_executed_elsewhere(id);
    }

    fn claimed_here(&self) -> UnboundedReceiver<RequestIdHash> {
        self.driver.subscribe_claims()
    }

    fn share_claims(&self) -> io::Result<OwnedFd> {
        self.driver.share_claims()
    }

    fn share_lock(&self) -> io::Result<OwnedFd> {
        match self.state_place.borrow().as_ref().map(|place| &place.lock) {
            Some(Ok(lock)) => lock.try_clone(),
            Some(Err(error)) => Err(error.kind().into()),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Instance {
    pub(super) fn name(&self) -> String {
        self.control.config().name.clone()
    }

    pub(super) fn phase(&self) -> Phase {
        self.lifecycle.borrow().phase
    }

    /// Enters a phase and writes the status file if the phase is new.
    pub(super) fn enter(&self, phase: Phase) {
        if self.set_phase(phase) {
            self.write_status();
        }
    }

    /// As [`Instance::enter`], without writing the status file.
    pub(super) fn set_phase(&self, phase: Phase) -> bool {
        self.lifecycle.borrow_mut().enter(phase, unix_ms())
    }

    pub(super) fn status(&self) -> Status {
        let config = self.control.config();
        let (classes, bad_requests) = self.server.request_counters.counts();
        let lifecycle = self.lifecycle.borrow();
        let reloads = self.reloads.borrow();
        let servers = self.driver.servers();
        Status {
            version: status::VERSION,
            name: config.name.clone(),
            pid: std::process::id(),
            started_ms: lifecycle.started_ms,
            ready_ms: lifecycle.ready_ms,
            written_ms: unix_ms(),
            phase: lifecycle.phase,
            listen: self.listen.clone(),
            config: ConfigStatus {
                digest: config.digest.clone(),
                generation: reloads.generation(),
                refused: reloads.last_rejection().map(str::to_owned),
            },
            requests: classes.into_iter().collect(),
            bad_requests,
            servers,
            connections: self.server.connections(),
            discovery: self.driver.discovery_status(),
            membership: self.driver.peers().map(|peers| peers.status()),
            violations: self.violations(),
            problems: self.current_problems(servers.up),
        }
    }

    fn current_problems(&self, servers_up: usize) -> Vec<String> {
        let mut problems = self.problems.clone();
        if let Some(writer) = &*self.status_writer.borrow() {
            problems.extend(writer.problem());
        }
        if servers_up == 0 {
            problems.push("no server is up".into());
        }
        problems
    }

    fn violations(&self) -> BTreeMap<String, u64> {
        let guard = self.driver.guard.borrow();
        let counted = guard.violations().filter(|(_, count)| *count > 0);
        counted.map(|(violation, count)| (violation.name().to_owned(), count)).collect()
    }

    /// The status as it stands in the status file.
    pub(super) fn status_json(&self) -> Vec<u8> {
        let mut text = serde_json::to_vec(&self.status()).unwrap_or_default();
        text.push(b'\n');
        text
    }

    /// Writes the status file, unless it is another process's. The disk is left to the writer's thread.
    pub(super) fn write_status(&self) {
        if let Some(writer) = self.status_writer.borrow().as_ref().filter(|_| !self.awaits_takeover()) {
            writer.write(self.status_json());
        }
    }

    /// Whether this process is to replace another one that still serves the state directory's sockets.
    pub(super) fn awaits_takeover(&self) -> bool {
        self.state_place.borrow().as_ref().is_some_and(|place| place.awaits_takeover)
    }

    /// Closes the copies of the listening socket: while one is open, the kernel accepts connections that no process serves. A process
    /// without a state directory may still be replaced by one that an operator starts, which asks for a socket and the log of claims.
    pub(super) fn close_listener_copies(&self) {
        drop(self.listener_copy.borrow_mut().take());
        if self.state_place.borrow().is_some() {
            if let Some(handover_listener) = self.handover_listener.take() {
                handover_listener.close();
            }
        }
        if let Some(handover_listener) = &*self.handover_listener.borrow() {
            handover_listener.stop_listening();
        }
    }

    /// Whether this process serves the control socket of its state directory; false without one. Looks at the disk.
    pub(super) fn serves_state(&self) -> bool {
        self.state_place.borrow().as_ref().is_some_and(StatePlace::is_taken)
    }

    /// Whether a successor accepts connections. One with a state directory has taken over the control socket then.
    pub(super) fn is_replaced(&self) -> bool {
        self.handover.borrow().is_replaced() && !self.serves_state()
    }

    /// The process that this one has replaced, while that is still running.
    pub(super) fn predecessor(&self) -> Option<u32> {
        self.predecessor.get().filter(|_| self.handover.borrow().has_predecessor())
    }

    /// Follows the other process of a replacement; both together hold no more connections and memory than one.
    pub(super) fn on_handover_event(&self, event: HandoverEvent) {
        if !self.handover.borrow_mut().handle_event(event) {
            return;
        }
        self.handover_changed.notify_one();
        let handover = *self.handover.borrow();
        let clients = handover.connection_limit(self.connection_limits.clients);
        let servers = handover.connection_limit(self.connection_limits.backends);
        info!(
            instance = %self.name(),
            role = ?handover.role(),
            max_client_connections = clients,
            max_server_connections = servers,
            "handover: connection limits changed"
        );
        self.driver.memory.share_among(handover.processes());
        self.driver.share_quotas_among(handover.processes() as u32);
        self.server.set_max_connections(clients);
        self.driver.set_max_connections(servers);
    }

    /// Sets the gauges that no event updates, before each sample.
    pub(super) fn refresh_gauges(&self) {
        let Some(telemetry) = &self.driver.telemetry else { return };
        let set = |family: &families::Family, labels: &[&str], value: usize| {
            telemetry.registry.gauge(family, labels).set(value as f64);
        };
        let (server_connections, max_server_connections) = self.driver.connections();
        set(&families::CONNECTIONS, &["client"], self.server.connections());
        set(&families::CONNECTIONS, &["server"], server_connections);
        set(&families::MAX_CONNECTIONS, &["client"], self.connection_limits.clients);
        set(&families::MAX_CONNECTIONS, &["server"], max_server_connections);
        set(&families::READY, &[], usize::from(self.phase() == Phase::Ready));
        set(&families::GENERATION, &[], self.reloads.borrow().generation() as usize);
        for (violation, total) in self.driver.guard.borrow().violations() {
            telemetry.rule_violations(violation.name(), total);
        }
        telemetry.cut_responses(self.driver.request_log.cut_off_responses());
        self.control.refresh_gauges();
    }
}
