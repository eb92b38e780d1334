//! The entry daemon as a library.
//!
//! An entry answers callers and operators over HTTP and, while it holds the
//! ownership lease of its failure domain, decides every placement there. The
//! control thread holds all control state. Traffic threads serve HTTP requests
//! and reach that state only by messages (docs/design.md, section 2).

pub use link::clock;
pub mod control;
pub mod daemon;
pub mod flags;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod snapshot;
