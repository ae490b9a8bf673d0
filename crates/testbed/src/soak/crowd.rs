//! Clients that take up all connections that a process may have and stay, each in the same state.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Clients of a usual crowd: more than a process of the soak may hold, half of its 512 descriptors less those reserved.
pub const CROWD_CLIENTS: usize = 260;
/// Clients of a large crowd, which fills the accept queue too.
pub const LARGE_CROWD_CLIENTS: usize = 900;
/// Those that were shut are replaced this often.
const REFILL_INTERVAL: Duration = Duration::from_millis(5);
/// The pause between two bytes of a client that never stops sending.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// The length of a long body of a crowd.
const LONG_BODY: usize = 64 << 10;
/// The class of a crowd's requests, one with a body.
const CLASS: &str = "log-session";

/// The state in which the clients of a crowd stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdState {
    /// They send nothing.
    Silent,
    /// They stop in a request's head.
    HalfHead,
    /// They send a request's head byte by byte.
    TricklingHead,
    /// They stop in a request's body.
    HalfBody,
    /// They stop near the end of a body that is as long as one that is buffered may be.
    LongBody,
}

impl CrowdState {
    /// Each state.
    pub const ALL: [CrowdState; 5] = [
        CrowdState::Silent,
        CrowdState::HalfHead,
        CrowdState::TricklingHead,
        CrowdState::HalfBody,
        CrowdState::LongBody,
    ];

    /// What a client sends after it has connected.
    fn text(self, number: usize) -> String {
        let head = format!(
            "POST /{CLASS} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: crowd-{number}\r\n\
             X-Priority-Class: {CLASS}\r\nX-Tenant-Id: acme\r\nX-Timeout: 2000m\r\n"
        );
        match self {
            CrowdState::Silent => String::new(),
            CrowdState::HalfHead | CrowdState::TricklingHead => head + "X-Filler: ",
            CrowdState::HalfBody => head + "Idempotency-Key: k\r\nContent-Length: 1000\r\n\r\nhalf",
            CrowdState::LongBody => {
                let head = head + &format!("Idempotency-Key: k\r\nContent-Length: {LONG_BODY}\r\n\r\n");
                head + &"b".repeat(LONG_BODY * 9 / 10)
            }
        }
    }
}

/// A crowd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crowd {
    /// The state in which its clients stay.
    pub state: CrowdState,
    /// The number of its clients.
    pub clients: usize,
    /// How long it stays.
    pub lasts: Duration,
}

/// Keeps a crowd at an address.
pub async fn crowd(address: SocketAddr, crowd: Crowd) {
    let Crowd { state, clients, lasts } = crowd;
    let until = Instant::now() + lasts;
    let mut connections: Vec<TcpStream> = Vec::new();
    let mut number = 0;
    let mut next_byte_at = Instant::now();
    while Instant::now() < until {
        connections.retain(is_open);
        while connections.len() < clients {
            // Between two processes nobody listens.
            let Ok(mut stream) = TcpStream::connect(address).await else { break };
            number += 1;
            if stream.write_all(state.text(number).as_bytes()).await.is_ok() {
                connections.push(stream);
            }
        }
        if state == CrowdState::TricklingHead && Instant::now() >= next_byte_at {
            // A connection that takes no byte has ended.
            connections.retain(|stream| stream.try_write(b"x").is_ok());
            next_byte_at = Instant::now() + TRICKLE_INTERVAL;
        }
        sleep(REFILL_INTERVAL).await;
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.try_read(&mut byte).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
