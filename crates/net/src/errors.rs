//! Classification of errnos, and retries of calls that fail for a moment.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// The number of consecutive interrupted calls after which a task yields.
pub(crate) const MAX_INTERRUPTIONS: usize = 64;

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}

/// Whether this process, or the machine, has no descriptor or memory for another socket.
pub fn is_descriptor_shortage(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM])
}

/// Whether an accept failed because of the connection that it would have returned, and not because of the listening socket:
/// the next connection may be accepted at once. On Linux, accept returns pending errors of the new connection (accept(2),
/// "Error handling").
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

/// Whether a connect failed for a shortage on this machine, which may be temporary.
pub(crate) fn is_local_shortage(error: &io::Error) -> bool {
    let errnos = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::ADDRINUSE, Errno::INTR];
    is_descriptor_shortage(error) || is_one_of(error, &errnos)
}

/// Whether a connect failed because this machine has no route or no network, which may be temporary.
pub(crate) fn is_network_unreachable(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::NETUNREACH, Errno::NETDOWN])
}

/// Repeats a call until it is not interrupted.
///
/// # Errors
///
/// Any error of the call except EINTR.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Attempts to open a socket during a shortage of descriptors or memory. With the delay between two of them, a shortage is
/// retried for one second.
const MAX_OPEN_ATTEMPTS: usize = 40;
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Opens a socket; a shortage of descriptors or memory is retried for one second.
///
/// # Errors
///
/// The shortage lasts longer than that, or the call fails for another reason, which is not retried.
pub async fn open_with_retry<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_OPEN_ATTEMPTS {
        match open() {
            Err(error) if is_descriptor_shortage(&error) || error.kind() == io::ErrorKind::Interrupted => {
                tokio::time::sleep(OPEN_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
    open()
}
