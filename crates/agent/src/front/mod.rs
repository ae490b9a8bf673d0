//! The application's side: takes requests in, checks them, and writes the one answer of each.

mod capacity;
mod connection;
mod exchange;
mod framing;
mod head;
mod reply;
mod request;
mod response;

use crate::daemon::status::Tally;
use crate::driver::Driver;
use crate::prompt::prompt;
use bellcroft_operations::passage::Store;
use bellcroft_operations::service::{Duty, Service};
use capacity::{can_be_spared, is_descriptor_shortage, LAST_RESPONSE_SHARE, STATE_CHECK_INTERVAL};
use connection::{client_disconnected, ClientConnection, Phase};
use exchange::OpenId;
use framing::{RequestFraming, MAX_HEAD_BYTES};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Pause after an accept that failed, or descriptors that have run out would make the loop spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A connection that has said nothing for this long is not about to: clients connect to ask.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(300);
/// After SIGTERM new connections go on coming for a while; each is still taken.
pub const SHUTDOWN_ACCEPT_TIMEOUT: Duration = Duration::from_millis(650);

/// A connection that has been taken.
struct HeldConnection {
    client: Rc<ClientConnection>,
    leave: Rc<Notify>,
}

/// The listening side and the connections it has taken.
pub struct Server {
    driver: Rc<Driver>,
    /// What became of the requests.
    pub tally: Tally,
    service: Cell<Service>,
    /// Told of each change of the above.
    changed: watch::Sender<()>,
    accepting: watch::Sender<bool>,
    limit: Cell<usize>,
    /// The process had no descriptor left: until when it holds so many connections at most.
    shortage: Cell<Option<(Instant, usize)>>,
    held: RefCell<HashMap<u64, HeldConnection>>,
    freed: Notify,
    /// Ids of the requests that are open.
    ids: Rc<RefCell<HashSet<Box<str>>>>,
    /// What the begins of bodies that are coming may take.
    store: Rc<RefCell<Store>>,
}

impl Server {
    /// Serves at most `connections` at a time.
    pub fn new(driver: Rc<Driver>, connections: usize, memory: usize) -> Rc<Self> {
        Rc::new(Server {
            tally: Tally::new(&driver.names().classes),
            driver,
            service: Cell::default(),
            changed: watch::Sender::new(()),
            accepting: watch::Sender::new(true),
            limit: Cell::new(connections),
            shortage: Cell::new(None),
            held: RefCell::default(),
            freed: Notify::new(),
            ids: Rc::default(),
            store: Rc::new(RefCell::new(Store::new(memory))),
        })
    }

    /// Takes connections until it is dropped or [`Server::stop_accepting`] is called; one that has been taken by
    /// then is served. Each is taken at once; where there is no place for it, one that
    /// nobody needs gives way, so that hundreds that say nothing do not shut the others out.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut accepting = self.accepting.subscribe();
        for number in 0.. {
            let stream = loop {
                let taken = tokio::select! {
                    biased;
                    _ = accepting.wait_for(|on| !on) => return,
                    taken = listener.accept() => taken,
                };
                match taken {
                    Ok((stream, _)) => break stream,
                    Err(error) if is_descriptor_shortage(&error) => {
                        self.on_descriptor_shortage();
                        self.wait_for_place().await;
                    }
                    Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
                }
            };
            while self.held.borrow().len() >= self.max_connections() {
                self.evict(1);
                self.wait_for_place().await;
            }
            let held = HeldConnection { client: ClientConnection::new(), leave: Rc::default() };
            let (client, leave) = (held.client.clone(), held.leave.clone());
            self.held.borrow_mut().insert(number, held);
            let server = self.clone();
            tokio::task::spawn_local(async move {
                server.clone().connection(stream, client, leave).await;
                server.held.borrow_mut().remove(&number);
                server.freed.notify_one();
            });
        }
    }

    /// A connection that leaves frees its place; one that may leave soon is found by looking again.
    async fn wait_for_place(&self) {
        let _ = timeout(ACCEPT_RETRY_INTERVAL, self.freed.notified()).await;
    }

    /// What it is there for at present.
    pub fn duty(&self) -> Duty {
        self.service.get().duty()
    }

    /// Whether it says yes to those who ask if they may send it clients.
    pub fn ready(&self) -> bool {
        self.driver.ready() && self.service.get().ready()
    }

    /// When connections that are idle close for the sake of its duty, if they do.
    pub fn idle_closes(&self) -> Option<Instant> {
        self.service.get().close_idle_at().map(|at| self.driver.clock.instant(at))
    }

    /// Changes what it is there for; connections look at it at once.
    pub fn change<T>(&self, change: impl FnOnce(&mut Service) -> T) -> T {
        let mut service = self.service.get();
        let told = change(&mut service);
        self.service.set(service);
        self.changed.send_replace(());
        told
    }

    /// From now on it serves so many connections at a time; those that it has go on.
    pub fn set_max_connections(&self, connections: usize) {
        self.limit.set(connections);
    }

    /// Takes no new connection from now on: another process has the listening socket.
    pub fn stop_accepting(&self) {
        self.accepting.send_replace(false);
    }

    /// Connections of clients at present.
    pub fn connections(&self) -> usize {
        self.held.borrow().len()
    }

    /// Whether any request is on its way in or has no answer yet. One may be on its way over a connection that is
    /// so fresh that its first byte has not come.
    pub fn busy(&self) -> bool {
        let busy = |held: &HeldConnection| {
            let (phase, since) = held.client.phase();
            may_owe_response(phase, since.elapsed())
        };
        self.held.borrow().values().any(busy)
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, client: Rc<ClientConnection>, leave: Rc<Notify>) {
        prompt(&stream);
        let (stream, taken) = (Rc::new(stream), Instant::now());
        let mut changed = self.changed.subscribe();
        let (server, read) = (self.clone(), client.clone());
        let service = service_fn(move |request| server.clone().answer(request, read.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let framing_io = RequestFraming::new(stream.clone(), client.clone());
        let mut connection = pin!(builder.serve_connection(framing_io, service));
        let mut leaving = pin!(client_disconnected(&stream, &client));
        loop {
            let until = self.expires_at(&client, taken);
            if Instant::now() >= until {
                return;
            }
            // What has come is looked at before the connection's time.
            tokio::select! {
                biased;
                // An error here is the client's leaving or its bad bytes; both concern this connection alone.
                _ = connection.as_mut() => return,
                () = leave.notified() => {
                    // A request may have come since it was chosen.
                    if can_be_spared(&client) {
                        return;
                    }
                }
                // A client that closes its side has gone away (the protocol's page): what it waits for ends with it.
                () = leaving.as_mut() => return,
                // What is idle may have to close; a request that is on its way, or is the first, is still answered.
                _ = changed.changed() => {}
                () = sleep_until(until.min(Instant::now() + STATE_CHECK_INTERVAL)) => {}
            }
        }
    }
}

/// Whether a connection that has been in this phase for so long may still owe an answer.
fn may_owe_response(phase: Phase, for_so_long: Duration) -> bool {
    match phase {
        Phase::ReceivingHead | Phase::ReceivingBody | Phase::Pending => true,
        Phase::Unused => for_so_long < FIRST_BYTE_TIMEOUT,
        Phase::Idle => false,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front.rs"]
mod tests;
