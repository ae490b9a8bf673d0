//! The log in its text and JSON formats.

use std::process::Stdio;
use testbed::*;
use tokio::io::{AsyncBufReadExt, BufReader};

/// The lines of an agent's log until it has ended, and its exit code.
async fn lines(args: &[&str], variables: &[(&str, &str)], rude: bool) -> (Option<i32>, Vec<String>) {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let bad = serde_json::json!([
        host("s", backend.address, "up"),
        {"host": "t", "dial": "10.0.0.1", "health": "up"},
        {"host": "u\nv", "dial": "127.0.0.1:9", "health": "asleep"},
    ]);
    let mut config = config(directory.address, bad.as_array().expect("a list"));
    config["name"] = "n0".into();
    let file = write_config(&config.to_string());
    let mut command = command(&file);
    command.args(args).envs(variables.iter().copied()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
    let mut lines = Vec::new();
    while let Some(line) = soon("a line", log.next_line()).await.expect("a log") {
        let listening = line.contains("listening for clients");
        lines.push(line);
        if listening {
            if rude {
                // The reader closes the pipe: writes fail from now on.
                drop(log);
                break;
            }
            kill("-TERM", child.id().expect("it runs")).await;
        }
    }
    if rude {
        kill("-HUP", child.id().expect("it runs")).await;
        kill("-TERM", child.id().expect("it runs")).await;
    }
    let status = soon("its end", child.wait()).await.expect("a status");
    std::fs::remove_file(file).expect("it was there");
    (status.code(), lines)
}

#[tokio::test]
async fn rejected_list_entries_are_logged_once_with_reason() {
    let (code, lines) = lines(&["run"], &[], false).await;
    assert_eq!(code, Some(0));
    let told = |text: &str| lines.iter().filter(|l| l.contains(text)).count();
    assert_eq!(told("\"t\": dial is \"10.0.0.1\""), 1, "{lines:?}");
    assert_eq!(told(": health is \"asleep\""), 1, "{lines:?}");
    // A line feed in a name starts no new line.
    assert_eq!(told("u\\nv"), 1, "{lines:?}");
    assert_eq!(
        lines.iter().filter(|l| l.contains("endpoint list entry rejected") && l.contains("WARN")).count(),
        2
    );
}

#[tokio::test]
async fn json_lines_are_objects_with_level_and_target() {
    for (args, variables) in [
        (&["run", "--log-format", "json"][..], &[][..]),
        (&["run"][..], &[("BELLCROFT_LOG_FORMAT", "json")][..]),
    ] {
        let (code, lines) = lines(args, variables, false).await;
        assert_eq!(code, Some(0));
        assert!(lines.len() >= 4, "{lines:?}");
        for line in &lines {
            let value: serde_json::Value =
                serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
            assert!(value["timestamp"].is_string() && value["level"].is_string(), "{line}");
            assert!(value["target"].as_str().is_some_and(|t| t.starts_with("bellcroft")), "{line}");
            assert!(value["message"].as_str().is_some_and(|m| !m.is_empty()), "{line}");
        }
    }
}

#[tokio::test]
async fn levels_apply_by_target_and_invalid_ones_are_rejected() {
    let (_, quiet) = lines(&["run", "--log-level", "info,bellcroft::discovery=off"], &[], false).await;
    assert!(quiet.iter().any(|l| l.contains("listening for clients")), "{quiet:?}");
    assert!(!quiet.iter().any(|l| l.contains("entry rejected") || l.contains("server ")), "{quiet:?}");
    let (code, refused) = lines(&["run", "--log-level", "bellcroft=loud"], &[], false).await;
    assert_eq!(code, Some(2));
    assert!(refused.len() == 1 && refused[0].contains("bellcroft=loud"), "{refused:?}");
    let (code, refused) = lines(&["run"], &[("BELLCROFT_LOG_FORMAT", "xml")], false).await;
    assert_eq!(code, Some(2));
    assert!(refused[0].contains("text or json was expected"), "{refused:?}");
}

#[tokio::test]
async fn closed_log_reader_does_not_end_process() {
    for format in ["text", "json"] {
        let (code, _) = lines(&["run", "--log-format", format], &[], true).await;
        assert_eq!(code, Some(0), "{format}");
    }
}

#[tokio::test]
async fn operator_file_is_checked_without_platform_file() {
    let folder = Folder::new();
    let check = |file: std::path::PathBuf| async move {
        let output = bellcroft([std::path::Path::new("check"), std::path::Path::new("--operator"), &file]);
        let output = { output }.env_remove("PROXY_CONFIG").output().await.expect("its output");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let good = folder.write("good.toml", "[[route]]\nname = \"r\"\nattempts = 2\n");
    let (code, out, err) = check(good).await;
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(out.contains("routes: 1") && out.contains("not checked") && out.contains("four rules"), "{out}");
    let bad = folder.write("bad.toml", "[daemon]\nstatus_evry = \"1s\"\n");
    let (code, _, err) = check(bad).await;
    assert_eq!(code, Some(2));
    assert!(err.contains("bad.toml:2: daemon.status_evry"), "{err}");
    // A file that names a configuration is checked with it.
    let named = folder.write("named.toml", "[instance]\nconfig = \"nowhere.json\"\n");
    let (code, _, err) = check(named).await;
    assert_eq!(code, Some(2));
    assert!(err.contains("nowhere.json"), "{err}");
}
