//! Command line of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Schedules requests for unlike engines.
#[derive(Debug, Parser)]
#[command(name = "lacewingspring", version, about)]
pub struct Cli {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE", required_unless_present = "make_authority")]
    pub settings: Option<PathBuf>,

    /// Check the settings and exit: 0 when they are sound, 2 when not.
    #[arg(long)]
    pub check: bool,

    /// Make an authority for the certificates of instances in this folder and exit.
    #[arg(long, value_name = "FOLDER", conflicts_with = "settings")]
    pub make_authority: Option<PathBuf>,
}
