//! Cache of job states, from which an entry answers callers without a read.

use std::collections::HashMap;

use model::name::JobId;
use plan::progress::JobStatus;

/// Most jobs in the cache of an entry. A full cache is cleared, and the states are read from
/// the table service again.
const MAX_CACHED_JOBS: usize = 50_000;

/// Cached states of jobs that this entry stored, read or learned from the owner.
#[derive(Debug, Default)]
pub struct JobStatusCache {
    jobs: HashMap<JobId, JobStatus>,
}

impl JobStatusCache {
    /// Records the state of a job. A finished job keeps its state.
    pub fn record_status(&mut self, id: JobId, status: JobStatus) {
        if self.jobs.len() >= MAX_CACHED_JOBS {
            self.jobs.clear();
        }
        let known = self.jobs.entry(id).or_default();
        if !known.is_final() {
            *known = status;
        }
    }

    /// Forgets the unfinished jobs.
    pub fn forget_unfinished(&mut self) {
        self.jobs.retain(|_, status| status.is_final());
    }

    /// Returns the state of a job; none if it is not cached.
    #[must_use]
    pub fn get(&self, id: &JobId) -> Option<JobStatus> {
        self.jobs.get(id).copied()
    }
}
