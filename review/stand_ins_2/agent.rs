//! The agent as a process of its own, by the command of the deploy file.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

pub struct Agent {
    pub child: Child,
    pub name: String,
    record: Record,
}

/// Kills a process that the case started.
pub fn kill_process(pid: u32) {
    unsafe { kill(pid as i32, SIGKILL) };
}

/// The root of the repository: the folder above that of the scripts.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"))
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let file = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = file.lines().find(|line| line.starts_with("run = ")).expect("run in the deploy file");
    line.split('"').nth(1).expect("a command").to_owned()
}

/// An address of the loopback with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Writes a file whole: under another name first, which then takes its place.
pub fn write_whole(path: &Path, text: &str) {
    let new = path.with_extension("new");
    let mut file = File::create(&new).unwrap();
    file.write_all(text.as_bytes()).unwrap();
    fs::rename(&new, path).unwrap();
}

impl Agent {
    /// Starts an agent at this address. `folder` is its private temporary folder.
    pub fn start(
        record: &Record,
        name: &str,
        folder: &Path,
        config: &Path,
        listen: SocketAddr,
        discovery: SocketAddr,
        log: &str,
    ) -> Agent {
        let log = File::create(folder.join(log)).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .current_dir(root())
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", config)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the agent starts");
        record.line("agent", &format!("{name} started as process {}", child.id()));
        Agent { child, name: name.to_owned(), record: record.clone() }
    }

    pub fn signal(&self, signal: i32) {
        self.record.line("agent", &format!("{} gets signal {signal}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks `GET /ready` once; the status of the answer, if one comes.
pub fn ready_status(listen: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&listen, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.split(' ').nth(1)?.parse().ok()
}

/// Waits until the agent is ready; false after this time.
pub fn wait_ready(listen: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if ready_status(listen) == Some(200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A class as the settings give it.
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub group: &'static str,
    pub window_ms: u64,
}

/// The three classes of the deployment.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "read-schedule",
        aim_ms: 200,
        deadline_ms: 400,
        effect: "idempotent",
        group: "all",
        window_ms: 5000,
    },
    Class {
        name: "assign-session",
        aim_ms: 400,
        deadline_ms: 1000,
        effect: "deduplicated",
        group: "zone",
        window_ms: 1000,
    },
    Class {
        name: "log-session",
        aim_ms: 500,
        deadline_ms: 1500,
        effect: "deduplicated",
        group: "all",
        window_ms: 7500,
    },
];

/// The settings of a small deployment, after the example of the wire's page.
pub fn settings(classes: &[Class], waste: f64) -> String {
    let class = |c: &Class| {
        format!(
            r#"{{"aimMs":{},"deadlineMs":{},"dedupWindowMs":{},"effect":"{}","group":"{}","lateWorth":0.0,"name":"{}","points":1.0,"stream":false}}"#,
            c.aim_ms, c.deadline_ms, c.window_ms, c.effect, c.group, c.name
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    format!(
        r#"{{"balancers":3,"classes":[{}],"clientHabits":{{"marksRetry":false}},"discovery":"on_request","familyInfo":{{"warmKeys":false}},"feedback":{{"fields":["qps","latency_ms","eps","queue"],"source":"piggyback"}},"goal":{{"whole":0.6,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.1}},"kinds":["standard-3core"],"limits":{{"cancel":true,"connectTimeoutMs":100.0,"cpuUsPerRequest":0.0,"cpuUsPerS":9528,"keepaliveMs":10000.0,"maxAttempts":6,"maxOpen":23821,"maxRetryAfterMs":750.0,"maxStreams":1,"peers":false,"probes":true,"retryAfter":false,"secondCopies":true}},"overShareWorth":0.1,"parties":[{{"allowancePerS":500.0,"fraction":1.0,"name":"courts"}}],"penalties":{{"connection":0.03,"crossZone":0.02,"discovery":0.0,"handshake":0.03,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":{waste}}},"periodMs":5.0,"rules":{{"askWithinMs":10000.0,"coldShare":0.39,"fallMs":1500.0,"graceToAnswerMs":20.0,"overloadFactor":4.0,"stopSendingWithinMs":2000.0,"warmAfterMs":7400.0}},"serviceType":"mesh","slotNo":0,"tier":0,"tiers":["booking-servers"],"weights":"silent","worthBy":"request","zone":0,"zones":["san-fernando","marabella"]}}"#,
        classes.join(",")
    )
}

/// A whole configuration.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{settings}}}
"#
    )
}
