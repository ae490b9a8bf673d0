//! A watch dies, and what comes after it: a discovery that begins anew with older versions, lists in pieces and indented,
//! entries that make no sense, changes of what nobody knows, and drains that begin the moment it is back.

use rig::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// A call to discovery that the test answers, byte for byte.
struct Call {
    path: String,
    answer: oneshot::Sender<Option<Vec<u8>>>,
}

impl Call {
    /// Answers it with a list, indented and in pieces of a few bytes.
    fn tell(self, list: &Value) {
        let body = serde_json::to_string_pretty(list).expect("JSON").replace('\n', "\r\n\t ");
        self.answer.send(Some(ok(&body))).expect("it waits");
    }

    /// Resets its connection.
    fn reset(self) {
        self.answer.send(None).expect("it waits");
    }
}

/// Discovery whose every word is the test's.
struct Discovery {
    address: SocketAddr,
    calls: mpsc::Receiver<Call>,
}

impl Discovery {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, calls) = mpsc::channel(64);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("an option");
                let tell = tell.clone();
                tokio::spawn(async move {
                    while let Some(message) = read_message(&mut stream, 0).await {
                        let (answer, answered) = oneshot::channel();
                        let call = Call { path: message.target().to_owned(), answer };
                        if tell.send(call).await.is_err() {
                            return;
                        }
                        let Ok(Some(bytes)) = answered.await else {
                            stream.set_zero_linger().expect("an option");
                            return;
                        };
                        for piece in bytes.chunks(7) {
                            if stream.write_all(piece).await.is_err() {
                                return;
                            }
                            tokio::task::yield_now().await;
                        }
                    }
                });
            }
        });
        Discovery { address, calls }
    }

    async fn next(&mut self) -> Call {
        soon("a call to discovery", self.calls.recv()).await.expect("a call")
    }

    /// The next watch of what is newer than this version; calls for the whole list beside it get `whole`.
    async fn watch(&mut self, after: u64, whole: &Value) -> Call {
        loop {
            let call = self.next().await;
            if call.path.contains(&format!("after={after}&")) {
                return call;
            }
            assert_eq!(call.path, "/v1/endpoints", "a watch of another version");
            call.tell(whole);
        }
    }
}

/// All watches are reset just before drains begin: the first calls to the discovery that is back meet a reset, a change of
/// a list that nobody has, and then a whole list of a lower version than before, with an entry that makes no sense. A drain
/// that it tells next is obeyed at once, in each of a few turns.
#[tokio::test]
async fn a_drain_is_obeyed_at_once_when_discovery_has_begun_anew() {
    let mut servers = [
        Backend::start(|_| Reply::Bytes(ok("one"))).await,
        Backend::start(|_| Reply::Bytes(ok("two"))).await,
    ];
    let [one, two] = [servers[0].address, servers[1].address];
    let mut discovery = Discovery::start().await;
    let both = [host("one", one, "up"), host("two", two, "up")];
    let mut config = config(discovery.address, &both);
    config["known"]["seq"] = 50.into();
    let agent = Agent::with(config, |_| {}).await;
    let list = |seq: u64, whole: bool, hosts: Vec<Value>| json!({"seq": seq, "whole": whole, "hosts": hosts});
    let mut watch = discovery.watch(50, &list(50, true, both.to_vec())).await;
    let mut known = 50;
    for turn in 0..6_usize {
        let (drains, stays) = [("one", "two"), ("two", "one")][turn % 2];
        watch.reset();
        let odd = json!({"host": "odd", "health": "asleep"});
        let whole = list(2, true, vec![both[0].clone(), odd, both[1].clone()]);
        // It has begun anew, and knows no version that the agent asks after: what it tells is a change of a list that
        // nobody else has.
        let call = discovery.watch(known, &whole).await;
        call.tell(&list(1, false, vec![host("one", one, "removed"), host("two", two, "removed")]));
        // So the agent asks for all of it, and what it is told first is no whole list.
        let call = discovery.next().await;
        assert_eq!(call.path, "/v1/endpoints", "turn {turn}");
        call.tell(&list(1, false, vec![host("one", one, "removed")]));
        // That call has failed, and the agent asks again as after any failure.
        let call = discovery.next().await;
        call.tell(&whole);
        let call = discovery.watch(2, &whole).await;
        // Both are still there: the change of nobody's list was not taken in.
        assert_eq!(agent.get("/read").await.status(), 200);
        let address = if drains == "one" { one } else { two };
        call.tell(&list(3, false, vec![host(drains, address, "draining")]));
        // The next watch shows that it has been taken in.
        watch = discovery.watch(3, &whole).await;
        known = 3;
        for server in &mut servers {
            while server.seen.try_recv().is_ok() {}
        }
        for _ in 0..40 {
            let answer = agent.get("/read").await;
            assert_eq!(String::from_utf8_lossy(&answer.body), stays, "turn {turn}");
        }
        assert!(servers[turn % 2].seen.try_recv().is_err(), "turn {turn}: it was sent something new");
    }
    assert_eq!(agent.logged("\"odd\": its health is \"asleep\""), 1, "told once");
}
