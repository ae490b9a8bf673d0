//! Remote write of the real program; no request waits for a receiver.

use std::collections::BTreeMap;
use std::time::Duration;
use testbed::paced_server::{read_whole, Framing, ResponseError, ResponseScript};
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SHORT: &str =
    "interval = \"100ms\"\ntimeout = \"300ms\"\nretry_first = \"10ms\"\nretry_most = \"50ms\"\n";

/// An operator's file with a receiver of remote write.
fn file(folder: &Folder, receiver: &Receiver, more: &str) -> std::path::PathBuf {
    folder.write("agent.toml", &format!("[remote_write]\nurl = \"{}\"\n{SHORT}{more}", receiver.url()))
}

struct Stage {
    world: World,
    receiver: Receiver,
    folder: Folder,
}

impl Stage {
    async fn set() -> Self {
        Self::set_with(Plan::default()).await
    }

    async fn set_with(servers: Plan) -> Self {
        let world = World::start(4, &servers).await;
        Stage { world, receiver: Receiver::start().await, folder: Folder::new() }
    }

    async fn agent(&self, name: &str, more: &str) -> Agent {
        self.agent_with(self.world.config(name), more).await
    }

    /// An agent that sheds nothing of what waits for longer than its class's wanted time: on a busy machine much does.
    async fn patient_agent(&self, name: &str, more: &str) -> Agent {
        let mut config = self.world.config(name);
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["aimMs"] = class["deadlineMs"].clone();
        }
        self.agent_with(config, more).await
    }

    async fn agent_with(&self, config: serde_json::Value, more: &str) -> Agent {
        let file = file(&self.folder, &self.receiver, more);
        let agent = Agent::operated(config, &file).await;
        agent.ready().await;
        agent
    }
}

fn traffic(agent: &Agent, rate: f64, seed: u64) -> Traffic {
    Traffic::start(&Load { agents: vec![agent.address], clients: 8, rate, seed, most: 10_000 })
}

fn assert_all_served(records: &[Record]) {
    let not_served: Vec<&Record> = records.iter().filter(|record| record.fate != Fate::Served).collect();
    assert!(not_served.is_empty(), "{not_served:#?} of {}", records.len());
}

fn taken(store: &Store) -> usize {
    store.sum("bellcroft_requests_total", &[]) as usize
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn received_samples_match_clients_and_servers() {
    let mut stage = Stage::set().await;
    let mut agent =
        stage.agent("n7", "[remote_write.labels]\nbuilding = \"quote \\\" and \\n newline\"\n").await;
    let load = traffic(&agent, 200.0, 3);
    load.more(100, 1).await;
    stage.world.drain(1);
    load.more(200, 1).await;
    let records = load.finish().await;
    stage.receiver.until("all requests at the receiver", |store, _| taken(store) == records.len()).await;
    agent.term().await;
    let during = stage.receiver.store();
    assert!(agent.end().await.success());
    let store = stage.receiver.store();
    assert_eq!(store.wrong, Vec::<String>::new());
    for (place, class) in CLASSES.iter().enumerate() {
        let own: Vec<Record> = records.iter().filter(|r| r.class == place).cloned().collect();
        let fates = fates(&own);
        for (word, fate) in [("served", Fate::Served), ("refused", Fate::Refused), ("failed", Fate::Failed)] {
            let counted = during.sum("bellcroft_requests_total", &[("class", class.name), ("outcome", word)]);
            assert_eq!(counted as usize, fates.get(&fate).copied().unwrap_or(0), "{} {word}", class.name);
        }
        let observed = during.sum("bellcroft_answer_seconds_count", &[("class", class.name)]);
        assert_eq!(observed as usize, own.len());
        let whole = during.sum("bellcroft_answer_seconds_bucket", &[("class", class.name), ("le", "+Inf")]);
        assert_eq!(whole as usize, own.len());
        let aim = class.aim.as_secs_f64().to_string();
        assert_eq!(
            during.latest("bellcroft_answer_seconds_bucket", &[("class", class.name), ("le", &aim)]).len(),
            1
        );
    }
    let reached = during.sum("bellcroft_attempts_total", &[])
        - during.sum("bellcroft_attempts_total", &[("outcome", "connect")])
        - during.sum("bellcroft_attempts_total", &[("outcome", "not_sent")]);
    assert_eq!(reached as usize, stage.world.seen().len());
    assert_eq!(during.sum("bellcroft_rule_breaches_total", &[]), 0.0);
    assert_eq!(during.latest("bellcroft_rule_breaches_total", &[]).len(), 4);
    assert_eq!(during.sum("bellcroft_rule_violations_total", &[]), 0.0);
    assert_eq!(during.latest("bellcroft_rule_violations_total", &[]).len(), 4);
    assert_eq!(during.sum("bellcroft_servers", &[("state", "draining"), ("zone", "south")]), 1.0);
    assert_eq!(during.sum("bellcroft_servers", &[("state", "up")]), 3.0);
    assert_eq!(during.sum("bellcroft_tenant_requests_total", &[("tenant", "acme")]) as usize, records.len());
    assert_eq!(during.sum("bellcroft_requests_in_flight", &[]), 0.0);
    let common = [("instance", "n7"), ("job", "bellcroft"), ("building", "quote \" and \n newline")];
    assert!(during.series.keys().all(|l| common.iter().all(|(n, v)| l.get(*n).is_some_and(|own| own == v))));
    // Servers are not named unless the operator enables it.
    assert!(during.series.keys().all(|l| !l.contains_key("server")));
    // A graceful shutdown ends every series.
    assert!(store
        .series
        .values()
        .all(|s| s.last().is_some_and(|(_, v)| v.to_bits() == 0x7ff0_0000_0000_0002)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn receiver_faults_never_affect_requests_or_reorder_samples() {
    let stage = Stage::set().await;
    let mut agent = stage.agent("n0", "queue_bytes = 33554432\n").await;
    let load = traffic(&agent, 100.0, 5);
    let line = "Retry-After: 1\r\n".to_owned();
    let redirect = "Location: http://127.0.0.1:9/elsewhere\r\n".to_owned();
    let again = [
        Taking::Slowly(Duration::from_millis(150)),
        Taking::Mute,
        Taking::Reset,
        Taking::Status(500, String::new()),
        Taking::Garbage,
        Taking::Endless,
        Taking::Status(429, line),
    ];
    let never = [Taking::Status(400, String::new()), Taking::Status(307, redirect)];
    for (taking, kept) in again.into_iter().map(|t| (t, true)).chain(never.into_iter().map(|t| (t, false))) {
        stage.receiver.taking.send_replace(taking.clone());
        let before = stage.receiver.posted().len();
        load.more(20, 1).await;
        stage.receiver.until("requests under the fault", |_, posted| posted.len() >= before + 2).await;
        let refused = stage
            .receiver
            .store()
            .sum("bellcroft_remote_write_samples_total", &[("outcome", "dropped_refused")]);
        stage.receiver.taking.send_replace(Taking::All);
        let answered = load.count();
        // The queue is ordered, so all queued samples have arrived once the newest has.
        stage.receiver.until("the count after the fault", |store, _| taken(store) >= answered).await;
        stage
            .receiver
            .until("the count of what was refused", |store, _| {
                let now =
                    store.sum("bellcroft_remote_write_samples_total", &[("outcome", "dropped_refused")]);
                if kept {
                    now == refused
                } else {
                    now > refused
                }
            })
            .await;
    }
    let records = load.finish().await;
    assert_eq!(fates(&records), BTreeMap::from([(Fate::Served, records.len())]));
    let store = stage.receiver.store();
    assert_eq!(store.wrong, Vec::<String>::new(), "in order, and none twice");
    let of = |word: &str| store.sum("bellcroft_remote_write_samples_total", &[("outcome", word)]);
    assert!(of("retried") > 0.0 && of("dropped_refused") > 0.0);
    assert_eq!((of("dropped_full"), of("unwritten")), (0.0, 0.0));
    assert_eq!(agent.logged("what it refuses is dropped"), 1, "told once");
    assert_eq!(stage.world.audit(&records), Vec::<String>::new());
    agent.term().await;
    assert!(agent.end().await.success());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counters_stay_correct_across_a_kill() {
    let stage = Stage::set().await;
    let mut all = 0;
    let mut agent = stage.agent("n0", "").await;
    for round in 0..3 {
        let load = traffic(&agent, 200.0, round);
        load.more(60, 1).await;
        let records = load.finish().await;
        assert!(records.iter().all(|r| r.fate.is_answer()));
        all += records.len();
        stage.receiver.until("the round's count", |store, _| taken(store) == records.len()).await;
        if round < 2 {
            agent.child.kill().await.expect("it ran");
            agent = stage.agent("n0", "").await;
            stage.receiver.until("the new count from zero", |store, _| taken(store) == 0).await;
        }
    }
    let store = stage.receiver.store();
    let (first, last) = store.span().expect("samples");
    let grown = |what: &str| {
        let text = format!("sum({what}(bellcroft_requests_total[{}ms]))", last - first + 1);
        match evaluate(&text, &store, last, 1.0) {
            Ok(Value::Vector(vector)) => vector[0].1,
            other => panic!("{other:?}"),
        }
    };
    assert!((grown("increase") - all as f64).abs() < 0.5, "{} of {all}", grown("increase"));
    let resets = evaluate(
        &format!("max(resets(bellcroft_requests_total[{}ms]))", last - first + 1),
        &store,
        last,
        1.0,
    );
    assert_eq!(resets, Ok(Value::Vector(vec![(Labels::new(), 2.0)])));
    assert!(store.series.values().flatten().all(|(_, value)| *value >= 0.0 || value.is_nan()));
}

/// Asks for the response of a script; the connection on which it comes.
async fn ask_for_script(agent: &Agent, id: &str, number: usize) -> TcpStream {
    let mut client = TcpStream::connect(agent.address).await.expect("it listens");
    let request = request_as(id, "GET", &format!("/read-schedule?key=1&script={number}"), "400m", "");
    client.write_all(request.as_bytes()).await.expect("it reads");
    client
}

/// Requests that have ended like this by the receiver's samples.
fn ended(store: &Store, outcome: &str) -> f64 {
    store.sum("bellcroft_requests_total", &[("outcome", outcome)])
}

/// Guards against responses that are cut off and have no log line, and that count as left by their clients.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_response_is_logged_and_counted() {
    let endless = ResponseScript::paced(Framing::Chunked, 100_000, 24_000, Duration::ZERO).stopped_after(1);
    let stage = Stage::set_with(Plan { scripts: [endless].into(), ..Plan::default() }).await;
    let agent = stage.agent("n0", "").await;
    let mut client = ask_for_script(&agent, "cut", 0).await;
    let read = soon("the response's end", read_whole(&mut client)).await;
    assert!(matches!(read, Err(ResponseError::EndsAfter(24_000..))), "{read:?}");
    stage.receiver.until("the end of the request", |store, _| taken(store) == 1).await;
    let store = stage.receiver.store();
    assert_eq!((ended(&store, "failed"), store.sum("bellcroft_cut_responses_total", &[])), (1.0, 1.0));
    assert_eq!(agent.logged("response cut off"), 1);
}

/// Guards against a long response that ends its request when it begins: its id was free, it counted as left by its client, and it had no
/// time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_of_long_response_ends_with_its_last_byte() {
    let sound = ResponseScript::paced(Framing::Chunked, 150_000, 48_000, Duration::from_millis(500));
    let stage = Stage::set_with(Plan { scripts: [sound].into(), ..Plan::default() }).await;
    let agent = stage.agent("n0", "").await;
    let mut client = ask_for_script(&agent, "long", 0).await;
    let mut first = [0; 1];
    soon("the response's beginning", client.peek(&mut first)).await.expect("it goes on");
    let mut repeated = ask_for_script(&agent, "long", 0).await;
    let repeated = soon("the response", read_whole(&mut repeated)).await;
    assert_eq!(repeated, Err(ResponseError::Status(409)), "its id is in use");
    let body = soon("the response's end", read_whole(&mut client)).await.expect("it is whole");
    assert_eq!(body.len(), 150_000);
    stage.receiver.until("the end of the request", |store, _| taken(store) == 1).await;
    let store = stage.receiver.store();
    assert_eq!((ended(&store, "served"), store.sum("bellcroft_answer_seconds_count", &[])), (1.0, 1.0));
    // The deadline limits the time in which a response begins.
    assert_eq!(store.sum("bellcroft_rule_breaches_total", &[]), 0.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_changes_receiver_and_labels_with_pending_request() {
    let stage = Stage::set().await;
    let token = stage.folder.write("token", "first-secret\n");
    let more = |labels: &str| {
        format!("token_file = \"{}\"\ntimeout = \"20s\"\n[remote_write.labels]\n{labels}", token.display())
    };
    let more_first = more("building = \"north\"\n").replace("timeout = \"20s\"\n", "");
    let mut agent = stage.patient_agent("n0", &more_first).await;
    let load = traffic(&agent, 50.0, 9);
    stage.receiver.until("samples", |_, posted| posted.len() > 2).await;
    assert!(stage
        .receiver
        .posted()
        .iter()
        .all(|p| p.authorization.as_deref() == Some("Bearer first-secret")));
    assert!(stage.receiver.posted().iter().all(|p| p.path == "/api/v1/write" && p.version == "2.0.0"));
    stage.receiver.taking.send_replace(Taking::Mute);
    let before = stage.receiver.posted().len();
    stage.receiver.until("a request that is out", |_, posted| posted.len() > before).await;
    let other = Receiver::start().await;
    stage.folder.write("token", "second-secret");
    file(&stage.folder, &other, &more_first.replace("north", "south"));
    agent.hang_up().await;
    let labelled =
        |store: &Store, building: &str| store.latest("bellcroft_ready", &[("building", building)]).len();
    other.until("samples under the new label", |store, _| labelled(store, "south") == 1).await;
    assert!(other.posted().iter().all(|p| p.authorization.as_deref() == Some("Bearer second-secret")));
    assert_eq!(labelled(&other.store(), "north"), 1, "what waited goes to the new one, under its old label");
    // The same receiver, another label: the old series end.
    file(&stage.folder, &other, &more_first.replace("north", "west"));
    agent.hang_up().await;
    other
        .until("the old series' end", |store, _| {
            labelled(store, "west") == 1 && labelled(store, "south") == 0
        })
        .await;
    assert_eq!(other.store().wrong, Vec::<String>::new());
    // An invalid file changes nothing.
    stage.folder.write("token", " ");
    agent.hang_up().await;
    other
        .until("the refusal's count", |store, _| store.sum("bellcroft_reloads_refused_total", &[]) == 1.0)
        .await;
    assert_eq!(
        other.posted().last().and_then(|p| p.authorization.clone()).as_deref(),
        Some("Bearer second-secret")
    );
    // Nor does a setting that only a restart applies.
    stage.folder.write("token", "second-secret");
    stage.folder.write("agent.toml", "");
    agent.hang_up().await;
    other.until("another refusal", |store, _| store.sum("bellcroft_reloads_refused_total", &[]) == 2.0).await;
    let records = load.finish().await;
    assert_all_served(&records);
    agent.term().await;
    assert!(agent.end().await.success());
    assert_eq!((agent.logged("secret"), agent.logged("only a restart can take")), (0, 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_flushes_full_queue_and_counts_the_rest() {
    let stage = Stage::set().await;
    let mut agent = stage.patient_agent("n0", "queue_bytes = 65536\nflush_within = \"200ms\"\n").await;
    stage.receiver.taking.send_replace(Taking::Mute);
    let load = traffic(&agent, 50.0, 9);
    load.more(60, 1).await;
    let records = load.finish().await;
    assert_all_served(&records);
    agent.term().await;
    assert!(agent.end().await.success());
    agent.until_logged("remote write: samples dropped at shutdown").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_1_and_partial_write_receivers_are_handled() {
    let stage = Stage::set().await;
    stage.receiver.only_v1.send_replace(true);
    let first = stage.agent("n0", "").await;
    stage.receiver.until("three taken", |_, p| p.iter().filter(|p| p.samples.is_some()).count() >= 3).await;
    let posted = stage.receiver.posted();
    let versions: Vec<&str> = posted.iter().map(|p| p.version.as_str()).collect();
    assert_eq!(&versions[..4], ["2.0.0", "0.1.0", "0.1.0", "0.1.0"], "found out once and remembered");
    assert_eq!(posted[1].content_type, "application/x-protobuf");
    drop(first);
    let stage = Stage::set().await;
    stage.receiver.taking.send_replace(Taking::Short(2));
    let agent = stage.agent("n0", "").await;
    let unwritten =
        |store: &Store| store.sum("bellcroft_remote_write_samples_total", &[("outcome", "unwritten")]);
    stage.receiver.until("the count of unwritten samples", |store, _| unwritten(store) >= 4.0).await;
    assert_eq!(agent.logged("were not written"), 1, "told once");
    assert!(!stage.receiver.store().created.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_labels_beyond_the_cap_are_aggregated() {
    let stage = Stage::set().await;
    let agent = stage.agent("n0", "server_names = 2\n").await;
    let load = traffic(&agent, 200.0, 11);
    load.more(200, 1).await;
    let records = load.finish().await;
    stage
        .receiver
        .until("all attempts", |store, _| {
            store.sum("bellcroft_server_attempts_total", &[]) as usize >= records.len()
        })
        .await;
    let store = stage.receiver.store();
    let names: std::collections::BTreeSet<&String> =
        store.series.keys().filter_map(|l| l.get("server")).collect();
    assert_eq!(names.len(), 3, "{names:?}");
    assert!(names.contains(&"other".to_owned()));
    let all = store.sum("bellcroft_server_attempts_total", &[]);
    assert_eq!(all, store.sum("bellcroft_attempts_total", &[]), "nothing of the count is lost");
}

/// A receiver's response is read up to a limit; a longer one closes its connection, so that the agent does not read forever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_receiver_response_closes_its_connection() {
    let stage = Stage::set().await;
    stage.receiver.taking.send_replace(Taking::Endless);
    let agent = stage.agent("n0", "").await;
    stage.receiver.until("four tries", |_, posted| posted.len() >= 4).await;
    let connections: Vec<usize> = stage.receiver.posted().iter().take(4).map(|p| p.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3]);
    stage.receiver.taking.send_replace(Taking::All);
    stage.receiver.until("two taken", |_, p| p.iter().filter(|p| p.samples.is_some()).count() >= 2).await;
    let taken: Vec<usize> =
        stage.receiver.posted().iter().filter(|p| p.samples.is_some()).map(|p| p.connection).collect();
    assert_eq!(taken[0], taken[1], "a whole answer keeps its connection");
    drop(agent);
}
