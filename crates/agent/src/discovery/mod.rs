//! The server list: reading it, watching it, asking for the whole of it.
//!
//! When to begin a watch and when to ask again after a failure is the balancer's to say
//! ([`micasail::Action::Follow`], [`micasail::Action::FetchList`]); a watch once begun is kept up here.

use crate::driver::Driver;
use crate::prompt::prompt;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// How long a watch of a service for all waits for news. Short enough that a mute discovery is found out soon.
const WAIT: Duration = Duration::from_millis(5_000);
/// A call that has said nothing this long after it should have is mute: discovery is down or cut off.
const MUTE: Duration = Duration::from_millis(2_500);
/// What a mute watch has missed counts as told this long after its wait (the platform's page), and nothing may go to a
/// server that leaves once its grace is over after that.
const TOLD: Duration = Duration::from_millis(2_000);
/// Of that time this is kept for asking anew: the pause before it (300 ms at most), the look at timers (50 ms), and the
/// answer of a service that works through its calls in turn.
const ANEW: Duration = Duration::from_millis(1_000);
/// A discovery on this machine answers at once and at no cost, and what it has counts as told whether or not it was
/// asked. So it is asked often: a wait and the patience with it are this part of the grace each, within these bounds.
const PUSHED_PART: u32 = 4;
const PUSHED_LEAST: Duration = Duration::from_millis(60);
const PUSHED_MOST: Duration = Duration::from_millis(500);
/// And asked again this soon after a failure.
const PUSHED_PAUSE: Duration = Duration::from_millis(50);
/// The longest list that is read.
const LIST_MOST: usize = 4 << 20;

/// A server list or a change of one, as discovery words it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// It is the whole list, not only what has changed.
    pub whole: bool,
    /// Its entries.
    pub hosts: Vec<Host>,
    /// Entries that make no sense: which, and why.
    pub left_out: Vec<String>,
}

/// One server.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Its name, the same at every agent.
    pub name: String,
    /// Where this agent reaches it; an entry of a removed server may lack it.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    pub site: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub block: u32,
    /// What it says of its health.
    pub health: Health,
    /// Its weight.
    pub share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// Whether a server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Removed,
}

/// The longest name that is told.
const TOLD_MOST: usize = 64;

/// Reads a list. An entry that makes no sense is left out, and its reason kept: one bad line must not cost the others,
/// and a list of bad lines must not look like an empty one.
pub fn parse_list(value: &Value) -> Option<List> {
    let hosts = value.get("hosts")?.as_array()?;
    let (mut good, mut left_out) = (Vec::with_capacity(hosts.len()), Vec::new());
    for (place, host) in hosts.iter().enumerate() {
        match parse_host(host) {
            Ok(host) => good.push(host),
            Err(why) => {
                let name = host.get("host").and_then(Value::as_str).filter(|name| !name.is_empty());
                let name = name.map(|name| name.chars().take(TOLD_MOST).collect::<String>());
                let name = name.map_or_else(|| format!("entry {place}"), |name| format!("{name:?}"));
                left_out.push(format!("{name}: {why}"));
            }
        }
    }
    Some(List {
        seq: value.get("seq")?.as_u64()?,
        whole: value.get("whole").and_then(Value::as_bool).unwrap_or(false),
        hosts: good,
        left_out,
    })
}

fn parse_host(value: &Value) -> Result<Host, String> {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let health = match text("health").ok_or("has no health")? {
        "up" => Health::Up,
        "draining" => Health::Draining,
        "removed" => Health::Removed,
        other => {
            let other: String = other.chars().take(TOLD_MOST).collect();
            return Err(format!("its health is {other:?}; up, draining or removed was expected"));
        }
    };
    let name = text("host").filter(|name| !name.is_empty()).ok_or("has no name")?.to_owned();
    let dial = text("dial").and_then(|d| d.parse().ok());
    if dial.is_none() && health == Health::Up {
        let dial: String = text("dial").unwrap_or_default().chars().take(TOLD_MOST).collect();
        return Err(format!("its dial is {dial:?}; an address such as \"10.0.0.1:80\" was expected"));
    }
    Ok(Host {
        name,
        dial,
        site: text("site").unwrap_or_default().to_owned(),
        kind: text("class").unwrap_or_default().to_owned(),
        block: value.get("block").and_then(Value::as_u64).and_then(|b| u32::try_from(b).ok()).unwrap_or(0),
        health,
        share: value.get("share").and_then(Value::as_f64).unwrap_or(1.0),
        born_ms: value.get("born_ms").and_then(Value::as_f64).unwrap_or(0.0),
    })
}

/// How discovery is to be asked, by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Manner {
    /// A watch waits for news for so long.
    wait: Duration,
    /// A watch that has said nothing so long after its wait is mute.
    watch_mute: Duration,
    /// Any other call that has said nothing for so long.
    mute: Duration,
    /// After a failure it is asked again this soon; none where the decisions say when, for it is one service for all.
    again: Option<Duration>,
}

impl Manner {
    /// By how lists come and how long sends to a server that leaves may go on.
    pub fn new(lists: micasail::Discovery, grace: Duration) -> Self {
        match lists {
            micasail::Discovery::OnRequest => {
                let watch_mute = (TOLD + grace).saturating_sub(ANEW).min(MUTE);
                Manner { wait: WAIT, watch_mute, mute: MUTE, again: None }
            }
            micasail::Discovery::Pushed => {
                let part = (grace / PUSHED_PART).clamp(PUSHED_LEAST, PUSHED_MOST);
                Manner { wait: part, watch_mute: part, mute: part, again: Some(PUSHED_PAUSE) }
            }
        }
    }
}

/// The calls to discovery; at most one watch and one call for the whole list at a time.
pub struct Discovery {
    address: SocketAddr,
    manner: Manner,
    watch: Option<JoinHandle<()>>,
    fetch: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Knows where discovery is; calls nobody yet.
    pub fn new(address: SocketAddr, manner: Manner) -> Self {
        Discovery { address, manner, watch: None, fetch: None }
    }

    /// Where discovery is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// It is asked like this from its next call on.
    pub fn retune(&mut self, manner: Manner) {
        self.manner = manner;
    }

    /// Whether nobody else says when a watch begins.
    pub fn follows_by_itself(&self) -> bool {
        self.manner.again.is_some()
    }

    /// Discovery has moved: calls to the old address, and their connections, end.
    pub fn relocate(&mut self, address: SocketAddr) {
        self.address = address;
        for call in [self.watch.take(), self.fetch.take()].into_iter().flatten() {
            call.abort();
        }
    }

    /// Begins a watch for what is newer than `seq`, or ends the one there is. With no `seq` it begins with the
    /// whole list.
    pub fn follow(&mut self, driver: &Rc<Driver>, active: bool, seq: Option<u64>) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if active {
            let watch = watch(self.address, self.manner, driver.clone(), seq);
            self.watch = Some(tokio::task::spawn_local(watch));
        }
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self, driver: &Rc<Driver>) {
        if self.fetch.as_ref().is_some_and(|f| !f.is_finished()) {
            return;
        }
        let (address, mute, driver) = (self.address, self.manner.mute, driver.clone());
        self.fetch = Some(tokio::task::spawn_local(async move {
            let mut connection = None;
            driver.listed(call(address, &mut connection, "/v1/endpoints", mute).await);
        }));
    }
}

/// Calls again as soon as the last call is answered, until one fails: then the watch is over, the balancer is
/// told, and begins another when it sees fit. Only what costs nobody anything is asked again from here.
async fn watch(address: SocketAddr, manner: Manner, driver: Rc<Driver>, mut seq: Option<u64>) {
    let mut connection = None;
    loop {
        let (path, within) = match seq {
            Some(seq) => {
                let wait = manner.wait;
                let path = format!("/v1/endpoints?after={seq}&wait_ms={}", wait.as_millis());
                (path, wait + manner.watch_mute)
            }
            None => ("/v1/endpoints".to_owned(), manner.mute),
        };
        // A change is one of a list that is known; as a first answer it would say nothing of the others.
        let answer = call(address, &mut connection, &path, within).await.filter(|l| seq.is_some() || l.whole);
        // A lower version than the one that is known is of a service that has begun anew: its changes are of a list that
        // nobody here has, and what it told before them would be missed for good. So the whole of it is asked for.
        let anew = |list: &List| !list.whole && seq.is_some_and(|known| list.seq < known);
        if answer.as_ref().is_some_and(anew) {
            seq = None;
            continue;
        }
        // After a failure too, where it is asked again from here.
        seq = answer.as_ref().map(|list| list.seq);
        let failed = answer.is_none();
        match (failed, manner.again) {
            (true, Some(pause)) => tokio::time::sleep(pause).await,
            _ => driver.listed(answer),
        }
        if failed && manner.again.is_none() {
            return;
        }
    }
}

type Connection = (SendRequest<Empty<Bytes>>, Ended);

/// Ends a connection's task with its last user.
struct Ended(JoinHandle<()>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One call; `None` if it failed in any way. The connection is kept for the next call only if all went well.
async fn call(
    address: SocketAddr,
    kept: &mut Option<Connection>,
    path: &str,
    within: Duration,
) -> Option<List> {
    let mut connection = kept.take();
    let exchange = async {
        if connection.as_mut().is_none_or(|(sender, _)| sender.is_closed()) {
            let stream = TcpStream::connect(address).await.ok()?;
            prompt(&stream);
            let (sender, driven) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::task::spawn_local(async move {
                // Its end shows at the sender.
                let _ = driven.await;
            });
            connection = Some((sender, Ended(task)));
        }
        let (sender, _) = connection.as_mut()?;
        sender.ready().await.ok()?;
        let request = Request::get(path).header("host", address.to_string()).body(Empty::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
        parse_list(&serde_json::from_slice(&body).ok()?)
    };
    // A cut-off discovery leaves its connection open and mute: no answer in time is a failure like any other.
    let answer = tokio::time::timeout(within, exchange).await.ok().flatten();
    if answer.is_some() {
        *kept = connection;
    }
    answer
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// The platform's clocks at their worst phase, for graces from none to long: a watch that fell silent as it began.
    #[test]
    fn a_mute_watch_is_over_before_what_it_missed_has_to_be_obeyed() {
        for ms in [0, 50, 250, 1_000, 2_000, 10_000] {
            let grace = Duration::from_millis(ms);
            let asked = Manner::new(micasail::Discovery::OnRequest, grace);
            let told = asked.wait + TOLD;
            assert!(asked.wait + asked.watch_mute + ANEW <= told + grace, "{ms}: {asked:?}");
            assert!(asked.watch_mute >= Duration::from_millis(1_000), "{ms}: a busy service is given time");
            let pushed = Manner::new(micasail::Discovery::Pushed, grace);
            let late = pushed.wait + pushed.watch_mute + PUSHED_PAUSE;
            // What is pushed counts at once; each time limit on sockets is 50 ms longer.
            assert!(late <= grace + Duration::from_millis(50) || ms < 150, "{ms}: {pushed:?}");
        }
    }

    #[test]
    fn entries_without_sense_are_left_out_and_unknown_fields_skipped() {
        let list = parse_list(&json!({"seq": 7, "whole": true, "novel": 1, "hosts": [
            {"host": "a", "dial": "127.0.0.1:1", "site": "x", "health": "up", "born_ms": 5.0, "novel": {}},
            {"host": "b", "dial": "nowhere", "health": "up"},
            {"host": "c", "dial": "127.0.0.1:1", "health": "asleep"},
            {"host": 4, "dial": "127.0.0.1:1", "health": "up"},
            {"host": "d", "health": "removed", "block": -3},
            "e"]}))
        .expect("a list");
        let names: Vec<&str> = list.hosts.iter().map(|h| h.name.as_str()).collect();
        assert_eq!(names, ["a", "d"]);
        assert_eq!((list.seq, list.whole), (7, true));
        assert_eq!(list.hosts[0].born_ms, 5.0);
        assert_eq!(
            list.left_out,
            [
                "\"b\": its dial is \"nowhere\"; an address such as \"10.0.0.1:80\" was expected",
                "\"c\": its health is \"asleep\"; up, draining or removed was expected",
                "entry 3: has no name",
                "entry 5: has no health",
            ]
        );
    }

    #[test]
    fn what_is_no_list_is_none() {
        for value in [json!(null), json!([]), json!({"seq": 1}), json!({"seq": "1", "hosts": []})] {
            assert_eq!(parse_list(&value), None, "{value}");
        }
    }
}
