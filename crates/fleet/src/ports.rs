//! What the fleet needs of the platform, as small traits.
//!
//! Futures run on the control thread only, so that none of them is `Send`.

use std::time::Duration;

use arcstr::ArcStr;
use error_stack::Report;
use link::failure::CallFailure;
use model::name::WorkerName;
use plan::decision::{AdviceAnswer, AdviceRequest, StartOrder, StopOrder};
use plan::job::JobSpec;
use plan::worker::{RunReport, StartAnswer};
use serde::{Deserialize, Serialize};

use crate::news::{JobChanges, JobChangesQuery};
use crate::submit::StoreResult;

/// Result of a call to the platform or to a worker.
pub type PortResult<T> = Result<T, Report<CallFailure>>;

/// Names a row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Table.
    pub table: &'static str,
    /// Partition of the table; a transaction stays within one.
    pub partition: &'static str,
    /// Key within the partition.
    pub key: ArcStr,
}

/// A row as the table service has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Partition of the table.
    pub partition: ArcStr,
    /// Key within the partition.
    pub key: ArcStr,
    /// Content; none if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version that the row was written at; 0 if it does not exist.
    pub version: u64,
}

/// Changes that are made together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// Versions that rows must have; 0 for a row that must not exist.
    pub expected: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub writes: Vec<(RowKey, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<RowKey>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactOutcome {
    /// Done, at this version.
    Committed(u64),
    /// Not done: an expected version was different. Holds the present rows.
    Conflict(Vec<TableRow>),
}

/// Rows at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, in ascending order of keys.
    pub rows: Vec<TableRow>,
    /// Newest version of the whole service at that moment.
    pub version: u64,
}

/// Rows that have changed since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAnswer {
    /// The changes, in order, and the version to go on from.
    Changes(RowPage),
    /// The changes since then are not kept any more; the table must be read again.
    Truncated,
}

/// The platform's table service.
pub trait RowStore: 'static {
    /// Makes changes under conditions.
    fn transact(
        &self,
        transaction: &RowTransaction,
        timeout: Duration,
    ) -> impl Future<Output = PortResult<TransactOutcome>>;

    /// Reads all rows of a partition with keys from `from` up to, and without, `to`.
    fn read(
        &self,
        table: &'static str,
        partition: &'static str,
        range: Option<(&str, &str)>,
        timeout: Duration,
    ) -> impl Future<Output = PortResult<RowPage>>;

    /// Waits until a table has changed after `version`, at most for `wait`.
    fn follow(
        &self,
        table: &'static str,
        version: u64,
        wait: Duration,
    ) -> impl Future<Output = PortResult<FeedAnswer>>;
}

/// What an order to a worker carries besides its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderStamp {
    /// Fencing token of the owner.
    pub fencing_token: u64,
    /// Instant of the worker's clock up to which its runs are kept alive, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A look at a worker, which also prolongs its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollOrder {
    /// Token and lease.
    pub stamp: OrderStamp,
    /// Ends up to this number are stored and may be forgotten.
    pub ack_up_to: u64,
    /// How long the worker may wait for an end before it answers.
    pub max_wait: Duration,
}

/// Answer to a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollAnswer {
    /// What runs and what ended.
    Report {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
        /// Its runs.
        report: RunReport,
    },
    /// The worker has seen a higher token.
    Fenced,
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

    /// Stops a run, or keeps it from ever starting.
    fn stop(
        &self,
        address: &str,
        order: &StopOrder,
        token: u64,
    ) -> impl Future<Output = PortResult<()>>;

    /// Looks at the runs of a worker and prolongs its lease.
    fn poll(
        &self,
        address: &str,
        worker: &WorkerName,
        order: PollOrder,
    ) -> impl Future<Output = PortResult<PollAnswer>>;
}

/// Questions about which workers may run a step.
pub trait AdviceCalls: 'static {
    /// Asks the service from this VM.
    fn request_advice(&self, ask: &AdviceRequest)
    -> impl Future<Output = PortResult<AdviceAnswer>>;

    /// Has another entry ask the service.
    fn request_advice_through(
        &self,
        address: &str,
        ask: &AdviceRequest,
    ) -> impl Future<Output = PortResult<AdviceAnswer>>;
}

/// An ownership that its holder has given up without being able to write so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipHandover {
    /// Its term.
    pub term: u64,
    /// Version of the ownership row.
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
    ) -> impl Future<Output = PortResult<StoreResult>>;

    /// Asks an entry whether the table service answers it now.
    fn can_own(&self, address: &str) -> impl Future<Output = PortResult<bool>>;

    /// Tells an entry that the ownership of this term has been given up at this version.
    fn hand_over(
        &self,
        address: &str,
        handover: OwnershipHandover,
    ) -> impl Future<Output = PortResult<()>>;

    /// Waits for news of jobs.
    fn fetch_job_changes(
        &self,
        address: &str,
        query: JobChangesQuery,
    ) -> impl Future<Output = PortResult<JobChanges>>;
}

/// Reads what operators and workers keep in the table service.
pub trait PlatformRows: 'static {
    /// Reads a row of the operators' table.
    fn decode_operator_row(&self, row: &TableRow) -> crate::config::OperatorRow;

    /// Reads the registration of a worker with its address; none if it names no worker to use.
    fn decode_worker_row(&self, row: &TableRow) -> Option<(plan::worker::WorkerInfo, ArcStr)>;
}
