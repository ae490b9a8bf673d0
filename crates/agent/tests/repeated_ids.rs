//! Ids that come again: a request that cannot be executed any number of times is executed once under its id, whatever becomes of the
//! client that sent it first.

mod console_config;

use console_config::operated;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The times after which an id comes again.
const DELAYS: [Duration; 3] = [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(300)];

/// The paths of a keyed and of an unsafe class.
const PATHS: [&str; 2] = ["/save", "/pay"];

/// Servers that hold each request until the word.
async fn holding_servers() -> (Vec<Backend>, Vec<Value>, Arc<Notify>) {
    let word = Arc::new(Notify::new());
    let mut servers = Vec::new();
    for _ in 0..4 {
        let word = word.clone();
        servers.push(Backend::start(move |_| Reply::When(word.clone(), ok("x"))).await);
    }
    let listed = |(n, server): (usize, &Backend)| host(&format!("s{n}"), server.address, "up");
    let hosts = servers.iter().enumerate().map(listed).collect();
    (servers, hosts, word)
}

/// Waits until the servers have got a request, and gives the number that they have.
async fn got(servers: &mut [Backend], id: &str) -> usize {
    let mut count = 0;
    soon("a request at a server", async {
        loop {
            for server in &mut *servers {
                while let Ok(message) = server.seen.try_recv() {
                    count += usize::from(message.header("x-request-id") == Some(id));
                }
            }
            if count > 0 {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    count
}

/// Guards against a second execution under the id of a request whose client has left while it was being executed.
#[tokio::test]
async fn request_of_disconnected_client_is_not_executed_again_under_its_id() {
    let (mut servers, hosts, word) = holding_servers().await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::with(patient_config(directory.address, &hosts), |_| {}).await;
    agent.ready().await;
    for leaving in Leaving::ALL {
        for path in PATHS {
            for delay in DELAYS {
                let id = format!("{leaving:?}-{path}-{delay:?}");
                let text = request_as(&id, "POST", path, "20000m", "");
                let mut client = agent.client().await;
                client.send(&text).await;
                assert_eq!(got(&mut servers, &id).await, 1);
                let half = client.leave(leaving).await;
                agent.until("svc.in_progress", |open| open == 0).await;
                sleep(delay).await;
                let again = agent.client().await.ask(&text).await;
                assert_eq!(again.status(), 409, "{id}");
                // What is sent at all comes before another client's request has its answer.
                word.notify_waiters();
                let mut other = agent.client().await;
                other.send(&request_as(&format!("other-{id}"), "POST", path, "20000m", "")).await;
                got(&mut servers, &format!("other-{id}")).await;
                let seen = servers.iter_mut().map(|server| server.record().0.len()).sum::<usize>();
                assert_eq!(seen, 0, "{id}: it was sent again");
                word.notify_waiters();
                drop((half, other));
            }
        }
    }
}

/// The same for one that has been served; a request that can be executed any number of times may come again.
#[tokio::test]
async fn served_request_is_not_executed_again_under_its_id() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    agent.ready().await;
    for (method, path, again) in [("POST", "/pay", 409), ("POST", "/save", 409), ("GET", "/read", 200)] {
        let text = request_as(path, method, path, "2000m", "");
        for status in [200, again] {
            assert_eq!(agent.client().await.ask(&text).await.status(), status, "{path}");
        }
    }
}

/// The configuration of processes that replace each other at one address.
async fn upgrade_config(directory: &Directory, hosts: &[Value]) -> Value {
    let mut config = operated(directory, hosts);
    config["listen"] = json!(unshared_address().await.to_string());
    config["settings"] = patient_config(directory.address, hosts)["settings"].clone();
    // Enough for all requests of a test.
    config["settings"]["parties"][0]["allowancePerS"] = 100_000.0.into();
    config
}

/// A process that accepts clients, beside those that were started before it in the same folder.
async fn ready_process(config: &Value, folder: &Folder) -> Agent {
    let process = Agent::with(config.clone(), |command| {
        command.env("TMPDIR", folder.path());
    })
    .await;
    soon("the process's yes", async {
        while !process.call("ready").await.starts_with("200 ") {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    process
}

/// Guards against a second execution by the other process of an upgrade, which the client reaches after it has left.
#[tokio::test]
async fn request_is_not_executed_again_by_the_other_process_of_an_upgrade() {
    let (mut servers, hosts, word) = holding_servers().await;
    let directory = Directory::start(Mood::Mute).await;
    let folder = Folder::new();
    let config = upgrade_config(&directory, &hosts).await;
    let old = ready_process(&config, &folder).await;
    // One is sent before the new process starts, the others while both serve, by either of them.
    let mut first = old.client().await;
    let early = request_as("early", "POST", "/pay", "20000m", "");
    first.send(&early).await;
    assert_eq!(got(&mut servers, "early").await, 1);
    let new = ready_process(&config, &folder).await;
    drop(first);
    for _ in 0..8 {
        assert_eq!(new.client().await.ask(&early).await.status(), 409, "early, by whichever accepts");
    }
    for round in 0..16 {
        let id = format!("late-{round}");
        let text = request_as(&id, "POST", "/pay", "20000m", "");
        let mut client = new.client().await;
        client.send(&text).await;
        assert_eq!(got(&mut servers, &id).await, 1);
        drop(client);
        sleep(Duration::from_millis(20)).await;
        for _ in 0..4 {
            assert_eq!(new.client().await.ask(&text).await.status(), 409, "{id}");
        }
        word.notify_waiters();
    }
    let (by_old, by_new) = (old.figure("svc.upstream_tries").await, new.figure("svc.upstream_tries").await);
    assert_eq!(by_old + by_new, 17, "attempts of either");
    assert!(by_old > 1 && by_new > 0, "both took clients: {by_old} and {by_new}");
}

/// A way in which the requests of clients that have left come again.
#[derive(Debug, Clone, Copy)]
struct Repetition {
    /// How many come at once.
    copies: usize,
    /// How long after the first client has left.
    after: Duration,
}

const REPETITIONS: [Repetition; 4] = [
    Repetition { copies: 1, after: Duration::ZERO },
    Repetition { copies: 1, after: Duration::from_millis(20) },
    Repetition { copies: 3, after: Duration::ZERO },
    Repetition { copies: 3, after: Duration::from_millis(20) },
];
/// The ids for each way and each number of processes.
const IDS: u64 = 60;
/// The ids that servers execute at least when a process is killed; the others wait or are refused.
const HELD_IDS: usize = 8;

/// Sends a request whose client leaves up to 5 ms later, and then copies of it on new connections, whose clients leave too.
async fn send_repeatedly(address: SocketAddr, text: String, leave_after: Duration, repetition: Repetition) {
    let first = TcpStream::connect(address).await.expect("a connection");
    let mut clients = vec![first];
    clients[0].write_all(text.as_bytes()).await.expect("it reads");
    sleep(leave_after).await;
    clients.clear();
    sleep(repetition.after).await;
    for _ in 0..repetition.copies {
        clients.push(TcpStream::connect(address).await.expect("a connection"));
    }
    for client in &mut clients {
        client.write_all(text.as_bytes()).await.expect("it reads");
    }
    sleep(Duration::from_millis(100)).await;
}

/// Sends all repetitions to an address, and waits until they have ended.
async fn send_all_repetitions(address: SocketAddr) {
    for (way, repetition) in REPETITIONS.into_iter().enumerate() {
        let mut sending = Vec::new();
        for number in 0..IDS {
            let text = request_as(&format!("w{way}-{number}"), "POST", "/pay", "20000m", "");
            let leave_after = Duration::from_micros(500 + 4_500 * number / IDS);
            sending.push(tokio::spawn(send_repeatedly(address, text, leave_after, repetition)));
            sleep(Duration::from_millis(2)).await;
        }
        for sent in sending {
            sent.await.expect("it does not fail");
        }
    }
}

/// How often the servers have got each id.
fn executions(servers: &mut [Backend]) -> HashMap<String, usize> {
    let messages = servers.iter_mut().flat_map(|server| std::iter::from_fn(|| server.seen.try_recv().ok()));
    let mut executions = HashMap::new();
    for message in messages {
        *executions.entry(message.header("x-request-id").unwrap_or_default().to_owned()).or_default() += 1;
    }
    executions
}

/// Guards against a second execution under one id by any of the processes that several upgrades in a row leave serving, also when
/// copies of a request reach them in one moment.
#[tokio::test]
async fn request_is_executed_once_however_many_processes_serve() {
    let mut twice = Vec::new();
    for upgrades in 0..=3 {
        let (mut servers, hosts, word) = holding_servers().await;
        let directory = Directory::start(Mood::Mute).await;
        let folder = Folder::new();
        let config = upgrade_config(&directory, &hosts).await;
        let mut processes = Vec::new();
        for _ in 0..=upgrades {
            processes.push(ready_process(&config, &folder).await);
        }
        let release = tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                word.notify_waiters();
            }
        });
        send_all_repetitions(processes[0].address).await;
        release.abort();
        let executions = executions(&mut servers);
        assert!(
            executions.len() as u64 > 2 * IDS,
            "{upgrades} upgrades: {} ids at servers",
            executions.len()
        );
        let repeated = executions.values().filter(|count| **count > 1).count();
        if repeated > 0 {
            twice.push(format!("{upgrades} upgrades: {repeated} of {} ids executed twice", executions.len()));
        }
    }
    assert!(twice.is_empty(), "{twice:#?}");
}

/// Guards against a second execution by the process that is left when the other one of an upgrade is killed while servers execute its
/// requests.
#[tokio::test]
async fn request_is_not_executed_again_after_a_process_of_an_upgrade_was_killed() {
    for kills_old in [true, false] {
        let (mut servers, hosts, _word) = holding_servers().await;
        let directory = Directory::start(Mood::Mute).await;
        let folder = Folder::new();
        let config = upgrade_config(&directory, &hosts).await;
        let mut old = ready_process(&config, &folder).await;
        let mut new = ready_process(&config, &folder).await;
        let address = old.address;
        let texts: Vec<String> =
            (0..IDS).map(|n| request_as(&format!("killed-{n}"), "POST", "/pay", "20000m", "")).collect();
        let mut clients = Vec::new();
        for text in &texts {
            let mut client = TcpStream::connect(address).await.expect("a connection");
            client.write_all(text.as_bytes()).await.expect("it reads");
            clients.push(client);
        }
        let mut executed = HashMap::new();
        soon("requests at servers", async {
            while executed.len() < HELD_IDS {
                merge(&mut executed, executions(&mut servers));
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        let (killed, left) = if kills_old { (&mut old, &new) } else { (&mut new, &old) };
        killed.child.kill().await.expect("it runs");
        drop(clients);
        let mut again = Vec::new();
        for text in &texts {
            let mut client = left.client().await;
            client.send(text).await;
            again.push(client);
        }
        sleep(Duration::from_millis(300)).await;
        merge(&mut executed, executions(&mut servers));
        let twice = executed.values().filter(|count| **count > 1).count();
        assert_eq!(twice, 0, "of {} ids, the old process killed: {kills_old}", executed.len());
    }
}

fn merge(all: &mut HashMap<String, usize>, more: HashMap<String, usize>) {
    for (id, count) in more {
        *all.entry(id).or_default() += count;
    }
}
