//! Command line of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Schedules requests for heterogeneous engines.
#[derive(Debug, Parser)]
#[command(name = "lacewingspring", version, about)]
pub struct Cli {
    /// Settings file in JSON format.
    #[arg(long, value_name = "FILE", required_unless_present = "make_authority")]
    pub settings: Option<PathBuf>,

    /// Check the settings and exit with status 0 if they are valid, 2 if not.
    #[arg(long)]
    pub check: bool,

    /// Create a certificate authority for instances in this folder and exit.
    #[arg(long, value_name = "FOLDER", conflicts_with = "settings")]
    pub make_authority: Option<PathBuf>,
}
