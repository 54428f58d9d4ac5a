//! Watch on a key prefix that returns the events of one revision at a time.

use std::{collections::VecDeque, time::Duration};

use tokio::time;

use super::{
    error::KeyValueError,
    model::{KeyValueEntry, Revision},
    transport::{LineStream, parse},
    wire::{EventKind, EventWire, Streamed, WatchReply},
};

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The entry was written.
    Put(KeyValueEntry),
    /// The key was removed.
    Delete(String),
}

/// All events of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// Revision of the events. If there are none, the watch has delivered all events up to this
    /// revision.
    pub revision: Revision,
    /// Events in the order of the service.
    pub events: Vec<WatchEvent>,
}

/// An open watch. Dropping it closes it.
#[derive(Debug)]
pub struct Watch {
    lines: LineStream,
    ready: VecDeque<WatchBatch>,
}

impl Watch {
    /// Waits until the service confirms the watch, at most for `timeout`.
    pub(super) async fn accept(
        lines: LineStream,
        timeout: Duration,
    ) -> Result<Self, KeyValueError> {
        let mut watch = Self { lines, ready: VecDeque::new() };
        let confirmed = time::timeout(timeout, watch.read()).await;
        match confirmed {
            Ok(Ok(())) => Ok(watch),
            Ok(Err(err)) => Err(err),
            Err(_) => Err(KeyValueError::Unknown("the watch was not confirmed in time".into())),
        }
    }

    /// Returns the events of the next revision, or an error if the watch has ended. Cancel-safe.
    pub async fn next(&mut self) -> Result<WatchBatch, KeyValueError> {
        loop {
            if let Some(batch) = self.ready.pop_front() {
                return Ok(batch);
            }
            self.read().await?;
        }
    }

    async fn read(&mut self) -> Result<(), KeyValueError> {
        let line = self.lines.next().await?;
        let reply = parse::<Streamed<WatchReply>>(&line)?.into_result()?;
        if reply.compact_revision > 0 {
            return Err(KeyValueError::Compacted(reply.compact_revision));
        }
        if reply.canceled {
            return Err(KeyValueError::Unknown(reply.cancel_reason));
        }
        if reply.events.is_empty() && !reply.created {
            let batch = WatchBatch { revision: reply.header.revision, events: Vec::new() };
            self.ready.push_back(batch);
        }
        for event in reply.events {
            self.push(event)?;
        }
        Ok(())
    }

    /// Adds an event to the batch of its revision.
    fn push(&mut self, event: EventWire) -> Result<(), KeyValueError> {
        let entry = event.kv.into_entry()?;
        let revision = entry.mod_revision;
        let event = match event.kind {
            EventKind::Put => WatchEvent::Put(entry),
            EventKind::Delete => WatchEvent::Delete(entry.key),
        };
        match self.ready.back_mut() {
            Some(batch) if batch.revision == revision && !batch.events.is_empty() => {
                batch.events.push(event);
            }
            _ => self.ready.push_back(WatchBatch { revision, events: vec![event] }),
        }
        Ok(())
    }
}
