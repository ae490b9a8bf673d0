//! Requests that are not sound get an error and reach no server; sound ones in unusual forms are served. Each expected answer follows
//! from a sentence of RFC 9112, RFC 9110 or the platform's protocol, which stands beside its form in the table of the testbed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use testbed::request_forms::{
    forms, forms_with_body, generate, judge, Effect, Form, GeneratedRequest, Verdict,
};
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// The time in which a client is owed its error.
const ERROR_TIME: Duration = Duration::from_secs(3);

/// How the bytes of a form come.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Arrival {
    Alone,
    /// On a connection over which another request has been answered.
    BehindAnother,
    /// Together with a sound request before it.
    TogetherBehind,
    /// Together with a sound request after it.
    TogetherBefore,
    InPieces,
}

impl Arrival {
    const ALL: [Arrival; 5] = [
        Arrival::Alone,
        Arrival::BehindAnother,
        Arrival::TogetherBehind,
        Arrival::TogetherBefore,
        Arrival::InPieces,
    ];

    /// The number of writes for a form.
    fn pieces(self) -> usize {
        if self == Arrival::InPieces {
            12
        } else {
            1
        }
    }
}

/// The pause between the writes of a form that comes in pieces.
const PIECE_INTERVAL: Duration = Duration::from_millis(2);

/// Sends a form and returns its final answer's status; none if the connection ended with no answer.
async fn send(agent: &Agent, form: &Form, arrival: Arrival) -> Option<u16> {
    let mut client = agent.client().await;
    client.stream.set_nodelay(true).expect("an option");
    let before = request("GET", "/read/before", "1500m", "");
    let mut bytes = form.bytes.clone();
    match arrival {
        Arrival::Alone | Arrival::InPieces => {}
        Arrival::BehindAnother => {
            assert_eq!(client.ask(&before).await.status(), 200, "{}: the one before", form.rule);
        }
        Arrival::TogetherBehind => bytes.splice(..0, before.into_bytes()).for_each(drop),
        Arrival::TogetherBefore => bytes.extend(request("GET", "/read/after", "1500m", "").into_bytes()),
    }
    for (number, piece) in bytes.chunks(bytes.len() / arrival.pieces() + 1).enumerate() {
        if number > 0 {
            sleep(PIECE_INTERVAL).await;
        }
        // The agent may have refused it already.
        let _ = client.stream.write_all(piece).await;
    }
    let statuses = if arrival == Arrival::TogetherBehind { 2 } else { 1 };
    let status = timeout(ERROR_TIME, client.nth_final_status(statuses)).await;
    status.unwrap_or_else(|_| panic!("{} {arrival:?}: neither an answer nor a close", form.rule))
}

async fn echo_agent() -> (Agent, Backend, Directory) {
    let backend = Backend::start(|m| Reply::Bytes(ok(&String::from_utf8_lossy(&m.body)))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    // Enough for all forms.
    config["settings"]["parties"][0]["allowancePerS"] = 100_000.0.into();
    let agent = Agent::with(config, |_| {}).await;
    agent.ready().await;
    (agent, backend, directory)
}

/// Sends a form, and says what is wrong with what the agent made of it.
async fn try_form(agent: &Agent, backend: &mut Backend, form: &Form, arrival: Arrival) -> Option<String> {
    let status = send(agent, form, arrival).await;
    let (_, mut begun) = backend.record();
    begun.retain(|path| !path.starts_with("/read/before"));
    let what = format!("{} {:?} {arrival:?}: {status:?}", form.rule, form.effect);
    match form.is_sound {
        true => (status != Some(200)).then_some(what),
        false if !begun.is_empty() => Some(format!("{what}, a server got {begun:?}")),
        false => (!is_error(status)).then_some(what),
    }
}

/// Sends the forms of all effects that are sound, or that are not, in each way, and says what is wrong with what the agent made of them.
async fn try_forms(is_sound: bool) -> Vec<String> {
    let (agent, mut backend, _directory) = echo_agent().await;
    let mut wrong = Vec::new();
    for effect in Effect::ALL {
        for arrival in Arrival::ALL {
            let forms = forms(effect, &format!("{effect:?}-{arrival:?}"));
            for form in forms.iter().filter(|form| form.is_sound == is_sound) {
                let is_split = arrival == Arrival::InPieces && form.in_one_write;
                let is_joined = arrival == Arrival::TogetherBefore && form.in_one_write;
                if !is_split && !is_joined {
                    wrong.extend(try_form(&agent, &mut backend, form, arrival).await);
                }
            }
        }
    }
    wrong
}

/// Guards against requests that are answered as served, or reach a server, although they are not sound.
#[tokio::test]
async fn unsound_request_gets_an_error_and_reaches_no_server() {
    let wrong = try_forms(false).await;
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// The opposite: strictness costs no sound request.
#[tokio::test]
async fn sound_request_in_an_unusual_form_is_served() {
    let wrong = try_forms(true).await;
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// The same with bodies that are empty, nearly as long as is buffered, and streamed.
#[tokio::test]
async fn forms_with_bodies_of_any_length_are_told_apart() {
    let (agent, mut backend, _directory) = echo_agent().await;
    let mut wrong = Vec::new();
    for effect in [Effect::Keyed, Effect::Unsafe] {
        for length in [0, 60_000, 200_000] {
            for form in forms_with_body(effect, &format!("{effect:?}-{length}"), length) {
                let tried = try_form(&agent, &mut backend, &form, Arrival::Alone).await;
                wrong.extend(tried.map(|what| format!("{length} bytes: {what}")));
            }
        }
    }
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// The number of requests that are drawn.
const GENERATED_REQUESTS: usize = 4_000;
/// A client that waits for longer than this is served.
const SERVED_TIMEOUT_SECONDS: f64 = 0.5;

/// Sends a drawn request alone, and says what is wrong with what the agent made of it by the reference grammar.
async fn try_generated(
    agent: &Agent,
    backend: &mut Backend,
    generated: &GeneratedRequest,
) -> Option<(Verdict, Option<u16>)> {
    let (bytes, verdict) = (generated.bytes(), judge(&generated.bytes()));
    if verdict == Verdict::Incomplete {
        return None;
    }
    let mut client = agent.client().await;
    // The agent may have refused it already.
    let _ = client.stream.write_all(&bytes).await;
    let status = timeout(ERROR_TIME, client.nth_final_status(1)).await.unwrap_or(Some(0));
    let (_, begun) = backend.record();
    let is_right = match verdict {
        Verdict::Sound { timeout_seconds } if timeout_seconds > SERVED_TIMEOUT_SECONDS => status == Some(200),
        Verdict::Sound { .. } => status.is_some(),
        Verdict::Unsound(_) => begun.is_empty() && is_error(status),
        Verdict::Incomplete => true,
    };
    (!is_right).then_some((verdict, status))
}

/// Guards against leniencies, and refusals of sound requests, that no row of the table names: sound requests with up to three changes
/// are answered as the reference grammar says.
#[tokio::test]
async fn generated_requests_are_answered_as_the_reference_grammar_says() {
    let (agent, mut backend, _directory) = echo_agent().await;
    let mut random = fastrand::Rng::with_seed(71);
    let mut wrong = Vec::new();
    for _ in 0..GENERATED_REQUESTS {
        let mut generated = generate(&mut random);
        let Some(mut found) = try_generated(&agent, &mut backend, &generated).await else { continue };
        while let Some((smaller, smaller_found)) =
            still_wrong(&agent, &mut backend, generated.smaller(&mut random)).await
        {
            (generated, found) = (smaller, smaller_found);
        }
        wrong.push(format!("{found:?}: {}", generated.bytes().escape_ascii()));
    }
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// The first of these requests for which the agent is still wrong; none if there is no such.
async fn still_wrong(
    agent: &Agent,
    backend: &mut Backend,
    candidates: Vec<GeneratedRequest>,
) -> Option<(GeneratedRequest, (Verdict, Option<u16>))> {
    for smaller in candidates {
        if let Some(found) = try_generated(agent, backend, &smaller).await {
            return Some((smaller, found));
        }
    }
    None
}

/// A server that answers a request once its body is whole, and counts those.
async fn whole_body_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let whole = Arc::new(AtomicUsize::new(0));
    let count = whole.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while !is_whole(&bytes) {
                    if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
                        return;
                    }
                }
                count.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(&ok("x")).await;
            });
        }
    });
    (address, whole)
}

/// Whether these are a whole request.
fn is_whole(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
    match length {
        Some(length) => bytes.len() - end - 4 >= length,
        None => bytes.ends_with(b"\r\n0\r\n\r\n"),
    }
}

/// Guards against long bodies that break off or end in an invalid chunk and are answered as if trying again were harmless.
#[tokio::test]
async fn long_unsound_body_gets_an_error() {
    let (server, whole) = whole_body_server().await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", server, "up")]).await;
    agent.ready().await;
    let head = |framing: &str| request("POST", "/pay", "1500m", "").replace("Content-Length: 0", framing);
    let chunk = format!("{:x}\r\n{}\r\n", 90_000, "b".repeat(90_000));
    let cases = [
        ("a bad chunk", head("Transfer-Encoding: chunked") + &chunk + "zz\r\n", false),
        ("a bad last chunk", head("Transfer-Encoding: chunked") + &chunk + "0\r\nbad trailer\r\n\r\n", false),
        ("a length that is not reached", head("Content-Length: 100000") + &"b".repeat(90_000), true),
        ("chunks that break off", head("Transfer-Encoding: chunked") + &chunk, true),
    ];
    let mut wrong = Vec::new();
    for (name, text, closes) in cases {
        let mut client = agent.client().await;
        client.send(&text).await;
        if closes {
            // It has sent all that it will.
            sleep(Duration::from_millis(50)).await;
            client.stream.shutdown().await.expect("it is open");
        }
        let status = timeout(ERROR_TIME, client.nth_final_status(1)).await.expect("an answer or a close");
        // A client that has closed its side has gone away, by the platform's protocol.
        if !(status == Some(400) || closes && status.is_none()) {
            wrong.push(format!("{name}: {status:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert_eq!(whole.load(Ordering::SeqCst), 0, "whole requests at the server");
}
