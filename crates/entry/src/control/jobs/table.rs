//! The jobs that an owner knows in its domain.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use model::job::{JobRecord, JobState};
use model::name::JobId;
use policy::cell::Cell;

/// Most removed jobs that are remembered. With 13,000 jobs a day in 11 domains this
/// covers several days.
const MAX_REMOVED_JOBS: usize = 10_000;

/// Progress of a job that is not written to its row yet.
#[derive(Clone, Debug)]
pub(super) struct JobProgress {
    pub(super) state: JobState,
    pub(super) done: BTreeSet<u32>,
}

/// Jobs of the owned domain, with progress that is not written to their rows yet.
#[derive(Debug, Default)]
pub struct JobTable {
    pub(super) records: HashMap<JobId, Arc<JobRecord>>,
    pub(super) pending_progress: BTreeMap<JobId, JobProgress>,
    /// Whether a write of progress has no result yet.
    pub(super) write_in_flight: bool,
    /// Jobs that ended here or were moved away, the oldest first.
    removed: VecDeque<JobId>,
    /// Version of the last row of each removed job.
    removed_versions: HashMap<JobId, u64>,
}

impl JobTable {
    /// Inserts a job from a row of the given version; returns false if it is known.
    ///
    /// A row that was read before the job ended or was moved away may arrive
    /// afterwards, and the job must not run again. A job that is moved back has a
    /// later row.
    pub fn insert(&mut self, record: &JobRecord, version: u64) -> bool {
        let job = &record.spec.id;
        let removed = self.removed_versions.get(job);
        if self.records.contains_key(job) || removed.is_some_and(|last| version <= *last) {
            return false;
        }
        self.records.insert(record.spec.id.clone(), Arc::new(record.clone()));
        true
    }

    /// Removes a job that ended here or was moved away; `version` is that of its last row here.
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

    /// Returns a job's record, including progress that is not written yet.
    #[must_use]
    pub fn record(&self, job: &str) -> Option<JobRecord> {
        let mut record = (**self.records.get(job)?).clone();
        if let Some(progress) = self.pending_progress.get(job) {
            record.state = progress.state;
            record.done = progress.done.iter().copied().collect();
        }
        Some(record)
    }

    /// Returns the records of all jobs, for a successor.
    #[must_use]
    pub fn records(&self, cell: &Cell) -> Vec<JobRecord> {
        let jobs = self.records.keys();
        jobs.filter_map(|job| cell.job_record(job).or_else(|| self.record(job.as_str()))).collect()
    }
}
