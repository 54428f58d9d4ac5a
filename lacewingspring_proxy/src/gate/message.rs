//! Messages between the gate and the instances linked to it, and their framing.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use lacewingspring_core::{
    dispatch::{
        End, Grant, HandOver, KnownStreams, Quota, Refusal, SlotRequest, StoredUsage, UpstreamLoad,
    },
    names::{InstanceName, UpstreamName},
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::DeserializeOwned};
use tokio::{net::TcpStream, sync::mpsc::UnboundedReceiver};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    replica::{ByTopic, Update},
    store::Revision,
};

/// Maximum length of a message, in bytes; a value of the key-value service is at most half as long.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Largest update, in bytes, that is sent in one message. The rest of [`MAX_MESSAGE_BYTES`] is for
/// the encoding, which the length of an update only approximates.
pub const MAX_UPDATE_BYTES: usize = MAX_MESSAGE_BYTES / 4 * 3;

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

impl<T> Trailing<T> {
    /// Returns whether there is no value. A field that skips its serialisation then leaves the
    /// frame as earlier builds send it.
    pub fn is_none(&self) -> bool {
        self.0.is_none()
    }
}

/// Load that an upstream reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceivedLoad {
    /// The load.
    pub load: UpstreamLoad,
    /// Time since the instance received it; clocks of instances differ.
    pub age: Duration,
}

/// Last fields of the message that ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct EndDetails {
    /// Load in the response, with its pace; not if `FirstOutput` told it.
    pub load: Trailing<ReceivedLoad>,
    /// Status of a response that was passed on although it is an error of the upstream. It is sent
    /// only by instances that handle roll-outs.
    pub error_status: Trailing<u16>,
}

impl EndDetails {
    /// No details.
    pub const NONE: Self = Self { load: Trailing(None), error_status: Trailing(None) };
}

impl Serialize for EndDetails {
    /// Leaves out the fields after the last one with a value, as the frames of earlier builds do.
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let Self { load, error_status } = self;
        match (load.0, error_status.0) {
            (_, Some(_)) => (load, error_status).serialize(serializer),
            (Some(_), None) => load.serialize(serializer),
            (None, None) => ().serialize(serializer),
        }
    }
}

/// Records of roll-outs, each as JSON as in the key-value service. Builds with more or fewer fields
/// can read them.
pub type EncodedRollOuts = Vec<Vec<u8>>;

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
        /// Load in the response, with its pace.
        #[serde(skip_serializing_if = "Trailing::is_none")]
        load: Trailing<ReceivedLoad>,
    },
    /// Ends a request, whether it is queued or running.
    End {
        /// Number of the slot request.
        number: u64,
        /// How it ended.
        end: End,
        /// What the response told besides.
        details: EndDetails,
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
    /// Tells what the instance knows of streams, software versions and roll-outs.
    Streams(
        KnownStreams,
        #[serde(skip_serializing_if = "Trailing::is_none")] Trailing<EncodedRollOuts>,
    ),
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
    /// Tells what the gate knows of streams, software versions and roll-outs.
    Streams(
        Arc<KnownStreams>,
        #[serde(skip_serializing_if = "Trailing::is_none")] Trailing<EncodedRollOuts>,
    ),
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
