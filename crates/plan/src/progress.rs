//! The durable record of how far a job is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobStatus {
    /// No task has started.
    #[default]
    Pending,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobStatus {
    /// Tells whether the job is over.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of a job. It is stored before the ends that it counts are
/// acknowledged to the workers, so that an end is never lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProgressRecord {
    /// State.
    pub status: JobStatus,
    /// When the state of a job that is over was first stored, in milliseconds since
    /// 1970; 0 for a job that is not over.
    #[serde(skip_serializing_if = "is_zero")]
    pub ended_ms: u64,
    /// Done and failed tasks by occurrence and step; left out once the job is over.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Progress of one occurrence of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Ranges of done tasks, each with its first and last index.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Failed runs by task. Each is named, because a later owner may hear of them
    /// again, and from different workers in any order.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub failed: BTreeMap<u32, SmallVec<[u32; 2]>>,
}

impl StepProgress {
    /// Adds a done task; indices must come in ascending order.
    pub fn push_done(&mut self, index: u32) {
        match self.done.last_mut() {
            Some((_, last)) if *last + 1 == index => *last = index,
            _ => self.done.push((index, index)),
        }
    }
}
