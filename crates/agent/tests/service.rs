//! The clients' side, the endpoint list, and the agent's start and shutdown.

use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

#[tokio::test]
async fn bad_requests_are_rejected_without_side_effects() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    let good = request("GET", "/read", "2000m", "");
    let bad = [
        (good.replace("/read", "/nowhere"), 404),
        (good.replace("Class: read", "Class: save"), 400),
        (good.replace("X-Priority-Class: read\r\n", ""), 400),
        (good.replace("acme", "nobody"), 400),
        (good.replace("X-Tenant-Id: acme\r\n", ""), 400),
        (good.replace("X-Request-ID: id", "X-Other: id"), 400),
        (good.replace("X-Timeout: 2000m\r\n", ""), 400),
        (good.replace("2000m", "soon"), 400),
        (good.replace("2000m", "-5m"), 400),
        (good.replace("2000m", "0m"), 400),
        (good.replace("2000m", "99999999999999999999999m"), 400),
        (request("POST", "/read", "2000m", ""), 405),
        (request("GET", "/save", "2000m", ""), 405),
        (request("POST", "/save", "2000m", "").replace("Idempotency-Key: k1\r\n", ""), 400),
        (request("POST", "/pay", "2000m", "").replace("Content-Length: 0", "Content-Length: 33554433"), 413),
        ("what is this\r\n\r\n".to_owned(), 400),
    ];
    for (bytes, status) in bad {
        assert_eq!(agent.client().await.ask(&bytes).await.status(), status, "{bytes}");
    }
    let largest = "b".repeat(64 << 10);
    assert_eq!(agent.client().await.ask(&request("POST", "/pay", "2000m", &largest)).await.status(), 200);
    assert_eq!(backend.next().await.body.len(), 64 << 10);
    assert!(backend.seen.try_recv().is_err(), "a bad request went on");
}

#[tokio::test]
async fn agent_is_ready_once_it_has_a_backend() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let mut directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[]).await;
    let answer = agent.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await;
    assert_eq!(answer.status(), 503);
    directory.next_call().await;
    directory.list(2, &[host("s", backend.address, "up")]);
    agent.ready().await;
    assert_eq!(agent.get("/read").await.status(), 200);
}

/// A watch continues from the version of its last answer, and a draining backend gets no new requests.
#[tokio::test]
async fn draining_backend_gets_no_new_requests() {
    let mut old = Backend::start(|_| Reply::Bytes(ok("old"))).await;
    let new = Backend::start(|_| Reply::Bytes(ok("new"))).await;
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let agent = Agent::start(directory.address, &[host("old", old.address, "up")]).await;
    assert!(directory.next_call().await.starts_with("/v1/endpoints?after=1&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"old");
    old.next().await;
    let told = Instant::now();
    directory
        .list(2, &[host("old", old.address, "draining"), host("new", new.address, "up"), json!({"host": 3})]);
    // The next watch shows that the list has been applied.
    assert!(directory.next_call().await.starts_with("/v1/endpoints?after=2&wait_ms="));
    for _ in 0..20 {
        assert_eq!(agent.get("/read").await.body, b"new");
    }
    assert!(old.seen.try_recv().is_err(), "sent to a draining backend");
    assert_eq!(soon("the idle connection's end", old.closed.recv()).await, Some(0));
    assert!(told.elapsed() < Duration::from_secs(6), "closed for the drain, not for its age of 7 s");
}

/// The same host at another address, or restarted, is another process: old connections are not reused.
#[tokio::test]
async fn new_address_or_process_opens_new_connections() {
    let mut first = Backend::start(|_| Reply::Bytes(ok("1"))).await;
    let mut second = Backend::start(|_| Reply::Bytes(ok("2"))).await;
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let agent = Agent::start(directory.address, &[host("s", first.address, "up")]).await;
    directory.next_call().await;
    assert_eq!(agent.get("/read").await.body, b"1");
    first.next().await;
    directory.list(2, &[host("s", second.address, "up")]);
    directory.next_call().await;
    assert_eq!(agent.get("/read").await.body, b"2");
    assert_eq!(second.next().await.connection, 0);
    let mut born = host("s", second.address, "up");
    born["born_ms"] = 1_700_000_000_000_u64.into();
    directory.list(3, &[born]);
    directory.next_call().await;
    assert_eq!(agent.get("/read").await.body, b"2");
    assert_eq!(second.next().await.connection, 1);
}

/// A discovery that answers with an error, and one that does not answer, are polled again.
#[tokio::test]
async fn failed_or_silent_discovery_is_polled_again() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let mut directory = Directory::start(Mood::Down).await;
    let agent = Agent::start(directory.address, &[]).await;
    directory.next_call().await;
    directory.next_call().await;
    directory.mood.send_replace(Mood::Mute);
    directory.next_call().await;
    // That request stays unanswered; only another one gets this.
    directory.list(2, &[host("s", backend.address, "up")]);
    directory.next_call().await;
    agent.ready().await;
    assert_eq!(agent.get("/read").await.status(), 200);
}

/// After SIGTERM: idle connections close, requests in flight are answered, late connections are accepted for a while, each
/// response announces the close, and the agent exits by itself.
#[tokio::test]
async fn planned_shutdown_loses_nothing() {
    let word = Arc::new(Notify::new());
    let gate = word.clone();
    let mut backend = Backend::start(move |m| match m.head.contains("/pay") {
        true => Reply::When(gate.clone(), ok("x")),
        false => Reply::Bytes(ok("x")),
    })
    .await;
    let directory = Directory::start(Mood::Mute).await;
    let mut agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    let mut idle = agent.client().await;
    assert_eq!(idle.ask(&request("GET", "/read", "2000m", "")).await.status(), 200);
    backend.next().await;
    let mut in_flight = agent.client().await;
    in_flight.send(&request("POST", "/pay", "2400m", "b")).await;
    backend.next().await;
    agent.term().await;
    idle.closed().await;
    let mut late = agent.client().await;
    let answer = late.ask(&request("GET", "/read", "2000m", "")).await;
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    late.closed().await;
    let mut late = agent.client().await;
    assert_eq!(late.ask("GET /ready HTTP/1.1\r\n\r\n").await.status(), 503);
    word.notify_one();
    let answer = in_flight.answer().await;
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(agent.end().await.success());
}

#[tokio::test]
async fn broken_configuration_exits_with_one_line() {
    for text in ["", "{}", "[1]", r#"{"settings":{"classes":[]},"discovery":"127.0.0.1:1"}"#] {
        let file = write_config(text);
        let output = soon("the end", command(&file).output()).await.expect("output");
        std::fs::remove_file(&file).expect("the file is there");
        assert!(!output.status.success());
        let log = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.starts_with("bellcroft: "), "{log}");
    }
}

/// Invalid settings end the start with exit code 2 and one line that names the key; at SIGHUP they are rejected and logged.
#[tokio::test]
async fn invalid_settings_end_start_and_are_rejected_at_reload() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let good = config(directory.address, &[host("s", backend.address, "up")]);
    let agent = Agent::with(good.clone(), |_| {}).await;
    // Null stands for an absent key.
    let changes: [(&str, &str, serde_json::Value); 12] = [
        ("/settings/classes/0/effect", "maybe", "maybe".into()),
        ("/settings/classes/1/dedupWindowMs", "dedup window", 0.into()),
        ("/settings/classes/1/dedupWindowMs", "dedup window", (-5).into()),
        ("/settings/parties/0/fraction", "fraction", 1.5.into()),
        ("/settings/classes/2/aimMs", "aim", 0.into()),
        ("/discovery", "PROXY_DISCOVERY", "nowhere".into()),
        ("/settings/limits/maxAttempts", "limits.maxAttempts is missing", serde_json::Value::Null),
        ("/settings/limits/connectTimeoutMs", "limits.connectTimeoutMs is missing", serde_json::Value::Null),
        ("/settings/limits/keepaliveMs", "limits.keepaliveMs is missing", serde_json::Value::Null),
        ("/settings/rules/askWithinMs", "rules.askWithinMs is missing", serde_json::Value::Null),
        (
            "/settings/rules/stopSendingWithinMs",
            "rules.stopSendingWithinMs is missing",
            serde_json::Value::Null,
        ),
        ("/settings/rules/stopSendingWithinMs", "rules.stopSendingWithinMs is -1", (-1).into()),
    ];
    for (refused, (place, named, value)) in (1..).zip(changes) {
        let mut bad = good.clone();
        *bad.pointer_mut(place).expect("it is there") = value;
        let file = write_config(&bad.to_string());
        let output = soon("the end", command(&file).output()).await.expect("output");
        std::fs::remove_file(&file).expect("the file is there");
        assert_eq!(output.status.code(), Some(2), "{place}");
        let log = String::from_utf8(output.stderr).expect("UTF-8");
        assert!(log.lines().count() == 1 && log.contains(named), "{place}: {log}");
        agent.replace(&bad.to_string());
        agent.hang_up().await;
        soon("a refusal", async {
            while agent.logged("configuration reload rejected") < refused {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        assert_eq!(agent.get("/read").await.status(), 200, "{place}");
    }
}

/// Without a free descriptor for another connection the agent continues, and serves again when there are some.
#[tokio::test]
async fn agent_survives_descriptor_exhaustion() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    // The configuration promises more than the process has.
    let config = config(directory.address, &[host("s", backend.address, "up")]).to_string();
    let file = write_config(&config);
    let mut child = tokio::process::Command::new("sh")
        .args(["-c", "ulimit -n 40; exec \"$0\"", env!("CARGO_BIN_EXE_bellcroft")])
        .env("PROXY_CONFIG", &file)
        .stderr(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program starts");
    let mut log = child.stderr.take().expect("its log");
    let mut text = Vec::new();
    let address: std::net::SocketAddr = soon("the start", async {
        loop {
            log.read_buf(&mut text).await.expect("a log");
            let line = String::from_utf8_lossy(&text);
            let complete = line.lines().filter(|_| line.contains('\n'));
            let mut addresses = complete.filter_map(|l| log_field(l, "listening for clients", "address"));
            if let Some(address) = addresses.next() {
                return address.parse().expect("an address");
            }
        }
    })
    .await;
    let mut crowd = Vec::new();
    for _ in 0..60 {
        crowd.push(tokio::net::TcpStream::connect(address).await.expect("a connection"));
    }
    // One accepted and one in the accept queue: the last has no descriptor in the agent.
    let mut last = Client { stream: crowd.pop().expect("a connection") };
    last.stream
        .write_all(request("GET", "/read", "60000m", "").as_bytes())
        .await
        .expect("the kernel takes it");
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(crowd);
    assert_eq!(last.answer().await.status(), 200);
    assert!(child.try_wait().expect("a status").is_none(), "it still runs");
    std::fs::remove_file(&file).expect("the file is there");
}

/// A killed agent restarts at the same address with its known list, and serves.
#[tokio::test]
async fn killed_agent_serves_again_at_its_address() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    let mut agent = Agent::with(config.clone(), |_| {}).await;
    // A connection that is open at the kill leaves its address in use for a while.
    let mut client = agent.client().await;
    assert_eq!(client.ask(&request("GET", "/read", "2000m", "")).await.status(), 200);
    agent.child.kill().await.expect("it is killed");
    config["listen"] = agent.address.to_string().into();
    let again = Agent::with(config, |_| {}).await;
    again.ready().await;
    assert_eq!(again.get("/read").await.status(), 200);
}

/// SIGHUP reloads the file: the discovery that it names now is polled for a full snapshot of any version, and requests are
/// undisturbed. `PROXY_DISCOVERY` is the start's and does not hide the file's.
#[tokio::test]
async fn reload_moves_to_new_discovery() {
    let word = Arc::new(Notify::new());
    let gate = word.clone();
    let mut old = Backend::start(move |m| match m.head.contains("/pay") {
        true => Reply::When(gate.clone(), ok("paid")),
        false => Reply::Bytes(ok("old")),
    })
    .await;
    let new = Backend::start(|_| Reply::Bytes(ok("new"))).await;
    let mut first = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let mut second = Directory::start(Mood::Mute).await;
    second.list(1, &[host("new", new.address, "up")]);
    let mut config = config(first.address, &[host("old", old.address, "up")]);
    config["known"]["seq"] = 50.into();
    let from = first.address.to_string();
    let mut agent = Agent::with(config.clone(), |c| {
        c.env("PROXY_DISCOVERY", from);
    })
    .await;
    first.next_call().await;
    let mut payer = agent.client().await;
    payer.send(&request("POST", "/pay", "60000m", "b")).await;
    old.next().await;
    // An unreadable file changes nothing, and neither it nor a quick second signal ends the agent.
    agent.replace("{ half a file");
    agent.hang_up().await;
    agent.hang_up().await;
    assert_eq!(agent.get("/read").await.body, b"old");
    config["discovery"] = second.address.to_string().into();
    agent.replace(&config.to_string());
    for _ in 0..3 {
        agent.hang_up().await;
    }
    assert_eq!(second.next_call().await, "/v1/endpoints", "the whole list");
    // The watch that follows shows that the list has been applied.
    soon("the new watch", async { while !second.next_call().await.contains("after=1&") {} }).await;
    assert_eq!(agent.get("/read").await.body, b"new");
    word.notify_one();
    assert_eq!(payer.answer().await.body, b"paid");
    agent.hang_up().await;
    agent.term().await;
    assert!(agent.end().await.success());
}

/// A backend's address that a new one gets: no connection to the old one is reused.
#[tokio::test]
async fn reused_address_opens_new_connections() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let agent = Agent::start(directory.address, &[host("s0", backend.address, "up")]).await;
    directory.next_call().await;
    for number in 0..4 {
        assert_eq!(agent.get("/read").await.status(), 200);
        assert_eq!(backend.next().await.connection, number);
        let seq = number as u64 + 2;
        let name = |n: usize| format!("s{n}");
        let hosts =
            [host(&name(number + 1), backend.address, "up"), host(&name(number), backend.address, "removed")];
        directory.mood.send_replace(Mood::List(json!({"seq": seq, "whole": false, "hosts": hosts})));
        directory.next_call().await;
    }
}
