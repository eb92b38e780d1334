//! What an owner knows of the jobs of its domain.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use model::job::{JobRecord, JobState};
use model::name::JobId;
use policy::cell::Cell;

/// Most jobs that are remembered after their end. A day has 13,000 jobs in 11
/// domains, so that this lasts for days.
const MAX_REMOVED_JOBS: usize = 10_000;

/// Progress that is not written yet.
#[derive(Clone, Debug)]
pub(super) struct JobProgress {
    pub(super) state: JobState,
    pub(super) done: BTreeSet<u32>,
}

/// Jobs of the owned domain and their rows.
#[derive(Debug, Default)]
pub struct JobTable {
    pub(super) records: HashMap<JobId, Arc<JobRecord>>,
    pub(super) pending_progress: BTreeMap<JobId, JobProgress>,
    pub(super) write_in_flight: bool,
    /// Jobs that ended here or were moved away, the oldest first.
    removed: VecDeque<JobId>,
    /// Version of the last row of each of them.
    removed_versions: HashMap<JobId, u64>,
}

impl JobTable {
    /// Takes a job up from a row of the given version; returns false if it is known.
    ///
    /// A row can be read before a job ends or moves away and arrive after, and
    /// the job must not run again. A job that comes back has a later row.
    pub fn insert(&mut self, record: &JobRecord, version: u64) -> bool {
        let job = &record.spec.id;
        let removed = self.removed_versions.get(job);
        if self.records.contains_key(job) || removed.is_some_and(|last| version <= *last) {
            return false;
        }
        self.records.insert(record.spec.id.clone(), Arc::new(record.clone()));
        true
    }

    /// Forgets a job that ended here or was moved away; `version` is that of its last row here.
    pub fn remove(&mut self, job: &JobId, version: u64) {
        self.pending_progress.remove(job);
        self.records.remove(job);
        if self.removed_versions.insert(job.clone(), version).is_none() {
            self.removed.push_back(job.clone());
        }
        if self.removed.len() > MAX_REMOVED_JOBS
            && let Some(oldest) = self.removed.pop_front()
        {
            self.removed_versions.remove(&oldest);
        }
    }

    /// Returns a job's record with the progress that is known here.
    #[must_use]
    pub fn record(&self, job: &str) -> Option<JobRecord> {
        let mut record = (**self.records.get(job)?).clone();
        if let Some(progress) = self.pending_progress.get(job) {
            record.state = progress.state;
            record.done = progress.done.iter().copied().collect();
        }
        Some(record)
    }

    /// Returns the records of all jobs for a successor.
    #[must_use]
    pub fn records(&self, cell: &Cell) -> Vec<JobRecord> {
        let jobs = self.records.keys();
        jobs.filter_map(|job| cell.job_record(job).or_else(|| self.record(job.as_str()))).collect()
    }
}
