//! `completion`: prints a completion script.

use std::io::{self, Write};

use clap::CommandFactory;
use clap_complete::Shell;

use crate::{cli::Cli, error::Error, exit::Exit};

/// Runs the command.
pub fn run(shell: Shell) -> Result<Exit, Error> {
    let mut command = Cli::command();
    let name = command.get_name().to_owned();
    // The generator panics if a write fails, so it writes to memory first.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, name, &mut script);
    io::stdout().write_all(&script)?;
    Ok(Exit::Done)
}
