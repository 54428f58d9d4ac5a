//! `addresses`: shows the addresses that callers should use.

use std::fmt::{self, Formatter};

use crate::{
    api::{AddressList, WeightedAddress},
    cli::Format,
    client::{Call, Client},
    error::Error,
    exit::Exit,
    output::{self, Render, table::Table},
};

/// Runs the command.
pub async fn run(client: &Client, format: Format) -> Result<Exit, Error> {
    let list: AddressList = client.fetch(Call::get("/v1/addresses")?).await?;
    output::print(format, &list)?;
    Ok(Exit::Done)
}

impl Render for AddressList {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["ADDRESS", "DATA-CENTRE", "WEIGHT"]);
        for WeightedAddress { address, data_centre, weight } in &self.addresses {
            table.row([address, data_centre, weight]);
        }
        write!(f, "{table}\nkeep for {} ms\n", self.ttl_ms)
    }
}
