//! Command-line tool of lacewingspring: manages resources, shows the state of the fleet and sends
//! requests to services.

use std::process::ExitCode;

use clap::Parser;

use crate::{cli::Cli, exit::Exit};

mod api;
mod cli;
mod client;
mod commands;
mod error;
mod exit;
mod files;
mod output;
mod sse;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let format = cli.global.output;
    let exit = match commands::run(cli) {
        Ok(exit) => exit,
        Err(err) => {
            output::print_error(format, &err);
            Exit::from(&err)
        }
    };
    exit.into()
}
