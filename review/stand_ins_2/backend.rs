//! A stand-in for a backend, by the protocol's page. What it does with a request is the case's choice.

use crate::http::Conn;
use crate::record::Record;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request as a backend got it whole.
#[derive(Clone, Debug)]
pub struct Got {
    pub at_ms: f64,
    pub backend: String,
    pub id: String,
    pub key: Option<String>,
    /// How many requests this backend had got before.
    pub number: usize,
    /// Whether it was run; false for a repeat that was dropped, and for one that was turned away.
    pub ran: bool,
}

/// What a backend does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Runs it, and answers 200 after this many milliseconds.
    Serve(u64),
    /// Runs it and never answers.
    Hang,
    /// Runs it and resets the connection after this many milliseconds.
    Reset(u64),
    /// Runs it and begins an answer of chunks of so many bytes, one each so many milliseconds, so many in all; it has no end.
    Endless(usize, u64, usize),
    /// Turns it away, unseen.
    TurnAway,
}

type Choice = Arc<dyn Fn(&Got) -> Act + Send + Sync>;

/// The keys that a group of backends remembers, with the time of their first run.
pub type Memory = Arc<Mutex<HashMap<String, f64>>>;

pub struct Backend {
    pub name: String,
    pub addr: SocketAddr,
}

pub struct World {
    pub record: Record,
    pub got: Mutex<Vec<Got>>,
}

impl Backend {
    /// Starts a backend. It drops repeats of keys that its group's memory has for less than `window_ms`.
    pub fn start(world: &Arc<World>, name: &str, memory: &Memory, window_ms: f64, choice: Choice) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (world, thread_name, memory) = (world.clone(), name.to_owned(), memory.clone());
        let count = Arc::new(Mutex::new(0));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, name, memory) = (world.clone(), thread_name.clone(), memory.clone());
                let (choice, count) = (choice.clone(), count.clone());
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while serve(&world, &name, &memory, window_ms, &choice, &count, &mut conn).is_some() {}
                });
            }
        });
        Backend { name: name.to_owned(), addr }
    }
}

fn serve(
    world: &World,
    name: &str,
    memory: &Memory,
    window_ms: f64,
    choice: &Choice,
    count: &Mutex<usize>,
    conn: &mut Conn,
) -> Option<()> {
    let head = conn.head().ok()?;
    conn.body(&head).ok()?;
    let number = {
        let mut count = count.lock().unwrap();
        *count += 1;
        *count - 1
    };
    let target = head.line.split(' ').nth(1).unwrap_or("").to_owned();
    let path = target.split('?').next().unwrap_or("").to_owned();
    if path == "/health" || path == "/status/load" {
        return conn.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok();
    }
    let mut got = Got {
        at_ms: world.record.now(),
        backend: name.to_owned(),
        id: head.get("x-request-id").unwrap_or("").to_owned(),
        key: head.get("idempotency-key").map(str::to_owned),
        number,
        ran: false,
    };
    let act = choice(&got);
    got.ran = act != Act::TurnAway && is_new(memory, got.key.as_deref(), got.at_ms, window_ms);
    world.record.line(name, &format!("got {} key={:?} ran={} {act:?}", got.id, got.key, got.ran));
    world.got.lock().unwrap().push(got.clone());
    let sleep = |ms: u64| std::thread::sleep(Duration::from_millis(ms));
    // The body tells which backend answers which request.
    let body = format!("{} by {name}", got.id);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    match act {
        Act::Serve(after) => {
            sleep(after);
            conn.stream.write_all(answer.as_bytes()).ok()
        }
        Act::Hang => {
            // Until the agent gives the attempt up.
            let _ = conn.head();
            None
        }
        Act::Reset(after) => {
            sleep(after);
            reset(conn);
            None
        }
        Act::Endless(bytes, every, chunks) => {
            conn.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            let chunk = format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
            for _ in 0..chunks {
                conn.stream.write_all(chunk.as_bytes()).ok()?;
                sleep(every);
            }
            let _ = conn.head();
            None
        }
        Act::TurnAway => {
            let away = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
            conn.stream.write_all(away).ok()
        }
    }
}

/// Whether a request is no repeat that the group drops.
fn is_new(memory: &Memory, key: Option<&str>, now: f64, window_ms: f64) -> bool {
    let Some(key) = key else { return true };
    let mut memory = memory.lock().unwrap();
    match memory.get(key) {
        Some(first) if now - first <= window_ms => false,
        _ => {
            memory.insert(key.to_owned(), now);
            true
        }
    }
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Has the connection reset when it is closed: SO_LINGER (13) at SOL_SOCKET (1) with no time.
fn reset(conn: &Conn) {
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(conn.stream.as_raw_fd(), 1, 13, &linger, 8) };
}
