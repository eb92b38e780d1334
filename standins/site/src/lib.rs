//! Stand-in for the users' platform, for tests only: a table service, workers
//! and the advice service, with the protocols that docs/platform.md describes.
//!
//! It runs in a thread of the test and keeps a history of all runs on its
//! workers, which tests check.

pub mod advice;
pub mod server;
pub mod table;
pub mod worker;
