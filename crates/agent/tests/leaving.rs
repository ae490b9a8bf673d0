//! Clients that disconnect at each stage of a request: before a retry, before a hedged request, within the bytes of an attempt.
//! Stand-ins hold their side until the agent has noticed the disconnect; a client that stays shows that the scenario works.

use serde_json::Value;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::{mpsc, Notify};

/// From this time after a disconnect on no attempt of its request may begin.
const AFTER_LEAVING: Duration = Duration::from_millis(100);

/// A request with this id.
fn named(id: &str, method: &str, path: &str, body: &str) -> String {
    request_as(id, method, path, "20000m", body)
}

/// Enough servers that the balancer can avoid one that has just rejected a request or is silent.
async fn several<S: Fn(&Message) -> Reply + Send + Sync + 'static>(script: impl Fn() -> S) -> Vec<Backend> {
    let mut servers = Vec::new();
    for _ in 0..12 {
        servers.push(Backend::start(script()).await);
    }
    servers
}

/// The list entries of all servers, up.
fn listed(servers: &[Backend]) -> Vec<Value> {
    servers.iter().enumerate().map(|(n, server)| host(&format!("s{n}"), server.address, "up")).collect()
}

/// Servers that hold the first attempt of each request until the test's word, and then say that it never ran; whoever gets
/// it next serves it.
struct Turning {
    servers: Vec<Backend>,
    held: mpsc::Receiver<String>,
    word: Arc<Notify>,
}

impl Turning {
    async fn start() -> Self {
        let (tell, held) = mpsc::channel(16);
        let word = Arc::new(Notify::new());
        let ids = Arc::new(Mutex::new(HashSet::new()));
        let script = || {
            let (tell, word, ids) = (tell.clone(), word.clone(), ids.clone());
            move |message: &Message| {
                let id = message.header("x-request-id").unwrap_or_default().to_owned();
                if !message.target().contains("/held") || !ids.lock().expect("it is whole").insert(id.clone())
                {
                    return Reply::Bytes(ok("x"));
                }
                let _ = tell.try_send(id);
                let busy = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
                Reply::When(word.clone(), busy)
            }
        };
        let servers = several(script).await;
        Turning { servers, held, word }
    }

    /// The requests that servers have got since the last look, by their ids.
    fn got(&mut self) -> Vec<String> {
        let mut got = Vec::new();
        for server in &mut self.servers {
            while let Ok(message) = server.seen.try_recv() {
                got.push(message.header("x-request-id").unwrap_or_default().to_owned());
            }
        }
        got
    }
}

/// An attempt is rejected after its client has disconnected: there is no retry, whatever the class. For a client that stays
/// there is one, with the same servers.
#[tokio::test]
async fn disconnected_client_gets_no_retry() {
    let mut turning = Turning::start().await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = listed(&turning.servers);
    let agent = Agent::with(patient_config(directory.address, &hosts), |_| {}).await;
    let baseline = Baseline::of(&agent);
    let mut ids = Vec::new();
    for round in 0..4 {
        for leaving in Leaving::ALL {
            for (method, path) in [("GET", "/read/held"), ("POST", "/save/held"), ("POST", "/pay/held")] {
                let id = format!("left-{round}-{leaving:?}-{path}");
                let mut client = agent.client().await;
                client.send(&named(&id, method, path, "")).await;
                assert_eq!(soon("an attempt", turning.held.recv()).await, Some(id.clone()));
                let half = client.leave(leaving).await;
                agent.until("svc.in_progress", |open| open == 0).await;
                turning.word.notify_one();
                ids.push(id);
                // Its answer was on its way before any of this one's.
                let stays = format!("stays-{round}-{leaving:?}-{path}");
                let mut client = agent.client().await;
                client.send(&named(&stays, method, path, "")).await;
                assert_eq!(soon("an attempt", turning.held.recv()).await, Some(stays.clone()));
                turning.word.notify_one();
                assert_eq!(client.answer().await.status(), 200);
                drop(half);
                let mut got = turning.got();
                got.sort();
                assert_eq!(got, [ids.last().expect("one").clone(), stays.clone(), stays], "once and twice");
            }
        }
    }
    let servers = turning.servers.iter().map(Backend::connections).sum();
    baseline.restored(&agent, &ids, servers).await;
}

/// No hedged request is sent when its client has disconnected. A later client that stays gets one.
#[tokio::test]
async fn disconnected_client_gets_no_hedge() {
    let (tell, mut came) = mpsc::channel(16);
    let word = Arc::new(Notify::new());
    let script = || {
        let (tell, word) = (tell.clone(), word.clone());
        move |message: &Message| match message.target().contains("/held") {
            true => {
                let _ = tell.try_send(message.header("x-request-id").unwrap_or_default().to_owned());
                Reply::When(word.clone(), ok("x"))
            }
            false => Reply::Bytes(ok("x")),
        }
    };
    let servers = several(script).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = listed(&servers);
    let folder = Folder::new();
    let route = "[[route]]\nname = \"r\"\nmatch = { class = \"read\" }\nsecond_copy_after = \"250ms\"\nsecond_copies_most = 1.0\nattempts = 2\n";
    let operator = folder.write("agent.toml", route);
    let agent = Agent::operated(patient_config(directory.address, &hosts), &operator).await;
    let baseline = Baseline::of(&agent);
    let mut ids = Vec::new();
    for (round, leaving) in Leaving::ALL.into_iter().cycle().take(12).enumerate() {
        let (left, stays) = (format!("left-{round}"), format!("stays-{round}"));
        let mut leaves = agent.client().await;
        leaves.send(&named(&left, "GET", "/read/held", "")).await;
        assert_eq!(soon("its attempt", came.recv()).await, Some(left.clone()));
        let half = leaves.leave(leaving).await;
        agent.until("svc.in_progress", |open| open == 0).await;
        let mut client = agent.client().await;
        client.send(&named(&stays, "GET", "/read/held", "")).await;
        // Its hedge is due after that of the other request would have been.
        for attempt in 0..2 {
            assert_eq!(soon("an attempt", came.recv()).await, Some(stays.clone()), "{leaving:?}: {attempt}");
        }
        let words = async {
            loop {
                // A server that has just reported the request may not wait yet.
                word.notify_waiters();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            answer = client.answer() => assert_eq!(answer.status(), 200),
            () = words => {}
        }
        drop(half);
        ids.push(left);
    }
    let held = servers.iter().map(Backend::connections).sum();
    baseline.restored(&agent, &ids, held).await;
}

/// The client disconnects when a server has received a part of the request: the rest is not written, and the connection ends.
#[tokio::test]
async fn partly_written_attempt_stops_on_disconnect() {
    let socket = TcpSocket::new_v4().expect("a socket");
    // The buffers of the kernels are smaller than the request.
    socket.set_recv_buffer_size(4 << 10).expect("an option");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(64).expect("a listener");
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("s", listener.local_addr().expect("an address"), "up")];
    let agent = Agent::with(patient_config(directory.address, &hosts), |_| {}).await;
    let body = "b".repeat(12 << 20);
    for leaving in Leaving::ALL {
        let id = format!("part-{leaving:?}");
        let text = named(&id, "POST", "/save/part", &body);
        let mut client = agent.client().await;
        // The client sends until it disconnects.
        let word = Arc::new(Notify::new());
        let leave = word.clone();
        let sending = tokio::spawn(async move {
            tokio::select! {
                _ = client.stream.write_all(text.as_bytes()) => panic!("the kernels hold all of it: nothing is shown"),
                () = leave.notified() => client,
            }
        });
        let (mut server, _) = soon("a connection", listener.accept()).await.expect("a connection");
        // The attempt has begun, and the server reads no more.
        let mut begin = vec![0; 1 << 10];
        soon("its begin", server.read_exact(&mut begin)).await.expect("its begin");
        assert!(String::from_utf8_lossy(&begin).contains(&id));
        word.notify_one();
        let half = sending.await.expect("no panic").leave(leaving).await;
        // The server reads on, and meets the end before the complete request.
        let mut got = begin.len();
        let mut rest = vec![0; 64 << 10];
        loop {
            match soon("the attempt's end", server.read(&mut rest)).await {
                Ok(0) | Err(_) => break,
                Ok(n) => got += n,
            }
        }
        assert!(got < body.len(), "{leaving:?}: {got} bytes are all of it");
        drop(half);
        agent.until("svc.in_progress", |open| open == 0).await;
        assert_eq!(agent.figure("svc.upstream_tries").await, 0, "{leaving:?}: it was written whole");
    }
}

/// A request with a streamed body of this length, of which so much is sent.
fn streamed(length: usize, sent: usize) -> String {
    let head = request("POST", "/save/left", "20000m", "");
    head.replace("Content-Length: 0", &format!("Content-Length: {length}")) + &"b".repeat(sent)
}

/// At the connection limit, clients that connect, send a request and disconnect are accepted long after their disconnect.
/// Nothing is sent for them, whether the request is short, has a body, or has more bytes behind it.
#[tokio::test]
async fn request_from_closed_backlog_connection_is_not_forwarded() {
    let mut texts = vec![
        request("GET", "/read/left", "20000m", ""),
        request("POST", "/save/left", "20000m", &"b".repeat(60_000)),
    ];
    texts.push(texts[0].clone() + &texts[1]);
    // More bytes behind it than the kernels buffer: its end arrives only as it is read.
    texts.push(texts[0].clone() + &"f".repeat(6 << 20));
    // A streamed body, incomplete and complete.
    texts.extend([streamed(100_000, 80_000), streamed(100_000, 100_000)]);
    assert_not_forwarded_from_backlog(&texts).await;
}

/// The end of the connection lies behind more of a body than the kernels buffer, so it shows only as the body is read.
#[tokio::test]
async fn request_from_closed_backlog_connection_with_body_beyond_the_kernels_is_not_forwarded() {
    assert_not_forwarded_from_backlog(&[streamed(BEYOND_THE_KERNELS, BEYOND_THE_KERNELS)]).await;
}

/// Guards against attempts for clients whose close lies behind bytes that the agent does not read while their requests wait.
#[tokio::test]
async fn client_that_closed_behind_unread_bytes_gets_no_attempt() {
    let mut server = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let listed = |health: &str| vec![host("s", server.address, health)];
    let (away, here) = (listed("draining"), listed("up"));
    let texts = [
        streamed(3 << 20, 3 << 20),
        streamed(BEYOND_THE_KERNELS, BEYOND_THE_KERNELS),
        // More than is read and dropped behind a request.
        request("GET", "/read/left", "20000m", "")
            + "\r\n"
            + &request("POST", "/save/next", "20000m", &"n".repeat(40 << 20)),
    ];
    for leaving in Leaving::ALL {
        let directory = Directory::start(Mood::Mute).await;
        directory.list(1, &away);
        let agent = Agent::with(patient_config(directory.address, &away), |_| {}).await;
        let mut half = Vec::new();
        for text in texts.iter().cycle().take(4 * texts.len()) {
            let text = text.replacen("X-Request-ID: ", &format!("X-Request-ID: {}-", half.len()), 1);
            let mut client = agent.client().await;
            // Bytes that the kernels do not take are not sent; the client disconnects nevertheless.
            let sending = client.stream.write_all(text.as_bytes());
            let _ = tokio::time::timeout(Duration::from_millis(200), sending).await;
            half.push(client.leave(leaving).await);
        }
        tokio::time::sleep(AFTER_LEAVING).await;
        directory.list(2, &here);
        for _ in 0..4 {
            let answer = agent.client().await.ask(&request("GET", "/read/stays", "20000m", "")).await;
            assert_eq!(answer.status(), 200, "{leaving:?}");
        }
        let (_, begun) = server.record();
        assert!(begun.iter().all(|path| path.contains("stays")), "{leaving:?}: begun: {begun:?}");
    }
}

/// The opposite: a client that stays is served, however long its body is and however slowly its server takes it.
#[tokio::test]
async fn client_that_stays_with_a_long_body_is_served() {
    let server = Backend::start(|m| Reply::Bytes(ok(&m.body.len().to_string()))).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", server.address, "up")]).await;
    agent.ready().await;
    for length in [600 << 10, 3 << 20, BEYOND_THE_KERNELS, 24 << 20] {
        for turn in 0..4 {
            let answer = agent.client().await.ask(&streamed(length, length)).await;
            assert_eq!((answer.status(), answer.body), (200, length.to_string().into_bytes()), "turn {turn}");
        }
    }
}

/// Bytes of a body that no loopback connection buffers.
const BEYOND_THE_KERNELS: usize = 8 << 20;

async fn assert_not_forwarded_from_backlog(texts: &[String]) {
    let mut server = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let listed = |health: &str| vec![host("s", server.address, health)];
    let (away, here) = (listed("draining"), listed("up"));
    for leaving in Leaving::ALL {
        let directory = Directory::start(Mood::Mute).await;
        directory.list(1, &away);
        let mut config = patient_config(directory.address, &away);
        // Twenty-eight client connections: half of what the reserve with an admin console leaves.
        config["limits"]["sockets"] = 94.into();
        let agent = Agent::with(config, |_| {}).await;
        let mut stay = Vec::new();
        for _ in 0..28 {
            let mut client = agent.client().await;
            client.send(&request("GET", "/read/stays", "20000m", "")).await;
            stay.push(client);
        }
        agent.until("svc.in_progress", |open| open == 28).await;
        let mut half = Vec::new();
        for text in texts.iter().cycle().take(30) {
            let mut client = agent.client().await;
            // Bytes that the kernels do not take are not sent; the client disconnects nevertheless.
            let sending = client.stream.write_all(text.as_bytes());
            let _ = tokio::time::timeout(Duration::from_millis(30), sending).await;
            half.push(client.leave(leaving).await);
        }
        tokio::time::sleep(AFTER_LEAVING).await;
        directory.list(2, &here);
        for mut client in stay {
            // Near the limit each response closes its connection, which makes capacity.
            assert_eq!(client.answer().await.status(), 200);
        }
        for _ in 0..3 {
            let answer = agent.client().await.ask(&request("GET", "/read/stays", "20000m", "")).await;
            assert_eq!(answer.status(), 200);
        }
        let (got, begun) = server.record();
        assert!(got.iter().all(|target| target == "/read/stays"), "{leaving:?}: {got:?}");
        assert!(begun.iter().all(|path| path.contains("stays")), "{leaving:?}: begun: {begun:?}");
        assert_eq!((got.len(), agent.figure("svc.upstream_tries").await), (31, 31), "{leaving:?}");
    }
}

/// Hundreds of clients disconnect during a stall, while a server comes up: after the stall the list may be read first, and
/// still no attempt begins for any of them.
#[tokio::test]
async fn burst_disconnected_during_stall_is_not_forwarded() {
    const BURST: usize = 300;
    let mut server = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let hosts = |health: &str| vec![host("s", server.address, health)];
    let (away, here) = (hosts("draining"), hosts("up"));
    for leaving in Leaving::ALL {
        for list_first in [true, false] {
            let directory = Directory::start(Mood::Mute).await;
            directory.list(1, &away);
            let agent = Agent::with(patient_config(directory.address, &away), |_| {}).await;
            let process = agent.child.id().expect("it runs");
            let mut clients = Vec::new();
            for number in 0..BURST {
                let mut client = agent.client().await;
                client.send(&named(&format!("left-{number}"), "GET", "/read/left", "")).await;
                clients.push(client);
            }
            agent.until("svc.in_progress", |open| open == BURST as u64).await;
            kill("-STOP", process).await;
            if list_first {
                directory.list(2, &here);
                // Its response is written before any client disconnects.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let mut half = Vec::new();
            for client in clients {
                half.push(client.leave(leaving).await);
            }
            directory.list(2, &here);
            tokio::time::sleep(AFTER_LEAVING).await;
            kill("-CONT", process).await;
            agent.ready().await;
            let answer = agent.client().await.ask(&named("stays", "GET", "/read/stays", "")).await;
            assert_eq!(answer.status(), 200, "{leaving:?}");
            agent.until("svc.in_progress", |open| open == 0).await;
            let (_, begun) = server.record();
            assert_eq!(begun, ["/read/stays stays"], "{leaving:?}, list first: {list_first}");
        }
    }
}

/// Guards against attempts for clients whose close lies behind unread bytes while their process is replaced by a new one.
#[tokio::test]
async fn client_that_closed_behind_unread_bytes_gets_no_attempt_over_an_upgrade() {
    let mut server = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let listed = |health: &str| vec![host("s", server.address, health)];
    let (away, here) = (listed("draining"), listed("up"));
    let directory = Directory::start(Mood::Mute).await;
    directory.list(1, &away);
    let folder = Folder::new();
    let mut config = patient_config(directory.address, &away);
    config["listen"] = unshared_address().await.to_string().into();
    let in_folder = |command: &mut tokio::process::Command| {
        command.env("TMPDIR", folder.path());
    };
    let old = Agent::with(config.clone(), in_folder).await;
    let mut kept = Vec::new();
    for number in 0..12 {
        let text = streamed(3 << 20, 3 << 20);
        let text = text.replacen("X-Request-ID: ", &format!("X-Request-ID: {number}-"), 1);
        let mut client = old.client().await;
        let sending = client.stream.write_all(text.as_bytes());
        let _ = tokio::time::timeout(Duration::from_millis(50), sending).await;
        kept.push(client.leave(Leaving::ALL[number % Leaving::ALL.len()]).await);
    }
    let new = Agent::with(config, in_folder).await;
    old.term().await;
    tokio::time::sleep(AFTER_LEAVING).await;
    directory.list(2, &here);
    new.ready().await;
    for _ in 0..4 {
        let answer = new.client().await.ask(&request("GET", "/read/stays", "20000m", "")).await;
        assert_eq!(answer.status(), 200);
    }
    let (_, begun) = server.record();
    assert!(begun.iter().all(|path| path.contains("stays")), "begun: {begun:?}");
}
