//! A receiver of remote write that counts what comes, by the agent that its path names.

use crate::http::read_message;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const ACCEPTED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

#[derive(Default)]
struct Posts {
    count: AtomicU64,
    bytes: AtomicU64,
}

/// A counting receiver; dropping it ends it.
pub struct CountingReceiver {
    address: SocketAddr,
    posts: Arc<Vec<Posts>>,
    _tasks: JoinSet<()>,
}

impl CountingReceiver {
    /// Starts one for so many agents.
    ///
    /// # Errors
    ///
    /// The kernel has no socket left.
    pub async fn start(agents: usize) -> io::Result<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let posts: Arc<Vec<Posts>> = Arc::new((0..agents).map(|_| Posts::default()).collect());
        let mut tasks = JoinSet::new();
        let counted = posts.clone();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = socket.accept().await {
                connections.spawn(serve(stream, counted.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(CountingReceiver { address, posts, _tasks: tasks })
    }

    /// Where an agent is to post.
    pub fn url(&self, agent: usize) -> String {
        format!("http://{}/agent/{agent}", self.address)
    }

    /// Posts of an agent, and their bytes.
    pub fn counts(&self, agent: usize) -> (u64, u64) {
        let posts = &self.posts[agent];
        (posts.count.load(Ordering::Relaxed), posts.bytes.load(Ordering::Relaxed))
    }
}

async fn serve(mut stream: TcpStream, posts: Arc<Vec<Posts>>) {
    while let Some(message) = read_message(&mut stream, 0).await {
        let agent = message.target().rsplit('/').next().and_then(|number| number.parse::<usize>().ok());
        if let Some(posts) = agent.and_then(|agent| posts.get(agent)) {
            let bytes = message.head.len() + message.body.len() + ACCEPTED.len();
            posts.count.fetch_add(1, Ordering::Relaxed);
            posts.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        if stream.write_all(ACCEPTED).await.is_err() {
            return;
        }
    }
}
