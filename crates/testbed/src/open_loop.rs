//! An open-loop client: requests leave on a schedule that is fixed beforehand, whether or not earlier ones have been
//! answered. Each worker is a thread with blocking sockets, for the timers of an async runtime are too coarse to tell
//! tenths of a millisecond apart.

use std::collections::HashMap;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A request that is not answered by then has failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes read at a time.
const READ_SIZE: usize = 4096;

/// When each request leaves, counted from the start of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    departures: Vec<Duration>,
}

impl Schedule {
    /// Independent arrivals: gaps are exponentially distributed. The same seed gives the same schedule.
    pub fn poisson(rate: f64, length: Duration, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut departures = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.f64()).ln() / rate;
            if at >= length.as_secs_f64() {
                return Schedule { departures };
            }
            departures.push(Duration::from_secs_f64(at));
        }
    }

    /// Requests in it.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }
}

/// One request of a run.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// When it was to leave.
    pub scheduled: Duration,
    /// By how much it left later than that.
    pub lateness: Duration,
    /// From its departure to the last byte of its answer.
    pub latency: Duration,
    /// It was answered 200.
    pub served: bool,
}

/// Plays a schedule with so many workers and waits for its end; request `n` goes to address `n` modulo their number.
/// `request` makes the bytes of a request by its number.
pub fn play(
    schedule: &Schedule,
    addresses: &[SocketAddr],
    workers: usize,
    request: impl Fn(usize) -> String + Sync,
) -> Vec<Sample> {
    let (next, samples) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                let mut connections = HashMap::new();
                let mut own = Vec::new();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scheduled) = schedule.departures.get(number).copied() else { break };
                    let text = request(number);
                    let address = addresses[number % addresses.len()];
                    std::thread::sleep((start + scheduled).saturating_duration_since(Instant::now()));
                    let departure = Instant::now();
                    let status = exchange(&mut connections, address, text.as_bytes());
                    own.push(Sample {
                        scheduled,
                        lateness: departure.duration_since(start).saturating_sub(scheduled),
                        latency: departure.elapsed(),
                        served: matches!(status, Ok(200)),
                    });
                }
                samples.lock().unwrap_or_else(PoisonError::into_inner).extend(own);
            });
        }
    });
    let mut samples = samples.into_inner().unwrap_or_else(PoisonError::into_inner);
    samples.sort_by_key(|sample| sample.scheduled);
    samples
}

/// Sends a request over the worker's connection to an address and reads the status of its answer.
fn exchange(
    connections: &mut HashMap<SocketAddr, TcpStream>,
    address: SocketAddr,
    request: &[u8],
) -> Result<u16> {
    let mut stream = match connections.remove(&address) {
        Some(stream) => stream,
        None => connect(address)?,
    };
    stream.write_all(request)?;
    let status = read_answer(&mut stream)?;
    connections.insert(address, stream);
    Ok(status)
}

fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    Ok(stream)
}

/// Reads one answer that tells its length.
fn read_answer(stream: &mut TcpStream) -> Result<u16> {
    let mut bytes = Vec::new();
    let mut chunk = [0; READ_SIZE];
    loop {
        if let Some((status, length)) = parse_head(&bytes)? {
            if bytes.len() >= length {
                return Ok(status);
            }
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// The status of an answer and the length of head and body together; `None` while its head is not complete.
fn parse_head(bytes: &[u8]) -> Result<Option<(u16, usize)>> {
    const END_OF_HEAD: &[u8] = b"\r\n\r\n";
    let Some(end) = bytes.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD) else {
        return Ok(None);
    };
    let malformed = || Error::from(ErrorKind::InvalidData);
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| malformed())?;
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).and_then(|status| status.parse().ok());
    let mut headers = lines.filter_map(|line| line.split_once(':'));
    let body = headers.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let body: Option<usize> = body.and_then(|(_, length)| length.trim().parse().ok());
    let (status, body) = status.zip(body).ok_or_else(malformed)?;
    Ok(Some((status, end + END_OF_HEAD.len() + body)))
}

/// The duration that this share of all are no longer than; zero of none.
pub fn quantile(durations: &[Duration], share: f64) -> Duration {
    let mut sorted = durations.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}
