//! Threads for work that waits for the disk, while the event loop serves clients.

use tokio::sync::oneshot;

/// Stack of such a thread in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Runs `work` on a thread of its own, which the process's exit does not wait for. The receiver fails if no thread can be started; the
/// work is dropped then.
pub fn spawn<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> oneshot::Receiver<T> {
    let (sender, receiver) = oneshot::channel();
    let run = move || {
        // A result that nobody waits for any more is dropped here.
        let _ = sender.send(work());
    };
    // An error is a closed channel.
    let _ = std::thread::Builder::new().name("disk".into()).stack_size(STACK_BYTES).spawn(run);
    receiver
}
