//! What is to fail, as text in the environment.
//!
//! Rules are separated by semicolons or line ends: `CALL FAULT [key=value]...`. `CALL` is a name of [`Call`]. `FAULT` is the
//! name of an errno, `short` (at most half of what was asked), `stall` (the call is made after a pause) or, for
//! `clock_gettime`, `step` (the wall clock is off).
//!
//! | key | value | default |
//! | --- | --- | --- |
//! | `every` | one in so many calls, on average | 20 |
//! | `seed` | for the draws | 1 |
//! | `from`, `to` | milliseconds since the load within which it holds | always |
//! | `of` | `accepted`, `connected`, `file`, or a port that was connected to | any; of reads and writes any connection |
//! | `ms` | how long a `stall` lasts, by how much a `step` is off (may be negative) | 0 |

use std::sync::atomic::{AtomicU64, Ordering};

/// A function of the C library that can be made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv`.
    Recv,
    /// `send`.
    Send,
    /// `writev`.
    Writev,
    /// `epoll_wait`.
    EpollWait,
    /// `clock_gettime` of the wall clock.
    ClockGettime,
    /// `write` to a file.
    Write,
    /// `fsync`.
    Fsync,
    /// `rename`.
    Rename,
    /// `unlink`.
    Unlink,
}

impl Call {
    const NAMES: [(&'static str, Call); 12] = [
        ("accept4", Call::Accept),
        ("socket", Call::Socket),
        ("connect", Call::Connect),
        ("recv", Call::Recv),
        ("send", Call::Send),
        ("writev", Call::Writev),
        ("epoll_wait", Call::EpollWait),
        ("clock_gettime", Call::ClockGettime),
        ("write", Call::Write),
        ("fsync", Call::Fsync),
        ("rename", Call::Rename),
        ("unlink", Call::Unlink),
    ];

    /// The name of the function.
    pub fn name(self) -> &'static str {
        let named = Self::NAMES.iter().find(|(_, call)| *call == self);
        named.map_or("", |(name, _)| name)
    }
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this errno and is not made.
    Errno(i32),
    /// It is made for at most half of what was asked.
    Short,
    /// It is made after a pause of so many milliseconds.
    Stall(u64),
    /// The wall clock is off by so many milliseconds.
    Step(i64),
}

/// The descriptors that a rule is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Of {
    /// Any.
    Any,
    /// Connections, accepted or made: what a runtime passes its own signals by is none.
    Connection,
    /// Connections that were accepted.
    Accepted,
    /// Connections that were made.
    Connected,
    /// Connections to this port.
    Port(u16),
    /// Files.
    File,
}

/// One rule.
#[derive(Debug)]
pub struct Rule {
    /// The call that it is for.
    pub call: Call,
    /// What becomes of it.
    pub fault: Fault,
    /// One in so many calls.
    pub every: u64,
    /// From so many milliseconds since the load on.
    pub from_ms: u64,
    /// Until then.
    pub to_ms: u64,
    /// For these descriptors.
    pub of: Of,
    random: AtomicU64,
}

impl Rule {
    /// Draws whether this call is the one in so many.
    pub fn hits(&self) -> bool {
        // SplitMix64: the state is a counter, so that threads need no lock.
        const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut z = self.random.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)).is_multiple_of(self.every)
    }
}

const ERRNOS: [(&str, i32); 22] = [
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("EHOSTDOWN", libc::EHOSTDOWN),
    ("EOPNOTSUPP", libc::EOPNOTSUPP),
    ("ENOPROTOOPT", libc::ENOPROTOOPT),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// Reads a specification.
///
/// # Errors
///
/// The number of the rule, the word that is wrong, and what was expected.
pub fn parse(text: &str) -> Result<Vec<Rule>, String> {
    let rules = text.split([';', '\n']).enumerate().filter(|(_, rule)| !rule.trim().is_empty());
    rules.map(|(place, rule)| parse_rule(rule).map_err(|why| format!("rule {}: {why}", place + 1))).collect()
}

fn parse_rule(text: &str) -> Result<Rule, String> {
    let mut words = text.split_whitespace();
    let call = words.next().unwrap_or_default();
    let named = Call::NAMES.iter().find(|(name, _)| *name == call);
    let call = named.ok_or_else(|| format!("{call:?} is no call that can fail"))?.1;
    let fault = words.next().ok_or("a fault is missing behind the call")?;
    let mut rule = Rule {
        call,
        fault: Fault::Short,
        every: 20,
        from_ms: 0,
        to_ms: u64::MAX,
        of: match call {
            Call::Recv | Call::Send | Call::Writev => Of::Connection,
            _ => Of::Any,
        },
        random: AtomicU64::new(1),
    };
    let mut ms = 0_i64;
    for word in words {
        let (key, value) = word.split_once('=').ok_or_else(|| format!("{word:?} is no key=value"))?;
        let bad = |what: &str| format!("{word:?}: {what} was expected");
        match key {
            "every" => rule.every = value.parse().ok().filter(|n| *n > 0).ok_or_else(|| bad("a count"))?,
            "seed" => *rule.random.get_mut() = value.parse().map_err(|_| bad("a number"))?,
            "from" => rule.from_ms = value.parse().map_err(|_| bad("milliseconds"))?,
            "to" => rule.to_ms = value.parse().map_err(|_| bad("milliseconds"))?,
            "ms" => ms = value.parse().map_err(|_| bad("milliseconds"))?,
            "of" => {
                rule.of = match value {
                    "accepted" => Of::Accepted,
                    "connected" => Of::Connected,
                    "file" => Of::File,
                    port => Of::Port(port.parse().map_err(|_| bad("accepted, connected, file or a port"))?),
                }
            }
            _ => return Err(format!("{key:?} is no key; every, seed, from, to, of or ms was expected")),
        }
    }
    rule.fault = match fault {
        "short" => Fault::Short,
        "stall" => Fault::Stall(u64::try_from(ms).map_err(|_| "a stall can't be negative")?),
        "step" if call == Call::ClockGettime => Fault::Step(ms),
        name => {
            let known = ERRNOS.iter().find(|(known, _)| *known == name);
            Fault::Errno(known.ok_or_else(|| format!("{name:?} is no fault"))?.1)
        }
    };
    Ok(rule)
}
