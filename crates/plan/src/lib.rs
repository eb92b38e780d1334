//! Scheduling of stepped jobs on one fleet of workers, as pure logic.
//!
//! The owner of the fleet passes stored jobs and the workers' reports to a
//! [`planner::Planner`] and carries out the [`decision::PlanDecision`]s that it
//! returns. The planner does no I/O and reads no clock (docs/platform.md,
//! "Decisions").

pub mod admission;
pub mod advice;
pub mod config;
pub mod decision;
pub mod drain;
pub mod duration;
pub mod explain;
pub mod feature;
pub mod job;
pub mod order;
pub mod planner;
pub mod preempt;
pub mod progress;
pub mod ranges;
pub mod room;
pub mod speed;
pub mod stall;
pub mod worker;

mod candidate;
mod capacity;
mod gang;
mod pace;
mod place;
mod removed_team;
mod report;
mod request;
mod state;
mod suitability;
mod withheld;
