//! Calls to discovery: watches for changes of the endpoint list, and requests for a snapshot of it.
//!
//! The balancer decides when a watch starts and when discovery is called again after a failure
//! ([`bellcroft_balancer::Action::Watch`], [`bellcroft_balancer::Action::FetchEndpoints`]). This module continues a
//! started watch until it fails.

pub mod address_owners;
mod client;
pub mod codec;
pub mod error;
pub mod monitor;
pub mod policy;
pub mod schedule;
mod watch;

use client::{call, AbortOnDrop};
use codec::EndpointList;
use error::CallError;
use policy::{WatchPolicy, CALL_TIMEOUT};
use schedule::WatchSchedule;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use watch::{Watch, WatchNumber, WatchState};

/// Which call has returned a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListOrigin {
    /// The present watch, or a call for a snapshot.
    Watch,
    /// The last call of a watch that has been replaced, maybe by one at another address, whose versions are its own.
    SupersededWatch,
}

/// Receives the results of calls to discovery.
pub(crate) trait EndpointSink {
    /// Called when a call is sent.
    fn on_discovery_call(&self);
    /// Called when a call has returned this list.
    fn on_endpoints(self: Rc<Self>, list: EndpointList, origin: ListOrigin);
    /// Called when a call has failed. `watch_elapsed` is the time that the call was open, if it was a watch.
    fn on_call_failed(&self, watch_elapsed: Option<Duration>, error: &CallError);
    /// Called when a watch of this version has had no response within this time; the call stays open.
    fn on_silent_watch(&self, version: u64, elapsed: Duration);
    /// Called when the watch or the call for a snapshot has failed. Discovery is not called again until the balancer
    /// starts a watch or a fetch.
    fn on_watch_failed(self: Rc<Self>);
}

/// A watch that runs until this handle is dropped.
struct RunningWatch {
    number: WatchNumber,
    _task: AbortOnDrop,
    state: Rc<WatchState>,
}

/// The calls to discovery: at most one watch, one superseded watch and one call for a snapshot at a time.
pub(crate) struct Discovery {
    address: SocketAddr,
    policy: WatchPolicy,
    watch: Option<RunningWatch>,
    /// A watch that was replaced while it waited for an immediate response. It is left alone until that call has ended, so that
    /// restarts in quick succession do not keep every list from arriving.
    superseded: Option<RunningWatch>,
    fetch: Option<AbortOnDrop>,
    next_number: WatchNumber,
    /// The latest watch that has returned a list.
    latest_source: Rc<Cell<WatchNumber>>,
}

impl Discovery {
    /// A client for discovery at this address; sends no call yet.
    pub fn new(address: SocketAddr, policy: WatchPolicy) -> Self {
        Discovery {
            address,
            policy,
            watch: None,
            superseded: None,
            fetch: None,
            next_number: WatchNumber::default(),
            latest_source: Rc::default(),
        }
    }

    /// The address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the policy for watches that are started from now on.
    pub fn reconfigure(&mut self, policy: WatchPolicy) {
        self.policy = policy;
    }

    /// Whether watches restart by themselves after a failure, rather than when the balancer starts the next one.
    pub fn restarts_watches(&self) -> bool {
        self.policy.restarts_watches()
    }

    /// Replaces the present watch, if any, by one at this address that first requests a snapshot. A call for an immediate response is
    /// left alone until it has ended; its list is used unless the new watch returns one first.
    pub fn restart(&mut self, sink: Rc<dyn EndpointSink>, address: SocketAddr) {
        self.address = address;
        self.fetch = None;
        let latest_source = self.latest_source.get();
        let is_awaited =
            |watch: &RunningWatch| watch.state.awaits_response() && watch.number >= latest_source;
        if !self.superseded.as_ref().is_some_and(is_awaited) {
            self.superseded = self.watch.take().filter(is_awaited);
            if let Some(superseded) = &self.superseded {
                superseded.state.supersede();
            }
        }
        self.start_watch(sink, None);
    }

    /// Cancels all calls. Their responses may be as old as the cached list.
    pub fn cancel(&mut self) {
        (self.watch, self.superseded, self.fetch) = (None, None, None);
    }

    /// Ends the present watch or, if `active` and none is running, starts one for changes after `version`. Without a version the
    /// watch first requests a snapshot.
    pub fn watch(&mut self, sink: Rc<dyn EndpointSink>, active: bool, version: Option<u64>) {
        if !active {
            self.watch = None;
        } else if self.watch.as_ref().is_none_or(|watch| watch.state.has_ended()) {
            self.start_watch(sink, version);
        }
    }

    fn start_watch(&mut self, sink: Rc<dyn EndpointSink>, version: Option<u64>) {
        self.next_number.0 += 1;
        let schedule = WatchSchedule::new(self.policy, version, fastrand::u64(..));
        let watch = Watch::new(self.next_number, self.latest_source.clone(), self.address, sink, schedule);
        let state = watch.state();
        let task = AbortOnDrop(tokio::task::spawn_local(watch.run()));
        self.watch = Some(RunningWatch { number: self.next_number, _task: task, state });
    }

    /// Requests a snapshot once, unless such a call is in progress.
    pub fn fetch(&mut self, sink: Rc<dyn EndpointSink>) {
        if self.fetch.as_ref().is_some_and(|fetch| !fetch.0.is_finished()) {
            return;
        }
        let address = self.address;
        self.fetch = Some(AbortOnDrop(tokio::task::spawn_local(async move {
            let mut connection = None;
            sink.on_discovery_call();
            let response = timeout(CALL_TIMEOUT, call(address, &mut connection, "/v1/endpoints")).await;
            match response.unwrap_or(Err(CallError::Timeout)) {
                Ok(list) => sink.on_endpoints(list, ListOrigin::Watch),
                Err(error) => {
                    sink.on_call_failed(None, &error);
                    sink.on_watch_failed();
                }
            }
        })));
    }
}
