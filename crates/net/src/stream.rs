//! Reads and writes of a connection.

use crate::errors::{retry_interrupted, MAX_INTERRUPTIONS};
use crate::receive_time::received_ago;
use hyper::rt::ReadBufCursor;
use socket2::SockRef;
use std::future::poll_fn;
use std::io::{self, IoSlice, Read};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// Size of a read for hyper, whose buffer may be uninitialized and is filled by a copy.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Attempts to set a socket option: on a connection that was just accepted, the first one may fail.
const MAX_OPTION_ATTEMPTS: usize = 3;

/// The methods of the runtime's socket that [`Stream`] uses. Reads and writes clear its readiness only if they would block.
pub trait Socket: AsFd {
    /// Waits until there are bytes to read.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits until bytes can be written.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads available bytes without waiting.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes as many bytes as fit without waiting.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Writes as many bytes of these buffers as fit without waiting.
    fn try_write_vectored(&self, buffers: &[IoSlice<'_>]) -> io::Result<usize>;
}

macro_rules! impl_socket {
    ($type:ty) => {
        impl Socket for $type {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$type>::poll_read_ready(self, cx)
            }

            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                <$type>::poll_write_ready(self, cx)
            }

            fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
                <$type>::try_read(self, buffer)
            }

            fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
                <$type>::try_write(self, bytes)
            }

            fn try_write_vectored(&self, buffers: &[IoSlice<'_>]) -> io::Result<usize> {
                <$type>::try_write_vectored(self, buffers)
            }
        }
    };
}

impl_socket!(TcpStream);
impl_socket!(UnixStream);

/// A connection. Reads and writes continue after an interrupted call, and after one that transferred fewer bytes than
/// requested.
#[derive(Debug)]
pub struct Stream<S>(S);

impl Stream<TcpStream> {
    /// Wraps a connection and turns Nagle's algorithm off: with it, a response would wait for the acknowledgement of the
    /// previous one. A failure to set the option is ignored: it costs only latency, while closing an accepted
    /// connection would lose a request that its client has sent already.
    pub fn new(stream: TcpStream) -> Self {
        let _ = (0..MAX_OPTION_ATTEMPTS).find(|_| stream.set_nodelay(true).is_ok());
        Stream(stream)
    }

    /// The peer's address.
    ///
    /// # Errors
    ///
    /// The peer has reset the connection.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.0.peer_addr()
    }

    /// How long ago the kernel received the bytes that can be read now, by the machine's wall clock; of several, the latest ones.
    /// None if there are no bytes, the kernel does not tell, or the clock has been set back since. The connection must have been
    /// accepted by a [`crate::Listener`].
    pub fn received_ago(&self) -> Option<Duration> {
        received_ago(&self.0)
    }

    /// Waits until the peer has closed its side, even while bytes from it are unread: a read returns the end of the stream only
    /// after them.
    pub async fn peer_closed(&self) {
        // No interest covers only the end of the stream. `PRIORITY` also covers urgent data, but tokio does not register for
        // that, so it is never reported. An error counts as closed too.
        let _ = self.0.ready(Interest::PRIORITY).await;
    }
}

impl Stream<UnixStream> {
    /// Wraps a Unix socket connection.
    pub fn unix(stream: UnixStream) -> Self {
        Stream(stream)
    }

    /// The underlying socket, for peer credentials and for passing descriptors.
    pub fn socket(&self) -> &UnixStream {
        &self.0
    }
}

impl<S: Socket> Stream<S> {
    /// Reads available bytes, once there are any, and returns their number; 0 at the end of the stream.
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_io(cx, |cx| self.0.poll_read_ready(cx), || self.0.try_read(buffer))
    }

    /// Reads bytes that have arrived, also such of which the runtime does not know yet; none if there are none. The runtime still
    /// tells of them later.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub fn read_arrived(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        let socket = SockRef::from(&self.0);
        match retry_interrupted(|| (&*socket).read(buffer)) {
            Ok(count) => Ok(Some(count)),
            Err(error) if is_transient(&error) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes as many bytes as fit, once any fit, and returns their number.
    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_io(cx, |cx| self.0.poll_write_ready(cx), || self.0.try_write(bytes))
    }

    /// Writes as many bytes of these buffers as fit, once any fit, and returns their number.
    pub fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_io(cx, |cx| self.0.poll_write_ready(cx), || self.0.try_write_vectored(buffers))
    }

    /// The number of received bytes that have not been read, as the kernel knows it; 0 if it does not tell.
    pub fn unread_bytes(&self) -> usize {
        rustix::io::ioctl_fionread(&self.0).map_or(0, |count| count as usize)
    }

    /// Writes all of these bytes.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn write_all_bytes(&self, bytes: &[u8]) -> io::Result<()> {
        let mut written = 0;
        while written < bytes.len() {
            written += poll_fn(|cx| self.poll_write(cx, &bytes[written..])).await?;
        }
        Ok(())
    }

    /// Closes the sending side. Succeeds also if the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// The system call fails.
    pub fn shutdown_write(&self) -> io::Result<()> {
        match retry_interrupted(|| SockRef::from(&self.0).shutdown(Shutdown::Write)) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Err(error),
            Ok(()) | Err(_) => Ok(()),
        }
    }
}

/// Makes a call once the socket is ready, and repeats it while it is interrupted or the readiness was out of date. After
/// [`MAX_INTERRUPTIONS`] in a row, the task yields to others.
fn poll_io<T>(
    cx: &mut Context<'_>,
    mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_INTERRUPTIONS {
        ready!(poll_ready(cx))?;
        match call() {
            Err(error) if is_transient(&error) => {}
            result => return Poll::Ready(result),
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// Whether a failed call is repeated once the socket is ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock)
}

impl<S: Socket + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(Stream::poll_read(&self, cx, buffer.initialize_unfilled()))?;
        buffer.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: Socket + Unpin> hyper::rt::Read for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let size = chunk.len().min(buffer.remaining());
        let count = ready!(Stream::poll_read(&self, cx, &mut chunk[..size]))?;
        buffer.put_slice(&chunk[..count]);
        Poll::Ready(Ok(()))
    }
}

/// The write traits of tokio and hyper have the same methods.
macro_rules! impl_write {
    ($trait:path) => {
        impl<S: Socket + Unpin> $trait for Stream<S> {
            fn poll_write(
                self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                bytes: &[u8],
            ) -> Poll<io::Result<usize>> {
                Stream::poll_write(&self, cx, bytes)
            }

            fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                Poll::Ready(Ok(()))
            }

            fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                Poll::Ready(self.shutdown_write())
            }

            fn is_write_vectored(&self) -> bool {
                true
            }

            fn poll_write_vectored(
                self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                buffers: &[IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                Stream::poll_write_vectored(&self, cx, buffers)
            }
        }
    };
}

impl_write!(AsyncWrite);
impl_write!(hyper::rt::Write);
