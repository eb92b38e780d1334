//! Coordination of entries that share one fleet through a table service.
//!
//! Every entry takes jobs and answers for them; one entry owns the fleet and
//! decides what runs where (docs/platform.md). What the platform speaks is
//! hidden behind the traits of [`ports`].

pub mod config;
pub mod context;
pub mod desk;
pub mod follow;
pub mod lease;
pub mod limits;
pub mod member;
pub mod metrics;
pub mod news;
pub mod owner;
pub mod ports;
pub mod row;
pub mod status;
pub mod strength;
pub mod submit;
