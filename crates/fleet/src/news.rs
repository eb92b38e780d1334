//! Log of job changes, which the owner keeps and the other entries query.

use std::collections::{BTreeMap, VecDeque};

use model::name::{JobId, QueueName};
use plan::progress::JobStatus;
use serde::{Deserialize, Serialize};

use crate::context::SharedContext;
use crate::limits;
use crate::ports::PeerCalls;

/// A query for the job changes after a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChangesQuery {
    /// Term in which the number counts.
    pub term: u64,
    /// Number of the last change that the querying entry knows.
    pub after: u64,
}

/// The job changes since a number, with the counts of waiting jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChanges {
    /// Term in which the number counts.
    pub term: u64,
    /// Number of the last change.
    pub last: u64,
    /// Whether changes between the query's number and the first listed change are missing.
    pub gap: bool,
    /// Changes, the oldest first.
    pub changes: Vec<(JobId, JobStatus)>,
    /// Number of jobs of each queue of which no task has started.
    pub waiting: BTreeMap<QueueName, u32>,
}

/// Returns whether a new owner tells the other entries of a job that ended at `ended_ms`, both
/// in milliseconds since 1970.
///
/// They know older ends from the earlier owner or read them from the table service; sent to
/// every entry, thousands of them would fill the new owner's link.
#[must_use]
pub const fn is_recent(ended_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(ended_ms) <= limits::RECENT_END_MS
}

/// Bounded log of the last job changes of one term.
#[derive(Debug, Default)]
pub struct JobChangeLog {
    term: u64,
    last: u64,
    changes: VecDeque<(JobId, JobStatus)>,
}

impl JobChangeLog {
    /// Creates the empty log of a term.
    #[must_use]
    pub fn new(term: u64) -> Self {
        Self { term, ..Self::default() }
    }

    /// Appends a change; a full log drops its oldest one.
    pub fn push(&mut self, id: JobId, status: JobStatus) {
        if self.changes.len() >= limits::MAX_LOGGED_JOB_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((id, status));
        self.last += 1;
    }

    /// Returns true if the log has changes that the querying entry does not know.
    #[must_use]
    pub fn has_changes_after(&self, query: JobChangesQuery) -> bool {
        query.term != self.term || query.after < self.last
    }

    /// Returns the changes that the querying entry does not know, as far as they are kept.
    #[must_use]
    pub fn answer(&self, query: JobChangesQuery, waiting: BTreeMap<QueueName, u32>) -> JobChanges {
        let known = if query.term == self.term { query.after } else { 0 };
        let missed = usize::try_from(self.last.saturating_sub(known)).unwrap_or(usize::MAX);
        let available = missed.min(self.changes.len());
        JobChanges {
            term: self.term,
            last: self.last,
            gap: query.term != self.term || available < missed,
            changes: self.changes.iter().skip(self.changes.len() - available).cloned().collect(),
            waiting,
        }
    }
}

/// Queries the owner for job changes until the entry stops.
pub async fn follow_job_changes<P: PeerCalls>(context: SharedContext<P>) {
    let work = async {
        let mut query = JobChangesQuery::default();
        loop {
            let Some(address) = context.owner_address() else {
                tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                continue;
            };
            match context.ports.fetch_job_changes(&address, query).await {
                Ok(answer) => {
                    query = JobChangesQuery { term: answer.term, after: answer.last };
                    apply_changes(&context, answer);
                    let interval = limits::job_changes_interval(context.members.borrow().len());
                    tokio::time::sleep(interval).await;
                }
                Err(error) => {
                    log::debug!("job changes not received owner={address} error={error:?}");
                    tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                }
            }
        }
    };
    context.stop.run_until_cancelled(work).await;
}

fn apply_changes<P>(context: &SharedContext<P>, answer: JobChanges) {
    let mut statuses = context.statuses.borrow_mut();
    if answer.gap {
        // A change may have been missed, so states that can change must be read again.
        statuses.forget_unfinished();
    }
    for (id, status) in answer.changes {
        statuses.record_status(id, status);
    }
    context.job_changes_at.set(Some(context.clock.now()));
    *context.waiting_by_queue.borrow_mut() = answer.waiting;
}
