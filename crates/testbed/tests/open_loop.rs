//! The open-loop client of `testbed measure path`.

use std::net::SocketAddr;
use std::time::Duration;
use testbed::open_loop::{play, quantile, Sample, Schedule};
use testbed::{ok, request, Backend, Reply};

const SECOND: Duration = Duration::from_secs(1);

async fn play_apart(schedule: &Schedule, addresses: Vec<SocketAddr>, workers: usize) -> Vec<Sample> {
    let schedule = schedule.clone();
    let text = |_| request("GET", "/read", "2000m", "");
    tokio::task::spawn_blocking(move || play(&schedule, &addresses, workers, text)).await.expect("it ends")
}

#[test]
fn schedules_of_one_seed_are_equal_and_keep_their_rate() {
    let schedule = Schedule::poisson(500.0, 100 * SECOND, 3);
    assert_eq!(schedule, Schedule::poisson(500.0, 100 * SECOND, 3));
    assert_ne!(schedule, Schedule::poisson(500.0, 100 * SECOND, 4));
    assert!((49_000..51_000).contains(&schedule.len()), "{}", schedule.len());
}

#[test]
fn quantiles_are_values_of_the_sample() {
    let times: Vec<Duration> = (1..=1000).rev().map(Duration::from_micros).collect();
    let at = |share| quantile(&times, share).as_micros();
    assert_eq!([at(0.0), at(0.5), at(0.99), at(0.999), at(1.0)], [1, 500, 990, 999, 1000]);
    assert_eq!(quantile(&[], 0.99), Duration::ZERO);
}

#[tokio::test]
async fn each_request_is_sent_once_and_to_the_addresses_in_turn() {
    let servers = [(); 2].map(|()| Backend::start(|_| Reply::Bytes(ok("x"))));
    let [first, second] = servers;
    let (mut first, mut second) = (first.await, second.await);
    let schedule = Schedule::poisson(200.0, SECOND / 2, 1);
    let samples = play_apart(&schedule, vec![first.address, second.address], 4).await;
    assert_eq!(samples.len(), schedule.len());
    assert!(samples.iter().all(|sample| sample.served));
    assert!(samples.is_sorted_by_key(|sample| sample.scheduled));
    let mut seen = [0, 0];
    while first.seen.try_recv().is_ok() {
        seen[0] += 1;
    }
    while second.seen.try_recv().is_ok() {
        seen[1] += 1;
    }
    assert_eq!(seen, [schedule.len().div_ceil(2), schedule.len() / 2]);
}

/// One worker can't keep a schedule on which the next request is due before the last is answered, and says so.
#[tokio::test]
async fn a_client_that_falls_behind_reports_its_lateness() {
    let backend = Backend::start(|_| {
        std::thread::sleep(Duration::from_millis(20));
        Reply::Bytes(ok("x"))
    })
    .await;
    let schedule = Schedule::poisson(500.0, SECOND / 5, 1);
    let samples = play_apart(&schedule, vec![backend.address], 1).await;
    let lateness: Vec<Duration> = samples.iter().map(|sample| sample.lateness).collect();
    assert!(quantile(&lateness, 0.99) > SECOND / 10, "{lateness:?}");
}

#[tokio::test]
async fn a_refusal_and_a_broken_connection_are_not_served() {
    let refusing = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_vec();
    let refusing = Backend::start(move |_| Reply::Bytes(refusing.clone())).await;
    let breaking = Backend::start(|_| Reply::Last(Vec::new())).await;
    let schedule = Schedule::poisson(100.0, SECOND / 5, 1);
    let samples = play_apart(&schedule, vec![refusing.address, breaking.address], 4).await;
    assert_eq!(samples.len(), schedule.len());
    assert!(samples.iter().all(|sample| !sample.served));
}
