//! The control socket: who may use it, and what passes over it.

use super::*;
use serde_json::json;
use std::os::unix::fs::PermissionsExt;

#[test]
fn only_own_user_and_root_are_authorized() {
    assert!(is_authorized(1000, 1000) && is_authorized(1000, 0) && is_authorized(0, 0));
    assert!(!is_authorized(1000, 1001) && !is_authorized(0, 1000));
}

#[tokio::test(flavor = "current_thread")]
async fn replies_carry_descriptors_despite_silent_clients() {
    let dir = std::env::temp_dir().join(format!("bellcroft-control-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            assert!(matches!(request(&dir, &json!({})).await, Err(ControlError::NotRunning)));
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let control = Control::serve(&dir, move |value| match value["command"].as_str() {
                Some("listener") => Reply {
                    value: json!({"ok": true}),
                    descriptor: listener.try_clone().ok().map(OwnedFd::from),
                },
                _ => error("no such command"),
            })
            .expect("a socket");
            let mode = std::fs::metadata(dir.join("control.sock")).expect("it is there").permissions().mode();
            assert_eq!(mode & 0o777, 0o600);
            let mut silent = Vec::new();
            for _ in 0..MAX_CLIENTS - 1 {
                silent.push(UnixStream::connect(dir.join("control.sock")).await.expect("it is taken"));
            }
            let told = request(&dir, &json!({"command": "listener"})).await.unwrap_or_else(|e| panic!("{e}"));
            assert_eq!(told.pid, Some(std::process::id()));
            let got = std::net::TcpListener::from(told.descriptor.expect("a descriptor"));
            assert_eq!(got.local_addr().expect("an address"), address);
            let why = request(&dir, &json!({"command": "else"})).await.err().expect("an error").to_string();
            assert_eq!(why, "no such command");
            // Those that say nothing are let go, and their places are free again.
            for stream in &silent {
                let line = read_line(stream, 10).await.map(|line| line.text).unwrap_or_default();
                assert!(line.is_empty());
            }
            drop(control);
            assert!(matches!(request(&dir, &json!({})).await, Err(ControlError::NotRunning)));
        })
        .await;
    std::fs::remove_dir_all(&dir).expect("it is ours");
}
