//! Tells a service manager how the daemon fares (sd_notify(3)): datagrams of `KEY=VALUE` lines to the socket that
//! `NOTIFY_SOCKET` names.

use std::os::linux::net::SocketAddrExt;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};
use std::time::Duration;

/// The service manager's end, if there is one.
pub struct Notify {
    to: Option<(UnixDatagram, SocketAddr)>,
    watchdog: Option<Duration>,
}

impl Notify {
    /// Finds the manager by the environment; the error says why the one that it names cannot be told.
    pub fn find(var: impl Fn(&str) -> Option<std::ffi::OsString>) -> (Self, Option<String>) {
        let watchdog = watchdog(|name| var(name)?.into_string().ok());
        let Some(name) = var("NOTIFY_SOCKET").filter(|name| !name.is_empty()) else {
            return (Notify { to: None, watchdog: None }, None);
        };
        let address = match name.as_bytes() {
            [b'@', rest @ ..] => SocketAddr::from_abstract_name(rest),
            _ => SocketAddr::from_pathname(&name),
        };
        let made = address.and_then(|address| {
            let socket = UnixDatagram::unbound()?;
            // A manager that reads nothing must not stop the daemon.
            socket.set_nonblocking(true)?;
            Ok((socket, address))
        });
        match made {
            Ok(to) => (Notify { to: Some(to), watchdog }, None),
            Err(e) => (Notify { to: None, watchdog: None }, Some(format!("NOTIFY_SOCKET: {e}"))),
        }
    }

    /// How often the manager wants a sign of life: half of what it allows, as sd_watchdog_enabled(3) advises.
    pub fn watchdog(&self) -> Option<Duration> {
        self.watchdog
    }

    fn say(&self, text: &str) {
        if let Some((socket, address)) = &self.to {
            // It may have gone; the daemon serves all the same.
            let _ = socket.send_to_addr(text.as_bytes(), address);
        }
    }

    /// It serves.
    pub fn ready(&self, status: &str) {
        self.say(&format!("READY=1\nSTATUS={status}\nMAINPID={}", std::process::id()));
    }

    /// It reads its files again; [`Notify::ready`] says that it is done.
    pub fn reloading(&self) {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let micros = now.tv_sec * 1_000_000 + now.tv_nsec / 1000;
        self.say(&format!("RELOADING=1\nMONOTONIC_USEC={micros}"));
    }

    /// It ends.
    pub fn stopping(&self) {
        self.say("STOPPING=1");
    }

    /// It lives.
    pub fn alive(&self) {
        self.say("WATCHDOG=1");
    }
}

/// Half of `WATCHDOG_USEC`, if that is meant for this process.
fn watchdog(var: impl Fn(&str) -> Option<String>) -> Option<Duration> {
    let micros: u64 = var("WATCHDOG_USEC")?.parse().ok().filter(|micros| *micros > 0)?;
    let own = std::process::id().to_string();
    let meant = var("WATCHDOG_PID").is_none_or(|id| id == own);
    meant.then(|| Duration::from_micros((micros / 2).max(1000)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_watchdog_is_this_process_s_or_none() {
        let with = |usec: &'static str, pid: Option<String>| {
            watchdog(move |name| match name {
                "WATCHDOG_USEC" => Some(usec.into()),
                _ => pid.clone(),
            })
        };
        let half = Some(Duration::from_millis(500));
        assert_eq!(with("1000000", None), half);
        assert_eq!(with("1000000", Some(std::process::id().to_string())), half);
        assert_eq!(with("1000000", Some("1".into())), None);
        assert_eq!(with("0", None), None);
        assert_eq!(with("soon", None), None);
    }
}
