//! An instance as a daemon: its state directory, its control socket, its reloads and its shutdown.

use serde_json::{json, Value};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use testbed::*;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UnixStream};
use tokio::process::{Child, Command};

/// An instance with an operator's file and a state directory.
struct Daemon {
    folder: Folder,
    operator: PathBuf,
    config: PathBuf,
    state: PathBuf,
}

/// One of its processes, once it listens.
struct Running {
    child: Child,
    address: std::net::SocketAddr,
    log: tokio::task::JoinHandle<String>,
}

impl Daemon {
    fn new(config: &Value) -> Self {
        Self::with(config, "status_every = \"50ms\"\n")
    }

    fn with(config: &Value, more: &str) -> Self {
        let folder = Folder::new();
        let config = folder.write("config.json", &config.to_string());
        let operator = folder.write(
            "agent.toml",
            &format!("[instance]\nconfig = \"config.json\"\n[daemon]\nstate = \"state\"\n{more}"),
        );
        let state = folder.path().join("state");
        Daemon { folder, operator, config, state }
    }

    fn command(&self) -> Command {
        let mut command = bellcroft([Path::new("run"), Path::new("--operator"), &self.operator]);
        command.stderr(Stdio::piped());
        command
    }

    async fn start(&self) -> Running {
        running(self.command()).await
    }

    /// What `bellcroft status --json` says, and its exit code.
    async fn status(&self) -> (Value, Option<i32>) {
        let output = bellcroft([Path::new("status"), Path::new("--json"), Path::new("--state"), &self.state]);
        let output = { output }.output().await.expect("its output");
        (serde_json::from_slice(&output.stdout).unwrap_or_default(), output.status.code())
    }

    async fn until(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        soon(what, async {
            loop {
                let (status, _) = self.status().await;
                if wanted(&status) {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await
    }

    async fn ask(&self, request: &Value) -> Value {
        let mut stream = UnixStream::connect(self.state.join("control.sock")).await.expect("it listens");
        stream.write_all(format!("{request}\n").as_bytes()).await.expect("it reads");
        let mut line = String::new();
        soon("an answer", BufReader::new(stream).read_line(&mut line)).await.expect("an answer");
        serde_json::from_str(&line).expect("JSON")
    }

    fn file(&self) -> Value {
        serde_json::from_slice(&std::fs::read(self.state.join("status.json")).expect("it is there"))
            .expect("whole")
    }
}

async fn running(mut command: Command) -> Running {
    let mut child = command.spawn().expect("the program starts");
    let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
    let mut text = String::new();
    let address = loop {
        let line = soon("the start", lines.next_line()).await.expect("a log");
        let line = line.unwrap_or_else(|| panic!("it ended:\n{text}"));
        text.push_str(&line);
        text.push('\n');
        if let Some(address) = log_field(&line, "listening for clients", "address") {
            break address.parse().expect("an address");
        }
    };
    let log = tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            text.push_str(&line);
            text.push('\n');
        }
        text
    });
    Running { child, address, log }
}

impl Running {
    async fn signal(&self, signal: &str) {
        kill(signal, self.child.id().expect("it runs")).await;
    }

    async fn ask(&self, text: &str) -> Message {
        Client { stream: TcpStream::connect(self.address).await.expect("a connection") }.ask(text).await
    }

    /// Its exit code and its log.
    async fn end(mut self) -> (Option<i32>, String) {
        let status = soon("its end", self.child.wait()).await.expect("a status");
        (status.code(), self.log.await.expect("its log"))
    }
}

async fn world() -> (Backend, Directory, Value) {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let config = config(directory.address, &[host("s", backend.address, "up")]);
    (backend, directory, config)
}

#[tokio::test]
async fn status_reports_phase_counts_servers_and_is_private() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    assert_eq!(daemon.status().await.1, Some(4), "nothing runs");
    let running = daemon.start().await;
    for _ in 0..3 {
        assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    }
    assert_eq!(running.ask(&request("POST", "/read", "5000m", "")).await.status(), 405);
    let (status, code) = daemon.status().await;
    assert_eq!(code, Some(0));
    assert_eq!((&status["phase"], &status["name"]), (&json!("ready"), &json!("n0")));
    assert_eq!(status["pid"].as_u64(), running.child.id().map(u64::from));
    let read = &status["requests"]["read"];
    assert_eq!((&read["taken"], &read["served"], &read["open"]), (&json!(3), &json!(3), &json!(0)));
    assert_eq!((&status["bad_requests"], &status["servers"]["up"]), (&json!(1), &json!(1)));
    for (name, mode) in [("", 0o700), ("status.json", 0o600), ("control.sock", 0o600), ("lock", 0o600)] {
        let about = std::fs::metadata(daemon.state.join(name)).expect("it is there");
        assert_eq!(about.permissions().mode() & 0o777, mode, "{name}");
    }
    running.signal("-TERM").await;
    let (code, log) = running.end().await;
    assert_eq!(code, Some(0));
    assert!(log.contains("final request totals") && log.contains(" requests={"), "{log}");
    assert_eq!(daemon.file()["phase"], "stopped");
    let (last, code) = daemon.status().await;
    assert_eq!((code, &last["last"]["phase"]), (Some(4), &json!("stopped")));
    assert!(!daemon.state.join("control.sock").exists());
}

/// A stop with a request in flight: its client gets the attempt's outcome, and no attempt is sent afterwards.
#[tokio::test]
async fn stop_with_request_in_flight_returns_its_outcome() {
    let (mut backend, word) = Backend::held("logged").await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    // One attempt, whose outcome the test delays.
    config["settings"]["limits"]["secondCopies"] = false.into();
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadlineMs"] = 60_000.into();
    }
    let daemon = Daemon::new(&config);
    let running = daemon.start().await;
    let mut client = Client { stream: TcpStream::connect(running.address).await.expect("a connection") };
    client.send(&request("POST", "/save/1", "60000m", "session")).await;
    backend.next().await;
    running.signal("-TERM").await;
    let status = daemon.until("draining", |s| s["phase"] == "draining").await;
    assert_eq!(status["requests"]["save"]["open"], 1);
    // Once it accepts no more connections, only the pending request keeps it from exiting.
    soon("the end of accepting", async {
        while TcpStream::connect(running.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    word.notify_one();
    assert_eq!(client.answer().await.body, b"logged");
    assert_eq!(running.end().await.0, Some(0));
    let counts = &daemon.file()["requests"]["save"];
    assert_eq!((&counts["taken"], &counts["served"]), (&json!(1), &json!(1)));
    assert!(backend.seen.try_recv().is_err(), "something went out after the answer");
}

/// The operator's limit may be shorter than the clients' deadlines: every request still gets a response.
#[tokio::test]
async fn stop_within_limit_answers_abandoned_requests() {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadlineMs"] = 60_000.into();
    }
    let daemon = Daemon::with(&config, "stop_within = \"200ms\"\n");
    let running = daemon.start().await;
    let mut client = Client { stream: TcpStream::connect(running.address).await.expect("a connection") };
    client.send(&request("POST", "/pay/1", "60000m", "b")).await;
    backend.next().await;
    running.signal("-TERM").await;
    assert_eq!(client.answer().await.status(), 504);
    assert_eq!(running.end().await.0, Some(0));
    assert_eq!(daemon.file()["requests"]["pay"]["failed"], 1);
}

/// Two processes of one file, fifty times, either one first: one serves, the other exits with 3 and one line, and changes
/// nothing of the first one's.
#[tokio::test]
async fn second_of_two_simultaneous_starts_exits_with_3() {
    let (_backend, _directory, mut config) = world().await;
    config["listen"] = unshared_address().await.to_string().into();
    let daemon = Daemon::new(&config);
    for round in 0..50 {
        let first = daemon.command().spawn().expect("it starts");
        if round % 2 == 0 {
            // The second one starts when the first holds its lock and its address.
            daemon.until("the first one's status", |s| s["pid"].as_u64() == first.id().map(u64::from)).await;
        }
        let second = daemon.command().spawn().expect("it starts");
        let ids = [first.id().expect("an id"), second.id().expect("an id")];
        let (mut one, mut two) = (first, second);
        let (ended, mut serving) = soon("the end of one", async {
            tokio::select! {
                _ = one.wait() => (one, two),
                _ = two.wait() => (two, one),
            }
        })
        .await;
        let output = ended.wait_with_output().await.expect("its output");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(3), "{log}");
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.contains("already running"), "{log}");
        let pid = serving.id().expect("it runs");
        assert!(ids.contains(&pid));
        daemon
            .until("readiness", |s| s["phase"] == "ready" && s["pid"].as_u64() == Some(u64::from(pid)))
            .await;
        let address: std::net::SocketAddr =
            config["listen"].as_str().expect("text").parse().expect("an address");
        let mut client = Client { stream: TcpStream::connect(address).await.expect("it listens") };
        assert_eq!(client.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
        assert_eq!(daemon.file()["pid"].as_u64(), Some(u64::from(pid)));
        if round < 49 {
            serving.kill().await.expect("it is killed");
        } else {
            kill("-TERM", pid).await;
            assert!(soon("its end", serving.wait()).await.expect("a status").success());
        }
    }
}

/// A killed process releases its lock; the next one takes its name, its address and its directory, whatever files are
/// left there.
#[tokio::test]
async fn start_after_kill_takes_over_state_directory() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let mut running = daemon.start().await;
    running.child.kill().await.expect("it is killed");
    assert!(daemon.state.join("control.sock").exists(), "a killed process tidies nothing up");
    let (last, code) = daemon.status().await;
    assert_eq!((code, &last["running"]), (Some(4), &json!(false)));
    // A truncated status file is no obstacle, and is reported while no process runs.
    std::fs::write(daemon.state.join("status.json"), "{\"version\":1,\"na").expect("a file");
    let (cut, code) = daemon.status().await;
    assert_eq!(code, Some(4));
    assert!(cut["why"].as_str().is_some_and(|why| why.contains("cut off")), "{cut}");
    let again = daemon.start().await;
    let status = daemon.until("readiness", |s| s["phase"] == "ready").await;
    assert_eq!(status["name"], "n0");
    assert!(status["problems"].as_array().is_some_and(Vec::is_empty), "{status}");
    again.signal("-TERM").await;
    assert_eq!(again.end().await.0, Some(0));
}

/// With an unusable state directory the instance serves, and the status, if it can be read, reports the problem.
#[tokio::test]
async fn unusable_state_directory_does_not_stop_serving() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let root =
        std::fs::metadata("/proc/self").map(|m| std::os::unix::fs::MetadataExt::uid(&m)).ok() == Some(0);
    let foreign = daemon.folder.path().join("foreign");
    std::fs::create_dir(&foreign).expect("a folder");
    let foreign = if root {
        std::os::unix::fs::chown(&foreign, Some(65534), None).expect("root may");
        foreign
    } else {
        PathBuf::from("/usr")
    };
    for (state, why) in
        [(foreign.as_path(), "belongs to user"), (Path::new("/dev/null/state"), "cannot be made")]
    {
        let mut command = daemon.command();
        command.arg("--state").arg(state);
        let running = running(command).await;
        assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
        running.signal("-TERM").await;
        let (code, log) = running.end().await;
        assert_eq!(code, Some(0));
        assert!(log.contains(why) && log.contains("start: continuing with a problem"), "{log}");
    }
    assert!(std::fs::read_dir(&foreign)
        .expect("it is there")
        .all(|e| e.is_ok_and(|e| e.file_name() != "lock")));
    // Read-only, as another user if this one is root, to whom modes do not apply.
    let sealed = daemon.folder.path().join("sealed");
    std::fs::create_dir(&sealed).expect("a folder");
    let mut command = daemon.command();
    command.arg("--state").arg(&sealed);
    if root {
        std::os::unix::fs::chown(&sealed, Some(65534), Some(65534)).expect("root may");
        command.uid(65534).gid(65534);
        std::fs::set_permissions(daemon.folder.path(), PermissionsExt::from_mode(0o755)).expect("it is ours");
    }
    std::fs::set_permissions(&sealed, PermissionsExt::from_mode(0o500)).expect("root or owner");
    let running = running(command).await;
    assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    running.signal("-TERM").await;
    let (code, log) = running.end().await;
    std::fs::set_permissions(&sealed, PermissionsExt::from_mode(0o700)).expect("root or owner");
    assert_eq!(code, Some(0));
    assert!(log.contains("sealed: lock: Permission denied"), "{log}");
}

/// A full disk, simulated by the shell's file-size limit, which takes the same error path. The log is on the same disk.
#[tokio::test]
async fn full_disk_is_reported_and_does_not_stop_serving() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let listen = unshared_address().await;
    let log = daemon.folder.path().join("log");
    let mut command = Command::new("/bin/sh");
    let script = "trap '' XFSZ; ulimit -f 0; exec \"$0\" run --operator \"$1\" 2>>\"$2\"";
    command.args(["-c", script]).arg(program().get_program()).arg(&daemon.operator).arg(&log);
    command.env_clear().env("PROXY_LISTEN", listen.to_string()).kill_on_drop(true);
    let mut child = command.spawn().expect("it starts");
    let status = daemon.until("a problem", |s| s["problems"].to_string().contains("status.json")).await;
    assert_eq!(status["phase"], "ready");
    let mut client = Client { stream: TcpStream::connect(listen).await.expect("it listens") };
    for _ in 0..3 {
        assert_eq!(client.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    }
    assert!(!daemon.state.join("status.json").exists(), "half a file is none");
    kill("-TERM", child.id().expect("it runs")).await;
    assert!(soon("its end", child.wait()).await.expect("a status").success());
    assert_eq!(std::fs::metadata(&log).expect("it is there").len(), 0, "the log could not be written either");
}

/// Files that are malformed, truncated, unreadable or missing, and ones that need a restart are rejected without a change,
/// the status gives the reason, and a valid file is accepted after them.
#[tokio::test]
async fn reload_applies_everything_or_nothing() {
    let (_backend, _directory, config) = world().await;
    let mut second = Directory::start(Mood::Mute).await;
    let daemon = Daemon::new(&config);
    let running = daemon.start().await;
    let before = daemon.until("readiness", |s| s["phase"] == "ready").await["config"].clone();
    let good = std::fs::read_to_string(&daemon.operator).expect("it is there");
    let mut moved = config.clone();
    moved["discovery"] = second.address.to_string().into();
    let mut classes = moved.clone();
    classes["settings"]["classes"][0]["deadlineMs"] = 0.into();
    let broken = good.replace("50ms", "never") + "extra = 1\n";
    for (operator, config, why) in [
        (Some(good.as_str()), Some("{\"settings\":".to_owned()), "config.json:1"),
        (Some(good.as_str()), Some(classes.to_string()), "setting deadline is zero"),
        (Some(good.as_str()), None, "cannot read"),
        (Some(broken.as_str()), Some(moved.to_string()), "daemon.extra: is no known key"),
        (Some("[daemon\n"), Some(moved.to_string()), "agent.toml:1"),
        (None, Some(moved.to_string()), "cannot be read"),
    ] {
        for (file, text) in [(&daemon.operator, operator.map(str::to_owned)), (&daemon.config, config)] {
            match text {
                Some(text) => std::fs::write(file, text).expect("a file"),
                None => std::fs::remove_file(file).expect("it was there"),
            }
        }
        let told = daemon.ask(&json!({"command": "reload"})).await;
        assert!(told["error"].as_str().is_some_and(|e| e.contains(why)), "{why}: {told}");
        let now = &daemon.status().await.0["config"];
        assert_eq!((&now["digest"], &now["generation"]), (&before["digest"], &before["generation"]));
        assert!(now["refused"].as_str().is_some_and(|e| e.contains(why)), "{now}");
    }
    // Unreadable for root too: a folder in place of the file.
    std::fs::write(&daemon.operator, &good).expect("a file");
    std::fs::remove_file(&daemon.config).expect("it was there");
    std::fs::create_dir(&daemon.config).expect("a folder");
    let told = daemon.ask(&json!({"command": "reload"})).await;
    assert!(told["error"].as_str().is_some_and(|e| e.contains("cannot read")), "{told}");
    std::fs::remove_dir(&daemon.config).expect("it was there");
    assert!(second.calls.try_recv().is_err(), "a part of a bad reload was taken");
    std::fs::write(&daemon.operator, &good).expect("a file");
    std::fs::write(&daemon.config, moved.to_string()).expect("a file");
    assert_eq!(daemon.ask(&json!({"command": "reload"})).await, json!({"generation": 2}));
    second.next_call().await;
    // Ten reloads within a second, by signal and by command, and then a stop.
    for round in 0..10 {
        if round % 2 == 0 {
            running.signal("-HUP").await;
        } else {
            daemon.ask(&json!({"command": "reload"})).await;
        }
    }
    assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    let last = daemon.ask(&json!({"command": "reload"})).await["generation"].as_u64().expect("a number");
    assert!(last >= 8, "{last}");
    assert_eq!(daemon.ask(&json!({"command": "drain"})).await, json!({"draining": true}));
    assert_eq!(running.end().await.0, Some(0));
}

/// Control clients that send nothing, half a line, too much or nonsense block no other client.
#[tokio::test]
async fn silent_control_clients_block_no_other() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let running = daemon.start().await;
    let path = daemon.state.join("control.sock");
    let mut silent = UnixStream::connect(&path).await.expect("it listens");
    let mut half = UnixStream::connect(&path).await.expect("it listens");
    half.write_all(b"{\"command\":").await.expect("it reads");
    for text in ["no json\n".to_owned(), "{}\n".to_owned(), format!("{}\n", "x".repeat(10_000))] {
        let mut stream = UnixStream::connect(&path).await.expect("it listens");
        let _ = stream.write_all(text.as_bytes()).await;
        let mut answer = String::new();
        let _ = soon("an answer or the end", stream.read_to_string(&mut answer)).await;
        assert!(answer.is_empty() || answer.contains("error"), "{answer}");
    }
    assert_eq!(daemon.ask(&json!({"command": "status"})).await["phase"], "ready");
    for stream in [&mut silent, &mut half] {
        let mut rest = Vec::new();
        soon("its end", stream.read_to_end(&mut rest)).await.expect("it is closed");
        assert!(rest.is_empty());
    }
    running.signal("-TERM").await;
    assert_eq!(running.end().await.0, Some(0));
}

/// A stop during the start shuts the instance down as any other.
#[tokio::test]
async fn stop_during_start_exits() {
    let directory = Directory::start(Mood::Mute).await;
    let daemon = Daemon::new(&config(directory.address, &[]));
    let running = daemon.start().await;
    assert_eq!(daemon.status().await.0["phase"], "starting");
    assert!(daemon.status().await.0["problems"].to_string().contains("no server is up"));
    running.signal("-TERM").await;
    assert_eq!(running.end().await.0, Some(0));
    assert_eq!(daemon.file()["phase"], "stopped");
}

/// The notifications to a service manager, by the published protocol.
#[tokio::test]
async fn service_manager_gets_readiness_reloads_watchdog_and_stop() {
    let (backend, _directory, config) = world().await;
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let mut config = config;
    config["discovery"] = directory.address.to_string().into();
    config["known"]["hosts"] = json!([]);
    config["known"]["seq"] = 0.into();
    let daemon = Daemon::new(&config);
    let manager = Manager::listen(&daemon.folder);
    let mut command = daemon.command();
    command.env("NOTIFY_SOCKET", &manager.address).env("WATCHDOG_USEC", "40000");
    let running = running(command).await;
    // Keep-alives precede readiness, which needs a server.
    assert_eq!(manager.next().await, ["WATCHDOG=1"]);
    directory.next_call().await;
    directory.list(2, &[host("s", backend.address, "up")]);
    let ready = manager.until("READY=1").await;
    let own = format!("MAINPID={}", running.child.id().expect("it runs"));
    assert!(ready.contains(&own), "{ready:?}");
    running.signal("-HUP").await;
    let reloading = manager.until("RELOADING=1").await;
    let micros = reloading.iter().find_map(|line| line.strip_prefix("MONOTONIC_USEC="));
    assert!(micros.and_then(|m| m.parse::<u64>().ok()).is_some_and(|m| m > 0), "{reloading:?}");
    manager.until("READY=1").await;
    manager.until("WATCHDOG=1").await;
    running.signal("-TERM").await;
    manager.until("STOPPING=1").await;
    assert_eq!(running.end().await.0, Some(0));
}

/// Starts the program with sockets from descriptor 3 on, as a service manager does.
fn handed(daemon: &Daemon, sockets: Vec<std::os::fd::OwnedFd>, pid: &str) -> Command {
    use command_fds::{CommandFdExt, FdMapping};
    let mut command = std::process::Command::new("/bin/sh");
    let script = format!("LISTEN_PID={pid} exec \"$0\" run --operator \"$1\"");
    command.args(["-c", &script]).arg(program().get_program()).arg(&daemon.operator);
    command.env_clear().env("LISTEN_FDS", sockets.len().to_string()).stderr(Stdio::piped());
    let map = |(n, parent_fd)| FdMapping { parent_fd, child_fd: 3 + n as i32 };
    command.fd_mappings(sockets.into_iter().enumerate().map(map).collect()).expect("no collision");
    let mut command = Command::from(command);
    command.kill_on_drop(true);
    command
}

#[tokio::test]
async fn inherited_socket_is_listened_on() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let given = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = given.local_addr().expect("an address");
    let mine = running(handed(&daemon, vec![given.try_clone().expect("a copy").into()], "$$")).await;
    assert_eq!(mine.address, address);
    assert_eq!(mine.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    // The next process takes over: connections made meanwhile wait in the queue and are served by it.
    assert_eq!(daemon.ask(&json!({"command": "drain", "handover": true})).await, json!({"draining": true}));
    assert_eq!(mine.end().await.0, Some(0));
    let mut waiting =
        Client { stream: TcpStream::connect(address).await.expect("the socket is still there") };
    waiting.send(&request("GET", "/read", "20000m", "")).await;
    let next = running(handed(&daemon, vec![given.try_clone().expect("a copy").into()], "$$")).await;
    assert_eq!(waiting.answer().await.status(), 200);
    next.signal("-TERM").await;
    assert_eq!(next.end().await.0, Some(0));
    // `LISTEN_PID` of another process.
    let other = running(handed(&daemon, vec![given.into()], "1")).await;
    assert_ne!(other.address, address);
    other.signal("-TERM").await;
    assert_eq!(other.end().await.0, Some(0));
}

#[tokio::test]
async fn unusable_inherited_sockets_exit_with_2() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let tcp = || std::os::fd::OwnedFd::from(std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let udp = std::os::fd::OwnedFd::from(std::net::UdpSocket::bind("127.0.0.1:0").expect("a port"));
    for (sockets, why) in
        [(vec![tcp(), tcp()], "one was expected"), (vec![udp], "not a listening TCP socket")]
    {
        let output = soon("its end", handed(&daemon, sockets, "$$").output()).await.expect("its output");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{log}");
        assert!(log.lines().count() == 1 && log.contains(why), "{log}");
    }
}

/// `check` reports all errors of both files, a line each with its location, or a summary if there are none.
#[tokio::test]
async fn check_reports_all_errors_and_exits_with_2() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let check = || bellcroft([Path::new("check"), Path::new("--operator"), &daemon.operator]);
    let output = check().output().await.expect("its output");
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("classes: read, save, pay"));
    std::fs::write(
        &daemon.operator,
        "[daemon]\nstat = \"x\"\nstatus_every = 1\n[instance]\nconfig = \"config.json\"\n",
    )
    .expect("a file");
    let output = check().output().await.expect("its output");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), text.lines().count()), (Some(2), 2), "{text}");
    assert!(
        text.contains("agent.toml:2: daemon.stat: ") && text.contains("agent.toml:3: daemon.status_every: ")
    );
    for wrong in [&["frobnicate"][..], &["status"], &["run", "--operator"]] {
        let output = bellcroft(wrong.iter()).output().await.expect("its output");
        assert_eq!(output.status.code(), Some(2), "{wrong:?}");
    }
}
