//! Faults that a test sets in a running stand-in by `PUT /faults`.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::sync::watch;

use crate::http::{Call, Reply, error, json};

/// Current faults of one stand-in.
pub struct Faults<T> {
    tx: watch::Sender<T>,
}

impl<T> Faults<T>
where
    T: Clone + Serialize + DeserializeOwned,
{
    /// Starts with the given faults.
    pub fn new(faults: T) -> Self {
        Self { tx: watch::Sender::new(faults) }
    }

    /// Returns a copy of the faults.
    pub fn get(&self) -> T {
        self.tx.borrow().clone()
    }

    /// Changes the faults.
    pub fn modify<F>(&self, f: F)
    where
        F: FnOnce(&mut T),
    {
        self.tx.send_modify(f);
    }

    /// Takes one from a counter of the faults, and tells whether there was one to take.
    pub fn take<F>(&self, f: F) -> bool
    where
        F: FnOnce(&mut T) -> &mut u64,
    {
        let mut taken = false;
        self.tx.send_if_modified(|faults| {
            let counter = f(faults);
            taken = *counter > 0;
            *counter = counter.saturating_sub(1);
            taken
        });
        taken
    }

    /// Follows the changes of the faults.
    pub fn subscribe(&self) -> watch::Receiver<T> {
        self.tx.subscribe()
    }

    /// Answers `GET /faults` and `PUT /faults`, the latter as a partial update.
    pub fn answer(&self, call: &Call) -> Reply {
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

    /// Lays the fields of an update over the present faults. An unknown field is an error.
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
