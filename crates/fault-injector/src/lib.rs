//! A library for `LD_PRELOAD` that has system calls of a process under test fail, stall or do less than was asked.
//!
//! The specification is read from the environment when the library is loaded ([`spec`]); without one every call is passed
//! on. Faults are drawn from a seed for each rule, and counted in the file that `FAULTSHIM_COUNTS` names, a line each.
//!
//! Safety: each exported function has the signature of the function of the C library that it stands for, and passes its
//! arguments on to it unchanged, but for lengths, which it only makes smaller. Nothing here allocates or locks once the
//! library is loaded, so the functions may be called from any thread and from signal handlers.

pub mod calls;
pub mod descriptors;
pub mod inject;
pub mod spec;
