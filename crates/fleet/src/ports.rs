//! Traits for the calls to the platform, to workers and to other entries.
//!
//! Futures run on the control thread only, so none of them is `Send`.

use std::time::Duration;

use arcstr::ArcStr;
use error_stack::Report;
use link::failure::CallFailure;
use model::name::WorkerName;
use plan::decision::{AdviceAnswer, AdviceRequest, PaceOrder, StartOrder, StopOrder};
use plan::explain::ExplainQuestion;
use plan::job::JobSpec;
use plan::worker::{RunReport, StartAnswer};
use serde::{Deserialize, Serialize};

use crate::explain::ExplainAnswer;
use crate::news::{JobChanges, JobChangesQuery};
use crate::submit::SubmitAnswer;

/// Result of a call to the platform, a worker or another entry.
pub type PortResult<T> = Result<T, Report<CallFailure>>;

/// Identifies a row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Table.
    pub table: &'static str,
    /// Partition; a transaction stays within one.
    pub partition: &'static str,
    /// Key within the partition.
    pub key: ArcStr,
}

/// A row as the table service returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Partition.
    pub partition: ArcStr,
    /// Key within the partition.
    pub key: ArcStr,
    /// Content; none if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version at which the row was written; 0 if it does not exist.
    pub version: u64,
}

/// Conditional changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// Versions that rows must have; 0 for a row that must not exist.
    pub expected: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub writes: Vec<(RowKey, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<RowKey>,
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactOutcome {
    /// Committed, at this version.
    Committed(u64),
    /// Without effect, as an expected version was different. Holds the present rows.
    Conflict(Vec<TableRow>),
}

/// Consistent snapshot of rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, in ascending order of keys.
    pub rows: Vec<TableRow>,
    /// Newest version of the whole service at the time of the snapshot.
    pub version: u64,
    /// Steady clock of the service at that time, in milliseconds; 0 if it is not known.
    pub clock_ms: u64,
}

/// Answer to a read of the changes since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAnswer {
    /// The changes, in order, and the version from which to read on.
    Changes(RowPage),
    /// The feed no longer reaches back to the version; the table must be read again.
    Truncated,
}

/// The platform's table service.
pub trait RowStore: 'static {
    /// Commits a transaction if all of its conditions hold.
    fn transact(
        &self,
        transaction: &RowTransaction,
        timeout: Duration,
    ) -> impl Future<Output = PortResult<TransactOutcome>>;

    /// Reads the rows of a partition whose keys lie in `range`, without its end; all rows if it
    /// is none.
    fn read(
        &self,
        table: &'static str,
        partition: &'static str,
        range: Option<(&str, &str)>,
        timeout: Duration,
    ) -> impl Future<Output = PortResult<RowPage>>;

    /// Waits at most `wait` until a table has changed after `version`, and returns the changes.
    fn follow(
        &self,
        table: &'static str,
        version: u64,
        wait: Duration,
    ) -> impl Future<Output = PortResult<FeedAnswer>>;
}

/// Fencing token and lease deadline of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderStamp {
    /// Fencing token of the owner.
    pub fencing_token: u64,
    /// End of the worker's lease on the worker's clock, in milliseconds: its runs are killed
    /// then. None leaves the lease as it is.
    pub deadline_ms: Option<u64>,
}

/// Acknowledgement of the run ends of one incarnation of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndAck {
    /// Incarnation that listed the ends. No other may get the acknowledgement, as each numbers
    /// its ends anew.
    pub incarnation: u64,
    /// Number of the last acknowledged end; the worker may forget the ends up to it.
    pub up_to: u64,
}

/// Poll of a worker's runs, which also extends its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollOrder {
    /// Fencing token and new end of the lease.
    pub stamp: OrderStamp,
    /// Acknowledges run ends; none if there are none to be acknowledged.
    pub ack: Option<EndAck>,
    /// How long the worker may wait for a run end before it answers.
    pub max_wait: Duration,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollAnswer {
    /// The worker's clock and runs.
    Report {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
        /// Runs that are present, and run ends that are not acknowledged.
        report: RunReport,
    },
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The address answered, but not with the runs of the worker; holds the reason.
    Rejected(String),
}

/// Orders to workers.
pub trait WorkerCalls: 'static {
    /// Starts a run.
    fn start(
        &self,
        address: &str,
        order: &StartOrder,
        stamp: OrderStamp,
    ) -> impl Future<Output = StartAnswer>;

    /// Stops a run, or prevents its start if that arrives later.
    fn stop(
        &self,
        address: &str,
        order: &StopOrder,
        fencing_token: u64,
    ) -> impl Future<Output = PortResult<()>>;

    /// Lets a run work at a part of its speed.
    fn pace(
        &self,
        address: &str,
        order: &PaceOrder,
        fencing_token: u64,
    ) -> impl Future<Output = PortResult<()>>;

    /// Polls the runs of a worker and extends its lease.
    fn poll(
        &self,
        address: &str,
        worker: &WorkerName,
        order: PollOrder,
    ) -> impl Future<Output = PortResult<PollAnswer>>;
}

/// Requests to the advice service, which judges the workers that may run a step.
pub trait AdviceCalls: 'static {
    /// Sends a request from this VM.
    fn request_advice(
        &self,
        request: &AdviceRequest,
    ) -> impl Future<Output = PortResult<AdviceAnswer>>;

    /// Has another entry send a request.
    fn request_advice_through(
        &self,
        address: &str,
        request: &AdviceRequest,
    ) -> impl Future<Output = PortResult<AdviceAnswer>>;
}

/// Handover of the fleet to another entry, which may then claim it although the ownership row
/// still names the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipHandover {
    /// Term that has ended.
    pub term: u64,
    /// Newest version of the ownership row that the holder knows.
    pub version: u64,
}

/// Calls to other entries.
pub trait PeerCalls: 'static {
    /// Has the owner store a job.
    fn submit_through(
        &self,
        address: &str,
        spec: &JobSpec,
        timeout: Duration,
    ) -> impl Future<Output = PortResult<SubmitAnswer>>;

    /// Asks the owner where a job would go.
    fn explain_through(
        &self,
        address: &str,
        question: &ExplainQuestion,
    ) -> impl Future<Output = PortResult<ExplainAnswer>>;

    /// Probes whether an entry may claim the fleet and the table service answers it now.
    fn can_own(&self, address: &str) -> impl Future<Output = PortResult<bool>>;

    /// Hands the fleet over to an entry.
    fn hand_over(
        &self,
        address: &str,
        handover: OwnershipHandover,
    ) -> impl Future<Output = PortResult<()>>;

    /// Long-polls the owner for job changes.
    fn fetch_job_changes(
        &self,
        address: &str,
        query: JobChangesQuery,
    ) -> impl Future<Output = PortResult<JobChanges>>;
}

/// Decodes the rows that operators and workers write.
pub trait PlatformRows: 'static {
    /// Decodes a row of the operators' table.
    fn decode_operator_row(&self, row: &TableRow) -> crate::config::OperatorRow;

    /// Decodes a worker's registration and address; none if the worker cannot be used.
    fn decode_worker_row(&self, row: &TableRow) -> Option<(plan::worker::WorkerInfo, ArcStr)>;
}
