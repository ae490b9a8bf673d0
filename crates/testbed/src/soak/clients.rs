//! The clients of a soak: those that keep a connection, write slowly, rest before they ask, leave, have little time, ask for a long
//! response, or send what begins no request behind a request.

use super::oracle::{MAX_STALL, SLACK};
use super::records::{Behavior, SoakFate, SoakRecord, UNSOUND_BEHIND};
use super::responses::{delayed_response, read_long_response, SoakResponse, LONG_RESPONSES};
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
pub(super) const ANSWER_SLACK: Duration = Duration::from_secs(5);
/// A request that crosses the end of its connection is sent to a process that has not read it. One that was out for longer
/// when the connection ended had been read.
const CROSSING: Duration = Duration::from_millis(100);
/// A client that stops within a request and stays is owed an error or a close within this.
const STALLED_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest pause between a request and the bytes behind it.
const MAX_PAUSE_BEHIND: Duration = Duration::from_millis(20);
/// Bytes that begin no request.
const NO_REQUESTS: [&[u8]; 4] = [b"\0\0\0\0", b"5\r\nhello\r\n0\r\n\r\n", b"{\"a\": 1}", b"\x16\x03\x01\x02"];

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
    /// The long response that it asks for.
    response: Option<&'static SoakResponse>,
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
        let behavior = match self.random.u32(..25) {
            0..10 => Behavior::KeepAlive,
            10..12 => Behavior::SlowWriter,
            12..15 => Behavior::Resting,
            15..17 => Behavior::Leaving,
            17 => Behavior::Stalled,
            20 => Behavior::Unsound,
            21 => Behavior::Returning,
            22 => Behavior::BytesBehind,
            23..25 => Behavior::LongResponse,
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
        let (response, script) = match behavior {
            Behavior::LongResponse => self.long_response(),
            Behavior::BytesBehind if self.random.bool() => (None, script_parameter(delayed_response())),
            _ => (None, String::new()),
        };
        let text = format!(
            "{method} /{name}?key={id}{script} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {name}\r\nX-Tenant-Id: acme\r\nX-Timeout: {}m\r\n{own}\r\n{body}",
            wait.as_millis()
        );
        let bytes = match behavior {
            // A read that the kernel cuts short does not show what is behind the request.
            Behavior::Unsound if !self.plan.failing_calls && self.random.bool() => {
                let behind = self.unsound_bytes(class, &unsound_id_behind(&id));
                [text.into_bytes(), behind].concat()
            }
            Behavior::Unsound => self.unsound_bytes(class, &id),
            _ => text.into_bytes(),
        };
        Outgoing { id, class, wait, bytes, response }
    }

    /// A long response, and the parameter that asks for it.
    fn long_response(&mut self) -> (Option<&'static SoakResponse>, String) {
        let number = self.random.usize(..LONG_RESPONSES.len());
        (LONG_RESPONSES.get(number), script_parameter(number))
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
            matches!(
                behavior,
                Behavior::KeepAlive | Behavior::Leaving | Behavior::ShortDeadline | Behavior::BytesBehind
            )
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
        let (bytes, response) = (request.bytes.clone(), request.response);
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
            Behavior::BytesBehind => self.write_behind(&mut record, stream, reused).await,
            _ => match response {
                Some(response) => read_long_response(&mut record, &mut stream, response).await,
                None => self.read(&mut record, stream, reused).await,
            },
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
            unsound_since: None,
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

    /// Writes behind a request what is not sound there, and reads what becomes of it.
    async fn write_behind(&mut self, record: &mut SoakRecord, mut stream: TcpStream, reused: bool) {
        sleep(MAX_PAUSE_BEHIND.mul_f64(self.random.f64())).await;
        let bytes = match self.random.bool() {
            true => NO_REQUESTS[self.random.usize(..NO_REQUESTS.len())].to_vec(),
            false => self.unsound_bytes(record.class, &unsound_id_behind(&record.id)),
        };
        record.unsound_since = Some(Instant::now());
        // A connection that has ended meanwhile may still have an answer.
        let _ = stream.write_all(&bytes).await;
        self.read(record, stream, reused).await;
        self.kept = None;
        let judged_by = record.unsound_since.unwrap_or(record.sent) + MAX_STALL + SLACK;
        record.fate = match (record.status, record.fate) {
            (200, _) if record.ended > judged_by => SoakFate::UnsoundServed,
            (200, _) => SoakFate::Served,
            (_, SoakFate::Failed | SoakFate::Lost) => SoakFate::Rejected,
            (_, fate) => fate,
        };
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
                    status => SoakFate::of_error(status),
                }
            }
        };
    }
}

/// The id of a request that is not sound and stands behind another one.
fn unsound_id_behind(id: &str) -> String {
    format!("{id}{UNSOUND_BEHIND}")
}

/// The last parameter of a request's target, which tells the server what to write.
fn script_parameter(number: usize) -> String {
    format!("&script={number}")
}
