//! The lacewingspring daemon.

use std::{error::Error, path::Path, process::ExitCode};

use clap::Parser;
use lacewingspring::{daemon, logging, peers::Authority, settings::Settings};
use tokio::runtime;

use crate::cli::Cli;

mod cli;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(folder) = cli.make_authority {
        return finish(make_authority(&folder));
    }
    let settings = match Settings::load(&cli.settings.unwrap_or_default()) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("settings: {e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if cli.check {
        println!("The settings are valid.");
        return ExitCode::SUCCESS;
    }
    finish(start(settings))
}

fn finish(result: Result<(), Box<dyn Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lacewingspring: {e}");
            ExitCode::FAILURE
        }
    }
}

fn make_authority(folder: &Path) -> Result<(), Box<dyn Error>> {
    Authority::create()?.write(folder)?;
    Ok(())
}

fn start(settings: Settings) -> Result<(), Box<dyn Error>> {
    logging::start(&settings.log)?;
    let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(daemon::run(settings))?;
    Ok(())
}
