//! The second address, for operators: one line asks, one answer follows (`bellcroft_agent_core::admin` reads and words
//! them). It never waits for a request, and no request for it.

use crate::clock::Clock;
use bellcroft_agent_core::admin::{
    format_reply, parse, AdminRequest, AdminRequestError, AdminSessions, MAX_LINE_BYTES,
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

/// How often callers that say nothing are looked at.
const LOOK: Duration = Duration::from_millis(500);
/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A second address that is being served, until this is dropped.
pub struct Console(JoinHandle<()>);

impl Drop for Console {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Default)]
struct Room {
    callers: AdminSessions,
    tasks: HashMap<u64, AbortHandle>,
}

impl Room {
    fn let_go(&mut self, number: u64) {
        self.callers.close(number);
        if let Some(task) = self.tasks.remove(&number) {
            task.abort();
        }
    }
}

impl Console {
    /// Listens on an address and answers what is asked there.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn serve(
        address: SocketAddr,
        clock: Clock,
        answers: impl Fn(AdminRequest) -> String + 'static,
    ) -> io::Result<(Self, SocketAddr)> {
        let listener = Listener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::task::spawn_local(accept(listener, clock, Rc::new(answers)));
        Ok((Console(task), address))
    }
}

async fn accept(listener: Listener, clock: Clock, answers: Rc<dyn Fn(AdminRequest) -> String>) {
    let room = Rc::new(RefCell::new(Room::default()));
    let mut look = tokio::time::interval(LOOK);
    loop {
        let stream = tokio::select! {
            taken = listener.accept() => match taken {
                Ok(stream) => stream,
                Err(_) => {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            _ = look.tick() => {
                let mut room = room.borrow_mut();
                let overdue = room.callers.expired(clock.now());
                overdue.into_iter().for_each(|number| room.let_go(number));
                continue;
            }
        };
        let (number, spared) = room.borrow_mut().callers.open(clock.now());
        if let Some(spared) = spared {
            room.borrow_mut().let_go(spared);
        }
        let (answers, own) = (answers.clone(), room.clone());
        let task = tokio::task::spawn_local(async move {
            // A caller that leaves or says nothing is nobody's trouble.
            let _ = caller(stream, &*answers).await;
            let mut room = own.borrow_mut();
            room.callers.close(number);
            room.tasks.remove(&number);
        });
        // The task cannot have run yet: this one has not waited since.
        room.borrow_mut().tasks.insert(number, task.abort_handle());
    }
}

async fn caller(mut stream: Stream<TcpStream>, answers: &dyn Fn(AdminRequest) -> String) -> io::Result<()> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES);
    let call = loop {
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            break parse(&line[..end]);
        }
        if line.len() > MAX_LINE_BYTES {
            break Err(AdminRequestError::LineTooLong);
        }
        let mut chunk = [0; MAX_LINE_BYTES];
        match stream.read(&mut chunk).await? {
            // Whoever ends its side behind its word has said it.
            0 if !line.is_empty() => break parse(&line),
            0 => return Ok(()),
            n => line.extend_from_slice(&chunk[..n]),
        }
    };
    let text = match call {
        Ok(call) => {
            await_reactor_poll().await;
            answers(call)
        }
        Err(bad) => format_reply(false, bad),
    };
    stream.write_all(text.as_bytes()).await?;
    stream.shutdown().await
}

/// Lets the runtime poll its reactor once, so that a signal that came before the call takes effect before the answer.
///
/// The signal's handler has run by now, but it only writes to the runtime's pipe. The runtime reads that pipe when it
/// polls its reactor, and between two polls it may accept a caller and read a call. A yielded task goes on after the
/// next poll, and behind the instance's own future, which the same poll wakes.
async fn await_reactor_poll() {
    tokio::task::yield_now().await;
}
