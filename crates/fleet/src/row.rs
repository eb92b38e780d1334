//! Keys and content of the rows that the fleet keeps in the table service.

use std::collections::BTreeMap;
use std::hash::Hasher;

use arcstr::ArcStr;
use fnv::FnvHasher;
use model::name::{DomainName, JobId, WorkerName};
use model::resource::ResourceAmounts;
use plan::worker::InheritedRuns;
use serde::{Deserialize, Serialize};

use crate::ports::RowKey;
use crate::strength::VmStrength;

/// Table of the unfinished jobs that the owner stored.
pub const JOB_TABLE: &str = "jobs";
/// Table of the jobs that other entries stored, and of cancellations. The owner follows it.
/// Its own writes go to [`JOB_TABLE`], as it needs no notice of them.
pub const INBOX_TABLE: &str = "inbox";
/// Table of the progress of jobs.
pub const PROGRESS_TABLE: &str = "progress";
/// Table of the ownership row, the entries and the term rows.
pub const STATE_TABLE: &str = "state";
/// Table of the leased workers, which may run tasks.
pub const LEASE_TABLE: &str = "leases";
/// Table of the learned speeds of workers.
pub const SPEED_TABLE: &str = "speeds";
/// Table that operators write.
pub const OPERATOR_TABLE: &str = "operators";
/// Table in which workers register.
pub const WORKER_TABLE: &str = "workers";
/// Partitions of jobs. All rows of one job lie in one partition, so that one transaction can
/// change them together.
///
/// A partition carries out one transaction after the other. While the table service is 64
/// times slower than usual, a transaction takes a quarter of a second, so one partition takes
/// four a second; a fleet of 50 jobs a second writes about ten. Each further partition costs
/// additional calls while the service is fast: with eight, a fleet of 130 jobs a second made
/// three quarters more calls.
pub const JOB_PARTITIONS: [&str; 4] = ["jobs-0", "jobs-1", "jobs-2", "jobs-3"];
/// Partition of the ownership row. It is separate because a partition refuses calls when too
/// many are queued, and a claim must not be queued behind jobs.
pub const OWNER_PARTITION: &str = "owner";
/// Partition of the rows of entries.
pub const MEMBER_PARTITION: &str = "members";
/// Partition of the operators' and workers' rows.
pub const ROOT_PARTITION: &str = "";
/// Key of the ownership row.
pub const OWNER_KEY: &str = "owner";
/// Key of a term row, which changes only when a term begins.
const TERM_KEY: &str = "term";
/// Most jobs listed with leased workers. With 1,100 workers the row then has about 40 kB; a
/// row may have 64 kB.
const MAX_LEASED_JOBS: usize = 800;
/// Most ends of leases that are listed.
const MAX_LEASE_ENDS: usize = 400;
/// Key of the learned speeds of workers.
const SPEED_KEY: &str = "speeds";
/// Format of the row of speeds that this build writes and reads.
const SPEED_FORMAT: u32 = 1;
/// Most bytes that the speeds take in their row. A row may have 64 kB, also in base64, which makes
/// it a third longer.
const MAX_SPEED_BYTES: usize = 48_000;
/// Bytes that a worker's speed takes beside its name: quotes, colon, comma and at most 5 digits.
const BYTES_PER_SPEED: usize = 9;
/// Suffix of the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// The ownership row, which names the owner of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnerRow {
    /// Name of the owner; empty if the fleet was released.
    pub holder: ArcStr,
    /// Identifier of the owner's process.
    pub instance: ArcStr,
    /// Number of the term, which each claim raises by one; the fencing token of the owner's
    /// orders.
    pub term: u64,
}

/// Workers that may run tasks, whether they are registered or not: registrations can
/// expire while the table service is down. Those on which nothing is started now are listed
/// with the jobs whose tasks they may run, so that the next owner waits with these jobs only.
///
/// Only the next owner reads them, so they have their own row. In the ownership row, which
/// every entry follows, the names of 3,000 workers would be most of what entries read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedWorkers {
    /// Workers with the runs that may be present there.
    pub runs: BTreeMap<WorkerName, InheritedRuns>,
    /// When the leases end of workers that nobody extends any more, in milliseconds on the
    /// table service's clock.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub until_ms: BTreeMap<WorkerName, u64>,
    /// At least the capacity of each of the workers, and unlimited if it is not known.
    #[serde(default = "unlimited")]
    pub largest: ResourceAmounts,
}

fn unlimited() -> ResourceAmounts {
    ResourceAmounts::UNLIMITED
}

impl LeasedWorkers {
    /// Returns a worker that stands for all those in a row that this build cannot decode.
    #[must_use]
    pub fn unknown() -> Self {
        let runs = [(WorkerName::from("unknown"), InheritedRuns::Any)].into();
        Self { runs, until_ms: BTreeMap::new(), largest: ResourceAmounts::UNLIMITED }
    }

    /// Leaves out jobs and ends of leases where the row would become too large for a table
    /// service that limits the size of a row; the next owner then waits longer than needed.
    pub fn limit_size(&mut self) {
        while self.until_ms.len() > MAX_LEASE_ENDS {
            self.until_ms.pop_last();
        }
        let mut listed = 0;
        for runs in self.runs.values_mut() {
            if let InheritedRuns::OfJobs(jobs) = runs {
                listed += jobs.len();
                if listed > MAX_LEASED_JOBS {
                    *runs = InheritedRuns::Any;
                }
            }
        }
    }
}

/// The list of leased workers as the table service holds it.
#[derive(Clone, Debug, Default)]
pub struct StoredLeases {
    /// None while the stored list is not known: before the first read, and from the sending of a
    /// write until its success.
    leased: Option<LeasedWorkers>,
}

impl StoredLeases {
    /// Records the list that was read or written.
    pub fn record(&mut self, leased: LeasedWorkers) {
        self.leased = Some(leased);
    }

    /// Returns `leased` if it has to be written, which leaves the stored list unknown: a write
    /// without an answer may have taken effect.
    #[must_use]
    pub fn begin_write(&mut self, leased: LeasedWorkers) -> Option<LeasedWorkers> {
        if self.leased.as_ref() == Some(&leased) {
            return None;
        }
        self.leased = None;
        Some(leased)
    }

    /// Returns true if a later owner may expect that nothing extends the lease of a worker any
    /// more: the list names an end of it, or is not known.
    #[must_use]
    pub fn may_name_end(&self, name: &WorkerName) -> bool {
        self.leased.as_ref().is_none_or(|leased| leased.until_ms.contains_key(name))
    }

    /// Returns true if a later owner will expect runs of any job on a worker.
    #[must_use]
    pub fn allows_any_run(&self, name: &WorkerName) -> bool {
        self.leased
            .as_ref()
            .is_some_and(|leased| leased.runs.get(name) == Some(&InheritedRuns::Any))
    }
}

/// Learned speeds of workers, for the next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedRow {
    /// Format of the row; speeds of another format are ignored, and learned again.
    pub format: u32,
    /// Factors on the usual speed in per mille, of the workers that are faster or slower.
    pub per_mille: BTreeMap<WorkerName, u32>,
}

impl SpeedRow {
    /// Creates the row, and leaves workers out where it would become too large for a table service
    /// that limits the size of a row.
    #[must_use]
    pub fn new(mut per_mille: BTreeMap<WorkerName, u32>) -> Self {
        let size = |name: &WorkerName| name.as_str().len() + BYTES_PER_SPEED;
        let mut bytes: usize = per_mille.keys().map(size).sum();
        while bytes > MAX_SPEED_BYTES
            && let Some((name, _)) = per_mille.pop_last()
        {
            bytes -= size(&name);
        }
        Self { format: SPEED_FORMAT, per_mille }
    }

    /// Decodes the row; returns none if it is malformed or of another format.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let row = decode::<Self>(SPEED_TABLE, SPEED_KEY, value)?;
        (row.format == SPEED_FORMAT).then_some(row)
    }
}

/// A registered entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Address of its peer interface.
    pub address: ArcStr,
    /// Identifier of its process.
    pub instance: ArcStr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Capacity of its VM for owning the fleet.
    #[serde(default)]
    pub strength: VmStrength,
}

/// Returns the index of the partition that a job lies in. It is the same in every build, as
/// all entries have to agree.
#[must_use]
pub fn partition_index(id: &JobId) -> usize {
    let mut hasher = FnvHasher::default();
    hasher.write(id.as_str().as_bytes());
    let count = JOB_PARTITIONS.len() as u64;
    usize::try_from(hasher.finish() % count).unwrap_or(0)
}

/// Returns the partition that a job lies in.
#[must_use]
pub fn job_partition(id: &JobId) -> &'static str {
    JOB_PARTITIONS[partition_index(id)]
}

/// Returns the key of a job that the owner stored.
#[must_use]
pub fn job_key(id: &JobId) -> RowKey {
    RowKey { table: JOB_TABLE, partition: job_partition(id), key: id.as_str().into() }
}

/// Returns the key of a job that another entry stored.
#[must_use]
pub fn inbox_key(id: &JobId) -> RowKey {
    RowKey { table: INBOX_TABLE, partition: job_partition(id), key: id.as_str().into() }
}

/// Returns the key of a job's cancellation.
#[must_use]
pub fn cancel_key(id: &JobId) -> RowKey {
    RowKey {
        table: INBOX_TABLE,
        partition: job_partition(id),
        key: format!("{id}{CANCEL_SUFFIX}").into(),
    }
}

/// Returns the job that a key of the inbox cancels; none if it is the key of a job.
#[must_use]
pub fn parse_cancel_key(key: &str) -> Option<JobId> {
    key.strip_suffix(CANCEL_SUFFIX).map(JobId::from)
}

/// Returns the key of a job's progress.
#[must_use]
pub fn progress_key(id: &JobId) -> RowKey {
    RowKey { table: PROGRESS_TABLE, partition: job_partition(id), key: id.as_str().into() }
}

/// Returns the key of the ownership row.
#[must_use]
pub fn owner_key() -> RowKey {
    RowKey { table: STATE_TABLE, partition: OWNER_PARTITION, key: ArcStr::from(OWNER_KEY) }
}

/// Returns the key of the leased workers. The row lies in the partition of the ownership row, so
/// that one transaction can change both.
#[must_use]
pub fn lease_key() -> RowKey {
    RowKey { table: LEASE_TABLE, partition: OWNER_PARTITION, key: ArcStr::from(OWNER_KEY) }
}

/// Returns the key of the learned speeds of workers. The row lies in the partition of the ownership
/// row, so that one transaction can change both.
#[must_use]
pub fn speed_key() -> RowKey {
    RowKey { table: SPEED_TABLE, partition: OWNER_PARTITION, key: ArcStr::from(SPEED_KEY) }
}

/// Returns the key of the term row, which each owner writes into a partition before it reads the
/// jobs there.
///
/// The owner stores jobs only on condition that the row has not changed. An earlier owner can
/// then store no job that a later owner, which has read them all, would miss.
#[must_use]
pub fn term_key(partition: &'static str) -> RowKey {
    RowKey { table: STATE_TABLE, partition, key: ArcStr::from(TERM_KEY) }
}

/// Returns the key of an entry's row.
#[must_use]
pub fn member_key(name: &ArcStr) -> RowKey {
    RowKey { table: STATE_TABLE, partition: MEMBER_PARTITION, key: name.clone() }
}

/// Decodes a row's value; none, with a log line, if the value is malformed.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(table: &str, key: &str, value: &[u8]) -> Option<T> {
    serde_json::from_slice(value)
        .inspect_err(|error| log::warn!("row malformed table={table} key={key} error=\"{error}\""))
        .ok()
}

/// Encodes a row's value.
///
/// # Panics
/// Panics if the value has a key that is no string, which the fleet's rows do not have.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows of the fleet are plain JSON")
}
