//! Messages between the gate and the instances linked to it, and their framing.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use lacewingspring_core::{
    dispatch::{End, Grant, HandOver, KnownStreams, Quota, Refusal, SlotRequest, StoredUsage},
    names::{InstanceName, UpstreamName},
};
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, sync::mpsc::UnboundedReceiver};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    replica::{ByTopic, Update},
    store::Revision,
};

/// Maximum length of a message, in bytes; a value of the key-value service is at most half as long.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Last field of a message, which earlier builds neither send nor read: a frame may end before it,
/// and they ignore what follows the fields that they know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Trailing<T>(pub Option<T>);

impl<'de, T> Deserialize<'de> for Trailing<T>
where
    T: Deserialize<'de>,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        // A frame holds one message, so the only error is that it ends before the field.
        Ok(Self(Option::deserialize(deserializer).unwrap_or_default()))
    }
}

/// Limit of a workspace by one version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclaredQuota {
    /// Version of the configuration.
    pub version: u64,
    /// The limit.
    pub quota: Quota,
}

/// Message from an instance to the gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToGate {
    /// Introduces the instance; the first message of a link.
    Hello {
        /// The instance.
        instance: InstanceName,
        /// Usage of the workspaces' limits that the instance last received from a gate.
        usage: Vec<StoredUsage>,
        /// Time since the instance received the usage.
        usage_age: Duration,
    },
    /// Reports a request that runs on a grant of an earlier gate.
    Running {
        /// Number of the slot request, unique at its instance.
        number: u64,
        /// The slot request.
        #[serde(rename = "ask")]
        request: SlotRequest,
        /// Upstream that runs the request.
        upstream: UpstreamName,
    },
    /// Asks for a slot for a request.
    #[serde(rename = "Ask")]
    RequestSlot {
        /// Number of the slot request, unique at its instance.
        number: u64,
        /// The slot request.
        #[serde(rename = "ask")]
        request: SlotRequest,
        /// Limit of the request's workspace by the configuration that it was admitted under.
        quota: Trailing<DeclaredQuota>,
    },
    /// Reports that the first event of a response arrived.
    FirstOutput {
        /// Number of the slot request.
        number: u64,
        /// Time from sending the request to the event.
        took: Duration,
    },
    /// Ends a request, whether it is queued or running.
    End {
        /// Number of the slot request.
        number: u64,
        /// How it ended.
        end: End,
    },
    /// Shows that the link is alive and asks the gate for a pong.
    Ping {
        /// Number of the ping.
        number: u64,
        /// Revision of each topic after which the gate sends updates; `None` for a topic that is
        /// not followed over this link.
        follow: ByTopic<Option<Revision>>,
    },
    /// Reports the limit in the response to a request that runs.
    RateLimit {
        /// Number of the slot request.
        number: u64,
        /// Requests a second that the upstream takes from all instances together; `None` if the
        /// response names no limit.
        per_s: Option<f64>,
    },
    /// Reports that the upstream of a request that runs may crash if it has to decline requests.
    Brittle {
        /// Number of the slot request.
        number: u64,
    },
    /// Passes on what an earlier gate handed over.
    HandOver {
        /// What the earlier gate handed over.
        hand_over: Arc<HandOver>,
        /// Time since the instance received it.
        age: Duration,
    },
    /// Tells what the instance knows of streams and software versions.
    Streams(KnownStreams),
}

/// Message from the gate to an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromGate {
    /// Grants a slot.
    Granted {
        /// Number of the slot request.
        number: u64,
        /// Upstream to send the request to.
        grant: Grant,
    },
    /// Refuses a request.
    Refused {
        /// Number of the slot request.
        number: u64,
        /// Reason and retry delay for the caller.
        refusal: Refusal,
    },
    /// Confirms that a request is queued.
    #[serde(rename = "Waits")]
    Queued {
        /// Number of the slot request.
        number: u64,
    },
    /// Usage of the workspaces' limits.
    Usage(Vec<StoredUsage>),
    /// Changes in the key-value service.
    Update(Arc<Update>),
    /// Answers a ping.
    Pong {
        /// Number of the ping.
        number: u64,
        /// Age of the gate's replica of each topic, all of whose changes were sent before this
        /// message; `None` for a topic that the gate does not send over this link.
        ages: ByTopic<Option<Duration>>,
    },
    /// What the instance is to pass on to the next gate.
    HandOver(Arc<HandOver>),
    /// Tells what the gate knows of streams and software versions.
    Streams(Arc<KnownStreams>),
}

/// Length-delimited frames of a link.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Splits a connection into frames.
pub fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the message can't be serialised.
pub fn encode<M>(message: &M) -> Result<Bytes, postcard::Error>
where
    M: Serialize,
{
    Ok(Bytes::from(postcard::to_stdvec(message)?))
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are not a valid message.
pub fn decode<M>(bytes: &BytesMut) -> Result<M, postcard::Error>
where
    M: DeserializeOwned,
{
    postcard::from_bytes(bytes)
}

/// Sends a message together with all that are queued behind it.
///
/// # Errors
///
/// Fails if a message can't be encoded or the connection fails.
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
