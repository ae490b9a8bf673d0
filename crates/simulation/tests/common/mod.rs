//! The deployment that the tests of beliefs and of repeats play: a scheduling desk's three classes in two zones.

use bellcroft_simulation::*;

/// So many servers of four cores; each instance's clients ask at random, and nobody comes back.
pub fn desk(instances: usize, servers: usize, rate: f64, assign: f64) -> Scenario {
    let class = |name: &str, share, effect, window, aim, deadline, mean| ClassSpec {
        name: name.into(),
        share,
        effect,
        window,
        aim,
        deadline,
        service: Dist::LogNormal { mean, sigma: 0.8 },
    };
    Scenario {
        seconds: 10.0,
        warm_up: 0.0,
        instances,
        zones: 2,
        classes: vec![
            class("read", 0.8 - assign, Effect::Idempotent, 0.0, 0.25, 1.5, 0.02),
            class("log", 0.2, Effect::Deduplicated, 7.5, 0.4, 2.5, 0.04),
            class("assign", assign, Effect::DeduplicatedByZone, 1.0, 0.4, 2.5, 0.04),
        ],
        servers: vec![Servers {
            count: servers,
            zone: None,
            cores: 4,
            queue: Some(100),
            speed: 1.0,
            starts: None,
        }],
        network: Network { within: 0.0005, between: 0.002, jitter: 0.3, ..Network::default() },
        arrivals: Arrivals::Poisson { rate },
        habits: Habits::default(),
        tenants: 0,
        zipf: 0.0,
        attempts: 3,
        reports: Reports::InFlight,
        report_faults: ReportFaults::default(),
        peers: false,
        digest: false,
        list_delay: 0.2,
        troubles: Vec::new(),
    }
}

pub fn at(at: f64, what: What) -> Trouble {
    Trouble { at, what }
}

/// These servers work four times slower for a while.
pub fn slow(servers: std::ops::Range<usize>, from: f64, to: f64) -> Vec<Trouble> {
    let servers: Vec<usize> = servers.collect();
    vec![
        at(from, What::Slow { servers: servers.clone(), factor: 4.0 }),
        at(to, What::Slow { servers, factor: 1.0 }),
    ]
}
