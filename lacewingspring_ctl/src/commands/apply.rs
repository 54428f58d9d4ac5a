//! `apply`: declares the resources listed in files, in one transaction.

use crate::{
    api::Change,
    cli::{ApplyArgs, Format},
    client::Client,
    commands::transaction,
    error::Error,
    exit::Exit,
    files,
};

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: &ApplyArgs) -> Result<Exit, Error> {
    let resources = files::read_resources(&args.input.files)?;
    let changes = resources.into_iter().map(Change::Put).collect();
    transaction::run(client, format, changes, args.change).await
}
