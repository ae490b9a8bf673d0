//! Routes of the operator's file on real sockets: each time-out from which moment to which, and what a reload does.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use testbed::*;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// A server whose queue of connections is full: one more connects only once it takes some.
struct Full {
    address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl Full {
    async fn start() -> Self {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let mut fillers = Vec::new();
        // The kernel takes one or two more than it was told to.
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(address)).await
        {
            fillers.push(stream);
            assert!(fillers.len() < 100, "the queue has no end");
        }
        Full { address, listener, fillers }
    }

    /// Takes the fillers, and then the next connection that comes.
    async fn take(&mut self) -> TcpStream {
        for _ in 0..self.fillers.len() {
            soon("a filler", self.listener.accept()).await.expect("a connection");
        }
        soon("the agent's connection", self.listener.accept()).await.expect("a connection").0
    }
}

/// Settings that leave time to the routes: clients wait for a minute, connections may take 20 s.
fn patient(directory: SocketAddr, hosts: &[Value]) -> Value {
    let mut config = config(directory, hosts);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadlineMs"] = 60_000.into();
        class["aimMs"] = 50_000.into();
        class["dedupWindowMs"] = 120_000.into();
    }
    config["settings"]["limits"]["connectTimeoutMs"] = 20_000.into();
    config["settings"]["rules"]["stopSendingWithinMs"] = 30_000.into();
    config
}

struct World {
    folder: Folder,
    agent: Agent,
}

impl World {
    async fn start(config: Value, routes: &str) -> Self {
        let folder = Folder::new();
        let operator = folder.write("agent.toml", &format!("[daemon]\nstate = \"state\"\n{routes}"));
        let agent = Agent::with(config, |command| {
            command.args([Path::new("run"), Path::new("--operator"), &operator]);
        })
        .await;
        World { folder, agent }
    }

    async fn ask(&self, method: &str, path: &str) -> Message {
        self.agent.client().await.ask(&request(method, path, "60000m", "")).await
    }

    async fn status(&self) -> Value {
        let state = self.folder.path().join("state");
        let output =
            bellcroft([Path::new("status"), Path::new("--json"), Path::new("--state"), &state]).output();
        serde_json::from_slice(&output.await.expect("its output").stdout).expect("JSON")
    }
}

fn route(class: &str, more: &str) -> String {
    format!("[[route]]\nname = \"r-{class}\"\nmatch = {{ class = \"{class}\" }}\n{more}\n")
}

/// From the decision to send an attempt to its end: the answer is a failure where it must not be repeated, and the
/// next server's where it may be.
#[tokio::test]
async fn an_attempt_timeout_ends_the_attempt_and_not_the_request() {
    let mute = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let config = patient(directory.address, &[host("s", mute.address, "up")]);
    let times = "attempt_timeout = \"150ms\"\nattempts = 1";
    let world = World::start(config, &(route("pay", times) + &route("read", times))).await;
    assert_eq!(world.ask("POST", "/pay").await.status(), 504);
    assert_eq!(world.ask("GET", "/read").await.status(), 429, "harmless to try again");
    let good = Backend::start(|_| Reply::Bytes(ok("good"))).await;
    let hosts = [host("mute", mute.address, "up"), host("good", good.address, "up")];
    let world = World::start(
        patient(directory.address, &hosts),
        &route("read", "attempt_timeout = \"150ms\"\nqueue_timeout = \"5s\""),
    )
    .await;
    for _ in 0..10 {
        assert_eq!(world.ask("GET", "/read").await.body, b"good");
    }
}

/// From the decision to an open connection: the next server has its turn, and nothing is written to the slow one.
#[tokio::test]
async fn a_connect_timeout_gives_up_a_connection_that_does_not_come_up() {
    let mut full = Full::start().await;
    let good = Backend::start(|_| Reply::Bytes(ok("good"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("full", full.address, "up"), host("good", good.address, "up")];
    let config = patient(directory.address, &hosts);
    let world = World::start(config, &route("pay", "connect_timeout = \"150ms\"")).await;
    for _ in 0..10 {
        // What never ran may be sent again whatever the class.
        assert_eq!(world.ask("POST", "/pay").await.body, b"good");
    }
    drop(world);
    let taken = tokio::time::timeout(Duration::from_secs(2), full.take()).await;
    if let Ok(mut stream) = taken {
        let mut bytes = Vec::new();
        soon("its end", stream.read_to_end(&mut bytes)).await.unwrap_or_default();
        assert!(bytes.is_empty(), "{} bytes were written", bytes.len());
    }
}

/// From the hand-over to an open connection to the end of the answer's head.
#[tokio::test]
async fn a_first_byte_timeout_gives_up_a_server_that_says_nothing() {
    let mut mute = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let config = patient(directory.address, &[host("s", mute.address, "up")]);
    let world = World::start(config, &route("pay", "first_byte_timeout = \"150ms\"")).await;
    assert_eq!(world.ask("POST", "/pay").await.status(), 504);
    mute.next().await;
    assert!(mute.seen.try_recv().is_err(), "it may have run and went out again");
}

/// The client's time-out as a cap; a client that leaves less has less.
#[tokio::test]
async fn a_route_s_timeout_caps_the_client_s_and_the_shorter_one_wins() {
    let mute = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = patient(directory.address, &[host("s", mute.address, "up")]);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        // What has no hope of an answer in time is refused at once, and the test wants to see it sent.
        class["aimMs"] = 300.into();
    }
    let world =
        World::start(config, &(route("pay", "timeout = \"200ms\"") + &route("save", "timeout = \"50s\"")))
            .await;
    assert_eq!(world.ask("POST", "/pay").await.status(), 504);
    let begin = Instant::now();
    let short = request("POST", "/save", "200m", "");
    let answer = world.agent.client().await.ask(&short).await;
    assert!(answer.status() == 429 || answer.status() == 504, "{}", answer.status());
    assert!(begin.elapsed() < Duration::from_secs(40), "the client's own time-out is the shorter one");
}

/// A reload applies to requests that come after it; one that waits goes on by what it began with. A file that is
/// refused changes nothing and says so.
#[tokio::test]
async fn a_reload_applies_to_new_requests_and_open_ones_keep_what_they_began_with() {
    let good = Backend::start(|_| Reply::Bytes(ok("good"))).await;
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let mut config = patient(directory.address, &[]);
    config["known"]["seq"] = 0.into();
    let world = World::start(config, &route("read", "queue_timeout = \"40s\"")).await;
    directory.next_call().await;
    let mut waiting = world.agent.client().await;
    waiting.send(&request("GET", "/read", "60000m", "")).await;
    let held = || async {
        while world.status().await["requests"]["read"]["open"] != 1 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    soon("the request's wait", held()).await;
    let operator = world.folder.path().join("agent.toml");
    let text = |more: &str| format!("[daemon]\nstate = \"state\"\n{}", route("read", more));
    // Refused first: the window of `read` is none, but its drain's grace is.
    std::fs::write(&operator, text("connect_timeout = \"30s\"")).expect("a file");
    world.agent.hang_up().await;
    let refused = || async {
        while world.status().await["config"]["refused"].is_null() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    soon("the refusal", refused()).await;
    let status = world.status().await;
    let why = status["config"]["refused"].as_str().unwrap_or_default();
    assert!(why.contains("agent.toml:6: route \"r-read\": connect_timeout = 30s"), "{why}");
    assert_eq!(status["config"]["generation"], 1);
    std::fs::write(&operator, text("queue_timeout = \"50ms\"")).expect("a file");
    world.agent.hang_up().await;
    let taken = || async {
        while world.status().await["config"]["generation"] != 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    soon("the reload", taken()).await;
    assert_eq!(world.ask("GET", "/read").await.status(), 429, "held back for 50 ms, by the new file");
    assert_eq!(world.status().await["requests"]["read"]["open"], 1, "the other one waits on");
    directory.list(2, &[host("s", good.address, "up")]);
    assert_eq!(waiting.answer().await.body, b"good");
}

/// A reload while a request is out twice: both copies go on, and the first answer is its answer.
#[tokio::test]
async fn a_request_that_is_out_twice_ends_by_what_it_began_with() {
    let word = std::sync::Arc::new(tokio::sync::Notify::new());
    let reply = |gate: &std::sync::Arc<tokio::sync::Notify>| {
        let gate = gate.clone();
        move |_: &Message| Reply::When(gate.clone(), ok("good"))
    };
    let mut one = Backend::start(reply(&word)).await;
    let mut two = Backend::start(reply(&word)).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("one", one.address, "up"), host("two", two.address, "up")];
    let copies = "second_copy_after = \"50ms\"\nattempts = 2";
    let world = World::start(patient(directory.address, &hosts), &route("read", copies)).await;
    let mut client = world.agent.client().await;
    client.send(&request("GET", "/read", "60000m", "")).await;
    let (a, b) = (one.next().await, two.next().await);
    assert_eq!(a.header("x-request-id"), b.header("x-request-id"), "a second copy");
    let operator = world.folder.path().join("agent.toml");
    let text = format!("[daemon]\nstate = \"state\"\n{}", route("read", "attempts = 1\ntimeout = \"60ms\""));
    std::fs::write(&operator, text).expect("a file");
    world.agent.hang_up().await;
    let taken = || async {
        while world.status().await["config"]["generation"] != 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    soon("the reload", taken()).await;
    let status = world.ask("GET", "/read").await.status();
    assert_eq!(status, 429, "60 ms are no time for it");
    word.notify_waiters();
    assert_eq!(client.answer().await.body, b"good");
    let counts = &world.status().await["requests"]["read"];
    assert_eq!((&counts["served"], &counts["refused"]), (&json!(1), &json!(1)));
}

/// The hole that was known: a keyed request is sent again at the window's edge, and the connection takes so long to
/// come up that servers no longer drop repeats. Nothing is written.
#[tokio::test]
async fn what_comes_up_after_the_window_is_not_written() {
    let mut first = Backend::start(|_| Reply::Mute).await;
    let mut full = Full::start().await;
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let mut config = patient(directory.address, &[host("first", first.address, "up")]);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["dedupWindowMs"] = 600.into();
    }
    // No route: it is the platform's own time-outs that leave the hole.
    config["settings"]["classes"][1]["deadlineMs"] = 30_000.into();
    let agent = Agent::with(config, |_| {}).await;
    directory.next_call().await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/save", "25000m", "session")).await;
    let seen = first.next().await;
    // The only other server is the one that does not take connections; the first one breaks within the window.
    let hosts = [host("first", first.address, "draining"), host("full", full.address, "up")];
    directory.list(2, &hosts);
    soon("the new watch", async { while !directory.next_call().await.contains("after=2&") {} }).await;
    assert!(
        seen.last_byte.elapsed() < Duration::from_millis(500),
        "the machine is too slow to meet the window"
    );
    first.closes.send_replace(true);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let mut stream = full.take().await;
    let status = client.answer().await.status();
    assert!(status == 429 || status == 502, "{status}");
    drop(agent);
    let mut bytes = Vec::new();
    soon("its end", stream.read_to_end(&mut bytes)).await.unwrap_or_default();
    assert!(bytes.is_empty(), "written after the window: {}", String::from_utf8_lossy(&bytes));
}

/// `check` refuses what could break a rule, with file, line and the nearest good value; `--explain` draws the life.
#[tokio::test]
async fn check_refuses_and_explains() {
    let directory = nobody().await;
    let folder = Folder::new();
    let mut config = config(directory, &[]);
    config["settings"]["classes"][1]["deadlineMs"] = 8000.into();
    let config = folder.write("config.json", &config.to_string());
    let check = |more: &str| {
        let operator = folder.write("agent.toml", &route("save", more));
        let words = [Path::new("check"), Path::new("--explain"), Path::new("--config"), &config];
        let mut command = bellcroft(words);
        command.arg("--operator").arg(operator);
        async move { command.output().await.expect("its output") }
    };
    let output = check("attempts = 3\nattempt_timeout = \"2.5s\"\nqueue_timeout = \"50ms\"").await;
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), text.lines().count()), (Some(2), 1), "{text}");
    assert!(
        text.contains("agent.toml:4: route \"r-save\": attempts = 3 with attempt_timeout = 2.5s"),
        "{text}"
    );
    assert!(text.contains("At most attempts = 2, or attempt_timeout = 2.14s"), "{text}");
    let output = check("attempts = 3\nattempt_timeout = \"2.1s\"\nqueue_timeout = \"50ms\"").await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    for part in ["attempt 3 is decided, at the latest", "servers drop repeats no longer", "to spare"] {
        assert!(text.contains(part), "{part}:\n{text}");
    }
}
