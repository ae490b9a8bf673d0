//! A discovery that answers each call as the test says, byte for byte.

use crate::{ok, read_message, soon};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The time within which the end of a call that the agent cancels arrives; shorter than each timeout of the agent's calls.
const CANCELLATION_LIMIT: Duration = Duration::from_secs(1);

/// What becomes of a call.
enum CallReply {
    /// It is answered with these bytes.
    Answer(Vec<u8>),
    /// Its connection is reset.
    Reset,
}

/// A call to discovery that the test answers, byte for byte.
pub struct DiscoveryCall {
    /// Its target.
    pub path: String,
    answer: oneshot::Sender<CallReply>,
}

impl DiscoveryCall {
    /// Answers it with a list, indented and in pieces of a few bytes.
    pub fn tell(self, list: &Value) {
        let body = serde_json::to_string_pretty(list).expect("JSON").replace('\n', "\r\n\t ");
        self.reply(CallReply::Answer(ok(&body)));
    }

    /// Answers it with the head and the first half of the body of a list; the connection stays open.
    pub fn tell_half(self, list: &Value) {
        let mut bytes = ok(&list.to_string());
        bytes.truncate(bytes.len() - list.to_string().len() / 2);
        self.reply(CallReply::Answer(bytes));
    }

    /// Answers it with this status.
    pub fn refuse(self, status: &str) {
        self.reply(CallReply::Answer(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes()));
    }

    fn reply(self, reply: CallReply) {
        assert!(self.answer.send(reply).is_ok(), "{}: it waits", self.path);
    }

    /// Whether the agent still waits for it.
    pub fn is_open(&self) -> bool {
        !self.answer.is_closed()
    }

    /// Waits for the end of a call that the agent has cancelled: it may arrive after the call that replaces it.
    pub async fn until_cancelled(mut self) {
        let cancelled = timeout(CANCELLATION_LIMIT, self.answer.closed()).await;
        assert!(cancelled.is_ok(), "{}: the agent still waits for it", self.path);
    }

    /// How long it may wait; none if it asks for an answer at once.
    pub fn wait(&self) -> Duration {
        let wait = self.path.split("wait_ms=").nth(1).map_or(0, |wait| wait.parse().expect("a number"));
        Duration::from_millis(wait)
    }

    /// Resets its connection.
    pub fn reset(self) {
        self.reply(CallReply::Reset);
    }
}

/// Discovery whose every word is the test's.
pub struct ScriptedDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    calls: mpsc::Receiver<DiscoveryCall>,
}

impl ScriptedDiscovery {
    /// Starts one that leaves each call open until the test answers it.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, calls) = mpsc::channel(64);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("an option");
                let tell = tell.clone();
                tokio::spawn(async move {
                    while let Some(message) = read_message(&mut stream, 0).await {
                        let (answer, answered) = oneshot::channel();
                        let call = DiscoveryCall { path: message.target().to_owned(), answer };
                        if tell.send(call).await.is_err() {
                            return;
                        }
                        let reply = tokio::select! {
                            reply = answered => reply,
                            // The agent sends nothing before it has its answer: this is the connection's end.
                            _ = stream.readable() => return,
                        };
                        let Ok(CallReply::Answer(bytes)) = reply else {
                            stream.set_zero_linger().expect("an option");
                            return;
                        };
                        for piece in bytes.chunks(7) {
                            if stream.write_all(piece).await.is_err() {
                                return;
                            }
                            tokio::task::yield_now().await;
                        }
                    }
                });
            }
        });
        ScriptedDiscovery { address, calls }
    }

    /// The next call.
    pub async fn next(&mut self) -> DiscoveryCall {
        soon("a call to discovery", self.calls.recv()).await.expect("a call")
    }

    /// The next watch of what is newer than this version; calls for the whole list beside it get `whole`.
    pub async fn watch(&mut self, after: u64, whole: &Value) -> DiscoveryCall {
        loop {
            let call = self.next().await;
            if call.path.contains(&format!("after={after}&")) {
                return call;
            }
            assert_eq!(call.path, "/v1/endpoints", "a watch of another version");
            call.tell(whole);
        }
    }
}
