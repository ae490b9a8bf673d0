//! The times at which the kernel received the bytes of a connection, also while the connection had not been accepted.

use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags, SockaddrStorage};
use nix::sys::time::TimeSpec;
use std::io::IoSliceMut;
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The number of bytes that are looked at: as many as one read takes.
const PEEK_BYTES: usize = 16 << 10;

/// Has the kernel record when it receives the bytes of connections that are accepted from this socket. A kernel that does not
/// do so is no error: [`received_ago`] returns none then.
pub(crate) fn record_receive_times(listener: &impl AsFd) {
    let _ = setsockopt(listener, sockopt::ReceiveTimestampns, &true);
}

/// How long ago the kernel received the bytes that can be read now, by the machine's wall clock. None if there are no bytes, or
/// the kernel does not tell, or the clock has been set back since.
pub(crate) fn received_ago(socket: &impl AsFd) -> Option<Duration> {
    let mut bytes = [0; PEEK_BYTES];
    let mut buffers = [IoSliceMut::new(&mut bytes)];
    let mut control = nix::cmsg_space!(TimeSpec);
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    let descriptor = socket.as_fd().as_raw_fd();
    let message = recvmsg::<SockaddrStorage>(descriptor, &mut buffers, Some(&mut control), flags).ok()?;
    let received_at = message.cmsgs().ok()?.find_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(at) => Some(UNIX_EPOCH + Duration::from(at)),
        _ => None,
    })?;
    SystemTime::now().duration_since(received_at).ok()
}
