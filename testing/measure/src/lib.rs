//! Measures the resource usage of entries and platform as a cell grows.
//!
//! Entries, the platform stand-in and one process with all worker stand-ins run on
//! their own loopback addresses. Their processor time and memory are read from
//! `/proc`.

#![expect(clippy::missing_panics_doc, reason = "a failed step must fail the measurement")]
#![expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]

pub mod capacity;
pub mod cell;
pub mod fleet;
pub mod forward;
pub mod load;
pub mod path;
pub mod usage;
