//! Prints the responses of plain services unchanged.

use std::io::{self, Write};

use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::{
    client::{Call, Client},
    error::{Error, StreamError},
    exit::Exit,
};

/// Sends the request and prints the body as it arrives.
pub async fn run(client: &Client, call: Call, key: &str) -> Result<Exit, Error> {
    let response = client.send_plain(call).await?;
    response.check_key(key)?;
    let status = response.http.status();
    let idle_timeout = response.timeout;
    let mut body = response.http.into_body();
    let mut out = io::stdout().lock();
    loop {
        let frame = timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| StreamError::TimedOut)? else { break };
        let frame = frame.map_err(|err| StreamError::ConnectionLost(err.into()))?;
        let data = frame.into_data().unwrap_or_default();
        out.write_all(&data).map_err(StreamError::from)?;
        out.flush().map_err(StreamError::from)?;
    }
    if !status.is_success() {
        return Err(Error::Service { status: status.as_u16() });
    }
    Ok(Exit::Done)
}
