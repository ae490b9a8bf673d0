//! When the client of a request whose body is being received may have written its last byte.
//!
//! A client's timeout counts from when it has written the last byte, which may lie unread in the buffers of both kernels. While
//! the body is read as fast as it comes, its end shows at once. While it is not read, since its server takes no more and no
//! memory is left to read ahead, the client may have finished at any time.

use bellcroft_balancer::{Micros, Time};

/// The shortest wait for a client that shows that the buffers of the kernels were empty. After a pause of the reader, the bytes
/// that the client's kernel holds come within one round trip.
const MIN_CLIENT_WAIT: Micros = Micros(20_000);

/// Follows the waits of the reader of one body.
#[derive(Debug, Clone, Copy, Default)]
pub struct UploadClock {
    /// The time since which bytes of the client may have been left unread; none while the body is read as fast as it comes.
    unread_since: Option<Time>,
    /// The time since which the reader has waited for the client; none while it does not.
    waiting_since: Option<Time>,
}

impl UploadClock {
    /// The earliest time at which the client may have written the last byte, if that has been read now or has not been read.
    pub fn may_have_ended_at(&self, now: Time) -> Time {
        self.unread_since.unwrap_or(now)
    }

    /// Records that the reader cannot read on.
    pub fn on_held_up(&mut self, now: Time) {
        self.waiting_since = None;
        self.unread_since.get_or_insert(now);
    }

    /// Records that the reader waits for the client's next bytes.
    pub fn on_wait(&mut self, now: Time) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that bytes have arrived.
    pub fn on_bytes(&mut self, now: Time) {
        if self.waiting_since.take().is_some_and(|since| now.since(since) >= MIN_CLIENT_WAIT) {
            self.unread_since = None;
        }
    }
}
