//! A fleet of one instance, and clients that note what became of each request.

use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// The time after its deadline from which a request without an answer is lost, with the platform's allowance for sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);

/// A fleet of one instance, and the server that it sends to.
pub struct Site {
    pub fleet: Fleet,
    pub world: World,
    pub directory: Directory,
    pub server: Backend,
    pub address: SocketAddr,
}

impl Site {
    /// Starts a fleet whose server replies like this; `more` goes into the fleet's file.
    pub async fn start(more: &str, script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let server = Backend::start(script).await;
        let world = World::start(1, &Plan::default()).await;
        let directory = Directory::start(Mood::Mute).await;
        let mut fleet = Fleet::new(&world, 1, more);
        let config = config(directory.address, &[host("s", server.address, "up")]);
        fleet.folder.write("desk-0.json", &config.to_string());
        fleet.run();
        let address = fleet.ready().await[0];
        Site { fleet, world, directory, server, address }
    }

    /// Gives the next process a list of these servers.
    pub fn give_list(&self, hosts: Value) {
        let file = self.fleet.folder.path().join("desk-0.json");
        let present = std::fs::read_to_string(&file).expect("a file");
        let mut config: Value = serde_json::from_str(&present).expect("JSON");
        config["known"]["hosts"] = hosts;
        std::fs::write(&file, config.to_string()).expect("a file");
    }

    pub async fn pid(&self) -> u32 {
        self.fleet.pids().await["desk-0"]
    }

    /// The processes of the instance that run, by their number in the log and the kernel's record.
    pub fn starts(&self) -> usize {
        let log = std::fs::read_to_string(self.fleet.dir("desk-0").join("log")).unwrap_or_default();
        log.matches("listening for clients").count()
    }
}

/// Hangs for paths that say so, and serves all others.
pub fn hanging(message: &Message) -> Reply {
    if message.target().contains("hang") {
        Reply::Mute
    } else {
        Reply::Bytes(ok("x"))
    }
}

/// What became of a request on a connection of its own.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Answered(u16),
    /// The connection was refused, so that nobody took the request.
    Refused,
    /// The connection ended before an answer; the reason.
    Ended(String),
    /// Neither an answer nor the connection's end came within this time.
    Unanswered(Duration),
}

pub async fn ask(address: SocketAddr, request: String, wait: Duration) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(address).await else { return Outcome::Refused };
    let sent = Instant::now();
    if let Err(error) = stream.write_all(request.as_bytes()).await {
        return Outcome::Ended(error.to_string());
    }
    match timeout(wait + LOST_AFTER, read_message(&mut stream, 0)).await {
        Ok(Some(answer)) => Outcome::Answered(answer.status()),
        Ok(None) => Outcome::Ended(format!("after {:?}", sent.elapsed())),
        Err(_) => Outcome::Unanswered(sent.elapsed()),
    }
}

/// Sends a request every 20 ms, each on a new connection, until it is told to stop; the outcomes with their times.
pub async fn ask_until(address: SocketAddr, stop: impl Future<Output = ()>) -> Vec<(Instant, Outcome)> {
    const WAIT: Duration = Duration::from_millis(400);
    let mut asking = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    for number in 0.. {
        let text = request_as(&format!("steady-{number}"), "GET", "/read", "400m", "");
        asking.spawn(async move { (Instant::now(), ask(address, text, WAIT).await) });
        if timeout(Duration::from_millis(20), &mut stop).await.is_ok() {
            break;
        }
    }
    asking.join_all().await
}

pub fn lost(outcomes: &[(Instant, Outcome)]) -> Vec<&Outcome> {
    let is_lost = |outcome: &&Outcome| matches!(outcome, Outcome::Ended(_) | Outcome::Unanswered(_));
    outcomes.iter().map(|(_, outcome)| outcome).filter(is_lost).collect()
}

/// As [`lost`], without the connections that end with a process that is killed while it holds them.
pub fn unanswered(outcomes: &[(Instant, Outcome)]) -> Vec<&Outcome> {
    let is_unanswered = |outcome: &&Outcome| matches!(outcome, Outcome::Unanswered(_));
    outcomes.iter().map(|(_, outcome)| outcome).filter(is_unanswered).collect()
}

/// Sends a request that its server never answers, and returns once the server has it.
pub async fn hang(site: &mut Site, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.address).await.expect("a connection");
    let text = request_as(id, "GET", "/read/hang", "2500m", "");
    stream.write_all(text.as_bytes()).await.expect("it reads");
    while !site.server.next().await.target().contains("hang") {}
    stream
}

/// The child of the supervisor that is not this process.
pub fn child_besides(fleet: &Fleet, pid: u32) -> u32 {
    child_of(fleet.supervisor.as_ref().and_then(tokio::process::Child::id).expect("it runs"), pid)
}

pub fn child_of(supervisor: u32, pid: u32) -> u32 {
    let children = format!("/proc/{supervisor}/task/{supervisor}/children");
    let children = std::fs::read_to_string(children).expect("its children");
    let mut children = children.split_whitespace().map(|pid| pid.parse().expect("a number"));
    children.find(|child| *child != pid).expect("another child")
}
