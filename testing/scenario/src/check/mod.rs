//! Checker of the eleven promises (guarantees) of docs/design.md, section 1.2.
//!
//! 1. No worker holds more work than its capacity.
//! 2. No task runs in two places at once.
//! 3. Work is accepted only with a valid key of its team.
//! 4. No team has more running than its limit.
//! 5. Nothing starts in a domain that was taken out of service.
//! 6. A caller gets the complete answer to its own request.
//! 7. What was refused as not run did not run.
//! 8. A non-idempotent request runs at most once.
//! 9. A worker that is leaving gets no new work.
//! 10. A planned stop of an entry interrupts no request.
//! 11. An accepted configuration is in force everywhere and is not reverted.
//!
//! Each promise has its own functions over the histories of a run. They read no
//! state of the system itself, so that an error in its bookkeeping cannot hide a
//! broken promise.

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

/// Time in microseconds within which a change must take effect everywhere.
const SETTLE_US: u64 = 5_000_000;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Number of the promise, from 1 to 11.
    pub promise: u8,
    /// Time of the violation, `CLOCK_MONOTONIC` in microseconds.
    pub at_us: u64,
    /// What was wrong.
    pub message: String,
    /// The history records that prove it, each as a line of JSON.
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

/// Reads all histories of a directory and checks them against the eleven promises.
///
/// # Errors
/// Returns an error if a history cannot be read, because an unreadable history
/// must not pass as one without violations.
pub fn check_histories(dir: &Path) -> io::Result<Vec<Violation>> {
    RunHistory::read(dir).map(|history| check_history(&history))
}

/// Returns all violations in histories that are in memory, by promise and time.
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
