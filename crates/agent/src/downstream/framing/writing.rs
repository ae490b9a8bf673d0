//! Writes the responses to a client's connection, and ends it.

use super::{RequestFraming, Stage, MAX_DISCARDED_BYTES};
use hyper::rt::Write;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

impl RequestFraming {
    /// Records whether the kernel accepted any bytes of a write.
    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.client.on_write(result.is_ready());
        result
    }

    /// Reads and discards the rest of a request that already has its response, until the client closes its side. If the socket
    /// were closed with unread bytes, the kernel would reset the connection, and the client could lose the response.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client.start_lingering();
        while self.discarded < MAX_DISCARDED_BYTES {
            self.buffered.clear();
            match ready!(self.poll_fill(cx)) {
                Ok(true) => {}
                // The client has sent all bytes, or has disconnected.
                Ok(false) | Err(_) => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for RequestFraming {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.record_write(self.io.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes only when it has written all its bytes, and none are buffered here.
        self.client.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client.lingering_since().is_none() {
            self.io.shutdown_write()?;
        }
        match self.stage {
            _ if self.discarded > 0 => self.poll_linger(cx),
            Stage::Body(_) | Stage::Chunked(_) | Stage::Closed => self.poll_linger(cx),
            Stage::Head | Stage::Complete => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write(self.io.poll_write_vectored(cx, bufs))
    }
}
