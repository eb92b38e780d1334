//! Times and bounds of the coordination, with where they come from.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long an owner holds the fleet after it sent a renewal, in milliseconds.
/// A killed owner is replaced after this time and the margin for clock rates.
pub const OWNER_TTL_MS: u64 = 1_600;
/// Time for an answer to a renewal; after one that failed the owner looks for a successor.
pub const RENEW_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for an answer to the question whether another entry can own the fleet.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between two looks of a small VM's owner for a larger VM, in milliseconds.
pub const LARGER_OWNER_CHECK_INTERVAL_MS: u64 = 2_000;
/// Entries that are asked, one after the other, to take the fleet over.
pub const MAX_SUCCESSORS_PROBED: usize = 3;
/// Time between two renewals; three may be lost before the ownership is.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// How long an owner without a confirmed lease goes on prolonging the leases of
/// running tasks, in milliseconds. A successor waits this long, and one worker
/// lease more, before it starts a task again that a worker out of reach may run.
pub const LEASE_EXTENSION_GRACE_MS: u64 = 1_500;
/// Milliseconds by which a worker's clock may differ per second from ours; the
/// platform states 2 %, and ours may differ as well.
pub const CLOCK_MARGIN_PER_MILLE: u64 = 30;
/// Added to the end of a worker's lease, for the time that killing takes, in milliseconds.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 250;
/// Part of a worker's longest lease that is used, in per cent; the worker cuts
/// longer ones, and then the two sides would not agree on the end.
pub const WORKER_LEASE_PERCENT: u64 = 95;
/// Longest wait of one look at a worker. A lease is at least this much younger than its length.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(1_800);
/// Time for an answer to a call to the table service.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for an answer to a write of jobs or progress: a partition of the table service refuses calls
/// when more than a second of them waits, and an answer is better than none.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Pause after a failed write of jobs, on average; a partition that refuses writes has a
/// second of them waiting.
pub const REFUSED_WRITE_BACKOFF: Duration = Duration::from_millis(250);
/// Tries without an answer after which a caller is told that its job may be stored.
pub const MAX_UNANSWERED_WRITES: u32 = 2;
/// Time without an answer of the table service after which an entry counts as cut off from it,
/// in milliseconds; a little over the wait and the time for an answer of one read of changes.
pub const STORE_CONTACT_TIMEOUT_MS: u64 = 1_500;
/// Longest wait of one read of changes; with the time for an answer it bounds
/// the age of the confirmation that keyed work needs.
pub const MAX_FEED_WAIT: Duration = Duration::from_millis(700);
/// Pause between two reads of the workers' table: every worker writes its row at
/// each heartbeat, and only a drain needs to be known within a second or two.
pub const WORKER_FEED_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two reads of the jobs, in which submissions gather.
pub const JOB_FEED_PAUSE: Duration = Duration::from_millis(15);
/// Pause between two reads of states, in which progress gathers.
pub const STATE_FEED_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed call to the table service.
pub const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time taken off the operators' bound on withdrawn keys, in milliseconds: the
/// table service may report no changes for a second while there are some.
pub const CONFIRMATION_MARGIN_MS: u64 = 1_300;
/// Time during which submissions gather for one transaction.
pub const SUBMIT_BATCH_DELAY: Duration = Duration::from_millis(3);
/// Transactions with submissions to one partition that the owner has on their way: one is
/// carried out while the answer to the other travels.
pub const MAX_OWNED_SUBMITS_IN_FLIGHT: usize = 2;
/// Transactions with submissions to one partition that another entry has on their way. While
/// the store is slow, more of them would only fill the queue of the partition.
pub const MAX_INBOX_SUBMITS_IN_FLIGHT: usize = 1;
/// Submissions in one transaction; each takes three conditions and one write of
/// the 100 entries, and the owner adds one condition.
pub const MAX_SUBMITS_PER_TRANSACTION: usize = 24;
/// Longest time that the owner may take to store a job for another entry, before
/// that stores the job itself.
pub const FORWARDED_SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait of one question for news of jobs.
pub const MAX_JOB_CHANGES_WAIT: Duration = Duration::from_millis(900);
/// Least pause between two questions for news, in which news gathers.
const MIN_JOB_CHANGES_INTERVAL: Duration = Duration::from_millis(40);
/// Questions for news that all entries together put to the owner in a second, at most.
const MAX_JOB_CHANGES_QUERIES_PER_S: u32 = 900;

/// Returns the pause between two questions for news of one entry among so many. The owner answers
/// all of them, so that the pause grows with their number.
#[must_use]
pub fn job_changes_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    MIN_JOB_CHANGES_INTERVAL.max(Duration::from_secs(1) * entries / MAX_JOB_CHANGES_QUERIES_PER_S)
}

/// Changes of jobs that an owner keeps for entries that ask late.
pub const MAX_LOGGED_JOB_CHANGES: usize = 20_000;
/// Age of the last news, in milliseconds, up to which the state of a job that is not over is
/// taken from them and not read.
pub const MAX_JOB_CHANGES_AGE_MS: u64 = 1_500;
/// Pauses before the jobs are read again after a write that was not answered; the
/// table service may carry such a write out some seconds later.
pub const UNANSWERED_WRITE_REREAD_DELAYS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(5),
];
/// Submissions that one entry holds; more are refused at once.
pub const MAX_PENDING_SUBMITS: usize = 2_000;
/// Time kept back of a caller's deadline for the answer to arrive, in milliseconds.
pub const ANSWER_MARGIN_MS: u64 = 60;
/// Least time for storing a job, in milliseconds; with less, the caller is refused
/// before anything is sent.
pub const MIN_SUBMIT_TIMEOUT_MS: u64 = 20;
/// Records of progress in one transaction; each takes one condition, one write and three removals.
pub const MAX_PROGRESS_PER_TRANSACTION: usize = 18;
/// Records of progress that are stored at the same time, over all partitions.
pub const MAX_PROGRESS_PER_BATCH: usize = 72;
/// Longest time that progress of a job that is not over waits to be stored; the
/// worker's next ends are seen only after it.
pub const MAX_PROGRESS_DELAY: Duration = Duration::from_millis(80);
/// Time during which ends of jobs gather for one transaction.
pub const FINAL_PROGRESS_BATCH_DELAY: Duration = Duration::from_millis(25);
/// Pause between two removals of old states.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// States that one transaction removes; each takes one condition and one removal.
pub const MAX_SWEPT_PER_TRANSACTION: usize = 48;
/// Time beyond the promised one for which states are kept, in milliseconds: VMs
/// differ by seconds in their time of day, and late repeats of a submission still
/// have to find the state.
pub const RETENTION_MARGIN_MS: u64 = 30_000;
/// Time during which events gather before the planner decides.
pub const DECISION_DEBOUNCE: Duration = Duration::from_millis(2);
/// Length of the pause after a decision, relative to the decision: under overload, the calls to
/// workers and the answers to callers need most of the owner's processor time.
pub const DECISION_PAUSE_FACTOR: u32 = 3;
/// Longest time between two decisions; pauses of workers and questions end by time alone.
pub const MAX_DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time for an answer to a start or a stop; the way takes under 10 ms.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Orders to one worker at a time. Each takes a connection, of which a worker allows some dozens;
/// those of owners that lost power count until the worker notices.
pub const MAX_ORDERS_IN_FLIGHT: usize = 3;
/// Pause before a stop without an answer is sent again.
pub const STOP_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest pause between two looks at a worker while its ends are being stored,
/// so that its lease is prolonged meanwhile.
pub const MAX_ACK_WAIT: Duration = Duration::from_millis(400);
/// Looks at idle workers in a second, over the whole fleet; a look takes about a tenth of a
/// millisecond, and the smallest owner that is planned for has a quarter of a core.
pub const MAX_IDLE_POLLS_PER_S: u32 = 300;
/// Longest time between two looks at an idle worker; a worker whose clock is 2 % slow then
/// ends its leases less than 0.2 s later than planned, which its longest lease allows.
pub const MAX_IDLE_POLL_INTERVAL: Duration = Duration::from_secs(9);
/// Pause after a look that failed.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time beyond the expected one for an answer of the advice service.
pub const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// An owner that cannot reach most workers for this long gives the fleet up, in milliseconds.
pub const MAX_WORKERS_UNREACHABLE_MS: u64 = 1_200;
/// An entry that gave the fleet up does not claim it for this long, in milliseconds.
pub const CLAIM_BACKOFF_MS: u64 = 4_000;

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetBounds {
    /// Longest lease of a worker, in milliseconds.
    pub worker_lease_ms: u64,
    /// Time after which a withdrawn key must not work, in milliseconds.
    pub revoke_ms: u64,
    /// Time for which the state of a job that is over is kept, in milliseconds.
    pub keep_ms: u64,
}
