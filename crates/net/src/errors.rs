//! What an errno means for who made the call.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Interrupted calls in a row, after which others get their turn before the next try.
pub(crate) const MAX_INTERRUPTIONS: usize = 64;

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}

/// Whether this process, or the machine, has no descriptor or memory for another socket.
pub fn is_descriptor_shortage(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM])
}

/// Whether an accept failed for the connection that it would have taken, and not for the listening socket: the next one may
/// be taken at once. Linux passes errors of the new connection on (accept(2), "Error handling").
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

/// Whether a connect failed for want of something on this machine, which may be there a moment later.
pub(crate) fn is_local_shortage(error: &io::Error) -> bool {
    let errnos = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::ADDRINUSE, Errno::INTR];
    is_descriptor_shortage(error) || is_one_of(error, &errnos)
}

/// Whether a connect failed for the way to the other machine, as this one sees it. It may be there again a moment later.
pub(crate) fn is_route_lost(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::NETUNREACH, Errno::NETDOWN])
}

/// Makes a call again for as long as it is interrupted.
///
/// # Errors
///
/// The call's own, but for EINTR.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            ended => return ended,
        }
    }
}

/// Tries to open a socket that fails for want of something on this machine, and the pause between two of them.
const MAX_OPEN_TRIES: usize = 40;
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Opens a socket, and again after a pause for as long as a descriptor or memory for it is wanting, a second at most.
///
/// # Errors
///
/// Another failure at once, or the last shortage.
pub async fn open_with_retry<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_OPEN_TRIES {
        match open() {
            Err(error) if is_descriptor_shortage(&error) || error.kind() == io::ErrorKind::Interrupted => {
                tokio::time::sleep(OPEN_RETRY_DELAY).await;
            }
            ended => return ended,
        }
    }
    open()
}
