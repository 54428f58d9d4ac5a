//! Settings of one daemon, read once from a JSON file and fully validated before anything starts.

use std::{
    collections::HashSet,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use lacewingspring_core::{
    catalog,
    names::{DataCentreName, InstanceName},
};
use serde::Deserialize;
use thiserror::Error;

pub use self::{
    listen::ListenSettings,
    log::{LogFormat, LogLevel, LogSettings},
    metrics::MetricsSettings,
    operators::{BootstrapOperator, OperatorRole},
    platform::{AuthoritySettings, InstanceListSettings, KeyValueSettings},
    pool_control::PoolControlSettings,
    test::{Mechanism, TestSettings},
    timing::TimingSettings,
};

mod listen;
mod locate;
mod log;
mod metrics;
mod operators;
mod platform;
mod pool_control;
mod test;
mod timing;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct Settings {
    /// Name of this instance, unique in the fleet.
    pub instance: InstanceName,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The platform's key-value service.
    pub key_value: KeyValueSettings,
    /// The platform's list of instances.
    pub instance_list: InstanceListSettings,
    /// Certificate authority that signs the certificates of instances.
    pub authority: AuthoritySettings,
    /// Operators that are known before any operator resource is declared.
    #[serde(default)]
    pub operators: Vec<BootstrapOperator>,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Destination of the metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Overrides for tests; rejected outside of tests.
    #[serde(default)]
    pub test: TestSettings,
    /// Limits of the pool controllers.
    #[serde(default)]
    pub pool_control: PoolControlSettings,
}

/// Why settings were rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not JSON, or a key is unknown, missing, duplicated or of the wrong type.
    #[error("line {line}: {key}: {reason}")]
    Syntax {
        /// Line in the file, from 1.
        line: usize,
        /// Dotted path of the key.
        key: String,
        /// What is wrong and what is expected.
        reason: String,
    },
    /// A value is invalid.
    #[error("line {line}: {key}: {found} is not accepted; {accepted}")]
    Value {
        /// Line in the file, from 1.
        line: usize,
        /// Dotted path of the key.
        key: String,
        /// Value that was found.
        found: String,
        /// Values that are accepted.
        accepted: &'static str,
    },
}

/// A value that failed validation, before its line is known.
#[derive(Debug)]
pub(crate) struct InvalidValue {
    key: String,
    found: String,
    accepted: &'static str,
}

impl InvalidValue {
    pub(crate) fn check(
        valid: bool,
        key: &str,
        found: String,
        accepted: &'static str,
    ) -> Result<(), Self> {
        if valid { Ok(()) } else { Err(Self { key: key.to_owned(), found, accepted }) }
    }

    fn into_error(self, text: &str) -> SettingsError {
        let Self { key, found, accepted } = self;
        SettingsError::Value { line: locate::line_of(text, &key), key, found, accepted }
    }
}

impl Settings {
    /// Reads and validates a settings file and the files that it names.
    ///
    /// # Errors
    ///
    /// Returns the first error, with its key and line.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.into(), source })?;
        let settings = Self::parse(&text)?;
        settings
            .authority
            .check_files(&settings.instance)
            .map_err(|invalid| invalid.into_error(&text))?;
        Ok(settings)
    }

    /// Parses and validates the text of a settings file, without the files that it names.
    ///
    /// # Errors
    ///
    /// Returns the first error, with its key and line.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut de = serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut de).map_err(|e| SettingsError::Syntax {
                line: e.inner().line(),
                key: key_of(e.path()),
                reason: reason_of(e.inner()),
            })?;
        de.end().map_err(|e| SettingsError::Syntax {
            line: e.line(),
            key: "(document)".into(),
            reason: e.to_string(),
        })?;
        settings.check().map_err(|invalid| invalid.into_error(text))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        check_name("instance", self.instance.as_str())?;
        check_name("data_centre", self.data_centre.as_str())?;
        self.listen.check()?;
        self.key_value.check()?;
        self.instance_list.check()?;
        self.metrics.check()?;
        self.timing.check()?;
        self.test.check()?;
        self.pool_control.check()?;
        self.check_operators()
    }

    fn check_operators(&self) -> Result<(), InvalidValue> {
        let mut names = HashSet::new();
        for (i, operator) in self.operators.iter().enumerate() {
            let key = format!("operators[{i}].name");
            check_name(&key, &operator.name)?;
            let unique = names.insert(operator.name.as_str());
            InvalidValue::check(unique, &key, operator.name.clone(), "each name once")?;
            let key = format!("operators[{i}].credential");
            let digest = catalog::parse_digest(&operator.credential).is_some();
            let accepted = "a SHA-256 digest as 64 hexadecimal digits";
            InvalidValue::check(digest, &key, operator.credential.clone(), accepted)?;
        }
        Ok(())
    }
}

/// Returns the path of a key as text, or `(document)` if the error has no usable path.
fn key_of(path: &serde_path_to_error::Path) -> String {
    let key = path.to_string();
    if key == "." || key.contains('?') { "(document)".to_owned() } else { key }
}

/// Returns the reason of a syntax error. Adds what is expected to address errors, whose parser does
/// not say it.
fn reason_of(e: &serde_json::Error) -> String {
    let reason = e.to_string();
    if reason.starts_with(ADDRESS_PARSE_ERROR) {
        format!("{reason}; {ACCEPTED_ADDRESS}")
    } else {
        reason
    }
}

/// Values that are accepted as an address.
const ACCEPTED_ADDRESS: &str = "an IP address with a port from 1";

/// Start of the error text of the address parser.
const ADDRESS_PARSE_ERROR: &str = "invalid socket address syntax";

/// Maximum length of a name, in bytes.
const MAX_NAME_LEN: usize = 63;

fn check_name(key: &str, name: &str) -> Result<(), InvalidValue> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    let valid = !name.is_empty() && name.len() <= MAX_NAME_LEN && name.chars().all(allowed);
    InvalidValue::check(valid, key, format!("{name:?}"), "1 to 63 letters, digits, '-', '_' or '.'")
}

/// Checks that the port of an address is not zero.
pub(crate) fn check_port(key: &str, addr: SocketAddr) -> Result<(), InvalidValue> {
    InvalidValue::check(addr.port() != 0, key, addr.to_string(), ACCEPTED_ADDRESS)
}
