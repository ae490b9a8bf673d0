//! Clients that send the three classes at a steady rate and record what became of each request.

use crate::http::{read_message, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// A class of requests as the clients know it.
#[derive(Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What a repeat does, in the words of the settings.
    pub effect: &'static str,
    /// Which servers drop repeats of it.
    pub group: &'static str,
    /// The wanted time.
    pub aim: Duration,
    /// How long a client waits.
    pub deadline: Duration,
    /// For how long servers drop repeats.
    pub window: Duration,
    /// Its share of the traffic.
    pub share: f64,
}

/// The three classes of the booking service.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "read-schedule",
        effect: "idempotent",
        group: "all",
        aim: Duration::from_millis(250),
        deadline: Duration::from_millis(1500),
        window: Duration::ZERO,
        share: 0.7,
    },
    Class {
        name: "log-session",
        effect: "deduplicated",
        group: "all",
        aim: Duration::from_millis(400),
        deadline: Duration::from_millis(2500),
        window: Duration::from_millis(7500),
        share: 0.2,
    },
    Class {
        name: "assign-session",
        effect: "deduplicated",
        group: "zone",
        aim: Duration::from_millis(400),
        deadline: Duration::from_millis(2500),
        window: Duration::from_millis(1000),
        share: 0.1,
    },
];

/// Past its deadline a request is waited for this much longer before its client calls it unanswered.
const PATIENCE: Duration = Duration::from_secs(10);

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// 200.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// Its connection ended and it had no answer, on a fresh connection too.
    Lost,
    /// No answer came, long after its deadline.
    Unanswered,
    /// The agent's address took no connection.
    NoConnection,
}

/// A request and its one outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// Which of the load's addresses it went to.
    pub instance: usize,
    /// Its `X-Request-ID`.
    pub id: String,
    /// Its place in [`CLASSES`].
    pub class: usize,
    /// When its client sent it.
    pub sent: Instant,
    /// The time to its outcome.
    pub took: Duration,
    /// What became of it.
    pub fate: Fate,
    /// Its status, if it had an answer.
    pub status: u16,
    /// It crossed the closing of an idle connection and went out once more on a new one.
    pub crossed: bool,
}

impl Fate {
    /// The client had an answer, whatever it said.
    pub fn is_answer(self) -> bool {
        matches!(self, Fate::Served | Fate::Refused | Fate::Failed)
    }
}

impl Record {
    /// It was served within its class's wanted time.
    pub fn in_wanted_time(&self) -> bool {
        self.fate == Fate::Served && self.took <= CLASSES[self.class].aim
    }

    /// Its answer came after the deadline, or never.
    pub fn late(&self) -> bool {
        self.took > CLASSES[self.class].deadline
    }
}

/// A steady load.
#[derive(Debug, Clone)]
pub struct Load {
    /// The agents; each has clients of its own.
    pub agents: Vec<SocketAddr>,
    /// Connections that clients hold to each agent.
    pub clients: usize,
    /// Requests a second to each agent.
    pub rate: f64,
    /// Seed for classes and times.
    pub seed: u64,
    /// Bound on requests of one client, so that no mistake runs on for ever.
    pub most: usize,
}

/// A load that is running.
pub struct Traffic {
    records: Arc<Mutex<Vec<Record>>>,
    stop: watch::Sender<bool>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts the load's clients.
    pub fn start(load: &Load) -> Self {
        // Ids are new with every request, also of another load in the same process.
        static LOADS: AtomicU64 = AtomicU64::new(0);
        let run = LOADS.fetch_add(1, Ordering::SeqCst);
        let records = Arc::<Mutex<Vec<Record>>>::default();
        let stop = watch::Sender::new(false);
        let pause = Duration::from_secs_f64(load.clients as f64 / load.rate);
        let mut clients = Vec::new();
        for (instance, address) in load.agents.iter().copied().enumerate() {
            for number in 0..load.clients {
                let place = (instance * load.clients + number) as u64;
                let user = User {
                    instance,
                    address,
                    name: format!("r{run}-{place}"),
                    kept: None,
                    random: fastrand::Rng::with_seed(load.seed.wrapping_mul(1 << 20).wrapping_add(place)),
                };
                let begin = pause.mul_f64(place as f64 / (load.agents.len() * load.clients) as f64);
                let (records, stop, most) = (records.clone(), stop.subscribe(), load.most);
                clients.push(tokio::spawn(user.run(begin, pause, most, records, stop)));
            }
        }
        Traffic { records, stop, clients }
    }

    /// All outcomes so far.
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How many outcomes there are so far.
    pub fn count(&self) -> usize {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Waits until each agent has given this many more outcomes.
    pub async fn more(&self, each: usize, agents: usize) {
        let tally = |records: &[Record]| {
            let mut counts = vec![0_usize; agents];
            for record in records {
                counts[record.instance] += 1;
            }
            counts
        };
        let before = tally(&self.records());
        crate::soon("more traffic at each agent", async {
            loop {
                let now = tally(&self.records());
                if now.iter().zip(&before).all(|(now, before)| *now >= before + each) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
    }

    /// Sends nothing new, waits for the outcomes that are owed, and gives all of them.
    pub async fn finish(self) -> Vec<Record> {
        self.stop.send_replace(true);
        for client in self.clients {
            client.await.expect("a client never fails by itself");
        }
        std::mem::take(&mut *self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The share of requests that were served within their wanted time; none of none.
pub fn wanted_share(records: &[&Record]) -> Option<f64> {
    let good = records.iter().filter(|r| r.in_wanted_time()).count();
    (!records.is_empty()).then(|| good as f64 / records.len() as f64)
}

/// The time that 99 of 100 requests had their outcome within; none of none.
pub fn p99(records: &[&Record]) -> Option<Duration> {
    let mut times: Vec<Duration> = records.iter().map(|r| r.took).collect();
    times.sort();
    times.get((times.len() * 99 / 100).min(times.len().saturating_sub(1))).copied()
}

/// Counts fates.
pub fn fates(records: &[Record]) -> BTreeMap<Fate, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(record.fate).or_insert(0) += 1;
    }
    counts
}

struct User {
    instance: usize,
    address: SocketAddr,
    name: String,
    kept: Option<TcpStream>,
    random: fastrand::Rng,
}

impl User {
    async fn run(
        mut self,
        begin: Duration,
        pause: Duration,
        most: usize,
        records: Arc<Mutex<Vec<Record>>>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut next = Instant::now() + begin;
        for number in 0..most {
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                _ = stop.wait_for(|on| *on) => return,
            }
            let record = self.ask(number).await;
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
            next = (next + pause.mul_f64(0.5 + self.random.f64())).max(Instant::now());
        }
    }

    async fn ask(&mut self, number: usize) -> Record {
        let draw = self.random.f64();
        let class = if draw < CLASSES[0].share {
            0
        } else if draw < CLASSES[0].share + CLASSES[1].share {
            1
        } else {
            2
        };
        let id = format!("{}-{number}", self.name);
        let (name, wait) = (CLASSES[class].name, CLASSES[class].deadline.as_millis());
        let (method, own) = match CLASSES[class].effect {
            "idempotent" => ("GET", String::new()),
            _ => ("POST", format!("Idempotency-Key: k{id}\r\nContent-Length: 4\r\n")),
        };
        let body = if method == "POST" { "body" } else { "" };
        let text = format!(
            "{method} /{name}?key={id} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {name}\r\nX-Tenant-Id: acme\r\nX-Timeout: {wait}m\r\n{own}\r\n{body}"
        );
        let sent = Instant::now();
        let crossing = self.kept.is_some();
        let exchange = async {
            match self.exchange(&text).await {
                Ok(answer) => Ok((answer, false)),
                // What is sent into the closing of an idle connection goes out once more on a new one.
                Err(Fate::Lost) if crossing => self.exchange(&text).await.map(|answer| (answer, true)),
                Err(fate) => Err(fate),
            }
        };
        let ended = tokio::time::timeout(CLASSES[class].deadline + PATIENCE, exchange).await;
        let (fate, status, crossed) = match ended {
            Ok(Ok((answer, crossed))) => {
                let fate = match answer.status() {
                    200 if answer.body == id.as_bytes() => Fate::Served,
                    429 | 503 => Fate::Refused,
                    _ => Fate::Failed,
                };
                (fate, answer.status(), crossed)
            }
            Ok(Err(fate)) => (fate, 0, crossing),
            Err(_) => (Fate::Unanswered, 0, false),
        };
        Record { instance: self.instance, id, class, sent, took: sent.elapsed(), fate, status, crossed }
    }

    async fn exchange(&mut self, text: &str) -> Result<Message, Fate> {
        let mut stream = match self.kept.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(self.address).await.map_err(|_| Fate::NoConnection)?;
                stream.set_nodelay(true).map_err(|_| Fate::NoConnection)?;
                stream
            }
        };
        stream.write_all(text.as_bytes()).await.map_err(|_| Fate::Lost)?;
        let answer = read_message(&mut stream, 0).await.ok_or(Fate::Lost)?;
        if !answer.last() {
            self.kept = Some(stream);
        }
        Ok(answer)
    }
}
