//! The meaning of an errno for the caller.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Interrupted calls in a row after which the task yields.
pub(crate) const MAX_INTERRUPTIONS: usize = 64;

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}

/// Whether this process, or the machine, has no descriptor or memory for another socket.
pub fn is_descriptor_shortage(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM])
}

/// Whether an accept failed for the connection that it would have returned, and not for the listening socket: the next one may
/// be accepted at once. Linux passes pending errors of the new connection on (accept(2), "Error handling").
pub(crate) fn concerns_one_connection(error: &io::Error) -> bool {
    let errnos = [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::PROTO,
        Errno::NETDOWN,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
        Errno::PERM,
        Errno::TIMEDOUT,
    ];
    is_one_of(error, &errnos)
}

/// Whether a connect failed for a shortage on this machine, which may be over a moment later.
pub(crate) fn is_local_shortage(error: &io::Error) -> bool {
    let errnos = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::ADDRINUSE, Errno::INTR];
    is_descriptor_shortage(error) || is_one_of(error, &errnos)
}

/// Whether a connect failed as this machine has no route or network, which may be back a moment later.
pub(crate) fn is_route_lost(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::NETUNREACH, Errno::NETDOWN])
}

/// Retries a call while it is interrupted.
///
/// # Errors
///
/// The call's, except EINTR.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            ended => return ended,
        }
    }
}

/// Attempts to open a socket during a shortage of descriptors or memory, and the pause between two of them: one second.
const MAX_OPEN_ATTEMPTS: usize = 40;
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Opens a socket; a shortage of descriptors or memory is retried for one second.
///
/// # Errors
///
/// Another failure at once, or the last shortage.
pub async fn open_with_retry<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_OPEN_ATTEMPTS {
        match open() {
            Err(error) if is_descriptor_shortage(&error) || error.kind() == io::ErrorKind::Interrupted => {
                tokio::time::sleep(OPEN_RETRY_DELAY).await;
            }
            ended => return ended,
        }
    }
    open()
}
