use clap::CommandFactory;

use super::*;

/// Operators' scripts use these names, so they must not change.
#[test]
fn the_subcommands_keep_their_names() {
    let command = Cli::command();
    let names: Vec<&str> = command
        .get_subcommands()
        .map(|command| command.get_name())
        .collect();
    assert_eq!(
        names,
        [
            "serve", "check", "cordon", "drain", "uncordon", "drains", "budget"
        ]
    );
}
