//! A machine's wall clock may have been stepped before a process starts; the platform's servers go by another one.

use std::time::Duration;
use testbed::faults::Shim;
use testbed::*;
use tokio::time::Instant;

/// How long the sends to a server that has just started are counted.
const COUNTED: Duration = Duration::from_millis(1_500);
const SERVERS: usize = 6;
/// Of what a warm server gets, at the most; without slow start it is about 0.8, with it about 0.2.
const MAX_SHARE: f64 = 0.45;

/// Sends to a server in slow start over those to a warm one, in the first moments after its start, where the process's wall
/// clock is off by so many milliseconds.
async fn slow_start_share(step_ms: i64) -> f64 {
    let mut world = World::start(SERVERS, &Plan::default()).await;
    let shim = Shim::new(&format!("clock_gettime step ms={step_ms}"));
    let agent = shim.start(world.config("a")).await;
    agent.ready().await;
    let load = Load { agents: vec![agent.address], clients: 16, rate: 400.0, seed: 3, most: 10_000 };
    let traffic = Traffic::start(&load);
    traffic.more(200, 1).await;
    world.replace(0, Plan::default()).await;
    let begin = Instant::now();
    tokio::time::sleep(COUNTED).await;
    let records = traffic.finish().await;
    assert_eq!(world.audit(&records), Vec::<String>::new());
    let counted = |seen: &Seen| seen.first_byte > begin && seen.first_byte < begin + COUNTED;
    let sends = |server: usize| {
        let seen = world.seen().into_iter();
        seen.filter(|(number, seen)| *number == server && counted(seen)).count() as f64
    };
    let warm = (1..SERVERS).map(sends).sum::<f64>() / (SERVERS - 1) as f64;
    assert!(warm > 10.0, "too little traffic to tell: {warm}");
    sends(0) / warm
}

/// An hour either way must not make a server that has just started look warm.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_in_slow_start_is_spared_whatever_the_wall_clock_says() {
    for step_ms in [0, 3_600_000, -3_600_000, 40_000, -40_000] {
        let share = slow_start_share(step_ms).await;
        assert!(share < MAX_SHARE, "clock off by {step_ms} ms: {share:.2} of what a warm server gets");
    }
}
