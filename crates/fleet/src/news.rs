//! News of jobs, which the owner keeps for the other entries.

use std::collections::{BTreeMap, VecDeque};

use model::name::{JobId, QueueName};
use plan::progress::JobStatus;
use serde::{Deserialize, Serialize};

use crate::context::SharedContext;
use crate::limits;
use crate::ports::PeerCalls;

/// A question for news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChangesQuery {
    /// Ownership that the number is of.
    pub term: u64,
    /// Number of the last change that is known.
    pub after: u64,
}

/// Changes of jobs since a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChanges {
    /// Ownership that the number is of.
    pub term: u64,
    /// Number of the last change.
    pub last: u64,
    /// Whether changes between the question's number and the first one are missing.
    pub gap: bool,
    /// Changes, the oldest first.
    pub changes: Vec<(JobId, JobStatus)>,
    /// Jobs by queue of which no task has started.
    pub waiting: BTreeMap<QueueName, u32>,
}

/// The last changes of one ownership.
#[derive(Debug, Default)]
pub struct JobChangeLog {
    term: u64,
    last: u64,
    changes: VecDeque<(JobId, JobStatus)>,
}

impl JobChangeLog {
    /// Creates the book of an ownership.
    #[must_use]
    pub fn new(term: u64) -> Self {
        Self { term, ..Self::default() }
    }

    /// Adds a change.
    pub fn push(&mut self, id: JobId, status: JobStatus) {
        if self.changes.len() >= limits::MAX_LOGGED_JOB_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((id, status));
        self.last += 1;
    }

    /// Tells whether there is anything that the asking entry does not know.
    #[must_use]
    pub fn has_changes_after(&self, query: JobChangesQuery) -> bool {
        query.term != self.term || query.after < self.last
    }

    /// Answers a question.
    #[must_use]
    pub fn answer(&self, query: JobChangesQuery, waiting: BTreeMap<QueueName, u32>) -> JobChanges {
        let known = if query.term == self.term { query.after } else { 0 };
        let missed = usize::try_from(self.last.saturating_sub(known)).unwrap_or(usize::MAX);
        let kept = missed.min(self.changes.len());
        JobChanges {
            term: self.term,
            last: self.last,
            gap: query.term != self.term || kept < missed,
            changes: self.changes.iter().skip(self.changes.len() - kept).cloned().collect(),
            waiting,
        }
    }
}

/// Asks the owner for news until the entry stops.
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
                    take_answer(&context, answer);
                    let pause = limits::job_changes_interval(context.members.borrow().len());
                    tokio::time::sleep(pause).await;
                }
                Err(error) => {
                    log::debug!("no news owner={address} error={error:?}");
                    tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                }
            }
        }
    };
    context.stop.run_until_cancelled(work).await;
}

fn take_answer<P>(context: &SharedContext<P>, answer: JobChanges) {
    let mut statuses = context.statuses.borrow_mut();
    if answer.gap {
        // A change may be missing, so that states that can change are asked for again.
        statuses.forget_unfinished();
    }
    for (id, status) in answer.changes {
        statuses.record_status(id, status);
    }
    context.job_changes_at.set(Some(context.clock.now()));
    *context.waiting.borrow_mut() = answer.waiting;
}
