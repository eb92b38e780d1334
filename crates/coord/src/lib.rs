//! Ownership, allotments and configuration publication as pure state machines.
//!
//! Inputs are events and a clock value, outputs are actions for the transport
//! to carry out; nothing here does I/O or reads a clock, so that interleavings
//! of renewals, freezes and lost replies can be tested exhaustively
//! (docs/design.md, sections 4 to 6).

pub mod allotment;
pub mod config;
pub mod owner;
pub mod row;
