//! Stand-ins for all that surrounds an agent, on loopback sockets: [`Backend`] answers by a test's script,
//! [`Server`] has cores, a queue and faults, [`Directory`] hands out the server list, [`Client`] asks one request
//! at a time and [`Traffic`] many. [`Agent`] is the real program.
//!
//! Every stand-in keeps a record, so that a test can set what clients were told against what servers did.

mod backend;
mod baseline;
mod directory;
pub mod faults;
mod fleet;
mod folder;
mod http;
mod incidents;
mod metrics;
pub mod open_loop;
pub mod paced_server;
mod page;
mod process;
pub mod request_forms;
pub mod scale;
mod scripted_discovery;
mod server;
pub mod soak;
mod traffic;
mod world;

pub use backend::{Backend, Reply};
pub use baseline::Baseline;
pub use directory::{host, Directory, Mood};
pub use fleet::{bellcroft, instances, phases, Fleet};
pub use folder::{Folder, Manager};
pub use http::{ok, read_message, request, request_as, soon, Message, LONG, PAST_REUSE_DELAY};
pub use incidents::{stage, Incident, Staged};
pub use metrics::*;
pub use page::write_into;
pub use process::{
    command, config, is_error, is_running, kill, log_field, on_own_runtime, patient_config, program,
    settings, write_config, Agent, Client, Leaving,
};
pub use scripted_discovery::{DiscoveryCall, ScriptedDiscovery};
pub use server::{Plan, Seen, Server, Work};
pub use traffic::{fates, p99, wanted_share, Class, Fate, Load, Record, Traffic, CLASSES};
pub use world::World;

use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// An address where nobody listens.
pub async fn nobody() -> SocketAddr {
    unused_port(Ipv4Addr::LOCALHOST).await
}

/// An address for a program that is to be started, or started again, on the same port: while the port is free, no other
/// process can take it. Every process of tests has a loopback address of its own, by its process id (at most 22 bits), and
/// connections to 127.0.0.0/8 start from 127.0.0.1.
pub async fn unshared_address() -> SocketAddr {
    unused_port(unshared_host()).await
}

/// A loopback address that no other process of tests uses, and from which no client connects.
pub fn unshared_host() -> Ipv4Addr {
    const OWN_NETWORKS: u8 = 0x40;
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, OWN_NETWORKS | high, middle, low)
}

async fn unused_port(address: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((address, 0)).await.expect("a port");
    listener.local_addr().expect("an address")
}
