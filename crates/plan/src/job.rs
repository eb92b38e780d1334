//! Specification of a job: its steps, each with tasks of the same size.

use std::fmt;

use arcstr::ArcStr;
use model::name::{JobId, QueueName, TeamName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::QueueRule;

/// A job as it was accepted and stored; it never changes afterwards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier that the caller chose.
    pub id: JobId,
    /// Queue that took the job.
    pub queue: QueueName,
    /// Team that is charged; `None` in a queue that is open to all callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Opaque text that every task gets at its start.
    pub payload: ArcStr,
    /// Steps; [`StepSpec::after`] refers to them by their index.
    pub steps: Vec<StepSpec>,
    /// When and how often the steps run; `None` if they run once, without delay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
    /// When the job was accepted, in milliseconds since the Unix epoch, on the clock
    /// of the accepting VM.
    pub accepted_ms: u64,
    /// Rules of the queue when the job was accepted, by which the job goes on if the queue is
    /// removed; `None` in jobs of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_rule: Option<QueueRule>,
    /// Limit of the team when the job was accepted, which holds on if the team is removed; `None`
    /// if it had none, and in jobs of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_limit: Option<ResourceAmounts>,
}

/// Times at which a repeated job becomes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// First due time, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time between two due times, in milliseconds.
    pub interval_ms: u64,
    /// Number of times that the job runs.
    pub occurrences: u32,
}

/// A step of a job: a number of tasks of the same size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent option of the caller")]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub amounts: ResourceAmounts,
    /// Declared duration of a task, in milliseconds; it may be far off.
    pub estimate_ms: u64,
    /// Indices of the steps that must be done first.
    #[serde(skip_serializing_if = "SmallVec::is_empty")]
    pub after: SmallVec<[u32; 2]>,
    /// Whether a stopped task can resume on another worker from saved progress.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoint: bool,
    /// Whether the tasks are a gang, which runs as a whole or not at all.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether a gang should run on one rack if one has the capacity.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<ArcStr>,
    /// Rack that holds the data of the step; its workers are preferred.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<ArcStr>,
    /// Most tasks of the step on one worker at a time; 0 for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub service: bool,
    /// Program image; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<ArcStr>,
    /// Upper limit of a service's tail response time, in milliseconds; 0 for none.
    #[serde(skip_serializing_if = "is_zero")]
    pub tail_target_ms: u32,
    /// Whether the tasks use only processor time that other tasks leave idle.
    #[serde(skip_serializing_if = "is_false")]
    pub filler: bool,
    /// Most tasks of a service that the system itself may make unavailable at a time.
    #[serde(skip_serializing_if = "is_zero")]
    pub may_miss: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(flag: &bool) -> bool {
    !*flag
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl JobSchedule {
    /// Returns how many occurrences are due at a time since the Unix epoch.
    #[must_use]
    pub fn due_count(&self, unix_ms: u64) -> u32 {
        let Some(elapsed_ms) = unix_ms.checked_sub(self.start_ms) else { return 0 };
        let due = elapsed_ms.checked_div(self.interval_ms).map(|count| count.saturating_add(1));
        let due = due.and_then(|count| u32::try_from(count).ok()).unwrap_or(u32::MAX);
        due.min(self.occurrences)
    }
}

impl StepSpec {
    /// Returns the part of a worker's capacity that a task occupies.
    ///
    /// A filler only uses idle processor time, so its processor demand does not count.
    #[must_use]
    pub fn occupied_amounts(&self) -> ResourceAmounts {
        if self.filler { ResourceAmounts { cpu_millis: 0, ..self.amounts } } else { self.amounts }
    }
}

/// Identifies one occurrence of one step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

/// Identifies one task of one occurrence of a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Number of the task, from 0.
    pub index: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.step, self.index)
    }
}

impl TaskKey {
    /// Parses `job.occurrence.step.index`; a job may contain dots itself.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let job = JobId::from(parts.next()?);
        Some(Self { step: StepKey { job, occurrence, step }, index })
    }
}
