//! An agent whose servers hang.

use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::*;

/// The time for which the servers say nothing, longer than that of a refusal.
pub const HANG: Duration = Duration::from_millis(900);
/// The pause between two writes.
pub const PAUSE: Duration = Duration::from_millis(20);
/// The number of servers, so that none is full.
pub const SERVERS: usize = 8;

/// Starts an agent's process in a folder, and waits until it is ready.
async fn start_in(folder: &Folder, config: Value) -> Agent {
    let agent = Agent::with(config, |command| {
        command.env("TMPDIR", folder.path());
    })
    .await;
    agent.ready().await;
    agent
}

/// An agent and servers that hang.
pub struct HungServers {
    pub agent: Agent,
    servers: Vec<Backend>,
    config: Value,
    /// Where a process that replaces the agent's finds it.
    folder: Folder,
    _directory: Directory,
}

impl HungServers {
    /// Starts them; the servers answer with 200 after this time.
    pub async fn start(hang: Duration, config_for: impl Fn(SocketAddr, &[Value]) -> Value) -> Self {
        Self::answering(hang, &ok("x"), config_for).await
    }

    /// The same with another answer.
    pub async fn answering(
        hang: Duration,
        answer: &[u8],
        config_for: impl Fn(SocketAddr, &[Value]) -> Value,
    ) -> Self {
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            servers.push(Backend::answering_after(hang, answer.to_vec()).await);
        }
        let hosts: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(number, server)| host(&format!("s{number}"), server.address, "up"))
            .collect();
        let directory = Directory::start(Mood::Mute).await;
        let mut config = config_for(directory.address, &hosts);
        config["settings"]["parties"][0]["allowancePerS"] = 100_000.0.into();
        config["listen"] = unshared_address().await.to_string().into();
        let folder = Folder::new();
        let agent = start_in(&folder, config.clone()).await;
        HungServers { agent, servers, config, folder, _directory: directory }
    }

    /// Starts a process that replaces the agent's, and returns the former one, which still serves.
    pub async fn upgrade(&mut self) -> Agent {
        let successor = start_in(&self.folder, self.config.clone()).await;
        std::mem::replace(&mut self.agent, successor)
    }

    /// The paths and ids of the requests that have begun at the servers since the last look.
    pub fn begun(&mut self) -> Vec<String> {
        self.servers.iter_mut().flat_map(|server| server.record().1).collect()
    }
}
