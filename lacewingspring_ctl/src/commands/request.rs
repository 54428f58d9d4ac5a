//! `request`: shows what became of the request of a key.

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
    // A server that reads the path otherwise would vouch for a key that nobody used.
    if status.key != args.key {
        return Err(Error::OtherKey { asked: args.key.clone(), answered: status.key });
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
