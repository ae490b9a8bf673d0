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
    /// Binds a socket to an address. A shortage of descriptors is retried for one second.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened, or not be bound to the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = open_with_retry(|| std::net::UdpSocket::bind(address)).await?;
        socket.set_nonblocking(true)?;
        Ok(DatagramSocket(UdpSocket::from_std(socket)?))
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// The system call fails.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits for the next datagram, and returns its length and its sender. A longer datagram is truncated to the buffer.
    ///
    /// An interrupted call is retried. So is one that returns an ICMP error (port unreachable): an earlier send caused it,
    /// and it does not affect arriving datagrams.
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
                result => return result,
            }
        }
    }

    /// Sends a datagram without waiting.
    ///
    /// # Errors
    ///
    /// The kernel cannot accept the datagram at present.
    pub fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        // The socket is called directly: the readiness that the runtime has recorded may be out of date.
        retry_interrupted(|| SockRef::from(&self.0).send_to(bytes, &SockAddr::from(to)))
    }
}
