//! Fault injection: the fault settings of a running stand-in, changed by `PUT /faults`.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::sync::watch;

use crate::http::{Call, Reply, error, json};

/// Fault settings of one stand-in. Subscribers are notified of changes.
pub struct Faults<T> {
    tx: watch::Sender<T>,
}

impl<T> Faults<T>
where
    T: Clone + Serialize + DeserializeOwned,
{
    /// Creates the settings with initial values.
    pub fn new(faults: T) -> Self {
        Self { tx: watch::Sender::new(faults) }
    }

    /// Returns a copy of the current settings.
    pub fn get(&self) -> T {
        self.tx.borrow().clone()
    }

    /// Changes the settings in place and notifies subscribers.
    pub fn modify<F>(&self, f: F)
    where
        F: FnOnce(&mut T),
    {
        self.tx.send_modify(f);
    }

    /// Decrements a counter of the settings. Returns false if it is 0 already, in which case the
    /// fault does not apply.
    pub fn consume<F>(&self, f: F) -> bool
    where
        F: FnOnce(&mut T) -> &mut u64,
    {
        let mut consumed = false;
        self.tx.send_if_modified(|faults| {
            let counter = f(faults);
            consumed = *counter > 0;
            *counter = counter.saturating_sub(1);
            consumed
        });
        consumed
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<T> {
        self.tx.subscribe()
    }

    /// Handles `GET /faults` and `PUT /faults`. A `PUT` changes only the fields in its body; both
    /// return the resulting settings.
    pub fn handle(&self, call: &Call) -> Reply {
        if call.method == "PUT" {
            let update = match call.json::<Value>() {
                Ok(update) => update,
                Err(e) => return error(400, &e.to_string()),
            };
            if let Err(e) = self.update(update) {
                return error(400, &e.to_string());
            }
        }
        json(200, &self.get())
    }

    /// Overwrites the fields that `update` has. An unknown field is an error and changes nothing.
    fn update(&self, update: Value) -> serde_json::Result<()> {
        let mut result = Ok(());
        self.tx.send_if_modified(|faults| {
            match merge(faults, update) {
                Ok(merged) => *faults = merged,
                Err(e) => result = Err(e),
            }
            result.is_ok()
        });
        result
    }
}

fn merge<T>(faults: &T, update: Value) -> serde_json::Result<T>
where
    T: Serialize + DeserializeOwned,
{
    let mut merged = serde_json::to_value(faults)?;
    match (&mut merged, update) {
        (Value::Object(fields), Value::Object(update)) => fields.extend(update),
        (merged, update) => *merged = update,
    }
    serde_json::from_value(merged)
}
