//! How late a process wakes: a machine that cannot keep up shows in its sleepers first.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// From one look to the next.
const LAG_INTERVAL: Duration = Duration::from_millis(20);

/// Sleeps again and again and keeps by how much it overslept.
pub struct LagWatch {
    oversleeps: Arc<Mutex<Vec<Duration>>>,
    task: JoinHandle<()>,
}

/// The oversleeps of a while.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    /// Their 99th percentile.
    pub p99: Duration,
    /// The longest.
    pub max: Duration,
}

impl LagWatch {
    /// Begins.
    pub fn start() -> Self {
        let oversleeps = Arc::<Mutex<Vec<Duration>>>::default();
        let kept = oversleeps.clone();
        let task = tokio::spawn(async move {
            loop {
                let begin = Instant::now();
                tokio::time::sleep(LAG_INTERVAL).await;
                let over = begin.elapsed().saturating_sub(LAG_INTERVAL);
                kept.lock().unwrap_or_else(PoisonError::into_inner).push(over);
            }
        });
        LagWatch { oversleeps, task }
    }

    /// What has been kept since the last call.
    pub fn take(&self) -> Lag {
        let mut kept = std::mem::take(&mut *self.oversleeps.lock().unwrap_or_else(PoisonError::into_inner));
        kept.sort_unstable();
        let p99 = kept.get(kept.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default();
        Lag { p99, max: kept.last().copied().unwrap_or_default() }
    }
}

impl Drop for LagWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}
