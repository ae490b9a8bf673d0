//! Start, status and stop of an instance.

use super::harness::*;
use serde_json::json;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use testbed::*;
use tokio::net::TcpStream;

#[tokio::test]
async fn status_reports_phase_counts_servers_and_is_private() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    assert_eq!(daemon.status().await.1, Some(4), "nothing runs");
    let running = daemon.start().await;
    for _ in 0..3 {
        assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    }
    assert_eq!(running.ask(&request("POST", "/read", "5000m", "")).await.status(), 405);
    let (status, code) = daemon.status().await;
    assert_eq!(code, Some(0));
    assert_eq!((&status["phase"], &status["name"]), (&json!("ready"), &json!("n0")));
    assert_eq!(status["pid"].as_u64(), running.child.id().map(u64::from));
    let read = &status["requests"]["read"];
    assert_eq!((&read["taken"], &read["served"], &read["open"]), (&json!(3), &json!(3), &json!(0)));
    assert_eq!((&status["bad_requests"], &status["servers"]["up"]), (&json!(1), &json!(1)));
    for (name, mode) in [("", 0o700), ("status.json", 0o600), ("control.sock", 0o600), ("lock", 0o600)] {
        let about = std::fs::metadata(daemon.state.join(name)).expect("it is there");
        assert_eq!(about.permissions().mode() & 0o777, mode, "{name}");
    }
    running.signal("-TERM").await;
    let (code, log) = running.end().await;
    assert_eq!(code, Some(0));
    assert!(log.contains("final request totals") && log.contains(" requests={"), "{log}");
    assert_eq!(daemon.file()["phase"], "stopped");
    let (last, code) = daemon.status().await;
    assert_eq!((code, &last["last"]["phase"]), (Some(4), &json!("stopped")));
    assert!(!daemon.state.join("control.sock").exists());
}

/// A stop with a request in flight: its client gets the attempt's outcome, and no attempt is sent afterwards.
#[tokio::test]
async fn stop_with_request_in_flight_returns_its_outcome() {
    let (mut backend, word) = Backend::held("logged").await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    // One attempt, whose outcome the test delays.
    config["settings"]["limits"]["secondCopies"] = false.into();
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadlineMs"] = 60_000.into();
    }
    let daemon = Daemon::new(&config);
    let running = daemon.start().await;
    let mut client = Client { stream: TcpStream::connect(running.address).await.expect("a connection") };
    client.send(&request("POST", "/save/1", "60000m", "session")).await;
    backend.next().await;
    running.signal("-TERM").await;
    let status = daemon.until("draining", |s| s["phase"] == "draining").await;
    assert_eq!(status["requests"]["save"]["open"], 1);
    // Once it accepts no more connections, only the pending request keeps it from exiting.
    soon("the end of accepting", async {
        while TcpStream::connect(running.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    word.notify_one();
    assert_eq!(client.answer().await.body, b"logged");
    assert_eq!(running.end().await.0, Some(0));
    let counts = &daemon.file()["requests"]["save"];
    assert_eq!((&counts["taken"], &counts["served"]), (&json!(1), &json!(1)));
    assert!(backend.seen.try_recv().is_err(), "something went out after the answer");
}

/// The operator's limit may be shorter than the clients' deadlines: every request still gets a response.
#[tokio::test]
async fn stop_within_limit_answers_abandoned_requests() {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadlineMs"] = 60_000.into();
    }
    let daemon = Daemon::with(&config, "stop_within = \"200ms\"\n");
    let running = daemon.start().await;
    let mut client = Client { stream: TcpStream::connect(running.address).await.expect("a connection") };
    client.send(&request("POST", "/pay/1", "60000m", "b")).await;
    backend.next().await;
    running.signal("-TERM").await;
    assert_eq!(client.answer().await.status(), 504);
    assert_eq!(running.end().await.0, Some(0));
    assert_eq!(daemon.file()["requests"]["pay"]["failed"], 1);
}

/// A stop during the start shuts the instance down as any other.
#[tokio::test]
async fn stop_during_start_exits() {
    let directory = Directory::start(Mood::Mute).await;
    let daemon = Daemon::new(&config(directory.address, &[]));
    let running = daemon.start().await;
    assert_eq!(daemon.status().await.0["phase"], "starting");
    assert!(daemon.status().await.0["problems"].to_string().contains("no server is up"));
    running.signal("-TERM").await;
    assert_eq!(running.end().await.0, Some(0));
    assert_eq!(daemon.file()["phase"], "stopped");
}
