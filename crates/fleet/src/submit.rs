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
pub type StoreVerdict = Result<StoredJob, ErrorKind>;

/// The way in which a job was found to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredJob {
    /// This write stored the job.
    New,
    /// A job with its identifier was already stored.
    Known,
}

/// Versions of the rows of one term, by partition index.
pub type TermVersions = [u64; row::JOB_PARTS.len()];

/// The table that jobs are stored in.
#[derive(Clone, Debug)]
pub enum SubmitTarget {
    /// The inbox, which the present owner follows.
    Inbox,
    /// The owner's job table, as long as the rows of its term have these versions.
    Owned(TermVersions),
}

/// A job that waits to be stored.
#[derive(Debug)]
struct PendingInsert {
    id: JobId,
    value: Vec<u8>,
    give_up_at: ClockMillis,
    /// Whether an earlier attempt was not answered and may still take effect.
    maybe_done: bool,
    tries: u32,
    reply: oneshot::Sender<StoreResult>,
}

/// Jobs that wait to be stored in one partition.
#[derive(Debug, Default)]
struct PartitionQueue {
    pending: RefCell<VecDeque<PendingInsert>>,
    /// Number of transactions in flight.
    flights: Cell<usize>,
}

/// Queue of jobs to be stored, batched by partition.
#[derive(Debug)]
pub struct SubmitQueue<P> {
    context: SharedContext<P>,
    target: SubmitTarget,
    /// Queues by partition index.
    parts: [PartQueue; row::JOB_PARTS.len()],
    /// Notified when an unanswered write may have stored jobs.
    pub unresolved: Notify,
}

impl<P: RowStore> SubmitQueue<P> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(context: SharedContext<P>, target: SubmitTarget) -> Rc<Self> {
        Rc::new(Self { context, target, partitions: Default::default(), unresolved: Notify::new() })
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

    /// Spawns the next transaction of a partition, unless nothing waits for it or the limit of
    /// transactions in flight is reached.
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

    /// Stores a batch of the jobs that wait for one partition in one transaction.
    async fn fly(&self, number: usize) {
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
                    failure::brief(&error)
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
                // Randomised, so that entries which were refused together do not retry together.
                let pause = limits::REFUSED_PAUSE.mul_f64(rand::random_range(0.5..1.5));
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

    /// Answers for jobs whose identifiers are in use. The others are queued again, unless a
    /// later owner has begun its term.
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
