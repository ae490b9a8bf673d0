//! The server list: reading it, watching it, asking for the whole of it.
//!
//! When to begin a watch and when to ask again after a failure is the balancer's to say
//! ([`bellcroft_balancer::Action::Watch`], [`bellcroft_balancer::Action::FetchEndpoints`]); a watch once begun is kept up here.

mod client;
pub mod codec;
pub mod error;
pub mod monitor;
pub mod policy;
pub mod schedule;
mod watch;

use client::call;
use codec::EndpointList;
use error::CallError;
use policy::{WatchPolicy, CALL_TIMEOUT};
use schedule::WatchSchedule;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use watch::Watch;

/// Receives what calls to discovery bring.
pub(crate) trait EndpointSink {
    /// A call is sent.
    fn on_discovery_call(&self);
    /// A call has been answered with this list.
    fn on_endpoints(self: Rc<Self>, list: EndpointList);
    /// A call has failed; of a watch, how long it had been open.
    fn on_call_failed(&self, watch: Option<Duration>, error: &CallError);
    /// A watch of this version has not been answered within this time; it stays open.
    fn on_silent_watch(&self, version: u64, elapsed: Duration);
    /// The watch, or the call for the complete list, has failed; nothing is called until the next is started.
    fn on_watch_failed(self: Rc<Self>);
}

/// The calls to discovery; at most one watch and one call for the whole list at a time.
pub(crate) struct Discovery {
    address: SocketAddr,
    policy: WatchPolicy,
    watch: Option<JoinHandle<()>>,
    fetch: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Knows where discovery is; calls nobody yet.
    pub fn new(address: SocketAddr, policy: WatchPolicy) -> Self {
        Discovery { address, policy, watch: None, fetch: None }
    }

    /// Where discovery is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// It is asked like this from its next call on.
    pub fn reconfigure(&mut self, policy: WatchPolicy) {
        self.policy = policy;
    }

    /// Whether nobody else says when a watch begins.
    pub fn restarts_watches(&self) -> bool {
        self.policy.restarts_watches()
    }

    /// Discovery has moved: calls to the old address, and their connections, end.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        for call in [self.watch.take(), self.fetch.take()].into_iter().flatten() {
            call.abort();
        }
    }

    /// Begins a watch for what is newer than `seq`, or ends the one there is. With no `seq` it begins with the
    /// whole list.
    pub fn watch(&mut self, sink: Rc<dyn EndpointSink>, active: bool, seq: Option<u64>) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if active {
            let schedule = WatchSchedule::new(self.policy, seq, fastrand::u64(..));
            let watch = Watch::new(self.address, sink, schedule);
            self.watch = Some(tokio::task::spawn_local(watch.run()));
        }
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self, sink: Rc<dyn EndpointSink>) {
        if self.fetch.as_ref().is_some_and(|f| !f.is_finished()) {
            return;
        }
        let address = self.address;
        self.fetch = Some(tokio::task::spawn_local(async move {
            let mut connection = None;
            sink.on_discovery_call();
            let answer = timeout(CALL_TIMEOUT, call(address, &mut connection, "/v1/endpoints")).await;
            match answer.unwrap_or(Err(CallError::Timeout)) {
                Ok(list) => sink.on_endpoints(list),
                Err(error) => {
                    sink.on_call_failed(None, &error);
                    sink.on_watch_failed();
                }
            }
        }));
    }
}
