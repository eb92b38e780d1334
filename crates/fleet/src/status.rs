//! Cache of job states, from which an entry answers callers without a read.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

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
    /// Records the state of a job; returns false if it was known. A finished job keeps its state.
    pub fn record_status(&mut self, id: JobId, status: JobStatus) -> bool {
        if self.jobs.len() >= MAX_CACHED_JOBS {
            self.jobs.clear();
        }
        match self.jobs.entry(id) {
            Entry::Vacant(entry) => {
                entry.insert(status);
                true
            }
            Entry::Occupied(mut entry) => {
                let is_change = !entry.get().is_final() && *entry.get() != status;
                if is_change {
                    entry.insert(status);
                }
                is_change
            }
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
