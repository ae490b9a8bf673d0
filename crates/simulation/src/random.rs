//! Random numbers: one named generator, one stream an actor.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use serde::{Deserialize, Serialize};

/// Who draws. Each actor's stream is its own, whatever the others do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Actor {
    /// When the clients of an instance ask, and for what.
    Clients(usize),
    /// A server's service times.
    Server(usize),
    /// An instance's network.
    Network(usize),
    /// An instance's reference policy.
    Policy(usize),
    /// What is wrong with a server's reports.
    Reports(usize),
    /// What the clients of an instance do when they are turned away, or tire.
    Habits(usize),
    /// When and to whom an instance hands over what it knows.
    Peers(usize),
}

/// An actor's generator: ChaCha with 8 rounds, the run's seed, and the actor as the stream.
pub fn stream(seed: u64, actor: Actor) -> ChaCha8Rng {
    let stream = |kind: u64, number: usize| number as u64 * 4 + kind;
    let stream = match actor {
        Actor::Clients(n) => stream(0, n),
        Actor::Server(n) => stream(1, n),
        Actor::Network(n) => stream(2, n),
        Actor::Policy(n) => stream(3, n),
        // From the other end: a new kind of actor moves no older one's stream.
        Actor::Reports(n) => u64::MAX - n as u64,
        Actor::Habits(n) => u64::MAX / 2 - n as u64,
        Actor::Peers(n) => u64::MAX / 4 * 3 - n as u64,
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

/// A distribution of times, in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum Dist {
    /// Always the same.
    Constant {
        /// The time.
        mean: f64,
    },
    /// Exponential.
    Exponential {
        /// Its mean.
        mean: f64,
    },
    /// Log-normal.
    LogNormal {
        /// Its mean.
        mean: f64,
        /// The standard deviation of its logarithm.
        sigma: f64,
    },
    /// Pareto; at a shape of 2 or less its variance is infinite.
    Pareto {
        /// Its mean.
        mean: f64,
        /// Its shape, above 1.
        shape: f64,
    },
    /// One of these, each as likely.
    Empirical {
        /// The times.
        values: Vec<f64>,
    },
}

impl Dist {
    /// A draw, in seconds.
    pub fn sample(&self, random: &mut ChaCha8Rng) -> f64 {
        match self {
            Dist::Constant { mean } => *mean,
            Dist::Exponential { mean } => {
                let unit: f64 = Exp1.sample(random);
                unit * mean
            }
            Dist::LogNormal { mean, sigma } => {
                // The mean of a log-normal is exp(mu + sigma^2 / 2).
                let mu = mean.ln() - sigma * sigma / 2.0;
                LogNormal::new(mu, *sigma).map_or(*mean, |dist| dist.sample(random))
            }
            Dist::Pareto { mean, shape } => {
                // The mean of a Pareto is shape * scale / (shape - 1).
                let scale = mean * (shape - 1.0) / shape;
                scale / (1.0 - random.random::<f64>()).powf(1.0 / shape)
            }
            Dist::Empirical { values } => values[random.random_range(0..values.len())],
        }
    }

    /// What is wrong with it.
    pub(crate) fn check(&self) -> Result<(), String> {
        let good = |value: f64| value.is_finite() && value > 0.0;
        match self {
            Dist::Constant { mean } | Dist::Exponential { mean } if good(*mean) => Ok(()),
            Dist::LogNormal { mean, sigma } if good(*mean) && sigma.is_finite() && *sigma >= 0.0 => Ok(()),
            Dist::Pareto { mean, shape } if good(*mean) && *shape > 1.0 && shape.is_finite() => Ok(()),
            Dist::Empirical { values } if !values.is_empty() && values.iter().all(|v| good(*v)) => Ok(()),
            other => Err(format!("{other:?} has no finite mean above zero")),
        }
    }

    /// Its mean, in seconds.
    pub fn mean(&self) -> f64 {
        match self {
            Dist::Constant { mean }
            | Dist::Exponential { mean }
            | Dist::LogNormal { mean, .. }
            | Dist::Pareto { mean, .. } => *mean,
            Dist::Empirical { values } => values.iter().sum::<f64>() / values.len() as f64,
        }
    }
}
