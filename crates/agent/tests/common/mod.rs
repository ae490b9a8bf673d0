//! A small world on loopback sockets for the real program: backends and discovery that the test scripts, and a
//! client that speaks plain bytes.
#![allow(dead_code, missing_docs)]

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch, Notify};

/// Nothing that is waited for takes nearly as long; a test that reaches this has failed.
pub const LONG: Duration = Duration::from_secs(30);

pub async fn soon<T>(what: &str, wait: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(LONG, wait).await.unwrap_or_else(|_| panic!("{what} did not happen"))
}

/// A message head and its body.
#[derive(Debug, Clone)]
pub struct Message {
    /// Which connection it came over, counted from 0.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }
}

/// Reads one message; `None` if the connection ends first.
pub async fn read_message(stream: &mut TcpStream, connection: usize) -> Option<Message> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let mut body = bytes.split_off(end);
    let head = String::from_utf8(bytes).ok()?;
    let mut message = Message { connection, head, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while body.len() < length {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    message.body = body;
    Some(message)
}

pub enum Reply {
    /// These bytes, and the connection stays.
    Bytes(Vec<u8>),
    /// These bytes, and the connection ends.
    Last(Vec<u8>),
    /// These bytes once the test gives the word; the connection stays.
    When(Arc<Notify>, Vec<u8>),
    /// Silence on an open connection.
    Mute,
}

pub fn ok(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A backend that shows the test each request and answers by its script.
pub struct Backend {
    pub address: SocketAddr,
    pub seen: mpsc::Receiver<Message>,
    pub connections: Arc<AtomicUsize>,
    /// Connections that their other side has closed.
    pub closed: mpsc::Receiver<usize>,
}

impl Backend {
    pub async fn start(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, seen) = mpsc::channel(1024);
        let (tell_closed, closed) = mpsc::channel(1024);
        let connections = Arc::new(AtomicUsize::new(0));
        let (count, script) = (connections.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::SeqCst);
                let (tell, tell_closed, script) = (tell.clone(), tell_closed.clone(), script.clone());
                tokio::spawn(async move {
                    while let Some(message) = read_message(&mut stream, number).await {
                        let reply = script(&message);
                        // A test that counts otherwise need not look at each.
                        let _ = tell.try_send(message);
                        match reply {
                            Reply::Bytes(bytes) => stream.write_all(&bytes).await.unwrap_or(()),
                            Reply::Last(bytes) => {
                                stream.write_all(&bytes).await.unwrap_or(());
                                return;
                            }
                            Reply::When(word, bytes) => {
                                word.notified().await;
                                stream.write_all(&bytes).await.unwrap_or(());
                            }
                            Reply::Mute => {}
                        }
                    }
                    let _ = tell_closed.send(number).await;
                });
            }
        });
        Backend { address, seen, connections, closed }
    }

    pub async fn next(&mut self) -> Message {
        soon("a request at the backend", self.seen.recv()).await.expect("a request")
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Where nobody listens.
pub async fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

pub fn host(name: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": 0, "health": health,
           "share": 1.0, "born_ms": 0})
}

/// What discovery does with a call.
#[derive(Clone)]
pub enum Mood {
    /// Answers a watch when there is something newer, or when its wait is over.
    List(Value),
    /// Answers with an error.
    Down,
    /// Says nothing.
    Mute,
}

/// A discovery service that shows the test each call.
pub struct Directory {
    pub address: SocketAddr,
    pub mood: watch::Sender<Mood>,
    pub calls: mpsc::Receiver<String>,
}

impl Directory {
    pub async fn start(mood: Mood) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, calls) = mpsc::channel(1024);
        let mood = watch::Sender::new(mood);
        let moods = mood.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (tell, mut mood) = (tell.clone(), moods.subscribe());
                tokio::spawn(async move {
                    while let Some(message) = read_message(&mut stream, 0).await {
                        let path = message.first_line().split(' ').nth(1).unwrap_or_default().to_owned();
                        tell.send(path.clone()).await.expect("the test listens");
                        let after =
                            path.split("after=").nth(1).and_then(|v| v.split('&').next()?.parse().ok());
                        let newer = |m: &Mood| match (m, after) {
                            (Mood::List(list), Some(after)) => list["seq"].as_u64() > Some(after),
                            _ => true,
                        };
                        let now = mood.wait_for(newer).await.expect("a mood").clone();
                        let reply = match now {
                            Mood::List(list) => ok(&list.to_string()),
                            Mood::Down => b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n".to_vec(),
                            Mood::Mute => continue,
                        };
                        if stream.write_all(&reply).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Directory { address, mood, calls }
    }

    pub fn list(&self, seq: u64, hosts: &[Value]) {
        self.mood.send_replace(Mood::List(json!({"seq": seq, "whole": true, "hosts": hosts})));
    }

    pub async fn next_call(&mut self) -> String {
        soon("a call to discovery", self.calls.recv()).await.expect("a call")
    }
}

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

/// The real program.
pub struct Agent {
    pub address: SocketAddr,
    pub child: Child,
    file: PathBuf,
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn config(directory: SocketAddr, hosts: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": directory.to_string(), "seed": "0f",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "known": {"seq": 1, "whole": true, "hosts": hosts}, "settings": settings()})
}

pub fn write_config(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!("bellcroft-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a file");
    file
}

pub fn command(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bellcroft"));
    command.env_clear().env("PROXY_CONFIG", file).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

impl Agent {
    pub async fn start(directory: SocketAddr, hosts: &[Value]) -> Self {
        Self::with(config(directory, hosts), |_| {}).await
    }

    pub async fn with(config: Value, adapt: impl FnOnce(&mut Command)) -> Self {
        let file = write_config(&config.to_string());
        let mut command = command(&file);
        adapt(&mut command);
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
        let address = loop {
            let line = soon("the agent's start", log.next_line()).await.expect("a log").expect("a line");
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().expect("an address");
            }
        };
        // Someone must read on, or a full pipe would stop the agent.
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Agent { address, child, file }
    }

    pub async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.expect("a connection") }
    }

    pub async fn get(&self, path: &str) -> Message {
        self.client().await.ask(&request("GET", path, "5000m", "")).await
    }

    pub async fn ready(&self) {
        soon("readiness", async {
            while self.client().await.ask("GET /ready HTTP/1.1\r\n\r\n").await.status() != 200 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    pub async fn term(&self) {
        self.signal("-TERM").await;
    }

    pub async fn hang_up(&self) {
        self.signal("-HUP").await;
    }

    async fn signal(&self, signal: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([signal, &id]).status().await.expect("kill runs");
        assert!(sent.success());
    }

    /// Replaces the file of its configuration.
    pub fn replace(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
    }

    pub async fn end(&mut self) -> ExitStatus {
        soon("the agent's end", self.child.wait()).await.expect("a status")
    }
}

/// The application's side of a connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("the agent reads");
    }

    pub async fn answer(&mut self) -> Message {
        soon("an answer", read_message(&mut self.stream, 0)).await.expect("a whole answer")
    }

    pub async fn ask(&mut self, request: &str) -> Message {
        self.send(request).await;
        self.answer().await
    }

    pub async fn closed(&mut self) {
        let mut rest = [0; 1];
        let read = soon("the connection's end", self.stream.read(&mut rest)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "more bytes came");
    }
}

/// A request of the class that its path names, with an id of its own; `save` carries an idempotency key.
pub fn request(method: &str, path: &str, wait: &str, body: &str) -> String {
    let class = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
    let key = if class == "save" { "Idempotency-Key: k1\r\n" } else { "" };
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let id = NUMBER.fetch_add(1, Ordering::SeqCst);
    format!(
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: id{id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: acme\r\nX-Timeout: {wait}\r\n{key}{length}\r\n{body}"
    )
}
