//! The memory that clients and servers can make a process hold: long heads, bodies, and bytes that are read ahead.
//!
//! All of these share one budget, sized from the memory limit of the process. A limit for each connection would not do: the
//! limit times the number of connections is more than the process has. Each connection may hold [`FREE_BYTES`] without asking,
//! so that small requests are served however little is left.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each connection may hold outside of the budget.
pub const FREE_BYTES: usize = 4 << 10;
/// Memory of a process without connections.
const PROCESS_BYTES: usize = 8 << 20;
/// Memory of an open connection with a small request: its task, the buffers of the HTTP library and [`FREE_BYTES`].
const CONNECTION_BYTES: usize = 28 << 10;
/// The numerator and the denominator of the budget's share of what remains. The rest is for the allocator, whose freed blocks
/// do not fit each later request.
const BUDGET_SHARE: (usize, usize) = (1, 2);
/// Divisor of the process's memory that gives the least budget, where its connections alone would use up all of it.
const MIN_BUDGET_DIVISOR: usize = 16;

/// What memory is reserved for, which decides what is refused first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// Bytes of a request or response that is being received or has been: the whole budget.
    Message,
    /// Bytes that are read before they are needed: half of the budget.
    ReadAhead,
}

/// A budget of bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    /// The number of processes that share the capacity.
    processes: AtomicUsize,
    in_use: AtomicUsize,
}

impl MemoryBudget {
    /// The budget of a process with this memory, in bytes, and at most this many open connections.
    pub fn for_process(memory_bytes: usize, connections: usize) -> Self {
        let remaining = memory_bytes.saturating_sub(PROCESS_BYTES + connections * CONNECTION_BYTES);
        let (numerator, denominator) = BUDGET_SHARE;
        let capacity = (remaining / denominator * numerator).max(memory_bytes / MIN_BUDGET_DIVISOR);
        MemoryBudget { capacity, processes: AtomicUsize::new(1), in_use: AtomicUsize::new(0) }
    }

    /// The size of the budget, or this process's share of it.
    pub fn capacity(&self) -> usize {
        self.capacity / self.processes.load(Ordering::Relaxed).max(1)
    }

    /// Shares the budget among so many processes, each of which has one like this. What is reserved stays so.
    pub fn share_among(&self, processes: usize) {
        self.processes.store(processes, Ordering::Relaxed);
    }

    /// The number of reserved bytes.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Relaxed)
    }

    /// Reserves this many bytes; false if they exceed what is left for this use.
    #[must_use = "bytes that were not reserved must not be held"]
    pub fn try_reserve(&self, bytes: usize, memory_use: MemoryUse) -> bool {
        let limit = match memory_use {
            MemoryUse::Message => self.capacity(),
            MemoryUse::ReadAhead => self.capacity() / 2,
        };
        let reserve = |in_use: usize| in_use.checked_add(bytes).filter(|total| *total <= limit);
        bytes == 0 || self.in_use.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve).is_ok()
    }

    /// Returns reserved bytes.
    pub fn release(&self, bytes: usize) {
        self.in_use.fetch_sub(bytes, Ordering::Relaxed);
    }
}
