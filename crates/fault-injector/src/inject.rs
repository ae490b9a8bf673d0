//! Decides what becomes of a call, and counts it.

use crate::descriptors;
use crate::spec::{parse, Call, Fault, Rule};
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The rules and the moment from which their times count.
struct Loaded {
    rules: Vec<Rule>,
    begin: Instant,
}

static LOADED: OnceLock<Loaded> = OnceLock::new();
/// The file of the counts, or -1.
static COUNTS: AtomicI32 = AtomicI32::new(-1);

/// Names the rules.
pub const SPECIFICATION: &str = "FAULTSHIM";
/// Names the file that gets a line for each fault.
pub const COUNTS_FILE: &str = "FAULTSHIM_COUNTS";

/// The status of a process whose specification is wrong.
const BAD_SPECIFICATION: i32 = 2;

/// Reads the specification, once, before the program's `main`.
pub fn load() {
    let text = std::env::var(SPECIFICATION).unwrap_or_default();
    let rules = match parse(&text) {
        Ok(rules) => rules,
        Err(why) => {
            eprintln!("fault-injector: {SPECIFICATION}: {why}");
            std::process::exit(BAD_SPECIFICATION);
        }
    };
    if let Ok(file) = std::env::var(COUNTS_FILE) {
        use std::os::fd::IntoRawFd;
        let opened = std::fs::OpenOptions::new().create(true).append(true).open(&file);
        match opened {
            Ok(opened) => COUNTS.store(opened.into_raw_fd(), Ordering::Relaxed),
            Err(why) => {
                eprintln!("fault-injector: {file}: {why}");
                std::process::exit(BAD_SPECIFICATION);
            }
        }
    }
    let _ = LOADED.set(Loaded { rules, begin: Instant::now() });
}

/// What becomes of this call on this descriptor, if anything does. A stall is over when this returns.
pub fn fault(call: Call, fd: i32) -> Option<Fault> {
    let loaded = LOADED.get()?;
    let mine = |rule: &&Rule| rule.call == call;
    if !loaded.rules.iter().any(|rule| mine(&rule)) {
        return None;
    }
    let elapsed = loaded.begin.elapsed().as_millis() as u64;
    let due = |rule: &&Rule| (rule.from_ms..rule.to_ms).contains(&elapsed);
    let on_it = |rule: &&Rule| descriptors::matches(rule.of, fd) && rule.hits();
    let rule = loaded.rules.iter().filter(mine).filter(due).find(on_it)?;
    count(call, rule.fault);
    match rule.fault {
        Fault::Stall(ms) => {
            std::thread::sleep(Duration::from_millis(ms));
            None
        }
        fault => Some(fault),
    }
}

/// By how many milliseconds the wall clock is off now.
pub fn clock_step() -> i64 {
    let Some(loaded) = LOADED.get() else { return 0 };
    let steps = loaded.rules.iter().filter_map(|rule| match rule.fault {
        Fault::Step(ms) => Some((rule, ms)),
        _ => None,
    });
    let mut steps = steps.peekable();
    if steps.peek().is_none() {
        return 0;
    }
    let elapsed = loaded.begin.elapsed().as_millis() as u64;
    steps.filter(|(rule, _)| (rule.from_ms..rule.to_ms).contains(&elapsed)).map(|(_, ms)| ms).sum()
}

fn count(call: Call, fault: Fault) {
    let fd = COUNTS.load(Ordering::Relaxed);
    if fd < 0 {
        return;
    }
    let kind: &[u8] = match fault {
        Fault::Errno(_) => b" errno\n",
        Fault::Short => b" short\n",
        Fault::Stall(_) => b" stall\n",
        Fault::Step(_) => b" step\n",
    };
    let parts = [call.name().as_bytes(), kind];
    let parts = parts.map(|part| libc::iovec { iov_base: part.as_ptr() as *mut _, iov_len: part.len() });
    // SAFETY: both parts outlive the call, which only reads them; by number, so that it is not intercepted itself.
    unsafe { libc::syscall(libc::SYS_writev, fd, parts.as_ptr(), parts.len()) };
}
