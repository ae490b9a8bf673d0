//! Reloads, control clients and `bellcroft check`.

use super::harness::*;
use serde_json::json;
use std::path::Path;
use testbed::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixStream;

/// Files that are malformed, truncated, unreadable or missing, and ones that need a restart are rejected without a change,
/// the status gives the reason, and a valid file is accepted after them.
#[tokio::test]
async fn reload_applies_everything_or_nothing() {
    let (_backend, _directory, config) = world().await;
    let mut second = Directory::start(Mood::Mute).await;
    let daemon = Daemon::new(&config);
    let running = daemon.start().await;
    let before = daemon.until("readiness", |s| s["phase"] == "ready").await["config"].clone();
    let good = std::fs::read_to_string(&daemon.operator).expect("it is there");
    let mut moved = config.clone();
    moved["discovery"] = second.address.to_string().into();
    let mut classes = moved.clone();
    classes["settings"]["classes"][0]["deadlineMs"] = 0.into();
    let broken = good.replace("50ms", "never") + "extra = 1\n";
    for (operator, config, why) in [
        (Some(good.as_str()), Some("{\"settings\":".to_owned()), "config.json:1"),
        (Some(good.as_str()), Some(classes.to_string()), "setting deadline is zero"),
        (Some(good.as_str()), None, "cannot read"),
        (Some(broken.as_str()), Some(moved.to_string()), "daemon.extra: is no known key"),
        (Some("[daemon\n"), Some(moved.to_string()), "agent.toml:1"),
        (None, Some(moved.to_string()), "cannot be read"),
    ] {
        for (file, text) in [(&daemon.operator, operator.map(str::to_owned)), (&daemon.config, config)] {
            match text {
                Some(text) => std::fs::write(file, text).expect("a file"),
                None => std::fs::remove_file(file).expect("it was there"),
            }
        }
        let told = daemon.ask(&json!({"command": "reload"})).await;
        assert!(told["error"].as_str().is_some_and(|e| e.contains(why)), "{why}: {told}");
        let now = &daemon.status().await.0["config"];
        assert_eq!((&now["digest"], &now["generation"]), (&before["digest"], &before["generation"]));
        assert!(now["refused"].as_str().is_some_and(|e| e.contains(why)), "{now}");
    }
    // Unreadable for root too: a folder in place of the file.
    std::fs::write(&daemon.operator, &good).expect("a file");
    std::fs::remove_file(&daemon.config).expect("it was there");
    std::fs::create_dir(&daemon.config).expect("a folder");
    let told = daemon.ask(&json!({"command": "reload"})).await;
    assert!(told["error"].as_str().is_some_and(|e| e.contains("cannot read")), "{told}");
    std::fs::remove_dir(&daemon.config).expect("it was there");
    assert!(second.calls.try_recv().is_err(), "a part of a bad reload was taken");
    std::fs::write(&daemon.operator, &good).expect("a file");
    std::fs::write(&daemon.config, moved.to_string()).expect("a file");
    assert_eq!(daemon.ask(&json!({"command": "reload"})).await, json!({"generation": 2}));
    second.next_call().await;
    // Ten reloads within a second, by signal and by command, and then a stop.
    for round in 0..10 {
        if round % 2 == 0 {
            running.signal("-HUP").await;
        } else {
            daemon.ask(&json!({"command": "reload"})).await;
        }
    }
    assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    let last = daemon.ask(&json!({"command": "reload"})).await["generation"].as_u64().expect("a number");
    assert!(last >= 8, "{last}");
    assert_eq!(daemon.ask(&json!({"command": "drain"})).await, json!({"draining": true}));
    assert_eq!(running.end().await.0, Some(0));
}

/// Control clients that send nothing, half a line, too much or nonsense block no other client.
#[tokio::test]
async fn silent_control_clients_block_no_other() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let running = daemon.start().await;
    let path = daemon.state.join("control.sock");
    let mut silent = UnixStream::connect(&path).await.expect("it listens");
    let mut half = UnixStream::connect(&path).await.expect("it listens");
    half.write_all(b"{\"command\":").await.expect("it reads");
    for text in ["no json\n".to_owned(), "{}\n".to_owned(), format!("{}\n", "x".repeat(10_000))] {
        let mut stream = UnixStream::connect(&path).await.expect("it listens");
        let _ = stream.write_all(text.as_bytes()).await;
        let mut answer = String::new();
        let _ = soon("an answer or the end", stream.read_to_string(&mut answer)).await;
        assert!(answer.is_empty() || answer.contains("error"), "{answer}");
    }
    assert_eq!(daemon.ask(&json!({"command": "status"})).await["phase"], "ready");
    for stream in [&mut silent, &mut half] {
        let mut rest = Vec::new();
        soon("its end", stream.read_to_end(&mut rest)).await.expect("it is closed");
        assert!(rest.is_empty());
    }
    running.signal("-TERM").await;
    assert_eq!(running.end().await.0, Some(0));
}

/// `check` reports all errors of both files, a line each with its location, or a summary if there are none.
#[tokio::test]
async fn check_reports_all_errors_and_exits_with_2() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let check = || bellcroft([Path::new("check"), Path::new("--operator"), &daemon.operator]);
    let output = check().output().await.expect("its output");
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("classes: read, save, pay"));
    std::fs::write(
        &daemon.operator,
        "[daemon]\nstat = \"x\"\nstatus_every = 1\n[instance]\nconfig = \"config.json\"\n",
    )
    .expect("a file");
    let output = check().output().await.expect("its output");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), text.lines().count()), (Some(2), 2), "{text}");
    assert!(
        text.contains("agent.toml:2: daemon.stat: ") && text.contains("agent.toml:3: daemon.status_every: ")
    );
    for wrong in [&["frobnicate"][..], &["status"], &["run", "--operator"]] {
        let output = bellcroft(wrong.iter()).output().await.expect("its output");
        assert_eq!(output.status.code(), Some(2), "{wrong:?}");
    }
}
