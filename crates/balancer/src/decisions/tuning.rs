//! Constants that several decision modules share; the others are defined in the module that uses them. Latencies are
//! fractions of the latency objective.

use crate::api::*;

/// Number of servers that are remembered from one selection to the next.
pub(super) const REMEMBERED: usize = 1;
/// Number of random draws per selection; the published algorithm requires at least as many as [`REMEMBERED`].
pub(super) const DRAWS: usize = 3;
/// Gain of a new response in the exponential average of a server's latency: about the last eight responses count.
pub(super) const LATENCY_GAIN: f64 = 0.12;
/// Upper bound of a latency sample: a single expensive request must not weigh as much as ten late ones.
pub(super) const MAX_LATENCY: f64 = 1.0;
/// Connect timeout as a fraction of the time left until the objective; when it expires, the request can still be sent to
/// another server.
pub(super) const CONNECT_TIMEOUT_FRACTION: f64 = 0.25;
/// Minimum connect timeout.
pub(super) const MIN_CONNECT_TIMEOUT: Micros = Micros(50_000);
/// Time from which a failed connection counts as one without any response instead of one that the server refused.
pub(super) const UNRESPONSIVE_AFTER: Micros = Micros(20_000);
/// Number of balancers up to which each may have one request in flight to a server in slow start without overloading it.
pub(super) const FEW_BALANCERS: u32 = 5;
/// First backoff between two trials of an ejected server; also the interval of attempts while all zones are unreachable.
pub(super) const MIN_TRIAL_BACKOFF: Micros = Micros(250_000);
/// Maximum backoff between two trials of an ejected server.
pub(super) const MAX_TRIAL_BACKOFF: Micros = Micros(4_000_000);
/// Minimum fraction of requests that is admitted, so that the end of congestion is noticed.
pub(super) const MIN_ADMITTED: f64 = 0.02;
/// Initial concurrency limit of a server, in this balancer's attempts in flight.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
/// Maximum concurrency limit of a server, in this balancer's attempts in flight.
pub(super) const MAX_LIMIT: f64 = 1000.0;
/// Tick interval while requests are queued.
pub(super) const BUSY_TICK_INTERVAL: Micros = Micros(10_000);
/// Tick interval while no request is queued.
pub(super) const IDLE_TICK_INTERVAL: Micros = Micros(50_000);
/// Fraction of its normal share that a deprioritized server receives.
pub(super) const DEPRIORITIZED_SHARE: f64 = 0.05;
/// Time for which a server is deprioritized after this balancer's own evidence, before jitter.
pub(super) const OWN_EVIDENCE_TTL: Micros = Micros(8_000_000);
/// Time for which a peer's hint deprioritizes a server; also the time for which a zone is considered unreachable, before
/// jitter.
pub(super) const HINT_TTL: Micros = Micros(5_000_000);
/// Maximum number of hints that are sent when a server is deprioritized.
pub(super) const MAX_HINTS: u32 = 64;
/// Bytes that each request adds to the hint budget.
pub(super) const HINT_BUDGET_PER_REQUEST: f64 = 25.0;
/// Maximum and initial value of the hint budget, in bytes.
pub(super) const HINT_BUDGET_MAX: f64 = 512.0;
/// Maximum number of samples over which the latency of a machine type is averaged.
pub(super) const MAX_MACHINE_TYPE_SAMPLES: f64 = 12.0;
/// Weight of the machine type's latency in the expected latency of a server, in samples of the server.
pub(super) const MACHINE_TYPE_WEIGHT: f64 = 1.5;
/// Maximum weight of a server's own latency in its expected latency, in samples.
pub(super) const MAX_OWN_WEIGHT: f64 = 8.0;
/// Timer of the periodic tick.
pub(super) const TICK_TIMER: TimerId = TimerId(0);
/// Timer for the timeout of health checks before a selection.
pub(super) const HEALTH_CHECK_TIMER: TimerId = TimerId(1);
/// Timer for hedged requests that become due.
pub(super) const HEDGE_TIMER: TimerId = TimerId(2);
