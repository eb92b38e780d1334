//! Storing accepted jobs, many in one transaction.

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

/// Whether a job was stored, or why not.
pub type StoreResult = Result<StoredJob, ErrorKind>;

/// How a job came to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredJob {
    /// By this write.
    New,
    /// Its identifier was in use.
    Known,
}

/// Versions of the rows of one term, by the number of their partition.
pub type TermVersions = [u64; row::JOB_PARTITIONS.len()];

/// Where jobs are stored.
#[derive(Clone, Debug)]
pub enum SubmitTarget {
    /// In the inbox of the owner, whoever that is.
    Inbox,
    /// Among the jobs of the owner, as long as the rows of its term have these versions.
    Owned(TermVersions),
}

/// A job that waits to be stored.
#[derive(Debug)]
struct PendingInsert {
    id: JobId,
    value: Vec<u8>,
    deadline: ClockMillis,
    /// Whether an earlier try may still take effect.
    maybe_done: bool,
    /// Tries that failed.
    tries: u32,
    reply: oneshot::Sender<StoreResult>,
}

/// Jobs that wait for one partition of the table service.
#[derive(Debug, Default)]
struct PartitionQueue {
    pending: RefCell<VecDeque<PendingInsert>>,
    /// Transactions on their way.
    in_flight: Cell<usize>,
}

/// Queue of jobs to be stored.
#[derive(Debug)]
pub struct SubmitQueue<P> {
    context: SharedContext<P>,
    target: SubmitTarget,
    /// By the number of the partition.
    partitions: [PartitionQueue; row::JOB_PARTITIONS.len()],
    /// Rung when jobs may have been stored by a write that was not answered.
    pub unresolved: Notify,
}

impl<P: RowStore> SubmitQueue<P> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(context: SharedContext<P>, target: SubmitTarget) -> Rc<Self> {
        Rc::new(Self { context, target, partitions: Default::default(), unresolved: Notify::new() })
    }

    /// Stores a job unless its identifier is in use, which counts as stored.
    ///
    /// # Errors
    /// [`ErrorKind::QueueFull`], [`ErrorKind::NoOwner`] or [`ErrorKind::PlatformDown`] if the
    /// job is not stored and never will be; [`ErrorKind::WriteUnknown`] if it may be.
    pub async fn store_job(
        self: &Rc<Self>,
        id: JobId,
        value: Vec<u8>,
        deadline: ClockMillis,
        maybe_done: bool,
    ) -> StoreResult {
        let waiting: usize =
            self.partitions.iter().map(|partition| partition.pending.borrow().len()).sum();
        if waiting >= limits::MAX_PENDING_SUBMITS {
            return Err(ErrorKind::QueueFull);
        }
        let (reply, verdict) = oneshot::channel();
        let number = row::partition_index(&id);
        let insert = PendingInsert { id, value, deadline, maybe_done, tries: 0, reply };
        self.partitions[number].pending.borrow_mut().push_back(insert);
        self.launch(number);
        verdict.await.unwrap_or(Err(ErrorKind::WriteUnknown))
    }

    fn launch(self: &Rc<Self>, number: usize) {
        let most = match self.target {
            SubmitTarget::Inbox => limits::MAX_INBOX_SUBMITS_IN_FLIGHT,
            SubmitTarget::Owned(_) => limits::MAX_OWNED_SUBMITS_IN_FLIGHT,
        };
        let partition = &self.partitions[number];
        if partition.in_flight.get() >= most || partition.pending.borrow().is_empty() {
            return;
        }
        partition.in_flight.set(partition.in_flight.get() + 1);
        let queue = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(limits::SUBMIT_BATCH_DELAY).await;
            queue.store_next_batch(number).await;
            let partition = &queue.partitions[number];
            partition.in_flight.set(partition.in_flight.get() - 1);
            queue.launch(number);
        });
    }

    /// Stores what waits for one partition in one transaction.
    async fn store_next_batch(&self, number: usize) {
        let now = self.context.clock.now();
        let mut batch = Vec::new();
        {
            let mut pending = self.partitions[number].pending.borrow_mut();
            while batch.len() < limits::MAX_SUBMITS_PER_TRANSACTION
                && let Some(insert) = pending.pop_front()
            {
                if now >= insert.deadline {
                    fail_insert(insert);
                } else {
                    batch.push(insert);
                }
            }
        }
        if batch.is_empty() {
            return;
        }
        let transaction = self.transaction(number, &batch);
        match self.context.ports.transact(&transaction, limits::SUBMIT_TIMEOUT).await {
            Ok(TransactOutcome::Committed(version)) => {
                for insert in batch {
                    self.stored(insert, StoredJob::New, version);
                }
            }
            Ok(TransactOutcome::Conflict(rows)) => self.resolve_conflict(number, batch, &rows),
            Err(error) => {
                let unknown = *error.current_context() == CallFailure::Unknown;
                log::warn!(
                    "jobs not stored jobs={} unknown={unknown} error=\"{}\"",
                    batch.len(),
                    failure::format_one_line(&error)
                );
                if unknown {
                    self.unresolved.notify_one();
                }
                for mut insert in batch.into_iter().rev() {
                    insert.maybe_done |= unknown;
                    insert.tries += 1;
                    // A refusal costs nothing to repeat, and the caller would only ask again.
                    let again = !insert.maybe_done || insert.tries < limits::MAX_UNANSWERED_WRITES;
                    if again && self.context.is_connected() {
                        self.partitions[number].pending.borrow_mut().push_front(insert);
                    } else {
                        fail_insert(insert);
                    }
                }
                // Entries that were refused together must not come back together.
                let pause = limits::REFUSED_WRITE_BACKOFF.mul_f64(rand::random_range(0.5..1.5));
                tokio::time::sleep(pause).await;
            }
        }
    }

    fn transaction(&self, number: usize, batch: &[PendingInsert]) -> RowTransaction {
        let mut transaction = RowTransaction::default();
        if let SubmitTarget::Owned(versions) = &self.target {
            let term_key = row::term_key(row::JOB_PARTITIONS[number]);
            transaction.expected.push((term_key, versions[number]));
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

    /// Answers for jobs whose identifiers are in use; the others are tried again.
    fn resolve_conflict(&self, number: usize, batch: Vec<PendingInsert>, rows: &[TableRow]) {
        let term_key = row::term_key(row::JOB_PARTITIONS[number]).key;
        let term = rows.iter().find(|row| row.key == term_key);
        let deposed = match (&self.target, term) {
            (SubmitTarget::Owned(versions), Some(row)) => row.version != versions[number],
            _ => false,
        };
        for insert in batch {
            let used = rows.iter().find(|row| row.version > 0 && row.key == insert.id.as_str());
            match used {
                Some(row) => self.stored(insert, StoredJob::Known, row.version),
                None if deposed => {
                    log::info!("job not stored job={} kind=no-owner", insert.id);
                    let kind = if insert.maybe_done {
                        ErrorKind::WriteUnknown
                    } else {
                        ErrorKind::NoOwner
                    };
                    reply(insert.reply, Err(kind));
                }
                None => self.partitions[number].pending.borrow_mut().push_front(insert),
            }
        }
    }

    fn stored(&self, insert: PendingInsert, how: StoredJob, version: u64) {
        log::info!("job stored job={} how={how:?} version={version}", insert.id);
        self.context.statuses.borrow_mut().record_status(insert.id, JobStatus::Pending);
        reply(insert.reply, Ok(how));
    }
}

fn fail_insert(insert: PendingInsert) {
    let kind = if insert.maybe_done { ErrorKind::WriteUnknown } else { ErrorKind::PlatformDown };
    log::info!("job not stored in time job={} kind={kind}", insert.id);
    reply(insert.reply, Err(kind));
}

fn reply(sender: oneshot::Sender<StoreResult>, verdict: StoreResult) {
    if sender.send(verdict).is_err() {
        log::debug!("a caller left before its job was stored");
    }
}
