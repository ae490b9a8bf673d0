//! Bytes that come behind a request in a write of their own. If they can begin no request, the request is not sound and gets an error,
//! for as long as its response has not begun; if they can, nothing changes.

use std::time::Duration;
use testbed::request_forms::{forms, forms_with_body, judge, Effect, Form, Verdict};
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The time that the server takes for a response; an error that comes earlier does not wait for it.
const SERVER_TIME: Duration = Duration::from_millis(600);
/// The pauses between a request and the bytes behind it.
const PAUSES: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_micros(100),
    Duration::from_millis(1),
    Duration::from_millis(5),
    Duration::from_millis(100),
];
/// The time in which an agent refuses what cannot be served.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// The number of connections at one time.
const CONCURRENT: usize = 20;

/// An agent and a server that answers after this time.
async fn agent_with_server(time: Duration) -> (Agent, Backend, Directory) {
    let backend = Backend::answering_after(time, ok("x")).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = patient_config(directory.address, &[host("s", backend.address, "up")]);
    config["settings"]["parties"][0]["allowancePerS"] = 100_000.0.into();
    let agent = Agent::with(config, |_| {}).await;
    agent.ready().await;
    (agent, backend, directory)
}

/// The forms that show by the bytes behind them, of clients that wait for long.
fn forms_with_bytes_behind(effect: Effect, id: &str, is_sound: bool) -> Vec<Form> {
    let forms = forms(effect, id).into_iter();
    forms.filter(|form| form.bytes_behind > 0 && form.is_sound == is_sound).map(Form::patient).collect()
}

/// Writes a form with a pause before the bytes behind its request, and returns the status of its answer and how long after the last
/// write it came; none if the connection ended with no answer.
async fn send_in_two_writes(mut client: Client, form: &Form, pause: Duration) -> (Option<u16>, Duration) {
    client.stream.set_nodelay(true).expect("an option");
    let (request, behind) = form.bytes.split_at(form.bytes.len() - form.bytes_behind);
    client.stream.write_all(request).await.expect("the agent reads");
    if !pause.is_zero() {
        sleep(pause).await;
    }
    // The agent may have refused it already.
    let _ = client.stream.write_all(behind).await;
    let written = Instant::now();
    let answer = timeout(LONG, read_message(&mut client.stream, 0)).await.expect("an answer or a close");
    (answer.map(|answer| answer.status()), written.elapsed())
}

/// Guards against requests that are forwarded, and kept waiting or answered as served, although bytes right behind them show that they
/// are not sound.
#[tokio::test]
async fn unsound_bytes_in_a_second_write_get_an_error_while_the_request_is_open() {
    let (agent, _backend, _directory) = agent_with_server(SERVER_TIME).await;
    let mut wrong = Vec::new();
    for pause in PAUSES {
        for effect in Effect::ALL {
            let id = format!("{effect:?}-{}", pause.as_micros());
            let mut sending = JoinSet::new();
            for form in forms_with_bytes_behind(effect, &id, false) {
                let client = agent.client().await;
                sending.spawn(async move {
                    let (status, took) = send_in_two_writes(client, &form, pause).await;
                    let is_refused = status == Some(400) && took < REFUSAL_TIME;
                    (!is_refused)
                        .then(|| format!("{} {effect:?} {pause:?}: {status:?} after {took:?}", form.rule))
                });
            }
            while let Some(sent) = sending.join_next().await {
                wrong.extend(sent.expect("it does not fail"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
    assert!(agent.logged("reason=FollowingBytes") > 0, "no line in the log");
}

/// The same for bodies of any length, declared and chunked.
#[tokio::test]
async fn unsound_bytes_behind_a_body_get_an_error_while_the_request_is_open() {
    let (agent, _backend, _directory) = agent_with_server(SERVER_TIME).await;
    let mut wrong = Vec::new();
    for length in [5, 60_000, 200_000, 600_000] {
        for effect in [Effect::Keyed, Effect::Unsafe] {
            for is_chunked in [false, true] {
                let id = format!("{effect:?}-{length}-{is_chunked}");
                let form = form_with_line_behind(effect, &id, length, is_chunked);
                let client = agent.client().await;
                let (status, took) = send_in_two_writes(client, &form, Duration::from_millis(20)).await;
                if status != Some(400) || took >= REFUSAL_TIME {
                    wrong
                        .push(format!("{effect:?} {length} chunked {is_chunked}: {status:?} after {took:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// A request with a body of this length and a line behind it that begins no request.
fn form_with_line_behind(effect: Effect, id: &str, length: usize, is_chunked: bool) -> Form {
    const LINE: &[u8] = b"not a request\r\n";
    let rule = "9112 6.3: bytes behind a request begin the next one";
    let sound =
        forms_with_body(effect, id, length).into_iter().find(|form| form.rule == "protocol: its example");
    let mut form = sound.expect("the example").patient();
    if is_chunked {
        let text = String::from_utf8(form.bytes).expect("text");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        let head = head.replace(&format!("Content-Length: {length}"), "Transfer-Encoding: chunked");
        form.bytes = format!("{head}\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n").into_bytes();
    }
    form.bytes.extend_from_slice(LINE);
    Form { rule, is_sound: false, bytes_behind: LINE.len(), ..form }
}

/// Guards against attempts that begin although bytes behind the request have shown that it is not sound: while it waits for a server,
/// and after an attempt that failed.
#[tokio::test]
async fn no_attempt_begins_after_unsound_bytes() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = |health: &str| vec![host("s", backend.address, health)];
    directory.list(1, &hosts("draining"));
    let agent = Agent::with(patient_config(directory.address, &hosts("draining")), |_| {}).await;
    let mut sending = JoinSet::new();
    for effect in Effect::ALL {
        for form in forms_with_bytes_behind(effect, &format!("{effect:?}"), false) {
            let client = agent.client().await;
            sending.spawn(async move { send_in_two_writes(client, &form, Duration::from_millis(20)).await });
        }
    }
    while let Some(sent) = sending.join_next().await {
        let (status, took) = sent.expect("it does not fail");
        assert!(status == Some(400) && took < REFUSAL_TIME, "{status:?} after {took:?}");
    }
    directory.list(2, &hosts("up"));
    agent.ready().await;
    assert_eq!(agent.get("/read/sentinel").await.status(), 200);
    let (_, begun) = backend.record();
    assert!(begun.iter().all(|path| path.contains("sentinel")), "{begun:?}");
}

/// Guards against a second attempt for a request that has been refused meanwhile.
#[tokio::test]
async fn request_that_is_refused_during_an_attempt_has_no_further_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (begin, mut begun) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let begin = begin.clone();
            tokio::spawn(async move {
                let request = read_message(&mut stream, 0).await.expect("a request");
                let _ = begin.send(request.target().to_owned());
                // Long enough for the bytes behind the request; then the connection breaks.
                sleep(Duration::from_millis(150)).await;
                let _ = stream.set_zero_linger();
            });
        }
    });
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", address, "up")]).await;
    agent.ready().await;
    for form in forms_with_bytes_behind(Effect::Safe, "attempt", false) {
        while begun.try_recv().is_ok() {}
        let client = agent.client().await;
        let (status, _) = send_in_two_writes(client, &form, Duration::from_millis(50)).await;
        sleep(SERVER_TIME).await;
        let attempts = std::iter::from_fn(|| begun.try_recv().ok()).count();
        assert!(status == Some(400) && attempts <= 1, "{}: {status:?}, {attempts} attempts", form.rule);
    }
}

/// An unsafe request that a server may have executed is not executed again under its id.
#[tokio::test]
async fn id_of_a_refused_unsafe_request_stays_claimed() {
    let (agent, mut backend, _directory) = agent_with_server(SERVER_TIME).await;
    let form = form_with_line_behind(Effect::Unsafe, "claimed", 5, false);
    let (status, _) = send_in_two_writes(agent.client().await, &form, Duration::from_millis(50)).await;
    assert_eq!(status, Some(400));
    assert_eq!(backend.record().1.len(), 1, "the attempt had begun");
    let request = &form.bytes[..form.bytes.len() - form.bytes_behind];
    let mut client = agent.client().await;
    client.stream.write_all(request).await.expect("the agent reads");
    assert_eq!(client.answer().await.status(), 409);
    assert_eq!(backend.record().1.len(), 0, "sent again");
}

/// The opposite: bytes that begin the next request cost neither of the two, wherever they are divided.
#[tokio::test]
async fn next_request_in_pieces_behind_an_open_one_is_served() {
    let (agent, _backend, _directory) = agent_with_server(Duration::from_millis(20)).await;
    let second_as =
        |number: usize| request_as(&format!("second-{number:03}"), "POST", "/save/second", "10000m", "body");
    let mut sending = JoinSet::new();
    for divided_at in 0..=second_as(0).len() {
        if sending.len() == CONCURRENT {
            sending.join_next().await.expect("one").expect("both are served");
        }
        let mut client = agent.client().await;
        let first = request_as(&format!("first-{divided_at}"), "GET", "/read/first", "10000m", "");
        let second = second_as(divided_at);
        sending.spawn(async move {
            client.stream.set_nodelay(true).expect("an option");
            let (begin, rest) = second.split_at(divided_at);
            client.send(&(first + begin)).await;
            sleep(Duration::from_millis(2)).await;
            client.send(rest).await;
            assert_eq!(client.answer().await.status(), 200, "divided at {divided_at}");
            assert_eq!(client.answer().await.status(), 200, "divided at {divided_at}");
        });
    }
    while let Some(sent) = sending.join_next().await {
        sent.expect("both are served");
    }
}

/// The same for each sound form behind which bytes come.
#[tokio::test]
async fn sound_bytes_in_a_second_write_cost_nothing() {
    let (agent, _backend, _directory) = agent_with_server(Duration::from_millis(20)).await;
    for pause in PAUSES {
        for effect in Effect::ALL {
            let id = format!("{effect:?}-{}", pause.as_micros());
            for form in forms_with_bytes_behind(effect, &id, true) {
                let (status, _) = send_in_two_writes(agent.client().await, &form, pause).await;
                assert_eq!(status, Some(200), "{} {effect:?} {pause:?}", form.rule);
            }
        }
    }
}

fn has_whole_head(bytes: &[u8]) -> bool {
    bytes.windows(4).any(|window| window == b"\r\n\r\n")
}

/// Guards against requests that differ at the server from what the client sent: whatever the agent sends for a sound form is sound.
#[tokio::test]
async fn servers_get_only_sound_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, mut verdicts) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let tell = tell.clone();
            tokio::spawn(async move {
                loop {
                    let mut bytes = Vec::new();
                    while !has_whole_head(&bytes) || judge(&bytes) == Verdict::Incomplete {
                        if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
                            return;
                        }
                    }
                    let _ = tell.send((judge(&bytes), bytes.escape_ascii().to_string()));
                    let _ = stream.write_all(&ok("x")).await;
                }
            });
        }
    });
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", address, "up")]);
    config["settings"]["parties"][0]["allowancePerS"] = 100_000.0.into();
    let agent = Agent::with(config, |_| {}).await;
    agent.ready().await;
    let mut wrong = Vec::new();
    for effect in Effect::ALL {
        for form in forms(effect, &format!("{effect:?}")) {
            let mut client = agent.client().await;
            // The agent may refuse it before all of it is written.
            let _ = client.stream.write_all(&form.bytes).await;
            let _ = timeout(REFUSAL_TIME, read_message(&mut client.stream, 0)).await;
            while let Ok((verdict, bytes)) = verdicts.try_recv() {
                if !matches!(verdict, Verdict::Sound { .. }) {
                    wrong.push(format!("{}: {verdict:?}: {bytes}", form.rule));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}
