//! When an instance's clients ask, and for what. Open loop: they ask whatever the answers do.

use crate::random::{stream, Actor};
use crate::scenario::{Arrivals, Scenario};
use bellcroft_balancer::{Micros, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// The clients of one instance.
pub(crate) struct Clients {
    random: ChaCha8Rng,
    /// Running sums of the classes' and the tenants' shares.
    classes: Vec<f64>,
    tenants: Vec<f64>,
    part: f64,
    /// The next place of a recorded trace that is this instance's.
    recorded: usize,
}

fn sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    shares
        .map(|share| {
            sum += share;
            sum
        })
        .collect()
}

/// A tenant's share of the requests before any flood.
pub(crate) fn zipf(scenario: &Scenario, tenant: usize) -> f64 {
    (tenant as f64 + 1.0).powf(-scenario.zipf)
}

impl Clients {
    pub fn new(scenario: &Scenario, seed: u64, instance: usize) -> Self {
        Clients {
            random: stream(seed, Actor::Clients(instance)),
            classes: sums(scenario.classes.iter().map(|class| class.share)),
            tenants: sums((0..scenario.tenants).map(|tenant| zipf(scenario, tenant))),
            part: 1.0 / scenario.instances as f64,
            recorded: instance,
        }
    }

    /// A tenant asks this many times as much as before, and the rate grows with it.
    pub fn flood(&mut self, scenario: &Scenario, factors: &[f64]) {
        let before = sums((0..scenario.tenants).map(|tenant| zipf(scenario, tenant)));
        self.tenants = sums((0..scenario.tenants).map(|tenant| zipf(scenario, tenant) * factors[tenant]));
        let whole = |sums: &[f64]| sums.last().copied().unwrap_or(1.0);
        self.part = whole(&self.tenants) / whole(&before) / scenario.instances as f64;
    }

    /// When the next request comes after `now`; none after the scenario's end. By thinning: draws at the highest rate,
    /// each kept with the share that the rate then has of it.
    pub fn next(&mut self, scenario: &Scenario, now: Time) -> Option<Time> {
        if let Arrivals::Trace { times } = &scenario.arrivals {
            let at = *times.get(self.recorded)?;
            self.recorded += scenario.instances;
            return (at < scenario.seconds).then(|| now.max(Time::default() + Micros::from_ms(at * 1e3)));
        }
        let mut at = now.ms() / 1e3;
        loop {
            let (_, most) = scenario.arrivals.rate(at);
            if most * self.part <= 0.0 {
                return None;
            }
            let unit: f64 = Exp1.sample(&mut self.random);
            at += unit / (most * self.part);
            if at >= scenario.seconds {
                return None;
            }
            let (rate, _) = scenario.arrivals.rate(at);
            if self.random.random::<f64>() * most <= rate {
                return Some(Time::default() + Micros::from_ms(at * 1e3));
            }
        }
    }

    /// What it asks for: class and tenant.
    pub fn what(&mut self) -> (usize, Option<usize>) {
        let mut draw = |sums: &[f64]| {
            let place = self.random.random::<f64>() * sums.last().copied().unwrap_or(0.0);
            sums.partition_point(|sum| *sum <= place).min(sums.len().saturating_sub(1))
        };
        let class = draw(&self.classes);
        (class, (!self.tenants.is_empty()).then(|| draw(&self.tenants)))
    }
}
