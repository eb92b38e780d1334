//! Placement, fairness, queues and limits of one failure domain as pure logic.
//!
//! A [`cell::Cell`] takes [`event::CellEvent`]s with a clock value and returns
//! [`event::CellDecision`]s. It does no I/O and reads no clock, so that every
//! rule can be tested by table and by property (docs/design.md, section 9).

pub mod cell;
pub mod event;
pub mod placement;
pub mod rules;
pub mod snapshot;
pub mod status;

mod attempt;
mod catalog;
mod config;
mod due;
mod gang;
mod hold;
mod index;
mod job;
mod map;
mod pool;
mod preempt;
mod quarantine;
mod report;
mod request;
mod request_events;
mod schedule;
mod submit;
mod team;
mod timer;
mod usage;
mod worker;
