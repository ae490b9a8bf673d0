//! What the cases share: the agent as a process of its own, a discovery, an HTTP/1.1 reader, and the record.
//! Only the standard library is used. All addresses are loopback addresses with ports that the kernel chose.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

/// The record: one line for each event, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        let record = Record(Arc::new(Mutex::new(file)), Instant::now());
        record.line(&format!("TROUBLE={}", if trouble() { 1 } else { 0 }));
        record
    }

    pub fn line(&self, text: &str) {
        let ms = self.1.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.0.lock().unwrap(), "{ms:10.1} {text}");
    }

    /// A line that is printed too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Pseudo-random numbers (xorshift) from a fixed seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// In 0..1.
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.next()
    }
}

pub fn ms(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1e3)
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP/1.1

/// A message as it came.
#[derive(Debug, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte had come.
    pub began: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection that is read message by message.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Wire::new(TcpStream::connect(address)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 64 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn need(&mut self, length: usize) -> io::Result<()> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    /// The next line without its end.
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a message whole; none at a clean end before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let began = Instant::now();
        let first_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let mut message = Message { first_line, headers, body: Vec::new(), began };
        if let Some(length) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
            self.need(length)?;
            message.body = self.buffer.drain(..length).collect();
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).unwrap_or(0);
                self.need(size + 2)?;
                message.body.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
                if size == 0 {
                    break;
                }
            }
        }
        Ok(Some(message))
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// A class of request, as the settings and the application know it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    pub name: &'static str,
    pub keyed: bool,
    /// The time for which a client waits, in ms: the class's deadline.
    pub deadline_ms: u64,
}

pub const READ: Class = Class { name: "read-schedule", keyed: false, deadline_ms: 400 };
pub const ASSIGN: Class = Class { name: "assign-session", keyed: true, deadline_ms: 1000 };
pub const LOG: Class = Class { name: "log-session", keyed: true, deadline_ms: 1500 };

/// A client's request in the form of the protocol page.
pub fn request(class: Class, id: &str, timeout_ms: u64) -> Vec<u8> {
    let (method, key, body) = match class.keyed {
        true => ("POST", format!("Idempotency-Key: key-{id}\r\n"), format!("body of {id}")),
        false => ("GET", String::new(), String::new()),
    };
    let length = if class.keyed { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {name}\r\n\
         X-Tenant-Id: legal-aid\r\nX-Timeout: {timeout_ms}m\r\n{key}{length}\r\n{body}",
        name = class.name
    )
    .into_bytes()
}

// ---------------------------------------------------------------------------------------------------------------------
// Backends

/// Cores of a backend: as many requests are worked on at once.
pub struct Cores(Mutex<u32>, Condvar);

impl Cores {
    pub fn new(count: u32) -> Arc<Self> {
        Arc::new(Cores(Mutex::new(count), Condvar::new()))
    }

    pub fn work(&self, time: Duration) {
        let mut free = self.0.lock().unwrap();
        while *free == 0 {
            free = self.1.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        thread::sleep(time);
        *self.0.lock().unwrap() += 1;
        self.1.notify_one();
    }
}

/// Listens on a free port and calls `serve` with each connection in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no port: {e}")));
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub health: &'static str,
}

impl Host {
    pub fn new(index: usize, dial: SocketAddr) -> Self {
        let site = ["san-fernando", "marabella", "point-fortin"][index % 3];
        Host { name: format!("s-{index:08x}"), dial, site, health: "up" }
    }

    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"standard-3core\",\"block\":0,\"health\":\"{}\",\"share\":1.0,\"born_ms\":0}}",
            self.name, self.dial, self.site, self.health
        )
    }
}

struct Directory {
    seq: u64,
    hosts: Vec<Host>,
    /// The version at which a host changed last.
    changed: HashMap<String, u64>,
}

/// Discovery that is asked: whole lists and watches. Each answer takes `delay` from when it is due.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Directory>, Condvar)>,
    delay: Arc<Mutex<Duration>>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>, record: Record) -> Self {
        let state = Arc::new((Mutex::new(Directory { seq: 41, hosts, changed: HashMap::new() }), Condvar::new()));
        let delay = Arc::new(Mutex::new(Duration::ZERO));
        let (shared, shared_delay) = (state.clone(), delay.clone());
        let address = listen(move |stream| {
            let _ = serve_discovery(Wire::new(stream), &shared, &shared_delay, &record);
        });
        Discovery { address, state, delay }
    }

    /// From now on each answer is written this long after it is due.
    pub fn set_delay(&self, delay: Duration) {
        *self.delay.lock().unwrap() = delay;
    }

    pub fn set_health(&self, index: usize, health: &'static str) {
        let mut state = self.state.0.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        state.hosts[index].health = health;
        let name = state.hosts[index].name.clone();
        state.changed.insert(name, seq);
        self.state.1.notify_all();
    }

    pub fn known(&self) -> String {
        list(&self.state.0.lock().unwrap(), None)
    }
}

/// The whole list, or what changed after a version.
fn list(state: &Directory, after: Option<u64>) -> String {
    let newer = |host: &&Host| after.is_none_or(|after| state.changed.get(&host.name).is_some_and(|at| *at > after));
    let hosts: Vec<String> = state.hosts.iter().filter(newer).map(Host::json).collect();
    format!("{{\"seq\":{},\"whole\":{},\"hosts\":[{}]}}", state.seq, after.is_none(), hosts.join(","))
}

fn serve_discovery(
    mut wire: Wire,
    state: &(Mutex<Directory>, Condvar),
    delay: &Mutex<Duration>,
    record: &Record,
) -> io::Result<()> {
    while let Some(call) = wire.read()? {
        let target = call.target().to_owned();
        record.line(&format!("discovery is called: {target}"));
        let parameter = |name: &str| {
            let query = target.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let after = parameter("after");
        if let (Some(after), Some(wait)) = (after, parameter("wait_ms")) {
            let until = Instant::now() + Duration::from_millis(wait.min(60_000));
            let mut directory = state.0.lock().unwrap();
            while directory.seq <= after && Instant::now() < until {
                directory = state.1.wait_timeout(directory, until - Instant::now()).unwrap().0;
            }
        }
        let wait = *delay.lock().unwrap();
        thread::sleep(wait);
        let text = list(&state.0.lock().unwrap(), after);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        // A caller that has given up gets nothing.
        let gone = {
            wire.stream.set_nonblocking(true)?;
            let end = wire.stream.peek(&mut [0]);
            wire.stream.set_nonblocking(false)?;
            matches!(end, Ok(0)) || matches!(end, Err(ref e) if e.kind() != io::ErrorKind::WouldBlock)
        };
        if gone {
            record.line(&format!("discovery: the caller of {target} has gone"));
            return Ok(());
        }
        wire.send(answer.as_bytes())?;
        record.line(&format!("discovery has written its answer to {target}: {text}"));
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------------------------------
// The agent

/// One agent, started by `run` of the deploy file.
pub struct Agent {
    child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

/// The value of a key of the deploy file.
fn deploy(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}; the case is started by run.sh")));
    let line = text.lines().find(|line| line.starts_with(&format!("{key} ="))).unwrap_or_default();
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("the deploy file names no such command")).to_owned()
}

pub fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no port: {e}")));
    listener.local_addr().unwrap()
}

/// The settings of a small deployment: three agents, three zones, three classes.
pub fn settings(max_attempts: u32) -> String {
    let class = |name: &str, aim: u32, deadline: u32, effect: &str, group: &str, window: u32, points: u32| {
        format!(
            "{{\"name\":\"{name}\",\"aimMs\":{aim}.0,\"deadlineMs\":{deadline}.0,\"effect\":\"{effect}\",\"group\":\"{group}\",\"dedupWindowMs\":{window}.0,\"lateWorth\":0.0,\"points\":{points}.0,\"stream\":false}}"
        )
    };
    let classes = [
        class("read-schedule", 200, 400, "idempotent", "all", 5000, 1),
        class("assign-session", 400, 1000, "deduplicated", "zone", 1000, 3),
        class("log-session", 500, 1500, "deduplicated", "all", 7500, 10),
    ];
    format!(
        "{{\"balancers\":3,\"tier\":0,\"tiers\":[\"booking-servers\"],\"slotNo\":0,\"zone\":0,\"zones\":[\"san-fernando\",\"marabella\",\"point-fortin\"],\
         \"kinds\":[\"standard-3core\"],\"serviceType\":\"mesh\",\"discovery\":\"on_request\",\"classes\":[{}],\
         \"parties\":[{{\"name\":\"legal-aid\",\"fraction\":1.0,\"allowancePerS\":400.0}}],\"overShareWorth\":0.1,\
         \"clientHabits\":{{\"marksRetry\":false}},\"familyInfo\":{{\"warmKeys\":false}},\
         \"feedback\":{{\"source\":\"piggyback\",\"fields\":[\"qps\",\"latency_ms\",\"eps\",\"queue\"]}},\
         \"goal\":{{\"whole\":0.6,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.1}},\
         \"limits\":{{\"cancel\":true,\"connectTimeoutMs\":100.0,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":9528,\"keepaliveMs\":10000.0,\"maxAttempts\":{max_attempts},\
         \"maxOpen\":20000,\"maxRetryAfterMs\":750.0,\"maxStreams\":1,\"peers\":false,\"probes\":true,\"retryAfter\":false,\"secondCopies\":true}},\
         \"penalties\":{{\"connection\":0.03,\"crossZone\":0.02,\"handshake\":0.03,\"lateFail\":0.05,\"probe\":0.01,\"waste\":0.02}},\
         \"periodMs\":5.0,\"rules\":{{\"askWithinMs\":10000.0,\"coldShare\":0.39,\"fallMs\":1500.0,\"graceToAnswerMs\":20.0,\"overloadFactor\":4.0,\
         \"stopSendingWithinMs\":2000.0,\"warmAfterMs\":7400.0}},\"weights\":\"silent\",\"worthBy\":\"request\"}}",
        classes.join(",")
    )
}

/// The configuration file of an agent.
pub fn configuration(address: SocketAddr, discovery: &Discovery, sockets: u32, max_attempts: u32) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\"known\":{},\"settings\":{}}}",
        discovery.address,
        discovery.known(),
        settings(max_attempts)
    )
}

impl Agent {
    /// Starts an agent and waits until it is ready.
    pub fn start(discovery: &Discovery, sockets: u32) -> Self {
        Self::start_with(discovery, |address| configuration(address, discovery, sockets, 6))
    }

    /// The same with a configuration of the case's own.
    pub fn start_with(discovery: &Discovery, text: impl Fn(SocketAddr) -> String) -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let folder = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        let private = folder.join("tmp");
        std::fs::create_dir_all(&private).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", folder.display())));
        let address = free_port();
        let file = folder.join("config.json");
        std::fs::write(&file, text(address)).unwrap();
        let log = File::create(folder.join("log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy("run")])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.address.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the agent does not start: {e}")));
        let agent = Agent { child, address, folder };
        let limit = Instant::now() + Duration::from_secs(20);
        while !agent.is_ready() {
            if Instant::now() > limit {
                drop(agent);
                cannot_run("the agent is not ready after 20 s (is it built?)");
            }
            thread::sleep(ms(50.0));
        }
        agent
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut wire = Wire::connect(self.address)?;
            wire.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            wire.send(b"GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")?;
            Ok(wire.read()?.is_some_and(|answer| answer.status() == 200))
        };
        ask().unwrap_or(false)
    }

    /// Writes a new configuration as a whole and sends SIGHUP.
    pub fn reconfigure(&self, text: &str) {
        let (new, file) = (self.folder.join("config.new"), self.folder.join("config.json"));
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &file).unwrap();
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ends the agent and the case.
pub fn finish(agent: Agent, record: &Record, code: i32, verdict: &str) -> ! {
    drop(agent);
    record.say(verdict);
    std::process::exit(code);
}
