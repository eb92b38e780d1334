//! Jobs as callers submit them and as the system reports on them.

use serde::{Deserialize, Serialize};

use crate::name::{DomainName, JobId, QueueName, TeamName};
use crate::resource::ResourceAmounts;

/// A job as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier; chosen by the caller or minted by the entry.
    pub id: JobId,
    /// Queue that the job is submitted to; gives team and class.
    pub queue: QueueName,
    /// Number of tasks, from 1 to 10,000.
    pub tasks: u32,
    /// What each task declares to use.
    pub amounts: ResourceAmounts,
    /// Declared run time of a task in milliseconds; 0 for unknown.
    #[serde(default)]
    pub run_ms: u64,
    /// Input that is passed to every task unchanged.
    #[serde(default)]
    pub payload: serde_json::Value,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Accepted; no task has ended.
    #[default]
    Accepted,
    /// Every task has ended well.
    Done,
    /// A task failed more often than allowed.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Tells whether the job is over.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Accepted)
    }
}

/// The durable row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    /// What was submitted.
    pub spec: JobSpec,
    /// Team that the job counts to.
    pub team: TeamName,
    /// Domain that runs the job.
    pub domain: DomainName,
    /// Where the job stands.
    #[serde(default)]
    pub state: JobState,
    /// Indices of the tasks that ended well, in ascending order.
    #[serde(default)]
    pub done: Vec<u32>,
}
