//! The replacement of a process by another one at the same address.

mod console_config;

use console_config::operated;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

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
    let start = || {
        Agent::with(config.clone(), |command| {
            command.env("TMPDIR", folder.path());
        })
    };
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
    let start = |config: Value| {
        Agent::with(config, |command| {
            command.env("TMPDIR", folder.path());
        })
    };
    let mut old = start(config.clone()).await;
    // It knows no server, so it never becomes ready, and the old one keeps the clients.
    let mut lame = config.clone();
    lame["known"] = json!({"seq": 1, "whole": true, "hosts": []});
    let mut new = start(lame).await;
    for _ in 0..50 {
        assert_eq!(old.get("/read").await.status(), 200, "the one that is not ready takes nobody");
    }
    new.child.kill().await.expect("it is ours");
    soon("the end is known", async {
        while old.logged("role=Standalone") == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    })
    .await;
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
