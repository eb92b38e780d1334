//! What an owner knows of the jobs of its domain.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use model::job::{JobRecord, JobState};
use model::name::JobId;
use policy::cell::Cell;

/// Most jobs that are remembered after their end. A day has 13,000 jobs in 11
/// domains, so that this lasts for days.
const GONE_BOUND: usize = 10_000;

/// Progress that is not written yet.
#[derive(Clone, Debug)]
pub(super) struct JobProgress {
    pub(super) state: JobState,
    pub(super) done: BTreeSet<u32>,
}

/// Jobs of the owned domain and their rows.
#[derive(Debug, Default)]
pub struct JobBook {
    pub(super) records: HashMap<JobId, Arc<JobRecord>>,
    pub(super) dirty: BTreeMap<JobId, JobProgress>,
    pub(super) writing: bool,
    /// Jobs that ended here or were moved away, the oldest first.
    gone: VecDeque<JobId>,
    /// Version of the last row of each of them.
    gone_versions: HashMap<JobId, u64>,
}

impl JobBook {
    /// Takes a job up from a row of the given version; returns false if it is known.
    ///
    /// A row can be read before a job ends or moves away and arrive after, and
    /// the job must not run again. A job that comes back has a later row.
    pub fn adopt(&mut self, record: &JobRecord, version: u64) -> bool {
        let job = &record.spec.id;
        let gone = self.gone_versions.get(job);
        if self.records.contains_key(job) || gone.is_some_and(|last| version <= *last) {
            return false;
        }
        self.records.insert(record.spec.id.clone(), Arc::new(record.clone()));
        true
    }

    /// Forgets a job that ended here or was moved away; `version` is that of its last row here.
    pub fn forget(&mut self, job: &JobId, version: u64) {
        self.dirty.remove(job);
        self.records.remove(job);
        if self.gone_versions.insert(job.clone(), version).is_none() {
            self.gone.push_back(job.clone());
        }
        if self.gone.len() > GONE_BOUND
            && let Some(oldest) = self.gone.pop_front()
        {
            self.gone_versions.remove(&oldest);
        }
    }

    /// Returns a job's record with the progress that is known here.
    #[must_use]
    pub fn record(&self, job: &str) -> Option<JobRecord> {
        let mut record = (**self.records.get(job)?).clone();
        if let Some(progress) = self.dirty.get(job) {
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
