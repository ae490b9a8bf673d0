//! An instance's process: started, or found as an earlier supervisor left it.
//!
//! A process is known by a pidfd (pidfd_open(2)): a signal that goes through one reaches that process or nobody, also
//! when its number has been given to another.

use crate::daemon::{control, state};
use bellcroft_operator_config::Member;
use command_fds::{CommandFdExt, FdMapping};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use serde_json::json;
use std::fs::OpenOptions;
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::net::unix::pipe::Receiver;

/// An instance's log is put aside once it is this long when a process starts.
const LOG_MOST: u64 = 4 << 20;
/// The descriptor from which sockets are handed over (sd_listen_fds(3), `SD_LISTEN_FDS_START`).
const FIRST_SOCKET: i32 = 3;
/// How long a process that holds its lock is asked who it is.
const ADOPT_TRIES: u32 = 20;
const ADOPT_PAUSE: Duration = Duration::from_millis(100);

/// A running process.
pub struct Process {
    /// Its number, for people.
    pub pid: u32,
    handle: OwnedFd,
}

impl Process {
    /// The same process by another copy of its pidfd.
    pub fn try_clone(&self) -> io::Result<Self> {
        Ok(Process { pid: self.pid, handle: self.handle.try_clone()? })
    }

    /// Sends a signal to this process and to no other.
    pub fn signal(&self, signal: Signal) {
        // One that has ended meanwhile needs none.
        let _ = pidfd_send_signal(&self.handle, signal);
    }

    /// Waits for its end, if it is not this one's child: its pidfd becomes readable.
    pub async fn ended(self) {
        // The runtime's only safe way to wait for a descriptor of another kind; nothing is ever read from it.
        if let Ok(handle) = Receiver::from_owned_fd_unchecked(self.handle) {
            let _ = handle.readable().await;
        }
    }
}

fn open(pid: u32) -> io::Result<OwnedFd> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
    Ok(pidfd_open(pid, PidfdFlags::empty())?)
}

/// Starts a process of the instance with its listening socket.
pub fn start(
    member: &Member,
    program: &Path,
    dir: &Path,
    listener: &TcpListener,
) -> io::Result<(Process, tokio::process::Child)> {
    std::fs::create_dir_all(dir)?;
    let log = dir.join("log");
    if std::fs::metadata(&log).is_ok_and(|about| about.len() > LOG_MOST) {
        std::fs::rename(&log, dir.join("log.old"))?;
    }
    let log = OpenOptions::new().create(true).append(true).mode(0o600).open(&log)?;
    // `LISTEN_PID` must be the process's own number, which only the process itself knows before it begins: the shell
    // sets it and becomes the program.
    let mut command = std::process::Command::new("/bin/sh");
    command.arg("-c").arg("LISTEN_PID=$$ exec \"$0\" \"$@\"").arg(program).arg("run").arg("--state").arg(dir);
    if let Some(operator) = &member.operator {
        command.arg("--operator").arg(operator);
    }
    command.arg("--config").arg(&member.config);
    for own in [
        "NOTIFY_SOCKET",
        "WATCHDOG_USEC",
        "WATCHDOG_PID",
        "LISTEN_FDNAMES",
        "PROXY_CONFIG",
        "PROXY_DISCOVERY",
    ] {
        // What was said to the supervisor is not meant for the instances.
        command.env_remove(own);
    }
    command
        .env("PROXY_NAME", &member.name)
        .env("PROXY_LISTEN", listener.local_addr()?.to_string())
        .env("LISTEN_FDS", "1")
        .envs(crate::log::variables())
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        // A file and no pipe: the instance outlives its supervisor.
        .stderr(log)
        // What a terminal sends to the supervisor's group is the supervisor's to pass on.
        .process_group(0);
    let socket = FdMapping { parent_fd: OwnedFd::from(listener.try_clone()?), child_fd: FIRST_SOCKET };
    command.fd_mappings(vec![socket]).map_err(io::Error::other)?;
    let child = tokio::process::Command::from(command).spawn()?;
    let pid = child.id().ok_or(io::ErrorKind::NotFound)?;
    // It is a child that nobody has waited for: its number is its own.
    Ok((Process { pid, handle: open(pid)? }, child))
}

/// What an earlier supervisor left of an instance.
pub enum Left {
    /// Nothing runs.
    Nothing,
    /// This process, and its listening socket if it gave that.
    Running(Process, Option<TcpListener>),
    /// Something holds the instance's lock and does not say who it is.
    Unknown,
}

/// Finds the process that holds an instance's lock, if any. Its number is the kernel's word on who made its control
/// socket, never a file's, and it is asked again once its pidfd is open: if it still answers, the pidfd is its own.
pub async fn adopt(dir: &Path) -> Left {
    for _ in 0..ADOPT_TRIES {
        if !state::is_locked(dir) {
            return Left::Nothing;
        }
        if let Some((process, listener)) = find(dir).await {
            return Left::Running(process, listener);
        }
        // It is on its way up or down.
        tokio::time::sleep(ADOPT_PAUSE).await;
    }
    Left::Unknown
}

async fn find(dir: &Path) -> Option<(Process, Option<TcpListener>)> {
    let first = control::request(dir, &json!({"command": "status"})).await.ok()?.pid?;
    let handle = open(first).ok()?;
    let again = control::request(dir, &json!({"command": "listener"})).await.ok()?;
    if again.pid != Some(first) {
        return None;
    }
    Some((Process { pid: first, handle }, again.descriptor.map(TcpListener::from)))
}
