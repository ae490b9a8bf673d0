//! Notifications to a service manager, and sockets that it passes.

use super::harness::*;
use serde_json::json;
use std::process::Stdio;
use testbed::*;
use tokio::net::TcpStream;
use tokio::process::Command;

/// The notifications to a service manager, by the published protocol.
#[tokio::test]
async fn service_manager_gets_readiness_reloads_watchdog_and_stop() {
    let (backend, _directory, config) = world().await;
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let mut config = config;
    config["discovery"] = directory.address.to_string().into();
    config["known"]["hosts"] = json!([]);
    config["known"]["seq"] = 0.into();
    let daemon = Daemon::new(&config);
    let manager = Manager::listen(&daemon.folder);
    let mut command = daemon.command();
    command.env("NOTIFY_SOCKET", &manager.address).env("WATCHDOG_USEC", "40000");
    let running = running(command).await;
    // Keep-alives precede readiness, which needs a server.
    assert_eq!(manager.next().await, ["WATCHDOG=1"]);
    directory.next_call().await;
    directory.list(2, &[host("s", backend.address, "up")]);
    let ready = manager.until("READY=1").await;
    let own = format!("MAINPID={}", running.child.id().expect("it runs"));
    assert!(ready.contains(&own), "{ready:?}");
    running.signal("-HUP").await;
    let reloading = manager.until("RELOADING=1").await;
    let micros = reloading.iter().find_map(|line| line.strip_prefix("MONOTONIC_USEC="));
    assert!(micros.and_then(|m| m.parse::<u64>().ok()).is_some_and(|m| m > 0), "{reloading:?}");
    manager.until("READY=1").await;
    manager.until("WATCHDOG=1").await;
    running.signal("-TERM").await;
    manager.until("STOPPING=1").await;
    assert_eq!(running.end().await.0, Some(0));
}

/// Starts the program with sockets from descriptor 3 on, as a service manager does.
fn handed(daemon: &Daemon, sockets: Vec<std::os::fd::OwnedFd>, pid: &str) -> Command {
    use command_fds::{CommandFdExt, FdMapping};
    let mut command = std::process::Command::new("/bin/sh");
    let script = format!("LISTEN_PID={pid} exec \"$0\" run --operator \"$1\"");
    command.args(["-c", &script]).arg(program().get_program()).arg(&daemon.operator);
    command.env_clear().env("LISTEN_FDS", sockets.len().to_string()).stderr(Stdio::piped());
    let map = |(n, parent_fd)| FdMapping { parent_fd, child_fd: 3 + n as i32 };
    command.fd_mappings(sockets.into_iter().enumerate().map(map).collect()).expect("no collision");
    let mut command = Command::from(command);
    command.kill_on_drop(true);
    command
}

#[tokio::test]
async fn inherited_socket_is_listened_on() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let given = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = given.local_addr().expect("an address");
    let mine = running(handed(&daemon, vec![given.try_clone().expect("a copy").into()], "$$")).await;
    assert_eq!(mine.address, address);
    assert_eq!(mine.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    // The next process takes over: connections made meanwhile wait in the queue and are served by it.
    assert_eq!(daemon.ask(&json!({"command": "drain", "handover": true})).await, json!({"draining": true}));
    assert_eq!(mine.end().await.0, Some(0));
    let mut waiting =
        Client { stream: TcpStream::connect(address).await.expect("the socket is still there") };
    waiting.send(&request("GET", "/read", "20000m", "")).await;
    let next = running(handed(&daemon, vec![given.try_clone().expect("a copy").into()], "$$")).await;
    assert_eq!(waiting.answer().await.status(), 200);
    next.signal("-TERM").await;
    assert_eq!(next.end().await.0, Some(0));
    // `LISTEN_PID` of another process.
    let other = running(handed(&daemon, vec![given.into()], "1")).await;
    assert_ne!(other.address, address);
    other.signal("-TERM").await;
    assert_eq!(other.end().await.0, Some(0));
}

/// Guards against requests that are sent on after their time because they stood in the accept queue of an inherited socket, and their
/// time was counted from when they were read.
#[tokio::test]
async fn request_that_waited_longer_than_its_time_for_the_accept_is_not_forwarded() {
    let (mut backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let given = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = given.local_addr().expect("an address");
    let mut waiting = Vec::new();
    for (number, wait) in ["300m", "20000m"].into_iter().enumerate() {
        let mut client = Client { stream: TcpStream::connect(address).await.expect("a connection") };
        client.send(&request_as(&format!("waits-{number}"), "GET", "/read", wait, "")).await;
        waiting.push(client);
    }
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    let process = running(handed(&daemon, vec![given.into()], "$$")).await;
    let [late, in_time] = &mut waiting[..] else { unreachable!("there are two") };
    assert_eq!(late.answer().await.status(), 429);
    assert_eq!(in_time.answer().await.status(), 200);
    assert!(backend.next().await.head.contains("waits-1"));
    assert!(backend.seen.try_recv().is_err(), "it was sent on after its client's time");
    process.signal("-TERM").await;
    assert_eq!(process.end().await.0, Some(0));
}

#[tokio::test]
async fn unusable_inherited_sockets_exit_with_2() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let tcp = || std::os::fd::OwnedFd::from(std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let udp = std::os::fd::OwnedFd::from(std::net::UdpSocket::bind("127.0.0.1:0").expect("a port"));
    for (sockets, why) in
        [(vec![tcp(), tcp()], "one was expected"), (vec![udp], "not a listening TCP socket")]
    {
        let output = soon("its end", handed(&daemon, sockets, "$$").output()).await.expect("its output");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{log}");
        assert!(log.lines().count() == 1 && log.contains(why), "{log}");
    }
}
