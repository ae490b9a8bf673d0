//! A stand-in for discovery, by the protocol's page: the whole list, and watches.

use crate::http::Conn;
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: String,
    pub health: &'static str,
    changed: u64,
}

struct State {
    seq: u64,
    hosts: Vec<Host>,
}

pub struct Discovery {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// Milliseconds between a call, or the end of its wait, and its answer.
    pub delay_ms: AtomicU64,
    pub down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, hosts: &[(&str, SocketAddr, &str)]) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = |(name, dial, site): &(&str, SocketAddr, &str)| Host {
            name: (*name).to_owned(),
            dial: *dial,
            site: (*site).to_owned(),
            health: "up",
            changed: 1,
        };
        let discovery = Arc::new(Discovery {
            addr: listener.local_addr().unwrap(),
            state: Mutex::new(State { seq: 1, hosts: hosts.iter().map(host).collect() }),
            changed: Condvar::new(),
            delay_ms: AtomicU64::new(0),
            down: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
        });
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.down.load(Ordering::SeqCst) {
                    continue;
                }
                serving.open.lock().unwrap().extend(stream.try_clone());
                let serving = serving.clone();
                std::thread::spawn(move || while_open(&serving, Conn::new(stream)));
            }
        });
        discovery
    }

    /// Changes the health of a host, from now on in the list.
    pub fn set(&self, name: &str, health: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        for host in state.hosts.iter_mut().filter(|host| host.name == name) {
            (host.health, host.changed) = (health, seq);
        }
        self.record.line("discovery", &format!("seq={seq} has: {name} {health}"));
        self.changed.notify_all();
    }

    /// Ends all calls and connections; new ones end at once, until `up`.
    pub fn go_down(&self) {
        self.record.line("discovery", "down");
        self.down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn go_up(&self) {
        self.down.store(false, Ordering::SeqCst);
        self.record.line("discovery", "up again");
    }

    /// The list in its present form; with `after`, the entries that changed since.
    pub fn list(&self, after: Option<u64>) -> String {
        let state = self.state.lock().unwrap();
        let listed = |host: &&Host| match after {
            Some(after) => host.changed > after,
            None => host.health != "removed",
        };
        let entry = |host: &Host| {
            format!(
                r#"{{"host":"{}","dial":"{}","site":"{}","class":"standard-3core","block":1,"health":"{}","share":1.0,"born_ms":0}}"#,
                host.name, host.dial, host.site, host.health
            )
        };
        let hosts: Vec<String> = state.hosts.iter().filter(listed).map(entry).collect();
        format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, state.seq, after.is_none(), hosts.join(","))
    }

    fn wait_for_change(&self, after: u64, wait: Duration) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        while state.seq <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn while_open(discovery: &Discovery, mut conn: Conn) {
    while let Ok(head) = conn.head() {
        let target = head.line.split(' ').nth(1).unwrap_or("").to_owned();
        discovery.record.line("discovery", &format!("call {target}"));
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let after = number("after");
        if let Some(after) = after {
            discovery.wait_for_change(after, Duration::from_millis(number("wait_ms").unwrap_or(0)));
        }
        std::thread::sleep(Duration::from_millis(discovery.delay_ms.load(Ordering::SeqCst)));
        if discovery.down.load(Ordering::SeqCst) {
            return;
        }
        let list = discovery.list(after);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        if conn.stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        discovery.record.line("discovery", &format!("answered {target}"));
    }
}
