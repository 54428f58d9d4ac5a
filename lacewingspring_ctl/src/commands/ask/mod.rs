//! `ask`: sends a request to a service and prints the response as it arrives.

use std::{path::Path, time::Duration};

use crate::{
    api::CompletionRequest,
    cli::{AskArgs, Format},
    client::{Call, Client, Effect, IDEMPOTENCY_KEY, REQUEST_TIMEOUT, encode},
    error::Error,
    exit::Exit,
    files,
};

mod completion;
mod plain;

/// Time for the response to start after the deadline for dispatch. The timeout of the request is at
/// least the time to that deadline plus this.
const RESPONSE_START_GRACE: Duration = Duration::from_secs(10);

/// Runs the command.
pub async fn run(client: &Client, format: Format, args: AskArgs) -> Result<Exit, Error> {
    let prompt = read_prompt(&args.prompt)?;
    let key = args.key.clone().unwrap_or_else(random_key);
    let call = call(client, &args, &key, &prompt)?;
    // The key is printed before the request is sent, so that `request KEY` can show its state even
    // if the response is lost.
    eprintln!("key: {key}");
    match args.plain {
        Some(_) => plain::run(client, call, &key).await,
        None => completion::run(client, format, call, key).await,
    }
}

fn call(client: &Client, args: &AskArgs, key: &str, prompt: &str) -> Result<Call, Error> {
    let deadline = args.deadline_ms.map_or(client.timeout(), Duration::from_millis);
    let call = match &args.plain {
        Some(path) => plain_call(&args.service, path, prompt)?,
        None => completion_call(args, prompt)?,
    };
    let call = call.header(IDEMPOTENCY_KEY, key)?;
    let call = call.header(REQUEST_TIMEOUT, &deadline.as_millis().to_string())?;
    Ok(call.timeout(client.timeout().max(deadline + RESPONSE_START_GRACE)))
}

fn completion_call(args: &AskArgs, prompt: &str) -> Result<Call, Error> {
    let max_tokens = args.max_tokens;
    let message = CompletionRequest { model: &args.service, prompt, max_tokens, stream: true };
    Call::post("/v1/completions", Effect::Write, &message)
}

fn plain_call(service: &str, path: &str, body: &str) -> Result<Call, Error> {
    files::check_json(Path::new("the JSON body"), body)?;
    let path = format!("/services/{}/{}", encode(service), path.trim_start_matches('/'));
    Call::post_bytes(&path, Effect::Write, body.to_owned().into())
}

fn read_prompt(prompt: &str) -> Result<String, Error> {
    if prompt == files::STDIN {
        return Ok(files::read_text(Path::new(files::STDIN))?);
    }
    Ok(prompt.to_owned())
}

fn random_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}
