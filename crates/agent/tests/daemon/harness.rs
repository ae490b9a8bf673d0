//! A daemon with its files, and its processes.

use serde_json::Value;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use testbed::*;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::UnixStream;
use tokio::process::Child;
use tokio::process::Command;

/// An instance with an operator's file and a state directory.
pub(super) struct Daemon {
    pub(super) folder: Folder,
    pub(super) operator: PathBuf,
    pub(super) config: PathBuf,
    pub(super) state: PathBuf,
}

/// One of its processes, once it listens.
pub(super) struct Running {
    pub(super) child: Child,
    pub(super) address: std::net::SocketAddr,
    pub(super) log: tokio::task::JoinHandle<String>,
}

impl Daemon {
    pub(super) fn new(config: &Value) -> Self {
        Self::with(config, "status_every = \"50ms\"\n")
    }

    pub(super) fn with(config: &Value, more: &str) -> Self {
        let folder = Folder::new();
        let config = folder.write("config.json", &config.to_string());
        let operator = folder.write(
            "agent.toml",
            &format!("[instance]\nconfig = \"config.json\"\n[daemon]\nstate = \"state\"\n{more}"),
        );
        let state = folder.path().join("state");
        Daemon { folder, operator, config, state }
    }

    pub(super) fn command(&self) -> Command {
        let mut command = bellcroft([Path::new("run"), Path::new("--operator"), &self.operator]);
        command.stderr(Stdio::piped());
        command
    }

    pub(super) async fn start(&self) -> Running {
        running(self.command()).await
    }

    /// What `bellcroft status --json` says, and its exit code.
    pub(super) async fn status(&self) -> (Value, Option<i32>) {
        let output = bellcroft([Path::new("status"), Path::new("--json"), Path::new("--state"), &self.state]);
        let output = { output }.output().await.expect("its output");
        (serde_json::from_slice(&output.stdout).unwrap_or_default(), output.status.code())
    }

    pub(super) async fn until(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        soon(what, async {
            loop {
                let (status, _) = self.status().await;
                if wanted(&status) {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await
    }

    pub(super) async fn ask(&self, request: &Value) -> Value {
        let mut stream = UnixStream::connect(self.state.join("control.sock")).await.expect("it listens");
        stream.write_all(format!("{request}\n").as_bytes()).await.expect("it reads");
        let mut line = String::new();
        soon("an answer", BufReader::new(stream).read_line(&mut line)).await.expect("an answer");
        serde_json::from_str(&line).expect("JSON")
    }

    pub(super) fn file(&self) -> Value {
        serde_json::from_slice(&std::fs::read(self.state.join("status.json")).expect("it is there"))
            .expect("whole")
    }
}

pub(super) async fn running(mut command: Command) -> Running {
    let mut child = command.spawn().expect("the program starts");
    let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
    let mut text = String::new();
    let address = loop {
        let line = soon("the start", lines.next_line()).await.expect("a log");
        let line = line.unwrap_or_else(|| panic!("it ended:\n{text}"));
        text.push_str(&line);
        text.push('\n');
        if let Some(address) = log_field(&line, "listening for clients", "address") {
            break address.parse().expect("an address");
        }
    };
    let log = tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            text.push_str(&line);
            text.push('\n');
        }
        text
    });
    Running { child, address, log }
}

impl Running {
    pub(super) async fn signal(&self, signal: &str) {
        kill(signal, self.child.id().expect("it runs")).await;
    }

    pub(super) async fn ask(&self, text: &str) -> Message {
        Client { stream: TcpStream::connect(self.address).await.expect("a connection") }.ask(text).await
    }

    /// Its exit code and its log.
    pub(super) async fn end(mut self) -> (Option<i32>, String) {
        let status = soon("its end", self.child.wait()).await.expect("a status");
        (status.code(), self.log.await.expect("its log"))
    }
}

pub(super) async fn world() -> (Backend, Directory, Value) {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let config = config(directory.address, &[host("s", backend.address, "up")]);
    (backend, directory, config)
}
