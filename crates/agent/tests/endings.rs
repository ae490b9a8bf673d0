//! What is still owed when something ends: a client that leaves. Stand-ins hold one side until the other event is known
//! to have happened; what servers and clients have seen decides.

use std::time::Duration;
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// From so long after its client's leaving no attempt begins for a request (the users' term).
const AFTER_LEAVING: Duration = Duration::from_millis(100);

/// The path of a request whose body is more than the agent and both kernels hold while nobody reads it: the end of its stream
/// can't reach the agent before an attempt reads on.
const BEYOND_THE_KERNELS: &str = "/save/long";

/// Settings that say that lists are pushed: over sockets nothing comes by itself, so the agent asks, also after a silence,
/// and whatever number a discovery that has begun anew gives its list.
#[tokio::test]
async fn a_list_that_is_pushed_is_followed_and_again_after_a_silence() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let mut directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "draining")]);
    config["settings"]["discovery"] = "pushed".into();
    let agent = Agent::with(config, |_| {}).await;
    for seq in [7, 3] {
        // Each of these calls was made while it says nothing.
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

/// Clients whose request waits for a server leave, with bytes behind their request up to every limit of what is read
/// ahead, so that the end of their stream lies behind what nobody reads. A server comes up when the time is over: only
/// those who are still there get it, and for the others no attempt begins: not one byte of it goes out.
#[tokio::test]
async fn a_client_that_leaves_while_its_request_waits_is_not_sent_on() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let hosts = |health: &str| vec![host("s", backend.address, health)];
    let (away, here) = (hosts("draining"), hosts("up"));
    for leaving in Leaving::ALL {
        let directory = Directory::start(Mood::Mute).await;
        // Its watch waits, so that the server comes up as soon as the list says so.
        directory.list(1, &away);
        let agent = Agent::with(patient_config(directory.address, &away), |_| {}).await;
        let baseline = Baseline::of(&agent);
        let whole = || request("GET", "/read/left", "20000m", "");
        let coming = |path: &str, length: usize, sent: usize| {
            let head = request("POST", path, "20000m", "");
            head.replace("Content-Length: 0", &format!("Content-Length: {length}")) + &"b".repeat(sent)
        };
        let next = request("POST", "/save/left", "20000m", &"n".repeat(60_000));
        let behind = |bytes: usize| whole() + &next.chars().cycle().take(bytes).collect::<String>();
        let floods = [0, 1, next.len(), (16 << 10) - 1, 16 << 10, (16 << 10) + 1, 64 << 10, 1 << 20];
        let mut texts: Vec<String> = floods.map(behind).to_vec();
        texts.extend(
            [(300_000, 100_000), (100_000, 99_999), (100_000, 100_000)]
                .map(|(length, sent)| coming("/save/left", length, sent)),
        );
        texts.extend([299_999, 300_000].map(|sent| coming(BEYOND_THE_KERNELS, 300_000, sent)));
        let (mut left, mut ids) = (Vec::new(), Vec::new());
        for text in texts.iter().cycle().take(6 * texts.len()) {
            // An id of its own for each, and the same bytes else.
            let text = text.replacen("X-Request-ID: ", &format!("X-Request-ID: {}-", left.len()), 1);
            let id = text.split("X-Request-ID: ").nth(1).and_then(|rest| rest.lines().next());
            ids.push(id.expect("its id").to_owned());
            let mut client = agent.client().await;
            // What the kernel does not take is not sent: the client leaves all the same.
            let _ = tokio::time::timeout(Duration::from_millis(30), client.stream.write_all(text.as_bytes()))
                .await;
            left.push(client);
        }
        agent.until("svc.in_progress", |open| open >= left.len() as u64).await;
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
        let (complete, mut begun) = backend.record();
        assert_eq!(complete, ["/read/sentinel"; 4], "{leaving:?}: sent on for those who had left");
        begun.retain(|path| !path.contains(BEYOND_THE_KERNELS));
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

/// An answer of unknown length that trickles and never ends is cut when its request's time is over: its client can tell,
/// and the connection that it came over is not used again.
#[tokio::test]
async fn an_answer_that_trickles_ends_with_its_request_s_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("s", listener.local_addr().expect("an address"), "up")];
    let mut config = config(directory.address, &hosts);
    config["console"] = "127.0.0.1:0".into();
    let agent = Agent::with(config, |_| {}).await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "1500m", "b")).await;
    let (mut backend, _) = soon("a connection", listener.accept()).await.expect("a connection");
    soon("the request", read_message(&mut backend, 0)).await.expect("a request");
    let trickle = tokio::spawn(async move {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        backend.write_all(head).await.expect("it reads");
        // It goes on for as long as it is let.
        while backend.write_all(b"1\r\nx\r\n").await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    let mut answer = Vec::new();
    // However its end is worded by the kernel: no last chunk has come.
    let _ = soon("the answer's end", client.stream.read_to_end(&mut answer)).await;
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

/// Requests whose clients leave while decisions wait for a list leave nothing behind: what is counted as in flight at their
/// server would keep all others from it.
#[tokio::test]
async fn what_ends_while_decisions_wait_holds_no_place() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let mut other = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    // As many as there are instances on the roster: with fewer an instance would not go by what a server holds.
    let hosts = [host("s", backend.address, "up"), host("t", other.address, "up")];
    let config = patient_config(directory.address, &hosts);
    let folder = Folder::new();
    let text =
        "[membership]\ncluster = \"testbed\"\nlisten = \"127.0.0.1:0\"\nnumber = 0\npeers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
    let operator = folder.write("agent.toml", text);
    let agent = Agent::operated(config, &operator).await;
    let id = agent.child.id().expect("it runs");
    // On a busy machine the wait may be over before they have left; then nothing was shown, and it is done again.
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
        // So long that it knows, on waking, that it stood still.
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

/// Asks as those who are still there do, and what it is told.
async fn sentinel(agent: &Agent) -> u16 {
    agent.client().await.ask(&request("GET", "/read/sentinel", "20000m", "")).await.status()
}

/// The end waits for what is open by the deadlines of the settings that hold when it is told to end, not of those that it
/// started with.
#[tokio::test]
async fn an_end_waits_by_the_deadlines_of_the_present_settings() {
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
    // Past the moment of accepting and the former deadline.
    sleep(Duration::from_millis(1_500)).await;
    word.notify_one();
    assert_eq!(client.answer().await.status(), 200);
    assert!(agent.end().await.success());
    assert!(backend.seen.try_recv().is_err(), "sent twice");
}

/// A second word to end, and a word to read the files again, change nothing for what is in flight while an instance ends.
#[tokio::test]
async fn a_second_word_to_end_and_a_reload_change_nothing_at_the_end() {
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
    // The first word has been heard: what is idle has been closed for it.
    idle.closed().await;
    agent.term().await;
    agent.hang_up().await;
    // It still takes who comes, and says that it is not ready: the two have not ended it.
    assert_eq!(agent.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await.status(), 503);
    word.notify_one();
    assert_eq!(client.answer().await.status(), 200);
    assert!(agent.end().await.success());
    assert_eq!(agent.logged("configuration reloaded"), 0, "it was read again");
    assert!(backend.seen.try_recv().is_err(), "sent twice");
}
