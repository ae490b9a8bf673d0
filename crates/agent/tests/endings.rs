//! The ends of requests: disconnects, deadlines and shutdown. Stand-ins hold one side until the other event is known to have
//! happened; verdicts come from the records of servers and clients.

use std::time::Duration;
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// From this time after a disconnect on no attempt of its request may begin.
const AFTER_LEAVING: Duration = Duration::from_millis(100);

/// The time after its due time from which an answer counts as lost.
const LATE_ANSWER: Duration = Duration::from_millis(500);

/// With pushed lists the agent watches over sockets, also after a silence, and whatever version a restarted discovery gives
/// its list.
#[tokio::test]
async fn pushed_list_is_watched_again_after_silence() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let mut directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "draining")]);
    config["settings"]["discovery"] = "pushed".into();
    let agent = Agent::with(config, |_| {}).await;
    for seq in [7, 3] {
        // Discovery does not respond to any of these calls.
        for _ in 0..3 {
            directory.next_call().await;
        }
        directory.list(seq, &[host("s", backend.address, "up")]);
        agent.ready().await;
        assert_eq!(agent.get("/read").await.status(), 200);
        directory.list(seq + 1, &[host("s", backend.address, "draining")]);
        let taken = format!("after={}&", seq + 1);
        while !directory.next_call().await.contains(&taken) {}
        assert_eq!(agent.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await.status(), 503);
        directory.mood.send_replace(Mood::Mute);
    }
}

/// Clients whose request waits for a server disconnect, with bytes behind their request up to every limit of reading ahead,
/// so that the end of their stream lies behind unread bytes. Then a server comes up: no byte of an attempt is sent for them.
#[tokio::test]
async fn waiting_request_of_disconnected_client_is_not_forwarded() {
    const ROUNDS: usize = 6;
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let hosts = |health: &str| vec![host("s", backend.address, health)];
    let (away, here) = (hosts("draining"), hosts("up"));
    for leaving in Leaving::ALL {
        let directory = Directory::start(Mood::Mute).await;
        // The watch is open, so that the server is up as soon as the list changes.
        directory.list(1, &away);
        let agent = Agent::with(patient_config(directory.address, &away), |_| {}).await;
        let baseline = Baseline::of(&agent);
        let whole = || request("GET", "/read/left", "20000m", "");
        let coming = |path: &str, length: usize, sent: usize| {
            let head = request("POST", path, "20000m", "");
            head.replace("Content-Length: 0", &format!("Content-Length: {length}")) + &"b".repeat(sent)
        };
        let next = || request("POST", "/save/left", "20000m", &"n".repeat(60_000));
        // An id is new with every request, also behind an open one.
        let flood: String = std::iter::repeat_with(next).take(18).collect();
        let behind = |bytes: usize| whole() + &flood[..bytes];
        let floods = [0, 1, next().len(), (16 << 10) - 1, 16 << 10, (16 << 10) + 1, 64 << 10, 1 << 20];
        let mut texts: Vec<String> = floods.map(behind).to_vec();
        texts.extend(
            [(900_000, 800_000), (900_000, 899_999), (100_000, 100_000)]
                .map(|(length, sent)| coming("/save/left", length, sent)),
        );
        texts.extend([299_999, 300_000].map(|sent| coming("/save/left", 300_000, sent)));
        // A body of up to half a MiB is received whole before its request waits for a server: these, and the one of 299,999 bytes.
        let waiting = texts.len() - 1;
        texts.extend(
            [(300_000, 100_000), (100_000, 99_999)].map(|(length, sent)| coming("/save/left", length, sent)),
        );
        let (mut left, mut ids) = (Vec::new(), Vec::new());
        for text in texts.iter().cycle().take(ROUNDS * texts.len()) {
            // Each request has its own id and otherwise the same bytes.
            let text = text.replacen("X-Request-ID: ", &format!("X-Request-ID: {}-", left.len()), 1);
            let id = text.split("X-Request-ID: ").nth(1).and_then(|rest| rest.lines().next());
            ids.push(id.expect("its id").to_owned());
            let mut client = agent.client().await;
            // Bytes that the kernel does not take are not sent; the client disconnects nevertheless.
            let _ = tokio::time::timeout(Duration::from_millis(30), client.stream.write_all(text.as_bytes()))
                .await;
            left.push(client);
        }
        agent.until("svc.in_progress", |open| open >= (ROUNDS * waiting) as u64).await;
        let mut kept = Vec::new();
        for client in left {
            kept.extend(client.leave(leaving).await);
        }
        sleep(AFTER_LEAVING).await;
        let mut stays = agent.client().await;
        stays.send(&request("GET", "/read/sentinel", "20000m", "")).await;
        directory.list(2, &here);
        assert_eq!(stays.answer().await.status(), 200, "{leaving:?}");
        for _ in 0..3 {
            assert_eq!(stays.ask(&request("GET", "/read/sentinel", "20000m", "")).await.status(), 200);
        }
        agent.until("svc.in_progress", |open| open == 0).await;
        let (complete, begun) = backend.record();
        assert_eq!(complete, ["/read/sentinel"; 4], "{leaving:?}: sent on for those who had left");
        assert!(
            begun.len() == 4 && begun.iter().all(|path| path.contains("sentinel")),
            "{leaving:?}: begun for those who had left: {begun:?}"
        );
        assert_eq!(agent.figure("svc.upstream_tries").await, 4, "attempts that were written whole");
        drop((kept, stays));
        baseline.restored(&agent, &ids, backend.connections()).await;
        backend.record();
    }
}

/// An endless trickling response of unknown length is cut off soon after its request's deadline: its client can tell, and the
/// server's connection is not reused.
#[tokio::test]
async fn trickling_response_ends_soon_after_the_request_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("s", listener.local_addr().expect("an address"), "up")];
    let mut config = config(directory.address, &hosts);
    config["console"] = "127.0.0.1:0".into();
    let agent = Agent::with(config, |_| {}).await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "1500m", "b")).await;
    let sent = tokio::time::Instant::now();
    let (mut backend, _) = soon("a connection", listener.accept()).await.expect("a connection");
    soon("the request", read_message(&mut backend, 0)).await.expect("a request");
    let trickle = tokio::spawn(async move {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        backend.write_all(head).await.expect("it reads");
        // It sends until the connection ends.
        while backend.write_all(b"1\r\nx\r\n").await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    let mut answer = Vec::new();
    // By a close or a reset: no last chunk has arrived.
    let _ = soon("the answer's end", client.stream.read_to_end(&mut answer)).await;
    let took = sent.elapsed();
    assert!(took < Duration::from_millis(1_500) + LATE_ANSWER, "{took:?}");
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains("1\r\nx\r\n"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "it passes for whole");
    soon("the connection's end", trickle).await.expect("no panic");
    assert_eq!(agent.figure("svc.in_progress").await, 0);
    let mut next = agent.client().await;
    next.send(&request("POST", "/pay", "1500m", "b")).await;
    let (mut fresh, _) = soon("a fresh connection", listener.accept()).await.expect("a connection");
    soon("the request", read_message(&mut fresh, 0)).await.expect("a request");
    fresh.write_all(&ok("x")).await.expect("it reads");
    assert_eq!(next.answer().await.status(), 200);
}

/// Requests whose clients disconnect while decisions are deferred leave no attempt in flight, which would count against the
/// capacity of their server.
#[tokio::test]
async fn disconnect_during_deferral_leaves_nothing_in_flight() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let mut other = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    // As many instances as the roster has: with fewer, an instance ignores the server's attempts in flight.
    let hosts = [host("s", backend.address, "up"), host("t", other.address, "up")];
    let config = patient_config(directory.address, &hosts);
    let folder = Folder::new();
    let text =
        "[membership]\ncluster = \"testbed\"\nlisten = \"127.0.0.1:0\"\nnumber = 0\npeers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
    let operator = folder.write("agent.toml", text);
    let agent = Agent::operated(config, &operator).await;
    let id = agent.child.id().expect("it runs");
    // On a busy machine the deferral may end before the disconnects; then the round shows nothing and is repeated.
    for round in 0.. {
        assert!(round < 10, "decisions never waited for as long as it takes to leave");
        kill("-STOP", id).await;
        let mut clients = Vec::new();
        for n in 0..60 {
            let mut client = agent.client().await;
            let text = request("GET", "/read/left", "20000m", "");
            client.send(&text.replacen("X-Request-ID: ", &format!("X-Request-ID: {n}-"), 1)).await;
            clients.push(client);
        }
        // Longer than the threshold of a stall.
        sleep(Duration::from_millis(1_300)).await;
        kill("-CONT", id).await;
        soon("they are taken", async {
            while agent.figure("svc.in_progress").await < 60 && backend.seen.is_empty() {
                tokio::task::yield_now().await;
            }
        })
        .await;
        drop(clients);
        assert_eq!(sentinel(&agent).await, 200);
        let seen = |backend: &mut Backend| -> Vec<Message> {
            std::iter::from_fn(|| backend.seen.try_recv().ok()).collect()
        };
        let mut seen = [seen(&mut backend), seen(&mut other)].concat();
        seen.retain(|message| !message.target().contains("sentinel"));
        if seen.is_empty() {
            break;
        }
    }
    assert!(agent.logged("stood still") >= 1, "decisions did not wait: the test shows nothing");
    assert_eq!(agent.figure("svc.in_progress").await, 0);
}

/// The status of a request whose client stays.
async fn sentinel(agent: &Agent) -> u16 {
    agent.client().await.ask(&request("GET", "/read/sentinel", "20000m", "")).await.status()
}

/// A shutdown waits for pending requests by the deadlines of the settings at its start, not of those at the process's start.
#[tokio::test]
async fn shutdown_waits_by_the_present_deadlines() {
    let (mut backend, word) = Backend::held("x").await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = patient_config(directory.address, &[host("s", backend.address, "up")]);
    let long = config.to_string();
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        (class["aimMs"], class["deadlineMs"]) = (100.into(), 200.into());
    }
    let mut agent = Agent::with(config, |_| {}).await;
    agent.replace(&long);
    agent.hang_up().await;
    agent.until("svc.loads", |loads| loads == 1).await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "20000m", "b")).await;
    backend.next().await;
    agent.term().await;
    // After the end of accepting and the former deadline.
    sleep(Duration::from_millis(1_500)).await;
    word.notify_one();
    assert_eq!(client.answer().await.status(), 200);
    assert!(agent.end().await.success());
    assert!(backend.seen.try_recv().is_err(), "sent twice");
}

/// A second SIGTERM and a SIGHUP during a shutdown change nothing for requests in flight.
#[tokio::test]
async fn second_signal_and_reload_during_shutdown_are_ignored() {
    let (mut backend, word) = Backend::held("x").await;
    let directory = Directory::start(Mood::Mute).await;
    let mut agent =
        Agent::with(patient_config(directory.address, &[host("s", backend.address, "up")]), |_| {}).await;
    let mut idle = agent.client().await;
    assert_eq!(idle.ask("GET /ready HTTP/1.1\r\n\r\n").await.status(), 200);
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "20000m", "b")).await;
    backend.next().await;
    agent.term().await;
    // The first signal has been handled: idle connections are closed.
    idle.closed().await;
    agent.term().await;
    agent.hang_up().await;
    // It still accepts, and is not ready: the second signals have not ended it.
    assert_eq!(agent.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await.status(), 503);
    word.notify_one();
    assert_eq!(client.answer().await.status(), 200);
    assert!(agent.end().await.success());
    assert_eq!(agent.logged("configuration reloaded"), 0, "it was read again");
    assert!(backend.seen.try_recv().is_err(), "sent twice");
}
