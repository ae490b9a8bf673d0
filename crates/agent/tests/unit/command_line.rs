//! Tests of the command line's definition.

use super::*;
use clap::CommandFactory;

#[test]
fn command_line_is_consistent_and_documented() {
    let mut command = Cli::command();
    command.clone().debug_assert();
    assert!(command.render_long_help().to_string().contains("already running"));
    for sub in command.get_subcommands() {
        assert!(sub.get_about().is_some(), "{}", sub.get_name());
    }
}
