//! The application's side: takes requests in, checks them, and writes the one answer of each.

pub mod framing;
mod reply;

use crate::daemon::descriptors::DISCOVERY_CONNECTIONS;
use crate::daemon::status::{Ended, Tally};
use crate::driver::{Answer, Arrival, Driver, Given, COMING_MOST};
use crate::front::framing::{client_disconnected, ClientConnection, Phase, RequestFraming, MAX_HEAD_BYTES};
use crate::front::reply::{Ending, Reply};
use crate::passing::{Kept, Upload};
use crate::prompt::prompt;
use crate::upstream::{forwarded, join, Content};
use bellcroft_operations::passage::{self, Store, Way, BODY_MOST};
use bellcroft_operations::retune::{Form, Unfit};
use bellcroft_operations::service::{Duty, Service};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use micasail::{Effect, KeyId, RequestId, Span, TenantId};
use micasail_settings::fnv1a;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tracing::warn;

/// The part of a client's wait that is kept for writing the answer.
const RESPONSE_WRITE_RESERVE: Duration = Duration::from_millis(6);
/// The longest wait that a request may ask for.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);
/// A request's head must have come within this of its first byte: what says half of something holds a place that others
/// need. Slow clients take 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A connection's first one must have come within this of the connect, however late it began.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_800);
/// A client that takes nothing of its answer for this long has left without a word.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// A client that is told before it has said all has this long to hear it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An idle connection is closed after this; much sooner where places run short, and then it must have been idle
/// for as long as clients are promised.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_050);
/// Places run short once this share of them is taken: clients count connections that they have left behind
/// among those that they may hold.
const SHORT_IDLE_SHARE: f64 = 0.25;
/// Once this share of the places is taken, each answer is the last on its connection and says so, which no request
/// can cross: clients that ask once and stay use up what they may hold long before an idle connection is old enough
/// to be closed.
const LAST_RESPONSE_SHARE: f64 = 0.5;
/// Where all places are taken, one that has said nothing for this long gives way: clients connect to ask. So does one that
/// has been idle for as long, if no other does: a client that comes to ask is worth more than one that may ask again.
const EVICTION_IDLE_TIME: Duration = Duration::from_millis(100);
/// Connections that are given up at once when the process has no descriptor left: those to discovery, and as many more for
/// backends and the next clients.
const SHORTAGE_RESERVE: usize = 2 * DISCOVERY_CONNECTIONS;
/// After such a shortage fewer connections are held for so long.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a connection's time is looked at.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The longest id of a request that is kept.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// The balancer ends each request by its deadline; should it not, the agent does, this much later.
const DEADLINE_SLACK: Duration = Duration::from_millis(4);
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

    /// How many connections it may hold at present.
    fn max_connections(&self) -> usize {
        let most = self.limit.get();
        match self.shortage.get() {
            Some((until, fewer)) if Instant::now() < until => most.min(fewer),
            _ => most,
        }
    }

    /// The process has fewer descriptors than it was promised. Clients make room for what it can't do without.
    fn on_descriptor_shortage(&self) {
        let held = self.held.borrow().len();
        // Those that were to close at the last one may not have yet.
        if held <= self.max_connections() {
            let fewer = held.saturating_sub(SHORTAGE_RESERVE).max(1);
            self.shortage.set(Some((Instant::now() + SHORTAGE_TIMEOUT, fewer)));
            warn!("no descriptor is left for a client's connection; {held} are held, {fewer} from now on");
        }
        self.evict(SHORTAGE_RESERVE);
    }

    /// Closes so many of the connections that can best be spared: those that have said nothing, then those that have been
    /// idle longest. One with a request open or on its way never is.
    fn evict(&self, count: usize) {
        let held = self.held.borrow();
        let mut spared: Vec<&HeldConnection> =
            held.values().filter(|held| can_be_spared(&held.client)).collect();
        let rank = |held: &&HeldConnection| {
            (held.client.lingers().is_none(), held.client.phase().0 == Phase::Idle, held.client.phase().1)
        };
        spared.sort_by_key(rank);
        spared.iter().take(count).for_each(|held| held.leave.notify_one());
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

    /// Whether so large a share of the places is taken.
    fn taken(&self, share: f64) -> bool {
        self.held.borrow().len() as f64 >= share * self.max_connections() as f64
    }

    /// Until when a connection may go on as it is.
    fn expires_at(&self, client: &ClientConnection, taken: Instant) -> Instant {
        let short = self.taken(SHORT_IDLE_SHARE);
        if let Some(since) = client.lingers() {
            return since + LINGER_TIMEOUT;
        }
        if let Some(since) = client.stuck() {
            return since + WRITE_STALL_TIMEOUT;
        }
        match client.phase() {
            (Phase::Unused, _) => taken + HEAD_TIMEOUT,
            (Phase::ReceivingHead, since) if client.first() => {
                (since + HEAD_TIMEOUT).min(taken + FIRST_HEAD_TIMEOUT)
            }
            (Phase::ReceivingHead, since) => since + HEAD_TIMEOUT,
            // A body comes as slowly as it likes, and is read as slowly as its server does; only silence is bounded.
            (Phase::ReceivingBody, _) => {
                client.body_until().unwrap_or_else(|| Instant::now() + STATE_CHECK_INTERVAL)
            }
            // A request that is whole ends by its deadline, or its answer is on its way.
            (Phase::Pending, _) => Instant::now() + STATE_CHECK_INTERVAL,
            (Phase::Idle, since) => {
                let own = since + if short { SHORT_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
                self.idle_closes().map_or(own, |at| own.min(at))
            }
        }
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

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        client: Rc<ClientConnection>,
    ) -> Result<Response<Reply>, Infallible> {
        let (mut answer, close) = match self.handle(request, &client).await {
            Ok(answer) => (answer, self.service.get().last_answers() || self.taken(LAST_RESPONSE_SHARE)),
            // Who cannot word a request is not trusted with the rest of the connection.
            Err(answer) => {
                self.tally.bad();
                if let Some(telemetry) = &self.driver.telemetry {
                    telemetry.bad();
                }
                (answer, true)
            }
        };
        if close {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer.body_mut().goes_over(&client);
        Ok(answer)
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<Response<Reply>, Response<Reply>> {
        if client.ambiguous() {
            return Err(plain_response(
                StatusCode::BAD_REQUEST,
                "the request's length can be read in two ways",
            ));
        }
        if request.uri().path() == "/ready" {
            return Ok(if self.ready() {
                plain_response(StatusCode::OK, "ready")
            } else {
                plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            });
        }
        let arrival = self.read(request).await?;
        let Some(open) = self.claim_id(&arrival) else {
            return Err(plain_response(StatusCode::CONFLICT, "a request with this X-Request-ID is open"));
        };
        let (mut deadline, wait) = (arrival.deadline, arrival.wait);
        let upload = arrival.body.upload().cloned();
        if upload.is_none() {
            client.whole();
        }
        let counted = self.tally.taken(&self.driver.class_name(arrival.class));
        let (id, mut answer, owing) = self.driver.submit(arrival);
        // When the client leaves, hyper drops this future, and the guard tells the balancer.
        let _owed = PendingGuard(&self.driver, id);
        let mut early = None;
        if let Some(upload) = upload {
            tokio::select! {
                biased;
                answer = &mut answer => early = Some(Ok(answer)),
                () = upload.ended() => {
                    if let Some(whole) = upload.whole() {
                        client.whole();
                        deadline = whole + wait;
                        self.driver.whole(id, deadline);
                    }
                }
            }
        }
        let answer = match early {
            Some(answer) => answer,
            None => timeout_at(deadline + DEADLINE_SLACK, answer).await,
        };
        let (how, mut response) = match answer {
            Ok(Ok(answer)) => (
                match answer {
                    Answer::Served(..) => Ended::Served,
                    Answer::Refused(_) => Ended::Refused,
                    Answer::Failed(_) => Ended::Failed,
                },
                response_for(answer),
            ),
            Ok(Err(_)) => (Ended::Failed, plain_response(StatusCode::BAD_GATEWAY, "no answer was decided")),
            Err(_) => (Ended::Failed, plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")),
        };
        response.body_mut().ends(Ending::new(counted, owing, how, open));
        Ok(response)
    }

    /// Marks a request's id as open; none if it is already. Ids are new with every request, and a second one would
    /// disturb the first.
    fn claim_id(&self, arrival: &Arrival) -> Option<OpenId> {
        let id: Box<str> = header_text(&arrival.headers, "x-request-id").unwrap_or_default().into();
        let new = self.ids.borrow_mut().insert(id.clone());
        new.then(|| OpenId(self.ids.clone(), id))
    }

    /// Reads a request, whole or as much of it as is taken before it goes on; the error is the answer to a bad one.
    async fn read(&self, request: Request<Incoming>) -> Result<Arrival, Response<Reply>> {
        let bad = |why: &str| plain_response(StatusCode::BAD_REQUEST, why);
        let (head, body) = request.into_parts();
        let names = self.driver.names();
        let path = head.uri.path();
        let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let keyed = head.headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
        let form = match (head.method == Method::POST, keyed) {
            (true, true) => Form::Keyed,
            (true, false) => Form::Bare,
            (false, _) => Form::Read,
        };
        let found = self.driver.class(first, form);
        if found == Err(Unfit::Unknown) {
            return Err(plain_response(StatusCode::NOT_FOUND, "no such class of request"));
        }
        if header_text(&head.headers, "x-priority-class") != Some(first) {
            return Err(bad("X-Priority-Class must be the first part of the path"));
        }
        if header_text(&head.headers, "x-request-id")
            .is_none_or(|id| id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES)
        {
            return Err(bad("X-Request-ID is missing or too long"));
        }
        let tenant = match header_text(&head.headers, "x-tenant-id") {
            _ if names.tenants.is_empty() => None,
            Some(tenant) => names.tenants.iter().position(|name| name == tenant).map(TenantId),
            None => None,
        };
        if tenant.is_none() && !names.tenants.is_empty() {
            return Err(bad("X-Tenant-Id names no tenant"));
        }
        let wait = header_text(&head.headers, "x-timeout").and_then(parse_timeout);
        let wait = wait.ok_or_else(|| bad("X-Timeout must be a time such as 480m or 900u"))?;
        let other_method = |allow: &'static str| {
            let mut answer = plain_response(StatusCode::METHOD_NOT_ALLOWED, "this class has another method");
            answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
            answer
        };
        let class = match found {
            Ok(_) if form == Form::Read && head.method != Method::GET => return Err(other_method("GET")),
            Ok(class) => class,
            Err(Unfit::Form(Effect::Idempotent)) => return Err(other_method("GET")),
            Err(_) if head.method != Method::POST => return Err(other_method("POST")),
            Err(_) => return Err(bad("this class needs an Idempotency-Key")),
        };
        let route = self.driver.route(class, tenant, path);
        let body = self.read_body_start(body).await?;
        let room = RESPONSE_WRITE_RESERVE.min(wait / 4);
        let whole = Instant::now();
        let query = head.uri.query().unwrap_or_default();
        let key = query.split('&').find_map(|pair| pair.strip_prefix("key="));
        let cost = header_text(&head.headers, "x-cost").and_then(|cost| cost.parse::<f64>().ok());
        Ok(Arrival {
            class,
            tenant,
            key: key.map(|key| KeyId(fnv1a(key))),
            cost_hint: cost.filter(|us| *us > 0.0 && us.is_finite()).map(|us| Span::from_ms(us / 1e3)),
            repeat: header_text(&head.headers, "x-retried") == Some("1"),
            deadline: whole + if body.upload().is_some() { COMING_MOST } else { wait - room },
            wait: wait - room,
            whole,
            client_waits: whole + wait,
            route,
            headers: forwarded(&head.headers),
            method: head.method,
            uri: head.uri,
            body,
        })
    }
}

impl Server {
    /// Takes a body whole, or the begin of one that is passed on as it comes.
    async fn read_body_start(&self, mut body: Incoming) -> Result<Given, Response<Reply>> {
        let length = body.size_hint().exact();
        let way = passage::way(length).map_err(|_| {
            let text = format!("a body holds at most {} MiB", BODY_MOST >> 20);
            plain_response(StatusCode::PAYLOAD_TOO_LARGE, &text)
        })?;
        let kept = Kept::grant(&self.store);
        // What says of itself that it is short is taken whole however little memory there is: it can be tried again.
        let most = match (way, length) {
            (Way::Gather, Some(length)) => length as usize,
            (Way::Gather | Way::Pass, _) => kept.most(),
        };
        let (mut parts, mut gathered) = (Vec::new(), 0);
        loop {
            match body.frame().await {
                None => return Ok(Given::Whole(join(parts))),
                Some(Err(_)) => {
                    return Err(plain_response(StatusCode::BAD_REQUEST, "the body did not come whole"))
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    gathered += data.len();
                    parts.push(data);
                }
            }
            if gathered > most || (way == Way::Pass && gathered >= most) {
                return Ok(Given::Coming(Upload::new(length, join(parts), kept, body)));
            }
        }
    }
}

/// Whether a connection can be closed for the sake of another client's.
fn can_be_spared(client: &ClientConnection) -> bool {
    match client.phase() {
        _ if client.lingers().is_some() => true,
        (Phase::Unused | Phase::Idle, since) => since.elapsed() >= EVICTION_IDLE_TIME,
        (Phase::ReceivingHead | Phase::ReceivingBody | Phase::Pending, _) => false,
    }
}

/// Whether an accept failed because this process, or the machine, has no descriptor or memory for another socket.
fn is_descriptor_shortage(error: &io::Error) -> bool {
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Whether a connection that has been in this phase for so long may still owe an answer.
fn may_owe_response(phase: Phase, for_so_long: Duration) -> bool {
    match phase {
        Phase::ReceivingHead | Phase::ReceivingBody | Phase::Pending => true,
        Phase::Unused => for_so_long < FIRST_BYTE_TIMEOUT,
        Phase::Idle => false,
    }
}

/// An id that is open as long as this is.
struct OpenId(Rc<RefCell<HashSet<Box<str>>>>, Box<str>);

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// Tells the balancer if a request ends without having been given its answer.
struct PendingGuard<'a>(&'a Rc<Driver>, RequestId);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.gone(self.1);
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a wait such as `480m` (milliseconds) or `900u` (microseconds).
fn parse_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let wait = Duration::try_from_secs_f64(digits.parse::<f64>().ok()? * micros / 1e6).ok()?;
    (!wait.is_zero() && wait <= MAX_REQUEST_TIMEOUT).then_some(wait)
}

fn response_for(answer: Answer) -> Response<Reply> {
    match answer {
        Answer::Served(kind, content) => {
            let mut response = Response::new(match content {
                Content::Whole(body) => Reply::whole(body),
                Content::Passing(relay) => Reply::passing(relay),
            });
            response.headers_mut().extend(kind.map(|kind| (CONTENT_TYPE, kind)));
            response
        }
        Answer::Refused(after) => {
            let mut response =
                plain_response(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless");
            let after =
                after.and_then(|after| HeaderValue::from_str(&format!("{:.3}", after.ms() / 1e3)).ok());
            response.headers_mut().extend(after.map(|after: HeaderValue| (RETRY_AFTER, after)));
            response
        }
        Answer::Failed(status) => plain_response(status, "failed"),
    }
}

fn plain_response(status: StatusCode, why: &str) -> Response<Reply> {
    let mut response = Response::new(Reply::whole(Bytes::from(format!("{why}\n"))));
    *response.status_mut() = status;
    let kind: (HeaderName, HeaderValue) = (CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response.headers_mut().extend([kind]);
    response
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::daemon::config::tests::{load, SETTINGS};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    /// The option against small delays can't be had on a socket of another family, as it can't on some that were just
    /// taken. A connection that is closed over it loses the request that its client has written already.
    #[test]
    fn a_connection_that_lacks_an_option_for_speed_is_served() {
        let served = crate::exit::block_on(async {
            let text = format!(r#"{{"discovery":"127.0.0.1:2","settings":{SETTINGS}}}"#);
            let config = load(&text, "127.0.0.1:3").expect("a configuration");
            let server = Server::new(Driver::start(config, 8, None).expect("it starts"), 8, 64 << 20);
            let (mut client, taken) = tokio::net::UnixStream::pair().expect("a pair");
            client.write_all(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").await.expect("it is open");
            let taken = std::os::fd::OwnedFd::from(taken.into_std().expect("a socket"));
            let taken = TcpStream::from_std(taken.into()).expect("a stream");
            assert!(taken.set_nodelay(true).is_err(), "the option is there: the test shows nothing");
            tokio::task::spawn_local(server.connection(taken, ClientConnection::new(), Rc::default()));
            let mut answer = String::new();
            client.read_to_string(&mut answer).await.expect("an answer");
            answer
        });
        let served = served.expect("a runtime");
        assert!(served.starts_with("HTTP/1.1 503 ") && served.ends_with("not ready\n"), "{served}");
    }

    /// A client that has just connected is about to ask: an end that does not wait for it loses its request.
    #[test]
    fn an_end_waits_for_a_connection_that_is_fresh_and_not_for_one_that_is_mute() {
        let (soon, late) = (Duration::from_millis(50), Duration::from_secs(2));
        assert!(may_owe_response(Phase::Unused, soon) && !may_owe_response(Phase::Unused, late));
        assert!(
            may_owe_response(Phase::ReceivingHead, late)
                && may_owe_response(Phase::Pending, late)
                && !may_owe_response(Phase::Idle, soon)
        );
    }

    #[test]
    fn waits_have_a_number_and_a_unit() {
        assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
        assert_eq!(parse_timeout("900u"), Some(Duration::from_micros(900)));
        for text in
            ["", "m", "480", "-1m", "0m", "1e9m", "nanm", "infm", "99999999999999999999m", "4s", "é", "1é"]
        {
            assert_eq!(parse_timeout(text), None, "{text}");
        }
    }
}
