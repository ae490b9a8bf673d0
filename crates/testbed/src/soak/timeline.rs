//! Faults that overlap in time, drawn from a seed.

use super::crowd::{Crowd, CrowdState, CROWD_CLIENTS, LARGE_CROWD_CLIENTS};
use super::SoakPlan;
use std::time::Duration;

/// A signal of a series.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    /// SIGTERM once more.
    Terminate,
    /// SIGHUP, with the configuration as it is.
    HangUp,
    /// SIGSTOP, and SIGCONT so long after.
    Stall(Duration),
}

/// When a signal of a planned restart is sent.
#[derive(Debug, Clone, Copy)]
pub enum SignalTime {
    /// So long after SIGTERM.
    AfterTerm(Duration),
    /// So long before the earliest SIGKILL.
    BeforeKill(Duration),
}

/// How a planned restart goes.
#[derive(Debug, Clone)]
pub struct RestartPlan {
    /// SIGHUP is sent so often just before SIGTERM.
    pub hang_ups_before: usize,
    /// The process is stopped while SIGTERM arrives, for so long.
    pub stall_at_term: Option<Duration>,
    /// Clients make new connections for so long after SIGTERM.
    pub connects_for: Duration,
    /// The signals that follow, in the order of their times.
    pub signals: Vec<(SignalTime, Signal)>,
    /// The next process gets SIGTERM so long after it listens; the one after that serves.
    pub next_terminated_after: Option<Duration>,
    /// Another planned restart follows as soon as the next process serves.
    pub again: bool,
}

/// A fault.
#[derive(Debug, Clone)]
pub enum SoakFault {
    /// SIGTERM, SIGKILL when the platform's time is over, and a new process at the same address.
    PlannedRestart(usize, RestartPlan),
    /// SIGKILL, and a new process at the same address.
    Crash(usize),
    /// SIGSTOP and SIGCONT so long after: a process that is held up.
    Stall(usize, Duration),
    /// A new configuration and SIGHUP, so many times in a row.
    Reload(usize, usize),
    /// Clients that stay in one state take up all connections that a process may hold.
    Crowd(usize, Crowd),
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
    pub fn name(&self) -> &'static str {
        match self {
            SoakFault::PlannedRestart(..) => "planned restart",
            SoakFault::Crash(_) => "crash",
            SoakFault::Stall(..) => "stall",
            SoakFault::Reload(..) => "reload",
            SoakFault::Crowd(..) => "crowd",
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
#[derive(Debug, Clone)]
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
/// One in so many seeds has crowds.
const CROWD_SHARE: u32 = 3;
/// Mean time between the crowds of such a seed.
const CROWD_INTERVAL: Duration = Duration::from_secs(3);
/// One in so many of its planned restarts has one too.
const CROWDED_RESTART_SHARE: u32 = 3;
/// One in so many crowds is a large one.
const LARGE_CROWD_SHARE: u32 = 4;
/// How long a crowd stays.
const CROWD_MS: std::ops::Range<u64> = 1_000..6_000;
/// The longest hold-up that the users' page names.
const MAX_STALL_MS: u64 = 150;

/// The largest burst of SIGHUP.
const MAX_RELOADS: usize = 10;
/// Clients make new connections for 0.2 to 0.4 s after SIGTERM.
const CONNECTS_AFTER_TERM_MS: std::ops::RangeInclusive<u64> = 200..=400;
/// The longest time between two signals of a series.
const MAX_SIGNAL_INTERVAL_MS: u64 = 700;
/// Where a shutdown stops accepting connections, fails what is pending, and exits: a stall begins somewhat before.
const SHUTDOWN_STEPS: [SignalTime; 3] = [
    SignalTime::AfterTerm(Duration::from_millis(600)),
    SignalTime::BeforeKill(Duration::from_millis(400)),
    SignalTime::BeforeKill(Duration::from_millis(300)),
];

fn restart(random: &mut fastrand::Rng) -> RestartPlan {
    let stall = |random: &mut fastrand::Rng| Duration::from_millis(random.u64(30..=MAX_STALL_MS));
    let mut plan = RestartPlan {
        hang_ups_before: 0,
        stall_at_term: None,
        connects_for: Duration::from_millis(random.u64(CONNECTS_AFTER_TERM_MS)),
        signals: Vec::new(),
        next_terminated_after: (random.u32(..6) == 0).then(|| Duration::from_millis(random.u64(..100))),
        again: random.u32(..6) == 0,
    };
    match random.u32(..6) {
        0 => plan.signals = series(random, 4, |_| Signal::Terminate),
        1 => {
            plan.hang_ups_before = random.usize(..=MAX_RELOADS);
            plan.signals = series(random, 6, |random| match random.bool() {
                true => Signal::HangUp,
                false => Signal::Terminate,
            });
        }
        2 => {
            let burst = SignalTime::AfterTerm(Duration::from_millis(random.u64(..1_000)));
            plan.signals = vec![(burst, Signal::HangUp); MAX_RELOADS];
        }
        3 => {
            plan.stall_at_term = random.bool().then(|| stall(random));
            let step = SHUTDOWN_STEPS[random.usize(..SHUTDOWN_STEPS.len())];
            plan.signals = vec![(step, Signal::Stall(stall(random)))];
        }
        _ => {}
    }
    plan
}

/// Up to so many signals, each some time after the one before.
fn series(
    random: &mut fastrand::Rng,
    most: usize,
    mut signal: impl FnMut(&mut fastrand::Rng) -> Signal,
) -> Vec<(SignalTime, Signal)> {
    let mut after = Duration::ZERO;
    let count = random.usize(1..=most);
    let next = |_| {
        after += Duration::from_millis(random.u64(..=MAX_SIGNAL_INTERVAL_MS));
        (SignalTime::AfterTerm(after), signal(random))
    };
    (0..count).map(next).collect()
}

/// Draws the faults of a soak, in the order of their times.
pub fn draw(plan: &SoakPlan) -> Vec<SoakEvent> {
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let mut events = Vec::new();
    for instance in 0..plan.instances {
        events.extend(times(&mut random, plan, INSTANCE_FAULT_INTERVAL, |random| match random.u32(..10) {
            0..4 => SoakFault::PlannedRestart(instance, restart(random)),
            4 => SoakFault::Crash(instance),
            5..9 => SoakFault::Stall(instance, Duration::from_millis(random.u64(30..=MAX_STALL_MS))),
            _ => SoakFault::Reload(instance, random.usize(1..=MAX_RELOADS)),
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
    if random.u32(..CROWD_SHARE) == 0 {
        let crowds = crowds(&mut random, plan, &events);
        events.extend(crowds);
    }
    events.sort_by_key(|event| event.at);
    events
}

/// Crowds at processes that serve, and at some that are told to end: these last into the start of the next process.
fn crowds(random: &mut fastrand::Rng, plan: &SoakPlan, events: &[SoakEvent]) -> Vec<SoakEvent> {
    // States and sizes come from numbers of their own: the other faults of a seed do not depend on them.
    let mut states = fastrand::Rng::with_seed(!plan.seed);
    let mut sizes = fastrand::Rng::with_seed(plan.seed.rotate_left(u64::BITS / 2));
    let mut crowd = |lasts: Duration| Crowd {
        state: CrowdState::ALL[states.usize(..CrowdState::ALL.len())],
        clients: if sizes.u32(..LARGE_CROWD_SHARE) == 0 { LARGE_CROWD_CLIENTS } else { CROWD_CLIENTS },
        lasts,
    };
    let mut crowds = times(random, plan, CROWD_INTERVAL, |random| {
        let lasts = Duration::from_millis(random.u64(CROWD_MS));
        SoakFault::Crowd(random.usize(..plan.instances), crowd(lasts))
    });
    for event in events {
        let SoakFault::PlannedRestart(instance, _) = event.fault else { continue };
        if random.u32(..CROWDED_RESTART_SHARE) == 0 {
            let begins_before = Duration::from_millis(random.u64(..=MAX_SIGNAL_INTERVAL_MS));
            let at = event.at.saturating_sub(begins_before);
            let lasts = Duration::from_millis(random.u64(CROWD_MS));
            crowds.push(SoakEvent { at, fault: SoakFault::Crowd(instance, crowd(lasts)) });
        }
    }
    crowds
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
