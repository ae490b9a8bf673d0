//! Processes of instances, started here or adopted from an earlier supervisor.
//!
//! A process is identified by a pidfd (pidfd_open(2)), so that a signal never reaches another process that has reused
//! the process id.

use super::slot::ProcessRole;
use crate::daemon::commands::{InstanceRequest, ListenerReply};
use crate::daemon::{control, state, SUCCESSOR_VARIABLE};
use bellcroft_operator_config::FleetInstance;
use command_fds::{CommandFdExt, FdMapping};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
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

/// A log file larger than this is rotated when a process starts.
const MAX_LOG_BYTES: u64 = 4 << 20;
/// Number of the first descriptor of passed sockets (sd_listen_fds(3), `SD_LISTEN_FDS_START`).
const LISTEN_FDS_START: i32 = 3;
/// Maximum attempts to adopt a process that holds its state directory's lock, which may still be starting or stopping.
const ADOPTION_ATTEMPTS: u32 = 20;
const ADOPTION_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A running process.
pub struct Process {
    /// Process id, for display and for checks.
    pub pid: u32,
    pidfd: OwnedFd,
}

impl Process {
    /// Returns a second handle of the same process, with a duplicate of its pidfd.
    pub fn try_clone(&self) -> io::Result<Self> {
        Ok(Process { pid: self.pid, pidfd: self.pidfd.try_clone()? })
    }

    /// Sends a signal to this process and to no other.
    pub fn signal(&self, signal: Signal) {
        // The only expected error is that the process has exited.
        let _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// Completes when the process has exited, even if it is not a child of this process: its pidfd becomes readable.
    pub async fn exited(self) {
        // `Receiver` is the runtime's only safe way to wait for a descriptor of another kind; nothing is read from it.
        if let Ok(pidfd) = Receiver::from_owned_fd_unchecked(self.pidfd) {
            let _ = pidfd.readable().await;
        }
    }
}

fn open_pidfd(pid: u32) -> io::Result<OwnedFd> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
    Ok(pidfd_open(pid, PidfdFlags::empty())?)
}

/// Starts a process of the instance and passes it the listening socket.
///
/// # Errors
///
/// Returns an error if the state directory, the log or the process cannot be created.
pub fn start(
    member: &FleetInstance,
    program: &Path,
    dir: &Path,
    listener: &TcpListener,
    role: ProcessRole,
) -> io::Result<(Process, tokio::process::Child)> {
    std::fs::create_dir_all(dir)?;
    let log = dir.join("log");
    if std::fs::metadata(&log).is_ok_and(|metadata| metadata.len() > MAX_LOG_BYTES) {
        std::fs::rename(&log, dir.join("log.old"))?;
    }
    let log = OpenOptions::new().create(true).append(true).mode(0o600).open(&log)?;
    let mut command = instance_command(member, program, dir);
    if role == ProcessRole::Successor {
        command.env(SUCCESSOR_VARIABLE, "1");
    }
    command
        .env("PROXY_NAME", &member.name)
        .env("PROXY_LISTEN", listener.local_addr()?.to_string())
        .env("LISTEN_FDS", "1")
        .envs(crate::log::variables())
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        // A file rather than a pipe, because the instance continues to run without its supervisor.
        .stderr(log)
        // A process group of its own keeps terminal signals from the instance; the supervisor handles them.
        .process_group(0);
    let socket = FdMapping { parent_fd: OwnedFd::from(listener.try_clone()?), child_fd: LISTEN_FDS_START };
    command.fd_mappings(vec![socket]).map_err(io::Error::other)?;
    let child = tokio::process::Command::from(command).spawn()?;
    let pid = child.id().ok_or(io::ErrorKind::NotFound)?;
    // The process id is not reused before the child is reaped, so the pidfd refers to the child.
    Ok((Process { pid, pidfd: open_pidfd(pid)? }, child))
}

/// Returns the command that starts an instance, without the supervisor's own environment variables.
fn instance_command(member: &FleetInstance, program: &Path, dir: &Path) -> std::process::Command {
    // `LISTEN_PID` must be the process's own id, which is known only in the process: the shell sets the variable, then
    // executes the program.
    let mut command = std::process::Command::new("/bin/sh");
    command.arg("-c").arg("LISTEN_PID=$$ exec \"$0\" \"$@\"").arg(program).arg("run").arg("--state").arg(dir);
    if let Some(operator) = &member.operator {
        command.arg("--operator").arg(operator);
    }
    command.arg("--config").arg(&member.config);
    for variable in [
        "NOTIFY_SOCKET",
        "WATCHDOG_USEC",
        "WATCHDOG_PID",
        "LISTEN_FDNAMES",
        "PROXY_CONFIG",
        "PROXY_DISCOVERY",
        SUCCESSOR_VARIABLE,
    ] {
        command.env_remove(variable);
    }
    command
}

/// A process that an earlier supervisor started.
pub struct AdoptedProcess {
    /// The process that holds the instance's state directory.
    pub process: Process,
    /// The process that it has replaced, if that is still running.
    pub predecessor: Option<Process>,
    /// The listening socket, if the process passed it.
    pub listener: Option<TcpListener>,
}

/// Result of the search for a process that an earlier supervisor started.
pub enum Adoption {
    /// No process runs.
    NotRunning,
    /// A process runs.
    Running(AdoptedProcess),
    /// A process holds the instance's lock and does not respond.
    Unresponsive,
}

/// Finds the process that holds an instance's lock, if any. The process id comes from the peer credentials of the
/// control socket, never from a file. A second request follows once the pidfd is open: if the same process replies, the
/// pidfd refers to that process.
pub async fn adopt(dir: &Path) -> Adoption {
    for _ in 0..ADOPTION_ATTEMPTS {
        if !state::is_locked(dir) {
            return Adoption::NotRunning;
        }
        if let Some(adopted) = find_process(dir).await {
            return Adoption::Running(adopted);
        }
        tokio::time::sleep(ADOPTION_RETRY_INTERVAL).await;
    }
    Adoption::Unresponsive
}

async fn find_process(dir: &Path) -> Option<AdoptedProcess> {
    let pid = control::request(dir, &InstanceRequest::Status).await.ok()?.pid?;
    let pidfd = open_pidfd(pid).ok()?;
    let reply = control::request(dir, &InstanceRequest::Listener).await.ok()?;
    if reply.pid != Some(pid) {
        return None;
    }
    let predecessor = match ListenerReply::predecessor(&reply.value) {
        Some(predecessor) => find_predecessor(dir, pid, predecessor).await,
        None => None,
    };
    Some(AdoptedProcess {
        process: Process { pid, pidfd },
        predecessor,
        listener: reply.descriptor.map(TcpListener::from),
    })
}

/// Opens the process that `pid` has replaced. If `pid` still names it afterwards, the pidfd refers to that process.
async fn find_predecessor(dir: &Path, pid: u32, predecessor: u32) -> Option<Process> {
    let pidfd = open_pidfd(predecessor).ok()?;
    let reply = control::request(dir, &InstanceRequest::Listener).await.ok()?;
    let is_same = reply.pid == Some(pid) && ListenerReply::predecessor(&reply.value) == Some(predecessor);
    is_same.then_some(Process { pid: predecessor, pidfd })
}
