//! Exit codes, the same for every command.

/// What was asked for was tried and did not come about.
pub(crate) const NOT_DONE: u8 = 1;
/// A file, an option or the environment is wrong.
pub(crate) const BAD_INPUT: u8 = 2;
/// Another process holds the state directory.
pub(crate) const ALREADY_RUNNING: u8 = 3;
/// Nobody does.
pub(crate) const NOT_RUNNING: u8 = 4;
