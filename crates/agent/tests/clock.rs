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

/// Past its time by so much an answer is worth nothing, and later it is lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
const HOUR_MS: i64 = 3_600_000;
/// Moments of a step after the process's start, from its first requests to its shutdown.
const STEP_TIMES_MS: [u64; 8] = [150, 400, 700, 1_000, 1_300, 1_700, 2_200, 2_700];

/// Traffic of a process whose wall clock is stepped once, so long after its start, while a server is replaced by a cold one,
/// one resets connections and one hangs, and through its shutdown. Returns the number of requests.
async fn traffic_over_step(step_ms: i64, from_ms: u64) -> usize {
    let mut world = World::start(SERVERS, &Plan::default()).await;
    let shim = Shim::new(&format!("clock_gettime step ms={step_ms} from={from_ms}"));
    let begin = Instant::now();
    let mut agent = shim.start(world.config("a")).await;
    agent.ready().await;
    let load = Load { agents: vec![agent.address], clients: 8, rate: 200.0, seed: 3, most: 10_000 };
    let traffic = Traffic::start(&load);
    world.servers[1].reset();
    tokio::time::sleep_until(begin + Duration::from_millis(700)).await;
    world.servers[1].heal();
    world.servers[2].mute();
    let cold = Plan { cold_for: Duration::from_secs(2), ..Plan::default() };
    world.replace(0, cold).await;
    tokio::time::sleep_until(begin + Duration::from_millis(2_000)).await;
    agent.term().await;
    let records = traffic.finish().await;
    assert!(agent.end().await.success());
    // Once the process is gone its clients have no connection; those that had one had their answer.
    let late = |record: &Record| record.took > CLASSES[record.class].deadline + MAX_LATENESS;
    let answered = |record: &Record| record.fate.is_answer() || record.fate == Fate::NoConnection;
    let bad = |record: &&Record| !answered(record) || late(record);
    let bad: Vec<&Record> = records.iter().filter(bad).collect();
    assert!(bad.is_empty(), "step of {step_ms} ms after {from_ms} ms: {bad:#?}");
    assert_eq!(world.audit(&records), Vec::<String>::new(), "step of {step_ms} ms after {from_ms} ms");
    records.len()
}

/// A step of the wall clock at any moment costs no request its one answer in time.
#[tokio::test(flavor = "multi_thread")]
async fn step_of_the_wall_clock_at_any_moment_loses_no_request() {
    for step_ms in [HOUR_MS, -HOUR_MS] {
        let runs = STEP_TIMES_MS.map(|from_ms| tokio::spawn(traffic_over_step(step_ms, from_ms)));
        for run in runs {
            let requests = run.await.expect("no request was lost");
            assert!(requests > 200, "too little traffic to tell: {requests}");
        }
    }
}
