//! Small writes leave at once.

use tokio::net::TcpStream;

/// Turns off the delay of small writes (Nagle's algorithm): without it answers over one connection would wait for each
/// other's acknowledgement. It is an option for speed alone; where it can't be had the connection serves all the same,
/// for a connection that has been taken and is closed over it would lose the request that is on its way.
pub(crate) fn prompt(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
}
