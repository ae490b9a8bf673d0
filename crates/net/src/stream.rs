//! A connection that is read and written.

use crate::errors::{retry_interrupted, MAX_INTERRUPTIONS};
use hyper::rt::ReadBufCursor;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// Read at a time for a caller whose buffer can't be written to directly.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Tries to set an option. A system may refuse one on a connection that was just taken, and allow it at once after.
const MAX_OPTION_TRIES: usize = 3;

/// What a [`Stream`] needs of the runtime's socket: readiness, and calls that end it only when they would block.
pub trait Socket: AsFd {
    /// Waits for something to read.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits for room to write.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads what is there.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes what there is room for.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Writes what there is room for.
    fn try_write_vectored(&self, parts: &[IoSlice<'_>]) -> io::Result<usize>;
}

macro_rules! socket {
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

            fn try_write_vectored(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
                <$type>::try_write_vectored(self, parts)
            }
        }
    };
}

socket!(TcpStream);
socket!(UnixStream);

/// A connection. Reads and writes go on after an interrupted call, and after one that did less than was asked.
#[derive(Debug)]
pub struct Stream<S>(S);

impl Stream<TcpStream> {
    /// A connection, with the delay of small writes (Nagle's algorithm) turned off: with it answers over one connection would
    /// wait for each other's acknowledgement. It is an option for speed alone; where it can't be had the connection serves
    /// all the same, for one that has been taken and is closed over it would lose the request that is on its way.
    pub fn new(stream: TcpStream) -> Self {
        let _ = (0..MAX_OPTION_TRIES).find(|_| stream.set_nodelay(true).is_ok());
        Stream(stream)
    }

    /// Waits until the other side has closed, however much of what it had sent is unread: the end of a stream is read last.
    pub async fn peer_closed(&self) {
        // Of the end alone there is no interest; this one is of urgent data too, which is not asked of the kernel and so never
        // shows. An error is an end as well.
        let _ = self.0.ready(Interest::PRIORITY).await;
    }
}

impl Stream<UnixStream> {
    /// A connection.
    pub fn local(stream: UnixStream) -> Self {
        Stream(stream)
    }

    /// The runtime's socket, for what else there is to it than bytes.
    pub fn socket(&self) -> &UnixStream {
        &self.0
    }
}

impl<S: Socket> Stream<S> {
    /// Reads what is there, once there is something; 0 at the end.
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        for _ in 0..MAX_INTERRUPTIONS {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buffer) {
                Err(error) if goes_on(&error) => {}
                ended => return Poll::Ready(ended),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Writes what there is room for, once there is some.
    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_out(cx, |socket| socket.try_write(bytes))
    }

    /// Writes what there is room for, once there is some.
    pub fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_out(cx, |socket| socket.try_write_vectored(parts))
    }

    fn poll_out(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&S) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        for _ in 0..MAX_INTERRUPTIONS {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if goes_on(&error) => {}
                ended => return Poll::Ready(ended),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Writes what there is room for now.
    ///
    /// # Errors
    ///
    /// There is none, or the connection is broken.
    pub fn write_now(&self, bytes: &[u8]) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_write(bytes))
    }

    /// Ends the sending side. One that its other side has ended is no failure.
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

/// Whether a call is to be made again once the socket is ready: it was interrupted, or the readiness was out of date.
fn goes_on(error: &io::Error) -> bool {
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

impl<S: Socket + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
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
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Stream::poll_write_vectored(&self, cx, parts)
    }
}

impl<S: Socket + Unpin> hyper::rt::Read for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let room = chunk.len().min(buffer.remaining());
        let count = ready!(Stream::poll_read(&self, cx, &mut chunk[..room]))?;
        buffer.put_slice(&chunk[..count]);
        Poll::Ready(Ok(()))
    }
}

impl<S: Socket + Unpin> hyper::rt::Write for Stream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
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
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Stream::poll_write_vectored(&self, cx, parts)
    }
}
