//! `diff`: shows what `apply` would change.

use crate::{
    api::{Change, Transaction},
    cli::{FileArgs, Format},
    client::Client,
    commands::transaction,
    error::Error,
    exit::Exit,
    files, output,
};

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: &FileArgs) -> Result<Exit, Error> {
    let resources = files::read_resources(&args.files)?;
    let changes = resources.into_iter().map(Change::Put).collect();
    let transaction = Transaction { changes, expect_generation: None, dry_run: true };
    let result = transaction::send(client, &transaction).await?;
    output::print(format, &result)?;
    Ok(if result.differs() { Exit::Differs } else { Exit::Done })
}
