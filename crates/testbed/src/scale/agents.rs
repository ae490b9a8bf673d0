//! Who the agents of a run are: names, addresses and files, the same for real and hollow ones.

use super::discovery::EndpointService;
use super::hollow::AgentFiles;
use super::receiver::CountingReceiver;
use super::scenario::Scenario;
use super::switch::{agent_address, DatagramSwitch};
use crate::folder::Folder;
use crate::world::World;
use serde_json::json;
use std::io;
use std::net::SocketAddr;

/// The cluster's name.
pub const CLUSTER: &str = "scale";
/// Second octet of the addresses that real agents take requests on.
const FRONT_NETWORK: u8 = 67;

/// The agents of one run, by number: first the real ones, then the hollow ones; the last may be the one that is killed.
pub struct Agents<'a> {
    scenario: &'a Scenario,
    hollow: usize,
    folder: Folder,
    world: &'a World,
    switch: &'a DatagramSwitch,
    discovery: &'a EndpointService,
    receiver: &'a CountingReceiver,
    peers: String,
}

impl<'a> Agents<'a> {
    /// Knows whom to name to each.
    ///
    /// # Errors
    ///
    /// A socket has lost its address.
    pub fn new(
        (scenario, hollow): (&'a Scenario, usize),
        world: &'a World,
        (switch, discovery, receiver): (&'a DatagramSwitch, &'a EndpointService, &'a CountingReceiver),
    ) -> io::Result<Self> {
        let ports: io::Result<Vec<String>> =
            (0..scenario.real + hollow).map(|agent| Ok(format!("\"{}\"", switch.port(agent)?))).collect();
        let peers = ports?.join(", ");
        Ok(Agents { scenario, hollow, folder: Folder::new(), world, switch, discovery, receiver, peers })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.scenario.real + self.hollow
    }

    fn is_real(&self, agent: usize) -> bool {
        agent < self.scenario.real
    }

    /// Writes an agent's files.
    ///
    /// # Errors
    ///
    /// No address is left for it.
    pub fn write(&self, agent: usize) -> io::Result<AgentFiles> {
        let config = self.write_config(agent, self.front(agent)?, agent)?;
        let listen = self.switch.home(agent);
        let mut text = format!(
            "[membership]\ncluster = \"{CLUSTER}\"\nlisten = \"{listen}\"\nnumber = {agent}\npeers = [{}]\n",
            self.peers
        );
        let interval = match self.is_real(agent) {
            true => self.scenario.telemetry_interval_s,
            false => self.scenario.hollow_interval(),
        };
        if let Some(seconds) = interval {
            let (url, ms) = (self.receiver.url(agent), (seconds * 1e3) as u64);
            text.push_str(&format!("[remote_write]\nurl = \"{url}\"\ninterval = \"{ms}ms\"\n"));
        }
        Ok(AgentFiles { config, operator: self.folder.write(&format!("a{agent}.toml"), &text) })
    }

    /// Writes an agent's configuration anew: its discovery is the listener of its neighbour by number.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn move_discovery(&self, agent: usize, front: SocketAddr) -> io::Result<()> {
        self.write_config(agent, front, self.listener_after_move(agent)).map(drop)
    }

    /// Whose listener an agent calls once its discovery has moved.
    pub fn listener_after_move(&self, agent: usize) -> usize {
        (agent + 1) % self.count()
    }

    fn write_config(
        &self,
        agent: usize,
        front: SocketAddr,
        listener: usize,
    ) -> io::Result<std::path::PathBuf> {
        let name = format!("a{agent}");
        let mut config = self.world.config(&name);
        config["seed"] = json!(format!("{name} of {}", self.scenario.seed));
        config["listen"] = json!(front.to_string());
        config["discovery"] = json!(self.discovery.address(listener).to_string());
        config["known"] = json!({"seq": 1, "whole": true, "hosts": self.world.hosts()});
        let file = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&file, config.to_string())?;
        Ok(file)
    }

    /// Where an agent is to take requests: on an address of its own; a hollow one takes none.
    fn front(&self, agent: usize) -> io::Result<SocketAddr> {
        if !self.is_real(agent) {
            return Ok(unused_front());
        }
        std::net::TcpListener::bind((agent_address(FRONT_NETWORK, agent), 0))?.local_addr()
    }

    /// The address in an agent's files.
    ///
    /// # Errors
    ///
    /// The file is not there or names none.
    pub fn front_of(&self, agent: usize) -> io::Result<SocketAddr> {
        let text = std::fs::read_to_string(self.folder.path().join(format!("a{agent}.json")))?;
        let config: serde_json::Value = serde_json::from_str(&text)?;
        let listen = config["listen"].as_str().and_then(|listen| listen.parse().ok());
        listen.ok_or_else(|| io::Error::other("the configuration names no address"))
    }

    /// Writes the list of a hollow process's agents.
    ///
    /// # Errors
    ///
    /// An agent's files cannot be written.
    pub fn write_assignments(&self, name: &str, agents: &[usize]) -> io::Result<std::path::PathBuf> {
        let files: io::Result<Vec<AgentFiles>> = agents.iter().map(|agent| self.write(*agent)).collect();
        Ok(self.folder.write(&format!("{name}.json"), &serde_json::to_string(&files?)?))
    }
}

fn unused_front() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
