//! A client leaves at one moment of its request after another: before a retry, before a second copy, in the middle of the
//! bytes of an attempt. Stand-ins hold their side until the leaving is known to have been noticed; one who stays shows that
//! what must not happen for the others does happen for it.

use serde_json::Value;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::{mpsc, Notify};

/// From so long after its client's leaving no attempt begins for a request (the users' term).
const AFTER_LEAVING: Duration = Duration::from_millis(100);

/// A request with an id of the test's own.
fn named(id: &str, method: &str, path: &str, body: &str) -> String {
    request_as(id, method, path, "20000m", body)
}

/// So many servers, that decisions need not spare one that has just turned something away or says nothing.
async fn several<S: Fn(&Message) -> Reply + Send + Sync + 'static>(script: impl Fn() -> S) -> Vec<Backend> {
    let mut servers = Vec::new();
    for _ in 0..12 {
        servers.push(Backend::start(script()).await);
    }
    servers
}

/// All of them, up.
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

/// The attempt of a request is turned away only when its client has left: nothing is sent again, whatever the class. For
/// one that stays it is, over the same servers.
#[tokio::test]
async fn nothing_is_tried_again_for_a_client_that_has_left() {
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

/// A second copy is due, and its client has left: none goes out. One that stays, and asked later, gets its own.
#[tokio::test]
async fn no_second_copy_goes_out_for_a_client_that_has_left() {
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
        // Its copy is due after the other one's would have been.
        for attempt in 0..2 {
            assert_eq!(soon("an attempt", came.recv()).await, Some(stays.clone()), "{leaving:?}: {attempt}");
        }
        let words = async {
            loop {
                // A server that has just told is not waiting yet.
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

/// A server has taken a part of a request when its client leaves: the rest is not written, and the connection ends.
#[tokio::test]
async fn an_attempt_that_is_written_in_part_ends_there() {
    let socket = TcpSocket::new_v4().expect("a socket");
    // The kernels hold less than the request.
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
        // It goes on sending for as long as anybody takes it, until it leaves.
        let word = Arc::new(Notify::new());
        let leave = word.clone();
        let sending = tokio::spawn(async move {
            tokio::select! {
                _ = client.stream.write_all(text.as_bytes()) => panic!("the kernels hold all of it: nothing is shown"),
                () = leave.notified() => client,
            }
        });
        let (mut server, _) = soon("a connection", listener.accept()).await.expect("a connection");
        // It is under way, and the server takes no more.
        let mut begin = vec![0; 1 << 10];
        soon("its begin", server.read_exact(&mut begin)).await.expect("its begin");
        assert!(String::from_utf8_lossy(&begin).contains(&id));
        word.notify_one();
        let half = sending.await.expect("no panic").leave(leaving).await;
        // The server takes what there is, and meets the end before the whole of it.
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

/// All places are taken: whoever connects now, asks and leaves, is taken only when places are free again, long after it has
/// left. Nothing goes out for it, be its request short or with a body, alone or with more behind it.
#[tokio::test]
async fn who_asked_and_left_before_there_was_a_place_is_not_sent_on() {
    let mut server = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let listed = |health: &str| vec![host("s", server.address, health)];
    let (away, here) = (listed("draining"), listed("up"));
    let mut texts = vec![
        request("GET", "/read/left", "20000m", ""),
        request("POST", "/save/left", "20000m", &"b".repeat(60_000)),
    ];
    texts.push(texts[0].clone() + &texts[1]);
    // More behind it than the kernels hold: its end comes only while it is read.
    texts.push(texts[0].clone() + &"f".repeat(6 << 20));
    // A body that is passed on as it comes, complete and not.
    let long = |sent: usize| {
        let head = request("POST", "/save/left", "20000m", "");
        head.replace("Content-Length: 0", "Content-Length: 100000") + &"b".repeat(sent)
    };
    texts.extend([long(80_000), long(100_000)]);
    for leaving in Leaving::ALL {
        let directory = Directory::start(Mood::Mute).await;
        directory.list(1, &away);
        let mut config = patient_config(directory.address, &away);
        // Twenty-eight places for clients: half of what the reserve with a second address leaves.
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
            // What the kernels do not take is not sent: the client leaves all the same.
            let sending = client.stream.write_all(text.as_bytes());
            let _ = tokio::time::timeout(Duration::from_millis(30), sending).await;
            half.push(client.leave(leaving).await);
        }
        tokio::time::sleep(AFTER_LEAVING).await;
        directory.list(2, &here);
        for mut client in stay {
            // In a crowd each answer is the last on its connection, which frees the place.
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

/// Hundreds leave while the agent stands still, and the server that their requests wait for comes up meanwhile: when it goes
/// on, the list may be read first, and still no attempt begins for any of them.
#[tokio::test]
async fn a_burst_that_leaves_while_the_agent_stands_still_is_not_sent_on() {
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
                // Its answer is written before any client leaves.
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
