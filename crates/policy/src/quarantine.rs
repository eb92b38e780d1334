//! Quarantine of workers that fail everything they start, and probes that end it.

use std::collections::VecDeque;

use model::name::JobId;
use model::time::ClockMillis;

use crate::hold::HoldId;

/// Consecutive failures after which a worker is quarantined; with five, one or two bad
/// jobs alone do not cause it.
const FAILURES_TO_QUARANTINE: usize = 5;
/// Longest run in milliseconds whose failure counts against the worker; a later one
/// counts against the job alone.
const MAX_QUICK_FAILURE_MS: u64 = 2_000;
/// Milliseconds until the first probe of a quarantined worker.
const MIN_PROBE_INTERVAL_MS: u64 = 1_000;
/// Longest time in milliseconds between two probes; also how long a due probe waits for
/// work that fits before the quarantine is lifted without one.
pub(crate) const MAX_PROBE_INTERVAL_MS: u64 = 60_000;

/// A task that failed within [`MAX_QUICK_FAILURE_MS`] of its start.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QuickFailure {
    job: JobId,
    at: ClockMillis,
}

/// Quick failures and failed requests of a worker since its last success.
///
/// Outcomes count in the order in which they become known, not in the order of starts: a
/// worker that fails everything always has later starts in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureHistory {
    failures: VecDeque<QuickFailure>,
    failed_requests: usize,
}

impl FailureHistory {
    pub(crate) fn record_failure(&mut self, job: JobId, at: ClockMillis) {
        if self.failures.len() == FAILURES_TO_QUARANTINE {
            self.failures.pop_front();
        }
        self.failures.push_back(QuickFailure { job, at });
    }

    /// Forgets the failures before a start that was known as successful at `known_at`.
    pub(crate) fn record_success(&mut self, known_at: ClockMillis) {
        while self.failures.front().is_some_and(|failure| failure.at < known_at) {
            self.failures.pop_front();
        }
    }

    pub(crate) fn record_request(&mut self, healthy: bool) {
        self.failed_requests = if healthy { 0 } else { self.failed_requests + 1 };
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.failures.len() == FAILURES_TO_QUARANTINE
            || self.failed_requests >= FAILURES_TO_QUARANTINE
    }

    /// Returns whether all quick failures are of one job, and failed requests do not
    /// suffice for a quarantine.
    pub(crate) fn has_only_failures_of(&self, job: &JobId) -> bool {
        let same_job = self.failures.iter().all(|failure| failure.job == *job);
        self.failed_requests < FAILURES_TO_QUARANTINE && same_job
    }

    /// Keeps one failure less than a quarantine needs, so that a single further failure
    /// starts it again.
    pub(crate) fn keep_one_below_limit(&mut self) {
        self.failures.truncate(FAILURES_TO_QUARANTINE - 1);
        self.failed_requests = self.failed_requests.min(FAILURES_TO_QUARANTINE - 1);
    }

    pub(crate) fn clear(&mut self) {
        self.failures.clear();
        self.failed_requests = 0;
    }
}

/// Returns whether a failure after a run of this length counts against the worker.
pub(crate) const fn is_quick_failure(ran_ms: u64) -> bool {
    ran_ms <= MAX_QUICK_FAILURE_MS
}

/// State of the probe of a quarantined worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerProbe {
    /// Not due yet.
    Waiting,
    /// Due; the next task or request that fits may run as the probe.
    Due,
    /// A task runs as the probe.
    Task(HoldId),
    /// A request runs as the probe.
    Request(u64),
}

/// State of a quarantined worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerQuarantine {
    pub(crate) probe: WorkerProbe,
    /// When the last probe became due.
    pub(crate) due_at: ClockMillis,
    /// Time until the next probe; doubles after each failed one.
    interval_ms: u64,
}

impl WorkerQuarantine {
    /// Starts a quarantine and returns it with the instant of the first probe.
    pub(crate) fn start(now: ClockMillis) -> (Self, ClockMillis) {
        let due_at = now + MIN_PROBE_INTERVAL_MS;
        (Self { probe: WorkerProbe::Waiting, due_at, interval_ms: MIN_PROBE_INTERVAL_MS }, due_at)
    }

    /// Doubles the interval after a failed probe and returns the instant of the next one.
    pub(crate) fn schedule_next_probe(&mut self, now: ClockMillis) -> ClockMillis {
        self.interval_ms = (self.interval_ms * 2).min(MAX_PROBE_INTERVAL_MS);
        self.probe = WorkerProbe::Waiting;
        now + self.interval_ms
    }

    /// Returns the instant of the probe that replaces one without a result.
    pub(crate) fn schedule_repeated_probe(&mut self, now: ClockMillis) -> ClockMillis {
        self.probe = WorkerProbe::Waiting;
        now + self.interval_ms
    }
}

/// Returns the instant at which a task that still runs shows that its worker is healthy.
pub(crate) fn healthy_at(started: ClockMillis) -> ClockMillis {
    started + (MAX_QUICK_FAILURE_MS + 1)
}
