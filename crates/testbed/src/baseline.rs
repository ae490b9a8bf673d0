//! What an agent has to come back to once nothing that it was asked is open any more.

use crate::http::{request_as, soon};
use crate::process::Agent;
use std::time::Duration;

/// An agent's state before it is asked anything. Once all is over it must be there again: no request in progress, no id
/// held, no socket of a client's connection or of one to a server that no server holds any more.
pub struct Baseline {
    sockets: usize,
}

impl Baseline {
    /// The state of an agent that nobody has asked anything.
    pub fn of(agent: &Agent) -> Self {
        Baseline { sockets: agent.sockets() }
    }

    /// Waits until it is restored, with all clients gone, some of the ids that they used, and servers that hold at most so
    /// many connections. It asks three times, and all three have to be served.
    pub async fn restored(&self, agent: &Agent, ids: &[String], server_connections: usize) {
        agent.until("svc.in_progress", |open| open == 0).await;
        for id in ids.iter().rev().take(3) {
            let again = request_as(id, "GET", "/read/again", "20000m", "");
            let answer = agent.client().await.ask(&again).await;
            assert_eq!(answer.status(), 200, "{id} is held by nobody");
        }
        soon("sockets are given back", async {
            while agent.sockets() > self.sockets + server_connections {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }
}
