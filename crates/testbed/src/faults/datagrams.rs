//! Relays for datagrams, one socket for each directed pair of instances.
//!
//! Instance `i` knows `j` by the address of the socket `(i, j)`. What arrives there from `i` leaves towards `j` by the
//! socket `(j, i)`, so that `j` sees it come from where it knows `i`.

use super::links::{Link, Links, Node};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// How long a datagram is held back so that others overtake it.
const HELD_BACK: Duration = Duration::from_millis(500);
/// Datagrams that a slow link queues; one more is lost.
const QUEUE: Duration = Duration::from_secs(2);

/// The relays between all pairs; dropping it ends them.
pub(super) struct Datagrams {
    sockets: Arc<HashMap<(usize, usize), UdpSocket>>,
    /// Where each instance hears datagrams at present.
    homes: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    _tasks: JoinSet<()>,
}

impl Datagrams {
    pub async fn start(instances: usize, links: &Links, seed: u64) -> Self {
        let mut sockets = HashMap::new();
        for from in 0..instances {
            for to in (0..instances).filter(|to| *to != from) {
                sockets.insert((from, to), UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
            }
        }
        let sockets = Arc::new(sockets);
        let homes = Arc::new(Mutex::new(vec![None; instances]));
        let mut tasks = JoinSet::new();
        for (from, to) in sockets.keys().copied() {
            let link = links.watch(Node::Instance(from), Node::Instance(to));
            let random = fastrand::Rng::with_seed(seed ^ ((from as u64) << 32 | to as u64));
            tasks.spawn(relay((from, to), sockets.clone(), homes.clone(), link, random));
        }
        Datagrams { sockets, homes, _tasks: tasks }
    }

    /// Where `from` sends what is for `to`; the addresses of `from`'s roster, its own place among them.
    pub fn roster(&self, from: usize, instances: usize) -> Vec<SocketAddr> {
        let at = |to: usize| match self.sockets.get(&(from, to)) {
            Some(socket) => socket.local_addr().expect("an address"),
            // Its own: nobody sends there.
            None => SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        (0..instances).map(at).collect()
    }

    /// Where an instance hears datagrams.
    pub fn at(&self, instance: usize) -> Option<SocketAddr> {
        self.homes.lock().unwrap_or_else(PoisonError::into_inner)[instance]
    }

    /// An instance hears datagrams there from now on; nowhere while it isn't there.
    pub fn home(&self, instance: usize, address: Option<SocketAddr>) {
        self.homes.lock().unwrap_or_else(PoisonError::into_inner)[instance] = address;
    }
}

async fn relay(
    (from, to): (usize, usize),
    sockets: Arc<HashMap<(usize, usize), UdpSocket>>,
    homes: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    link: watch::Receiver<Link>,
    mut random: fastrand::Rng,
) {
    let (inwards, outwards) = (&sockets[&(from, to)], &sockets[&(to, from)]);
    let mut waiting: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut free = Instant::now();
    let mut buffer = vec![0; 65_536];
    loop {
        let next = waiting.iter().map(|(at, _)| *at).min();
        tokio::select! {
            got = inwards.recv_from(&mut buffer) => {
                let home = homes.lock().unwrap_or_else(PoisonError::into_inner)[from];
                let length = match got {
                    Ok((length, sender)) if Some(sender) == home => length,
                    // Whoever else sends here is no instance of this cluster.
                    _ => continue,
                };
                let fault = link.borrow().fault;
                if fault.cut || random.f64() < fault.loss {
                    continue;
                }
                let now = Instant::now();
                let mut at = now;
                if fault.rate > 0.0 {
                    free = free.max(now) + Duration::from_secs_f64(length as f64 / fault.rate);
                    if free.duration_since(now) > QUEUE {
                        free -= Duration::from_secs_f64(length as f64 / fault.rate);
                        continue;
                    }
                    at = free;
                }
                at += Duration::from_secs_f64(fault.delay + fault.jitter * random.f64());
                if random.f64() < fault.reordered {
                    at += HELD_BACK;
                }
                let mut bytes = buffer[..length].to_vec();
                if random.f64() < fault.spoilt && !bytes.is_empty() {
                    let place = random.usize(0..bytes.len());
                    bytes[place] ^= 1 << random.u32(0..8);
                }
                if random.f64() < fault.doubled {
                    waiting.push((at, bytes.clone()));
                }
                waiting.push((at, bytes));
            }
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
        }
        let now = Instant::now();
        let mut due: Vec<(Instant, Vec<u8>)> = Vec::new();
        waiting.retain(|(at, bytes)| {
            if *at <= now {
                due.push((*at, bytes.clone()));
            }
            *at > now
        });
        due.sort_by_key(|(at, _)| *at);
        let home = homes.lock().unwrap_or_else(PoisonError::into_inner)[to];
        if let Some(home) = home {
            for (_, bytes) in due {
                // One that can't be sent is lost, as on any link.
                let _ = outwards.send_to(&bytes, home).await;
            }
        }
    }
}
