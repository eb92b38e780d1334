//! Clients for the platform, for workers and for peer entries, and the room for those who call.
//!
//! Every call has a timeout, and every failure states whether the other side
//! may have acted on the call. Callers need that difference to refuse truthfully
//! and to retry safely (docs/design.md, section 7).

pub mod body;
pub mod budget;
pub mod clock;
pub mod connection;
pub mod endpoint;
pub mod failure;
pub mod http;
pub mod intake;
pub mod meter;
pub mod peer;
pub mod pinned;
pub mod platform;
pub mod server;
pub mod worker;
