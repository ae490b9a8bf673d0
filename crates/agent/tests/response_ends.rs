//! Which responses are passed on beyond their request's deadline, and which are ended: drawn with a fixed seed, in both directions.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::paced_server::{
    paced_server, pattern, read_whole, Framing, Piece, ResponseError, ResponseScript,
};
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The time after its due time from which an answer counts as lost.
const LATE: Duration = Duration::from_millis(500);
/// The silence of its server after which a long response ends (docs/operate/day-to-day.md).
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// The time for which a process may be held up.
const MAX_STALL: Duration = Duration::from_millis(150);
/// The longest deadline of the test's settings.
const LONGEST_DEADLINE: Duration = Duration::from_millis(2_500);
/// The time after that and SIGTERM at which SIGKILL may come.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The interval of the pieces of a steady response.
const STEADY_INTERVAL: Duration = Duration::from_millis(50);
/// The number of servers; each can answer with every script.
const SERVERS: usize = 6;
/// The number of requests at one time.
const CONCURRENT: usize = 12;
/// A refusal, after which trying again is harmless.
const REFUSED: ResponseError = ResponseError::Status(429);
/// The number of refusals after which a client gives up, and its pause after each.
const MAX_REFUSALS: usize = 10;
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// A drawn response, and how long its client waits.
struct Case {
    name: String,
    script: ResponseScript,
    wait: Duration,
    /// The time after the request by which a response that is not whole has ended.
    ends_by: Duration,
}

impl Case {
    fn new(kind: &str, script: ResponseScript, wait: Duration) -> Self {
        let first = script.pieces.first().map_or(0, |piece| piece.bytes);
        let (framing, length) = (script.framing, script.length);
        let name = format!("{kind}, {framing:?} of {length}, first {first}, wait {wait:?}");
        Case { name, script, wait, ends_by: wait + LATE }
    }

    fn with_end(mut self, ends_by: Duration) -> Self {
        self.ends_by = self.ends_by.max(ends_by);
        self
    }
}

fn draw_millis(random: &mut fastrand::Rng, range: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(random.u64(range))
}

/// A response in large pieces with a pause between each two.
fn lumps(random: &mut fastrand::Rng, framing: Framing, wait: Duration) -> Case {
    let length = random.usize(130_000..=230_000);
    let (piece, pause) = (random.usize(38_000..=56_000), draw_millis(random, 500..=1_000));
    Case::new("lumps", ResponseScript::paced(framing, length, piece, pause), wait)
}

/// A response that comes without a pause, at this many bytes a second.
fn steady(framing: Framing, length: usize, rate: usize, wait: Duration) -> Case {
    let piece = rate * STEADY_INTERVAL.as_millis() as usize / 1_000;
    let script = ResponseScript::paced(framing, length, piece, STEADY_INTERVAL);
    Case::new(&format!("steady, {rate} B/s"), script, wait)
}

/// Sound responses, most of which go on for longer than their request's time.
fn sound_cases() -> Vec<Case> {
    let mut random = fastrand::Rng::with_seed(80);
    let mut cases = Vec::new();
    for _ in 0..6 {
        for framing in Framing::ALL {
            let wait = draw_millis(&mut random, 400..=1_500);
            cases.push(lumps(&mut random, framing, wait));
            let (length, rate) = (random.usize(70_000..=200_000), random.usize(30_000..=105_000));
            cases.push(steady(framing, length, rate, wait));
            let (length, rate) = (random.usize(400_000..=1_900_000), random.usize(400_000..=700_000));
            cases.push(steady(framing, length, rate, wait));
            // It begins shortly before its deadline.
            for before in [20..=30, 100..=200] {
                let mut late = lumps(&mut random, framing, wait);
                late.script.begins_after = wait - draw_millis(&mut random, before);
                cases.push(late);
            }
            let mut late = steady(framing, random.usize(70_000..=120_000), 30_000, wait);
            late.script.begins_after = wait - draw_millis(&mut random, 100..=200);
            cases.push(late);
            if framing != Framing::Length {
                cases.push(steady(framing, random.usize(40_000..=64_000), 30_000, wait));
            }
        }
    }
    cases
}

/// Responses of which no more than a body of the platform can have come by the deadline, and that never end.
fn endless_cases() -> Vec<Case> {
    let mut random = fastrand::Rng::with_seed(614_208);
    let mut cases = Vec::new();
    for _ in 0..6 {
        for framing in [Framing::Chunked, Framing::Close] {
            let wait = draw_millis(&mut random, 400..=1_500);
            for bytes in [random.usize(200..=8_000), random.usize(8_000..=24 << 10), 24 << 10] {
                let script =
                    ResponseScript::paced(framing, 2 * bytes, bytes, Duration::ZERO).stopped_after(1);
                cases.push(Case::new("a stop", script.clone(), wait));
                let late = ResponseScript { begins_after: wait - Duration::from_millis(100), ..script };
                cases.push(Case::new("a late stop", late, wait));
            }
            let rate = random.usize(1_000..=8_000);
            let trickle = |script: ResponseScript| ResponseScript { length: 1 << 20, ..script };
            let steady = steady(framing, 20 * rate, rate, wait);
            cases.push(Case::new(&format!("a trickle, {rate} B/s"), trickle(steady.script.clone()), wait));
            let mut behind_24_kib = trickle(steady.script);
            behind_24_kib.pieces.insert(0, Piece { at: Duration::ZERO, bytes: 24 << 10 });
            cases.push(Case::new(&format!("24 KiB and a trickle, {rate} B/s"), behind_24_kib, wait));
        }
    }
    cases
}

/// Long responses whose server stops for good, at different times.
fn stopped_long_cases() -> Vec<Case> {
    let mut random = fastrand::Rng::with_seed(614);
    let mut cases = Vec::new();
    for _ in 0..3 {
        for framing in Framing::ALL {
            let wait = draw_millis(&mut random, 400..=1_500);
            let (piece, pause) = (random.usize(38_000..=56_000), draw_millis(&mut random, 500..=1_000));
            for kept in [1, 3] {
                let script = ResponseScript::paced(framing, 230_000, piece, pause).stopped_after(kept);
                let ends_by = script.last_piece_at() + SILENCE_LIMIT + LATE;
                cases.push(Case::new(&format!("{kept} lumps"), script, wait).with_end(ends_by));
            }
        }
    }
    cases
}

/// Plays all cases through one agent and returns what was wrong with each.
async fn play(cases: Vec<Case>, is_whole: bool) -> Vec<String> {
    let scripts: Vec<ResponseScript> = cases.iter().map(|case| case.script.clone()).collect();
    let mut hosts = Vec::new();
    for number in 0..SERVERS {
        hosts.push(host(&format!("s{number}"), paced_server(scripts.clone()).await, "up"));
    }
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &hosts).await;
    agent.ready().await;
    let mut playing = JoinSet::new();
    let mut wrong = Vec::new();
    for (number, case) in cases.into_iter().enumerate() {
        if playing.len() == CONCURRENT {
            wrong.extend(playing.join_next().await.and_then(|played| played.expect("it does not fail")));
        }
        let address = agent.address;
        playing.spawn(async move {
            let name = case.name.clone();
            let played = match is_whole {
                true => arrives_whole(address, number, case).await,
                false => ends(address, number, case).await,
            };
            played.err().map(|error| format!("{name}: {error}"))
        });
    }
    while let Some(played) = playing.join_next().await {
        wrong.extend(played.expect("it does not fail"));
    }
    wrong
}

async fn arrives_whole(agent: SocketAddr, number: usize, case: Case) -> Result<(), String> {
    let mut received = Err(REFUSED);
    for _ in 0..MAX_REFUSALS {
        let mut stream = send(agent, number, case.wait).await;
        received = soon("the response", read_whole(&mut stream)).await;
        if received != Err(REFUSED) {
            break;
        }
        sleep(REFUSAL_PAUSE).await;
    }
    let body = received.map_err(|error| format!("{error:?}"))?;
    (body == pattern(case.script.length)).then_some(()).ok_or_else(|| "it is changed".to_owned())
}

/// An answer that is not whole has to end in its time, and to be recognizable as cut.
async fn ends(agent: SocketAddr, number: usize, case: Case) -> Result<(), String> {
    let mut stream = send(agent, number, case.wait).await;
    let sent = Instant::now();
    let mut answer = Vec::new();
    let mut piece = vec![0; 16 << 10];
    // The agent's own answers are short and leave the connection open.
    while answer.is_empty() || answer.starts_with(b"HTTP/1.1 200") {
        match timeout(case.ends_by.saturating_sub(sent.elapsed()), stream.read(&mut piece)).await {
            Ok(Ok(count @ 1..)) => answer.extend_from_slice(&piece[..count]),
            Ok(_) => break,
            Err(_) => {
                return Err(format!("it has not ended after {:?}, {} bytes", case.ends_by, answer.len()))
            }
        }
    }
    let looks_whole = answer.ends_with(b"0\r\n\r\n");
    (!looks_whole).then_some(()).ok_or_else(|| "it looks whole".to_owned())
}

/// Sends a request for the response of this number over a connection of its own.
async fn send(agent: SocketAddr, number: usize, wait: Duration) -> TcpStream {
    let mut stream = TcpStream::connect(agent).await.expect("a connection");
    let request = request("GET", &format!("/read/{number}"), &format!("{}m", wait.as_millis()), "");
    stream.write_all(request.as_bytes()).await.expect("the agent reads");
    stream
}

/// Guards against sound long responses that are cut off at their request's deadline although their server goes on sending them.
#[tokio::test]
async fn sound_long_response_arrives_whole_beyond_its_deadline() {
    let wrong = play(sound_cases(), true).await;
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// The opposite: a response that has stopped, or trickles, ends within half a second of its deadline.
#[tokio::test]
async fn response_that_never_ends_is_ended_soon_after_its_deadline() {
    let wrong = play(endless_cases(), false).await;
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// A long response whose server is silent for good does not keep its client for much longer than a sound one pauses.
#[tokio::test]
async fn long_response_whose_server_stops_is_ended_after_its_silence() {
    let wrong = play(stopped_long_cases(), false).await;
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}

/// Sound responses that take some 3 s, with a time of 0.4 s, in each framing.
fn slow_cases() -> Vec<Case> {
    let wait = Duration::from_millis(400);
    let in_each_framing = |piece: usize, pause: u64| {
        Framing::ALL.map(|framing| {
            let script = ResponseScript::paced(framing, 180_000, piece, Duration::from_millis(pause));
            Case::new("slow", script, wait)
        })
    };
    [in_each_framing(45_000, 1_000), in_each_framing(3_000, 50)].into_iter().flatten().collect()
}

/// Guards against responses that are cut off because the process stood still: their bytes had come.
#[tokio::test]
async fn sound_long_response_arrives_whole_although_the_process_is_held_up() {
    let cases = slow_cases();
    let server = paced_server(cases.iter().map(|case| case.script.clone()).collect()).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", server, "up")]).await;
    agent.ready().await;
    let process = agent.child.id().expect("it runs");
    let mut playing = JoinSet::new();
    for (number, case) in cases.into_iter().enumerate() {
        playing.spawn(arrives_whole(agent.address, number, case));
    }
    let mut played = Vec::new();
    while !playing.is_empty() {
        kill("-STOP", process).await;
        sleep(MAX_STALL).await;
        kill("-CONT", process).await;
        while let Some(next) = playing.try_join_next() {
            played.push(next.expect("it does not fail"));
        }
        sleep(MAX_STALL).await;
    }
    assert!(played.iter().all(Result::is_ok), "{played:?}");
}

/// Guards against responses that are cut off because their client reads slowly.
#[tokio::test]
async fn sound_long_response_reaches_a_slow_client_whole() {
    let script = ResponseScript::paced(Framing::Chunked, 150_000, 45_000, Duration::from_millis(500));
    let server = paced_server(vec![script]).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", server, "up")]).await;
    agent.ready().await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("an option");
    let mut stream = socket.connect(agent.address).await.expect("a connection");
    stream.write_all(request("GET", "/read/0", "400m", "").as_bytes()).await.expect("the agent reads");
    let mut received = Vec::new();
    // At 40 KB a second, after a pause that is longer than a server's may be.
    sleep(SILENCE_LIMIT + LATE).await;
    while !received.ends_with(b"\r\n0\r\n\r\n") {
        let mut piece = [0; 2_000];
        let count = soon("more", stream.read(&mut piece)).await.expect("it is open");
        assert!(count > 0, "cut off after {} bytes", received.len());
        received.extend_from_slice(&piece[..count]);
        sleep(STEADY_INTERVAL).await;
    }
    assert!(received.len() > 150_000, "{} bytes", received.len());
}

/// A response that goes on beyond its deadline does not keep the process from ending before SIGKILL may come.
#[tokio::test]
async fn long_response_does_not_delay_the_end_of_the_process() {
    let script = ResponseScript::paced(Framing::Chunked, 3_000_000, 5_000, STEADY_INTERVAL);
    let server = paced_server(vec![script]).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut agent = Agent::start(directory.address, &[host("s", server, "up")]).await;
    agent.ready().await;
    let mut stream = send(agent.address, 0, Duration::from_millis(400)).await;
    soon("its beginning", stream.read_exact(&mut [0; 12])).await.expect("an answer");
    sleep(Duration::from_millis(900)).await;
    agent.term().await;
    let signalled = Instant::now();
    let mut rest = Vec::new();
    let _ = soon("its end", stream.read_to_end(&mut rest)).await;
    assert!(agent.end().await.success());
    let took = signalled.elapsed();
    assert!(took < LONGEST_DEADLINE + KILL_DELAY, "{took:?}");
    assert!(!rest.ends_with(b"\r\n0\r\n\r\n"), "it looks whole");
}

/// The cases are as different as they are meant to be.
#[test]
fn drawn_cases_have_all_framings_and_many_waits() {
    for cases in [sound_cases(), stopped_long_cases()] {
        assert!(Framing::ALL.iter().all(|framing| cases.iter().any(|case| case.script.framing == *framing)));
        assert!(cases.iter().map(|case| case.wait).collect::<BTreeSet<_>>().len() >= 6);
    }
    assert!(sound_cases().iter().all(|case| case.script.is_whole()));
    assert!(endless_cases().iter().all(|case| !case.script.is_whole()));
}
