//! Discovery, as `GET /v1/endpoints` with watches.

use crate::http::{ok, read_message, soon, LONG};
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// A line of the server list, in zone `a`, warm for long.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does with calls from now on.
    pub mood: watch::Sender<Mood>,
    /// The paths of the calls as they come.
    pub calls: mpsc::Receiver<String>,
}

impl Directory {
    /// Starts one.
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
                        // A test that has enough of them no longer listens.
                        let _ = tell.try_send(path.clone());
                        let after =
                            path.split("after=").nth(1).and_then(|v| v.split('&').next()?.parse().ok());
                        let wait =
                            path.split("wait_ms=").nth(1).and_then(|v| v.split('&').next()?.parse().ok());
                        let wait = std::time::Duration::from_millis(wait.unwrap_or(LONG.as_millis() as u64));
                        let newer = |m: &Mood| match (m, after) {
                            (Mood::List(list), Some(after)) => list["seq"].as_u64() > Some(after),
                            _ => true,
                        };
                        let now = match timeout(wait, mood.wait_for(newer)).await {
                            Ok(news) => news.expect("a mood").clone(),
                            Err(_) => Mood::List(json!({"seq": after, "whole": false, "hosts": []})),
                        };
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

    /// From now on the list is this one.
    pub fn list(&self, seq: u64, hosts: &[Value]) {
        self.mood.send_replace(Mood::List(json!({"seq": seq, "whole": true, "hosts": hosts})));
    }

    /// The next call's path.
    pub async fn next_call(&mut self) -> String {
        soon("a call to discovery", self.calls.recv()).await.expect("a call")
    }
}
