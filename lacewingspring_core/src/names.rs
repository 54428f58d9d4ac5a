//! Name types. Each wraps a shared immutable string that is cheap to clone.

use std::{
    borrow::Borrow,
    fmt::{self, Display, Formatter},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta] $name:ident),* $(,)?) => {
        $(
            #[$doc]
            #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
            #[serde(transparent)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(Arc::from(text))
                }
            }

            impl From<String> for $name {
                fn from(text: String) -> Self {
                    Self(Arc::from(text))
                }
            }

            impl Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl Display for $name {
                fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}

name_type! {
    /// Name of an instance, a machine that runs the scheduler daemon.
    InstanceName,
    /// Name of a data centre.
    DataCentreName,
    /// Name of a workspace, which belongs to one customer.
    WorkspaceName,
    /// Name of an upstream, a back end that runs requests.
    UpstreamName,
    /// Name of a service to which callers send requests.
    ServiceName,
    /// Version of the software of an upstream, which is not that of its model weights.
    SoftwareVersion,
    /// Name of a priority tier.
    TierName,
    /// Name of an engine pool.
    PoolName,
    /// Idempotency key of a request, unique within its workspace.
    RequestKey,
    /// Digest of service and body, which distinguishes a repeat from another request with its key.
    Fingerprint,
}
