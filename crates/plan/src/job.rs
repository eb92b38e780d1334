//! What a caller asks for: a job of steps, each with tasks that are alike.

use std::fmt;

use arcstr::ArcStr;
use model::name::{JobId, QueueName, TeamName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A stored job. It never changes after it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier that the caller chose.
    pub id: JobId,
    /// Queue that took the job.
    pub queue: QueueName,
    /// Team that is charged; none for a queue open to all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Opaque text that every task is started with.
    pub payload: ArcStr,
    /// Steps, in the order by which `after` names them.
    pub steps: Vec<StepSpec>,
    /// When and how often the steps run; none for once and at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
    /// Time of acceptance, in milliseconds since 1970 by the accepting VM.
    pub accepted_ms: u64,
}

/// Times at which a repeated job is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// First due time in milliseconds since 1970.
    pub start_ms: u64,
    /// Time between two due times in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// One step: tasks of the same size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent wish of the caller")]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub amounts: ResourceAmounts,
    /// Declared duration of a task in milliseconds; may be far off.
    pub estimate_ms: u64,
    /// Steps that must be done first.
    #[serde(skip_serializing_if = "SmallVec::is_empty")]
    pub after: SmallVec<[u32; 2]>,
    /// Whether a stopped task can go on elsewhere from saved progress.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoint: bool,
    /// Whether the tasks only work together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks should share one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<ArcStr>,
    /// Rack that holds the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<ArcStr>,
    /// Most tasks of the step on one worker; 0 for no bound.
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
    /// Tail response time in milliseconds below which a service must stay; 0 for none.
    #[serde(skip_serializing_if = "is_zero")]
    pub tail_target_ms: u32,
    /// Whether the tasks use only processor time that others leave.
    #[serde(skip_serializing_if = "is_false")]
    pub filler: bool,
    /// Tasks of a service that the system itself may make unavailable at once.
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

impl StepSpec {
    /// Returns what a task takes of a worker's capacity.
    ///
    /// A filler only uses processor time that is left over, so that its
    /// processor demand does not count.
    #[must_use]
    pub fn occupied_amounts(&self) -> ResourceAmounts {
        if self.filler { ResourceAmounts { cpu_millis: 0, ..self.amounts } } else { self.amounts }
    }
}

/// Names one occurrence of one step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

/// Names one task.
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
    /// Reads the form `job.occurrence.step.index`.
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
