//! System calls that fail or transfer less, in the ways that Linux documents: no request is lost or executed twice.
//!
//! The real program runs under `bellcroft-fault-injector`, which fails a fraction of the calls. Verdicts come from the records of
//! clients and servers.

use std::time::Duration;
use testbed::faults::Shim;
use testbed::*;

/// The minimum of requests in each run.
const REQUESTS: usize = 400;
/// The maximum of rejected or failed requests among them: a failed call fails its attempt, and now and then three attempts
/// in a row.
const MAX_NOT_SERVED: usize = 4;

/// Runs traffic against an agent under this specification; the error lists what was wrong.
async fn play(specification: &str) -> Result<(), String> {
    let world = World::start(8, &Plan::default()).await;
    let shim = Shim::new(specification);
    let agent = shim.start(world.config("a")).await;
    agent.ready().await;
    let load = Load { agents: vec![agent.address], clients: 12, rate: 200.0, seed: 5, most: 10_000 };
    let traffic = Traffic::start(&load);
    traffic.more(REQUESTS, 1).await;
    let records = traffic.finish().await;
    let fates = fates(&records);
    if !specification.contains("clock_gettime") && shim.faults() == 0 {
        return Err(format!("{specification}: no call failed, the run shows nothing"));
    }
    let breaches = world.audit(&records);
    if !breaches.is_empty() {
        return Err(format!("{specification}: {breaches:?}"));
    }
    if records.iter().any(|record| !record.fate.is_answer() || record.late()) {
        return Err(format!("{specification}: lost or late: {fates:?}"));
    }
    let not_served = records.iter().filter(|record| record.fate != Fate::Served).count();
    if not_served > MAX_NOT_SERVED {
        return Err(format!("{specification}: {not_served} not served: {fates:?}"));
    }
    Ok(())
}

/// Runs all specifications one after the other, and reports all failures together.
async fn play_all(specifications: &[&str]) {
    let mut wrong = Vec::new();
    for specification in specifications {
        // A connection that a client could not open is no lost request; a shorter run could hide one.
        let ended = tokio::time::timeout(Duration::from_secs(60), play(specification)).await;
        wrong.extend(ended.unwrap_or_else(|_| Err(format!("{specification}: did not end"))).err());
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn short_and_interrupted_reads_are_continued() {
    play_all(&["recv short", "recv short every=3", "recv EINTR", "recv EINTR every=3"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn short_and_interrupted_writes_are_continued() {
    play_all(&[
        "send short; writev short",
        "send EINTR; writev EINTR",
        "send short every=2; writev short every=2",
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_accepts_are_retried() {
    play_all(&[
        "accept4 ECONNABORTED every=3",
        "accept4 EINTR every=3",
        "accept4 EPROTO every=3",
        "accept4 ENFILE every=4",
        "accept4 ENOBUFS every=4",
        "accept4 ENOMEM every=2",
        "accept4 ENETDOWN every=4",
        "accept4 EPERM every=4",
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_connects_are_retried() {
    play_all(&[
        "socket ENFILE every=4",
        "socket ENOBUFS every=4",
        "socket EMFILE every=4",
        "connect EADDRNOTAVAIL every=4",
        "connect ENETUNREACH every=4",
        "connect ENOBUFS every=4",
        "connect EINTR every=4",
        "connect EAGAIN every=4",
        "connect EHOSTUNREACH every=10",
        "connect ETIMEDOUT every=10",
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_waits_and_clock_steps_change_nothing() {
    play_all(&[
        "epoll_wait EINTR every=3",
        "clock_gettime step ms=3600000 from=700",
        "clock_gettime step ms=-3600000 from=700",
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn combined_faults_lose_no_request() {
    play_all(&[
        "recv short; recv EINTR seed=2; send short; send EINTR seed=2; writev short; writev EINTR seed=2; \
                accept4 ECONNABORTED; accept4 ENFILE seed=2; socket ENFILE; connect EADDRNOTAVAIL; \
                connect ENETUNREACH seed=2; epoll_wait EINTR; clock_gettime step ms=5000 from=900",
    ])
    .await;
}

/// An invalid specification ends the program with the invalid word; otherwise its faults would silently be missing.
#[tokio::test]
async fn invalid_specification_is_rejected_with_its_word() {
    for (specification, why) in [
        ("recv EFOO", "rule 1: \"EFOO\" is no fault"),
        ("recv short; sing EINTR", "rule 2: \"sing\" is no call that can fail"),
        ("recv short every=0", "rule 1: \"every=0\": a count was expected"),
        ("recv", "rule 1: a fault is missing behind the call"),
        ("recv short often", "rule 1: \"often\" is no key=value"),
    ] {
        let output = Shim::new(specification).output().await;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{specification}: {text}");
        assert!(text.contains(why), "{specification}: {text}");
    }
}
