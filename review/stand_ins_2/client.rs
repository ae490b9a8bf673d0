//! A stand-in for the application's client, by the protocol's page: one request at a time on a kept connection.

use crate::http::Conn;
use crate::record::Record;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Call<'a> {
    pub class: &'a str,
    pub id: &'a str,
    /// The idempotency key; a class without one is asked by GET.
    pub key: Option<&'a str>,
    pub timeout_ms: u64,
    /// How long after its time the client goes on looking for an answer, to tell a late one from none.
    pub look_ms: u64,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub timeout_ms: u64,
    pub sent_ms: f64,
    /// When the answer, or the connection, ended.
    pub ended_ms: f64,
    pub end: End,
}

#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer.
    Whole(u16, String),
    /// The connection ended within an answer that had begun.
    Cut(u16),
    /// The connection ended without an answer.
    Closed,
    /// Nothing had ended when the client stopped looking; whether an answer had begun.
    Open(Option<u16>),
    /// No connection could be made.
    Unreachable,
}

impl Answer {
    pub fn took_ms(&self) -> f64 {
        self.ended_ms - self.sent_ms
    }
}

pub struct Client {
    pub addr: SocketAddr,
    conn: Option<Conn>,
    record: Record,
}

impl Client {
    pub fn new(addr: SocketAddr, record: &Record) -> Client {
        Client { addr, conn: None, record: record.clone() }
    }

    pub fn call(&mut self, call: &Call) -> Answer {
        let (mut sent_ms, mut kept) = (self.record.now(), self.conn.is_some());
        let end = loop {
            let end = self.try_call(call, &mut sent_ms);
            // A close that crosses a request on a kept connection: the client sends it once more on a new one.
            if end == End::Closed && kept {
                kept = false;
                self.record.line("client", &format!("resends {}", call.id));
                continue;
            }
            break end;
        };
        let answer = Answer {
            id: call.id.to_owned(),
            timeout_ms: call.timeout_ms,
            sent_ms,
            ended_ms: self.record.now(),
            end,
        };
        let took = answer.took_ms();
        self.record.line(
            "client",
            &format!("{} {} of {} ms: {took:.1} ms {:?}", call.class, call.id, call.timeout_ms, answer.end),
        );
        answer
    }

    fn try_call(&mut self, call: &Call, sent_ms: &mut f64) -> End {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => match TcpStream::connect_timeout(&self.addr, Duration::from_secs(3)) {
                Ok(stream) => Conn::new(stream),
                Err(_) => return End::Unreachable,
            },
        };
        let (method, key) = match call.key {
            Some(key) => ("POST", format!("Idempotency-Key: {key}\r\nContent-Length: 4\r\n\r\nbody")),
            None => ("GET", "\r\n".to_owned()),
        };
        let request = format!(
            "{method} /{class}?key=k1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {}\r\nX-Priority-Class: {class}\r\nX-Tenant-Id: courts\r\nX-Timeout: {}m\r\n{key}",
            call.id, call.timeout_ms, class = call.class
        );
        if conn.stream.write_all(request.as_bytes()).is_err() {
            return End::Closed;
        }
        *sent_ms = self.record.now();
        let until = Instant::now() + Duration::from_millis(call.timeout_ms + call.look_ms);
        let (end, closes) = read_answer(&mut conn, until);
        if let (End::Whole(_, _), false) = (&end, closes) {
            self.conn = Some(conn);
        }
        end
    }
}

/// Reads an answer until this time; also whether the agent closes the connection after it.
fn read_answer(conn: &mut Conn, until: Instant) -> (End, bool) {
    let is_timeout = |e: &io::Error| matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
    let limit = |conn: &Conn| {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = conn.stream.set_read_timeout(Some(left));
    };
    limit(conn);
    let head = match conn.head() {
        Ok(head) => head,
        Err(e) if is_timeout(&e) => return (End::Open(None), true),
        Err(_) => return (End::Closed, true),
    };
    let closes = head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let status = head.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    // Each read is limited by itself, so the whole is watched by a second handle that ends the reading.
    let watched = conn.stream.try_clone();
    let (done, is_done) = std::sync::mpsc::channel::<()>();
    let watcher = std::thread::spawn(move || {
        let left = until.saturating_duration_since(Instant::now());
        let timed_out = is_done.recv_timeout(left) == Err(std::sync::mpsc::RecvTimeoutError::Timeout);
        if let (true, Ok(stream)) = (timed_out, watched) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        timed_out
    });
    let body = conn.body(&head);
    drop(done);
    let timed_out = watcher.join().unwrap_or(false);
    let end = match body {
        _ if timed_out => End::Open(Some(status)),
        Ok(body) => End::Whole(status, String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned()),
        Err(e) if is_timeout(&e) => End::Open(Some(status)),
        Err(_) => End::Cut(status),
    };
    (end, closes)
}
