//! Passes hints and fleet state between the balancer and the peers. Both are advice: the balancer works without them.

use super::Driver;
use crate::peers::{name_hash, PeerEventHandler, Peers};
use bellcroft_balancer::{Event, FleetState, PeerId, Settings, UNCONFIRMED_HINT};
use std::rc::Rc;
use tracing::warn;

impl Driver {
    /// Connects the balancer to the other instances through `peers`, and starts the detection of stalls of this
    /// process.
    pub fn set_peers(&self, peers: Rc<Peers>) {
        *self.peers.borrow_mut() = Some(peers);
        self.start_stall_detection();
    }

    /// The connection to the other instances; none if no peers are configured.
    pub fn peers(&self) -> Option<Rc<Peers>> {
        self.peers.borrow().clone()
    }
}

impl PeerEventHandler for Driver {
    fn listed_servers(&self) -> usize {
        self.state.borrow().endpoints.up_count()
    }

    fn on_hint(self: Rc<Self>, from: PeerId, server: u64, unconfirmed: bool) {
        {
            let mut state = self.state.borrow_mut();
            let Some(server) = state.endpoints.find(|name| name_hash(name) == server) else { return };
            let mut payload = server.0.to_be_bytes().to_vec();
            payload.extend(unconfirmed.then_some(UNCONFIRMED_HINT));
            state.events.push_back(Event::PeerMessage { from, payload });
        }
        self.pump();
    }

    fn on_fleet_state(self: Rc<Self>, state: FleetState) {
        self.state.borrow_mut().events.push_back(Event::Fleet(state));
        self.pump();
    }

    fn on_fleet_size(&self, instances: u32) {
        self.fleet_size.set(instances);
        self.instances.set(instances);
        self.update_quotas();
    }
}

impl Driver {
    /// Shares this instance's quotas among so many processes, each of which decides for itself.
    pub fn share_quotas_among(&self, processes: u32) {
        self.processes.set(processes);
        self.update_quotas();
    }

    /// The number of processes that share the quotas of the fleet, if each instance had as many as this one.
    pub(super) fn balancers(&self) -> u32 {
        self.instances.get().saturating_mul(self.processes.get())
    }

    fn update_quotas(&self) {
        let balancers = self.balancers();
        let mut state = self.state.borrow_mut();
        let settings = Settings { balancers, ..state.balancer.settings().clone() };
        if let Err(error) = state.balancer.reconfigure(settings, &[]) {
            warn!(balancers, %error, "cannot update the quotas for the number of instances");
        }
    }

    /// Sends a peer the balancer's hint about a server. The hint is discarded if there are no peers or the server is
    /// unknown.
    pub(super) fn send_hint(&self, server_name: Option<&str>, to: Option<PeerId>) {
        if let (Some(peers), Some(to), Some(name)) = (&*self.peers.borrow(), to, server_name) {
            peers.send_hint(to, name);
        }
    }
}
