//! A planned shutdown under load.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testbed::*;
use tokio::io::AsyncWriteExt;

/// A planned shutdown under traffic of realistic clients: they reuse connections, open new ones for a while, and resend what
/// crossed the close of an idle one. No request may be lost.
#[tokio::test]
async fn planned_shutdown_under_load_loses_nothing() {
    const MAX_ROUNDS: usize = 20;
    // The agent accepts for 650 ms after SIGTERM; on a busy machine too few requests may fall into that time, and the round
    // is repeated. No round may lose a request.
    for _ in 0..MAX_ROUNDS {
        if planned_shutdown_under_load().await >= ANSWERS_AFTER_SIGTERM {
            return;
        }
    }
    panic!("in none of {MAX_ROUNDS} rounds {ANSWERS_AFTER_SIGTERM} requests were answered after SIGTERM");
}

const CLIENTS: usize = 16;
const ANSWERS_AFTER_SIGTERM: usize = 10 * CLIENTS;
/// Clients open new connections for this long from just before SIGTERM on.
const CONNECT_WINDOW: Duration = Duration::from_millis(300);
/// A request that was written by then must be answered: the agent takes new connections for 650 ms after SIGTERM, which came
/// later than the moment that this counts from. A client that this machine held up past it has been promised nothing.
const SEND_WINDOW: Duration = Duration::from_millis(650);

/// Shuts an agent down under traffic; returns how many requests were answered after SIGTERM. Panics if one was lost.
async fn planned_shutdown_under_load() -> usize {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    let (told, end) = tokio::sync::watch::channel(None::<Instant>);
    let served = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (address, end, served) = (agent.address, end.clone(), served.clone());
        clients.push(tokio::spawn(async move {
            let mut kept: Option<tokio::net::TcpStream> = None;
            loop {
                let text = request("GET", "/read", "2000m", "");
                let within = |window: Duration| end.borrow().is_none_or(|at| at.elapsed() < window);
                let mut answer = None;
                if let Some(stream) = &mut kept {
                    let _ = stream.write_all(text.as_bytes()).await;
                    answer = soon("an answer or the end", read_message(stream, 0)).await;
                }
                if answer.is_none() {
                    // Checked only now: waiting for the end of a reused connection takes time.
                    if !within(CONNECT_WINDOW) {
                        return;
                    }
                    let connected = tokio::net::TcpStream::connect(address).await;
                    if connected.is_err() && !within(SEND_WINDOW) {
                        return;
                    }
                    let mut stream = connected.expect("still taken");
                    let _ = stream.write_all(text.as_bytes()).await;
                    let sent_in_time = within(SEND_WINDOW);
                    answer = soon("an answer", read_message(&mut stream, 0)).await;
                    if answer.is_none() && !sent_in_time {
                        return;
                    }
                    kept = Some(stream);
                }
                let answer = answer.expect("a request was lost");
                assert_eq!(answer.status(), 200);
                served.fetch_add(1, Ordering::SeqCst);
                if answer.header("connection") == Some("close") {
                    kept = None;
                }
            }
        }));
    }
    soon("traffic", async {
        while served.load(Ordering::SeqCst) < ANSWERS_AFTER_SIGTERM {
            tokio::task::yield_now().await;
        }
    })
    .await;
    // Before the signal: the agent's own time starts later, however long sending it takes.
    told.send_replace(Some(Instant::now()));
    agent.term().await;
    let before = served.load(Ordering::SeqCst);
    for client in clients {
        soon("a client's end", client).await.expect("nothing lost");
    }
    assert!(agent.end().await.success());
    served.load(Ordering::SeqCst) - before
}

/// Guards against a request that is read while the last samples are written, and lost with the exit.
#[tokio::test]
async fn request_during_the_last_remote_write_is_answered_or_not_read() {
    let backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let receiver = Receiver::start().await;
    receiver.taking.send_replace(Taking::Mute);
    let folder = Folder::new();
    let remote_write = format!("[remote_write]\nurl = \"{}\"\ninterval = \"100ms\"\n", receiver.url());
    let operator = folder.write("agent.toml", &remote_write);
    let config = config(directory.address, &[host("s", backend.address, "up")]);
    let mut agent = Agent::operated(config, &operator).await;
    agent.ready().await;
    // The agent closes connections that have been used; these have said nothing yet.
    let mut resting = Vec::new();
    for _ in 0..4 {
        resting.push(agent.client().await);
    }
    agent.term().await;
    agent.until_logged("no longer accepting connections").await;
    // Past the checks that end the wait for requests, and within the two seconds of the last write.
    tokio::time::sleep(Duration::from_millis(300)).await;
    for client in &mut resting {
        let _ = client.stream.write_all(request("POST", "/pay", "2000m", "b").as_bytes()).await;
    }
    let mut answers = 0;
    for client in &mut resting {
        let answer = soon("an answer or the end", read_message(&mut client.stream, 0)).await;
        answers += usize::from(answer.is_some());
    }
    assert!(agent.end().await.success());
    assert_eq!(agent.logged("request received"), answers, "requests that were read and had no answer");
    assert_eq!(agent.logged("violation"), 0);
}
