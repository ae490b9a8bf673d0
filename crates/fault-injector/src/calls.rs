//! The functions that stand before those of the C library.
//!
//! Each has the name, the signature and the promises of the function that it stands for (`man 2 NAME`); what it does
//! besides is in [`crate::inject`].

use crate::descriptors;
use crate::inject::{clock_step, fault, load};
use crate::spec::{Call, Fault};
use libc::{c_char, c_int, c_void, clockid_t, epoll_event, iovec, mode_t, sockaddr, socklen_t, ssize_t};
use libc::{size_t, timespec};
use std::sync::atomic::{AtomicPtr, Ordering};

const MILLIS_PER_SECOND: i64 = 1_000;
const NANOS_PER_MILLI: i64 = 1_000_000;

#[used]
#[link_section = ".init_array"]
static LOAD: extern "C" fn() = on_load;

extern "C" fn on_load() {
    load();
}

/// A function of the C library, looked up at its first use.
struct Real {
    name: &'static [u8],
    address: AtomicPtr<c_void>,
}

impl Real {
    const fn new(name: &'static [u8]) -> Self {
        Real { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    fn get(&self) -> *mut c_void {
        let known = self.address.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name ends with a zero byte; looking a symbol up has no other condition.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr().cast()) };
        self.address.store(found, Ordering::Relaxed);
        found
    }
}

/// The function behind this one, by its type.
macro_rules! real {
    ($name:literal as $type:ty) => {{
        static REAL: Real = Real::new(concat!($name, "\0").as_bytes());
        // SAFETY: the type is that of the C library's function of this name.
        unsafe { std::mem::transmute::<*mut c_void, $type>(REAL.get()) }
    }};
}

fn fail(errno: i32) -> c_int {
    // SAFETY: the address is that of this thread's errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// `accept4(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::Accept, fd) {
        return fail(errno);
    }
    let real = real!("accept4" as unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    // SAFETY: the arguments are the caller's.
    let accepted = unsafe { real(fd, address, length, flags) };
    descriptors::accepted(accepted);
    accepted
}

/// `socket(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::Socket, -1) {
        return fail(errno);
    }
    let real = real!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the arguments are the caller's.
    let fd = unsafe { real(domain, kind, protocol) };
    descriptors::reset(fd);
    fd
}

/// `connect(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: an address of this family is at least as long as `sockaddr_in`.
    let port = unsafe {
        let internet = c_int::from((*address).sa_family) == libc::AF_INET;
        internet.then(|| u16::from_be((*address.cast::<libc::sockaddr_in>()).sin_port))
    };
    if let Some(port) = port {
        descriptors::connected(fd, port);
        if let Some(Fault::Errno(errno)) = fault(Call::Connect, fd) {
            return fail(errno);
        }
    }
    let real = real!("connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the arguments are the caller's.
    unsafe { real(fd, address, length) }
}

/// At most half of a length, and at least one.
fn half(length: size_t) -> size_t {
    (length / 2).max(length.min(1))
}

/// `recv(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match fault(Call::Recv, fd) {
        Some(Fault::Errno(errno)) => return fail(errno) as ssize_t,
        // So few that whatever has come, some of it is left.
        Some(Fault::Short) => length.min(SHORT_READ),
        _ => length,
    };
    let real = real!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are the caller's, with a length that is no larger.
    unsafe { real(fd, buffer, length, flags) }
}

/// The most of a read that is cut short.
const SHORT_READ: size_t = 7;

/// `send(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match fault(Call::Send, fd) {
        Some(Fault::Errno(errno)) => return fail(errno) as ssize_t,
        Some(Fault::Short) => half(length),
        _ => length,
    };
    let real = real!("send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the arguments are the caller's, with a length that is no larger.
    unsafe { real(fd, buffer, length, flags) }
}

/// `writev(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let real = real!("writev" as unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    match fault(Call::Writev, fd) {
        Some(Fault::Errno(errno)) => fail(errno) as ssize_t,
        Some(Fault::Short) if count > 0 => {
            // SAFETY: there is at least one part, and its first half is within it.
            let first = unsafe { *parts };
            let first = iovec { iov_base: first.iov_base, iov_len: half(first.iov_len) };
            // SAFETY: as above.
            unsafe { real(fd, &first, 1) }
        }
        // SAFETY: the arguments are the caller's.
        _ => unsafe { real(fd, parts, count) },
    }
}

/// `epoll_wait(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::EpollWait, fd) {
        return fail(errno);
    }
    let real = real!("epoll_wait" as unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    // SAFETY: the arguments are the caller's.
    unsafe { real(fd, events, most, timeout) }
}

/// `clock_gettime(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real = real!("clock_gettime" as unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: the arguments are the caller's.
    let done = unsafe { real(clock, time) };
    if done == 0 && clock == libc::CLOCK_REALTIME {
        let step = clock_step();
        if step != 0 {
            // SAFETY: the call has succeeded, so the caller's pointer holds a time.
            let time = unsafe { &mut *time };
            let millis = time.tv_sec * MILLIS_PER_SECOND + time.tv_nsec / NANOS_PER_MILLI + step;
            let rest = time.tv_nsec % NANOS_PER_MILLI;
            time.tv_sec = millis.div_euclid(MILLIS_PER_SECOND);
            time.tv_nsec = millis.rem_euclid(MILLIS_PER_SECOND) * NANOS_PER_MILLI + rest;
        }
    }
    done
}

/// `open(2)`, as the C library names it for large files. The mode is passed whether or not there is one.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let real = real!("open64" as unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int);
    // SAFETY: the arguments are the caller's; a mode that is not asked for is not looked at.
    let fd = unsafe { real(path, flags, mode) };
    descriptors::opened(fd);
    fd
}

/// `write(2)`; only files are made to fail.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let decided = if descriptors::is_file(fd) { fault(Call::Write, fd) } else { None };
    let length = match decided {
        Some(Fault::Errno(errno)) => return fail(errno) as ssize_t,
        Some(Fault::Short) => half(length),
        _ => length,
    };
    let real = real!("write" as unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    // SAFETY: the arguments are the caller's, with a length that is no larger.
    unsafe { real(fd, buffer, length) }
}

/// `fsync(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::Fsync, fd) {
        return fail(errno);
    }
    let real = real!("fsync" as unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the arguments are the caller's.
    unsafe { real(fd) }
}

/// `rename(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::Rename, -1) {
        return fail(errno);
    }
    let real = real!("rename" as unsafe extern "C" fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the arguments are the caller's.
    unsafe { real(from, to) }
}

/// `unlink(2)`.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    if let Some(Fault::Errno(errno)) = fault(Call::Unlink, -1) {
        return fail(errno);
    }
    let real = real!("unlink" as unsafe extern "C" fn(*const c_char) -> c_int);
    // SAFETY: the argument is the caller's.
    unsafe { real(path) }
}

/// `close(2)`; never made to fail, only noted.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    descriptors::reset(fd);
    let real = real!("close" as unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the arguments are the caller's.
    unsafe { real(fd) }
}
