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
const LAST_PROBE_MS: u64 = 60_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct StartOutcome {
    hold: HoldId,
    job: JobId,
    failed: bool,
}

/// Outcomes of the last starts and requests of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartHistory {
    starts: VecDeque<StartOutcome>,
    failed_requests: usize,
}

impl StartHistory {
    pub(crate) fn add_start(&mut self, hold: HoldId, job: JobId) {
        if self.starts.len() == FAILED_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back(StartOutcome { hold, job, failed: false });
    }

    /// Notes that a start failed, and tells whether it failed quickly.
    pub(crate) fn note_failure(&mut self, hold: HoldId, ran_ms: u64) -> bool {
        let quick = ran_ms <= QUICK_FAILURE_MS;
        if let Some(start) = self.starts.iter_mut().find(|start| start.hold == hold) {
            start.failed = quick;
        }
        quick
    }

    /// Removes a start that was refused before it ran.
    pub(crate) fn forget_start(&mut self, hold: HoldId) {
        self.starts.retain(|start| start.hold != hold);
    }

    pub(crate) fn note_request(&mut self, healthy: bool) {
        self.failed_requests = if healthy { 0 } else { self.failed_requests + 1 };
    }

    pub(crate) fn is_failing(&self) -> bool {
        let starts_failed =
            self.starts.len() == FAILED_STARTS && self.starts.iter().all(|start| start.failed);
        starts_failed || self.failed_requests >= FAILED_STARTS
    }

    /// Tells whether nothing but the job speaks against the worker.
    pub(crate) fn blames_only(&self, job: &JobId) -> bool {
        self.failed_requests < FAILED_STARTS && self.starts.iter().all(|start| start.job == *job)
    }

    pub(crate) fn clear(&mut self) {
        self.starts.clear();
        self.failed_requests = 0;
    }
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
    interval: u64,
}

impl WorkerQuarantine {
    /// Starts a quarantine and returns it with the instant of the first probe.
    pub(crate) fn start(now: ClockMillis) -> (Self, ClockMillis) {
        (Self { probe: WorkerProbe::Waiting, interval: FIRST_PROBE_MS }, now + FIRST_PROBE_MS)
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

/// Returns the instant at which a probe that is still running counts as healthy.
pub(crate) fn probe_verdict(started: ClockMillis) -> ClockMillis {
    started + (QUICK_FAILURE_MS + 1)
}
