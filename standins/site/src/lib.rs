//! Stand-in for the users' platform, for tests only: a table service, workers
//! and the advice service, as docs/platform.md describes what they speak.
//!
//! It runs in a thread of the test and keeps a history of what the workers ran,
//! by which tests judge.

pub mod server;
pub mod table;
pub mod worker;
