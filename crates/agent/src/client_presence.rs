//! What is known of the client of a request: whether it may have closed its connection unnoticed, and whether bytes of it are unread
//! that may show that the request is not sound.
//!
//! The close of a client that has more to send than its window allows stands behind these bytes, and shows only as they are read. While
//! bytes are unread, all that is known of the client is when it has been seen last: when the socket was empty, or when the first bytes
//! arrived after that.

use bellcroft_net::Stream;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// The time after the client has been seen within which an attempt may begin although the client may have closed the connection since:
/// by the platform's rules 0.1 s after a close, less the time until the attempt's first byte is written.
const MAX_AGE: Duration = Duration::from_millis(80);
/// The time in which bytes that have just arrived are read.
pub const READ_TIME: Duration = Duration::from_millis(2);

/// What is known of the client of a connection.
#[derive(Debug)]
pub struct ClientPresence {
    /// An attempt may go on after the connection has been closed.
    stream: Weak<Stream<TcpStream>>,
    /// The latest time at which the client had not closed the connection for certain.
    seen_at: Cell<Instant>,
    /// Whether the socket was empty at the last read.
    was_empty: Cell<bool>,
    /// Wakes the task that reads the connection.
    reader: RefCell<Option<Waker>>,
}

impl ClientPresence {
    /// The client of a connection that was established at `connected_at` at the earliest.
    pub fn new(stream: &Rc<Stream<TcpStream>>, connected_at: Instant) -> Rc<Self> {
        let stream = Rc::downgrade(stream);
        Rc::new(ClientPresence {
            stream,
            seen_at: Cell::new(connected_at),
            was_empty: Cell::new(false),
            reader: RefCell::default(),
        })
    }

    /// Called when a read found that the socket is empty.
    pub fn on_read_blocked(&self) {
        self.seen_at.set(Instant::now());
        self.was_empty.set(true);
    }

    /// Called when the task that reads the connection waits.
    pub fn on_reader_waits(&self, reader: &Waker) {
        let mut kept = self.reader.borrow_mut();
        if !kept.as_ref().is_some_and(|kept| kept.will_wake(reader)) {
            *kept = Some(reader.clone());
        }
    }

    /// Has the bytes read that have arrived by now, if there are any.
    pub async fn read_arrived(&self) {
        if !self.has_unread_bytes() {
            return;
        }
        self.wake_reader();
        yield_now().await;
    }

    /// Wakes the task that reads the connection.
    pub fn wake_reader(&self) {
        if let Some(reader) = &*self.reader.borrow() {
            reader.wake_by_ref();
        }
    }

    /// Called when bytes have been read.
    pub fn on_bytes_read(&self) {
        if self.was_empty.take() {
            self.seen_at.set(Instant::now());
        }
    }

    /// Whether an attempt may begin: the client cannot have closed the connection, or only a short time ago, or its close has arrived,
    /// which ends the request by itself.
    pub async fn is_confirmed(&self) -> bool {
        self.read_arrived().await;
        if self.may_have_left() {
            sleep(READ_TIME).await;
        }
        !self.may_have_left()
    }

    /// Whether the client may have closed the connection for longer than an attempt may begin after that.
    pub fn may_have_left(&self) -> bool {
        self.seen_at.get().elapsed() > MAX_AGE && self.has_unread_bytes()
    }

    /// Whether bytes have arrived that have not been read; false once the connection has been closed, which ends the request by itself.
    fn has_unread_bytes(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| stream.unread_bytes() > 0)
    }
}
