//! A disk that stalls: the calls on a state directory take a second or more, and clients are served meanwhile.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use testbed::faults::Shim;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// The time that a client gives each request, in the form of its header and as a span.
const DEADLINE: (&str, Duration) = ("400m", Duration::from_millis(400));
/// The platform's allowance for sockets: an answer later than this after the deadline is lost.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(550);
/// How often a client connects and sends a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Every call of this name takes as long as 1.5 s more.
const STALL: &str = "stall every=1 ms=1500";

/// Processes that share an address and a state directory.
struct Site {
    folder: Folder,
    config: Value,
    _directory: Directory,
}

impl Site {
    async fn new(server: &Backend) -> Self {
        let directory = Directory::start(Mood::Mute).await;
        let mut config = config(directory.address, &[host("s", server.address, "up")]);
        config["listen"] = json!(unshared_address().await.to_string());
        Site { folder: Folder::new(), config, _directory: directory }
    }

    /// The configuration of a process that knows no server and so never becomes ready.
    fn without_servers(&self) -> Value {
        let mut config = self.config.clone();
        config["known"] = json!({"seq": 1, "whole": true, "hosts": []});
        config
    }

    async fn start(&self, config: Value, variables: &[(&str, std::ffi::OsString)]) -> Agent {
        Agent::with(config, |command| {
            command.args([Path::new("run"), Path::new("--state"), &self.folder.path().join("state")]);
            command.envs(variables.iter().map(|(name, value)| (name, value)));
        })
        .await
    }

    /// Starts a process that replaces the present one; its calls fail as the shim says.
    async fn start_successor(&self, config: Value, shim: &Shim) -> Agent {
        let mut variables = shim.variables().to_vec();
        variables.push(("BELLCROFT_SUCCESSOR", "1".into()));
        self.start(config, &variables).await
    }

    /// Waits until this process answers at the control socket.
    async fn until_controlled_by(&self, process: &Agent) {
        let state = self.folder.path().join("state");
        soon("its control socket", async {
            loop {
                let status =
                    bellcroft([Path::new("status"), Path::new("--json"), Path::new("--state"), &state]);
                let output = { status }.output().await.expect("its output");
                let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
                if status["pid"].as_u64() == process.child.id().map(u64::from) {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
    }
}

/// Waits until a call has stalled.
async fn until_stalled(shim: &Shim) {
    soon("a stall", async {
        while shim.faults() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// The status of the answer to a request on a new connection; none if the connection is refused. Panics if the request is lost.
async fn ask(address: SocketAddr, id: String, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request_as(&id, "GET", path, DEADLINE.0, "").as_bytes()).await.expect("it is read");
    let answer = timeout(DEADLINE.1 + SOCKET_ALLOWANCE, read_message(&mut stream, 0)).await;
    Some(answer.expect("an answer in time").expect("an answer").status())
}

/// Sends a request at each interval for so long; the statuses of their answers. Panics if one is lost.
async fn ask_for(address: SocketAddr, path: &'static str, span: Duration) -> Vec<Option<u16>> {
    let end = Instant::now() + span;
    let mut requests = tokio::task::JoinSet::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        requests.spawn(ask(address, format!("steady-{number}"), path));
        sleep(REQUEST_INTERVAL).await;
    }
    requests.join_all().await
}

fn hanging(message: &Message) -> Reply {
    if message.target().contains("hang") {
        Reply::Mute
    } else {
        Reply::Bytes(ok("x"))
    }
}

/// Ends the predecessor of a successor whose calls stall, and checks that each request gets this status meanwhile, and that the
/// successor then serves the control socket.
async fn assert_answered_after_death(site: &Site, mut old: Agent, mut new: Agent, shim: &Shim, status: u16) {
    old.child.kill().await.expect("it is ours");
    let statuses = ask_for(old.address, "/read", Duration::from_secs(4)).await;
    assert!(statuses.iter().all(|given| *given == Some(status)), "{statuses:?}");
    assert!(shim.faults() > 0, "no call has stalled: the test shows nothing");
    site.until_controlled_by(&new).await;
    new.term().await;
    assert!(new.end().await.success());
}

/// Guards against a successor that reads no request while it makes the sockets of its state directory, after its predecessor has died.
#[tokio::test]
async fn starting_successor_answers_while_the_disk_stalls() {
    let server = Backend::start(hanging).await;
    let site = Site::new(&server).await;
    let old = site.start(site.config.clone(), &[]).await;
    old.ready().await;
    let shim = Shim::new(&format!("rename {STALL}"));
    let new = site.start_successor(site.without_servers(), &shim).await;
    assert_answered_after_death(&site, old, new, &shim, 429).await;
}

/// Guards against a successor that reads no request because its predecessor dies just as it makes the sockets of its state directory.
#[tokio::test]
async fn ready_successor_serves_while_the_disk_stalls() {
    let server = Backend::start(hanging).await;
    let site = Site::new(&server).await;
    let old = site.start(site.config.clone(), &[]).await;
    old.ready().await;
    let shim = Shim::new(&format!("rename {STALL}"));
    let new = site.start_successor(site.config.clone(), &shim).await;
    until_stalled(&shim).await;
    assert_answered_after_death(&site, old, new, &shim, 200).await;
}

/// Guards against a shutdown that waits for the disk: a successor that is told to stop while it takes over ends in time, and the
/// process that it was to replace goes on.
#[tokio::test]
async fn successor_that_takes_over_from_a_stalled_disk_can_be_stopped() {
    let server = Backend::start(hanging).await;
    let site = Site::new(&server).await;
    let mut old = site.start(site.config.clone(), &[]).await;
    old.ready().await;
    let shim = Shim::new("rename stall every=1 ms=20000");
    let mut new = site.start_successor(site.config.clone(), &shim).await;
    until_stalled(&shim).await;
    new.term().await;
    assert!(new.end().await.success());
    assert_eq!(ask(old.address, "after".into(), "/read").await, Some(200));
    site.until_controlled_by(&old).await;
    old.term().await;
    assert!(old.end().await.success());
}

/// Guards against requests that get no answer because the files of the state directory are removed while they are pending.
#[tokio::test]
async fn draining_process_answers_while_the_disk_stalls() {
    let server = Backend::start(hanging).await;
    let site = Site::new(&server).await;
    let shim = Shim::new(&format!("unlink {STALL}"));
    let mut process = site.start(site.config.clone(), &shim.variables()).await;
    process.ready().await;
    let stalls_before = shim.faults();
    let asked = tokio::spawn(ask_for(process.address, "/read/hang", Duration::from_secs(4)));
    sleep(DEADLINE.1).await;
    process.term().await;
    let statuses = asked.await.expect("no request is lost");
    assert!(statuses.contains(&None), "the socket was not closed: the test shows nothing");
    assert!(shim.faults() > stalls_before, "no call has stalled: the test shows nothing");
    assert!(process.end().await.success());
}
