//! `explain`: shows the scheduling decisions about a request and their reasons.

use std::fmt::{self, Formatter};

use crate::{
    api::Explanation,
    cli::{ExplainArgs, Format},
    client::{Call, Client, encode},
    commands::{describe::events, fetch_and_print},
    error::Error,
    exit::Exit,
    output::Render,
};

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: &ExplainArgs) -> Result<Exit, Error> {
    let key = args.key.as_deref().unwrap_or_default();
    let (workspace, key) = (encode(&args.request), encode(key));
    let path = format!("/operator/v1/explain?workspace={workspace}&key={key}");
    fetch_and_print::<Explanation>(client, format, Call::get(&path)?).await
}

impl Render for Explanation {
    fn render(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {} of workspace {}\n", self.key, self.workspace)?;
        write!(f, "{}", events(&self.steps))
    }
}
