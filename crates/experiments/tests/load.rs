//! Tests of the load generator with servers that stall, reject requests and close connections.

use bellcroft_simulation::{ClassSpec, Dist, Effect};
use experiments::load::{run, ClassResult, Load, LoadResult};
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
        duration: Duration::from_secs(4),
        warm_up: Duration::ZERO,
        max_requests: 10_000,
        connections: 400,
        seed: 3,
        tenant: "acme".into(),
        classes: vec![class("read-schedule", Effect::Idempotent), class("log-session", Effect::Deduplicated)],
        closed_loop: false,
    }
}

fn sum(result: &LoadResult, of: impl Fn(&ClassResult) -> u64) -> u64 {
    result.classes.iter().map(of).sum()
}

/// A server that responds at once, except from 1 s to 2 s after its start: requests in that time wait until 2 s.
async fn start_stalling_server() -> Backend {
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
async fn open_loop_latencies_include_stalls() {
    // The server blocks its threads while it stalls, so it runs in its own runtime.
    let run_load = |closed_loop: bool| async move {
        let (sender, receiver) = std::sync::mpsc::channel();
        let server = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let backend = start_stalling_server().await;
                sender.send(backend.address).expect("the test should wait for the address");
                tokio::time::sleep(Duration::from_secs(8)).await;
            });
        });
        let address = tokio::task::spawn_blocking(move || receiver.recv().expect("an address"))
            .await
            .expect("the task should not panic");
        let base = load(address);
        let result =
            run(Load { closed_loop, connections: if closed_loop { 2 } else { 400 }, ..base }, |_, _| {})
                .await;
        drop(server);
        result
    };
    let (open, closed) = (run_load(false).await, run_load(true).await);
    let p90 = |result: &LoadResult| result.latencies().value_at_quantile(0.9);
    assert_eq!(sum(&open, |c| c.lost + c.failed + c.rejected), 0);
    // A quarter of the schedule falls into the stall, so the open loop's 90th percentile contains much of the stall. The
    // closed loop has only two requests in flight during the stall, so its 90th percentile does not show it. The
    // assertions compare ratios, since absolute latencies depend on the machine.
    assert!(p90(&open) > 3 * p90(&closed), "open {}, closed {}", p90(&open), p90(&closed));
    assert!(
        closed.latencies().max() > 3 * p90(&closed),
        "the closed loop should meet the stall: {}",
        closed.latencies().max()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn counts_match_the_server_and_the_seed_determines_the_schedule() {
    let server = Server::start(Plan { cores: 32, ..Plan::default() }).await;
    let first = run(load(server.address), |_, _| {}).await;
    let seen = server.seen();
    assert_eq!(sum(&first, |c| c.sent) as usize, seen.len());
    assert_eq!(sum(&first, |c| c.served) as usize, seen.len());
    for class in &first.classes {
        assert_eq!(class.sent as usize, seen.iter().filter(|s| s.class == class.name).count());
        assert_eq!(class.latencies.len(), class.sent);
    }
    assert!(seen.iter().all(|s| s.key.is_some() == (s.class == "log-session")));
    let (min, max) = (700, 900);
    assert!((min..max).contains(&seen.len()), "{} requests, expected about 800", seen.len());
    let again = run(load(server.address), |_, _| {}).await;
    assert_eq!(sum(&first, |c| c.sent), sum(&again, |c| c.sent));
    let other = run(Load { seed: 4, ..load(server.address) }, |_, _| {}).await;
    assert_ne!(sum(&first, |c| c.sent), sum(&other, |c| c.sent));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limits_hold_and_every_request_is_counted() {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    // Every third request is rejected; of the others, every fifth gets no response and its connection is closed.
    let backend = Backend::start(move |_| {
        let number = seen.fetch_add(1, Ordering::SeqCst);
        match number {
            n if n % 3 == 0 => Reply::Bytes(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_vec()),
            n if n % 5 == 0 => Reply::Last(Vec::new()),
            _ => Reply::Bytes(ok("x")),
        }
    })
    .await;
    let result = run(Load { max_requests: 300, connections: 7, ..load(backend.address) }, |_, _| {}).await;
    assert_eq!(sum(&result, |c| c.sent), 300);
    assert_eq!(sum(&result, |c| c.served + c.rejected + c.failed + c.lost), 300);
    assert_eq!((sum(&result, |c| c.rejected), sum(&result, |c| c.lost)), (100, 40));
    assert_eq!(count.load(Ordering::SeqCst), 300, "no request should be retried");
    let unreachable = run(Load { max_requests: 20, ..load(testbed::nobody().await) }, |_, _| {}).await;
    assert_eq!(sum(&unreachable, |c| c.lost), 20);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn agent_serves_the_load() {
    let world = World::start(4, &Plan::default()).await;
    let agent = testbed::Agent::with(world.config("n0"), |_| {}).await;
    agent.ready().await;
    let result = run(Load { max_requests: 200, ..load(agent.address) }, |_, _| {}).await;
    assert_eq!((sum(&result, |c| c.served), result.classes.len()), (200, 2));
}
