//! What is still owed when something ends: a client that leaves. Stand-ins hold one side until the other event is known
//! to have happened; what servers and clients have seen decides.

use rig::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

/// From so long after its client's leaving nothing new goes out for a request (the users' term).
const AFTER_LEAVING: Duration = Duration::from_millis(300);

/// How a client leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Leaving {
    /// It closes.
    Fin,
    /// It closes, and the kernel resets the connection.
    Reset,
    /// It closes its sending side alone; by the protocol's page a client that closes has gone away.
    Half,
}

/// A configuration with a second address, and with aims so long that what waits goes on waiting.
fn patient(directory: SocketAddr, hosts: &[Value]) -> Value {
    let mut config = config(directory, hosts);
    config["console"] = "127.0.0.1:0".into();
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        (class["aimMs"], class["deadlineMs"]) = (20_000.into(), 25_000.into());
    }
    config
}

/// Nothing is left of what was asked: no request is in progress, and the backend has seen these and no others.
async fn conserved(agent: &Agent, backend: &mut Backend, asked: u64) {
    soon("nothing in progress", async {
        while agent.figure("svc.in_progress").await > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let seen: Vec<String> = std::iter::from_fn(|| backend.seen.try_recv().ok())
        .map(|m| format!("{} {} {:?}", m.target(), m.body.len(), m.header("x-request-id")))
        .collect();
    assert!(
        seen.iter().all(|target| target.contains("sentinel")),
        "sent on for those who had left: {seen:?}"
    );
    assert_eq!(seen.len() as u64, asked);
    assert_eq!(agent.figure("svc.upstream_tries").await, asked, "attempts that were written whole");
}

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
/// those who are still there get it.
#[tokio::test]
async fn a_client_that_leaves_while_its_request_waits_is_not_sent_on() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let hosts = |health: &str| vec![host("s", backend.address, health)];
    let (away, here) = (hosts("draining"), hosts("up"));
    let mut asked = 0;
    for leaving in [Leaving::Fin, Leaving::Reset, Leaving::Half] {
        let directory = Directory::start(Mood::Mute).await;
        let agent = Agent::with(patient(directory.address, &away), |_| {}).await;
        let whole = || request("GET", "/read/left", "20000m", "");
        let coming = |sent: usize| {
            let head = request("POST", "/save/left", "20000m", "");
            head.replace("Content-Length: 0", "Content-Length: 300000") + &"b".repeat(sent)
        };
        let next = request("POST", "/save/left", "20000m", &"n".repeat(60_000));
        let behind = |bytes: usize| whole() + &next.chars().cycle().take(bytes).collect::<String>();
        let floods = [0, 1, next.len(), (16 << 10) - 1, 16 << 10, (16 << 10) + 1, 64 << 10, 1 << 20];
        let mut texts: Vec<String> = floods.map(behind).to_vec();
        texts.extend([coming(100_000), coming(299_999), coming(300_000)]);
        let mut left = Vec::new();
        for text in texts.iter().cycle().take(6 * texts.len()) {
            // An id of its own for each, and the same bytes else.
            let text = text.replacen("X-Request-ID: ", &format!("X-Request-ID: {}-", left.len()), 1);
            let mut client = agent.client().await;
            // What the kernel does not take is not sent: the client leaves all the same.
            let _ = tokio::time::timeout(Duration::from_millis(30), client.stream.write_all(text.as_bytes()))
                .await;
            left.push(client);
        }
        soon("all are taken", async {
            while agent.figure("svc.in_progress").await < left.len() as u64 {
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        let mut kept = Vec::new();
        for mut client in left {
            match leaving {
                Leaving::Fin => drop(client),
                Leaving::Reset => client.stream.set_zero_linger().expect("an option"),
                Leaving::Half => {
                    client.stream.shutdown().await.expect("it is open");
                    kept.push(client);
                }
            }
        }
        sleep(AFTER_LEAVING).await;
        let mut stays = agent.client().await;
        stays.send(&request("GET", "/read/sentinel", "20000m", "")).await;
        directory.list(2, &here);
        assert_eq!(stays.answer().await.status(), 200, "{leaving:?}");
        for _ in 0..3 {
            assert_eq!(stays.ask(&request("GET", "/read/sentinel", "20000m", "")).await.status(), 200);
        }
        asked += 4;
        conserved(&agent, &mut backend, 4).await;
    }
    assert_eq!(asked, 12);
}
