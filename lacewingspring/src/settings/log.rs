//! Level and format of the log.

use serde::Deserialize;

/// Level and format of the log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "an object")]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Format of a line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults from which the system recovers by itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions on individual requests.
    Debug,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Plain,
    /// One JSON object per line.
    Json,
}
