//! Clients for the platform, for workers and for peer entries.
//!
//! Every call has a deadline, and every failure tells whether the other side
//! can have acted on the call: truthful refusals and safe retries rest on that
//! difference (docs/design.md, section 7).

pub mod budget;
pub mod clock;
pub mod endpoint;
pub mod failure;
pub mod http;
pub mod meter;
pub mod peer;
pub mod platform;
pub mod worker;
