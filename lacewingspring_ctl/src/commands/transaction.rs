//! Sends the transactions of `apply`, `diff` and `delete`.

use std::fmt::{self, Formatter};

use serde::Serialize;

use crate::{
    api::{Change, Transaction, TransactionResult, WaitResult},
    cli::{ChangeArgs, Format},
    client::{Call, Client, Effect},
    commands::wait,
    error::Error,
    exit::Exit,
    output::{self, Render},
};

/// Output of a command that changes resources.
#[derive(Debug, Serialize)]
struct Outcome {
    /// Differences that the transaction made or would make.
    #[serde(flatten)]
    result: TransactionResult,
    /// Whether the transaction was only validated.
    dry_run: bool,
    /// Result of the wait for the change to be in force; `None` without `--wait`.
    #[serde(skip_serializing_if = "Option::is_none")]
    wait: Option<WaitResult>,
}

impl Render for Outcome {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.result.render(f)?;
        if self.dry_run {
            writeln!(f, "dry run: nothing was changed")?;
        }
        match &self.wait {
            Some(wait) => wait.render(f),
            None => Ok(()),
        }
    }
}

/// Sends the changes, waits for them to be in force if requested, and prints the outcome.
pub async fn run(
    client: &Client,
    format: Format,
    changes: Vec<Change>,
    args: ChangeArgs,
) -> Result<Exit, Error> {
    let expect_generation = args.expect_generation;
    let transaction = Transaction { changes, expect_generation, dry_run: args.dry_run };
    let result = send(client, &transaction).await?;
    if args.dry_run {
        output::print(format, &Outcome { result, dry_run: true, wait: None })?;
        return Ok(Exit::Done);
    }
    if !args.wait {
        output::print_outcome(format, &Outcome { result, dry_run: false, wait: None })?;
        return Ok(Exit::Done);
    }
    let generation = result.generation;
    let (wait, failure) = match wait::fetch(client, generation).await {
        Ok(wait) => (Some(wait), None),
        Err(err) => (None, Some(err)),
    };
    let exit = wait.as_ref().map_or(Exit::Differs, wait::exit);
    // The change is accepted even if the wait fails, so its differences are printed before the
    // error.
    output::print_outcome(format, &Outcome { result, dry_run: false, wait })?;
    match failure {
        Some(err) => Err(Error::WaitFailed { generation, source: Box::new(err) }),
        None => Ok(exit),
    }
}

/// Sends a transaction.
pub async fn send(client: &Client, transaction: &Transaction) -> Result<TransactionResult, Error> {
    let effect = if transaction.dry_run { Effect::Read } else { Effect::Write };
    client.fetch(Call::post("/operator/v1/transactions", effect, transaction)?).await
}
