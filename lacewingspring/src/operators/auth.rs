//! Authentication of operators by bearer token.

use lacewingspring_core::{
    catalog::parse_digest,
    config::DeclaredState,
    error::ErrorKind,
    resources::{OperatorRole, Spec},
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::problem::Failure;
use crate::settings::{self, BootstrapOperator};

/// Length of a credential digest, in bytes.
const DIGEST_LEN: usize = 32;

/// An operator from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownOperator {
    /// Name of the operator.
    pub name: String,
    /// SHA-256 digest of the bearer token, in hexadecimal.
    pub credential: String,
    /// Role, which determines what the operator may do.
    pub role: OperatorRole,
}

impl From<&BootstrapOperator> for KnownOperator {
    fn from(operator: &BootstrapOperator) -> Self {
        let role = match operator.role {
            settings::OperatorRole::Read => OperatorRole::Read,
            settings::OperatorRole::Change => OperatorRole::Change,
        };
        Self { name: operator.name.clone(), credential: operator.credential.clone(), role }
    }
}

/// An operator whose token was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    /// Name of the operator.
    pub(super) name: String,
    /// Role, which determines what the operator may do.
    pub(super) role: OperatorRole,
}

/// Returns the operator that a token belongs to. Compares digests in constant time.
pub(super) fn identify(
    bootstrap: &[KnownOperator],
    declared: &DeclaredState,
    token: Option<&str>,
) -> Result<Identity, Failure> {
    let refused = || Failure::new(ErrorKind::Unauthenticated);
    let digest = Sha256::digest(token.ok_or_else(refused)?.as_bytes()).into();
    let mut found = None;
    for operator in bootstrap {
        if matches(&operator.credential, &digest) {
            found = Some(Identity { name: operator.name.clone(), role: operator.role });
        }
    }
    for resource in declared.resources.values() {
        let Spec::Operator(spec) = &resource.spec else { continue };
        // Compares every credential, so that the duration doesn't reveal which one matched.
        let matching = spec.credentials.iter().filter(|text| matches(text, &digest)).count();
        if matching > 0 {
            found = Some(Identity { name: resource.name.clone(), role: spec.role });
        }
    }
    found.ok_or_else(refused)
}

fn matches(credential: &str, digest: &[u8; DIGEST_LEN]) -> bool {
    parse_digest(credential).is_some_and(|known| known.ct_eq(digest).into())
}
