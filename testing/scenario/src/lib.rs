//! Scripted fault scenarios and a checker of the histories that they record.
//!
//! A scenario file declares the processes of a cell, load, faults and operators'
//! changes, and the expected results ([`script`], [`parse`]). The runner ([`run`])
//! starts real processes on loopback addresses. The checker ([`check`]) verifies
//! the promises of docs/design.md, section 1.2, from what workers, callers and
//! operators recorded, not from what the system reports of itself.

pub mod check;
pub mod parse;
pub mod record;
pub mod report;
pub mod run;
pub mod script;
