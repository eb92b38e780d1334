//! Decisions about stepped jobs on one fleet of workers, as pure logic.
//!
//! A [`planner::Planner`] is told what the store and the workers say and
//! returns [`decision::PlanDecision`]s. It does no I/O and reads no clock
//! (docs/platform.md, "Decisions").

pub mod advice;
pub mod config;
pub mod decision;
pub mod job;
pub mod order;
pub mod planner;
pub mod progress;
pub mod worker;

mod place;
mod report;
mod state;
