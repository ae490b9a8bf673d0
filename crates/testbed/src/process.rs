//! The real program, and a client that speaks plain bytes.

use crate::http::{read_message, request, soon, Message};
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;

/// Settings for the classes `read`, `save` and `pay`, with long deadlines.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimMs": 1500, "deadlineMs": 2500, "effect": effect, "group": "all",
               "dedupWindowMs": 5000, "points": 1})
    };
    json!({"balancers": 1, "zone": 0, "zones": ["a", "b"], "kinds": ["m"], "discovery": "on_request",
           "classes": [class("read", "idempotent"), class("save", "deduplicated"), class("pay", "at_most_once")],
           "parties": [{"name": "acme", "fraction": 1.0, "allowancePerS": 100.0}],
           "feedback": {"source": "piggyback", "fields": ["qps", "queue"]},
           "limits": {"cancel": true, "connectTimeoutMs": 500, "keepaliveMs": 10000, "maxAttempts": 3,
                      "probes": true, "retryAfter": true, "maxRetryAfterMs": 750, "secondCopies": true},
           "rules": {"askWithinMs": 10000, "stopSendingWithinMs": 2000}, "periodMs": 1})
}

/// The interval at which a text is looked for in the log.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The real program.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub child: Child,
    /// What it has written to its log.
    pub log: Arc<Mutex<Vec<String>>>,
    log_reader: JoinHandle<()>,
    file: PathBuf,
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A configuration on a port of the kernel's choice.
pub fn config(directory: SocketAddr, hosts: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": directory.to_string(), "seed": "0f",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": {"seq": 1, "whole": true, "hosts": hosts}, "settings": settings()})
}

/// The same with a second address, and with times so long that what waits goes on waiting.
pub fn patient_config(directory: SocketAddr, hosts: &[Value]) -> Value {
    let mut config = config(directory, hosts);
    config["console"] = "127.0.0.1:0".into();
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        (class["aimMs"], class["deadlineMs"]) = (20_000.into(), 25_000.into());
        class["dedupWindowMs"] = 60_000.into();
    }
    config
}

/// A file of its own with this text.
pub fn write_config(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!("bellcroft-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a file");
    file
}

/// The real program, ready for its arguments. In tests it lies beside them, built by cargo; the binaries of testbed and experiments
/// play it themselves, for cargo builds no other package's binary to run one.
pub fn program() -> std::process::Command {
    let own = std::env::current_exe().expect("a path");
    let beside = own.parent().and_then(|dir| dir.parent()).map(|dir| dir.join("bellcroft"));
    match std::env::var_os("BELLCROFT_PROGRAM").map(PathBuf::from) {
        Some(program) => std::process::Command::new(program),
        None if own.file_stem().is_some_and(|name| name == "testbed" || name == "experiments") => {
            let mut command = std::process::Command::new(own);
            command.arg("agent");
            command
        }
        None => std::process::Command::new(beside.expect("a folder of the build")),
    }
}

/// The real program with a configuration and nothing else of the environment.
pub fn command(file: &Path) -> Command {
    command_of(program(), file)
}

fn command_of(program: std::process::Command, file: &Path) -> Command {
    let mut command = Command::from(program);
    command.env_clear().env("PROXY_CONFIG", file).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

impl Agent {
    /// Starts one that knows these servers.
    pub async fn start(directory: SocketAddr, hosts: &[Value]) -> Self {
        Self::with(config(directory, hosts), |_| {}).await
    }

    /// Starts one with a configuration, and a command that the test may adapt.
    pub async fn with(config: Value, adapt: impl FnOnce(&mut Command)) -> Self {
        let file = write_config(&config.to_string());
        let mut command = command(&file);
        adapt(&mut command);
        Self::spawn(command, file).await
    }

    /// Starts one of another program file, such as an earlier build.
    pub async fn of_program(program: &Path, config: Value) -> Self {
        let file = write_config(&config.to_string());
        Self::spawn(command_of(std::process::Command::new(program), &file), file).await
    }

    /// Starts it and waits until it listens.
    async fn spawn(mut command: Command, file: PathBuf) -> Self {
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
        let mut first = Vec::new();
        let address = loop {
            let line = soon("the agent's start", log.next_line()).await.expect("a log").expect("a line");
            let address = log_field(&line, "listening for clients", "address").map(str::parse);
            first.push(line);
            if let Some(address) = address {
                break address.expect("an address");
            }
        };
        // Someone must read on, or a full pipe would stop the agent.
        let lines = Arc::new(Mutex::new(first));
        let kept = lines.clone();
        let log_reader = tokio::spawn(async move {
            while let Ok(Some(line)) = log.next_line().await {
                kept.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        Agent { address, child, log: lines, log_reader, file }
    }

    /// Starts one that goes by an operator's file too.
    pub async fn operated(config: Value, operator: &Path) -> Self {
        Self::with(config, |command| {
            command.args([Path::new("run"), Path::new("--operator"), operator]);
        })
        .await
    }

    /// All that it logged, once it has ended: its last lines may come after its exit is known.
    pub async fn complete_log(&mut self) -> Vec<String> {
        soon("the end of the log", &mut self.log_reader).await.expect("the reader does not fail");
        std::mem::take(&mut *self.log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Lines of its log that hold this text.
    pub fn logged(&self, text: &str) -> usize {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).iter().filter(|l| l.contains(text)).count()
    }

    /// Waits until it has logged this text.
    pub async fn until_logged(&self, text: &str) {
        soon(text, async {
            while self.logged(text) == 0 {
                tokio::time::sleep(LOG_POLL_INTERVAL).await;
            }
        })
        .await;
    }

    /// Asks its second address, the port of which the configuration leaves to the kernel.
    pub async fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.console()).await.expect("the second address");
        stream.write_all(format!("{line}\n").as_bytes()).await.expect("it reads");
        let mut answer = String::new();
        soon("an answer", stream.read_to_string(&mut answer)).await.expect("an answer");
        answer
    }

    /// Where operators ask.
    pub fn console(&self) -> SocketAddr {
        let lines = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let found = lines.iter().find_map(|line| log_field(line, "admin console listening", "address"));
        found.expect("it has a second address").parse().expect("an address")
    }

    /// A figure by its name, such as `svc.in_progress`.
    pub async fn figure(&self, name: &str) -> u64 {
        let text = self.call("show-stat").await;
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().expect("a number")
    }

    /// Waits until a figure is as wanted.
    pub async fn until(&self, name: &str, wanted: impl Fn(u64) -> bool) {
        soon(name, async {
            while !wanted(self.figure(name).await) {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    /// Sockets that it has open, as its kernel counts them.
    pub fn sockets(&self) -> usize {
        let id = self.child.id().expect("it runs");
        let files = std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors");
        let names = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
        names.filter(|name| name.to_string_lossy().starts_with("socket:")).count()
    }

    /// The peak of its resident memory in KiB, as its kernel counts it; none if it has ended.
    pub fn peak_resident_kib(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.trim().trim_end_matches(" kB").parse().ok()
    }

    /// A new connection to it.
    pub async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.expect("a connection") }
    }

    /// Asks for a path on a connection of its own.
    pub async fn get(&self, path: &str) -> Message {
        self.client().await.ask(&request("GET", path, "5000m", "")).await
    }

    /// Asks for a path as a client of the platform does while others use up the connections: it sends the request right after it
    /// has connected, and once more if that connection ends with no answer. A runtime of its own keeps the time between the two
    /// from depending on the test's other clients.
    pub async fn get_at_connection_limit(&self, path: &str) -> Message {
        let (address, request) = (self.address, request("GET", path, "5000m", ""));
        let asking = tokio::task::spawn_blocking(move || {
            on_own_runtime(async {
                match ask_once(address, &request).await {
                    Some(answer) => Some(answer),
                    None => ask_once(address, &request).await,
                }
            })
        });
        asking.await.expect("it does not fail").expect("a whole answer")
    }

    /// Waits until it says that it is ready.
    pub async fn ready(&self) {
        soon("readiness", async {
            while self.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await.status() != 200 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// Sends SIGTERM.
    pub async fn term(&self) {
        self.signal("-TERM").await;
    }

    /// Sends SIGHUP.
    pub async fn hang_up(&self) {
        self.signal("-HUP").await;
    }

    async fn signal(&self, signal: &str) {
        kill(signal, self.child.id().expect("it runs")).await;
    }

    /// Replaces the file of its configuration.
    pub fn replace(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
    }

    /// Waits for its end.
    pub async fn end(&mut self) -> ExitStatus {
        soon("the agent's end", self.child.wait()).await.expect("a status")
    }
}

/// Runs a client on a runtime of its own, apart from the other clients of a test, whose number would keep it from sending its
/// request right after it has connected. Blocks the calling thread.
pub fn on_own_runtime<T>(client: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(client)
}

/// Sends a request on a new connection; none if that ends before the first byte of an answer.
async fn ask_once(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.ok()?;
    let first = soon("an answer or an end", stream.peek(&mut [0; 1])).await;
    if !first.is_ok_and(|count| count > 0) {
        return None;
    }
    Some(soon("an answer", read_message(&mut stream, 0)).await.expect("a whole answer"))
}

/// Sends a signal such as `-TERM` to a process that the test has started.
pub async fn kill(signal: &str, id: u32) {
    let sent = Command::new("kill").args([signal, &id.to_string()]).status().await.expect("kill runs");
    assert!(sent.success());
}

/// Whether a process has not exited yet. One whose exit its parent has not taken note of is still listed in `/proc`.
pub fn is_running(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The state is behind the name, which is in parentheses and may contain any character.
    let state = stat.rsplit(") ").next().and_then(|fields| fields.chars().next());
    state.is_some_and(|state| !matches!(state, 'Z' | 'X'))
}

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
pub enum Leaving {
    /// It closes.
    Fin,
    /// It closes, and the kernel resets the connection.
    Reset,
    /// It closes its sending side alone; by the protocol's page a client that closes has gone away.
    Half,
}

impl Leaving {
    /// Each way.
    pub const ALL: [Leaving; 3] = [Leaving::Fin, Leaving::Reset, Leaving::Half];
}

/// Whether a status says that a request is not sound: an error, or a close with no answer. 429 and 503 say that trying again is worth
/// while.
pub fn is_error(status: Option<u16>) -> bool {
    status.is_none_or(|status| (400..600).contains(&status) && ![429, 503].contains(&status))
}

/// The application's side of a connection.
pub struct Client {
    /// The connection.
    pub stream: TcpStream,
}

impl Client {
    /// Writes all of it.
    pub async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("the agent reads");
    }

    /// Reads one answer.
    pub async fn answer(&mut self) -> Message {
        let message = soon("an answer", read_message(&mut self.stream, 0)).await;
        message.unwrap_or_else(|| {
            panic!("no whole answer on the connection from {:?}", self.stream.local_addr())
        })
    }

    /// Reads so many final answers behind any interim ones, and returns the status of the last one; none if the connection ends before
    /// that. A first answer other than 200 is the last one: it says that the end of the first request is in doubt.
    pub async fn nth_final_status(&mut self, count: usize) -> Option<u16> {
        let mut bytes = Vec::new();
        let mut answers = 0;
        loop {
            while let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = bytes.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
                if status == Some(100) {
                    continue;
                }
                answers += 1;
                if answers == count || status != Some(200) {
                    return status;
                }
                let length = head
                    .to_lowercase()
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
                while bytes.len() < length.unwrap_or(0) {
                    if self.stream.read_buf(&mut bytes).await.ok()? == 0 {
                        return None;
                    }
                }
                bytes.drain(..length.unwrap_or(0));
            }
            if self.stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Writes a request and reads its answer.
    pub async fn ask(&mut self, request: &str) -> Message {
        self.send(request).await;
        self.answer().await
    }

    /// Leaves. One that has closed its sending side alone is given back, and stays open for as long as it is kept.
    pub async fn leave(mut self, how: Leaving) -> Option<Self> {
        match how {
            Leaving::Fin => None,
            Leaving::Reset => {
                self.stream.set_zero_linger().expect("an option");
                None
            }
            Leaving::Half => {
                self.stream.shutdown().await.expect("it is open");
                Some(self)
            }
        }
    }

    /// Waits until the other side closes, with nothing said before.
    pub async fn closed(&mut self) {
        let mut rest = [0; 1];
        let read = soon("the connection's end", self.stream.read(&mut rest)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "more bytes came");
    }
}

/// The value of a field in a log line (text format) with this message; values that hold spaces are cut at the first.
pub fn log_field<'a>(line: &'a str, message: &str, field: &str) -> Option<&'a str> {
    let (_, fields) = line.split_once(message)?;
    let (_, value) = fields.split_once(&format!(" {field}="))?;
    value.split_whitespace().next()
}
