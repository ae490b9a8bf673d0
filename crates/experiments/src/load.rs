//! An open-loop load generator for real sockets.
//!
//! Requests leave on a schedule that is drawn before the first of them, whatever the answers do, and their times count
//! from the scheduled instant: a server that stalls is charged for everyone who would have come meanwhile, which a closed
//! loop spares it (Tene, "coordinated omission"). Nothing is sent twice.

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

/// The longest answer that is read.
const BODY_MOST: usize = 1 << 20;
/// Past its deadline a request is waited for this much longer before it is called unanswered.
const PATIENCE: Duration = Duration::from_secs(5);
/// A request that leaves later than this after its instant, although a connection was free, is the generator's own fault.
const LATE: Duration = Duration::from_millis(5);

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Load {
    /// Where.
    pub target: SocketAddr,
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub lasts: Duration,
    /// Requests that are scheduled before this are sent and not counted.
    pub warm_up: Duration,
    /// Requests at most.
    pub most: u64,
    /// Connections at most; a request that finds none free waits, and its wait counts.
    pub connections: usize,
    /// Seed of the schedule and of the classes.
    pub seed: u64,
    /// `X-Tenant-Id`.
    pub tenant: String,
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// Each connection asks again once it has its answer, and times count from there: for comparison only.
    pub closed: bool,
}

/// A class's answers. Times are microseconds.
#[derive(Debug, Clone)]
pub struct ClassLoad {
    /// Its name.
    pub name: String,
    /// Requests.
    pub sent: u64,
    /// Answered 200.
    pub served: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// No whole answer.
    pub lost: u64,
    /// Served within the wanted time.
    pub in_wanted: u64,
    /// From the scheduled instant to the answer's last byte, or to the end of waiting.
    pub times: Histogram<u64>,
    /// The same of those served.
    pub served_times: Histogram<u64>,
}

/// What came of a load.
#[derive(Debug, Clone)]
pub struct Loaded {
    /// By class.
    pub classes: Vec<ClassLoad>,
    /// How long it took.
    pub took: Duration,
    /// Requests that the generator itself sent late, although a connection was free.
    pub late: u64,
    /// The latest of them.
    pub latest: Duration,
}

impl Loaded {
    /// All classes' times.
    pub fn times(&self) -> Histogram<u64> {
        let mut all = histogram();
        for class in &self.classes {
            // Both have the same digits and grow as they need to.
            let _ = all.add(&class.times);
        }
        all
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|e| unreachable!("three digits are within the bounds: {e:?}"))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Idle = Mutex<Vec<SendRequest<Full<Bytes>>>>;

struct Shared {
    load: Load,
    idle: Idle,
    places: Semaphore,
    result: Mutex<Loaded>,
}

/// Runs a load to its end. `told` hears each second how many were sent and answered.
pub async fn run(load: Load, mut told: impl FnMut(u64, u64)) -> Loaded {
    let classes = load.classes.iter().map(|class| ClassLoad {
        name: class.name.clone(),
        sent: 0,
        served: 0,
        refused: 0,
        failed: 0,
        lost: 0,
        in_wanted: 0,
        times: histogram(),
        served_times: histogram(),
    });
    let result = Loaded { classes: classes.collect(), took: Duration::ZERO, late: 0, latest: Duration::ZERO };
    let shared = Arc::new(Shared {
        idle: Mutex::default(),
        places: Semaphore::new(load.connections),
        result: Mutex::new(result),
        load,
    });
    let begin = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(shared.load.seed);
    let mut tasks = JoinSet::new();
    if shared.load.closed {
        for number in 0..shared.load.connections {
            tasks.spawn(closed(shared.clone(), number as u64, begin));
        }
    } else {
        let shares: f64 = shared.load.classes.iter().map(|class| class.share).sum();
        let (mut at, mut next_told) = (0.0, begin + Duration::from_secs(1));
        for number in 0..shared.load.most {
            let unit: f64 = Exp1.sample(&mut random);
            at += unit / shared.load.rate;
            if at >= shared.load.lasts.as_secs_f64() {
                break;
            }
            let mut draw = random.random::<f64>() * shares;
            let class = shared.load.classes.iter().position(|class| {
                draw -= class.share;
                draw <= 0.0
            });
            let scheduled = begin + Duration::from_secs_f64(at);
            sleep_until(scheduled).await;
            let counts = at >= shared.load.warm_up.as_secs_f64();
            tasks.spawn(one(shared.clone(), number, class.unwrap_or(0), scheduled, counts));
            while tasks.try_join_next().is_some() {}
            if Instant::now() >= next_told {
                next_told += Duration::from_secs(1);
                told(number + 1, number + 1 - tasks.len() as u64);
            }
        }
    }
    while tasks.join_next().await.is_some() {}
    let mut result = lock(&shared.result).clone();
    result.took = begin.elapsed();
    result
}

/// One request of the schedule.
async fn one(shared: Arc<Shared>, number: u64, class: usize, scheduled: Instant, counts: bool) {
    let free = shared.places.available_permits() > 0;
    let lag = scheduled.elapsed();
    if free && lag > LATE {
        let mut result = lock(&shared.result);
        result.late += 1;
        result.latest = result.latest.max(lag);
    }
    let Ok(place) = shared.places.acquire().await else { return };
    let status = ask(&shared, number, class).await;
    drop(place);
    if counts {
        shared.count(class, status, scheduled.elapsed());
    }
}

/// One connection of a closed loop.
async fn closed(shared: Arc<Shared>, connection: u64, begin: Instant) {
    let pause = Duration::from_secs_f64(shared.load.connections as f64 / shared.load.rate);
    for round in 0..shared.load.most / shared.load.connections as u64 {
        let sent = Instant::now();
        if sent.duration_since(begin) >= shared.load.lasts {
            return;
        }
        let number = round * shared.load.connections as u64 + connection;
        let class = number as usize % shared.load.classes.len();
        let status = ask(&shared, number, class).await;
        shared.count(class, status, sent.elapsed());
        sleep_until(sent + pause).await;
    }
}

impl Shared {
    fn count(&self, class: usize, status: Option<u16>, took: Duration) {
        let mut result = lock(&self.result);
        let own = &mut result.classes[class];
        own.sent += 1;
        // It grows with what it is given.
        let _ = own.times.record((took.as_micros() as u64).max(1));
        match status {
            Some(200) => {
                own.served += 1;
                let _ = own.served_times.record((took.as_micros() as u64).max(1));
                own.in_wanted += u64::from(took.as_secs_f64() <= self.load.classes[class].aim);
            }
            Some(429 | 503) => own.refused += 1,
            Some(_) => own.failed += 1,
            None => own.lost += 1,
        }
    }
}

/// Sends a request over a kept or a new connection; its answer's status, if there was a whole one.
async fn ask(shared: &Shared, number: u64, class: usize) -> Option<u16> {
    let spec = &shared.load.classes[class];
    let wait = Duration::from_secs_f64(spec.deadline);
    let exchange = async {
        let kept = lock(&shared.idle).pop().filter(SendRequest::is_ready);
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(shared.load.target).await.ok()?;
                stream.set_nodelay(true).ok()?;
                let (sender, driven) = handshake(TokioIo::new(stream)).await.ok()?;
                // Its end shows at the sender.
                tokio::spawn(async move { drop(driven.await) });
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
            .header("x-timeout", format!("{}m", wait.as_millis().max(1)));
        if spec.effect != Effect::Idempotent {
            request = request.method(Method::POST).header("idempotency-key", &id);
        }
        let response = sender.send_request(request.body(Full::default()).ok()?).await.ok()?;
        let status = response.status().as_u16();
        Limited::new(response.into_body(), BODY_MOST).collect().await.ok()?;
        if sender.ready().await.is_ok() {
            lock(&shared.idle).push(sender);
        }
        Some(status)
    };
    timeout(wait + PATIENCE, exchange).await.ok().flatten()
}
