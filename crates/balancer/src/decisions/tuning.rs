//! Parameters that several decisions share; those of a single one are defined beside it. Latencies are fractions of the
//! latency objective.

use crate::api::*;

/// Remembered servers per selection.
pub(super) const REMEMBERED: usize = 1;
/// Random draws per selection; the published algorithm requires at least as many as [`REMEMBERED`].
pub(super) const DRAWS: usize = 3;
/// Gain of a new response in a server's latency: about the last eight responses count.
pub(super) const LATENCY_GAIN: f64 = 0.12;
/// The upper bound of a latency sample: a single expensive request must not weigh as much as ten late ones.
pub(super) const MAX_LATENCY: f64 = 1.0;
/// A connection must be established within this fraction of the time left until the objective, or the attempt is made
/// elsewhere.
pub(super) const CONNECT_TIMEOUT_FRACTION: f64 = 0.25;
/// The minimum of the connect timeout.
pub(super) const MIN_CONNECT_TIMEOUT: Micros = Micros(50_000);
/// A connection failure after this time was no refusal by the server but a lack of any response.
pub(super) const UNRESPONSIVE_AFTER: Micros = Micros(20_000);
/// This many balancers may have one request each in flight to a server in slow start without overloading it.
pub(super) const FEW_BALANCERS: u32 = 5;
/// The first backoff between two trials of an ejected server, and between two attempts while all zones are unreachable.
pub(super) const MIN_TRIAL_BACKOFF: Micros = Micros(250_000);
/// The maximum backoff between two trials of an ejected server.
pub(super) const MAX_TRIAL_BACKOFF: Micros = Micros(4_000_000);
/// The fraction of requests that is always admitted; without them the end of congestion would not be noticed.
pub(super) const MIN_ADMITTED: f64 = 0.02;
/// The initial concurrency limit of a server, in own attempts in flight.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
/// The maximum concurrency limit of a server.
pub(super) const MAX_LIMIT: f64 = 1000.0;
/// The tick interval while requests are queued.
pub(super) const BUSY_TICK_INTERVAL: Micros = Micros(10_000);
/// The tick interval while no request is queued.
pub(super) const IDLE_TICK_INTERVAL: Micros = Micros(50_000);
/// The fraction of its share that a deprioritized server receives.
pub(super) const DEPRIORITIZED_SHARE: f64 = 0.05;
/// How long a server stays deprioritized after own evidence, before jitter.
pub(super) const OWN_EVIDENCE_TTL: Micros = Micros(8_000_000);
/// How long a server stays deprioritized after a peer's hint, or a zone unreachable.
pub(super) const HINT_TTL: Micros = Micros(5_000_000);
/// The maximum number of peers that receive a hint about one server.
pub(super) const MAX_HINTS: u32 = 64;
/// The bytes that each request adds to the hint budget.
pub(super) const HINT_BUDGET_PER_REQUEST: f64 = 25.0;
/// The maximum of the hint budget in bytes, also its initial value.
pub(super) const HINT_BUDGET_MAX: f64 = 512.0;
/// The maximum number of samples that the latency of a machine type is averaged over.
pub(super) const MAX_MACHINE_TYPE_SAMPLES: f64 = 12.0;
/// How many own samples of a server the latency of its machine type counts for.
pub(super) const MACHINE_TYPE_WEIGHT: f64 = 1.5;
/// The maximum weight of a server's own samples.
pub(super) const MAX_OWN_WEIGHT: f64 = 8.0;
/// The periodic tick.
pub(super) const TICK_TIMER: TimerId = TimerId(0);
/// The timeout of health checks before a selection.
pub(super) const PROBE_TIMER: TimerId = TimerId(1);
/// A hedged request is due.
pub(super) const HEDGE_TIMER: TimerId = TimerId(2);
