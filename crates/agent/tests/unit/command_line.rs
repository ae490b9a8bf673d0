//! The command line's definition.

use super::*;
use clap::CommandFactory;

#[test]
fn the_command_line_is_consistent_and_each_command_has_its_help() {
    let mut command = Cli::command();
    command.clone().debug_assert();
    assert!(command.render_long_help().to_string().contains("already running"));
    for sub in command.get_subcommands() {
        assert!(sub.get_about().is_some(), "{}", sub.get_name());
    }
}
