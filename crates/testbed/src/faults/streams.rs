//! Relays for connections, one listener for each pair of an instance and what it calls, or what calls it.
//!
//! TCP loses nothing, so a lost segment is one that comes late. Across a cut nothing is said at all; a connection that had
//! something to say then, or was begun then, is reset once the cut is over, as by a machine that is back.

use super::links::{Link, Links, Node};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep_until, Instant};

/// A lost segment comes this much later: a retransmission's least time-out (RFC 6298, section 2.4, as Linux has it).
const SENT_AGAIN: Duration = Duration::from_millis(200);
/// Pieces that are on their way in one direction.
const FLYING: usize = 64;

/// One relay; dropping it ends it and its connections.
pub(super) struct Stream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it leads.
    target: watch::Sender<Option<SocketAddr>>,
    task: JoinHandle<()>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Stream {
    /// A relay from one end to another, which is at `target` for now.
    pub async fn start(links: &Links, from: Node, to: Node, target: Option<SocketAddr>, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let target = watch::Sender::new(target);
        let (there, back) = (links.watch(from, to), links.watch(to, from));
        let leads = target.subscribe();
        let task = tokio::spawn(async move {
            let mut tasks = JoinSet::new();
            for number in 0_u64.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let random = fastrand::Rng::with_seed(seed ^ number.wrapping_mul(0x9e37_79b9));
                tasks.spawn(connection(stream, leads.clone(), (there.clone(), back.clone()), random));
                while tasks.try_join_next().is_some() {}
            }
        });
        Stream { address, target, task }
    }

    /// Leads there from now on.
    pub fn lead(&self, target: Option<SocketAddr>) {
        self.target.send_replace(target);
    }
}

/// What ends a connection for both of its directions.
#[derive(Default)]
struct End {
    reset: Notify,
}

async fn connection(
    stream: TcpStream,
    leads: watch::Receiver<Option<SocketAddr>>,
    (mut there, mut back): (watch::Receiver<Link>, watch::Receiver<Link>),
    mut random: fastrand::Rng,
) {
    let _ = stream.set_nodelay(true);
    let reset = |stream: &TcpStream| drop(stream.set_zero_linger());
    if there.borrow().fault.cut || back.borrow().fault.cut {
        // It never comes up, as far as its caller can tell, and is reset when the way is back.
        let healed = |link: &Link| !link.fault.cut;
        if there.wait_for(healed).await.is_ok() && back.wait_for(healed).await.is_ok() {
            reset(&stream);
        }
        return;
    }
    let target = *leads.borrow();
    let Some(other) = (match target {
        Some(target) => TcpStream::connect(target).await.ok(),
        None => None,
    }) else {
        return reset(&stream);
    };
    let _ = other.set_nodelay(true);
    let (resets, silences) = (resets(&there, &back), silences(&there, &back));
    let end = Arc::new(End::default());
    let (near_in, near_out) = stream.into_split();
    let (far_in, far_out) = other.into_split();
    let mut ways = JoinSet::new();
    let (a, b) = (random.fork(), random.fork());
    ways.spawn(way(near_in, far_out, there.clone(), end.clone(), a));
    ways.spawn(way(far_in, near_out, back.clone(), end.clone(), b));
    let ended = async { while ways.join_next().await.is_some() {} };
    tokio::pin!(ended);
    loop {
        tokio::select! {
            () = &mut ended => return,
            changed = there.changed() => if changed.is_err() { return },
            changed = back.changed() => if changed.is_err() { return },
        }
        if self::resets(&there, &back) != resets {
            end.reset.notify_waiters();
            return;
        }
        if self::silences(&there, &back) != silences {
            break;
        }
    }
    // Both sides hold it for open. Its halves live in their tasks, which are kept and never again looked at.
    std::future::pending::<()>().await;
}

fn resets(there: &watch::Receiver<Link>, back: &watch::Receiver<Link>) -> u64 {
    there.borrow().resets + back.borrow().resets
}

fn silences(there: &watch::Receiver<Link>, back: &watch::Receiver<Link>) -> u64 {
    there.borrow().silences + back.borrow().silences
}

/// One direction of a connection.
async fn way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: watch::Receiver<Link>,
    end: Arc<End>,
    mut random: fastrand::Rng,
) {
    let (send, mut flying) = mpsc::channel::<(Instant, Vec<u8>)>(FLYING);
    let own = link.borrow().silences;
    let reader = async {
        let mut buffer = vec![0; 16 << 10];
        let mut free = Instant::now();
        let mut last = free;
        loop {
            let read = from.read(&mut buffer).await;
            let Ok(length) = read.or(Err(())) else { return };
            let fault = link.borrow().fault;
            let now = Instant::now();
            let mut at = now + Duration::from_secs_f64(fault.delay + fault.jitter * random.f64());
            if random.f64() < fault.loss {
                at += SENT_AGAIN;
            }
            if fault.rate > 0.0 {
                free = free.max(now) + Duration::from_secs_f64(length as f64 / fault.rate);
                at = at.max(free);
            }
            // A stream keeps its order.
            last = last.max(at);
            if send.send((last, buffer[..length].to_vec())).await.is_err() || length == 0 {
                return;
            }
        }
    };
    let writer = async {
        let mut link = link.clone();
        while let Some((at, bytes)) = flying.recv().await {
            sleep_until(at).await;
            if link.borrow().silences != own {
                std::future::pending::<()>().await;
            }
            if link.borrow().fault.cut {
                // What was to cross then never does.
                if link.wait_for(|link| !link.fault.cut).await.is_ok() {
                    end.reset.notify_waiters();
                }
                return true;
            }
            if bytes.is_empty() {
                let _ = to.shutdown().await;
                return false;
            }
            if to.write_all(&bytes).await.is_err() {
                return true;
            }
        }
        false
    };
    let both = async {
        let ((), broken) = tokio::join!(reader, writer);
        broken
    };
    let broken = tokio::select! {
        broken = both => broken,
        () = end.reset.notified() => true,
    };
    if broken {
        end.reset.notify_waiters();
        let _ = to.as_ref().set_zero_linger();
    }
}
