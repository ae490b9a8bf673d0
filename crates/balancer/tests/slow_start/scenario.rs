//! Random scenarios of fleets with starting servers.

use bellcroft_balancer::*;

/// Which servers and processes start in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartKind {
    /// One server restarts.
    OneServer,
    /// A third of the servers restart at once.
    ThirdOfServers,
    /// Four servers of five restart at once.
    MostServers,
    /// A third more servers join at once.
    ServersJoin,
    /// Servers restart one after another.
    RollingRestart,
    /// All servers and all processes restart at once.
    EveryServerAndProcess,
    /// One server and all processes restart at once.
    OneServerEveryProcess,
}

impl StartKind {
    pub const ALL: [StartKind; 7] = [
        StartKind::OneServer,
        StartKind::ThirdOfServers,
        StartKind::MostServers,
        StartKind::ServersJoin,
        StartKind::RollingRestart,
        StartKind::EveryServerAndProcess,
        StartKind::OneServerEveryProcess,
    ];
}

/// A fleet, its settings and its starting servers.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub settings: Settings,
    pub servers: u32,
    pub cores: u32,
    pub mean_work: Micros,
    /// Maximum queue length per core; a server rejects further requests.
    pub queue_per_core: u32,
    /// Load outside the burst, as a fraction of the capacity of the warm fleet.
    pub utilisation: f64,
    /// Factor on the load while servers start.
    pub burst: f64,
    /// Maximum difference between the times at which balancers receive an update of the list.
    pub list_spread: Micros,
    pub kind: StartKind,
    pub seed: u64,
}

impl Scenario {
    /// Draws a random scenario within the ranges of the platform's settings.
    pub fn random(processes: u32, kind: StartKind, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed((seed * 7 + kind as u64) << 10 | u64::from(processes));
        let range = |rng: &mut fastrand::Rng, low: f64, high: f64| low + (high - low) * rng.f64();
        let mean_work = Micros::from_ms(range(&mut rng, 20.0, 100.0));
        let objective = mean_work * range(&mut rng, 4.0, 8.0);
        let class = |retry_safety| Class {
            retry_safety,
            latency_objective: objective,
            deadline: objective * 2.0,
            ..Class::default()
        };
        let reports = rng.bool();
        let settings = Settings {
            balancers: processes,
            classes: vec![class(RetrySafety::Idempotent), class(RetrySafety::AtMostOnce)],
            initial_capacity: range(&mut rng, 0.12, 0.5),
            slow_start_window: Micros::from_ms(range(&mut rng, 3500.0, 12_000.0)),
            overload_factor: [2.5, 3.0, 4.0][rng.usize(0..3)],
            overload_tolerance: Micros::from_ms([1500.0, 2000.0, 3000.0][rng.usize(0..3)]),
            max_attempts: 6,
            hedging: true,
            report_source: if reports { LoadReportSource::Responses } else { LoadReportSource::None },
            report_fields: if reports { vec![LoadReportField::Queue] } else { Vec::new() },
            event_interval: Micros::from_ms(5.0),
            ..Settings::default()
        };
        Scenario {
            settings,
            servers: if rng.u32(0..3) == 0 { processes + rng.u32(1..10) } else { rng.u32(8..17) },
            cores: rng.u32(1..5),
            mean_work,
            queue_per_core: rng.u32(4..24),
            utilisation: range(&mut rng, 0.25, 1.0),
            burst: 1.5,
            list_spread: if rng.bool() {
                Micros::ZERO
            } else {
                Micros::from_ms(range(&mut rng, 50.0, 2000.0))
            },
            kind,
            seed,
        }
    }

    /// Like [`Scenario::random`], with small servers that start at a seventh of their capacity or less and fail soon: each
    /// withstands about ten requests in a window, fewer than there are processes.
    pub fn random_small_servers(processes: u32, kind: StartKind, seed: u64) -> Self {
        let drawn = Scenario::random(processes, kind, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mean_work = Micros::from_ms(60.0 + 40.0 * rng.f64());
        let objective = mean_work * (4.0 + 4.0 * rng.f64());
        let classes = drawn.settings.classes.iter().map(|c| Class {
            latency_objective: objective,
            deadline: objective * 2.0,
            ..c.clone()
        });
        let settings = Settings {
            classes: classes.collect(),
            initial_capacity: 0.1 + 0.05 * rng.f64(),
            overload_factor: 2.5,
            overload_tolerance: Micros::from_ms(1500.0),
            ..drawn.settings
        };
        let servers = if rng.bool() { processes + rng.u32(1..10) } else { drawn.servers };
        Scenario { settings, servers, cores: 1, mean_work, ..drawn }
    }

    /// The capacity of a warm server per second, in mean requests.
    pub(super) fn capacity_per_s(&self) -> f64 {
        f64::from(self.cores) * 1e3 / self.mean_work.ms()
    }

    /// The fraction of its full capacity that a server of this age has reached.
    pub(super) fn guaranteed_capacity(&self, age: Micros) -> f64 {
        let grown = (age.ms() / self.settings.slow_start_window.ms()).min(1.0);
        self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * grown
    }

    /// The work per window, in mean requests, above which a server of this age fails.
    pub(super) fn bound(&self, age: Micros) -> f64 {
        let window = self.settings.overload_tolerance.ms() / 1e3;
        let allowed =
            self.settings.overload_factor * self.guaranteed_capacity(age) * self.capacity_per_s() * window;
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}
