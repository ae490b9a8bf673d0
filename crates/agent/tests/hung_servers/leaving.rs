//! Clients that leave requests behind which others stand, beside servers that hang.

use crate::servers::{HungServers, HANG, PAUSE};
use std::time::Duration;
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The time in which attempts begin, within that of a hang.
const ATTEMPT_TIME: Duration = Duration::from_millis(200);
/// What servers that turn an attempt away reply.
const TURNED_AWAY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// A patient request with so many bytes of sound requests behind it.
fn with_requests_behind(id: &str, bytes: usize) -> String {
    let next = || request("GET", "/read/behind", "20000m", "");
    let flood: String = std::iter::repeat_with(next).take(bytes / next().len() + 1).collect();
    request_as(id, "GET", "/read/left", "20000m", "") + &flood[..bytes]
}

/// Sends requests with up to 2 MiB behind them, each on a connection that its client leaves once the attempts have begun that begin in
/// [`ATTEMPT_TIME`]. Adds these attempts to `begun`; returns what is left of the connections.
async fn leave_behind_requests(
    hung: &mut HungServers,
    leaving: Leaving,
    prefix: &str,
    begun: &mut Vec<String>,
) -> Vec<impl Sized> {
    let mut sending = JoinSet::new();
    for behind in [0, 1, 100, 4 << 10, 16 << 10, 80 << 10, 200 << 10, 2 << 20] {
        let mut client = hung.agent.client().await;
        let text = with_requests_behind(&format!("{prefix}-{leaving:?}-{behind}"), behind);
        sending.spawn(async move {
            // Bytes that the kernels do not take are not sent; the client leaves nevertheless.
            let _ = timeout(3 * PAUSE, client.stream.write_all(text.as_bytes())).await;
            client
        });
    }
    let clients = sending.join_all().await;
    let before = begun.len();
    let _ = timeout(ATTEMPT_TIME, async {
        while begun.len() - before < clients.len() {
            begun.extend(hung.begun());
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let mut half = Vec::new();
    for client in clients {
        half.push(client.leave(leaving).await);
    }
    half
}

/// Checks that requests have begun, each once at most, and none that stands behind another.
fn assert_no_further_attempt(mut begun: Vec<String>, leaving: Leaving) {
    let attempts = begun.len();
    assert!(attempts > 0, "{leaving:?}: no attempt has begun: the test shows nothing");
    begun.sort();
    begun.dedup();
    assert_eq!(begun.len(), attempts, "{leaving:?}: a further attempt among {begun:?}");
    assert!(begun.iter().all(|request| request.contains("/read/left")), "{leaving:?}: {begun:?}");
}

/// Guards against attempts for clients whose close lies behind requests that are judged, when their servers end a hang by turning them
/// away. A client that stays has such attempts.
#[tokio::test]
async fn client_that_closed_behind_following_requests_gets_no_further_attempt() {
    for leaving in Leaving::ALL {
        let mut hung = HungServers::answering(HANG, TURNED_AWAY, patient_config).await;
        let mut begun = Vec::new();
        let half = leave_behind_requests(&mut hung, leaving, "left", &mut begun).await;
        sleep(2 * HANG).await;
        begun.extend(hung.begun());
        assert_no_further_attempt(begun, leaving);
        drop(half);
    }
    let mut hung = HungServers::answering(HANG, TURNED_AWAY, patient_config).await;
    let mut staying = hung.agent.client().await;
    staying.send(&with_requests_behind("stays", 100)).await;
    sleep(2 * HANG).await;
    assert!(hung.begun().len() > 1, "a client that stays has one attempt alone");
}

/// The same while the process is replaced by a new one: clients of both processes leave, before and after the old one is told to stop.
#[tokio::test]
async fn client_that_closed_behind_following_requests_gets_no_further_attempt_over_an_upgrade() {
    for leaving in Leaving::ALL {
        let mut hung = HungServers::answering(HANG, TURNED_AWAY, patient_config).await;
        let mut begun = Vec::new();
        let mut half = leave_behind_requests(&mut hung, leaving, "before", &mut begun).await;
        let mut old = hung.upgrade().await;
        half.extend(leave_behind_requests(&mut hung, leaving, "beside", &mut begun).await);
        old.term().await;
        half.extend(leave_behind_requests(&mut hung, leaving, "after", &mut begun).await);
        sleep(2 * HANG).await;
        assert!(old.end().await.success());
        begun.extend(hung.begun());
        assert_no_further_attempt(begun, leaving);
    }
}
