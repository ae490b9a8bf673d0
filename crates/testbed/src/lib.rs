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
mod page;
mod process;
pub mod scale;
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
    command, config, kill, log_field, patient_config, program, settings, write_config, Agent, Client, Leaving,
};
pub use server::{Plan, Seen, Server, Work};
pub use traffic::{fates, p99, wanted_share, Class, Fate, Load, Record, Traffic, CLASSES};
pub use world::World;

use std::net::SocketAddr;
use tokio::net::TcpListener;

/// An address where nobody listens.
pub async fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}
