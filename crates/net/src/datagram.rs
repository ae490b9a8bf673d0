//! Datagrams.

use crate::errors::{open_with_retry, retry_interrupted};
use socket2::{SockAddr, SockRef};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A socket for datagrams.
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
    /// The system does not say.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next datagram, cut off at the buffer's length, and its sender. An interrupted call is made again; an error that an
    /// earlier datagram of ours has brought back (a port that nobody listens on) concerns no datagram that comes.
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

    /// Sends a datagram if the kernel takes it now.
    ///
    /// # Errors
    ///
    /// It does not.
    pub fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        // The kernel itself is asked: the runtime may not know yet that there is room.
        retry_interrupted(|| SockRef::from(&self.0).send_to(bytes, &SockAddr::from(to)))
    }
}
