//! A server with cores, a queue, a cold start and faults, which records all that reaches it.

use crate::http::{read_message, Message};
use crate::paced_server::{Framing, ResponseScript};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::Instant;

/// How long a request of a class takes on a warm server, draw by draw.
#[derive(Clone)]
pub struct Work(Arc<dyn Fn(&str) -> Duration + Send + Sync>);

impl Work {
    /// Work that is drawn like this.
    pub fn new(draw: impl Fn(&str) -> Duration + Send + Sync + 'static) -> Self {
        Work(Arc::new(draw))
    }
}

impl std::fmt::Debug for Work {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Work")
    }
}

/// What a server can do.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Requests in work at a time.
    pub cores: usize,
    /// Requests that may wait beside those; one more is turned away unseen.
    pub queue: usize,
    /// One request's work on a warm server, give or take a half.
    pub service: Duration,
    /// How long the server is cold after its start: its work takes longer, less so from moment to moment.
    pub cold_for: Duration,
    /// The share of its speed that it starts with.
    pub cold_share: f64,
    /// Seed of the spread of its work.
    pub seed: u64,
    /// Work by class in place of `service` and its spread.
    pub work: Option<Work>,
    /// Responses that a request asks for by the number in its target's last parameter, `script`.
    pub scripts: Arc<[ResponseScript]>,
}

impl Default for Plan {
    fn default() -> Self {
        let service = Duration::from_millis(8);
        Plan {
            cores: 4,
            queue: 64,
            service,
            cold_for: Duration::ZERO,
            cold_share: 0.2,
            seed: 1,
            work: None,
            scripts: Arc::default(),
        }
    }
}

/// A request as the server saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Its `X-Request-ID`.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// How long its sender will wait (`X-Timeout`), if it says so in microseconds.
    pub timeout: Option<Duration>,
    /// When its first byte came.
    pub first_byte: Instant,
    /// When its last byte came.
    pub last_byte: Instant,
    /// It was not turned away unseen: it has run, or may have.
    pub begun: bool,
    /// The answer's status, and when its last byte had gone out.
    pub answered: Option<(u16, Instant)>,
}

/// What a server does wrong at present.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// Nothing.
    None,
    /// Runs each request, then ends its connection without a word.
    Reset,
    /// Reads and says nothing.
    Mute,
    /// Its process has gone: connections end, new ones are refused.
    Gone,
}

struct State {
    fault: watch::Sender<Fault>,
    draining: watch::Sender<bool>,
    slower: Mutex<f64>,
    /// Shared with the servers that were here before: what those are still about belongs to the record.
    seen: Arc<Mutex<Vec<Seen>>>,
    recent: Mutex<VecDeque<Instant>>,
    random: Mutex<fastrand::Rng>,
    cores: Semaphore,
    in_work: AtomicUsize,
    plan: Plan,
    started: Instant,
}

/// A running server; dropping it leaves it running until the runtime ends.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Starts one.
    pub async fn start(plan: Plan) -> Self {
        Self::start_with(plan, Arc::default()).await
    }

    /// Starts one that takes another's place, and its record of what came there.
    pub async fn start_after(plan: Plan, former: &Server) -> Self {
        Self::start_with(plan, former.state.seen.clone()).await
    }

    async fn start_with(plan: Plan, seen: Arc<Mutex<Vec<Seen>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            fault: watch::Sender::new(Fault::None),
            draining: watch::Sender::new(false),
            slower: Mutex::new(1.0),
            seen,
            recent: Mutex::default(),
            random: Mutex::new(fastrand::Rng::with_seed(plan.seed)),
            cores: Semaphore::new(plan.cores),
            in_work: AtomicUsize::new(0),
            plan,
            started: Instant::now(),
        });
        let serving = state.clone();
        tokio::spawn(async move {
            let mut fault = serving.fault.subscribe();
            for number in 0.. {
                let taken = tokio::select! {
                    taken = listener.accept() => taken,
                    _ = fault.wait_for(|f| *f == Fault::Gone) => return,
                };
                match taken {
                    Ok((stream, _)) => drop(tokio::spawn(serving.clone().connection(stream, number))),
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            }
        });
        Server { address, state }
    }

    /// From now on its work takes this many times as long.
    pub fn slow(&self, factor: f64) {
        *lock(&self.state.slower) = factor;
    }

    /// Turns new requests away from now on, and says that they were not processed; or takes them again.
    pub fn drain(&self, draining: bool) {
        self.state.draining.send_replace(draining);
    }

    /// Runs each request from now on, then ends its connection without an answer.
    pub fn reset(&self) {
        self.state.fault.send_replace(Fault::Reset);
    }

    /// Says nothing from now on, as one that is cut off.
    pub fn mute(&self) {
        self.state.fault.send_replace(Fault::Mute);
    }

    /// Serves again after a reset or a silence.
    pub fn heal(&self) {
        self.state.fault.send_replace(Fault::None);
    }

    /// Ends as a killed process does; what it has seen stays on record.
    pub fn kill(&self) {
        self.state.fault.send_replace(Fault::Gone);
    }

    /// All requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.state.seen).clone()
    }
}

/// A request that is in work or waits to be, for as long as this lives.
struct InWork<'a>(&'a AtomicUsize);

impl<'a> InWork<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        InWork(count)
    }
}

impl Drop for InWork<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl State {
    async fn connection(self: Arc<Self>, mut stream: TcpStream, number: usize) {
        let mut fault = self.fault.subscribe();
        let _ = stream.set_nodelay(true);
        loop {
            let message = tokio::select! {
                message = read_message(&mut stream, number) => message,
                _ = fault.wait_for(|f| *f == Fault::Gone) => return,
            };
            let Some(message) = message else { return };
            if matches!(message.target(), "/health" | "/status/load") {
                let report = self.report();
                let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len());
                let mute = *fault.borrow() == Fault::Mute;
                if !mute && stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let served = tokio::select! {
                served = self.serve(message, &mut stream) => served,
                _ = fault.wait_for(|f| *f == Fault::Gone) => return,
            };
            if !served {
                return;
            }
        }
    }

    /// Serves one request; false when the connection ends with it.
    async fn serve(&self, message: Message, stream: &mut TcpStream) -> bool {
        let text = |name: &str| message.header(name).unwrap_or_default().to_owned();
        let waiting = self.waiting();
        let refused = *self.draining.borrow() || waiting >= self.plan.queue;
        let place = {
            let mut seen = lock(&self.seen);
            seen.push(Seen {
                id: text("x-request-id"),
                class: text("x-priority-class"),
                key: message.header("idempotency-key").map(str::to_owned),
                timeout: message.timeout(),
                first_byte: message.first_byte,
                last_byte: message.last_byte,
                begun: !refused,
                answered: None,
            });
            seen.len() - 1
        };
        let fault = *self.fault.borrow();
        if fault == Fault::Mute {
            return true;
        }
        let script = self.script(&message).filter(|_| !refused && fault != Fault::Reset);
        if let Some(script) = script {
            return self.write_script(script, stream, place).await;
        }
        let answer = if refused {
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else {
            self.work(&text("x-priority-class")).await;
            let body = text("x-request-id");
            let report = self.report();
            format!(
                "HTTP/1.1 200 OK\r\nX-Server-Load: {report}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if fault == Fault::Reset || stream.write_all(answer.as_bytes()).await.is_err() {
            return false;
        }
        let status = if refused { 503 } else { 200 };
        lock(&self.seen)[place].answered = Some((status, Instant::now()));
        true
    }

    /// The response that a request asks for.
    fn script(&self, message: &Message) -> Option<&ResponseScript> {
        let (_, number) = message.target().rsplit_once("&script=")?;
        self.plan.scripts.get(number.parse::<usize>().ok()?)
    }

    /// Writes a response by its script; false when the connection ends with it.
    async fn write_script(&self, script: &ResponseScript, stream: &mut TcpStream, place: usize) -> bool {
        if script.write(stream).await.is_err() || !script.is_whole() {
            return false;
        }
        lock(&self.seen)[place].answered = Some((200, Instant::now()));
        script.framing != Framing::Close
    }

    /// Requests that are past a core.
    fn waiting(&self) -> usize {
        let now = Instant::now();
        let mut recent = lock(&self.recent);
        while recent.front().is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1)) {
            recent.pop_front();
        }
        self.in_work.load(Ordering::SeqCst).saturating_sub(self.plan.cores)
    }

    fn report(&self) -> String {
        let queue = self.waiting();
        format!("TEXT qps={}, queue={queue}", lock(&self.recent).len())
    }

    /// Waits for a core and uses it.
    async fn work(&self, class: &str) {
        let held = InWork::new(&self.in_work);
        let permit = self.cores.acquire().await;
        let drawn = match &self.plan.work {
            Some(Work(draw)) => draw(class),
            None => self.plan.service.mul_f64(0.5 + lock(&self.random).f64()),
        };
        let age = self.started.elapsed().as_secs_f64();
        let cold = self.plan.cold_for.as_secs_f64();
        let warmth = if age >= cold { 1.0 } else { self.plan.cold_share.max(age / cold) };
        let factor = *lock(&self.slower);
        tokio::time::sleep(drawn.mul_f64(factor / warmth)).await;
        lock(&self.recent).push_back(Instant::now());
        drop((permit, held));
    }
}
