//! Reservations in the memory budget, held by the bytes that they are for.

use bellcroft_agent_core::memory_budget::{MemoryBudget, MemoryUse, FREE_BYTES};
use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::Notify;

/// The capacity of a chunk of [`HeldBytes`].
const CHUNK_BYTES: usize = 8 << 10;

/// The memory that clients and servers can make this process hold. Clones share one budget.
#[derive(Debug, Clone)]
pub struct Memory(Arc<SharedMemory>);

#[derive(Debug)]
struct SharedMemory {
    budget: MemoryBudget,
    /// Notified when bytes are released.
    released: Notify,
}

impl Memory {
    /// The memory of a process with this limit, in bytes, and at most this many open connections.
    pub fn of_process(memory_bytes: usize, connections: usize) -> Self {
        let budget = MemoryBudget::for_process(memory_bytes, connections);
        Memory(Arc::new(SharedMemory { budget, released: Notify::new() }))
    }

    /// Shares the memory among so many processes of one agent.
    pub fn share_among(&self, processes: usize) {
        self.0.budget.share_among(processes);
    }

    /// A reservation of no bytes.
    pub fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    /// Waits until bytes are released.
    pub async fn released(&self) {
        self.0.released.notified().await;
    }
}

/// Bytes that are reserved in the budget until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Reservation {
    /// Changes the reservation to this many bytes for this use; false, and no change, if they exceed the budget.
    #[must_use = "bytes that were not reserved must not be held"]
    pub fn try_resize(&mut self, bytes: usize, memory_use: MemoryUse) -> bool {
        let shared = &self.memory.0;
        if bytes > self.bytes {
            if !shared.budget.try_reserve(bytes - self.bytes, memory_use) {
                return false;
            }
        } else if bytes < self.bytes {
            shared.budget.release(self.bytes - bytes);
            shared.released.notify_waiters();
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let _ = self.try_resize(0, MemoryUse::Message);
    }
}

/// A part of [`HeldBytes`], with its reservation. All but the first have the same size, so that memory that one frees fits the
/// next.
#[derive(Debug)]
struct Chunk {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A queue of bytes that hold their own reservations.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Memory,
    memory_use: MemoryUse,
    chunks: VecDeque<Chunk>,
    len: usize,
}

impl HeldBytes {
    /// No bytes; later ones are for this use.
    pub fn new(memory: &Memory, memory_use: MemoryUse) -> Self {
        HeldBytes { memory: memory.clone(), memory_use, chunks: VecDeque::new(), len: 0 }
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Moves bytes from the beginning of `more` to the end of the queue, until there are `max_len` or the budget has no room;
    /// returns whether all were moved. The first [`FREE_BYTES`] of a message need no room.
    pub fn take_from(&mut self, more: &mut Bytes, max_len: usize) -> bool {
        while !more.is_empty() && self.len < max_len {
            let has_spare =
                self.chunks.back().is_some_and(|chunk| chunk.bytes.len() < chunk.bytes.capacity());
            if !has_spare && !self.add_chunk() {
                return false;
            }
            let Some(chunk) = self.chunks.back_mut() else { return false };
            let spare = chunk.bytes.capacity() - chunk.bytes.len();
            let count = more.len().min(spare).min(max_len - self.len);
            chunk.bytes.extend_from_slice(&more[..count]);
            more.advance(count);
            self.len += count;
        }
        more.is_empty()
    }

    /// Takes the first chunk, whose reservation ends with the last copy of it.
    pub fn pop(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.len -= chunk.bytes.len();
        Some(Bytes::from_owner(chunk))
    }

    fn add_chunk(&mut self) -> bool {
        let mut reservation = self.memory.reservation();
        let is_free = self.chunks.is_empty() && self.memory_use == MemoryUse::Message;
        let capacity = if is_free { FREE_BYTES } else { CHUNK_BYTES };
        if !is_free && !reservation.try_resize(capacity, self.memory_use) {
            return false;
        }
        self.chunks.push_back(Chunk { bytes: Vec::with_capacity(capacity), _reservation: reservation });
        true
    }
}

/// A complete body, or the beginning of one. Its reservations end with the last copy of its bytes.
#[derive(Debug, Clone, Default)]
pub struct BodyBytes {
    chunks: VecDeque<Bytes>,
    len: usize,
}

impl BodyBytes {
    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Takes the next bytes.
    pub fn pop(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.len -= chunk.len();
        Some(chunk)
    }
}

impl From<Bytes> for BodyBytes {
    fn from(bytes: Bytes) -> Self {
        let len = bytes.len();
        BodyBytes { chunks: Some(bytes).into_iter().filter(|bytes| !bytes.is_empty()).collect(), len }
    }
}

impl From<HeldBytes> for BodyBytes {
    fn from(mut held: HeldBytes) -> Self {
        let len = held.len();
        BodyBytes { chunks: std::iter::from_fn(|| held.pop()).collect(), len }
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
