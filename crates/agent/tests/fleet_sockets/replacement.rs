//! One process of an instance replaces another one in a rolling restart.

use crate::site::*;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// Guards against a rolling restart whose old process stops accepting while the new one waits for its exit: connections stood unread
/// for as long as a server hung.
#[tokio::test]
async fn rolling_restart_while_a_server_hangs_answers_every_new_connection() {
    let mut site = Site::start("", hanging).await;
    let before = site.pid().await;
    let hung = hang(&mut site, "hung").await;
    let begun = Instant::now();
    let outcomes = ask_until(site.address, async {
        let output = site.fleet.command("restart", &[]).await;
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    })
    .await;
    assert!(begun.elapsed() > Duration::from_secs(1), "nothing hung: the test shows nothing");
    assert_ne!(site.pid().await, before);
    let unserved: Vec<_> = outcomes.iter().filter(|(_, o)| *o != Outcome::Answered(200)).collect();
    assert!(unserved.is_empty(), "{} of {}: {unserved:?}", unserved.len(), outcomes.len());
    drop(hung);
}

/// Guards against a program that cannot serve and ends the one that does: the old process goes on, with its control socket, its status
/// and all places, and can be replaced by the next program.
#[tokio::test]
async fn process_that_never_gets_ready_leaves_the_old_one_serving() {
    let mut site = Site::start("ready_within = \"1s\"", hanging).await;
    let before = site.pid().await;
    site.give_list(json!([]));
    let outcomes = ask_until(site.address, async {
        let output = site.fleet.command("restart", &[]).await;
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("desk-0") && text.contains("did not become ready"), "{text}");
    })
    .await;
    assert!(outcomes.iter().all(|(_, o)| *o == Outcome::Answered(200)), "{outcomes:?}");
    assert_eq!(site.pid().await, before);
    // The status file is the old one's too.
    let status = std::fs::read_to_string(site.fleet.dir("desk-0").join("status.json")).expect("a status");
    assert_eq!(serde_json::from_str::<Value>(&status).expect("JSON")["pid"], before);
    site.give_list(json!([host("s", site.server.address, "up")]));
    site.fleet.until("the other's exit", |s| phases(s) == ["ready"]).await;
    let output = site.fleet.command("restart", &[]).await;
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_ne!(site.pid().await, before);
    let _ = hang(&mut site, "last").await;
}

/// Guards against a process that is killed after it has taken over: its predecessor is gone by then, or takes the place back.
#[tokio::test]
async fn process_that_is_killed_before_it_takes_over_changes_nothing() {
    let mut site = Site::start("ready_within = \"20s\"", hanging).await;
    let before = site.pid().await;
    site.give_list(json!([]));
    let killed = async {
        let log = site.fleet.dir("desk-0").join("log");
        let started =
            || std::fs::read_to_string(&log).unwrap_or_default().matches("listening for clients").count();
        soon("the new one's start", async {
            while started() < 2 {
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
        kill("-KILL", child_besides(&site.fleet, before)).await;
    };
    let restarted = site.fleet.command("restart", &[]);
    let (output, ()) = tokio::join!(restarted, killed);
    assert_eq!(output.status.code(), Some(1), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(site.pid().await, before);
    site.give_list(json!([host("s", site.server.address, "up")]));
    assert!(site.fleet.command("restart", &[]).await.status.success(), "{}", site.fleet.log());
    assert_ne!(site.pid().await, before);
    let _ = hang(&mut site, "last").await;
}

/// A process that is ready and serves nothing is ended, and its predecessor, which serves, takes the place back.
#[tokio::test]
async fn process_that_does_not_serve_gives_its_place_back() {
    let mut site = Site::start("", hanging).await;
    let before = site.pid().await;
    // It is ready with this list, and nobody listens there.
    site.give_list(json!([host("nobody", nobody().await, "up")]));
    let outcomes = ask_until(site.address, async {
        let output = site.fleet.command("restart", &[]).await;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(1) && text.contains("is ready and does not serve"), "{text}");
    })
    .await;
    assert!(lost(&outcomes).is_empty(), "{:?}", lost(&outcomes));
    soon("its return to the place", async {
        while site.fleet.pids().await.get("desk-0") != Some(&before) {
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    site.give_list(json!([host("s", site.server.address, "up")]));
    let replaced = async {
        // The other one may be draining yet; then the roll waits.
        assert!(site.fleet.command("restart", &[]).await.status.success(), "{}", site.fleet.log());
    };
    let outcomes = ask_until(site.address, replaced).await;
    assert!(lost(&outcomes).is_empty(), "{:?}", lost(&outcomes));
    assert_ne!(site.pid().await, before);
    let _ = hang(&mut site, "last").await;
}

/// A process that cannot be replaced while it runs, such as one of an earlier version, is ended first. Its clients are refused from
/// the end of accepting on, and none stands unread.
#[tokio::test]
async fn process_that_cannot_hand_over_is_ended_before_the_next_one_starts() {
    let mut site = Site::start("", hanging).await;
    let before = site.pid().await;
    std::fs::remove_file(site.fleet.dir("desk-0").join("handover.sock")).expect("its socket");
    let hung = hang(&mut site, "hung").await;
    let outcomes = ask_until(site.address, async {
        assert!(site.fleet.command("restart", &[]).await.status.success(), "{}", site.fleet.log());
    })
    .await;
    assert!(lost(&outcomes).is_empty(), "{:?}", lost(&outcomes));
    assert!(site.fleet.log().contains("ending it first"), "{}", site.fleet.log());
    assert_ne!(site.pid().await, before);
    drop(hung);
}

/// What has a fixed address of its own, membership and the console, is the new process's once the old one has exited.
#[tokio::test]
async fn fixed_addresses_pass_to_the_new_process() {
    let site = Site::start("", hanging).await;
    let (membership, console) = (nobody().await, nobody().await);
    let operator = format!(
        "[daemon]\nstatus_every = \"500ms\"\n\n[membership]\ncluster = \"testbed\"\nlisten = \"{membership}\"\n\
         number = 0\npeers = [\"127.0.0.1:1\"]\n"
    );
    let file = site.fleet.folder.path().join("desk-0.json");
    let mut config: Value =
        serde_json::from_str(&std::fs::read_to_string(&file).expect("a file")).expect("JSON");
    config["console"] = console.to_string().into();
    std::fs::write(&file, config.to_string()).expect("a file");
    site.fleet.folder.write("agent.toml", &operator);
    for _ in 0..2 {
        // The first one opens them, the second one takes them over.
        assert!(site.fleet.command("restart", &[]).await.status.success(), "{}", site.fleet.log());
        let members = soon("its membership", async {
            loop {
                let status = site.fleet.instance("desk-0").await.expect("it runs");
                if !status["membership"].is_null() && TcpStream::connect(console).await.is_ok() {
                    return status["membership"].clone();
                }
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
        assert_eq!(
            members["address"].as_str().or(members["listen"].as_str()),
            Some(&*membership.to_string()),
            "{members}"
        );
    }
}

/// Guards against an id that runs twice because the process that it comes to again does not know it: of both effects, before, during
/// and after a roll.
#[tokio::test]
async fn id_runs_once_over_a_rolling_restart() {
    let site = Site::start("", hanging).await;
    let wait = Duration::from_millis(2_500);
    let paid = |id: &str| ask(site.address, request_as(id, "POST", "/pay", "2500m", "b"), wait);
    assert_eq!(paid("before").await, Outcome::Answered(200));
    let roll = async {
        assert!(site.fleet.command("restart", &[]).await.status.success());
    };
    let during = async {
        let mut answers = Vec::new();
        for number in 0..40 {
            let id = format!("during-{}", number / 4);
            answers.push((id.clone(), paid(&id).await));
            sleep(Duration::from_millis(10)).await;
        }
        answers
    };
    let ((), during) = tokio::join!(roll, during);
    assert_eq!(paid("before").await, Outcome::Answered(409));
    for number in 0..10 {
        let id = format!("during-{number}");
        let served = during.iter().filter(|(of, answer)| *of == id && *answer == Outcome::Answered(200));
        assert_eq!(served.count(), 1, "{id}: {during:?}");
        assert_eq!(paid(&id).await, Outcome::Answered(409), "{id}");
    }
}

/// Guards against an id that runs twice, or a request that is lost, when new configurations come while a process is replaced: each
/// client leaves its first request early and comes again.
#[tokio::test]
async fn id_runs_once_over_a_rolling_restart_beside_reloads() {
    let mut site = Site::start("", hanging).await;
    for roll in 0..ROLLS {
        let (ended, stop) = oneshot::channel::<()>();
        let rolls = async {
            let restart = site.fleet.command("restart", &[]).await;
            assert!(restart.status.success(), "{restart:?}");
            drop(ended);
        };
        let reloads = async {
            let mut stop = std::pin::pin!(stop);
            let mut reloads = 0;
            while timeout(RELOAD_INTERVAL, &mut stop).await.is_err() {
                reloads += usize::from(site.fleet.command("reload", &[]).await.status.success());
            }
            reloads
        };
        let clients =
            (0..CLIENTS).map(|client| leave_and_return(site.address, format!("id-{roll}-{client}")));
        let clients: JoinSet<_> = clients.collect();
        let ((), reloads, outcomes) = tokio::join!(rolls, reloads, clients.join_all());
        assert!(reloads > 0, "no reload beside the roll");
        let lost = outcomes.iter().flatten().find(|outcome| !matches!(outcome, Outcome::Answered(200 | 409)));
        assert_eq!(lost, None, "roll {roll}");
    }
    let mut runs = HashMap::<String, usize>::new();
    while let Ok(request) = site.server.seen.try_recv() {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        *runs.entry(id).or_default() += 1;
    }
    assert_eq!(runs.len(), ROLLS * CLIENTS, "ids that ran");
    runs.retain(|_, runs| *runs > 1);
    assert_eq!(runs, HashMap::new(), "ids that ran more than once");
}

/// The pause between two reloads.
const RELOAD_INTERVAL: Duration = Duration::from_millis(10);
/// The rolls that follow one another.
const ROLLS: usize = 3;
/// The clients of each roll, which begin one after the other.
const CLIENTS: usize = 60;
/// The pause between the beginnings of two clients, and between two requests of one.
const CLIENT_INTERVAL: Duration = Duration::from_millis(15);

/// Sends a request, leaves at once, and sends it three more times under its id; the outcomes of these.
async fn leave_and_return(address: SocketAddr, id: String) -> Vec<Outcome> {
    let number: u64 = id.rsplit('-').next().and_then(|number| number.parse().ok()).expect("a number");
    sleep(CLIENT_INTERVAL * u32::try_from(number).expect("few clients")).await;
    let text = request_as(&id, "POST", "/pay", "2500m", "b");
    if let Ok(mut stream) = TcpStream::connect(address).await {
        let _ = stream.write_all(text.as_bytes()).await;
    }
    let mut outcomes = Vec::new();
    for _ in 0..3 {
        outcomes.push(ask(address, text.clone(), Duration::from_millis(2_500)).await);
        sleep(CLIENT_INTERVAL).await;
    }
    outcomes
}
