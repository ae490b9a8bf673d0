//! Who accepts at the listening sockets of a fleet, and what two processes of one instance share while one replaces the other.

mod deaths;
mod replacement;
mod site;
