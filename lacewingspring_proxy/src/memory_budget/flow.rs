//! Shares of responses that are passed on as they arrive.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;

use super::{Access, Kind, Share, SharedBudget};

/// Memory, in bytes, of an exchange with an upstream: its connection, buffers and tasks.
pub const EXCHANGE_BYTES: usize = 32 * 1_024;

/// Size of a part of a response, in bytes, from which on its buffers have grown.
const LARGE_PART_BYTES: usize = 8 * 1_024;

/// Additional memory, in bytes, of a response in large parts while its caller does not read.
const LARGE_BUFFERS_BYTES: usize = 128 * 1_024;

type Acquiring = Pin<Box<dyn Future<Output = Option<Share>> + Send + Sync>>;

/// Shares of a response that is passed on as it arrives.
pub struct FlowShare {
    exchange: Share,
    large: Option<Share>,
    acquiring: Option<Acquiring>,
}

impl fmt::Debug for FlowShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FlowShare").field("exchange", &self.exchange).finish_non_exhaustive()
    }
}

impl FlowShare {
    /// Acquires the share of an exchange; `None` if there is too little memory.
    pub async fn acquire(budget: &SharedBudget) -> Option<Self> {
        let exchange = budget.acquire(Kind::Responses, Access::Reserve, EXCHANGE_BYTES).await?;
        Some(Self { exchange, large: None, acquiring: None })
    }

    /// Waits for the memory of a response that is read into one buffer, once the buffer is large;
    /// `false` if there is too little.
    pub async fn grow(&mut self, buffered: usize) -> bool {
        let budget = &self.exchange.budget;
        if buffered <= LARGE_PART_BYTES || self.large.is_some() || !budget.is_bounded() {
            return true;
        }
        self.large = budget.acquire(Kind::Responses, Access::General, LARGE_BUFFERS_BYTES).await;
        self.large.is_some()
    }

    /// Records a part of the response. After a large one, [`Self::poll_ready`] waits for memory.
    pub fn record(&mut self, data: &Bytes) {
        let is_known = self.large.is_some() || self.acquiring.is_some();
        let budget = &self.exchange.budget;
        if data.len() <= LARGE_PART_BYTES || is_known || !budget.is_bounded() {
            return;
        }
        let budget = budget.clone();
        self.acquiring = Some(Box::pin(async move {
            budget.acquire(Kind::Responses, Access::General, LARGE_BUFFERS_BYTES).await
        }));
    }

    /// Waits until the next part of the response may be read. `false` if there is too little memory
    /// for it.
    pub fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        let Some(acquiring) = &mut self.acquiring else { return Poll::Ready(true) };
        self.large = ready!(acquiring.as_mut().poll(cx));
        self.acquiring = None;
        Poll::Ready(self.large.is_some())
    }

    /// Returns the data of a complete response, which holds the share until it is dropped.
    pub fn attach(self, data: Bytes) -> Bytes {
        if !self.exchange.budget.is_bounded() || data.len() <= LARGE_PART_BYTES {
            return data;
        }
        Bytes::from_owner(Held { data, _exchange: self.exchange, _large: self.large })
    }
}

struct Held {
    data: Bytes,
    _exchange: Share,
    _large: Option<Share>,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
