//! The replacement of a process by another one at the same address.

mod console_config;

use console_config::operated;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A request of 400 ms without an answer is lost after this time, with the platform's allowance for sockets.
const LOST_AFTER: Duration = Duration::from_millis(950);

/// Starts a process that replaces the one in the same folder.
async fn start_in(folder: &Folder, config: Value) -> Agent {
    Agent::with(config, |command| {
        command.env("TMPDIR", folder.path());
    })
    .await
}

/// The answer to a request of 400 ms on a new connection; panics once it is lost.
async fn answer_in_time(address: SocketAddr) -> Message {
    let mut stream = TcpStream::connect(address).await.expect("a process holds the socket");
    stream.write_all(request("GET", "/read", "400m", "").as_bytes()).await.expect("it is accepted");
    let answer = read_message(&mut stream, 0);
    tokio::time::timeout(LOST_AFTER, answer).await.expect("in time").expect("an answer")
}

/// Clients that send one request after another, each on one connection for as long as it stays open.
async fn ask_on(address: String, stop: Arc<AtomicBool>, served: Arc<AtomicUsize>) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut kept: Option<TcpStream> = None;
    while !stop.load(Ordering::SeqCst) && wrong.is_empty() {
        let fresh = kept.is_none();
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(&address).await {
                Ok(stream) => stream,
                Err(e) => return vec![format!("not taken: {e}")],
            },
        };
        let asked = stream.write_all(request("GET", "/read", "5000m", "").as_bytes()).await;
        let answer = match asked {
            Ok(()) => read_message(&mut stream, 0).await,
            Err(_) => None,
        };
        match answer {
            Some(answer) if answer.status() == 200 => {
                served.fetch_add(1, Ordering::SeqCst);
                kept = (!answer.last()).then_some(stream);
            }
            Some(answer) => wrong.push(answer.first_line().to_owned()),
            // A reused connection may close between two requests; a new one may not.
            None if fresh => wrong.push("a fresh connection ended with no answer".into()),
            None => wrong.push("a kept connection ended with no word and no answer".into()),
        }
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    wrong
}

/// Three replacements under load, without a lost request.
#[tokio::test]
async fn process_replacement_under_load_loses_no_request() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let folder = Folder::new();
    let mut config = operated(&directory, &[host("s", backend.address, "up")]);
    config["listen"] = json!(unshared_address().await.to_string());
    let start = || start_in(&folder, config.clone());
    let mut old = start().await;
    old.ready().await;
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> =
        (0..8).map(|_| tokio::spawn(ask_on(old.address.to_string(), stop.clone(), served.clone()))).collect();
    let some_more = |than: usize| {
        let served = served.clone();
        async move {
            soon("more answers", async {
                while served.load(Ordering::SeqCst) < than + 200 {
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                }
            })
            .await;
        }
    };
    some_more(0).await;
    for _ in 0..3 {
        let new = start().await;
        soon("the new one's yes", async {
            while !new.call("ready").await.starts_with("200 ") {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert!(old.call("ready").await.starts_with("200 "), "both serve until the old one is told");
        some_more(served.load(Ordering::SeqCst)).await;
        old.term().await;
        assert!(old.end().await.success());
        some_more(served.load(Ordering::SeqCst)).await;
        assert_eq!(new.logged("handover: connection limits changed"), 2);
        assert_eq!(new.logged("role=Successor"), 1);
        assert_eq!(new.logged("role=Standalone"), 1, "it has the full limits once the old one has exited");
        old = new;
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        assert_eq!(client.await.expect("no panic"), Vec::<String>::new());
    }
    old.term().await;
    assert!(old.end().await.success());
}

/// A new process that fails before it has taken over has no effect, also at the old one's shutdown.
#[tokio::test]
async fn failed_successor_costs_nothing() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let folder = Folder::new();
    let mut config = operated(&directory, &[host("s", backend.address, "up")]);
    config["listen"] = json!(unshared_address().await.to_string());
    let start = |config: Value| start_in(&folder, config);
    let mut old = start(config.clone()).await;
    // It knows no server, so it never becomes ready, and the old one keeps the clients.
    let mut lame = config.clone();
    lame["known"] = json!({"seq": 1, "whole": true, "hosts": []});
    let mut new = start(lame).await;
    for _ in 0..50 {
        assert_eq!(old.get("/read").await.status(), 200, "the one that is not ready takes nobody");
    }
    new.child.kill().await.expect("it is ours");
    old.until_logged("role=Standalone").await;
    old.term().await;
    assert_eq!(old.get("/read").await.status(), 200, "what still connects has nobody else");
    assert!(old.end().await.success());
    // The address and the handover socket are free again.
    let mut next = start(config).await;
    assert_eq!(next.logged("handover: connection limits changed"), 0);
    assert_eq!(next.get("/read").await.status(), 200);
    next.term().await;
    assert!(next.end().await.success());
}

/// Guards against a process that dies while its successor is still starting and leaves a socket on which nobody accepts: requests stood
/// unread until the successor was ready.
#[tokio::test]
async fn starting_successor_answers_once_its_predecessor_has_died() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let folder = Folder::new();
    let mut config = operated(&directory, &[host("s", backend.address, "up")]);
    config["listen"] = json!(unshared_address().await.to_string());
    let mut old = start_in(&folder, config.clone()).await;
    old.ready().await;
    // It knows no server, so it never becomes ready.
    config["known"] = json!({"seq": 1, "whole": true, "hosts": []});
    let mut new = start_in(&folder, config).await;
    old.child.kill().await.expect("it is ours");
    assert_eq!(answer_in_time(old.address).await.status(), 429, "nothing was sent, so a retry is harmless");
    new.term().await;
    assert!(new.end().await.success());
}

/// Guards against requests that are sent on after their time because neither process accepted them, and their time was counted from when
/// the successor read them.
#[tokio::test]
async fn request_that_waited_for_either_process_is_not_forwarded_late() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let folder = Folder::new();
    let hosts = [host("s", backend.address, "up")];
    let mut config = operated(&directory, &hosts);
    config["listen"] = json!(unshared_address().await.to_string());
    let mut old = start_in(&folder, config.clone()).await;
    old.ready().await;
    // It is ready once discovery has a list for it.
    config["known"] = json!({"seq": 1, "whole": true, "hosts": []});
    let mut new = start_in(&folder, config).await;
    kill("-STOP", old.child.id().expect("it runs")).await;
    let (mut late, mut in_time) = (old.client().await, old.client().await);
    late.send(&request_as("late", "GET", "/read", "300m", "")).await;
    in_time.send(&request_as("in-time", "GET", "/read", "20000m", "")).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    directory.list(2, &hosts);
    assert_eq!(late.answer().await.status(), 429);
    assert_eq!(in_time.answer().await.status(), 200);
    assert!(backend.next().await.head.contains("in-time"));
    assert!(backend.seen.try_recv().is_err(), "it was sent on after its client's time");
    old.child.kill().await.expect("it is ours");
    new.term().await;
    assert!(new.end().await.success());
}

/// A process that shuts down and no longer accepts, with the configuration and the folder of its successors.
struct Draining {
    process: Agent,
    config: Value,
    folder: Folder,
    /// The connection of the request that keeps it from its exit.
    _hung: TcpStream,
    _parts: (Backend, Directory),
}

/// The request that its server never answers.
fn hung_request() -> String {
    request_as("hung", "POST", "/pay/hang", "2500m", "b")
}

impl Draining {
    async fn start() -> Self {
        let hanging = |message: &Message| match message.target().contains("hang") {
            true => Reply::Mute,
            false => Reply::Bytes(ok("x")),
        };
        let mut backend = Backend::start(hanging).await;
        let directory = Directory::start(Mood::Mute).await;
        let folder = Folder::new();
        let mut config = operated(&directory, &[host("s", backend.address, "up")]);
        config["listen"] = json!(unshared_address().await.to_string());
        let process = start_in(&folder, config.clone()).await;
        process.ready().await;
        let mut hung = TcpStream::connect(process.address).await.expect("it listens");
        hung.write_all(hung_request().as_bytes()).await.expect("it reads");
        while !backend.next().await.target().contains("hang") {}
        process.term().await;
        process.until_logged("no longer accepting connections").await;
        Draining { process, config, folder, _hung: hung, _parts: (backend, directory) }
    }

    async fn successor(&self, config: Value) -> Agent {
        start_in(&self.folder, config).await
    }

    fn assert_runs(&mut self) {
        let exited = self.process.child.try_wait().expect("it is ours");
        assert!(exited.is_none(), "it has ended: the test shows nothing");
    }
}

/// Guards against a process that no longer accepts and keeps a copy of its listening socket for a successor: connections stood unread
/// until its exit. Its successor knows its ids as before.
#[tokio::test]
async fn draining_process_refuses_connections_and_shares_its_claims() {
    let mut old = Draining::start().await;
    let refused = TcpStream::connect(old.process.address).await.expect_err("nobody accepts");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let mut new = old.successor(old.config.clone()).await;
    new.ready().await;
    assert_eq!(new.get("/read").await.status(), 200);
    assert_eq!(
        new.client().await.ask(&hung_request()).await.status(),
        409,
        "the old one may have executed it"
    );
    old.assert_runs();
    assert!(old.process.end().await.success());
    assert_eq!(new.get("/read").await.status(), 200);
    new.term().await;
    assert!(new.end().await.success());
}

/// Guards against a successor that leaves the clients to a process that no longer accepts them.
#[tokio::test]
async fn starting_successor_of_draining_process_answers() {
    let mut old = Draining::start().await;
    let mut lame = old.config.clone();
    lame["known"] = json!({"seq": 1, "whole": true, "hosts": []});
    let mut new = old.successor(lame).await;
    assert_eq!(
        answer_in_time(old.process.address).await.status(),
        429,
        "nothing was sent, so a retry is harmless"
    );
    old.assert_runs();
    new.term().await;
    assert!(new.end().await.success());
}
