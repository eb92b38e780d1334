//! Clients for the platform, for workers and for peer entries.
//!
//! Every call has a timeout, and every failure states whether the other side
//! may have acted on the call. Callers need that difference to refuse truthfully
//! and to retry safely (docs/design.md, section 7).

pub mod budget;
pub mod clock;
pub mod endpoint;
pub mod failure;
pub mod http;
pub mod meter;
pub mod peer;
pub mod pinned;
pub mod platform;
pub mod worker;
