//! Who accepts at the listening sockets of a fleet, and what two processes of one instance share while one replaces the other.

use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The time after its deadline from which a request without an answer is lost, with the platform's allowance for sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);

/// A fleet of one instance, and the server that it sends to.
struct Site {
    fleet: Fleet,
    world: World,
    directory: Directory,
    server: Backend,
    address: SocketAddr,
}

impl Site {
    /// Starts a fleet whose server replies like this; `more` goes into the fleet's file.
    async fn start(more: &str, script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let server = Backend::start(script).await;
        let world = World::start(1, &Plan::default()).await;
        let directory = Directory::start(Mood::Mute).await;
        let mut fleet = Fleet::new(&world, 1, more);
        let config = config(directory.address, &[host("s", server.address, "up")]);
        fleet.folder.write("desk-0.json", &config.to_string());
        fleet.run();
        let address = fleet.ready().await[0];
        Site { fleet, world, directory, server, address }
    }

    /// Gives the next process a list of these servers.
    fn give_list(&self, hosts: Value) {
        let file = self.fleet.folder.path().join("desk-0.json");
        let present = std::fs::read_to_string(&file).expect("a file");
        let mut config: Value = serde_json::from_str(&present).expect("JSON");
        config["known"]["hosts"] = hosts;
        std::fs::write(&file, config.to_string()).expect("a file");
    }

    async fn pid(&self) -> u32 {
        self.fleet.pids().await["desk-0"]
    }

    /// The processes of the instance that run, by their number in the log and the kernel's record.
    fn starts(&self) -> usize {
        let log = std::fs::read_to_string(self.fleet.dir("desk-0").join("log")).unwrap_or_default();
        log.matches("listening for clients").count()
    }
}

/// Hangs for paths that say so, and serves all others.
fn hanging(message: &Message) -> Reply {
    if message.target().contains("hang") {
        Reply::Mute
    } else {
        Reply::Bytes(ok("x"))
    }
}

/// What became of a request on a connection of its own.
#[derive(Debug, Clone, PartialEq)]
enum Outcome {
    Answered(u16),
    /// The connection was refused, so that nobody took the request.
    Refused,
    /// The connection ended before an answer; the reason.
    Ended(String),
    /// Neither an answer nor the connection's end came within this time.
    Unanswered(Duration),
}

async fn ask(address: SocketAddr, request: String, wait: Duration) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(address).await else { return Outcome::Refused };
    let sent = Instant::now();
    if let Err(error) = stream.write_all(request.as_bytes()).await {
        return Outcome::Ended(error.to_string());
    }
    match timeout(wait + LOST_AFTER, read_message(&mut stream, 0)).await {
        Ok(Some(answer)) => Outcome::Answered(answer.status()),
        Ok(None) => Outcome::Ended(format!("after {:?}", sent.elapsed())),
        Err(_) => Outcome::Unanswered(sent.elapsed()),
    }
}

/// Sends a request every 20 ms, each on a new connection, until it is told to stop; the outcomes with their times.
async fn ask_until(address: SocketAddr, stop: impl Future<Output = ()>) -> Vec<(Instant, Outcome)> {
    const WAIT: Duration = Duration::from_millis(400);
    let mut asking = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    for number in 0.. {
        let text = request_as(&format!("steady-{number}"), "GET", "/read", "400m", "");
        asking.spawn(async move { (Instant::now(), ask(address, text, WAIT).await) });
        if timeout(Duration::from_millis(20), &mut stop).await.is_ok() {
            break;
        }
    }
    asking.join_all().await
}

fn lost(outcomes: &[(Instant, Outcome)]) -> Vec<&Outcome> {
    let is_lost = |outcome: &&Outcome| matches!(outcome, Outcome::Ended(_) | Outcome::Unanswered(_));
    outcomes.iter().map(|(_, outcome)| outcome).filter(is_lost).collect()
}

/// As [`lost`], without the connections that end with a process that is killed while it holds them.
fn unanswered(outcomes: &[(Instant, Outcome)]) -> Vec<&Outcome> {
    let is_unanswered = |outcome: &&Outcome| matches!(outcome, Outcome::Unanswered(_));
    outcomes.iter().map(|(_, outcome)| outcome).filter(is_unanswered).collect()
}

/// Sends a request that its server never answers, and returns once the server has it.
async fn hang(site: &mut Site, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.address).await.expect("a connection");
    let text = request_as(id, "GET", "/read/hang", "2500m", "");
    stream.write_all(text.as_bytes()).await.expect("it reads");
    while !site.server.next().await.target().contains("hang") {}
    stream
}

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

/// Guards against a process that dies while its successor is still starting: nobody accepted until the successor was ready, or was given
/// up after `ready_within`.
#[tokio::test]
async fn death_while_the_successor_starts_leaves_no_request_unread() {
    let mut site = Site::start("ready_within = \"2s\"\n[restart]\nfirst = \"10ms\"", hanging).await;
    let before = site.pid().await;
    site.give_list(json!([]));
    let restarted = site.fleet.command("restart", &[]);
    let outcomes = ask_until(site.address, async {
        let killed = async {
            soon("the new one's start", async {
                while site.starts() < 2 {
                    sleep(Duration::from_millis(10)).await;
                }
            })
            .await;
            site.give_list(json!([host("s", site.server.address, "up")]));
            kill("-KILL", before).await;
            soon("its successor's place", async {
                while site.fleet.pids().await.get("desk-0").is_none_or(|pid| *pid == before) {
                    sleep(Duration::from_millis(10)).await;
                }
            })
            .await;
        };
        let (output, ()) = tokio::join!(restarted, killed);
        assert_eq!(output.status.code(), Some(1), "{}", String::from_utf8_lossy(&output.stderr));
        // The successor is given up; the next process reads the list.
        site.fleet.until("a process that is ready", |s| phases(s) == ["ready"]).await;
    })
    .await;
    assert!(unanswered(&outcomes).is_empty(), "{:?}", unanswered(&outcomes));
    let rejected = outcomes.iter().filter(|(_, outcome)| *outcome == Outcome::Answered(429)).count();
    assert!(rejected > 0, "the successor was ready at once: the test shows nothing");
    let _ = hang(&mut site, "last").await;
}

/// Guards against a replaced process that keeps copies of the listening socket while it drains: if its successor died too, connections
/// stood unread in a socket that the supervisor had closed.
#[tokio::test]
async fn death_while_the_predecessor_drains_leaves_no_request_unread() {
    let mut site = Site::start("[restart]\nfirst = \"700ms\"\nmost = \"700ms\"", hanging).await;
    let before = site.pid().await;
    let hung = hang(&mut site, "hung").await;
    let outcomes = ask_until(site.address, async {
        let killed = async {
            site.fleet.until("the new one", |s| instances(s)[0]["pid"] != before).await;
            kill("-KILL", site.pid().await).await;
            assert!(is_running(before), "nothing hung");
        };
        let (_, ()) = tokio::join!(site.fleet.command("restart", &[]), killed);
        site.fleet.until("a process that is ready", |s| phases(s) == ["ready"]).await;
    })
    .await;
    assert!(unanswered(&outcomes).is_empty(), "{:?}", unanswered(&outcomes));
    assert!(outcomes.iter().any(|(_, outcome)| *outcome == Outcome::Refused), "the test shows nothing");
    let _ = hang(&mut site, "last").await;
    drop(hung);
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

/// A process that has not taken over ends if its supervisor is killed: the next supervisor knows only the one that serves.
#[tokio::test]
async fn process_that_has_not_taken_over_ends_with_its_supervisor() {
    let mut site = Site::start("ready_within = \"20s\"", hanging).await;
    let before = site.pid().await;
    site.give_list(json!([]));
    let mut supervisor = site.fleet.supervisor.take().expect("it runs");
    let id = supervisor.id().expect("it runs");
    let killed = async {
        soon("the new one's start", async {
            while site.starts() < 2 {
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
        let other = child_of(id, before);
        supervisor.kill().await.expect("it runs");
        soon("its end", async {
            while is_running(other) {
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
    };
    let roll = site.fleet.command("restart", &[]);
    let (_, ()) = tokio::join!(roll, killed);
    site.give_list(json!([host("s", site.server.address, "up")]));
    site.fleet.run();
    site.fleet.ready().await;
    assert_eq!(site.pid().await, before);
    assert!(site.fleet.command("restart", &[]).await.status.success(), "{}", site.fleet.log());
    assert_ne!(site.pid().await, before);
    assert!(site.fleet.command("stop", &[]).await.status.success());
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

/// The child of the supervisor that is not this process.
fn child_besides(fleet: &Fleet, pid: u32) -> u32 {
    child_of(fleet.supervisor.as_ref().and_then(tokio::process::Child::id).expect("it runs"), pid)
}

fn child_of(supervisor: u32, pid: u32) -> u32 {
    let children = format!("/proc/{supervisor}/task/{supervisor}/children");
    let children = std::fs::read_to_string(children).expect("its children");
    let mut children = children.split_whitespace().map(|pid| pid.parse().expect("a number"));
    children.find(|child| *child != pid).expect("another child")
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

/// Guards against two processes that go on side by side because their supervisor was killed between the start of the new one and the
/// end of the old one.
#[tokio::test]
async fn supervisor_that_is_killed_in_a_roll_leaves_one_process() {
    let mut site = Site::start("", hanging).await;
    let before = site.pid().await;
    let hung = hang(&mut site, "hung").await;
    let mut supervisor = site.fleet.supervisor.take().expect("it runs");
    let killed = async {
        // The old process drains, and waits for what hangs.
        site.fleet.until("the new one", |s| instances(s)[0]["pid"] != before).await;
        supervisor.kill().await.expect("it runs");
    };
    let roll = site.fleet.command("restart", &[]);
    let (_, ()) = tokio::join!(roll, killed);
    let successor = site.pid().await;
    site.fleet.run();
    let outcomes = ask_until(site.address, async {
        site.fleet.ready().await;
        sleep(Duration::from_secs(4)).await;
    })
    .await;
    assert!(lost(&outcomes).is_empty(), "{:?}", lost(&outcomes));
    assert_eq!(site.pid().await, successor, "it is adopted");
    assert!(!is_running(before), "the old process goes on");
    assert_eq!(site.starts(), 2, "no third process");
    assert!(site.fleet.command("stop", &[]).await.status.success());
    drop((hung, site.directory, site.world));
}

/// Guards against a socket that stays open and unread while a stopped fleet waits for what hangs: from the end of accepting on,
/// connections are refused.
#[tokio::test]
async fn stopped_fleet_refuses_connections_instead_of_leaving_them_unread() {
    let mut site = Site::start("", hanging).await;
    let hung = hang(&mut site, "hung").await;
    let outcomes = ask_until(site.address, async {
        assert!(site.fleet.command("stop", &[]).await.status.success());
    })
    .await;
    assert!(lost(&outcomes).is_empty(), "{:?}", lost(&outcomes));
    assert!(outcomes.iter().any(|(_, o)| *o == Outcome::Refused), "nothing hung: the test shows nothing");
    drop(hung);
}

/// Guards against the socket of a failed instance that takes connections for good: they are refused, until a roll starts it again.
#[tokio::test]
async fn failed_instance_refuses_connections() {
    let more = "ready_within = \"1s\"\n[restart]\nfirst = \"10ms\"\nmost = \"20ms\"\nlimit = 1";
    let mut site = Site::start(more, hanging).await;
    let file = site.fleet.folder.path().join("desk-0.json");
    let sound = std::fs::read_to_string(&file).expect("a file");
    std::fs::write(&file, "{").expect("a file");
    kill("-KILL", site.pid().await).await;
    site.fleet.until("its failure", |s| phases(s) == ["failed"]).await;
    let wait = Duration::from_millis(400);
    let text = || request("GET", "/read", "400m", "");
    assert_eq!(ask(site.address, text(), wait).await, Outcome::Refused);
    std::fs::write(&file, sound).expect("a file");
    assert!(site.fleet.command("restart", &[]).await.status.success(), "{}", site.fleet.log());
    assert_eq!(ask(site.address, text(), wait).await, Outcome::Answered(200));
    let _ = hang(&mut site, "last").await;
}
