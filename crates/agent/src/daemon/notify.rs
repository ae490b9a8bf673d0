//! Notifications to a service manager (sd_notify(3)): datagrams of `KEY=VALUE` lines to the socket that `NOTIFY_SOCKET`
//! names.

use std::os::linux::net::SocketAddrExt;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};
use std::time::Duration;

/// The service manager's socket, if there is one.
pub struct Notify {
    socket: Option<(UnixDatagram, SocketAddr)>,
    watchdog: Option<Duration>,
}

impl Notify {
    /// Finds the manager's socket by the environment; also returns why the one that is named cannot be used.
    pub fn find(var: impl Fn(&str) -> Option<std::ffi::OsString>) -> (Self, Option<String>) {
        let watchdog = watchdog(|name| var(name)?.into_string().ok());
        let Some(name) = var("NOTIFY_SOCKET").filter(|name| !name.is_empty()) else {
            return (Notify { socket: None, watchdog: None }, None);
        };
        let address = match name.as_bytes() {
            [b'@', rest @ ..] => SocketAddr::from_abstract_name(rest),
            _ => SocketAddr::from_pathname(&name),
        };
        let opened = address.and_then(|address| {
            let socket = UnixDatagram::unbound()?;
            // A manager that does not read must not block the daemon.
            socket.set_nonblocking(true)?;
            Ok((socket, address))
        });
        match opened {
            Ok(socket) => (Notify { socket: Some(socket), watchdog }, None),
            Err(e) => (Notify { socket: None, watchdog: None }, Some(format!("NOTIFY_SOCKET: {e}"))),
        }
    }

    /// The interval of [`Notify::alive`]: half of the manager's time-out, as sd_watchdog_enabled(3) recommends.
    pub fn watchdog(&self) -> Option<Duration> {
        self.watchdog
    }

    fn send(&self, text: &str) {
        if let Some((socket, address)) = &self.socket {
            // The manager may have exited; the daemon serves all the same.
            let _ = socket.send_to_addr(text.as_bytes(), address);
        }
    }

    /// The daemon serves.
    pub fn ready(&self, status: &str) {
        self.send(&format!("READY=1\nSTATUS={status}\nMAINPID={}", std::process::id()));
    }

    /// A reload begins; [`Notify::ready`] reports its end.
    pub fn reloading(&self) {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let micros = now.tv_sec * 1_000_000 + now.tv_nsec / 1000;
        self.send(&format!("RELOADING=1\nMONOTONIC_USEC={micros}"));
    }

    /// The shutdown begins.
    pub fn stopping(&self) {
        self.send("STOPPING=1");
    }

    /// The watchdog's keep-alive.
    pub fn alive(&self) {
        self.send("WATCHDOG=1");
    }
}

/// Half of `WATCHDOG_USEC`, if `WATCHDOG_PID` is this process or absent.
fn watchdog(var: impl Fn(&str) -> Option<String>) -> Option<Duration> {
    let micros: u64 = var("WATCHDOG_USEC")?.parse().ok().filter(|micros| *micros > 0)?;
    let own = std::process::id().to_string();
    let addressed = var("WATCHDOG_PID").is_none_or(|id| id == own);
    addressed.then(|| Duration::from_micros((micros / 2).max(1000)))
}

#[cfg(test)]
#[path = "../../tests/unit/daemon_notify.rs"]
mod tests;
