//! The bytes of a client's connection that have been read and not been passed on, with their reservation in the memory budget.

use crate::memory::{Memory, Reservation};
use bellcroft_agent_core::memory_budget::{MemoryUse, FREE_BYTES};
use bytes::{Buf, BytesMut};
use std::ops::Deref;

/// The step by which the buffer grows.
const GROWTH_BYTES: usize = 4 << 10;
/// The length up to which a head is part of what each connection may hold.
const SHORT_HEAD_BYTES: usize = 2 << 10;
/// The memory of a head until its response is written, as a multiple of its length: the received bytes, the parsed lines and those
/// that are forwarded.
const HEAD_COPIES: usize = 3;

/// The buffer of a connection. It also holds the reservation for the head of the request that has no response yet.
pub(super) struct ReceiveBuffer {
    bytes: BytesMut,
    reservation: Reservation,
    /// The memory of the present request's head.
    head_memory: usize,
}

impl ReceiveBuffer {
    /// An empty buffer.
    pub(super) fn new(memory: &Memory) -> Self {
        ReceiveBuffer { bytes: BytesMut::new(), reservation: memory.reservation(), head_memory: 0 }
    }

    /// Reserves memory for this many more bytes; false if there is none.
    pub(super) fn reserve(&mut self, more: usize, memory_use: MemoryUse) -> bool {
        self.resize_reservation(self.bytes.len() + more, memory_use)
    }

    /// The number of bytes that may be added without a reservation.
    pub(super) fn free_bytes(&self) -> usize {
        FREE_BYTES.saturating_sub(self.bytes.len())
    }

    /// Reserves memory for a complete head; false if there is none. A short one is part of what each connection may hold.
    pub(super) fn reserve_head(&mut self, head: usize) -> bool {
        self.head_memory = if head > SHORT_HEAD_BYTES { HEAD_COPIES * head } else { 0 };
        let is_reserved = self.reserve(0, MemoryUse::Message);
        if !is_reserved {
            self.head_memory = 0;
        }
        is_reserved
    }

    /// Releases the memory of the present request's head.
    pub(super) fn release_head(&mut self) {
        self.head_memory = 0;
        self.release_unused();
    }

    /// Adds bytes. The buffer grows by no more than it has to.
    pub(super) fn extend(&mut self, bytes: &[u8]) {
        let len = self.bytes.len() + bytes.len();
        if len > self.bytes.capacity() {
            let mut grown = BytesMut::with_capacity(len.next_multiple_of(GROWTH_BYTES));
            grown.extend_from_slice(&self.bytes);
            self.bytes = grown;
        }
        self.bytes.extend_from_slice(bytes);
        self.release_unused();
    }

    /// Removes bytes from the beginning.
    pub(super) fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        self.release_unused();
    }

    /// Removes all bytes.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.release_unused();
    }

    /// Gives back what is reserved for more than is held, and the memory of an empty buffer.
    fn release_unused(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
        // A smaller reservation is always granted.
        let _ = self.reserve(0, MemoryUse::Message);
    }

    fn resize_reservation(&mut self, buffered: usize, memory_use: MemoryUse) -> bool {
        self.reservation.try_resize((buffered + self.head_memory).saturating_sub(FREE_BYTES), memory_use)
    }
}

impl Deref for ReceiveBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
