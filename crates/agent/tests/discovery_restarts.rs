//! Configurations in quick succession, each of which starts a call to discovery anew, while discovery is slow or moves.

use serde_json::{json, Value};
use std::time::Duration;
use testbed::*;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// The time after which a change counts as told, from when discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// Two servers, and an agent that knows both.
struct Site {
    one: Backend,
    two: Backend,
    agent: Agent,
    config: Value,
    reloads: u64,
}

impl Site {
    async fn start(discovery: &ScriptedDiscovery) -> Self {
        let one = Backend::start(|_| Reply::Bytes(ok("one"))).await;
        let two = Backend::start(|_| Reply::Bytes(ok("two"))).await;
        let both = [host("one", one.address, "up"), host("two", two.address, "up")];
        let mut config = config(discovery.address, &both);
        config["console"] = "127.0.0.1:0".into();
        let agent = Agent::with(config.clone(), |_| {}).await;
        Site { one, two, agent, config, reloads: 0 }
    }

    /// Gives the agent a new configuration, and waits until it is in force.
    async fn reload(&mut self) {
        self.agent.replace(&self.config.to_string());
        self.agent.hang_up().await;
        self.reloads += 1;
        let wanted = self.reloads;
        self.agent.until("svc.loads", |loads| loads == wanted).await;
    }

    async fn reload_with_discovery(&mut self, discovery: &ScriptedDiscovery) {
        self.config["discovery"] = discovery.address.to_string().into();
        self.reload().await;
    }

    /// A whole list of these of the two servers.
    fn list(&self, version: u64, servers: Servers) -> Value {
        let (one, two) = (host("one", self.one.address, "up"), host("two", self.two.address, "up"));
        let hosts = match servers {
            Servers::Both => vec![one, two],
            Servers::Second => vec![two],
        };
        json!({"seq": version, "whole": true, "hosts": hosts})
    }

    /// Waits until the list in force has these servers.
    async fn until_listed(&self, servers: Servers) {
        self.agent.until(KNOWN_SERVERS, |count| count == servers.count()).await;
    }

    /// Whether the list in force has both servers.
    async fn lists_both(&self) -> bool {
        self.agent.figure(KNOWN_SERVERS).await == Servers::Both.count()
    }
}

/// The figure of the servers in the list in force.
const KNOWN_SERVERS: &str = "svc.known_backends";

/// The servers of a list.
#[derive(Debug, Clone, Copy)]
enum Servers {
    Both,
    Second,
}

impl Servers {
    fn count(self) -> u64 {
        match self {
            Servers::Both => 2,
            Servers::Second => 1,
        }
    }
}

/// The call for the whole list that a reload causes.
async fn snapshot_call(discovery: &mut ScriptedDiscovery) -> DiscoveryCall {
    let call = discovery.next().await;
    assert_eq!(call.path, "/v1/endpoints");
    call
}

/// Guards against reloads that give up the call of the one before, so that no call lives long enough to be answered.
#[tokio::test]
async fn call_of_a_reload_is_left_alone_by_further_reloads() {
    let mut discovery = ScriptedDiscovery::start().await;
    let mut site = Site::start(&discovery).await;
    let watch = discovery.next().await;
    site.reload().await;
    let first = snapshot_call(&mut discovery).await;
    watch.until_cancelled().await;
    site.reload().await;
    let second = snapshot_call(&mut discovery).await;
    site.reload().await;
    let third = snapshot_call(&mut discovery).await;
    second.until_cancelled().await;
    assert!(first.is_open() && third.is_open());
    first.tell(&site.list(2, Servers::Second));
    site.until_listed(Servers::Second).await;
    // The next one is left alone from here on.
    site.reload().await;
    let fourth = snapshot_call(&mut discovery).await;
    site.reload().await;
    let fifth = snapshot_call(&mut discovery).await;
    fourth.until_cancelled().await;
    assert!(third.is_open() && fifth.is_open());
    third.tell(&site.list(3, Servers::Both));
    site.until_listed(Servers::Both).await;
}

/// A call that fails frees the way for the next one.
#[tokio::test]
async fn call_that_fails_or_is_cut_leaves_the_next_one_alone() {
    for fail in [DiscoveryCall::reset, |call: DiscoveryCall| call.refuse("503 Service Unavailable")] {
        let mut discovery = ScriptedDiscovery::start().await;
        let mut site = Site::start(&discovery).await;
        let _watch = discovery.next().await;
        site.reload().await;
        let first = snapshot_call(&mut discovery).await;
        site.reload().await;
        let second = snapshot_call(&mut discovery).await;
        fail(first);
        site.agent.until_logged("calls to discovery fail").await;
        site.reload().await;
        let third = snapshot_call(&mut discovery).await;
        site.reload().await;
        let fourth = snapshot_call(&mut discovery).await;
        third.until_cancelled().await;
        assert!(second.is_open() && fourth.is_open());
        second.refuse("503 Service Unavailable");
        fourth.tell(&site.list(2, Servers::Both));
        discovery.watch(2, &Value::Null).await;
    }
}

/// The answer to a later call is newer; one to an earlier call must not undo it, from the same or from the former address.
#[tokio::test]
async fn list_of_an_earlier_call_does_not_replace_that_of_a_later_one() {
    let (mut former, mut present) = (ScriptedDiscovery::start().await, ScriptedDiscovery::start().await);
    let mut site = Site::start(&former).await;
    let _watch = former.next().await;
    site.reload().await;
    let earlier = snapshot_call(&mut former).await;
    site.reload_with_discovery(&present).await;
    let later = snapshot_call(&mut present).await;
    assert!(earlier.is_open());
    later.tell(&site.list(1, Servers::Second));
    site.until_listed(Servers::Second).await;
    present.watch(1, &Value::Null).await;
    let old = site.list(9, Servers::Both);
    if earlier.is_open() {
        earlier.tell(&old);
    }
    sleep(Duration::from_millis(100)).await;
    assert!(!site.lists_both().await, "the older list came into force");
}

/// Discovery at two addresses in turn, each of which can be reached: the answer of the former one is used until the present one
/// answers, whose versions are its own.
#[tokio::test]
async fn call_to_a_former_address_is_left_alone_until_the_present_one_answers() {
    let (mut first, mut second) = (ScriptedDiscovery::start().await, ScriptedDiscovery::start().await);
    let mut site = Site::start(&first).await;
    let _watch = first.next().await;
    site.reload_with_discovery(&second).await;
    let at_second = snapshot_call(&mut second).await;
    site.reload_with_discovery(&first).await;
    let at_first = snapshot_call(&mut first).await;
    site.reload_with_discovery(&second).await;
    let again_at_second = snapshot_call(&mut second).await;
    at_first.until_cancelled().await;
    assert!(at_second.is_open() && again_at_second.is_open());
    at_second.tell(&site.list(50, Servers::Second));
    site.until_listed(Servers::Second).await;
    again_at_second.tell(&site.list(3, Servers::Second));
    second.watch(3, &Value::Null).await;
}

/// Answers all calls after this time, with this list.
fn answer_late(mut discovery: ScriptedDiscovery, delay: Duration, list: Value) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let call = discovery.next().await;
            let list = list.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                if call.is_open() {
                    call.tell(&list);
                }
            });
        }
    })
}

/// Guards against a list that is not in force 6 s after discovery had it, since reloads follow each other faster than discovery
/// answers: at one address, and at two in turn.
#[tokio::test]
async fn removal_is_obeyed_in_time_while_reloads_outpace_discovery() {
    for interval in [Duration::from_millis(300), Duration::from_millis(1_400)] {
        for moves in [false, true] {
            let discoveries = [ScriptedDiscovery::start().await, ScriptedDiscovery::start().await];
            let addresses = [discoveries[0].address, discoveries[1].address];
            let mut site = Site::start(&discoveries[0]).await;
            let list = site.list(2, Servers::Second);
            let _answering = discoveries
                .map(|discovery| answer_late(discovery, Duration::from_millis(1_500), list.clone()));
            let removed_at = Instant::now();
            let reloads = async {
                for round in 1.. {
                    if moves {
                        site.config["discovery"] = addresses[round % 2].to_string().into();
                    }
                    site.reload().await;
                    if !site.lists_both().await {
                        return;
                    }
                    sleep(interval).await;
                }
            };
            let told = timeout(TOLD_AFTER, reloads).await;
            assert!(
                told.is_ok(),
                "every {interval:?}, moves {moves}: not told after {:?}",
                removed_at.elapsed()
            );
        }
    }
}
