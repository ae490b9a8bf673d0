//! A backend that answers by a test's script.

use crate::http::{ok, read_body, read_head, soon, Message};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::sleep;

/// What a scripted backend does with a request.
pub enum Reply {
    /// These bytes, and the connection stays.
    Bytes(Vec<u8>),
    /// These bytes, and the connection ends.
    Last(Vec<u8>),
    /// These bytes once the test gives the word; the connection stays.
    When(Arc<Notify>, Vec<u8>),
    /// These bytes after this time, and the connection stays.
    After(Duration, Vec<u8>),
    /// Silence on an open connection.
    Mute,
}

/// A backend that shows the test each request and answers by its script.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests as they come.
    pub seen: mpsc::Receiver<Message>,
    /// Paths and ids of all requests whose head has come, also of those that never come complete.
    pub begun: mpsc::UnboundedReceiver<String>,
    /// Connections taken so far.
    pub connections: Arc<AtomicUsize>,
    /// Connections that their other side has closed.
    pub closed: mpsc::Receiver<usize>,
    /// Set to true, it closes all connections that it has, answered or not.
    pub closes: watch::Sender<bool>,
}

impl Backend {
    /// Starts one; `script` says what becomes of each request.
    pub async fn start(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, seen) = mpsc::channel(1024);
        let (tell_begun, begun) = mpsc::unbounded_channel();
        let (tell_closed, closed) = mpsc::channel(1024);
        let connections = Arc::new(AtomicUsize::new(0));
        let closes = watch::Sender::new(false);
        let closing = closes.clone();
        let (count, script) = (connections.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::SeqCst);
                let (tell, tell_closed, script) = (tell.clone(), tell_closed.clone(), script.clone());
                let tell_begun = tell_begun.clone();
                let mut closing = closing.subscribe();
                let serving = async move {
                    while let Some(mut message) = read_head(&mut stream, number).await {
                        let id = message.header("x-request-id").unwrap_or_default();
                        let _ = tell_begun.send(format!("{} {id}", message.target()));
                        if read_body(&mut stream, &mut message).await.is_none() {
                            break;
                        }
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
                            Reply::After(time, bytes) => {
                                sleep(time).await;
                                stream.write_all(&bytes).await.unwrap_or(());
                            }
                            Reply::Mute => {}
                        }
                    }
                    let _ = tell_closed.send(number).await;
                };
                tokio::spawn(async move {
                    tokio::select! {
                        () = serving => {}
                        _ = closing.wait_for(|on| *on) => {}
                    }
                });
            }
        });
        Backend { address, seen, begun, connections, closed, closes }
    }

    /// Starts one that holds each request until the word, and then answers it with this body.
    pub async fn held(body: &'static str) -> (Self, Arc<Notify>) {
        let word = Arc::new(Notify::new());
        let gate = word.clone();
        (Self::start(move |_| Reply::When(gate.clone(), ok(body))).await, word)
    }

    /// Starts one that gives each request this answer after this time.
    pub async fn answering_after(time: Duration, answer: Vec<u8>) -> Self {
        Self::start(move |_| Reply::After(time, answer.clone())).await
    }

    /// The next request.
    pub async fn next(&mut self) -> Message {
        soon("a request at the backend", self.seen.recv()).await.expect("a request")
    }

    /// The paths of the requests that have come complete since the last look, and the paths and ids of those that have begun.
    pub fn record(&mut self) -> (Vec<String>, Vec<String>) {
        let complete = std::iter::from_fn(|| self.seen.try_recv().ok()).map(|m| m.target().to_owned());
        (complete.collect(), std::iter::from_fn(|| self.begun.try_recv().ok()).collect())
    }

    /// Connections taken so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}
