//! Coordination of entries that share one fleet through a table service.
//!
//! Every entry accepts jobs from callers and reports their states; one entry owns the fleet and
//! decides which worker runs which task (docs/platform.md). The protocols of the platform are
//! hidden behind the traits of [`ports`].

pub mod config;
pub mod context;
pub mod desk;
pub mod explain;
pub mod follow;
pub mod lease;
pub mod limits;
pub mod member;
pub mod metrics;
pub mod news;
pub mod owner;
pub mod ports;
pub mod reread;
pub mod row;
pub mod status;
pub mod strength;
pub mod submit;
