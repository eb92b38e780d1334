//! Scripted failure scenarios and the checker of their histories.
//!
//! A scenario file places processes, describes load, faults and operators'
//! changes, and states what is expected ([`script`], [`parse`]). The runner
//! ([`run`]) starts real processes on loopback addresses, and the checker
//! ([`check`]) judges the promises of docs/design.md, section 1.2, from what
//! workers, callers and operators recorded, never from what the system says of
//! itself.

pub mod check;
pub mod parse;
pub mod record;
pub mod report;
pub mod run;
pub mod script;
