//! Long requests and responses whose server or client is slow: responses are passed on for as long as they come, and
//! requests are answered in their time.

use std::net::SocketAddr;
use std::time::Duration;
use testbed::paced_server::{paced_server, pattern, read_whole, Framing, ResponseScript};
use testbed::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The time after its due time from which an answer counts as lost.
const LATE: Duration = Duration::from_millis(500);
/// The silence of its server after which a long response ends (docs/operate/day-to-day.md).
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

async fn agent_for(server: SocketAddr) -> (Agent, Directory) {
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", server, "up")]).await;
    agent.ready().await;
    (agent, directory)
}

/// Guards against responses that are cut off while their server goes on writing them, within their request's time and past it.
#[tokio::test]
async fn slow_response_is_passed_on_completely() {
    let mut playing = JoinSet::new();
    for script in slow_responses() {
        for wait in [400, 613, 4_000] {
            playing.spawn(is_passed_on_completely(script.clone(), wait));
        }
        // As many at once as one script has waits.
        while let Some(played) = playing.join_next().await {
            played.expect("it is passed on");
        }
    }
}

async fn is_passed_on_completely(script: ResponseScript, wait: u64) {
    let server = paced_server(vec![script.clone()]).await;
    // A short response of declared length is buffered, and its client gets an answer of the agent at the deadline.
    let is_buffered = script.framing == Framing::Length && script.length <= 64 << 10;
    if is_buffered && wait < 4_000 {
        return ends_by(server, wait, Duration::from_millis(wait) + LATE, "buffered").await;
    }
    let (agent, _directory) = agent_for(server).await;
    let mut client = agent.client().await;
    client.send(&request("GET", "/read", &format!("{wait}m"), "")).await;
    let whole = soon("the response", read_whole(&mut client.stream)).await;
    let case = format!("{:?} of {}, {wait} ms", script.framing, script.length);
    let whole = whole.unwrap_or_else(|error| panic!("{case}: {error:?}"));
    assert!(whole == pattern(script.length), "{case}: unchanged");
}

/// Responses whose last byte comes some 2 s after the first, in each framing.
fn slow_responses() -> Vec<ResponseScript> {
    let (steady, lumps) = (Duration::from_millis(50), Duration::from_millis(700));
    let bodies = [(60 << 10, 1_500, steady), (198_319, 5_000, steady), (193_058, 48_265, lumps)];
    let in_each_framing = |(length, piece, pause)| {
        Framing::ALL.map(|framing| ResponseScript::paced(framing, length, piece, pause))
    };
    bodies.into_iter().flat_map(in_each_framing).collect()
}

/// Guards against responses that have begun and never end: whatever they brought before the deadline extended the time after it by a
/// second for each 4 KiB, and one of declared length kept its client for 30 s.
#[tokio::test]
async fn response_whose_server_stops_ends() {
    for begun in [500, 24 << 10, 60 << 10, 200 << 10] {
        for framing in Framing::ALL {
            // Of the longest body less than a piece is missing.
            let length = if begun > 64 << 10 { begun + 500 } else { 2 * begun };
            let script = ResponseScript::paced(framing, length, begun, Duration::ZERO).stopped_after(1);
            let server = paced_server(vec![script]).await;
            // A body of the platform may end in half a second past its time; longer ones may pause.
            let may_pause = if framing == Framing::Length { length > 64 << 10 } else { begun > 32 << 10 };
            let limit = if may_pause { SILENCE_LIMIT } else { Duration::from_millis(600) };
            ends_by(server, 600, limit + LATE, &format!("{framing:?} after {begun}")).await;
        }
    }
}

/// Guards against responses that come to a halt within their framing, and against those that follow a failed attempt.
#[tokio::test]
async fn response_that_stops_within_its_framing_ends_soon_after_the_deadline() {
    let endings = ["", "6", "6\r\nabc", "6\r\nabcdef", "0\r\n", "0\r\nX-Checksum: ", "1;extension"];
    for ending in endings {
        for is_second_attempt in [false, true] {
            let server = halting_server(ending, is_second_attempt).await;
            let case = format!("{ending:?}, second attempt {is_second_attempt}");
            ends_by(server, 600, Duration::from_millis(600) + LATE, &case).await;
        }
    }
}

/// A server that answers with 24 KiB in one chunk and this beginning of what follows; the first request is reset if it is to be
/// attempted twice.
async fn halting_server(ending: &'static str, resets_first: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut resets = resets_first;
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_head(&mut stream).await.is_none() || std::mem::take(&mut resets) {
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6000\r\n";
            let bytes = [head.as_bytes(), &pattern(24 << 10), b"\r\n", ending.as_bytes()].concat();
            let _ = stream.write_all(&bytes).await;
            tokio::spawn(async move { stream.read_to_end(&mut Vec::new()).await });
        }
    });
    address
}

/// Reads a request up to the end of its head, and leaves the rest unread.
async fn read_head(stream: &mut TcpStream) -> Option<()> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        stream.read_buf(&mut bytes).await.ok().filter(|count| *count > 0)?;
    }
    Some(())
}

/// Guards against responses that begin before their request is complete and whose time was that of an upload.
#[tokio::test]
async fn response_to_an_incomplete_request_ends_within_its_timeout() {
    let server = halting_server("", false).await;
    let (agent, _directory) = agent_for(server).await;
    let mut stream = TcpStream::connect(agent.address).await.expect("a connection");
    let incomplete = &long_request(2_000_000, false, 600)[..1_000_000];
    // The server reads no further, so the agent may not take all of it.
    let _ = timeout(Duration::from_millis(200), stream.write_all(incomplete)).await;
    let mut answer = vec![0; 12];
    soon("its beginning", stream.read_exact(&mut answer)).await.expect("an answer");
    assert_eq!(answer, b"HTTP/1.1 200", "{}", String::from_utf8_lossy(&answer));
    let begun = Instant::now();
    let _ = soon("the end", stream.read_to_end(&mut answer)).await;
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(600) + LATE, "{took:?}");
    assert!(!answer.ends_with(b"0\r\n\r\n"), "it looks whole");
}

/// Sends a request that waits for so many milliseconds; its answer must end within `limit`, and must not look whole unless it is the
/// agent's own.
async fn ends_by(server: SocketAddr, wait: u64, limit: Duration, case: &str) {
    let (agent, _directory) = agent_for(server).await;
    let mut client = agent.client().await;
    client.send(&request("GET", "/read", &format!("{wait}m"), "")).await;
    let sent = Instant::now();
    let mut answer = Vec::new();
    let mut piece = vec![0; 16 << 10];
    // The agent's own answers are short and leave the connection open.
    while answer.is_empty() || answer.starts_with(b"HTTP/1.1 200") {
        match soon("the end", client.stream.read(&mut piece)).await {
            Ok(count @ 1..) => answer.extend_from_slice(&piece[..count]),
            Ok(_) | Err(_) => break,
        }
    }
    let took = sent.elapsed();
    assert!(took < limit, "{case}, {wait} ms: {took:?}");
    assert!(!answer.ends_with(b"0\r\n\r\n"), "{case}, {wait} ms: it looks whole");
}

/// A client that reads slowly gets the whole of a short response that its server has sent in time.
#[tokio::test]
async fn short_response_reaches_a_slow_client_completely() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        let script = ResponseScript::paced(framing, 64 << 10, 20_000, Duration::from_millis(60));
        let server = paced_server(vec![script]).await;
        let (agent, _directory) = agent_for(server).await;
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4 << 10).expect("an option");
        let mut stream = socket.connect(agent.address).await.expect("a connection");
        stream.write_all(request("GET", "/read", "600m", "").as_bytes()).await.expect("the agent reads");
        let mut received = Vec::new();
        let whole = soon("the response", async {
            // At 32 KiB a second, past the request's time.
            loop {
                let mut piece = [0; 1_600];
                match stream.read(&mut piece).await {
                    Ok(count @ 1..) => received.extend_from_slice(&piece[..count]),
                    end => return Err(format!("{end:?} after {} bytes", received.len())),
                }
                if is_whole(&received) {
                    return Ok(());
                }
                sleep(Duration::from_millis(50)).await;
            }
        })
        .await;
        whole.unwrap_or_else(|error| panic!("{framing:?}: {error}"));
    }
}

/// Whether bytes of a response of 64 KiB end with its last one.
fn is_whole(bytes: &[u8]) -> bool {
    let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return false };
    let is_chunked = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase().contains("chunked");
    if is_chunked {
        bytes.ends_with(b"0\r\n\r\n")
    } else {
        bytes.len() >= head_end + 4 + (64 << 10)
    }
}

/// How a server reads a request.
#[derive(Debug, Clone, Copy)]
enum Reading {
    /// At this rate, in bytes a second.
    Slow(usize),
    /// Not beyond so many bytes.
    StopsAt(usize),
}

/// A server that reads requests like this, and would answer each that is whole.
fn slow_reader(reading: Reading) -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 << 10).expect("an option");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut got = 0;
                loop {
                    let mut piece = vec![0; 5_000];
                    match stream.read(&mut piece).await {
                        Ok(0) | Err(_) => return,
                        Ok(count) => got += count,
                    }
                    match reading {
                        Reading::Slow(rate) => sleep(Duration::from_secs_f64(5_000.0 / rate as f64)).await,
                        Reading::StopsAt(limit) if got >= limit => std::future::pending().await,
                        Reading::StopsAt(_) => {}
                    }
                }
            });
        }
    });
    address
}

/// Guards against answers that come long after their time because a request's end stands unread behind what a slow server has not
/// taken: a client's time counts from when it has written its last byte.
#[tokio::test]
async fn request_that_its_server_reads_slowly_is_answered_in_time() {
    let mut late = Vec::new();
    for reading in [Reading::Slow(100_000), Reading::Slow(250_000), Reading::StopsAt(24_000)] {
        let server = slow_reader(reading);
        let (agent, _directory) = agent_for(server).await;
        let mut asking = JoinSet::new();
        for length in [288_036, 634_789, 785_877] {
            for chunked in [false, true] {
                for wait in [400, 900] {
                    asking.spawn(ask_long(agent.address, length, chunked, wait));
                }
            }
        }
        while let Some(asked) = asking.join_next().await {
            late.extend(asked.expect("it does not fail").err().map(|error| format!("{reading:?}: {error}")));
        }
    }
    assert!(late.is_empty(), "{} of 36: {late:#?}", late.len());
}

/// Sends a long request; an error says what became of it if it has no final answer of the agent by the time from which it counts as
/// lost.
async fn ask_long(agent: SocketAddr, length: usize, chunked: bool, wait: u64) -> Result<(), String> {
    let mut stream = TcpStream::connect(agent).await.expect("a connection");
    soon("its write", stream.write_all(&long_request(length, chunked, wait))).await.expect("the agent reads");
    let sent = Instant::now();
    let due = Duration::from_millis(wait) + LATE;
    let status = |answer: Option<Message>| answer.map(|answer| answer.status());
    match timeout(due, read_message(&mut stream, 0)).await.map(status) {
        Ok(Some(400..)) => Ok(()),
        Ok(status) => Err(format!("{length} bytes, chunked {chunked}, {wait} ms: {status:?}")),
        Err(_) => {
            let answer = timeout(Duration::from_secs(6), read_message(&mut stream, 0)).await.ok().flatten();
            Err(format!(
                "{length} bytes, chunked {chunked}, {wait} ms: {:?} after {:?}",
                status(answer),
                sent.elapsed()
            ))
        }
    }
}

fn long_request(length: usize, chunked: bool, wait: u64) -> Vec<u8> {
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {length}"),
    };
    let head = request("POST", "/pay", &format!("{wait}m"), "").replace("Content-Length: 0", &framing);
    let mut bytes = head.into_bytes();
    if !chunked {
        bytes.extend(pattern(length));
        return bytes;
    }
    for piece in pattern(length).chunks(20_000) {
        bytes.extend([format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat());
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}
