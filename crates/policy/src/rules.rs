//! Switches and fixed numbers of the policy.

/// Switches single rules off, so that the benchmark can show what each is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each rule is switched on its own")]
pub struct PolicyRules {
    /// Teams are served in order of their weighted dominant share, not by arrival alone.
    pub fair_share: bool,
    /// Urgent work and teams below their share may checkpoint running tasks.
    pub preemption: bool,
    /// Short work may use workers that are reserved for a gang.
    pub backfill: bool,
    /// Workers that fail everything get no work except probes.
    pub quarantine: bool,
    /// Later tasks of a job are sized by what its earlier tasks were measured to use.
    pub usage_correction: bool,
    /// Work without accelerators goes to workers without them first.
    pub accelerator_keeping: bool,
    /// Requests are refused as soon as their deadline cannot be met.
    pub early_refusal: bool,
}

impl PolicyRules {
    /// All rules on.
    pub const ALL: Self = Self {
        fair_share: true,
        preemption: true,
        backfill: true,
        quarantine: true,
        usage_correction: true,
        accelerator_keeping: true,
        early_refusal: true,
    };

    /// All rules off.
    pub const NONE: Self = Self {
        fair_share: false,
        preemption: false,
        backfill: false,
        quarantine: false,
        usage_correction: false,
        accelerator_keeping: false,
        early_refusal: false,
    };
}

impl Default for PolicyRules {
    fn default() -> Self {
        Self::ALL
    }
}

/// Milliseconds between two requests for allotment of one team.
pub const ALLOTMENT_REQUEST_INTERVAL_MS: u64 = 200;
/// Milliseconds that services and non-preemptible tasks may go on in a domain that was taken out.
pub const DOMAIN_OUT_GRACE_MS: u64 = 30_000;
/// Milliseconds between two progress records of one job; each record is a write to the platform.
pub const PROGRESS_INTERVAL_MS: u64 = 1_000;
/// Failures of one task after which its job has failed.
pub const MAX_TASK_FAILURES: usize = 3;
/// Failures of one task, those on quarantined workers included, after which its job has failed.
/// Without it a job that always fails would quarantine a small fleet and be retried forever.
pub const MAX_TASK_FAILURES_WITH_QUARANTINED: usize = 6;
/// Milliseconds for which a task that was preempted is not preempted again.
pub const PREEMPTION_PROTECTION_MS: u64 = 10_000;
/// Preemptions in flight at most on behalf of teams below their share.
pub const MAX_RECLAIM_PREEMPTIONS: usize = 16;
/// Preemptions in flight at most on behalf of urgent work.
pub const MAX_URGENT_PREEMPTIONS: usize = 256;
/// Running tasks that are looked at in one search for a task to preempt.
pub const MAX_VICTIMS_EXAMINED: usize = 32;
/// Milliseconds until a stop that had no effect is sent again.
pub const STOP_RETRY_MS: u64 = 5_000;
/// Milliseconds after which a checkpoint that has not ended becomes a plain stop.
pub const CHECKPOINT_TIMEOUT_MS: u64 = 30_000;
/// Milliseconds for which a worker that refused a start gets no task; an immediate
/// retry would be refused for the same reason.
pub const REFUSED_START_BACKOFF_MS: u64 = 500;
/// Starts in one event at most, so that one large job does not delay other decisions.
pub const MAX_STARTS_PER_EVENT: usize = 128;
/// Stops of ended jobs and of a domain that was taken out in one event at most.
pub const MAX_STOPS_PER_EVENT: usize = 256;
/// Jobs that move to other domains in one event at most.
pub const MAX_MOVES_PER_EVENT: usize = 64;
/// Jobs of one team and urgency that are tried when the first ones do not fit.
pub const JOB_LOOKAHEAD: usize = 8;
/// Milliseconds of a worker's lease; a start is void after it (docs/design.md, section 4).
pub const WORKER_LEASE_MS: u64 = 8_000;
/// Milliseconds between two attempts to start a gang that did not fit.
pub const GANG_RETRY_INTERVAL_MS: u64 = 100;
/// Milliseconds after which the workers reserved for a gang are chosen anew.
pub const GANG_RESERVATION_REFRESH_MS: u64 = 1_000;
/// How many times the workers reserved for a gang hold it once drained. With more
/// workers enough is freed sooner, so that less stays idle meanwhile.
pub const GANG_RESERVATION_FACTOR: u64 = 4;
/// Milliseconds until a pass that was cut short or rate-limited is repeated.
pub const PLACEMENT_RETRY_MS: u64 = 100;
/// Milliseconds after a grant's latest start at which its request has reached
/// the worker or never will. An entry that pauses for longer between its check
/// and its dispatch is stopped only by the worker's own count of slots.
pub const GRANT_SETTLE_MS: u64 = 5_000;
/// Milliseconds for which slots that an earlier owner granted are counted on a
/// worker that stays busy. Deadlines of requests are shorter (10 s by default).
pub const INHERITED_SLOT_TIMEOUT_MS: u64 = 60_000;
/// Milliseconds between two preemptions on behalf of teams below their share.
pub const RECLAIM_INTERVAL_MS: u64 = 20;
/// Milliseconds after which a worker that was removed and runs nothing is
/// forgotten; longer than any timer that names a worker.
pub const REMOVED_WORKER_RETENTION_MS: u64 = 600_000;
