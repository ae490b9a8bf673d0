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

use crate::driver::Driver;
use client::call;
use error::CallError;
use policy::{WatchPolicy, CALL_TIMEOUT};
use schedule::WatchSchedule;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use watch::Watch;

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
    pub fn follows_by_itself(&self) -> bool {
        self.policy.restarts_by_itself()
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
    pub fn watch(&mut self, driver: &Rc<Driver>, active: bool, seq: Option<u64>) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if active {
            let schedule = WatchSchedule::new(self.policy, seq, fastrand::u64(..));
            let watch = Watch::new(self.address, driver.clone(), schedule);
            self.watch = Some(tokio::task::spawn_local(watch.run()));
        }
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self, driver: &Rc<Driver>) {
        if self.fetch.as_ref().is_some_and(|f| !f.is_finished()) {
            return;
        }
        let (address, driver) = (self.address, driver.clone());
        self.fetch = Some(tokio::task::spawn_local(async move {
            let mut connection = None;
            driver.on_discovery_call();
            let answer = timeout(CALL_TIMEOUT, call(address, &mut connection, "/v1/endpoints")).await;
            match answer.unwrap_or(Err(CallError::Timeout)) {
                Ok(list) => driver.on_endpoints(list),
                Err(error) => {
                    driver.on_call_failed(None, &error);
                    driver.on_watch_failed();
                }
            }
        }));
    }
}
