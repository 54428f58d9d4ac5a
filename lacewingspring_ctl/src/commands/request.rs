//! `request`: shows the state of the request with an idempotency key.

use std::fmt::{self, Formatter};

use crate::{
    api::{KeyState, RequestStatus},
    cli::{Format, RequestArgs},
    client::{Call, Client, encode},
    error::Error,
    exit::Exit,
    output::{self, Render, table::Table},
};

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: &RequestArgs) -> Result<Exit, Error> {
    let path = format!("/v1/requests/{}", encode(&args.key));
    let status: RequestStatus = client.fetch(Call::get(&path)?).await?;
    // A server that decodes the path differently would report the state of another key, which may
    // never have been used and so be reported as not run.
    if status.key != args.key {
        return Err(Error::KeyMismatch { sent: args.key.clone(), received: status.key });
    }
    output::print(format, &status)?;
    Ok(match status.state {
        KeyState::NotRun | KeyState::Ran | KeyState::InProgress => Exit::Done,
        KeyState::MayHaveRun => Exit::MayHaveRun,
    })
}

impl Render for RequestStatus {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["KEY", "STATE"]);
        table.row([&self.key, &self.state]);
        write!(f, "{table}")
    }
}
