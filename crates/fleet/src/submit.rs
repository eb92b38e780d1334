//! Stores accepted jobs in the table service, many in one transaction.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use link::failure::{self, CallFailure};
use model::kind::ErrorKind;
use model::name::JobId;
use model::time::ClockMillis;
use plan::progress::JobStatus;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot};

use crate::context::SharedContext;
use crate::limits;
use crate::ports::{RowStore, RowTransaction, TableRow, TransactOutcome};
use crate::row;

/// How a job was stored, or why it was not.
pub type StoreResult = Result<StoredJob, ErrorKind>;

/// Answer of the owner to the submission of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmitAnswer {
    /// How the job was stored, or why it was not.
    pub result: StoreResult,
    /// Time after which the caller of a refused job should come back, in seconds; none if the owner
    /// does not say.
    pub retry_after_s: Option<u32>,
}

impl From<StoreResult> for SubmitAnswer {
    fn from(result: StoreResult) -> Self {
        Self { result, retry_after_s: None }
    }
}

/// How a job came to be stored: by this write or by an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredJob {
    /// This write stored the job.
    New,
    /// A job with its identifier was already stored.
    Known,
}

/// Versions of the rows of one term, by partition index.
pub type TermVersions = [u64; row::JOB_PARTITIONS.len()];

/// The table that jobs are stored in.
#[derive(Clone, Debug)]
pub enum SubmitTarget {
    /// The inbox, which the present owner follows.
    Inbox,
    /// The owner's job table, as long as the rows of its term have these versions.
    Owned(TermVersions),
}

/// A job that waits to be stored, and its caller.
#[derive(Debug)]
struct PendingInsert {
    id: JobId,
    value: Vec<u8>,
    deadline: ClockMillis,
    /// Whether an earlier attempt was not answered and may still take effect.
    may_be_stored: bool,
    failed_attempts: u32,
    reply: oneshot::Sender<StoreResult>,
}

/// Jobs that wait to be stored in one partition.
#[derive(Debug, Default)]
struct PartitionQueue {
    pending: RefCell<VecDeque<PendingInsert>>,
    /// Number of transactions in flight.
    in_flight: Cell<usize>,
}

/// Queue of jobs to be stored, batched by partition.
#[derive(Debug)]
pub struct SubmitQueue<P> {
    context: SharedContext<P>,
    target: SubmitTarget,
    /// Queues by partition index.
    partitions: [PartitionQueue; row::JOB_PARTITIONS.len()],
    /// Notified when an unanswered write may have stored jobs.
    pub unanswered_notify: Notify,
    /// Jobs that an unanswered write may yet store, the earliest write first.
    unanswered: RefCell<VecDeque<(ClockMillis, JobId)>>,
    /// Jobs that are being stored, once for each caller that waits.
    storing: RefCell<Vec<JobId>>,
}

impl<P: RowStore> SubmitQueue<P> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(context: SharedContext<P>, target: SubmitTarget) -> Rc<Self> {
        Rc::new(Self {
            context,
            target,
            partitions: Default::default(),
            unanswered_notify: Notify::new(),
            unanswered: RefCell::default(),
            storing: RefCell::default(),
        })
    }

    /// Stores a job. A job with an identifier that is already in use counts as stored.
    ///
    /// # Errors
    /// Returns [`ErrorKind::QueueFull`], [`ErrorKind::NoOwner`] or [`ErrorKind::PlatformDown`] if
    /// the job is not stored and never will be, and [`ErrorKind::WriteUnknown`] if it may be.
    pub async fn store_job(
        self: &Rc<Self>,
        id: JobId,
        value: Vec<u8>,
        deadline: ClockMillis,
        may_be_stored: bool,
    ) -> StoreResult {
        let pending: usize =
            self.partitions.iter().map(|partition| partition.pending.borrow().len()).sum();
        if pending >= limits::MAX_PENDING_SUBMITS {
            return Err(ErrorKind::QueueFull);
        }
        let (reply, result) = oneshot::channel();
        let index = row::partition_index(&id);
        self.storing.borrow_mut().push(id.clone());
        let insert = PendingInsert {
            id: id.clone(),
            value,
            deadline,
            may_be_stored,
            failed_attempts: 0,
            reply,
        };
        self.partitions[index].pending.borrow_mut().push_back(insert);
        self.spawn_batch(index);
        let result = result.await.unwrap_or(Err(ErrorKind::WriteUnknown));
        let mut storing = self.storing.borrow_mut();
        if let Some(position) = storing.iter().position(|known| *known == id) {
            storing.swap_remove(position);
        }
        result
    }

    /// Returns whether this queue is storing a job, or whether an unanswered write may have stored
    /// it or may yet do so.
    #[must_use]
    pub fn may_store(&self, id: &JobId) -> bool {
        if self.storing.borrow().contains(id) {
            return true;
        }
        let now = self.context.clock.now();
        let mut unanswered = self.unanswered.borrow_mut();
        while unanswered.front().is_some_and(|(at, _)| now.since(*at) > limits::MAX_LATE_WRITE_MS) {
            unanswered.pop_front();
        }
        unanswered.iter().any(|(_, known)| known == id)
    }

    /// Spawns the next transaction of a partition, unless nothing waits for it or the limit of
    /// transactions in flight is reached.
    fn spawn_batch(self: &Rc<Self>, index: usize) {
        let max_in_flight = match self.target {
            SubmitTarget::Inbox => limits::MAX_INBOX_SUBMITS_IN_FLIGHT,
            SubmitTarget::Owned(_) => limits::MAX_OWNED_SUBMITS_IN_FLIGHT,
        };
        let partition = &self.partitions[index];
        if partition.in_flight.get() >= max_in_flight || partition.pending.borrow().is_empty() {
            return;
        }
        partition.in_flight.set(partition.in_flight.get() + 1);
        let queue = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(limits::SUBMIT_BATCH_DELAY).await;
            queue.store_next_batch(index).await;
            let partition = &queue.partitions[index];
            partition.in_flight.set(partition.in_flight.get() - 1);
            queue.spawn_batch(index);
        });
    }

    /// Stores a batch of the jobs that wait for one partition in one transaction.
    async fn store_next_batch(&self, index: usize) {
        let now = self.context.clock.now();
        let mut batch = Vec::new();
        {
            let mut pending = self.partitions[index].pending.borrow_mut();
            while batch.len() < limits::MAX_SUBMITS_PER_TRANSACTION
                && let Some(insert) = pending.pop_front()
            {
                if now >= insert.deadline {
                    reject_insert(insert);
                } else {
                    batch.push(insert);
                }
            }
        }
        if batch.is_empty() {
            return;
        }
        let transaction = self.build_transaction(index, &batch);
        match self.context.ports.transact(&transaction, limits::JOB_WRITE_TIMEOUT).await {
            Ok(TransactOutcome::Committed(version)) => {
                for insert in batch {
                    self.record_stored(insert, StoredJob::New, version);
                }
            }
            Ok(TransactOutcome::Conflict(rows)) => self.resolve_conflict(index, batch, &rows),
            Err(error) => {
                let unknown = *error.current_context() == CallFailure::Unknown;
                log::warn!(
                    "jobs not stored jobs={} unknown={unknown} error=\"{}\"",
                    batch.len(),
                    failure::format_one_line(&error)
                );
                if unknown {
                    let now = self.context.clock.now();
                    let ids = batch.iter().map(|insert| (now, insert.id.clone()));
                    self.unanswered.borrow_mut().extend(ids);
                    self.unanswered_notify.notify_one();
                }
                for mut insert in batch.into_iter().rev() {
                    insert.may_be_stored |= unknown;
                    insert.failed_attempts += 1;
                    // A refused write is retried until the deadline: that costs nothing, and the
                    // caller would only submit the job again.
                    let may_retry = !insert.may_be_stored
                        || insert.failed_attempts < limits::MAX_UNANSWERED_WRITES;
                    if may_retry && self.context.is_connected() {
                        self.partitions[index].pending.borrow_mut().push_front(insert);
                    } else {
                        reject_insert(insert);
                    }
                }
                // Randomised, so that entries which were refused together do not retry together.
                let backoff = limits::REFUSED_WRITE_BACKOFF.mul_f64(rand::random_range(0.5..1.5));
                tokio::time::sleep(backoff).await;
            }
        }
    }

    /// Builds a transaction that stores a batch on condition that none of its jobs exists.
    fn build_transaction(&self, index: usize, batch: &[PendingInsert]) -> RowTransaction {
        let mut transaction = RowTransaction::default();
        if let SubmitTarget::Owned(versions) = &self.target {
            let term_key = row::term_key(row::JOB_PARTITIONS[index]);
            transaction.expected.push((term_key, versions[index]));
        }
        for insert in batch {
            let keys = [
                row::job_key(&insert.id),
                row::inbox_key(&insert.id),
                row::progress_key(&insert.id),
            ];
            transaction.expected.extend(keys.map(|key| (key, 0)));
            let key = match self.target {
                SubmitTarget::Inbox => row::inbox_key(&insert.id),
                SubmitTarget::Owned(_) => row::job_key(&insert.id),
            };
            transaction.writes.push((key, insert.value.clone()));
        }
        transaction
    }

    /// Answers for jobs whose identifiers are in use. The others are queued again, unless a
    /// later owner has begun its term.
    fn resolve_conflict(&self, index: usize, batch: Vec<PendingInsert>, rows: &[TableRow]) {
        let term_key = row::term_key(row::JOB_PARTITIONS[index]).key;
        let term_row = rows.iter().find(|row| row.key == term_key);
        let is_superseded = match (&self.target, term_row) {
            (SubmitTarget::Owned(versions), Some(row)) => row.version != versions[index],
            _ => false,
        };
        for insert in batch {
            let existing = rows.iter().find(|row| row.version > 0 && row.key == insert.id.as_str());
            match existing {
                Some(row) => self.record_stored(insert, StoredJob::Known, row.version),
                None if is_superseded => {
                    log::info!("job not stored job={} kind=no-owner", insert.id);
                    let kind = if insert.may_be_stored {
                        ErrorKind::WriteUnknown
                    } else {
                        ErrorKind::NoOwner
                    };
                    reply(insert.reply, Err(kind));
                }
                None => self.partitions[index].pending.borrow_mut().push_front(insert),
            }
        }
    }

    fn record_stored(&self, insert: PendingInsert, stored_job: StoredJob, version: u64) {
        log::info!("job stored job={} how={stored_job:?} version={version}", insert.id);
        self.context.statuses.borrow_mut().record_status(insert.id, JobStatus::Pending);
        reply(insert.reply, Ok(stored_job));
    }
}

/// Answers that a job was not stored in time, or that it may be.
fn reject_insert(insert: PendingInsert) {
    let kind = if insert.may_be_stored { ErrorKind::WriteUnknown } else { ErrorKind::PlatformDown };
    log::info!("job not stored in time job={} kind={kind}", insert.id);
    reply(insert.reply, Err(kind));
}

fn reply(sender: oneshot::Sender<StoreResult>, result: StoreResult) {
    if sender.send(result).is_err() {
        log::debug!("submission abandoned by the caller before its job was stored");
    }
}
