//! What the machine has, and what a scenario would need of it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A run takes at most this part of the descriptors and of the memory: others use the machine too.
const USABLE_PART: f64 = 0.5;
/// Processes that a run may start.
const MAX_PROCESSES: usize = 300;

/// The machine that a run was made on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Machine {
    /// Its processor.
    pub processor: String,
    /// Cores that this process may use.
    pub cores: usize,
    /// Memory in MiB.
    pub memory_mib: f64,
    /// Memory that was free for use when it was asked, in MiB.
    pub available_mib: f64,
    /// Descriptors that a process may hold.
    pub descriptors: usize,
}

/// What a scenario would take.
#[derive(Debug, Clone, Copy)]
pub struct Needs {
    /// Memory of all processes, in MiB.
    pub memory_mib: f64,
    /// Descriptors of the process that holds the most.
    pub descriptors: usize,
    /// Processes.
    pub processes: usize,
}

/// The machine has too little of something.
#[derive(Debug, Clone, PartialEq)]
pub struct Shortage {
    /// Of what.
    pub of: &'static str,
    /// How much the scenario would need.
    pub needed: f64,
    /// How much a run may take.
    pub usable: f64,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Shortage { of, needed, usable } = self;
        write!(f, "it would need {needed:.0} {of}, and a run may take {usable:.0} on this machine")
    }
}

impl Machine {
    /// This one.
    pub fn this() -> Self {
        let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let mib = |name: &str| {
            let line = memory.lines().find_map(|line| line.strip_prefix(name));
            let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
            kib.unwrap_or(0.0) / 1024.0
        };
        let processors = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let processor = processors.lines().find_map(|line| line.strip_prefix("model name")?.split_once(": "));
        let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let descriptors = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
        let descriptors = descriptors.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Machine {
            processor: processor.map_or("unknown", |(_, name)| name).to_owned(),
            cores: std::thread::available_parallelism().map_or(1, std::num::NonZero::get),
            memory_mib: mib("MemTotal:"),
            available_mib: mib("MemAvailable:"),
            descriptors: descriptors.unwrap_or(1024),
        }
    }

    /// Whether a run may take so much.
    ///
    /// # Errors
    ///
    /// The first thing that there is too little of.
    pub fn check(&self, needs: &Needs) -> Result<(), Shortage> {
        let memory = (self.memory_mib * USABLE_PART).min(self.available_mib);
        let descriptors = self.descriptors as f64 * USABLE_PART;
        let checks = [
            ("MiB of memory", needs.memory_mib, memory),
            ("descriptors in one process", needs.descriptors as f64, descriptors),
            ("processes", needs.processes as f64, MAX_PROCESSES as f64),
        ];
        for (of, needed, usable) in checks {
            if needed > usable {
                return Err(Shortage { of, needed, usable });
            }
        }
        Ok(())
    }
}
