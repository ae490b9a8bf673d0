//! An instance as a daemon: its state directory, its control socket, its reloads and its shutdown.

mod commands;
mod harness;
mod lifecycle;
mod service_manager;
mod state_directory;
