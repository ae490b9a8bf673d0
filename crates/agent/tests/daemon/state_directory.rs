//! The state directory: its lock, its status file, and faults of the disk.

use super::harness::*;
use serde_json::json;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use testbed::*;
use tokio::net::TcpStream;
use tokio::process::Command;

/// Two processes of one file, fifty times, either one first: one serves, the other exits with 3 and one line, and changes
/// nothing of the first one's.
#[tokio::test]
async fn second_of_two_simultaneous_starts_exits_with_3() {
    let (_backend, _directory, mut config) = world().await;
    config["listen"] = unshared_address().await.to_string().into();
    let daemon = Daemon::new(&config);
    for round in 0..50 {
        let first = daemon.command().spawn().expect("it starts");
        if round % 2 == 0 {
            // The second one starts when the first holds its lock and its address.
            daemon.until("the first one's status", |s| s["pid"].as_u64() == first.id().map(u64::from)).await;
        }
        let second = daemon.command().spawn().expect("it starts");
        let ids = [first.id().expect("an id"), second.id().expect("an id")];
        let (mut one, mut two) = (first, second);
        let (ended, mut serving) = soon("the end of one", async {
            tokio::select! {
                _ = one.wait() => (one, two),
                _ = two.wait() => (two, one),
            }
        })
        .await;
        let output = ended.wait_with_output().await.expect("its output");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(3), "{log}");
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.contains("already running"), "{log}");
        let pid = serving.id().expect("it runs");
        assert!(ids.contains(&pid));
        daemon
            .until("readiness", |s| s["phase"] == "ready" && s["pid"].as_u64() == Some(u64::from(pid)))
            .await;
        let address: std::net::SocketAddr =
            config["listen"].as_str().expect("text").parse().expect("an address");
        let mut client = Client { stream: TcpStream::connect(address).await.expect("it listens") };
        assert_eq!(client.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
        // A thread of its own writes the file, after the status has told of readiness.
        soon("the file of the one that serves", async {
            while daemon.file()["pid"].as_u64() != Some(u64::from(pid)) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        })
        .await;
        if round < 49 {
            serving.kill().await.expect("it is killed");
        } else {
            kill("-TERM", pid).await;
            assert!(soon("its end", serving.wait()).await.expect("a status").success());
        }
    }
}

/// A killed process releases its lock; the next one takes its name, its address and its directory, whatever files are
/// left there.
#[tokio::test]
async fn start_after_kill_takes_over_state_directory() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let mut running = daemon.start().await;
    running.child.kill().await.expect("it is killed");
    assert!(daemon.state.join("control.sock").exists(), "a killed process tidies nothing up");
    let (last, code) = daemon.status().await;
    assert_eq!((code, &last["running"]), (Some(4), &json!(false)));
    // A truncated status file is no obstacle, and is reported while no process runs.
    std::fs::write(daemon.state.join("status.json"), "{\"version\":1,\"na").expect("a file");
    let (cut, code) = daemon.status().await;
    assert_eq!(code, Some(4));
    assert!(cut["why"].as_str().is_some_and(|why| why.contains("cut off")), "{cut}");
    let again = daemon.start().await;
    let status = daemon.until("readiness", |s| s["phase"] == "ready").await;
    assert_eq!(status["name"], "n0");
    assert!(status["problems"].as_array().is_some_and(Vec::is_empty), "{status}");
    again.signal("-TERM").await;
    assert_eq!(again.end().await.0, Some(0));
}

/// With an unusable state directory the instance serves, and the status, if it can be read, reports the problem.
#[tokio::test]
async fn unusable_state_directory_does_not_stop_serving() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let root =
        std::fs::metadata("/proc/self").map(|m| std::os::unix::fs::MetadataExt::uid(&m)).ok() == Some(0);
    let foreign = daemon.folder.path().join("foreign");
    std::fs::create_dir(&foreign).expect("a folder");
    let foreign = if root {
        std::os::unix::fs::chown(&foreign, Some(65534), None).expect("root may");
        foreign
    } else {
        PathBuf::from("/usr")
    };
    for (state, why) in
        [(foreign.as_path(), "belongs to user"), (Path::new("/dev/null/state"), "cannot be made")]
    {
        let mut command = daemon.command();
        command.arg("--state").arg(state);
        let running = running(command).await;
        assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
        running.signal("-TERM").await;
        let (code, log) = running.end().await;
        assert_eq!(code, Some(0));
        assert!(log.contains(why) && log.contains("start: continuing with a problem"), "{log}");
    }
    assert!(std::fs::read_dir(&foreign)
        .expect("it is there")
        .all(|e| e.is_ok_and(|e| e.file_name() != "lock")));
    // Read-only, as another user if this one is root, to whom modes do not apply.
    let sealed = daemon.folder.path().join("sealed");
    std::fs::create_dir(&sealed).expect("a folder");
    let mut command = daemon.command();
    command.arg("--state").arg(&sealed);
    if root {
        std::os::unix::fs::chown(&sealed, Some(65534), Some(65534)).expect("root may");
        command.uid(65534).gid(65534);
        std::fs::set_permissions(daemon.folder.path(), PermissionsExt::from_mode(0o755)).expect("it is ours");
    }
    std::fs::set_permissions(&sealed, PermissionsExt::from_mode(0o500)).expect("root or owner");
    let running = running(command).await;
    assert_eq!(running.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    running.signal("-TERM").await;
    let (code, log) = running.end().await;
    std::fs::set_permissions(&sealed, PermissionsExt::from_mode(0o700)).expect("root or owner");
    assert_eq!(code, Some(0));
    assert!(log.contains("sealed: lock: Permission denied"), "{log}");
}

/// A full disk, simulated by the shell's file-size limit, which takes the same error path. The log is on the same disk.
#[tokio::test]
async fn full_disk_is_reported_and_does_not_stop_serving() {
    let (_backend, _directory, config) = world().await;
    let daemon = Daemon::new(&config);
    let listen = unshared_address().await;
    let log = daemon.folder.path().join("log");
    let mut command = Command::new("/bin/sh");
    let script = "trap '' XFSZ; ulimit -f 0; exec \"$0\" run --operator \"$1\" 2>>\"$2\"";
    command.args(["-c", script]).arg(program().get_program()).arg(&daemon.operator).arg(&log);
    command.env_clear().env("PROXY_LISTEN", listen.to_string()).kill_on_drop(true);
    let mut child = command.spawn().expect("it starts");
    let status = daemon.until("a problem", |s| s["problems"].to_string().contains("status.json")).await;
    assert_eq!(status["phase"], "ready");
    let mut client = Client { stream: TcpStream::connect(listen).await.expect("it listens") };
    for _ in 0..3 {
        assert_eq!(client.ask(&request("GET", "/read", "5000m", "")).await.status(), 200);
    }
    assert!(!daemon.state.join("status.json").exists(), "half a file is none");
    kill("-TERM", child.id().expect("it runs")).await;
    assert!(soon("its end", child.wait()).await.expect("a status").success());
    assert_eq!(std::fs::metadata(&log).expect("it is there").len(), 0, "the log could not be written either");
}
