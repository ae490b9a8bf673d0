//! The state directory during the replacement of a process: which of the two serves its sockets, and opens the instance's other
//! addresses.

use super::control::Control;
use super::disk;
use super::serve::Serving;
use super::socket_file::BoundSocket;
use super::state::{self, CONTROL_SOCKET, HANDOVER_SOCKET};
use bellcroft_agent_core::handover::HandoverRole;
use serde_json::Value;
use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use tokio::sync::oneshot;
use tracing::{info, warn};

/// The sockets of a state directory, in place of those of the process that is replaced.
pub(super) struct StateSockets {
    control: io::Result<BoundSocket>,
    handover: io::Result<BoundSocket>,
}

impl StateSockets {
    /// Makes the sockets in `dir`. Waits for the disk.
    fn make(dir: &Path, lock: io::Result<OwnedFd>) -> Self {
        if let Ok(lock) = lock {
            state::write_process_id(&File::from(lock));
        }
        StateSockets {
            control: BoundSocket::bind(&dir.join(CONTROL_SOCKET)),
            handover: BoundSocket::bind(&dir.join(HANDOVER_SOCKET)),
        }
    }
}

/// How far the replacement of another process at the sockets of the state directory has come.
pub(super) enum StateTakeover {
    NotStarted,
    /// Another thread makes the sockets, so that a stalled disk delays no client.
    InProgress(oneshot::Receiver<StateSockets>),
    Finished,
}

impl StateTakeover {
    pub(super) fn is_finished(&self) -> bool {
        matches!(self, StateTakeover::Finished)
    }

    fn is_in_progress(&self) -> bool {
        matches!(self, StateTakeover::InProgress(_))
    }

    /// Completes once the sockets are made, and never if nobody makes them; none if no thread could be started.
    pub(super) async fn finished(&mut self) -> Option<StateSockets> {
        let StateTakeover::InProgress(made) = self else { return std::future::pending().await };
        let sockets = made.await.ok();
        *self = StateTakeover::Finished;
        sockets
    }
}

impl Serving {
    /// Makes the control socket and the handover socket of the state directory in place of the other process's;
    /// [`Serving::on_state_sockets_made`] follows. Without effect while that is in progress.
    pub(super) fn begin_state_takeover(&mut self) {
        let Some(state) = self.state.as_ref().filter(|_| !self.takeover.is_in_progress()) else { return };
        let (dir, lock): (PathBuf, _) = (state.path().to_owned(), state.share_lock());
        self.takeover = StateTakeover::InProgress(disk::spawn(move || StateSockets::make(&dir, lock)));
    }

    /// Serves the sockets of the state directory.
    pub(super) fn on_state_sockets_made(&mut self, sockets: Option<StateSockets>) {
        let Some(StateSockets { control, handover }) = sockets else {
            warn!(instance = %self.instance.name(), "control socket not available: no thread to make it");
            return;
        };
        let answering = self.instance.clone();
        let answer = move |request: Value| answering.on_control_request(&request);
        match control.and_then(|socket| Control::serve_bound(socket, answer)) {
            Ok(control_socket) => self.set_control_socket(control_socket),
            Err(error) => warn!(instance = %self.instance.name(), %error, "control socket not available"),
        }
        self.serve_handover_at(handover);
        self.instance.write_status();
    }

    fn set_control_socket(&mut self, control_socket: Control) {
        let file = control_socket.file();
        if let Some(place) = &mut *self.instance.state_place.borrow_mut() {
            place.awaits_takeover = false;
            place.control_file = Some(file.clone());
        }
        if let Some(writer) = &*self.instance.status_writer.borrow() {
            writer.set_control_socket(file);
        }
        if let Some(former) = self.control_socket.replace(control_socket) {
            former.close();
        }
    }

    /// Handles the start or the exit of the other process of a replacement. A process that remains alone serves clients and its state
    /// directory whether it is ready or not, since no other process does.
    pub(super) fn on_handover_change(&mut self) {
        if !self.is_alone() {
            return;
        }
        self.accept_clients();
        if self.state.is_some() && !self.instance.serves_state() {
            info!(instance = %self.instance.name(), "handover: other process has exited, serving the state directory");
            self.begin_state_takeover();
        }
    }

    /// Whether no other process of the instance runs.
    fn is_alone(&self) -> bool {
        self.instance.handover.borrow().role() == HandoverRole::Standalone
    }

    /// Opens what has a fixed address of its own, once the predecessor has released it.
    pub(super) async fn open_predecessors_addresses(&mut self) {
        if !self.awaits_predecessors_exit || !self.is_alone() {
            return;
        }
        if let Err(error) = self.instance.control.start_peering().await {
            warn!(instance = %self.instance.name(), %error, "membership not started, trying again");
            return;
        }
        self.awaits_predecessors_exit = false;
        if let Err(error) = self.serve_console().await {
            warn!(instance = %self.instance.name(), %error, "admin console not started");
        }
    }

    /// Whether the supervisor that started this process has exited before the process could take over. The next supervisor knows
    /// only the process that serves; that may be this one while the sockets are made.
    pub(super) fn is_abandoned(&self) -> bool {
        let awaits_takeover = self.instance.awaits_takeover() && !self.takeover.is_in_progress();
        awaits_takeover && rustix::process::getppid() != self.supervisor
    }
}
