//! What each descriptor of the process is, as far as the intercepted calls have told.

use crate::spec::Of;
use std::sync::atomic::{AtomicU32, Ordering};

/// Descriptors beyond this are of no known kind.
const MAX_DESCRIPTOR: usize = 8192;

const UNKNOWN: u32 = 0;
const ACCEPTED: u32 = 1;
const FILE: u32 = 2;
/// A connection that was made; its port is in the upper half.
const CONNECTED: u32 = 3;
const PORT_SHIFT: u32 = 16;

static KINDS: [AtomicU32; MAX_DESCRIPTOR] = [const { AtomicU32::new(UNKNOWN) }; MAX_DESCRIPTOR];

fn set(fd: i32, kind: u32) {
    if let Some(slot) = usize::try_from(fd).ok().and_then(|fd| KINDS.get(fd)) {
        slot.store(kind, Ordering::Relaxed);
    }
}

fn get(fd: i32) -> u32 {
    let slot = usize::try_from(fd).ok().and_then(|fd| KINDS.get(fd));
    slot.map_or(UNKNOWN, |slot| slot.load(Ordering::Relaxed))
}

/// A descriptor is new, or its kind is not known any more.
pub fn reset(fd: i32) {
    set(fd, UNKNOWN);
}

/// A connection was accepted.
pub fn accepted(fd: i32) {
    set(fd, ACCEPTED);
}

/// A connection to this port was made.
pub fn connected(fd: i32, port: u16) {
    set(fd, CONNECTED | u32::from(port) << PORT_SHIFT);
}

/// A file was opened.
pub fn opened(fd: i32) {
    set(fd, FILE);
}

/// Whether a rule for these descriptors is for this one.
pub fn matches(of: Of, fd: i32) -> bool {
    let kind = get(fd);
    let low = kind & ((1 << PORT_SHIFT) - 1);
    match of {
        Of::Any => true,
        Of::Connection => low == ACCEPTED || low == CONNECTED,
        Of::Accepted => low == ACCEPTED,
        Of::Connected => low == CONNECTED,
        Of::Port(port) => low == CONNECTED && kind >> PORT_SHIFT == u32::from(port),
        Of::File => low == FILE,
    }
}

/// Whether a descriptor is a file that this library has seen opened.
pub fn is_file(fd: i32) -> bool {
    get(fd) == FILE
}
