//! Placement, fairness, queues and limits of one failure domain as pure logic.
//!
//! A [`cell::Cell`] takes [`event::CellEvent`]s with a clock value and returns
//! [`event::CellDecision`]s. It does no I/O and reads no clock, so that every
//! rule can be tested by table and by property (docs/design.md, section 9).

pub mod cell;
pub mod event;
