//! Connections, listeners and datagrams over loopback. How they bear failing calls is played on the real program
//! (`crates/agent/tests/system_calls.rs`).

use bellcroft_net::{connect, retry_interrupted, ConnectError, DatagramSocket, Listener};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

#[tokio::test(flavor = "current_thread")]
async fn large_transfer_arrives_complete_and_in_order() {
    let listener = Listener::bind(any()).await.expect("a port");
    let mut out = connect(listener.local_addr().expect("an address")).await.expect("a connection");
    let mut taken = listener.accept().await.expect("a connection");
    let sent: Vec<u8> = (0..4_000_000_u32).map(|n| (n % 251) as u8).collect();
    let expected = sent.clone();
    let writing = async {
        out.write_all(&sent).await.expect("it is read");
        out.shutdown().await.expect("it is open");
    };
    let mut received = Vec::new();
    let reading = async { taken.read_to_end(&mut received).await.expect("it is written") };
    tokio::join!(writing, reading);
    assert!(received == expected, "{} of {} bytes", received.len(), expected.len());
}

#[tokio::test(flavor = "current_thread")]
async fn refused_connection_is_remote_error_with_cause() {
    let listener = Listener::bind(any()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = connect(address).await.expect_err("nobody listens");
    assert!(matches!(error, ConnectError::Remote(_)), "{error}");
    assert_eq!(error.cause().kind(), io::ErrorKind::ConnectionRefused);
}

/// What the kernel has taken for a listener that stops belongs to it; whoever comes later is refused.
#[tokio::test(flavor = "current_thread")]
async fn the_backlog_of_a_listener_that_stops_is_served() {
    let listener = Listener::bind(any()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut clients = Vec::new();
    for _ in 0..5 {
        clients.push(connect(address).await.expect("a connection"));
    }
    let backlog = listener.into_backlog();
    assert_eq!(backlog.len(), clients.len());
    for (mut taken, mut client) in backlog.into_iter().zip(clients) {
        client.write_all(b"ask").await.expect("it is open");
        let mut asked = [0; 3];
        taken.read_exact(&mut asked).await.expect("it was sent");
        assert_eq!(&asked, b"ask");
    }
    assert!(connect(address).await.is_err());
}

/// A send to an unused port causes an ICMP error at the sender, whose other datagrams still arrive.
#[tokio::test(flavor = "current_thread")]
async fn unreachable_peer_does_not_disturb_other_datagrams() {
    let here = DatagramSocket::bind(any()).await.expect("a port");
    let other = DatagramSocket::bind(any()).await.expect("a port");
    let closed = DatagramSocket::bind(any()).await.expect("a port").local_addr().expect("an address");
    let own = here.local_addr().expect("an address");
    let _ = here.send_now(b"nobody", closed);
    other.send_now(b"hello", own).expect("there is room");
    let mut buffer = [0; 16];
    let (length, from) = here.receive(&mut buffer).await.expect("a datagram");
    assert_eq!((&buffer[..length], from), (&b"hello"[..], other.local_addr().expect("an address")));
}

#[test]
fn interrupted_call_is_retried_and_other_failure_is_not() {
    let mut calls = 0;
    let ended = retry_interrupted(|| {
        calls += 1;
        if calls < 4 {
            Err(io::ErrorKind::Interrupted.into())
        } else {
            Ok(calls)
        }
    });
    assert_eq!(ended.expect("it succeeds in the end"), 4);
    let mut calls = 0;
    let ended: io::Result<()> = retry_interrupted(|| {
        calls += 1;
        Err(io::ErrorKind::BrokenPipe.into())
    });
    assert_eq!((ended.expect_err("it fails").kind(), calls), (io::ErrorKind::BrokenPipe, 1));
}
