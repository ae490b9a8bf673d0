//! Faults that overlap in time, drawn from a seed.

use super::SoakPlan;
use std::time::Duration;

/// A fault.
#[derive(Debug, Clone, Copy)]
pub enum SoakFault {
    /// SIGTERM, SIGKILL when the platform's time is over, and a new process at the same address.
    PlannedRestart(usize),
    /// SIGKILL, and a new process at the same address.
    Crash(usize),
    /// SIGSTOP and SIGCONT so long after: a process that is held up.
    Stall(usize, Duration),
    /// A new configuration and SIGHUP, so many times in a row.
    Reload(usize, usize),
    /// Discovery answers with errors for so long.
    DiscoveryDown(Duration),
    /// Discovery takes calls and says nothing for so long.
    DiscoverySilent(Duration),
    /// A server is slower by a factor for so long.
    ServerSlow(usize, f64, Duration),
    /// A server hangs for so long.
    ServerHangs(usize, Duration),
    /// A server resets each connection after it ran a request, for so long.
    ServerResets(usize, Duration),
    /// A server begins to drain.
    ServerDrains(usize),
    /// A new server in place of one, in slow start.
    ServerReplaced(usize),
}

impl SoakFault {
    /// Its kind.
    pub fn name(self) -> &'static str {
        match self {
            SoakFault::PlannedRestart(_) => "planned restart",
            SoakFault::Crash(_) => "crash",
            SoakFault::Stall(..) => "stall",
            SoakFault::Reload(..) => "reload",
            SoakFault::DiscoveryDown(_) => "discovery down",
            SoakFault::DiscoverySilent(_) => "discovery silent",
            SoakFault::ServerSlow(..) => "server slow",
            SoakFault::ServerHangs(..) => "server hangs",
            SoakFault::ServerResets(..) => "server resets",
            SoakFault::ServerDrains(_) => "server drains",
            SoakFault::ServerReplaced(_) => "server replaced",
        }
    }
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy)]
pub struct SoakEvent {
    /// From the begin of the soak.
    pub at: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// Mean time between the faults of one process.
const INSTANCE_FAULT_INTERVAL: Duration = Duration::from_secs(5);
/// Mean time between the faults of the servers, all together.
const SERVER_FAULT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Mean time between the faults of discovery.
const DISCOVERY_FAULT_INTERVAL: Duration = Duration::from_secs(6);
/// The longest hold-up that the users' page names.
const MAX_STALL_MS: u64 = 150;

/// Draws the faults of a soak, in the order of their times.
pub fn draw(plan: &SoakPlan) -> Vec<SoakEvent> {
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let mut events = Vec::new();
    for instance in 0..plan.instances {
        events.extend(times(&mut random, plan, INSTANCE_FAULT_INTERVAL, |random| match random.u32(..10) {
            0..4 => SoakFault::PlannedRestart(instance),
            4 => SoakFault::Crash(instance),
            5..9 => SoakFault::Stall(instance, Duration::from_millis(random.u64(30..=MAX_STALL_MS))),
            _ => SoakFault::Reload(instance, random.usize(1..=5)),
        }));
    }
    events.extend(times(&mut random, plan, SERVER_FAULT_INTERVAL, |random| {
        let server = random.usize(..plan.servers);
        let lasts = Duration::from_millis(random.u64(300..4_000));
        match random.u32(..10) {
            0..2 => SoakFault::ServerSlow(server, 2.0 + 18.0 * random.f64(), lasts),
            2..5 => SoakFault::ServerHangs(server, lasts),
            5..7 => SoakFault::ServerResets(server, lasts),
            7..9 => SoakFault::ServerReplaced(server),
            _ => SoakFault::ServerDrains(server),
        }
    }));
    events.extend(times(&mut random, plan, DISCOVERY_FAULT_INTERVAL, |random| {
        let lasts = Duration::from_millis(random.u64(500..8_000));
        if random.bool() {
            SoakFault::DiscoveryDown(lasts)
        } else {
            SoakFault::DiscoverySilent(lasts)
        }
    }));
    events.sort_by_key(|event| event.at);
    events
}

/// Faults of one kind of thing, at intervals as of chance arrivals.
fn times(
    random: &mut fastrand::Rng,
    plan: &SoakPlan,
    interval: Duration,
    mut fault: impl FnMut(&mut fastrand::Rng) -> SoakFault,
) -> Vec<SoakEvent> {
    let mut drawn = Vec::new();
    let mut at = interval.mul_f64(random.f64());
    while at < Duration::from_secs_f64(plan.seconds) {
        drawn.push(SoakEvent { at, fault: fault(random) });
        at += interval.mul_f64(-(1.0 - random.f64()).ln());
    }
    drawn
}
