//! Incidents staged around real agents, with a receiver that keeps their samples and the shipped rules over them.
//!
//! Rules speak of minutes and a stage lasts seconds, so all times of the rules are divided by [`PACE`]. They are
//! evaluated after the incident, over the samples' own times: how busy the machine was meanwhile changes no verdict.

use crate::folder::Folder;
use crate::metrics::{Alerting, Receiver, RuleFile};
use crate::process::Agent;
use crate::server::Plan;
use crate::traffic::{Load, Record, Traffic};
use crate::world::World;
use bellcroft_balancer::{Micros, Outcome, RetrySafety, Settings, Time};
use bellcroft_telemetry::{
    Config, EndpointEntry, Environment, FinalOutcome, Instance, InstanceInfo, Policy, Remote, Url,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A minute of the rules is this many times shorter.
pub const PACE: f64 = 20.0;
/// Rules are evaluated this often, in milliseconds of the samples' time.
const STEP: i64 = 250;
/// Before the incident all is calm for so long.
const CALM: Duration = Duration::from_secs(3);

/// What is staged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incident {
    /// Nothing at all.
    Calm,
    /// Every server of one zone says nothing from now on.
    BuildingCutOff,
    /// One server takes thirty times as long.
    ServerSlow,
    /// An office sends four times its allowance.
    Flood,
    /// A module sends to a drained server, pushes a cold one, answers twice and repeats what ran.
    CheatingModule,
    /// One of two agents is killed.
    AgentKilled,
    /// An agent dies again and again.
    RestartLoop,
    /// Two agents have one name.
    OneName,
}

impl Incident {
    /// All of them, the calm one first.
    pub const ALL: [Incident; 8] = [
        Incident::Calm,
        Incident::BuildingCutOff,
        Incident::ServerSlow,
        Incident::Flood,
        Incident::CheatingModule,
        Incident::AgentKilled,
        Incident::RestartLoop,
        Incident::OneName,
    ];

    /// What it is, for a table.
    pub fn title(self) -> &'static str {
        match self {
            Incident::Calm => "a calm run",
            Incident::BuildingCutOff => "a building cut off",
            Incident::ServerSlow => "one server 30 times slower",
            Incident::Flood => "one office at four times its allowance",
            Incident::CheatingModule => {
                "a module that cheats: a drained and a cold server sent to, answers twice, repeats of what ran"
            }
            Incident::AgentKilled => "one of two agents killed",
            Incident::RestartLoop => "an agent that dies again and again",
            Incident::OneName => "two agents of one name",
        }
    }

    /// The alerts that must fire; no page beside them may.
    pub fn expected(self) -> &'static [&'static str] {
        match self {
            Incident::Calm => &[],
            Incident::BuildingCutOff => &["BellcroftBuildingCutOff"],
            Incident::ServerSlow => &["BellcroftServerSlow"],
            Incident::Flood => &["BellcroftOfficeFlooding"],
            Incident::CheatingModule => &[
                "BellcroftAnswerRuleBroken",
                "BellcroftColdRuleBroken",
                "BellcroftDrainRuleBroken",
                "BellcroftEffectRuleBroken",
            ],
            Incident::AgentKilled => &["BellcroftInstanceSilent"],
            Incident::RestartLoop => &["BellcroftRestartLoop"],
            Incident::OneName => &["BellcroftTwoInstancesOneName"],
        }
    }
}

impl Incident {
    /// Alerts that are true of it too, whether or not they fire within its time.
    pub fn may(self, alert: &str) -> bool {
        let true_too: &[&str] = match self {
            Incident::Calm | Incident::Flood | Incident::CheatingModule => &[],
            // Requests wait for the cut building until it is found out, and are sent again.
            Incident::BuildingCutOff => &[
                "BellcroftWantedTimeBurnsFast",
                "BellcroftWantedTimeBurnsSlowly",
                "BellcroftRetriesAtBudget",
            ],
            Incident::ServerSlow => &["BellcroftWantedTimeBurnsFast", "BellcroftWantedTimeBurnsSlowly"],
            // Between a death and the next start nothing is heard of it; clients find nobody.
            Incident::RestartLoop => &["BellcroftInstanceSilent", "BellcroftAllSilent", "BellcroftNotReady"],
            Incident::AgentKilled => &[],
            // Two streams in one: every growth is nonsense, and so is what rests on it.
            Incident::OneName => return true,
        };
        true_too.contains(&alert)
    }
}

/// What came of an incident.
#[derive(Debug, Clone)]
pub struct Staged {
    /// What was staged.
    pub incident: Incident,
    /// Each alert that fired, and how long after the incident's begin, in the rules' own time.
    pub fired: BTreeMap<String, Duration>,
    /// Requests of the clients.
    pub requests: usize,
    /// What the receiver found wrong with what came.
    pub wrong: Vec<String>,
}

struct Stage {
    world: World,
    receiver: Receiver,
    folder: Folder,
    balancers: u32,
    allowance: f64,
}

impl Stage {
    async fn agent(&self, name: &str) -> Agent {
        let text = format!(
            "[remote_write]\nurl = \"{}\"\ninterval = \"250ms\"\nserver_names = 10\nretry_first = \"10ms\"\n",
            self.receiver.url()
        );
        let operator = self.folder.write("agent.toml", &text);
        let mut config = self.world.config(name);
        config["settings"]["balancers"] = self.balancers.into();
        config["settings"]["parties"][0]["allowancePerS"] = self.allowance.into();
        let agent = Agent::operated(config, &operator).await;
        agent.ready().await;
        agent
    }
}

fn unix_ms() -> i64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as i64
}

/// Stages an incident for `lasts` after a calm begin, and holds the rules against what the receiver has kept.
///
/// # Errors
///
/// A rule that cannot be evaluated.
pub async fn stage(incident: Incident, rules: &RuleFile, lasts: Duration) -> Result<Staged, String> {
    let world = World::start(6, &Plan { cores: 8, seed: 31, ..Plan::default() }).await;
    let two = matches!(incident, Incident::AgentKilled);
    let flood = incident == Incident::Flood;
    let stage = Stage {
        world,
        receiver: Receiver::start().await,
        folder: Folder::new(),
        balancers: if two { 2 } else { 1 },
        allowance: if flood { 50.0 } else { 1000.0 },
    };
    let mut first = stage.agent("n0").await;
    let second = if two { Some(stage.agent("n1").await) } else { None };
    let agents = [Some(&first), second.as_ref()].into_iter().flatten().map(|a| a.address).collect();
    let load = Load { agents, clients: 20, rate: 100.0, seed: 33, most: 100_000 };
    let calm_load = Load { rate: 40.0, ..load.clone() };
    let traffic = Traffic::start(if flood { &calm_load } else { &load });
    sleep(CALM).await;
    let begin = unix_ms();
    let end = Instant::now() + lasts;
    let mut more: Option<Traffic> = None;
    let mut others = Vec::new();
    match incident {
        Incident::Calm => {}
        Incident::BuildingCutOff => stage.world.servers.iter().step_by(2).for_each(crate::Server::mute),
        Incident::ServerSlow => stage.world.servers[2].slow(30.0),
        Incident::Flood => more = Some(Traffic::start(&Load { rate: 160.0, seed: 35, ..load.clone() })),
        Incident::CheatingModule => cheat(stage.receiver.url(), lasts).await?,
        Incident::AgentKilled => first.child.kill().await.map_err(|e| e.to_string())?,
        Incident::OneName => others.push(stage.agent("n0").await),
        Incident::RestartLoop => {
            let pause = lasts / 6;
            for _ in 0..4 {
                first.child.kill().await.map_err(|e| e.to_string())?;
                first = stage.agent("n0").await;
                sleep(pause).await;
            }
        }
    }
    tokio::time::sleep_until(end).await;
    let mut records: Vec<Record> = traffic.finish().await;
    if let Some(more) = more {
        records.extend(more.finish().await);
    }
    let mut store = stage.receiver.store();
    let wrong = store.wrong.clone();
    let (from, to) = store.span().ok_or("no samples came")?;
    let mut alerting = Alerting::new(rules.clone(), PACE);
    let mut at = from;
    while at <= to {
        alerting.step(&mut store, at)?;
        at += STEP;
    }
    let after = |at: i64| Duration::from_millis((at - begin).max(0) as u64).mul_f64(PACE);
    let fired = alerting.fired.into_iter().map(|(name, at)| (name, after(at))).collect();
    drop((first, second, others));
    Ok(Staged { incident, fired, requests: records.len(), wrong })
}

/// Plays an instance whose module breaks rules: the true observer and the true sender, fed what such a module would
/// do on its sockets.
async fn cheat(url: String, lasts: Duration) -> Result<(), String> {
    let url = Url::parse(&url)?;
    let worker = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        tokio::task::LocalSet::new().block_on(&runtime, cheating(url, lasts));
        Ok(())
    });
    worker.await.map_err(|e| e.to_string())?
}

async fn cheating(url: Url, lasts: Duration) {
    let mut settings = Settings::default();
    settings.classes[0].retry_safety = RetrySafety::AtMostOnce;
    let labels = [("instance", "cheat"), ("job", "bellcroft")].map(|(n, v)| (n.to_owned(), v.to_owned()));
    let instance = Rc::new(Instance::new(&InstanceInfo {
        settings: &settings,
        classes: &["pay".to_owned()],
        tenants: &[],
        zones: &["north".to_owned()],
        version: "cheat",
        started: unix_ms() as f64 / 1e3,
        external: &labels,
        server_names: 0,
    }));
    instance.registry.gauge(&bellcroft_telemetry::families::READY, &[]).set(1.0);
    let origin = Instant::now();
    let now = move || Time(10_000_000 + origin.elapsed().as_micros() as u64);
    let config = Config {
        url,
        token: None,
        interval: Duration::from_millis(250),
        timeout: Duration::from_secs(5),
        policy: Policy::default(),
        labels: labels.to_vec(),
    };
    let owner = Environment {
        instance: instance.clone(),
        now: Box::new(now),
        refresh: Box::new(|| {}),
        log: Box::new(|_| {}),
        seed: 41,
    };
    let remote = Remote::start(config, owner);
    let line = |server, is_serving, started| EndpointEntry {
        server,
        name: "s",
        zone: 0,
        dedup_group: 0,
        is_serving,
        is_listed: true,
        started,
    };
    instance.list_call_succeeded(now());
    instance.endpoint_listed(now(), line(0, true, None));
    instance.endpoint_listed(now(), line(1, false, None));
    let (mut id, mut cold) = (0, None);
    while origin.elapsed() < lasts {
        id += 1;
        let at = now();
        instance.list_call_succeeded(at);
        instance.request_received(id, 0, None, "none", Time(at.0 + 1_000_000));
        // An honest one goes to a server that is up, once. From the half on most go to one that has just started, and
        // each tenth to one that drains, then out again, and is answered twice.
        let half = origin.elapsed() > lasts / 2;
        let cheats = half && id % 10 == 0;
        if half && cold.is_none() {
            cold = Some(at);
            instance.endpoint_listed(at, line(2, true, cold));
        }
        let server = match (half, cheats) {
            (false, _) => 0,
            (true, true) => 1,
            (true, false) => 2,
        };
        instance.first_byte(at, id, 0, server);
        instance.attempt_finished((id, 0), 0, 0, Outcome::Success, Micros(1000));
        if cheats {
            instance.first_byte(at, id, 1, 0);
            instance.attempt_finished((id, 1), 0, 0, Outcome::Success, Micros(1000));
        }
        instance.request_finished(at, id, 0, FinalOutcome::Served, Micros(1000));
        if cheats {
            instance.request_finished(at, id, 0, FinalOutcome::Served, Micros(1000));
        }
        sleep(Duration::from_millis(20)).await;
    }
    remote.stop().await;
}
