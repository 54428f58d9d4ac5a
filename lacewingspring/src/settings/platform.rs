//! The platform's services and the certificate authority of the instances.

use std::{
    collections::HashSet,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use lacewingspring_core::names::InstanceName;
use serde::Deserialize;

use super::{InvalidValue, check_name, check_port};
use crate::peers::Authority;

/// The platform's key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct KeyValueSettings {
    /// Addresses of the service. One is used until a call on it fails, then the next one.
    pub endpoints: Vec<SocketAddr>,
    /// Prefix of every key that this fleet uses.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Longest wait for one reply, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Retention time of claims, in seconds.
    #[serde(default = "default_claim_retention_s")]
    pub claim_retention_s: u64,
}

fn default_prefix() -> String {
    "/lacewingspring/".into()
}

const fn default_timeout_ms() -> u64 {
    1_000
}

const fn default_claim_retention_s() -> u64 {
    604_800
}

impl KeyValueSettings {
    /// Returns the retention time of claims.
    pub fn claim_retention(&self) -> Duration {
        Duration::from_secs(self.claim_retention_s)
    }

    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        let count = self.endpoints.len();
        let key = "key_value.endpoints";
        InvalidValue::check(count > 0, key, "an empty list".into(), "at least one IP:port")?;
        let mut seen = HashSet::new();
        for endpoint in &self.endpoints {
            check_port(key, *endpoint)?;
            InvalidValue::check(
                seen.insert(endpoint),
                key,
                endpoint.to_string(),
                "each address once",
            )?;
        }
        let prefix = self.prefix.starts_with('/') && self.prefix.ends_with('/');
        let accepted = "text that begins and ends with '/'";
        InvalidValue::check(prefix, "key_value.prefix", format!("{:?}", self.prefix), accepted)?;
        let timeout = (10..=60_000).contains(&self.timeout_ms);
        let found = self.timeout_ms.to_string();
        InvalidValue::check(timeout, "key_value.timeout_ms", found, "10 to 60000 milliseconds")?;
        let retention = (10..=31_536_000).contains(&self.claim_retention_s);
        let found = self.claim_retention_s.to_string();
        InvalidValue::check(
            retention,
            "key_value.claim_retention_s",
            found,
            "10 to 31536000 seconds",
        )
    }
}

/// The platform's list of instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct InstanceListSettings {
    /// Address of the service.
    pub endpoint: SocketAddr,
    /// Name under which the platform lists this fleet.
    #[serde(default = "default_service")]
    pub service: String,
}

fn default_service() -> String {
    "lacewingspring".into()
}

impl InstanceListSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        check_port("instance_list.endpoint", self.endpoint)?;
        check_name("instance_list.service", &self.service)
    }
}

/// Certificate authority that signs the certificates of instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct AuthoritySettings {
    /// File with the authority's certificate in PEM.
    pub certificate: PathBuf,
    /// File with the authority's private key in PEM.
    pub key: PathBuf,
}

impl AuthoritySettings {
    /// Checks that both files can be read and that they can issue a certificate for the instance.
    pub(super) fn check_files(&self, instance: &InstanceName) -> Result<(), InvalidValue> {
        check_file("authority.certificate", &self.certificate)?;
        check_file("authority.key", &self.key)?;
        let issued = Authority::read(&self.certificate, &self.key)
            .and_then(|authority| authority.issue(instance));
        let found = issued.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let accepted = "the two files that --make-authority writes";
        InvalidValue::check(issued.is_ok(), "authority", found, accepted)
    }
}

fn check_file(key: &str, path: &Path) -> Result<(), InvalidValue> {
    let read = fs::read_to_string(path);
    let reason = read.as_ref().err().map(ToString::to_string).unwrap_or_default();
    let found = format!("{} ({reason})", path.display());
    InvalidValue::check(read.is_ok(), key, found, "a PEM file that this process can read")
}
