//! Storing accepted jobs, many in one transaction.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use link::failure::{self, CallFailure};
use model::kind::ErrorKind;
use model::name::JobId;
use model::time::ClockMillis;
use plan::progress::JobStatus;
use tokio::sync::oneshot;

use crate::context::SharedContext;
use crate::limits;
use crate::ports::{RowKey, RowStore, RowTransaction, TransactOutcome};
use crate::row;

/// Whether a job was stored, or why not.
pub type StoreVerdict = Result<(), ErrorKind>;

/// A write of one row that must not exist, with rows that must not exist either.
#[derive(Debug)]
struct PendingInsert {
    id: JobId,
    absent: Vec<RowKey>,
    write: (RowKey, Vec<u8>),
    give_up_at: ClockMillis,
    /// Whether an earlier try may still take effect.
    maybe_done: bool,
    reply: oneshot::Sender<StoreVerdict>,
}

/// Queue of jobs to be stored.
#[derive(Debug)]
pub struct SubmitQueue<P> {
    context: SharedContext<P>,
    pending: RefCell<VecDeque<PendingInsert>>,
    flights: Cell<usize>,
}

impl<P: RowStore> SubmitQueue<P> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(context: SharedContext<P>) -> Rc<Self> {
        Rc::new(Self { context, pending: RefCell::default(), flights: Cell::new(0) })
    }

    /// Stores a job unless its identifier is in use, which counts as stored.
    ///
    /// # Errors
    /// [`ErrorKind::QueueFull`] or [`ErrorKind::PlatformDown`] if the job is not stored and
    /// never will be; [`ErrorKind::WriteUnknown`] if it may be.
    pub async fn store_job(
        self: &Rc<Self>,
        id: JobId,
        value: Vec<u8>,
        give_up_at: ClockMillis,
    ) -> StoreVerdict {
        if self.pending.borrow().len() >= limits::SUBMIT_BOUND {
            return Err(ErrorKind::QueueFull);
        }
        let (reply, verdict) = oneshot::channel();
        let absent = vec![row::job_key(&id), row::progress_key(&id)];
        let write = (row::job_key(&id), value);
        self.pending.borrow_mut().push_back(PendingInsert {
            id,
            absent,
            write,
            give_up_at,
            maybe_done: false,
            reply,
        });
        self.launch();
        verdict.await.unwrap_or(Err(ErrorKind::WriteUnknown))
    }

    fn launch(self: &Rc<Self>) {
        if self.flights.get() >= limits::SUBMIT_FLIGHTS || self.pending.borrow().is_empty() {
            return;
        }
        self.flights.set(self.flights.get() + 1);
        let queue = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(limits::SUBMIT_GATHER).await;
            queue.fly().await;
            queue.flights.set(queue.flights.get() - 1);
            queue.launch();
        });
    }

    /// Stores what waits in one transaction.
    async fn fly(&self) {
        let now = self.context.clock.now();
        let mut batch = Vec::new();
        {
            let mut pending = self.pending.borrow_mut();
            while batch.len() < limits::SUBMIT_BATCH
                && let Some(insert) = pending.pop_front()
            {
                if now >= insert.give_up_at {
                    give_up(insert);
                } else {
                    batch.push(insert);
                }
            }
        }
        if batch.is_empty() {
            return;
        }
        let transaction = RowTransaction {
            expected: batch
                .iter()
                .flat_map(|insert| insert.absent.iter().map(|key| (key.clone(), 0)))
                .collect(),
            writes: batch.iter().map(|insert| insert.write.clone()).collect(),
            removes: Vec::new(),
        };
        match self.context.ports.transact(&transaction, limits::STORE_TIMEOUT).await {
            Ok(TransactOutcome::Done(version)) => {
                for insert in batch {
                    self.stored(insert, version);
                }
            }
            Ok(TransactOutcome::Conflict(rows)) => {
                for insert in batch {
                    let present =
                        rows.iter().find(|row| row.version > 0 && row.key == insert.id.as_str());
                    match present.map(|row| row.version) {
                        Some(version) => self.stored(insert, version),
                        None => self.pending.borrow_mut().push_front(insert),
                    }
                }
            }
            Err(error) => {
                let unknown = *error.current_context() == CallFailure::Unknown;
                log::warn!(
                    "jobs not stored jobs={} unknown={unknown} error=\"{}\"",
                    batch.len(),
                    failure::brief(&error)
                );
                for mut insert in batch.into_iter().rev() {
                    insert.maybe_done |= unknown;
                    self.pending.borrow_mut().push_front(insert);
                }
                tokio::time::sleep(limits::STORE_PAUSE).await;
            }
        }
    }

    fn stored(&self, insert: PendingInsert, version: u64) {
        log::info!("job stored job={} version={version}", insert.id);
        self.context.statuses.borrow_mut().note(insert.id, JobStatus::Pending);
        reply(insert.reply, Ok(()));
    }
}

fn give_up(insert: PendingInsert) {
    let kind = if insert.maybe_done { ErrorKind::WriteUnknown } else { ErrorKind::PlatformDown };
    log::info!("job not stored in time job={} kind={kind}", insert.id);
    reply(insert.reply, Err(kind));
}

fn reply(sender: oneshot::Sender<StoreVerdict>, verdict: StoreVerdict) {
    if sender.send(verdict).is_err() {
        log::debug!("a caller left before its job was stored");
    }
}
