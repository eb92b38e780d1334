//! Placement, fair shares, queues and limits of one failure domain as pure logic.
//!
//! A [`cell::Cell`] handles [`event::CellEvent`]s, each with a clock value, and returns
//! [`event::CellDecision`]s. It does no I/O and reads no clock, so that table and
//! property tests can cover every rule (docs/design.md, section 9).

pub mod cell;
pub mod event;
pub mod placement;
pub mod rules;
pub mod snapshot;
pub mod status;

mod attempt;
mod catalog;
mod config;
mod gang;
mod hold;
mod index;
mod job;
mod job_events;
mod map;
mod pool;
mod preempt;
mod quarantine;
mod report;
mod request;
mod request_events;
mod schedule;
mod team;
mod timer;
mod timer_events;
mod usage;
mod worker;
