//! The clients of a soak: those that keep a connection, write slowly, rest before they ask, leave, or have little time.

use super::slot::{Gate, Slot};
use super::SoakPlan;
use crate::http::read_message;
use crate::request_forms::{unsound_forms, Effect, Template};
use crate::traffic::CLASSES;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at, Instant};

/// Mean pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(120);
/// The same while the client's process ends.
const ENDING_PAUSE: Duration = Duration::from_millis(20);
/// The longest rest of a connection before its request.
const MAX_REST: Duration = Duration::from_secs(2);
/// Past its time a request is waited for this long; later it has no answer.
const ANSWER_SLACK: Duration = Duration::from_secs(5);
/// A request that crosses the end of its connection is sent to a process that has not read it. One that was out for longer
/// when the connection ended had been read.
const CROSSING: Duration = Duration::from_millis(100);
/// A client that stops within a request and stays is owed an error or a close within this.
const STALLED_TIMEOUT: Duration = Duration::from_secs(3);

/// What a client does with its next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Sends it at once, over the connection that it has kept.
    KeepAlive,
    /// Sends it in pieces, over a new connection.
    SlowWriter,
    /// Connects, and sends it later.
    Resting,
    /// Sends it and closes before there is an answer.
    Leaving,
    /// Sends half of it and stays.
    Stalled,
    /// Has next to no time for it.
    ShortDeadline,
    /// Sends one that is not sound.
    Unsound,
    /// Sends it, closes before there is an answer, and sends it again under its id.
    Returning,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFate {
    /// Answered with 200 and its own id.
    Served,
    /// Answered with 429 or 503.
    Refused,
    /// Another answer.
    Failed,
    /// Its connection ended and it had no answer.
    Lost,
    /// No answer came.
    Unanswered,
    /// It crossed the end of its connection and went out once more, under an id of its own.
    Crossed,
    /// Its connection was refused while the process had to accept it.
    NotAccepted,
    /// Its client left.
    Left,
    /// It was never complete, and its connection was answered or closed in time.
    NeverComplete,
    /// It was never complete, and its connection was left open for too long.
    StalledTooLong,
    /// It was not sound, and got an error or a close.
    Rejected,
    /// It was not sound, and was answered as served.
    UnsoundServed,
}

impl SoakFate {
    /// Its name in the report.
    pub fn name(self) -> &'static str {
        match self {
            SoakFate::Served => "served",
            SoakFate::Refused => "refused",
            SoakFate::Failed => "failed",
            SoakFate::Lost => "lost",
            SoakFate::Unanswered => "unanswered",
            SoakFate::Crossed => "crossed",
            SoakFate::NotAccepted => "not accepted",
            SoakFate::Left => "left",
            SoakFate::NeverComplete => "never complete",
            SoakFate::StalledTooLong => "stalled too long",
            SoakFate::Rejected => "rejected",
            SoakFate::UnsoundServed => "unsound and served",
        }
    }
}

/// A request and its end, as its client knows them.
#[derive(Debug, Clone)]
pub struct SoakRecord {
    /// The slot of the process.
    pub slot: usize,
    /// Its `X-Request-ID`.
    pub id: String,
    /// The client's address.
    pub client: Option<SocketAddr>,
    /// Its place in [`CLASSES`].
    pub class: usize,
    /// What its client did.
    pub behavior: Behavior,
    /// When its client took a connection for it.
    pub began: Instant,
    /// When its last byte was written, or the last that was.
    pub sent: Instant,
    /// When its last byte was written once more under the same id, if the record is that of the first time.
    pub sent_again: Option<Instant>,
    /// How long its client waits.
    pub wait: Duration,
    /// When it ended.
    pub ended: Instant,
    /// What became of it.
    pub fate: SoakFate,
    /// The status of its answer; 0 for none.
    pub status: u16,
}

/// All clients of a soak.
pub struct Clients {
    records: Arc<Mutex<Vec<SoakRecord>>>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts them.
pub fn start(plan: &SoakPlan, slots: &[Arc<Slot>]) -> Clients {
    let records = Arc::<Mutex<Vec<SoakRecord>>>::default();
    let stop = watch::Sender::new(false);
    let mut tasks = Vec::new();
    for slot in slots {
        for number in 0..plan.clients {
            let place = (slot.number * plan.clients + number) as u64;
            let client = Client {
                plan: *plan,
                slot: slot.clone(),
                name: format!("c{place}"),
                random: fastrand::Rng::with_seed(plan.seed.wrapping_mul(1 << 20).wrapping_add(place)),
                kept: None,
                number: 0,
            };
            tasks.push(tokio::spawn(client.run(records.clone(), stop.subscribe())));
        }
    }
    Clients { records, stop, tasks }
}

impl Clients {
    /// Sends nothing new, waits for what is out, and gives all records.
    pub async fn finish(self) -> Vec<SoakRecord> {
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.expect("a client does not fail");
        }
        std::mem::take(&mut *self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

struct Client {
    plan: SoakPlan,
    slot: Arc<Slot>,
    name: String,
    random: fastrand::Rng,
    kept: Option<TcpStream>,
    number: usize,
}

/// Why there is no connection.
enum NoConnection {
    /// No process has to accept one.
    NoProcess,
    /// The process refused it.
    Refused,
}

/// A request as its bytes.
struct Outgoing {
    id: String,
    class: usize,
    wait: Duration,
    bytes: Vec<u8>,
}

impl Client {
    async fn run(mut self, records: Arc<Mutex<Vec<SoakRecord>>>, mut stop: watch::Receiver<bool>) {
        let mut gate = self.slot.gate.subscribe();
        loop {
            let killed_at = gate.borrow_and_update().killed_at();
            let pause = match killed_at {
                Some(_) => ENDING_PAUSE,
                None => PAUSE.mul_f64(2.0 * self.random.f64()),
            };
            // A process that is told to end gets the next request of each client at once.
            tokio::select! {
                () = sleep(pause) => {}
                _ = gate.changed(), if killed_at.is_none() => {}
                _ = stop.wait_for(|on| *on) => return,
            }
            let ended = self.next_requests().await;
            records.lock().unwrap_or_else(PoisonError::into_inner).extend(ended);
        }
    }

    /// One request, and the one that follows it if it crossed the end of its connection.
    async fn next_requests(&mut self) -> Vec<SoakRecord> {
        let behavior = match self.random.u32(..22) {
            0..10 => Behavior::KeepAlive,
            10..12 => Behavior::SlowWriter,
            12..15 => Behavior::Resting,
            15..17 => Behavior::Leaving,
            17 => Behavior::Stalled,
            20 => Behavior::Unsound,
            21 => Behavior::Returning,
            _ => Behavior::ShortDeadline,
        };
        let first = self.request(behavior).await;
        let mut records: Vec<SoakRecord> = first.into_iter().collect();
        if records.last().is_some_and(|record| record.fate == SoakFate::Crossed) {
            records.extend(self.request(Behavior::KeepAlive).await);
        }
        records
    }

    fn outgoing(&mut self, behavior: Behavior) -> Outgoing {
        self.number += 1;
        let id = format!("{}-{}", self.name, self.number);
        let draw = self.random.f64();
        let mut sum = 0.0;
        let class = CLASSES.iter().position(|class| {
            sum += class.share;
            draw < sum
        });
        let class = class.unwrap_or(0);
        let wait = match behavior {
            Behavior::ShortDeadline => Duration::from_millis(self.random.u64(1..=20)),
            _ => self.plan.deadline(&CLASSES[class]),
        };
        let (method, own, body) = match CLASSES[class].effect {
            "idempotent" => ("GET", String::new(), ""),
            _ => ("POST", format!("Idempotency-Key: k{id}\r\nContent-Length: 4\r\n"), "body"),
        };
        let name = CLASSES[class].name;
        let text = format!(
            "{method} /{name}?key={id} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {name}\r\nX-Tenant-Id: acme\r\nX-Timeout: {}m\r\n{own}\r\n{body}",
            wait.as_millis()
        );
        let bytes = match behavior {
            Behavior::Unsound => self.unsound_bytes(class, &id),
            _ => text.into_bytes(),
        };
        Outgoing { id, class, wait, bytes }
    }

    /// A request in an unsound form of the table.
    fn unsound_bytes(&mut self, class: usize, id: &str) -> Vec<u8> {
        let effect = match CLASSES[class].effect {
            "idempotent" => Effect::Safe,
            _ => Effect::Keyed,
        };
        let mut forms = unsound_forms(&Template { effect, class: CLASSES[class].name, id, body_len: 4 });
        // A read that the kernel cuts short does not show what is behind the request.
        forms.retain(|form| !(self.plan.failing_calls && form.in_one_write));
        forms.swap_remove(self.random.usize(..forms.len())).bytes
    }

    /// A connection, and whether it was kept.
    async fn connection(&mut self, behavior: Behavior) -> Result<(TcpStream, bool), NoConnection> {
        let kept = self.kept.take().filter(|_| {
            matches!(behavior, Behavior::KeepAlive | Behavior::Leaving | Behavior::ShortDeadline)
        });
        if let Some(kept) = kept {
            return Ok((kept, true));
        }
        if !self.gate_is_open() {
            return Err(NoConnection::NoProcess);
        }
        match TcpStream::connect(self.slot.address).await {
            Ok(stream) => {
                stream.set_nodelay(true).map_err(|_| NoConnection::NoProcess)?;
                Ok((stream, false))
            }
            // Its time may have passed meanwhile.
            Err(error) if error.kind() == ErrorKind::ConnectionRefused && self.gate_is_open() => {
                Err(NoConnection::Refused)
            }
            Err(_) => Err(NoConnection::NoProcess),
        }
    }

    fn gate_is_open(&self) -> bool {
        let gate: Gate = *self.slot.gate.borrow();
        gate.is_open()
    }

    async fn request(&mut self, behavior: Behavior) -> Option<SoakRecord> {
        let began = Instant::now();
        let (mut stream, mut reused) = match self.connection(behavior).await {
            Ok(connection) => connection,
            Err(NoConnection::NoProcess) => return None,
            Err(NoConnection::Refused) => return Some(self.not_accepted(behavior, began)),
        };
        if behavior == Behavior::Resting {
            // On the connections of a process that ends, up to its last moment.
            let longest = self.slot.gate.borrow().killed_at().map_or(MAX_REST, |at| at - Instant::now());
            sleep(longest.mul_f64(self.random.f64())).await;
            reused = true;
        }
        let request = self.outgoing(behavior);
        let client = stream.local_addr().ok();
        let written = self.write(&mut stream, &request, behavior).await;
        let bytes = request.bytes.clone();
        let mut record = self.record(request, behavior, began, client);
        if !written {
            // It was never complete.
            record.fate = if reused { SoakFate::Crossed } else { SoakFate::NeverComplete };
            return Some(record);
        }
        match behavior {
            Behavior::Leaving => {
                sleep(Duration::from_millis(self.random.u64(..200))).await;
                if self.random.bool() {
                    let _ = stream.set_zero_linger();
                }
                drop(stream);
                record.fate = SoakFate::Left;
                record.ended = Instant::now();
            }
            Behavior::Stalled => {
                let ended = timeout_at(record.sent + STALLED_TIMEOUT, read_message(&mut stream, 0)).await;
                record.fate = if ended.is_ok() { SoakFate::NeverComplete } else { SoakFate::StalledTooLong };
                record.ended = Instant::now();
            }
            Behavior::Returning => {
                sleep(Duration::from_millis(self.random.u64(..200))).await;
                drop(stream);
                record.fate = SoakFate::Left;
                record.ended = Instant::now();
                sleep(Duration::from_millis(self.random.u64(..300))).await;
                record = self.send_again(record, &bytes).await;
            }
            _ => self.read(&mut record, stream, reused).await,
        }
        Some(record)
    }

    /// Sends a request again that its client has left; the record stays as it is if no connection takes it.
    async fn send_again(&mut self, left: SoakRecord, bytes: &[u8]) -> SoakRecord {
        self.kept = None;
        let Ok((mut stream, _)) = self.connection(Behavior::KeepAlive).await else { return left };
        if stream.write_all(bytes).await.is_err() {
            return left;
        }
        let client = stream.local_addr().ok();
        let mut record = SoakRecord { client, sent: Instant::now(), ..left.clone() };
        self.read(&mut record, stream, false).await;
        // Its log lines do not tell which of the two was read.
        if record.fate == SoakFate::Lost {
            SoakRecord { sent_again: Some(record.sent), ..left }
        } else {
            record
        }
    }

    fn not_accepted(&mut self, behavior: Behavior, began: Instant) -> SoakRecord {
        let request = self.outgoing(behavior);
        SoakRecord { fate: SoakFate::NotAccepted, ..self.record(request, behavior, began, None) }
    }

    /// The record of a request that has been sent just now and has no answer yet.
    fn record(
        &self,
        request: Outgoing,
        behavior: Behavior,
        began: Instant,
        client: Option<SocketAddr>,
    ) -> SoakRecord {
        let now = Instant::now();
        SoakRecord {
            slot: self.slot.number,
            id: request.id,
            client,
            class: request.class,
            behavior,
            began,
            sent: now,
            sent_again: None,
            wait: request.wait,
            ended: now,
            fate: SoakFate::Lost,
            status: 0,
        }
    }

    /// Writes a request; false if its connection ended before it was complete.
    async fn write(&mut self, stream: &mut TcpStream, request: &Outgoing, behavior: Behavior) -> bool {
        let bytes = request.bytes.as_slice();
        match behavior {
            Behavior::SlowWriter => {
                let pieces = self.random.usize(2..6);
                let pause = Duration::from_millis(self.random.u64(..1_500)) / pieces as u32;
                for (number, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
                    if number > 0 {
                        sleep(pause).await;
                    }
                    if stream.write_all(piece).await.is_err() {
                        return false;
                    }
                }
                true
            }
            Behavior::Stalled => {
                let some = self.random.usize(1..bytes.len());
                stream.write_all(&bytes[..some]).await.is_ok()
            }
            _ => stream.write_all(bytes).await.is_ok(),
        }
    }

    async fn read(&mut self, record: &mut SoakRecord, mut stream: TcpStream, reused: bool) {
        let until = record.sent + record.wait + ANSWER_SLACK;
        let answer = timeout_at(until, read_message(&mut stream, 0)).await;
        record.ended = Instant::now();
        record.fate = match answer {
            Ok(Some(answer)) if record.behavior == Behavior::Unsound && answer.status() == 200 => {
                SoakFate::UnsoundServed
            }
            Ok(_) if record.behavior == Behavior::Unsound => SoakFate::Rejected,
            Err(_) => SoakFate::Unanswered,
            Ok(None) if reused && record.ended - record.sent < CROSSING => SoakFate::Crossed,
            Ok(None) => SoakFate::Lost,
            Ok(Some(answer)) => {
                record.status = answer.status();
                if !answer.last() {
                    self.kept = Some(stream);
                }
                match answer.status() {
                    200 if answer.body == record.id.as_bytes() => SoakFate::Served,
                    429 | 503 => SoakFate::Refused,
                    _ => SoakFate::Failed,
                }
            }
        };
    }
}
