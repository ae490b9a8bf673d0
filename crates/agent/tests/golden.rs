//! The outer forms of the program, which other people's scripts read: help, exit codes, what `check` prints, the status, the
//! replies of the control socket, and the lines of the console.

use expect_test::expect_file;
use serde_json::{json, Value};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;
use testbed::faults::{Cluster, Shape};
use testbed::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;

/// Far past what a busy machine takes to start two programs.
const SOON: Duration = Duration::from_secs(60);

/// A value with what differs between runs taken out. Keys, and words that have no digit and no mark, stay.
fn shape(value: &Value) -> Value {
    match value {
        Value::Number(_) => json!("<number>"),
        Value::String(text) if text.chars().all(|c| c.is_ascii_alphabetic() || c == ' ' || c == '_') => {
            value.clone()
        }
        Value::String(_) => json!("<text>"),
        Value::Array(items) => Value::Array(items.iter().map(shape).collect()),
        Value::Object(keys) => keys.iter().map(|(key, value)| (key.clone(), shape(value))).collect(),
        Value::Null | Value::Bool(_) => value.clone(),
    }
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(&shape(value)).expect("JSON") + "\n"
}

/// The root of the repository, where relative paths of `deploy` lead somewhere.
fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// The arguments, the exit code and all that is printed, with `folder` taken out of it.
async fn transcript(folder: &Folder, args: &[&str]) -> String {
    let output = bellcroft(args).current_dir(root()).output().await.expect("its output");
    let text = format!(
        "$ bellcroft {}\nexit code {}\n{}{}\n",
        args.join(" "),
        output.status.code().expect("it ends by itself"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    text.replace(&folder.path().display().to_string(), "DIR")
}

#[tokio::test]
async fn help_of_every_command_matches_golden_file() {
    let folder = Folder::new();
    let mut text = String::new();
    for command in [
        "--help",
        "run --help",
        "check --help",
        "status --help",
        "members --help",
        "call --help",
        "fleet --help",
        "fleet run --help",
        "fleet status --help",
        "fleet restart --help",
        "fleet reload --help",
        "fleet stop --help",
    ] {
        let args: Vec<&str> = command.split(' ').collect();
        text.push_str(&transcript(&folder, &args).await);
    }
    expect_file!["golden/help.txt"].assert_eq(&text);
}

#[tokio::test]
async fn check_of_good_and_bad_files_matches_golden_file() {
    let folder = Folder::new();
    let write = |name: &str, text: &str| folder.write(name, text).display().to_string();
    let mut platform = config("127.0.0.1:8500".parse().expect("an address"), &[]);
    platform["listen"] = json!("127.0.0.1:8443");
    let good = write("config.json", &platform.to_string());
    let routes = write(
        "routes.toml",
        "[[route]]\nname = \"read\"\nmatch = { class = \"read\" }\nattempt_timeout = \"400ms\"\nattempts = 3\n\
         second_copy_after = \"200ms\"\nsecond_copies_most = 0.05\nretry_budget = { ratio = 0.1, burst = 10 }\n\
         pool = \"desk\"\n[pool.desk]\nretry_budget = { ratio = 0.2, burst = 20 }\nmax_in_flight = 200\n",
    );
    let mut bad = Vec::new();
    for (name, text) in [
        ("unknown-key", "[daemon]\nstatus_evry = \"1s\"\n"),
        ("out-of-range", "[daemon]\nstatus_every = \"1ms\"\n[instance]\nname = \"a b\"\nlisten = \"nowhere\"\n"),
        ("no-toml", "[daemon\n"),
        ("breaks-a-rule", "[[route]]\nname = \"pay\"\nmatch = { class = \"pay\" }\nattempts = 3\nsecond_copy_after = \"1ms\"\n"),
        ("unknown-class", "[[route]]\nname = \"x\"\nmatch = { class = \"none\" }\nattempt_timeout = \"0ms\"\n"),
        ("remote-write", "[remote_write]\nurl = \"https://127.0.0.1:1/\"\nversion = \"3.0\"\ninterval = \"1ms\"\n"),
        ("membership", "[membership]\ncluster = \"\"\nlisten = \"x\"\nduty = \"king\"\n"),
    ] {
        bad.push(write(&format!("{name}.toml"), text));
    }
    for (name, text) in [
        ("cut.json", "{\"name\":"),
        ("empty.json", "{}"),
        ("no-classes.json", &platform.to_string().replace("\"classes\":[", "\"classes\":[],\"x\":[")),
        ("negative.json", &platform.to_string().replace("\"deadlineMs\":2500", "\"deadlineMs\":-1")),
    ] {
        let file = write(name, text);
        bad.push(file);
    }
    let mut text = String::new();
    for args in [
        &["check", "--operator", "deploy/agent.toml"][..],
        &["check", "--config", &good],
        &["check", "--config", &good, "--operator", &routes, "--explain"],
    ] {
        text.push_str(&transcript(&folder, args).await);
    }
    for file in &bad {
        let args = if file.ends_with(".json") {
            vec!["check", "--config", file]
        } else {
            vec!["check", "--config", &good, "--operator", file]
        };
        text.push_str(&transcript(&folder, &args).await);
    }
    expect_file!["golden/check.txt"].assert_eq(&text);
}

#[tokio::test]
async fn exit_codes_and_errors_match_golden_file() {
    let folder = Folder::new();
    let nowhere = folder.path().join("nowhere").display().to_string();
    let mut text = String::new();
    for args in [
        &["nonsense"][..],
        &["run", "--config", "nowhere.json"],
        &["status"],
        &["status", "--state", &nowhere],
        &["status", "--json", "--state", &nowhere],
        &["members", "--state", &nowhere],
        &["call", "ready", "--console", "127.0.0.1:1"],
        &["call", "ready", "--json", "--console", "127.0.0.1:1"],
        &["fleet", "status", "nowhere.toml"],
        &["--log-level", "nonsense", "check", "--operator", "deploy/agent.toml"],
    ] {
        text.push_str(&transcript(&folder, args).await);
    }
    expect_file!["golden/exit_codes.txt"].assert_eq(&text);
}

async fn ask(state: &Path, line: &str) -> Value {
    let mut stream = UnixStream::connect(state.join("control.sock")).await.expect("it listens");
    stream.write_all(format!("{line}\n").as_bytes()).await.expect("it reads");
    let mut answer = String::new();
    soon("an answer", BufReader::new(stream).read_line(&mut answer)).await.expect("an answer");
    serde_json::from_str(&answer).expect("JSON")
}

#[tokio::test]
async fn status_control_replies_and_console_lines_match_golden_files() {
    let world = World::start(2, &Plan::default()).await;
    let folder = Folder::new();
    let state = folder.path().join("state");
    let operator = folder
        .write("agent.toml", "[daemon]\nstate = \"state\"\nstatus_every = \"50ms\"\n")
        .display()
        .to_string();
    let mut platform = config(world.directory.address, &world.hosts());
    platform["console"] = json!("127.0.0.1:0");
    let adapt = |command: &mut tokio::process::Command| {
        command.args(["run", "--operator", &operator]);
    };
    let mut agent = Agent::with(platform, adapt).await;
    agent.ready().await;
    assert_eq!(agent.get("/read").await.status(), 200);
    agent.until("svc.handled.read.passed", |passed| passed == 1).await;

    let mut text = String::new();
    for line in ["ready", "show-stat", "drain", "ready", "resume", "", "stop", "ready now", "GET / HTTP/1.1"]
    {
        let answer = agent.call(line).await;
        let answer: String = answer
            .lines()
            .map(|line| match line.split_once('=') {
                Some((name, _)) => format!("{name}=<number>\n"),
                None => format!("{line}\n"),
            })
            .collect();
        write!(text, "> {line}\n{answer}").expect("a string grows");
    }
    expect_file!["golden/console.txt"].assert_eq(&text);

    let mut text = String::new();
    for line in [
        r#"{"command":"status"}"#,
        r#"{"command":"members"}"#,
        r#"{"command":"listener"}"#,
        r#"{"command":"reload"}"#,
        r#"{"command":"nonsense"}"#,
        "no JSON",
    ] {
        write!(text, "> {line}\n{}", pretty(&ask(&state, line).await)).expect("a string grows");
    }
    agent.replace("");
    let line = r#"{"command":"reload"}"#;
    let refused = ask(&state, line).await;
    let refused = refused["error"].as_str().expect("an error").split_once(": ").expect("a file").1.to_owned();
    writeln!(text, "> {line} (of an empty file)\n{refused}").expect("a string grows");
    let line = r#"{"command":"drain"}"#;
    write!(text, "> {line}\n{}", pretty(&ask(&state, line).await)).expect("a string grows");
    expect_file!["golden/control.txt"].assert_eq(&text);

    assert!(agent.end().await.success());
    let file = std::fs::read(state.join("status.json")).expect("it is there");
    let status: Value = serde_json::from_slice(&file).expect("JSON");
    expect_file!["golden/status.json"].assert_eq(&pretty(&status));
}

#[tokio::test(flavor = "multi_thread")]
async fn members_reply_matches_golden_file() {
    let cluster = Cluster::start(Shape { instances: 2, servers: 1, seed: 5, ..Shape::default() }).await;
    assert!(cluster.agree(SOON).await.is_some(), "they find each other");
    let mut members = cluster.members(0).await.expect("it answers");
    // Whether a probe has been answered yet depends on when this was asked.
    members["members"].as_array_mut().expect("members").iter_mut().for_each(|member| {
        assert!(member.as_object().expect("a member").contains_key("answered_ms"));
        member["answered_ms"] = json!(0);
    });
    members["reason"] = json!(members["reason"].is_string());
    // The name of the cluster is the test's own.
    members["cluster"] = json!("cluster-1");
    expect_file!["golden/members.json"].assert_eq(&pretty(&members));
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_status_matches_golden_file() {
    let world = World::start(2, &Plan::default()).await;
    let mut fleet = Fleet::new(&world, 2, "ready_within = \"60s\"");
    fleet.run();
    fleet.ready().await;
    let status = fleet.status().await.expect("it answers");
    expect_file!["golden/fleet_status.json"].assert_eq(&pretty(&status));
    let output = fleet.command("stop", &[]).await;
    assert!(output.status.success());
}
