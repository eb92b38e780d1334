//! Timeouts, intervals and bounds of the coordination, with their reasons.

use std::time::Duration;

use plan::feature::PlanFeatures;
use serde::{Deserialize, Serialize};

/// Interval at which the owner logs the state of the fleet, in milliseconds.
pub const FLEET_STATE_LOG_INTERVAL_MS: u64 = 2_000;
/// Lease of the owner, counted from when its last renewal was sent, in milliseconds.
/// A killed owner is replaced after this time plus the margin for clock rates.
pub const OWNER_TTL_MS: u64 = 1_600;
/// Timeout of a renewal; after a failed one the owner looks for a successor.
pub const RENEW_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of the read by which an entry finds out whether it can own the fleet.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval at which an owner on a small VM checks for entries on larger VMs, in milliseconds.
pub const LARGER_OWNER_CHECK_INTERVAL_MS: u64 = 2_000;
/// Most entries that are probed, one after the other, for one handover.
pub const MAX_SUCCESSORS_PROBED: usize = 3;
/// Interval between renewals; three may be lost before the owner's lease expires.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest interval between two renewals. One comes early when starts on a worker wait for the
/// list of leased workers.
pub const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the shortest interval for each worker, as the list grows with the workers: with 1,100
/// of them it has about 40 kB.
const MIN_RENEW_INTERVAL_PER_WORKER: Duration = Duration::from_millis(1);

/// Returns the shortest interval between two renewals of the owner of this many workers.
#[must_use]
pub fn min_renew_interval(workers: usize) -> Duration {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    let interval = MIN_RENEW_INTERVAL_PER_WORKER.saturating_mul(workers);
    interval.clamp(MIN_RENEW_INTERVAL, RENEW_INTERVAL)
}
/// How long after its own lease has expired an owner still extends the leases of running
/// tasks, in milliseconds. A successor waits this long, plus one worker lease, before it
/// restarts a task that may still run on an unreachable worker.
pub const LEASE_EXTENSION_GRACE_MS: u64 = 1_500;
/// Milliseconds by which a worker's clock and this VM's may differ after one second. The
/// platform states 2 % for a worker, and this VM's clock may deviate as well.
pub const CLOCK_MARGIN_PER_MILLE: u64 = 30;
/// Added to the end of a worker's lease for the time that killing its tasks takes, in
/// milliseconds.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 250;
/// Part of a worker's longest lease that the owner sets, in per cent. A worker shortens
/// longer leases, and the two sides would then disagree on the end.
pub const WORKER_LEASE_PERCENT: u64 = 95;
/// Longest time that a worker may hold a poll before it answers. Between two extensions, a
/// lease runs down by at least this much while the worker has no run ends to report.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(1_800);
/// Timeout of a call to the table service.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a write of jobs or progress. A partition refuses calls when more than a second
/// of them is queued, and a late refusal is better than an unknown outcome.
pub const JOB_WRITE_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Mean backoff after a failed write of jobs; a partition that refuses writes has a second
/// of them queued.
pub const REFUSED_WRITE_BACKOFF: Duration = Duration::from_millis(250);
/// Failed attempts, at least one of them without an answer, after which a caller is told
/// that its job may be stored.
pub const MAX_UNANSWERED_WRITES: u32 = 2;
/// Time without an answer after which the table service counts as unreachable, in
/// milliseconds; a little more than one read of changes takes, wait included.
pub const STORE_CONTACT_TIMEOUT_MS: u64 = 1_500;
/// Longest wait of one read of changes. With the response time it bounds the age of the
/// configuration's confirmation, which requests with a key need because the key may have been
/// withdrawn. An entry without a recent confirmation refuses all requests of callers.
pub const MAX_FEED_WAIT: Duration = Duration::from_millis(700);
/// Delay between two reads of changes of the workers' table: every worker writes its row at
/// each heartbeat, and only a drain must be known within a second or two.
pub const WORKER_FEED_DELAY: Duration = Duration::from_millis(500);
/// Greatest age of a registration that is read without an earlier read to compare with, in
/// milliseconds: the interval of the workers' heartbeats and the time of the read.
pub const MAX_REGISTRATION_AGE_MS: u64 = 2_000;
/// Delay between two reads of changes of the inbox, in which submissions are batched.
pub const JOB_FEED_DELAY: Duration = Duration::from_millis(15);
/// Delay between two reads of changes of the state table, in which changes are batched.
pub const STATE_FEED_DELAY: Duration = Duration::from_millis(100);
/// Delay after a failed call to the table service.
pub const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Subtracted from [`FleetBounds::revoke_ms`], in milliseconds: the table service may report
/// no changes for a second while there are some.
pub const CONFIRMATION_MARGIN_MS: u64 = 1_300;
/// Time during which submissions are batched for one transaction.
pub const SUBMIT_BATCH_DELAY: Duration = Duration::from_millis(3);
/// Most transactions with submissions that the owner has in flight to one partition: one is
/// carried out while the answer to the other is on the network.
pub const MAX_OWNED_SUBMITS_IN_FLIGHT: usize = 2;
/// Most transactions with submissions that any other entry has in flight to one partition.
/// While the table service is slow, more would only fill the partition's queue.
pub const MAX_INBOX_SUBMITS_IN_FLIGHT: usize = 1;
/// Most submissions in one transaction. A transaction holds 100 conditions and writes; each
/// submission takes three conditions and one write, and the owner adds one condition.
pub const MAX_SUBMITS_PER_TRANSACTION: usize = 24;
/// Timeout of a submission that is forwarded to the owner; after it, the entry stores the
/// job itself.
pub const FORWARDED_SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a question about a job that is forwarded to the owner.
pub const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Most questions that wait for the owner; further ones are refused.
pub const MAX_WAITING_QUESTIONS: usize = 8;
/// Time for which the owner answers no further question after one. An answer took up to 10 ms with
/// 2,300 workers, and questions in a loop must not keep the owner from its decisions.
pub const EXPLAIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that the owner may hold a query for job changes before it answers.
pub const MAX_JOB_CHANGES_WAIT: Duration = Duration::from_millis(900);
/// Shortest delay between two queries for job changes, in which changes are batched.
const MIN_JOB_CHANGES_INTERVAL: Duration = Duration::from_millis(40);
/// Most queries for job changes that all entries together send to the owner in a second.
const MAX_JOB_CHANGES_QUERIES_PER_S: u32 = 900;

/// Returns the delay between two queries for job changes of one of `entries` entries. The
/// owner answers all of them, so the delay grows with their number.
#[must_use]
pub fn job_changes_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    MIN_JOB_CHANGES_INTERVAL.max(Duration::from_secs(1) * entries / MAX_JOB_CHANGES_QUERIES_PER_S)
}

/// Age of the ends of jobs, in milliseconds, up to which a new owner sends them to the other
/// entries: time without an owner, and the difference between the clocks of VMs.
pub const RECENT_END_MS: u64 = 10_000;
/// Most job changes that an owner keeps for entries that query late.
pub const MAX_LOGGED_JOB_CHANGES: usize = 20_000;
/// Longest time since the owner's last answer to a query for job changes, in milliseconds,
/// up to which the cached state of an unfinished job is used without a read.
pub const MAX_JOB_CHANGES_AGE_MS: u64 = 1_500;
/// Delays before each further read of the jobs after a write without an answer; the table
/// service may carry such a write out some seconds later.
pub const UNANSWERED_WRITE_REREAD_DELAYS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(5),
];
/// Longest time after which the table service may carry out a write that it did not answer, in
/// milliseconds.
pub const MAX_LATE_WRITE_MS: u64 = 10_000;
/// Shortest interval between two further reads of the jobs, in milliseconds. Each returns all
/// unfinished jobs, which may be thousands.
pub const REREAD_INTERVAL_MS: u64 = 500;
/// Most submissions that one entry queues; more are refused at once.
pub const MAX_PENDING_SUBMITS: usize = 2_000;
/// Subtracted from a caller's timeout so that the answer arrives in time, in milliseconds.
pub const ANSWER_MARGIN_MS: u64 = 60;
/// Least time for storing a job, in milliseconds; with less, the caller is refused before
/// anything is sent.
pub const MIN_SUBMIT_TIMEOUT_MS: u64 = 20;
/// Most progress records in one transaction; each takes one condition, one write and three
/// removals.
pub const MAX_PROGRESS_PER_TRANSACTION: usize = 18;
/// Most progress records that are stored at the same time, over all partitions.
pub const MAX_PROGRESS_PER_BATCH: usize = 72;
/// Longest time that progress of an unfinished job waits to be stored; the run ends that it
/// counts are acknowledged, and the worker's next ones seen, only after that.
pub const MAX_PROGRESS_DELAY: Duration = Duration::from_millis(80);
/// Time during which finished jobs are batched for one transaction.
pub const FINAL_PROGRESS_BATCH_DELAY: Duration = Duration::from_millis(25);
/// Interval between two removals of old job states.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Most states that one sweep removes; each takes one condition and one removal of a
/// transaction.
pub const MAX_SWEPT_PER_TRANSACTION: usize = 48;
/// Most cancellations that one sweep removes; each takes two conditions and one removal of a
/// transaction.
pub const MAX_CANCELLATIONS_PER_TRANSACTION: usize = 32;
/// Retention of job states beyond [`FleetBounds::keep_ms`], in milliseconds: the clocks of
/// VMs differ by seconds, and late repeats of a submission still have to find the state.
pub const RETENTION_MARGIN_MS: u64 = 30_000;
/// Time during which events are batched before a decision.
pub const DECISION_DEBOUNCE: Duration = Duration::from_millis(2);
/// Pause after a decision, as a multiple of the time that the decision took: under overload,
/// the calls to workers and the answers to callers need most of the owner's processor time.
pub const DECISION_PAUSE_FACTOR: u32 = 3;
/// Longest time between two decisions; backoffs of workers and of advice requests expire
/// without an event.
pub const MAX_DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a start or a stop; the network takes under 10 ms.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Most orders in flight to one worker. Each takes a connection, of which a worker allows
/// some dozens; those of an owner that lost power count until the worker detects the loss.
pub const MAX_ORDERS_IN_FLIGHT: usize = 3;
/// Delay before an unanswered stop is sent again.
pub const STOP_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest time between two polls of a worker while its run ends are being stored, so that
/// its lease is extended meanwhile.
pub const MAX_ACK_WAIT: Duration = Duration::from_millis(400);
/// Most polls of idle workers in a second, over the whole fleet. A poll takes about 0.1 ms, and
/// the smallest VM that is planned for as an owner has a quarter of a core.
pub const MAX_IDLE_POLLS_PER_S: u32 = 300;
/// Longest time between two polls of an idle worker. A worker whose clock is 2 % slow then
/// ends its leases less than 0.2 s later than planned, which its longest lease allows.
pub const MAX_IDLE_POLL_INTERVAL: Duration = Duration::from_secs(9);
/// Delay after a failed poll.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Timeout margin beyond the expected response time of the advice service.
pub const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// How long most workers may be unreachable before the owner releases the fleet, in
/// milliseconds.
pub const MAX_WORKERS_UNREACHABLE_MS: u64 = 1_200;
/// How long an entry that has released the fleet does not claim it, in milliseconds.
pub const CLAIM_BACKOFF_MS: u64 = 4_000;

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetBounds {
    /// Longest lease of a worker, in milliseconds.
    pub worker_lease_ms: u64,
    /// Time after which a withdrawn key must not work, in milliseconds.
    pub revoke_ms: u64,
    /// Time for which the state of a finished job is kept, in milliseconds.
    pub keep_ms: u64,
    /// Optional parts of the planner that are in use.
    #[serde(default)]
    pub features: PlanFeatures,
}
