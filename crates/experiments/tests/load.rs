//! The load generator against servers that stall, refuse and vanish.

use bellcroft_simulation::{ClassSpec, Dist, Effect};
use experiments::load::{run, Load, Loaded};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testbed::{ok, Backend, Plan, Reply, Server, World};

fn class(name: &str, effect: Effect) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        share: 1.0,
        effect,
        window: 0.0,
        aim: 0.25,
        deadline: 5.0,
        service: Dist::Constant { mean: 0.001 },
    }
}

fn load(target: std::net::SocketAddr) -> Load {
    Load {
        target,
        rate: 200.0,
        lasts: Duration::from_secs(4),
        warm_up: Duration::ZERO,
        most: 10_000,
        connections: 400,
        seed: 3,
        tenant: "acme".into(),
        classes: vec![class("read-schedule", Effect::Idempotent), class("log-session", Effect::Deduplicated)],
        closed: false,
    }
}

fn sum(loaded: &Loaded, of: impl Fn(&experiments::load::ClassLoad) -> u64) -> u64 {
    loaded.classes.iter().map(of).sum()
}

/// A server that answers at once, but for one second in which all that came waits for its end.
async fn stalling() -> Backend {
    let begin = Instant::now();
    Backend::start(move |_| {
        let at = begin.elapsed().as_secs_f64();
        if (1.0..2.0).contains(&at) {
            std::thread::sleep(Duration::from_secs_f64(2.0 - at));
        }
        Reply::Bytes(ok("x"))
    })
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stall_shows_in_the_open_loop_and_hides_from_a_closed_one() {
    // The stand-in's threads block while it stalls, so it has a runtime of its own.
    let of = |closed: bool| async move {
        let (tell, told) = std::sync::mpsc::channel();
        let server = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let backend = stalling().await;
                tell.send(backend.address).expect("the test listens");
                tokio::time::sleep(Duration::from_secs(8)).await;
            });
        });
        let address =
            tokio::task::spawn_blocking(move || told.recv().expect("an address")).await.expect("it runs");
        let base = load(address);
        let loaded = run(Load { closed, connections: if closed { 2 } else { 400 }, ..base }, |_, _| {}).await;
        drop(server);
        loaded
    };
    let (open, closed) = (of(false).await, of(true).await);
    let p90 = |loaded: &Loaded| loaded.times().value_at_quantile(0.9);
    assert_eq!(sum(&open, |c| c.lost + c.failed + c.refused), 0);
    // A quarter of the schedule fell into the stall: the ninetieth percentile waited for much of it.
    // The closed loop had two requests out meanwhile, and its ninetieth percentile knows nothing of it; a ratio within
    // one run, for how long anything takes is the machine's affair.
    assert!(p90(&open) > 3 * p90(&closed), "{} against {}", p90(&open), p90(&closed));
    assert!(closed.times().max() > 3 * p90(&closed), "it did meet the stall: {}", closed.times().max());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_it_counts_is_what_the_server_saw_and_the_schedule_is_the_seeds() {
    let server = Server::start(Plan { cores: 32, ..Plan::default() }).await;
    let one = run(load(server.address), |_, _| {}).await;
    let seen = server.seen();
    assert_eq!(sum(&one, |c| c.sent) as usize, seen.len());
    assert_eq!(sum(&one, |c| c.served) as usize, seen.len());
    for class in &one.classes {
        assert_eq!(class.sent as usize, seen.iter().filter(|s| s.class == class.name).count());
        assert_eq!(class.times.len(), class.sent);
    }
    assert!(seen.iter().all(|s| s.key.is_some() == (s.class == "log-session")));
    let (least, most) = (700, 900);
    assert!((least..most).contains(&seen.len()), "{} of about 800", seen.len());
    let again = run(load(server.address), |_, _| {}).await;
    assert_eq!(sum(&one, |c| c.sent), sum(&again, |c| c.sent));
    let other = run(Load { seed: 4, ..load(server.address) }, |_, _| {}).await;
    assert_ne!(sum(&one, |c| c.sent), sum(&other, |c| c.sent));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn its_bounds_hold_and_every_request_is_accounted_for() {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    // Each third is refused, each fifth ends its connection.
    let backend = Backend::start(move |_| {
        let number = seen.fetch_add(1, Ordering::SeqCst);
        match number {
            n if n % 3 == 0 => Reply::Bytes(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_vec()),
            n if n % 5 == 0 => Reply::Last(Vec::new()),
            _ => Reply::Bytes(ok("x")),
        }
    })
    .await;
    let loaded = run(Load { most: 300, connections: 7, ..load(backend.address) }, |_, _| {}).await;
    assert_eq!(sum(&loaded, |c| c.sent), 300);
    assert_eq!(sum(&loaded, |c| c.served + c.refused + c.failed + c.lost), 300);
    assert_eq!((sum(&loaded, |c| c.refused), sum(&loaded, |c| c.lost)), (100, 40));
    assert_eq!(count.load(Ordering::SeqCst), 300, "nothing is sent twice");
    let nobody = run(Load { most: 20, ..load(testbed::nobody().await) }, |_, _| {}).await;
    assert_eq!(sum(&nobody, |c| c.lost), 20);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_real_agent_serves_it() {
    let world = World::start(4, &Plan::default()).await;
    let agent = testbed::Agent::with(world.config("n0"), |_| {}).await;
    agent.ready().await;
    let loaded = run(Load { most: 200, ..load(agent.address) }, |_, _| {}).await;
    assert_eq!((sum(&loaded, |c| c.served), loaded.classes.len()), (200, 2));
}
