//! Forwards callers' requests to the upstreams of a fleet of equal instances.
//!
//! The path of a request: [`server`] reads it, [`admission`] finds its route and workspace, the
//! [`gate`] decides when and where it runs, [`forward`] makes an [`attempt`] at that upstream
//! through [`exchange`], [`relay`] passes the response on as a body of [`answer`], and [`track`]
//! logs each step. While the [`upstream_path`] of this instance is lost, [`pass_on`] sends requests
//! through another instance. [`framing`] and [`events`] tell whether a body is complete. Error
//! responses of the proxy itself come from [`refusal`]. What callers can make the process hold is
//! bounded by [`memory_budget`], [`connections`] and [`reader_timeout`].
//!
//! Separate tasks keep the configuration and the lists of upstreams and instances up to date;
//! requests read them through shared snapshots.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod clock;
pub mod connections;
pub mod counted;
pub mod declared;
pub mod descriptors;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod forward;
pub mod framing;
pub mod gate;
pub mod instance;
mod job;
pub mod log_interval;
pub mod logging;
pub mod mark;
pub mod members;
pub mod memory_budget;
pub mod metrics;
pub mod mirror;
pub mod net;
pub mod outage;
pub mod own_entry;
mod part_ids;
pub mod pass_on;
pub mod protocol;
pub mod reader_timeout;
pub mod readiness;
pub mod record_checks;
pub mod refusal;
pub mod registration;
pub mod relay;
pub mod replica;
pub mod retry_after;
pub mod server;
pub mod settings;
pub mod store;
pub mod track;
pub mod unavailable;
pub mod upstream_path;
