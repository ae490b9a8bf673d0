//! The admin console: a TCP address on which operators send one line and get one reply (`bellcroft_agent_core::admin`
//! parses requests and formats replies). It is independent of the request path in both directions.

use crate::clock::Clock;
use bellcroft_agent_core::admin::{
    format_reply, parse, AdminRequest, AdminRequestError, AdminSessions, ReplyStatus, MAX_LINE_BYTES,
};
use bellcroft_net::{Listener, Stream};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinHandle};

/// How often sessions that have expired are closed.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed accept, such as with no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An admin console that is being served, until this is dropped.
pub struct Console(JoinHandle<()>);

impl Drop for Console {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The open sessions and their tasks, by session number.
#[derive(Default)]
struct OpenSessions {
    sessions: AdminSessions,
    tasks: HashMap<u64, AbortHandle>,
}

impl OpenSessions {
    fn abort(&mut self, session: u64) {
        self.sessions.close(session);
        if let Some(task) = self.tasks.remove(&session) {
            task.abort();
        }
    }

    fn on_finished(&mut self, session: u64) {
        self.sessions.close(session);
        self.tasks.remove(&session);
    }
}

impl Console {
    /// Listens on `address` and answers requests by `answer`; returns the address with the port that was bound.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn serve(
        address: SocketAddr,
        clock: Clock,
        answer: impl Fn(AdminRequest) -> String + 'static,
    ) -> io::Result<(Self, SocketAddr)> {
        let listener = Listener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::task::spawn_local(accept(listener, clock, Rc::new(answer)));
        Ok((Console(task), address))
    }
}

async fn accept(listener: Listener, clock: Clock, answer: Rc<dyn Fn(AdminRequest) -> String>) {
    let open = Rc::new(RefCell::new(OpenSessions::default()));
    let mut expiry_check = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(stream) => stream,
                Err(_) => {
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            },
            _ = expiry_check.tick() => {
                let mut open = open.borrow_mut();
                let expired = open.sessions.expired(clock.now());
                expired.into_iter().for_each(|session| open.abort(session));
                continue;
            }
        };
        let (session, evicted) = open.borrow_mut().sessions.open(clock.now());
        if let Some(evicted) = evicted {
            open.borrow_mut().abort(evicted);
        }
        let (answer, own) = (answer.clone(), open.clone());
        let task = tokio::task::spawn_local(async move {
            // An operator that disconnects gets no reply; nothing else depends on it.
            let _ = serve_session(stream, &*answer).await;
            own.borrow_mut().on_finished(session);
        });
        // The task cannot have finished yet: this one has not awaited since.
        open.borrow_mut().tasks.insert(session, task.abort_handle());
    }
}

async fn serve_session(
    mut stream: Stream<TcpStream>,
    answer: &dyn Fn(AdminRequest) -> String,
) -> io::Result<()> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES);
    let request = loop {
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            break parse(&line[..end]);
        }
        if line.len() > MAX_LINE_BYTES {
            break Err(AdminRequestError::LineTooLong);
        }
        let mut chunk = [0; MAX_LINE_BYTES];
        match stream.read(&mut chunk).await? {
            // The end of the stream ends the line too.
            0 if !line.is_empty() => break parse(&line),
            0 => return Ok(()),
            n => line.extend_from_slice(&chunk[..n]),
        }
    };
    let reply = match request {
        Ok(request) => {
            await_reactor_poll().await;
            answer(request)
        }
        Err(error) => format_reply(ReplyStatus::Rejected, error),
    };
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await
}

/// Lets the runtime poll its reactor once, so that a signal that arrived before the request takes effect before the reply.
///
/// The signal's handler has run by now, but it only writes to the runtime's pipe. The runtime reads that pipe when it
/// polls its reactor, and between two polls it may accept a connection and read a request. A yielded task continues
/// after the next poll, and behind the instance's own future, which the same poll wakes.
async fn await_reactor_poll() {
    tokio::task::yield_now().await;
}
