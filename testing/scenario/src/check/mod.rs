//! The checker of the eleven promises of docs/design.md, section 1.2.
//!
//! Each promise is one function over all histories of a run. The checker knows
//! nothing of the system's own state, so that a fault in its bookkeeping cannot
//! hide a broken promise.

mod answer;
mod config;
mod run;
mod stop;
mod timeline;
mod work;

use std::fmt;
use std::io;
use std::path::Path;

use serde::Serialize;

use crate::record::RunHistory;
use timeline::ConfigTimeline;

/// Time, in microseconds, that the promises allow for a change to take effect.
const SETTLE_US: u64 = 5_000_000;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Number of the promise, from 1 to 11.
    pub promise: u8,
    /// When it was broken, in microseconds of `CLOCK_MONOTONIC`.
    pub at_us: u64,
    /// What was wrong.
    pub message: String,
    /// The records that show it, as lines of JSON.
    pub records: Vec<String>,
}

impl Violation {
    fn new(promise: u8, at_us: u64, message: impl Into<String>) -> Self {
        Self { promise, at_us, message: message.into(), records: Vec::new() }
    }

    fn with_record(mut self, record: &impl Serialize) -> Self {
        let line = serde_json::to_string(record);
        self.records.push(line.unwrap_or_else(|error| format!("record not shown: {error}")));
        self
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "promise {} broken at {} us: {}", self.promise, self.at_us, self.message)?;
        self.records.iter().try_for_each(|record| write!(out, "\n    {record}"))
    }
}

/// Checks all histories of a directory against the eleven promises.
///
/// # Errors
/// Returns an error if a history cannot be read; an unreadable history must not
/// pass as one without violations.
pub fn check_histories(dir: &Path) -> io::Result<Vec<Violation>> {
    RunHistory::read(dir).map(|history| check_history(&history))
}

/// Checks histories that were read before, or built by a test.
#[must_use]
pub fn check_history(history: &RunHistory) -> Vec<Violation> {
    let timeline = ConfigTimeline::build(&history.operators);
    let runs = work::collect_runs(history);
    let mut violations = Vec::new();
    violations.extend(run::check_capacity(&history.workers));
    violations.extend(run::check_overlap(&runs));
    violations.extend(answer::check_keys(history, &timeline, &runs));
    violations.extend(run::check_limits(&timeline, &runs));
    violations.extend(run::check_domains(&timeline, &runs));
    violations.extend(answer::check_answers(history));
    violations.extend(answer::check_not_run(history, &runs));
    violations.extend(answer::check_refused_jobs(history, &runs));
    violations.extend(answer::check_run_once(history, &runs));
    violations.extend(run::check_leaving(&history.workers));
    violations.extend(stop::check_stops(history));
    violations.extend(config::check_versions(history, &timeline));
    violations.sort_by_key(|violation| (violation.promise, violation.at_us));
    violations
}
