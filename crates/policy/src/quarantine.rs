//! Workers that fail everything they start.

use std::collections::VecDeque;

use model::name::JobId;
use model::time::ClockMillis;

use crate::hold::HoldId;

/// Starts that must all have failed; five leave room for a bad job or two.
const FAILED_STARTS: usize = 5;
/// A failure later than this counts against the job alone.
const QUICK_FAILURE_MS: u64 = 2_000;
const FIRST_PROBE_MS: u64 = 1_000;
pub(crate) const LAST_PROBE_MS: u64 = 60_000;

/// A start that failed quickly.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QuickFailure {
    job: JobId,
    at: ClockMillis,
}

/// Failed starts and requests of a worker since the last that went well.
///
/// Starts count in the order in which their outcome is known: a worker that
/// fails everything always has further starts under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartHistory {
    failures: VecDeque<QuickFailure>,
    failed_requests: usize,
}

impl StartHistory {
    pub(crate) fn add_failure(&mut self, job: JobId, at: ClockMillis) {
        if self.failures.len() == FAILED_STARTS {
            self.failures.pop_front();
        }
        self.failures.push_back(QuickFailure { job, at });
    }

    /// Forgets the failures before a start that went well.
    pub(crate) fn note_success(&mut self, known_at: ClockMillis) {
        while self.failures.front().is_some_and(|failure| failure.at < known_at) {
            self.failures.pop_front();
        }
    }

    pub(crate) fn note_request(&mut self, healthy: bool) {
        self.failed_requests = if healthy { 0 } else { self.failed_requests + 1 };
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.failures.len() == FAILED_STARTS || self.failed_requests >= FAILED_STARTS
    }

    /// Tells whether nothing but the job speaks against the worker.
    pub(crate) fn blames_only(&self, job: &JobId) -> bool {
        let same_job = self.failures.iter().all(|failure| failure.job == *job);
        self.failed_requests < FAILED_STARTS && same_job
    }

    /// Keeps one failure less than a quarantine takes, so that the next one starts it again.
    pub(crate) fn keep_suspicion(&mut self) {
        self.failures.truncate(FAILED_STARTS - 1);
        self.failed_requests = self.failed_requests.min(FAILED_STARTS - 1);
    }

    pub(crate) fn clear(&mut self) {
        self.failures.clear();
        self.failed_requests = 0;
    }
}

/// Tells whether a failure after so long counts against the worker.
pub(crate) const fn is_quick(ran_ms: u64) -> bool {
    ran_ms <= QUICK_FAILURE_MS
}

/// The probe of a quarantined worker that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerProbe {
    /// Not due yet.
    Waiting,
    /// Due; the next fitting task is placed.
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
    interval: u64,
}

impl WorkerQuarantine {
    /// Starts a quarantine and returns it with the instant of the first probe.
    pub(crate) fn start(now: ClockMillis) -> (Self, ClockMillis) {
        let due_at = now + FIRST_PROBE_MS;
        (Self { probe: WorkerProbe::Waiting, due_at, interval: FIRST_PROBE_MS }, due_at)
    }

    /// Returns the instant of the next probe after a failed one.
    pub(crate) fn next_probe(&mut self, now: ClockMillis) -> ClockMillis {
        self.interval = (self.interval * 2).min(LAST_PROBE_MS);
        self.probe = WorkerProbe::Waiting;
        now + self.interval
    }

    /// Returns the instant of a probe that replaces one without result.
    pub(crate) fn repeat_probe(&mut self, now: ClockMillis) -> ClockMillis {
        self.probe = WorkerProbe::Waiting;
        now + self.interval
    }
}

/// Returns the instant at which a start that still runs counts as good.
pub(crate) fn verdict_at(started: ClockMillis) -> ClockMillis {
    started + (QUICK_FAILURE_MS + 1)
}
