//! Connections to backends, and what goes over them: attempts and probes.
//!
//! A connection carries one exchange at a time and is used again only after a whole answer. Whatever else ends
//! an exchange (a time-out, a cancel, an error) ends its connection with it.

use crate::discovery::codec::{EndpointRecord, Health};
use crate::passing::{Load, Upload};
use crate::prompt::prompt;
use crate::telemetry::FirstByte;
use bellcroft_operations::passage::{way, Begin, Passed, Patience, BODY_MOST, WHOLE_MOST};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use micasail::{Outcome, ServerId, Span, Time};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, timeout_at, Instant, Sleep};

/// An idle connection is given up after this share of the time in the settings: one that the backend closes
/// while a request is on its way to it costs that request a reset of which nobody knows whether it ran.
const IDLE_SHARE: f64 = 0.7;
/// A probe that has not been answered by then has timed out.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// After a whole answer a connection is ready again at once, or there is something wrong with it.
const SETTLE: Duration = Duration::from_millis(5);
/// A connection rests for so long after an answer. A server may say a second one some milliseconds later (the standing
/// page), and whoever reads it once the next request is out can't tell whose it is: it would be served to another client.
/// What comes while a connection rests ends it. Second answers of join days came 1.0 to 3.4 ms late.
const REST: Duration = Duration::from_millis(8);
/// While fewer connections to a backend rest, an attempt that finds no other opens one more instead of waiting. With as
/// many at rest the next of them is ready about a millisecond later, and is waited for.
const MAX_RESTING: usize = 8;
/// The longest head of an answer, and the most that hyper buffers.
const HEAD_MOST: usize = 16 << 10;
/// All bytes that one answer may bring: its body, what its framing adds, and heads, those of 1xx answers ahead of
/// it among them. A backend that goes on past that is noise, however well formed.
const ANSWER_MOST: u64 = 2 * (WHOLE_MOST + HEAD_MOST) as u64;
/// The same for one that is passed on: pieces of a single byte each carry six of framing.
const PASSED_MOST: u64 = 8 * BODY_MOST;
/// A backend that has begun a long answer and says nothing for this long, or brings next to nothing, will not end it.
const QUIET_MOST: Span = Span(30_000_000);
/// Read at a time.
const CHUNK: usize = 16 << 10;

/// What passes between a connection's task and its user: bytes written so far, those that may still be read, and
/// leave to write more.
#[derive(Default)]
struct Wire {
    written: Cell<u64>,
    readable: Cell<u64>,
    shut: Cell<bool>,
    /// What begins at this count of bytes must begin by then, or not at all.
    begin: Cell<Option<(u64, Instant)>>,
    /// Who is told when the next byte leaves.
    first: Cell<Option<FirstByte>>,
    /// An attempt has been written whole at this count of bytes; none is on its way at the highest.
    whole: Cell<u64>,
    /// Attempts that have been, over all connections.
    tries: Rc<Cell<u64>>,
}

/// A socket that counts what the kernel has taken, so that the fate of a broken attempt is known.
struct Counted {
    io: TokioIo<TcpStream>,
    wire: Rc<Wire>,
}

impl Counted {
    fn wrote(&self, n: usize) -> usize {
        self.wire.written.set(self.wire.written.get() + n as u64);
        if let Some(first) = self.wire.first.take().filter(|_| n > 0) {
            first.left();
        }
        if self.wire.written.get() >= self.wire.whole.get() {
            self.wire.whole.set(u64::MAX);
            self.wire.tries.set(self.wire.tries.get() + 1);
        }
        n
    }

    /// Nothing goes out for a request that has its answer, not even what is queued already.
    fn leave(&self) -> io::Result<()> {
        // However late the connection came up, or this task was run: past its time a request is not begun.
        let late = |(from, by): (u64, Instant)| self.wire.written.get() == from && Instant::now() > by;
        if self.wire.shut.get() || self.wire.begin.get().is_some_and(late) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        let room = chunk.len().min(buf.remaining());
        let mut read = ReadBuf::new(&mut chunk[..room]);
        ready!(Pin::new(&mut self.io).poll_read(cx, read.unfilled()))?;
        let left = self.wire.readable.get().checked_sub(read.filled().len() as u64);
        self.wire.readable.set(left.ok_or(io::ErrorKind::InvalidData)?);
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.leave()?;
        let n = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        Poll::Ready(Ok(self.wrote(n)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.leave()?;
        let n = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs))?;
        Poll::Ready(Ok(self.wrote(n)))
    }
}

/// How far an attempt has come, shared by the driver and the attempt's task.
#[derive(Default)]
pub struct Progress {
    /// The wire that it goes over, and the count there when its last byte is out.
    wire: RefCell<Option<(Rc<Wire>, u64)>>,
    stopped: Cell<bool>,
    stop: Notify,
    /// Who is told of its first byte.
    first: Cell<Option<FirstByte>>,
    /// Its body, if that is still coming when it begins.
    upload: Option<Rc<Upload>>,
    /// A time for its end that has become known since it began.
    until: Cell<Option<Instant>>,
    moved: Notify,
}

impl Progress {
    /// An attempt that has not begun.
    pub fn new(first: Option<FirstByte>, upload: Option<Rc<Upload>>) -> Self {
        Progress { first: Cell::new(first), upload, ..Progress::default() }
    }

    /// Its last byte may be out: from here on it may have run.
    pub fn may_have_run(&self) -> bool {
        // Of a body that did not tell its length, the last byte is known only when it has come.
        let ended =
            |whole: u64| whole == u64::MAX && self.upload.as_ref().is_some_and(|u| u.whole().is_some());
        let out = |(wire, whole): &(Rc<Wire>, u64)| wire.written.get() >= *whole || ended(*whole);
        self.wire.borrow().as_ref().is_some_and(out)
    }

    /// Its request is whole, and its time runs: it ends by then.
    pub fn end_by(&self, until: Instant) {
        self.until.set(Some(until));
        self.moved.notify_one();
    }

    /// Waits for its time to be over.
    async fn expired(&self, first: Instant) {
        loop {
            let at = self.until.get().unwrap_or(first);
            tokio::select! {
                () = sleep_until(at) => return,
                () = self.moved.notified() => {}
            }
        }
    }

    /// Gives the attempt up. What has not been written stays unwritten.
    pub fn call_off(&self) {
        self.stopped.set(true);
        if let Some((wire, _)) = &*self.wire.borrow() {
            wire.shut.set(true);
        }
        self.stop.notify_one();
    }
}

/// Until when an attempt may do what.
pub struct AttemptLimits {
    /// It ends by then.
    pub until: Instant,
    /// Its first byte leaves by then, or none does.
    pub write_by: Instant,
    /// From its begin to an open connection, if its route is stricter than the platform.
    pub connect: Option<Duration>,
    /// From its hand-over to an open connection to the end of the answer's head.
    pub first_byte: Option<Duration>,
}

/// How an exchange ended.
pub struct Ended {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The load report that came along.
    pub report: Option<Vec<f64>>,
    /// The answer of a served request: its content type and its body.
    pub answer: Option<(Option<HeaderValue>, Content)>,
}

/// The body of a served request's answer.
pub enum Content {
    /// It has come whole.
    Whole(Bytes),
    /// It is long, and has begun.
    Passing(Box<Relay>),
}

/// A long answer that is passed on as it comes. Its connection serves the next attempt once it is over, and ends if it is
/// dropped before.
pub struct Relay {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: Passed,
    /// What has not told its length and is no long one yet has its request's time, and no other.
    until: Instant,
    begin: Instant,
    patience: Patience,
    over_at: Pin<Box<Sleep>>,
    /// None once it is over.
    connection: Option<(Rc<Upstream>, Connection)>,
}

impl Relay {
    /// Its length, if the backend told it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// All of it has been passed on. Whoever takes a body of a known length need not ask for more to know.
    pub fn over(&self) -> bool {
        self.connection.is_none()
    }

    /// Whether it may still be one that the platform carries, whose time is that of its last byte.
    fn short(&self) -> bool {
        self.length.is_none() && self.passed.total() <= WHOLE_MOST as u64
    }

    fn now(&self) -> Time {
        Time(self.begin.elapsed().as_micros() as u64)
    }

    fn finish(&mut self) {
        if let Some((upstream, connection)) = self.connection.take() {
            upstream.settle(connection);
        }
    }

    /// What comes next; an error, and the answer will not be whole.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            if self.short() && Instant::now() >= self.until {
                return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
            }
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    self.patience.waits(self.now());
                    let quiet = self.patience.until().map(|at| self.begin + Duration::from_micros(at.0));
                    let quiet = quiet.unwrap_or(self.until);
                    let at = if self.short() { quiet.min(self.until) } else { quiet };
                    if self.over_at.deadline() != at {
                        self.over_at.as_mut().reset(at);
                    }
                    ready!(self.over_at.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(None) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => {
                    return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if self.passed.add(data.len()).is_err() {
                        return Poll::Ready(Some(Err(io::ErrorKind::InvalidData.into())));
                    }
                    if self.length == Some(self.passed.total()) {
                        self.finish();
                    }
                    self.patience.came(data.len(), self.now());
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl Ended {
    fn without_answer(outcome: Outcome) -> Self {
        Ended { outcome, report: None, answer: None }
    }
}

/// One open connection; dropping it closes it.
struct Connection {
    sender: SendRequest<Load>,
    task: JoinHandle<()>,
    wire: Rc<Wire>,
    server: ServerId,
    life: u64,
    idle_since: Instant,
    /// From when on it may carry a request.
    rested_at: Instant,
    _place: Place,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A counted place among the connections that the process may hold.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection that is being waited for in a task of its own; `None` if it did not come up.
type Opening = oneshot::Receiver<Option<Connection>>;

/// What there is among the idle connections to a backend.
enum Idle {
    /// One that may be used at once.
    Ready(Connection),
    /// The one that is ready first, out of so many that rest.
    Resting(Connection, usize),
    None,
}

/// A backend as the list last described it.
struct Remote {
    dial: Option<SocketAddr>,
    born_ms: f64,
    /// Counts its processes and addresses; connections of an earlier one are not used again.
    life: u64,
    open: bool,
    idle: IdleConnections,
}

/// The idle connections to a backend, in the order in which they became idle.
#[derive(Default)]
struct IdleConnections {
    /// Those that may be used at once; the last was used most recently.
    ready: Vec<Connection>,
    /// Those that rest; the first is ready first.
    resting: VecDeque<Connection>,
}

impl IdleConnections {
    fn clear(&mut self) {
        self.ready.clear();
        self.resting.clear();
    }

    /// The connection that has been idle longest.
    fn oldest(&self) -> Option<&Connection> {
        self.ready.first().or(self.resting.front())
    }

    fn remove_oldest(&mut self) {
        if self.ready.is_empty() {
            self.resting.pop_front();
        } else {
            self.ready.remove(0);
        }
    }

    fn retain(&mut self, keep: impl Fn(&Connection) -> bool) {
        self.ready.retain(&keep);
        self.resting.retain(&keep);
    }

    fn add(&mut self, connection: Connection) {
        if connection.rested_at <= Instant::now() {
            self.ready.push(connection);
        } else {
            let later = |c: &Connection| c.rested_at <= connection.rested_at;
            let place = self.resting.partition_point(later);
            self.resting.insert(place, connection);
        }
    }

    /// Takes the most recently used connection that has rested and is fit for use; those that are not are closed.
    fn take_ready(&mut self, idle_most: Duration) -> Option<Connection> {
        let now = Instant::now();
        while self.resting.front().is_some_and(|c| c.rested_at <= now) {
            self.ready.extend(self.resting.pop_front());
        }
        let fit = |c: &Connection| c.idle_since.elapsed() < idle_most && c.sender.is_ready();
        std::iter::from_fn(|| self.ready.pop()).find(fit)
    }

    /// Takes the connection that is ready first, if that is before `by`.
    fn take_resting(&mut self, by: Instant) -> Option<Connection> {
        self.resting.retain(|c| c.sender.is_ready());
        self.resting.front().filter(|c| c.rested_at < by)?;
        self.resting.pop_front()
    }
}

/// All backends and the connections to them.
pub struct Upstream {
    remotes: RefCell<HashMap<ServerId, Remote>>,
    /// The last life that was given; no two processes share one, or a connection to an earlier one could be taken
    /// for the later one's.
    lives: Cell<u64>,
    /// Who was last named at an address.
    dials: RefCell<HashMap<SocketAddr, ServerId>>,
    held: Rc<Cell<usize>>,
    most: Cell<usize>,
    /// Attempts that were written whole.
    tries: Rc<Cell<u64>>,
    connect_timeout: Cell<Duration>,
    idle_most: Cell<Duration>,
    fields: RefCell<Vec<String>>,
}

impl Upstream {
    /// Knows no backend yet; holds at most `most` connections.
    pub fn new(most: usize, connect_timeout: Duration, keepalive: Duration, fields: Vec<String>) -> Self {
        Upstream {
            remotes: RefCell::default(),
            lives: Cell::new(0),
            dials: RefCell::default(),
            held: Rc::default(),
            most: Cell::new(most),
            tries: Rc::default(),
            connect_timeout: Cell::new(connect_timeout),
            idle_most: Cell::new(keepalive.mul_f64(IDLE_SHARE)),
            fields: RefCell::new(fields),
        }
    }

    /// Goes by other settings from now on.
    pub fn retune(&self, connect_timeout: Duration, keepalive: Duration, fields: Vec<String>) {
        self.connect_timeout.set(connect_timeout);
        self.idle_most.set(keepalive.mul_f64(IDLE_SHARE));
        *self.fields.borrow_mut() = fields;
    }

    /// Takes in a line of the list. A new address or a new process means new connections; one that drains keeps
    /// none that are idle, and one that has left is forgotten. What is out goes on.
    pub fn describe(&self, server: ServerId, host: &EndpointRecord) {
        if host.health == Health::Removed {
            return self.forget(server);
        }
        let mut remotes = self.remotes.borrow_mut();
        if let Some(dial) = host.dial.filter(|_| host.health == Health::Up) {
            let last = self.dials.borrow_mut().insert(dial, server);
            // Whoever was there has gone, told or not: no connection to it may reach for the newcomer.
            if let Some(last) = last.filter(|l| *l != server).and_then(|l| remotes.get_mut(&l)) {
                last.life = self.life();
                last.idle.clear();
            }
        }
        let new = || Remote {
            dial: host.dial,
            born_ms: host.born_ms,
            life: 0,
            open: true,
            idle: IdleConnections::default(),
        };
        let remote = remotes.entry(server).or_insert_with(new);
        let moved = host.dial.filter(|dial| remote.dial != Some(*dial));
        if remote.life == 0 || moved.is_some() || host.born_ms != remote.born_ms {
            remote.life = self.life();
            remote.idle.clear();
            remote.born_ms = host.born_ms;
        }
        if let Some(left) = moved.and(remote.dial) {
            self.vacate(left, server);
        }
        remote.dial = moved.or(remote.dial);
        remote.open = host.health == Health::Up;
        if !remote.open {
            remote.idle.clear();
        }
    }

    /// A life that no process has had.
    fn life(&self) -> u64 {
        self.lives.set(self.lives.get() + 1);
        self.lives.get()
    }

    fn vacate(&self, dial: SocketAddr, server: ServerId) {
        let mut dials = self.dials.borrow_mut();
        if dials.get(&dial) == Some(&server) {
            dials.remove(&dial);
        }
    }

    fn forget(&self, server: ServerId) {
        let dial = self.remotes.borrow_mut().remove(&server).and_then(|remote| remote.dial);
        if let Some(dial) = dial {
            self.vacate(dial, server);
        }
    }

    /// Forgets the backends that a whole list no longer names.
    pub fn keep_only(&self, named: impl Fn(ServerId) -> bool) {
        let gone = |server: &ServerId| !named(*server);
        let left: Vec<ServerId> = self.remotes.borrow().keys().copied().filter(gone).collect();
        left.into_iter().for_each(|server| self.forget(server));
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(remote) = self.remotes.borrow_mut().get_mut(&server) {
            remote.idle.clear();
        }
    }

    /// Connections that it holds, and may hold.
    pub fn connections(&self) -> (usize, usize) {
        (self.held.get(), self.most.get())
    }

    /// From now on it may hold so many connections; what is out beyond that goes on.
    pub fn hold_at_most(&self, most: usize) {
        self.most.set(most);
        while self.held.get() > most && self.spare() {}
    }

    /// Attempts that were written whole to a backend.
    pub fn tries(&self) -> u64 {
        self.tries.get()
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self) {
        for remote in self.remotes.borrow_mut().values_mut() {
            remote.idle.retain(|c| c.idle_since.elapsed() < self.idle_most.get() && !c.sender.is_closed());
        }
    }

    /// The most recently used connection that has rested. Where there is none, whichever is ready first of the one that has
    /// rested longest and, while fewer than `max_resting` rest, of a new one.
    async fn connection(
        self: &Rc<Self>,
        server: ServerId,
        by: Instant,
        max_resting: usize,
    ) -> Result<Connection, Outcome> {
        loop {
            let (resting, count) = match self.kept(server, by)? {
                Idle::Ready(connection) => return Ok(connection),
                Idle::Resting(connection, count) => (connection, count),
                Idle::None => return self.open(server)?.await.ok().flatten().ok_or(Outcome::ConnectFailed),
            };
            // No other backend's connection gives way to one that is not surely needed.
            let spare = count < max_resting && self.held.get() < self.most.get();
            let opening = if spare { self.open(server).ok() } else { None };
            // In a task of its own, for an attempt that is given up meanwhile has to cost neither of them.
            let first = self.fetch(self.clone().first_ready(resting, opening));
            if let Some(connection) = first.await.ok().flatten() {
                return Ok(connection);
            }
        }
    }

    /// Whichever is ready first of a connection that rests and one that is being opened. The other one goes to those that
    /// are idle.
    async fn first_ready(
        self: Rc<Self>,
        resting: Connection,
        opening: Option<Opening>,
    ) -> Option<Connection> {
        let Some(mut opening) = opening else {
            sleep_until(resting.rested_at).await;
            return Some(resting).filter(|c| self.usable(c));
        };
        let rested = sleep_until(resting.rested_at);
        tokio::pin!(rested);
        tokio::select! {
            biased;
            opened = &mut opening => match opened.ok().flatten() {
                Some(opened) => {
                    self.keep(resting);
                    Some(opened)
                }
                None => {
                    rested.await;
                    Some(resting).filter(|c| self.usable(c))
                }
            },
            () = &mut rested => {
                if self.usable(&resting) {
                    return Some(resting);
                }
                opening.await.ok().flatten()
            }
        }
    }

    /// Whether a connection that has rested may be used: what has come meanwhile has closed it, and its backend may be
    /// another one by now.
    fn usable(&self, connection: &Connection) -> bool {
        connection.sender.is_ready() && self.current(connection)
    }

    /// Begins to open a connection. What this process lacks, a place or an address, is no fault of the backend's.
    fn open(self: &Rc<Self>, server: ServerId) -> Result<Opening, Outcome> {
        let (dial, life) = {
            let remotes = self.remotes.borrow();
            let remote = remotes.get(&server).ok_or(Outcome::NotSent)?;
            (remote.dial.ok_or(Outcome::NotSent)?, remote.life)
        };
        let place = self.place().ok_or(Outcome::NotSent)?;
        let upstream = self.clone();
        Ok(self.fetch(async move {
            let opened = timeout(upstream.connect_timeout.get(), open(dial, upstream.tries.clone())).await;
            let (sender, task, wire) = opened.ok()?.ok()?;
            // Nothing has been said over it that a second answer could follow.
            let (idle_since, rested_at) = (Instant::now(), Instant::now());
            Some(Connection { sender, task, wire, server, life, idle_since, rested_at, _place: place })
        }))
    }

    /// Waits for a connection in a task of its own: when its attempt is given up meanwhile, the connection, which has cost
    /// the backend work by then, serves the next one.
    fn fetch(self: &Rc<Self>, coming: impl Future<Output = Option<Connection>> + 'static) -> Opening {
        let (tell, told) = oneshot::channel();
        let upstream = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(Some(connection)) = tell.send(coming.await) {
                upstream.park(connection);
            }
        });
        told
    }

    /// Takes the connection to a backend that is to be used next out of those that are idle.
    fn kept(&self, server: ServerId, by: Instant) -> Result<Idle, Outcome> {
        let mut remotes = self.remotes.borrow_mut();
        let idle = &mut remotes.get_mut(&server).ok_or(Outcome::NotSent)?.idle;
        if let Some(ready) = idle.take_ready(self.idle_most.get()) {
            return Ok(Idle::Ready(ready));
        }
        let count = idle.resting.len();
        Ok(idle.take_resting(by).map_or(Idle::None, |connection| Idle::Resting(connection, count)))
    }

    /// A place for one more connection; an idle one of another backend gives way if all are taken.
    fn place(&self) -> Option<Place> {
        if self.held.get() >= self.most.get() && !self.spare() {
            return None;
        }
        self.held.set(self.held.get() + 1);
        Some(Place(self.held.clone()))
    }

    /// Closes the connection that has been idle longest; false if none is.
    fn spare(&self) -> bool {
        let mut remotes = self.remotes.borrow_mut();
        let idle_since = |remote: &&mut Remote| remote.idle.oldest().map(|c| c.idle_since);
        let oldest = remotes.values_mut().filter(|r| r.idle.oldest().is_some()).min_by_key(idle_since);
        oldest.map(|remote| remote.idle.remove_oldest()).is_some()
    }

    /// Whether a connection leads to the process that its backend is now.
    fn current(&self, connection: &Connection) -> bool {
        self.remotes.borrow().get(&connection.server).is_some_and(|remote| remote.life == connection.life)
    }

    fn park(&self, mut connection: Connection) {
        connection.idle_since = Instant::now();
        self.keep(connection);
    }

    /// Puts a connection to those that are idle, if it may be used again.
    fn keep(&self, connection: Connection) {
        let mut remotes = self.remotes.borrow_mut();
        let Some(remote) = remotes.get_mut(&connection.server) else { return };
        if remote.open && remote.life == connection.life && !connection.sender.is_closed() {
            remote.idle.add(connection);
        }
    }

    /// Sends an attempt and waits for its end, until `until` at the longest.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        request: Request<Load>,
        limits: &AttemptLimits,
        progress: &Progress,
    ) -> Ended {
        let exchange = async {
            // Past the time to begin, a connection is of no use to this attempt: it has failed, and another one may
            // still be answered in the wanted time.
            let begun = Instant::now();
            let by = limits.connect.map_or(limits.write_by, |most| limits.write_by.min(begun + most));
            let connecting = timeout_at(by, self.connection(server, by, MAX_RESTING)).await;
            let connection = match connecting.unwrap_or(Err(Outcome::ConnectFailed)) {
                Ok(connection) => connection,
                Err(outcome) => return Some(Ended::without_answer(outcome)),
            };
            if progress.stopped.get() {
                self.park(connection);
                return None;
            }
            if Instant::now() > limits.write_by {
                self.park(connection);
                return Some(Ended::without_answer(Outcome::NotSent));
            }
            let written = connection.wire.written.get();
            connection.wire.begin.set(Some((written, limits.write_by)));
            connection.wire.first.set(progress.first.take());
            let whole = length(&request).map_or(u64::MAX, |length| written + length);
            connection.wire.whole.set(whole);
            *progress.wire.borrow_mut() = Some((connection.wire.clone(), whole));
            let wire = connection.wire.clone();
            // A body that is still coming takes its client's time, not the backend's.
            let first_byte = limits.first_byte.filter(|_| progress.upload.is_none());
            let mut ended = self.exchange(connection, request, first_byte).await;
            if let Some(Ended { answer: Some((_, Content::Passing(relay))), .. }) = &mut ended {
                relay.until = progress.until.get().unwrap_or(limits.until);
            }
            if whole == u64::MAX && progress.may_have_run() {
                self.tries.set(self.tries.get() + 1);
            }
            let begun = wire.written.get() > written;
            if ended.is_none() && !begun && Instant::now() > limits.write_by {
                return Some(Ended::without_answer(Outcome::NotSent));
            }
            ended
        };
        let ended = tokio::select! {
            biased;
            () = progress.stop.notified() => Some(Outcome::Cancelled),
            ended = exchange => match ended {
                Some(Ended { outcome: Outcome::TimedOut, .. }) => Some(Outcome::TimedOut),
                Some(ended) => return ended,
                None => None,
            },
            () = progress.expired(limits.until) => Some(Outcome::TimedOut),
        };
        if progress.upload.as_ref().is_some_and(|upload| upload.broken()) && !progress.may_have_run() {
            // It is the client's fault, and no server's.
            return Ended::without_answer(Outcome::NotSent);
        }
        // Whether a broken attempt may have run rests on the bytes that went out and on nothing else.
        Ended::without_answer(match (progress.may_have_run(), ended) {
            (true, outcome) => outcome.unwrap_or(Outcome::ConnectionReset),
            (false, _) if progress.stopped.get() => Outcome::NotSent,
            (false, _) => Outcome::ConnectFailed,
        })
    }

    /// Asks a backend for its health, and for its load where it tells that.
    pub async fn probe(self: &Rc<Self>, server: ServerId) -> Ended {
        let path = if self.fields.borrow().is_empty() { "/health" } else { "/status/load" };
        let request = Request::get(path).header("host", "backend").body(Load::Whole(Bytes::new()));
        let exchange = async {
            let by = Instant::now() + PROBE_WAIT;
            let (connection, request) = match (self.connection(server, by, 0).await, request) {
                (Ok(connection), Ok(request)) => (connection, request),
                (Err(outcome), _) => return Ended::without_answer(outcome),
                (Ok(_), Err(_)) => return Ended::without_answer(Outcome::NotSent),
            };
            connection.wire.begin.set(None);
            connection.wire.first.set(None);
            connection.wire.whole.set(u64::MAX);
            let ended = self.exchange(connection, request, None).await;
            let mut ended = ended.unwrap_or(Ended::without_answer(Outcome::ConnectionReset));
            if let (None, Some((_, Content::Whole(body)))) = (&ended.report, &ended.answer) {
                ended.report =
                    std::str::from_utf8(body).ok().and_then(|text| parse_report(text, &self.fields.borrow()));
            }
            ended
        };
        timeout(PROBE_WAIT, exchange).await.unwrap_or(Ended::without_answer(Outcome::TimedOut))
    }

    /// One request and its answer over a connection, whole or well begun; `None` if that broke on the way.
    async fn exchange(
        self: &Rc<Self>,
        mut connection: Connection,
        request: Request<Load>,
        first_byte: Option<Duration>,
    ) -> Option<Ended> {
        connection.wire.readable.set(ANSWER_MOST);
        let response = connection.sender.send_request(request);
        let response = match first_byte {
            Some(most) => match timeout(most, response).await {
                Ok(response) => response,
                Err(_) => return Some(Ended::without_answer(Outcome::TimedOut)),
            },
            None => response.await,
        };
        let response = response.ok()?;
        let headers = response.headers();
        // Two lengths are none: hyper would go by one of them, and what it then took for the answer need not be.
        let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
        let ambiguous = lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING));
        let length = response.body().size_hint().exact();
        if ambiguous || way(length).is_err() {
            return None;
        }
        let (outcome, report) = self.judge(&response);
        let kind = headers.get(CONTENT_TYPE).cloned();
        let mut rest = response.into_body();
        let (first, whole) = gather(&mut rest, length).await?;
        let content = if whole {
            self.settle(connection);
            Content::Whole(first)
        } else if outcome == Outcome::Success {
            connection.wire.readable.set(PASSED_MOST);
            let mut passed = Passed::default();
            passed.add(first.len()).ok()?;
            Content::Passing(Box::new(Relay {
                first: Some(first),
                rest,
                length,
                passed,
                until: Instant::now(),
                begin: Instant::now(),
                patience: Patience::of(QUIET_MOST),
                over_at: Box::pin(sleep_until(Instant::now())),
                connection: Some((self.clone(), connection)),
            }))
        } else {
            return None;
        };
        let answer = (outcome == Outcome::Success).then_some((kind, content));
        Some(Ended { outcome, report, answer })
    }

    /// Keeps a connection whose answer is over for the next attempt. One that brings more than the answer is closed by
    /// hyper instead of becoming ready. The answer is good all the same and does not wait for that.
    fn settle(self: &Rc<Self>, mut connection: Connection) {
        connection.rested_at = Instant::now() + REST;
        if connection.sender.is_ready() {
            self.park(connection);
        } else if !connection.sender.is_closed() {
            let upstream = self.clone();
            tokio::task::spawn_local(async move {
                if let Ok(Ok(())) = timeout(SETTLE, connection.sender.ready()).await {
                    upstream.park(connection);
                }
            });
        }
    }

    /// What an answer means. Only a rejection that says so proves that the request has not run: a bare 503
    /// may come from something that ran it.
    fn judge<B>(&self, response: &Response<B>) -> (Outcome, Option<Vec<f64>>) {
        let untouched = response.headers().get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match response.status() {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if untouched => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        let report = response.headers().get("x-server-load").and_then(|v| v.to_str().ok());
        (outcome, report.and_then(|text| parse_report(text, &self.fields.borrow())))
    }
}

/// Reads the begin of a body: all of a short one, or as much of a long one as is kept back before it goes on. The second
/// is whether it is whole; `None` if it broke.
async fn gather(body: &mut Incoming, length: Option<u64>) -> Option<(Bytes, bool)> {
    let head = Instant::now();
    let now = || Time(head.elapsed().as_micros() as u64);
    let mut begin = Begin::new(length, now());
    let mut parts: Vec<Bytes> = Vec::new();
    let whole = loop {
        let next = match begin.until().filter(|_| !parts.is_empty()) {
            Some(until) => timeout_at(head + Duration::from_micros(until.0), body.frame()).await,
            None => Ok(body.frame().await),
        };
        let more = match next {
            Ok(None) => break true,
            Ok(Some(frame)) => frame.ok()?.into_data().unwrap_or_default(),
            Err(_) => Bytes::new(),
        };
        let goes_on = begin.came(more.len(), now());
        if !more.is_empty() {
            parts.push(more);
        }
        if goes_on {
            break body.is_end_stream();
        }
    };
    Some((join(parts), whole))
}

/// Pieces as one; a single one is not copied.
pub fn join(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.remove(0);
    }
    let mut all = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
    parts.iter().for_each(|part| all.extend_from_slice(part));
    all.freeze()
}

async fn open(
    dial: SocketAddr,
    tries: Rc<Cell<u64>>,
) -> io::Result<(SendRequest<Load>, JoinHandle<()>, Rc<Wire>)> {
    let stream = TcpStream::connect(dial).await?;
    prompt(&stream);
    let wire = Rc::new(Wire { whole: Cell::new(u64::MAX), tries, ..Wire::default() });
    let io = Counted { io: TokioIo::new(stream), wire: wire.clone() };
    let mut builder = Builder::new();
    builder.max_buf_size(HEAD_MOST).max_header_size(HEAD_MOST);
    let (sender, driven) = builder.handshake(io).await.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // How it ended shows at the sender and in the bytes written.
        let _ = driven.await;
    });
    Ok((sender, task, wire))
}

/// The bytes of a request as they go out, or a few less: short of them, its last byte is not out. None where its body has
/// not told its length.
fn length(request: &Request<Load>) -> Option<u64> {
    let line =
        request.method().as_str().len() + request.uri().path().len() + " ".len() + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len()).sum();
    let query = request.uri().query().map_or(0, |q| q.len() + "?".len());
    let body = request.body().size_hint().exact()?;
    Some((line + query + headers + "\r\n".len()) as u64 + body)
}

/// Reads `TEXT inflight=7, queue=2` into the order of the settings; `None` if it says nothing of these.
fn parse_report(text: &str, fields: &[String]) -> Option<Vec<f64>> {
    let text = text.trim();
    let pairs = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = vec![f64::NAN; fields.len()];
    for pair in pairs.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(place) = fields.iter().position(|f| f.as_str() == name.trim()) else { continue };
        report[place] = value.trim().parse().unwrap_or(f64::NAN);
    }
    report.iter().any(|value| value.is_finite()).then_some(report)
}

/// The headers that go on: those that speak of the connection or are worded anew stay behind.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    const OWN: [&str; 12] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "x-timeout",
    ];
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let goes_on = |name: &str| !OWN.contains(&name) && !named.iter().any(|n| n == name);
    headers.iter().filter(|(n, _)| goes_on(n.as_str())).map(|(n, v)| (n.clone(), v.clone())).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_are_read_in_the_order_of_the_settings() {
        let fields = ["qps", "queue"].map(String::from);
        assert_eq!(parse_report("TEXT queue=2, novel=1, qps=40.5", &fields), Some(vec![40.5, 2.0]));
        let odd = parse_report("queue=x,,=,qps=1", &fields).expect("a report");
        assert_eq!(odd[0], 1.0);
        assert!(odd[1].is_nan());
        for text in ["", "TEXT", "TEXT queue=NaN", "novel=1", "queue"] {
            assert_eq!(parse_report(text, &fields), None, "{text}");
        }
    }

    #[test]
    fn headers_of_the_connection_stay_behind() {
        let mut headers = HeaderMap::new();
        for (name, value) in
            [("connection", "close, X-Hop"), ("x-hop", "1"), ("x-timeout", "5m"), ("x-a", "b")]
        {
            headers.append(name, HeaderValue::from_static(value));
        }
        let left = forwarded(&headers);
        assert_eq!(left.len(), 1);
        assert_eq!(left["x-a"], "b");
    }
}
