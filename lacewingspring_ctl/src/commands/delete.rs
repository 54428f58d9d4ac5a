//! `delete`: removes a resource.

use lacewingspring_core::resources::ResourceId;

use crate::{
    api::Change,
    cli::{DeleteArgs, Format},
    client::Client,
    commands::transaction,
    error::Error,
    exit::Exit,
};

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: DeleteArgs) -> Result<Exit, Error> {
    let id = ResourceId { kind: args.resource.kind.into(), name: args.resource.name };
    transaction::run(client, format, vec![Change::Delete(id)], args.change).await
}
