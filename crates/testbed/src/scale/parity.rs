//! Whether hollow agents and real ones that sit side by side send the same.

use super::{AgentFigures, RunResult};
use std::fmt;

/// How far the means of hollow and real agents may be apart, as a part of the real ones'.
pub const TOLERANCE: f64 = 0.2;
/// Or so many events an agent in the window: what is seldom falls into it once more or once less.
const TOLERANCE_EVENTS: f64 = 1.0;

/// A figure that differs by more than is tolerated.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Which.
    pub figure: &'static str,
    /// A hollow agent's, per second.
    pub hollow: f64,
    /// A real agent's.
    pub real: f64,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Difference { figure, hollow, real } = self;
        write!(f, "{figure}: {hollow:.3} a second of a hollow agent, {real:.3} of a real one")
    }
}

/// A figure's name, the figure, and how much of it one event is.
type Figure = (&'static str, fn(&AgentFigures) -> f64, f64);

/// What is compared: all that an agent sends. Bytes of a datagram are at most 256.
const COMPARED: [Figure; 4] = [
    ("datagrams sent", |figures| figures.datagrams_out, 1.0),
    ("bytes of datagrams sent", |figures| figures.bytes_out, 256.0),
    ("calls to discovery", |figures| figures.discovery_calls, 1.0),
    ("telemetry posts", |figures| figures.telemetry_posts, 1.0),
];

/// The figures that differ by more than is tolerated, of a run without traffic.
pub fn compare(result: &RunResult) -> Vec<Difference> {
    let differences = COMPARED.iter().map(|(figure, of, event)| {
        let (hollow, real) = (of(&result.hollow_agent), of(&result.real_agent));
        let tolerated = (real * TOLERANCE).max(event * TOLERANCE_EVENTS / result.window_s);
        ((hollow - real).abs() > tolerated).then_some(Difference { figure, hollow, real })
    });
    differences.into_iter().flatten().collect()
}
