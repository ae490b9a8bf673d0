//! A scenario on real sockets: the testbed's servers and list, the real program, and the load generator, on loopback, so that
//! the model can be held against what sockets do.
//!
//! What loopback can't show is refused and named: zones that are cut off, servers that come back, a network with time.

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

/// More than this share one machine's cores to no purpose.
const INSTANCES_MOST: usize = 50;
const SERVERS_MOST: usize = 100;
const SECONDS_MOST: f64 = 600.0;
/// Connections of the load at each instance: an open loop must never want for one.
const CONNECTIONS: usize = 400;

/// The figures that both have.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// What was asked for.
    pub asked: u64,
    /// Served within the wanted time, of all that was asked.
    pub wanted: f64,
    /// Refused, failed or left without an answer, of all that was asked.
    pub unserved: f64,
    /// Attempts beyond each request's first, a request.
    pub further: f64,
    /// Half of those served had their answer within this, in milliseconds.
    pub p50: f64,
    /// 99 of 100.
    pub p99: f64,
    /// What the busiest server took, against the mean.
    pub busiest: f64,
    /// What the idlest took.
    pub idlest: f64,
}

impl Figures {
    /// Each with its name.
    pub fn named(&self) -> [(&'static str, f64); 7] {
        [
            ("wanted share", self.wanted),
            ("unserved share", self.unserved),
            ("further attempts", self.further),
            ("p50 ms", self.p50),
            ("p99 ms", self.p99),
            ("busiest server", self.busiest),
            ("idlest server", self.idlest),
        ]
    }

    /// Of a run of the model.
    pub fn of_model(outcome: &Outcome) -> Self {
        let all =
            |of: fn(&bellcroft_simulation::ClassOutcome) -> u64| outcome.classes.iter().map(of).sum::<u64>();
        let asked = all(|c| c.asked).max(1);
        let (busiest, idlest) = spread(&outcome.by_server);
        let weighed: f64 = outcome.classes.iter().map(|c| c.p50 as f64 * c.served as f64).sum();
        Figures {
            asked,
            wanted: outcome.wanted_share,
            unserved: all(|c| c.refused + c.failed + c.left) as f64 / asked as f64,
            further: outcome.further as f64 / (outcome.attempts - outcome.further).max(1) as f64,
            p50: weighed / all(|c| c.served).max(1) as f64 / 1e3,
            p99: outcome.p99 as f64 / 1e3,
            busiest,
            idlest,
        }
    }
}

/// The busiest and the idlest against the mean.
fn spread(by_server: &[u64]) -> (f64, f64) {
    let mean = by_server.iter().sum::<u64>() as f64 / by_server.len().max(1) as f64;
    let part = |n: Option<&u64>| n.map_or(0.0, |n| *n as f64 / mean.max(1e-9));
    (part(by_server.iter().max()), part(by_server.iter().min()))
}

/// The scenario as both play it: without the network's time, which loopback has not.
pub fn as_both(scenario: &Scenario) -> Scenario {
    let none = Network { within: 0.0, between: 0.0, jitter: 0.0, ..scenario.network.clone() };
    Scenario { network: none, list_delay: 0.0, ..scenario.clone() }
}

/// Refuses what loopback can't show.
///
/// # Errors
///
/// The first such thing.
pub fn check(scenario: &Scenario) -> Result<f64, String> {
    let Arrivals::Poisson { rate } = scenario.arrivals else {
        return Err("sockets play kind = \"poisson\" alone".into());
    };
    let (instances, servers) = (scenario.instances, scenario.server_count());
    if instances > INSTANCES_MOST || servers > SERVERS_MOST || servers == 0 {
        return Err(format!(
            "{instances} instances and {servers} servers; sockets play at most {INSTANCES_MOST} and 1 to {SERVERS_MOST}"
        ));
    }
    if scenario.seconds > SECONDS_MOST {
        return Err(format!("{} s; sockets play at most {SECONDS_MOST}", scenario.seconds));
    }
    if scenario.reports != Reports::None || scenario.habits.retries > 0 || scenario.habits.leave > 0.0 {
        return Err("sockets play neither reports nor habits".into());
    }
    let first = &scenario.servers[0];
    let alike = |group: &bellcroft_simulation::Servers| {
        (group.cores, group.queue, group.speed, group.zone, group.starts)
            == (first.cores, first.queue, first.speed, first.zone, first.starts)
    };
    if !scenario.servers.iter().all(alike) || first.starts.is_some() || first.zone.is_some() {
        return Err("sockets play servers of one kind, in the zones in turn, from the begin".into());
    }
    if scenario.zones > 2 || scenario.tenants > 0 {
        return Err("sockets play at most two zones and no tenants".into());
    }
    for trouble in &scenario.troubles {
        match trouble.what {
            What::Slow { .. } | What::Mute { .. } | What::Drain { .. } | What::Crash { .. } => {}
            _ => {
                return Err(format!("sockets play no {:?}; slow, mute, drain and crash are", trouble.what));
            }
        }
    }
    Ok(rate)
}

/// A server's draws, by class, from a stream of its own.
fn work(scenario: &Scenario, seed: u64, server: usize) -> Work {
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

/// An instance's configuration: what the model gives its instances, in the platform's words.
fn config(scenario: &Scenario, world: &World, number: usize, seed: u64) -> Value {
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

/// The share of requests that may leave late before the figures are this machine's and not the program's.
pub const LATE_MOST: f64 = 0.01;

/// Plays a scenario once. `told` hears each second how many requests were sent; of them a share of `late_most` may leave
/// late ([`LATE_MOST`] where the figures are to be read).
///
/// # Errors
///
/// What loopback can't show, or a generator that could not keep its schedule: then the figures are this machine's.
pub async fn play(
    scenario: &Scenario,
    seed: u64,
    late_most: f64,
    told: impl Fn(u64) + Clone,
) -> Result<Figures, String> {
    let rate = check(scenario)?;
    let first = &scenario.servers[0];
    let plan =
        Plan { cores: first.cores, queue: first.queue.unwrap_or(usize::MAX / 2), seed, ..Plan::default() };
    let works = |server: usize| work(scenario, seed, server);
    let mut world = World::start_with(scenario.server_count(), |server| Plan {
        work: Some(works(server)),
        ..plan.clone()
    })
    .await;
    let mut agents = Vec::new();
    for number in 0..scenario.instances {
        let agent = Agent::with(config(scenario, &world, number, seed), |_| {}).await;
        agent.ready().await;
        agents.push(agent);
    }
    let load = |number: usize| Load {
        target: agents[number].address,
        rate: rate / scenario.instances as f64,
        lasts: Duration::from_secs_f64(scenario.seconds),
        warm_up: Duration::from_secs_f64(scenario.warm_up),
        most: u64::MAX,
        connections: CONNECTIONS,
        seed: seed.wrapping_mul(100) + number as u64,
        tenant: "acme".into(),
        classes: scenario.classes.clone(),
        closed: false,
    };
    let begin = Instant::now();
    let loads: Vec<_> = (0..scenario.instances)
        .map(|number| {
            let told = told.clone();
            load::run(load(number), move |sent, _| {
                if number == 0 {
                    told(sent * scenario.instances as u64);
                }
            })
        })
        .collect();
    let mut troubles = scenario.troubles.clone();
    troubles.sort_by(|a, b| a.at.total_cmp(&b.at));
    let world_ref = &mut world;
    let trouble = async move {
        for trouble in troubles {
            sleep_until(begin + Duration::from_secs_f64(trouble.at)).await;
            apply(world_ref, &trouble.what);
        }
    };
    let (loaded, ()) = tokio::join!(futures_util::future::join_all(loads), trouble);
    let late: u64 = loaded.iter().map(|one| one.late).sum();
    let sent: u64 = loaded.iter().flat_map(|one| &one.classes).map(|class| class.sent).sum();
    if late as f64 > late_most * sent as f64 {
        return Err(format!("{late} of {sent} requests left late: this machine is too busy for the rate"));
    }
    let sum =
        |of: fn(&load::ClassLoad) -> u64| loaded.iter().flat_map(|one| &one.classes).map(of).sum::<u64>();
    let mut times = hdrhistogram::Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let mut half = 0.0;
    for class in loaded.iter().flat_map(|one| &one.classes) {
        times.add(&class.served_times).map_err(|e| e.to_string())?;
        half += class.served_times.value_at_quantile(0.5) as f64 * class.served as f64;
    }
    let by_server: Vec<u64> = world.servers.iter().map(|server| server.seen().len() as u64).collect();
    let seen = world.seen();
    let requests = seen.iter().map(|(_, seen)| seen.id.as_str()).collect::<HashSet<_>>().len();
    let (busiest, idlest) = spread(&by_server);
    Ok(Figures {
        asked: sent.max(1),
        wanted: sum(|c| c.in_wanted) as f64 / sent.max(1) as f64,
        unserved: sum(|c| c.refused + c.failed + c.lost) as f64 / sent.max(1) as f64,
        further: (seen.len() - requests) as f64 / requests.max(1) as f64,
        p50: half / sum(|c| c.served).max(1) as f64 / 1e3,
        p99: times.value_at_quantile(0.99) as f64 / 1e3,
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
        // The check has refused them.
        _ => {}
    }
}

/// The figures of both, over the experiment's seeds, with their intervals.
pub struct Beside {
    /// The scenario.
    pub name: String,
    /// By figure: its name, the model's, the sockets'.
    pub figures: Vec<(&'static str, crate::Interval, crate::Interval)>,
}

/// Sets runs of the model and of sockets beside each other; None of none.
pub fn beside(name: &str, model: &[Figures], sockets: &[Figures]) -> Option<Beside> {
    let names: Vec<&'static str> = model.first()?.named().iter().map(|(name, _)| *name).collect();
    let of = |runs: &[Figures], place: usize| {
        crate::Interval::of(&runs.iter().map(|run| run.named()[place].1).collect::<Vec<_>>())
    };
    let row = |(place, name): (usize, &&'static str)| Some((*name, of(model, place)?, of(sockets, place)?));
    let figures = names.iter().enumerate().map(row).collect::<Option<Vec<_>>>()?;
    Some(Beside { name: name.to_owned(), figures })
}
