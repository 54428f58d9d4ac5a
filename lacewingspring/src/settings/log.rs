//! What is logged and how.

use serde::Deserialize;

/// What is logged and how.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "an object")]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Form of a line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the system mends.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions for single requests.
    Debug,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Plain,
    /// One JSON object a line.
    Json,
}
