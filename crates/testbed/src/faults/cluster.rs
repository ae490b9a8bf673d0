//! Whole programs, what surrounds them, and the relays between.

use super::datagrams::Datagrams;
use super::journal::Journal;
use super::links::{nodes, Links, Node};
use super::streams::Stream;
use crate::directory::{Directory, Mood};
use crate::folder::Folder;
use crate::http::LONG;
use crate::process::{kill, log_field, program, Agent};
use crate::server::Plan;
use crate::world::World;
use bellcroft_simulation::{LinkFault, Place, What};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UdpSocket, UnixStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// How large a cluster is.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Programs.
    pub instances: usize,
    /// Stand-in servers.
    pub servers: usize,
    /// One server's plan.
    pub plan: Plan,
    /// Seed of the relays' faults.
    pub seed: u64,
    /// By how many each instance is told to reckon; by all of them where nothing else is said.
    pub roster: Option<usize>,
    /// Whether the programs look for each other.
    pub membership: bool,
    /// They find each other by so many seeds, the first of them, and by no roster; 0 for a roster. Without relays then, for
    /// each tells the others where it is heard.
    pub seeds: usize,
    /// Every other program's list names the servers in the opposite order.
    pub mixed_lists: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            instances: 12,
            servers: 6,
            plan: Plan::default(),
            seed: 1,
            roster: None,
            membership: true,
            seeds: 0,
            mixed_lists: false,
        }
    }
}

/// A process of the program.
struct Process {
    child: Child,
    stopped: bool,
}

/// Whole programs, what surrounds them, and the relays between.
pub struct Cluster {
    /// The servers, and their list.
    pub world: World,
    /// The board of the links.
    pub links: Links,
    /// What happened.
    pub journal: Journal,
    shape: Shape,
    folder: Folder,
    datagrams: Datagrams,
    /// Each instance's own discovery: the list names the servers by the addresses of its relays.
    directories: Vec<Directory>,
    fronts: Vec<Stream>,
    servers: Vec<Vec<Stream>>,
    discoveries: Vec<Stream>,
    processes: Vec<Option<Process>>,
    /// How often each has been started.
    starts: Vec<u64>,
    seq: AtomicU64,
}

fn name(instance: usize) -> String {
    format!("i{instance}")
}

impl Cluster {
    /// Starts the surroundings, then all programs, and waits until each has a server to send to.
    pub async fn start(shape: Shape) -> Self {
        let mut cluster = Self::prepare(shape).await;
        for instance in 0..cluster.shape.instances {
            cluster.launch(instance).await;
        }
        cluster
    }

    /// Starts the surroundings alone.
    pub async fn prepare(shape: Shape) -> Self {
        let world = World::start(shape.servers, &shape.plan).await;
        let (links, journal) = (Links::default(), Journal::new());
        let datagrams = Datagrams::start(shape.instances, &links, shape.seed).await;
        let (mut directories, mut fronts, mut servers, mut discoveries) = (vec![], vec![], vec![], vec![]);
        for instance in 0..shape.instances {
            let here = Node::Instance(instance);
            let seed = shape.seed.wrapping_mul(1 << 16).wrapping_add(instance as u64);
            let directory = Directory::start(Mood::Mute).await;
            fronts.push(Stream::start(&links, Node::Client(instance), here, None, seed).await);
            let address = Some(directory.address);
            discoveries.push(Stream::start(&links, here, Node::Discovery, address, seed).await);
            let mut own = Vec::new();
            for (number, server) in world.servers.iter().enumerate() {
                let address = Some(server.address);
                own.push(Stream::start(&links, here, Node::Server(number), address, seed).await);
            }
            servers.push(own);
            directories.push(directory);
        }
        let processes = (0..shape.instances).map(|_| None).collect();
        let starts = vec![0; shape.instances];
        let cluster = Cluster {
            world,
            links,
            journal,
            shape,
            folder: Folder::new(),
            datagrams,
            directories,
            fronts,
            servers,
            discoveries,
            processes,
            starts,
            seq: AtomicU64::new(0),
        };
        cluster.publish();
        cluster
    }

    /// How many programs there are.
    pub fn instances(&self) -> usize {
        self.shape.instances
    }

    /// Where the clients of each instance connect; the same after any restart.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.fronts.iter().map(|front| front.address).collect()
    }

    /// The list as an instance is told it.
    fn hosts(&self, instance: usize) -> Vec<Value> {
        let by_relay = |mut line: Value| {
            let number = line["host"].as_str().and_then(|name| name.strip_prefix('s')?.parse::<usize>().ok());
            let number = number.expect("a server's name ends in its number");
            line["dial"] = self.servers[instance][number].address.to_string().into();
            line
        };
        let mut hosts: Vec<Value> = self.world.hosts().into_iter().map(by_relay).collect();
        if self.shape.mixed_lists && instance % 2 == 1 {
            hosts.reverse();
        }
        hosts
    }

    /// Tells all discoveries the list as it stands.
    pub fn publish(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        for (instance, directory) in self.directories.iter().enumerate() {
            directory.list(seq, &self.hosts(instance));
        }
    }

    /// Drains a server and says so in the list.
    pub fn drain(&mut self, server: usize) {
        self.world.drain(server);
        self.publish();
        self.journal.note("testbed", "told", format!("s{server} drains"));
    }

    /// A new server in place of one, under its name: born now, cold by its plan.
    pub async fn replace(&mut self, server: usize, plan: Plan) {
        self.world.replace(server, plan).await;
        for own in &self.servers {
            own[server].lead(Some(self.world.servers[server].address));
        }
        self.publish();
        self.journal.note("testbed", "told", format!("s{server} starts, cold"));
    }

    fn state(&self, instance: usize) -> PathBuf {
        self.folder.path().join(name(instance))
    }

    fn files(&self, instance: usize) -> (PathBuf, PathBuf) {
        let own = name(instance);
        let instances = self.shape.instances;
        let mut config = self.world.config(&own);
        config["discovery"] = self.discoveries[instance].address.to_string().into();
        config["known"] =
            json!({"seq": self.seq.load(Ordering::SeqCst), "whole": true, "hosts": self.hosts(instance)});
        config["seed"] = format!("{own} start {}", self.starts[instance]).into();
        config["settings"]["slotNo"] = instance.into();
        let roster = self.shape.roster.unwrap_or(instances);
        config["settings"]["balancers"] = roster.into();
        let config = self.folder.write(&format!("{own}.json"), &config.to_string());
        let mut text = format!("[daemon]\nstate = {:?}\n", self.state(instance));
        if self.shape.membership {
            let roster = self.datagrams.roster(instance, instances);
            let (key, named) = match self.shape.seeds {
                0 => ("peers", roster),
                seeds => ("seeds", self.seeds(seeds, instance, &roster)),
            };
            let named: Vec<String> = named.iter().map(|at| format!("\"{at}\"")).collect();
            text.push_str(&format!(
                "[membership]\ncluster = \"testbed\"\nlisten = \"127.0.0.1:0\"\nnumber = {instance}\n{key} = [{}]\n",
                named.join(", ")
            ));
        }
        (config, self.folder.write(&format!("{own}.toml"), &text))
    }

    /// Where the seeds are heard that have been started; the first one is told of an address where nobody is.
    fn seeds(&self, seeds: usize, instance: usize, nobody: &[SocketAddr]) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> =
            (0..seeds).filter(|n| *n != instance).filter_map(|n| self.datagrams.at(n)).collect();
        match known.is_empty() {
            true => nobody.iter().copied().filter(|at| at.port() != 1).take(1).collect(),
            false => known,
        }
    }

    /// Starts another program under an instance's name and number, with a roster that leads past all relays, and waits until it
    /// serves. The cluster knows nothing more of it.
    pub async fn twin(&self, instance: usize) -> Agent {
        let mut config = self.world.config(&format!("{}-twin", name(instance)));
        config["settings"]["balancers"] = self.shape.instances.into();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let home = |n: usize| self.datagrams.at(n).filter(|_| n != instance).unwrap_or(nowhere);
        let peers: Vec<String> = (0..self.shape.instances).map(|n| format!("\"{}\"", home(n))).collect();
        let text = format!(
            "[membership]\ncluster = \"testbed\"\nlisten = \"127.0.0.1:0\"\nnumber = {instance}\npeers = [{}]\n",
            peers.join(", ")
        );
        let operator = self.folder.write(&format!("{}-twin.toml", name(instance)), &text);
        let agent = Agent::operated(config, &operator).await;
        agent.ready().await;
        agent
    }

    /// Kills an instance's program and speaks in its place: what the others send it comes to this socket, and what leaves from
    /// there, to the addresses by the others' numbers, comes to them as from it.
    pub async fn impersonate(&mut self, instance: usize) -> (UdpSocket, Vec<SocketAddr>) {
        self.kill(instance).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        self.datagrams.home(instance, socket.local_addr().ok());
        self.journal.note(name(instance), "did", "is spoken for by the testbed");
        (socket, self.datagrams.roster(instance, self.shape.instances))
    }

    /// Starts an instance's program, anew or for the first time, and waits until it serves.
    pub async fn launch(&mut self, instance: usize) {
        self.end(instance).await;
        let (config, operator) = self.files(instance);
        self.starts[instance] += 1;
        let mut command = Command::from(program());
        command.env_clear().env("PATH", "/usr/bin:/bin").env("PROXY_CONFIG", &config);
        command.args(["run", "--operator"]).arg(&operator).stdin(Stdio::null());
        command.stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
        let found = watch::Sender::new((None, None));
        let mut addresses = found.subscribe();
        let (journal, who) = (self.journal.clone(), name(instance));
        tokio::spawn(async move {
            while let Ok(Some(line)) = log.next_line().await {
                let at = |message| log_field(&line, message, "address").and_then(|at| at.parse().ok());
                if let Some(front) = at("listening for clients") {
                    found.send_modify(|found| found.0 = Some(front));
                }
                if let Some(peers) = at("membership listening") {
                    found.send_modify(|found| found.1 = Some(peers));
                }
                // The time and the level are the journal's own or of no interest.
                let text = line.split_once("bellcroft").map_or(line.as_str(), |(_, text)| text);
                journal.note(&who, "says", text.trim_start_matches(':').trim());
            }
        });
        let wants_peers = self.shape.membership;
        let ready = |found: &(Option<SocketAddr>, Option<SocketAddr>)| {
            found.0.is_some() && (found.1.is_some() || !wants_peers)
        };
        let told = timeout(LONG, addresses.wait_for(ready)).await.expect("a start").expect("a log");
        let (front, peers) = *told;
        drop(told);
        self.datagrams.home(instance, peers);
        self.fronts[instance].lead(front);
        self.processes[instance] = Some(Process { child, stopped: false });
        self.journal.note(name(instance), "did", "started");
    }

    /// Kills an instance's program, if one runs.
    async fn end(&mut self, instance: usize) {
        self.datagrams.home(instance, None);
        self.fronts[instance].lead(None);
        if let Some(mut process) = self.processes[instance].take() {
            let _ = process.child.kill().await;
        }
    }

    /// Kills an instance's program (SIGKILL).
    pub async fn kill(&mut self, instance: usize) {
        self.end(instance).await;
        self.journal.note(name(instance), "did", "killed");
    }

    /// Has an instance's program stand still (SIGSTOP) or go on (SIGCONT).
    pub async fn stop(&mut self, instance: usize, on: bool) {
        if let Some(process) = &mut self.processes[instance] {
            process.stopped = on;
            if let Some(id) = process.child.id() {
                kill(if on { "-STOP" } else { "-CONT" }, id).await;
            }
            self.journal.note(name(instance), "did", if on { "stands still" } else { "goes on" });
        }
    }

    /// Tells an instance's program to end (SIGTERM) and waits until it has.
    pub async fn term(&mut self, instance: usize) {
        if let Some(mut process) = self.processes[instance].take() {
            if let Some(id) = process.child.id() {
                kill("-TERM", id).await;
            }
            self.journal.note(name(instance), "did", "told to end");
            let ended = timeout(LONG, process.child.wait()).await;
            let code = ended.ok().and_then(Result::ok).and_then(|status| status.code());
            self.journal.note(name(instance), "did", format!("ended with {code:?}"));
        }
        self.end(instance).await;
    }

    /// Instances whose program runs, stopped ones left out.
    pub fn running(&self) -> Vec<usize> {
        let runs = |n: &usize| self.processes[*n].as_ref().is_some_and(|process| !process.stopped);
        (0..self.shape.instances).filter(runs).collect()
    }

    /// Where an instance hears datagrams, past all relays.
    pub fn home(&self, instance: usize) -> Option<SocketAddr> {
        self.datagrams.at(instance)
    }

    /// The process of an instance.
    pub fn pid(&self, instance: usize) -> Option<u32> {
        self.processes[instance].as_ref()?.child.id()
    }

    /// Sets the links from some places to others.
    pub fn link(&self, from: &[Place], to: &[Place], fault: LinkFault) {
        let all = |places: &[Place]| -> Vec<Node> {
            let of = |place: &Place| nodes(*place, self.shape.instances, self.shape.servers);
            places.iter().flat_map(of).collect()
        };
        for from in all(from) {
            for to in all(to).into_iter().filter(|to| *to != from) {
                self.links.set(from, to, fault);
            }
        }
    }

    /// Instances of different groups hear nothing of each other, both ways; those of one group do.
    pub fn partition(&self, groups: &[&[usize]]) {
        let group = |of: usize| groups.iter().position(|group| group.contains(&of));
        for a in 0..self.shape.instances {
            for b in (0..self.shape.instances).filter(|b| *b != a) {
                let cut = group(a) != group(b);
                self.links.set(
                    Node::Instance(a),
                    Node::Instance(b),
                    LinkFault { cut, ..LinkFault::default() },
                );
            }
        }
        self.journal.note("testbed", "did", format!("partition {groups:?}"));
    }

    /// Does what a timeline says.
    pub async fn suffer(&mut self, what: &What) {
        match what {
            What::Kill { instances } => {
                for instance in instances {
                    self.kill(*instance).await;
                }
            }
            What::Term { instances } => {
                for instance in instances {
                    self.term(*instance).await;
                }
            }
            What::Restart { instances } => {
                for instance in instances {
                    self.launch(*instance).await;
                }
            }
            What::Stop { instances, on } => {
                for instance in instances {
                    self.stop(*instance, *on).await;
                }
            }
            What::Link { from, to, link } => {
                self.link(from, to, *link);
                let word =
                    |places: &[Place]| places.iter().map(|p| String::from(*p)).collect::<Vec<_>>().join(" ");
                let what = if *link == LinkFault::default() { "well".into() } else { format!("{link:?}") };
                self.journal.note("testbed", "did", format!("link {} -> {}: {what}", word(from), word(to)));
            }
            What::Slow { servers, factor } => {
                servers.iter().for_each(|s| self.world.servers[*s].slow(*factor));
                self.journal.note("testbed", "did", format!("servers {servers:?} slow by {factor}"));
            }
            What::Mute { servers, on } => {
                for server in servers {
                    if *on {
                        self.world.servers[*server].mute();
                    } else {
                        self.world.servers[*server].heal();
                    }
                }
                self.journal.note("testbed", "did", format!("servers {servers:?} mute: {on}"));
            }
            What::Crash { servers } => {
                servers.iter().for_each(|s| self.world.servers[*s].kill());
                self.journal.note("testbed", "did", format!("servers {servers:?} crash"));
                servers.iter().for_each(|s| self.world.remove(*s));
                self.publish();
            }
            What::Start { servers } => {
                for server in servers {
                    let plan = self.shape.plan.clone();
                    self.replace(*server, plan).await;
                }
            }
            What::Drain { servers } => servers.iter().for_each(|s| self.drain(*s)),
            // The timeline's check has refused these: they are of zones and tenants, which this cluster has none of.
            What::Cut { .. } | What::Flood { .. } => {}
        }
    }

    /// Puts right what is wrong with links and processes: all links are well, whoever stands still goes on, whoever is gone
    /// starts.
    pub async fn heal(&mut self) {
        self.links.heal();
        for instance in 0..self.shape.instances {
            match &self.processes[instance] {
                Some(process) if process.stopped => self.stop(instance, false).await,
                Some(_) => {}
                None => self.launch(instance).await,
            }
        }
        self.journal.note("testbed", "did", "all is put right");
    }

    /// What an instance says of the others, over its control socket; none if it doesn't answer.
    pub async fn members(&self, instance: usize) -> Option<Value> {
        let ask = async {
            let socket = self.state(instance).join("control.sock");
            let mut stream = UnixStream::connect(socket).await.ok()?;
            stream.write_all(b"{\"command\": \"members\"}\n").await.ok()?;
            let mut text = Vec::new();
            stream.read_to_end(&mut text).await.ok()?;
            serde_json::from_slice::<Value>(&text).ok().filter(|value| value.get("error").is_none())
        };
        timeout(Duration::from_secs(2), ask).await.ok().flatten()
    }

    /// What each of these says of all others, by number and state.
    pub async fn views(&self, of: &[usize]) -> Vec<Option<BTreeMap<u64, String>>> {
        let mut views = Vec::new();
        for instance in of {
            let members = self.members(*instance).await;
            views.push(members.and_then(|members| {
                let one = |m: &Value| Some((m["number"].as_u64()?, m["state"].as_str()?.to_owned()));
                let all = members["members"].as_array()?.iter().filter_map(one);
                Some(all.filter(|(number, _)| *number != *instance as u64).collect())
            }));
        }
        views
    }

    /// Waits until each of `by` holds each of `of` in one of these states, for so long at most; how long it took.
    pub async fn until(
        &self,
        by: &[usize],
        of: &[usize],
        states: &[&str],
        most: Duration,
    ) -> Option<Duration> {
        let begin = Instant::now();
        loop {
            let views = self.views(by).await;
            let all = views.iter().zip(by).all(|(view, by)| {
                let holds = |of: &usize| {
                    let held = view.as_ref().and_then(|view| view.get(&(*of as u64)));
                    of == by || held.is_some_and(|held| states.contains(&held.as_str()))
                };
                of.iter().all(holds)
            });
            if all {
                return Some(begin.elapsed());
            }
            if begin.elapsed() > most {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until all that run hold one view, the true one; how long it took.
    pub async fn agree(&self, most: Duration) -> Option<Duration> {
        let running = self.running();
        let gone: Vec<usize> = (0..self.shape.instances).filter(|n| !running.contains(n)).collect();
        let begin = Instant::now();
        self.until(&running, &running, &["alive"], most).await?;
        // Whoever has said good-bye is not dead.
        let rest = most.saturating_sub(begin.elapsed());
        self.until(&running, &gone, &["dead", "left"], rest).await?;
        Some(begin.elapsed())
    }

    /// The stance that an instance states.
    pub async fn stance(&self, instance: usize) -> Option<String> {
        Some(self.members(instance).await?["stance"].as_str()?.to_owned())
    }
}
