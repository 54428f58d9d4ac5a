//! Messages between an instance and the instance that decides for the fleet.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use lacewingspring_core::{
    dispatch::{End, Grant, Refusal, SlotRequest, StoredUsage},
    names::{InstanceName, UpstreamName},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, sync::mpsc::UnboundedReceiver};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::replica::{ByTopic, Update};

/// Largest message, in bytes; a value of the key-value service is at most half as long.
const MAX_MESSAGE_LEN: usize = 2 * 1024 * 1024;

/// What an instance tells the gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToGate {
    /// Who speaks; the first message of a link.
    Hello {
        /// The instance.
        instance: InstanceName,
        /// What its last gate gave out of limits.
        usage: Vec<StoredUsage>,
        /// Time since that was told.
        usage_age: Duration,
    },
    /// A request runs by the grant of another gate.
    Running {
        /// Number of the ask.
        number: u64,
        /// The ask.
        ask: SlotRequest,
        /// Upstream on which it runs.
        upstream: UpstreamName,
    },
    /// A request needs a slot.
    Ask {
        /// Number of the ask.
        number: u64,
        /// The ask.
        ask: SlotRequest,
    },
    /// The first event of an answer came.
    FirstOutput {
        /// Number of the ask.
        number: u64,
        /// Time from the send to the event.
        took: Duration,
    },
    /// A request waits or runs no more.
    End {
        /// Number of the ask.
        number: u64,
        /// How it ended.
        end: End,
    },
    /// The link is alive; the gate answers.
    Ping {
        /// Number of the ping.
        number: u64,
        /// Revisions after which the gate is to tell of changes; none of what is not followed
        /// over this link.
        follow: ByTopic<Option<u64>>,
    },
}

/// What the gate tells an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromGate {
    /// A request may be sent.
    Granted {
        /// Number of the ask.
        number: u64,
        /// Where to.
        grant: Grant,
    },
    /// A request is refused.
    Refused {
        /// Number of the ask.
        number: u64,
        /// Why.
        refusal: Refusal,
    },
    /// A request waits.
    Waits {
        /// Number of the ask.
        number: u64,
    },
    /// What was given out of limits.
    Usage(Vec<StoredUsage>),
    /// What changed in the key-value service.
    Update(Arc<Update>),
    /// Answer to a ping.
    Pong {
        /// Number of the ping.
        number: u64,
        /// Age of the gate's copies, all of whose changes were told; none of what isn't told.
        ages: ByTopic<Option<Duration>>,
    },
}

/// Frames of a link.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Returns the frames of a connection.
pub fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_LEN).new_codec();
    Framed::new(stream, codec)
}

/// Writes a message.
///
/// # Errors
///
/// Fails when the message can't be written as bytes.
pub fn encode<M>(message: &M) -> Result<Bytes, postcard::Error>
where
    M: Serialize,
{
    Ok(Bytes::from(postcard::to_stdvec(message)?))
}

/// Reads a message.
///
/// # Errors
///
/// Fails when the bytes are no message.
pub fn decode<M>(bytes: &BytesMut) -> Result<M, postcard::Error>
where
    M: DeserializeOwned,
{
    postcard::from_bytes(bytes)
}

/// Sends a message and all that are ready behind it.
///
/// # Errors
///
/// Fails when the connection does.
pub async fn send_all<M>(
    frames: &mut Frames,
    first: M,
    rx: &mut UnboundedReceiver<M>,
) -> io::Result<()>
where
    M: Serialize,
{
    let mut next = Some(first);
    while let Some(message) = next {
        frames.feed(encode(&message).map_err(io::Error::other)?).await?;
        next = rx.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(frames).await
}
