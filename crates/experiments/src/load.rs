//! An open-loop load generator for real sockets.
//!
//! Requests are sent on a random schedule that does not depend on responses, and latencies count from the scheduled time.
//! So a stall of the server adds to the latency of every request scheduled meanwhile, which a closed-loop generator omits
//! (Tene, "coordinated omission"). No request is retried.

use bellcroft_simulation::{ClassSpec, Effect};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Instant};

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time after a request's deadline at which it is given up as lost.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(5);
/// A request that is sent later than this after its scheduled time counts as late if a connection was free.
const LATE_THRESHOLD: Duration = Duration::from_millis(5);

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Address that requests are sent to.
    pub target: SocketAddr,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the schedule.
    pub duration: Duration,
    /// Requests that are scheduled before this time are sent but not counted.
    pub warm_up: Duration,
    /// Maximum number of requests.
    pub max_requests: u64,
    /// Maximum number of connections. A request waits if none is free, and the wait is part of its latency.
    pub connections: usize,
    /// Seed of the random schedule and choice of classes.
    pub seed: u64,
    /// Value of the `X-Tenant-Id` header.
    pub tenant: String,
    /// Request classes with their shares.
    pub classes: Vec<ClassSpec>,
    /// Whether to run a closed loop instead, for comparison: each connection sends its next request after a response, and
    /// latencies count from the send.
    pub closed_loop: bool,
}

/// Results of one request class. Latencies are in microseconds.
#[derive(Debug, Clone)]
pub struct ClassResult {
    /// The class's name.
    pub name: String,
    /// Requests that were sent.
    pub sent: u64,
    /// Responses with status 200.
    pub served: u64,
    /// Responses with status 429 or 503.
    pub rejected: u64,
    /// Responses with any other status.
    pub failed: u64,
    /// Requests without a complete response.
    pub lost: u64,
    /// Requests served within the latency objective.
    pub within_objective: u64,
    /// Latencies from the scheduled time to the response's last byte, or to the time when the request was given up.
    pub latencies: Histogram<u64>,
    /// Latencies of the served requests.
    pub served_latencies: Histogram<u64>,
}

/// Results of a load.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// Results by class.
    pub classes: Vec<ClassResult>,
    /// Time until the last request finished.
    pub elapsed: Duration,
    /// Requests that were sent late although a connection was free, so that the generator itself was too slow.
    pub late: u64,
    /// Longest delay of a late request.
    pub max_lag: Duration,
}

impl LoadResult {
    /// Returns the latencies of all classes.
    pub fn latencies(&self) -> Histogram<u64> {
        let mut all = histogram();
        for class in &self.classes {
            // Cannot fail: both have the same precision and resize automatically.
            let _ = all.add(&class.latencies);
        }
        all
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|e| unreachable!("three significant digits are valid: {e:?}"))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type IdleConnections = Mutex<Vec<SendRequest<Full<Bytes>>>>;

struct Shared {
    load: Load,
    idle: IdleConnections,
    /// One permit for each connection.
    connection_permits: Semaphore,
    result: Mutex<LoadResult>,
}

/// Runs a load to its end. Calls `on_progress` each second with the numbers of requests sent and finished.
pub async fn run(load: Load, mut on_progress: impl FnMut(u64, u64)) -> LoadResult {
    let classes = load.classes.iter().map(|class| ClassResult {
        name: class.name.clone(),
        sent: 0,
        served: 0,
        rejected: 0,
        failed: 0,
        lost: 0,
        within_objective: 0,
        latencies: histogram(),
        served_latencies: histogram(),
    });
    let result =
        LoadResult { classes: classes.collect(), elapsed: Duration::ZERO, late: 0, max_lag: Duration::ZERO };
    let shared = Arc::new(Shared {
        idle: Mutex::default(),
        connection_permits: Semaphore::new(load.connections),
        result: Mutex::new(result),
        load,
    });
    let begin = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(shared.load.seed);
    let mut tasks = JoinSet::new();
    if shared.load.closed_loop {
        for number in 0..shared.load.connections {
            tasks.spawn(run_closed_connection(shared.clone(), number as u64, begin));
        }
    } else {
        let shares: f64 = shared.load.classes.iter().map(|class| class.share).sum();
        let (mut at, mut next_progress) = (0.0, begin + Duration::from_secs(1));
        for number in 0..shared.load.max_requests {
            let unit: f64 = Exp1.sample(&mut random);
            at += unit / shared.load.rate;
            if at >= shared.load.duration.as_secs_f64() {
                break;
            }
            let mut draw = random.random::<f64>() * shares;
            let class = shared.load.classes.iter().position(|class| {
                draw -= class.share;
                draw <= 0.0
            });
            let scheduled = begin + Duration::from_secs_f64(at);
            sleep_until(scheduled).await;
            let counted = at >= shared.load.warm_up.as_secs_f64();
            tasks.spawn(run_scheduled_request(
                shared.clone(),
                number,
                class.unwrap_or(0),
                scheduled,
                counted,
            ));
            while tasks.try_join_next().is_some() {}
            if Instant::now() >= next_progress {
                next_progress += Duration::from_secs(1);
                on_progress(number + 1, number + 1 - tasks.len() as u64);
            }
        }
    }
    while tasks.join_next().await.is_some() {}
    let mut result = lock(&shared.result).clone();
    result.elapsed = begin.elapsed();
    result
}

/// Sends one request of the schedule.
async fn run_scheduled_request(
    shared: Arc<Shared>,
    number: u64,
    class: usize,
    scheduled: Instant,
    counted: bool,
) {
    let free = shared.connection_permits.available_permits() > 0;
    let lag = scheduled.elapsed();
    if free && lag > LATE_THRESHOLD {
        let mut result = lock(&shared.result);
        result.late += 1;
        result.max_lag = result.max_lag.max(lag);
    }
    let Ok(permit) = shared.connection_permits.acquire().await else { return };
    let status = send_request(&shared, number, class).await;
    drop(permit);
    if counted {
        shared.record(class, status, scheduled.elapsed());
    }
}

/// Runs one connection of a closed loop.
async fn run_closed_connection(shared: Arc<Shared>, connection: u64, begin: Instant) {
    let pause = Duration::from_secs_f64(shared.load.connections as f64 / shared.load.rate);
    for round in 0..shared.load.max_requests / shared.load.connections as u64 {
        let sent = Instant::now();
        if sent.duration_since(begin) >= shared.load.duration {
            return;
        }
        let number = round * shared.load.connections as u64 + connection;
        let class = number as usize % shared.load.classes.len();
        let status = send_request(&shared, number, class).await;
        shared.record(class, status, sent.elapsed());
        sleep_until(sent + pause).await;
    }
}

impl Shared {
    fn record(&self, class: usize, status: Option<u16>, latency: Duration) {
        let mut result = lock(&self.result);
        let class_result = &mut result.classes[class];
        class_result.sent += 1;
        // Cannot fail: the histogram resizes automatically.
        let _ = class_result.latencies.record((latency.as_micros() as u64).max(1));
        match status {
            Some(200) => {
                class_result.served += 1;
                let _ = class_result.served_latencies.record((latency.as_micros() as u64).max(1));
                class_result.within_objective +=
                    u64::from(latency.as_secs_f64() <= self.load.classes[class].aim);
            }
            Some(429 | 503) => class_result.rejected += 1,
            Some(_) => class_result.failed += 1,
            None => class_result.lost += 1,
        }
    }
}

/// Sends a request over an idle or a new connection. Returns the response's status if the response was complete.
async fn send_request(shared: &Shared, number: u64, class: usize) -> Option<u16> {
    let spec = &shared.load.classes[class];
    let deadline = Duration::from_secs_f64(spec.deadline);
    let exchange = async {
        let idle = lock(&shared.idle).pop().filter(SendRequest::is_ready);
        let mut sender = match idle {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(shared.load.target).await.ok()?;
                stream.set_nodelay(true).ok()?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
                // Errors of the connection are returned by the sender.
                tokio::spawn(async move { drop(connection.await) });
                sender
            }
        };
        let id = format!("experiments-{:x}-{number}", shared.load.seed);
        let mut request = Request::builder()
            .uri(format!("/{}?key={id}", spec.name))
            .header("host", shared.load.target.to_string())
            .header("x-request-id", &id)
            .header("x-priority-class", &spec.name)
            .header("x-tenant-id", &shared.load.tenant)
            .header("x-timeout", format!("{}m", deadline.as_millis().max(1)));
        if spec.effect != Effect::Idempotent {
            request = request.method(Method::POST).header("idempotency-key", &id);
        }
        let response = sender.send_request(request.body(Full::default()).ok()?).await.ok()?;
        let status = response.status().as_u16();
        Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.ok()?;
        if sender.ready().await.is_ok() {
            lock(&shared.idle).push(sender);
        }
        Some(status)
    };
    timeout(deadline + RESPONSE_GRACE_PERIOD, exchange).await.ok().flatten()
}
