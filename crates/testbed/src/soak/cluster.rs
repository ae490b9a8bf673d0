//! The processes of a soak, their servers and their discovery, and what the faults do to them.

use super::responses::server_scripts;
use super::slot::Slot;
use super::timeline::SoakFault;
use super::SoakPlan;
use crate::directory::Mood;
use crate::server::Plan;
use crate::world::World;
use serde_json::Value;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// When something began, and when it was over.
pub type Interval = (Instant, Option<Instant>);

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A server with the soak's responses.
fn server_plan(seed: u64) -> Plan {
    Plan { seed, scripts: server_scripts().collect(), ..Plan::default() }
}

/// The processes of a soak and what surrounds them.
pub struct SoakCluster {
    /// The processes.
    pub slots: Vec<Arc<Slot>>,
    /// The servers and their list.
    pub world: World,
    /// Servers that began to drain, and when the list said so.
    pub drains: Vec<(usize, Instant)>,
    /// Servers whose process was replaced, and when.
    pub replacements: Vec<(usize, Instant)>,
    /// When discovery could not be reached.
    outages: Arc<Mutex<Vec<Interval>>>,
    /// The list as it stands, for processes that start.
    known: Arc<Mutex<Value>>,
    plan: SoakPlan,
    draining: Vec<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl SoakCluster {
    /// Starts all of it.
    pub async fn start(plan: SoakPlan) -> Self {
        let server = server_plan(plan.seed);
        let world = World::start(plan.servers, &server).await;
        let known = Arc::new(Mutex::new(world.known()));
        let mut slots = Vec::new();
        for number in 0..plan.instances {
            slots.push(Slot::start(&plan, &world, &known, number).await);
        }
        let draining = vec![false; plan.servers];
        let outages = Arc::default();
        SoakCluster {
            slots,
            world,
            known,
            drains: Vec::new(),
            replacements: Vec::new(),
            outages,
            plan,
            draining,
            tasks: Vec::new(),
        }
    }

    /// Begins a fault; what it lasts goes on beside the next ones.
    pub async fn apply(&mut self, fault: SoakFault) {
        let task = match fault {
            SoakFault::PlannedRestart(n, restart) => {
                tokio::spawn(self.slots[n].clone().planned_restart(restart))
            }
            SoakFault::Crash(n) => tokio::spawn(self.slots[n].clone().crash()),
            SoakFault::Stall(n, lasts) => tokio::spawn(self.slots[n].clone().stall(lasts)),
            SoakFault::Reload(n, times) => tokio::spawn(self.slots[n].clone().reload(times)),
            SoakFault::Crowd(n, crowd) => tokio::spawn(self.slots[n].clone().crowd(crowd)),
            SoakFault::DiscoveryDown(lasts) => self.disturb_discovery(Mood::Down, lasts),
            SoakFault::DiscoverySilent(lasts) => self.disturb_discovery(Mood::Mute, lasts),
            SoakFault::ServerSlow(n, factor, lasts) => {
                let server = self.world.servers[n].clone();
                tokio::spawn(async move {
                    server.slow(factor);
                    sleep(lasts).await;
                    server.slow(1.0);
                })
            }
            SoakFault::ServerHangs(n, lasts) | SoakFault::ServerResets(n, lasts) => {
                let server = self.world.servers[n].clone();
                let hangs = matches!(fault, SoakFault::ServerHangs(..));
                tokio::spawn(async move {
                    if hangs {
                        server.mute();
                    } else {
                        server.reset();
                    }
                    sleep(lasts).await;
                    server.heal();
                })
            }
            SoakFault::ServerDrains(n) => return self.drain(n),
            SoakFault::ServerReplaced(n) => return self.replace(n).await,
        };
        self.tasks.push(task);
    }

    /// Half of the servers stay in service.
    fn drain(&mut self, server: usize) {
        let draining = self.draining.iter().filter(|draining| **draining).count();
        if !self.draining[server] && draining < self.plan.servers / 2 {
            self.draining[server] = true;
            self.world.drain(server);
            self.drains.push((server, Instant::now()));
            *lock(&self.known) = self.world.known();
        }
    }

    async fn replace(&mut self, server: usize) {
        self.draining[server] = false;
        // What is sent to the new process does not count against its predecessor's drain.
        self.drains.retain(|(drained, _)| *drained != server);
        let seed = self.plan.seed.wrapping_add(server as u64);
        let plan = Plan { cold_for: Duration::from_secs(3), ..server_plan(seed) };
        self.replacements.push((server, Instant::now()));
        self.world.replace(server, plan).await;
        *lock(&self.known) = self.world.known();
    }

    fn disturb_discovery(&self, mood: Mood, lasts: Duration) -> JoinHandle<()> {
        let moods = self.world.directory.mood.clone();
        let outages = self.outages.clone();
        tokio::spawn(async move {
            let before = moods.borrow().clone();
            // Outages that overlap end with the first of them.
            if !matches!(before, Mood::List(_)) {
                return;
            }
            let mut changed = moods.subscribe();
            moods.send_replace(mood);
            let number = {
                let mut outages = lock(&outages);
                outages.push((Instant::now(), None));
                outages.len() - 1
            };
            changed.mark_unchanged();
            // A new list ends it too.
            if tokio::time::timeout(lasts, changed.changed()).await.is_err() {
                moods.send_replace(before);
            }
            lock(&outages)[number].1 = Some(Instant::now());
        })
    }

    /// The moment from which discovery has been reachable for so long on end, counted from a change that it has.
    pub fn reachable_for(&self, since: Instant, wanted: Duration) -> Instant {
        let mut from = since;
        for (began, ended) in lock(&self.outages).iter() {
            let ended = ended.unwrap_or_else(Instant::now);
            if *began < from + wanted && ended > from {
                from = ended;
            }
        }
        from + wanted
    }

    /// Waits until all faults are over.
    pub async fn settle(&mut self) {
        for task in self.tasks.drain(..) {
            task.await.expect("a fault's task does not fail");
        }
    }

    /// Failed system calls of all processes.
    pub fn failed_calls(&self) -> usize {
        self.slots.iter().map(|slot| slot.failed_calls()).sum()
    }

    /// Ends all processes; what they have against themselves, and their logs.
    pub async fn end(&self) -> (Vec<String>, Vec<Vec<String>>) {
        let (mut violations, mut logs) = (Vec::new(), Vec::new());
        for slot in &self.slots {
            slot.end().await;
            violations.extend(slot.take_violations());
            logs.push(slot.take_log());
        }
        (violations, logs)
    }
}
