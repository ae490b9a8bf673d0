//! A connection that is read and written.

use crate::errors::{retry_interrupted, MAX_INTERRUPTIONS};
use hyper::rt::ReadBufCursor;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// Bytes read at a time for a caller whose buffer can't be written to directly.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Attempts to set an option: on a connection that was just accepted the first may fail.
const MAX_OPTION_TRIES: usize = 3;

/// What a [`Stream`] needs of the runtime's socket: readiness, and calls that end it only when they would block.
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

/// A connection. Reads and writes resume after an interrupted call, and after one that transferred fewer bytes than asked.
#[derive(Debug)]
pub struct Stream<S>(S);

impl Stream<TcpStream> {
    /// A connection with Nagle's algorithm turned off: with it, responses over one connection would wait for each other's
    /// acknowledgement. A failure to set the option is ignored, as it costs speed alone, and closing an accepted connection
    /// over it would lose the request that is on its way.
    pub fn new(stream: TcpStream) -> Self {
        let _ = (0..MAX_OPTION_TRIES).find(|_| stream.set_nodelay(true).is_ok());
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

    /// Waits until the peer has closed, however many of its bytes are unread: a read would return the end only after them.
    pub async fn peer_closed(&self) {
        // No interest is for the end of the stream alone. `PRIORITY` is for urgent data too, which is not requested from the
        // kernel and so never shows. An error ends the connection as well.
        let _ = self.0.ready(Interest::PRIORITY).await;
    }
}

impl Stream<UnixStream> {
    /// A connection.
    pub fn unix(stream: UnixStream) -> Self {
        Stream(stream)
    }

    /// The runtime's socket, for peer credentials and descriptors.
    pub fn socket(&self) -> &UnixStream {
        &self.0
    }
}

impl<S: Socket> Stream<S> {
    /// Reads available bytes as soon as there are any; 0 at the end of the stream.
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        poll_io(cx, |cx| self.0.poll_read_ready(cx), || self.0.try_read(buffer))
    }

    /// Writes as many bytes as fit as soon as any do.
    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_io(cx, |cx| self.0.poll_write_ready(cx), || self.0.try_write(bytes))
    }

    /// Writes as many bytes of these buffers as fit as soon as any do.
    pub fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_io(cx, |cx| self.0.poll_write_ready(cx), || self.0.try_write_vectored(buffers))
    }

    /// Writes as many bytes as fit now.
    ///
    /// # Errors
    ///
    /// None fits, or the connection is broken.
    pub fn write_now(&self, bytes: &[u8]) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_write(bytes))
    }

    /// Closes the sending side. It is no failure if the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// The socket fails.
    pub fn shutdown_write(&self) -> io::Result<()> {
        match retry_interrupted(|| SockRef::from(&self.0).shutdown(Shutdown::Write)) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Err(error),
            Ok(()) | Err(_) => Ok(()),
        }
    }
}

/// Makes a call once its readiness shows, and again while it is interrupted or the readiness proves out of date. After
/// [`MAX_INTERRUPTIONS`] in a row other tasks get their turn.
fn poll_io<T>(
    cx: &mut Context<'_>,
    mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<()>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_INTERRUPTIONS {
        ready!(poll_ready(cx))?;
        match call() {
            Err(error) if is_transient(&error) => {}
            ended => return Poll::Ready(ended),
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// Whether a call is to be made again once the socket is ready.
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
        let wanted = chunk.len().min(buffer.remaining());
        let count = ready!(Stream::poll_read(&self, cx, &mut chunk[..wanted]))?;
        buffer.put_slice(&chunk[..count]);
        Poll::Ready(Ok(()))
    }
}

/// The writing traits of tokio and hyper have the same methods.
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
