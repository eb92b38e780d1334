//! The stored record of a job's progress.

use std::collections::BTreeMap;

use model::name::TeamName;
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ranges::IndexRanges;

/// Status of a job as callers see it.
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
    /// Returns whether the job is finished.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of a job, as stored.
///
/// It is stored before the run ends that it counts are acknowledged to the workers,
/// so that no run end is lost when the owner changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProgressRecord {
    /// Status of the job.
    pub status: JobStatus,
    /// When the final status of the job was first stored, in milliseconds since the
    /// Unix epoch; 0 while the job is unfinished.
    #[serde(skip_serializing_if = "is_zero")]
    pub ended_ms: u64,
    /// Occurrences of a scheduled job of which all tasks are done; empty once the job is finished.
    #[serde(skip_serializing_if = "IndexRanges::is_empty")]
    pub done_occurrences: IndexRanges,
    /// Done and failed tasks by occurrence and step, for the other occurrences; empty once the job
    /// is finished.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
    /// What the job's runs use that may be present after its end; none if no run was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remaining: Option<RemainingRuns>,
}

/// Runs of a finished job that are being stopped. They count towards the team's limit until they
/// have ended, also under a later owner, which does not know the job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RemainingRuns {
    /// Team that is charged.
    pub team: Option<TeamName>,
    /// Resources of a task and number of runs, by step.
    pub steps: Vec<(ResourceAmounts, u32)>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Progress of one occurrence of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Ranges of done tasks, as pairs of first and last index.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Numbers of the failed runs, by task. A count is not enough: workers may report
    /// the same runs again to a later owner, and different workers in any order.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub failed: BTreeMap<u32, SmallVec<[u32; 2]>>,
}

impl StepProgress {
    /// Adds a done task. Indices must be added in ascending order.
    pub fn push_done(&mut self, index: u32) {
        match self.done.last_mut() {
            Some((_, last)) if *last + 1 == index => *last = index,
            _ => self.done.push((index, index)),
        }
    }
}
