//! Rows that the fleet keeps in the table service.

use std::hash::Hasher;

use arcstr::ArcStr;
use fnv::FnvHasher;
use model::name::{DomainName, JobId, WorkerName};
use serde::{Deserialize, Serialize};

use crate::ports::RowKey;
use crate::strength::VmStrength;

/// Table of jobs that the owner stored and that are not over.
pub const JOB_TABLE: &str = "jobs";
/// Table of jobs that other entries stored, and of cancellations. The owner
/// follows it; what it writes itself it knows.
pub const INBOX_TABLE: &str = "inbox";
/// Table of the progress of jobs.
pub const PROGRESS_TABLE: &str = "progress";
/// Table of the ownership and of the entries.
pub const STATE_TABLE: &str = "state";
/// Table of the workers that may run tasks.
pub const LEASE_TABLE: &str = "leases";
/// Table that operators write.
pub const OPERATOR_TABLE: &str = "operators";
/// Table in which workers register.
pub const WORKER_TABLE: &str = "workers";
/// Partitions of jobs. What belongs to one job lies in one partition, so that it changes together.
///
/// A partition carries out one transaction after the other. While the table service is slow by
/// 64 times, which is a quarter of a second for each, one partition takes four a second, and a
/// fleet of 50 jobs a second writes about ten. Each partition more costs calls while the
/// service is quick: with eight, a fleet of 130 jobs a second made three quarters more.
pub const JOB_PARTITIONS: [&str; 4] = ["jobs-0", "jobs-1", "jobs-2", "jobs-3"];
/// Partition of the ownership row. A partition refuses calls when too many wait, and a
/// claim must not wait behind jobs.
pub const OWNER_PARTITION: &str = "owner";
/// Partition of the rows of entries.
pub const MEMBER_PARTITION: &str = "members";
/// The partition that operators' and workers' rows have.
pub const ROOT_PARTITION: &str = "";
/// Key of the ownership row.
pub const OWNER_KEY: &str = "owner";
/// Key of the row that changes with each term only.
const TERM_KEY: &str = "term";
/// Suffix of the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// Who owns the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnerRow {
    /// Name of the owner; empty if the fleet was released.
    pub holder: ArcStr,
    /// Process of the owner.
    pub instance: ArcStr,
    /// Number of the ownership; the fencing token of its orders.
    pub term: u64,
}

/// Workers that may run tasks, whether they are registered or not: registrations can
/// expire while the table service is down.
///
/// Only the next owner reads them. In the ownership row, which every entry follows, the
/// names of 3,000 workers would be most of what entries read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeasedWorkers(pub Vec<WorkerName>);

/// An entry that can make calls for the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Address of its peer interface.
    pub address: ArcStr,
    /// Its process.
    pub instance: ArcStr,
    /// Its failure domain.
    pub domain: DomainName,
    /// What its VM can carry.
    #[serde(default)]
    pub strength: VmStrength,
}

/// Returns the number of the partition that a job lies in; the same in every build, as all
/// entries have to agree.
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

/// Returns the job that a key cancels; none if it is the key of a job.
#[must_use]
pub fn cancelled_job(key: &str) -> Option<JobId> {
    key.strip_suffix(CANCEL_SUFFIX).map(JobId::from)
}

/// Returns the key of a job's progress.
#[must_use]
pub fn progress_key(id: &JobId) -> RowKey {
    RowKey { table: PROGRESS_TABLE, partition: job_partition(id), key: id.as_str().into() }
}

/// Returns the key of the ownership.
#[must_use]
pub fn owner_key() -> RowKey {
    RowKey { table: STATE_TABLE, partition: OWNER_PARTITION, key: ArcStr::from(OWNER_KEY) }
}

/// Returns the key of the workers that may run tasks. It lies in the partition of the ownership row, so
/// that both change together.
#[must_use]
pub fn lease_key() -> RowKey {
    RowKey { table: LEASE_TABLE, partition: OWNER_PARTITION, key: ArcStr::from(OWNER_KEY) }
}

/// Returns the key of the row that each owner writes into a partition before it reads the jobs there.
///
/// The owner stores jobs under the condition that it has not changed, so that
/// no job is stored behind the back of a later owner, which has read them all.
#[must_use]
pub fn term_key(partition: &'static str) -> RowKey {
    RowKey { table: STATE_TABLE, partition, key: ArcStr::from(TERM_KEY) }
}

/// Returns the key of an entry.
#[must_use]
pub fn member_key(name: &ArcStr) -> RowKey {
    RowKey { table: STATE_TABLE, partition: MEMBER_PARTITION, key: name.clone() }
}

/// Decodes a row's value; a value that cannot be read is logged and left out.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(table: &str, key: &str, value: &[u8]) -> Option<T> {
    serde_json::from_slice(value)
        .inspect_err(|error| log::warn!("row left out table={table} key={key} error={error}"))
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
