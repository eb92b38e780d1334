//! Rows that the fleet keeps in the table service.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::name::{DomainName, JobId, QueueName, WorkerName};
use serde::{Deserialize, Serialize};

use crate::ports::RowKey;

/// Table of jobs that are not over and of cancellations.
pub const JOB_TABLE: &str = "jobs";
/// Table of progress, of the ownership and of the entries.
pub const STATE_TABLE: &str = "state";
/// Table that operators write.
pub const OPERATOR_TABLE: &str = "op";
/// Table in which workers register.
pub const WORKER_TABLE: &str = "servers";
/// Part of jobs and their progress; one part, so that both change together.
pub const JOB_PART: &str = "jobs";
/// Part of the ownership row, apart from the jobs so that renewals do not wait for them.
pub const OWNER_PART: &str = "owner";
/// Part of the rows of entries.
pub const MEMBER_PART: &str = "members";
/// The part that operators' and workers' rows have.
pub const ROOT_PART: &str = "";
/// Key of the ownership row.
pub const OWNER_KEY: &str = "fleet";
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
    /// Workers that may run tasks, whether they are registered or not:
    /// registrations can expire while the table service is down.
    pub leased: Vec<WorkerName>,
    /// Jobs by queue of which no task has started.
    pub waiting: BTreeMap<QueueName, u32>,
}

/// An entry that can make calls for the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Address of its peer interface.
    pub address: ArcStr,
    /// Its process.
    pub instance: ArcStr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Returns the key of a job.
#[must_use]
pub fn job_key(id: &JobId) -> RowKey {
    RowKey { table: JOB_TABLE, part: JOB_PART, key: id.as_str().into() }
}

/// Returns the key of a job's cancellation.
#[must_use]
pub fn cancel_key(id: &JobId) -> RowKey {
    RowKey { table: JOB_TABLE, part: JOB_PART, key: format!("{id}{CANCEL_SUFFIX}").into() }
}

/// Returns the job that a key cancels; none if it is the key of a job.
#[must_use]
pub fn cancelled_job(key: &str) -> Option<JobId> {
    key.strip_suffix(CANCEL_SUFFIX).map(JobId::from)
}

/// Returns the key of a job's progress.
#[must_use]
pub fn progress_key(id: &JobId) -> RowKey {
    RowKey { table: STATE_TABLE, part: JOB_PART, key: id.as_str().into() }
}

/// Returns the key of the ownership.
#[must_use]
pub fn owner_key() -> RowKey {
    RowKey { table: STATE_TABLE, part: OWNER_PART, key: ArcStr::from(OWNER_KEY) }
}

/// Returns the key of an entry.
#[must_use]
pub fn member_key(name: &ArcStr) -> RowKey {
    RowKey { table: STATE_TABLE, part: MEMBER_PART, key: name.clone() }
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
