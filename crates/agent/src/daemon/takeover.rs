//! The state directory during the replacement of a process: which of the two serves its sockets, and opens the instance's other
//! addresses.

use super::control::Control;
use super::serve::Serving;
use bellcroft_agent_core::handover::HandoverRole;
use serde_json::Value;
use tracing::{info, warn};

impl Serving {
    /// Serves the control socket and the handover socket of the state directory, in place of the other process of a replacement.
    pub(super) fn take_over_state(&mut self) {
        let Some(state) = &self.state else { return };
        state.write_process_id();
        let answering = self.instance.clone();
        let answer = move |request: Value| answering.on_control_request(&request);
        match Control::serve(state.path(), answer) {
            Ok(control_socket) => {
                if let Some(place) = &mut *self.instance.state_place.borrow_mut() {
                    place.awaits_takeover = false;
                    place.control_file = Some(control_socket.file());
                }
                if let Some(writer) = &*self.instance.status_writer.borrow() {
                    writer.set_control_socket(control_socket.file());
                }
                self.control_socket = Some(control_socket);
            }
            Err(error) => warn!(instance = %self.instance.name(), %error, "control socket not available"),
        }
        self.serve_handover();
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
            self.take_over_state();
            self.instance.write_status();
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
    /// only the process that serves.
    pub(super) fn is_abandoned(&self) -> bool {
        self.instance.awaits_takeover() && rustix::process::getppid() != self.supervisor
    }
}
