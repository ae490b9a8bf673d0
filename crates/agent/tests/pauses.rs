//! A process that is stopped while a response is due.

use std::time::Duration;
use testbed::*;
use tokio::time::{sleep, sleep_until, Instant};

const DEADLINE: Duration = Duration::from_millis(400);
/// The process is stopped this long before the deadline.
const STOPPED_BEFORE: Duration = Duration::from_millis(30);

/// What a process logged of rule violations that was stopped for so long, from just before the deadline of a request on.
async fn violations_after_pause(pause: Duration) -> Vec<String> {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    agent.ready().await;
    let mut client = agent.client().await;
    client.send(&request_as("stopped", "POST", "/pay", &format!("{}m", DEADLINE.as_millis()), "b")).await;
    let deadline = Instant::now() + DEADLINE;
    backend.next().await;
    let id = agent.child.id().expect("it runs");
    sleep_until(deadline - STOPPED_BEFORE).await;
    kill("-STOP", id).await;
    sleep(pause).await;
    kill("-CONT", id).await;
    assert_eq!(client.answer().await.status(), 504);
    agent.term().await;
    assert!(agent.end().await.success());
    agent.until_logged("graceful shutdown: all requests answered").await;
    let log = agent.log.lock().expect("no reader failed");
    log.iter().filter(|line| line.contains("violation")).cloned().collect()
}

/// The guard must not count what a pause of up to 0.15 s explains.
#[tokio::test(flavor = "multi_thread")]
async fn answer_late_by_an_allowed_pause_is_no_violation() {
    for pause_ms in [100, 120, 140] {
        let violations = violations_after_pause(Duration::from_millis(pause_ms)).await;
        assert_eq!(violations, Vec::<String>::new(), "stopped for {pause_ms} ms");
    }
}

/// A longer pause is a violation, logged with its request when it happens and counted at the end.
#[tokio::test(flavor = "multi_thread")]
async fn answer_late_by_more_than_the_allowed_pause_is_logged_with_its_request() {
    let violations = violations_after_pause(Duration::from_millis(400)).await;
    let [event, total] = violations.as_slice() else { panic!("{violations:#?}") };
    for field in ["rule=\"late_answer\"", "id=\"stopped\"", "connection=", "late_by=", "paused=", "count=1"] {
        assert!(event.contains(field), "{field}: {event}");
    }
    assert!(total.contains("late_answer") && total.contains("in total"), "{total}");
}
