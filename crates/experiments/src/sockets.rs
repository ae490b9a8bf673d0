//! Runs a scenario on loopback sockets, with the testbed's servers and discovery, the real program and the load
//! generator, to validate the model.
//!
//! Scenarios that loopback cannot reproduce are rejected with a reason: partitioned zones, servers that start later,
//! network latency.

use crate::load::{self, Load};
use bellcroft_simulation::{Arrivals, Dist, Effect, Network, Outcome, Reports, Scenario, What};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use testbed::{Agent, Plan, Work, World};
use tokio::time::{sleep_until, Instant};

/// Limits of a scenario. Larger ones would measure contention for the machine's cores.
const MAX_INSTANCES: usize = 50;
const MAX_SERVERS: usize = 100;
const MAX_DURATION_S: f64 = 600.0;
/// Maximum number of client connections to each instance, high enough that an open-loop request never waits for one.
const CONNECTIONS_PER_INSTANCE: usize = 400;

/// Figures that the model and sockets have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// Number of requests.
    pub requests: u64,
    /// Share of requests served within their latency objective.
    pub within_objective: f64,
    /// Share of requests that were rejected, failed, or got no response.
    pub unserved: f64,
    /// Further attempts per request.
    pub further: f64,
    /// Median latency of served requests in milliseconds.
    pub p50: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99: f64,
    /// Requests to the busiest server, relative to the mean.
    pub busiest: f64,
    /// Requests to the idlest server, relative to the mean.
    pub idlest: f64,
}

impl Figures {
    /// Returns the figures with their names in tables.
    pub fn named(&self) -> [(&'static str, f64); 7] {
        [
            ("wanted share", self.within_objective),
            ("unserved share", self.unserved),
            ("further attempts", self.further),
            ("p50 ms", self.p50),
            ("p99 ms", self.p99),
            ("busiest server", self.busiest),
            ("idlest server", self.idlest),
        ]
    }

    /// Returns the figures of a run of the model.
    pub fn of_model(outcome: &Outcome) -> Self {
        let all =
            |of: fn(&bellcroft_simulation::ClassOutcome) -> u64| outcome.classes.iter().map(of).sum::<u64>();
        let requests = all(|c| c.asked).max(1);
        let (busiest, idlest) = server_extremes(&outcome.by_server);
        let weighted_p50: f64 = outcome.classes.iter().map(|c| c.p50 as f64 * c.served as f64).sum();
        Figures {
            requests,
            within_objective: outcome.wanted_share,
            unserved: all(|c| c.refused + c.failed + c.left) as f64 / requests as f64,
            further: outcome.further as f64 / (outcome.attempts - outcome.further).max(1) as f64,
            p50: weighted_p50 / all(|c| c.served).max(1) as f64 / 1e3,
            p99: outcome.p99 as f64 / 1e3,
            busiest,
            idlest,
        }
    }
}

/// Returns the requests to the busiest and the idlest server, relative to the mean.
fn server_extremes(by_server: &[u64]) -> (f64, f64) {
    let mean = by_server.iter().sum::<u64>() as f64 / by_server.len().max(1) as f64;
    let relative = |n: Option<&u64>| n.map_or(0.0, |n| *n as f64 / mean.max(1e-9));
    (relative(by_server.iter().max()), relative(by_server.iter().min()))
}

/// Returns the scenario without network latency and list delay, which loopback does not have.
pub fn without_network_delays(scenario: &Scenario) -> Scenario {
    let network = Network { within: 0.0, between: 0.0, jitter: 0.0, ..scenario.network.clone() };
    Scenario { network, list_delay: 0.0, ..scenario.clone() }
}

/// Checks that loopback can reproduce the scenario, and returns its request rate.
///
/// # Errors
///
/// Returns the first reason why it cannot.
pub fn check(scenario: &Scenario) -> Result<f64, String> {
    let Arrivals::Poisson { rate } = scenario.arrivals else {
        return Err("sockets support only kind = \"poisson\"".into());
    };
    let (instances, servers) = (scenario.instances, scenario.server_count());
    if instances > MAX_INSTANCES || servers > MAX_SERVERS || servers == 0 {
        return Err(format!(
            "{instances} instances and {servers} servers; sockets support at most {MAX_INSTANCES} and 1 to {MAX_SERVERS}"
        ));
    }
    if scenario.seconds > MAX_DURATION_S {
        return Err(format!("{} s; sockets support at most {MAX_DURATION_S}", scenario.seconds));
    }
    if scenario.reports != Reports::None || scenario.habits.retries > 0 || scenario.habits.leave > 0.0 {
        return Err("sockets support neither reports nor habits".into());
    }
    let first = &scenario.servers[0];
    let same_kind = |group: &bellcroft_simulation::Servers| {
        (group.cores, group.queue, group.speed, group.zone, group.starts)
            == (first.cores, first.queue, first.speed, first.zone, first.starts)
    };
    if !scenario.servers.iter().all(same_kind) || first.starts.is_some() || first.zone.is_some() {
        return Err("sockets support only servers of one kind, assigned to the zones in turn and running from the start".into());
    }
    if scenario.zones > 2 || scenario.tenants > 0 {
        return Err("sockets support at most two zones and no tenants".into());
    }
    for trouble in &scenario.troubles {
        match trouble.what {
            What::Slow { .. } | What::Mute { .. } | What::Drain { .. } | What::Crash { .. } => {}
            _ => {
                return Err(format!(
                    "sockets do not support {:?}, only slow, mute, drain and crash",
                    trouble.what
                ));
            }
        }
    }
    Ok(rate)
}

/// Returns a server's random service times by class, drawn from the server's own random stream.
fn server_work(scenario: &Scenario, seed: u64, server: usize) -> Work {
    let speed = scenario.servers[0].speed;
    let classes: Vec<(String, Dist)> =
        scenario.classes.iter().map(|class| (class.name.clone(), class.service.clone())).collect();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(server as u64);
    let random = Mutex::new(random);
    Work::new(move |class| {
        let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
        let dist = classes.iter().find(|(name, _)| name == class).map(|(_, dist)| dist);
        Duration::from_secs_f64(dist.map_or(0.0, |dist| dist.sample(&mut random)) / speed)
    })
}

/// Returns an instance's platform configuration, equivalent to the configuration of the model's instances.
fn instance_config(scenario: &Scenario, world: &World, number: usize, seed: u64) -> Value {
    let mut config = world.config(&format!("experiments-{number}"));
    let class = |class: &bellcroft_simulation::ClassSpec| {
        let (effect, group) = match class.effect {
            Effect::Idempotent => ("idempotent", "all"),
            Effect::Deduplicated => ("deduplicated", "all"),
            Effect::DeduplicatedByZone => ("deduplicated", "zone"),
            Effect::AtMostOnce => ("at_most_once", "all"),
        };
        json!({"name": class.name, "aimMs": class.aim * 1e3, "deadlineMs": class.deadline * 1e3, "points": 1,
               "effect": effect, "group": group, "dedupWindowMs": class.window * 1e3})
    };
    let settings = &mut config["settings"];
    settings["balancers"] = json!(scenario.instances);
    settings["zone"] = json!(number % scenario.zones);
    settings["classes"] = scenario.classes.iter().map(class).collect();
    settings["parties"] = json!([]);
    settings["feedback"] = json!({"source": "silent", "fields": []});
    settings["limits"]["maxAttempts"] = json!(scenario.attempts);
    settings["limits"]["connectTimeoutMs"] = json!(scenario.network.connect_timeout * 1e3);
    settings["limits"]["keepaliveMs"] = json!(scenario.network.keepalive * 1e3);
    settings["rules"] = json!({"askWithinMs": 10000, "stopSendingWithinMs": 1000, "coldShare": 0.1,
                               "warmAfterMs": 20000, "overloadFactor": 2, "fallMs": 1000});
    config["seed"] = json!(format!("{:x}", seed.wrapping_mul(1000) + number as u64));
    config["limits"]["sockets"] = json!(2048);
    config
}

/// Maximum share of requests sent late. With more, the figures would measure this machine and not the program.
pub const MAX_LATE_SHARE: f64 = 0.01;

/// Runs a scenario once. Calls `on_progress` each second with the number of requests sent. A share of `max_late_share` of
/// the requests may be sent late; use [`MAX_LATE_SHARE`] for valid figures.
///
/// # Errors
///
/// Returns an error if loopback cannot reproduce the scenario, or if too many requests were sent late.
pub async fn play(
    scenario: &Scenario,
    seed: u64,
    max_late_share: f64,
    on_progress: impl Fn(u64) + Clone,
) -> Result<Figures, String> {
    let rate = check(scenario)?;
    let first = &scenario.servers[0];
    let plan =
        Plan { cores: first.cores, queue: first.queue.unwrap_or(usize::MAX / 2), seed, ..Plan::default() };
    let work = |server: usize| server_work(scenario, seed, server);
    let mut world = World::start_with(scenario.server_count(), |server| Plan {
        work: Some(work(server)),
        ..plan.clone()
    })
    .await;
    let mut agents = Vec::new();
    for number in 0..scenario.instances {
        let agent = Agent::with(instance_config(scenario, &world, number, seed), |_| {}).await;
        agent.ready().await;
        agents.push(agent);
    }
    let load = |number: usize| Load {
        target: agents[number].address,
        rate: rate / scenario.instances as f64,
        duration: Duration::from_secs_f64(scenario.seconds),
        warm_up: Duration::from_secs_f64(scenario.warm_up),
        max_requests: u64::MAX,
        connections: CONNECTIONS_PER_INSTANCE,
        seed: seed.wrapping_mul(100) + number as u64,
        tenant: "acme".into(),
        classes: scenario.classes.clone(),
        closed_loop: false,
    };
    let begin = Instant::now();
    let loads: Vec<_> = (0..scenario.instances)
        .map(|number| {
            let on_progress = on_progress.clone();
            load::run(load(number), move |sent, _| {
                if number == 0 {
                    on_progress(sent * scenario.instances as u64);
                }
            })
        })
        .collect();
    let mut troubles = scenario.troubles.clone();
    troubles.sort_by(|a, b| a.at.total_cmp(&b.at));
    let world_ref = &mut world;
    let apply_troubles = async move {
        for trouble in troubles {
            sleep_until(begin + Duration::from_secs_f64(trouble.at)).await;
            apply(world_ref, &trouble.what);
        }
    };
    let (results, ()) = tokio::join!(futures_util::future::join_all(loads), apply_troubles);
    let late: u64 = results.iter().map(|result| result.late).sum();
    let sent: u64 = results.iter().flat_map(|result| &result.classes).map(|class| class.sent).sum();
    if late as f64 > max_late_share * sent as f64 {
        return Err(format!(
            "{late} of {sent} requests were sent late: this machine is too busy for the rate"
        ));
    }
    let sum = |of: fn(&load::ClassResult) -> u64| {
        results.iter().flat_map(|result| &result.classes).map(of).sum::<u64>()
    };
    let mut latencies = hdrhistogram::Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let mut weighted_p50 = 0.0;
    for class in results.iter().flat_map(|result| &result.classes) {
        latencies.add(&class.served_latencies).map_err(|e| e.to_string())?;
        weighted_p50 += class.served_latencies.value_at_quantile(0.5) as f64 * class.served as f64;
    }
    let by_server: Vec<u64> = world.servers.iter().map(|server| server.seen().len() as u64).collect();
    let seen = world.seen();
    let distinct_requests = seen.iter().map(|(_, seen)| seen.id.as_str()).collect::<HashSet<_>>().len();
    let (busiest, idlest) = server_extremes(&by_server);
    Ok(Figures {
        requests: sent.max(1),
        within_objective: sum(|c| c.within_objective) as f64 / sent.max(1) as f64,
        unserved: sum(|c| c.rejected + c.failed + c.lost) as f64 / sent.max(1) as f64,
        further: (seen.len() - distinct_requests) as f64 / distinct_requests.max(1) as f64,
        p50: weighted_p50 / sum(|c| c.served).max(1) as f64 / 1e3,
        p99: latencies.value_at_quantile(0.99) as f64 / 1e3,
        busiest,
        idlest,
    })
}

fn apply(world: &mut World, what: &What) {
    match what {
        What::Slow { servers, factor } => servers.iter().for_each(|s| world.servers[*s].slow(*factor)),
        What::Mute { servers, on: true } => servers.iter().for_each(|s| world.servers[*s].mute()),
        What::Mute { servers, on: false } => servers.iter().for_each(|s| world.servers[*s].heal()),
        What::Drain { servers } => servers.iter().for_each(|s| world.drain(*s)),
        What::Crash { servers } => {
            for server in servers {
                world.servers[*server].kill();
                world.remove(*server);
            }
        }
        // `check` rejects the others.
        _ => {}
    }
}

/// Figures of the model and of sockets for one experiment, with intervals over its seeds.
pub struct Comparison {
    /// Name of the experiment.
    pub name: String,
    /// Name, model interval and sockets interval of each figure.
    pub figures: Vec<(&'static str, crate::Interval, crate::Interval)>,
}

/// Compares runs of the model with runs on sockets. Returns None if either has no runs.
pub fn compare_runs(name: &str, model: &[Figures], sockets: &[Figures]) -> Option<Comparison> {
    let names: Vec<&'static str> = model.first()?.named().iter().map(|(name, _)| *name).collect();
    let interval = |runs: &[Figures], index: usize| {
        crate::Interval::of(&runs.iter().map(|run| run.named()[index].1).collect::<Vec<_>>())
    };
    let row = |(index, name): (usize, &&'static str)| {
        Some((*name, interval(model, index)?, interval(sockets, index)?))
    };
    let figures = names.iter().enumerate().map(row).collect::<Option<Vec<_>>>()?;
    Some(Comparison { name: name.to_owned(), figures })
}
