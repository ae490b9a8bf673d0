//! Servers, their list, and what must hold between the clients' outcomes and the servers' records.

use crate::directory::{host, Directory, Mood};
use crate::server::{Plan, Seen, Server};
use crate::traffic::{Fate, Record, CLASSES};
use serde_json::{json, Value};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};

/// The zones that servers stand in, in turn.
const ZONES: [&str; 2] = ["north", "south"];

/// A fleet of servers and the discovery that lists them.
pub struct World {
    /// The servers, named `s0`, `s1` and so on.
    pub servers: Vec<Server>,
    /// Their list.
    pub directory: Directory,
    health: Vec<&'static str>,
    /// When each was started while the world ran, in Unix milliseconds; 0 for long ago.
    born: Vec<u64>,
    seq: AtomicU64,
}

impl World {
    /// Starts this many servers of one plan, all of them up.
    pub async fn start(servers: usize, plan: &Plan) -> Self {
        let seed = |number: usize| plan.seed.wrapping_mul(1000).wrapping_add(number as u64);
        Self::start_with(servers, |number| Plan { seed: seed(number), ..plan.clone() }).await
    }

    /// Starts this many servers, each of its own plan, all of them up.
    pub async fn start_with(servers: usize, plan: impl Fn(usize) -> Plan) -> Self {
        let mut started = Vec::new();
        for number in 0..servers {
            started.push(Server::start(plan(number)).await);
        }
        let directory = Directory::start(Mood::Mute).await;
        let health = vec!["up"; servers];
        let born = vec![0; servers];
        let world = World { servers: started, directory, health, born, seq: AtomicU64::new(0) };
        world.publish();
        world
    }

    /// The lines of the list as it stands.
    pub fn hosts(&self) -> Vec<Value> {
        let line = |(number, server): (usize, &Server)| {
            let mut line = host(&format!("s{number}"), server.address, self.health[number]);
            line["site"] = ZONES[number % ZONES.len()].into();
            line["born_ms"] = self.born[number].into();
            line
        };
        self.servers.iter().enumerate().map(line).filter(|line| line["health"] != "removed").collect()
    }

    /// Drains a server and says so in the list.
    pub fn drain(&mut self, server: usize) {
        self.servers[server].drain(true);
        self.health[server] = "draining";
        self.publish();
    }

    /// Takes a server out of the list.
    pub fn remove(&mut self, server: usize) {
        self.health[server] = "removed";
        self.publish();
    }

    /// A new server in place of one: the list calls it up, born now.
    pub async fn replace(&mut self, server: usize, plan: Plan) {
        // What the old one has seen stays on record.
        let fresh = Server::start_after(plan, &self.servers[server]).await;
        self.servers[server].kill();
        self.servers[server] = fresh;
        self.health[server] = "up";
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        self.born[server] = now.unwrap_or_default().as_millis() as u64;
        self.publish();
    }

    fn publish(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        self.directory.list(seq, &self.hosts());
    }

    /// The list as it stands, as a configuration has it.
    pub fn known(&self) -> Value {
        json!({"seq": self.seq.load(Ordering::SeqCst), "whole": true, "hosts": self.hosts()})
    }

    /// The configuration of an agent of this world, on a port of the kernel's choice.
    pub fn config(&self, name: &str) -> Value {
        let class = |class: &crate::Class| {
            json!({"name": class.name, "aimMs": class.aim.as_millis() as u64,
                   "deadlineMs": class.deadline.as_millis() as u64, "effect": class.effect,
                   "group": class.group, "dedupWindowMs": class.window.as_millis() as u64, "points": 1})
        };
        json!({"name": name, "listen": "127.0.0.1:0", "discovery": self.directory.address.to_string(),
               "seed": format!("seed of {name}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
               "known": self.known(),
               "settings": {
                   "balancers": 1, "zone": 0, "zones": ZONES, "kinds": ["m"], "discovery": "on_request",
                   "classes": CLASSES.iter().map(class).collect::<Vec<_>>(),
                   "parties": [{"name": "acme", "fraction": 1.0, "allowancePerS": 1000.0}],
                   "feedback": {"source": "piggyback", "fields": ["qps", "queue"]},
                   "limits": {"cancel": true, "connectTimeoutMs": 500, "keepaliveMs": 10000, "maxAttempts": 3,
                              "probes": true, "retryAfter": true, "maxRetryAfterMs": 750,
                              "secondCopies": false},
                   "rules": {"askWithinMs": 10000, "stopSendingWithinMs": 2000}, "periodMs": 1}})
    }

    /// All that the servers saw, each with its server's number.
    pub fn seen(&self) -> Vec<(usize, Seen)> {
        let of =
            |(number, server): (usize, &Server)| server.seen().into_iter().map(move |seen| (number, seen));
        self.servers.iter().enumerate().flat_map(of).collect()
    }

    /// Sets the clients' outcomes against the servers' records; each line of the answer is a breach.
    ///
    /// Knows the rules and nothing of the agent: one outcome to each request, an answer only where a server gave
    /// it, nothing at a server that no client sent, and copies of a request that could run twice only where the
    /// servers drop repeats.
    pub fn audit(&self, records: &[Record]) -> Vec<String> {
        self.audit_but(records, |_| false)
    }

    /// As [`World::audit`], but copies of the requests that `twice` names are not judged: their client sent them to
    /// two processes, for the first was killed, and neither can know of the other.
    pub fn audit_but(&self, records: &[Record], twice: impl Fn(&Record) -> bool) -> Vec<String> {
        let mut breaches = Vec::new();
        let mut outcomes: HashMap<&str, &Record> = HashMap::new();
        for record in records {
            if outcomes.insert(&record.id, record).is_some() {
                breaches.push(format!("{} has two outcomes", record.id));
            }
        }
        let seen = self.seen();
        let mut copies: HashMap<&str, Vec<&(usize, Seen)>> = HashMap::new();
        for copy in &seen {
            copies.entry(&copy.1.id).or_default().push(copy);
        }
        let answered: HashSet<&str> = seen
            .iter()
            .filter(|(_, s)| s.answered.is_some_and(|(st, _)| st == 200))
            .map(|(_, s)| s.id.as_str())
            .collect();
        for record in records {
            if record.fate == Fate::Served && !answered.contains(record.id.as_str()) {
                breaches.push(format!("{} was served, and no server answered it", record.id));
            }
        }
        for (id, copies) in &copies {
            let Some(record) = outcomes.get(id) else {
                breaches.push(format!("{id} came to a server, and no client knows its outcome"));
                continue;
            };
            if twice(record) {
                continue;
            }
            let begun: Vec<_> = copies.iter().filter(|(_, s)| s.begun).collect();
            let (Some(first), Some(last)) = (
                begun.iter().min_by_key(|(_, s)| s.first_byte),
                begun.iter().max_by_key(|(_, s)| s.last_byte),
            ) else {
                continue;
            };
            let class = &CLASSES[record.class];
            let apart = last.1.last_byte.duration_since(first.1.first_byte);
            let zones: HashSet<usize> = begun.iter().map(|(server, _)| server % ZONES.len()).collect();
            match class.effect {
                "idempotent" => {}
                "deduplicated" if begun.len() > 1 && apart > class.window => {
                    breaches.push(format!("{id} ({}) was sent again after {apart:?}", class.name));
                }
                "deduplicated" if class.group == "zone" && zones.len() > 1 => {
                    breaches.push(format!("{id} ({}) was sent to two zones", class.name));
                }
                "deduplicated" => {}
                _ if begun.len() > 1 => breaches.push(format!("{id} ({}) ran twice", class.name)),
                _ => {}
            }
            // An answer ends a request: nothing of it may begin to leave afterwards. A connection that broke is none:
            // what a killed agent had sent may still be on its way to a server.
            if !record.fate.is_answer() {
                continue;
            }
            let ended = record.sent + record.took;
            if let Some((server, late)) = copies.iter().find(|(_, s)| s.first_byte > ended) {
                let by = late.first_byte.duration_since(ended);
                breaches.push(format!("{id} went out to s{server} {by:?} after its outcome"));
            }
        }
        breaches.sort();
        breaches
    }
}
