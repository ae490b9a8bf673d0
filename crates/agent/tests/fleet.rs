//! Fleets of the real program under the real supervisor, with steady traffic on every instance.

use serde_json::Value;
use std::collections::{BTreeMap, HashSet};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;
use testbed::*;

fn load(agents: Vec<std::net::SocketAddr>, rate: f64, seed: u64) -> Load {
    Load { agents, clients: 3, rate, seed, most: 10_000 }
}

/// The outcomes that the clients of an instance saw, by the names of its counters.
fn told(records: &[Record], instance: usize) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    for record in records.iter().filter(|r| r.instance == instance) {
        let word = match record.fate {
            Fate::Served => "served",
            Fate::Refused => "refused",
            Fate::Failed => "failed",
            Fate::Lost | Fate::Unanswered | Fate::NoConnection => "none",
        };
        *counts.entry(word).or_insert(0) += 1;
        *counts.entry("taken").or_insert(0) += 1;
    }
    counts
}

/// The sum of the counters of an instance's processes.
fn counted(totals: &[Value]) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    for class in totals.iter().flat_map(|t| t.as_object().expect("classes").values()) {
        for word in ["taken", "served", "refused", "failed", "left"] {
            let more = class[word].as_u64().expect("a count");
            if more > 0 {
                *counts.entry(word).or_insert(0) += more;
            }
        }
    }
    counts
}

fn assert_clean(world: &World, records: &[Record]) {
    assert_clean_but(world, records, None);
}

/// What an instance that was killed held may have been sent once more by its clients.
fn assert_clean_but(world: &World, records: &[Record], killed: Option<usize>) {
    let breaches = world.audit_but(records, |r| r.crossed && Some(r.instance) == killed);
    assert!(
        breaches.is_empty(),
        "{} breaches, the first: {:#?}",
        breaches.len(),
        &breaches[..breaches.len().min(5)]
    );
}

/// Fifty instances are started, reloaded, rolled and stopped under steady traffic on every one of them. Clients'
/// outcomes, servers' records and instances' counts agree to the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fifty_instances_reload_roll_and_stop_without_losses() {
    const INSTANCES: usize = 50;
    let world = World::start(6, &Plan::default()).await;
    let mut fleet =
        Fleet::new(&world, INSTANCES, "roll_at_once = 5\nready_within = \"60s\"\nprove_within = \"60s\"");
    fleet.run();
    let addresses = fleet.ready().await;
    let before = fleet.pids().await;
    assert_eq!(before.len(), INSTANCES);
    let traffic = Traffic::start(&load(addresses, 8.0, 11));
    traffic.more(3, INSTANCES).await;
    let output = fleet.command("reload", &[]).await;
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(String::from_utf8_lossy(&output.stdout).contains("50 of 50"));
    traffic.more(2, INSTANCES).await;
    let output = fleet.command("restart", &[]).await;
    assert!(output.status.success(), "{}\n{}", String::from_utf8_lossy(&output.stderr), fleet.log());
    traffic.more(3, INSTANCES).await;
    let after = fleet.pids().await;
    assert!(after.iter().all(|(name, pid)| before[name] != *pid), "an instance was left out");
    let records = traffic.finish().await;
    let output = fleet.command("stop", &[]).await;
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(fleet.pids().await.is_empty());

    assert_clean(&world, &records);
    let ends = fates(&records);
    for lost in [Fate::Lost, Fate::Unanswered, Fate::NoConnection] {
        assert_eq!(ends.get(&lost), None, "{ends:?}");
    }
    for (place, name) in fleet.names.iter().enumerate() {
        let totals = fleet.totals(name);
        assert_eq!(totals.len(), 2, "{name}: one process before the roll, one after it");
        assert_eq!(counted(&totals), told(&records, place), "{name}");
    }
}

/// The time after its deadline from which a request without an answer is lost.
const LATE: Duration = Duration::from_millis(500);
/// The time in which the death of a process is noticed.
const NOTICED_WITHIN: Duration = Duration::from_millis(200);

/// An instance that is killed under load returns under its name and address. Its clients retry its pending requests; those
/// of the others are unaffected. No connection is refused unless the next process starts late, and then none stands unread.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_instance_restarts_without_affecting_others() {
    let world = World::start(4, &Plan::default()).await;
    let mut fleet = Fleet::new(&world, 4, "ready_within = \"60s\"");
    fleet.run();
    let addresses = fleet.ready().await;
    let traffic = Traffic::start(&load(addresses.clone(), 60.0, 12));
    traffic.more(20, 4).await;
    let mut gone = Vec::new();
    for _ in 0..3 {
        let pid = fleet.pids().await["desk-2"];
        let killed_at = tokio::time::Instant::now();
        kill("-KILL", pid).await;
        let back =
            |i: &Value| i["phase"] == "ready" && i["pid"].as_u64().is_some_and(|p| p != u64::from(pid));
        let status = fleet.until("its return", |s| instances(s).iter().all(back_or_other(&back))).await;
        assert_eq!(instances(&status)[2]["listen"], addresses[2].to_string());
        assert_eq!(fleet.instance("desk-2").await.expect("it runs")["name"], "desk-2");
        gone.push((killed_at, tokio::time::Instant::now()));
        traffic.more(10, 4).await;
    }
    let records = traffic.finish().await;
    assert_clean_but(&world, &records, Some(2));
    for place in [0, 1, 3] {
        assert_eq!(told(&records, place).get("none"), None, "instance {place}");
    }
    // By the policy's backoff, 0.2 s and 0.4 s at most after the first two deaths, and 0.6 s at least after the third.
    for record in records.iter().filter(|r| r.fate == Fate::NoConnection) {
        let (killed_at, back_at) = gone[2];
        let refused_at = record.sent + record.took;
        assert!(record.instance == 2 && (killed_at..back_at).contains(&refused_at), "refused: {record:?}");
    }
    for (killed_at, back_at) in gone {
        let while_gone =
            |r: &&Record| r.instance == 2 && (killed_at + NOTICED_WITHIN..back_at).contains(&r.sent);
        for record in records.iter().filter(while_gone) {
            let answered = !matches!(record.fate, Fate::Lost | Fate::Unanswered);
            let in_time = record.took <= CLASSES[record.class].deadline + LATE;
            assert!(answered && in_time, "neither refused nor answered: {record:?}");
        }
    }
    assert!(fleet.command("stop", &[]).await.status.success());
    for place in [0, 1, 3] {
        let totals = fleet.totals(&fleet.names[place]);
        assert_eq!(counted(&totals), told(&records, place), "instance {place}");
    }
}

fn back_or_other<'a>(back: &'a impl Fn(&Value) -> bool) -> impl FnMut(&Value) -> bool + 'a {
    move |instance| instance["name"] != "desk-2" || back(instance)
}

/// After the supervisor is killed, the instances continue to serve, and a new one adopts, rolls and stops them without
/// starting a second process. Files that name a foreign process have no effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_supervisor_adopts_instances_of_killed_one() {
    let world = World::start(4, &Plan::default()).await;
    let mut fleet = Fleet::new(&world, 6, "ready_within = \"60s\"\nprove_within = \"60s\"");
    fleet.run();
    let addresses = fleet.ready().await;
    let traffic = Traffic::start(&load(addresses.clone(), 30.0, 13));
    traffic.more(5, 6).await;
    let before = fleet.pids().await;
    fleet.supervisor.take().expect("it runs").kill().await.expect("it is killed");
    traffic.more(5, 6).await;
    assert_eq!(fleet.pids().await, before, "they serve on");
    let output = fleet.command("status", &[]).await;
    assert_eq!(output.status.code(), Some(4));
    assert!(String::from_utf8_lossy(&output.stderr).contains("6 of 6 instances are"));

    // One instance dies without a supervisor, and its files name a process that is another's now: a sleeping stand-in.
    let mut innocent =
        tokio::process::Command::new("sleep").arg("600").kill_on_drop(true).spawn().expect("it sleeps");
    let number = innocent.id().expect("it runs").to_string();
    kill("-KILL", before["desk-5"]).await;
    let dir = fleet.dir("desk-5");
    soon("the end of it", async {
        while fleet.instance("desk-5").await.is_some() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
    std::fs::write(dir.join("lock"), format!("{number}\n")).expect("a file");
    let mut left: Value =
        serde_json::from_slice(&std::fs::read(dir.join("status.json")).expect("it is there")).expect("whole");
    left["pid"] = number.parse::<u64>().expect("a number").into();
    std::fs::write(dir.join("status.json"), left.to_string()).expect("a file");

    fleet.run();
    // The dead instance's address is lost with its last holder; the others keep theirs.
    let status = fleet.until("readiness", |s| phases(s).iter().all(|p| p == "ready")).await;
    for (place, instance) in instances(&status).iter().enumerate().take(5) {
        assert_eq!(
            instance["pid"].as_u64(),
            Some(u64::from(before[&fleet.names[place]])),
            "adopted, not started"
        );
        assert_eq!((&instance["starts"], &instance["adopted"]), (&0.into(), &true.into()));
        assert_eq!(instance["listen"], addresses[place].to_string());
    }
    assert_eq!(instances(&status)[5]["starts"], 1);
    let again = fleet.command("run", &[]).await;
    assert_eq!(again.status.code(), Some(3), "a second supervisor");
    let output = fleet.command("restart", &[]).await;
    assert!(output.status.success(), "{}\n{}", String::from_utf8_lossy(&output.stderr), fleet.log());
    let after = fleet.pids().await;
    assert!(after.iter().all(|(name, pid)| before[name] != *pid));
    let records = traffic.finish().await;
    assert!(fleet.command("stop", &[]).await.status.success());
    assert!(fleet.pids().await.is_empty());
    assert!(innocent.try_wait().expect("a status").is_none(), "a process that is none of theirs was ended");
    assert_clean_but(&world, &records, Some(5));
    for place in 0..5 {
        assert_eq!(told(&records, place).get("none"), None, "instance {place}");
        assert_eq!(counted(&fleet.totals(&fleet.names[place])), told(&records, place), "instance {place}");
    }
}

fn script(fleet: &Fleet, name: &str, text: &str) -> PathBuf {
    let file = fleet.folder.write(name, &format!("#!/bin/sh\n{text}\n"));
    std::fs::set_permissions(&file, PermissionsExt::from_mode(0o755)).expect("it is ours");
    file
}

/// A program that does not start stops the roll at the first instance, whose old process goes on; the others are not
/// touched. One program hangs and ignores SIGTERM, one exits at once, one is not executable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn roll_to_bad_program_stops_and_rolls_back() {
    let world = World::start(3, &Plan::default()).await;
    let more =
        "ready_within = \"2s\"\nstop_within = \"1s\"\nprove_within = \"60s\"\n[restart]\nfirst = \"50ms\"";
    let mut fleet = Fleet::new(&world, 3, more);
    fleet.run();
    let addresses = fleet.ready().await;
    let traffic = Traffic::start(&load(addresses, 30.0, 14));
    traffic.more(3, 3).await;
    let before = fleet.pids().await;
    let hangs = script(&fleet, "hangs", "trap '' TERM\nexec sleep 600");
    let ends = script(&fleet, "ends", "exit 7");
    let missing = fleet.folder.path().join("missing");
    for (program, why) in
        [(&hangs, "did not become ready"), (&ends, "exit status: 7"), (&missing, "exit status: 127")]
    {
        let output = fleet.command("restart", &["--program", &program.display().to_string()]).await;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{text}");
        assert!(text.contains("desk-0") && text.contains(why), "{text}");
        fleet.ready().await;
        assert_eq!(fleet.pids().await, before, "no process that serves is ended");
    }
    // The one that hangs is killed when its time is over.
    fleet.until("its end", |_| fleet.log().contains("killing it")).await;
    assert!(fleet.log().contains("instance did not stop in time, killing it"), "{}", fleet.log());
    let records = traffic.finish().await;
    assert!(fleet.command("stop", &[]).await.status.success());
    assert_clean(&world, &records);
    for place in [0, 1, 2] {
        assert_eq!(told(&records, place).get("none"), None, "instance {place}");
    }
}

/// An instance that never starts fails after a few attempts; the others serve, and a stop ends all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_that_never_starts_fails_and_others_serve() {
    let world = World::start(2, &Plan::default()).await;
    // Much longer than a valid instance needs on a busy machine; the one without a server uses it three times.
    let more = "ready_within = \"4s\"\nstop_within = \"5s\"\n[restart]\nfirst = \"10ms\"\nmost = \"20ms\"\nlimit = 2";
    let mut fleet = Fleet::new(&world, 4, more);
    // One exits at once, and one has no server.
    fleet.folder.write("desk-1.json", "{}");
    let mut alone = world.config("desk-3");
    alone["known"]["hosts"] = Value::Array(Vec::new());
    alone["discovery"] = nobody().await.to_string().into();
    fleet.folder.write("desk-3.json", &alone.to_string());
    fleet.run();
    let status = fleet
        .until("two failures", |s| {
            let mut phases = phases(s);
            phases.sort();
            phases == ["failed", "failed", "ready", "ready"]
        })
        .await;
    let all = instances(&status);
    assert!(all[1]["why"].as_str().is_some_and(|why| why.contains("exit status: 2")), "{}", all[1]);
    assert_eq!((&all[1]["starts"], &all[3]["starts"]), (&3.into(), &3.into()));
    let unusable = "instance unusable, terminating it instance=desk-3 reason=\"did not become ready\"";
    assert!(fleet.log().contains(unusable), "{}", fleet.log());
    let pids: HashSet<String> = fleet.pids().await.into_keys().collect();
    assert_eq!(pids, HashSet::from(["desk-0".to_owned(), "desk-2".to_owned()]));
    // The file is corrected: a roll retries the instance.
    fleet.folder.write("desk-1.json", &world.config("desk-1").to_string());
    fleet.folder.write("desk-3.json", &world.config("desk-3").to_string());
    assert!(fleet.command("restart", &[]).await.status.success(), "{}", fleet.log());
    fleet.ready().await;
    let mut supervisor = fleet.supervisor.take().expect("it runs");
    kill("-TERM", supervisor.id().expect("it runs")).await;
    assert!(soon("its end", supervisor.wait()).await.expect("a status").success());
    assert!(fleet.pids().await.is_empty());
}

/// A reload reports which instances rejected it and why, and changes nothing at these.
#[tokio::test]
async fn reload_reports_rejecting_instances() {
    let world = World::start(2, &Plan::default()).await;
    let mut fleet = Fleet::new(&world, 3, "ready_within = \"60s\"");
    fleet.run();
    fleet.ready().await;
    fleet.folder.write("desk-1.json", "{ half a file");
    let output = fleet.command("reload", &[]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("2 of 3"));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.lines().count() == 1 && text.contains("desk-1: ") && text.contains("desk-1.json:1"),
        "{text}"
    );
    assert_eq!(fleet.instance("desk-1").await.expect("it runs")["config"]["generation"], 1);
    assert_eq!(fleet.instance("desk-0").await.expect("it runs")["config"]["generation"], 2);
    assert!(fleet.command("stop", &[]).await.status.success());
}

/// With an invalid fleet file every command exits with 2 and a line per error; without a running fleet, with 4.
#[tokio::test]
async fn exit_codes_of_fleet_commands() {
    let world = World::start(1, &Plan::default()).await;
    let fleet = Fleet::new(&world, 1, "");
    for word in ["status", "reload", "restart", "stop"] {
        assert_eq!(fleet.command(word, &[]).await.status.code(), Some(4), "{word}");
    }
    fleet.folder.write("fleet.toml", "[fleet]\nsate = \"x\"\nroll_at_once = 0\n");
    for word in ["run", "status", "reload", "restart", "stop"] {
        let output = fleet.command(word, &[]).await;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), text.lines().count()), (Some(2), 4), "{word}: {text}");
    }
}

/// What a server in slow start gets of what a warm one gets, at the most: without slow start it is about 0.8.
const MAX_SLOW_START_SHARE: f64 = 0.45;
/// How long the sends to a server that has just started are counted.
const SLOW_START_COUNTED: Duration = Duration::from_millis(1_500);

/// Guards against a cold server that two processes of one instance push over together: it is spared through a rolling restart as it is
/// by one process.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_spares_a_server_in_slow_start() {
    const SERVERS: usize = 6;
    let mut world = World::start(SERVERS, &Plan::default()).await;
    let mut fleet = Fleet::new(&world, 1, "");
    fleet.run();
    let agents = fleet.ready().await;
    let traffic = Traffic::start(&Load { agents, clients: 16, rate: 400.0, seed: 3, most: 10_000 });
    traffic.more(200, 1).await;
    world.replace(0, Plan::default()).await;
    let begin = tokio::time::Instant::now();
    let output = fleet.command("restart", &[]).await;
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    tokio::time::sleep_until(begin + SLOW_START_COUNTED).await;
    let end = tokio::time::Instant::now();
    let records = traffic.finish().await;
    assert_eq!(world.audit(&records), Vec::<String>::new());
    let sends = |server: usize| {
        let seen = world.seen().into_iter().filter(|(number, _)| *number == server);
        seen.filter(|(_, seen)| seen.first_byte > begin && seen.first_byte < end).count() as f64
    };
    let warm = (1..SERVERS).map(sends).sum::<f64>() / (SERVERS - 1) as f64;
    assert!(warm > 10.0, "too little traffic to tell: {warm}");
    let share = sends(0) / warm;
    assert!(share < MAX_SLOW_START_SHARE, "{share:.2} of what a warm server gets");
    assert!(fleet.command("stop", &[]).await.status.success());
}
