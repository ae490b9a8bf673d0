//! The one seam between bellcroft and the system's sockets.
//!
//! A call of the system may be interrupted, do less than was asked, or fail for a moment; what of that the caller must know
//! is told by types, and the rest is handled here once. `docs/design/system-calls.md` has a table of each call, each errno
//! and what becomes of it.
//!
//! Why not tokio's own reads and writes: a read that fills less than its buffer has them take the socket for emptied and
//! wait for the next edge, which never comes if the kernel had more to give; an interrupted call is passed on as an error.
//! Here only the kernel's own "would block" ends a readiness (`try_read` and its like).

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
