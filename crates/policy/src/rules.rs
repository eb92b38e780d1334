//! Switches and constants of the policy.

/// Which rules of the policy apply; the benchmark switches them off one at a time to
/// measure the effect of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each rule is switched on its own")]
pub struct PolicyRules {
    /// Teams are served by weighted dominant share, not by arrival alone.
    pub fair_share: bool,
    /// Running tasks are checkpointed for urgent work and for teams below their share.
    pub preemption: bool,
    /// Short work may use workers that are reserved for a gang.
    pub backfill: bool,
    /// Workers that fail everything get no work except probes.
    pub quarantine: bool,
    /// Later tasks of a job are sized by the measured usage of its earlier tasks.
    pub usage_correction: bool,
    /// Work that needs no accelerators goes to workers without accelerators first.
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

/// Least milliseconds between two requests for more allotment for one team.
pub const ALLOTMENT_REQUEST_INTERVAL_MS: u64 = 200;
/// Milliseconds for which services and non-preemptible tasks go on in a domain that is out.
pub const DOMAIN_OUT_GRACE_MS: u64 = 30_000;
/// Least milliseconds between two progress records of one job; each record is a write to
/// the platform.
pub const PROGRESS_INTERVAL_MS: u64 = 1_000;
/// Failures of one task after which its job fails.
pub const MAX_TASK_FAILURES: usize = 3;
/// Failures of one task, those on quarantined workers included, after which its job fails.
/// Without this limit, a job that always fails would quarantine all workers of a small
/// fleet and be retried forever.
pub const MAX_TASK_FAILURES_WITH_QUARANTINED: usize = 6;
/// Milliseconds for which a task that was preempted is not preempted again.
pub const PREEMPTION_PROTECTION_MS: u64 = 10_000;
/// Most preemptions in flight for teams below their share.
pub const MAX_RECLAIM_PREEMPTIONS: usize = 16;
/// Most preemptions in flight for urgent work.
pub const MAX_URGENT_PREEMPTIONS: usize = 256;
/// Most workers whose running tasks are examined in one search for tasks to preempt.
pub const MAX_VICTIM_WORKERS_EXAMINED: usize = 32;
/// Milliseconds until a stop is sent again if the task still runs.
pub const STOP_RETRY_MS: u64 = 5_000;
/// Milliseconds after which a checkpoint that has not ended becomes a stop without one.
pub const CHECKPOINT_TIMEOUT_MS: u64 = 30_000;
/// Milliseconds for which a worker that refused a start gets no work; an immediate retry
/// would be refused for the same reason.
pub const REFUSED_START_BACKOFF_MS: u64 = 500;
/// Most starts in one event, so that a large job does not delay other decisions.
pub const MAX_STARTS_PER_EVENT: usize = 128;
/// Most stops in one event for ended jobs and for a domain that is out.
pub const MAX_STOPS_PER_EVENT: usize = 256;
/// Most jobs that move to other domains in one event.
pub const MAX_MOVES_PER_EVENT: usize = 64;
/// Oldest jobs of one team and urgency, or requests of one queue, that one step of a
/// placement pass tries.
pub const PLACEMENT_LOOKAHEAD: usize = 8;
/// Lease of a worker in milliseconds. A worker refuses a start that is older
/// (docs/design.md, section 4).
pub const WORKER_LEASE_MS: u64 = 8_000;
/// Milliseconds between two attempts to start a gang that did not fit.
pub const GANG_RETRY_INTERVAL_MS: u64 = 100;
/// Milliseconds after which a gang's reservation is refreshed: tasks are preempted on its
/// workers, and workers are chosen anew if one of them takes no work any more.
pub const GANG_RESERVATION_REFRESH_MS: u64 = 1_000;
/// How many times the gang would fit on its reserved workers once they are drained. With
/// more workers than needed, enough is freed sooner, so that less capacity stays idle.
pub const GANG_RESERVATION_FACTOR: u64 = 4;
/// Milliseconds until a search for tasks to preempt that found none is repeated.
pub const PREEMPTION_RETRY_MS: u64 = 100;
/// Milliseconds after the latest start of a granted request at which it has reached the
/// worker or never will. If an entry pauses for longer between its check of the deadline
/// and sending the request, only the worker's own count of slots can refuse it.
pub const GRANT_SETTLE_MS: u64 = 5_000;
/// Milliseconds for which slots that an earlier owner granted are counted on a worker
/// that still reports used slots. Deadlines of requests are shorter (10 s by default).
pub const INHERITED_SLOT_TIMEOUT_MS: u64 = 60_000;
/// Least milliseconds between two preemptions for teams below their share.
pub const RECLAIM_INTERVAL_MS: u64 = 20;
/// Milliseconds after its last report at which a removed worker that runs nothing is
/// forgotten. Longer than any timer that refers to a worker by its position, which may
/// be reused.
pub const REMOVED_WORKER_RETENTION_MS: u64 = 600_000;
