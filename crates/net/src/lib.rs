//! The one seam between bellcroft and the system's sockets.
//!
//! A system call may be interrupted, transfer fewer bytes than asked, or fail for a moment. What the caller must know of that
//! is in the types ([`ConnectError`], [`AcceptError`]); the rest is handled here once. `docs/design/system-calls.md` has a
//! table of calls and errnos. Nothing here has a time-out; the crate owns no state but its sockets.
//!
//! Tokio's own reads and writes are not used: after a read that fills less than its buffer they take the socket for drained
//! and wait for the next edge, which never arrives if the kernel had more bytes; and they return EINTR as an error. Here only
//! `EWOULDBLOCK` clears a readiness (`try_read` and its like).

mod connect;
mod datagram;
mod errors;
mod listener;
mod stream;

pub use connect::{connect, ConnectError};
pub use datagram::DatagramSocket;
pub use errors::{open_with_retry, retry_interrupted};
pub use listener::{AcceptError, Listener};
pub use stream::Stream;
