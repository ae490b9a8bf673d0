//! Just enough HTTP/1.1 for stand-ins that must see and say exact bytes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::Instant;

/// Nothing that is waited for takes nearly as long; a test that reaches this has failed.
pub const LONG: Duration = Duration::from_secs(30);

/// Longer than an agent keeps a connection to a server from its next use after an answer.
pub const PAST_REUSE_DELAY: Duration = Duration::from_millis(50);

/// Waits for something that happens soon, or fails the test and says what did not happen.
pub async fn soon<T>(what: &str, wait: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(LONG, wait).await.unwrap_or_else(|_| panic!("{what} did not happen"))
}

/// A message head and its body.
#[derive(Debug, Clone)]
pub struct Message {
    /// Which connection it came over, counted from 0.
    pub connection: usize,
    /// The head with its closing blank line.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte had come.
    pub first_byte: Instant,
    /// When its last byte had come.
    pub last_byte: Instant,
}

impl Message {
    /// The request line or the status line.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line().split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer; 0 for what has none.
    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The first header of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// The `X-Timeout` of a request that the agent forwarded, which has it in microseconds.
    pub fn timeout(&self) -> Option<Duration> {
        self.header("x-timeout")?.strip_suffix('u')?.parse().ok().map(Duration::from_micros)
    }

    /// The sender closes the connection behind it.
    pub fn last(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message; `None` if the connection ends first.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin), connection: usize) -> Option<Message> {
    let mut message = read_head(stream, connection).await?;
    read_body(stream, &mut message).await?;
    Some(message)
}

/// Reads the head of a message and whatever of its body comes along; `None` if the connection ends first.
pub async fn read_head(stream: &mut (impl AsyncRead + Unpin), connection: usize) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut first_byte = None;
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        first_byte.get_or_insert_with(Instant::now);
    };
    let body = bytes.split_off(end);
    let head = String::from_utf8(bytes).ok()?;
    let first_byte = first_byte.unwrap_or_else(Instant::now);
    Some(Message { connection, head, body, first_byte, last_byte: first_byte })
}

/// Reads the rest of a message's body; `None` if the connection ends first.
pub async fn read_body(stream: &mut (impl AsyncRead + Unpin), message: &mut Message) -> Option<()> {
    let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while message.body.len() < length {
        if stream.read_buf(&mut message.body).await.ok()? == 0 {
            return None;
        }
    }
    message.last_byte = Instant::now();
    Some(())
}

/// The bytes of a 200 with this body.
pub fn ok(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A request of the class that its path names, with an id of its own; `save` carries an idempotency key.
pub fn request(method: &str, path: &str, wait: &str, body: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let id = NUMBER.fetch_add(1, Ordering::SeqCst);
    request_as(&format!("id{id}"), method, path, wait, body)
}

/// The same with an id of the test's.
pub fn request_as(id: &str, method: &str, path: &str, wait: &str, body: &str) -> String {
    let class = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
    let key = if class == "save" { "Idempotency-Key: k1\r\n" } else { "" };
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: acme\r\nX-Timeout: {wait}\r\n{key}{length}\r\n{body}"
    )
}
