//! One watch of discovery, from its first call to the call that fails.

use super::client::call;
use super::codec::EndpointList;
use super::policy::WatchPolicy;
use crate::driver::Driver;
use std::net::SocketAddr;
use std::rc::Rc;

/// Calls again as soon as the last call is answered, until one fails: then the watch is over, the balancer is
/// told, and begins another when it sees fit. Only what costs nobody anything is asked again from here.
pub(crate) async fn watch(
    address: SocketAddr,
    policy: WatchPolicy,
    driver: Rc<Driver>,
    mut seq: Option<u64>,
) {
    let mut connection = None;
    loop {
        let (path, within) = match seq {
            Some(seq) => {
                let wait = policy.wait;
                let path = format!("/v1/endpoints?after={seq}&wait_ms={}", wait.as_millis());
                (path, wait + policy.watch_timeout)
            }
            None => ("/v1/endpoints".to_owned(), policy.call_timeout),
        };
        // A change is one of a list that is known; as a first answer it would say nothing of the others.
        let answer = call(address, &mut connection, &path, within).await.filter(|l| seq.is_some() || l.whole);
        // A lower version than the one that is known is of a service that has begun anew: its changes are of a list that
        // nobody here has, and what it told before them would be missed for good. So the whole of it is asked for.
        let anew = |list: &EndpointList| !list.whole && seq.is_some_and(|known| list.seq < known);
        if answer.as_ref().is_some_and(anew) {
            seq = None;
            continue;
        }
        // After a failure too, where it is asked again from here.
        seq = answer.as_ref().map(|list| list.seq);
        let failed = answer.is_none();
        match (failed, policy.retry_delay) {
            (true, Some(pause)) => tokio::time::sleep(pause).await,
            _ => driver.listed(answer),
        }
        if failed && policy.retry_delay.is_none() {
            return;
        }
    }
}
