//! The boundary between bellcroft and the system's sockets, with every documented result of a call handled.
//!
//! A system call may be interrupted, transfer fewer bytes than requested, or fail temporarily. Failures that concern the
//! caller are in the types ([`ConnectError`], [`AcceptError`]); all others are handled here. `docs/design/system-calls.md`
//! has a table of calls and errnos. Callers set timeouts; the crate has no state other than its sockets.
//!
//! Tokio's own reads and writes are not used: after a read that does not fill its buffer, they assume that the socket has no
//! more bytes and wait for the next edge of epoll, which never arrives if the kernel had more bytes; and they return EINTR
//! as an error. Here only `EWOULDBLOCK` clears the readiness of a socket (`try_read`, `try_write` and
//! `try_write_vectored`).

mod connect;
mod datagram;
mod errors;
mod listener;
mod receive_time;
mod stream;

pub use connect::{connect, ConnectError};
pub use datagram::DatagramSocket;
pub use errors::{open_with_retry, retry_interrupted};
pub use listener::{listen, listen_unix, AcceptError, Listener, ACCEPT_BACKLOG};
pub use stream::Stream;
