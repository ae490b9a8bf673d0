//! A queue of received bytes that their server has not taken yet, within the memory budget.

use crate::memory::{HeldBytes, Memory};
use bellcroft_agent_core::memory_budget::MemoryUse;
use bytes::Bytes;

/// The maximum number of queued bytes of one body.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// A queue of bytes, of which only the latest ones, as they were received, are outside of the budget.
pub struct ReadAhead {
    queued: HeldBytes,
    /// The bytes that were received last and are not queued.
    unqueued: Bytes,
}

impl ReadAhead {
    /// A queue of these bytes.
    pub fn new(memory: &Memory, bytes: Bytes) -> Self {
        ReadAhead { queued: HeldBytes::new(memory, MemoryUse::ReadAhead), unqueued: bytes }
    }

    /// Whether all bytes have been taken.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.unqueued.is_empty()
    }

    /// Makes room for the next received bytes; false if the queue is full or the budget exhausted.
    pub fn make_room(&mut self) -> bool {
        let has_room = self.queued.take_from(&mut self.unqueued, MAX_QUEUED_BYTES);
        if has_room {
            // An empty slice would still hold the buffer that it is a part of.
            self.unqueued = Bytes::new();
        }
        has_room
    }

    /// Adds received bytes; there must be room.
    pub fn push(&mut self, bytes: Bytes) {
        self.unqueued = bytes;
    }

    /// Takes the next bytes.
    pub fn pop(&mut self) -> Option<Bytes> {
        self.queued
            .pop()
            .or_else(|| Some(std::mem::take(&mut self.unqueued)).filter(|bytes| !bytes.is_empty()))
    }
}

#[cfg(test)]
#[path = "../tests/unit/read_ahead.rs"]
mod tests;
