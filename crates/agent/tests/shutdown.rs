//! A planned restart: SIGTERM, and SIGKILL when the platform's time for it is over.
//!
//! By the protocol's page SIGKILL follows SIGTERM no sooner than after the longest deadline (at most 3 s) plus 0.7 s. A
//! request that was accepted and has no complete response by then is lost.

use std::time::Duration;
use testbed::*;
use tokio::time::{sleep_until, Instant};

/// The longest deadline that the platform waits for.
const MAX_PLATFORM_WAIT: Duration = Duration::from_secs(3);
/// The platform's wait beyond that.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// The classes' deadlines, in the order of `read`, `save` and `pay`.
fn config_with_deadlines(
    directory: &Directory,
    backends: &[Backend],
    deadlines_ms: [u64; 3],
) -> serde_json::Value {
    let hosts: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(n, backend)| host(&format!("s{n}"), backend.address, "up"))
        .collect();
    let mut config = config(directory.address, &hosts);
    let classes = config["settings"]["classes"].as_array_mut().expect("classes");
    for (class, deadline_ms) in classes.iter_mut().zip(deadlines_ms) {
        class["deadlineMs"] = deadline_ms.into();
        class["dedupWindowMs"] = 10_000.into();
    }
    config
}

/// Sends a request in two parts, the second at `complete_at`, and reads its answer; none if the connection ends first.
async fn slow_request(agent: &Agent, text: String, complete_at: Instant) -> Option<Message> {
    let mut client = agent.client().await;
    let (begin, rest) = text.split_at(text.len() - 1);
    client.send(begin).await;
    sleep_until(complete_at).await;
    client.send(rest).await;
    read_message(&mut client.stream, 0).await
}

/// Servers that hang one after the other without their requests being rejected for it.
const BACKENDS: usize = 12;

/// Waits until one of them has a request.
async fn received(backends: &mut [Backend]) {
    soon("a request at a backend", async {
        while !backends.iter_mut().any(|backend| backend.seen.try_recv().is_ok()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// The longest stall between reading the clock and writing.
const MAX_STALL: Duration = Duration::from_millis(150);

/// Stops the process for [`MAX_STALL`] again and again, with as long in between, from `begin` on.
async fn stall_repeatedly(agent: &Agent, begin: Instant) {
    let id = agent.child.id().expect("it runs");
    sleep_until(begin).await;
    loop {
        kill("-STOP", id).await;
        tokio::time::sleep(MAX_STALL).await;
        kill("-CONT", id).await;
        tokio::time::sleep(MAX_STALL).await;
    }
}

/// When the process is stalled.
#[derive(Clone, Copy, PartialEq)]
enum Stalls {
    Never,
    /// While SIGTERM arrives, for so long.
    AtTerm(Duration),
    /// While SIGTERM arrives, and repeatedly from this long before SIGKILL on.
    AroundBothSignals(Duration),
}

/// A planned restart while all servers hang: the statuses of requests that were taken before, at once after and late after
/// SIGTERM; none for each that had no complete answer when SIGKILL came. The last of `deadlines_ms` is the longest.
async fn planned_restart(deadlines_ms: [u64; 3], stalls: Stalls) -> [Option<u16>; 4] {
    let mut backends = Vec::new();
    for _ in 0..BACKENDS {
        backends.push(Backend::start(|_| Reply::Mute).await);
    }
    let directory = Directory::start(Mood::Mute).await;
    let config = config_with_deadlines(&directory, &backends, deadlines_ms);
    let mut agent = Agent::with(config, |_| {}).await;
    agent.ready().await;
    let [_, save_wait, pay_wait] = deadlines_ms.map(|ms| format!("{ms}m"));
    let mut open_before = agent.client().await;
    open_before.send(&request("POST", "/pay", &pay_wait, "b")).await;
    received(&mut backends).await;

    let id = agent.child.id().expect("it runs");
    if stalls != Stalls::Never {
        kill("-STOP", id).await;
    }
    agent.term().await;
    let told = Instant::now();
    let longest = Duration::from_millis(deadlines_ms[2]).min(MAX_PLATFORM_WAIT);
    let killed_at = told + longest + KILL_MARGIN;
    if stalls != Stalls::Never {
        let lasts = if let Stalls::AtTerm(lasts) = stalls { lasts } else { MAX_STALL };
        tokio::time::sleep(lasts).await;
        kill("-CONT", id).await;
    }
    let at = |ms: u64| told + Duration::from_millis(ms);
    let slow = |path, wait: &str, ms| {
        let text = request("POST", path, wait, "bb");
        let agent = &agent;
        async move {
            sleep_until(at(200)).await;
            slow_request(agent, text, at(ms)).await
        }
    };
    let late_ms = longest.as_millis() as u64;
    let (answers, mut answered) = tokio::sync::mpsc::unbounded_channel();
    let reader = |place: usize, answer: Option<Message>| {
        let _ = answers.send((place, answer.map(|answer| answer.status())));
    };
    let all = async {
        tokio::join!(
            async { reader(0, read_message(&mut open_before.stream, 0).await) },
            async { reader(1, slow("/pay", &pay_wait, 250).await) },
            async { reader(2, slow("/save", &save_wait, late_ms / 2).await) },
            async { reader(3, slow("/save", &save_wait, late_ms * 2 / 3).await) },
        );
    };
    let stalling = async {
        match stalls {
            Stalls::Never | Stalls::AtTerm(_) => std::future::pending().await,
            Stalls::AroundBothSignals(before) => stall_repeatedly(&agent, killed_at - before).await,
        }
    };
    tokio::select! {
        () = all => {}
        () = stalling => {}
        () = sleep_until(killed_at) => {}
    }
    agent.child.kill().await.expect("it runs, or has ended");
    let mut statuses = [None; 4];
    while let Ok((place, status)) = answered.try_recv() {
        statuses[place] = status;
    }
    statuses
}

/// Every hanging request has a response, and none announces a safe retry if the server may have executed it.
fn assert_answered(statuses: [Option<u16>; 4]) {
    assert!(statuses.iter().all(Option::is_some), "no complete answer before SIGKILL: {statuses:?}");
    assert_eq!(statuses[0], Some(504), "the server has it and may run it");
}

/// The longest deadline of the settings exceeds the platform's time.
#[tokio::test]
async fn requests_with_deadlines_past_kill_are_answered() {
    assert_answered(planned_restart([1_079, 2_698, 4_047], Stalls::Never).await);
}

#[tokio::test]
async fn requests_with_deadlines_before_kill_are_answered() {
    assert_answered(planned_restart([1_079, 2_698, 3_000], Stalls::Never).await);
}

#[tokio::test]
async fn stalled_process_answers_before_kill() {
    for phase_ms in [700, 600, 500, 400] {
        let stalls = Stalls::AroundBothSignals(Duration::from_millis(phase_ms));
        assert_answered(planned_restart([1_079, 2_698, 3_000], stalls).await);
    }
}

/// Longer than the pause that the schedule reserves for reading SIGTERM.
#[tokio::test]
async fn process_paused_for_long_while_sigterm_arrives_answers_before_kill() {
    let stalls = Stalls::AtTerm(Duration::from_millis(500));
    assert_answered(planned_restart([1_079, 2_698, 3_000], stalls).await);
}

#[tokio::test]
async fn short_deadlines_leave_time_for_responses() {
    let stalls = Stalls::AroundBothSignals(Duration::from_millis(500));
    assert_answered(planned_restart([150, 250, 400], stalls).await);
}

/// Requests incomplete at the deadline are refused, and those completed later are refused at once: none is forwarded.
#[tokio::test]
async fn incomplete_requests_are_refused_and_never_forwarded() {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let config = config_with_deadlines(&directory, std::slice::from_ref(&backend), [150, 250, 400]);
    let mut agent = Agent::with(config, |_| {}).await;
    agent.ready().await;
    let head = request("GET", "/read", "150m", "");
    let body = request("POST", "/save", "250m", "bb");
    let (mut in_head, mut in_body, mut open) =
        (agent.client().await, agent.client().await, agent.client().await);
    in_head.send(&head[..head.len() - 2]).await;
    in_body.send(&body[..body.len() - 1]).await;
    open.send(&request("POST", "/pay", "400m", "b")).await;
    backend.next().await;
    agent.term().await;
    assert_eq!(open.answer().await.status(), 504);
    for client in [&mut in_head, &mut in_body] {
        let answer = client.answer().await;
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    }
    assert!(agent.end().await.success());
    assert!(backend.seen.try_recv().is_err(), "an incomplete request went on");
}

/// The log of a shutdown has each request's events with its id.
#[tokio::test]
async fn shutdown_log_follows_request_by_id() {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let config = config_with_deadlines(&directory, std::slice::from_ref(&backend), [150, 250, 400]);
    let mut agent = Agent::with(config, |_| {}).await;
    agent.ready().await;
    agent.term().await;
    // Events are logged at this level from the moment in which the agent acts on the signal; that it was sent is not enough.
    agent.until_logged("graceful shutdown: started").await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "400m", "b")).await;
    let id = backend.next().await.header("x-request-id").expect("an id").to_owned();
    assert_eq!(client.answer().await.status(), 504);
    assert!(agent.end().await.success());
    agent.until_logged("graceful shutdown: all requests answered").await;
    let log = agent.log.lock().expect("no reader failed").clone();
    for event in ["request received", "attempt sent", "response decided"] {
        let found = log.iter().filter(|line| line.contains(event) && line.contains(&id)).count();
        assert_eq!(found, 1, "{event}: {log:#?}");
    }
    assert_eq!(agent.logged("graceful shutdown: started"), 1);
    assert_eq!(agent.logged("violation"), 0);
}
