//! Measures what control costs as a cell grows.
//!
//! Entries, the platform stand-in and a process of worker stand-ins run as
//! processes on loopback addresses of their own. Their use is read from `/proc`.

#![expect(clippy::missing_panics_doc, reason = "a panic is how a measurement fails")]
#![expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]

pub mod capacity;
pub mod cell;
pub mod fleet;
pub mod forward;
pub mod load;
pub mod path;
pub mod usage;
