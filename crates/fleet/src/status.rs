//! What an entry knows of jobs, to answer callers without a read.

use std::collections::HashMap;

use model::name::JobId;
use plan::progress::JobStatus;

/// Most jobs that an entry remembers; older ones are read from the table service again.
const REMEMBERED_JOBS: usize = 50_000;

/// States of jobs that this entry accepted or heard of.
#[derive(Debug, Default)]
pub struct JobStatusCache {
    jobs: HashMap<JobId, JobStatus>,
}

impl JobStatusCache {
    /// Notes a state. A job that is over stays so.
    pub fn record_status(&mut self, id: JobId, status: JobStatus) {
        if self.jobs.len() >= REMEMBERED_JOBS {
            self.jobs.clear();
        }
        let known = self.jobs.entry(id).or_default();
        if !known.is_final() {
            *known = status;
        }
    }

    /// Forgets the jobs that are not over.
    pub fn forget_unfinished(&mut self) {
        self.jobs.retain(|_, status| status.is_final());
    }

    /// Returns the state of a job; none if it is not known here.
    #[must_use]
    pub fn get(&self, id: &JobId) -> Option<JobStatus> {
        self.jobs.get(id).copied()
    }
}
