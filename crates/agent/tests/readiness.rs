//! Readiness after a start: at once with a list that names a backend, otherwise as soon as discovery answers.

use serde_json::{json, Value};
use std::time::{Duration, Instant};
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// A restarted process is ready within this time (the users' requirement).
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Whether `/ready` answers 200 now.
async fn is_ready(agent: &Agent) -> bool {
    agent.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await.status() == 200
}

#[tokio::test]
async fn process_with_known_backend_is_ready_without_discovery() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let hosts = [host("s", backend.address, "up")];
    let silent = Directory::start(Mood::Mute).await;
    let down = Directory::start(Mood::Down).await;
    for discovery in [silent.address, down.address, nobody().await] {
        let agent = Agent::start(discovery, &hosts).await;
        assert!(is_ready(&agent).await, "at once");
        assert_eq!(agent.get("/read").await.status(), 200);
    }
}

/// A process that knows no backend polls for the full snapshot: it does not watch, since a watch without an answer is
/// detected later. It is ready with the first answer.
#[tokio::test]
async fn process_without_backend_is_ready_with_first_list() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let up = [host("s", backend.address, "up")];
    let known: [Vec<Value>; 2] = [Vec::new(), vec![host("s", backend.address, "draining")]];
    for (mood, hosts) in
        [Mood::Mute, Mood::Down].into_iter().flat_map(|mood| known.clone().map(|k| (mood.clone(), k)))
    {
        let mut directory = Directory::start(mood).await;
        let agent = Agent::start(directory.address, &hosts).await;
        for _ in 0..2 {
            assert_eq!(directory.next_call().await, "/v1/endpoints");
        }
        assert!(!is_ready(&agent).await);
        // Of the version that it knows, with a backend that it does not.
        directory.list(1, &up);
        let answers = Instant::now();
        agent.ready().await;
        assert!(answers.elapsed() < READY_WITHIN, "{:?}", answers.elapsed());
        assert_eq!(agent.get("/read").await.status(), 200);
    }
}

/// Discovery refuses connections at the start and accepts them later.
#[tokio::test]
async fn process_without_backend_finds_late_discovery() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let address = unshared_address().await;
    let agent = Agent::start(address, &[]).await;
    // Some requests have failed meanwhile, and the back-off has grown.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!is_ready(&agent).await);
    let listener = TcpListener::bind(address).await.expect("the port is free");
    let answers = Instant::now();
    let list = json!({"seq": 1, "whole": true, "hosts": [host("s", backend.address, "up")]}).to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            while read_message(&mut stream, 0).await.is_some_and(|call| !call.target().contains("after=")) {
                let _ = stream.write_all(&ok(&list)).await;
            }
        }
    });
    agent.ready().await;
    assert!(answers.elapsed() < READY_WITHIN, "{:?}", answers.elapsed());
}

/// Many processes start at once, and discovery answers their requests one by one.
#[tokio::test]
async fn simultaneous_starts_become_ready_with_serial_discovery() {
    const PROCESSES: usize = 12;
    const ONE_CALL: Duration = Duration::from_millis(150);
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let list = ok(&json!({"seq": 1, "whole": true, "hosts": [host("s", backend.address, "up")]}).to_string());
    let (queue, mut calls) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let queue = queue.clone();
            tokio::spawn(async move {
                // After its answer it gets a watch, which lasts longer than this test.
                if read_message(&mut stream, 0).await.is_some() {
                    let _ = queue.send(stream);
                }
            });
        }
    });
    let mut held = Vec::new();
    let serving = tokio::spawn(async move {
        while let Some(mut stream) = calls.recv().await {
            tokio::time::sleep(ONE_CALL).await;
            let _ = stream.write_all(&list).await;
            held.push(stream);
        }
    });
    let mut agents = Vec::new();
    for _ in 0..PROCESSES {
        agents.push(Agent::start(address, &[]).await);
    }
    let started = Instant::now();
    for agent in &agents {
        agent.ready().await;
    }
    assert!(started.elapsed() < READY_WITHIN, "{:?}", started.elapsed());
    serving.abort();
}
