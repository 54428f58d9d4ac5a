//! `wait`: waits until every live instance applies a generation.

use std::{
    fmt::{self, Formatter},
    time::Duration,
};

use crate::{
    api::{Laggard, WaitResult},
    cli::Format,
    client::{Call, Client},
    error::Error,
    exit::Exit,
    output::{
        self, Render,
        table::{Table, or_dash},
    },
};

/// Time for the response to arrive after the server has ended the wait. It is added to the timeout
/// of the request, which would otherwise expire at the same time as the wait.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Runs the command.
pub async fn run(client: &Client, format: Format, generation: u64) -> Result<Exit, Error> {
    let result = fetch(client, generation).await?;
    output::print(format, &result)?;
    Ok(exit(&result))
}

/// Waits for a generation for at most the client's timeout.
pub async fn fetch(client: &Client, generation: u64) -> Result<WaitResult, Error> {
    let ms = client.timeout().as_millis();
    let path = format!("/operator/v1/wait?generation={generation}&timeout_ms={ms}");
    client.fetch(Call::get(&path)?.timeout(client.timeout() + RESPONSE_GRACE)).await
}

/// Returns the exit code for the result of a wait.
pub const fn exit(result: &WaitResult) -> Exit {
    if result.in_force { Exit::Done } else { Exit::Differs }
}

impl Render for WaitResult {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.in_force {
            return writeln!(f, "generation {} is in force everywhere", self.generation);
        }
        writeln!(f, "generation {} is not in force everywhere", self.generation)?;
        let mut table = Table::new(&["INSTANCE", "GENERATION"]);
        for Laggard { instance, generation } in &self.laggards {
            table.row([instance, &or_dash(*generation)]);
        }
        write!(f, "{table}")
    }
}
