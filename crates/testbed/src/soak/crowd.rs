//! Clients that connect, say nothing and stay.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// More than a process of the soak may hold: half of its 512 descriptors, less those reserved.
const CROWD_SIZE: usize = 260;
/// Those that were shut are replaced this often.
const REFILL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps a crowd at an address for so long.
pub async fn crowd(address: SocketAddr, lasts: Duration) {
    let until = Instant::now() + lasts;
    let mut connections: Vec<TcpStream> = Vec::new();
    while Instant::now() < until {
        connections.retain(is_open);
        while connections.len() < CROWD_SIZE {
            // Between two processes nobody listens.
            let Ok(stream) = TcpStream::connect(address).await else { break };
            connections.push(stream);
        }
        sleep(REFILL_INTERVAL).await;
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.try_read(&mut byte).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
