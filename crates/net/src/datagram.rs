//! UDP datagrams.

use crate::errors::{open_with_retry, retry_interrupted};
use socket2::{SockAddr, SockRef};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A UDP socket.
#[derive(Debug)]
pub struct DatagramSocket(UdpSocket);

impl DatagramSocket {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = open_with_retry(|| std::net::UdpSocket::bind(address)).await?;
        socket.set_nonblocking(true)?;
        Ok(DatagramSocket(UdpSocket::from_std(socket)?))
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next datagram, truncated to the buffer's length, and its sender. An interrupted call is retried; an ICMP error that
    /// an earlier send caused (port unreachable) concerns no datagram that arrives.
    ///
    /// # Errors
    ///
    /// The socket fails.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            match self.0.recv_from(buffer).await {
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionRefused
                    ) => {}
                ended => return ended,
            }
        }
    }

    /// Sends a datagram without waiting.
    ///
    /// # Errors
    ///
    /// The kernel does not accept it now.
    pub fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        // Past the runtime, whose readiness may be out of date.
        retry_interrupted(|| SockRef::from(&self.0).send_to(bytes, &SockAddr::from(to)))
    }
}
