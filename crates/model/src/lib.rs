//! Objects, settings and error kinds that every other crate shares.
//!
//! This is the lowest layer: it does no I/O, reads no clock and does not depend
//! on processes. The design is in docs/design.md.

pub mod authority;
pub mod check;
pub mod job;
pub mod kind;
pub mod name;
pub mod object;
pub mod resource;
pub mod setting;
pub mod time;
pub mod vm;
