//! A receiver of remote write that takes samples, or fails in a way that a test has chosen.

use super::store::Store;
use crate::http::{read_message, soon};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The most that an endless body brings; a sender that reads on that far has no bound.
const ENDLESS: usize = 16 << 20;

/// What a receiver does with what it is sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Taking {
    /// Takes it.
    All,
    /// Takes it after this long.
    Slowly(Duration),
    /// Takes it, and says in 2.0 that so many samples fewer were written.
    Short(usize),
    /// Reads it and says nothing.
    Mute,
    /// Ends each connection without a word.
    Reset,
    /// Answers with this status and these header lines.
    Status(u16, String),
    /// Answers with bytes that are no HTTP.
    Garbage,
    /// Answers 500 with a body that goes on and on.
    Endless,
}

/// A request as it came.
#[derive(Debug, Clone, PartialEq)]
pub struct Posted {
    /// The connection, counted from 0.
    pub connection: usize,
    /// Its path.
    pub path: String,
    /// `X-Prometheus-Remote-Write-Version`.
    pub version: String,
    /// `Content-Type`.
    pub content_type: String,
    /// `Authorization`.
    pub authorization: Option<String>,
    /// Bytes of its body.
    pub bytes: usize,
    /// Its samples, if it was taken.
    pub samples: Option<usize>,
}

#[derive(Default)]
struct State {
    store: Mutex<Store>,
    posted: Mutex<Vec<Posted>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A receiver; it runs until its runtime ends.
pub struct Receiver {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does from now on.
    pub taking: watch::Sender<Taking>,
    /// It knows 1.0 alone, and answers 415 to 2.0.
    pub only_v1: watch::Sender<bool>,
    state: Arc<State>,
    changed: watch::Receiver<usize>,
}

impl Receiver {
    /// Starts one.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (taking, only_v1) = (watch::Sender::new(Taking::All), watch::Sender::new(false));
        let (tell, changed) = watch::channel(0);
        let state = Arc::<State>::default();
        let tell = Arc::new(tell);
        let receiver = Receiver { address, taking, only_v1, state, changed };
        let (taking, only_v1) = (receiver.taking.subscribe(), receiver.only_v1.subscribe());
        let state = receiver.state.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let one = Connection {
                    number,
                    stream,
                    taking: taking.clone(),
                    only_v1: only_v1.clone(),
                    state: state.clone(),
                    tell: tell.clone(),
                };
                tokio::spawn(one.serve());
            }
        });
        receiver
    }

    /// The value of `url` in a file's `[remote_write]`.
    pub fn url(&self) -> String {
        format!("http://{}/api/v1/write", self.address)
    }

    /// What it keeps.
    pub fn store(&self) -> Store {
        lock(&self.state.store).clone()
    }

    /// All requests so far.
    pub fn posted(&self) -> Vec<Posted> {
        lock(&self.state.posted).clone()
    }

    /// Waits until what has come is as the test wants it.
    pub async fn until(&self, what: &str, wanted: impl Fn(&Store, &[Posted]) -> bool) {
        let mut changed = self.changed.clone();
        soon(what, async {
            loop {
                changed.borrow_and_update();
                if wanted(&lock(&self.state.store), &lock(&self.state.posted)) {
                    return;
                }
                changed.changed().await.expect("it runs");
            }
        })
        .await;
    }
}

struct Connection {
    number: usize,
    stream: TcpStream,
    taking: watch::Receiver<Taking>,
    only_v1: watch::Receiver<bool>,
    state: Arc<State>,
    tell: Arc<watch::Sender<usize>>,
}

impl Connection {
    async fn serve(mut self) {
        while let Some(message) = read_message(&mut self.stream, self.number).await {
            let header = |name: &str| message.header(name).unwrap_or_default().to_owned();
            let mut posted = Posted {
                connection: self.number,
                path: message.target().to_owned(),
                version: header("x-prometheus-remote-write-version"),
                content_type: header("content-type"),
                authorization: message.header("authorization").map(str::to_owned),
                bytes: message.body.len(),
                samples: None,
            };
            let version_2 = posted.content_type.contains("io.prometheus.write.v2.Request");
            let taking = self.taking.borrow().clone();
            let answer = match &taking {
                Taking::All | Taking::Slowly(_) | Taking::Short(_) => {
                    if let Taking::Slowly(time) = taking {
                        tokio::time::sleep(time).await;
                    }
                    if version_2 && *self.only_v1.borrow() {
                        "HTTP/1.1 415 Unsupported Media Type\r\nContent-Length: 0\r\n\r\n".to_owned()
                    } else {
                        let taken = lock(&self.state.store).take(version_2, &message.body);
                        match taken {
                            Ok(written) => {
                                posted.samples = Some(written);
                                let short = if let Taking::Short(short) = taking { short } else { 0 };
                                let written = written.saturating_sub(short);
                                let own = if version_2 {
                                    format!("X-Prometheus-Remote-Write-Samples-Written: {written}\r\n")
                                } else {
                                    String::new()
                                };
                                format!("HTTP/1.1 204 No Content\r\n{own}\r\n")
                            }
                            Err(why) => {
                                lock(&self.state.store).wrong.push(why);
                                "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned()
                            }
                        }
                    }
                }
                Taking::Status(status, lines) => {
                    format!("HTTP/1.1 {status} Status\r\n{lines}Content-Length: 0\r\n\r\n")
                }
                Taking::Garbage => "\u{1}what is this\r\n\r\n".to_owned(),
                Taking::Endless => {
                    format!("HTTP/1.1 500 Internal Server Error\r\nContent-Length: {ENDLESS}\r\n\r\n")
                }
                Taking::Mute | Taking::Reset => String::new(),
            };
            lock(&self.state.posted).push(posted);
            self.tell.send_modify(|count| *count += 1);
            if taking == Taking::Reset || self.stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            if taking == Taking::Endless {
                for _ in 0..ENDLESS / 4096 {
                    if self.stream.write_all(&[b'x'; 4096]).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
