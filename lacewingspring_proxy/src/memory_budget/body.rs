//! Bodies that are read within the memory budget.

use std::{
    collections::VecDeque,
    convert::Infallible,
    hash::{Hash, Hasher},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::{Access, Kind, Share, SharedBudget, arrivals::Arrival};
use crate::{clock, refusal::Failure};

/// Smallest buffer, in bytes, for a body whose length is not known.
const MIN_SEGMENT_BYTES: usize = 4 * 1_024;

/// Largest buffer, in bytes. Buffers of one size leave no gaps in the heap that others don't fit.
pub(super) const MAX_SEGMENT_BYTES: usize = 64 * 1_024;

/// A complete body in memory, in one or more parts; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    parts: Parts,
    len: usize,
    /// Held for a body of one part. The parts of others hold shares of their own.
    _share: Option<Arc<Share>>,
}

#[derive(Clone, Debug)]
enum Parts {
    One(Bytes),
    Many(Arc<[Bytes]>),
}

impl Default for Parts {
    fn default() -> Self {
        Self::One(Bytes::new())
    }
}

impl From<Bytes> for HeldBody {
    fn from(data: Bytes) -> Self {
        Self { len: data.len(), parts: Parts::One(data), _share: None }
    }
}

impl HeldBody {
    /// Returns the body for one message.
    pub fn to_message(&self) -> HeldMessage {
        let parts = match &self.parts {
            Parts::One(data) if data.is_empty() => VecDeque::new(),
            Parts::One(data) => VecDeque::from([data.clone()]),
            Parts::Many(parts) => parts.iter().cloned().collect(),
        };
        HeldMessage { parts, len_left: self.len as u64 }
    }
}

/// The digest is that of the body in one slice, by which other builds recognise it.
impl Hash for HeldBody {
    fn hash<H>(&self, hasher: &mut H)
    where
        H: Hasher,
    {
        hasher.write_usize(self.len);
        match &self.parts {
            Parts::One(data) => hasher.write(data),
            Parts::Many(parts) => parts.iter().for_each(|part| hasher.write(part)),
        }
    }
}

/// A [`HeldBody`] that is sent in a message.
#[derive(Debug)]
pub struct HeldMessage {
    parts: VecDeque<Bytes>,
    len_left: u64,
}

impl Body for HeldMessage {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let message = self.get_mut();
        let next = message.parts.pop_front();
        message.len_left -= next.as_ref().map_or(0, |data| data.len() as u64);
        Poll::Ready(next.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len_left)
    }
}

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is too large or malformed, or is given up.
pub async fn read_request(
    budget: &SharedBudget,
    body: Incoming,
    limit: usize,
) -> Result<HeldBody, Failure> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Failure::TooLarge);
    }
    if budget.is_bounded() {
        return read_within(budget, body, limit).await;
    }
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes().into()),
        Err(e) if e.is::<LengthLimitError>() => Err(Failure::TooLarge),
        Err(_) => Err(Failure::Malformed),
    }
}

async fn read_within(
    budget: &SharedBudget,
    mut body: Incoming,
    limit: usize,
) -> Result<HeldBody, Failure> {
    let expected = body.size_hint().exact();
    let first = body.frame().now_or_never();
    if let Some(Some(Ok(frame))) = &first
        && let (Some(data), true) = (frame.data_ref(), body.is_end_stream())
    {
        // The body arrived in one piece: it is neither copied nor watched.
        let share = budget.acquire(Kind::Bodies, Access::Reserve, data.len()).await;
        let share = share.ok_or(Failure::NoMemory)?;
        return Ok(HeldBody { _share: Some(Arc::new(share)), ..data.clone().into() });
    }
    let mut collector = Collector::new(budget, Kind::Bodies, expected);
    let mut next = match first {
        Some(None) => return Ok(HeldBody::default()),
        Some(next) => next,
        None => None,
    };
    let max_bytes = expected.unwrap_or(limit as u64);
    let mut arrival = budget.arrivals().start(clock::now(), max_bytes);
    loop {
        let frame = match next.take() {
            Some(frame) => frame,
            None => match next_frame(&mut body, &mut arrival).await? {
                Some(frame) => frame,
                None => return Ok(collector.finish()),
            },
        };
        let Ok(data) = frame.map_err(|_| Failure::Malformed)?.into_data() else { continue };
        if collector.len + data.len() > limit {
            return Err(Failure::TooLarge);
        }
        arrival.received(data.len());
        // A frame can be larger than a buffer.
        for piece in data.chunks(MAX_SEGMENT_BYTES) {
            arrival.set_waiting(true);
            tokio::select! {
                biased;
                pushed = collector.push(piece) => pushed.ok_or(Failure::NoMemory)?,
                failure = arrival.given_up() => return Err(failure),
            }
            arrival.set_waiting(false);
            arrival.holds(collector.held());
        }
    }
}

/// Waits for the next frame of a body, unless the body is given up before.
async fn next_frame(
    body: &mut Incoming,
    arrival: &mut Arrival<'_>,
) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, Failure> {
    tokio::select! {
        biased;
        failure = arrival.given_up() => Err(failure),
        frame = body.frame() => Ok(frame),
    }
}

/// A buffer with the share that it is held by.
struct Segment {
    data: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Collects the data of a body in buffers, so that a small chunk costs its bytes only.
pub struct Collector<'a> {
    budget: &'a SharedBudget,
    kind: Kind,
    /// Length that the body states.
    expected: Option<u64>,
    parts: Vec<Bytes>,
    last: Option<Segment>,
    len: usize,
    /// Bytes of all buffers.
    held: usize,
}

impl<'a> Collector<'a> {
    /// Creates a collector of a body of a known length, if it states one.
    pub fn new(budget: &'a SharedBudget, kind: Kind, expected: Option<u64>) -> Self {
        Self { budget, kind, expected, parts: Vec::new(), last: None, len: 0, held: 0 }
    }

    /// Returns the number of bytes that were added.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of bytes of all buffers.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns whether no bytes were added.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds data; `None` if there is too little memory.
    pub async fn push(&mut self, mut data: &[u8]) -> Option<()> {
        while !data.is_empty() {
            let segment = match &mut self.last {
                Some(segment) => segment,
                None => {
                    let bytes = self.next_segment_bytes(data.len());
                    let share = self.budget.acquire(self.kind, Access::General, bytes).await?;
                    self.held += bytes;
                    let data = Vec::with_capacity(bytes);
                    self.last.insert(Segment { data, _share: share })
                }
            };
            let room = segment.data.capacity() - segment.data.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            segment.data.extend_from_slice(fitting);
            self.len += fitting.len();
            data = rest;
            if segment.data.len() == segment.data.capacity() {
                self.seal();
            }
        }
        Some(())
    }

    /// Returns the size of the next buffer, which holds at least a part of `bytes`.
    fn next_segment_bytes(&self, bytes: usize) -> usize {
        match self.expected {
            Some(expected) => {
                let left = usize::try_from(expected).unwrap_or(usize::MAX).saturating_sub(self.len);
                left.max(bytes).min(MAX_SEGMENT_BYTES)
            }
            // Buffers grow with the body, so that at most half of them stays empty.
            None => self.len.max(bytes).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
        }
    }

    fn seal(&mut self) {
        self.parts.extend(self.last.take().map(Bytes::from_owner));
    }

    /// Returns the body.
    pub fn finish(mut self) -> HeldBody {
        self.seal();
        HeldBody { parts: Parts::Many(self.parts.into()), len: self.len, _share: None }
    }
}
