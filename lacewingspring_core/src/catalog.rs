//! Declared resources of one generation, indexed for look-ups on the request path.

use std::{collections::HashMap, time::Duration};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{
    names::{PoolName, ServiceName, TierName, WorkspaceName},
    resources::{EnginePoolSpec, Resource, ServiceSpec, Spec, TierSpec, WorkspaceSpec},
};

/// Length of a credential digest, in bytes.
const DIGEST_LEN: usize = 32;

/// Length of the digest prefix by which credentials are indexed, in bytes. Only the credentials
/// with the same prefix are compared in full.
const PREFIX_LEN: usize = 4;

/// Index of the resources of one generation. It is immutable; each new generation gets its own.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Generation of the declared state.
    pub generation: u64,
    /// Tiers by name.
    pub tiers: HashMap<TierName, TierSpec>,
    /// Engine pools by name.
    pub pools: HashMap<PoolName, EnginePoolSpec>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, WorkspaceSpec>,
    credentials: HashMap<[u8; PREFIX_LEN], Vec<Credential>>,
}

/// Digest of a bearer token, with the workspace to which it gives access.
#[derive(Debug)]
struct Credential {
    digest: [u8; DIGEST_LEN],
    workspace: WorkspaceName,
}

/// A service with its tier and engine pool.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Declared service.
    pub service: &'a ServiceSpec,
    /// Tier of the service.
    pub tier: &'a TierSpec,
    /// Engine pool that runs the requests of the service.
    pub pool: &'a EnginePoolSpec,
}

impl Route<'_> {
    /// Returns the longest time that a request may wait for dispatch.
    pub fn max_wait(&self) -> Duration {
        Duration::from_millis(self.tier.max_wait_ms)
    }
}

impl Catalog {
    /// Indexes the resources of one generation.
    pub fn new<'a, I>(generation: u64, resources: I) -> Self
    where
        I: IntoIterator<Item = &'a Resource>,
    {
        let mut catalog = Self { generation, ..Self::default() };
        for resource in resources {
            catalog.insert(resource);
        }
        catalog
    }

    /// Returns the workspace to which a bearer token gives access. Digests are compared in constant
    /// time.
    pub fn authenticate(&self, token: &str) -> Option<&WorkspaceName> {
        let digest: [u8; DIGEST_LEN] = Sha256::digest(token.as_bytes()).into();
        let candidates = self.credentials.get(&digest[..PREFIX_LEN])?;
        let found = candidates.iter().find(|it| bool::from(it.digest.ct_eq(&digest)))?;
        Some(&found.workspace)
    }

    /// Returns a service by name, with its tier and pool; `None` if one of them is not declared.
    pub fn route(&self, service: &str) -> Option<Route<'_>> {
        let service = self.services.get(service)?;
        let tier = self.tiers.get(&service.tier)?;
        let pool = self.pools.get(&service.pool)?;
        Some(Route { service, tier, pool })
    }

    fn insert(&mut self, resource: &Resource) {
        let name = resource.name.as_str();
        match &resource.spec {
            Spec::Tier(spec) => {
                self.tiers.insert(name.into(), spec.clone());
            }
            Spec::EnginePool(spec) => {
                self.pools.insert(name.into(), spec.clone());
            }
            Spec::Service(spec) => {
                self.services.insert(name.into(), spec.clone());
            }
            Spec::Workspace(spec) => {
                self.insert_credentials(name.into(), spec);
                self.workspaces.insert(name.into(), spec.clone());
            }
            // The request path does not need operators.
            Spec::Operator(_) => {}
        }
    }

    fn insert_credentials(&mut self, workspace: WorkspaceName, spec: &WorkspaceSpec) {
        for text in &spec.credentials {
            let Some(digest) = parse_digest(text) else { continue };
            let mut prefix = [0; PREFIX_LEN];
            prefix.copy_from_slice(&digest[..PREFIX_LEN]);
            let credential = Credential { digest, workspace: workspace.clone() };
            self.credentials.entry(prefix).or_default().push(credential);
        }
    }
}

/// Parses a SHA-256 digest in hexadecimal; `None` if the text is not one.
pub fn parse_digest(text: &str) -> Option<[u8; DIGEST_LEN]> {
    if text.len() != DIGEST_LEN * 2 {
        return None;
    }
    let mut digest = [0; DIGEST_LEN];
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(digest)
}

/// Returns the value of a hexadecimal digit. A sign is not a digit, though
/// `u8::from_str_radix` accepts one.
fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}

/// Returns the SHA-256 digest of a byte string, such as a token, in hexadecimal.
pub fn digest_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
