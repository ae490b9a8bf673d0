//! System calls that fail or do less, in the ways that Linux documents: no request is lost or run twice for them.
//!
//! The real program runs under `bellcroft-fault-injector`, which has one in so many calls fail. Verdicts come from the clients'
//! and the servers' own records.

use std::time::Duration;
use testbed::faults::Shim;
use testbed::*;

/// Requests of each run, at the least.
const REQUESTS: usize = 400;
/// Of which so many may be refused or fail. A call that fails costs its request an attempt, and now and then three of them
/// in a row.
const MAX_NOT_SERVED: usize = 4;

/// Plays traffic against an agent under this specification; what was wrong.
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

/// Plays each one after the other and tells of all that went wrong.
async fn play_all(specifications: &[&str]) {
    let mut wrong = Vec::new();
    for specification in specifications {
        // A connection that clients could not have is no loss; a shorter run could hide one that is.
        let ended = tokio::time::timeout(Duration::from_secs(60), play(specification)).await;
        wrong.extend(ended.unwrap_or_else(|_| Err(format!("{specification}: did not end"))).err());
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_that_are_short_or_interrupted_are_read_on() {
    play_all(&["recv short", "recv short every=3", "recv EINTR", "recv EINTR every=3"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_that_are_short_or_interrupted_are_written_on() {
    play_all(&[
        "send short; writev short",
        "send EINTR; writev EINTR",
        "send short every=2; writev short every=2",
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_could_not_be_taken_are_taken_again() {
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
async fn connections_that_could_not_be_made_are_made_again() {
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
async fn waits_that_are_interrupted_and_a_wall_clock_that_is_stepped_change_nothing() {
    play_all(&[
        "epoll_wait EINTR every=3",
        "clock_gettime step ms=3600000 from=700",
        "clock_gettime step ms=-3600000 from=700",
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_at_once_lose_nothing() {
    play_all(&[
        "recv short; recv EINTR seed=2; send short; send EINTR seed=2; writev short; writev EINTR seed=2; \
                accept4 ECONNABORTED; accept4 ENFILE seed=2; socket ENFILE; connect EADDRNOTAVAIL; \
                connect ENETUNREACH seed=2; epoll_wait EINTR; clock_gettime step ms=5000 from=900",
    ])
    .await;
}

/// Faults that could do no harm hide nothing: a specification that can't be read ends the program with the word at fault.
#[tokio::test]
async fn a_specification_that_can_t_be_read_is_refused_with_the_word() {
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
