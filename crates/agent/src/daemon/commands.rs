//! Commands that a running instance answers: over its control socket (JSON, for the command line and the supervisor) and
//! over its admin console (lines of text, for the platform's operators).

use super::control::{self, Reply};
use super::instance::{Instance, SocketAfterShutdown};
use super::status::Phase;
use bellcroft_agent_core::admin::{format_reply, AdminRequest, ClassStats, ReplyStatus, Stats};
use bellcroft_agent_core::serving::ServingState;
use serde::Serialize;
use serde_json::Value;
use std::os::fd::OwnedFd;
use tracing::info;

/// A request over an instance's control socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "command", rename_all = "lowercase")]
pub(crate) enum InstanceRequest {
    /// The instance's status.
    Status,
    /// The instance's view of its cluster.
    Members,
    /// Read the configuration files again.
    Reload,
    /// Shut down gracefully.
    Drain {
        /// Another process goes on accepting at the same listening socket.
        handover: bool,
    },
    /// A copy of the listening socket.
    Listener,
}

impl InstanceRequest {
    /// Reads a request. Unknown keys are skipped, and a `handover` that is no boolean counts as false.
    fn parse(request: &Value) -> Option<Self> {
        match request["command"].as_str()? {
            "status" => Some(InstanceRequest::Status),
            "members" => Some(InstanceRequest::Members),
            "reload" => Some(InstanceRequest::Reload),
            "drain" => {
                Some(InstanceRequest::Drain { handover: request["handover"].as_bool().unwrap_or(false) })
            }
            "listener" => Some(InstanceRequest::Listener),
            _ => None,
        }
    }
}

#[derive(Serialize)]
struct ReloadReply {
    generation: u64,
}

#[derive(Serialize)]
struct DrainReply {
    draining: bool,
}

/// The reply to [`InstanceRequest::Listener`], which goes with a copy of the listening socket.
#[derive(Serialize)]
pub(crate) struct ListenerReply<'a> {
    listen: &'a str,
    /// The process that this one has replaced, while that is still running.
    #[serde(skip_serializing_if = "Option::is_none")]
    predecessor: Option<u32>,
}

impl ListenerReply<'_> {
    /// The predecessor's process id in such a reply.
    pub(crate) fn predecessor(reply: &Value) -> Option<u32> {
        reply["predecessor"].as_u64().and_then(|pid| u32::try_from(pid).ok())
    }
}

impl Instance {
    /// Answers a request over the control socket.
    pub(super) fn on_control_request(&self, request: &Value) -> Reply {
        match InstanceRequest::parse(request) {
            Some(InstanceRequest::Status) => Reply::message(&self.status()),
            Some(InstanceRequest::Members) => match self.driver.peers() {
                Some(peers) => Reply::message(&peers.status()),
                None => control::error("it looks for no others: its operator's file has no [membership]"),
            },
            Some(InstanceRequest::Reload) => match self.reload() {
                Ok(()) => Reply::message(&ReloadReply { generation: self.reloads.borrow().generation() }),
                Err(error) => control::error(error),
            },
            Some(InstanceRequest::Drain { handover }) => {
                self.shutdown_request.request(if handover {
                    SocketAfterShutdown::HandedOver
                } else {
                    SocketAfterShutdown::Closed
                });
                Reply::message(&DrainReply { draining: true })
            }
            Some(InstanceRequest::Listener) => self.reply_with_listener(),
            None => control::error("a command was expected: status, members, reload, drain or listener"),
        }
    }

    fn reply_with_listener(&self) -> Reply {
        match self.listener_copy.borrow().as_ref().map(OwnedFd::try_clone) {
            Some(Ok(copy)) => {
                let reply = ListenerReply { listen: &self.listen, predecessor: self.predecessor() };
                Reply { descriptor: Some(copy), ..Reply::message(&reply) }
            }
            _ => control::error("the listening socket is not at hand"),
        }
    }

    /// Answers a request over the admin console.
    pub(super) fn on_admin_request(&self, request: AdminRequest) -> String {
        match request {
            AdminRequest::Ready if self.phase() == Phase::Ready && self.server.is_ready() => {
                format_reply(ReplyStatus::Done, "yes")
            }
            AdminRequest::Ready => format_reply(ReplyStatus::Rejected, "no"),
            AdminRequest::ShowStat => self.stats().reply(),
            AdminRequest::Drain => self.drain_by_operator(),
            AdminRequest::Resume => self.resume_by_operator(),
        }
    }

    fn drain_by_operator(&self) -> String {
        let now = self.driver.clock.now();
        if self.server.update_service(|service| service.drain(now)) {
            info!(instance = %self.name(), "admin console: draining");
        }
        match self.server.serving_state() {
            ServingState::ShuttingDown { .. } => format_reply(ReplyStatus::Rejected, "it is ending"),
            ServingState::Serving | ServingState::Draining(_) => format_reply(ReplyStatus::Done, "draining"),
        }
    }

    fn resume_by_operator(&self) -> String {
        if self.server.update_service(bellcroft_agent_core::serving::Service::resume) {
            info!(instance = %self.name(), "admin console: serving resumed");
            format_reply(ReplyStatus::Done, "serving")
        } else {
            format_reply(ReplyStatus::Rejected, "it is ending")
        }
    }

    /// The figures of the admin console's `show-stat`.
    fn stats(&self) -> Stats {
        let (classes, _) = self.server.request_counters.counts();
        let servers = self.driver.servers();
        let reloads = self.reloads.borrow();
        Stats {
            in_progress: classes.iter().map(|(_, counts)| counts.open).sum(),
            classes: classes
                .into_iter()
                .map(|(name, counts)| ClassStats {
                    name,
                    passed: counts.served,
                    dropped: counts.refused,
                    bad_gateway: counts.failed,
                })
                .collect(),
            upstream_tries: self.driver.attempts_sent(),
            known_backends: (servers.up + servers.draining) as u64,
            skipped_backends: self.driver.avoided_servers() as u64,
            loads: reloads.accepted(),
            load_errors: reloads.rejected(),
        }
    }
}
